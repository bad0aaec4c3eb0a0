#ifndef WASABILINK_GATEWAY_RUNNER_PROTOCOL_H
#define WASABILINK_GATEWAY_RUNNER_PROTOCOL_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gateway/fleet.h"
#include "backend/prompt_parts.h"

/*
 * runner_protocol - interface of the protocols that send requests to runners.
 *
 * After start, the answer callback is called at most once, then data for each
 * part of the body, then done exactly once. None is called before start returns
 * or after cancel.
 */
typedef enum runner_outcome {
	RUNNER_COMPLETE, /* the complete response arrived */
	RUNNER_NOT_SENT, /* no connection; the runner received nothing */
	/* The connection ended before the complete response; the request may
	 * have run. */
	RUNNER_TRUNCATED,
	/* Timed out, or another request's response; it may have run. */
	RUNNER_INVALID,
	/* The node that was to pass the request on did not start it; the runner
	 * received nothing. */
	RUNNER_PEER_NOT_SENT,
	/* The connection to that node ended before the complete response; the
	 * request may have run. */
	RUNNER_PEER_LOST
} runner_outcome_t;

typedef struct runner_answer {
	int status;
	bool not_run; /* the runner reports that it did not run the request */
	bool other_instance; /* another runner has the address now */
	bool leaving; /* the runner tells that it leaves */
	bool until_close; /* the body ends with the connection */
	uint32_t slowness_percent; /* 0: not reported */
	runner_rate_t rate; /* that it takes from all nodes together */
	GPtrArray *headers; /* name, value, ... to forward to the caller */
} runner_answer_t;

typedef struct runner_request {
	uint64_t runner; /* key of the runner */
	const char *domain; /* of the runner */
	const char *address;
	const char *instance; /* id of the intended runner */
	const char *id; /* of the request */
	const char *method;
	const char *target; /* path with query */
	const char *host;
	GPtrArray *headers; /* name, value, ... of the caller */
	const void *body;
	size_t body_len;
	GBytes *body_owner; /* of body; NULL: the body must be copied */
	int32_t deadline_ms; /* remaining time, after which the runner stops */
	int64_t resume_after; /* number of the last event, or -1 */
	bool repeatable; /* it may run again, or go on elsewhere */
	void (*answer)(const runner_answer_t *answer, void *user_data);
	void (*data)(const char *data, size_t len, void *user_data);
	void (*done)(runner_outcome_t end, void *user_data);
	void *user_data;
} runner_request_t;

typedef struct runner_call runner_call_t;

typedef struct runner_protocol {
	runner_call_t *(*start)(void *context, const runner_request_t *request);
	void (*cancel)(runner_call_t *call);
	/* Decodes the shared parts of a request's prompt from its headers (name,
	 * value, ...). */
	void (*decode_parts)(const GPtrArray *headers, prompt_parts_t *parts);
	/* Returns the tokens of a request, read and written, by its headers; 0:
	 * they do not tell. */
	int64_t (*decode_tokens)(const GPtrArray *headers);
	void *context;
} runner_protocol_t;

#endif
