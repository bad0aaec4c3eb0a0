#include "gateway/admission_rule.h"

/* The estimate lacks what other nodes sent in the last moment. */
#define ACCEPT_OBJECTIVE_SHARE 0.7
/* A caller that comes back sooner finds the same burst. */
#define RETRY_AFTER_LEAST_MS 200
/* Callers follow Retry-After up to a third of the time that they have; a later
 * return also leaves too little of it. */
#define RETRY_AFTER_DEADLINE_SHARE 0.3
/* Without a known deadline, in latency objectives. */
#define RETRY_AFTER_OBJECTIVES 3
/* Callers on the way do not differ by more than the delays of the network. */
#define RETURN_SLACK_MS 100

bool admission_accepts(const admission_input_t *input)
{
	if (input->wait_ms == INT32_MAX)
		return false;
	if (input->deadline_ms && input->wait_ms >= input->deadline_ms)
		return false;
	return input->returning ||
	       input->wait_ms <= input->objective_ms * ACCEPT_OBJECTIVE_SHARE;
}

bool admission_is_return(int32_t longest_deadline_ms, int32_t deadline_ms)
{
	return deadline_ms &&
	       deadline_ms < longest_deadline_ms - RETURN_SLACK_MS;
}

int32_t admission_retry_after_ms(GRand *random, int32_t objective_ms,
				 int32_t deadline_ms)
{
	int32_t longest_ms =
		deadline_ms ?
			(int32_t)(deadline_ms * RETRY_AFTER_DEADLINE_SHARE) :
			RETRY_AFTER_OBJECTIVES * objective_ms;

	if (longest_ms <= RETRY_AFTER_LEAST_MS)
		return RETRY_AFTER_LEAST_MS;
	return g_rand_int_range(random, RETRY_AFTER_LEAST_MS, longest_ms);
}
