#include "coord/hedge.h"

#include "unit.h"

static const hedge_options_t options = { .share = 0.05,
					 .burst = 10,
					 .min_delay_us = 1000 };

/* With too few samples the p95 is unknown. */
static void test_no_delay_at_first(void)
{
	hedge_t *hedge = hedge_new(&options);

	CU_ASSERT_EQUAL(hedge_delay_us(hedge, 0), 0);
	for (int i = 0; i < 19; i++)
		hedge_sample(hedge, 0, 20000);
	CU_ASSERT_EQUAL(hedge_delay_us(hedge, 0), 0);
	hedge_sample(hedge, 0, 20000);
	CU_ASSERT(hedge_delay_us(hedge, 0) >= 20000);
	CU_ASSERT_EQUAL(hedge_delay_us(hedge, 1), 0);
	hedge_free(hedge);
}

/* Two slow runners of ten must not raise the delay to their own latency. */
static void test_delay_with_many_stragglers(void)
{
	hedge_t *hedge = hedge_new(&options);

	for (int i = 0; i < 5000; i++)
		hedge_sample(hedge, 0, i % 5 == 0 ? 200000 : 20000);
	CU_ASSERT(hedge_delay_us(hedge, 0) <= 66000);
	hedge_free(hedge);
}

static void test_delay_follows_change(void)
{
	hedge_t *hedge = hedge_new(&options);

	for (int i = 0; i < 2000; i++)
		hedge_sample(hedge, 0, 20000);
	for (int i = 0; i < 10000; i++)
		hedge_sample(hedge, 0, 50000);
	CU_ASSERT(hedge_delay_us(hedge, 0) >= 50000);
	hedge_free(hedge);
}

/* Without samples a request must not wait for the stall timeout of a runner
 * that has become unreachable. */
static void test_initial_delay(void)
{
	const hedge_options_t options = { .share = 0.05,
					  .burst = 10,
					  .initial = 2,
					  .initial_delay_us = 500000 };
	hedge_t *hedge = hedge_new(&options);

	CU_ASSERT_EQUAL(hedge_delay_us(hedge, 3), 500000);
	CU_ASSERT_TRUE(hedge_take(hedge));
	CU_ASSERT_TRUE(hedge_take(hedge));
	CU_ASSERT_FALSE(hedge_take(hedge));
	for (int i = 0; i < 20; i++)
		hedge_sample(hedge, 3, 20000);
	CU_ASSERT(hedge_delay_us(hedge, 3) < 500000);
	hedge_free(hedge);
}

/* Hedges must stay within the configured share whatever happens. */
static void test_budget(void)
{
	hedge_t *hedge = hedge_new(&options);
	int taken = 0;

	for (int i = 0; i < 2000; i++) {
		hedge_deposit(hedge);
		taken += hedge_take(hedge);
	}
	CU_ASSERT(taken >= 99);
	CU_ASSERT(taken <= 101);
	hedge_return(hedge);
	CU_ASSERT_TRUE(hedge_take(hedge));
	hedge_free(hedge);
}

static void test_classes(void)
{
	CU_ASSERT_EQUAL(hedge_class(true, 100000), 0);
	CU_ASSERT(hedge_class(false, 0) > 0);
	CU_ASSERT(hedge_class(false, 16) < hedge_class(false, 800));
	CU_ASSERT(hedge_class(false, INT64_MAX) < HEDGE_CLASSES);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "no delay at first", test_no_delay_at_first },
		{ "delay with many stragglers",
		  test_delay_with_many_stragglers },
		{ "delay follows change", test_delay_follows_change },
		{ "initial delay", test_initial_delay },
		{ "budget", test_budget },
		{ "classes", test_classes },
		{ NULL, NULL },
	};

	return unit_run("hedge", tests);
}
