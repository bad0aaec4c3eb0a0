#include <glib.h>

#include "gateway/job_table.h"
#include "unit.h"

#define ROUNDS 200
/* Until the other nodes see a takeover: a pause and a stale read. */
#define VIEW_MS 1500

typedef struct orphan_cost {
	double first_ms; /* until the first try */
	double tries; /* before the others see that one has succeeded */
} orphan_cost_t;

static orphan_cost_t cost_with(uint32_t nodes)
{
	GRand *random = g_rand_new_with_seed(1);
	orphan_cost_t cost = { 0 };

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
			cost.tries += (delays_ms[i] <= first_ms + VIEW_MS) /
				      (double)ROUNDS;
		g_free(delays_ms);
	}
	g_rand_free(random);
	return cost;
}

/* A killed node's jobs must find an owner soon, and one orphan must not cost a
 * write by every node of a large system. */
static void test_orphan_in_large_system(void)
{
	static const uint32_t nodes[] = { 2, 7, 77, 380 };

	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++) {
		orphan_cost_t cost = cost_with(nodes[i]);

		printf("%u nodes: first try after %.0f ms, %.1f tries\n",
		       nodes[i], cost.first_ms, cost.tries);
		CU_ASSERT(cost.first_ms <= 500);
		CU_ASSERT(cost.tries <= 10);
	}
}

/* A job that was given to this node, or that its former process ran, must not
 * wait for a turn among all nodes. */
static void test_named_node_does_not_wait(void)
{
	GRand *random = g_rand_new_with_seed(1);

	CU_ASSERT_EQUAL(job_table_takeover_delay_ms(random, 380, true), 0);
	g_rand_free(random);
}

/* A process that restarts with an old view of the store loses its takeover to
 * what its former process wrote last. It must not go on under that epoch: its
 * segments would have the keys of those that exist already. */
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
