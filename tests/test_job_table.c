#include <glib.h>
#include <string.h>

#include "gateway/job_table.h"
#include "gateway/segment_cache.h"
#include "object/object_memory.h"
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

static void ignore_write(const object_value_t *value, const GError *error,
			 void *user_data)
{
	CU_ASSERT_PTR_NULL(error);
}

static void put_record(object_store_t *store, const char *key, bool ended)
{
	job_record_t *record = job_record_new();
	char *text;

	record->host = g_strdup("h");
	record->path = g_strdup("/b/1");
	record->owner = g_strdup("n1");
	record->instance = g_strdup("n1-1");
	record->items = 2;
	record->ended = ended;
	text = job_record_encode(record);
	object_put(store, key, text, strlen(text), OBJECT_ABSENT, "w",
		   ignore_write, NULL);
	g_free(text);
	job_record_free(record);
}

/* Callers read closed jobs at any node. Guards against a read of the store for
 * a record that the node has seen and that no longer changes, and against one
 * that may be stale. */
static void test_closed_record(void)
{
	struct event_base *base = event_base_new();
	clock_manual_t clock;
	object_memory_t *memory;
	object_store_t *store;
	counter_set_t *counters = counter_set_new();
	segment_cache_t *cache = segment_cache_new(1024);
	job_context_t context = { .base = base,
				  .clock = &clock.base,
				  .counters = counters,
				  .node = "n2" };
	job_table_t *table;

	clock_manual_init(&clock, 0);
	memory = object_memory_new(&clock.base, 1);
	store = object_memory_open(memory);
	put_record(store, JOB_RECORD_PREFIX "closed", true);
	put_record(store, JOB_RECORD_PREFIX "open", false);
	context.store = store;
	context.stale_store = store;
	table = job_table_new(&context, job_owner_new(&context, cache));
	for (int i = 0; i < 20; i++) {
		clock_manual_advance_ms(&clock, 10);
		object_memory_step(memory);
		object_memory_deliver(store);
	}
	CU_ASSERT_STRING_EQUAL(job_table_owner(table, "open"), "n1");
	CU_ASSERT_PTR_NULL(job_table_closed_record(table, "open"));
	CU_ASSERT_PTR_NULL(job_table_closed_record(table, "absent"));
	CU_ASSERT_PTR_NOT_NULL(job_table_closed_record(table, "closed"));
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "orphan in large system", test_orphan_in_large_system },
		{ "named node does not wait", test_named_node_does_not_wait },
		{ "record of former process", test_record_of_former_process },
		{ "closed record", test_closed_record },
		{ NULL, NULL },
	};

	return unit_run("job_table", tests);
}
