#include "coord/retry_budget.h"

#include <glib.h>

struct retry_budget {
	retry_budget_options_t options;
	GHashTable *buckets; /* key -> double */
};

retry_budget_t *retry_budget_new(const retry_budget_options_t *options)
{
	retry_budget_t *budget = g_new0(retry_budget_t, 1);

	budget->options = *options;
	budget->buckets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return budget;
}

void retry_budget_free(retry_budget_t *budget)
{
	if (!budget)
		return;
	g_hash_table_destroy(budget->buckets);
	g_free(budget);
}

/* Only buckets with at least the initial tokens are evicted, so that a key does
 * not gain tokens by the eviction. */
static gboolean is_evictable(void *key, void *value, void *user_data)
{
	const retry_budget_t *budget = user_data;

	return *(double *)value >= budget->options.initial;
}

static double *find_bucket(retry_budget_t *budget, const char *key)
{
	double *bucket = g_hash_table_lookup(budget->buckets, key);

	if (bucket)
		return bucket;
	if (g_hash_table_size(budget->buckets) >= budget->options.max_keys)
		g_hash_table_foreach_remove(budget->buckets, is_evictable,
					    budget);
	if (g_hash_table_size(budget->buckets) >= budget->options.max_keys)
		return NULL;
	bucket = g_new(double, 1);
	*bucket = budget->options.initial;
	g_hash_table_insert(budget->buckets, g_strdup(key), bucket);
	return bucket;
}

static void add_tokens(retry_budget_t *budget, const char *key, double tokens)
{
	double *bucket = find_bucket(budget, key);

	if (bucket)
		*bucket = MIN(*bucket + tokens, budget->options.max);
}

void retry_budget_deposit(retry_budget_t *budget, const char *key)
{
	add_tokens(budget, key, budget->options.share);
}

bool retry_budget_take(retry_budget_t *budget, const char *key)
{
	double *bucket = find_bucket(budget, key);

	/* Ten deposits of 0.1 add up to slightly less than 1. */
	if (!bucket || *bucket < 1 - 1e-9)
		return false;
	*bucket -= 1;
	return true;
}

void retry_budget_return(retry_budget_t *budget, const char *key)
{
	add_tokens(budget, key, 1);
}
