#ifndef WASABILINK_BACKEND_ENGINE_CLIENT_H
#define WASABILINK_BACKEND_ENGINE_CLIENT_H

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "http/http_client.h"

/*
 * engine_client - one chat completion call to an engine (docs/design.md, engine
 * interface).
 *
 * Callbacks: first_token once, events for each block of complete server-sent
 * events (streams only, without the end marker), then done exactly once unless
 * the call is cancelled. The outcome states whether the engine can have run the
 * call; only ENGINE_NOT_SENT and ENGINE_REFUSED permit the response `not_run`. A
 * call that has failed by the head of its response is done without its body.
 */
typedef struct engine_client engine_client_t;
typedef struct engine_call engine_call_t;

typedef enum engine_outcome {
	ENGINE_NOT_SENT, /* no connection; the engine received nothing */
	ENGINE_REFUSED, /* the engine states that it did not run the call */
	ENGINE_MAY_HAVE_RUN,
	ENGINE_COMPLETE, /* complete response to this call */
	ENGINE_OUTCOME_COUNT
} engine_outcome_t;

typedef enum engine_fault {
	ENGINE_FAULT_NONE,
	ENGINE_FAULT_CONNECT, /* connection refused or not established */
	ENGINE_FAULT_VERSION, /* 409: the version is not served */
	ENGINE_FAULT_BUSY, /* 429 or 503: draining or at capacity */
	ENGINE_FAULT_REJECTED, /* other 4xx: the request itself is invalid,
				* possibly detected while it ran */
	ENGINE_FAULT_ERROR, /* 5xx, or an error event in the stream; with
			     * ENGINE_REFUSED when marked X-Not-Run */
	ENGINE_FAULT_TRUNCATED, /* ended before the response was complete */
	ENGINE_FAULT_MISMATCH, /* the response belongs to another call */
	ENGINE_FAULT_TIMEOUT, /* timeout_ms elapsed */
	ENGINE_FAULT_STALLED, /* no byte received for stall_ms */
	ENGINE_FAULT_COUNT
} engine_fault_t;

typedef struct engine_result {
	engine_outcome_t outcome;
	engine_fault_t fault;
	int status; /* 0 if no response started */
	int retry_after_s; /* 0: no Retry-After header */
	uint64_t events; /* events passed to the caller */
	const char *body; /* complete response that is not a stream */
	size_t body_len;
} engine_result_t;

typedef void (*engine_first_token_t)(engine_call_t *call, void *user_data);
typedef void (*engine_events_t)(engine_call_t *call, const char *events,
				size_t len, void *user_data);
typedef void (*engine_done_t)(const engine_result_t *result, void *user_data);

typedef struct engine_call_options {
	const char *address; /* IP:port */
	const char *request_id; /* unique per call; the engine echoes it */
	const char *version; /* required model version; NULL: any */
	const char *work_key; /* same for all attempts; may be NULL */
	const char *body; /* JSON object */
	size_t body_len;
	bool stream; /* must match the body */
	int64_t resume_from; /* tokens already received; 0: from the start */
	int32_t timeout_ms; /* complete call, also sent as deadline; 0: none */
	int32_t stall_ms; /* streams: maximum time between bytes; 0: none */
	bool once; /* not idempotent: uses a new connection */
	engine_first_token_t first_token;
	engine_events_t events;
	engine_done_t done;
	void *user_data;
} engine_call_options_t;

/* The HTTP client and the clock must outlive the engine client. */
engine_client_t *engine_client_new(struct event_base *base, http_client_t *http,
				   const clock_source_t *clock);
void engine_client_free(engine_client_t *client);

/* Never returns NULL, and never calls done before it returns. */
engine_call_t *engine_call_start(engine_client_t *client,
				 const engine_call_options_t *options);
/*
 * Closes the connection, which cancels the call at the engine. No callback
 * follows.
 */
void engine_call_cancel(engine_call_t *call);
/*
 * Stops or continues reading, for backpressure. Paused time does not count as a
 * stall.
 */
void engine_call_pause(engine_call_t *call, bool pause);

const char *engine_outcome_name(engine_outcome_t outcome);
const char *engine_fault_name(engine_fault_t fault);

#endif
