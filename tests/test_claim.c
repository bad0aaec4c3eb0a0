#include "entry/claim.h"

#include <event2/event.h>
#include <string.h>

#include "base/counter.h"
#include "object/object_memory.h"

#include "unit.h"

#define MAX_LOOP_ITERATIONS 200000

/* Claims of two nodes on the records of node 1. Node 1 evaluates existing
 * claims; node 2 is the claimer that can fail. */
typedef struct world {
	struct event_base *base;
	struct event *pump;
	object_memory_t *memory;
	object_store_t *store;
	counter_set_t *counters;
	member_table_t *members[2];
	records_t *records;
	claims_t *claims[2];
	claims_t *earlier; /* of an earlier process of node 1 */
	member_t *second; /* node 2 in the member table of node 1 */
} world_t;

typedef struct outcome {
	int begun;
	claim_response_t response;
	claim_t *claim;
	int status;
	char body[64];
	int finished;
	bool recorded;
} outcome_t;

static void on_pump(evutil_socket_t fd, short events, void *arg)
{
	world_t *world = arg;
	struct timeval period = { 0, 1000 };

	object_memory_step(world->memory);
	object_memory_deliver(world->store);
	evtimer_add(world->pump, &period);
}

static claims_t *new_claims(world_t *world, int node, uint64_t process)
{
	claims_options_t options = {
		.records = world->records,
		.members = world->members[node],
		.clock = clock_system(),
		.counters = world->counters,
		.process = process,
		.max_buffered = 3,
	};

	return claims_new(&options);
}

static void world_open(world_t *world)
{
	records_options_t options = { .clock = clock_system(), .shards = 2 };

	*world = (world_t){ 0 };
	world->base = event_base_new();
	world->memory = object_memory_new(clock_system(), 1);
	world->store = object_memory_open(world->memory);
	world->counters = counter_set_new();
	world->members[0] = member_table_new("127.0.0.1:1", "old-town");
	world->members[1] = member_table_new("127.0.0.1:2", "old-town");
	world->pump = evtimer_new(world->base, on_pump, world);
	on_pump(-1, 0, world);
	options.base = world->base;
	options.store = world->store;
	options.members = world->members[0];
	options.counters = world->counters;
	options.incarnation = 77;
	world->records = records_new(&options);
	world->claims[0] = new_claims(world, 0, 1);
	world->claims[1] = new_claims(world, 1, 2);
}

/* Adds node 2 as a member that owns no shard: suspect members are not selected
 * as owners. */
static void add_second_node(world_t *world, member_state_t state)
{
	world->second =
		member_add(world->members[0], "127.0.0.1:2", "old-town");
	world->second->state = state;
}

static void world_close(world_t *world)
{
	claims_free(world->claims[0]);
	claims_free(world->claims[1]);
	claims_free(world->earlier);
	records_free(world->records);
	object_memory_faults(world->memory)->outage_until_ms = 0;
	object_memory_step(world->memory);
	object_memory_deliver(world->store);
	object_store_free(world->store);
	object_memory_free(world->memory);
	event_free(world->pump);
	member_table_free(world->members[0]);
	member_table_free(world->members[1]);
	counter_set_free(world->counters);
	event_base_free(world->base);
}

static void run_until(world_t *world, const int *done)
{
	for (int i = 0; i < MAX_LOOP_ITERATIONS && !*done; i++)
		event_base_loop(world->base, EVLOOP_ONCE);
	CU_ASSERT_TRUE_FATAL(*done);
}

static void on_begun(claim_response_t response, claim_t *claim,
		     const claim_result_t *result, void *user_data)
{
	outcome_t *outcome = user_data;

	outcome->begun++;
	outcome->response = response;
	outcome->claim = claim;
	if (!result)
		return;
	outcome->status = result->status;
	memcpy(outcome->body, result->body,
	       MIN(result->body_len, sizeof(outcome->body) - 1));
}

static void on_finished(bool recorded, const claim_result_t *result,
			void *user_data)
{
	outcome_t *outcome = user_data;

	outcome->finished++;
	outcome->recorded = recorded;
	if (result)
		memcpy(outcome->body, result->body,
		       MIN(result->body_len, sizeof(outcome->body) - 1));
}

static outcome_t begin(world_t *world, int node, const char *key,
		       const char *digest, bool idempotent)
{
	claim_options_t options = { .partner = "guild",
				    .workspace = "workshop-1",
				    .key = key,
				    .request_digest = digest,
				    .idempotent = idempotent };
	outcome_t outcome = { 0 };

	claim_begin(world->claims[node], &options, on_begun, &outcome);
	CU_ASSERT_EQUAL(outcome.begun, 0);
	run_until(world, &outcome.begun);
	CU_ASSERT_EQUAL(outcome.begun, 1);
	return outcome;
}

static outcome_t finish(world_t *world, claim_t *claim, const char *body)
{
	claim_result_t result = { .status = 200,
				  .content_type = "text/plain",
				  .body = body,
				  .body_len = strlen(body) };
	outcome_t outcome = { 0 };

	claim_finish(claim, &result, on_finished, &outcome);
	run_until(world, &outcome.finished);
	return outcome;
}

/* A key must be granted only once, and its resends must get the recorded
 * result. */
static void test_grant_and_replay(void)
{
	world_t w;
	outcome_t first;
	outcome_t again;

	world_open(&w);
	first = begin(&w, 0, "k", "d", false);
	CU_ASSERT_EQUAL(first.response, CLAIM_GRANTED);
	again = begin(&w, 0, "k", "d", false);
	CU_ASSERT_EQUAL(again.response, CLAIM_RUNNING);
	CU_ASSERT_PTR_NULL(again.claim);
	CU_ASSERT_EQUAL(begin(&w, 0, "k", "other", false).response,
			CLAIM_CONFLICT);
	CU_ASSERT_TRUE(finish(&w, first.claim, "answer").recorded);
	again = begin(&w, 0, "k", "d", false);
	CU_ASSERT_EQUAL(again.response, CLAIM_DONE);
	CU_ASSERT_EQUAL(again.status, 200);
	CU_ASSERT_STRING_EQUAL(again.body, "answer");
	world_close(&w);
}

/* A resend must be granted after its claim was closed as not run, and must get
 * CLAIM_UNKNOWN after it was closed without a result. */
static void test_abandon(void)
{
	world_t w;
	outcome_t first;
	outcome_t again = { 0 };

	world_open(&w);
	first = begin(&w, 0, "k", "d", false);
	claim_abandon(first.claim);
	first.claim = NULL;
	do
		again = begin(&w, 0, "k", "d", false);
	while (again.response == CLAIM_RUNNING);
	CU_ASSERT_EQUAL(again.response, CLAIM_GRANTED);
	claim_mark_unknown(again.claim);
	do
		again = begin(&w, 0, "k", "d", false);
	while (again.response == CLAIM_RUNNING);
	CU_ASSERT_EQUAL(again.response, CLAIM_UNKNOWN);
	world_close(&w);
}

/* Non-idempotent work must not be granted a second time when its claimer has
 * failed: it may have run. */
static void test_dead_claimer_once(void)
{
	world_t w;
	outcome_t first;
	outcome_t other;

	world_open(&w);
	add_second_node(&w, MEMBER_SUSPECT);
	first = begin(&w, 1, "k", "d", false);
	CU_ASSERT_EQUAL(first.response, CLAIM_GRANTED);
	CU_ASSERT_EQUAL(begin(&w, 0, "k", "d", false).response, CLAIM_RUNNING);
	w.second->state = MEMBER_DEAD;
	other = begin(&w, 0, "k", "d", false);
	CU_ASSERT_EQUAL(other.response, CLAIM_UNKNOWN);
	CU_ASSERT_EQUAL(begin(&w, 0, "k", "d", true).response, CLAIM_UNKNOWN);
	/* The claimer was only unreachable: its result is still recorded. */
	CU_ASSERT_TRUE(finish(&w, first.claim, "late").recorded);
	other = begin(&w, 0, "k", "d", false);
	CU_ASSERT_EQUAL(other.response, CLAIM_DONE);
	CU_ASSERT_STRING_EQUAL(other.body, "late");
	world_close(&w);
}

/* Two executions of idempotent work must yield one result. */
static void test_dead_claimer_idempotent(void)
{
	world_t w;
	outcome_t first;
	outcome_t second;
	outcome_t observed;

	world_open(&w);
	add_second_node(&w, MEMBER_SUSPECT);
	first = begin(&w, 1, "k", "d", true);
	w.second->state = MEMBER_DEAD;
	second = begin(&w, 0, "k", "d", true);
	CU_ASSERT_EQUAL(second.response, CLAIM_GRANTED);
	observed = finish(&w, second.claim, "winner");
	CU_ASSERT_TRUE(observed.recorded);
	CU_ASSERT_STRING_EQUAL(observed.body, "");
	observed = finish(&w, first.claim, "loser");
	CU_ASSERT_TRUE(observed.recorded);
	CU_ASSERT_STRING_EQUAL(observed.body, "winner");
	world_close(&w);
}

/* A claim of an earlier process at the same address must not count as running:
 * resends would get CLAIM_RUNNING until the record expires. */
static void test_restarted_claimer(void)
{
	world_t w;
	outcome_t first;
	claim_t *orphaned_claim;

	world_open(&w);
	first = begin(&w, 0, "k", "d", false);
	CU_ASSERT_EQUAL(first.response, CLAIM_GRANTED);
	w.earlier = w.claims[0];
	w.claims[0] = new_claims(&w, 0, 3);
	orphaned_claim = first.claim;
	CU_ASSERT_EQUAL(begin(&w, 0, "k", "d", false).response, CLAIM_UNKNOWN);
	/* A member with a much higher incarnation is also another process. */
	add_second_node(&w, MEMBER_SUSPECT);
	first = begin(&w, 1, "l", "d", false);
	w.second->incarnation = 500;
	CU_ASSERT_EQUAL(begin(&w, 0, "l", "d", false).response, CLAIM_RUNNING);
	w.second->incarnation = 60000;
	CU_ASSERT_EQUAL(begin(&w, 0, "l", "d", false).response, CLAIM_UNKNOWN);
	finish(&w, first.claim, "");
	finish(&w, orphaned_claim, "");
	world_close(&w);
}

/* During a store outage, idempotent work runs and its result is recorded later.
 * Other work is refused, and no claim of it may remain: its resend must be
 * granted after the outage. */
static void test_outage(void)
{
	world_t w;
	outcome_t buffered_call;
	outcome_t observed;

	world_open(&w);
	observed = begin(&w, 0, "before", "d", true);
	CU_ASSERT_EQUAL(observed.response, CLAIM_GRANTED);
	finish(&w, observed.claim, "");
	object_memory_faults(w.memory)->outage_until_ms = INT64_MAX;
	buffered_call = begin(&w, 0, "k", "d", true);
	CU_ASSERT_EQUAL(buffered_call.response, CLAIM_UNAVAILABLE);
	CU_ASSERT_PTR_NOT_NULL_FATAL(buffered_call.claim);
	observed = begin(&w, 0, "once", "d", false);
	CU_ASSERT_EQUAL(observed.response, CLAIM_UNAVAILABLE);
	CU_ASSERT_PTR_NULL(observed.claim);
	CU_ASSERT_FALSE(finish(&w, buffered_call.claim, "buffered").recorded);
	object_memory_faults(w.memory)->outage_until_ms = 0;
	do {
		claims_step(w.claims[0]);
		observed = begin(&w, 0, "probe", "d", true);
		if (observed.claim)
			claim_abandon(observed.claim);
	} while (observed.response == CLAIM_UNAVAILABLE);
	do {
		observed = begin(&w, 0, "k", "d", true);
		if (observed.claim)
			claim_abandon(observed.claim);
	} while (observed.response == CLAIM_UNAVAILABLE);
	CU_ASSERT_EQUAL(observed.response, CLAIM_DONE);
	CU_ASSERT_STRING_EQUAL(observed.body, "buffered");
	observed = begin(&w, 0, "once", "d", false);
	CU_ASSERT_EQUAL(observed.response, CLAIM_GRANTED);
	finish(&w, observed.claim, "");
	world_close(&w);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "grant and replay", test_grant_and_replay },
		{ "abandon", test_abandon },
		{ "dead claimer of non-idempotent work",
		  test_dead_claimer_once },
		{ "dead claimer of idempotent work",
		  test_dead_claimer_idempotent },
		{ "restarted claimer", test_restarted_claimer },
		{ "outage", test_outage },
		{ NULL, NULL },
	};

	return unit_run("claim", tests);
}
