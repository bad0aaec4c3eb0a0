#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "gateway/fleet_state.h"

/*
 * A runner refuses a request that is larger than its memory as if it were full.
 * Such a refusal says nothing of smaller requests, so it keeps only those from the
 * runner that are as large or larger.
 */

/* Time for which these are kept from it, doubled for each further refusal of one,
 * as long as none is served. */
#define SIZE_REFUSAL_FIRST_MS 400
#define SIZE_REFUSAL_MAX_MS 3200

/* Size of the largest request that the runner has served, or, before it has served
 * any, another one of its service. */
static int64_t largest_served(const fleet_t *fleet,
			      const fleet_runner_t *runner)
{
	int64_t tokens = runner->served_tokens;

	for (guint i = 0; !runner->served_tokens && i < fleet->listed->len;
	     i++) {
		const fleet_runner_t *other = fleet->listed->pdata[i];

		if (strcmp(other->service, runner->service) == 0)
			tokens = MAX(tokens, other->served_tokens);
	}
	return tokens;
}

/* As long as nothing was served, the runner may be full or refuse everything. */
static int64_t refusal_ms(uint32_t refusals, int64_t served_tokens)
{
	int64_t ms = SIZE_REFUSAL_FIRST_MS;

	for (uint32_t i = 1;
	     served_tokens && i < refusals && ms < SIZE_REFUSAL_MAX_MS; i++)
		ms *= 2;
	return ms;
}

static void refuse_size(fleet_t *fleet, fleet_runner_t *runner, int64_t tokens,
			int64_t served_tokens)
{
	int64_t now_us = clock_now_us(fleet->clock);

	runner->size_refusals++;
	runner->refused_tokens = runner->refused_tokens ?
					 MIN(runner->refused_tokens, tokens) :
					 tokens;
	runner->refused_until_us =
		now_us +
		refusal_ms(runner->size_refusals, served_tokens) * 1000;
	log_info("runner_refuses_size",
		 "runner=%s tokens=%" PRId64 " bound=%" PRId64
		 " served=%" PRId64 " refusals=%u",
		 runner->id, tokens, runner->refused_tokens, served_tokens,
		 runner->size_refusals);
}

void fleet_refused(fleet_t *fleet, fleet_runner_t *runner,
		   const fleet_refusal_t *refusal)
{
	int64_t served_tokens = largest_served(fleet, runner);

	if (refusal->tokens > served_tokens)
		refuse_size(fleet, runner, refusal->tokens, served_tokens);
	else if (refusal->repeated)
		return;
	else if (refusal->batch)
		fleet_eject_briefly(fleet, runner);
	else
		fleet_failed(fleet, runner);
}

void fleet_served(fleet_runner_t *runner, int64_t tokens)
{
	runner->served_tokens = MAX(runner->served_tokens, tokens);
	if (tokens < runner->refused_tokens)
		return;
	runner->refused_tokens = 0;
	runner->size_refusals = 0;
}

bool fleet_refuses_size(const fleet_t *fleet, const fleet_runner_t *runner,
			int64_t tokens)
{
	return runner->refused_tokens && tokens >= runner->refused_tokens &&
	       clock_now_us(fleet->clock) < runner->refused_until_us;
}

void fleet_try_size(fleet_t *fleet, fleet_runner_t *runner, int64_t tokens)
{
	if (runner->refused_tokens && tokens >= runner->refused_tokens)
		runner->refused_until_us =
			MAX(runner->refused_until_us,
			    clock_now_us(fleet->clock) +
				    SIZE_REFUSAL_FIRST_MS * 1000);
}

fleet_sizes_t fleet_sizes(const fleet_t *fleet, const char *service)
{
	fleet_sizes_t sizes = { .all_take = INT64_MAX };

	for (guint i = 0; i < fleet->listed->len; i++) {
		const fleet_runner_t *runner = fleet->listed->pdata[i];
		int64_t tokens = INT64_MAX;

		if (!fleet_is_usable(runner, service))
			continue;
		if (fleet_refuses_size(fleet, runner, INT64_MAX))
			tokens = runner->refused_tokens - 1;
		sizes.all_take = MIN(sizes.all_take, tokens);
		sizes.some_take = MAX(sizes.some_take, tokens);
	}
	/* Without a runner nothing is known. */
	if (!sizes.some_take)
		sizes.some_take = INT64_MAX;
	return sizes;
}
