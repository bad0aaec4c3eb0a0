#ifndef WASABILINK_COORD_RETRY_BUDGET_H
#define WASABILINK_COORD_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * retry_budget - token buckets that bound second tries to a share of first
 * ones, so that failing backends are not buried under retries.
 *
 * Each request deposits a share of a token under its key, for example caller
 * and deployment; each second try takes a whole token. A new bucket holds a
 * few tokens, otherwise a caller's first failure could not be retried. Used
 * for retries and for hedges.
 */
typedef struct retry_budget retry_budget_t;

typedef struct retry_budget_options {
	double share; /* tokens per request, such as 0.1 */
	double initial; /* tokens of a new bucket */
	double max; /* tokens that a bucket can hold */
	uint32_t max_keys; /* beyond: unused buckets are forgotten */
} retry_budget_options_t;

retry_budget_t *retry_budget_new(const retry_budget_options_t *options);
void retry_budget_free(retry_budget_t *budget);

void retry_budget_deposit(retry_budget_t *budget, const char *key);
/* Takes a token; false when the budget is used up. */
bool retry_budget_take(retry_budget_t *budget, const char *key);
/* Gives back the token of a try that was not sent. */
void retry_budget_return(retry_budget_t *budget, const char *key);

#endif
