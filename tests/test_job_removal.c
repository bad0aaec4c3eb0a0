#include <string.h>
#include <unistd.h>

#include "base/counter.h"
#include "base/error.h"
#include "gateway/job_owner.h"
#include "gateway/job_progress.h"
#include "gateway/job_removal.h"
#include "gateway/job_table.h"
#include "object/object_memory.h"
#include "unit.h"

/* Tests the removal of what batch jobs leave behind in the store. */
#define STEP_MS 1000
#define STEP_SLEEP_US 5
#define WATCH_MS 2500
#define ALL_ENTRIES 1000000
#define HOUR_S 3600
/* Records are removed a quarter of an hour after they were seen, within five
 * minutes. */
#define RECORDS_S (21 * 60)
/* Of the machine, after which the table has seen all changes: it pauses for a
 * second between its watches, and is steady after the lease time. */
#define SEEN_S 3
/* So long that there are several sweeps. */
#define SWEEPS_S (10 * HOUR_S)
#define DAY_MS (24 * HOUR_S * 1000LL)
#define YOUNG_S (9 * 60)

/* A store that answers watches, with what has changed. */
typedef struct watched_store {
	object_store_t base; /* first member */
	object_store_t *direct;
	const clock_source_t *clock;
	GHashTable *seen; /* keys of the watched objects */
	bool silent; /* watches get no answer */
	bool forgets; /* the history of the next watch is gone */
	bool watching;
	int64_t watch_due_ms;
	object_list_done_t watch_done;
	void *watch_data;
} watched_store_t;

typedef struct node {
	struct event_base *base;
	clock_manual_t clock;
	GRand *random;
	counter_set_t *counters;
	object_memory_t *memory;
	object_store_t *observer; /* for the test's own calls */
	watched_store_t store;
	fleet_t *fleet;
	path_table_t *paths;
	runner_protocol_t protocol;
	execution_context_t executions;
	job_context_t context;
	job_table_t *table;
	job_removal_t *removal;
	bool found; /* by the last read */
} node_t;

static watched_store_t *store_of(object_store_t *base)
{
	return (watched_store_t *)base;
}

static void store_get(object_store_t *base, const char *key, object_done_t done,
		      void *user_data)
{
	object_get(store_of(base)->direct, key, done, user_data);
}

static void store_put(object_store_t *base, const char *key, const void *data,
		      size_t len, uint64_t if_version, const char *writer,
		      object_done_t done, void *user_data)
{
	object_put(store_of(base)->direct, key, data, len, if_version, writer,
		   done, user_data);
}

static void store_remove(object_store_t *base, const char *key,
			 uint64_t if_version, object_done_t done,
			 void *user_data)
{
	object_remove(store_of(base)->direct, key, if_version, done, user_data);
}

static void store_list(object_store_t *base, const char *prefix,
		       const char *after, uint32_t limit,
		       object_list_done_t done, void *user_data)
{
	object_list(store_of(base)->direct, prefix, after, ALL_ENTRIES, done,
		    user_data);
}

static void store_watch(object_store_t *base, const char *prefix,
			uint64_t since, int32_t timeout_ms,
			object_list_done_t done, void *user_data)
{
	watched_store_t *store = store_of(base);

	CU_ASSERT_STRING_EQUAL(prefix, JOB_RECORD_PREFIX);
	store->watching = true;
	store->watch_due_ms = clock_now_ms(store->clock) + WATCH_MS;
	store->watch_done = done;
	store->watch_data = user_data;
}

static const object_store_ops_t store_ops = {
	.get = store_get,
	.put = store_put,
	.remove = store_remove,
	.list = store_list,
	.watch = store_watch,
};

static gboolean is_unlisted(void *key, void *value, void *user_data)
{
	const object_listing_t *listing = user_data;

	for (guint i = 0; i < listing->entries->len; i++)
		if (strcmp(g_array_index(listing->entries, object_entry_t, i)
				   .key,
			   key) == 0)
			return FALSE;
	return TRUE;
}

/* Adds the removals since the last answer to the listing. */
static void on_watch_listed(const object_listing_t *listing,
			    const GError *error, void *user_data)
{
	watched_store_t *store = user_data;
	object_listing_t answer = *listing;
	GHashTableIter iter;
	void *key;

	answer.entries = g_array_new(FALSE, TRUE, sizeof(object_entry_t));
	g_array_append_vals(answer.entries, listing->entries->data,
			    listing->entries->len);
	g_hash_table_iter_init(&iter, store->seen);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		object_entry_t removed = { .key = key,
					   .version = listing->revision,
					   .deleted = TRUE };

		if (is_unlisted(key, NULL, (void *)listing))
			g_array_append_val(answer.entries, removed);
	}
	store->watch_done(&answer, NULL, store->watch_data);
	g_array_free(answer.entries, TRUE);
	g_hash_table_remove_all(store->seen);
	for (guint i = 0; i < listing->entries->len; i++)
		g_hash_table_add(store->seen,
				 g_strdup(g_array_index(listing->entries,
							object_entry_t, i)
						  .key));
}

static void answer_watch(watched_store_t *store)
{
	if (!store->watching || store->silent ||
	    clock_now_ms(store->clock) < store->watch_due_ms)
		return;
	store->watching = false;
	if (store->forgets) {
		const GError gone = { WL_ERROR, WL_ERROR_NOT_FOUND,
				      (char *)"history is gone" };

		store->forgets = false;
		g_hash_table_remove_all(store->seen);
		store->watch_done(NULL, &gone, store->watch_data);
		return;
	}
	object_list(store->direct, JOB_RECORD_PREFIX, NULL, ALL_ENTRIES,
		    on_watch_listed, store);
}

static void no_report(void *user_data, const batch_demand_t *demands,
		      guint count)
{
}

static uint32_t no_peers(void *user_data)
{
	return 0;
}

static node_t *node_new(void)
{
	node_t *node = g_new0(node_t, 1);
	const fleet_options_t fleet = { .clock = &node->clock.base,
					.domain = "d" };
	const part_guard_options_t guard = { .clock = &node->clock.base };
	part_guard_options_t options = guard;

	node->base = event_base_new();
	clock_manual_init(&node->clock, 1700000000000);
	clock_manual_advance_ms(&node->clock, 1000);
	node->random = g_rand_new_with_seed(1);
	node->counters = counter_set_new();
	node->memory = object_memory_new(&node->clock.base, 1);
	object_memory_faults(node->memory)->timeout_ms = 10000;
	node->observer = object_memory_open(node->memory);
	node->store = (watched_store_t){
		.base = { &store_ops },
		.direct = object_memory_open(node->memory),
		.clock = &node->clock.base,
		.seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      NULL),
	};
	node->fleet = fleet_new(&fleet);
	options.random = node->random;
	options.counters = node->counters;
	node->executions = (execution_context_t){
		.base = node->base,
		.clock = &node->clock.base,
		.fleet = node->fleet,
		.part_guard = part_guard_new(&options),
		.protocol = &node->protocol,
	};
	g_queue_init(&node->executions.active);
	node->context = (job_context_t){
		.base = node->base,
		.clock = &node->clock.base,
		.random = node->random,
		.store = &node->store.base,
		.stale_store = &node->store.base,
		.executions = &node->executions,
		.counters = node->counters,
		.node = "a",
		.writer = (char *)"a-1",
		.paths = &node->paths,
		.report_demands = no_report,
		.peers = no_peers,
	};
	return node;
}

/* Starts the node, once the test has written its objects. */
static void start_node(node_t *node)
{
	job_removal_options_t options = { .context = &node->context };

	node->table = job_table_new(&node->context,
				    job_owner_new(&node->context, NULL));
	/* Another node has the open jobs. */
	job_table_stop(node->table);
	options.table = node->table;
	node->removal = job_removal_new(&options);
}

static void step(node_t *node)
{
	clock_manual_advance_ms(&node->clock, STEP_MS);
	object_memory_step(node->memory);
	object_memory_deliver(node->observer);
	object_memory_deliver(node->store.direct);
	answer_watch(&node->store);
	if (node->removal)
		job_removal_tick(node->removal);
	event_base_loop(node->base, EVLOOP_NONBLOCK);
}

static void run_s(node_t *node, int seconds)
{
	for (int i = 0; i < seconds; i++)
		step(node);
}

/* Until the table has seen all changes, which its timers allow by the clock of the
 * machine. */
static void see_changes(node_t *node)
{
	const int64_t end_us = g_get_monotonic_time() + SEEN_S * 1000000LL;

	while (g_get_monotonic_time() < end_us) {
		step(node);
		usleep(20000);
	}
}

static void on_put(const object_value_t *value, const GError *error,
		   void *user_data)
{
	CU_ASSERT_PTR_NULL(error);
}

static void put(node_t *node, const char *key, const char *text)
{
	object_put(node->observer, key, text, strlen(text), OBJECT_ABSENT, "w",
		   on_put, NULL);
	step(node);
	step(node);
}

static void put_record(node_t *node, const char *id, bool closed,
		       int64_t age_ms)
{
	job_record_t *record = job_record_new();
	char *key = g_strconcat(JOB_RECORD_PREFIX, id, NULL);
	char *text;

	record->host = g_strdup("h");
	record->path = g_strdup("/b/1");
	record->owner = g_strdup("n1");
	record->instance = g_strdup("n1-1");
	record->items = 2;
	record->payload_parts = 1;
	record->ended = closed;
	record->submitted_ms = clock_wall_ms(&node->clock.base) - age_ms;
	text = job_record_encode(record);
	object_put(node->observer, key, text, strlen(text), OBJECT_ABSENT, "w",
		   on_put, NULL);
	g_free(text);
	g_free(key);
	job_record_free(record);
}

/* A job with an object of each kind. */
static void put_job(node_t *node, const char *id, bool closed, int64_t age_ms)
{
	char *payload = g_strdup_printf(JOB_PAYLOAD_PREFIX "%s.0", id);
	char *segment = g_strdup_printf(JOB_SEGMENT_PREFIX "%s.1.0.n1", id);
	char *progress = g_strdup_printf(JOB_PROGRESS_PREFIX "%s.1.0.n1", id);

	put(node, payload, "[]");
	put(node, segment, "[]");
	put(node, progress, "[]");
	put_record(node, id, closed, age_ms);
	step(node);
	step(node);
	g_free(progress);
	g_free(segment);
	g_free(payload);
}

static void on_read(const object_value_t *value, const GError *error,
		    void *user_data)
{
	((node_t *)user_data)->found = !error;
}

static bool has(node_t *node, const char *key)
{
	object_get(node->observer, key, on_read, node);
	run_s(node, 2);
	return node->found;
}

static int64_t count(node_t *node, const char *name)
{
	return *counter_get(node->counters, COUNTER_MONOTONIC, name, NULL);
}

/* Records of closed jobs and all that belongs to them must not stay for ever:
 * nobody removed them. What results are read from must stay for a day, and all of
 * an open job. */
static void test_closed_jobs(void)
{
	node_t *node = node_new();

	put_job(node, "old", true, DAY_MS + HOUR_S * 1000);
	put_job(node, "new", true, HOUR_S * 1000);
	put_job(node, "open", false, 2 * DAY_MS);
	start_node(node);
	see_changes(node);
	CU_ASSERT(has(node, JOB_RECORD_PREFIX "old"));
	run_s(node, RECORDS_S);
	CU_ASSERT_FALSE(has(node, JOB_RECORD_PREFIX "old"));
	CU_ASSERT(has(node, JOB_RECORD_PREFIX "new"));
	CU_ASSERT(has(node, JOB_RECORD_PREFIX "open"));
	see_changes(node);
	run_s(node, SWEEPS_S);
	CU_ASSERT(count(node, "batch_sweeps_total") > 2);
	CU_ASSERT_FALSE(has(node, JOB_PAYLOAD_PREFIX "old.0"));
	CU_ASSERT_FALSE(has(node, JOB_SEGMENT_PREFIX "old.1.0.n1"));
	CU_ASSERT_FALSE(has(node, JOB_PROGRESS_PREFIX "old.1.0.n1"));
	CU_ASSERT_FALSE(has(node, JOB_PAYLOAD_PREFIX "new.0"));
	CU_ASSERT_FALSE(has(node, JOB_PROGRESS_PREFIX "new.1.0.n1"));
	CU_ASSERT(has(node, JOB_SEGMENT_PREFIX "new.1.0.n1"));
	CU_ASSERT(has(node, JOB_RECORD_PREFIX "new"));
	CU_ASSERT(has(node, JOB_RECORD_PREFIX "open"));
	CU_ASSERT(has(node, JOB_PAYLOAD_PREFIX "open.0"));
	CU_ASSERT(has(node, JOB_SEGMENT_PREFIX "open.1.0.n1"));
	CU_ASSERT(has(node, JOB_PROGRESS_PREFIX "open.1.0.n1"));
	CU_ASSERT_EQUAL(count(node, "batch_records_removed_total"), 1);
	CU_ASSERT_EQUAL(count(node, "batch_objects_removed_total"), 5);
}

/* However many jobs there are in a day, the closed records that each node keeps in
 * memory must be bounded. The oldest go first. */
static void test_many_closed_jobs(void)
{
	node_t *node = node_new();

	for (int i = 0; i < JOB_REMOVAL_MAX_CLOSED + 5; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "j%d", i);
		put_record(node, id, true, 1000 * (HOUR_S + (i + 7) % 100));
	}
	put_record(node, "oldest", true, 1000 * (HOUR_S + 200));
	run_s(node, 3);
	start_node(node);
	see_changes(node);
	run_s(node, RECORDS_S);
	CU_ASSERT_FALSE(has(node, JOB_RECORD_PREFIX "oldest"));
	see_changes(node);
	run_s(node, HOUR_S);
	CU_ASSERT_EQUAL(count(node, "batch_records_removed_total"), 6);
	CU_ASSERT(has(node, JOB_RECORD_PREFIX "j93"));
}

/* What a submission or an owner wrote that ended before it could name it must not
 * stay for ever; an object that may still be named must. */
static void test_objects_without_record(void)
{
	node_t *node = node_new();

	put(node, JOB_PAYLOAD_PREFIX "gone.0", "[]");
	put(node, JOB_SEGMENT_PREFIX "gone.2.1.n1", "[]");
	put(node, JOB_SEGMENT_PREFIX "unknown-form", "[]");
	start_node(node);
	see_changes(node);
	run_s(node, SWEEPS_S);
	CU_ASSERT_FALSE(has(node, JOB_PAYLOAD_PREFIX "gone.0"));
	CU_ASSERT_FALSE(has(node, JOB_SEGMENT_PREFIX "gone.2.1.n1"));
	CU_ASSERT(has(node, JOB_SEGMENT_PREFIX "unknown-form"));
	for (int i = 0; i < 40; i++) {
		char key[64];

		g_snprintf(key, sizeof(key), JOB_PAYLOAD_PREFIX "young%d.0", i);
		put(node, key, "[]");
		run_s(node, YOUNG_S);
		CU_ASSERT(has(node, key));
	}
}

/* A job whose record this node has not seen yet must keep its payload, which may be
 * that of a submission before. */
static void test_record_not_seen(void)
{
	node_t *node = node_new();

	put(node, JOB_PAYLOAD_PREFIX "late.0", "[]");
	start_node(node);
	see_changes(node);
	node->store.silent = true;
	put_record(node, "late", false, 0);
	run_s(node, SWEEPS_S);
	CU_ASSERT(count(node, "batch_sweeps_total") > 2);
	CU_ASSERT(has(node, JOB_PAYLOAD_PREFIX "late.0"));
}

static void on_removed(const object_value_t *value, const GError *error,
		       void *user_data)
{
	CU_ASSERT_PTR_NULL(error);
}

/* A record is removed while the store is not watched and has dropped its history.
 * The table kept it for ever, as only the watch told of removals. */
static void test_removal_not_watched(void)
{
	node_t *node = node_new();

	put_record(node, "j", true, 0);
	run_s(node, 2);
	start_node(node);
	see_changes(node);
	CU_ASSERT(job_table_has(node->table, "j"));
	node->store.silent = true;
	object_remove(node->observer, JOB_RECORD_PREFIX "j", 1, on_removed,
		      NULL);
	run_s(node, 5);
	CU_ASSERT(job_table_has(node->table, "j"));
	node->store.forgets = true;
	node->store.silent = false;
	see_changes(node);
	CU_ASSERT_FALSE(job_table_has(node->table, "j"));
}

/* Ids may have dots, so that the names of one job's objects look like those of
 * another one's. */
static void test_ids_with_dots(void)
{
	node_t *node = node_new();

	put_job(node, "a", true, DAY_MS + HOUR_S * 1000);
	put_job(node, "a.1", false, 0);
	start_node(node);
	see_changes(node);
	run_s(node, RECORDS_S);
	see_changes(node);
	run_s(node, SWEEPS_S);
	CU_ASSERT_FALSE(has(node, JOB_PAYLOAD_PREFIX "a.0"));
	CU_ASSERT_FALSE(has(node, JOB_SEGMENT_PREFIX "a.1.0.n1"));
	CU_ASSERT(has(node, JOB_PAYLOAD_PREFIX "a.1.0"));
	CU_ASSERT(has(node, JOB_SEGMENT_PREFIX "a.1.1.0.n1"));
	CU_ASSERT(has(node, JOB_PROGRESS_PREFIX "a.1.1.0.n1"));
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "closed jobs", test_closed_jobs },
		{ "many closed jobs", test_many_closed_jobs },
		{ "objects without record", test_objects_without_record },
		{ "record not seen", test_record_not_seen },
		{ "removal not watched", test_removal_not_watched },
		{ "ids with dots", test_ids_with_dots },
		{ NULL, NULL },
	};

	return unit_run("job_removal", tests);
}
