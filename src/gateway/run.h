#ifndef WASABILINK_GATEWAY_RUN_H
#define WASABILINK_GATEWAY_RUN_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/counter.h"
#include "gateway/fleet.h"
#include "gateway/runner_protocol.h"

/*
 * run - one piece of work at the runners: choice, tries, resumption.
 *
 * A try that the runner refused or never saw is repeated elsewhere. One that
 * may have run is repeated only for idempotent work, and a stream that broke
 * off goes on elsewhere only if it is resumable, from its last whole event.
 *
 * The sink gets start and then events for a stream, or whole for any other
 * answer, and end exactly once, after which the run is gone.
 */
typedef struct run run_t;

typedef enum run_end {
	RUN_DONE, /* whole answer delivered */
	RUN_NOT_RUN, /* no runner has run or will run it */
	RUN_UNKNOWN, /* may have run; nothing was delivered */
	RUN_CUT /* a stream broke off after its start */
} run_end_t;

typedef struct run_sink {
	void (*start)(const runner_answer_t *answer, void *user_data);
	/* One whole event: as received, and its payload. */
	void (*event)(const char *raw, size_t raw_len, const char *data,
		      size_t data_len, void *user_data);
	void (*whole)(const runner_answer_t *answer, const char *body,
		      size_t len, void *user_data);
	void (*end)(run_end_t end, void *user_data);
} run_sink_t;

/* Shared by all runs of a process. */
typedef struct run_context {
	struct event_base *base;
	const clock_source_t *clock;
	fleet_t *fleet;
	const runner_protocol_t *protocol;
	GQueue runs; /* run_t, looked through by run_sweep() */
	int64_t *tries_total;
	int64_t *resumes_total;
} run_context_t;

typedef struct run_options {
	const char *id;
	const char *method;
	const char *target;
	const char *host;
	const char *service;
	const char *domain; /* of the runners; NULL: any */
	GPtrArray *headers; /* a reference is taken */
	GBytes *body; /* a reference is taken */
	bool stream; /* a success is a stream of events */
	bool idempotent; /* may run more than once */
	bool resumable;
	bool batch;
	bool careful; /* see fleet_wish_t */
	uint32_t max_runners; /* that may run it */
	int64_t expires_us; /* monotonic; 0: never */
	int64_t resume_after; /* events that the caller has, or -1 */
	const run_sink_t *sink;
	void *user_data;
} run_options_t;

/*
 * Starts a run. NULL when no runner can take it now; the sink is not called
 * then. The sink is never called before this returns.
 */
run_t *run_start(run_context_t *context, const run_options_t *options);
/* Closes the connection to the runner; the sink is not called. */
void run_cancel(run_t *run);
/* True when a runner may have begun to work on it. */
bool run_may_have_run(const run_t *run);
const fleet_runner_t *run_runner(const run_t *run);
/* Number of the last whole event, or -1. */
int64_t run_last_event(const run_t *run);
/* Ends tries whose stream has stalled. To be called some times a second. */
void run_sweep(run_context_t *context);

#endif
