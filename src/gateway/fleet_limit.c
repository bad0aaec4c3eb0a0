#include "base/log.h"
#include "gateway/fleet_state.h"

void fleet_apply_rate(fleet_t *fleet, fleet_runner_t *runner,
		      const runner_rate_t *rate, int64_t told_us)
{
	int64_t now_us = clock_now_us(fleet->clock);

	if (!runner_limit_told(&runner->limit, rate, told_us, now_us))
		return;
	log_info("runner_limit",
		 "runner=%s named=%d per_1000_s=%u age_ms=%" G_GINT64_FORMAT,
		 runner->id, rate->named, rate->per_1000_s,
		 (now_us - told_us) / 1000);
}

void fleet_report_rate(fleet_t *fleet, fleet_runner_t *runner,
		       const runner_rate_t *rate)
{
	int64_t now_us = clock_now_us(fleet->clock);

	if (rate->named)
		runner->limit.heard_us = now_us;
	fleet_apply_rate(fleet, runner, rate, now_us);
}

void fleet_apply_sent(fleet_t *fleet, fleet_runner_t *runner, uint32_t requests)
{
	runner_limit_sent(&runner->limit, requests, fleet->limit_share,
			  clock_now_us(fleet->clock));
}

void fleet_set_limit_share(fleet_t *fleet, double share)
{
	if (share != fleet->limit_share)
		log_info("limit_share", "share=%.3f", share);
	fleet->limit_share = share;
}

int32_t fleet_limit_wait_ms(const fleet_t *fleet, const char *service)
{
	int64_t now_us = clock_now_us(fleet->clock);
	int32_t shortest_ms = INT32_MAX;

	for (guint i = 0; i < fleet->listed->len; i++) {
		const fleet_runner_t *runner = fleet->listed->pdata[i];

		if (!fleet_is_usable(runner, service) ||
		    fleet_is_ejected(fleet, runner))
			continue;
		shortest_ms =
			MIN(shortest_ms,
			    runner_limit_wait_ms(&runner->limit,
						 fleet->limit_share, now_us));
	}
	return shortest_ms == INT32_MAX ? 0 : shortest_ms;
}

void fleet_log_limits(fleet_t *fleet)
{
	for (guint i = 0; i < fleet->listed->len; i++) {
		const fleet_runner_t *runner = fleet->listed->pdata[i];

		if (runner->limit.rate.named)
			log_info("runner_limit_use",
				 "runner=%s per_1000_s=%u sent_total=%u "
				 "repeats_total=%u tokens=%d",
				 runner->id, runner->limit.rate.per_1000_s,
				 runner->limit.sent, runner->limit.repeats,
				 runner_limit_tokens_percent(
					 &runner->limit, fleet->limit_share,
					 clock_now_us(fleet->clock)));
	}
}
