#include <string.h>

#include "base/counter.h"
#include "base/error.h"
#include "gateway/job_load.h"
#include "gateway/job_owner.h"
#include "gateway/job_submit.h"
#include "gateway/job_table.h"
#include "object/object_memory.h"
#include "unit.h"

/* Tests takeovers and submissions of batch jobs while reads of the store fail or
 * take longer than the lease. */
#define ITEMS 2
#define STEP_MS 10
/* Until a node that sees a record for the first time takes its job over. */
#define TAKEOVER_MS 8000
/* Until a takeover is attempted again, with room for its calls. */
#define RETRY_MS 1500
#define SUBMIT_TIMEOUT_MS 2500
/* Within it no node takes the job of a live owner over. */
#define BELOW_LEASE_MS 3000
#define LEASE_US 4000000
#define PUT_TIMEOUT_US 2500000
/* Longer than the lease and the delay until another node sees a takeover. */
#define LOAD_US 7000000

/* A store whose reads of payload parts can be held back. Watches are answered
 * with all objects after a while. */
typedef struct held_store {
	object_store_t base; /* first member */
	struct node *node;
} held_store_t;

typedef struct held_get {
	char *key;
	object_done_t done;
	void *user_data;
} held_get_t;

typedef struct held_put {
	struct node *node;
	char *key;
	char *text;
	uint64_t version; /* that the store gave it */
	object_done_t done;
	void *user_data;
} held_put_t;

typedef struct held_watch {
	char *prefix;
	int64_t due_us;
	object_list_done_t done;
	void *user_data;
} held_watch_t;

struct runner_call {
	runner_request_t request;
	bool cancelled;
};

typedef struct node {
	struct event_base *base;
	clock_manual_t clock;
	GRand *random;
	counter_set_t *counters;
	object_memory_t *memory;
	object_store_t *direct;
	object_store_t *observer; /* another node */
	held_store_t held;
	GQueue gets; /* held_get_t */
	GQueue watches; /* held_watch_t */
	GQueue calls; /* runner_call_t */
	bool holds_payload;
	bool hides_records; /* reads of records fail */
	bool holds_results;
	bool holds_watches;
	held_put_t *unanswered; /* its answer is lost */
	bool loses_answer; /* of the next write of a record */
	int64_t answer_lost_us;
	int record_puts; /* writes of records */
	fleet_t *fleet;
	path_table_t *paths;
	runner_protocol_t protocol;
	execution_context_t executions;
	job_context_t context;
	segment_cache_t *cache;
	job_owner_t *owner;
	job_table_t *table;
	int starts; /* of items */
} node_t;

static node_t *node_of(object_store_t *store)
{
	return ((held_store_t *)store)->node;
}

static void held_get(object_store_t *base, const char *key, object_done_t done,
		     void *user_data)
{
	node_t *node = node_of(base);
	held_get_t *get;

	if (node->hides_records && g_str_has_prefix(key, JOB_RECORD_PREFIX)) {
		object_get(node->direct, JOB_RECORD_PREFIX "none", done,
			   user_data);
		return;
	}
	if (!node->holds_payload ||
	    !g_str_has_prefix(key, JOB_PAYLOAD_PREFIX)) {
		object_get(node->direct, key, done, user_data);
		return;
	}
	get = g_new0(held_get_t, 1);
	*get = (held_get_t){ g_strdup(key), done, user_data };
	g_queue_push_tail(&node->gets, get);
}

static void free_put(held_put_t *put)
{
	g_free(put->key);
	g_free(put->text);
	g_free(put);
}

static void on_conflicting(const object_value_t *value, const GError *error,
			   void *user_data)
{
	const GError conflict = { WL_ERROR, WL_ERROR_CONFLICT,
				  (char *)"conflict" };
	held_put_t *put = user_data;

	put->done(value, &conflict, put->user_data);
	free_put(put);
}

/* The users' store returns the object that a write stored, or that it met. */
static void on_put(const object_value_t *value, const GError *error,
		   void *user_data)
{
	held_put_t *put = user_data;
	node_t *node = put->node;
	object_value_t stored = { 0 };

	if (node->loses_answer &&
	    g_str_has_prefix(put->key, JOB_RECORD_PREFIX)) {
		node->loses_answer = false;
		node->unanswered = put;
		put->version = error ? 0 : value->version;
		node->answer_lost_us = clock_now_us(&node->clock.base);
		return;
	}
	if (error && error->code == WL_ERROR_CONFLICT) {
		object_get(node->direct, put->key, on_conflicting, put);
		return;
	}
	if (!error) {
		stored = *value;
		stored.data = put->text;
		stored.len = strlen(put->text);
	}
	put->done(error ? value : &stored, error, put->user_data);
	free_put(put);
}

static void time_out_put(node_t *node)
{
	const GError timeout = { WL_ERROR, WL_ERROR_TIMEOUT, (char *)"lost" };
	held_put_t *put = node->unanswered;

	if (!put || clock_now_us(&node->clock.base) - node->answer_lost_us <
			    PUT_TIMEOUT_US)
		return;
	node->unanswered = NULL;
	put->done(NULL, &timeout, put->user_data);
	free_put(put);
}

/* The answer was late, not lost. */
static void answer_put(node_t *node)
{
	held_put_t *put = node->unanswered;
	const object_value_t stored = { .key = put->key,
					.version = put->version,
					.data = put->text,
					.len = strlen(put->text) };

	node->unanswered = NULL;
	put->done(&stored, NULL, put->user_data);
	free_put(put);
}

static void held_put(object_store_t *base, const char *key, const void *data,
		     size_t len, uint64_t if_version, const char *writer,
		     object_done_t done, void *user_data)
{
	held_put_t *put = g_new0(held_put_t, 1);

	*put = (held_put_t){ .node = node_of(base),
			     .key = g_strdup(key),
			     .text = g_strndup(data, len),
			     .done = done,
			     .user_data = user_data };
	put->node->record_puts += g_str_has_prefix(key, JOB_RECORD_PREFIX);
	object_put(node_of(base)->direct, key, data, len, if_version, writer,
		   on_put, put);
}

static void held_list(object_store_t *base, const char *prefix,
		      const char *after, uint32_t limit,
		      object_list_done_t done, void *user_data)
{
	object_list(node_of(base)->direct, prefix, after, limit, done,
		    user_data);
}

static void held_watch(object_store_t *base, const char *prefix, uint64_t since,
		       int32_t timeout_ms, object_list_done_t done,
		       void *user_data)
{
	node_t *node = node_of(base);
	held_watch_t *watch = g_new0(held_watch_t, 1);

	*watch = (held_watch_t){ g_strdup(prefix),
				 clock_now_us(&node->clock.base) + 500000, done,
				 user_data };
	g_queue_push_tail(&node->watches, watch);
}

static const object_store_ops_t held_ops = {
	.get = held_get,
	.put = held_put,
	.list = held_list,
	.watch = held_watch,
};

static void answer_watches(node_t *node)
{
	held_watch_t *watch = g_queue_peek_head(&node->watches);

	if (!watch || node->holds_watches ||
	    watch->due_us > clock_now_us(&node->clock.base))
		return;
	g_queue_pop_head(&node->watches);
	object_list(node->direct, watch->prefix, NULL, 100, watch->done,
		    watch->user_data);
	g_free(watch->prefix);
	g_free(watch);
}

static void release_payload(node_t *node)
{
	held_get_t *get;

	node->holds_payload = false;
	while ((get = g_queue_pop_head(&node->gets)) != NULL) {
		object_get(node->direct, get->key, get->done, get->user_data);
		g_free(get->key);
		g_free(get);
	}
}

static runner_call_t *start(void *context, const runner_request_t *request)
{
	node_t *node = context;
	runner_call_t *call = g_new0(runner_call_t, 1);

	call->request = *request;
	node->starts++;
	g_queue_push_tail(&node->calls, call);
	return call;
}

static void cancel(runner_call_t *call)
{
	call->cancelled = true;
}

static void complete_items(node_t *node)
{
	static const char event[] = "id: 1\ndata: done\n\n";
	runner_call_t *call;

	while ((call = g_queue_pop_head(&node->calls)) != NULL) {
		const runner_request_t *request = &call->request;
		runner_answer_t answer = { .status = 200 };

		if (!call->cancelled) {
			answer.headers = g_ptr_array_new();
			request->answer(&answer, request->user_data);
			g_ptr_array_unref(answer.headers);
			request->data(event, strlen(event), request->user_data);
			request->done(RUNNER_COMPLETE, request->user_data);
		}
		g_free(call);
	}
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

static void no_domains(void *user_data, const char *service, GArray *domains)
{
}

static void add_route(node_t *node)
{
	path_route_t *route;

	node->paths = path_table_new(1);
	route = path_table_add(node->paths, "h", "/b/");
	route->kind = PATH_BATCH;
	route->due_ms = 60000;
	route->max_runners = 3;
	path_route_add_target(route, "s", 1);
}

static void add_executions(node_t *node)
{
	const fleet_entry_t runner = { "r", "10.0.0.1:1", "s", "d", 64,
				       1,   false,	  "1" };
	const fleet_options_t fleet = { .clock = &node->clock.base,
					.random = node->random,
					.domain = "d" };
	const part_guard_options_t guard = { .clock = &node->clock.base,
					     .random = node->random,
					     .counters = node->counters };

	node->fleet = fleet_new(&fleet);
	fleet_update(node->fleet, &runner);
	node->protocol = (runner_protocol_t){ .start = start,
					      .cancel = cancel,
					      .context = node };
	node->executions = (execution_context_t){
		.base = node->base,
		.clock = &node->clock.base,
		.fleet = node->fleet,
		.part_guard = part_guard_new(&guard),
		.protocol = &node->protocol,
		.tries_total = counter_get(node->counters, COUNTER_MONOTONIC,
					   "tries", NULL),
		.resumes_total = counter_get(node->counters, COUNTER_MONOTONIC,
					     "resumes", NULL),
	};
	g_queue_init(&node->executions.active);
}

static node_t *node_new(void)
{
	node_t *node = g_new0(node_t, 1);

	node->base = event_base_new();
	clock_manual_init(&node->clock, 1700000000000);
	clock_manual_advance_ms(&node->clock, 1000);
	node->random = g_rand_new_with_seed(1);
	node->counters = counter_set_new();
	node->memory = object_memory_new(&node->clock.base, 1);
	node->direct = object_memory_open(node->memory);
	node->observer = object_memory_open(node->memory);
	node->held.base.ops = &held_ops;
	node->held.node = node;
	g_queue_init(&node->gets);
	g_queue_init(&node->watches);
	g_queue_init(&node->calls);
	add_route(node);
	add_executions(node);
	node->context = (job_context_t){
		.base = node->base,
		.clock = &node->clock.base,
		.random = node->random,
		.store = &node->held.base,
		.stale_store = &node->held.base,
		.executions = &node->executions,
		.counters = node->counters,
		.node = "n0",
		.writer = g_strdup("n0-1"),
		.paths = &node->paths,
		.report_demands = no_report,
		.batch_waiting = no_waiting,
		.batch_domains = no_domains,
		.peers = two_peers,
	};
	node->cache = segment_cache_new(1024 * 1024);
	node->owner = job_owner_new(&node->context, node->cache);
	return node;
}

static void step(node_t *node)
{
	clock_manual_advance_ms(&node->clock, STEP_MS);
	object_memory_step(node->memory);
	object_memory_deliver(node->observer);
	object_memory_deliver(node->direct);
	answer_watches(node);
	time_out_put(node);
	job_owner_tick(node->owner);
	if (node->table)
		job_table_tick(node->table);
	if (!node->holds_results)
		complete_items(node);
	/* The pauses of a view are of the event loop's clock. */
	event_base_loop(node->base, EVLOOP_NONBLOCK);
	g_usleep(STEP_MS * 100);
}

static void run_ms(node_t *node, int ms)
{
	for (int i = 0; i < ms; i += STEP_MS)
		step(node);
}

typedef struct stored_record {
	job_record_t *record;
	uint64_t version;
	bool done;
} stored_record_t;

static void on_record(const object_value_t *value, const GError *error,
		      void *user_data)
{
	stored_record_t *found = user_data;

	found->done = true;
	CU_ASSERT_PTR_NULL_FATAL(error);
	if (value->data) {
		found->record = job_record_decode(value->data, value->len);
		found->version = value->version;
	}
}

static stored_record_t read_record(node_t *node)
{
	stored_record_t found = { 0 };

	object_get(node->observer, JOB_RECORD_PREFIX "j", on_record, &found);
	while (!found.done)
		step(node);
	return found;
}

static void put(node_t *node, const char *key, char *text, uint64_t version)
{
	stored_record_t written = { 0 };

	object_put(node->observer, key, text, strlen(text), version, "n9-1",
		   on_record, &written);
	while (!written.done)
		step(node);
	g_free(text);
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

/* A job whose owner n8 is gone. */
static void store_orphan(node_t *node)
{
	job_record_t *record = job_record_new();
	GPtrArray *items = items_new();
	char *key = job_load_key("j", 0);

	put(node, key, job_items_encode(items, 0, ITEMS), OBJECT_ABSENT);
	g_free(key);
	g_ptr_array_unref(items);
	record->host = g_strdup("h");
	record->path = g_strdup("/b/1");
	record->owner = g_strdup("n8");
	record->instance = g_strdup("n8-1");
	record->epoch = JOB_RECORD_FIRST_EPOCH;
	record->items = ITEMS;
	record->payload_parts = 1;
	put(node, JOB_RECORD_PREFIX "j", job_record_encode(record),
	    OBJECT_ABSENT);
	job_record_free(record);
}

/* Node n9 takes the job over, as it may after the lease. */
static uint64_t take_over_elsewhere(node_t *node)
{
	stored_record_t found = read_record(node);

	g_free(found.record->owner);
	found.record->owner = g_strdup("n9");
	g_free(found.record->instance);
	found.record->instance = g_strdup("n9-1");
	found.record->epoch++;
	put(node, JOB_RECORD_PREFIX "j", job_record_encode(found.record),
	    found.version);
	job_record_free(found.record);
	found = read_record(node);
	job_record_free(found.record);
	return found.version;
}

/* Runs until the node has taken the job over and waits for its items. */
static node_t *node_in_takeover(void)
{
	node_t *node = node_new();

	store_orphan(node);
	node->holds_payload = true;
	node->table = job_table_new(&node->context, node->owner);
	for (int ms = 0; ms < 4 * TAKEOVER_MS && node->gets.length == 0;
	     ms += STEP_MS)
		step(node);
	CU_ASSERT_EQUAL_FATAL(node->gets.length, 1);
	return node;
}

/* A takeover reads the items of the job for longer than the lease, so another
 * node takes the job over in the meantime. Guards against going on with the
 * record of that node: both then add results to it, and an item stands at two
 * positions. */
static void test_slow_takeover(void)
{
	node_t *node = node_in_takeover();
	stored_record_t found;
	uint64_t version = take_over_elsewhere(node);

	while (g_strcmp0(job_table_owner(node->table, "j"), "n9") != 0)
		step(node);
	release_payload(node);
	run_ms(node, BELOW_LEASE_MS);
	CU_ASSERT_PTR_NULL(job_owner_record(node->owner, "j"));
	CU_ASSERT_EQUAL(node->starts, 0);
	found = read_record(node);
	CU_ASSERT_STRING_EQUAL(found.record->owner, "n9");
	CU_ASSERT_EQUAL(found.version, version);
	CU_ASSERT_EQUAL(job_record_results(found.record), 0);
	job_record_free(found.record);
}

/* The same, but this node has not seen the other takeover yet. Guards against
 * serving the record as confirmed since the items were read, and against
 * running items of a lease that is over. */
static void test_takeover_beyond_lease(void)
{
	node_t *node = node_in_takeover();

	/* Suspended: the event loop's timers do not run. */
	node->clock.suspended_us += TAKEOVER_MS * 1000;
	release_payload(node);
	object_memory_step(node->memory);
	object_memory_deliver(node->direct);
	CU_ASSERT_PTR_NULL(job_owner_fresh_record(node->owner, "j"));
	job_owner_tick(node->owner);
	CU_ASSERT_EQUAL(node->starts, 0);
	run_ms(node, BELOW_LEASE_MS);
	CU_ASSERT_EQUAL(node->starts, ITEMS);
}

static void on_submitted(job_submitted_t outcome, void *user_data)
{
	*(int *)user_data = outcome;
}

/* A job that another node runs is sent again to this one, which meets its record
 * and then cannot read it. Guards against refusing the job as not run. */
static void test_existing_job_unread(void)
{
	node_t *node = node_new();
	int outcome = -1;
	const job_submission_t submission = {
		.id = "j",
		.host = "h",
		.path = "/b/1",
		.route = path_table_find(node->paths, "h", "/b/1"),
		.items = items_new(),
		.timeout_ms = SUBMIT_TIMEOUT_MS,
		.done = on_submitted,
		.user_data = &outcome,
	};

	store_orphan(node);
	node->hides_records = true;
	node->context.job_node = this_node;
	job_submit(&node->context, node->owner, NULL, &submission);
	while (outcome < 0)
		step(node);
	CU_ASSERT_EQUAL(outcome, JOB_UNKNOWN);
}

/* The store has no answer for the items once. Guards against waiting for the
 * lease that this node itself holds: the job stood still for its whole time. */
static void test_unread_items(void)
{
	node_t *node = node_in_takeover();
	held_get_t *get = g_queue_pop_head(&node->gets);

	node->holds_payload = false;
	object_get(node->direct, JOB_PAYLOAD_PREFIX "none", get->done,
		   get->user_data);
	run_ms(node, RETRY_MS);
	CU_ASSERT_EQUAL(node->starts, ITEMS);
}

static void on_attempt(const object_value_t *value, const GError *error,
		       void *user_data)
{
	stored_record_t *attempt = user_data;

	attempt->done = true;
	attempt->version = error ? 0 : value->version;
}

/* Whether node n9, which has seen the record at this version, gets the job. */
static bool takes_over(node_t *node, const stored_record_t *seen)
{
	stored_record_t attempt = { 0 };
	char *text;

	g_free(seen->record->owner);
	seen->record->owner = g_strdup("n9");
	seen->record->epoch++;
	text = job_record_encode(seen->record);
	object_put(node->observer, JOB_RECORD_PREFIX "j", text, strlen(text),
		   seen->version, "n9-1", on_attempt, &attempt);
	object_memory_step(node->memory);
	object_memory_deliver(node->observer);
	CU_ASSERT(attempt.done);
	g_free(text);
	return attempt.version != 0;
}

/* A takeover is confirmed shortly before the lease ends that others count from
 * its write. Guards against a confirmation that they do not see: the node served
 * the job as its own when another one had it. */
static void test_confirmation_is_seen(void)
{
	node_t *node = node_in_takeover();
	stored_record_t seen = read_record(node);
	int64_t seen_us = clock_now_us(&node->clock.base);

	node->holds_results = true;
	run_ms(node, BELOW_LEASE_MS);
	release_payload(node);
	while (clock_now_us(&node->clock.base) - seen_us < LEASE_US)
		step(node);
	CU_ASSERT_EQUAL(node->starts, ITEMS);
	CU_ASSERT_FALSE(takes_over(node, &seen) &&
			job_owner_fresh_record(node->owner, "j"));
	job_record_free(seen.record);
}

/* The answer to the write of a takeover is lost, and the next attempt meets the
 * record that the first one has written. Guards against a lease that counts from
 * the second. */
static void test_takeover_without_answer(void)
{
	node_t *node = node_new();
	stored_record_t seen;
	int64_t seen_us;

	store_orphan(node);
	node->holds_results = true;
	node->table = job_table_new(&node->context, node->owner);
	run_ms(node, 500);
	node->loses_answer = true;
	while (!node->unanswered) {
		/* The view is as old as a stale read may be. */
		node->holds_watches = clock_now_us(&node->clock.base) > 4000000;
		step(node);
	}
	seen = read_record(node);
	seen_us = clock_now_us(&node->clock.base);
	CU_ASSERT_STRING_EQUAL(seen.record->owner, "n0");
	while (clock_now_us(&node->clock.base) - seen_us < LEASE_US)
		step(node);
	CU_ASSERT_EQUAL(node->starts, ITEMS);
	CU_ASSERT_FALSE(takes_over(node, &seen) &&
			job_owner_fresh_record(node->owner, "j"));
	job_record_free(seen.record);
}

/* A job that was taken over is complete before this node's view shows it.
 * Guards against taking it over again: each such job cost a refused write. */
static void test_completed_takeover(void)
{
	node_t *node = node_in_takeover();
	int puts;

	release_payload(node);
	while (!job_owner_record(node->owner, "j"))
		step(node);
	node->holds_watches = true;
	while (job_owner_count(node->owner) > 0)
		step(node);
	puts = node->record_puts;
	run_ms(node, BELOW_LEASE_MS);
	CU_ASSERT_EQUAL(node->record_puts, puts);
}

/* Ends the job at another node. */
static void end_elsewhere(node_t *node)
{
	stored_record_t found = read_record(node);

	found.record->ended = true;
	put(node, JOB_RECORD_PREFIX "j", job_record_encode(found.record),
	    found.version);
	job_record_free(found.record);
}

/* The process is suspended while it creates a record, and the job, which the
 * caller found at another node, is ended in the meantime. Guards against running
 * items of a job that was ended long before. */
static void test_acceptance_after_suspension(void)
{
	node_t *node = node_new();
	int outcome = -1;
	const job_submission_t submission = {
		.id = "j",
		.host = "h",
		.path = "/b/1",
		.route = path_table_find(node->paths, "h", "/b/1"),
		.items = items_new(),
		.timeout_ms = SUBMIT_TIMEOUT_MS,
		.done = on_submitted,
		.user_data = &outcome,
	};

	node->context.job_node = this_node;
	node->loses_answer = true;
	job_submit(&node->context, node->owner, NULL, &submission);
	while (!node->unanswered)
		step(node);
	end_elsewhere(node);
	node->clock.suspended_us += TAKEOVER_MS * 1000;
	answer_put(node);
	run_ms(node, RETRY_MS);
	CU_ASSERT_EQUAL(outcome, JOB_ACCEPTED);
	CU_ASSERT_EQUAL(node->starts, 0);
	run_ms(node, RETRY_MS);
	CU_ASSERT_EQUAL(job_owner_count(node->owner), 0);
}

/* Replaces the record by one of a later format. */
static void upgrade_record(node_t *node)
{
	stored_record_t found = read_record(node);

	put(node, JOB_RECORD_PREFIX "j", g_strdup("{\"format\":99}"),
	    found.version);
	job_record_free(found.record);
}

/* A job that this node knows gets a record of a later format. Guards against a
 * takeover from the older record that is tried each second for good. */
static void test_later_format(void)
{
	node_t *node = node_new();

	store_orphan(node);
	node->table = job_table_new(&node->context, node->owner);
	run_ms(node, RETRY_MS);
	upgrade_record(node);
	run_ms(node, 4 * TAKEOVER_MS);
	CU_ASSERT_EQUAL(node->starts, 0);
	CU_ASSERT(node->record_puts <= 1);
}

/* Another node that reads the items of the job for as long as this one. */
typedef struct other_node {
	uint64_t version;
	int64_t seen_us;
	bool loads;
	bool started;
} other_node_t;

static void run_other(node_t *node, other_node_t *other)
{
	stored_record_t found = read_record(node);
	int64_t now = clock_now_us(&node->clock.base);

	job_record_free(found.record);
	if (found.version != other->version) {
		other->version = found.version;
		other->seen_us = now;
		other->loads = false;
	} else if (other->loads) {
		other->started = now - other->seen_us >= LOAD_US;
	} else if (now - other->seen_us >= LEASE_US) {
		other->version = take_over_elsewhere(node);
		other->seen_us = now;
		other->loads = true;
	}
}

/* The items of a large job take longer to read than the lease. Guards against
 * nodes that take the job over from each other for good and never run it. */
static void test_long_load(void)
{
	node_t *node = node_in_takeover();
	other_node_t other = { 0 };
	int64_t started_us = clock_now_us(&node->clock.base);
	int64_t held_us = started_us;

	while (node->starts == 0 && !other.started &&
	       clock_now_us(&node->clock.base) - started_us < 20 * LEASE_US) {
		if (node->gets.length == 0)
			held_us = clock_now_us(&node->clock.base);
		if (clock_now_us(&node->clock.base) - held_us >= LOAD_US) {
			release_payload(node);
			node->holds_payload = true;
		}
		run_other(node, &other);
		run_ms(node, 100);
	}
	CU_ASSERT(node->starts > 0 || other.started);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "slow takeover", test_slow_takeover },
		{ "takeover beyond lease", test_takeover_beyond_lease },
		{ "existing job unread", test_existing_job_unread },
		{ "unread items", test_unread_items },
		{ "confirmation is seen", test_confirmation_is_seen },
		{ "takeover without answer", test_takeover_without_answer },
		{ "completed takeover", test_completed_takeover },
		{ "acceptance after suspension",
		  test_acceptance_after_suspension },
		{ "later format", test_later_format },
		{ "long load", test_long_load },
		{ NULL, NULL },
	};

	return unit_run("job_takeover", tests);
}
