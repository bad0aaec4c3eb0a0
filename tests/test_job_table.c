#include <glib.h>

#include "gateway/job_table.h"
#include "unit.h"

#define ROUNDS 200
/* Time until other nodes see a takeover: the pause between reads and the age of
 * a stale read. */
#define TAKEOVER_VISIBLE_MS 1500

typedef struct takeover_cost {
	double first_ms; /* until the first attempt */
	double attempts; /* before the others see that one succeeded */
} takeover_cost_t;

static takeover_cost_t mean_cost(uint32_t nodes)
{
	GRand *random = g_rand_new_with_seed(1);
	takeover_cost_t cost = { 0 };

	for (int round = 0; round < ROUNDS; round++) {
		int32_t *delays_ms = g_new(int32_t, nodes);
		int32_t first_ms = INT32_MAX;

		for (uint32_t i = 0; i < nodes; i++) {
			delays_ms[i] = job_table_takeover_delay_ms(
				random, nodes - 1, false);
			first_ms = MIN(first_ms, delays_ms[i]);
		}
		cost.first_ms += (double)first_ms / ROUNDS;
		for (uint32_t i = 0; i < nodes; i++)
			cost.attempts += (delays_ms[i] <=
					  first_ms + TAKEOVER_VISIBLE_MS) /
					 (double)ROUNDS;
		g_free(delays_ms);
	}
	g_rand_free(random);
	return cost;
}

/* Guards against slow takeovers of a killed node's jobs, and against one orphan
 * costing a write by every node of a large system. */
static void test_orphan_in_large_system(void)
{
	static const uint32_t nodes[] = { 2, 7, 77, 380 };

	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++) {
		takeover_cost_t cost = mean_cost(nodes[i]);

		printf("%u nodes: first attempt after %.0f ms, %.1f attempts\n",
		       nodes[i], cost.first_ms, cost.attempts);
		CU_ASSERT(cost.first_ms <= 500);
		CU_ASSERT(cost.attempts <= 10);
	}
}

/* A job that is assigned to this node, or that its former process owned, must
 * be taken over without the delay that spreads the attempts of all nodes. */
static void test_named_node_does_not_wait(void)
{
	GRand *random = g_rand_new_with_seed(1);

	CU_ASSERT_EQUAL(job_table_takeover_delay_ms(random, 380, true), 0);
	g_rand_free(random);
}

/* A process that restarts with a stale view of the store loses its takeover to
 * the last write of its former process. It must not start the job under that
 * epoch: its segments would get the keys of existing segments. */
static void test_record_of_former_process(void)
{
	job_record_t *record = job_record_new();

	record->owner = g_strdup("n1");
	record->instance = g_strdup("n1-1");
	CU_ASSERT_FALSE(job_table_names_process(record, "n1", "n1-2"));
	CU_ASSERT_FALSE(job_table_names_process(record, "n2", "n1-1"));
	CU_ASSERT(job_table_names_process(record, "n1", "n1-1"));
	job_record_free(record);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "orphan in large system", test_orphan_in_large_system },
		{ "named node does not wait", test_named_node_does_not_wait },
		{ "record of former process", test_record_of_former_process },
		{ NULL, NULL },
	};

	return unit_run("job_table", tests);
}
