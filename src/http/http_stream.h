#ifndef WASABILINK_HTTP_HTTP_STREAM_H
#define WASABILINK_HTTP_HTTP_STREAM_H

#include <event2/event.h>
#include <stddef.h>

/*
 * http_stream - the answer of an exchange in pieces.
 *
 * Pieces that are written in one pass of the event loop go out as one chunk.
 * The output is sent after the pass in any case, so no piece waits longer.
 */
typedef struct http_exchange http_exchange_t;
typedef struct http_gather http_gather_t;

typedef void (*http_drained_t)(http_exchange_t *exchange, void *user_data);

void http_stream_start(http_exchange_t *exchange, int status,
		       const char *content_type);
void http_stream_write(http_exchange_t *exchange, const void *data, size_t len);
/* Ends a chunk here, for a stand-in that sends one per event. */
void http_stream_flush(http_exchange_t *exchange);
/* Bytes that the peer has not taken yet. */
size_t http_stream_pending(const http_exchange_t *exchange);
/* Called once when all pending bytes have been sent. */
void http_stream_on_drained(http_exchange_t *exchange, http_drained_t drained,
			    void *user_data);
void http_stream_end(http_exchange_t *exchange);
/* Closes the connection without the final chunk: the peer sees a cut. */
void http_stream_abort(http_exchange_t *exchange);
/* The same without sending what is pending, for a peer that takes nothing. */
void http_stream_cut(http_exchange_t *exchange);

/* The pieces gathered in this pass, of one exchange at a time; one per
 * server. */
http_gather_t *http_gather_new(struct event_base *base);
void http_gather_free(http_gather_t *gather);
/* Forgets what is gathered of an exchange that ends. */
void http_gather_drop(http_gather_t *gather, const http_exchange_t *exchange);

#endif
