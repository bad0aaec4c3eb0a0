#include "http/http_stream.h"

#include <stdio.h>

#include "http/http_exchange.h"
#include "http/http_send.h"

/* Larger writes gain nothing from being gathered. */
#define GATHER_MAX_BYTES (16 * 1024)

struct http_gather {
	struct event *flush_event;
	http_exchange_t *exchange; /* whose pieces are held; NULL: none */
	GString *data;
};

/* evhtp_send_reply_chunk() formats into the buffer and copies each part. */
static void send_chunk(http_exchange_t *exchange, const void *data, size_t len)
{
	struct evbuffer *output = bufferevent_get_output(exchange->bev);
	char size[20];
	struct evbuffer_iovec parts[] = { { size, 0 },
					  { (void *)data, len },
					  { "\r\n", 2 } };

	http_send_now(exchange->bev);
	if (!(exchange->request->flags & EVHTP_REQ_FLAG_CHUNKED)) {
		evbuffer_add(output, data, len); /* HTTP/1.0 */
		return;
	}
	parts[0].iov_len = snprintf(size, sizeof(size), "%zx\r\n", len);
	evbuffer_add_iovec(output, parts, G_N_ELEMENTS(parts));
}

static void flush(http_gather_t *gather)
{
	http_exchange_t *exchange = gather->exchange;

	if (!exchange)
		return;
	gather->exchange = NULL;
	send_chunk(exchange, gather->data->str, gather->data->len);
	g_string_truncate(gather->data, 0);
}

static void on_flush(evutil_socket_t fd, short events, void *arg)
{
	flush(arg);
}

http_gather_t *http_gather_new(struct event_base *base)
{
	http_gather_t *gather = g_new0(http_gather_t, 1);

	gather->flush_event = event_new(base, -1, 0, on_flush, gather);
	gather->data = g_string_new(NULL);
	return gather;
}

void http_gather_free(http_gather_t *gather)
{
	event_free(gather->flush_event);
	g_string_free(gather->data, TRUE);
	g_free(gather);
}

void http_gather_drop(http_gather_t *gather, const http_exchange_t *exchange)
{
	if (gather->exchange != exchange)
		return;
	gather->exchange = NULL;
	g_string_truncate(gather->data, 0);
}

void http_stream_flush(http_exchange_t *exchange)
{
	if (exchange->gather->exchange == exchange)
		flush(exchange->gather);
}

void http_stream_start(http_exchange_t *exchange, int status,
		       const char *content_type)
{
	evhtp_request_t *request = exchange->request;

	if (exchange->state != EXCHANGE_PENDING)
		return;
	if (content_type)
		http_reply_header(exchange, "Content-Type", content_type);
	exchange->state = EXCHANGE_STREAMING;
	evhtp_send_reply_chunk_start(request, (evhtp_res)status);
	/* They have gone out. */
	evhtp_headers_free(request->headers_out);
	request->headers_out = evhtp_headers_new();
}

void http_stream_write(http_exchange_t *exchange, const void *data, size_t len)
{
	http_gather_t *gather = exchange->gather;

	if (exchange->state != EXCHANGE_STREAMING || len == 0)
		return;
	if (gather->exchange != exchange ||
	    gather->data->len + len > GATHER_MAX_BYTES)
		flush(gather);
	if (len > GATHER_MAX_BYTES) {
		send_chunk(exchange, data, len);
		return;
	}
	if (!gather->exchange)
		event_active(gather->flush_event, EV_TIMEOUT, 0);
	gather->exchange = exchange;
	g_string_append_len(gather->data, data, (gssize)len);
}

size_t http_stream_pending(const http_exchange_t *exchange)
{
	size_t sent =
		evbuffer_get_length(bufferevent_get_output(exchange->bev));

	if (exchange->gather->exchange == exchange)
		sent += exchange->gather->data->len;
	return sent;
}

void http_stream_on_drained(http_exchange_t *exchange, http_drained_t drained,
			    void *user_data)
{
	exchange->drained = drained;
	exchange->drained_data = user_data;
}

void http_stream_end(http_exchange_t *exchange)
{
	if (exchange->state != EXCHANGE_STREAMING)
		return;
	http_stream_flush(exchange);
	exchange->state = EXCHANGE_FINISHED;
	http_exchange_mark_answered(exchange);
	evhtp_send_reply_chunk_end(exchange->request);
	http_send_now(exchange->bev);
}

void http_stream_abort(http_exchange_t *exchange)
{
	if (exchange->state == EXCHANGE_FINISHED)
		return;
	http_stream_flush(exchange);
	http_exchange_mark_answered(exchange);
	if (http_stream_pending(exchange) > 0) {
		exchange->state = EXCHANGE_ABORTING;
		return;
	}
	exchange->state = EXCHANGE_FINISHED;
	http_exchange_close(exchange);
}

void http_stream_cut(http_exchange_t *exchange)
{
	if (exchange->state == EXCHANGE_FINISHED)
		return;
	http_exchange_mark_answered(exchange);
	exchange->state = EXCHANGE_FINISHED;
	http_exchange_close(exchange);
}
