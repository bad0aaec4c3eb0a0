#include "gateway/failure_record.h"
#include "gateway/fleet.h"
#include "gateway/load_view.h"
#include "unit.h"

#define SECOND_US 1000000LL

/* Failures must decay, so that a recovered runner is used again. */
static void test_decay(void)
{
	failure_record_t record = { 0 };

	failure_record_add(&record, SECOND_US);
	failure_record_add(&record, SECOND_US);
	CU_ASSERT_EQUAL(failure_record_percent(&record, SECOND_US), 200);
	CU_ASSERT_EQUAL(failure_record_percent(&record, SECOND_US * 5 / 2),
			100);
	CU_ASSERT(failure_record_percent(&record, SECOND_US * 20) < 10);
}

/* A runner that loses only a part of its requests must stay in use, since the
 * others would be overloaded without it. */
static void test_failure_share(void)
{
	CU_ASSERT_FALSE(failure_record_is_failing(100, 0, 0));
	CU_ASSERT_FALSE(failure_record_is_failing(200, 7, 0));
	CU_ASSERT_FALSE(failure_record_is_failing(900, 3, 0));
	CU_ASSERT(failure_record_is_failing(200, 0, 0));
	CU_ASSERT(failure_record_is_failing(1600, 3, 0));
	/* Poison items fail at a runner that processes the others. */
	CU_ASSERT_FALSE(failure_record_is_failing(200, 0, 6));
	CU_ASSERT(failure_record_is_failing(800, 0, 6));
}

/*
 * Simulates runners that lose every request, with many nodes that each send few
 * requests to them: without the other nodes' failure counts, each node has to
 * lose several requests before it stops using such a runner.
 */
#define NODES 26
#define RUNNERS 20
#define FAILING_RUNNERS 5
#define RUN_MS 3000
#define REQUESTS_PER_S 200
#define WORK_MS 700
#define LOST_AFTER_MS 6
#define REPORT_MS 6 /* batching delay and network delay */
#define MAX_REQUESTS 1000
#define REPORT_BYTES 3072

typedef struct sim_request {
	int node;
	fleet_runner_t *runner; /* NULL: ended */
	int32_t ends_ms;
	bool lost;
} sim_request_t;

typedef struct sim {
	clock_manual_t clock;
	GRand *random;
	fleet_t *fleets[NODES];
	load_view_t *views[NODES];
	sim_request_t requests[MAX_REQUESTS];
	int count;
	int lost;
	bool reports;
} sim_t;

static void init(sim_t *sim)
{
	clock_manual_init(&sim->clock, 0);
	clock_manual_advance_ms(&sim->clock, 1000);
	for (int i = 0; i < NODES; i++) {
		const fleet_options_t options = { .clock = &sim->clock.base,
						  .random = sim->random,
						  .domain = "d" };
		char name[16];

		g_snprintf(name, sizeof(name), "node-%d", i);
		sim->fleets[i] = fleet_new(&options);
		for (int j = 0; j < RUNNERS; j++) {
			const char id[2] = { (char)('a' + j), 0 };
			const fleet_entry_t entry = {
				id, "10.0.0.1:1", "s", "d", 7, 1, false, "1"
			};

			fleet_update(sim->fleets[i], &entry);
		}
		sim->views[i] = load_view_new(&sim->clock.base, sim->fleets[i],
					      name, "d", 1);
	}
}

static void arrive(sim_t *sim, int32_t now_ms)
{
	static const fleet_pick_options_t pick = { .service = "s" };
	sim_request_t *request = &sim->requests[sim->count++];

	request->node = g_rand_int_range(sim->random, 0, NODES);
	request->runner = fleet_acquire(sim->fleets[request->node], &pick);
	request->lost = request->runner->id[0] - 'a' < FAILING_RUNNERS;
	request->ends_ms = now_ms + (request->lost ? LOST_AFTER_MS : WORK_MS);
	sim->lost += request->lost;
}

static void finish_requests(sim_t *sim, int32_t now_ms)
{
	for (int i = 0; i < sim->count; i++) {
		sim_request_t *request = &sim->requests[i];
		fleet_t *fleet = sim->fleets[request->node];

		if (!request->runner || request->ends_ms > now_ms)
			continue;
		if (request->lost)
			fleet_lost_request(fleet, request->runner);
		else
			fleet_succeeded(fleet, request->runner);
		fleet_release(fleet, request->runner, false);
		request->runner = NULL;
	}
}

static void exchange(sim_t *sim)
{
	static const load_own_t own = { 0 };
	char data[REPORT_BYTES];

	for (int i = 0; i < NODES; i++) {
		size_t len = load_view_encode(sim->views[i], &own, data,
					      sizeof(data));

		for (int j = 0; j < NODES; j++)
			if (j != i)
				load_view_apply(sim->views[j], data, len);
	}
}

static int lost_requests(bool reports)
{
	sim_t *sim = g_new0(sim_t, 1);
	int lost;

	sim->random = g_rand_new_with_seed(1);
	init(sim);
	for (int32_t now_ms = 0; now_ms < RUN_MS; now_ms++) {
		finish_requests(sim, now_ms);
		if (now_ms % (1000 / REQUESTS_PER_S) == 0)
			arrive(sim, now_ms);
		if (reports && now_ms % REPORT_MS == 0)
			exchange(sim);
		clock_manual_advance_ms(&sim->clock, 1);
	}
	lost = sim->lost;
	finish_requests(sim, INT32_MAX);
	for (int i = 0; i < NODES; i++) {
		load_view_free(sim->views[i]);
		fleet_free(sim->fleets[i]);
	}
	g_rand_free(sim->random);
	g_free(sim);
	return lost;
}

static void test_failing_runners_over_many_nodes(void)
{
	int without_reports = lost_requests(false);
	int with_reports = lost_requests(true);

	printf("lost to %d failing runners: %d without reports, "
	       "%d with reports\n",
	       FAILING_RUNNERS, without_reports, with_reports);
	/* Less than half a request per node and failing runner, and less than
	 * a quarter of the loss without reports. */
	CU_ASSERT(with_reports < NODES * FAILING_RUNNERS / 2);
	CU_ASSERT(with_reports * 4 < without_reports);
}

static const char *picked_runner(fleet_t *fleet, bool require_healthy)
{
	const fleet_pick_options_t pick = { .service = "s",
					    .batch = true,
					    .require_healthy =
						    require_healthy };
	fleet_runner_t *runner = fleet_acquire(fleet, &pick);

	fleet_release(fleet, runner, true);
	return runner->id;
}

/* A runner that fails each item at once always has the least load. Guards
 * against an item that is sent there for every attempt until it is given up. */
static void test_failed_item_avoids_failing_runner(void)
{
	static const fleet_entry_t entries[] = {
		{ "bad", "10.0.0.1:1", "s", "d", 8, 1, false, "1" },
		{ "good", "10.0.0.2:1", "s", "d", 8, 1, false, "1" },
	};
	clock_manual_t clock;
	GRand *random = g_rand_new_with_seed(1);
	const fleet_options_t options = { .clock = &clock.base,
					  .random = random,
					  .domain = "d" };
	const fleet_pick_options_t pick = { .service = "s", .batch = true };
	fleet_t *fleet;
	fleet_runner_t *bad;

	clock_manual_init(&clock, 0);
	clock_manual_advance_ms(&clock, 1000);
	fleet = fleet_new(&options);
	fleet_update(fleet, &entries[0]);
	bad = fleet_acquire(fleet, &pick);
	fleet_update(fleet, &entries[1]);
	for (int i = 0; i < 2; i++)
		CU_ASSERT_PTR_NOT_NULL(fleet_acquire(fleet, &pick));
	fleet_lost_request(fleet, bad);
	fleet_lost_request(fleet, bad);
	fleet_release(fleet, bad, true);
	/* The ejection has ended, and the failures still count. */
	clock_manual_advance_ms(&clock, 1000);
	fleet_lost_request(fleet, bad);
	bad->ejected_until_us = 0;
	CU_ASSERT_STRING_EQUAL(picked_runner(fleet, false), "bad");
	CU_ASSERT_STRING_EQUAL(picked_runner(fleet, true), "good");
	fleet_free(fleet);
	g_rand_free(random);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "decay", test_decay },
		{ "failure share", test_failure_share },
		{ "failing runners over many nodes",
		  test_failing_runners_over_many_nodes },
		{ "failed item avoids failing runner",
		  test_failed_item_avoids_failing_runner },
		{ NULL, NULL },
	};

	return unit_run("failure_record", tests);
}
