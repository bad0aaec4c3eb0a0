#include "gateway/admission_rule.h"

/* The estimated wait lacks the requests that other nodes have sent since their
 * last report. */
#define ACCEPT_OBJECTIVE_SHARE 0.7
/* A stream that has begun goes before new requests: its caller has a part of the
 * answer. */
#define TAKE_UP_OBJECTIVE_SHARE 0.9
/* A caller that retries sooner meets the same burst. */
#define RETRY_AFTER_MIN_MS 200
/* Callers follow Retry-After up to a third of their remaining time; a later
 * retry also leaves too little time to serve it. */
#define RETRY_AFTER_DEADLINE_SHARE 0.3
/* Longest Retry-After without a known deadline, in latency objectives. */
#define RETRY_AFTER_OBJECTIVES 3
/* First requests of callers with the same time limit differ in remaining time
 * by no more than network delay. */
#define DEADLINE_JITTER_MS 100

bool admission_accepts(const admission_input_t *input)
{
	if (input->wait_ms == INT32_MAX)
		return false;
	if (input->deadline_ms && input->wait_ms >= input->deadline_ms)
		return false;
	return input->wait_ms <=
	       input->objective_ms * (input->is_take_up ?
					      TAKE_UP_OBJECTIVE_SHARE :
					      ACCEPT_OBJECTIVE_SHARE);
}

bool admission_is_retry(int32_t longest_deadline_ms, int32_t deadline_ms)
{
	return deadline_ms &&
	       deadline_ms < longest_deadline_ms - DEADLINE_JITTER_MS;
}

int32_t admission_retry_after_ms(GRand *random, int32_t objective_ms,
				 int32_t deadline_ms)
{
	int32_t longest_ms =
		deadline_ms ?
			(int32_t)(deadline_ms * RETRY_AFTER_DEADLINE_SHARE) :
			RETRY_AFTER_OBJECTIVES * objective_ms;

	if (longest_ms <= RETRY_AFTER_MIN_MS)
		return RETRY_AFTER_MIN_MS;
	return g_rand_int_range(random, RETRY_AFTER_MIN_MS, longest_ms);
}
