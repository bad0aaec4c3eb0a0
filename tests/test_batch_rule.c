#include <glib.h>

#include "gateway/batch_rule.h"
#include "gateway/fleet.h"
#include "gateway/item_estimate.h"
#include "unit.h"

#define NODES 6

static void add_waiting(batch_waiting_t *sum, const batch_waiting_t *waiting)
{
	for (int i = 0; i < BATCH_URGENCIES; i++)
		sum->items[i] += waiting->items[i];
}

/* The share of one of several nodes, which are in the order of the array. */
static void share_of_node(const batch_slots_t *slots,
			  const batch_waiting_t *waiting, int nodes, int node,
			  batch_starts_t *starts)
{
	batch_waiting_t before = { { 0 } };
	batch_waiting_t after = { { 0 } };

	for (int i = 0; i < nodes; i++)
		if (i != node)
			add_waiting(i < node ? &before : &after, &waiting[i]);
	batch_share(slots, &before, &waiting[node], &after, starts);
}

/* Several nodes with waiting items see the same free slots. Together they must
 * start exactly as many items as there are slots, each in another slot, and
 * over time each node its share; without the division each node would fill all
 * of them. */
static void test_share_among_nodes(void)
{
	static const batch_waiting_t waiting[NODES] = {
		{ { 0, 10 } }, { { 0, 24 } }, { { 0, 1 } },
		{ { 0, 0 } },  { { 0, 7 } },  { { 0, 13 } },
	};
	GRand *random = g_rand_new_with_seed(5);
	uint32_t taken[NODES] = { 0 };

	for (int round = 0; round < 1000; round++) {
		const batch_slots_t slots = { 8, 72, g_rand_double(random) };
		bool used[8] = { false };
		uint32_t count = 0;

		for (int i = 0; i < NODES; i++) {
			batch_starts_t starts;

			share_of_node(&slots, waiting, NODES, i, &starts);
			taken[i] += starts.items[1];
			count += starts.items[1];
			for (uint32_t j = 0; j < starts.items[1]; j++) {
				uint32_t slot = (starts.first_slot[1] + j) % 8;

				CU_ASSERT_FALSE(used[slot]);
				used[slot] = true;
			}
		}
		CU_ASSERT_EQUAL(count, 8);
	}
	for (int i = 0; i < NODES; i++) {
		uint32_t fair = 8000 * waiting[i].items[1] / 55;

		CU_ASSERT(taken[i] >= fair * 0.8 && taken[i] <= fair * 1.2 + 1);
	}
	g_rand_free(random);
}

static uint32_t share_of(uint32_t free_slots, batch_waiting_t own,
			 batch_waiting_t peers, uint32_t urgency)
{
	const batch_slots_t slots = { free_slots, 0, 0.9 };
	const batch_waiting_t none = { { 0 } };
	batch_starts_t starts;

	batch_share(&slots, &peers, &own, &none, &starts);
	return starts.items[urgency];
}

/* Slots must go to the most urgent items of all nodes, infeasible items must
 * start last, and no slot may stay free while an item waits. */
static void test_urgent_first(void)
{
	const batch_waiting_t none = { { 0 } };
	const batch_waiting_t urgent = { { 4 } };
	const batch_waiting_t later = { { 0, 0, 0, 3 } };
	const batch_waiting_t infeasible = { { [BATCH_INFEASIBLE] = 3 } };

	CU_ASSERT_EQUAL(share_of(0, urgent, none, 0), 0);
	CU_ASSERT_EQUAL(share_of(5, none, urgent, 0), 0);
	CU_ASSERT_EQUAL(share_of(5, urgent, later, 0), 4);
	CU_ASSERT_EQUAL(share_of(4, later, urgent, 3), 0);
	CU_ASSERT_EQUAL(share_of(9, later, urgent, 3), 3);
	CU_ASSERT_EQUAL(share_of(3, infeasible, later, BATCH_INFEASIBLE), 0);
	CU_ASSERT_EQUAL(share_of(6, infeasible, later, BATCH_INFEASIBLE), 3);
}

/* Items that get no slot in their domain must not wait while a remote domain
 * has slots that its own items do not need. Together the nodes must not start
 * more items there than there are such slots. */
static void test_remote_slots(void)
{
	const batch_domain_t domains[] = {
		{ .name = "full", .local = true, .waiting = 30, .slots = 100 },
		{ .name = "idle",
		  .waiting = 5,
		  .free_slots = 60,
		  .slots = 100 },
		{ .name = "other", .waiting = 10, .slots = 100 },
	};
	GRand *random = g_rand_new_with_seed(5);
	uint32_t started = 0;
	guint chosen;

	for (int round = 0; round < 1000; round++) {
		const double draws[2] = { g_rand_double(random),
					  g_rand_double(random) };

		started += batch_remote_share(domains, 3, 10, draws, &chosen);
		CU_ASSERT_EQUAL(chosen, 1);
	}
	/* This node has a quarter of the 40 items without a slot, so it gets a
	 * quarter of 40 slots: 60 free ones less 5 for the items that wait
	 * there and 15 in reserve. */
	CU_ASSERT(started > 9500 && started < 10500);
	g_rand_free(random);
}

/* A remote domain whose own items need its free slots must get no items. */
static void test_no_remote_slots(void)
{
	static const double draws[2] = { 0.99, 0.0 };
	batch_domain_t domains[] = {
		{ .name = "full", .local = true, .waiting = 30, .slots = 100 },
		{ .name = "busy",
		  .waiting = 50,
		  .free_slots = 60,
		  .slots = 100 },
	};
	guint chosen;

	CU_ASSERT_EQUAL(batch_remote_share(domains, 2, 10, draws, &chosen), 0);
	domains[1].waiting = 0;
	CU_ASSERT_EQUAL(batch_remote_share(domains, 2, 0, draws, &chosen), 0);
	CU_ASSERT_EQUAL(batch_remote_share(domains, 1, 10, draws, &chosen), 0);
	/* Only this node has items that wait. */
	domains[0].waiting = 10;
	CU_ASSERT_EQUAL(batch_remote_share(domains, 2, 10, draws, &chosen), 10);
}

static uint32_t starts_of(uint32_t urgency, uint32_t free_slots)
{
	const batch_slots_t slots = { free_slots, 72, 0 };
	const batch_waiting_t none = { { 0 } };
	batch_waiting_t own = { { 0 } };
	batch_starts_t starts;

	own.items[urgency] = 1;
	batch_share(&slots, &none, &own, &none, &starts);
	return starts.items[urgency];
}

/* Items close to their deadline may use the last slots. Other items, also
 * infeasible ones, must leave a reserve. */
static void test_reserve(void)
{
	CU_ASSERT_EQUAL(starts_of(batch_urgency(18000, 5000), 3), 0);
	CU_ASSERT_EQUAL(starts_of(batch_urgency(6000, 5000), 3), 1);
	CU_ASSERT_EQUAL(batch_urgency(4000, 5000), BATCH_INFEASIBLE);
	CU_ASSERT_EQUAL(starts_of(BATCH_INFEASIBLE, 3), 0);
	CU_ASSERT_EQUAL(starts_of(BATCH_INFEASIBLE, 10), 1);
	CU_ASSERT_EQUAL(batch_urgency(3600000, 5000), BATCH_INFEASIBLE - 1);
}

/* Load in which all nodes of a large domain look for slots at the same moment,
 * as when a peak of online load ends. */
#define LARGE_NODES 18
#define LARGE_RUNNERS 30
#define LARGE_SLOTS 7

typedef struct simultaneous {
	GRand *random;
	clock_manual_t clock;
	fleet_t *fleets[LARGE_NODES];
	uint32_t load[LARGE_RUNNERS];
	uint32_t free_slots;
} simultaneous_t;

static void simultaneous_init(simultaneous_t *sim, uint32_t seed)
{
	sim->random = g_rand_new_with_seed(seed);
	sim->free_slots = 0;
	clock_manual_init(&sim->clock, 0);
	for (int i = 0; i < LARGE_RUNNERS; i++) {
		sim->load[i] = (uint32_t)g_rand_int_range(sim->random, 0,
							  LARGE_SLOTS + 3);
		if (sim->load[i] < LARGE_SLOTS)
			sim->free_slots += LARGE_SLOTS - sim->load[i];
	}
	for (int i = 0; i < LARGE_NODES; i++) {
		const fleet_options_t options = { .clock = &sim->clock.base,
						  .random = sim->random,
						  .domain = "d" };

		sim->fleets[i] = fleet_new(&options);
		for (int j = 0; j < LARGE_RUNNERS; j++) {
			char id[16];
			fleet_entry_t entry = { id,    "10.0.0.1:1", "s",
						"d",   LARGE_SLOTS,  1,
						false, "1" };

			g_snprintf(id, sizeof(id), "r%d", j);
			fleet_update(sim->fleets[i], &entry);
			fleet_find(sim->fleets[i], fleet_key(id))
				->peers.online = sim->load[j];
		}
	}
}

static void simultaneous_clear(simultaneous_t *sim)
{
	for (int i = 0; i < LARGE_NODES; i++)
		fleet_free(sim->fleets[i]);
	g_rand_free(sim->random);
}

/* Starts the node's share; with own_choice at the runners that it would select
 * itself. */
static uint32_t start_simultaneously(simultaneous_t *sim, int node,
				     const batch_waiting_t *waiting,
				     bool own_choice)
{
	fleet_t *fleet = sim->fleets[node];
	GArray *keys = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	batch_slots_t slots = { .phase = 0.5 };
	batch_starts_t starts;

	slots.total = fleet_list_free_slots(fleet, "s", keys);
	slots.free = keys->len;
	share_of_node(&slots, waiting, LARGE_NODES, node, &starts);
	for (uint32_t i = 0; i < starts.items[5]; i++) {
		fleet_pick_options_t pick = { .service = "s", .batch = true };

		if (!own_choice)
			pick.preferred = g_array_index(
				keys, uint64_t,
				(starts.first_slot[5] + i) % keys->len);
		fleet_acquire(fleet, &pick);
	}
	g_array_free(keys, TRUE);
	return starts.items[5];
}

/* Items started beyond the slots of their runners, as a share of all. */
static double excess_share(uint32_t seed, bool own_choice)
{
	simultaneous_t sim;
	batch_waiting_t waiting[LARGE_NODES] = { { { 0 } } };
	uint32_t started = 0;
	uint32_t excess = 0;

	simultaneous_init(&sim, seed);
	for (int i = 0; i < LARGE_NODES; i++)
		waiting[i].items[5] =
			(uint32_t)g_rand_int_range(sim.random, 5, 60);
	for (int i = 0; i < LARGE_NODES; i++)
		started += start_simultaneously(&sim, i, waiting, own_choice);
	for (int j = 0; j < LARGE_RUNNERS; j++) {
		uint32_t load = sim.load[j];
		char id[16];

		g_snprintf(id, sizeof(id), "r%d", j);
		for (int i = 0; i < LARGE_NODES; i++)
			load += fleet_find(sim.fleets[i], fleet_key(id))
					->own.batch;
		if (load > MAX(LARGE_SLOTS, sim.load[j]))
			excess += load - MAX(LARGE_SLOTS, sim.load[j]);
	}
	/* All slots but the reserve of a twentieth are used. */
	CU_ASSERT_EQUAL(started,
			sim.free_slots - LARGE_RUNNERS * LARGE_SLOTS / 20);
	simultaneous_clear(&sim);
	return (double)excess / started;
}

/* Guards against nodes that start items at the same runners at the same moment
 * and preempt them at once, over and over, while other slots stay free. */
static void test_simultaneous_starts(void)
{
	for (uint32_t seed = 1; seed <= 5; seed++) {
		double own_choice = excess_share(seed, true);

		printf("excess starts, own choice: %.2f\n", own_choice);
		CU_ASSERT(own_choice > 0.1);
		CU_ASSERT_EQUAL(excess_share(seed, false), 0);
	}
}

/* Items that were preempted together must not all retry at the same time. */
static void test_backoffs_differ(void)
{
	GRand *random = g_rand_new_with_seed(5);
	int32_t least = INT32_MAX;
	int32_t most = 0;

	for (int i = 0; i < 100; i++) {
		int32_t backoff_ms = batch_preemption_backoff_ms(random);

		least = MIN(least, backoff_ms);
		most = MAX(most, backoff_ms);
	}
	CU_ASSERT(least > 0 && most - least > 100);
	g_rand_free(random);
}

/*
 * Simulates more batch work than slots for 90 s, while online load changes in
 * steps and takes slots away, and counts the items done by their deadline.
 */
#define SLOTS 48
#define TICK_MS 50
#define SIMULATION_MS 90000
#define DEADLINE_MS 18000
#define ITEM_WORK_MS 5000
#define JOB_ITEMS 10
#define JOBS_PER_S 0.85
#define MAX_ITEMS 2000

typedef enum policy {
	POLICY_RULE,
	POLICY_PROPORTIONAL, /* ignores urgency, like an earlier version */
	POLICY_EARLIEST_DEADLINE, /* also starts infeasible items */
	POLICY_COUNT
} policy_t;

typedef struct sim_item {
	int node;
	int deadline_ms;
	int started_ms; /* -1: not yet */
	int done_ms; /* work done on it */
	uint32_t urgency;
	bool running;
	bool finished;
	bool was_infeasible;
} sim_item_t;

typedef struct sim {
	GRand *random;
	policy_t policy;
	sim_item_t items[MAX_ITEMS];
	int count;
	int in_time;
	item_estimate_t estimates[NODES];
	int64_t free_ms; /* slot time that online load left free */
} sim_t;

static int online_at(int now_ms)
{
	return now_ms % 6600 >= 3800 ? SLOTS : SLOTS / 4;
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
				      .deadline_ms = now_ms + DEADLINE_MS,
				      .started_ms = -1 };
}

static void work(sim_t *sim, int now_ms)
{
	for (int i = 0; i < sim->count; i++) {
		sim_item_t *item = &sim->items[i];

		if (!item->running)
			continue;
		item->done_ms += TICK_MS;
		if (item->done_ms < ITEM_WORK_MS)
			continue;
		item->running = false;
		item->finished = true;
		sim->in_time += now_ms <= item->deadline_ms;
		if (!item->was_infeasible)
			item_estimate_add(&sim->estimates[item->node],
					  now_ms - item->started_ms,
					  item->done_ms / TICK_MS);
	}
}

static void preempt(sim_t *sim, int now_ms)
{
	int excess = running(sim) + online_at(now_ms) - SLOTS;

	while (excess > 0) {
		sim_item_t *item = &sim->items[g_rand_int_range(sim->random, 0,
								sim->count)];

		excess -= item->running;
		item->running = false;
	}
}

static void update_urgency(sim_t *sim, sim_item_t *item, int now_ms)
{
	int64_t remaining_ms = item->deadline_ms - now_ms;
	int64_t needed_ms = item_estimate_needed_ms(&sim->estimates[item->node],
						    item->done_ms / TICK_MS);

	if (sim->policy == POLICY_RULE)
		item->urgency = batch_urgency(remaining_ms, needed_ms);
	else if (sim->policy == POLICY_EARLIEST_DEADLINE)
		item->urgency = batch_urgency(MAX(remaining_ms, 0), 0);
	item->was_infeasible |= item->urgency == BATCH_INFEASIBLE;
}

static void start(sim_t *sim, int now_ms)
{
	batch_waiting_t waiting[NODES] = { { { 0 } } };
	int free_slots = SLOTS - online_at(now_ms) - running(sim);

	sim->free_ms += (int64_t)(SLOTS - online_at(now_ms)) * TICK_MS;
	for (int i = 0; i < sim->count; i++) {
		sim_item_t *item = &sim->items[i];

		if (item->running || item->finished)
			continue;
		update_urgency(sim, item, now_ms);
		waiting[item->node].items[item->urgency]++;
	}
	for (int node = 0; node < NODES; node++) {
		const batch_slots_t slots = { (uint32_t)MAX(free_slots, 0), 0,
					      g_rand_double(sim->random) };
		batch_starts_t starts;

		share_of_node(&slots, waiting, NODES, node, &starts);
		for (int i = 0; i < sim->count; i++) {
			sim_item_t *item = &sim->items[i];

			if (item->node != node || item->running ||
			    item->finished || !starts.items[item->urgency] ||
			    running(sim) + online_at(now_ms) >= SLOTS)
				continue;
			starts.items[item->urgency]--;
			item->running = true;
			if (item->started_ms < 0)
				item->started_ms = now_ms;
		}
	}
}

/* Items done in time, as a share of those that the free slots could do. */
static double done_in_time(policy_t policy, uint32_t seed)
{
	sim_t *sim = g_new0(sim_t, 1);
	double share;

	sim->policy = policy;
	sim->random = g_rand_new_with_seed(seed);
	for (int now_ms = 0; now_ms < SIMULATION_MS; now_ms += TICK_MS) {
		if (g_rand_double(sim->random) < JOBS_PER_S * TICK_MS / 1000)
			submit(sim, now_ms);
		work(sim, now_ms);
		if (sim->count > 0)
			preempt(sim, now_ms);
		start(sim, now_ms);
	}
	share = (double)sim->in_time * ITEM_WORK_MS / (double)sim->free_ms;
	g_rand_free(sim->random);
	g_free(sim);
	return share;
}

/* Under overload, work on infeasible items must not make the others late: most
 * of the items that the slots can do must be done in time. */
static void test_overload(void)
{
	static const char *const names[] = { "rule", "proportional",
					     "earliest deadline" };
	double share[POLICY_COUNT] = { 0 };

	for (int policy = 0; policy < POLICY_COUNT; policy++) {
		for (uint32_t seed = 1; seed <= 3; seed++)
			share[policy] +=
				done_in_time((policy_t)policy, seed) / 3;
		printf("done in time, %s: %.3f\n", names[policy],
		       share[policy]);
	}
	CU_ASSERT(share[POLICY_RULE] > share[POLICY_PROPORTIONAL]);
	CU_ASSERT(share[POLICY_RULE] > share[POLICY_EARLIEST_DEADLINE]);
	CU_ASSERT(share[POLICY_RULE] >= 0.75);
}

/* A domain without slots must get no job. Without a list of domains, jobs stay
 * in the local domain. */
static void test_job_domain(void)
{
	batch_domain_t domains[] = {
		{ .name = "here", .local = true, .waiting = 80, .slots = 100 },
		{ .name = "empty", .slots = 0 },
		{ .name = "there", .waiting = 10, .slots = 100 },
	};

	CU_ASSERT_EQUAL(batch_job_domain(domains, 0, 0), 0);
	CU_ASSERT_EQUAL(batch_job_domain(domains, 3, 0), 2);
	/* Seven eighths of the jobs move. */
	CU_ASSERT_EQUAL(batch_job_domain(domains, 3, 0.87), 2);
	CU_ASSERT_EQUAL(batch_job_domain(domains, 3, 0.88), 0);
	/* Infeasible items do not count as backlog. */
	domains[0].infeasible = 70;
	CU_ASSERT_EQUAL(batch_job_domain(domains, 3, 0), 0);
	domains[0].infeasible = 0;
	domains[0].slots = 0;
	CU_ASSERT_EQUAL(batch_job_domain(domains, 3, 0.5), 2);
	domains[2].slots = 0;
	CU_ASSERT_EQUAL(batch_job_domain(domains, 3, 0.5), 0);
}

/*
 * Simulates an uneven arrival of batch jobs: one of three domains with equally
 * many slots gets most of the jobs, more than it can do, while all domains
 * together can do nearly all.
 */
#define DOMAINS 3
#define DOMAIN_SLOTS 40
#define DOMAIN_JOBS_PER_S 2.2 /* of 2.4 that all slots can do */
#define LARGEST_DOMAIN_SHARE 0.6
/* Time for which a job that moves is not visible to others and does not run. */
#define JOB_MOVE_MS 1000

typedef struct arrival_sim {
	GRand *random;
	sim_item_t items[MAX_ITEMS]; /* node is the domain */
	int from[MAX_ITEMS]; /* domain of the caller */
	int ready_ms[MAX_ITEMS];
	int count;
} arrival_sim_t;

static void describe_domains(const arrival_sim_t *sim, int now_ms,
			     int local_domain, batch_domain_t *domains)
{
	for (int i = 0; i < DOMAINS; i++)
		domains[i] = (batch_domain_t){ .local = i == local_domain,
					       .slots = DOMAIN_SLOTS };
	for (int i = 0; i < sim->count; i++) {
		const sim_item_t *item = &sim->items[i];
		batch_domain_t *domain = &domains[item->node];

		if (item->running || item->finished ||
		    now_ms < sim->ready_ms[i])
			continue;
		domain->waiting++;
		domain->infeasible += item->deadline_ms - now_ms < ITEM_WORK_MS;
	}
}

static void submit_to_domain(arrival_sim_t *sim, int now_ms, bool move)
{
	int local_domain = g_rand_double(sim->random) < LARGEST_DOMAIN_SHARE ?
				   0 :
				   g_rand_int_range(sim->random, 1, DOMAINS);
	int domain = local_domain;
	batch_domain_t domains[DOMAINS];

	describe_domains(sim, now_ms, local_domain, domains);
	if (move)
		domain = (int)batch_job_domain(domains, DOMAINS,
					       g_rand_double(sim->random));
	for (int i = 0; i < JOB_ITEMS && sim->count < MAX_ITEMS; i++) {
		sim->from[sim->count] = local_domain;
		sim->ready_ms[sim->count] =
			now_ms + (domain == local_domain ? 0 : JOB_MOVE_MS);
		sim->items[sim->count++] = (sim_item_t){
			.node = domain,
			.deadline_ms = now_ms + DEADLINE_MS,
		};
	}
}

/* The feasible item with the earliest deadline, or else the first item. */
static sim_item_t *next_in(arrival_sim_t *sim, int domain, int now_ms)
{
	sim_item_t *late = NULL;

	for (int i = 0; i < sim->count; i++) {
		sim_item_t *item = &sim->items[i];

		if (item->node != domain || item->running || item->finished ||
		    now_ms < sim->ready_ms[i])
			continue;
		if (item->deadline_ms - now_ms >= ITEM_WORK_MS)
			return item;
		late = late ? late : item;
	}
	return late;
}

static void work_in_domain(arrival_sim_t *sim, int domain, int now_ms)
{
	int free_slots = DOMAIN_SLOTS;
	sim_item_t *item;

	for (int i = 0; i < sim->count; i++) {
		item = &sim->items[i];
		if (item->node != domain || !item->running)
			continue;
		item->done_ms += TICK_MS;
		item->finished = item->done_ms >= ITEM_WORK_MS;
		item->was_infeasible =
			item->finished && now_ms > item->deadline_ms;
		item->running = !item->finished;
		free_slots -= item->running;
	}
	while (free_slots-- > 0 && (item = next_in(sim, domain, now_ms)))
		item->running = true;
}

/* Share of items done in time, for the callers' domain with the lowest one. */
static double worst_in_time(bool move, uint32_t seed)
{
	arrival_sim_t *sim = g_new0(arrival_sim_t, 1);
	double worst = 1;

	sim->random = g_rand_new_with_seed(seed);
	for (int now_ms = 0; now_ms < SIMULATION_MS; now_ms += TICK_MS) {
		if (g_rand_double(sim->random) <
		    DOMAIN_JOBS_PER_S * TICK_MS / 1000)
			submit_to_domain(sim, now_ms, move);
		for (int i = 0; i < DOMAINS; i++)
			work_in_domain(sim, i, now_ms);
	}
	for (int domain = 0; domain < DOMAINS; domain++) {
		double ended_items = 0;
		double in_time = 0;

		for (int i = 0; i < sim->count; i++) {
			const sim_item_t *item = &sim->items[i];

			if (sim->from[i] != domain ||
			    item->deadline_ms >= SIMULATION_MS)
				continue;
			ended_items++;
			in_time += item->finished && !item->was_infeasible;
		}
		worst = MIN(worst, in_time / MAX(ended_items, 1));
	}
	g_rand_free(sim->random);
	g_free(sim);
	return worst;
}

/* The callers of the domain that gets most jobs must not get worse service
 * while other domains have free slots. */
static void test_uneven_arrival(void)
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
		{ "share among nodes", test_share_among_nodes },
		{ "urgent first", test_urgent_first },
		{ "remote slots", test_remote_slots },
		{ "no remote slots", test_no_remote_slots },
		{ "reserve", test_reserve },
		{ "simultaneous starts", test_simultaneous_starts },
		{ "overload", test_overload },
		{ "backoffs differ", test_backoffs_differ },
		{ "job domain", test_job_domain },
		{ "uneven arrival", test_uneven_arrival },
		{ NULL, NULL },
	};

	return unit_run("batch_rule", tests);
}
