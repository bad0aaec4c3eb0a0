#include "coord/route.h"

#include <math.h>
#include <string.h>

#include "coord/rendezvous.h"

/* Time in which the slowness loses half of its excess over 1. */
#define SLOWNESS_HALF_LIFE_US 1000000.0
#define MAX_SLOWNESS 100.0
/* A runner is ejected when it is this many times slower than the median of the
 * others. */
#define EJECT_SLOWNESS_FACTOR 4.0
#define EJECT_FAILURE_RATE 0.6
#define FAILURE_GAIN 0.2
#define EJECT_BASE_US 250000
/* A slow runner recovers within seconds and its slots are missing while it is
 * ejected: at four fifths of the load, two ejected runners at a time saturate
 * the others. */
#define EJECT_SLOW_MAX_US 1000000
#define EJECT_FAILING_MAX_US 30000000
#define REFUSED_BASE_US 500000
#define REFUSED_MAX_US 4000000
/* At most this share of the used runners is ejected at the same time. */
#define MAX_EJECTED_SHARE 0.4
/* A runner that misses this many load reports in a row takes requests, if any,
 * without working on them. */
#define SILENT_REPORTS 2
/*
 * A node that hears nothing of its runners refuses requests after this time. A
 * sound runner, or the node itself, may stop for a second; a caller that is
 * refused can go to another node.
 */
#define CUT_OFF_US 2000000
/* Ejections no longer count after this time without a new one. */
#define EJECTION_RESET_US 5000000
/* Number of unanswered requests whose age is checked; the oldest ones show the
 * most. */
#define MAX_UNANSWERED_CHECKED 4
/* Typical time before anything was observed. */
#define DEFAULT_TYPICAL_US 200000.0
#define TYPICAL_GAIN 0.05
#define IN_FLIGHT_HALF_LIFE_US 1000000.0
/* Prefix affinity ends when the load of the preferred runner exceeds about this
 * multiple of the best runner's. */
#define AFFINITY_FACTOR 1.5

typedef route_runner_t *(*route_policy_choose_t)(
	route_t *route, const GPtrArray *usable,
	const route_request_t *request);

typedef struct route_policy {
	const char *name;
	route_policy_choose_t choose;
	bool adaptive; /* ejects and probes */
} route_policy_t;

struct route {
	route_options_t options;
	const route_policy_t *policy;
	GPtrArray *runners; /* all, route_runner_t */
	GPtrArray *local; /* used first */
	GPtrArray *spillover; /* used when all local ones are full */
	GPtrArray *usable; /* temporary result of collect_usable() */
	double typical_us[ROUTE_CLASSES];
	uint32_t rotation;
};

static int64_t now_us(const route_t *route)
{
	return clock_now_us(route->options.clock);
}

static double typical_us(const route_t *route, uint32_t class_index)
{
	double typical = route->typical_us[class_index];

	return typical > 0 ? typical : DEFAULT_TYPICAL_US;
}

/* Slowness decays towards 1, so that a runner without requests recovers. */
static double decayed_slowness(const route_runner_t *runner, int64_t at_us)
{
	double age_us = (double)(at_us - runner->slowness_us);

	return 1 +
	       (runner->slowness - 1) * exp2(-age_us / SLOWNESS_HALF_LIFE_US);
}

static double slowness_of(const route_t *route, const route_runner_t *runner,
			  int64_t at_us)
{
	double slowness = decayed_slowness(runner, at_us);
	GList *link = runner->unanswered.head;

	for (int i = 0; link && i < MAX_UNANSWERED_CHECKED; i++) {
		const route_attempt_t *attempt = link->data;
		double age_us = (double)(at_us - attempt->started_us);

		slowness =
			MAX(slowness,
			    age_us / typical_us(route, attempt->class_index));
		link = link->next;
	}
	return MIN(slowness, MAX_SLOWNESS);
}

/* A higher ratio counts immediately, a lower one gradually. */
static void observe(const route_t *route, route_runner_t *runner,
		    uint32_t class_index, int64_t took_us)
{
	int64_t at_us = now_us(route);
	double ratio = (double)took_us / typical_us(route, class_index);
	double current = decayed_slowness(runner, at_us);

	if (ratio > current)
		runner->slowness = MIN(ratio, MAX_SLOWNESS);
	else
		runner->slowness = current + 0.2 * (ratio - current);
	runner->slowness_us = at_us;
}

static void update_typical(route_t *route, uint32_t class_index,
			   int64_t took_us)
{
	double *typical = &route->typical_us[class_index];

	if (*typical == 0)
		*typical = (double)took_us;
	/* Clamped, because outliers must not change the typical time much. */
	*typical +=
		TYPICAL_GAIN * (MIN((double)took_us, *typical * 2) - *typical);
	*typical = MAX(*typical, 1);
}

static uint32_t load_of(const route_runner_t *runner)
{
	return runner->in_flight + runner->others_in_flight;
}

static bool is_full(const route_runner_t *runner)
{
	return runner->slots > 0 && load_of(runner) >= runner->slots;
}

static bool takes_work(const route_runner_t *runner, int64_t at_us)
{
	return !runner->draining && at_us >= runner->blocked_until_us &&
	       !(runner->on_probation && runner->in_flight > 0);
}

static bool is_excluded(const route_runner_t *runner,
			const route_request_t *request)
{
	for (uint32_t i = 0; i < request->exclude_count; i++)
		if (request->exclude[i] == runner)
			return true;
	return false;
}

bool route_is_silent(const route_runner_t *runner)
{
	return runner->missed_reports >= SILENT_REPORTS;
}

static void collect_usable(route_t *route, const GPtrArray *from,
			   const route_request_t *request, bool skip_full,
			   bool skip_silent)
{
	int64_t at_us = now_us(route);

	g_ptr_array_set_size(route->usable, 0);
	for (guint i = 0; i < from->len; i++) {
		route_runner_t *runner = from->pdata[i];

		if (takes_work(runner, at_us) &&
		    !is_excluded(runner, request) &&
		    !(skip_full && is_full(runner)) &&
		    !(skip_silent && route_is_silent(runner)))
			g_ptr_array_add(route->usable, runner);
	}
}

static route_runner_t *choose_random(route_t *route, const GPtrArray *usable,
				     const route_request_t *request)
{
	gint32 index =
		g_rand_int_range(route->options.random, 0, (gint32)usable->len);

	return usable->pdata[index];
}

static route_runner_t *choose_round_robin(route_t *route,
					  const GPtrArray *usable,
					  const route_request_t *request)
{
	return usable->pdata[route->rotation++ % usable->len];
}

static route_runner_t *choose_least_reported(route_t *route,
					     const GPtrArray *usable,
					     const route_request_t *request)
{
	guint start = route->rotation++ % usable->len;
	route_runner_t *best = NULL;

	/* The start rotates; otherwise the first runner would win all ties. */
	for (guint i = 0; i < usable->len; i++) {
		route_runner_t *runner =
			usable->pdata[(start + i) % usable->len];

		if (!best || runner->reported_load < best->reported_load)
			best = runner;
	}
	return best;
}

static double cost_of(const route_t *route, const route_runner_t *runner,
		      int64_t at_us)
{
	double load = load_of(runner) + 1;

	if (runner->slots > 0)
		load /= runner->slots;
	/* Up to twice the typical time is measurement noise. */
	return load * MAX(slowness_of(route, runner, at_us), 2) /
	       (1 - MIN(runner->failure_rate, 0.9));
}

static const route_runner_t *preferred_by_prefix(const GPtrArray *usable,
						 uint64_t prefix_hash)
{
	const route_runner_t *best = NULL;
	uint64_t best_weight = 0;

	for (guint i = 0; i < usable->len; i++) {
		const route_runner_t *runner = usable->pdata[i];
		uint64_t weight = rendezvous_hash(
			runner->address, strlen(runner->address), prefix_hash);

		if (!best || weight > best_weight) {
			best = runner;
			best_weight = weight;
		}
	}
	return best;
}

static route_runner_t *choose_observed(route_t *route, const GPtrArray *usable,
				       const route_request_t *request)
{
	int64_t at_us = now_us(route);
	guint start = route->rotation++ % usable->len;
	route_runner_t *best = NULL;
	double best_cost = 0;
	const route_runner_t *preferred;
	uint32_t best_load;

	for (guint i = 0; i < usable->len; i++) {
		route_runner_t *runner =
			usable->pdata[(start + i) % usable->len];
		double cost = cost_of(route, runner, at_us);

		if (!best || cost < best_cost) {
			best = runner;
			best_cost = cost;
		}
	}
	if (request->prefix_hash == 0)
		return best;
	preferred = preferred_by_prefix(usable, request->prefix_hash);
	best_load = load_of(best);
	if (!is_full(preferred) &&
	    load_of(preferred) <= best_load * AFFINITY_FACTOR + 1 &&
	    slowness_of(route, preferred, at_us) < 2)
		return (route_runner_t *)preferred;
	return best;
}

static const route_policy_t policies[] = {
	{ "observed", choose_observed, true },
	{ "random", choose_random, false },
	{ "round-robin", choose_round_robin, false },
	{ "least-reported", choose_least_reported, false },
};

static const route_policy_t *find_policy(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++)
		if (strcmp(policies[i].name, name) == 0)
			return &policies[i];
	return NULL;
}

bool route_policy_exists(const char *name)
{
	return find_policy(name) != NULL;
}

static void runner_free(void *data)
{
	route_runner_t *runner = data;

	g_free(runner->address);
	g_free(runner->domain);
	g_free(runner);
}

route_t *route_new(const route_options_t *options)
{
	route_t *route = g_new0(route_t, 1);

	route->options = *options;
	route->options.node = g_strdup(options->node);
	route->options.domain = g_strdup(options->domain);
	route->policy =
		find_policy(options->policy ? options->policy : "observed");
	g_assert(route->policy);
	route->runners = g_ptr_array_new_with_free_func(runner_free);
	route->local = g_ptr_array_new();
	route->spillover = g_ptr_array_new();
	route->usable = g_ptr_array_new();
	return route;
}

void route_free(route_t *route)
{
	if (!route)
		return;
	g_ptr_array_free(route->local, TRUE);
	g_ptr_array_free(route->spillover, TRUE);
	g_ptr_array_free(route->usable, TRUE);
	g_ptr_array_free(route->runners, TRUE);
	g_free((char *)route->options.node);
	g_free((char *)route->options.domain);
	g_free(route);
}

static route_runner_t *find_runner(const route_t *route, const char *address)
{
	for (guint i = 0; i < route->runners->len; i++) {
		route_runner_t *runner = route->runners->pdata[i];

		if (strcmp(runner->address, address) == 0)
			return runner;
	}
	return NULL;
}

static void add_runner(route_t *route, const route_candidate_t *candidate)
{
	route_runner_t *runner = find_runner(route, candidate->address);

	if (!runner) {
		runner = g_new0(route_runner_t, 1);
		runner->address = g_strdup(candidate->address);
		runner->domain = g_strdup(candidate->domain);
		runner->weight = rendezvous_weight(route->options.node,
						   candidate->address);
		runner->slowness = 1;
		g_queue_init(&runner->unanswered);
		g_ptr_array_add(route->runners, runner);
	}
	runner->draining = false;
}

static gint by_weight(gconstpointer a, gconstpointer b)
{
	const route_runner_t *left = *(route_runner_t *const *)a;
	const route_runner_t *right = *(route_runner_t *const *)b;

	if (left->weight == right->weight)
		return strcmp(left->address, right->address);
	return left->weight > right->weight ? -1 : 1;
}

static void split_subsets(route_t *route)
{
	uint32_t moved = 0;

	g_ptr_array_set_size(route->local, 0);
	g_ptr_array_set_size(route->spillover, 0);
	g_ptr_array_sort(route->runners, by_weight);
	for (guint i = 0; i < route->runners->len; i++) {
		route_runner_t *runner = route->runners->pdata[i];
		bool is_local =
			strcmp(runner->domain, route->options.domain) == 0;
		GPtrArray *subset = is_local ? route->local : route->spillover;

		runner->in_subset = !runner->draining &&
				    subset->len < route->options.subset;
		if (runner->in_subset)
			g_ptr_array_add(subset, runner);
	}
	while (route->local->len < route->options.min_local &&
	       moved < route->spillover->len)
		g_ptr_array_add(route->local, route->spillover->pdata[moved++]);
	if (moved > 0)
		g_ptr_array_remove_range(route->spillover, 0, moved);
	for (guint i = 0; i < route->runners->len; i++)
		((route_runner_t *)route->runners->pdata[i])->used_first =
			false;
	for (guint i = 0; i < route->local->len; i++)
		((route_runner_t *)route->local->pdata[i])->used_first = true;
}

void route_update(route_t *route, const route_candidate_t *candidates,
		  uint32_t count)
{
	for (guint i = 0; i < route->runners->len; i++)
		((route_runner_t *)route->runners->pdata[i])->draining = true;
	for (uint32_t i = 0; i < count; i++)
		add_runner(route, &candidates[i]);
	for (guint i = 0; i < route->runners->len;) {
		const route_runner_t *runner = route->runners->pdata[i];

		if (runner->draining && runner->in_flight == 0)
			g_ptr_array_remove_index_fast(route->runners, i);
		else
			i++;
	}
	split_subsets(route);
}

const GPtrArray *route_subset(const route_t *route)
{
	return route->local;
}

const GPtrArray *route_runners(const route_t *route)
{
	return route->runners;
}

/*
 * A runner that accepts no new request, or one at a time, still holds those in
 * flight: these must not use the slots of the other runners.
 */
static uint32_t capacity_of(const route_runner_t *runner, uint32_t slots,
			    int64_t at_us)
{
	if (runner->draining || at_us < runner->blocked_until_us)
		return runner->in_flight;
	if (runner->on_probation)
		return MAX(runner->in_flight, 1);
	return slots - MIN(runner->others_in_flight, slots);
}

uint32_t route_capacity(const route_t *route, uint32_t default_slots,
			uint32_t nodes)
{
	int64_t at_us = now_us(route);
	uint32_t capacity = 0;
	uint32_t all = 0;

	for (guint i = 0; i < route->runners->len; i++) {
		const route_runner_t *runner = route->runners->pdata[i];
		uint32_t slots = runner->slots ? runner->slots : default_slots;

		if (!runner->in_subset && runner->in_flight == 0)
			continue;
		if (takes_work(runner, at_us) && !runner->on_probation)
			all += slots;
		capacity += capacity_of(runner, slots, at_us);
	}
	return MAX(capacity, (all + nodes - 1) / MAX(nodes, 1));
}

route_runner_t *route_select(route_t *route, const route_request_t *request)
{
	collect_usable(route, route->local, request, true, true);
	if (route->usable->len == 0)
		collect_usable(route, route->spillover, request, true, true);
	if (route->usable->len == 0)
		collect_usable(route, route->local, request, false, true);
	if (route->usable->len == 0)
		collect_usable(route, route->spillover, request, false, true);
	if (route->usable->len == 0)
		collect_usable(route, route->local, request, false, false);
	if (route->usable->len == 0)
		return NULL;
	return route->policy->choose(route, route->usable, request);
}

static bool may_eject_more(const route_t *route, int64_t at_us)
{
	uint32_t ejected = 0;

	for (guint i = 0; i < route->local->len; i++) {
		const route_runner_t *runner = route->local->pdata[i];

		ejected += at_us < runner->blocked_until_us;
	}
	return ejected + 1 <= route->local->len * MAX_EJECTED_SHARE;
}

/* Blocks the runner for a time that doubles with each consecutive block. */
static void block(route_runner_t *runner, int64_t at_us, uint32_t times,
		  int64_t base_us, int64_t max_us)
{
	int64_t wait_us = base_us << MIN(times, 6);

	runner->blocked_until_us = at_us + MIN(wait_us, max_us);
	runner->on_probation = true;
	runner->healthy_since_us = 0;
}

static int compare_doubles(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

#define MAX_COMPARED 64

/* Computes the medians of the runners that are not blocked, without this
 * one. */
static bool medians_of_others(const route_t *route,
			      const route_runner_t *runner, int64_t at_us,
			      double *slowness, double *failure_rate)
{
	double slow[MAX_COMPARED];
	double failing[MAX_COMPARED];
	size_t count = 0;

	for (guint i = 0; i < route->local->len && count < MAX_COMPARED; i++) {
		const route_runner_t *other = route->local->pdata[i];

		if (other == runner || at_us < other->blocked_until_us)
			continue;
		slow[count] = slowness_of(route, other, at_us);
		failing[count++] = other->failure_rate;
	}
	if (count == 0)
		return false;
	qsort(slow, count, sizeof(slow[0]), compare_doubles);
	qsort(failing, count, sizeof(failing[0]), compare_doubles);
	*slowness = MAX(slow[count / 2], 1);
	*failure_rate = failing[count / 2];
	return true;
}

static bool is_outlier(const route_t *route, const route_runner_t *runner,
		       int64_t at_us)
{
	double slowness = slowness_of(route, runner, at_us);
	double others_slowness;
	double others_failure_rate;

	if (slowness < EJECT_SLOWNESS_FACTOR &&
	    runner->failure_rate < EJECT_FAILURE_RATE)
		return false;
	if (!medians_of_others(route, runner, at_us, &others_slowness,
			       &others_failure_rate))
		return false;
	return slowness >= EJECT_SLOWNESS_FACTOR * others_slowness ||
	       (runner->failure_rate >= EJECT_FAILURE_RATE &&
		runner->failure_rate > 2 * others_failure_rate);
}

static void eject_outlier(const route_t *route, route_runner_t *runner)
{
	int64_t at_us = now_us(route);

	if (!route->policy->adaptive || at_us < runner->blocked_until_us ||
	    !is_outlier(route, runner, at_us) || !may_eject_more(route, at_us))
		return;
	block(runner, at_us, runner->ejections++, EJECT_BASE_US,
	      runner->failure_rate >= EJECT_FAILURE_RATE ?
		      EJECT_FAILING_MAX_US :
		      EJECT_SLOW_MAX_US);
	runner->failure_rate = 0;
}

/* To be called before each change of in_flight. */
static void update_in_flight_mean(route_runner_t *runner, int64_t at_us)
{
	double age_us = (double)(at_us - runner->in_flight_us);

	runner->in_flight_mean += (runner->in_flight - runner->in_flight_mean) *
				  (1 - exp2(-age_us / IN_FLIGHT_HALF_LIFE_US));
	runner->in_flight_us = at_us;
}

static void end_probation(route_runner_t *runner, int64_t at_us)
{
	runner->on_probation = false;
	if (runner->healthy_since_us == 0)
		runner->healthy_since_us = at_us;
	if (at_us - runner->healthy_since_us > EJECTION_RESET_US)
		runner->ejections = 0;
}

void route_begin(route_t *route, route_attempt_t *attempt,
		 route_runner_t *runner, uint32_t class_index)
{
	attempt->runner = runner;
	attempt->class_index = class_index;
	attempt->started_us = now_us(route);
	attempt->answered = false;
	attempt->link = (GList){ .data = attempt };
	update_in_flight_mean(runner, attempt->started_us);
	runner->in_flight++;
	g_queue_push_tail_link(&runner->unanswered, &attempt->link);
}

static void remove_unanswered(route_attempt_t *attempt)
{
	if (attempt->answered)
		return;
	attempt->answered = true;
	g_queue_unlink(&attempt->runner->unanswered, &attempt->link);
}

int64_t route_answered(route_t *route, route_attempt_t *attempt)
{
	int64_t at_us = now_us(route);
	int64_t took_us = at_us - attempt->started_us;
	route_runner_t *runner = attempt->runner;

	if (attempt->answered)
		return took_us;
	remove_unanswered(attempt);
	runner->missed_reports = 0;
	route_heard(runner);
	observe(route, runner, attempt->class_index, took_us);
	update_typical(route, attempt->class_index, took_us);
	runner->refusals = 0;
	if (runner->on_probation && at_us >= runner->blocked_until_us &&
	    (double)took_us < 2 * typical_us(route, attempt->class_index))
		runner->slowness = 1;
	eject_outlier(route, runner);
	if (at_us >= runner->blocked_until_us)
		end_probation(runner, at_us);
	return took_us;
}

void route_finish(route_t *route, route_attempt_t *attempt,
		  route_outcome_t outcome, int64_t retry_after_ms)
{
	route_runner_t *runner = attempt->runner;
	int64_t at_us = now_us(route);
	int64_t age_us = at_us - attempt->started_us;

	/* An attempt that was abandoned unanswered was at least as slow as its
	 * age. */
	if (!attempt->answered && outcome == ROUTE_OUTCOME_NEUTRAL &&
	    (double)age_us > typical_us(route, attempt->class_index))
		observe(route, runner, attempt->class_index, age_us);
	remove_unanswered(attempt);
	update_in_flight_mean(runner, at_us);
	runner->in_flight--;
	attempt->runner = NULL;
	if (outcome == ROUTE_OUTCOME_REFUSED) {
		block(runner, at_us, runner->refusals++,
		      MAX(REFUSED_BASE_US, retry_after_ms * 1000),
		      MAX(REFUSED_MAX_US, retry_after_ms * 1000));
		return;
	}
	if (outcome != ROUTE_OUTCOME_NEUTRAL)
		runner->failure_rate +=
			FAILURE_GAIN * ((outcome == ROUTE_OUTCOME_FAILED) -
					runner->failure_rate);
	eject_outlier(route, runner);
}

int64_t route_unanswered_us(const route_t *route, const route_runner_t *runner)
{
	const route_attempt_t *oldest =
		g_queue_peek_head((GQueue *)&runner->unanswered);

	return oldest ? now_us(route) - oldest->started_us : 0;
}

route_question_t route_ask(const route_t *route, const route_runner_t *runner)
{
	return (route_question_t){ .asked_us = now_us(route),
				   .heard = runner->heard };
}

void route_unheard(route_runner_t *runner, const route_question_t *question)
{
	if (runner->heard != question->heard)
		return;
	if (runner->unheard_questions++ == 0)
		runner->unheard_since_us = question->asked_us;
}

void route_heard(route_runner_t *runner)
{
	runner->heard++;
	runner->unheard_questions = 0;
}

static bool are_unheard(const GPtrArray *runners, int64_t at_us)
{
	for (guint i = 0; i < runners->len; i++) {
		const route_runner_t *runner = runners->pdata[i];

		if (runner->unheard_questions < SILENT_REPORTS ||
		    at_us - runner->unheard_since_us < CUT_OFF_US)
			return false;
	}
	return true;
}

bool route_is_cut_off(const route_t *route)
{
	int64_t at_us;

	if (route->local->len + route->spillover->len == 0)
		return false;
	at_us = now_us(route);
	return are_unheard(route->local, at_us) &&
	       are_unheard(route->spillover, at_us);
}

void route_report_missed(route_runner_t *runner)
{
	runner->missed_reports++;
}

void route_report(const route_t *route, route_runner_t *runner,
		  uint32_t running, uint32_t queued, uint32_t slots)
{
	uint32_t total = running + queued;
	double others;

	update_in_flight_mean(runner, now_us(route));
	/* The report is older than this node's own count, so a small difference
	 * is noise. */
	others = total - runner->in_flight_mean * 1.2 - 1;
	runner->missed_reports = 0;
	route_heard(runner);
	runner->reported_load = total;
	runner->slots = slots;
	runner->others_in_flight = others > 0 ? (uint32_t)others : 0;
}
