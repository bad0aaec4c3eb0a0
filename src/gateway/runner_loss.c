#include "gateway/runner_loss.h"

#include <inttypes.h>

#include "base/log.h"

/* More runners than these are not lost between two ticks; the oldest loss is
 * forgotten then, and its crash stands. */
#define LOSSES_MAX 256
/* By then the other nodes would have reported that they have lost the domain as
 * well. */
#define MIN_AGE_MS 700
/* By then a lost link has been noticed. */
#define MAX_AGE_MS 5000
/* Losses of one runner within this time are of one crash. */
#define SAME_LOSS_MS 1000

typedef struct loss {
	uint64_t runner; /* key */
	int64_t at_us; /* monotonic */
	int64_t elapsed_us; /* by the part guard's clock */
} loss_t;

struct runner_losses {
	runner_losses_options_t options;
	GQueue losses; /* loss_t, oldest first */
	int64_t *retracted_total;
};

runner_losses_t *runner_losses_new(const runner_losses_options_t *options)
{
	runner_losses_t *losses = g_new0(runner_losses_t, 1);

	losses->options = *options;
	g_queue_init(&losses->losses);
	losses->retracted_total =
		counter_get(options->counters, COUNTER_MONOTONIC,
			    "runner_losses_retracted_total", NULL);
	return losses;
}

void runner_losses_free(runner_losses_t *losses)
{
	if (!losses)
		return;
	g_queue_clear_full(&losses->losses, g_free);
	g_free(losses);
}

/* Whether the loss belongs to a crash that is looked at already. */
static bool is_known(const runner_losses_t *losses, uint64_t runner,
		     int64_t now_us)
{
	for (const GList *link = losses->losses.tail; link; link = link->prev) {
		const loss_t *loss = link->data;

		if (loss->runner == runner &&
		    now_us - loss->at_us <= SAME_LOSS_MS * 1000)
			return true;
	}
	return false;
}

void runner_losses_add(runner_losses_t *losses, fleet_runner_t *runner)
{
	int64_t now_us = clock_now_us(losses->options.clock);
	loss_t *loss;

	fleet_doubt_contact(runner);
	if (is_known(losses, runner->key, now_us))
		return;
	if (losses->losses.length == LOSSES_MAX)
		g_free(g_queue_pop_head(&losses->losses));
	loss = g_new0(loss_t, 1);
	loss->runner = runner->key;
	loss->at_us = now_us;
	loss->elapsed_us = part_guard_now_us(losses->options.part_guard);
	g_queue_push_tail(&losses->losses, loss);
}

static void retract(runner_losses_t *losses, const loss_t *loss,
		    const fleet_runner_t *runner, int64_t age_ms)
{
	(*losses->retracted_total)++;
	log_info("runner_loss_retracted",
		 "runner=%s domain=%s age_ms=%" PRId64 " reason=lost_link",
		 runner->id, runner->domain, age_ms);
	part_guard_retract(losses->options.part_guard, loss->runner,
			   loss->elapsed_us);
}

void runner_losses_tick(runner_losses_t *losses)
{
	int64_t now_us = clock_now_us(losses->options.clock);
	GList *link = losses->losses.head;

	while (link) {
		GList *next = link->next;
		loss_t *loss = link->data;
		int64_t age_ms = (now_us - loss->at_us) / 1000;
		const fleet_runner_t *runner =
			fleet_find(losses->options.fleet, loss->runner);
		bool is_link = runner && age_ms >= MIN_AGE_MS &&
			       fleet_has_lost_link(losses->options.fleet,
						   runner, loss->at_us);

		if (is_link)
			retract(losses, loss, runner, age_ms);
		if (!runner || is_link || age_ms > MAX_AGE_MS) {
			g_queue_delete_link(&losses->losses, link);
			g_free(loss);
		}
		link = next;
	}
}
