#include <string.h>

#include "base/counter.h"
#include "gateway/job_read.h"
#include "object/object_memory.h"
#include "unit.h"

#define RECORD_VERSION 1 /* of the first object */

/* Tests reads of results at a node that does not own the job. */
#define STEP_MS 10
#define SEGMENT_KEY JOB_SEGMENT_PREFIX "j.1.0.n1"
#define CACHE_BYTES (1024 * 1024)

typedef struct world {
	clock_manual_t clock;
	object_memory_t *memory;
	object_store_t *store;
	segment_cache_t *cache;
	job_context_t context;
	job_reader_t *reader;
	int64_t *mismatches;
	bool done;
	job_found_t found;
	uint32_t next;
	GPtrArray *texts;
} world_t;

static bool no_node(void *user_data, const char *node, char *address,
		    size_t size)
{
	return false;
}

static world_t *world_new(void)
{
	world_t *world = g_new0(world_t, 1);
	struct event_base *base = event_base_new();
	GError *error = NULL;
	job_reader_options_t options = { .context = &world->context,
					 .find_node = no_node };

	clock_manual_init(&world->clock, 0);
	world->memory = object_memory_new(&world->clock.base, 1);
	world->store = object_memory_open(world->memory);
	world->cache = segment_cache_new(CACHE_BYTES);
	world->texts = g_ptr_array_new_with_free_func(g_free);
	world->context = (job_context_t){
		.base = base,
		.clock = &world->clock.base,
		.counters = counter_set_new(),
		.store = world->store,
		.stale_store = world->store,
		.node = "n2",
		.writer = g_strdup("n2-1"),
	};
	options.cache = world->cache;
	options.owner = job_owner_new(&world->context, world->cache);
	options.table = job_table_new(&world->context, options.owner);
	options.client = rpc_client_new(base, NULL);
	options.server = rpc_server_new(base, "127.0.0.1", 0, NULL, &error);
	CU_ASSERT_PTR_NOT_NULL_FATAL(options.server);
	world->reader = job_reader_new(&options);
	world->mismatches =
		counter_get(world->context.counters, COUNTER_MONOTONIC,
			    "batch_segment_mismatches_total", NULL);
	return world;
}

static void step(world_t *world)
{
	clock_manual_advance_ms(&world->clock, STEP_MS);
	object_memory_step(world->memory);
	object_memory_deliver(world->store);
}

static void on_stored(const object_value_t *value, const GError *error,
		      void *user_data)
{
	CU_ASSERT_PTR_NULL(error);
	*(bool *)user_data = true;
}

static void store(world_t *world, const char *key, char *text)
{
	bool stored = false;

	object_put(world->store, key, text, strlen(text), OBJECT_ABSENT, "n1-1",
		   on_stored, &stored);
	while (!stored)
		step(world);
	g_free(text);
}

static void add_result(GPtrArray *results, uint32_t item, const char *text)
{
	job_result_t *result = g_new0(job_result_t, 1);

	result->item = item;
	result->id = g_strdup_printf("i%u", item);
	result->text = g_strdup(text);
	g_ptr_array_add(results, result);
}

/* Results of items 1 and 0, in this order. */
static GPtrArray *results_new(const char *text)
{
	GPtrArray *results = g_ptr_array_new_with_free_func(job_result_free);

	add_result(results, 1, text);
	add_result(results, 0, text);
	return results;
}

/* Stores a complete job whose record names items 1 and 0 in one segment. */
static void store_record(world_t *world, const char *digest)
{
	const uint32_t items[] = { 1, 0 };
	job_record_t *record = job_record_new();

	record->host = g_strdup("h");
	record->path = g_strdup("/b/1");
	record->owner = g_strdup("n1");
	record->instance = g_strdup("n1-1");
	record->epoch = JOB_RECORD_FIRST_EPOCH;
	record->items = G_N_ELEMENTS(items);
	record->payload_parts = 1;
	job_record_add_segment(record, SEGMENT_KEY, digest, items,
			       G_N_ELEMENTS(items));
	store(world, JOB_RECORD_PREFIX "j", job_record_encode(record));
	job_record_free(record);
}

static void on_page(const job_page_t *page, void *user_data)
{
	world_t *world = user_data;

	world->done = true;
	world->found = page->found;
	world->next = page->next;
	for (guint i = 0; i < page->results->len; i++)
		g_ptr_array_add(
			world->texts,
			g_strdup(((job_result_t *)page->results->pdata[i])
					 ->text));
}

static void read_from(world_t *world, uint32_t after)
{
	world->done = false;
	g_ptr_array_set_size(world->texts, 0);
	job_read_results(world->reader, "j", after, CACHE_BYTES, on_page,
			 world);
	while (!world->done)
		step(world);
}

/* Reads a job with these results under the key that its record names. */
static world_t *read_segment(const char *digest, GPtrArray *results)
{
	world_t *world = world_new();

	store_record(world, digest);
	store(world, SEGMENT_KEY, job_results_encode(results));
	read_from(world, 0);
	g_ptr_array_unref(results);
	return world;
}

static void check_refused(world_t *world)
{
	CU_ASSERT_EQUAL(world->found, JOB_UNAVAILABLE);
	CU_ASSERT_EQUAL(world->texts->len, 0);
	CU_ASSERT(*world->mismatches > 0);
}

/* Records of this build and of the one before, which has no digests. */
static void test_named_results(void)
{
	GPtrArray *results = results_new("a");
	char *digest = job_results_digest(results);
	world_t *world = read_segment(digest, results);

	CU_ASSERT_EQUAL(world->found, JOB_FOUND);
	CU_ASSERT_EQUAL_FATAL(world->texts->len, 2);
	CU_ASSERT_EQUAL(world->next, 2);
	read_from(world, 1);
	CU_ASSERT_EQUAL(world->texts->len, 1);
	CU_ASSERT_EQUAL(*world->mismatches, 0);
	world = read_segment(NULL, results_new("a"));
	CU_ASSERT_EQUAL(world->found, JOB_FOUND);
	CU_ASSERT_EQUAL(world->texts->len, 2);
	g_free(digest);
}

/* The object has another number of results than the record names. Guards
 * against serving it: the positions of all later results moved. */
static void test_missing_result(void)
{
	GPtrArray *results = results_new("a");

	g_ptr_array_set_size(results, 1);
	check_refused(read_segment(NULL, results));
}

/* The object has results of other items, or in another order. Guards against a
 * position that holds another result than before. */
static void test_other_items(void)
{
	GPtrArray *results = g_ptr_array_new_with_free_func(job_result_free);

	add_result(results, 0, "a");
	add_result(results, 1, "a");
	check_refused(read_segment(NULL, results));
}

/* The object has results of another run of the same items. */
static void test_other_run(void)
{
	GPtrArray *named = results_new("a");
	char *digest = job_results_digest(named);

	check_refused(read_segment(digest, results_new("b")));
	g_ptr_array_unref(named);
	g_free(digest);
}

/* The node has cached other results under the key. Guards against serving them
 * although the store has the ones that the record names. */
static void test_other_run_in_cache(void)
{
	GPtrArray *named = results_new("a");
	char *digest = job_results_digest(named);
	world_t *world = world_new();

	segment_cache_put(world->cache, SEGMENT_KEY, results_new("b"));
	store_record(world, digest);
	store(world, SEGMENT_KEY, job_results_encode(named));
	read_from(world, 0);
	CU_ASSERT_EQUAL(world->found, JOB_FOUND);
	CU_ASSERT_EQUAL_FATAL(world->texts->len, 2);
	CU_ASSERT_STRING_EQUAL(world->texts->pdata[0], "a");
	g_ptr_array_unref(named);
	g_free(digest);
}

static void on_removed(const object_value_t *value, const GError *error,
		       void *user_data)
{
	CU_ASSERT_PTR_NULL(error);
	((world_t *)user_data)->done = true;
}

static void on_body(job_found_t found, GBytes *body, void *user_data)
{
	world_t *world = user_data;

	world->done = true;
	world->found = found;
}

/* The payload of a closed job is removed after a while. Guards against reading it
 * for the body of an item that is listed: readers were told to come back for ever. */
static void test_body_of_closed_job(void)
{
	GPtrArray *results = results_new("a");
	world_t *world = read_segment(NULL, results);

	world->done = false;
	job_read_body(world->reader, "j", "i1", on_body, world);
	while (!world->done)
		step(world);
	CU_ASSERT_EQUAL(world->found, JOB_MISSING);
}

/* A node keeps closed records that it has read. Guards against one that still lists
 * a job whose record was removed, while the others do not. */
static void test_forgotten_record(void)
{
	world_t *world = read_segment(NULL, results_new("a"));

	CU_ASSERT_EQUAL(world->found, JOB_FOUND);
	world->done = false;
	object_remove(world->store, JOB_RECORD_PREFIX "j", RECORD_VERSION,
		      on_removed, world);
	while (!world->done)
		step(world);
	job_reader_forget(world->reader, "j");
	read_from(world, 0);
	CU_ASSERT_EQUAL(world->found, JOB_MISSING);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "named results", test_named_results },
		{ "missing result", test_missing_result },
		{ "other items", test_other_items },
		{ "other run", test_other_run },
		{ "other run in cache", test_other_run_in_cache },
		{ "body of closed job", test_body_of_closed_job },
		{ "forgotten record", test_forgotten_record },
		{ NULL, NULL },
	};

	return unit_run("job_read", tests);
}
