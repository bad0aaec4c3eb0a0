#include "batch/file_sweep.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "object/object_memory.h"

#include "unit.h"

/*
 * Seeded histories with files of several ages, jobs that need some of them,
 * owners that crash, a store that refuses calls and loses answers, and a wall
 * clock that steps back. The remaining files are compared with a naive model.
 */
#define FILES 30
#define PARTS 3
#define STEP_MS 50
#define RETENTION_MS 100000LL
#define LIMIT_MS (RETENTION_MS + FILE_SWEEP_MARGIN_MS)
#define RUN_MS 300000
#define SETTLE_MS 300000
#define HISTORIES 40
#define T0 1700000000000LL

typedef struct world {
	clock_manual_t clock;
	GRand *random;
	object_memory_t *memory;
	GPtrArray *stores;
	object_store_t *reader;
	file_sweep_t *sweep;
	file_sweep_stats_t stats;
	int64_t created_ms[FILES];
	bool needed[FILES];
	uint64_t requested_sweep; /* 0: no request is pending */
	int64_t answer_ms;
	int found[FILES];
	int violations;
} world_t;

static bool op_is_owner(void *user_data)
{
	return true;
}

static int64_t op_created_ms(const char *id)
{
	return g_ascii_strtoll(id + strlen("00-"), NULL, 16);
}

static void op_ask_needed(uint64_t sweep, void *user_data)
{
	world_t *w = user_data;

	w->requested_sweep = sweep;
	w->answer_ms = clock_now_ms(&w->clock.base) +
		       g_rand_int_range(w->random, 1, 4000);
}

static void op_removed(const char *id, uint32_t objects, void *user_data)
{
	world_t *w = user_data;

	/* No needed file may be removed; an old file that is not needed cannot
	 * become needed again. */
	w->violations += w->needed[atoi(id)];
}

static char *file_id(const world_t *w, int number)
{
	return g_strdup_printf("%02d-%012" G_GINT64_MODIFIER "x", number,
			       (gint64)w->created_ms[number]);
}

static void answer_needed(world_t *w)
{
	GHashTable *ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uint64_t requested_sweep = w->requested_sweep;

	for (int i = 0; i < FILES; i++)
		if (w->needed[i])
			g_hash_table_add(ids, file_id(w, i));
	if (g_rand_int_range(w->random, 0, 4) == 0)
		g_clear_pointer(&ids, g_hash_table_destroy);
	w->requested_sweep = 0;
	file_sweep_set_needed(w->sweep, requested_sweep, ids);
}

static void node_start(world_t *w)
{
	file_sweep_options_t options = {
		.ops = { op_is_owner, op_created_ms, op_ask_needed, op_removed,
			 w },
		.store = object_memory_open(w->memory),
		.clock = &w->clock.base,
		.file_ms = RETENTION_MS,
		.period_ms = 20000,
		.removals_per_s = 5,
		.stats = &w->stats,
	};

	g_ptr_array_add(w->stores, options.store);
	w->requested_sweep = 0;
	w->sweep = file_sweep_new(&options);
}

static void on_ignored(const object_value_t *value, const GError *error,
		       void *user_data)
{
}

static void put_file(world_t *w, int number)
{
	char *id = file_id(w, number);

	for (int part = 0; part < PARTS; part++) {
		char *key = part == PARTS - 1 ?
				    g_strdup_printf("file/%s/meta", id) :
				    g_strdup_printf("file/%s/%06d", id, part);

		object_put(w->reader, key, "x", 1, OBJECT_ABSENT, "w",
			   on_ignored, NULL);
		g_free(key);
	}
	g_free(id);
}

static void step(world_t *w)
{
	clock_manual_advance_ms(&w->clock, STEP_MS);
	object_memory_step(w->memory);
	for (guint i = 0; i < w->stores->len; i++)
		object_memory_deliver(w->stores->pdata[i]);
	if (w->requested_sweep && clock_now_ms(&w->clock.base) >= w->answer_ms)
		answer_needed(w);
	file_sweep_step(w->sweep);
}

static void inject_faults(world_t *w)
{
	object_memory_faults_t *faults = object_memory_faults(w->memory);
	int number = g_rand_int_range(w->random, 0, FILES);

	if (g_rand_int_range(w->random, 0, 400) == 0) {
		faults->lose_answers = g_rand_double(w->random) * 0.3;
		faults->outage_until_ms = clock_now_ms(&w->clock.base) +
					  g_rand_int_range(w->random, 0, 5000);
	}
	if (g_rand_int_range(w->random, 0, 800) == 0) {
		file_sweep_free(w->sweep);
		node_start(w);
	}
	if (g_rand_int_range(w->random, 0, 2000) == 0)
		w->clock.wall_ms -= g_rand_int_range(w->random, 0, 30000);
	/* A job may start only with a file within its retention; jobs end. */
	if (g_rand_int_range(w->random, 0, 100) == 0 &&
	    w->clock.wall_ms < w->created_ms[number] + RETENTION_MS)
		w->needed[number] = true;
	if (g_rand_int_range(w->random, 0, 1000) == 0)
		w->needed[number] = false;
}

static void on_listed(const object_listing_t *listing, const GError *error,
		      void *user_data)
{
	world_t *w = user_data;

	for (guint i = 0; listing && i < listing->entries->len; i++)
		w->found[atoi(
			g_array_index(listing->entries, object_entry_t, i).key +
			strlen("file/"))]++;
}

/* Needed and recent files must be complete, all others removed. */
static void check_remaining(world_t *w)
{
	/* A sweep may still be due for the files that became old last. */
	int64_t old_ms = w->clock.wall_ms - LIMIT_MS - SETTLE_MS / 2;
	int64_t young_ms = w->clock.wall_ms - LIMIT_MS;

	object_list(w->reader, "file/", NULL, FILES * PARTS + 1, on_listed, w);
	for (int t = 0; t < 20; t++) {
		clock_manual_advance_ms(&w->clock, STEP_MS);
		object_memory_step(w->memory);
		object_memory_deliver(w->reader);
	}
	for (int i = 0; i < FILES; i++) {
		if ((w->needed[i] || w->created_ms[i] >= young_ms) &&
		    w->found[i] != PARTS)
			w->violations++;
		if (!w->needed[i] && w->created_ms[i] < old_ms &&
		    w->found[i] != 0)
			w->violations++;
	}
}

static int run_history(uint32_t seed, file_sweep_stats_t *total)
{
	world_t w = { .random = g_rand_new_with_seed(seed) };

	clock_manual_init(&w.clock, T0);
	w.memory = object_memory_new(&w.clock.base, seed);
	object_memory_faults(w.memory)->delay_ms = 20;
	w.reader = object_memory_open(w.memory);
	w.stores = g_ptr_array_new();
	g_ptr_array_add(w.stores, w.reader);
	for (int i = 0; i < FILES; i++) {
		int32_t age = g_rand_int_range(w.random, 0, 2 * LIMIT_MS);

		w.created_ms[i] = T0 - age;
		w.needed[i] = g_rand_boolean(w.random);
		put_file(&w, i);
	}
	node_start(&w);
	for (int t = 0; t < RUN_MS; t += STEP_MS) {
		inject_faults(&w);
		step(&w);
	}
	object_memory_faults(w.memory)->lose_answers = 0;
	for (int t = 0; t < SETTLE_MS; t += STEP_MS)
		step(&w);
	check_remaining(&w);
	if (w.violations)
		printf("seed %u: %d problems\n", seed, w.violations);
	total->files += w.stats.files;
	total->failures += w.stats.failures;
	file_sweep_free(w.sweep);
	clock_manual_advance_ms(&w.clock, 100000);
	object_memory_step(w.memory);
	for (guint i = 0; i < w.stores->len; i++) {
		object_memory_deliver(w.stores->pdata[i]);
		object_store_free(w.stores->pdata[i]);
	}
	g_ptr_array_free(w.stores, TRUE);
	object_memory_free(w.memory);
	g_rand_free(w.random);
	return w.violations;
}

/* Old files must be removed eventually, files that a job needs never. */
static void test_histories(void)
{
	file_sweep_stats_t total = { 0 };
	int failures = 0;

	for (uint32_t seed = 1; seed <= HISTORIES; seed++)
		failures += run_history(seed, &total) != 0;
	CU_ASSERT_EQUAL(failures, 0);
	CU_ASSERT(total.files > 0);
	CU_ASSERT(total.failures > 0);
	printf("%d histories, %d files, %d failures\n", HISTORIES,
	       (int)total.files, (int)total.failures);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "files against a model", test_histories },
		{ NULL, NULL },
	};

	return unit_run("file_sweep", tests);
}
