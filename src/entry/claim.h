#ifndef WASABILINK_ENTRY_CLAIM_H
#define WASABILINK_ENTRY_CLAIM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/counter.h"
#include "coord/member.h"
#include "entry/records.h"

/*
 * claim - durable claims of the idempotency keys of online requests
 * (docs/design.md 5).
 *
 * claim_begin() calls its callback exactly once, never before it returns. A
 * claim_t that the callback receives is owned by the receiver, who ends it by
 * exactly one of claim_finish(), claim_abandon() and claim_mark_unknown(); each
 * of them takes ownership.
 *
 *   CLAIM_GRANTED      the claim is durable; run the work. claim is set.
 *   CLAIM_RUNNING      another claimer runs it now: 409, work may_have_run.
 *   CLAIM_DONE         result is the recorded one.
 *   CLAIM_CONFLICT     the key was used with another request digest: 422.
 *   CLAIM_UNKNOWN      the claimer failed or closed the claim without a
 *                      result: 409 outcome_unknown, work may_have_run.
 *   CLAIM_UNAVAILABLE  nothing is recorded. Non-idempotent work is refused
 *                      not_run with Retry-After. Idempotent work gets a claim
 *                      and may run; its response then carries
 *                      X-Wasabilink-Recorded: false unless claim_finish()
 *                      reports it as recorded.
 */
typedef struct claims claims_t;
typedef struct claim claim_t;

typedef enum claim_response {
	CLAIM_GRANTED,
	CLAIM_RUNNING,
	CLAIM_DONE,
	CLAIM_CONFLICT,
	CLAIM_UNKNOWN,
	CLAIM_UNAVAILABLE,
	CLAIM_RESPONSE_COUNT
} claim_response_t;

/* A recorded result: an HTTP response. A body larger than CLAIM_MAX_BODY_BYTES
 * is not recorded (body_omitted). */
#define CLAIM_MAX_BODY_BYTES (120 * 1024)

typedef struct claim_result {
	int status; /* HTTP status */
	const char *content_type;
	const void *body;
	size_t body_len;
	bool body_omitted;
} claim_result_t;

typedef struct claim_options {
	const char *partner;
	const char *workspace;
	const char *key; /* Idempotency-Key */
	const char *request_digest; /* of the request's content */
	bool idempotent;
} claim_options_t;

/* claim: set with CLAIM_GRANTED and, for idempotent work, CLAIM_UNAVAILABLE;
 * else NULL. result: only with CLAIM_DONE, valid during the call. */
typedef void (*claim_begun_t)(claim_response_t response, claim_t *claim,
			      const claim_result_t *result, void *user_data);

/*
 * recorded: whether a result is durable. When another claimer's result was
 * recorded first, result is that one and is to be sent to the caller instead.
 * Otherwise result is NULL.
 */
typedef void (*claim_finished_t)(bool recorded, const claim_result_t *result,
				 void *user_data);

typedef struct claims_options {
	records_t *records;
	const member_table_t *members;
	const clock_source_t *clock;
	counter_set_t *counters;
	uint64_t process; /* random id of this process */
	int64_t retention_ms; /* of claim records; 0: 24 h */
	uint32_t max_buffered; /* results kept while the ledger is
				* unavailable; 0: 1000 */
} claims_options_t;

claims_t *claims_new(const claims_options_t *options);
/* Ends pending calls without calling their callbacks; records_free() must
 * follow before the event loop continues. */
void claims_free(claims_t *claims);

void claim_begin(claims_t *claims, const claim_options_t *options,
		 claim_begun_t done, void *user_data);

/* Records the result; keeps it for a later attempt while the ledger is
 * unavailable. done may be NULL. */
void claim_finish(claim_t *claim, const claim_result_t *result,
		  claim_finished_t done, void *user_data);

/* Closes the claim as not run, so that a resend may be granted. Only permitted
 * when the work has certainly not run. */
void claim_abandon(claim_t *claim);

/* Closes the claim of work that may have run, without a result. Resends of
 * non-idempotent work get CLAIM_UNKNOWN; idempotent work may be granted
 * again. */
void claim_mark_unknown(claim_t *claim);

/* Retries the updates of buffered claims; to be called about once per second.
 * The claims of a long outage are sent in batches, so that they do not overload
 * the ledger. */
void claims_step(claims_t *claims);

const char *claim_response_name(claim_response_t response);

#endif
