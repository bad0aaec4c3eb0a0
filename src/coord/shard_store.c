#include "coord/shard_store.h"

#include <inttypes.h>
#include <string.h>

#include "base/error.h"
#include "coord/rendezvous.h"

#define MAX_RETRY_MS 2000

bool shard_store_had_no_effect(const GError *error)
{
	return g_error_matches(error, WL_ERROR, WL_ERROR_UNAVAILABLE) ||
	       g_error_matches(error, WL_ERROR, WL_ERROR_RATE_LIMITED) ||
	       g_error_matches(error, WL_ERROR, WL_ERROR_REFUSED) ||
	       g_error_matches(error, WL_ERROR, WL_ERROR_TOO_LARGE);
}

bool shard_store_budget_ready(shard_t *shard)
{
	shard_budget_t *budget = shard->options.budget;
	int64_t now_us = clock_now_us(shard->options.clock);

	if (!budget || budget->writes_per_s <= 0)
		return true;
	budget->tokens += (double)(now_us - budget->refilled_us) *
			  budget->writes_per_s / 1e6;
	budget->refilled_us = now_us;
	/* Limits bursts to 0.2 s of writes, so that the end of an outage causes
	 * no peak. */
	budget->tokens = MIN(budget->tokens, MAX(1, budget->writes_per_s / 5));
	return budget->tokens >= 1;
}

void shard_store_budget_take(shard_t *shard)
{
	if (shard->options.budget)
		shard->options.budget->tokens -= 1;
}

void shard_store_back_off(shard_t *shard)
{
	uint32_t shift = MIN(shard->failures, 6);
	int64_t delay = MIN(SHARD_FIRST_RETRY_MS << shift, MAX_RETRY_MS);
	uint64_t salt = rendezvous_hash(shard->owner_address,
					strlen(shard->owner_address),
					shard->options.number + shard->writes);

	if (shard->failures++ == 0)
		shard_state_notify(shard, SHARD_STORE_FAILED);
	shard->options.stats->store_failures++;
	shard->retry_ms =
		shard_state_now_ms(shard) + delay + (int64_t)(salt % delay) / 2;
}

void shard_store_succeeded(shard_t *shard)
{
	if (shard->failures > 0)
		shard_state_notify(shard, SHARD_STORE_BACK);
	shard->failures = 0;
	shard->retry_ms = 0;
}

char *shard_store_object_name(const shard_t *shard, uint64_t id, bool is_index)
{
	return g_strdup_printf("%s/%u/%016" PRIx64,
			       is_index ? "index" : "segment",
			       shard->options.number, id);
}

char *shard_store_next_writer(shard_t *shard, bool releasing)
{
	return g_strdup_printf("%s/%" PRIx64 "/%" PRIu64 "%s",
			       shard->owner_address, shard->options.incarnation,
			       ++shard->writes, releasing ? "/released" : "");
}
