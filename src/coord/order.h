#ifndef WASABILINK_COORD_ORDER_H
#define WASABILINK_COORD_ORDER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * order - reconciles the engines of one deployment to its desired model.
 *
 * A plan is the state of the node that owns the deployment. The owner feeds
 * it what engines report and carries out the actions that order_step()
 * returns. Orders are absolute desired state with the owner's epoch as the
 * fencing token. Engines that ignore the token are safe by three rules: a new
 * owner waits until orders of its predecessor can no longer be in flight, the
 * owner keeps reading the state back, and it repeats the order until the
 * state matches.
 */
typedef struct order_plan order_plan_t;

typedef struct order_model {
	const char *model;
	const char *adapter;
	const char *version;
} order_model_t;

typedef struct order_options {
	const clock_source_t *clock;
	bool fencing; /* the engines refuse old tokens */
	int64_t min_serving; /* runners that must go on serving */
	int64_t max_loading; /* loads at the same time */
	double loads_per_minute; /* share of the weight store's rate */
	int64_t lease_ms; /* of the owner's epoch */
	int64_t order_flight_ms; /* longest time of an order in flight */
	int64_t read_period_ms; /* between reads of an engine that matches */
} order_options_t;

typedef enum order_engine_state {
	ORDER_ENGINE_UNKNOWN, /* not read yet, or not reachable */
	ORDER_ENGINE_LOADING,
	ORDER_ENGINE_SERVING
} order_engine_state_t;

typedef struct order_observation {
	order_engine_state_t state;
	order_model_t model; /* what it loads or serves */
	uint64_t fence; /* highest token that it has accepted */
} order_observation_t;

typedef enum order_action_kind { ORDER_READ, ORDER_SEND } order_action_kind_t;

typedef struct order_action {
	order_action_kind_t kind;
	const char *address; /* valid until the runner is removed */
	uint64_t fence;
	order_model_t model; /* valid until order_desire() */
} order_action_t;

order_plan_t *order_plan_new(const order_options_t *options);
void order_plan_free(order_plan_t *plan);

/* Starts ownership under an epoch, or ends it with epoch 0. */
void order_own(order_plan_t *plan, uint64_t epoch);
void order_desire(order_plan_t *plan, const order_model_t *model);
void order_add_runner(order_plan_t *plan, const char *address);
void order_remove_runner(order_plan_t *plan, const char *address);

/* Result of a read; a failed read is ORDER_ENGINE_UNKNOWN. */
void order_observe(order_plan_t *plan, const char *address,
		   const order_observation_t *observation);

/*
 * Returns the number of actions that are due now, at most max. Without
 * ownership there are none.
 */
size_t order_step(order_plan_t *plan, order_action_t *actions, size_t max);

/* Runners last seen serving the desired model. */
size_t order_matching(const order_plan_t *plan);

#endif
