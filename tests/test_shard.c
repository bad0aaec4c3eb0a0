#include "coord/shard.h"

#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "object/object_memory.h"

#include "unit.h"

#define STEP_MS 10

typedef struct node {
	shard_t *shard;
	object_store_t *store;
	shard_stats_t stats;
	shard_budget_t budget;
	int events[SHARD_EVENT_COUNT];
	bool paused;
} node_t;

typedef struct world {
	clock_manual_t clock;
	object_memory_t *memory;
	node_t nodes[2];
	int done;
	int applied;
	int unavailable;
	int timed_out;
	uint64_t tokens;
	uint32_t data_bytes;
} world_t;

static void on_event(shard_t *shard, shard_event_t event, void *user_data)
{
	((node_t *)user_data)->events[event]++;
}

static void node_open(world_t *world, int index, double writes_per_s)
{
	node_t *node = &world->nodes[index];
	shard_options_t options = {
		.clock = &world->clock.base,
		.owner = index ? "127.0.0.1:2" : "127.0.0.1:1",
		.incarnation = 1,
		.budget = &node->budget,
		.stats = &node->stats,
		.observer = { on_event, NULL, node },
		.max_waiting = 100,
	};

	node->store = object_memory_open(world->memory);
	node->budget.writes_per_s = writes_per_s;
	options.store = node->store;
	node->shard = shard_new(&options);
}

static void world_open(world_t *world, double writes_per_s)
{
	*world = (world_t){ .data_bytes = 100 };
	clock_manual_init(&world->clock, 1700000000000);
	world->memory = object_memory_new(&world->clock.base, 1);
	object_memory_faults(world->memory)->delay_ms = 2;
	for (int i = 0; i < 2; i++)
		node_open(world, i, writes_per_s);
}

static void run(world_t *world, int64_t ms)
{
	for (int64_t t = 0; t < ms; t += STEP_MS) {
		clock_manual_advance_ms(&world->clock, STEP_MS);
		object_memory_step(world->memory);
		for (int i = 0; i < 2; i++) {
			if (world->nodes[i].paused)
				continue;
			object_memory_deliver(world->nodes[i].store);
			shard_step(world->nodes[i].shard);
		}
	}
}

static void world_close(world_t *world)
{
	for (int i = 0; i < 2; i++)
		shard_free(world->nodes[i].shard);
	clock_manual_advance_ms(&world->clock, 100000);
	object_memory_step(world->memory);
	for (int i = 0; i < 2; i++) {
		object_memory_deliver(world->nodes[i].store);
		object_store_free(world->nodes[i].store);
	}
	object_memory_free(world->memory);
}

static void on_done(const ledger_record *record, const GError *error,
		    void *user_data)
{
	world_t *world = user_data;

	world->done++;
	if (!error)
		world->applied++;
	else if (error->code == WL_ERROR_UNAVAILABLE)
		world->unavailable++;
	else if (error->code == WL_ERROR_TIMEOUT)
		world->timed_out++;
}

static void update(world_t *world, int index, uint32_t key, int64_t timeout_ms)
{
	ledger_record record = { .kind = 1, .owner_tag = (char *)"t" };
	char token[LEDGER_TOKEN_BYTES] = { 0 };
	char data[2000] = { 0 };

	memcpy(record.key, &key, sizeof(key));
	world->tokens++;
	memcpy(token, &world->tokens, sizeof(world->tokens));
	record.data.data_val = data;
	record.data.data_len = world->data_bytes;
	shard_update(world->nodes[index].shard, &record, token,
		     clock_now_ms(&world->clock.base) + timeout_ms, on_done,
		     world);
}

static void acquire(world_t *world, int index)
{
	shard_set_candidate(world->nodes[index].shard, true);
	run(world, 100);
	CU_ASSERT_TRUE_FATAL(shard_is_owner(world->nodes[index].shard));
}

/* One write a request would exceed the store's rate. */
static void test_group_commit(void)
{
	world_t w;
	int64_t writes;

	world_open(&w, 0);
	acquire(&w, 0);
	writes = w.nodes[0].stats.head_writes;
	for (uint32_t i = 0; i < 50; i++)
		update(&w, 0, i, 1000);
	CU_ASSERT_EQUAL(w.done, 0);
	run(&w, 100);
	CU_ASSERT_EQUAL(w.applied, 50);
	CU_ASSERT_EQUAL(w.nodes[0].stats.head_writes - writes, 1);
	CU_ASSERT_EQUAL(w.nodes[0].stats.largest_batch, 50);
	world_close(&w);
}

/* A renewed lease must not be taken over, a silent one must, and the paused
 * owner must find out by its next write. */
static void test_lease(void)
{
	world_t w;

	world_open(&w, 0);
	acquire(&w, 0);
	shard_set_candidate(w.nodes[1].shard, true);
	run(&w, 30000);
	CU_ASSERT_FALSE(shard_is_owner(w.nodes[1].shard));
	w.nodes[0].paused = true;
	run(&w, 5500);
	CU_ASSERT_FALSE(shard_is_owner(w.nodes[1].shard));
	run(&w, 4000);
	CU_ASSERT_TRUE(shard_is_owner(w.nodes[1].shard));
	CU_ASSERT_EQUAL(shard_epoch(w.nodes[1].shard), 2);
	CU_ASSERT_TRUE(shard_is_owner(w.nodes[0].shard));
	w.nodes[0].paused = false;
	update(&w, 0, 1, 1000);
	run(&w, 100);
	CU_ASSERT_FALSE(shard_is_owner(w.nodes[0].shard));
	CU_ASSERT_EQUAL(w.nodes[0].events[SHARD_LOST], 1);
	CU_ASSERT_EQUAL(w.applied, 0);
	CU_ASSERT_EQUAL(w.unavailable, 1);
	CU_ASSERT_STRING_EQUAL(shard_owner(w.nodes[0].shard), "127.0.0.1:2");
	world_close(&w);
}

/* A planned stop must not cost the lease time, nor updates that wait. */
static void test_release(void)
{
	world_t w;

	world_open(&w, 0);
	acquire(&w, 0);
	shard_set_candidate(w.nodes[1].shard, true);
	run(&w, 100);
	update(&w, 0, 1, 1000);
	shard_release(w.nodes[0].shard);
	CU_ASSERT_FALSE(shard_is_released(w.nodes[0].shard));
	run(&w, 1500);
	CU_ASSERT_TRUE(shard_is_released(w.nodes[0].shard));
	CU_ASSERT_EQUAL(w.applied, 1);
	CU_ASSERT_TRUE(shard_is_owner(w.nodes[1].shard));
	CU_ASSERT_EQUAL(ledger_live_count(shard_ledger(w.nodes[1].shard)), 1);
	world_close(&w);
}

/* A standby must never take over, but as the candidate it must not wait for
 * another whole lease after the time that it has already watched. */
static void test_standby(void)
{
	world_t w;

	world_open(&w, 0);
	acquire(&w, 0);
	shard_set_standby(w.nodes[1].shard, true);
	run(&w, 10000);
	w.nodes[0].paused = true;
	run(&w, 5500);
	CU_ASSERT_EQUAL(w.nodes[1].stats.takeovers, 0);
	shard_set_candidate(w.nodes[1].shard, true);
	shard_set_standby(w.nodes[1].shard, false);
	run(&w, 2700);
	CU_ASSERT_TRUE(shard_is_owner(w.nodes[1].shard));
	world_close(&w);
}

/* The time that a standby has watched must not count for an owner that
 * renews. */
static void test_standby_of_living_owner(void)
{
	world_t w;

	world_open(&w, 0);
	acquire(&w, 0);
	shard_set_standby(w.nodes[1].shard, true);
	run(&w, 20000);
	shard_set_candidate(w.nodes[1].shard, true);
	run(&w, 20000);
	CU_ASSERT_FALSE(shard_is_owner(w.nodes[1].shard));
	CU_ASSERT_TRUE(shard_is_owner(w.nodes[0].shard));
	world_close(&w);
}

/* An owner whom membership no longer chooses hands over by itself. */
static void test_handover(void)
{
	world_t w;

	world_open(&w, 0);
	acquire(&w, 0);
	shard_set_candidate(w.nodes[1].shard, true);
	shard_set_candidate(w.nodes[0].shard, false);
	run(&w, 2500);
	CU_ASSERT_TRUE(shard_is_owner(w.nodes[0].shard));
	run(&w, 2000);
	CU_ASSERT_FALSE(shard_is_owner(w.nodes[0].shard));
	CU_ASSERT_TRUE(shard_is_owner(w.nodes[1].shard));
	world_close(&w);
}

/* In an outage the buffer is bounded, what waits too long is refused as
 * certainly without effect, and the rest is written in few writes. */
static void test_outage(void)
{
	world_t w;
	object_memory_faults_t *faults;
	int64_t writes;

	world_open(&w, 20);
	faults = object_memory_faults(w.memory);
	run(&w, 1000);
	acquire(&w, 0);
	faults->outage_until_ms = clock_now_ms(&w.clock.base) + 4000;
	for (uint32_t i = 0; i < 50; i++)
		update(&w, 0, i, 500);
	for (uint32_t i = 50; i < 150; i++)
		update(&w, 0, i, 20000);
	CU_ASSERT_EQUAL(w.done, 0);
	run(&w, 1000);
	/* 50 above the bound of 100, 50 after their time. */
	CU_ASSERT_EQUAL(w.unavailable, 100);
	CU_ASSERT_EQUAL(w.applied, 0);
	writes = object_memory_stats(w.memory)->writes;
	run(&w, 8000);
	CU_ASSERT_EQUAL(w.applied, 50);
	CU_ASSERT_EQUAL(w.timed_out, 0);
	/* The group, and a renewal each 2 s. */
	CU_ASSERT(object_memory_stats(w.memory)->writes - writes <= 5);
	CU_ASSERT_EQUAL(w.nodes[0].events[SHARD_STORE_BACK], 1);
	world_close(&w);
}

/* Offered updates must not raise the rate of writes above the budget. */
static void test_budget(void)
{
	world_t w;
	int64_t writes;

	world_open(&w, 20);
	run(&w, 1000);
	acquire(&w, 0);
	writes = object_memory_stats(w.memory)->writes;
	for (uint32_t i = 0; i < 500; i++) {
		update(&w, 0, i, 1000);
		run(&w, 20);
	}
	writes = object_memory_stats(w.memory)->writes - writes;
	CU_ASSERT_EQUAL(w.unavailable, 0);
	CU_ASSERT(w.applied > 480);
	CU_ASSERT(writes <= 10 * 20 + 5);
	CU_ASSERT(writes >= 10 * 20 * 8 / 10);
	world_close(&w);
}

/* A write whose answer was lost is resolved by its token, not repeated. */
static void test_lost_answer(void)
{
	world_t w;
	object_memory_faults_t *faults;

	world_open(&w, 0);
	faults = object_memory_faults(w.memory);
	acquire(&w, 0);
	faults->lose_answers = 1;
	update(&w, 0, 1, 10000);
	run(&w, 50);
	faults->lose_answers = 0;
	run(&w, 3000);
	CU_ASSERT_EQUAL(w.applied, 1);
	CU_ASSERT_EQUAL(w.nodes[0].stats.uncertain, 1);
	CU_ASSERT_EQUAL(w.nodes[0].events[SHARD_LOST], 0);
	world_close(&w);
}

/* A head that cannot be decoded must not be overwritten. */
static void test_broken_head(void)
{
	world_t w;
	object_store_t *other;

	world_open(&w, 0);
	other = object_memory_open(w.memory);
	object_put(other, "shard/0", "junk", 4, 0, "x/0/1/released", NULL,
		   NULL);
	object_memory_step(w.memory);
	shard_set_candidate(w.nodes[0].shard, true);
	run(&w, 5000);
	CU_ASSERT_FALSE(shard_is_owner(w.nodes[0].shard));
	CU_ASSERT(w.nodes[0].events[SHARD_BROKEN] > 0);
	CU_ASSERT_EQUAL(object_memory_stats(w.memory)->writes, 1);
	object_store_free(other);
	world_close(&w);
}

/* Results must be sent once, with the segment, and not again with the head
 * that makes them durable; a successor must find them. An outage between the
 * two writes must neither lose an update nor call a refused one uncertain. */
static void test_segment_ahead(void)
{
	world_t w;
	object_memory_faults_t *faults;
	uint64_t bytes;

	world_open(&w, 0);
	w.data_bytes = 2000;
	faults = object_memory_faults(w.memory);
	acquire(&w, 0);
	bytes = object_memory_stats(w.memory)->bytes_written;
	for (uint32_t i = 0; i < 50; i++)
		update(&w, 0, i, 1000);
	run(&w, 100);
	CU_ASSERT_EQUAL(w.applied, 50);
	bytes = object_memory_stats(w.memory)->bytes_written - bytes;
	CU_ASSERT(bytes < 50 * 2000 * 3 / 2);
	for (uint32_t i = 50; i < 100; i++)
		update(&w, 0, i, 3000);
	shard_step(w.nodes[0].shard);
	faults->outage_until_ms = clock_now_ms(&w.clock.base) + 1000;
	run(&w, 2500);
	CU_ASSERT_EQUAL(w.applied, 100);
	CU_ASSERT_EQUAL(w.timed_out + w.unavailable, 0);
	w.nodes[0].paused = true;
	shard_set_candidate(w.nodes[1].shard, true);
	run(&w, 9000);
	CU_ASSERT_TRUE(shard_is_owner(w.nodes[1].shard));
	for (uint32_t i = 0; i < 100; i++)
		update(&w, 1, i, 1000);
	run(&w, 500);
	/* All lose by version against the records of the first owner. */
	CU_ASSERT_EQUAL(w.applied, 100);
	CU_ASSERT_EQUAL(w.nodes[1].stats.conflicts, 100);
	world_close(&w);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "group commit", test_group_commit },
		{ "lease", test_lease },
		{ "release", test_release },
		{ "standby", test_standby },
		{ "standby of a living owner", test_standby_of_living_owner },
		{ "handover", test_handover },
		{ "outage", test_outage },
		{ "budget", test_budget },
		{ "lost answer", test_lost_answer },
		{ "segment ahead of the head", test_segment_ahead },
		{ "broken head", test_broken_head },
		{ NULL, NULL },
	};

	return unit_run("shard", tests);
}
