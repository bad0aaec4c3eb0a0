#include <string.h>
#include <unistd.h>

#include "base/counter.h"
#include "gateway/job_load.h"
#include "gateway/job_owner.h"
#include "gateway/job_progress.h"
#include "gateway/job_read.h"
#include "gateway/job_submit.h"
#include "object/object_memory.h"
#include "unit.h"

/*
 * Acceptance and ownership of batch jobs over a store that delays and loses
 * calls and answers and carries writes out late.
 */
#define NODES 2
#define ITEMS 4
#define STEP_MS 10
#define STEP_SLEEP_US 300
#define SEEDS 12
/* Of a streamed item, one a step. */
#define STREAM_EVENTS 60
#define LONG_STREAM_EVENTS 1500
/* A killed owner's work may be lost since it was last saved: it saves every 3 s,
 * and names the object with its next renewal, every 1.5 s. */
#define MOST_LOST_EVENTS (4500 / STEP_MS)

typedef struct cluster cluster_t;

/* Completes each request with one event some steps after its start, or streams
 * an event a step. */
struct runner_call {
	cluster_t *cluster;
	runner_request_t request;
	int steps;
	int64_t next_event; /* of a stream */
	bool bad;
	bool over;
};

typedef struct node {
	cluster_t *cluster;
	object_store_t *store;
	job_context_t context;
	run_context_t runs;
	fleet_t *fleet;
	job_owner_t *owner;
	segment_cache_t *cache;
	path_table_t *paths;
	char name[8];
	int outcome; /* job_submitted_t, -1: none yet */
	bool killed;
} node_t;

struct cluster {
	struct event_base *base;
	clock_manual_t clock;
	object_memory_t *memory;
	GRand *random;
	counter_set_t *counters;
	runner_protocol_t protocol;
	GPtrArray *calls;
	node_t nodes[NODES];
	object_store_t *observer; /* without faults of its own */
	int starts; /* of items */
	int steps_per_item;
	int stream_events; /* 0: items are no streams */
	int bad_starts; /* so many first tries send bytes that are no UTF-8 */
	bool resumes_at_once; /* every request has asked for what is missing */
	int64_t delivered[ITEMS]; /* last event that each item has got, or -1 */
};

static int item_index(const runner_request_t *request)
{
	return request->id[1] - '0';
}

static runner_call_t *start(void *context, const runner_request_t *request)
{
	cluster_t *cluster = context;
	runner_call_t *call = g_new0(runner_call_t, 1);

	call->cluster = cluster;
	call->request = *request;
	call->steps = cluster->steps_per_item;
	call->next_event = request->resume_after + 1;
	if (cluster->stream_events &&
	    request->resume_after != cluster->delivered[item_index(request)])
		cluster->resumes_at_once = false;
	call->bad = cluster->starts < cluster->bad_starts;
	cluster->starts++;
	g_ptr_array_add(cluster->calls, call);
	return call;
}

static void cancel(runner_call_t *call)
{
	call->over = true;
}

static void complete(runner_call_t *call)
{
	static const char event[] = "id: 1\ndata: done\n\n";
	runner_answer_t answer = { .status = 200 };

	call->over = true;
	answer.headers = g_ptr_array_new();
	call->request.answer(&answer, call->request.user_data);
	g_ptr_array_unref(answer.headers);
	call->request.data(event, strlen(event), call->request.user_data);
	call->request.done(RUNNER_COMPLETE, call->request.user_data);
}

static void answer_stream(runner_call_t *call)
{
	runner_answer_t answer = { .status = 200 };

	answer.headers = g_ptr_array_new();
	call->request.answer(&answer, call->request.user_data);
	g_ptr_array_unref(answer.headers);
}

static void stream(runner_call_t *call)
{
	const runner_request_t *request = &call->request;
	int64_t event = call->next_event++;
	char *text;

	if (event == call->cluster->stream_events) {
		call->over = true;
		request->done(RUNNER_COMPLETE, request->user_data);
		return;
	}
	if (event == request->resume_after + 1)
		answer_stream(call);
	text = g_strdup_printf("id: %d\ndata: e%d%s\n\n", (int)event,
			       (int)event,
			       call->bad && event == 3 ? "\xff" : "");
	call->cluster->delivered[item_index(request)] = event;
	request->data(text, strlen(text), request->user_data);
	g_free(text);
}

static void no_waiting(void *user_data, const batch_waiting_t *own,
		       batch_waiting_t *peers)
{
	*peers = (batch_waiting_t){ 0 };
}

static uint32_t two_peers(void *user_data)
{
	return 2;
}

static const char *this_node(void *user_data, const char *service)
{
	return NULL;
}

static const char *other_node(void *user_data, const char *service)
{
	return "n1";
}

static void no_domains(void *user_data, const char *service, GArray *domains)
{
}

static void node_init(node_t *node, cluster_t *cluster, int index)
{
	const fleet_options_t fleet = { .clock = &cluster->clock.base,
					.random = cluster->random,
					.domain = "d" };
	const fleet_entry_t runner = {
		"r", "10.0.0.1:1", "s", "d", 64, 1, false
	};
	path_route_t *route;

	node->cluster = cluster;
	node->outcome = -1;
	g_snprintf(node->name, sizeof(node->name), "n%d", index);
	node->store = object_memory_open(cluster->memory);
	node->fleet = fleet_new(&fleet);
	fleet_update(node->fleet, &runner);
	node->paths = path_table_new(1);
	route = path_table_add(node->paths, "h", "/b/");
	route->kind = PATH_BATCH;
	route->due_ms = 18000;
	route->max_runners = 3;
	path_route_add_target(route, "s", 1);
	node->runs = (run_context_t){
		.base = cluster->base,
		.clock = &cluster->clock.base,
		.fleet = node->fleet,
		.protocol = &cluster->protocol,
		.tries_total = counter_get(cluster->counters, COUNTER_MONOTONIC,
					   "tries", NULL),
		.resumes_total = counter_get(
			cluster->counters, COUNTER_MONOTONIC, "resumes", NULL),
	};
	g_queue_init(&node->runs.runs);
	node->context = (job_context_t){
		.base = cluster->base,
		.clock = &cluster->clock.base,
		.random = cluster->random,
		.store = node->store,
		.runs = &node->runs,
		.counters = cluster->counters,
		.node = node->name,
		.writer = g_strdup_printf("%s-1", node->name),
		.paths = &node->paths,
		.batch_waiting = no_waiting,
		.batch_domains = no_domains,
		.peers = two_peers,
		.job_node = this_node,
	};
	node->cache = segment_cache_new(1024 * 1024);
	node->owner = job_owner_new(&node->context, node->cache);
}

static cluster_t *cluster_new(uint32_t seed)
{
	cluster_t *cluster = g_new0(cluster_t, 1);

	cluster->base = event_base_new();
	clock_manual_init(&cluster->clock, 1700000000000);
	clock_manual_advance_ms(&cluster->clock, 1000);
	cluster->memory = object_memory_new(&cluster->clock.base, seed);
	object_memory_faults(cluster->memory)->timeout_ms = 1000;
	cluster->random = g_rand_new_with_seed(seed);
	cluster->counters = counter_set_new();
	cluster->calls = g_ptr_array_new_with_free_func(g_free);
	cluster->protocol = (runner_protocol_t){ start, cancel, cluster };
	cluster->observer = object_memory_open(cluster->memory);
	cluster->steps_per_item = 20;
	for (int i = 0; i < NODES; i++)
		node_init(&cluster->nodes[i], cluster, i);
	return cluster;
}

static void step(cluster_t *cluster)
{
	clock_manual_advance_ms(&cluster->clock, STEP_MS);
	object_memory_step(cluster->memory);
	object_memory_deliver(cluster->observer);
	for (int i = 0; i < NODES; i++) {
		if (cluster->nodes[i].killed)
			continue;
		object_memory_deliver(cluster->nodes[i].store);
		job_owner_tick(cluster->nodes[i].owner);
	}
	for (guint i = 0; i < cluster->calls->len; i++) {
		runner_call_t *call = cluster->calls->pdata[i];

		if (call->over)
			continue;
		if (cluster->stream_events)
			stream(call);
		else if (--call->steps <= 0)
			complete(call);
	}
	usleep(STEP_SLEEP_US);
	event_base_loop(cluster->base, EVLOOP_NONBLOCK);
}

static void run_ms(cluster_t *cluster, int ms)
{
	for (int i = 0; i < ms; i += STEP_MS)
		step(cluster);
}

static GPtrArray *items_new(void)
{
	GPtrArray *items = g_ptr_array_new_with_free_func(job_item_free);

	for (int i = 0; i < ITEMS; i++) {
		job_item_t *item = job_item_new();

		item->id = g_strdup_printf("i%d", i);
		item->target = g_strdup("/b/x");
		item->body = g_bytes_new("x", 1);
		item->tokens = 10;
		g_ptr_array_add(items, item);
	}
	return items;
}

static void on_submitted(job_submitted_t outcome, void *user_data)
{
	((node_t *)user_data)->outcome = outcome;
}

static void submit(node_t *node)
{
	const job_submission_t submission = {
		.id = "j",
		.host = "h",
		.path = "/b/1",
		.route = path_table_find(node->paths, "h", "/b/1"),
		.items = items_new(),
		.timeout_ms = 2500,
		.done = on_submitted,
		.user_data = node,
	};

	job_submit(&node->context, node->owner, NULL, &submission);
}

typedef struct peek {
	job_record_t *record;
	uint64_t version;
	bool done;
	bool succeeded;
} peek_t;

static void on_peek(const object_value_t *value, const GError *error,
		    void *user_data)
{
	peek_t *peek = user_data;

	peek->done = true;
	peek->succeeded = !error;
	if (!error && value->data) {
		peek->record = job_record_decode(value->data, value->len);
		peek->version = value->version;
	}
}

/* The record as the store holds it; NULL: there is none. */
static peek_t peek_record(cluster_t *cluster)
{
	peek_t peek = { 0 };
	object_memory_faults_t faults = *object_memory_faults(cluster->memory);

	*object_memory_faults(cluster->memory) =
		(object_memory_faults_t){ .timeout_ms = 1000 };
	object_get(cluster->observer, JOB_RECORD_PREFIX "j", on_peek, &peek);
	while (!peek.done)
		step(cluster);
	*object_memory_faults(cluster->memory) = faults;
	return peek;
}

static bool has_each_item_once(const job_record_t *record)
{
	uint32_t seen = 0;

	for (guint i = 0; i < record->segments->len; i++) {
		const job_segment_t *segment = record->segments->pdata[i];

		for (guint j = 0; j < segment->items->len; j++) {
			uint32_t bit = 1U << g_array_index(segment->items,
							   uint32_t, j);

			if (seen & bit)
				return false;
			seen |= bit;
		}
	}
	return seen == (1U << ITEMS) - 1;
}

static bool is_accepted(const cluster_t *cluster)
{
	for (int i = 0; i < NODES; i++)
		if (cluster->nodes[i].outcome == JOB_ACCEPTED)
			return true;
	return false;
}

static bool all_refused(const cluster_t *cluster)
{
	for (int i = 0; i < NODES; i++)
		if (cluster->nodes[i].outcome != JOB_REFUSED)
			return false;
	return true;
}

static int owners(const cluster_t *cluster)
{
	int count = 0;

	for (int i = 0; i < NODES; i++)
		count += job_owner_record(cluster->nodes[i].owner, "j") != NULL;
	return count;
}

static void check_history(uint32_t seed)
{
	cluster_t *cluster = cluster_new(seed);
	object_memory_faults_t *faults = object_memory_faults(cluster->memory);
	GRand *random = g_rand_new_with_seed(seed * 7);
	int most_owners = 0;
	peek_t peek;

	faults->delay_ms = 60;
	faults->lose_answers = g_rand_double(random) * 0.5;
	faults->lose_calls = g_rand_double(random) * 0.5;
	faults->late_writes = g_rand_double(random) * 0.4;
	if (seed % 4 == 0)
		faults->outage_until_ms =
			clock_now_ms(&cluster->clock.base) + 4000;
	submit(&cluster->nodes[0]);
	run_ms(cluster, g_rand_int_range(random, 0, 40) * 10);
	submit(&cluster->nodes[1]);
	for (int i = 0; i < 600; i++) {
		step(cluster);
		most_owners = MAX(most_owners, owners(cluster));
	}
	CU_ASSERT(cluster->nodes[0].outcome >= 0);
	CU_ASSERT(cluster->nodes[1].outcome >= 0);
	CU_ASSERT(most_owners <= 1);
	*faults = (object_memory_faults_t){ .timeout_ms = 1000 };
	run_ms(cluster, 8000);
	peek = peek_record(cluster);
	if (is_accepted(cluster))
		CU_ASSERT_PTR_NOT_NULL(peek.record);
	if (all_refused(cluster)) {
		CU_ASSERT_PTR_NULL(peek.record);
		CU_ASSERT_EQUAL(cluster->starts, 0);
	}
	if (most_owners == 1)
		CU_ASSERT(peek.record && has_each_item_once(peek.record));
	job_record_free(peek.record);
	g_rand_free(random);
}

/* Two nodes accept the same job while calls and answers are lost and writes
 * come late: one owner, every item once, and a refusal that is true. */
static void test_same_job_at_two_nodes(void)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++)
		check_history(seed);
}

typedef void (*record_change_t)(job_record_t *record);

/* Changes the record as a node that is not part of the test would. */
static void change_record(cluster_t *cluster, record_change_t change)
{
	bool written = false;

	while (!written) {
		peek_t before = peek_record(cluster);
		peek_t after = { 0 };
		char *text;

		change(before.record);
		text = job_record_encode(before.record);
		object_put(cluster->observer, JOB_RECORD_PREFIX "j", text,
			   strlen(text), before.version, "n9", on_peek, &after);
		while (!after.done)
			step(cluster);
		written = after.succeeded;
		g_free(text);
		job_record_free(before.record);
		job_record_free(after.record);
	}
}

/* A job that is to run at another node is accepted, names that node, and is not
 * run here as well. */
static void test_job_for_other_node(void)
{
	cluster_t *cluster = cluster_new(7);
	peek_t peek;

	cluster->nodes[0].context.job_node = other_node;
	submit(&cluster->nodes[0]);
	run_ms(cluster, 1000);
	CU_ASSERT_EQUAL(cluster->nodes[0].outcome, JOB_ACCEPTED);
	CU_ASSERT_EQUAL(cluster->starts, 0);
	peek = peek_record(cluster);
	CU_ASSERT_STRING_EQUAL(peek.record->owner, "n1");
	CU_ASSERT_STRING_EQUAL(peek.record->instance, "");
	job_record_free(peek.record);
}

static void take_over(job_record_t *record)
{
	g_free(record->owner);
	record->owner = g_strdup("n9");
	record->epoch++;
}

static void end(job_record_t *record)
{
	record->ended = true;
}

/* A new owner's record must stop the one before, whose late results do not
 * appear beside the new ones. */
static void test_deposed_owner(void)
{
	cluster_t *cluster = cluster_new(1);
	peek_t peek;

	cluster->steps_per_item = 100000;
	submit(&cluster->nodes[0]);
	run_ms(cluster, 500);
	CU_ASSERT_EQUAL(cluster->starts, ITEMS);
	change_record(cluster, take_over);
	for (guint i = 0; i < cluster->calls->len; i++)
		((runner_call_t *)cluster->calls->pdata[i])->steps = 1;
	run_ms(cluster, 3000);
	CU_ASSERT_EQUAL(owners(cluster), 0);
	peek = peek_record(cluster);
	CU_ASSERT_STRING_EQUAL(peek.record->owner, "n9");
	CU_ASSERT_EQUAL(job_record_results(peek.record), 0);
	job_record_free(peek.record);
}

/* After another node has ended a job, its owner starts nothing more within
 * the 3 s that callers are promised. */
static void test_end_at_another_node(void)
{
	cluster_t *cluster = cluster_new(2);
	int starts;

	/* One runner with one place, so that items wait for it. */
	fleet_update(
		cluster->nodes[0].fleet,
		&(fleet_entry_t){ "r", "10.0.0.1:1", "s", "d", 1, 1, false });
	cluster->steps_per_item = 250;
	submit(&cluster->nodes[0]);
	run_ms(cluster, 1000);
	change_record(cluster, end);
	run_ms(cluster, 3000);
	starts = cluster->starts;
	run_ms(cluster, 6000);
	CU_ASSERT(starts > 0);
	CU_ASSERT_EQUAL(cluster->starts, starts);
	CU_ASSERT_EQUAL(owners(cluster), 0);
}

/* What this node knows of its own job must not be served once another node
 * may have taken it over, also after the machine was suspended. */
static void test_record_grows_old(void)
{
	cluster_t *cluster = cluster_new(3);
	node_t *node = &cluster->nodes[0];

	cluster->steps_per_item = 100000;
	submit(node);
	run_ms(cluster, 500);
	CU_ASSERT_PTR_NOT_NULL(job_owner_fresh_record(node->owner, "j"));
	cluster->clock.suspended_us += 3000000;
	CU_ASSERT_PTR_NULL(job_owner_fresh_record(node->owner, "j"));
	CU_ASSERT_PTR_NOT_NULL(job_owner_record(node->owner, "j"));
	run_ms(cluster, 2000);
	CU_ASSERT_PTR_NOT_NULL(job_owner_fresh_record(node->owner, "j"));
}

static void release(job_record_t *record)
{
	g_free(record->owner);
	record->owner = g_strdup("n1");
	record->epoch++;
}

static void on_progress(GPtrArray *progress, void *user_data)
{
	*(GPtrArray **)user_data = progress;
}

/* Does what a node does that takes a job over. */
static void adopt_released(cluster_t *cluster, node_t *node)
{
	GPtrArray *progress = NULL;
	peek_t peek;

	change_record(cluster, release);
	peek = peek_record(cluster);
	job_load_progress(&node->context, peek.record->progress, on_progress,
			  &progress);
	while (!progress)
		step(cluster);
	CU_ASSERT_EQUAL(progress->len, ITEMS);
	job_owner_adopt(node->owner, "j", peek.record, peek.version,
			items_new(), progress);
	g_ptr_array_unref(progress);
}

static bool is_whole(const char *text)
{
	GString *expected = g_string_new("e0");
	bool whole;

	for (int i = 1; i < STREAM_EVENTS; i++)
		g_string_append_printf(expected, "\ne%d", i);
	whole = strcmp(text, expected->str) == 0;
	g_string_free(expected, TRUE);
	return whole;
}

static void begin_streams(cluster_t *cluster, int events)
{
	cluster->stream_events = events;
	cluster->resumes_at_once = true;
	memset(cluster->delivered, -1, sizeof(cluster->delivered));
}

/* Nodes are stopped one after the other. Items in flight must go on at the next
 * owner after their last event: if they start again, each stop makes them later,
 * and items longer than the time between two stops are never done. */
static void test_planned_stop_in_series(void)
{
	cluster_t *cluster = cluster_new(4);
	node_t *next = &cluster->nodes[1];
	uint32_t results = 0;
	peek_t peek;

	begin_streams(cluster, STREAM_EVENTS);
	submit(&cluster->nodes[0]);
	run_ms(cluster, STREAM_EVENTS / 2 * STEP_MS);
	CU_ASSERT(cluster->delivered[0] >= 0);
	job_owner_stop(cluster->nodes[0].owner);
	run_ms(cluster, 200);
	CU_ASSERT_EQUAL(job_owner_count(cluster->nodes[0].owner), 0);
	adopt_released(cluster, next);
	run_ms(cluster, 2 * STREAM_EVENTS * STEP_MS);
	CU_ASSERT_EQUAL(cluster->starts, 2 * ITEMS);
	CU_ASSERT(cluster->resumes_at_once);
	peek = peek_record(cluster);
	CU_ASSERT(has_each_item_once(peek.record));
	for (guint i = 0; i < peek.record->segments->len; i++) {
		const job_segment_t *segment = peek.record->segments->pdata[i];
		const GPtrArray *segment_results =
			segment_cache_get(next->cache, segment->key);

		for (guint j = 0; j < segment_results->len; j++) {
			const job_result_t *result = segment_results->pdata[j];

			CU_ASSERT(is_whole(result->text));
			results++;
		}
	}
	CU_ASSERT_EQUAL(results, ITEMS);
	job_record_free(peek.record);
}

/* Bytes that JSON cannot hold must cost the run, not the result: a segment that
 * lacks a result that the record lists would move the positions of others. */
static void test_unreadable_output(void)
{
	cluster_t *cluster = cluster_new(8);
	node_t *node = &cluster->nodes[0];
	uint32_t results = 0;
	peek_t peek;

	begin_streams(cluster, STREAM_EVENTS);
	cluster->bad_starts = 2;
	submit(node);
	run_ms(cluster, 4 * STREAM_EVENTS * STEP_MS);
	peek = peek_record(cluster);
	CU_ASSERT(has_each_item_once(peek.record));
	for (guint i = 0; i < peek.record->segments->len; i++) {
		const job_segment_t *segment = peek.record->segments->pdata[i];
		const GPtrArray *stored =
			segment_cache_get(node->cache, segment->key);
		char *text = job_results_encode(stored);
		GPtrArray *decoded = job_results_decode(text, strlen(text));

		for (guint j = 0; j < decoded->len; j++)
			results += is_whole(
				((job_result_t *)decoded->pdata[j])->text);
		g_ptr_array_unref(decoded);
		g_free(text);
	}
	CU_ASSERT_EQUAL(results, ITEMS);
	job_record_free(peek.record);
}

static void kill_node(node_t *node)
{
	node->killed = true;
	for (guint i = 0; i < node->cluster->calls->len; i++)
		cancel(node->cluster->calls->pdata[i]);
}

/* A node is killed, or its domain cut off for longer than the lease, while it
 * runs long items. The next owner must not start them from their first event:
 * late in their time, they would all miss their due time. */
static void test_killed_owner(void)
{
	cluster_t *cluster = cluster_new(5);
	runner_call_t *call;

	begin_streams(cluster, LONG_STREAM_EVENTS);
	submit(&cluster->nodes[0]);
	run_ms(cluster, 10000);
	kill_node(&cluster->nodes[0]);
	CU_ASSERT(cluster->delivered[0] > 2 * MOST_LOST_EVENTS);
	adopt_released(cluster, &cluster->nodes[1]);
	run_ms(cluster, 100);
	CU_ASSERT_EQUAL_FATAL(cluster->starts, 2 * ITEMS);
	for (guint i = ITEMS; i < cluster->calls->len; i++) {
		call = cluster->calls->pdata[i];
		CU_ASSERT(call->request.resume_after >=
			  10000 / STEP_MS - MOST_LOST_EVENTS);
	}
}

/* The store is away when progress is to be saved, and writes come late: the
 * next save must succeed, and the job go on. */
static void test_progress_not_saved(void)
{
	cluster_t *cluster = cluster_new(6);
	object_memory_faults_t *faults = object_memory_faults(cluster->memory);
	peek_t peek;

	begin_streams(cluster, LONG_STREAM_EVENTS);
	submit(&cluster->nodes[0]);
	run_ms(cluster, 2900);
	faults->lose_answers = 0.6;
	faults->late_writes = 0.5;
	run_ms(cluster, 4000);
	*faults = (object_memory_faults_t){ .timeout_ms = 1000 };
	run_ms(cluster, 5000);
	kill_node(&cluster->nodes[0]);
	adopt_released(cluster, &cluster->nodes[1]);
	run_ms(cluster, LONG_STREAM_EVENTS * STEP_MS);
	peek = peek_record(cluster);
	CU_ASSERT(has_each_item_once(peek.record));
	job_record_free(peek.record);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "same job at two nodes", test_same_job_at_two_nodes },
		{ "job for other node", test_job_for_other_node },
		{ "deposed owner", test_deposed_owner },
		{ "end at another node", test_end_at_another_node },
		{ "record grows old", test_record_grows_old },
		{ "planned stop in series", test_planned_stop_in_series },
		{ "unreadable output", test_unreadable_output },
		{ "killed owner", test_killed_owner },
		{ "progress not saved", test_progress_not_saved },
		{ NULL, NULL },
	};

	return unit_run("job_store", tests);
}
