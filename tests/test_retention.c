#include "batch/retention.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "object/object_memory.h"

#include "unit.h"

/*
 * Seeded histories with jobs that end, owners that crash, a store that refuses
 * calls and loses answers, another node that removes objects, and a wall clock
 * that steps back. Listings of the store are compared with a naive model: all
 * results of an unmarked record exist, and none of a removed record.
 */
#define JOBS 12
#define RESULTS 15
#define STEP_MS 50
#define HOUR_MS 3600000LL
#define RETENTION_MS (24 * HOUR_MS)
#define RUN_MS 400000
#define REMOVALS_PER_S 2
#define HISTORIES 40
#define T0 1700000000000LL

typedef struct model {
	job_t *job;
	uint64_t version; /* 0: no record */
	bool marked;
	bool forgotten;
	/* The update in flight. */
	int64_t update_ms; /* 0: none */
	bool forget;
	uint64_t if_version;
} model_t;

typedef struct world {
	clock_manual_t clock;
	GRand *random;
	object_memory_t *memory;
	object_store_t *store;
	object_store_t *other;
	retention_t *retention;
	retention_stats_t stats;
	model_t models[JOBS];
	GPtrArray *stores;
	bool forgotten_at_list[JOBS];
	bool listing;
	int violations;
	int checks;
} world_t;

static job_t *copy_job(const job_t *job)
{
	size_t len;
	char *data = job_encode(job, &len);
	job_t *copy = job_decode(data, len, NULL);

	free(data);
	return copy;
}

static int find_job(const world_t *w, const char *id)
{
	for (int i = 0; i < JOBS; i++)
		if (strcmp(w->models[i].job->id, id) == 0)
			return i;
	return -1;
}

static void op_update(const job_t *job, uint64_t version, bool forget,
		      void *user_data)
{
	world_t *w = user_data;
	model_t *model = &w->models[find_job(w, job->id)];

	model->forget = forget;
	model->if_version = version;
	model->update_ms = clock_now_ms(&w->clock.base) +
			   g_rand_int_range(w->random, 1, 3000);
	/* Marking too early would make readable results unavailable. */
	if (!job->results_removed ||
	    (!forget &&
	     w->clock.wall_ms < job_readable_until_ms(job, RETENTION_MS)))
		w->violations++;
}

static void op_removed(const char *job, uint32_t objects, void *user_data)
{
}

static void node_start(world_t *w)
{
	retention_options_t options = {
		.ops = { op_update, op_removed, NULL, w },
		.store = w->store,
		.clock = &w->clock.base,
		.result_ms = RETENTION_MS,
		.removals_per_s = REMOVALS_PER_S,
		.stats = &w->stats,
	};

	w->retention = retention_new(&options);
	for (int i = 0; i < JOBS; i++)
		if (!w->models[i].forgotten)
			retention_apply_record(w->retention,
					       copy_job(w->models[i].job),
					       w->models[i].version);
}

/* The new owner uses another connection to the store; calls of the old one that
 * are in flight still take effect. */
static void node_crash(world_t *w)
{
	for (int i = 0; i < JOBS; i++)
		w->models[i].update_ms = 0;
	retention_free(w->retention);
	w->store = object_memory_open(w->memory);
	g_ptr_array_add(w->stores, w->store);
	node_start(w);
}

static void finish_update(world_t *w, model_t *model)
{
	bool lost_call = g_rand_int_range(w->random, 0, 4) == 0;
	bool lost_answer = g_rand_int_range(w->random, 0, 4) == 0;
	bool current = !model->forgotten && model->version == model->if_version;

	if (!lost_call && current) {
		model->version++;
		model->marked = true;
		model->job->results_removed = true;
		model->forgotten = model->forget;
	}
	model->update_ms = 0;
	if (lost_call || lost_answer)
		retention_update_failed(w->retention, model->job->id);
	else if (model->forgotten)
		retention_record_removed(w->retention, model->job->id);
	else
		retention_apply_record(w->retention, copy_job(model->job),
				       model->version);
}

static void check_listing(const object_listing_t *listing, const GError *error,
			  void *user_data)
{
	world_t *w = user_data;
	int found[JOBS] = { 0 };

	w->listing = false;
	if (error)
		return;
	for (guint i = 0; i < listing->entries->len; i++) {
		const char *key =
			g_array_index(listing->entries, object_entry_t, i).key;

		found[atoi(key + strlen("result/job"))]++;
	}
	for (int i = 0; i < JOBS; i++) {
		w->checks++;
		if (!w->models[i].marked && found[i] != RESULTS)
			w->violations++;
		if (w->forgotten_at_list[i] && found[i] != 0)
			w->violations++;
	}
}

static void list_results(world_t *w)
{
	for (int i = 0; i < JOBS; i++)
		w->forgotten_at_list[i] = w->models[i].forgotten;
	w->listing = true;
	object_list(w->other, "result/", NULL, JOBS * RESULTS + 1,
		    check_listing, w);
}

static void on_ignored(const object_value_t *value, const GError *error,
		       void *user_data)
{
}

static void put_results(world_t *w, int number)
{
	char key[64];

	for (int i = 0; i < RESULTS; i++) {
		snprintf(key, sizeof(key), "result/job%02d/%08d", number, i);
		object_put(w->other, key, "x", 1, OBJECT_ABSENT, "w",
			   on_ignored, NULL);
	}
}

/* Another node, which also owned the jobs for a time, removes objects. */
static void remove_elsewhere(world_t *w)
{
	int number = g_rand_int_range(w->random, 0, JOBS);
	char key[64];

	if (!w->models[number].marked)
		return;
	snprintf(key, sizeof(key), "result/job%02d/%08d", number,
		 g_rand_int_range(w->random, 0, RESULTS));
	object_remove(w->other, key,
		      (uint64_t)g_rand_int_range(w->random, 1, 200), on_ignored,
		      NULL);
}

static void make_job(world_t *w, int number)
{
	job_t *job = job_new();
	/* Some end before, some after the middle of the history. */
	int64_t end_ms = T0 - RETENTION_MS +
			 g_rand_int_range(w->random, -RUN_MS / 4, RUN_MS);

	job->id = g_strdup_printf("job%02d", number);
	job->partner = g_strdup("guild");
	job->workspace = g_strdup("workshop-1");
	job->deployment = g_strdup("muse");
	job->input_file_id = g_strdup("file-1");
	job->endpoint = g_strdup("/v1/chat/completions");
	job->window = g_strdup("24h");
	job->metadata = g_strdup("{}");
	job->digest = g_strdup("d");
	job->state = number == 0 ? JOB_IN_PROGRESS : JOB_COMPLETED;
	job->at_ms[job->state] = end_ms;
	job->expires_ms = end_ms;
	w->models[number] = (model_t){ .job = job, .version = 1 };
	put_results(w, number);
}

static void step(world_t *w)
{
	clock_manual_advance_ms(&w->clock, STEP_MS);
	object_memory_step(w->memory);
	for (guint i = 0; i < w->stores->len; i++)
		object_memory_deliver(w->stores->pdata[i]);
	for (int i = 0; i < JOBS; i++)
		if (w->models[i].update_ms &&
		    clock_now_ms(&w->clock.base) >= w->models[i].update_ms)
			finish_update(w, &w->models[i]);
	retention_step(w->retention);
	if (!w->listing)
		list_results(w);
}

static void inject_faults(world_t *w)
{
	object_memory_faults_t *faults = object_memory_faults(w->memory);

	if (g_rand_int_range(w->random, 0, 400) == 0) {
		faults->lose_answers = g_rand_double(w->random) * 0.3;
		faults->late_writes = g_rand_double(w->random) * 0.3;
		faults->outage_until_ms = clock_now_ms(&w->clock.base) +
					  g_rand_int_range(w->random, 0, 5000);
	}
	if (g_rand_int_range(w->random, 0, 600) == 0)
		node_crash(w);
	if (g_rand_int_range(w->random, 0, 2000) == 0)
		w->clock.wall_ms -= g_rand_int_range(w->random, 0, 60000);
	if (g_rand_int_range(w->random, 0, 20) == 0)
		remove_elsewhere(w);
}

static void settle(world_t *w)
{
	object_memory_faults_t *faults = object_memory_faults(w->memory);

	faults->lose_answers = faults->late_writes = 0;
	faults->outage_until_ms = 0;
	for (int t = 0; t < RUN_MS; t += STEP_MS)
		step(w);
	for (int i = 0; i < JOBS; i++) {
		const model_t *model = &w->models[i];
		bool due = i != 0 && w->clock.wall_ms - RUN_MS >=
					     job_readable_until_ms(
						     model->job, RETENTION_MS);

		w->violations += due && !model->forgotten;
	}
	w->violations += w->models[0].marked;
}

static int run_history(uint32_t seed, retention_stats_t *total)
{
	world_t w = { .random = g_rand_new_with_seed(seed) };
	int64_t start_ms;

	clock_manual_init(&w.clock, T0);
	w.memory = object_memory_new(&w.clock.base, seed);
	object_memory_faults(w.memory)->delay_ms = 20;
	w.other = object_memory_open(w.memory);
	w.store = object_memory_open(w.memory);
	w.stores = g_ptr_array_new();
	g_ptr_array_add(w.stores, w.other);
	g_ptr_array_add(w.stores, w.store);
	for (int i = 0; i < JOBS; i++)
		make_job(&w, i);
	clock_manual_advance_ms(&w.clock, 1000);
	object_memory_step(w.memory);
	node_start(&w);
	start_ms = clock_now_ms(&w.clock.base);
	for (int t = 0; t < RUN_MS; t += STEP_MS) {
		inject_faults(&w);
		step(&w);
	}
	settle(&w);
	w.violations += w.checks == 0;
	w.violations += w.stats.objects * 1000 / REMOVALS_PER_S >
			clock_now_ms(&w.clock.base) - start_ms;
	if (w.violations)
		printf("seed %u: %d problems\n", seed, w.violations);
	total->jobs += w.stats.jobs;
	total->objects += w.stats.objects;
	total->failures += w.stats.failures;
	retention_free(w.retention);
	clock_manual_advance_ms(&w.clock, 100000);
	object_memory_step(w.memory);
	for (guint i = 0; i < w.stores->len; i++) {
		object_memory_deliver(w.stores->pdata[i]);
		object_store_free(w.stores->pdata[i]);
	}
	g_ptr_array_free(w.stores, TRUE);
	object_memory_free(w.memory);
	for (int i = 0; i < JOBS; i++)
		job_free(w.models[i].job);
	g_rand_free(w.random);
	return w.violations;
}

/* Results must be removed eventually, but not while they are readable, and a
 * record must not be removed before its results. */
static void test_histories(void)
{
	retention_stats_t total = { 0 };
	int failures = 0;

	for (uint32_t seed = 1; seed <= HISTORIES; seed++)
		failures += run_history(seed, &total) != 0;
	CU_ASSERT_EQUAL(failures, 0);
	CU_ASSERT(total.failures > 0);
	printf("%d histories, %d jobs, %d objects\n", HISTORIES,
	       (int)total.jobs, (int)total.objects);
}

/* One job whose results are being removed. */
typedef struct single {
	clock_manual_t clock;
	object_memory_t *memory;
	object_store_t *store;
	retention_t *retention;
	retention_stats_t stats;
	int forgets; /* updates that remove the record */
	bool has_record;
} single_t;

/* Behind the results that single_put_results() writes. */
static const char single_result[] = "result/job00/00000100";

static void single_update(const job_t *job, uint64_t version, bool forget,
			  void *user_data)
{
	((single_t *)user_data)->forgets += forget;
}

static gboolean single_has_record(const char *job, void *user_data)
{
	return ((single_t *)user_data)->has_record;
}

static gboolean keep_none(const char *job, void *user_data)
{
	return FALSE;
}

static job_t *single_job(job_state_t state, int64_t created_ms)
{
	world_t w = { .random = g_rand_new_with_seed(1) };
	job_t *job;

	w.memory = object_memory_new(clock_system(), 1);
	w.other = object_memory_open(w.memory);
	make_job(&w, 0);
	job = w.models[0].job;
	job->state = state;
	job->at_ms[JOB_VALIDATING] = created_ms;
	job->results_removed = job_state_is_final(state);
	object_store_free(w.other);
	object_memory_free(w.memory);
	g_rand_free(w.random);
	return job;
}

static void single_run(single_t *single, int64_t ms)
{
	for (int64_t t = 0; t < ms; t += STEP_MS) {
		clock_manual_advance_ms(&single->clock, STEP_MS);
		object_memory_step(single->memory);
		object_memory_deliver(single->store);
		retention_step(single->retention);
	}
}

static void single_put(single_t *single)
{
	object_put(single->store, single_result, "x", 1, OBJECT_ABSENT, "w",
		   on_ignored, NULL);
	object_memory_step(single->memory);
	object_memory_deliver(single->store);
}

static void on_found(const object_value_t *value, const GError *error,
		     void *user_data)
{
	*(bool *)user_data = !error;
}

static bool single_has_result(single_t *single)
{
	bool found = false;

	object_get(single->store, single_result, on_found, &found);
	object_memory_step(single->memory);
	object_memory_deliver(single->store);
	return found;
}

/* The job's record is marked, and its results will be removed. */
static void single_start(single_t *single)
{
	retention_options_t options = {
		.ops = { .update = single_update,
			 .removed = op_removed,
			 .has_record = single_has_record,
			 .user_data = single },
		.clock = &single->clock.base,
		.result_ms = RETENTION_MS,
		.removals_per_s = REMOVALS_PER_S,
		.stats = &single->stats,
	};

	single->has_record = true;
	clock_manual_init(&single->clock, T0);
	single->memory = object_memory_new(&single->clock.base, 1);
	single->store = object_memory_open(single->memory);
	options.store = single->store;
	single->retention = retention_new(&options);
	retention_apply_record(single->retention,
			       single_job(JOB_COMPLETED, 1000), 7);
}

static void single_end(single_t *single)
{
	retention_free(single->retention);
	object_store_free(single->store);
	object_memory_free(single->memory);
}

/* The record was removed, but the answer was lost, and the same job was
 * submitted again, which has the same id. Guards against a removal of its
 * results: a new record begins at version 1, so it passed for an old one. */
static void test_submitted_again(void)
{
	single_t single = { 0 };

	single_start(&single);
	single_run(&single, 15000);
	CU_ASSERT_EQUAL(single.forgets, 1);
	retention_update_failed(single.retention, "job00");
	retention_apply_record(single.retention,
			       single_job(JOB_IN_PROGRESS, 2000), 1);
	single_put(&single);
	single_run(&single, 20000);
	CU_ASSERT(single_has_result(&single));
	CU_ASSERT_EQUAL(single.forgets, 1);
	single_end(&single);
}

static void single_put_results(single_t *single)
{
	for (int i = 0; i < RESULTS; i++) {
		char *key = g_strdup_printf("result/job00/%08d", i);

		object_put(single->store, key, "x", 1, OBJECT_ABSENT, "w",
			   on_ignored, NULL);
		g_free(key);
	}
}

/* The record changes hands during a removal. The next owner ends it, and the
 * same job is submitted again. Guards against the former owner removing the
 * results of that one. */
static void test_dropped_during_removal(void)
{
	single_t single = { 0 };

	single_start(&single);
	single_put_results(&single);
	single_run(&single, 12000);
	retention_drop_unless(single.retention, keep_none, NULL);
	single_put(&single);
	single_run(&single, 20000);
	CU_ASSERT(single_has_result(&single));
	single_end(&single);
}

/* As above, but the former owner does not know of the next one yet. When it
 * still is the owner, it goes on. */
static void test_uncertain_during_removal(void)
{
	single_t single = { 0 };

	single_start(&single);
	single_put_results(&single);
	single_run(&single, 12000);
	single.has_record = false;
	single_put(&single);
	single_run(&single, 20000);
	CU_ASSERT(single_has_result(&single));
	single.has_record = true;
	single_run(&single, 20000);
	CU_ASSERT_FALSE(single_has_result(&single));
	CU_ASSERT_EQUAL(single.forgets, 1);
	single_end(&single);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "results against a model", test_histories },
		{ "submitted again", test_submitted_again },
		{ "dropped during removal", test_dropped_during_removal },
		{ "uncertain during removal", test_uncertain_during_removal },
		{ NULL, NULL },
	};

	return unit_run("retention", tests);
}
