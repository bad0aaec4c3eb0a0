#include <string.h>

#include "gateway/fleet.h"
#include "gateway/load_view.h"
#include "unit.h"

static clock_manual_t manual;

static fleet_t *fleet_of(GRand *random, const char *domain)
{
	const fleet_options_t options = { .clock = &manual.base,
					  .random = random,
					  .domain = domain };

	return fleet_new(&options);
}

static void add(fleet_t *fleet, const char *id, uint32_t slots,
		int64_t started_ms, bool draining)
{
	const fleet_entry_t entry = { id,    "10.0.0.1:1", "s",	     "d",
				      slots, started_ms,   draining, "1" };

	fleet_update(fleet, &entry);
}

static fleet_runner_t *acquire(fleet_t *fleet, bool batch)
{
	const fleet_pick_options_t pick = { .service = "s", .batch = batch };

	return fleet_acquire(fleet, &pick);
}

/* Returns the total number of slots. */
static uint32_t count_slots(fleet_t *fleet, uint32_t *free_slots)
{
	GArray *keys = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint32_t total = fleet_list_free_slots(fleet, "s", keys);

	*free_slots = keys->len;
	g_array_free(keys, TRUE);
	return total;
}

static uint32_t free_slots(fleet_t *fleet)
{
	uint32_t count;

	count_slots(fleet, &count);
	return count;
}

static uint32_t total_slots(fleet_t *fleet)
{
	uint32_t unused;

	return count_slots(fleet, &unused);
}

/* A draining runner must get no more requests. */
static void test_draining(void)
{
	GRand *random = g_rand_new_with_seed(1);
	fleet_t *fleet;
	fleet_runner_t *runner;

	clock_manual_init(&manual, 0);
	fleet = fleet_of(random, "d");
	add(fleet, "a", 8, 1, false);
	runner = acquire(fleet, false);
	add(fleet, "a", 8, 1, true);
	CU_ASSERT_PTR_NULL(acquire(fleet, false));
	CU_ASSERT_EQUAL(fleet_wait_ms(fleet, "s", 0), INT32_MAX);
	fleet_schedule_removal(fleet, "a", 1000000);
	CU_ASSERT_EQUAL(fleet_size(fleet), 0);
	fleet_release(fleet, runner, false);
	fleet_free(fleet);
	g_rand_free(random);
}

/* Guards against an outage of the service when all runner entries expire while
 * the store is unavailable: removed runners must serve for a while. */
static void test_delayed_removal(void)
{
	GRand *random = g_rand_new_with_seed(1);
	fleet_t *fleet;
	fleet_runner_t *runner;

	clock_manual_init(&manual, 0);
	fleet = fleet_of(random, "d");
	add(fleet, "a", 8, 1, false);
	add(fleet, "b", 8, 1, false);
	fleet_schedule_removal(fleet, "a", 1400000);
	runner = acquire(fleet, false);
	CU_ASSERT_STRING_EQUAL(runner->id, "b");
	fleet_release(fleet, runner, false);
	fleet_schedule_removal(fleet, "b", 1400000);
	runner = acquire(fleet, false);
	CU_ASSERT_PTR_NOT_NULL(runner);
	fleet_release(fleet, runner, false);
	add(fleet, "b", 8, 1, false);
	clock_manual_advance_ms(&manual, 1500);
	fleet_remove_expired(fleet);
	CU_ASSERT_EQUAL(fleet_size(fleet), 1);
	CU_ASSERT_PTR_NULL(fleet_find(fleet, fleet_key("a")));
	fleet_free(fleet);
	g_rand_free(random);
}

/* A runner restarted under the same id must not inherit the request count of
 * the process before. */
static void test_restart(void)
{
	GRand *random = g_rand_new_with_seed(1);
	fleet_t *fleet;
	fleet_runner_t *before;

	clock_manual_init(&manual, 0);
	fleet = fleet_of(random, "d");
	add(fleet, "a", 8, 1, false);
	before = acquire(fleet, false);
	add(fleet, "a", 8, 2, false);
	CU_ASSERT_EQUAL(fleet_find(fleet, fleet_key("a"))->own.online, 0);
	fleet_release(fleet, before, false);
	CU_ASSERT_EQUAL(fleet_find(fleet, fleet_key("a"))->own.online, 0);
	fleet_free(fleet);
	g_rand_free(random);
}

/* A failing runner must get no request while another can take it. */
static void test_ejection(void)
{
	GRand *random = g_rand_new_with_seed(1);
	fleet_t *fleet;
	fleet_runner_t *runner;

	clock_manual_init(&manual, 0);
	fleet = fleet_of(random, "d");
	add(fleet, "a", 8, 1, false);
	add(fleet, "b", 8, 1, false);
	fleet_failed(fleet, fleet_find(fleet, fleet_key("a")));
	for (int i = 0; i < 20; i++) {
		runner = acquire(fleet, false);
		CU_ASSERT_STRING_EQUAL(runner->id, "b");
		fleet_release(fleet, runner, false);
	}
	fleet_failed(fleet, fleet_find(fleet, fleet_key("b")));
	runner = acquire(fleet, false);
	CU_ASSERT_PTR_NOT_NULL(runner);
	fleet_release(fleet, runner, false);
	CU_ASSERT_PTR_NULL(acquire(fleet, true));
	fleet_free(fleet);
	g_rand_free(random);
}

static fleet_runner_t *acquire_size(fleet_t *fleet, int64_t tokens, bool batch)
{
	const fleet_pick_options_t pick = { .service = "s",
					    .batch = batch,
					    .tokens = tokens };

	return fleet_acquire(fleet, &pick);
}

static bool takes(fleet_t *fleet, int64_t tokens)
{
	fleet_runner_t *runner = acquire_size(fleet, tokens, true);

	if (runner)
		fleet_release(fleet, runner, true);
	return runner != NULL;
}

/* A runner refuses what is larger than its memory as if it were full. Guards
 * against keeping smaller requests from it: a node whose clients sent such requests
 * ran no batch item any more. */
static void test_refused_size(void)
{
	const fleet_refusal_t online = { .tokens = 1000 };
	const fleet_refusal_t batch = { .tokens = 2000, .batch = true };
	GRand *random = g_rand_new_with_seed(1);
	fleet_runner_t *runner;
	fleet_t *fleet;

	clock_manual_init(&manual, 0);
	fleet = fleet_of(random, "d");
	add(fleet, "a", 8, 1, false);
	runner = fleet_find(fleet, fleet_key("a"));
	fleet_served(runner, 100);
	for (int i = 0; i < 5; i++) {
		fleet_refused(fleet, runner, &online);
		fleet_refused(fleet, runner, &batch);
	}
	CU_ASSERT(takes(fleet, 999));
	CU_ASSERT_FALSE(takes(fleet, 1000));
	CU_ASSERT_EQUAL(fleet_sizes(fleet, "s").some_take, 999);
	CU_ASSERT_EQUAL(free_slots(fleet), 8);
	/* An online request has no other runner to wait for. */
	runner = acquire_size(fleet, 1000, false);
	CU_ASSERT_PTR_NOT_NULL_FATAL(runner);
	fleet_release(fleet, runner, false);
	/* After a while one request finds out whether it fits now. */
	clock_manual_advance_ms(&manual, 3300);
	runner = acquire_size(fleet, 1000, true);
	CU_ASSERT_PTR_NOT_NULL_FATAL(runner);
	CU_ASSERT_FALSE(takes(fleet, 1000));
	fleet_served(runner, 1000);
	CU_ASSERT(takes(fleet, 2000));
	fleet_release(fleet, runner, true);
	fleet_free(fleet);
	g_rand_free(random);
}

/* The refusal of a request of a size that the runner serves tells that it is full:
 * it is ejected, briefly for a batch item, and not for one that is refused again
 * and again. So for a request of unknown size. */
static void test_refusal_of_served_size(void)
{
	static const int64_t sizes[] = { 100, 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		fleet_refusal_t refusal = { .tokens = sizes[i],
					    .batch = true,
					    .repeated = true };
		GRand *random = g_rand_new_with_seed(1);
		fleet_runner_t *runner;
		fleet_t *fleet;

		clock_manual_init(&manual, 0);
		fleet = fleet_of(random, "d");
		add(fleet, "a", 8, 1, false);
		runner = fleet_find(fleet, fleet_key("a"));
		fleet_served(runner, 100);
		fleet_refused(fleet, runner, &refusal);
		CU_ASSERT(takes(fleet, 10));
		refusal.repeated = false;
		for (int j = 0; j < 5; j++)
			fleet_refused(fleet, runner, &refusal);
		CU_ASSERT_FALSE(takes(fleet, 10));
		clock_manual_advance_ms(&manual, 401);
		CU_ASSERT(takes(fleet, 10));
		refusal.batch = false;
		fleet_refused(fleet, runner, &refusal);
		fleet_refused(fleet, runner, &refusal);
		clock_manual_advance_ms(&manual, 401);
		CU_ASSERT_FALSE(takes(fleet, 10));
		fleet_free(fleet);
		g_rand_free(random);
	}
}

/* Batch work must not queue, and must be preempted for online requests. */
static void test_batch_excess(void)
{
	GRand *random = g_rand_new_with_seed(1);
	fleet_t *fleet;
	fleet_runner_t *runner;

	clock_manual_init(&manual, 0);
	fleet = fleet_of(random, "d");
	add(fleet, "a", 4, 1, false);
	for (int i = 0; i < 4; i++)
		runner = acquire(fleet, true);
	CU_ASSERT_PTR_NULL(acquire(fleet, true));
	CU_ASSERT_EQUAL(fleet_batch_excess(runner, 0), 0);
	runner->peers.online = 3;
	CU_ASSERT_EQUAL(fleet_batch_excess(runner, 0.99), 3);
	runner->peers.batch = 4;
	/* The other node preempts its half. */
	CU_ASSERT_EQUAL(fleet_batch_excess(runner, 0.99), 3);
	CU_ASSERT_EQUAL(fleet_batch_excess(runner, 0.0), 4);
	fleet_free(fleet);
	g_rand_free(random);
}

/* Online load near the number of slots: one runner has several free slots and
 * the others one each. Guards against nodes that all send there until they have
 * each other's load reports: the requests beyond its slots would queue although
 * other runners have free ones. */
static void test_spread_over_free_slots(void)
{
	GRand *random = g_rand_new_with_seed(1);
	fleet_t *fleet;
	int at_emptiest = 0;

	clock_manual_init(&manual, 0);
	fleet = fleet_of(random, "d");
	for (int i = 0; i < 30; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "r%d", i);
		add(fleet, id, 7, 1, false);
		fleet_find(fleet, fleet_key(id))->peers.online = i == 0 ? 2 :
								 i < 20 ? 6 :
									  7;
	}
	for (int i = 0; i < 1000; i++) {
		fleet_runner_t *runner = acquire(fleet, false);

		CU_ASSERT(runner->peers.online < 7);
		at_emptiest += strcmp(runner->id, "r0") == 0;
		fleet_release(fleet, runner, false);
	}
	/* It has 5 of the 24 free slots. */
	CU_ASSERT(at_emptiest > 150 && at_emptiest < 270);
	fleet_free(fleet);
	g_rand_free(random);
}

/* In a large system the known load of other domains is stale: batch work of all
 * domains must not be sent to the same remote runners. Without local runners it
 * must be sent there. */
static void test_stale_load_of_other_domains(void)
{
	GRand *random = g_rand_new_with_seed(1);
	const fleet_entry_t remote = { "far", "10.0.0.2:1", "s", "e", 8,
				       1,     false,	    "1" };
	fleet_t *fleet;
	fleet_runner_t *runner;

	clock_manual_init(&manual, 0);
	fleet = fleet_of(random, "d");
	add(fleet, "near", 1, 1, false);
	fleet_update(fleet, &remote);
	fleet_set_remote_load_stale(fleet, true);
	CU_ASSERT_EQUAL(free_slots(fleet), 1);
	CU_ASSERT_EQUAL(total_slots(fleet), 1);
	runner = acquire(fleet, true);
	CU_ASSERT_STRING_EQUAL(runner->id, "near");
	CU_ASSERT_PTR_NULL(acquire(fleet, true));
	/* Batch work is preempted, so the request can stay in the domain. */
	CU_ASSERT_STRING_EQUAL(acquire(fleet, false)->id, "near");
	add(fleet, "near", 1, 1, true);
	CU_ASSERT_EQUAL(free_slots(fleet), 8);
	CU_ASSERT_STRING_EQUAL(acquire(fleet, true)->id, "far");
	fleet_free(fleet);
	g_rand_free(random);
}

/* In a large system, an online request must leave its domain only for one with
 * clearly less load, or after a failed attempt. */
static void test_online_leaves_domain(void)
{
	GRand *random = g_rand_new_with_seed(1);
	const fleet_entry_t remote = { "far", "10.0.0.2:1", "s", "e", 8,
				       1,     false,	    "1" };
	const uint64_t tried = fleet_key("near");
	const fleet_pick_options_t retry = { .service = "s",
					     .tried = &tried,
					     .tried_count = 1 };
	fleet_t *fleet;

	clock_manual_init(&manual, 0);
	fleet = fleet_of(random, "d");
	add(fleet, "near", 1, 1, false);
	fleet_update(fleet, &remote);
	fleet_set_remote_load_stale(fleet, true);
	for (int i = 0; i < 2; i++)
		CU_ASSERT_STRING_EQUAL(acquire(fleet, false)->id, "near");
	CU_ASSERT_STRING_EQUAL(acquire(fleet, false)->id, "far");
	CU_ASSERT_STRING_EQUAL(acquire(fleet, false)->id, "near");
	CU_ASSERT_STRING_EQUAL(fleet_acquire(fleet, &retry)->id, "far");
	fleet_free(fleet);
	g_rand_free(random);
}

/*
 * Simulates load that steps between 0.38 and 1.84 times the mean, over several
 * nodes and runners that are slow at times. The fleet is nearly full at peaks.
 */
#define NODES 7
#define RUNNERS 9
#define SLOTS 8
#define WORK_MS 700
#define SLOW_FACTOR 2.5
#define SLOW_SHARE 0.15
#define SLOW_PERIOD_MS 600
#define MEAN_PER_S 42.0
#define REPORT_BATCH_DELAY_MS 1 /* after a change, as in peer_load */
#define REPORT_DELAY_MS 2 /* between failure domains */
#define REMOTE_REPORT_MS 250 /* to other domains of a large system */
#define RUN_MS 60000
#define OBJECTIVE_MS 300
#define MAX_REQUESTS 8000

typedef enum policy {
	POLICY_FLEET,
	POLICY_RANDOM,
	POLICY_ROUND_ROBIN,
	POLICY_LEAST_OWN, /* least load of this node's own requests */
	POLICY_COUNT
} policy_t;

typedef struct sim_request {
	int node;
	fleet_runner_t *runner;
	double remaining_ms;
	int arrived_ms;
	bool done;
} sim_request_t;

typedef struct sim_runner {
	GQueue queue; /* sim_request_t; the first SLOTS are processed */
	double slowness;
} sim_runner_t;

typedef struct sim_report {
	char data[2048];
	size_t len;
	int from;
	int delivery_ms;
	bool to_remote; /* also for nodes of other domains */
} sim_report_t;

typedef struct sim {
	GRand *random;
	int domains;
	fleet_t *fleets[NODES];
	load_view_t *views[NODES];
	sim_runner_t runners[RUNNERS];
	GQueue reports;
	sim_request_t requests[MAX_REQUESTS];
	int count;
	int late;
	int changed_ms[NODES]; /* first change not yet reported; -1: none */
	int next[NODES]; /* round robin */
} sim_t;

static double rate_at(int now_ms)
{
	return MEAN_PER_S * (now_ms % 6600 >= 3800 ? 1.84 : 0.377);
}

static int index_of(const fleet_runner_t *runner)
{
	return runner->id[0] - 'a';
}

static int choose_baseline(sim_t *sim, int node, policy_t policy)
{
	int best = 0;

	if (policy == POLICY_RANDOM)
		return g_rand_int_range(sim->random, 0, RUNNERS);
	if (policy == POLICY_ROUND_ROBIN)
		return sim->next[node]++ % RUNNERS;
	for (int i = 1; i < RUNNERS; i++) {
		char a[2] = { (char)('a' + i), 0 };
		char b[2] = { (char)('a' + best), 0 };

		if (fleet_find(sim->fleets[node], fleet_key(a))->own.online <
		    fleet_find(sim->fleets[node], fleet_key(b))->own.online)
			best = i;
	}
	return best;
}

static void note_change(sim_t *sim, int node, int now_ms)
{
	if (sim->changed_ms[node] < 0)
		sim->changed_ms[node] = now_ms;
}

static void arrive(sim_t *sim, int now_ms, policy_t policy)
{
	sim_request_t *request = &sim->requests[sim->count++];
	int index;

	request->node = g_rand_int_range(sim->random, 0, NODES);
	request->arrived_ms = now_ms;
	request->remaining_ms = WORK_MS;
	if (policy == POLICY_FLEET) {
		request->runner = acquire(sim->fleets[request->node], false);
		index = index_of(request->runner);
	} else {
		index = choose_baseline(sim, request->node, policy);
		request->runner = fleet_find(
			sim->fleets[request->node],
			fleet_key((char[]){ (char)('a' + index), 0 }));
		request->runner->own.online++;
		request->runner->refs++;
	}
	g_queue_push_tail(&sim->runners[index].queue, request);
	note_change(sim, request->node, now_ms);
}

static void work(sim_t *sim, int now_ms)
{
	for (int i = 0; i < RUNNERS; i++) {
		sim_runner_t *runner = &sim->runners[i];
		GList *link = runner->queue.head;

		if (now_ms % SLOW_PERIOD_MS == 0)
			runner->slowness =
				g_rand_double(sim->random) < SLOW_SHARE ?
					SLOW_FACTOR :
					1;
		for (int slot = 0; link && slot < SLOTS; slot++) {
			sim_request_t *request = link->data;
			GList *next = link->next;

			if (request->remaining_ms == WORK_MS) {
				/* The response reports the speed. */
				fleet_report_slowness(
					sim->fleets[request->node],
					request->runner,
					(uint32_t)(runner->slowness * 100));
				sim->late += now_ms - request->arrived_ms >
					     OBJECTIVE_MS;
			}
			request->remaining_ms -= 1 / runner->slowness;
			if (request->remaining_ms <= 0) {
				fleet_release(sim->fleets[request->node],
					      request->runner, false);
				note_change(sim, request->node, now_ms);
				g_queue_delete_link(&runner->queue, link);
			}
			link = next;
		}
	}
}

static void exchange_reports(sim_t *sim, int now_ms)
{
	static const load_own_t own = { 0 };
	bool to_remote = sim->domains == 1 || now_ms % REMOTE_REPORT_MS == 0;
	sim_report_t *report;

	while ((report = g_queue_peek_head(&sim->reports)) &&
	       report->delivery_ms <= now_ms) {
		for (int i = 0; i < NODES; i++)
			if (i != report->from &&
			    (report->to_remote ||
			     i % sim->domains == report->from % sim->domains))
				load_view_apply(sim->views[i], report->data,
						report->len);
		g_free(g_queue_pop_head(&sim->reports));
	}
	for (int i = 0; i < NODES; i++) {
		bool batch_delay_over =
			sim->changed_ms[i] >= 0 &&
			now_ms - sim->changed_ms[i] >= REPORT_BATCH_DELAY_MS;

		if (!batch_delay_over && (sim->domains == 1 || !to_remote))
			continue;
		sim->changed_ms[i] = -1;
		report = g_new0(sim_report_t, 1);
		report->from = i;
		report->to_remote = to_remote;
		report->delivery_ms = now_ms + REPORT_DELAY_MS;
		report->len =
			load_view_encode(sim->views[i], &own, report->data,
					 sizeof(report->data));
		g_queue_push_tail(&sim->reports, report);
	}
}

/* Returns the share of requests that start later than the objective. */
static double late_share(policy_t policy, uint32_t seed, int domains)
{
	static const char *const names[] = { "d", "e", "f" };
	sim_t *sim = g_new0(sim_t, 1);
	double late;

	clock_manual_init(&manual, 0);
	sim->random = g_rand_new_with_seed(seed);
	sim->domains = domains;
	for (int i = 0; i < NODES; i++) {
		const char *domain = names[i % domains];
		char *name = g_strdup_printf("node-%d", i);

		sim->changed_ms[i] = -1;
		sim->fleets[i] = fleet_of(sim->random, domain);
		for (int j = 0; j < RUNNERS; j++) {
			const char id[2] = { (char)('a' + j), 0 };
			const fleet_entry_t entry = { id,    "10.0.0.1:1",
						      "s",   names[j % domains],
						      SLOTS, 1,
						      false, "1" };

			fleet_update(sim->fleets[i], &entry);
		}
		fleet_set_remote_load_stale(sim->fleets[i], domains > 1);
		sim->views[i] = load_view_new(&manual.base, sim->fleets[i],
					      name, domain, 1);
		g_free(name);
	}
	for (int now_ms = 0; now_ms < RUN_MS; now_ms++) {
		if (g_rand_double(sim->random) < rate_at(now_ms) / 1000 &&
		    sim->count < MAX_REQUESTS)
			arrive(sim, now_ms, policy);
		work(sim, now_ms);
		if (policy == POLICY_FLEET)
			exchange_reports(sim, now_ms);
		clock_manual_advance_ms(&manual, 1);
	}
	late = (double)sim->late / sim->count;
	for (int i = 0; i < NODES; i++) {
		load_view_free(sim->views[i]);
		fleet_free(sim->fleets[i]);
	}
	for (int i = 0; i < RUNNERS; i++)
		g_queue_clear(&sim->runners[i].queue);
	g_queue_clear_full(&sim->reports, g_free);
	g_rand_free(sim->random);
	g_free(sim);
	return late;
}

/* Requires at most half as many late starts as the best simple policy. */
static void check_steps(int domains)
{
	static const char *const names[] = { "fleet", "random", "round robin",
					     "least own" };
	double late[POLICY_COUNT] = { 0 };
	double best = 1;

	for (int policy = 0; policy < POLICY_COUNT; policy++) {
		for (uint32_t seed = 1; seed <= 3; seed++)
			late[policy] +=
				late_share((policy_t)policy, seed, domains) / 3;
		printf("late share, %d domains, %s: %.4f\n", domains,
		       names[policy], late[policy]);
		if (policy != POLICY_FLEET)
			best = MIN(best, late[policy]);
	}
	CU_ASSERT(late[POLICY_FLEET] <= best / 2);
}

/* Guards against nodes that send a step of load to the same runners, because
 * they do not know each other's requests. */
static void test_steps_over_several_nodes(void)
{
	check_steps(1);
}

/* Guards against nodes that all send to the same free slots of another domain,
 * whose load is reported a quarter of a second late. */
static void test_steps_over_domains(void)
{
	check_steps(3);
}

static void name_limit(fleet_t *fleet, const char *id, uint32_t per_1000_s)
{
	const runner_rate_t rate = { true, per_1000_s };

	fleet_report_rate(fleet, fleet_find(fleet, fleet_key(id)), &rate);
}

/* While some runners name a limit, long work must go to them and online requests
 * to the others: a limit counts requests, whatever they take. */
static void test_limited_runners_get_batch(void)
{
	GRand *random = g_rand_new_with_seed(3);
	fleet_t *fleet;
	int limited = 0;

	clock_manual_init(&manual, 0);
	clock_manual_advance_ms(&manual, 1000);
	fleet = fleet_of(random, "d");
	add(fleet, "a", 8, 1, false);
	add(fleet, "b", 8, 1, false);
	name_limit(fleet, "a", 3000);
	clock_manual_advance_ms(&manual, 5000);
	name_limit(fleet, "a", 3000);
	for (int i = 0; i < 6; i++)
		limited += strcmp(acquire(fleet, false)->id, "a") == 0;
	CU_ASSERT(limited <= 1);
	for (int i = 0; i < 3; i++)
		CU_ASSERT_STRING_EQUAL(acquire(fleet, true)->id, "a");
	fleet_free(fleet);
	g_rand_free(random);
}

/* The end of a limit must be found although online requests prefer the other
 * runners: only a response of the limited one tells it. */
static void test_limit_is_checked(void)
{
	GRand *random = g_rand_new_with_seed(3);
	fleet_t *fleet;
	int limited = 0;

	clock_manual_init(&manual, 0);
	clock_manual_advance_ms(&manual, 1000);
	fleet = fleet_of(random, "d");
	add(fleet, "a", 8, 1, false);
	add(fleet, "b", 8, 1, false);
	name_limit(fleet, "a", 3000);
	clock_manual_advance_ms(&manual, 1500);
	for (int i = 0; i < 6; i++)
		limited += strcmp(acquire(fleet, false)->id, "a") == 0;
	CU_ASSERT(limited >= 1);
	fleet_free(fleet);
	g_rand_free(random);
}

/* When all runners name limits, batch items must be the first to wait, and a
 * request that no runner may take must be told at once. */
static void test_all_runners_limited(void)
{
	GRand *random = g_rand_new_with_seed(3);
	fleet_t *fleet;

	clock_manual_init(&manual, 0);
	clock_manual_advance_ms(&manual, 1000);
	fleet = fleet_of(random, "d");
	add(fleet, "a", 8, 1, false);
	name_limit(fleet, "a", 1000);
	CU_ASSERT_PTR_NULL(acquire(fleet, true));
	CU_ASSERT_EQUAL(free_slots(fleet), 0);
	CU_ASSERT_EQUAL(fleet_wait_ms(fleet, "s", 0), 0);
	CU_ASSERT_PTR_NOT_NULL(acquire(fleet, false));
	CU_ASSERT_PTR_NULL(acquire(fleet, false));
	CU_ASSERT_EQUAL(fleet_wait_ms(fleet, "s", 0), INT32_MAX);
	CU_ASSERT_EQUAL(fleet_limit_wait_ms(fleet, "s"), 1000);
	clock_manual_advance_ms(&manual, 2000);
	CU_ASSERT_EQUAL(free_slots(fleet), 1);
	CU_ASSERT_PTR_NOT_NULL(acquire(fleet, true));
	CU_ASSERT_PTR_NULL(acquire(fleet, true));
	CU_ASSERT_PTR_NOT_NULL(acquire(fleet, false));
	fleet_free(fleet);
	g_rand_free(random);
}

static void add_version(fleet_t *fleet, const char *id, const char *version)
{
	const fleet_entry_t entry = { id, "10.0.0.1:1", "s",	"d", 8,
				      1,  false,	version };

	fleet_update(fleet, &entry);
}

/* A stream must be offered runners of its version only, also when they are full
 * or none is left. */
static void test_version(void)
{
	GRand *random = g_rand_new_with_seed(1);
	fleet_t *fleet = fleet_of(random, "d");
	fleet_pick_options_t pick = { .service = "s" };

	add_version(fleet, "old", "1");
	add_version(fleet, "new", "2");
	pick.version_key = fleet_find(fleet, fleet_key("old"))->version_key;
	for (int i = 0; i < 20; i++)
		CU_ASSERT_STRING_EQUAL(fleet_acquire(fleet, &pick)->id, "old");
	CU_ASSERT(fleet_wait_ms(fleet, "s", pick.version_key) > 0);
	CU_ASSERT_EQUAL(fleet_wait_ms(fleet, "s", 0), 0);
	CU_ASSERT_STRING_EQUAL(
		fleet_service_of_version(fleet, pick.version_key), "s");
	fleet_set_draining(fleet, fleet_find(fleet, fleet_key("old")));
	CU_ASSERT_PTR_NULL(fleet_acquire(fleet, &pick));
	CU_ASSERT_PTR_NULL(fleet_service_of_version(fleet, pick.version_key));
	fleet_free(fleet);
	g_rand_free(random);
}

/* A stream of unknown origin may only go on when all runners have had one version
 * for long enough; a version that was replaced without an overlap counts. */
static void test_sole_version(void)
{
	GRand *random = g_rand_new_with_seed(1);
	fleet_t *fleet = fleet_of(random, "d");
	int64_t minute_us = 60 * 1000 * 1000;

	add_version(fleet, "a", "1");
	CU_ASSERT_EQUAL(fleet_sole_version(fleet, "s", minute_us), 0);
	clock_manual_advance_ms(&manual, 61000);
	CU_ASSERT_EQUAL(fleet_sole_version(fleet, "s", minute_us),
			fleet_find(fleet, fleet_key("a"))->version_key);
	CU_ASSERT_EQUAL(fleet_sole_version(fleet, "t", minute_us), 0);
	CU_ASSERT_EQUAL(fleet_sole_version(fleet, NULL, minute_us), 0);
	fleet_schedule_removal(fleet, "a", 1);
	fleet_remove_expired(fleet);
	add_version(fleet, "b", "2");
	CU_ASSERT_EQUAL(fleet_sole_version(fleet, "s", minute_us), 0);
	clock_manual_advance_ms(&manual, 61000);
	CU_ASSERT_NOT_EQUAL(fleet_sole_version(fleet, "s", minute_us), 0);
	add_version(fleet, "c", "3");
	clock_manual_advance_ms(&manual, 61000);
	CU_ASSERT_EQUAL(fleet_sole_version(fleet, "s", minute_us), 0);
	fleet_schedule_removal(fleet, "c", 1);
	fleet_remove_expired(fleet);
	CU_ASSERT_EQUAL(fleet_sole_version(fleet, "s", minute_us), 0);
	fleet_free(fleet);
	g_rand_free(random);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "draining", test_draining },
		{ "delayed removal", test_delayed_removal },
		{ "restart", test_restart },
		{ "ejection", test_ejection },
		{ "refused size", test_refused_size },
		{ "refusal of served size", test_refusal_of_served_size },
		{ "batch excess", test_batch_excess },
		{ "spread over free slots", test_spread_over_free_slots },
		{ "stale load of other domains",
		  test_stale_load_of_other_domains },
		{ "online leaves domain", test_online_leaves_domain },
		{ "steps over several nodes", test_steps_over_several_nodes },
		{ "steps over domains", test_steps_over_domains },
		{ "limited runners get batch", test_limited_runners_get_batch },
		{ "limit is checked", test_limit_is_checked },
		{ "all runners limited", test_all_runners_limited },
		{ "version", test_version },
		{ "sole version", test_sole_version },
		{ NULL, NULL },
	};

	return unit_run("fleet", tests);
}
