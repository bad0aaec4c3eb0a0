#include "entry/claim.h"

#include <event2/event.h>
#include <string.h>

#include "base/counter.h"
#include "object/object_memory.h"

#include "unit.h"

#define MAX_LOOPS 200000

/* Two nodes' claims on one node's records: node 1 judges, node 2 can die. */
typedef struct world {
	struct event_base *base;
	struct event *pump;
	object_memory_t *memory;
	object_store_t *store;
	counter_set_t *counters;
	member_table_t *members[2];
	records_t *records;
	claims_t *claims[2];
	claims_t *earlier; /* of an earlier process */
	member_t *second; /* as node 1 sees it */
} world_t;

typedef struct outcome {
	int begun;
	claim_answer_t answer;
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

static claims_t *claims_of(world_t *world, int node, uint64_t process)
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
	world->claims[0] = claims_of(world, 0, 1);
	world->claims[1] = claims_of(world, 1, 2);
}

/* Node 2 is a member that owns nothing: suspect members are not chosen. */
static void add_second(world_t *world, member_state_t state)
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
	for (int i = 0; i < MAX_LOOPS && !*done; i++)
		event_base_loop(world->base, EVLOOP_ONCE);
	CU_ASSERT_TRUE_FATAL(*done);
}

static void on_begun(claim_answer_t answer, claim_t *claim,
		     const claim_result_t *result, void *user_data)
{
	outcome_t *outcome = user_data;

	outcome->begun++;
	outcome->answer = answer;
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

/* One key must be granted once and then replay its result. */
static void test_grant_and_replay(void)
{
	world_t w;
	outcome_t first;
	outcome_t again;

	world_open(&w);
	first = begin(&w, 0, "k", "d", false);
	CU_ASSERT_EQUAL(first.answer, CLAIM_GRANTED);
	again = begin(&w, 0, "k", "d", false);
	CU_ASSERT_EQUAL(again.answer, CLAIM_RUNNING);
	CU_ASSERT_PTR_NULL(again.claim);
	CU_ASSERT_EQUAL(begin(&w, 0, "k", "other", false).answer,
			CLAIM_CONFLICT);
	CU_ASSERT_TRUE(finish(&w, first.claim, "answer").recorded);
	again = begin(&w, 0, "k", "d", false);
	CU_ASSERT_EQUAL(again.answer, CLAIM_DONE);
	CU_ASSERT_EQUAL(again.status, 200);
	CU_ASSERT_STRING_EQUAL(again.body, "answer");
	world_close(&w);
}

/* A refusal not_run must let the resend run. */
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
	while (again.answer == CLAIM_RUNNING);
	CU_ASSERT_EQUAL(again.answer, CLAIM_GRANTED);
	claim_lose(again.claim);
	do
		again = begin(&w, 0, "k", "d", false);
	while (again.answer == CLAIM_RUNNING);
	CU_ASSERT_EQUAL(again.answer, CLAIM_UNKNOWN);
	world_close(&w);
}

/* Work that may run once must not be granted again when its claimer died. */
static void test_lost_claimer_once(void)
{
	world_t w;
	outcome_t first;
	outcome_t other;

	world_open(&w);
	add_second(&w, MEMBER_SUSPECT);
	first = begin(&w, 1, "k", "d", false);
	CU_ASSERT_EQUAL(first.answer, CLAIM_GRANTED);
	CU_ASSERT_EQUAL(begin(&w, 0, "k", "d", false).answer, CLAIM_RUNNING);
	w.second->state = MEMBER_DEAD;
	other = begin(&w, 0, "k", "d", false);
	CU_ASSERT_EQUAL(other.answer, CLAIM_UNKNOWN);
	CU_ASSERT_EQUAL(begin(&w, 0, "k", "d", true).answer, CLAIM_UNKNOWN);
	/* It was only cut off: its result is still worth recording. */
	CU_ASSERT_TRUE(finish(&w, first.claim, "late").recorded);
	other = begin(&w, 0, "k", "d", false);
	CU_ASSERT_EQUAL(other.answer, CLAIM_DONE);
	CU_ASSERT_STRING_EQUAL(other.body, "late");
	world_close(&w);
}

/* Two runs of idempotent work must end in one result. */
static void test_lost_claimer_idempotent(void)
{
	world_t w;
	outcome_t first;
	outcome_t second;
	outcome_t end;

	world_open(&w);
	add_second(&w, MEMBER_SUSPECT);
	first = begin(&w, 1, "k", "d", true);
	w.second->state = MEMBER_DEAD;
	second = begin(&w, 0, "k", "d", true);
	CU_ASSERT_EQUAL(second.answer, CLAIM_GRANTED);
	end = finish(&w, second.claim, "winner");
	CU_ASSERT_TRUE(end.recorded);
	CU_ASSERT_STRING_EQUAL(end.body, "");
	end = finish(&w, first.claim, "loser");
	CU_ASSERT_TRUE(end.recorded);
	CU_ASSERT_STRING_EQUAL(end.body, "winner");
	world_close(&w);
}

/* A process that took its predecessor's address must not wait for it. */
static void test_restarted_claimer(void)
{
	world_t w;
	outcome_t first;
	claim_t *left;

	world_open(&w);
	first = begin(&w, 0, "k", "d", false);
	CU_ASSERT_EQUAL(first.answer, CLAIM_GRANTED);
	w.earlier = w.claims[0];
	w.claims[0] = claims_of(&w, 0, 3);
	left = first.claim;
	CU_ASSERT_EQUAL(begin(&w, 0, "k", "d", false).answer, CLAIM_UNKNOWN);
	/* A member with a much higher incarnation is another process too. */
	add_second(&w, MEMBER_SUSPECT);
	first = begin(&w, 1, "l", "d", false);
	w.second->incarnation = 500;
	CU_ASSERT_EQUAL(begin(&w, 0, "l", "d", false).answer, CLAIM_RUNNING);
	w.second->incarnation = 60000;
	CU_ASSERT_EQUAL(begin(&w, 0, "l", "d", false).answer, CLAIM_UNKNOWN);
	finish(&w, first.claim, "");
	finish(&w, left, "");
	world_close(&w);
}

/* In an outage, idempotent work goes on and its result is recorded later;
 * other work is refused and must not be left claimed. */
static void test_outage(void)
{
	world_t w;
	outcome_t kept;
	outcome_t end;

	world_open(&w);
	end = begin(&w, 0, "before", "d", true);
	CU_ASSERT_EQUAL(end.answer, CLAIM_GRANTED);
	finish(&w, end.claim, "");
	object_memory_faults(w.memory)->outage_until_ms = INT64_MAX;
	kept = begin(&w, 0, "k", "d", true);
	CU_ASSERT_EQUAL(kept.answer, CLAIM_UNAVAILABLE);
	CU_ASSERT_PTR_NOT_NULL_FATAL(kept.claim);
	end = begin(&w, 0, "once", "d", false);
	CU_ASSERT_EQUAL(end.answer, CLAIM_UNAVAILABLE);
	CU_ASSERT_PTR_NULL(end.claim);
	CU_ASSERT_FALSE(finish(&w, kept.claim, "buffered").recorded);
	object_memory_faults(w.memory)->outage_until_ms = 0;
	do {
		claims_step(w.claims[0]);
		end = begin(&w, 0, "probe", "d", true);
		if (end.claim)
			claim_abandon(end.claim);
	} while (end.answer == CLAIM_UNAVAILABLE);
	do {
		end = begin(&w, 0, "k", "d", true);
		if (end.claim)
			claim_abandon(end.claim);
	} while (end.answer == CLAIM_UNAVAILABLE);
	CU_ASSERT_EQUAL(end.answer, CLAIM_DONE);
	CU_ASSERT_STRING_EQUAL(end.body, "buffered");
	end = begin(&w, 0, "once", "d", false);
	CU_ASSERT_EQUAL(end.answer, CLAIM_GRANTED);
	finish(&w, end.claim, "");
	world_close(&w);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "grant and replay", test_grant_and_replay },
		{ "abandon", test_abandon },
		{ "lost claimer of work that runs once",
		  test_lost_claimer_once },
		{ "lost claimer of idempotent work",
		  test_lost_claimer_idempotent },
		{ "restarted claimer", test_restarted_claimer },
		{ "outage", test_outage },
		{ NULL, NULL },
	};

	return unit_run("claim", tests);
}
