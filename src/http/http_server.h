#ifndef WASABILINK_HTTP_HTTP_SERVER_H
#define WASABILINK_HTTP_HTTP_SERVER_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/counter.h"
#include "base/memory_budget.h"

#include "http/http_stream.h"

/*
 * http_server - asynchronous HTTP/1.1 server over libevhtp.
 *
 * The handler receives each complete request and responds immediately or later
 * by exactly one of http_reply() or http_stream_start(), the latter followed by
 * http_stream_end() or http_stream_abort(). An exchange is valid until the
 * response is complete or its closed callback has run, whichever is first;
 * after the closed callback the owner must not access it.
 */
#define HTTP_MIN_BODY_RATE 32768 /* bytes per second */

typedef struct http_server http_server_t;

typedef void (*http_handler_t)(http_exchange_t *exchange, void *user_data);
typedef void (*http_closed_t)(http_exchange_t *exchange, void *user_data);

/*
 * Writes the body and additional header lines of the response to a request that
 * cannot be read: 400, 408, 413, 431, or 503 above max_connections.
 */
typedef void (*http_reject_t)(int status, GString *headers, GString *body,
			      void *user_data);

typedef struct http_server_options {
	struct event_base *base;
	const char *address; /* IP address */
	uint16_t port; /* 0: any free port */
	uint64_t max_body_bytes; /* above: 413 */
	/* Names and values of a request, above: 431; 0: unlimited. The head as
	 * it is sent may have a few times as much. */
	uint32_t max_header_bytes;
	/* Above, a connection that waits for its client is closed for a new
	 * one, or the new one is rejected with 503; 0: unlimited. */
	uint32_t max_connections;
	/*
	 * Limits the time without a byte, the time to receive complete headers,
	 * and the time to receive a body beyond what it takes at
	 * HTTP_MIN_BODY_RATE; 0: no limit. A connection whose peer accepts no
	 * response data for this time is closed as well.
	 */
	int32_t read_timeout_ms;
	http_reject_t reject; /* NULL: empty bodies */
	/* Counts requests, and responses that their callers have not read. A
	 * connection that has to give way is closed, with 503 if its request
	 * is still arriving. NULL: not limited. */
	memory_budget_t *memory;
	/* Counts http_rejected_total, requests that could not be read, and
	 * http_evicted_total, connections closed for new ones. NULL: neither. */
	counter_set_t *counters;
	http_handler_t handler;
	void *user_data;
} http_server_options_t;

http_server_t *http_server_new(const http_server_options_t *options,
			       GError **error);
void http_server_free(http_server_t *server);
/* Raises limits to these, where they are lower; 0 changes nothing. */
void http_server_raise_limits(http_server_t *server, uint32_t max_header_bytes,
			      uint64_t max_body_bytes);
uint16_t http_server_port(const http_server_t *server);
/* Number of exchanges without a complete response. */
uint32_t http_server_active(const http_server_t *server);

/*
 * For a graceful shutdown: close the connection of each response that begins from
 * now on and announce it there, stop accepting connections, and close persistent
 * connections that wait for their next request.
 */
void http_server_announce_close(http_server_t *server);
void http_server_stop_listening(http_server_t *server);
void http_server_close_idle(http_server_t *server);
/*
 * Ends the exchanges that are not answered, for a process that exits: their
 * owners are told as if the peer had closed the connection, then the handler
 * answers those without a response, with the server's user data. Streams are
 * aborted, and requests that still arrive are rejected with 503.
 */
void http_server_end_exchanges(http_server_t *server, http_handler_t answer);
/*
 * True when no request is arriving or being handled, no new connection waits for
 * its first request since a moment ago, and all responses have been passed to the
 * kernel completely.
 */
bool http_server_is_drained(const http_server_t *server);

/* Returned for a method that http_client does not send. */
#define HTTP_METHOD_OTHER "OTHER"
const char *http_method(const http_exchange_t *exchange);
const char *http_path(const http_exchange_t *exchange);
/* Value of a query parameter, percent-decoded; NULL if absent. */
const char *http_query(http_exchange_t *exchange, const char *name);
/* The query as sent, without the question mark; NULL if there is none. */
const char *http_raw_query(const http_exchange_t *exchange);
const char *http_header(const http_exchange_t *exchange, const char *name);
/* Calls each for all headers of the request. */
void http_each_header(const http_exchange_t *exchange,
		      void (*each)(const char *name, const char *value,
				   void *user_data),
		      void *user_data);
/*
 * Closes the connection after this response and announces it in the response;
 * before http_reply() or http_stream_start(). May be called again.
 */
void http_close_after(http_exchange_t *exchange);
/* The body as one block, with a NUL after *len bytes. Never NULL. */
const char *http_body(http_exchange_t *exchange, size_t *len);
/* Transfers the body to the caller, who frees it with g_free(). */
char *http_steal_body(http_exchange_t *exchange, size_t *len);
/*
 * Frees the headers, the query and the body, which the owner no longer needs.
 * This saves memory while a long response is in progress.
 */
void http_release_request(http_exchange_t *exchange);
/*
 * Sets the request id for logs and adds it to the response as x-request-id. At
 * most HTTP_ID_MAX characters are kept.
 */
#define HTTP_ID_MAX 128
void http_set_id(http_exchange_t *exchange, const char *id);
const char *http_id(const http_exchange_t *exchange);
/* Address of the peer, such as "127.0.0.1". */
const char *http_peer(const http_exchange_t *exchange);

/*
 * Sets the callback that runs once if the peer closes the connection before the
 * response is complete.
 */
void http_on_closed(http_exchange_t *exchange, http_closed_t closed,
		    void *user_data);

/* Adds a header to the response; before http_reply() or http_stream_start(). */
void http_reply_header(http_exchange_t *exchange, const char *name,
		       const char *value);
void http_reply(http_exchange_t *exchange, int status, const char *content_type,
		const void *body, size_t len);

#endif
