#include "gateway/take_up.h"

#include "base/log.h"

/* Some round trips between failure domains, with the delay of a busy node; well
 * below the objective of an online request, as a refusal is to come soon. */
#define WAIT_MAX_MS 60

/* One request that waits. */
typedef struct waiting {
	take_ups_t *take_ups;
	take_up_t take_up;
	uint64_t stream;
	int64_t since_us;
	uint32_t asked; /* number of nodes */
	GArray *unknowing; /* uint64_t: nodes that do not know the stream */
	GList link;
} waiting_t;

struct take_ups {
	take_ups_options_t options;
	GQueue waiting; /* waiting_t, oldest first */
};

take_ups_t *take_ups_new(const take_ups_options_t *options)
{
	take_ups_t *take_ups = g_new0(take_ups_t, 1);

	take_ups->options = *options;
	g_queue_init(&take_ups->waiting);
	return take_ups;
}

static void copy_request(relay_request_t *to, const relay_request_t *from)
{
	*to = *from;
	to->id = g_strdup(from->id);
	to->method = g_strdup(from->method);
	to->target = g_strdup(from->target);
	to->host = g_strdup(from->host);
	to->resumes = g_strdup(from->resumes);
	g_ptr_array_ref(to->headers);
	g_bytes_ref(to->body);
}

static void clear_request(relay_request_t *request)
{
	g_free((char *)request->id);
	g_free((char *)request->method);
	g_free((char *)request->target);
	g_free((char *)request->host);
	g_free((char *)request->resumes);
	g_ptr_array_unref(request->headers);
	g_bytes_unref(request->body);
}

static void waiting_free(waiting_t *waiting)
{
	g_queue_unlink(&waiting->take_ups->waiting, &waiting->link);
	path_table_unref(waiting->take_up.paths);
	clear_request(&waiting->take_up.request);
	g_array_free(waiting->unknowing, TRUE);
	g_free(waiting);
}

static int64_t now_us(const take_ups_t *take_ups)
{
	return clock_now_us(take_ups->options.clock);
}

static void resolve(waiting_t *waiting, uint64_t version)
{
	const take_ups_options_t *options = &waiting->take_ups->options;

	log_info("take_up_resolved",
		 "request=%s resumes=%s known=%d unanswered=%u "
		 "waited_ms=%" G_GINT64_FORMAT,
		 waiting->take_up.request.id,
		 log_quote(waiting->take_up.request.resumes), version != 0,
		 waiting->asked - waiting->unknowing->len,
		 (now_us(waiting->take_ups) - waiting->since_us) / 1000);
	http_on_closed(waiting->take_up.exchange, NULL, NULL);
	options->resolved(&waiting->take_up, version, options->user_data);
	waiting_free(waiting);
}

static void on_closed(http_exchange_t *exchange, void *user_data)
{
	waiting_t *waiting = user_data;

	log_info("take_up_left", "request=%s", waiting->take_up.request.id);
	waiting_free(waiting);
}

void take_ups_add(take_ups_t *take_ups, const take_up_t *take_up,
		  uint64_t stream)
{
	waiting_t *waiting = g_new0(waiting_t, 1);

	waiting->take_ups = take_ups;
	waiting->take_up = *take_up;
	copy_request(&waiting->take_up.request, &take_up->request);
	path_table_ref(take_up->paths);
	waiting->stream = stream;
	waiting->since_us = now_us(take_ups);
	waiting->link.data = waiting;
	g_queue_push_tail_link(&take_ups->waiting, &waiting->link);
	waiting->unknowing = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	http_on_closed(take_up->exchange, on_closed, waiting);
	waiting->asked = stream_origins_ask(take_ups->options.origins, stream);
	if (waiting->asked == 0)
		resolve(waiting, 0);
}

/* A node answers each question, and is asked again. */
static void note_unknowing(waiting_t *waiting, uint64_t node)
{
	for (guint i = 0; i < waiting->unknowing->len; i++)
		if (g_array_index(waiting->unknowing, uint64_t, i) == node)
			return;
	g_array_append_val(waiting->unknowing, node);
}

void take_ups_answered(take_ups_t *take_ups, uint64_t stream, uint64_t node,
		       uint64_t version)
{
	GList *link = take_ups->waiting.head;

	while (link) {
		waiting_t *waiting = link->data;

		link = link->next;
		if (waiting->stream != stream)
			continue;
		if (!version)
			note_unknowing(waiting, node);
		if (version || waiting->unknowing->len >= waiting->asked)
			resolve(waiting, version);
	}
}

void take_ups_tick(take_ups_t *take_ups)
{
	int64_t oldest_us = now_us(take_ups) - WAIT_MAX_MS * 1000;
	GList *link = take_ups->waiting.head;

	while (link) {
		waiting_t *waiting = link->data;

		link = link->next;
		if (waiting->since_us <= oldest_us)
			resolve(waiting, 0);
		else /* A datagram may have been lost. */
			stream_origins_ask(take_ups->options.origins,
					   waiting->stream);
	}
}

uint32_t take_ups_count(const take_ups_t *take_ups)
{
	return take_ups->waiting.length;
}
