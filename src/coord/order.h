#ifndef WASABILINK_COORD_ORDER_H
#define WASABILINK_COORD_ORDER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * order - reconciles the engines of one deployment with its desired model.
 *
 * A plan is the state of the node that owns the deployment. The owner passes it
 * what engines report and carries out the actions that order_step() returns.
 * Orders are absolute desired state with the owner's epoch as the fencing
 * token. Engines that ignore the token are kept consistent by three rules: a
 * new owner waits until no order of its predecessor can be in flight, the owner
 * keeps reading the engines' state, and it repeats an order until the state
 * matches.
 */
typedef struct order_plan order_plan_t;

typedef struct order_model {
	const char *model;
	const char *adapter;
	const char *version;
} order_model_t;

typedef struct order_options {
	const clock_source_t *clock;
	bool fencing; /* the engines reject older tokens */
	int64_t min_serving; /* minimum number of runners that keep serving */
	int64_t max_loading; /* concurrent loads */
	/* This deployment's share of the weight store's rate. */
	double loads_per_minute;
	int64_t lease_ms; /* of the owner's epoch */
	int64_t order_flight_ms; /* maximum time that an order is in flight */
	int64_t read_period_ms; /* between reads of an engine that matches */
} order_options_t;

typedef enum order_engine_state {
	ORDER_ENGINE_UNKNOWN, /* not read yet, or unreachable */
	ORDER_ENGINE_LOADING,
	ORDER_ENGINE_SERVING
} order_engine_state_t;

typedef struct order_observation {
	order_engine_state_t state;
	order_model_t model; /* loading or serving */
	uint64_t fence; /* highest fencing token accepted */
} order_observation_t;

typedef enum order_action_kind { ORDER_READ, ORDER_SEND } order_action_kind_t;

typedef struct order_action {
	order_action_kind_t kind;
	const char *address; /* valid until the runner is removed */
	uint64_t fence;
	order_model_t model; /* valid until order_set_model() */
} order_action_t;

order_plan_t *order_plan_new(const order_options_t *options);
void order_plan_free(order_plan_t *plan);

/* Starts ownership under an epoch, or ends it with epoch 0. */
void order_set_epoch(order_plan_t *plan, uint64_t epoch);
void order_set_model(order_plan_t *plan, const order_model_t *model);
void order_add_runner(order_plan_t *plan, const char *address);
void order_remove_runner(order_plan_t *plan, const char *address);

/* Records the result of a read; a failed read is ORDER_ENGINE_UNKNOWN. */
void order_observe(order_plan_t *plan, const char *address,
		   const order_observation_t *observation);

/*
 * Writes the actions to carry out now, at most max, and returns their number.
 * There are none without ownership.
 */
size_t order_step(order_plan_t *plan, order_action_t *actions, size_t max);

/* Number of runners that served the desired model when last read. */
size_t order_matching(const order_plan_t *plan);

#endif
