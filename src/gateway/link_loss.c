#include "gateway/link_loss.h"

/* Connections that break within this time of each other share the loss. */
#define LINK_LOSS_SPAN_US 1000000

/* Returns since when connects to the runner fail, though it cannot have started
 * again since; 0: they do not. */
static int64_t unreachable_since_us(const link_loss_t *loss,
				    const fleet_runner_t *runner)
{
	int64_t age_us = fleet_unreachable_for_us(loss->fleet, runner);

	if (age_us < 0 || age_us > CRASH_RESTART_MIN_US)
		return 0;
	return part_guard_now_us(loss->guard) - age_us;
}

void link_loss_answered(link_loss_t *loss, const fleet_runner_t *runner,
			int64_t lost_us)
{
	if (loss->lost_us)
		return;
	loss->lost_us = lost_us ? lost_us : unreachable_since_us(loss, runner);
	link_loss_tick(loss);
}

static void withdraw(fleet_runner_t *runner, void *user_data)
{
	const link_loss_t *loss = user_data;

	if (fleet_is_cut_off(runner))
		part_guard_withdraw(loss->guard, runner->key,
				    loss->lost_us - LINK_LOSS_SPAN_US,
				    loss->lost_us + LINK_LOSS_SPAN_US);
}

void link_loss_tick(link_loss_t *loss)
{
	int64_t age_us;

	if (loss->lost_us == 0)
		return;
	age_us = part_guard_now_us(loss->guard) - loss->lost_us;
	/* Failed connects show which domains are lost soon after. */
	if (age_us > 2 * LINK_LOSS_SPAN_US)
		loss->lost_us = 0;
	else
		fleet_each(loss->fleet, withdraw, loss);
}
