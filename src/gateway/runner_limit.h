#ifndef WASABILINK_GATEWAY_RUNNER_LIMIT_H
#define WASABILINK_GATEWAY_RUNNER_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * runner_limit - the rate of requests that a runner asks for, and its use.
 *
 * A runner in need names in its responses how many requests it takes per second
 * from all nodes together. The latest response is valid; one without a limit
 * ends it. Each node keeps one token bucket for all nodes: it takes a token for
 * each request of its own, and for each that another node reports to have sent.
 * Nothing is divided between the nodes, so no share is unused and a node that
 * stops leaves nothing behind.
 *
 * Times are monotonic, in microseconds. All zero is a new state, without a
 * limit.
 */

/* What a response says. */
typedef struct runner_rate {
	bool named; /* false: the runner takes all that fits its slots */
	uint32_t per_1000_s; /* requests per 1,000 seconds */
} runner_rate_t;

typedef struct runner_limit {
	runner_rate_t rate;
	int64_t told_us; /* time of the last response; 0: none yet */
	int64_t heard_us; /* last response to this node with a limit; 0: none */
	int64_t ended_us; /* last end of a limit; 0: none */
	/* Requests that this node has sent since it knows of the limit, and of
	 * these the ones that were sent before. */
	uint32_t sent;
	uint32_t repeats;
	int64_t sent_us; /* time of the last one */
	double tokens; /* as of tokens_us; below 0: too many were sent */
	int64_t tokens_us;
} runner_limit_t;

/* A response had this rate at the given time. Returns true when the limit has
 * changed; an older response changes nothing. */
bool runner_limit_told(runner_limit_t *limit, const runner_rate_t *rate,
		       int64_t told_us, int64_t now_us);
/* Requests were sent, by this node or another. share is the part of the rate
 * that this node may use: 1 while it hears of what the others send. */
void runner_limit_sent(runner_limit_t *limit, uint32_t requests, double share,
		       int64_t now_us);
/* Number of requests that may be sent now, of which reserve are left for others;
 * UINT32_MAX without a limit. */
uint32_t runner_limit_room(const runner_limit_t *limit, uint32_t reserve,
			   double share, int64_t now_us);
/* Whether the runner is known to have a limit. One that was not told lately may
 * have ended; only a response to another request can tell. */
bool runner_limit_is_sure(const runner_limit_t *limit, int64_t now_us);
/* Milliseconds until an online request may be sent; 0 without a limit. */
int32_t runner_limit_wait_ms(const runner_limit_t *limit, double share,
			     int64_t now_us);
/* Tokens in hundredths, for the log. */
int32_t runner_limit_tokens_percent(const runner_limit_t *limit, double share,
				    int64_t now_us);
/* Whether the other nodes are to be told of this limit or of its use. */
bool runner_limit_is_news(const runner_limit_t *limit, int64_t now_us);

#endif
