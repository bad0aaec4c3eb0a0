#include <glib.h>

#include "gateway/batch_rule.h"
#include "gateway/item_estimate.h"
#include "unit.h"

#define NODES 6

/* A wave of jobs at several nodes that see the same free places: all together
 * must take about as many as there are, not each of them all. */
static void test_wave_over_several_nodes(void)
{
	static const uint32_t waiting[NODES] = { 10, 24, 1, 0, 7, 13 };
	GRand *random = g_rand_new_with_seed(5);
	uint32_t total = 0;
	uint32_t taken = 0;

	for (int i = 0; i < NODES; i++)
		total += waiting[i];
	for (int round = 0; round < 1000; round++) {
		for (int i = 0; i < NODES; i++) {
			const batch_waiting_t own = { { 0, waiting[i] } };
			const batch_waiting_t peers = {
				{ 0, total - waiting[i] }
			};
			batch_waiting_t starts;

			batch_share(8, &own, &peers, g_rand_double(random),
				    &starts);
			taken += starts.items[1];
		}
	}
	CU_ASSERT(taken > 7500 && taken < 8500);
	g_rand_free(random);
}

static uint32_t share_of(int32_t free_places, batch_waiting_t own,
			 batch_waiting_t peers, uint32_t urgency)
{
	batch_waiting_t starts;

	batch_share(free_places, &own, &peers, 0.9, &starts);
	return starts.items[urgency];
}

/* Places must go to the most urgent items of all nodes, those that are late
 * anyway come last, and no place stays free while something waits. */
static void test_urgent_first(void)
{
	const batch_waiting_t none = { { 0 } };
	const batch_waiting_t urgent = { { 4 } };
	const batch_waiting_t later = { { 0, 0, 0, 3 } };
	const batch_waiting_t hopeless = { { [BATCH_HOPELESS] = 3 } };

	CU_ASSERT_EQUAL(share_of(0, urgent, none, 0), 0);
	CU_ASSERT_EQUAL(share_of(5, none, urgent, 0), 0);
	CU_ASSERT_EQUAL(share_of(5, urgent, later, 0), 4);
	CU_ASSERT_EQUAL(share_of(4, later, urgent, 3), 0);
	CU_ASSERT_EQUAL(share_of(9, later, urgent, 3), 3);
	CU_ASSERT_EQUAL(share_of(3, hopeless, later, BATCH_HOPELESS), 0);
	CU_ASSERT_EQUAL(share_of(6, hopeless, later, BATCH_HOPELESS), 3);
}

/* Items that find no place in their domain must not wait while another domain
 * has places that its own items do not need; together the nodes must not start
 * more there than that. */
static void test_far_places(void)
{
	const batch_domain_t domains[] = {
		{ .name = "full", .near = true, .waiting = 30, .places = 100 },
		{ .name = "idle",
		  .waiting = 5,
		  .free_places = 60,
		  .places = 100 },
		{ .name = "other", .waiting = 10, .places = 100 },
	};
	GRand *random = g_rand_new_with_seed(5);
	uint32_t started = 0;
	guint chosen;

	for (int round = 0; round < 1000; round++) {
		const double draws[2] = { g_rand_double(random),
					  g_rand_double(random) };

		started += batch_far_share(domains, 3, 10, draws, &chosen);
		CU_ASSERT_EQUAL(chosen, 1);
	}
	/* A quarter of the 40 unplaced items is here, so a quarter of 40
	 * places: 60 less 5 that wait there and 15 in reserve. */
	CU_ASSERT(started > 9500 && started < 10500);
	g_rand_free(random);
}

/* A domain whose own items need its places lends none. */
static void test_no_far_places(void)
{
	static const double draws[2] = { 0.99, 0.0 };
	batch_domain_t domains[] = {
		{ .name = "full", .near = true, .waiting = 30, .places = 100 },
		{ .name = "busy",
		  .waiting = 50,
		  .free_places = 60,
		  .places = 100 },
	};
	guint chosen;

	CU_ASSERT_EQUAL(batch_far_share(domains, 2, 10, draws, &chosen), 0);
	domains[1].waiting = 0;
	CU_ASSERT_EQUAL(batch_far_share(domains, 2, 0, draws, &chosen), 0);
	CU_ASSERT_EQUAL(batch_far_share(domains, 1, 10, draws, &chosen), 0);
	/* This node alone has items that wait. */
	domains[0].waiting = 10;
	CU_ASSERT_EQUAL(batch_far_share(domains, 2, 10, draws, &chosen), 10);
}

/* Work that is nearly due takes the last places; other work, and work that is
 * late anyway, leaves some. */
static void test_due(void)
{
	batch_input_t input = { .free_places = 3, .places = 72 };

	input.urgency = batch_urgency(18000, 5000);
	CU_ASSERT_FALSE(batch_may_start(&input));
	input.urgency = batch_urgency(6000, 5000);
	CU_ASSERT(batch_may_start(&input));
	input.urgency = batch_urgency(4000, 5000);
	CU_ASSERT_EQUAL(input.urgency, BATCH_HOPELESS);
	CU_ASSERT_FALSE(batch_may_start(&input));
	input.free_places = 10;
	CU_ASSERT(batch_may_start(&input));
	CU_ASSERT_EQUAL(batch_urgency(3600000, 5000), BATCH_HOPELESS - 1);
}

/* Items that gave way together must not come back together. */
static void test_pauses_differ(void)
{
	GRand *random = g_rand_new_with_seed(5);
	int32_t least = INT32_MAX;
	int32_t most = 0;

	for (int i = 0; i < 100; i++) {
		int32_t pause_ms = batch_yield_pause_ms(random);

		least = MIN(least, pause_ms);
		most = MAX(most, pause_ms);
	}
	CU_ASSERT(least > 0 && most - least > 100);
	g_rand_free(random);
}

/*
 * More batch work than places for a minute, while online load comes in steps
 * and takes places away: which items are done in time.
 */
#define PLACES 48
#define TICK_MS 50
#define RUN_MS 90000
#define DUE_MS 18000
#define WORK_MS 5000
#define JOB_ITEMS 10
#define JOBS_PER_S 0.85
#define MAX_ITEMS 2000

typedef enum policy {
	POLICY_RULE,
	POLICY_PROPORTIONAL, /* all waiting items alike: the version before */
	POLICY_EARLIEST_DUE, /* also those that cannot be done in time */
	POLICY_COUNT
} policy_t;

typedef struct sim_item {
	int node;
	int due_ms;
	int started_ms; /* -1: not yet */
	int done_ms; /* of work */
	uint32_t urgency;
	bool running;
	bool finished;
	bool was_hopeless;
} sim_item_t;

typedef struct sim {
	GRand *random;
	policy_t policy;
	sim_item_t items[MAX_ITEMS];
	int count;
	int in_time;
	item_estimate_t estimates[NODES];
	int64_t free_ms; /* time of places that online load left */
} sim_t;

static int online_at(int now_ms)
{
	return now_ms % 6600 >= 3800 ? PLACES : PLACES / 4;
}

static int running(const sim_t *sim)
{
	int count = 0;

	for (int i = 0; i < sim->count; i++)
		count += sim->items[i].running;
	return count;
}

static void submit(sim_t *sim, int now_ms)
{
	int node = g_rand_int_range(sim->random, 0, NODES);

	for (int i = 0; i < JOB_ITEMS && sim->count < MAX_ITEMS; i++)
		sim->items[sim->count++] =
			(sim_item_t){ .node = node,
				      .due_ms = now_ms + DUE_MS,
				      .started_ms = -1 };
}

static void work(sim_t *sim, int now_ms)
{
	for (int i = 0; i < sim->count; i++) {
		sim_item_t *item = &sim->items[i];

		if (!item->running)
			continue;
		item->done_ms += TICK_MS;
		if (item->done_ms < WORK_MS)
			continue;
		item->running = false;
		item->finished = true;
		sim->in_time += now_ms <= item->due_ms;
		if (!item->was_hopeless)
			item_estimate_add(&sim->estimates[item->node],
					  now_ms - item->started_ms,
					  item->done_ms / TICK_MS);
	}
}

static void give_way(sim_t *sim, int now_ms)
{
	int excess = running(sim) + online_at(now_ms) - PLACES;

	while (excess > 0) {
		sim_item_t *item = &sim->items[g_rand_int_range(sim->random, 0,
								sim->count)];

		excess -= item->running;
		item->running = false;
	}
}

static void rank(sim_t *sim, sim_item_t *item, int now_ms)
{
	int64_t left_ms = item->due_ms - now_ms;
	int64_t needed_ms = item_estimate_needed_ms(&sim->estimates[item->node],
						    item->done_ms / TICK_MS);

	if (sim->policy == POLICY_RULE)
		item->urgency = batch_urgency(left_ms, needed_ms);
	else if (sim->policy == POLICY_EARLIEST_DUE)
		item->urgency = batch_urgency(MAX(left_ms, 0), 0);
	item->was_hopeless |= item->urgency == BATCH_HOPELESS;
}

static void start(sim_t *sim, int now_ms)
{
	batch_waiting_t waiting[NODES] = { { { 0 } } };
	int free_places = PLACES - online_at(now_ms) - running(sim);

	sim->free_ms += (int64_t)(PLACES - online_at(now_ms)) * TICK_MS;
	for (int i = 0; i < sim->count; i++) {
		sim_item_t *item = &sim->items[i];

		if (item->running || item->finished)
			continue;
		rank(sim, item, now_ms);
		waiting[item->node].items[item->urgency]++;
	}
	for (int node = 0; node < NODES; node++) {
		batch_waiting_t peers = { { 0 } };
		batch_waiting_t starts;

		for (int i = 0; i < NODES; i++)
			for (int j = 0; i != node && j < BATCH_URGENCIES; j++)
				peers.items[j] += waiting[i].items[j];
		batch_share(free_places, &waiting[node], &peers,
			    g_rand_double(sim->random), &starts);
		for (int i = 0; i < sim->count; i++) {
			sim_item_t *item = &sim->items[i];

			if (item->node != node || item->running ||
			    item->finished || !starts.items[item->urgency] ||
			    running(sim) + online_at(now_ms) >= PLACES)
				continue;
			starts.items[item->urgency]--;
			item->running = true;
			if (item->started_ms < 0)
				item->started_ms = now_ms;
		}
	}
}

/* Items done in time, as a share of those that the free places could do. */
static double done_in_time(policy_t policy, uint32_t seed)
{
	sim_t *sim = g_new0(sim_t, 1);
	double share;

	sim->policy = policy;
	sim->random = g_rand_new_with_seed(seed);
	for (int now_ms = 0; now_ms < RUN_MS; now_ms += TICK_MS) {
		if (g_rand_double(sim->random) < JOBS_PER_S * TICK_MS / 1000)
			submit(sim, now_ms);
		work(sim, now_ms);
		if (sim->count > 0)
			give_way(sim, now_ms);
		start(sim, now_ms);
	}
	share = (double)sim->in_time * WORK_MS / (double)sim->free_ms;
	g_rand_free(sim->random);
	g_free(sim);
	return share;
}

/* Under overload, work on items that are late anyway must not make all the
 * others late: most of what the places can do is to be done in time. */
static void test_overload(void)
{
	static const char *const names[] = { "rule", "proportional",
					     "earliest due" };
	double share[POLICY_COUNT] = { 0 };

	for (int policy = 0; policy < POLICY_COUNT; policy++) {
		for (uint32_t seed = 1; seed <= 3; seed++)
			share[policy] +=
				done_in_time((policy_t)policy, seed) / 3;
		printf("done in time, %s: %.3f\n", names[policy],
		       share[policy]);
	}
	CU_ASSERT(share[POLICY_RULE] > share[POLICY_PROPORTIONAL]);
	CU_ASSERT(share[POLICY_RULE] > share[POLICY_EARLIEST_DUE]);
	CU_ASSERT(share[POLICY_RULE] >= 0.75);
}

/* A domain without places gets no job, and one without a list runs its own. */
static void test_job_domain(void)
{
	batch_domain_t domains[] = {
		{ .name = "here", .near = true, .waiting = 80, .places = 100 },
		{ .name = "gone", .places = 0 },
		{ .name = "there", .waiting = 10, .places = 100 },
	};

	CU_ASSERT_EQUAL(batch_job_domain(domains, 0, 0), 0);
	CU_ASSERT_EQUAL(batch_job_domain(domains, 3, 0), 2);
	/* Seven eighths of the jobs go. */
	CU_ASSERT_EQUAL(batch_job_domain(domains, 3, 0.87), 2);
	CU_ASSERT_EQUAL(batch_job_domain(domains, 3, 0.88), 0);
	/* What cannot be done in time is in nobody's way. */
	domains[0].hopeless = 70;
	CU_ASSERT_EQUAL(batch_job_domain(domains, 3, 0), 0);
	domains[0].hopeless = 0;
	domains[0].places = 0;
	CU_ASSERT_EQUAL(batch_job_domain(domains, 3, 0.5), 2);
	domains[2].places = 0;
	CU_ASSERT_EQUAL(batch_job_domain(domains, 3, 0.5), 0);
}

/*
 * Batch jobs come unevenly: one of three domains with the same places gets most
 * of them, more than it can do, while all together can do nearly all.
 */
#define DOMAINS 3
#define DOMAIN_PLACES 40
#define DOMAIN_JOBS_PER_S 2.2 /* of 2.4 that all the places can do */
#define MOST_OF_JOBS 0.6
/* A job that moves is not seen by others, and not run, for that long. */
#define MOVE_MS 1000

typedef struct uneven {
	GRand *random;
	sim_item_t items[MAX_ITEMS]; /* node is the domain */
	int from[MAX_ITEMS]; /* domain of the caller */
	int ready_ms[MAX_ITEMS];
	int count;
} uneven_t;

static void describe(const uneven_t *sim, int now_ms, int near,
		     batch_domain_t *domains)
{
	for (int i = 0; i < DOMAINS; i++)
		domains[i] = (batch_domain_t){ .near = i == near,
					       .places = DOMAIN_PLACES };
	for (int i = 0; i < sim->count; i++) {
		const sim_item_t *item = &sim->items[i];
		batch_domain_t *domain = &domains[item->node];

		if (item->running || item->finished ||
		    now_ms < sim->ready_ms[i])
			continue;
		domain->waiting++;
		domain->hopeless += item->due_ms - now_ms < WORK_MS;
	}
}

static void submit_unevenly(uneven_t *sim, int now_ms, bool move)
{
	int near = g_rand_double(sim->random) < MOST_OF_JOBS ?
			   0 :
			   g_rand_int_range(sim->random, 1, DOMAINS);
	int domain = near;
	batch_domain_t domains[DOMAINS];

	describe(sim, now_ms, near, domains);
	if (move)
		domain = (int)batch_job_domain(domains, DOMAINS,
					       g_rand_double(sim->random));
	for (int i = 0; i < JOB_ITEMS && sim->count < MAX_ITEMS; i++) {
		sim->from[sim->count] = near;
		sim->ready_ms[sim->count] =
			now_ms + (domain == near ? 0 : MOVE_MS);
		sim->items[sim->count++] = (sim_item_t){
			.node = domain,
			.due_ms = now_ms + DUE_MS,
		};
	}
}

/* The earliest due item that can be done in time; else the first one. */
static sim_item_t *next_in(uneven_t *sim, int domain, int now_ms)
{
	sim_item_t *late = NULL;

	for (int i = 0; i < sim->count; i++) {
		sim_item_t *item = &sim->items[i];

		if (item->node != domain || item->running || item->finished ||
		    now_ms < sim->ready_ms[i])
			continue;
		if (item->due_ms - now_ms >= WORK_MS)
			return item;
		late = late ? late : item;
	}
	return late;
}

static void work_in(uneven_t *sim, int domain, int now_ms)
{
	int free_places = DOMAIN_PLACES;
	sim_item_t *item;

	for (int i = 0; i < sim->count; i++) {
		item = &sim->items[i];
		if (item->node != domain || !item->running)
			continue;
		item->done_ms += TICK_MS;
		item->finished = item->done_ms >= WORK_MS;
		item->was_hopeless = item->finished && now_ms > item->due_ms;
		item->running = !item->finished;
		free_places -= item->running;
	}
	while (free_places-- > 0 && (item = next_in(sim, domain, now_ms)))
		item->running = true;
}

/* Share of items done in time, of the callers' domain that has least. */
static double worst_in_time(bool move, uint32_t seed)
{
	uneven_t *sim = g_new0(uneven_t, 1);
	double worst = 1;

	sim->random = g_rand_new_with_seed(seed);
	for (int now_ms = 0; now_ms < RUN_MS; now_ms += TICK_MS) {
		if (g_rand_double(sim->random) <
		    DOMAIN_JOBS_PER_S * TICK_MS / 1000)
			submit_unevenly(sim, now_ms, move);
		for (int i = 0; i < DOMAINS; i++)
			work_in(sim, i, now_ms);
	}
	for (int domain = 0; domain < DOMAINS; domain++) {
		double due = 0;
		double in_time = 0;

		for (int i = 0; i < sim->count; i++) {
			const sim_item_t *item = &sim->items[i];

			if (sim->from[i] != domain || item->due_ms >= RUN_MS)
				continue;
			due++;
			in_time += item->finished && !item->was_hopeless;
		}
		worst = MIN(worst, in_time / MAX(due, 1));
	}
	g_rand_free(sim->random);
	g_free(sim);
	return worst;
}

/* The callers of the domain that gets most jobs must not be served worse while
 * other domains have places. */
static void test_jobs_come_unevenly(void)
{
	for (uint32_t seed = 1; seed <= 3; seed++) {
		double stay = worst_in_time(false, seed);
		double move = worst_in_time(true, seed);

		printf("worst domain, jobs stay: %.3f, move: %.3f\n", stay,
		       move);
		CU_ASSERT(move > stay);
		CU_ASSERT(move >= 0.9);
	}
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "wave over several nodes", test_wave_over_several_nodes },
		{ "urgent first", test_urgent_first },
		{ "far places", test_far_places },
		{ "no far places", test_no_far_places },
		{ "due", test_due },
		{ "overload", test_overload },
		{ "pauses differ", test_pauses_differ },
		{ "job domain", test_job_domain },
		{ "jobs come unevenly", test_jobs_come_unevenly },
		{ NULL, NULL },
	};

	return unit_run("batch_rule", tests);
}
