#include "coord/retry_budget.h"

#include <stdio.h>

#include "unit.h"

static const retry_budget_options_t options = { .share = 0.1,
						.initial = 2,
						.max = 10,
						.max_keys = 4 };

/* When every request fails, retries must stay within the configured share. */
static void test_share_under_total_failure(void)
{
	retry_budget_t *budget = retry_budget_new(&options);
	int taken = 0;

	for (int i = 0; i < 1000; i++) {
		retry_budget_deposit(budget, "a");
		taken += retry_budget_take(budget, "a");
	}
	CU_ASSERT(taken >= 100);
	CU_ASSERT(taken <= 102);
	retry_budget_free(budget);
}

/* Accumulated tokens must not allow an unbounded burst. */
static void test_burst_is_bounded(void)
{
	retry_budget_t *budget = retry_budget_new(&options);
	int taken = 0;

	for (int i = 0; i < 10000; i++)
		retry_budget_deposit(budget, "a");
	while (retry_budget_take(budget, "a"))
		taken++;
	CU_ASSERT_EQUAL(taken, 10);
	retry_budget_free(budget);
}

/* The failures of one caller must not use up the budget of another. */
static void test_keys_are_separate(void)
{
	retry_budget_t *budget = retry_budget_new(&options);

	CU_ASSERT_TRUE(retry_budget_take(budget, "a"));
	CU_ASSERT_TRUE(retry_budget_take(budget, "a"));
	CU_ASSERT_FALSE(retry_budget_take(budget, "a"));
	CU_ASSERT_TRUE(retry_budget_take(budget, "b"));
	retry_budget_return(budget, "a");
	CU_ASSERT_TRUE(retry_budget_take(budget, "a"));
	retry_budget_free(budget);
}

/* The number of buckets is bounded, and evicting a bucket must not refill a
 * used one. */
static void test_bounded_keys(void)
{
	retry_budget_t *budget = retry_budget_new(&options);
	char key[16];

	for (int i = 0; i < 4; i++) {
		snprintf(key, sizeof(key), "k%d", i);
		CU_ASSERT_TRUE(retry_budget_take(budget, key));
	}
	CU_ASSERT_FALSE(retry_budget_take(budget, "one more"));
	for (int i = 0; i < 11; i++)
		retry_budget_deposit(budget, "k0");
	CU_ASSERT_TRUE(retry_budget_take(budget, "one more"));
	CU_ASSERT_TRUE(retry_budget_take(budget, "k1"));
	CU_ASSERT_FALSE(retry_budget_take(budget, "k1"));
	retry_budget_free(budget);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "share under total failure", test_share_under_total_failure },
		{ "burst is bounded", test_burst_is_bounded },
		{ "keys are separate", test_keys_are_separate },
		{ "bounded keys", test_bounded_keys },
		{ NULL, NULL },
	};

	return unit_run("retry_budget", tests);
}
