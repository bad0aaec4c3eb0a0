#ifndef WASABILINK_GATEWAY_ADMISSION_RULE_H
#define WASABILINK_GATEWAY_ADMISSION_RULE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * admission_rule - when an online request is refused, and when it may return.
 *
 * A request that would wait for a place past its latency objective is refused
 * at once: a later try finds the burst over, while a place at the end of the
 * line would make everybody late. One that was refused before is served, also
 * late, as its caller may have no further try.
 */
typedef struct admission_input {
	int32_t wait_ms; /* for a place, INT32_MAX: there is no runner */
	int32_t objective_ms;
	int32_t deadline_ms; /* 0: not told */
	bool returning; /* was refused before */
} admission_input_t;

bool admission_accepts(const admission_input_t *input);

/*
 * Whether a request is likely one that was refused before: callers tell how
 * long they still wait, and this one waits less than others on the route.
 */
bool admission_is_return(int32_t longest_deadline_ms, int32_t deadline_ms);

/*
 * When a refused request may come back. Times are spread over what the caller
 * can wait, so that refused callers do not return together and most return
 * when a burst is over. A deadline of 0 is not known.
 */
int32_t admission_retry_after_ms(GRand *random, int32_t objective_ms,
				 int32_t deadline_ms);

#endif
