#include "gateway/failure_record.h"
#include "gateway/fleet.h"
#include "gateway/load_view.h"
#include "unit.h"

#define SECOND_US 1000000LL

/* Failures must count less with time, so that a runner is used again. */
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

/* A runner that still serves more than it loses must stay in use: without it
 * the others would be overloaded. */
static void test_few_failures(void)
{
	CU_ASSERT_FALSE(failure_record_is_bad(100, 0, 0));
	CU_ASSERT_FALSE(failure_record_is_bad(200, 7, 0));
	CU_ASSERT_FALSE(failure_record_is_bad(900, 3, 0));
	CU_ASSERT(failure_record_is_bad(200, 0, 0));
	CU_ASSERT(failure_record_is_bad(1600, 3, 0));
	/* Items that cannot be done fail at a runner that works on others. */
	CU_ASSERT_FALSE(failure_record_is_bad(200, 0, 6));
	CU_ASSERT(failure_record_is_bad(800, 0, 6));
}

/*
 * Runners that lose every request, at many nodes that each see few of them:
 * what a node learns must serve the others as well.
 */
#define NODES 26
#define RUNNERS 20
#define BAD_RUNNERS 5
#define RUN_MS 3000
#define REQUESTS_PER_S 200
#define WORK_MS 700
#define LOST_AFTER_MS 6
#define REPORT_MS 6 /* gathered, and on its way */
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
				id, "10.0.0.1:1", "s", "d", 7, 1, false
			};

			fleet_update(sim->fleets[i], &entry);
		}
		sim->views[i] = load_view_new(&sim->clock.base, sim->fleets[i],
					      name, "d", 1);
	}
}

static void arrive(sim_t *sim, int32_t now_ms)
{
	static const fleet_wish_t wish = { .service = "s" };
	sim_request_t *request = &sim->requests[sim->count++];

	request->node = g_rand_int_range(sim->random, 0, NODES);
	request->runner = fleet_take(sim->fleets[request->node], &wish);
	request->lost = request->runner->id[0] - 'a' < BAD_RUNNERS;
	request->ends_ms = now_ms + (request->lost ? LOST_AFTER_MS : WORK_MS);
	sim->lost += request->lost;
}

static void finish_due(sim_t *sim, int32_t now_ms)
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
		fleet_done(fleet, request->runner, false);
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
		finish_due(sim, now_ms);
		if (now_ms % (1000 / REQUESTS_PER_S) == 0)
			arrive(sim, now_ms);
		if (reports && now_ms % REPORT_MS == 0)
			exchange(sim);
		clock_manual_advance_ms(&sim->clock, 1);
	}
	lost = sim->lost;
	finish_due(sim, INT32_MAX);
	for (int i = 0; i < NODES; i++) {
		load_view_free(sim->views[i]);
		fleet_free(sim->fleets[i]);
	}
	g_rand_free(sim->random);
	g_free(sim);
	return lost;
}

static void test_bad_runners_over_many_nodes(void)
{
	int alone = lost_requests(false);
	int together = lost_requests(true);

	printf("lost to %d bad runners: %d alone, %d together\n", BAD_RUNNERS,
	       alone, together);
	/* Fewer than one request for each node and bad runner, and well below
	 * what nodes lose that do not tell each other. */
	CU_ASSERT(together < NODES * BAD_RUNNERS / 2);
	CU_ASSERT(together * 4 < alone);
}

static const char *taken_by(fleet_t *fleet, bool careful)
{
	const fleet_wish_t wish = { .service = "s",
				    .batch = true,
				    .careful = careful };
	fleet_runner_t *runner = fleet_take(fleet, &wish);

	fleet_done(fleet, runner, true);
	return runner->id;
}

/* A runner that answers each item with an error is always the emptiest one: an
 * item that has failed must not return there until it is given up. */
static void test_failed_item_goes_elsewhere(void)
{
	static const fleet_entry_t entries[] = {
		{ "bad", "10.0.0.1:1", "s", "d", 8, 1, false },
		{ "good", "10.0.0.2:1", "s", "d", 8, 1, false },
	};
	clock_manual_t clock;
	GRand *random = g_rand_new_with_seed(1);
	const fleet_options_t options = { .clock = &clock.base,
					  .random = random,
					  .domain = "d" };
	const fleet_wish_t wish = { .service = "s", .batch = true };
	fleet_t *fleet;
	fleet_runner_t *bad;

	clock_manual_init(&clock, 0);
	clock_manual_advance_ms(&clock, 1000);
	fleet = fleet_new(&options);
	fleet_update(fleet, &entries[0]);
	bad = fleet_take(fleet, &wish);
	fleet_update(fleet, &entries[1]);
	for (int i = 0; i < 2; i++)
		CU_ASSERT_PTR_NOT_NULL(fleet_take(fleet, &wish));
	fleet_lost_request(fleet, bad);
	fleet_lost_request(fleet, bad);
	fleet_done(fleet, bad, true);
	/* The pause after a failure is over, and the failures still count. */
	clock_manual_advance_ms(&clock, 1000);
	fleet_lost_request(fleet, bad);
	bad->avoid_until_us = 0;
	CU_ASSERT_STRING_EQUAL(taken_by(fleet, false), "bad");
	CU_ASSERT_STRING_EQUAL(taken_by(fleet, true), "good");
	fleet_free(fleet);
	g_rand_free(random);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "decay", test_decay },
		{ "few failures", test_few_failures },
		{ "bad runners over many nodes",
		  test_bad_runners_over_many_nodes },
		{ "failed item goes elsewhere",
		  test_failed_item_goes_elsewhere },
		{ NULL, NULL },
	};

	return unit_run("failure_record", tests);
}
