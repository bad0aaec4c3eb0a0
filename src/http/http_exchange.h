#ifndef WASABILINK_HTTP_HTTP_EXCHANGE_H
#define WASABILINK_HTTP_HTTP_EXCHANGE_H

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <evhtp.h>

#include "http/http_server.h"

/*
 * http_exchange - one request and its response; private to http_server and
 * http_stream.
 */
typedef enum exchange_state {
	EXCHANGE_PENDING, /* no response started */
	EXCHANGE_STREAMING, /* headers sent */
	EXCHANGE_FINISHED, /* response complete, possibly still buffered */
	EXCHANGE_ABORTING /* closed once the output buffer is empty */
} exchange_state_t;

/* Lives as long as the evhtp request that it is attached to. */
struct http_exchange {
	struct http_connection *connection; /* NULL: evhtp is freeing it */
	struct event_base *base;
	http_stream_buffer_t *stream_buffer;
	uint32_t *active; /* the server's count of active exchanges */
	const bool *closing; /* whether the server announces the close */
	GQueue *released; /* the server's queue of release_link */
	GList release_link; /* data is NULL outside the queue */
	evhtp_request_t *request;
	struct bufferevent *bev; /* of the connection */
	struct event *peer_event;
	http_closed_t closed;
	void *closed_data;
	http_drained_t drained;
	void *drained_data;
	struct evkeyvalq query;
	char *body;
	size_t body_len;
	char *id;
	char peer[INET6_ADDRSTRLEN];
	exchange_state_t state;
	bool query_parsed;
	bool counted;
	bool paused;
	bool close_after; /* the server ends the connection */
};

/* To be called before the head of the response is sent. */
void http_exchange_begin_response(http_exchange_t *exchange);
/* Marks the response as decided; the exchange no longer counts as active. */
void http_exchange_mark_answered(http_exchange_t *exchange);
/* Counts bytes that are kept for the response until the exchange ends. */
void http_exchange_count(http_exchange_t *exchange, size_t bytes);
/* Closes the connection; the exchange ends later, when evhtp frees it. */
void http_exchange_close(http_exchange_t *exchange);

#endif
