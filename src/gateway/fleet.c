#include "gateway/fleet_state.h"

#include <math.h>
#include <string.h>

#include "base/log.h"

#define FNV_OFFSET 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL
/* Time of ejection after a failure, doubled for each further consecutive
 * one. */
#define EJECTION_FIRST_MS 400
#define EJECTION_MAX_MS 6400
/* The load of the runners' hosts changes within a few hundred milliseconds, so
 * an older report does not describe the current speed. */
#define SLOWNESS_MAX_AGE_MS 400
/* Processing time of a typical online request, for estimates of queueing
 * time. */
#define TYPICAL_WORK_MS 700
/* Extra cost of a runner in another domain, in slots. */
#define REMOTE_COST 0.6
#define STALE_REMOTE_COST 3.0
/* While the load of other domains is stale, online requests leave their domain
 * only if its runners have this many more requests on average than those of the
 * other. With a smaller margin, all nodes would send to the slots that were
 * free a quarter of a second ago. */
#define STALE_REMOTE_MARGIN 2.0
/* Weight of a runner in another domain that has a free slot, against that of a
 * local one. */
#define REMOTE_WEIGHT 0.5
/* Weight of a runner with a limit, against that of others with a free slot. A
 * limit counts requests, so it does most for long ones, which batch items are;
 * online requests take what the other runners have no slots for. A limit that
 * may have ended does not count, so that a request shows whether it has. */
#define LIMITED_WEIGHT 0.02
/* The same as a preference of batch items, in slots. */
#define LIMITED_BATCH_GAIN 100.0
/* Maximum of the random part of the cost, which keeps the nodes from all
 * selecting the same runner. */
#define RANDOM_COST_MAX 2.0

void fleet_runner_unref(void *data)
{
	fleet_runner_t *runner = data;

	if (--runner->refs > 0)
		return;
	g_free(runner->id);
	g_free(runner->address);
	g_free(runner->service);
	g_free(runner->domain);
	g_free(runner->version);
	g_free(runner);
}

uint64_t fleet_key(const char *id)
{
	uint64_t hash = FNV_OFFSET;

	for (const char *c = id; *c; c++)
		hash = (hash ^ (uint8_t)*c) * FNV_PRIME;
	return hash;
}

fleet_domain_t *fleet_find_or_add_domain(fleet_t *fleet, const char *name)
{
	fleet_domain_t *domain = g_hash_table_lookup(fleet->domains, name);

	if (!domain) {
		domain = g_new0(fleet_domain_t, 1);
		g_hash_table_insert(fleet->domains, g_strdup(name), domain);
	}
	return domain;
}

fleet_t *fleet_new(const fleet_options_t *options)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	fleet->clock = options->clock;
	fleet->limit_share = 1;
	fleet->random = options->random;
	fleet->domain = g_strdup(options->domain);
	fleet->load_changed = options->load_changed;
	fleet->has_relay = options->has_relay;
	fleet->probed = options->probed;
	fleet->user_data = options->user_data;
	fleet->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
	fleet->listed = g_ptr_array_new_with_free_func(fleet_runner_unref);
	fleet->versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->created_us = clock_now_us(fleet->clock);
	fleet->domains =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->local_domain = fleet_find_or_add_domain(fleet, fleet->domain);
	return fleet;
}

void fleet_free(fleet_t *fleet)
{
	if (!fleet)
		return;
	g_hash_table_destroy(fleet->by_key);
	g_ptr_array_free(fleet->listed, TRUE);
	g_hash_table_destroy(fleet->domains);
	g_hash_table_destroy(fleet->versions);
	g_free(fleet->domain);
	g_free(fleet);
}

fleet_runner_t *fleet_find(fleet_t *fleet, uint64_t key)
{
	return g_hash_table_lookup(fleet->by_key, &key);
}

void fleet_set_remote_load_stale(fleet_t *fleet, bool remote_load_stale)
{
	fleet->remote_load_stale = remote_load_stale;
}

static uint32_t load_of(const fleet_runner_t *runner)
{
	return runner->own.online + runner->own.batch + runner->peers.online +
	       runner->peers.batch;
}

static uint32_t online_of(const fleet_runner_t *runner)
{
	return runner->own.online + runner->peers.online;
}

static double slowness_of(const fleet_t *fleet, const fleet_runner_t *runner)
{
	int64_t age_us = clock_now_us(fleet->clock) - runner->slowness_us;

	if (!runner->slowness_us || age_us > SLOWNESS_MAX_AGE_MS * 1000 ||
	    runner->slowness_percent <= 100)
		return 1.0;
	return runner->slowness_percent / 100.0;
}

static bool is_failing(const fleet_runner_t *runner, int64_t now_us)
{
	uint32_t percent =
		failure_record_percent(&runner->local_failures, now_us) +
		runner->peer_failures_percent;

	return failure_record_is_failing(percent, online_of(runner),
					 runner->own.batch +
						 runner->peers.batch);
}

bool fleet_is_ejected(const fleet_t *fleet, const fleet_runner_t *runner)
{
	int64_t now_us = clock_now_us(fleet->clock);

	return runner->remove_at_us || now_us < runner->ejected_until_us ||
	       fleet_avoids_domain(fleet, runner->domain_state);
}

bool fleet_is_usable(const fleet_runner_t *runner, const char *service)
{
	return !runner->draining && strcmp(runner->service, service) == 0;
}

/* Number of requests that the runner's limit permits now. */
static uint32_t limit_room(const fleet_t *fleet, const fleet_runner_t *runner,
			   uint32_t reserve)
{
	return runner_limit_room(&runner->limit, reserve, fleet->limit_share,
				 clock_now_us(fleet->clock));
}

/* Requests that batch work leaves to online requests at each runner with a
 * limit: none as long as there are runners without. */
static uint32_t limit_reserve(const fleet_t *fleet, const char *service)
{
	for (guint i = 0; i < fleet->listed->len; i++) {
		const fleet_runner_t *runner = fleet->listed->pdata[i];

		if (fleet_is_usable(runner, service) &&
		    !runner->limit.rate.named &&
		    !fleet_is_ejected(fleet, runner))
			return 0;
	}
	return 1;
}

bool fleet_is_remote(const fleet_t *fleet, const fleet_runner_t *runner)
{
	return g_strcmp0(runner->domain, fleet->domain) != 0;
}

/* Whether batch work of this node stays in its domain. */
static bool keeps_batch_local(const fleet_t *fleet, const char *service)
{
	if (!fleet->remote_load_stale)
		return false;
	for (guint i = 0; i < fleet->listed->len; i++) {
		const fleet_runner_t *runner = fleet->listed->pdata[i];

		if (fleet_is_usable(runner, service) &&
		    !fleet_is_remote(fleet, runner))
			return true;
	}
	return false;
}

/* Preference of batch items for a runner. */
static double limited_gain(const fleet_runner_t *runner)
{
	return runner->limit.rate.named ? LIMITED_BATCH_GAIN : 0;
}

/*
 * Cost of one more request at a runner, in slots: the requests ahead of it,
 * more if it would have to queue, scaled by the runner's slowness. For an
 * online request batch requests add little, since they are preempted.
 */
static double cost_of(fleet_t *fleet, const fleet_runner_t *runner,
		      const fleet_pick_options_t *pick)
{
	double slots = MAX(runner->slots, 1);
	double load = load_of(runner);
	double online = online_of(runner);
	double cost = load;

	if (load >= slots && !pick->batch)
		cost += slots + 2 * MAX(online - slots + 1, 0);
	cost = (cost + 2) * slowness_of(fleet, runner);
	if (pick->batch)
		cost -= limited_gain(runner);
	if (fleet_is_remote(fleet, runner))
		cost += fleet->remote_load_stale ? STALE_REMOTE_COST :
						   REMOTE_COST;
	return cost + g_rand_double(fleet->random) * RANDOM_COST_MAX;
}

/* Number of batch items that a runner can take now. */
static uint32_t batch_room(const fleet_t *fleet, const fleet_runner_t *runner,
			   uint32_t reserve)
{
	uint32_t load = load_of(runner);
	uint32_t room = limit_room(fleet, runner, reserve);

	return load < runner->slots ? MIN(runner->slots - load, room) : 0;
}

/* Sums up the load of each domain's healthy runners. */
static void sum_domains(fleet_t *fleet, const char *service)
{
	int64_t now_us = clock_now_us(fleet->clock);
	uint32_t reserve = limit_reserve(fleet, service);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, fleet->domains);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		fleet_domain_t *domain = value;

		domain->runners = 0;
		domain->online = 0;
		domain->total_slots = 0;
		domain->free_slots = 0;
	}
	for (guint i = 0; i < fleet->listed->len; i++) {
		const fleet_runner_t *runner = fleet->listed->pdata[i];
		fleet_domain_t *domain = runner->domain_state;

		if (!fleet_is_usable(runner, service) ||
		    fleet_is_ejected(fleet, runner))
			continue;
		if (!is_failing(runner, now_us)) {
			domain->runners++;
			domain->online += online_of(runner);
		}
		domain->total_slots += runner->slots;
		domain->free_slots += batch_room(fleet, runner, reserve);
	}
}

/* Mean online requests per runner of a domain; HUGE_VAL without runners. */
static double mean_load(const fleet_domain_t *domain)
{
	return domain->runners ? (double)domain->online / domain->runners :
				 HUGE_VAL;
}

/* Whether an online request may leave the local domain for the runner. */
static bool may_leave_domain(const fleet_t *fleet, const fleet_runner_t *runner)
{
	return mean_load(runner->domain_state) + STALE_REMOTE_MARGIN <=
	       mean_load(fleet->local_domain);
}

static bool has_free_slot(const fleet_runner_t *runner)
{
	return load_of(runner) < runner->slots;
}

/*
 * Weight of a runner in the random choice for an online request: its free
 * slots, fewer if it is slow or remote. A choice of the least cost would send
 * the requests of all nodes to the same runner until they have each other's
 * load reports.
 */
static double online_weight(const fleet_t *fleet, const fleet_runner_t *runner)
{
	double slowness = slowness_of(fleet, runner);
	double weight;

	if (!has_free_slot(runner))
		return 0;
	weight = (runner->slots - load_of(runner)) / (slowness * slowness);
	if (runner_limit_is_sure(&runner->limit, clock_now_us(fleet->clock)))
		weight *= LIMITED_WEIGHT;
	return fleet_is_remote(fleet, runner) ? weight * REMOTE_WEIGHT : weight;
}

static bool has_version(const fleet_runner_t *runner,
			const fleet_pick_options_t *pick)
{
	return !pick->version_key || runner->version_key == pick->version_key;
}

static bool has_failed_attempt(const fleet_pick_options_t *pick,
			       const fleet_runner_t *runner)
{
	for (uint32_t i = 0; i < pick->tried_count; i++)
		if (pick->tried[i] == runner->key)
			return true;
	return false;
}

/* Candidates to consider besides the healthy runners. */
typedef struct candidate_filter {
	bool ejected;
	bool tried;
} candidate_filter_t;

static fleet_runner_t *pick_filtered(fleet_t *fleet,
				     const fleet_pick_options_t *pick,
				     const candidate_filter_t *filter)
{
	bool local_only = pick->batch && !pick->domain &&
			  keeps_batch_local(fleet, pick->service);
	/* After a failed attempt, a healthy runner of any domain is better than
	 * a runner that has failed the request. */
	bool prefer_local = fleet->remote_load_stale && !pick->batch &&
			    pick->tried_count == 0;
	uint32_t reserve =
		pick->batch ? limit_reserve(fleet, pick->service) : 0;
	int64_t now_us = clock_now_us(fleet->clock);
	fleet_runner_t *best = NULL;
	double best_cost = 0;
	fleet_runner_t *drawn = NULL;
	double total_weight = 0;

	if (prefer_local)
		sum_domains(fleet, pick->service);
	for (guint i = 0; i < fleet->listed->len; i++) {
		fleet_runner_t *runner = fleet->listed->pdata[i];
		double cost;

		if (!fleet_is_usable(runner, pick->service) ||
		    !has_version(runner, pick) ||
		    fleet_avoids_domain(fleet, runner->domain_state))
			continue;
		if (!filter->ejected &&
		    (fleet_is_ejected(fleet, runner) ||
		     fleet_refuses_size(fleet, runner, pick->tokens)))
			continue;
		/* Batch items without a failed attempt may go to runners that
		 * lose requests: a loss costs them little time, and they leave
		 * the slots of healthy runners to online requests. */
		if (!filter->ejected &&
		    (!pick->batch || pick->require_healthy) &&
		    is_failing(runner, now_us))
			continue;
		if (!filter->tried && has_failed_attempt(pick, runner))
			continue;
		if (local_only && fleet_is_remote(fleet, runner))
			continue;
		if (pick->domain && strcmp(runner->domain, pick->domain) != 0)
			continue;
		if (pick->batch && !has_free_slot(runner))
			continue;
		if (limit_room(fleet, runner, reserve) == 0)
			continue;
		if (prefer_local && fleet_is_remote(fleet, runner) &&
		    !may_leave_domain(fleet, runner))
			continue;
		if (!pick->batch) {
			double weight = online_weight(fleet, runner);

			total_weight += weight;
			if (weight > 0 &&
			    g_rand_double(fleet->random) * total_weight <
				    weight)
				drawn = runner;
		}
		cost = cost_of(fleet, runner, pick);
		if (!best || cost < best_cost) {
			best = runner;
			best_cost = cost;
		}
	}
	return drawn ? drawn : best;
}

/* The preferred runner, or NULL when it may not take the request. */
static fleet_runner_t *preferred_runner(fleet_t *fleet,
					const fleet_pick_options_t *pick)
{
	fleet_runner_t *runner =
		pick->preferred ? fleet_find(fleet, pick->preferred) : NULL;
	uint32_t reserve =
		pick->batch ? limit_reserve(fleet, pick->service) : 0;

	if (!runner || !fleet_is_usable(runner, pick->service) ||
	    !has_version(runner, pick) || fleet_is_ejected(fleet, runner) ||
	    fleet_refuses_size(fleet, runner, pick->tokens) ||
	    !has_free_slot(runner) || has_failed_attempt(pick, runner) ||
	    limit_room(fleet, runner, reserve) == 0 ||
	    (pick->require_healthy &&
	     is_failing(runner, clock_now_us(fleet->clock))))
		return NULL;
	return runner;
}

void fleet_load_changed(const fleet_t *fleet)
{
	if (fleet->load_changed)
		fleet->load_changed(fleet->user_data);
}

/* Picks among healthy runners first, then with the candidates of the wider
 * filters. */
static fleet_runner_t *pick_runner(fleet_t *fleet,
				   const fleet_pick_options_t *pick)
{
	static const candidate_filter_t filters[] = {
		{ .ejected = false, .tried = false },
		{ .ejected = true, .tried = false },
		{ .ejected = true, .tried = true },
	};
	/* Batch work waits for a healthy runner. */
	size_t count = pick->batch ? 1 : G_N_ELEMENTS(filters);
	fleet_runner_t *runner = NULL;

	for (size_t i = 0; i < count && !runner; i++)
		runner = pick_filtered(fleet, pick, &filters[i]);
	return runner;
}

bool fleet_has_healthy(fleet_t *fleet, const fleet_pick_options_t *pick)
{
	const candidate_filter_t healthy = { .ejected = false, .tried = false };

	return pick_filtered(fleet, pick, &healthy) != NULL;
}

static void note_sent(fleet_t *fleet, fleet_runner_t *runner, bool repeated)
{
	runner_limit_t *limit = &runner->limit;

	limit->sent++;
	limit->repeats += repeated;
	limit->sent_us = clock_now_us(fleet->clock);
	runner_limit_sent(limit, 1, fleet->limit_share, limit->sent_us);
}

fleet_runner_t *fleet_acquire(fleet_t *fleet, const fleet_pick_options_t *pick)
{
	fleet_runner_t *runner = preferred_runner(fleet, pick);

	if (!runner)
		runner = pick_runner(fleet, pick);
	if (!runner)
		return NULL;
	runner->refs++;
	/* A request through another node is no probe of a lost domain, and must
	 * not delay the next one. */
	if (!fleet->probed)
		domain_contact_probed(&runner->domain_state->contact,
				      clock_now_us(fleet->clock));
	note_sent(fleet, runner, pick->tried_count > 0 || pick->repeated);
	fleet_try_size(fleet, runner, pick->tokens);
	if (pick->batch)
		runner->own.batch++;
	else
		runner->own.online++;
	fleet_load_changed(fleet);
	return runner;
}

void fleet_release(fleet_t *fleet, fleet_runner_t *runner, bool batch)
{
	uint32_t *count = batch ? &runner->own.batch : &runner->own.online;

	if (*count > 0)
		(*count)--;
	fleet_load_changed(fleet);
	fleet_runner_unref(runner);
}

int32_t fleet_wait_ms(fleet_t *fleet, const char *service, uint64_t version_key)
{
	const fleet_pick_options_t pick = { .service = service,
					    .version_key = version_key };
	const fleet_runner_t *runner = pick_runner(fleet, &pick);
	double ahead;

	if (!runner)
		return INT32_MAX;
	ahead = (double)online_of(runner) - runner->slots + 1;
	if (ahead <= 0)
		return 0;
	return (int32_t)(ahead * TYPICAL_WORK_MS / MAX(runner->slots, 1) *
			 slowness_of(fleet, runner));
}

/* A free slot of a runner. */
typedef struct free_slot {
	double cost; /* of the runner with the slots before it in use */
	uint64_t runner;
} free_slot_t;

static gint by_cost(gconstpointer a, gconstpointer b)
{
	const free_slot_t *x = a;
	const free_slot_t *y = b;

	if (x->cost != y->cost)
		return x->cost < y->cost ? -1 : 1;
	return x->runner < y->runner ? -1 : x->runner > y->runner;
}

uint32_t fleet_list_free_slots(fleet_t *fleet, const char *service,
			       GArray *keys)
{
	bool local_only = keeps_batch_local(fleet, service);
	uint32_t reserve = limit_reserve(fleet, service);
	GArray *slots = g_array_new(FALSE, FALSE, sizeof(free_slot_t));
	uint32_t total_slots = 0;

	for (guint i = 0; i < fleet->listed->len; i++) {
		const fleet_runner_t *runner = fleet->listed->pdata[i];
		double slowness = slowness_of(fleet, runner);
		uint32_t room;

		if (!fleet_is_usable(runner, service) ||
		    fleet_is_ejected(fleet, runner) ||
		    (local_only && fleet_is_remote(fleet, runner)))
			continue;
		total_slots += runner->slots;
		room = batch_room(fleet, runner, reserve);
		for (uint32_t load = load_of(runner); room > 0;
		     load++, room--) {
			const free_slot_t slot = { (load + 1) * slowness -
							   limited_gain(runner),
						   runner->key };

			g_array_append_val(slots, slot);
		}
	}
	g_array_sort(slots, by_cost);
	for (guint i = 0; i < slots->len; i++)
		g_array_append_val(keys,
				   g_array_index(slots, free_slot_t, i).runner);
	g_array_free(slots, TRUE);
	return total_slots;
}

void fleet_succeeded(fleet_t *fleet, fleet_runner_t *runner)
{
	runner->failures = 0;
	runner->ejected_until_us = 0;
}

void fleet_failed(fleet_t *fleet, fleet_runner_t *runner)
{
	int64_t duration_ms = EJECTION_FIRST_MS;

	for (uint32_t i = 0;
	     i < runner->failures && duration_ms < EJECTION_MAX_MS; i++)
		duration_ms *= 2;
	runner->failures++;
	runner->ejected_until_us =
		clock_now_us(fleet->clock) + duration_ms * 1000;
}

void fleet_eject_briefly(fleet_t *fleet, fleet_runner_t *runner)
{
	runner->ejected_until_us =
		MAX(runner->ejected_until_us,
		    clock_now_us(fleet->clock) + EJECTION_FIRST_MS * 1000);
}

void fleet_lost_request(fleet_t *fleet, fleet_runner_t *runner)
{
	int64_t now_us = clock_now_us(fleet->clock);
	bool was_failing = is_failing(runner, now_us);

	fleet_failed(fleet, runner);
	failure_record_add(&runner->local_failures, now_us);
	if (!was_failing && is_failing(runner, now_us))
		log_warn(
			"runner_loses_requests",
			"runner=%s failures_percent=%u peers_percent=%u "
			"online=%u",
			runner->id,
			failure_record_percent(&runner->local_failures, now_us),
			runner->peer_failures_percent, online_of(runner));
	fleet_load_changed(fleet);
}

void fleet_set_draining(fleet_t *fleet, fleet_runner_t *runner)
{
	runner->draining = true;
}

void fleet_set_leaving(fleet_t *fleet, fleet_runner_t *runner)
{
	if (runner->leaving)
		return;
	log_info("runner_leaving",
		 "runner=%s was_draining=%d online=%u "
		 "batch=%u",
		 runner->id, runner->draining, online_of(runner),
		 runner->own.batch + runner->peers.batch);
	runner->leaving = true;
	runner->draining = true;
	fleet_load_changed(fleet);
}

void fleet_report_slowness(fleet_t *fleet, fleet_runner_t *runner,
			   uint32_t percent)
{
	runner->slowness_percent = percent;
	runner->slowness_us = clock_now_us(fleet->clock);
	runner->slowness_from_runner = true;
}

fleet_load_t fleet_runner_load(const fleet_runner_t *runner)
{
	return (fleet_load_t){
		.online = runner->own.online + runner->peers.online,
		.batch = runner->own.batch + runner->peers.batch,
	};
}

uint32_t fleet_batch_excess(const fleet_runner_t *runner, double draw)
{
	uint32_t load = load_of(runner);
	uint32_t batch = runner->own.batch + runner->peers.batch;
	double share;
	uint32_t to_preempt;

	if (load <= runner->slots || runner->own.batch == 0)
		return 0;
	/* Each node preempts its share of the excess. The fraction is rounded
	 * up at random, so that the sum over the nodes fits on average. */
	share = (double)MIN(load - runner->slots, batch) * runner->own.batch /
		batch;
	to_preempt = (uint32_t)share;
	if (draw < share - to_preempt)
		to_preempt++;
	return MIN(to_preempt, runner->own.batch);
}

void fleet_each_domain(fleet_t *fleet, const char *service,
		       fleet_each_domain_t each, void *user_data)
{
	GHashTableIter iter;
	void *name;
	void *domain;

	sum_domains(fleet, service);
	g_hash_table_iter_init(&iter, fleet->domains);
	while (g_hash_table_iter_next(&iter, &name, &domain))
		each(name, domain, user_data);
}

void fleet_each(fleet_t *fleet, fleet_each_t each, void *user_data)
{
	for (guint i = 0; i < fleet->listed->len; i++)
		each(fleet->listed->pdata[i], user_data);
}

uint32_t fleet_size(const fleet_t *fleet)
{
	return fleet->listed->len;
}
