#ifndef WASABILINK_GATEWAY_RUNNER_LIMIT_H
#define WASABILINK_GATEWAY_RUNNER_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * runner_limit - the rate of requests that a runner asks for, and its use.
 *
 * A runner in need names in its responses how many requests it takes per second
 * from all nodes together. The latest response is valid; one without a limit
 * ends it. Times are monotonic, in microseconds. All zero is a new state,
 * without a limit.
 */
/* What a response says. */
typedef struct runner_rate {
	bool named; /* false: the runner takes all that fits its slots */
	uint32_t per_1000_s; /* requests per 1,000 seconds */
} runner_rate_t;

typedef struct runner_limit {
	runner_rate_t rate;
	int64_t told_us; /* time of the last response; 0: none yet */
	uint32_t sent; /* requests that this node has sent; wraps around */
	uint32_t repeats; /* of these, those that were sent before */
} runner_limit_t;

/* A response had this rate at the given time. Returns true when the limit has
 * changed; an older response changes nothing. */
bool runner_limit_told(runner_limit_t *limit, const runner_rate_t *rate,
		       int64_t told_us);

#endif
