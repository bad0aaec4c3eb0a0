#include "coord/limiter.h"

#include "unit.h"

static clock_manual_t clock_manual;

static limiter_t *open_limiter(void)
{
	clock_manual_init(&clock_manual, 0);
	return limiter_new(&clock_manual.base);
}

static void test_concurrency(void)
{
	limiter_t *limiter = open_limiter();
	const limiter_rule_t rules[] = { { "partner", 2, 0 },
					 { "caller", 1, 0 } };
	limiter_hold_t holds[3];
	int64_t retry_ms;

	CU_ASSERT_EQUAL(
		limiter_acquire(limiter, rules, 2, 1, &holds[0], &retry_ms),
		-1);
	CU_ASSERT_EQUAL(
		limiter_acquire(limiter, rules, 2, 1, &holds[1], &retry_ms), 1);
	CU_ASSERT(retry_ms > 0);
	/* A denied request must not hold anything. */
	CU_ASSERT_EQUAL(
		limiter_acquire(limiter, rules, 1, 1, &holds[1], &retry_ms),
		-1);
	CU_ASSERT_EQUAL(
		limiter_acquire(limiter, rules, 1, 1, &holds[2], &retry_ms), 0);
	limiter_release(&holds[0], 1);
	CU_ASSERT_EQUAL(
		limiter_acquire(limiter, rules, 2, 1, &holds[2], &retry_ms),
		-1);
	limiter_release(&holds[1], 1);
	limiter_release(&holds[2], 1);
	limiter_free(limiter);
}

static void test_tokens_per_minute(void)
{
	limiter_t *limiter = open_limiter();
	const limiter_rule_t rule = { "caller", 0, 600 };
	limiter_hold_t hold;
	int64_t retry_ms;

	CU_ASSERT_EQUAL(
		limiter_acquire(limiter, &rule, 1, 600, &hold, &retry_ms), -1);
	limiter_release(&hold, 590);
	CU_ASSERT_EQUAL(
		limiter_acquire(limiter, &rule, 1, 20, &hold, &retry_ms), 0);
	CU_ASSERT_EQUAL(retry_ms, 1000);
	clock_manual_advance_ms(&clock_manual, retry_ms);
	CU_ASSERT_EQUAL(
		limiter_acquire(limiter, &rule, 1, 20, &hold, &retry_ms), -1);
	limiter_release(&hold, 20);
	limiter_free(limiter);
}

/* A request above the limit itself must not wait forever. */
static void test_large_request(void)
{
	limiter_t *limiter = open_limiter();
	const limiter_rule_t rule = { "caller", 0, 60 };
	limiter_hold_t hold;
	int64_t retry_ms;

	CU_ASSERT_EQUAL(
		limiter_acquire(limiter, &rule, 1, 120, &hold, &retry_ms), -1);
	limiter_release(&hold, 120);
	clock_manual_advance_ms(&clock_manual, 60000);
	CU_ASSERT_EQUAL(limiter_acquire(limiter, &rule, 1, 1, &hold, &retry_ms),
			0);
	clock_manual_advance_ms(&clock_manual, 1000);
	CU_ASSERT_EQUAL(limiter_acquire(limiter, &rule, 1, 1, &hold, &retry_ms),
			-1);
	limiter_release(&hold, 1);
	limiter_free(limiter);
}

/* The sum of the nodes' shares must not be below the limit. */
static void test_share_of_nodes(void)
{
	limiter_t *limiter = open_limiter();
	const limiter_rule_t rule = { "partner", 4, 0 };
	limiter_hold_t holds[3];
	int64_t retry_ms;

	limiter_set_nodes(limiter, 3);
	for (int i = 0; i < 2; i++)
		CU_ASSERT_EQUAL(limiter_acquire(limiter, &rule, 1, 1, &holds[i],
						&retry_ms),
				-1);
	CU_ASSERT_EQUAL(
		limiter_acquire(limiter, &rule, 1, 1, &holds[2], &retry_ms), 0);
	limiter_free(limiter);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "concurrency", test_concurrency },
		{ "tokens per minute", test_tokens_per_minute },
		{ "large request", test_large_request },
		{ "share of nodes", test_share_of_nodes },
		{ NULL, NULL },
	};

	return unit_run("limiter", tests);
}
