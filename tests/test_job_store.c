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
 * Tests acceptance and ownership of batch jobs with a store that delays and
 * loses calls and answers and applies writes late.
 */
#define NODES 2
#define ITEMS 4
#define STEP_MS 10
#define STEP_SLEEP_US 300
#define SEEDS 12
#define RESUBMISSIONS 3
#define LATE_DUE_MS 60000
#define LONG_PROMPT_MS 3000
#define LARGE_OUTPUT_BYTES (400 * 1024)
/* Events of a streamed item, one per step. */
#define STREAM_EVENTS 60
#define LONG_STREAM_EVENTS 1500
/* Events that may be lost when an owner is killed: it saves progress every 3 s,
 * and the record names the object with the next renewal, every 1.5 s. */
#define MAX_LOST_EVENTS (4500 / STEP_MS)

typedef struct cluster cluster_t;

/* Completes each request with one event some steps after its start, or streams
 * one event per step. */
struct runner_call {
	cluster_t *cluster;
	runner_request_t request;
	int steps;
	int64_t next_event; /* of a stream */
	bool invalid_utf8;
	bool call_ended;
};

typedef struct node {
	cluster_t *cluster;
	object_store_t *store;
	job_context_t context;
	execution_context_t executions;
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
	object_store_t *observer; /* for the test's own reads and writes */
	int starts; /* of items */
	int steps_per_item;
	int stream_events; /* 0: items are not streamed */
	size_t output_bytes; /* of an item that is not streamed; 0: few */
	int invalid_starts; /* that many first attempts send invalid UTF-8 */
	bool fails; /* each attempt is answered with an error */
	uint32_t too_large; /* bits of the items that runners refuse */
	const char *large_runner; /* has memory for these; NULL: none */
	uint32_t refused; /* attempts */
	bool checks_timeouts; /* of executions, as a gateway does */
	bool resumes_exactly; /* each request resumed after the last event */
	int64_t delivered[ITEMS]; /* last event of each item, or -1 */
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
		cluster->resumes_exactly = false;
	call->invalid_utf8 = cluster->starts < cluster->invalid_starts;
	cluster->starts++;
	g_ptr_array_add(cluster->calls, call);
	return call;
}

static void cancel(runner_call_t *call)
{
	call->call_ended = true;
}

static void complete(runner_call_t *call)
{
	char *output = call->cluster->output_bytes ?
			       g_strnfill(call->cluster->output_bytes, 'x') :
			       g_strdup("done");
	char *event = g_strdup_printf("id: 1\ndata: %s\n\n", output);
	runner_answer_t answer = { .status = call->cluster->fails ? 500 : 200 };

	call->call_ended = true;
	answer.headers = g_ptr_array_new();
	call->request.answer(&answer, call->request.user_data);
	g_ptr_array_unref(answer.headers);
	call->request.data(event, strlen(event), call->request.user_data);
	g_free(event);
	g_free(output);
	call->request.done(RUNNER_COMPLETE, call->request.user_data);
}

/* The runner has no memory for the item, and says so as if it were full. */
static bool refuse(runner_call_t *call)
{
	runner_answer_t answer = { .status = 503, .not_run = true };

	if (!(call->cluster->too_large & 1U << item_index(&call->request)) ||
	    g_strcmp0(call->request.instance, call->cluster->large_runner) == 0)
		return false;
	call->cluster->refused++;
	answer.headers = g_ptr_array_new();
	call->request.answer(&answer, call->request.user_data);
	g_ptr_array_unref(answer.headers);
	return true;
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
		call->call_ended = true;
		request->done(RUNNER_COMPLETE, request->user_data);
		return;
	}
	if (event == request->resume_after + 1)
		answer_stream(call);
	text = g_strdup_printf("id: %d\ndata: e%d%s\n\n", (int)event,
			       (int)event,
			       call->invalid_utf8 && event == 3 ? "\xff" : "");
	call->cluster->delivered[item_index(request)] = event;
	request->data(text, strlen(text), request->user_data);
	g_free(text);
}

static void no_report(void *user_data, const batch_demand_t *demands,
		      guint count)
{
}

static void no_waiting(void *user_data, uint64_t service,
		       batch_waiting_t *before, batch_waiting_t *after)
{
	*before = (batch_waiting_t){ 0 };
	*after = (batch_waiting_t){ 0 };
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
	const fleet_entry_t runner = { "r", "10.0.0.1:1", "s", "d", 64,
				       1,   false,	  "1" };
	path_route_t *route;

	node->cluster = cluster;
	node->outcome = -1;
	g_snprintf(node->name, sizeof(node->name), "n%d", index);
	const part_guard_options_t guard = { .clock = &cluster->clock.base,
					     .random = cluster->random,
					     .counters = cluster->counters };

	node->store = object_memory_open(cluster->memory);
	node->fleet = fleet_new(&fleet);
	fleet_update(node->fleet, &runner);
	node->paths = path_table_new(1);
	route = path_table_add(node->paths, "h", "/b/");
	route->kind = PATH_BATCH;
	route->due_ms = 18000;
	route->max_runners = 3;
	path_route_add_target(route, "s", 1);
	route = path_table_add(node->paths, "h", "/c/");
	route->kind = PATH_BATCH;
	route->due_ms = LATE_DUE_MS;
	route->max_runners = 3;
	path_route_add_target(route, "t", 1);
	node->executions = (execution_context_t){
		.base = cluster->base,
		.clock = &cluster->clock.base,
		.fleet = node->fleet,
		.part_guard = part_guard_new(&guard),
		.protocol = &cluster->protocol,
		.tries_total = counter_get(cluster->counters, COUNTER_MONOTONIC,
					   "tries", NULL),
		.resumes_total = counter_get(
			cluster->counters, COUNTER_MONOTONIC, "resumes", NULL),
	};
	g_queue_init(&node->executions.active);
	node->context = (job_context_t){
		.base = cluster->base,
		.clock = &cluster->clock.base,
		.random = cluster->random,
		.store = node->store,
		.executions = &node->executions,
		.counters = cluster->counters,
		.node = node->name,
		.writer = g_strdup_printf("%s-1", node->name),
		.paths = &node->paths,
		.report_demands = no_report,
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
	cluster->protocol = (runner_protocol_t){ .start = start,
						 .cancel = cancel,
						 .context = cluster };
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
		if (cluster->checks_timeouts)
			execution_check_timeouts(&cluster->nodes[i].executions);
	}
	for (guint i = 0; i < cluster->calls->len; i++) {
		runner_call_t *call = cluster->calls->pdata[i];

		if (call->call_ended || refuse(call))
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

static void submit_items(node_t *node, const char *id, const char *path,
			 GPtrArray *items)
{
	const job_submission_t submission = {
		.id = id,
		.host = "h",
		.path = path,
		.route = path_table_find(node->paths, "h", path),
		.items = items,
		.timeout_ms = 2500,
		.done = on_submitted,
		.user_data = node,
	};

	job_submit(&node->context, node->owner, NULL, &submission);
}

static void submit_as(node_t *node, const char *id, const char *path)
{
	submit_items(node, id, path, items_new());
}

static void submit(node_t *node)
{
	submit_as(node, "j", "/b/1");
}

typedef struct stored_record {
	job_record_t *record;
	uint64_t version;
	bool done;
	bool succeeded;
} stored_record_t;

static void on_record_read(const object_value_t *value, const GError *error,
			   void *user_data)
{
	stored_record_t *found = user_data;

	found->done = true;
	found->succeeded = !error;
	if (!error && value->data)
		found->record = job_record_decode(value->data, value->len);
	if (!error)
		found->version = value->version;
}

typedef struct stored_segment {
	GPtrArray *results;
	bool done;
} stored_segment_t;

/* Reads the stored record without faults; record is NULL when there is none. */
static stored_record_t read_record(cluster_t *cluster)
{
	stored_record_t found = { 0 };
	object_memory_faults_t faults = *object_memory_faults(cluster->memory);

	*object_memory_faults(cluster->memory) =
		(object_memory_faults_t){ .timeout_ms = 1000 };
	object_get(cluster->observer, JOB_RECORD_PREFIX "j", on_record_read,
		   &found);
	while (!found.done)
		step(cluster);
	*object_memory_faults(cluster->memory) = faults;
	return found;
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

static bool refused_by_all(const cluster_t *cluster)
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

static void check_submissions(uint32_t seed)
{
	cluster_t *cluster = cluster_new(seed);
	object_memory_faults_t *faults = object_memory_faults(cluster->memory);
	GRand *random = g_rand_new_with_seed(seed * 7);
	int max_owners = 0;
	stored_record_t found;

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
		max_owners = MAX(max_owners, owners(cluster));
	}
	CU_ASSERT(cluster->nodes[0].outcome >= 0);
	CU_ASSERT(cluster->nodes[1].outcome >= 0);
	CU_ASSERT(max_owners <= 1);
	*faults = (object_memory_faults_t){ .timeout_ms = 1000 };
	run_ms(cluster, 8000);
	found = read_record(cluster);
	if (is_accepted(cluster))
		CU_ASSERT_PTR_NOT_NULL(found.record);
	if (refused_by_all(cluster)) {
		CU_ASSERT_PTR_NULL(found.record);
		CU_ASSERT_EQUAL(cluster->starts, 0);
	}
	if (max_owners == 1)
		CU_ASSERT(found.record && has_each_item_once(found.record));
	job_record_free(found.record);
	g_rand_free(random);
}

/* Two nodes accept the same job while calls and answers are lost and writes are
 * applied late. There must be one owner and one result per item, and a job that
 * both nodes refused must not exist. */
static void test_same_job_at_two_nodes(void)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++)
		check_submissions(seed);
}

typedef void (*record_change_t)(job_record_t *record);

/* Changes the record as a node outside the cluster would. */
static void change_record(cluster_t *cluster, record_change_t change)
{
	bool written = false;

	while (!written) {
		stored_record_t before = read_record(cluster);
		stored_record_t after = { 0 };
		char *text;

		change(before.record);
		text = job_record_encode(before.record);
		object_put(cluster->observer, JOB_RECORD_PREFIX "j", text,
			   strlen(text), before.version, "n9", on_record_read,
			   &after);
		while (!after.done)
			step(cluster);
		written = after.succeeded;
		g_free(text);
		job_record_free(before.record);
		job_record_free(after.record);
	}
}

/* A job that is assigned to another node must be accepted, name that node, and
 * not run at the accepting node as well. */
static void test_job_for_other_node(void)
{
	cluster_t *cluster = cluster_new(7);
	stored_record_t found;

	cluster->nodes[0].context.job_node = other_node;
	submit(&cluster->nodes[0]);
	run_ms(cluster, 1000);
	CU_ASSERT_EQUAL(cluster->nodes[0].outcome, JOB_ACCEPTED);
	CU_ASSERT_EQUAL(cluster->starts, 0);
	found = read_record(cluster);
	CU_ASSERT_STRING_EQUAL(found.record->owner, "n1");
	CU_ASSERT_STRING_EQUAL(found.record->instance, "");
	job_record_free(found.record);
}

static void change_owner(job_record_t *record)
{
	g_free(record->owner);
	record->owner = g_strdup("n9");
	record->epoch++;
}

static void end_job(job_record_t *record)
{
	record->ended = true;
}

/* After a takeover the former owner must stop, and its late results must not
 * appear in the record. */
static void test_owner_after_takeover(void)
{
	cluster_t *cluster = cluster_new(1);
	stored_record_t found;

	cluster->steps_per_item = 100000;
	submit(&cluster->nodes[0]);
	run_ms(cluster, 500);
	CU_ASSERT_EQUAL(cluster->starts, ITEMS);
	change_record(cluster, change_owner);
	for (guint i = 0; i < cluster->calls->len; i++)
		((runner_call_t *)cluster->calls->pdata[i])->steps = 1;
	run_ms(cluster, 3000);
	CU_ASSERT_EQUAL(owners(cluster), 0);
	found = read_record(cluster);
	CU_ASSERT_STRING_EQUAL(found.record->owner, "n9");
	CU_ASSERT_EQUAL(job_record_results(found.record), 0);
	job_record_free(found.record);
}

/* Stores a record of a later build in place of the current one. */
static uint64_t store_later_format(cluster_t *cluster)
{
	static const char text[] =
		"{\"format\":2,\"owner\":\"n9\",\"items\":4}";
	stored_record_t written = { 0 };

	while (!written.succeeded) {
		stored_record_t found = read_record(cluster);

		job_record_free(found.record);
		written.done = false;
		object_put(cluster->observer, JOB_RECORD_PREFIX "j", text,
			   strlen(text), found.version, "n9", on_record_read,
			   &written);
		while (!written.done)
			step(cluster);
	}
	return read_record(cluster).version;
}

/* A later build takes the job over with a record that this one cannot read.
 * Guards against an owner that keeps running the job and asks for the record at
 * each step. */
static void test_record_of_later_build(void)
{
	cluster_t *cluster = cluster_new(17);
	uint64_t version;

	cluster->steps_per_item = 100000;
	submit(&cluster->nodes[0]);
	run_ms(cluster, 500);
	CU_ASSERT_EQUAL(owners(cluster), 1);
	version = store_later_format(cluster);
	run_ms(cluster, 3000);
	CU_ASSERT_EQUAL(owners(cluster), 0);
	CU_ASSERT_EQUAL(read_record(cluster).version, version);
}

/* After another node has ended a job, its owner must stop starting items within
 * the promised 3 s. */
static void test_end_at_another_node(void)
{
	cluster_t *cluster = cluster_new(2);
	int starts;

	/* One runner with one slot, so that items wait for it. */
	fleet_update(cluster->nodes[0].fleet,
		     &(fleet_entry_t){ "r", "10.0.0.1:1", "s", "d", 1, 1, false,
				       "1" });
	cluster->steps_per_item = 250;
	submit(&cluster->nodes[0]);
	run_ms(cluster, 1000);
	change_record(cluster, end_job);
	run_ms(cluster, 3000);
	starts = cluster->starts;
	run_ms(cluster, 6000);
	CU_ASSERT(starts > 0);
	CU_ASSERT_EQUAL(cluster->starts, starts);
	CU_ASSERT_EQUAL(owners(cluster), 0);
}

/* An owner must not serve its copy of the record once another node may have
 * taken the job over, also after the machine was suspended. */
static void test_stale_record(void)
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

/* The answer to the creation of a record is lost, and an outage follows. Guards
 * against an owner that counts its lease from the read that found the record:
 * another node, which counts from the creation, may have the job by then. */
static void test_acceptance_by_read(void)
{
	enum { OUTAGE_MS = 2200 };
	cluster_t *cluster = cluster_new(17);
	node_t *node = &cluster->nodes[0];
	object_memory_faults_t *faults = object_memory_faults(cluster->memory);

	faults->timeout_ms = 1000;
	cluster->steps_per_item = 100000;
	submit(node);
	faults->lose_answers = 1;
	while (object_memory_stats(cluster->memory)->writes < 2)
		step(cluster);
	faults->lose_answers = 0;
	faults->outage_until_ms =
		clock_now_ms(&cluster->clock.base) + OUTAGE_MS;
	while (!is_accepted(cluster))
		step(cluster);
	CU_ASSERT_PTR_NOT_NULL(job_owner_record(node->owner, "j"));
	CU_ASSERT_PTR_NULL(job_owner_fresh_record(node->owner, "j"));
	run_ms(cluster, 2000);
	CU_ASSERT_PTR_NOT_NULL(job_owner_fresh_record(node->owner, "j"));
}

/* The store refuses writes but not reads, as above a rate, and something makes
 * the owner read its record, such as an end of the job that failed. Guards
 * against a lease that counts from that read: another node counts from the last
 * version and may have the job by then. */
static void test_read_is_no_renewal(void)
{
	cluster_t *cluster = cluster_new(18);
	node_t *node = &cluster->nodes[0];

	cluster->steps_per_item = 100000;
	submit(node);
	run_ms(cluster, 500);
	CU_ASSERT_PTR_NOT_NULL(job_owner_fresh_record(node->owner, "j"));
	object_memory_faults(cluster->memory)->writes_per_s = 0.001;
	run_ms(cluster, 3500);
	CU_ASSERT_PTR_NULL(job_owner_fresh_record(node->owner, "j"));
	job_owner_refresh(node->owner, "j");
	run_ms(cluster, 500);
	CU_ASSERT_PTR_NULL(job_owner_fresh_record(node->owner, "j"));
	object_memory_faults(cluster->memory)->writes_per_s = 0;
	run_ms(cluster, 2000);
	CU_ASSERT_PTR_NOT_NULL(job_owner_fresh_record(node->owner, "j"));
}

static void add_foreign_result(job_record_t *record)
{
	const uint32_t item = 0;

	if (job_record_has_item(record, item))
		return;
	job_record_add_segment(record, JOB_SEGMENT_PREFIX "j.1.0.n9", NULL,
			       &item, 1);
}

static void take_over_with_result(job_record_t *record)
{
	change_owner(record);
	add_foreign_result(record);
}

/* The next owner has added results when this one meets its record. Guards
 * against counting them as results in the record of this owner, which is a
 * fault. */
static void test_results_of_next_owner(void)
{
	cluster_t *cluster = cluster_new(19);

	cluster->steps_per_item = 100000;
	submit(&cluster->nodes[0]);
	run_ms(cluster, 500);
	change_record(cluster, take_over_with_result);
	run_ms(cluster, 3000);
	CU_ASSERT_EQUAL(owners(cluster), 0);
	CU_ASSERT_EQUAL(*counter_get(cluster->counters, COUNTER_MONOTONIC,
				     "batch_foreign_results_total", NULL),
			0);
}

static void assign_to_n1(job_record_t *record)
{
	g_free(record->owner);
	record->owner = g_strdup("n1");
	record->epoch++;
}

static void on_progress(GPtrArray *progress, void *user_data)
{
	*(GPtrArray **)user_data = progress;
}

static void start_job(node_t *node, const stored_record_t *found,
		      const GPtrArray *progress)
{
	const job_start_t start = {
		.id = "j",
		.record = found->record,
		.version = found->version,
		.confirmed_us = clock_elapsed_us(node->context.clock),
		.items = items_new(),
		.progress = progress,
	};

	job_owner_start_job(node->owner, &start);
}

/* Assigns the job to the node, which starts it with its saved progress. */
static void start_assigned(cluster_t *cluster, node_t *node)
{
	GPtrArray *progress = NULL;
	stored_record_t found;

	change_record(cluster, assign_to_n1);
	found = read_record(cluster);
	job_load_progress(&node->context, found.record->progress, on_progress,
			  &progress);
	while (!progress)
		step(cluster);
	CU_ASSERT_EQUAL(progress->len, ITEMS);
	start_job(node, &found, progress);
	g_ptr_array_unref(progress);
}

static bool is_complete_output(const char *text)
{
	GString *expected = g_string_new("e0");
	bool complete_output;

	for (int i = 1; i < STREAM_EVENTS; i++)
		g_string_append_printf(expected, "\ne%d", i);
	complete_output = strcmp(text, expected->str) == 0;
	g_string_free(expected, TRUE);
	return complete_output;
}

static void start_streams(cluster_t *cluster, int events)
{
	cluster->stream_events = events;
	cluster->resumes_exactly = true;
	memset(cluster->delivered, -1, sizeof(cluster->delivered));
}

/* Nodes are stopped one after the other. Running items must resume at the next
 * owner after their last event. If they started from their first event, each
 * stop would delay them, and items longer than the time between two stops would
 * never finish. */
static void test_consecutive_stops(void)
{
	cluster_t *cluster = cluster_new(4);
	node_t *next = &cluster->nodes[1];
	uint32_t results = 0;
	stored_record_t found;

	start_streams(cluster, STREAM_EVENTS);
	submit(&cluster->nodes[0]);
	run_ms(cluster, STREAM_EVENTS / 2 * STEP_MS);
	CU_ASSERT(cluster->delivered[0] >= 0);
	job_owner_stop(cluster->nodes[0].owner);
	run_ms(cluster, 200);
	CU_ASSERT_EQUAL(job_owner_count(cluster->nodes[0].owner), 0);
	start_assigned(cluster, next);
	run_ms(cluster, 2 * STREAM_EVENTS * STEP_MS);
	CU_ASSERT_EQUAL(cluster->starts, 2 * ITEMS);
	CU_ASSERT(cluster->resumes_exactly);
	found = read_record(cluster);
	CU_ASSERT(has_each_item_once(found.record));
	for (guint i = 0; i < found.record->segments->len; i++) {
		const job_segment_t *segment = found.record->segments->pdata[i];
		const GPtrArray *segment_results =
			segment_cache_get(next->cache, segment->key);

		for (guint j = 0; j < segment_results->len; j++) {
			const job_result_t *result = segment_results->pdata[j];

			CU_ASSERT(is_complete_output(result->text));
			results++;
		}
	}
	CU_ASSERT_EQUAL(results, ITEMS);
	job_record_free(found.record);
}

/* Output that JSON cannot represent must fail the attempt, not the result: if a
 * segment lacked a result that the record lists, the positions of other results
 * would shift. */
static void check_invalid_output(int invalid_starts)
{
	cluster_t *cluster = cluster_new(8);
	node_t *node = &cluster->nodes[0];
	uint32_t results = 0;
	stored_record_t found;

	start_streams(cluster, STREAM_EVENTS);
	cluster->invalid_starts = invalid_starts;
	submit(node);
	run_ms(cluster,
	       (4 + 4 * invalid_starts / ITEMS) * STREAM_EVENTS * STEP_MS);
	found = read_record(cluster);
	CU_ASSERT(has_each_item_once(found.record));
	for (guint i = 0; i < found.record->segments->len; i++) {
		const job_segment_t *segment = found.record->segments->pdata[i];
		const GPtrArray *stored =
			segment_cache_get(node->cache, segment->key);
		char *text = job_results_encode(stored);
		GPtrArray *decoded = job_results_decode(text, strlen(text));

		for (guint j = 0; j < decoded->len; j++)
			results += is_complete_output(
				((job_result_t *)decoded->pdata[j])->text);
		g_ptr_array_unref(decoded);
		g_free(text);
	}
	CU_ASSERT_EQUAL(results, ITEMS);
	job_record_free(found.record);
}

static void test_invalid_output(void)
{
	check_invalid_output(2);
}

/* Runners may spoil more answers than an item may fail: it is not given up. */
static void test_much_invalid_output(void)
{
	check_invalid_output(5 * ITEMS);
}

/* An item that a build before has accepted, and whose path would write a line into
 * the head of a request, is never sent; the others are done. */
static void test_unsendable_item(void)
{
	cluster_t *cluster = cluster_new(14);
	GPtrArray *items = items_new();
	job_item_t *odd = items->pdata[1];
	stored_record_t found;

	g_free(odd->target);
	odd->target = g_strdup("/b/x HTTP/1.1\r\n\r\nGET /b/x");
	submit_items(&cluster->nodes[0], "j", "/b/1", items);
	run_ms(cluster, 3000);
	CU_ASSERT_EQUAL(cluster->starts, ITEMS - 1);
	found = read_record(cluster);
	CU_ASSERT_EQUAL(job_record_results(found.record), ITEMS - 1);
	CU_ASSERT_FALSE(job_record_has_item(found.record, 1));
	job_record_free(found.record);
}

static void kill_node(node_t *node)
{
	node->killed = true;
	for (guint i = 0; i < node->cluster->calls->len; i++)
		cancel(node->cluster->calls->pdata[i]);
}

/* A node is killed, or its domain is partitioned for longer than the lease,
 * while it runs long items. The next owner must not start them from their first
 * event: they would all miss their deadline. */
static void test_killed_owner(void)
{
	cluster_t *cluster = cluster_new(5);
	runner_call_t *call;

	start_streams(cluster, LONG_STREAM_EVENTS);
	submit(&cluster->nodes[0]);
	run_ms(cluster, 10000);
	kill_node(&cluster->nodes[0]);
	CU_ASSERT(cluster->delivered[0] > 2 * MAX_LOST_EVENTS);
	start_assigned(cluster, &cluster->nodes[1]);
	run_ms(cluster, 100);
	CU_ASSERT_EQUAL_FATAL(cluster->starts, 2 * ITEMS);
	for (guint i = ITEMS; i < cluster->calls->len; i++) {
		call = cluster->calls->pdata[i];
		CU_ASSERT(call->request.resume_after >=
			  10000 / STEP_MS - MAX_LOST_EVENTS);
	}
}

/* Items that fail at each run, of a job that moves from node to node. Guards
 * against owners that count the failures from zero: the items would run more
 * often than their route allows. */
static void test_failures_move_with_the_job(void)
{
	cluster_t *cluster = cluster_new(7);

	cluster->fails = true;
	cluster->steps_per_item = 2;
	submit(&cluster->nodes[0]);
	/* Two of three attempts, 0.2 s apart. */
	run_ms(cluster, 450);
	job_owner_stop(cluster->nodes[0].owner);
	run_ms(cluster, 300);
	start_assigned(cluster, &cluster->nodes[1]);
	/* The only runner is ejected for some seconds after each failure. */
	run_ms(cluster, 15000);
	CU_ASSERT_EQUAL(cluster->starts, 3 * ITEMS);
}

/* The store loses answers and applies writes late while progress is to be
 * saved. The next save must succeed and the job must finish. */
static void test_failed_progress_write(void)
{
	cluster_t *cluster = cluster_new(6);
	object_memory_faults_t *faults = object_memory_faults(cluster->memory);
	stored_record_t found;

	start_streams(cluster, LONG_STREAM_EVENTS);
	submit(&cluster->nodes[0]);
	run_ms(cluster, 2900);
	faults->lose_answers = 0.6;
	faults->late_writes = 0.5;
	run_ms(cluster, 4000);
	*faults = (object_memory_faults_t){ .timeout_ms = 1000 };
	run_ms(cluster, 5000);
	kill_node(&cluster->nodes[0]);
	start_assigned(cluster, &cluster->nodes[1]);
	run_ms(cluster, LONG_STREAM_EVENTS * STEP_MS);
	found = read_record(cluster);
	CU_ASSERT(has_each_item_once(found.record));
	job_record_free(found.record);
}

static void check_resubmissions(uint32_t seed)
{
	cluster_t *cluster = cluster_new(seed);
	object_memory_faults_t *faults = object_memory_faults(cluster->memory);
	stored_record_t before;
	stored_record_t after;

	submit(&cluster->nodes[0]);
	run_ms(cluster, 3000);
	before = read_record(cluster);
	CU_ASSERT_FATAL(has_each_item_once(before.record));
	faults->lose_answers = 0.35;
	for (int i = 0; i < RESUBMISSIONS; i++) {
		submit(&cluster->nodes[0]);
		run_ms(cluster, 3000);
	}
	*faults = (object_memory_faults_t){ .timeout_ms = 1000 };
	run_ms(cluster, 3000);
	after = read_record(cluster);
	CU_ASSERT_EQUAL(after.version, before.version);
	CU_ASSERT_EQUAL(cluster->starts, ITEMS);
	job_record_free(before.record);
	job_record_free(after.record);
}

/* A completed job is sent again to its owner while answers of the store are
 * lost. Guards against running it anew, which replaced results that were
 * read. */
static void test_completed_job_sent_again(void)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++)
		check_resubmissions(seed);
}

static void on_stored(const object_value_t *value, const GError *error,
		      void *user_data)
{
	*(bool *)user_data = true;
}

static void on_segment_read(const object_value_t *value, const GError *error,
			    void *user_data)
{
	stored_segment_t *segment = user_data;

	segment->done = true;
	if (!error)
		segment->results = job_results_decode(value->data, value->len);
}

/* Stores foreign results under the key of the first segment of the job. */
static void occupy_first_segment(cluster_t *cluster)
{
	static const char key[] = JOB_SEGMENT_PREFIX "j.1.0.n0";
	static const char text[] =
		"[{\"item\":0,\"id\":\"i0\",\"state\":0,\"text\":\"other\"}]";
	bool stored = false;

	object_put(cluster->observer, key, text, strlen(text), OBJECT_ABSENT,
		   "n0-0", on_stored, &stored);
	while (!stored)
		step(cluster);
}

static uint32_t count_stored_results(cluster_t *cluster,
				     const job_record_t *record)
{
	uint32_t results = 0;

	for (guint i = 0; i < record->segments->len; i++) {
		const job_segment_t *segment = record->segments->pdata[i];
		stored_segment_t found = { 0 };

		object_get(cluster->observer, segment->key, on_segment_read,
			   &found);
		while (!found.done)
			step(cluster);
		CU_ASSERT_PTR_NOT_NULL_FATAL(found.results);
		CU_ASSERT_EQUAL(found.results->len, segment->items->len);
		for (guint j = 0; j < found.results->len; j++) {
			const job_result_t *result = found.results->pdata[j];

			results += strcmp(result->text, "done") == 0;
		}
		g_ptr_array_unref(found.results);
	}
	return results;
}

/* The key of a segment holds results of another run of the job. Guards against
 * a record that names results which are not its own. */
static void test_segment_key_in_use(void)
{
	cluster_t *cluster = cluster_new(9);
	stored_record_t found;

	occupy_first_segment(cluster);
	submit(&cluster->nodes[0]);
	run_ms(cluster, 4000);
	found = read_record(cluster);
	CU_ASSERT(has_each_item_once(found.record));
	CU_ASSERT_EQUAL(count_stored_results(cluster, found.record), ITEMS);
	job_record_free(found.record);
}

/* Another process adds a result to the record of this owner, before the owner
 * has results, with results pending, and with a segment that is being written.
 * Guards against naming that item a second time: it stood at two positions. */
static void test_foreign_results(void)
{
	for (int ms = 0; ms < 1200; ms += 40) {
		cluster_t *cluster = cluster_new(16);
		stored_record_t found;

		object_memory_faults(cluster->memory)->delay_ms = 60;
		submit(&cluster->nodes[0]);
		while (!is_accepted(cluster))
			step(cluster);
		run_ms(cluster, ms);
		change_record(cluster, add_foreign_result);
		run_ms(cluster, 3000);
		found = read_record(cluster);
		CU_ASSERT(has_each_item_once(found.record));
		CU_ASSERT_EQUAL(owners(cluster), 0);
		job_record_free(found.record);
	}
}

/* A takeover that completes after the job was started here by its submission
 * must not run each item twice at this node. */
static void test_job_started_twice(void)
{
	cluster_t *cluster = cluster_new(10);
	stored_record_t found;

	cluster->steps_per_item = 100;
	submit(&cluster->nodes[0]);
	run_ms(cluster, 300);
	found = read_record(cluster);
	start_job(&cluster->nodes[0], &found, NULL);
	run_ms(cluster, 3000);
	CU_ASSERT_EQUAL(cluster->starts, ITEMS);
	found = read_record(cluster);
	CU_ASSERT(has_each_item_once(found.record));
	job_record_free(found.record);
}

/* The results of a job come to more than the store takes as one value. Guards
 * against a segment that is refused for as long as the owner has the job. */
static void test_large_results(void)
{
	cluster_t *cluster = cluster_new(14);
	stored_record_t found;

	cluster->output_bytes = LARGE_OUTPUT_BYTES;
	submit(&cluster->nodes[0]);
	run_ms(cluster, 4000);
	found = read_record(cluster);
	CU_ASSERT_FATAL(has_each_item_once(found.record));
	CU_ASSERT_EQUAL(cluster->starts, ITEMS);
	job_record_free(found.record);
}

/* The same while the owner stops. Guards against a release after the first of
 * several segments, which would run the other items again. */
static void test_release_with_large_results(void)
{
	cluster_t *cluster = cluster_new(15);
	stored_record_t found;

	cluster->output_bytes = LARGE_OUTPUT_BYTES;
	submit(&cluster->nodes[0]);
	while (cluster->calls->len < ITEMS ||
	       !((runner_call_t *)cluster->calls->pdata[ITEMS - 1])->call_ended)
		step(cluster);
	job_owner_stop(cluster->nodes[0].owner);
	run_ms(cluster, 4000);
	found = read_record(cluster);
	CU_ASSERT(has_each_item_once(found.record));
	CU_ASSERT_EQUAL(owners(cluster), 0);
	job_record_free(found.record);
}

/* A runner reads the prompt of each item for longer than a stream may be silent
 * before it is moved. Guards against ending each attempt at that time, so that
 * the item is never done. */
static void test_long_prompt(void)
{
	cluster_t *cluster = cluster_new(13);
	stored_record_t found;

	cluster->checks_timeouts = true;
	cluster->steps_per_item = LONG_PROMPT_MS / STEP_MS;
	submit(&cluster->nodes[0]);
	run_ms(cluster, 8 * LONG_PROMPT_MS);
	found = read_record(cluster);
	CU_ASSERT(has_each_item_once(found.record));
	job_record_free(found.record);
}

static void add_runner(node_t *node, const char *id, uint32_t slots)
{
	fleet_update(node->fleet, &(fleet_entry_t){ id, "10.0.0.1:1", "s", "d",
						    slots, 1, false, "1" });
}

static path_route_t *path_route_of(const node_t *node, const char *path)
{
	return (path_route_t *)path_table_find(node->paths, "h", path);
}

static void add_runner_of_late_service(node_t *node, uint32_t slots)
{
	fleet_update(node->fleet,
		     &(fleet_entry_t){ "rt", "10.0.0.2:1", "t", "d", slots, 1,
				       false, "1" });
}

static void on_record_removed(const object_value_t *value, const GError *error,
			      void *user_data)
{
	CU_ASSERT_PTR_NULL(error);
}

/* An owner that was cut off for so long that its job was closed and its record
 * removed must drop the job. It wrote the record again and again, and ran the
 * items. */
static void test_record_removed(void)
{
	cluster_t *cluster = cluster_new(19);
	node_t *node = &cluster->nodes[0];
	stored_record_t found;
	int starts;

	cluster->steps_per_item = 100000;
	submit(node);
	run_ms(cluster, 500);
	CU_ASSERT_EQUAL(owners(cluster), 1);
	found = read_record(cluster);
	object_remove(cluster->observer, JOB_RECORD_PREFIX "j", found.version,
		      on_record_removed, NULL);
	job_record_free(found.record);
	run_ms(cluster, 3000);
	CU_ASSERT_EQUAL(owners(cluster), 0);
	starts = cluster->starts;
	run_ms(cluster, 3000);
	CU_ASSERT_EQUAL(cluster->starts, starts);
	CU_ASSERT_EQUAL(job_owner_count(node->owner), 0);
}

/* A node has an open job of a service without a runner. Guards against sharing
 * the free slots of that service only: the jobs of all others were not run. */
static void test_service_without_runner(void)
{
	cluster_t *cluster = cluster_new(11);

	submit_as(&cluster->nodes[0], "other", "/c/1");
	run_ms(cluster, 500);
	CU_ASSERT_EQUAL(cluster->starts, 0);
	submit(&cluster->nodes[0]);
	run_ms(cluster, 3000);
	CU_ASSERT_EQUAL(cluster->starts, ITEMS);
}

/* Jobs of two services wait at a node. Guards against giving the slots of one
 * service to the items of the other. */
static void test_slots_of_two_services(void)
{
	cluster_t *cluster = cluster_new(12);

	add_runner_of_late_service(&cluster->nodes[0], 2);
	cluster->steps_per_item = 100000;
	submit_as(&cluster->nodes[0], "other", "/c/1");
	submit(&cluster->nodes[0]);
	run_ms(cluster, 3000);
	CU_ASSERT_EQUAL(cluster->starts, ITEMS + 2);
}

/* Most items of a job are larger than any runner's memory. Guards against a node
 * that sends nothing but these, and takes their refusals for the runner's. */
static void test_items_that_fit_nowhere(void)
{
	cluster_t *cluster = cluster_new(18);
	node_t *node = &cluster->nodes[0];
	stored_record_t found;

	cluster->steps_per_item = 20;
	cluster->too_large = (1U << (ITEMS - 1)) - 1;
	add_runner(node, "r", 2);
	submit(node);
	run_ms(cluster, 3000);
	found = read_record(cluster);
	CU_ASSERT_EQUAL(job_record_results(found.record), 1);
	CU_ASSERT(job_record_has_item(found.record, ITEMS - 1));
	job_record_free(found.record);
	/* They are tried at times, as another runner may have more memory. */
	cluster->refused = 0;
	run_ms(cluster, 10000);
	CU_ASSERT(cluster->refused > 0);
	CU_ASSERT(cluster->refused < 10 * ITEMS);
	cluster->too_large = 0;
	run_ms(cluster, 5000);
	found = read_record(cluster);
	CU_ASSERT(has_each_item_once(found.record));
	job_record_free(found.record);
}

static uint32_t given_up(const node_t *node, const job_record_t *record)
{
	uint32_t count = 0;

	for (guint i = 0; i < record->segments->len; i++) {
		const job_segment_t *segment = record->segments->pdata[i];
		const GPtrArray *results =
			segment_cache_get(node->cache, segment->key);

		for (guint j = 0; results && j < results->len; j++)
			count += ((job_result_t *)results->pdata[j])->state ==
				 JOB_RESULT_GIVEN_UP;
	}
	return count;
}

/* A job with items of a size that no runner has memory for, all but the last. */
static void submit_large(node_t *node, int64_t tokens)
{
	GPtrArray *items = items_new();

	node->cluster->too_large = (1U << (ITEMS - 1)) - 1;
	for (guint i = 0; i + 1 < items->len; i++)
		((job_item_t *)items->pdata[i])->tokens = tokens;
	submit_items(node, "j", "/b/1", items);
}

/* The first refusals of items that fit nowhere kept the others from the runner for
 * 400 ms each. */
static void test_first_refusals(void)
{
	cluster_t *cluster = cluster_new(20);
	node_t *node = &cluster->nodes[0];
	stored_record_t found;

	add_runner(node, "r", 2);
	cluster->steps_per_item = 1;
	submit_large(node, 1000);
	run_ms(cluster, 100);
	CU_ASSERT_EQUAL(cluster->starts, 3);
	run_ms(cluster, 800);
	found = read_record(cluster);
	CU_ASSERT(job_record_has_item(found.record, ITEMS - 1));
	job_record_free(found.record);
	/* Once its size is known to be refused, an item is tried seldom. */
	run_ms(cluster, 10000);
	CU_ASSERT(cluster->refused >= 4);
	CU_ASSERT(cluster->refused <= 10);
}

/* Items that fit one runner only must be done there, and must not be tried at the
 * others all the time. */
static void test_items_that_fit_one_runner(void)
{
	cluster_t *cluster = cluster_new(21);
	node_t *node = &cluster->nodes[0];
	stored_record_t found;

	add_runner(node, "r", 8);
	add_runner(node, "q", 1);
	cluster->large_runner = "q";
	submit_large(node, 1000);
	run_ms(cluster, 5000);
	found = read_record(cluster);
	CU_ASSERT(has_each_item_once(found.record));
	CU_ASSERT_EQUAL(given_up(node, found.record), 0);
	CU_ASSERT(cluster->refused <= 2 * ITEMS);
	job_record_free(found.record);
}

/* Items that fit nowhere are given up after the time from which the route permits
 * it, also those that were tried seldom or whose size is not known; not before. */
static void test_large_items_are_given_up(void)
{
	static const int64_t sizes[] = { 1000, 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		cluster_t *cluster = cluster_new(22);
		node_t *node = &cluster->nodes[0];
		stored_record_t found;

		path_route_of(node, "/b/")->give_up_ms = 20000;
		add_runner(node, "r", 2);
		submit_large(node, sizes[i]);
		run_ms(cluster, 20000);
		found = read_record(cluster);
		CU_ASSERT_EQUAL(job_record_results(found.record), 1);
		job_record_free(found.record);
		run_ms(cluster, 15000);
		found = read_record(cluster);
		CU_ASSERT(has_each_item_once(found.record));
		CU_ASSERT_EQUAL(given_up(node, found.record), ITEMS - 1);
		job_record_free(found.record);
	}
}

/* The operator removes the route of a job whose items wait, or another route gets
 * its path. Guards against items that are never listed. */
static void test_route_removed(void)
{
	for (int other_route = 0; other_route <= 1; other_route++) {
		cluster_t *cluster = cluster_new(15);
		node_t *node = &cluster->nodes[0];
		stored_record_t found;

		submit_as(node, "j", "/c/1");
		run_ms(cluster, 500);
		node->paths = path_table_new(2);
		if (other_route)
			path_route_add_target(
				path_table_add(node->paths, "h", "/"), "s", 1);
		run_ms(cluster, 5000);
		found = read_record(cluster);
		CU_ASSERT_EQUAL(job_record_results(found.record), 0);
		job_record_free(found.record);
		run_ms(cluster, 5000);
		found = read_record(cluster);
		CU_ASSERT(has_each_item_once(found.record));
		CU_ASSERT_EQUAL(given_up(node, found.record), ITEMS);
		CU_ASSERT_EQUAL(cluster->starts, 0);
		job_record_free(found.record);
	}
}

/* A node may not know the route yet, or the operator brings it back. */
static void test_route_comes_back(void)
{
	cluster_t *cluster = cluster_new(16);
	node_t *node = &cluster->nodes[0];
	path_table_t *paths = node->paths;
	stored_record_t found;

	submit_as(node, "j", "/c/1");
	run_ms(cluster, 500);
	for (int i = 0; i < 3; i++) {
		node->paths = path_table_new(2);
		run_ms(cluster, 5000);
		node->paths = paths;
		run_ms(cluster, 500);
	}
	add_runner_of_late_service(node, 64);
	run_ms(cluster, 3000);
	found = read_record(cluster);
	CU_ASSERT(has_each_item_once(found.record));
	CU_ASSERT_EQUAL(given_up(node, found.record), 0);
	job_record_free(found.record);
}

static void check_given_up(cluster_t *cluster, uint32_t expected)
{
	stored_record_t found = read_record(cluster);

	CU_ASSERT_EQUAL(given_up(&cluster->nodes[0], found.record), expected);
	job_record_free(found.record);
}

/* The operator changes when results are due. Items that fit nowhere must be given up
 * by the time of the route that is in force, not sooner. */
static void test_changed_due_time(void)
{
	cluster_t *cluster = cluster_new(23);
	node_t *node = &cluster->nodes[0];

	path_route_of(node, "/b/")->give_up_ms = 60000;
	add_runner(node, "r", 2);
	submit_large(node, 1000);
	run_ms(cluster, 5000);
	path_route_of(node, "/b/")->due_ms = 60000;
	run_ms(cluster, 54000);
	check_given_up(cluster, 0);
	run_ms(cluster, 16000);
	check_given_up(cluster, ITEMS - 1);
}

/* A job is started while its route is not known, which then comes back. The time of
 * its submission must count, not that of the start. */
static void test_route_not_known_at_start(void)
{
	cluster_t *cluster = cluster_new(24);
	node_t *node = &cluster->nodes[0];
	path_table_t *paths = node->paths;

	path_route_of(node, "/b/")->give_up_ms = 30000;
	add_runner(node, "r", 2);
	submit_large(node, 1000);
	node->paths = path_table_new(2);
	run_ms(cluster, 1000);
	CU_ASSERT_EQUAL(owners(cluster), 1);
	node->paths = paths;
	run_ms(cluster, 28000);
	check_given_up(cluster, 0);
	run_ms(cluster, 16000);
	check_given_up(cluster, ITEMS - 1);
}

/* The owner cannot renew the record, as the store is out, and the route is missing
 * for long: another node may own the job, and know the route. */
static void test_route_removed_in_outage(void)
{
	cluster_t *cluster = cluster_new(25);
	node_t *node = &cluster->nodes[0];
	path_table_t *paths = node->paths;
	stored_record_t found;

	submit_as(node, "j", "/c/1");
	run_ms(cluster, 500);
	object_memory_faults(cluster->memory)->outage_until_ms =
		clock_now_ms(&cluster->clock.base) + 15000;
	node->paths = path_table_new(2);
	run_ms(cluster, 14000);
	node->paths = paths;
	run_ms(cluster, 3000);
	check_given_up(cluster, 0);
	add_runner_of_late_service(node, 64);
	run_ms(cluster, 3000);
	found = read_record(cluster);
	CU_ASSERT(has_each_item_once(found.record));
	job_record_free(found.record);
	check_given_up(cluster, 0);
}

/* Items of a removed route that run are done. */
static void test_route_removed_while_running(void)
{
	cluster_t *cluster = cluster_new(17);
	node_t *node = &cluster->nodes[0];
	stored_record_t found;

	start_streams(cluster, LONG_STREAM_EVENTS);
	submit(node);
	run_ms(cluster, 500);
	node->paths = path_table_new(2);
	run_ms(cluster, LONG_STREAM_EVENTS * STEP_MS + 1000);
	found = read_record(cluster);
	CU_ASSERT(has_each_item_once(found.record));
	CU_ASSERT_EQUAL(given_up(node, found.record), 0);
	job_record_free(found.record);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "same job at two nodes", test_same_job_at_two_nodes },
		{ "job for other node", test_job_for_other_node },
		{ "owner after takeover", test_owner_after_takeover },
		{ "record of later build", test_record_of_later_build },
		{ "end at another node", test_end_at_another_node },
		{ "stale record", test_stale_record },
		{ "consecutive stops", test_consecutive_stops },
		{ "invalid output", test_invalid_output },
		{ "much invalid output", test_much_invalid_output },
		{ "unsendable item", test_unsendable_item },
		{ "killed owner", test_killed_owner },
		{ "failures move with the job",
		  test_failures_move_with_the_job },
		{ "failed progress write", test_failed_progress_write },
		{ "completed job sent again", test_completed_job_sent_again },
		{ "segment key in use", test_segment_key_in_use },
		{ "foreign results", test_foreign_results },
		{ "acceptance by read", test_acceptance_by_read },
		{ "read is no renewal", test_read_is_no_renewal },
		{ "results of next owner", test_results_of_next_owner },
		{ "job started twice", test_job_started_twice },
		{ "large results", test_large_results },
		{ "release with large results",
		  test_release_with_large_results },
		{ "long prompt", test_long_prompt },
		{ "record removed", test_record_removed },
		{ "service without runner", test_service_without_runner },
		{ "slots of two services", test_slots_of_two_services },
		{ "items that fit nowhere", test_items_that_fit_nowhere },
		{ "first refusals", test_first_refusals },
		{ "items that fit one runner", test_items_that_fit_one_runner },
		{ "large items are given up", test_large_items_are_given_up },
		{ "route removed", test_route_removed },
		{ "route comes back", test_route_comes_back },
		{ "changed due time", test_changed_due_time },
		{ "route not known at start", test_route_not_known_at_start },
		{ "route removed in outage", test_route_removed_in_outage },
		{ "route removed while running",
		  test_route_removed_while_running },
		{ NULL, NULL },
	};

	return unit_run("job_store", tests);
}
