#include "gateway/admission_rule.h"

/* A caller that comes back sooner finds the same burst, and one that comes
 * later has too little of its deadline left: callers follow Retry-After up to
 * a third of the time that they have. */
#define RETRY_AFTER_LEAST_MS 200
#define RETRY_AFTER_SPREAD 3

bool admission_accepts(const admission_input_t *input)
{
	if (input->wait_ms == INT32_MAX)
		return false;
	if (input->deadline_ms && input->wait_ms >= input->deadline_ms)
		return false;
	return input->wait_ms <= input->objective_ms;
}

int32_t admission_retry_after_ms(GRand *random, int32_t objective_ms)
{
	return RETRY_AFTER_LEAST_MS +
	       (int32_t)(g_rand_double(random) * RETRY_AFTER_SPREAD *
			 objective_ms);
}
