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

typedef struct fixture {
	clock_manual_t clock;
	object_memory_t *memory;
	node_t nodes[2];
	int done;
	int applied;
	int unavailable;
	int timed_out;
	uint64_t tokens;
	uint32_t data_bytes;
} fixture_t;

static void on_event(shard_t *shard, shard_event_t event, void *user_data)
{
	((node_t *)user_data)->events[event]++;
}

static void node_open(fixture_t *fixture, int index, double writes_per_s)
{
	node_t *node = &fixture->nodes[index];
	shard_options_t options = {
		.clock = &fixture->clock.base,
		.owner = index ? "127.0.0.1:2" : "127.0.0.1:1",
		.incarnation = 1,
		.budget = &node->budget,
		.stats = &node->stats,
		.observer = { on_event, NULL, node },
		.max_waiting = 100,
	};

	node->store = object_memory_open(fixture->memory);
	node->budget.writes_per_s = writes_per_s;
	options.store = node->store;
	node->shard = shard_new(&options);
}

static void fixture_open(fixture_t *fixture, double writes_per_s)
{
	*fixture = (fixture_t){ .data_bytes = 100 };
	clock_manual_init(&fixture->clock, 1700000000000);
	fixture->memory = object_memory_new(&fixture->clock.base, 1);
	object_memory_faults(fixture->memory)->delay_ms = 2;
	for (int i = 0; i < 2; i++)
		node_open(fixture, i, writes_per_s);
}

static void run_for(fixture_t *fixture, int64_t ms)
{
	for (int64_t t = 0; t < ms; t += STEP_MS) {
		clock_manual_advance_ms(&fixture->clock, STEP_MS);
		object_memory_step(fixture->memory);
		for (int i = 0; i < 2; i++) {
			if (fixture->nodes[i].paused)
				continue;
			object_memory_deliver(fixture->nodes[i].store);
			shard_step(fixture->nodes[i].shard);
		}
	}
}

static void fixture_close(fixture_t *fixture)
{
	for (int i = 0; i < 2; i++)
		shard_free(fixture->nodes[i].shard);
	clock_manual_advance_ms(&fixture->clock, 100000);
	object_memory_step(fixture->memory);
	for (int i = 0; i < 2; i++) {
		object_memory_deliver(fixture->nodes[i].store);
		object_store_free(fixture->nodes[i].store);
	}
	object_memory_free(fixture->memory);
}

static void on_done(const ledger_record *record, const GError *error,
		    void *user_data)
{
	fixture_t *fixture = user_data;

	fixture->done++;
	if (!error)
		fixture->applied++;
	else if (error->code == WL_ERROR_UNAVAILABLE)
		fixture->unavailable++;
	else if (error->code == WL_ERROR_TIMEOUT)
		fixture->timed_out++;
}

static void update(fixture_t *fixture, int index, uint32_t key,
		   int64_t timeout_ms)
{
	ledger_record record = { .kind = 1, .owner_tag = (char *)"t" };
	char token[LEDGER_TOKEN_BYTES] = { 0 };
	char data[2000] = { 0 };

	memcpy(record.key, &key, sizeof(key));
	fixture->tokens++;
	memcpy(token, &fixture->tokens, sizeof(fixture->tokens));
	record.data.data_val = data;
	record.data.data_len = fixture->data_bytes;
	shard_update(fixture->nodes[index].shard, &record, token,
		     clock_now_ms(&fixture->clock.base) + timeout_ms, on_done,
		     fixture);
}

static void acquire(fixture_t *fixture, int index)
{
	shard_set_candidate(fixture->nodes[index].shard, true);
	run_for(fixture, 100);
	CU_ASSERT_TRUE_FATAL(shard_is_owner(fixture->nodes[index].shard));
}

/* Updates that wait at the same time must share one head write, since one write
 * per update would exceed the store's rate limit. */
static void test_group_commit(void)
{
	fixture_t w;
	int64_t writes;

	fixture_open(&w, 0);
	acquire(&w, 0);
	writes = w.nodes[0].stats.head_writes;
	for (uint32_t i = 0; i < 50; i++)
		update(&w, 0, i, 1000);
	CU_ASSERT_EQUAL(w.done, 0);
	run_for(&w, 100);
	CU_ASSERT_EQUAL(w.applied, 50);
	CU_ASSERT_EQUAL(w.nodes[0].stats.head_writes - writes, 1);
	CU_ASSERT_EQUAL(w.nodes[0].stats.largest_batch, 50);
	fixture_close(&w);
}

/* A shard with a renewed lease must not be taken over. One with an expired
 * lease must be, and the paused owner must notice it at its next write. */
static void test_lease(void)
{
	fixture_t w;

	fixture_open(&w, 0);
	acquire(&w, 0);
	shard_set_candidate(w.nodes[1].shard, true);
	run_for(&w, 30000);
	CU_ASSERT_FALSE(shard_is_owner(w.nodes[1].shard));
	w.nodes[0].paused = true;
	run_for(&w, 5500);
	CU_ASSERT_FALSE(shard_is_owner(w.nodes[1].shard));
	run_for(&w, 4000);
	CU_ASSERT_TRUE(shard_is_owner(w.nodes[1].shard));
	CU_ASSERT_EQUAL(shard_epoch(w.nodes[1].shard), 2);
	CU_ASSERT_TRUE(shard_is_owner(w.nodes[0].shard));
	w.nodes[0].paused = false;
	update(&w, 0, 1, 1000);
	run_for(&w, 100);
	CU_ASSERT_FALSE(shard_is_owner(w.nodes[0].shard));
	CU_ASSERT_EQUAL(w.nodes[0].events[SHARD_LOST], 1);
	CU_ASSERT_EQUAL(w.applied, 0);
	CU_ASSERT_EQUAL(w.unavailable, 1);
	CU_ASSERT_STRING_EQUAL(shard_owner(w.nodes[0].shard), "127.0.0.1:2");
	fixture_close(&w);
}

/* After a release, the next owner must not wait for the lease to expire, and
 * waiting updates must not be lost. */
static void test_release(void)
{
	fixture_t w;

	fixture_open(&w, 0);
	acquire(&w, 0);
	shard_set_candidate(w.nodes[1].shard, true);
	run_for(&w, 100);
	update(&w, 0, 1, 1000);
	shard_release(w.nodes[0].shard);
	CU_ASSERT_FALSE(shard_is_released(w.nodes[0].shard));
	run_for(&w, 1500);
	CU_ASSERT_TRUE(shard_is_released(w.nodes[0].shard));
	CU_ASSERT_EQUAL(w.applied, 1);
	CU_ASSERT_TRUE(shard_is_owner(w.nodes[1].shard));
	CU_ASSERT_EQUAL(ledger_live_count(shard_ledger(w.nodes[1].shard)), 1);
	fixture_close(&w);
}

/* A standby must not take over. When it becomes the candidate, the time for
 * which it has read an unchanged head must count towards the lease. */
static void test_standby(void)
{
	fixture_t w;

	fixture_open(&w, 0);
	acquire(&w, 0);
	shard_set_standby(w.nodes[1].shard, true);
	run_for(&w, 10000);
	w.nodes[0].paused = true;
	run_for(&w, 5500);
	CU_ASSERT_EQUAL(w.nodes[1].stats.takeovers, 0);
	shard_set_candidate(w.nodes[1].shard, true);
	shard_set_standby(w.nodes[1].shard, false);
	run_for(&w, 2700);
	CU_ASSERT_TRUE(shard_is_owner(w.nodes[1].shard));
	fixture_close(&w);
}

/* The time for which a standby has read the head must not count towards the
 * lease of an owner that renews it. */
static void test_standby_of_renewing_owner(void)
{
	fixture_t w;

	fixture_open(&w, 0);
	acquire(&w, 0);
	shard_set_standby(w.nodes[1].shard, true);
	run_for(&w, 20000);
	shard_set_candidate(w.nodes[1].shard, true);
	run_for(&w, 20000);
	CU_ASSERT_FALSE(shard_is_owner(w.nodes[1].shard));
	CU_ASSERT_TRUE(shard_is_owner(w.nodes[0].shard));
	fixture_close(&w);
}

/* An owner that is no longer the candidate must release the shard to the new
 * candidate. */
static void test_release_by_non_candidate(void)
{
	fixture_t w;

	fixture_open(&w, 0);
	acquire(&w, 0);
	shard_set_candidate(w.nodes[1].shard, true);
	shard_set_candidate(w.nodes[0].shard, false);
	run_for(&w, 2500);
	CU_ASSERT_TRUE(shard_is_owner(w.nodes[0].shard));
	run_for(&w, 2000);
	CU_ASSERT_FALSE(shard_is_owner(w.nodes[0].shard));
	CU_ASSERT_TRUE(shard_is_owner(w.nodes[1].shard));
	fixture_close(&w);
}

/* During an outage of the store, the queue must be bounded and updates past
 * their deadline must be refused as certainly without effect. Afterwards the
 * others must be committed by few writes. */
static void test_outage(void)
{
	fixture_t w;
	object_memory_faults_t *faults;
	int64_t writes;

	fixture_open(&w, 20);
	faults = object_memory_faults(w.memory);
	run_for(&w, 1000);
	acquire(&w, 0);
	faults->outage_until_ms = clock_now_ms(&w.clock.base) + 4000;
	for (uint32_t i = 0; i < 50; i++)
		update(&w, 0, i, 500);
	for (uint32_t i = 50; i < 150; i++)
		update(&w, 0, i, 20000);
	CU_ASSERT_EQUAL(w.done, 0);
	run_for(&w, 1000);
	/* 50 above max_waiting of 100, and 50 past their deadline. */
	CU_ASSERT_EQUAL(w.unavailable, 100);
	CU_ASSERT_EQUAL(w.applied, 0);
	writes = object_memory_stats(w.memory)->writes;
	run_for(&w, 8000);
	CU_ASSERT_EQUAL(w.applied, 50);
	CU_ASSERT_EQUAL(w.timed_out, 0);
	/* The group commit, and one renewal every 2 s. */
	CU_ASSERT(object_memory_stats(w.memory)->writes - writes <= 5);
	CU_ASSERT_EQUAL(w.nodes[0].events[SHARD_STORE_BACK], 1);
	fixture_close(&w);
}

/* The rate of store writes must not exceed the budget, whatever the rate of
 * updates is. */
static void test_budget(void)
{
	fixture_t w;
	int64_t writes;

	fixture_open(&w, 20);
	run_for(&w, 1000);
	acquire(&w, 0);
	writes = object_memory_stats(w.memory)->writes;
	for (uint32_t i = 0; i < 500; i++) {
		update(&w, 0, i, 1000);
		run_for(&w, 20);
	}
	writes = object_memory_stats(w.memory)->writes - writes;
	CU_ASSERT_EQUAL(w.unavailable, 0);
	CU_ASSERT(w.applied > 480);
	CU_ASSERT(writes <= 10 * 20 + 5);
	CU_ASSERT(writes >= 10 * 20 * 8 / 10);
	fixture_close(&w);
}

/* After a write without a response, the owner must find by its token that the
 * write was applied, and must not apply its updates twice. */
static void test_lost_response(void)
{
	fixture_t w;
	object_memory_faults_t *faults;

	fixture_open(&w, 0);
	faults = object_memory_faults(w.memory);
	acquire(&w, 0);
	faults->lose_answers = 1;
	update(&w, 0, 1, 10000);
	run_for(&w, 50);
	faults->lose_answers = 0;
	run_for(&w, 3000);
	CU_ASSERT_EQUAL(w.applied, 1);
	CU_ASSERT_EQUAL(w.nodes[0].stats.uncertain, 1);
	CU_ASSERT_EQUAL(w.nodes[0].events[SHARD_LOST], 0);
	fixture_close(&w);
}

/* A head that cannot be decoded must not be overwritten. */
static void test_malformed_head(void)
{
	fixture_t w;
	object_store_t *other;

	fixture_open(&w, 0);
	other = object_memory_open(w.memory);
	object_put(other, "shard/0", "junk", 4, 0, "x/0/1/released", NULL,
		   NULL);
	object_memory_step(w.memory);
	shard_set_candidate(w.nodes[0].shard, true);
	run_for(&w, 5000);
	CU_ASSERT_FALSE(shard_is_owner(w.nodes[0].shard));
	CU_ASSERT(w.nodes[0].events[SHARD_BROKEN] > 0);
	CU_ASSERT_EQUAL(object_memory_stats(w.memory)->writes, 1);
	object_store_free(other);
	fixture_close(&w);
}

/* Updates in a segment written ahead must not be written again with the head
 * that makes them durable, and a new owner must find them. An outage between
 * the two writes must not lose an update or report a refused one as timed
 * out. */
static void test_write_ahead(void)
{
	fixture_t w;
	object_memory_faults_t *faults;
	uint64_t bytes;

	fixture_open(&w, 0);
	w.data_bytes = 2000;
	faults = object_memory_faults(w.memory);
	acquire(&w, 0);
	bytes = object_memory_stats(w.memory)->bytes_written;
	for (uint32_t i = 0; i < 50; i++)
		update(&w, 0, i, 1000);
	run_for(&w, 100);
	CU_ASSERT_EQUAL(w.applied, 50);
	bytes = object_memory_stats(w.memory)->bytes_written - bytes;
	CU_ASSERT(bytes < 50 * 2000 * 3 / 2);
	for (uint32_t i = 50; i < 100; i++)
		update(&w, 0, i, 3000);
	shard_step(w.nodes[0].shard);
	faults->outage_until_ms = clock_now_ms(&w.clock.base) + 1000;
	run_for(&w, 2500);
	CU_ASSERT_EQUAL(w.applied, 100);
	CU_ASSERT_EQUAL(w.timed_out + w.unavailable, 0);
	w.nodes[0].paused = true;
	shard_set_candidate(w.nodes[1].shard, true);
	run_for(&w, 9000);
	CU_ASSERT_TRUE(shard_is_owner(w.nodes[1].shard));
	for (uint32_t i = 0; i < 100; i++)
		update(&w, 1, i, 1000);
	run_for(&w, 500);
	/* All conflict with the records of the first owner. */
	CU_ASSERT_EQUAL(w.applied, 100);
	CU_ASSERT_EQUAL(w.nodes[1].stats.conflicts, 100);
	fixture_close(&w);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "group commit", test_group_commit },
		{ "lease", test_lease },
		{ "release", test_release },
		{ "standby", test_standby },
		{ "standby of a renewing owner",
		  test_standby_of_renewing_owner },
		{ "release by a node that is not the candidate",
		  test_release_by_non_candidate },
		{ "outage", test_outage },
		{ "budget", test_budget },
		{ "lost response", test_lost_response },
		{ "segment ahead of the head", test_write_ahead },
		{ "malformed head", test_malformed_head },
		{ NULL, NULL },
	};

	return unit_run("shard", tests);
}
