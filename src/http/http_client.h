#ifndef WASABILINK_HTTP_HTTP_CLIENT_H
#define WASABILINK_HTTP_HTTP_CLIENT_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/counter.h"
#include "base/memory_budget.h"

/*
 * http_client - asynchronous HTTP/1.1 client over evhttp with a pool of
 * persistent connections per address.
 *
 * Callbacks: headers (once, optional), data (for each part of the body,
 * optional), then done exactly once unless the call is cancelled. The outcome
 * states whether the server can have received anything.
 */
typedef struct http_client http_client_t;
typedef struct http_call http_call_t;

typedef enum http_outcome {
	HTTP_COMPLETE, /* complete response, whatever its status */
	HTTP_NOT_SENT, /* no connection; the server received nothing */
	HTTP_TIMED_OUT, /* the effect at the server is unknown */
	HTTP_CONNECTION_LOST, /* connection lost; the effect is unknown */
	/* The response would use too much memory, see http_client_set_memory();
	 * the effect is unknown. */
	HTTP_TOO_MUCH_MEMORY
} http_outcome_t;

typedef struct http_response {
	http_outcome_t outcome;
	int status; /* 0 before the headers arrived */
	const char *body; /* collected only without a data callback */
	size_t body_len;
	http_call_t *call; /* for http_response_header() */
} http_response_t;

typedef void (*http_headers_t)(http_call_t *call, int status, void *user_data);
typedef void (*http_data_t)(http_call_t *call, const char *data, size_t len,
			    void *user_data);
typedef void (*http_done_t)(const http_response_t *answer, void *user_data);

typedef struct http_request_options {
	/* GET, HEAD, POST, PUT, DELETE, PATCH or OPTIONS; a call with another
	 * one ends with HTTP_NOT_SENT. */
	const char *method;
	const char *address; /* IP:port */
	const char *target; /* path with query */
	const char *const *headers; /* name, value, ..., NULL; may be NULL */
	const void *body;
	size_t body_len;
	/* The owner of body, which is then sent without a copy; NULL: body is
	 * copied. A reference is taken. */
	GBytes *body_owner;
	const char *host; /* Host header; NULL: the address */
	int32_t timeout_ms; /* for the complete call; 0: none */
	int32_t connect_timeout_ms; /* ends with HTTP_NOT_SENT; 0: none */
	bool fresh_connection; /* does not reuse an idle connection */
	bool single_use; /* new connection, closed after the response */
	http_headers_t on_headers;
	http_data_t on_data;
	http_done_t on_done;
	void *user_data;
} http_request_options_t;

http_client_t *http_client_new(struct event_base *base);
/* Counts what responses occupy in the budget, from their first byte until the
 * callbacks have had it. A call that has to give way ends with
 * HTTP_TOO_MUCH_MEMORY. Before the first call; without it there is no limit but
 * that of a single response. */
/* Counts http_status_invalid_total, answers without a status, from now on. */
void http_client_count(http_client_t *client, counter_set_t *counters);
/* Whether an answer with this status is the answer to a request, not an interim
 * one or none at all (RFC 9110, section 15). */
bool http_status_is_final(int status);

void http_client_set_memory(http_client_t *client, memory_budget_t *memory);
/* Cancels all calls without callbacks. */
void http_client_free(http_client_t *client);

/*
 * Never returns NULL. Reports failures through on_done, never before it
 * returns.
 */
http_call_t *http_call_start(http_client_t *client,
			     const http_request_options_t *options);
/* Closes the connection; no callback follows. */
void http_call_cancel(http_call_t *call);
/* Stops or continues reading the response, for backpressure. */
void http_call_pause(http_call_t *call, bool pause);
/*
 * Returns a response header. Valid during callbacks after the headers arrived;
 * with a data callback, all headers except Retry-After are dropped after the
 * headers callback.
 */
const char *http_response_header(const http_call_t *call, const char *name);
typedef void (*http_header_visitor_t)(const char *name, const char *value,
				      void *user_data);
/* Calls each for all response headers; only within the headers callback. */
void http_response_each_header(const http_call_t *call,
			       http_header_visitor_t each, void *user_data);

#endif
