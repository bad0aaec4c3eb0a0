#ifndef WASABILINK_ENTRY_POOL_H
#define WASABILINK_ENTRY_POOL_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "backend/part_guard.h"
#include "backend/runner.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/histogram.h"
#include "coord/admission.h"
#include "coord/hedge.h"
#include "coord/rollout.h"
#include "coord/route.h"
#include "http/http_client.h"

/*
 * pool - the runners of one deployment or plain service as seen by this node:
 * route, hedging, admission queue and latency histograms.
 *
 * The table polls load reports of the runners in use. It limits the polls to a
 * few per second over all pools, so that their cost does not grow with the
 * fleet. A runner that does not answer is polled until it does, with or without
 * requests. When half of the runners that a pool uses first do not, the pool's
 * other runners are polled as well, so that requests need not find out one by one
 * which are silent.
 *
 * A node that hears nothing of any runner of a pool refuses the pool's requests,
 * also the queued ones, as another node may reach the runners.
 */
typedef struct pool_table pool_table_t;
typedef struct pool pool_t;

struct pool {
	pool_table_t *table;
	char *partner;
	char *name; /* of the deployment or service */
	bool is_service;
	route_t *route;
	hedge_t *hedge;
	admission_t *admission;
	rollout_t *rollout;
	part_guard_t *part_guard; /* of messages that crash its runners */
	struct event *queue_timer; /* expires queued requests */
	histogram_t first_token_us; /* recent; of online requests */
	histogram_t response_us; /* recent; complete responses */
	int64_t *requests;
	int64_t *hedges;
	int64_t *hedges_won;
	int64_t *retries;
	int64_t *retries_not_run; /* those after errors marked as not run */
	int64_t *refused;
	int64_t *failed;
	int64_t *refused_cut_off; /* part of those refused */
	int64_t cut_off_since_us; /* 0: a runner is heard */
	bool is_in_doubt; /* half of the runners used first are silent */
	bool is_running_queue; /* guards against recursion */
};

/* A request in the admission queue. Both callbacks are called after
 * pool_offer() has returned, never from within it. */
typedef struct pool_waiter {
	admission_ticket_t ticket;
	void (*admitted)(void *owner);
	/* Waited longer than max_wait_ms, or the pool is cut off. */
	void (*expired)(void *owner);
	void *owner;
} pool_waiter_t;

/* The number of this node's online requests in flight at a runner has
 * changed. */
typedef void (*pool_pressure_t)(const char *runner, uint32_t in_flight,
				void *user_data);

typedef struct pool_options {
	struct event_base *base;
	const clock_source_t *clock;
	GRand *random;
	http_client_t *http;
	runner_set_t *runners;
	counter_set_t *counters;
	const char *node_id;
	const char *domain;
	const char *policy; /* of the route; NULL: observed */
	double hedge_share;
	uint32_t max_queue; /* per pool */
	int64_t max_wait_ms; /* in the admission queue */
	bool first_come; /* one queue for all workspaces, for measurements */
} pool_options_t;

pool_table_t *pool_table_new(const pool_options_t *options);
void pool_table_free(pool_table_t *table);
/* To be called after each change of the runners. nodes: number of entry
 * nodes. */
void pool_table_update(pool_table_t *table, uint32_t nodes);
void pool_table_on_pressure(pool_table_t *table, pool_pressure_t pressure,
			    void *user_data);
/* Returns this node's online requests in flight at a runner. */
uint32_t pool_table_in_flight(const pool_table_t *table, const char *runner);
/* Writes the latency quantiles to gauges. */
void pool_table_write_quantiles(pool_table_t *table);

/* Creates the pool if there is none; never returns NULL. */
pool_t *pool_find(pool_table_t *table, const char *partner, const char *name,
		  bool is_service);

admission_state_t pool_offer(pool_t *pool, pool_waiter_t *waiter,
			     const char *workspace, double weight,
			     int64_t *retry_after_ms);
/* Leaves the queue or releases the capacity that pool_offer() acquired, and
 * admits queued requests. */
void pool_release(pool_t *pool, pool_waiter_t *waiter);

/* Whether nothing comes from any runner of the pool; always false for plain
 * services, which are not polled. */
bool pool_is_cut_off(const pool_t *pool);
/* Returns the time in which each silent runner is polled again, in ms. */
int64_t pool_recheck_ms(const pool_t *pool);

void pool_begin(pool_t *pool, route_attempt_t *attempt, route_runner_t *runner,
		uint32_t class_index);
/* The key by which the part guard knows the runner. */
uint64_t pool_runner_key(const route_runner_t *runner);
/* Records that something came from the attempt's runner. */
void pool_heard(const route_attempt_t *attempt);
void pool_answered(pool_t *pool, route_attempt_t *attempt);
void pool_finish(pool_t *pool, route_attempt_t *attempt,
		 route_outcome_t route_outcome, int64_t retry_after_ms);

#endif
