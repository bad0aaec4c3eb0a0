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
 * claim - durable claims of online requests (docs/design.md 5).
 *
 * claim_begin() answers exactly once, never before it returns. A claim_t that
 * comes with the answer belongs to the caller, who ends it by exactly one of
 * claim_finish() and claim_abandon(); both take it over.
 *
 *   CLAIM_GRANTED      the claim is durable; run the work. claim is set.
 *   CLAIM_RUNNING      somebody else runs it now: 409, work may_have_run.
 *   CLAIM_DONE         result is the recorded one.
 *   CLAIM_CONFLICT     the key was used with another request digest: 422.
 *   CLAIM_UNKNOWN      the claimer was lost: 409 outcome_unknown, work
 *                      may_have_run.
 *   CLAIM_UNAVAILABLE  nothing is recorded. Non-idempotent work is refused
 *                      not_run with Retry-After. Idempotent work gets a claim
 *                      and may run; its answer then carries
 *                      X-Wasabilink-Recorded: false unless claim_finish()
 *                      says that it is recorded.
 */
typedef struct claims claims_t;
typedef struct claim claim_t;

typedef enum claim_answer {
	CLAIM_GRANTED,
	CLAIM_RUNNING,
	CLAIM_DONE,
	CLAIM_CONFLICT,
	CLAIM_UNKNOWN,
	CLAIM_UNAVAILABLE,
	CLAIM_ANSWER_COUNT
} claim_answer_t;

/* A recorded result: an HTTP answer. Larger ones than CLAIM_MAX_BODY_BYTES
 * are recorded without their body (body_omitted). */
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

/* claim: see above, else NULL. result: only with CLAIM_DONE, valid during the
 * call. */
typedef void (*claim_begun_t)(claim_answer_t answer, claim_t *claim,
			      const claim_result_t *result, void *user_data);

/*
 * recorded tells whether a result is durable. When another claimer's result
 * was recorded first, result is that one, and it is the answer to give.
 * Otherwise result is NULL.
 */
typedef void (*claim_finished_t)(bool recorded, const claim_result_t *result,
				 void *user_data);

typedef struct claims_options {
	records_t *records;
	const member_table_t *members;
	const clock_source_t *clock;
	counter_set_t *counters;
	uint64_t process; /* random, of this process */
	int64_t retention_ms; /* of claims; 0 means 24 h */
	uint32_t max_buffered; /* results kept while the ledger is
				* unavailable; 0 means 1000 */
} claims_options_t;

claims_t *claims_new(const claims_options_t *options);
/* Ends pending calls without their completions; to be followed by
 * records_free() before the event loop goes on. */
void claims_free(claims_t *claims);

void claim_begin(claims_t *claims, const claim_options_t *options,
		 claim_begun_t done, void *user_data);

/* Records the result. done may be NULL. */
void claim_finish(claim_t *claim, const claim_result_t *result,
		  claim_finished_t done, void *user_data);

/* Closes the claim as not run: a resend may be granted. Only when the work
 * has certainly not run. */
void claim_abandon(claim_t *claim);

/* Closes the claim of non-idempotent work that may have run, without result:
 * resends get CLAIM_UNKNOWN. Idempotent work may be granted again. */
void claim_lose(claim_t *claim);

/* Sends buffered results again; to be called about once a second. The results
 * of a long outage go out in groups, so that the ledger is not flooded. */
void claims_step(claims_t *claims);

const char *claim_answer_name(claim_answer_t answer);

#endif
