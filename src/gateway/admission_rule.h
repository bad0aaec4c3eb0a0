#ifndef WASABILINK_GATEWAY_ADMISSION_RULE_H
#define WASABILINK_GATEWAY_ADMISSION_RULE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * admission_rule - when an online request is refused, and when to retry it.
 *
 * A request that would queue for a slot past its latency objective is refused
 * at once: a retry arrives after the burst, while a longer queue would make all
 * requests late.
 *
 * A retry of a refused request is admitted like a first attempt. While the load
 * exceeds the capacity, each slot that a retry gets before a first attempt sends
 * another caller away: as many are served, but nearly all of them late, since a
 * retry has lost its time already. A stream that a caller takes up goes first.
 */
typedef struct admission_input {
	int32_t wait_ms; /* for a slot; INT32_MAX: there is no runner */
	int32_t objective_ms;
	int32_t deadline_ms; /* remaining time of the caller; 0: unknown */
	bool is_take_up; /* of a stream that has begun */
} admission_input_t;

bool admission_accepts(const admission_input_t *input);

/*
 * Whether a request is likely a retry after a refusal: callers send their
 * remaining time, and this caller has less than others on the route.
 */
bool admission_is_retry(int32_t longest_deadline_ms, int32_t deadline_ms);

/*
 * Returns the milliseconds after which to retry a refused request. They are
 * spread over the time that the caller can wait, so that refused callers do not
 * retry at the same time and most retry after the burst. A deadline of 0 is
 * unknown.
 */
int32_t admission_retry_after_ms(GRand *random, int32_t objective_ms,
				 int32_t deadline_ms);

#endif
