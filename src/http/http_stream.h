#ifndef WASABILINK_HTTP_HTTP_STREAM_H
#define WASABILINK_HTTP_HTTP_STREAM_H

#include <event2/event.h>
#include <stddef.h>

/*
 * http_stream - sends the response of an exchange in parts.
 *
 * Parts that are written in one pass of the event loop are sent as one chunk.
 * This adds no delay, as output is sent after the pass in any case.
 */
typedef struct http_exchange http_exchange_t;
typedef struct http_stream_buffer http_stream_buffer_t;

typedef void (*http_drained_t)(http_exchange_t *exchange, void *user_data);

void http_stream_start(http_exchange_t *exchange, int status,
		       const char *content_type);
void http_stream_write(http_exchange_t *exchange, const void *data, size_t len);
/* Ends the current chunk, for an emulator that sends one chunk per event. */
void http_stream_flush(http_exchange_t *exchange);
/* Bytes that have not been sent yet. */
size_t http_stream_pending(const http_exchange_t *exchange);
/* Sets the callback that runs once when all pending bytes have been sent. */
void http_stream_on_drained(http_exchange_t *exchange, http_drained_t drained,
			    void *user_data);
void http_stream_end(http_exchange_t *exchange);
/*
 * Sends what is pending, then closes the connection without the final chunk, so
 * that the peer sees a truncated response.
 */
void http_stream_abort(http_exchange_t *exchange);
/*
 * Closes the connection without sending what is pending, for a peer that does
 * not read.
 */
void http_stream_abort_now(http_exchange_t *exchange);

/*
 * Buffers the parts written in one pass of the event loop, for one exchange at
 * a time. Each server has one.
 */
http_stream_buffer_t *http_stream_buffer_new(struct event_base *base);
void http_stream_buffer_free(http_stream_buffer_t *stream_buffer);
/* Discards the buffered parts of an exchange that ends. */
void http_stream_buffer_discard(http_stream_buffer_t *stream_buffer,
				const http_exchange_t *exchange);

#endif
