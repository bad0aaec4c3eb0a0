#ifndef WASABILINK_ENTRY_POOL_H
#define WASABILINK_ENTRY_POOL_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

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
 * pool - the runners of one deployment or plain service as this node uses
 * them: route, hedging, admission queue and latency figures.
 *
 * The table polls load reports of runners in use, a few per second over all
 * pools, so that the cost does not grow with the fleet.
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
	struct event *queue_timer; /* gives up waiting requests */
	histogram_t first_us; /* recent first tokens of online requests */
	histogram_t whole_us; /* recent whole answers */
	int64_t *requests;
	int64_t *hedges;
	int64_t *hedges_won;
	int64_t *retries;
	int64_t *retries_not_run; /* of these, after marked errors */
	int64_t *refused;
	int64_t *failed;
	bool running_queue;
};

/* A request in the admission queue. Both callbacks come later than the offer,
 * never from within it. */
typedef struct pool_waiter {
	admission_ticket_t ticket;
	void (*admitted)(void *owner);
	void (*given_up)(void *owner);
	void *owner;
} pool_waiter_t;

/* This node's online requests in flight on a runner have changed. */
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
	const char *policy; /* of route; NULL: observed */
	double hedge_share;
	uint32_t max_queue; /* per pool */
	int64_t max_wait_ms; /* in the queue */
	bool first_come; /* queue, for measurements */
} pool_options_t;

pool_table_t *pool_table_new(const pool_options_t *options);
void pool_table_free(pool_table_t *table);
/* After a change of the runners; nodes is the number of entry nodes. */
void pool_table_update(pool_table_t *table, uint32_t nodes);
void pool_table_on_pressure(pool_table_t *table, pool_pressure_t pressure,
			    void *user_data);
/* Online requests of this node in flight on a runner. */
uint32_t pool_table_in_flight(const pool_table_t *table, const char *runner);
/* Writes the quantiles to gauges. */
void pool_table_measure(pool_table_t *table);

/* Never NULL. */
pool_t *pool_find(pool_table_t *table, const char *partner, const char *name,
		  bool is_service);

admission_state_t pool_offer(pool_t *pool, pool_waiter_t *waiter,
			     const char *workspace, double weight,
			     int64_t *retry_after_ms);
/* Ends what pool_offer() began, in whatever state; lets others run. */
void pool_release(pool_t *pool, pool_waiter_t *waiter);

void pool_begin(pool_t *pool, route_call_t *call, route_runner_t *runner,
		uint32_t class_index);
void pool_answered(pool_t *pool, route_call_t *call);
void pool_finish(pool_t *pool, route_call_t *call, route_end_t end,
		 int64_t retry_after_ms);

#endif
