#ifndef WASABILINK_GATEWAY_RELAY_H
#define WASABILINK_GATEWAY_RELAY_H

#include <glib.h>
#include <stdint.h>

#include "base/counter.h"
#include "base/histogram.h"
#include "gateway/path_table.h"
#include "gateway/run.h"
#include "http/http_server.h"

/*
 * relay - online requests: admission, one run, and the answer to the caller.
 *
 * A request that cannot be served in time is refused at once, with a time to
 * come back. Status 503 is only sent for a request that has not run and never
 * will; 502 and 504 leave that open.
 */
typedef struct relay_options {
	run_context_t *runs;
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
	GPtrArray *headers; /* name, value, ... to hand on */
	GBytes *body;
	int64_t received_us;
	int32_t deadline_ms; /* that the caller waits, 0: not told */
	int64_t resume_after; /* events that the caller has, or -1 */
} relay_request_t;

relay_t *relay_new(const relay_options_t *options);
/* Takes the exchange over and answers it. */
void relay_handle(relay_t *relay, path_table_t *paths,
		  const path_route_t *route, http_exchange_t *exchange,
		  const relay_request_t *request);
/* Ends requests whose time is up. To be called some times a second. */
void relay_sweep(relay_t *relay);
uint32_t relay_active(const relay_t *relay);
/* Answers from now on close their connections. */
void relay_stop(relay_t *relay);
/* Distribution of times to the first event or the whole answer. */
const histogram_t *relay_latency(const relay_t *relay);

/*
 * Answers that the request has not run and never will, and after how many
 * milliseconds to come back.
 */
void relay_refuse(http_exchange_t *exchange, int32_t retry_after_ms);
/* The same with another status that promises it, such as 429. */
void relay_refuse_as(http_exchange_t *exchange, int status,
		     int32_t retry_after_ms);

#endif
