#ifndef WASABILINK_GATEWAY_RELAY_H
#define WASABILINK_GATEWAY_RELAY_H

#include <glib.h>
#include <stdint.h>

#include "base/counter.h"
#include "base/histogram.h"
#include "gateway/path_table.h"
#include "gateway/execution.h"
#include "gateway/stream_origin.h"
#include "http/http_server.h"

/*
 * relay - online requests: admission, execution and response to the caller.
 *
 * A request that cannot be served in time is refused at once with a Retry-After
 * header. A stream that its client takes up goes on at the software version that
 * began it, or is refused. Status 503 is only sent for a request that has not run and never
 * will; after 502 and 504 it may have run.
 */
typedef struct relay_options {
	execution_context_t *executions;
	stream_origins_t *origins;
	path_table_t *const *paths; /* in force */
	GRand *random;
	counter_set_t *counters;
} relay_options_t;

typedef struct relay relay_t;

/* A request as decoded from the caller's protocol. Strings are copied. */
typedef struct relay_request {
	const char *id;
	const char *method;
	const char *target; /* path with query */
	const char *host;
	GPtrArray *headers; /* name, value, ... to forward */
	GBytes *body;
	int64_t received_us;
	int32_t deadline_ms; /* remaining time of the caller; 0: unknown */
	int64_t resume_after; /* last event that the caller has, or -1 */
	const char *resumes; /* id of the attempt that began it; may be NULL */
} relay_request_t;

relay_t *relay_new(const relay_options_t *options);
/* Takes ownership of the exchange and answers it. */
void relay_handle(relay_t *relay, path_table_t *paths,
		  const path_route_t *route, http_exchange_t *exchange,
		  const relay_request_t *request);
/* Another node, by its key, has answered which software began a stream; version
 * 0: it does not know. */
void relay_origin_answered(relay_t *relay, uint64_t stream, uint64_t node,
			   uint64_t version);
/* Ends expired requests and streams whose caller does not read. To be called
 * several times per second. */
void relay_sweep(relay_t *relay);
uint32_t relay_active(const relay_t *relay);
/* Responses to requests received from now on close their connections. */
void relay_stop(relay_t *relay);
/* Answers all requests in progress, as the process exits: 504 to those that may
 * have run, a refusal to the others. Streams that have begun are aborted. */
void relay_end(relay_t *relay, int32_t retry_after_ms);
/* Distribution of the times until a stream's start or a complete response. */
const histogram_t *relay_latency(const relay_t *relay);

/*
 * Answers with status 503, which promises that the request has not run and
 * never will, and with the milliseconds after which to retry.
 */
void relay_refuse(http_exchange_t *exchange, int32_t retry_after_ms);
/* The same with another status that promises this, such as 429. */
void relay_refuse_as(http_exchange_t *exchange, int status,
		     int32_t retry_after_ms);

#endif
