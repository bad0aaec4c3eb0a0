#ifndef WASABILINK_GATEWAY_EXECUTION_H
#define WASABILINK_GATEWAY_EXECUTION_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/counter.h"
#include "base/memory_budget.h"
#include "gateway/fleet.h"
#include "gateway/link_loss.h"
#include "backend/part_guard.h"
#include "gateway/runner_protocol.h"
#include "gateway/runner_relay.h"
#include "gateway/stream_patience.h"

/*
 * execution - one request at the runners: selection, attempts, resumption.
 *
 * An attempt that a runner refused or never received is retried at another
 * runner. One that may have run is retried only for idempotent requests. A
 * truncated stream is resumed at another runner, from its last complete event,
 * only if it is resumable. While no runner can be had, such a stream waits for
 * one until its deadline.
 *
 * A stream is delivered by the sink's start callback and then its event
 * callback, any other response as a whole by one callback. The end callback is
 * called exactly once, after the others; the execution is no longer valid then.
 */
typedef struct execution execution_t;

typedef enum execution_outcome {
	EXECUTION_DONE, /* the complete response was delivered */
	EXECUTION_NOT_RUN, /* no runner has run it or will run it */
	EXECUTION_UNKNOWN, /* may have run; nothing was delivered */
	EXECUTION_TRUNCATED /* the stream was truncated after its start */
} execution_outcome_t;

/* Why an execution ended without a complete response. */
typedef enum execution_reason {
	EXECUTION_COMPLETED,
	EXECUTION_NOT_REPEATABLE, /* the attempt may have run */
	EXECUTION_HELD, /* see execution_hold_ms() */
	EXECUTION_RUNNERS_USED, /* max_runners may have run it */
	EXECUTION_ATTEMPTS_USED,
	EXECUTION_NO_TIME, /* for another attempt */
	EXECUTION_NO_RUNNER, /* none can take another attempt */
	EXECUTION_STALLED, /* a batch item was silent for too long */
	/* A resumed batch item ended without an event, with its connection. */
	EXECUTION_EMPTY,
	EXECUTION_REFUSED, /* runners have refused a batch item */
	EXECUTION_REASONS /* number of reasons */
} execution_reason_t;

typedef struct execution_sink {
	void (*start)(const runner_answer_t *answer, void *user_data);
	/* One complete event: as received, and its payload; NULL: comments. */
	void (*event)(const char *raw, size_t raw_len, const char *data,
		      size_t data_len, void *user_data);
	void (*response)(const runner_answer_t *answer, const char *body,
			 size_t len, void *user_data);
	void (*end)(execution_outcome_t end, execution_reason_t reason,
		    void *user_data);
	/* Whether another node may pass an attempt on; NULL: it may. */
	bool (*may_relay)(void *user_data);
} execution_sink_t;

/* Shared by all executions of a process. */
typedef struct execution_context {
	struct event_base *base;
	const clock_source_t *clock;
	fleet_t *fleet;
	part_guard_t *part_guard;
	const runner_protocol_t *protocol;
	runner_relay_t *relay; /* for runners out of reach; NULL: none */
	link_loss_t *link_loss; /* NULL: none */
	memory_budget_t *memory; /* for bodies; NULL: not limited */
	GQueue active; /* all executions in progress */
	int64_t *tries_total;
	int64_t *resumes_total;
} execution_context_t;

/* After so many refused executions in a row a batch item is likely at fault, and
 * further refusals say nothing about the runners. */
#define EXECUTION_OWN_REFUSALS 3

typedef struct execution_options {
	const char *id;
	const char *method;
	const char *target;
	const char *host;
	const char *service;
	const char *domain; /* of the runners to use; NULL: any */
	GPtrArray *headers; /* a reference is taken */
	GBytes *body; /* a reference is taken */
	/* The same for all attempts of the request; 0: it is never held back by
	 * itself. */
	uint64_t digest;
	bool stream; /* a successful response is an event stream */
	bool idempotent; /* more than one runner may run it */
	bool resumable;
	bool batch;
	uint32_t refusals; /* executions of a batch item before that ended with
			    * EXECUTION_REFUSED, in a row */
	int64_t tokens; /* read and written; 0: as the headers tell */
	uint64_t preferred_runner; /* of the first attempt; 0: none */
	bool require_healthy; /* see fleet_pick_options_t */
	uint32_t max_runners; /* limit of the runners that may have run it */
	int64_t expires_us; /* deadline, monotonic; 0: none */
	int64_t resume_after; /* last event that the caller has, or -1 */
	/* Software that has written the events up to there; 0: any may go on. */
	uint64_t version_key;
	/* Kept over the executions of a request, and longer than this one;
	 * NULL: it has one of its own. */
	stream_patience_t *patience;
	const execution_sink_t *sink;
	void *user_data;
} execution_options_t;

/*
 * Starts an execution. Returns NULL when no runner can take the request now, or
 * when it is held back (execution_hold_ms); the sink is not called then. The
 * sink is never called before this returns.
 */
execution_t *execution_start(execution_context_t *context,
			     const execution_options_t *options);
/* Fills in the parts by which requests are held back: those of the prompt, and
 * the request itself by its digest, if it has one. */
void execution_parts(const execution_context_t *context,
		     const GPtrArray *headers, uint64_t digest,
		     prompt_parts_t *parts);
/* Milliseconds for which a request with these parts is held back, as such
 * requests crash runners; 0: it is not. */
int32_t execution_hold_ms(const execution_context_t *context,
			  const prompt_parts_t *parts);
/* Ends the execution and cancels its attempt, without a call of the sink. */
void execution_cancel(execution_t *execution);
/* True when a runner may have started to process the request. */
bool execution_may_have_run(const execution_t *execution);
const char *execution_reason_name(execution_reason_t reason);
const fleet_runner_t *execution_runner(const execution_t *execution);
/* The software that has written the events; 0: not known. */
uint64_t execution_version_key(const execution_t *execution);
/* Number of the last complete event, or -1. */
int64_t execution_last_event(const execution_t *execution);
/* Ends attempts whose stream has stalled, if another runner can take it, starts
 * those of streams that wait, and reports runners that do not answer to the
 * fleet. To be called several times per second. */
void execution_check_timeouts(execution_context_t *context);

#endif
