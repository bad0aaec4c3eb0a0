#ifndef WASABILINK_GATEWAY_RUNNER_PROTOCOL_H
#define WASABILINK_GATEWAY_RUNNER_PROTOCOL_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gateway/fleet.h"

/*
 * runner_protocol - how a request is sent to a runner, as a table of functions.
 *
 * After start: the answer callback at most once, then data for each piece of
 * the body, then done exactly once, never before start returns. No callback
 * follows a cancel.
 */
typedef enum runner_end {
	RUNNER_COMPLETE, /* the whole answer arrived */
	RUNNER_NOT_SENT, /* no connection; the runner saw nothing */
	RUNNER_CUT /* the answer is not whole; the request may have run */
} runner_end_t;

typedef struct runner_answer {
	int status;
	bool not_run; /* the runner says that it did not run the request */
	bool other_instance; /* another runner has the address by now */
	bool leaving; /* the runner closes its connections */
	uint32_t slowness_percent; /* 0: not told */
	GPtrArray *headers; /* name, value, ... to hand on to the caller */
} runner_answer_t;

typedef struct runner_request {
	const char *address;
	const char *instance; /* id of the runner that is meant */
	const char *id; /* of the request */
	const char *method;
	const char *target; /* path with query */
	const char *host;
	GPtrArray *headers; /* name, value, ... of the caller */
	const void *body;
	size_t body_len;
	int32_t deadline_ms; /* the runner stops work then */
	int64_t resume_after; /* number of the last event, or -1 */
	void (*answer)(const runner_answer_t *answer, void *user_data);
	void (*data)(const char *data, size_t len, void *user_data);
	void (*done)(runner_end_t end, void *user_data);
	void *user_data;
} runner_request_t;

typedef struct runner_call runner_call_t;

typedef struct runner_protocol {
	runner_call_t *(*start)(void *context, const runner_request_t *request);
	void (*cancel)(runner_call_t *call);
	void *context;
} runner_protocol_t;

#endif
