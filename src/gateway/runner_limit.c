#include "gateway/runner_limit.h"

bool runner_limit_told(runner_limit_t *limit, const runner_rate_t *rate,
		       int64_t told_us)
{
	bool changed = rate->named != limit->rate.named ||
		       rate->per_1000_s != limit->rate.per_1000_s;

	if (told_us < limit->told_us)
		return false;
	limit->told_us = told_us;
	limit->rate = *rate;
	return changed;
}
