#include "gateway/runner_limit.h"

#include <glib.h>
#include <math.h>

/* Tokens of a full bucket, beside those of this time at the limit: enough for a
 * batch item and an online request. */
#define BURST_REQUESTS 2.0
#define BURST_S 1.0
/* What was sent above the limit delays later requests by at most this. */
#define DEBT_MAX_S 4.0
/* Without any request no response would tell the end of a limit. */
#define RATE_MIN_PER_S 0.1
/* Age of the last response up to which its limit is taken to be valid. */
#define SURE_MAX_AGE_US 1000000
/* Time for which a node reports what it has sent and been told. */
#define NEWS_MAX_AGE_US 5000000

static double rate_per_s(const runner_limit_t *limit, double share)
{
	return MAX(limit->rate.per_1000_s / 1000.0 * share, RATE_MIN_PER_S);
}

static double tokens_at(const runner_limit_t *limit, double share,
			int64_t now_us)
{
	double rate = rate_per_s(limit, share);
	double earned = rate * (double)(now_us - limit->tokens_us) / 1e6;

	return MIN(limit->tokens + earned, BURST_REQUESTS + BURST_S * rate);
}

bool runner_limit_told(runner_limit_t *limit, const runner_rate_t *rate,
		       int64_t told_us, int64_t now_us)
{
	bool changed = rate->named != limit->rate.named ||
		       rate->per_1000_s != limit->rate.per_1000_s;

	if (told_us < limit->told_us)
		return false;
	if (rate->named && !limit->rate.named) {
		limit->tokens = 1;
		limit->tokens_us = now_us;
		limit->sent = 0;
		limit->repeats = 0;
	} else if (!rate->named && limit->rate.named) {
		limit->ended_us = now_us;
	}
	limit->told_us = told_us;
	limit->rate = *rate;
	return changed;
}

void runner_limit_sent(runner_limit_t *limit, uint32_t requests, double share,
		       int64_t now_us)
{
	double debt_max = -DEBT_MAX_S * rate_per_s(limit, share);

	if (!limit->rate.named)
		return;
	limit->tokens =
		MAX(tokens_at(limit, share, now_us) - requests, debt_max);
	limit->tokens_us = now_us;
}

uint32_t runner_limit_room(const runner_limit_t *limit, uint32_t reserve,
			   double share, int64_t now_us)
{
	double tokens;

	if (!limit->rate.named)
		return UINT32_MAX;
	tokens = floor(tokens_at(limit, share, now_us)) - reserve;
	return tokens > 0 ? (uint32_t)tokens : 0;
}

bool runner_limit_is_sure(const runner_limit_t *limit, int64_t now_us)
{
	return limit->rate.named && now_us - limit->told_us <= SURE_MAX_AGE_US;
}

int32_t runner_limit_wait_ms(const runner_limit_t *limit, double share,
			     int64_t now_us)
{
	double missing;

	if (!limit->rate.named)
		return 0;
	missing = 1 - tokens_at(limit, share, now_us);
	return missing > 0 ? (int32_t)ceil(missing * 1000 /
					   rate_per_s(limit, share)) :
			     0;
}

int32_t runner_limit_tokens_percent(const runner_limit_t *limit, double share,
				    int64_t now_us)
{
	return (int32_t)(tokens_at(limit, share, now_us) * 100);
}

bool runner_limit_is_news(const runner_limit_t *limit, int64_t now_us)
{
	int64_t last_us = limit->rate.named ?
				  MAX(limit->heard_us, limit->sent_us) :
				  limit->ended_us;

	return last_us && now_us - last_us <= NEWS_MAX_AGE_US;
}
