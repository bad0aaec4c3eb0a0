#include "entry/pool.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "coord/rendezvous.h"

#define TICK_MS 100
#define QUEUE_TICK_MS 10
/* A few load reports per second over all pools bound the bytes per node. */
#define POLL_PERIOD_MS 400
#define POLL_TIMEOUT_MS 1000
#define RUNNER_HASH_SEED 4
/* A runner without requests of this node for this time is not polled. */
#define POLL_IDLE_LIMIT_US 10000000
/* A runner whose oldest request has no answer for this time is polled before
 * others, so that one which is cut off or stopped is noticed. */
#define POLL_UNANSWERED_US 1000000
/* Its poll comes as if the last one had been this much longer ago. */
#define POLL_DOUBTFUL_LEAD_US 5000000
#define DEFAULT_SLOTS 64
#define SUBSET_RUNNERS 16
#define MIN_LOCAL_RUNNERS 3
#define HEDGE_BURST 20
#define HEDGE_MIN_DELAY_US 2000
/*
 * Hedging before there are latency samples: a node that starts while a domain
 * is unreachable would otherwise wait for the stall limit at each runner of
 * that domain.
 */
#define HEDGE_INITIAL_COUNT 3
#define HEDGE_INITIAL_DELAY_US 1000000
/* Histograms are halved at this number of values, so that recent values
 * prevail. */
#define HISTOGRAM_MAX_VALUES 4096

struct pool_table {
	pool_options_t options;
	GHashTable *pools; /* key -> pool_t */
	GHashTable *polled_us; /* address -> time of the last poll, int64_t */
	struct event *tick;
	int64_t last_poll_us; /* of a runner that is not checked */
	int64_t *reports;
	int64_t *check_polls;
	uint32_t checked_runners; /* by the last tick */
	uint32_t polls_pending;
	uint32_t nodes;
	pool_pressure_t pressure;
	void *pressure_data;
};

typedef struct pool_poll {
	pool_table_t *table;
	pool_t *pool;
	char *address;
	route_question_t question;
	int64_t asked_us; /* by part_guard_now_us() */
} pool_poll_t;

static void pool_free(void *data)
{
	pool_t *pool = data;

	event_free(pool->queue_timer);
	admission_free(pool->admission);
	hedge_free(pool->hedge);
	route_free(pool->route);
	rollout_free(pool->rollout);
	g_free(pool->partner);
	g_free(pool->name);
	g_free(pool);
}

static void expire_waiters(pool_t *pool)
{
	admission_ticket_t *ticket;

	while ((ticket = admission_expired(pool->admission))) {
		const pool_waiter_t *waiter = ticket->owner;

		waiter->expired(waiter->owner);
	}
}

/* An admitted request that fails immediately calls this again through
 * pool_release(). */
static void run_queue(pool_t *pool)
{
	admission_ticket_t *ticket;

	if (pool->is_running_queue)
		return;
	pool->is_running_queue = true;
	while ((ticket = admission_next(pool->admission))) {
		const pool_waiter_t *waiter = ticket->owner;

		waiter->admitted(waiter->owner);
	}
	pool->is_running_queue = false;
}

static void arm_queue_timer(pool_t *pool)
{
	struct timeval wait = { 0, QUEUE_TICK_MS * 1000 };

	if (admission_queued(pool->admission) > 0 &&
	    !evtimer_pending(pool->queue_timer, NULL))
		evtimer_add(pool->queue_timer, &wait);
}

static void on_queue_timer(evutil_socket_t fd, short events, void *arg)
{
	pool_t *pool = arg;

	expire_waiters(pool);
	run_queue(pool);
	arm_queue_timer(pool);
}

static void add_counters(pool_t *pool)
{
	counter_set_t *set = pool->table->options.counters;
	char *labels = g_strdup_printf(
		"partner=\"%s\",%s=\"%s\"", pool->partner,
		pool->is_service ? "service" : "deployment", pool->name);
	const struct {
		int64_t **target;
		const char *name;
	} counters[] = {
		{ &pool->requests, "online_requests_total" },
		{ &pool->hedges, "online_hedges_total" },
		{ &pool->hedges_won, "online_hedges_won_total" },
		{ &pool->retries, "online_retries_total" },
		{ &pool->retries_not_run, "online_retries_not_run_total" },
		{ &pool->refused, "online_refused_total" },
		{ &pool->failed, "online_failed_total" },
		{ &pool->refused_cut_off, "online_refused_cut_off_total" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(counters); i++)
		*counters[i].target = counter_get(set, COUNTER_MONOTONIC,
						  counters[i].name, labels);
	g_free(labels);
}

static pool_t *pool_new(pool_table_t *table, const char *partner,
			const char *name, bool is_service)
{
	const pool_options_t *options = &table->options;
	const route_options_t route = { .clock = options->clock,
					.random = options->random,
					.node = options->node_id,
					.domain = options->domain,
					.policy = options->policy,
					.subset = SUBSET_RUNNERS,
					.min_local = MIN_LOCAL_RUNNERS };
	const hedge_options_t hedge = { .share = options->hedge_share,
					.burst = HEDGE_BURST,
					.initial = HEDGE_INITIAL_COUNT,
					.min_delay_us = HEDGE_MIN_DELAY_US,
					.initial_delay_us =
						HEDGE_INITIAL_DELAY_US };
	const admission_options_t admission = {
		.clock = options->clock,
		.max_queue = options->max_queue,
		.max_wait_us = options->max_wait_ms * 1000,
		.first_come = options->first_come,
	};
	const part_guard_options_t guard = { .clock = options->clock,
					     .random = options->random,
					     .counters = options->counters };
	pool_t *pool = g_new0(pool_t, 1);

	pool->table = table;
	pool->partner = g_strdup(partner);
	pool->name = g_strdup(name);
	pool->is_service = is_service;
	pool->route = route_new(&route);
	pool->rollout = rollout_new(options->clock);
	pool->hedge = hedge_new(&hedge);
	pool->part_guard = part_guard_new(&guard);
	pool->admission = admission_new(&admission);
	pool->queue_timer = evtimer_new(options->base, on_queue_timer, pool);
	add_counters(pool);
	return pool;
}

static void refresh_capacity(pool_t *pool)
{
	admission_set_capacity(
		pool->admission,
		route_capacity(pool->route, DEFAULT_SLOTS, pool->table->nodes));
}

static void update_runners(pool_t *pool)
{
	const GPtrArray *found =
		runner_set_find(pool->table->options.runners, pool->partner,
				pool->name, pool->is_service);
	route_candidate_t *candidates =
		g_new(route_candidate_t, found->len + 1);

	for (guint i = 0; i < found->len; i++) {
		const runner_t *runner = found->pdata[i];

		candidates[i].address = runner->address;
		candidates[i].domain = runner->domain;
	}
	route_update(pool->route, candidates, found->len);
	refresh_capacity(pool);
	g_free(candidates);
}

static char *pool_key(const char *partner, const char *name, bool is_service)
{
	return g_strconcat(is_service ? "s/" : "d/", partner, "/", name, NULL);
}

pool_t *pool_find(pool_table_t *table, const char *partner, const char *name,
		  bool is_service)
{
	char *key = pool_key(partner, name, is_service);
	pool_t *pool = g_hash_table_lookup(table->pools, key);

	if (pool) {
		g_free(key);
		return pool;
	}
	pool = pool_new(table, partner, name, is_service);
	g_hash_table_insert(table->pools, key, pool);
	update_runners(pool);
	return pool;
}

bool pool_is_cut_off(const pool_t *pool)
{
	return route_is_cut_off(pool->route);
}

int64_t pool_recheck_ms(const pool_t *pool)
{
	int64_t round_ms = (int64_t)pool->table->checked_runners * TICK_MS;

	return MAX(round_ms, POLL_TIMEOUT_MS) + TICK_MS;
}

uint64_t pool_runner_key(const route_runner_t *runner)
{
	return rendezvous_hash(runner->address, strlen(runner->address),
			       RUNNER_HASH_SEED);
}

static void note_missed_report(const pool_t *pool, route_runner_t *runner)
{
	bool was_silent = route_is_silent(runner);

	route_report_missed(runner);
	if (route_is_silent(runner) && !was_silent)
		log_warn("runner_silent",
			 "deployment=%s runner=%s domain=%s in_flight=%u",
			 pool->name, runner->address, runner->domain,
			 runner->in_flight);
}

static void on_load_report(const http_response_t *response, void *user_data)
{
	pool_poll_t *poll = user_data;
	const GPtrArray *runners = route_runners(poll->pool->route);
	json_t *root = NULL;

	poll->table->polls_pending--;
	if (response->outcome == HTTP_COMPLETE && response->status == 200)
		root = json_loadb(response->body, response->body_len, 0, NULL);
	for (guint i = 0; i < runners->len; i++) {
		route_runner_t *runner = runners->pdata[i];

		if (strcmp(runner->address, poll->address) != 0)
			continue;
		if (response->outcome == HTTP_COMPLETE)
			route_heard(runner);
		else
			route_unheard(runner, &poll->question);
		if (!root) {
			note_missed_report(poll->pool, runner);
			continue;
		}
		++*poll->table->reports;
		part_guard_seen(poll->pool->part_guard, pool_runner_key(runner),
				poll->asked_us);
		route_report(poll->pool->route, runner,
			     (uint32_t)json_integer_value(
				     json_object_get(root, "running")),
			     (uint32_t)json_integer_value(
				     json_object_get(root, "queued")),
			     (uint32_t)json_integer_value(
				     json_object_get(root, "slots")));
	}
	json_decref(root);
	refresh_capacity(poll->pool);
	run_queue(poll->pool);
	g_free(poll->address);
	g_free(poll);
}

/* Whether the runner left its last poll unanswered. */
static bool misses_reports(const route_runner_t *runner)
{
	return runner->missed_reports > 0;
}

/* Whether the runner is polled for whether it answers, and not for its load. */
static bool is_checked(const pool_t *pool, const route_runner_t *runner)
{
	return misses_reports(runner) ||
	       (pool->is_in_doubt && runner->in_subset);
}

static int64_t last_polled_us(const pool_table_t *table,
			      const route_runner_t *runner)
{
	const int64_t *polled_at_us =
		g_hash_table_lookup(table->polled_us, runner->address);

	return polled_at_us ? *polled_at_us : 0;
}

static void poll_load(pool_table_t *table, pool_t *pool,
		      const route_runner_t *runner, int64_t now_us)
{
	pool_poll_t *poll = g_new0(pool_poll_t, 1);
	int64_t *polled_at_us = g_new(int64_t, 1);
	const http_request_options_t options = { .method = "GET",
						 .address = runner->address,
						 .target = "/engine/load",
						 .timeout_ms = POLL_TIMEOUT_MS,
						 .on_done = on_load_report,
						 .user_data = poll };

	*polled_at_us = now_us;
	g_hash_table_insert(table->polled_us, g_strdup(runner->address),
			    polled_at_us);
	poll->table = table;
	poll->pool = pool;
	poll->address = g_strdup(runner->address);
	poll->question = route_ask(pool->route, runner);
	poll->asked_us = part_guard_now_us(pool->part_guard);
	if (is_checked(pool, runner))
		++*table->check_polls;
	else
		table->last_poll_us = now_us;
	table->polls_pending++;
	http_call_start(table->options.http, &options);
}

/* Returns a key by which runners are polled, the lowest first: the time of the
 * last poll, with some precedence. INT64_MAX: not now. */
static int64_t poll_order(const pool_table_t *table, const pool_t *pool,
			  const route_runner_t *runner, int64_t now_us)
{
	int64_t polled_at_us = last_polled_us(table, runner);
	bool is_due = now_us - polled_at_us > POLL_TIMEOUT_MS * 1000LL;
	bool is_doubtful =
		is_checked(pool, runner) ||
		route_unanswered_us(pool->route, runner) > POLL_UNANSWERED_US;

	/* Admission depends on the slots. */
	if (runner->slots == 0 && runner->used_first &&
	    now_us - polled_at_us > POLL_TIMEOUT_MS * 2000LL)
		return 0;
	if (is_doubtful)
		return is_due ? polled_at_us - POLL_DOUBTFUL_LEAD_US :
				INT64_MAX;
	if (!runner->used_first ||
	    now_us - runner->in_flight_us > POLL_IDLE_LIMIT_US)
		return INT64_MAX;
	return polled_at_us;
}

/* Returns the runner that is to be polled next, or NULL. checked: of those that
 * are, or of the others. */
static const route_runner_t *find_runner_to_poll(const pool_table_t *table,
						 pool_t **found_pool,
						 bool checked, int64_t now_us)
{
	const route_runner_t *found = NULL;
	int64_t found_order = INT64_MAX;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, table->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		pool_t *pool = value;
		const GPtrArray *runners = route_runners(pool->route);

		if (pool->is_service)
			continue;
		for (guint i = 0; i < runners->len; i++) {
			const route_runner_t *runner = runners->pdata[i];
			int64_t order = poll_order(table, pool, runner, now_us);

			if (order >= found_order ||
			    is_checked(pool, runner) != checked)
				continue;
			found = runner;
			found_order = order;
			*found_pool = pool;
		}
	}
	return found;
}

/* The two sorts are paced apart: runners that are checked neither keep the others
 * from being polled nor wait for them. */
static void poll_next(pool_table_t *table, int64_t now_us)
{
	pool_t *pool = NULL;
	const route_runner_t *runner =
		find_runner_to_poll(table, &pool, true, now_us);

	if (runner)
		poll_load(table, pool, runner, now_us);
	runner = find_runner_to_poll(table, &pool, false, now_us);
	/* Runners whose slots are unknown are polled faster, one per tick. */
	if (runner && (runner->slots == 0 ||
		       now_us - table->last_poll_us >= POLL_PERIOD_MS * 1000))
		poll_load(table, pool, runner, now_us);
}

static void update_doubt(pool_t *pool)
{
	const GPtrArray *runners = route_subset(pool->route);
	uint32_t missing = 0;

	for (guint i = 0; i < runners->len; i++)
		missing += misses_reports(runners->pdata[i]);
	pool->is_in_doubt = missing > 0 && 2 * missing >= runners->len;
}

static uint32_t count_checked(const pool_t *pool)
{
	const GPtrArray *runners = route_runners(pool->route);
	uint32_t count = 0;

	for (guint i = 0; i < runners->len; i++)
		count += is_checked(pool, runners->pdata[i]);
	return count;
}

static void note_cut_off(pool_t *pool, int64_t now_us)
{
	bool is_cut_off = pool_is_cut_off(pool);

	if (is_cut_off && pool->cut_off_since_us == 0) {
		log_warn("runners_not_reached",
			 "deployment=%s runners=%u queued=%u in_flight=%u",
			 pool->name, route_runners(pool->route)->len,
			 admission_queued(pool->admission),
			 admission_running(pool->admission));
		pool->cut_off_since_us = now_us;
	} else if (!is_cut_off && pool->cut_off_since_us > 0) {
		log_info("runners_reached",
			 "deployment=%s cut_off_ms=%" PRId64
			 " refused_in_all=%" PRId64,
			 pool->name, (now_us - pool->cut_off_since_us) / 1000,
			 *pool->refused_cut_off);
		pool->cut_off_since_us = 0;
	}
}

static void refuse_queued(pool_t *pool)
{
	if (admission_queued(pool->admission) == 0)
		return;
	admission_expire_all(pool->admission);
	expire_waiters(pool);
}

static void on_tick(evutil_socket_t fd, short events, void *arg)
{
	pool_table_t *table = arg;
	int64_t now_us = clock_now_us(table->options.clock);
	struct timeval period = { 0, TICK_MS * 1000 };
	GHashTableIter iter;
	void *value;

	table->checked_runners = 0;
	g_hash_table_iter_init(&iter, table->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		pool_t *pool = value;

		refresh_capacity(pool);
		part_guard_tick(pool->part_guard);
		note_cut_off(pool, now_us);
		if (pool->cut_off_since_us > 0)
			refuse_queued(pool);
		run_queue(pool);
		update_doubt(pool);
		table->checked_runners += count_checked(pool);
	}
	poll_next(table, now_us);
	evtimer_add(table->tick, &period);
}

pool_table_t *pool_table_new(const pool_options_t *options)
{
	pool_table_t *table = g_new0(pool_table_t, 1);
	struct timeval period = { 0, TICK_MS * 1000 };

	table->options = *options;
	table->nodes = 1;
	table->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     pool_free);
	table->polled_us =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	table->reports = counter_get(options->counters, COUNTER_MONOTONIC,
				     "load_reports_total", NULL);
	table->check_polls = counter_get(options->counters, COUNTER_MONOTONIC,
					 "silent_runner_polls_total", NULL);
	table->tick = evtimer_new(options->base, on_tick, table);
	evtimer_add(table->tick, &period);
	return table;
}

void pool_table_free(pool_table_t *table)
{
	if (!table)
		return;
	event_free(table->tick);
	g_hash_table_destroy(table->pools);
	g_hash_table_destroy(table->polled_us);
	g_free(table);
}

void pool_table_update(pool_table_t *table, uint32_t nodes)
{
	GHashTableIter iter;
	void *value;

	table->nodes = MAX(nodes, 1);
	g_hash_table_iter_init(&iter, table->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		update_runners(value);
}

void pool_table_on_pressure(pool_table_t *table, pool_pressure_t pressure,
			    void *user_data)
{
	table->pressure = pressure;
	table->pressure_data = user_data;
}

uint32_t pool_table_in_flight(const pool_table_t *table, const char *runner)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, table->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const GPtrArray *all = route_runners(((pool_t *)value)->route);

		for (guint i = 0; i < all->len; i++) {
			const route_runner_t *known = all->pdata[i];

			if (strcmp(known->address, runner) == 0)
				return known->in_flight;
		}
	}
	return 0;
}

static void write_quantiles(pool_t *pool, const histogram_t *histogram,
			    const char *measured)
{
	static const struct {
		const char *label;
		double quantile;
	} quantiles[] = { { "0.5", 0.5 }, { "0.99", 0.99 } };

	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++) {
		char *labels = g_strdup_printf(
			"partner=\"%s\",deployment=\"%s\",of=\"%s\","
			"quantile=\"%s\"",
			pool->partner, pool->name, measured,
			quantiles[i].label);

		*counter_get(pool->table->options.counters, COUNTER_GAUGE,
			     "online_latency_us", labels) =
			histogram_quantile(histogram, quantiles[i].quantile);
		g_free(labels);
	}
}

void pool_table_write_quantiles(pool_table_t *table)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, table->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		pool_t *pool = value;

		write_quantiles(pool, &pool->first_token_us, "first_token");
		write_quantiles(pool, &pool->response_us, "whole_answer");
	}
}

admission_state_t pool_offer(pool_t *pool, pool_waiter_t *waiter,
			     const char *workspace, double weight,
			     int64_t *retry_after_ms)
{
	admission_state_t state;

	waiter->ticket.owner = waiter;
	state = admission_offer(pool->admission, &waiter->ticket, workspace,
				weight, retry_after_ms);
	arm_queue_timer(pool);
	return state;
}

void pool_release(pool_t *pool, pool_waiter_t *waiter)
{
	admission_release(pool->admission, &waiter->ticket);
	if (admission_queued(pool->admission) > 0)
		run_queue(pool);
}

static void notify_pressure(const pool_t *pool, const route_runner_t *runner)
{
	const pool_table_t *table = pool->table;

	if (table->pressure && !pool->is_service)
		table->pressure(runner->address, runner->in_flight,
				table->pressure_data);
}

void pool_begin(pool_t *pool, route_attempt_t *attempt, route_runner_t *runner,
		uint32_t class_index)
{
	route_begin(pool->route, attempt, runner, class_index);
	notify_pressure(pool, runner);
}

static void add_latency(histogram_t *histogram, int64_t value_us)
{
	histogram_add(histogram, value_us);
	if (histogram->total >= HISTOGRAM_MAX_VALUES)
		histogram_age(histogram);
}

void pool_heard(const route_attempt_t *attempt)
{
	route_heard(attempt->runner);
}

void pool_answered(pool_t *pool, route_attempt_t *attempt)
{
	int64_t latency_us;

	if (attempt->answered)
		return;
	latency_us = route_answered(pool->route, attempt);
	hedge_sample(pool->hedge, attempt->class_index, latency_us);
	if (attempt->class_index == 0)
		add_latency(&pool->first_token_us, latency_us);
}

void pool_finish(pool_t *pool, route_attempt_t *attempt,
		 route_outcome_t route_outcome, int64_t retry_after_ms)
{
	const route_runner_t *runner = attempt->runner;

	if (route_outcome == ROUTE_OUTCOME_ANSWERED)
		add_latency(&pool->response_us,
			    clock_now_us(pool->table->options.clock) -
				    attempt->started_us);
	route_finish(pool->route, attempt, route_outcome, retry_after_ms);
	notify_pressure(pool, runner);
}
