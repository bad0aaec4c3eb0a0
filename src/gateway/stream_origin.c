#include "gateway/stream_origin.h"

#include <arpa/inet.h>
#include <string.h>

#include "base/log.h"
#include "gateway/fleet.h"
#include "rpc/origin_xdr.h"

/* A client that has been refused may return a little later. */
#define LIFE_MARGIN_MS 5000

typedef struct origin {
	uint64_t stream;
	uint64_t version;
	int64_t expires_us;
	GList link; /* in the order of arrival */
} origin_t;

struct stream_origins {
	stream_origins_options_t options;
	GHashTable *by_stream; /* stream -> origin_t */
	GQueue order; /* oldest first */
	int64_t *dropped_total;
	int64_t *size; /* sum over the tables of a process */
};

uint64_t stream_origin_key(const char *attempt)
{
	return fleet_key(attempt);
}

stream_origins_t *stream_origins_new(const stream_origins_options_t *options)
{
	stream_origins_t *origins = g_new0(stream_origins_t, 1);

	origins->options = *options;
	origins->by_stream = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, g_free);
	g_queue_init(&origins->order);
	origins->dropped_total =
		counter_get(options->counters, COUNTER_MONOTONIC,
			    "stream_origins_dropped_total", NULL);
	origins->size = counter_get(options->counters, COUNTER_GAUGE,
				    "stream_origins", NULL);
	return origins;
}

void stream_origins_free(stream_origins_t *origins)
{
	if (!origins)
		return;
	*origins->size -= stream_origins_size(origins);
	g_hash_table_destroy(origins->by_stream);
	g_free(origins);
}

static int64_t now_us(const stream_origins_t *origins)
{
	return clock_elapsed_us(origins->options.clock);
}

static origin_t *find(const stream_origins_t *origins, uint64_t stream)
{
	return g_hash_table_lookup(origins->by_stream, &stream);
}

static void drop(stream_origins_t *origins, origin_t *origin)
{
	g_queue_unlink(&origins->order, &origin->link);
	g_hash_table_remove(origins->by_stream, &origin->stream);
	(*origins->size)--;
}

static void drop_oldest(stream_origins_t *origins)
{
	if ((*origins->dropped_total)++ == 0)
		log_warn("stream_origins_full", "entries=%u",
			 stream_origins_size(origins));
	drop(origins, g_queue_peek_head(&origins->order));
}

static void keep(stream_origins_t *origins, uint64_t stream, uint64_t version,
		 int64_t life_ms)
{
	origin_t *origin = find(origins, stream);

	if (!version)
		return;
	if (!origin) {
		if (stream_origins_size(origins) == STREAM_ORIGINS_MAX)
			drop_oldest(origins);
		origin = g_new0(origin_t, 1);
		origin->stream = stream;
		origin->version = version;
		origin->link.data = origin;
		g_hash_table_insert(origins->by_stream, &origin->stream,
				    origin);
		g_queue_push_tail_link(&origins->order, &origin->link);
		(*origins->size)++;
	}
	origin->expires_us = MAX(
		origin->expires_us,
		now_us(origins) +
			CLAMP(life_ms, 0, STREAM_ORIGIN_LIFE_MAX_MS) * 1000);
}

static size_t encode(const origin_report *report, char *data)
{
	size_t len = 0;
	XDR xdrs;

	xdrmem_create(&xdrs, data, STREAM_ORIGIN_MAX_BYTES, XDR_ENCODE);
	if (xdr_origin_report(&xdrs, (origin_report *)report))
		len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return len;
}

static uint32_t send_report(stream_origins_t *origins,
			    const origin_report *report)
{
	char data[STREAM_ORIGIN_MAX_BYTES];

	return origins->options.send(report->stream, data, encode(report, data),
				     origins->options.user_data);
}

void stream_origins_begin(stream_origins_t *origins, uint64_t stream,
			  uint64_t version, int64_t life_ms)
{
	const origin_report report = {
		.magic = ORIGIN_REPORT_MAGIC,
		.kind = ORIGIN_TELL,
		.stream = stream,
		.software = version,
		.life_ms = (u_int)CLAMP(life_ms + LIFE_MARGIN_MS, 0,
					STREAM_ORIGIN_LIFE_MAX_MS),
	};

	keep(origins, stream, version, report.life_ms);
	send_report(origins, &report);
}

uint64_t stream_origins_find(const stream_origins_t *origins, uint64_t stream)
{
	const origin_t *origin = find(origins, stream);

	return origin ? origin->version : 0;
}

uint32_t stream_origins_ask(stream_origins_t *origins, uint64_t stream)
{
	const origin_report report = {
		.magic = ORIGIN_REPORT_MAGIC,
		.kind = ORIGIN_ASK,
		.stream = stream,
	};

	return send_report(origins, &report);
}

/* Entries that outlive older ones are looked at when these have expired. */
void stream_origins_expire(stream_origins_t *origins)
{
	origin_t *oldest;

	while ((oldest = g_queue_peek_head(&origins->order)) &&
	       oldest->expires_us <= now_us(origins))
		drop(origins, oldest);
}

uint32_t stream_origins_size(const stream_origins_t *origins)
{
	return origins->order.length;
}

bool stream_origin_is_report(const char *data, size_t len)
{
	uint32_t magic;

	if (len < sizeof(magic))
		return false;
	memcpy(&magic, data, sizeof(magic));
	return ntohl(magic) == ORIGIN_REPORT_MAGIC;
}

static bool decode(const char *data, size_t len, origin_report *report)
{
	bool decoded;
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)data, (u_int)len, XDR_DECODE);
	decoded = xdr_origin_report(&xdrs, report) &&
		  report->magic == ORIGIN_REPORT_MAGIC &&
		  report->kind >= ORIGIN_TELL && report->kind <= ORIGIN_ANSWER;
	xdr_destroy(&xdrs);
	return decoded;
}

/* The answer to a question about a stream. */
static size_t answer_to(const stream_origins_t *origins, uint64_t stream,
			char *data)
{
	const origin_t *origin = find(origins, stream);
	origin_report report = {
		.magic = ORIGIN_REPORT_MAGIC,
		.kind = ORIGIN_ANSWER,
		.stream = stream,
	};

	if (origin) {
		report.software = origin->version;
		report.life_ms =
			(u_int)(MAX(origin->expires_us - now_us(origins), 0) /
				1000);
	}
	return encode(&report, data);
}

size_t stream_origins_apply(stream_origins_t *origins, uint64_t node,
			    const char *data, size_t len, char *answer)
{
	origin_report report = { 0 };

	if (!decode(data, len, &report)) {
		log_warn("origin_report_unreadable", "bytes=%zu", len);
		return 0;
	}
	if (report.kind == ORIGIN_ASK)
		return answer_to(origins, report.stream, answer);
	keep(origins, report.stream, report.software, report.life_ms);
	if (report.kind == ORIGIN_ANSWER)
		origins->options.answered(report.stream, node, report.software,
					  origins->options.user_data);
	return 0;
}
