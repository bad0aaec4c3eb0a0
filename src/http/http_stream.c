#include "http/http_stream.h"

#include <stdio.h>

#include "http/http_exchange.h"
#include "http/http_send.h"

/* Larger writes gain nothing from being buffered. */
#define BUFFER_MAX_BYTES (16 * 1024)

struct http_stream_buffer {
	struct event *flush_event;
	http_exchange_t *exchange; /* whose parts are buffered; NULL: none */
	GString *data;
};

/*
 * Used instead of evhtp_send_reply_chunk(), which formats into the buffer and
 * copies each part.
 */
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

static void flush_buffer(http_stream_buffer_t *stream_buffer)
{
	http_exchange_t *exchange = stream_buffer->exchange;

	if (!exchange)
		return;
	stream_buffer->exchange = NULL;
	send_chunk(exchange, stream_buffer->data->str,
		   stream_buffer->data->len);
	g_string_truncate(stream_buffer->data, 0);
}

static void on_flush(evutil_socket_t fd, short events, void *arg)
{
	flush_buffer(arg);
}

http_stream_buffer_t *http_stream_buffer_new(struct event_base *base)
{
	http_stream_buffer_t *stream_buffer = g_new0(http_stream_buffer_t, 1);

	stream_buffer->flush_event =
		event_new(base, -1, 0, on_flush, stream_buffer);
	stream_buffer->data = g_string_new(NULL);
	return stream_buffer;
}

void http_stream_buffer_free(http_stream_buffer_t *stream_buffer)
{
	event_free(stream_buffer->flush_event);
	g_string_free(stream_buffer->data, TRUE);
	g_free(stream_buffer);
}

void http_stream_buffer_discard(http_stream_buffer_t *stream_buffer,
				const http_exchange_t *exchange)
{
	if (stream_buffer->exchange != exchange)
		return;
	stream_buffer->exchange = NULL;
	g_string_truncate(stream_buffer->data, 0);
}

void http_stream_flush(http_exchange_t *exchange)
{
	if (exchange->stream_buffer->exchange == exchange)
		flush_buffer(exchange->stream_buffer);
}

void http_stream_start(http_exchange_t *exchange, int status,
		       const char *content_type)
{
	evhtp_request_t *request = exchange->request;

	if (exchange->state != EXCHANGE_PENDING)
		return;
	http_exchange_begin_response(exchange);
	if (content_type)
		http_reply_header(exchange, "Content-Type", content_type);
	exchange->state = EXCHANGE_STREAMING;
	evhtp_send_reply_chunk_start(request, (evhtp_res)status);
	/* The headers have been sent. */
	evhtp_headers_free(request->headers_out);
	request->headers_out = evhtp_headers_new();
}

void http_stream_write(http_exchange_t *exchange, const void *data, size_t len)
{
	http_stream_buffer_t *stream_buffer = exchange->stream_buffer;

	if (exchange->state != EXCHANGE_STREAMING || len == 0)
		return;
	if (stream_buffer->exchange != exchange ||
	    stream_buffer->data->len + len > BUFFER_MAX_BYTES)
		flush_buffer(stream_buffer);
	if (len > BUFFER_MAX_BYTES) {
		send_chunk(exchange, data, len);
		return;
	}
	if (!stream_buffer->exchange)
		event_active(stream_buffer->flush_event, EV_TIMEOUT, 0);
	stream_buffer->exchange = exchange;
	g_string_append_len(stream_buffer->data, data, (gssize)len);
}

size_t http_stream_pending(const http_exchange_t *exchange)
{
	size_t pending =
		evbuffer_get_length(bufferevent_get_output(exchange->bev));

	if (exchange->stream_buffer->exchange == exchange)
		pending += exchange->stream_buffer->data->len;
	return pending;
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

void http_stream_abort_now(http_exchange_t *exchange)
{
	if (exchange->state == EXCHANGE_FINISHED)
		return;
	http_exchange_mark_answered(exchange);
	exchange->state = EXCHANGE_FINISHED;
	http_exchange_close(exchange);
}
