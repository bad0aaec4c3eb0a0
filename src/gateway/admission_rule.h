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
 * line would make everybody late.
 */
typedef struct admission_input {
	int32_t wait_ms; /* for a place, INT32_MAX: there is no runner */
	int32_t objective_ms;
	int32_t deadline_ms; /* 0: not told */
} admission_input_t;

bool admission_accepts(const admission_input_t *input);

/* Times are spread, so that refused callers do not return together. */
int32_t admission_retry_after_ms(GRand *random, int32_t objective_ms);

#endif
