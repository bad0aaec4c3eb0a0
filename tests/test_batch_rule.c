#include <glib.h>

#include "gateway/batch_rule.h"
#include "unit.h"

#define NODES 6

/* A wave of jobs at several nodes that see the same free places: all together
 * must take about as many as there are, not each of them all. */
static void test_wave_over_several_nodes(void)
{
	static const uint32_t waiting[NODES] = { 10, 24, 1, 0, 7, 13 };
	GRand *random = g_rand_new_with_seed(5);
	uint32_t total = 0;
	uint32_t taken = 0;

	for (int i = 0; i < NODES; i++)
		total += waiting[i];
	for (int round = 0; round < 1000; round++)
		for (int i = 0; i < NODES; i++)
			taken += batch_share(8, waiting[i], total - waiting[i],
					     g_rand_double(random));
	CU_ASSERT(taken > 7500 && taken < 8500);
	CU_ASSERT_EQUAL(batch_share(0, 5, 0, 0), 0);
	CU_ASSERT_EQUAL(batch_share(5, 0, 9, 0), 0);
	CU_ASSERT_EQUAL(batch_share(5, 3, 0, 0.9), 5);
	g_rand_free(random);
}

/* Work that is nearly due takes the last places; other work leaves some. */
static void test_due(void)
{
	batch_input_t input = {
		.now_us = 0, .due_us = 18000000, .free_places = 3, .places = 72
	};

	CU_ASSERT_FALSE(batch_may_start(&input));
	input.due_us = 5000000;
	CU_ASSERT(batch_may_start(&input));
	input.due_us = 18000000;
	input.free_places = 10;
	CU_ASSERT(batch_may_start(&input));
}

/* Items that gave way together must not come back together. */
static void test_pauses_differ(void)
{
	GRand *random = g_rand_new_with_seed(5);
	int32_t least = INT32_MAX;
	int32_t most = 0;

	for (int i = 0; i < 100; i++) {
		int32_t pause_ms = batch_yield_pause_ms(random);

		least = MIN(least, pause_ms);
		most = MAX(most, pause_ms);
	}
	CU_ASSERT(least > 0 && most - least > 100);
	g_rand_free(random);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "wave over several nodes", test_wave_over_several_nodes },
		{ "due", test_due },
		{ "pauses differ", test_pauses_differ },
		{ NULL, NULL },
	};

	return unit_run("batch_rule", tests);
}
