#include "gateway/fleet.h"

#include <math.h>
#include <string.h>

#include "base/log.h"

#define FNV_OFFSET 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL
/* A runner is avoided this long after a failure, doubled for each further one
 * in a row. */
#define AVOID_FIRST_MS 400
#define AVOID_MAX_MS 6400
/* The machines' load changes within some hundred ms; an older report says
 * little about the present. */
#define SLOWNESS_FRESH_MS 400
/* Work time of a usual online request; sets how long a waiting one waits. */
#define USUAL_WORK_MS 700
/* Cost of a request at a runner in another domain, in places. */
#define FAR_COST 0.6
#define FAR_LATE_COST 3.0
/* With load of other domains known late, online requests leave their domain
 * only if its runners have this many more than the other's, on average. Below,
 * all nodes would send to what was free a quarter of a second ago. */
#define FAR_LATE_MARGIN 2.0
/* Random part of the cost, so that nodes do not all choose the same runner. */
#define TIE_COST 2.0

struct fleet {
	const clock_source_t *clock;
	GRand *random;
	char *domain;
	GHashTable *by_key; /* uint64_t -> fleet_runner_t, listed */
	GPtrArray *listed; /* the same, for iteration */
	GHashTable *domains; /* name -> fleet_domain_t */
	fleet_domain_t *near; /* of this node */
	void (*load_changed)(void *user_data);
	void *user_data;
	bool far_late;
};

static void runner_unref(void *data)
{
	fleet_runner_t *runner = data;

	if (--runner->refs > 0)
		return;
	g_free(runner->id);
	g_free(runner->address);
	g_free(runner->service);
	g_free(runner->domain);
	g_free(runner);
}

uint64_t fleet_key(const char *id)
{
	uint64_t hash = FNV_OFFSET;

	for (const char *c = id; *c; c++)
		hash = (hash ^ (uint8_t)*c) * FNV_PRIME;
	return hash;
}

static fleet_domain_t *domain_of(fleet_t *fleet, const char *name)
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
	fleet->random = options->random;
	fleet->domain = g_strdup(options->domain);
	fleet->load_changed = options->load_changed;
	fleet->user_data = options->user_data;
	fleet->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
	fleet->listed = g_ptr_array_new_with_free_func(runner_unref);
	fleet->domains =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->near = domain_of(fleet, fleet->domain);
	return fleet;
}

void fleet_free(fleet_t *fleet)
{
	if (!fleet)
		return;
	g_hash_table_destroy(fleet->by_key);
	g_ptr_array_free(fleet->listed, TRUE);
	g_hash_table_destroy(fleet->domains);
	g_free(fleet->domain);
	g_free(fleet);
}

fleet_runner_t *fleet_find(fleet_t *fleet, uint64_t key)
{
	return g_hash_table_lookup(fleet->by_key, &key);
}

static void unlist(fleet_t *fleet, fleet_runner_t *runner)
{
	runner->listed = false;
	runner->leaving = true;
	g_hash_table_remove(fleet->by_key, &runner->key);
	g_ptr_array_remove_fast(fleet->listed, runner);
}

static void replace_string(char **target, const char *value)
{
	if (g_strcmp0(*target, value) == 0)
		return;
	g_free(*target);
	*target = g_strdup(value);
}

static fleet_runner_t *runner_add(fleet_t *fleet, const fleet_entry_t *entry)
{
	fleet_runner_t *runner = g_new0(fleet_runner_t, 1);

	runner->id = g_strdup(entry->id);
	runner->key = fleet_key(entry->id);
	runner->started_ms = entry->started_ms;
	runner->slowness_percent = 100;
	runner->listed = true;
	runner->refs = 1;
	g_hash_table_insert(fleet->by_key, &runner->key, runner);
	g_ptr_array_add(fleet->listed, runner);
	return runner;
}

void fleet_update(fleet_t *fleet, const fleet_entry_t *entry)
{
	fleet_runner_t *runner = fleet_find(fleet, fleet_key(entry->id));

	/* A new start under the same id knows nothing of the requests before. */
	if (runner && runner->started_ms < entry->started_ms) {
		unlist(fleet, runner);
		runner = NULL;
	}
	if (!runner)
		runner = runner_add(fleet, entry);
	replace_string(&runner->address, entry->address);
	replace_string(&runner->service, entry->service);
	replace_string(&runner->domain, entry->domain);
	runner->home = domain_of(fleet, runner->domain);
	runner->slots = entry->slots;
	runner->leaving = entry->leaving;
	runner->gone_at_us = 0;
}

void fleet_lapse(fleet_t *fleet, const char *id, int64_t until_us)
{
	fleet_runner_t *runner = fleet_find(fleet, fleet_key(id));

	if (!runner)
		return;
	if (runner->leaving)
		unlist(fleet, runner);
	else
		runner->gone_at_us = until_us;
}

void fleet_expire(fleet_t *fleet)
{
	int64_t now_us = clock_now_us(fleet->clock);

	for (guint i = fleet->listed->len; i-- > 0;) {
		fleet_runner_t *runner = fleet->listed->pdata[i];

		if (runner->gone_at_us && now_us >= runner->gone_at_us)
			unlist(fleet, runner);
	}
}

void fleet_set_far_late(fleet_t *fleet, bool far_late)
{
	fleet->far_late = far_late;
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

	if (!runner->slowness_us || age_us > SLOWNESS_FRESH_MS * 1000 ||
	    runner->slowness_percent <= 100)
		return 1.0;
	return runner->slowness_percent / 100.0;
}

static bool loses_requests(const fleet_runner_t *runner, int64_t now_us)
{
	uint32_t percent =
		failure_record_percent(&runner->failures_here, now_us) +
		runner->peers_failures_percent;

	return failure_record_is_bad(percent, online_of(runner),
				     runner->own.batch + runner->peers.batch);
}

static bool is_avoided(const fleet_t *fleet, const fleet_runner_t *runner)
{
	int64_t now_us = clock_now_us(fleet->clock);

	return runner->gone_at_us || now_us < runner->avoid_until_us ||
	       domain_contact_is_avoided(&runner->home->contact, now_us);
}

static bool is_usable(const fleet_runner_t *runner, const char *service)
{
	return !runner->leaving && strcmp(runner->service, service) == 0;
}

static bool is_far(const fleet_t *fleet, const fleet_runner_t *runner)
{
	return g_strcmp0(runner->domain, fleet->domain) != 0;
}

/* Whether batch work of this node keeps to its domain. */
static bool keeps_near(const fleet_t *fleet, const char *service)
{
	if (!fleet->far_late)
		return false;
	for (guint i = 0; i < fleet->listed->len; i++) {
		const fleet_runner_t *runner = fleet->listed->pdata[i];

		if (is_usable(runner, service) && !is_far(fleet, runner))
			return true;
	}
	return false;
}

/*
 * Cost of one more request in units of places: what is in front of it, more
 * where it would wait, all the more at a slow runner. Batch requests count
 * little for an online one, as they give way.
 */
static double cost_of(fleet_t *fleet, const fleet_runner_t *runner,
		      const fleet_wish_t *wish)
{
	double slots = MAX(runner->slots, 1);
	double load = load_of(runner);
	double online = online_of(runner);
	double cost = load;

	if (load >= slots && !wish->batch)
		cost += slots + 2 * MAX(online - slots + 1, 0);
	cost = (cost + 2) * slowness_of(fleet, runner);
	if (is_far(fleet, runner))
		cost += fleet->far_late ? FAR_LATE_COST : FAR_COST;
	return cost + g_rand_double(fleet->random) * TIE_COST;
}

/* Sums up the load of each domain's sound runners. */
static void survey(fleet_t *fleet, const char *service)
{
	int64_t now_us = clock_now_us(fleet->clock);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, fleet->domains);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		fleet_domain_t *domain = value;

		domain->runners = 0;
		domain->online = 0;
		domain->places = 0;
		domain->free_places = 0;
	}
	for (guint i = 0; i < fleet->listed->len; i++) {
		const fleet_runner_t *runner = fleet->listed->pdata[i];
		fleet_domain_t *domain = runner->home;

		if (!is_usable(runner, service) || is_avoided(fleet, runner))
			continue;
		if (!loses_requests(runner, now_us)) {
			domain->runners++;
			domain->online += online_of(runner);
		}
		domain->places += runner->slots;
		if (load_of(runner) < runner->slots)
			domain->free_places += runner->slots - load_of(runner);
	}
}

/* Online requests at a domain's mean runner; HUGE_VAL without any. */
static double mean_load(const fleet_domain_t *domain)
{
	return domain->runners ? (double)domain->online / domain->runners :
				 HUGE_VAL;
}

/* Whether an online request may leave its domain for the runner. */
static bool is_worth_leaving(const fleet_t *fleet, const fleet_runner_t *runner)
{
	return mean_load(runner->home) + FAR_LATE_MARGIN <=
	       mean_load(fleet->near);
}

static bool has_place(const fleet_runner_t *runner)
{
	return load_of(runner) < runner->slots;
}

static bool was_tried(const fleet_wish_t *wish, const fleet_runner_t *runner)
{
	for (uint32_t i = 0; i < wish->tried_count; i++)
		if (wish->tried[i] == runner->key)
			return true;
	return false;
}

/* Runners that a choice looks at beside those that are sound. */
typedef struct choice_scope {
	bool avoided;
	bool tried;
} choice_scope_t;

static fleet_runner_t *choose(fleet_t *fleet, const fleet_wish_t *wish,
			      const choice_scope_t *scope)
{
	bool near_only = wish->batch && !wish->domain &&
			 keeps_near(fleet, wish->service);
	/* After a failure, any sound runner is better than the same again. */
	bool stay = fleet->far_late && !wish->batch && wish->tried_count == 0;
	int64_t now_us = clock_now_us(fleet->clock);
	fleet_runner_t *best = NULL;
	double best_cost = 0;

	if (stay)
		survey(fleet, wish->service);
	for (guint i = 0; i < fleet->listed->len; i++) {
		fleet_runner_t *runner = fleet->listed->pdata[i];
		double cost;

		if (!is_usable(runner, wish->service))
			continue;
		if (!scope->avoided && is_avoided(fleet, runner))
			continue;
		/* Batch items that have not failed lose no more than a moment
		 * there, and leave the places of sound runners to online
		 * requests. */
		if (!scope->avoided && (!wish->batch || wish->careful) &&
		    loses_requests(runner, now_us))
			continue;
		if (!scope->tried && was_tried(wish, runner))
			continue;
		if (near_only && is_far(fleet, runner))
			continue;
		if (wish->domain && strcmp(runner->domain, wish->domain) != 0)
			continue;
		if (wish->batch && !has_place(runner))
			continue;
		if (stay && is_far(fleet, runner) &&
		    !is_worth_leaving(fleet, runner))
			continue;
		cost = cost_of(fleet, runner, wish);
		if (!best || cost < best_cost) {
			best = runner;
			best_cost = cost;
		}
	}
	return best;
}

static void load_changed(const fleet_t *fleet)
{
	if (fleet->load_changed)
		fleet->load_changed(fleet->user_data);
}

/* The best runner of the soundest scope that has any. */
static fleet_runner_t *choose_any(fleet_t *fleet, const fleet_wish_t *wish)
{
	static const choice_scope_t scopes[] = {
		{ .avoided = false, .tried = false },
		{ .avoided = true, .tried = false },
		{ .avoided = true, .tried = true },
	};
	/* Batch work waits for a sound runner. */
	size_t count = wish->batch ? 1 : G_N_ELEMENTS(scopes);
	fleet_runner_t *runner = NULL;

	for (size_t i = 0; i < count && !runner; i++)
		runner = choose(fleet, wish, &scopes[i]);
	return runner;
}

fleet_runner_t *fleet_take(fleet_t *fleet, const fleet_wish_t *wish)
{
	fleet_runner_t *runner = choose_any(fleet, wish);

	if (!runner)
		return NULL;
	runner->refs++;
	domain_contact_tried(&runner->home->contact,
			     clock_now_us(fleet->clock));
	if (wish->batch)
		runner->own.batch++;
	else
		runner->own.online++;
	load_changed(fleet);
	return runner;
}

void fleet_done(fleet_t *fleet, fleet_runner_t *runner, bool batch)
{
	uint32_t *count = batch ? &runner->own.batch : &runner->own.online;

	if (*count > 0)
		(*count)--;
	load_changed(fleet);
	runner_unref(runner);
}

int32_t fleet_wait_ms(fleet_t *fleet, const char *service)
{
	const fleet_wish_t wish = { .service = service };
	const fleet_runner_t *runner = choose_any(fleet, &wish);
	double ahead;

	if (!runner)
		return INT32_MAX;
	ahead = (double)online_of(runner) - runner->slots + 1;
	if (ahead <= 0)
		return 0;
	return (int32_t)(ahead * USUAL_WORK_MS / MAX(runner->slots, 1) *
			 slowness_of(fleet, runner));
}

int32_t fleet_free_places(fleet_t *fleet, const char *service, int32_t *places)
{
	bool near_only = keeps_near(fleet, service);
	int32_t free_places = 0;

	*places = 0;
	for (guint i = 0; i < fleet->listed->len; i++) {
		const fleet_runner_t *runner = fleet->listed->pdata[i];
		uint32_t load = load_of(runner);

		if (!is_usable(runner, service) || is_avoided(fleet, runner) ||
		    (near_only && is_far(fleet, runner)))
			continue;
		*places += (int32_t)runner->slots;
		if (load < runner->slots)
			free_places += (int32_t)(runner->slots - load);
	}
	return free_places;
}

void fleet_answered(fleet_t *fleet, fleet_runner_t *runner)
{
	if (domain_contact_answered(&runner->home->contact))
		log_info("domain_back", "domain=%s runner=%s", runner->domain,
			 runner->id);
}

void fleet_succeeded(fleet_t *fleet, fleet_runner_t *runner)
{
	runner->failures = 0;
	runner->avoid_until_us = 0;
}

void fleet_failed(fleet_t *fleet, fleet_runner_t *runner)
{
	int64_t avoid_ms = AVOID_FIRST_MS;

	for (uint32_t i = 0; i < runner->failures && avoid_ms < AVOID_MAX_MS;
	     i++)
		avoid_ms *= 2;
	runner->failures++;
	runner->avoid_until_us = clock_now_us(fleet->clock) + avoid_ms * 1000;
}

void fleet_lost_request(fleet_t *fleet, fleet_runner_t *runner)
{
	int64_t now_us = clock_now_us(fleet->clock);
	bool was_bad = loses_requests(runner, now_us);

	fleet_failed(fleet, runner);
	failure_record_add(&runner->failures_here, now_us);
	if (!was_bad && loses_requests(runner, now_us))
		log_warn("runner_loses_requests",
			 "runner=%s failures_percent=%u peers_percent=%u "
			 "online=%u",
			 runner->id,
			 failure_record_percent(&runner->failures_here, now_us),
			 runner->peers_failures_percent, online_of(runner));
	load_changed(fleet);
}

void fleet_unreachable(fleet_t *fleet, fleet_runner_t *runner)
{
	fleet_failed(fleet, runner);
	/* Without its own domain a node could serve nothing. */
	if (!is_far(fleet, runner))
		return;
	if (domain_contact_failed(&runner->home->contact, runner->key,
				  clock_now_us(fleet->clock)))
		log_warn("domain_lost",
			 "domain=%s runner=%s pause_ms=%" G_GINT64_FORMAT,
			 runner->domain, runner->id,
			 runner->home->contact.pause_ms);
}

void fleet_leaving(fleet_t *fleet, fleet_runner_t *runner)
{
	runner->leaving = true;
}

void fleet_report_slowness(fleet_t *fleet, fleet_runner_t *runner,
			   uint32_t percent)
{
	runner->slowness_percent = percent;
	runner->slowness_us = clock_now_us(fleet->clock);
	runner->speed_is_own = true;
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
	uint32_t whole;

	if (load <= runner->slots || runner->own.batch == 0)
		return 0;
	/* Each node gives up its share of the excess; the part below one is
	 * given up by chance, so that the sum fits on average. */
	share = (double)MIN(load - runner->slots, batch) * runner->own.batch /
		batch;
	whole = (uint32_t)share;
	if (draw < share - whole)
		whole++;
	return MIN(whole, runner->own.batch);
}

void fleet_each_domain(fleet_t *fleet, const char *service,
		       fleet_each_domain_t each, void *user_data)
{
	GHashTableIter iter;
	void *name;
	void *domain;

	survey(fleet, service);
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
