#ifndef WASABILINK_COORD_RETRY_BUDGET_H
#define WASABILINK_COORD_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * retry_budget - token buckets that limit retries to a share of the requests,
 * so that failing backends are not overloaded by retries.
 *
 * Each request deposits a share of a token under its key, for example caller
 * and deployment, and each retry takes one token. A new bucket holds a few
 * tokens, otherwise the first failure of a caller could not be retried. Used
 * for retries and for hedges.
 */
typedef struct retry_budget retry_budget_t;

typedef struct retry_budget_options {
	double share; /* tokens per request, such as 0.1 */
	double initial; /* tokens of a new bucket */
	double max; /* tokens that a bucket can hold */
	/* Above this number, buckets with at least the initial tokens are
	 * evicted. */
	uint32_t max_keys;
} retry_budget_options_t;

retry_budget_t *retry_budget_new(const retry_budget_options_t *options);
void retry_budget_free(retry_budget_t *budget);

void retry_budget_deposit(retry_budget_t *budget, const char *key);
/* Takes a token; false when the budget is used up. */
bool retry_budget_take(retry_budget_t *budget, const char *key);
/* Puts back the token of an attempt that was not sent. */
void retry_budget_return(retry_budget_t *budget, const char *key);

#endif
