#include "coord/limiter.h"

#include <glib.h>
#include <math.h>

#define MINUTE_US 60000000
/* Requests end at unknown times, so a concurrency limit gives this fixed retry
 * time. */
#define CONCURRENCY_RETRY_MS 1000

struct limiter_scope {
	int64_t in_flight;
	double tokens; /* below zero after requests above their estimate */
	int64_t refilled_us;
	int64_t tokens_per_minute; /* this node's share, 0: unlimited */
};

struct limiter {
	const clock_source_t *clock;
	GHashTable *scopes; /* key -> limiter_scope_t */
	uint32_t nodes;
};

limiter_t *limiter_new(const clock_source_t *clock)
{
	limiter_t *limiter = g_new0(limiter_t, 1);

	limiter->clock = clock;
	limiter->nodes = 1;
	limiter->scopes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return limiter;
}

void limiter_free(limiter_t *limiter)
{
	if (!limiter)
		return;
	g_hash_table_destroy(limiter->scopes);
	g_free(limiter);
}

void limiter_set_nodes(limiter_t *limiter, uint32_t nodes)
{
	limiter->nodes = MAX(nodes, 1);
}

static int64_t share_of(const limiter_t *limiter, int64_t limit)
{
	return (limit + limiter->nodes - 1) / limiter->nodes;
}

/* Scopes are never removed: the configuration document bounds their number. */
static limiter_scope_t *find_scope(limiter_t *limiter, const char *key)
{
	limiter_scope_t *scope = g_hash_table_lookup(limiter->scopes, key);

	if (!scope) {
		scope = g_new0(limiter_scope_t, 1);
		g_hash_table_insert(limiter->scopes, g_strdup(key), scope);
	}
	return scope;
}

static void refill(limiter_scope_t *scope, int64_t now_us, int64_t per_minute)
{
	double gained = (double)per_minute *
			(double)(now_us - scope->refilled_us) / MINUTE_US;

	/* A new limit starts full, as does one that replaces an unlimited
	 * one. */
	if (scope->tokens_per_minute == 0)
		gained = (double)per_minute;
	scope->tokens_per_minute = per_minute;
	scope->refilled_us = now_us;
	scope->tokens = MIN(scope->tokens + gained, (double)per_minute);
}

/* Returns the time until the scope admits the request; 0: now. */
static int64_t retry_delay_ms(const limiter_t *limiter, limiter_scope_t *scope,
			      const limiter_rule_t *rule, int64_t tokens)
{
	int64_t per_minute = share_of(limiter, rule->tokens_per_minute);
	double missing;

	if (rule->max_concurrent > 0 &&
	    scope->in_flight >= share_of(limiter, rule->max_concurrent))
		return CONCURRENCY_RETRY_MS;
	if (tokens == 0)
		return 0;
	if (per_minute == 0) {
		scope->tokens_per_minute = 0;
		scope->tokens = 0;
		return 0;
	}
	refill(scope, clock_now_us(limiter->clock), per_minute);
	/* A request above the limit itself is admitted when the bucket is
	 * full. */
	missing = (double)MIN(tokens, per_minute) - scope->tokens;
	if (missing <= 0)
		return 0;
	return (int64_t)ceil(missing * 60000 / (double)per_minute);
}

int limiter_acquire(limiter_t *limiter, const limiter_rule_t *rules,
		    uint32_t count, int64_t tokens, limiter_hold_t *hold,
		    int64_t *retry_after_ms)
{
	g_assert(count <= LIMITER_MAX_SCOPES);
	hold->count = 0;
	for (uint32_t i = 0; i < count; i++) {
		hold->scopes[i] = find_scope(limiter, rules[i].key);
		*retry_after_ms = retry_delay_ms(limiter, hold->scopes[i],
						 &rules[i], tokens);
		if (*retry_after_ms > 0)
			return (int)i;
	}
	hold->count = count;
	hold->tokens = tokens;
	for (uint32_t i = 0; i < count; i++) {
		hold->scopes[i]->in_flight++;
		if (hold->scopes[i]->tokens_per_minute > 0)
			hold->scopes[i]->tokens -= (double)tokens;
	}
	return -1;
}

void limiter_release(limiter_hold_t *hold, int64_t used_tokens)
{
	for (uint32_t i = 0; i < hold->count; i++) {
		limiter_scope_t *scope = hold->scopes[i];

		scope->in_flight--;
		if (scope->tokens_per_minute > 0)
			scope->tokens += (double)(hold->tokens - used_tokens);
	}
	hold->count = 0;
}
