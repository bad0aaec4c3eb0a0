#include "coord/order.h"

#include <string.h>

/* Read period of an engine that does not match yet. */
#define DIVERGED_READ_PERIOD_MS 500
/* An order is repeated when its effect has not been read within this time. */
#define ORDER_REPEAT_MS 5000

typedef struct engine {
	char *address;
	order_engine_state_t state;
	char *model;
	char *adapter;
	char *version;
	int64_t next_read_ms;
	int64_t order_sent_ms; /* 0: none sent under this epoch and model */
} engine_t;

struct order_plan {
	order_options_t options;
	GPtrArray *engines;
	char *model;
	char *adapter;
	char *version;
	uint64_t epoch;
	int64_t first_order_ms;
	double load_tokens;
	int64_t tokens_updated_ms;
};

static void engine_free(void *data)
{
	engine_t *engine = data;

	g_free(engine->address);
	g_free(engine->model);
	g_free(engine->adapter);
	g_free(engine->version);
	g_free(engine);
}

static int64_t now_ms(const order_plan_t *plan)
{
	return clock_now_ms(plan->options.clock);
}

order_plan_t *order_plan_new(const order_options_t *options)
{
	order_plan_t *plan = g_new0(order_plan_t, 1);

	plan->options = *options;
	plan->engines = g_ptr_array_new_with_free_func(engine_free);
	plan->load_tokens = 1;
	plan->tokens_updated_ms = now_ms(plan);
	return plan;
}

void order_plan_free(order_plan_t *plan)
{
	if (!plan)
		return;
	g_ptr_array_free(plan->engines, TRUE);
	g_free(plan->model);
	g_free(plan->adapter);
	g_free(plan->version);
	g_free(plan);
}

/*
 * An engine with an order in flight may already be loading the ordered model,
 * so state that was read before the order is discarded.
 */
static void reset_orders(order_plan_t *plan)
{
	for (guint i = 0; i < plan->engines->len; i++) {
		engine_t *engine = plan->engines->pdata[i];

		if (engine->order_sent_ms)
			engine->state = ORDER_ENGINE_UNKNOWN;
		engine->order_sent_ms = 0;
		engine->next_read_ms = 0;
	}
}

void order_set_epoch(order_plan_t *plan, uint64_t epoch)
{
	int64_t wait_ms = 0;

	if (epoch == plan->epoch)
		return;
	plan->epoch = epoch;
	if (!plan->options.fencing)
		wait_ms =
			plan->options.lease_ms + plan->options.order_flight_ms;
	plan->first_order_ms = now_ms(plan) + wait_ms;
	reset_orders(plan);
	for (guint i = 0; i < plan->engines->len; i++)
		((engine_t *)plan->engines->pdata[i])->state =
			ORDER_ENGINE_UNKNOWN;
}

static bool equal_strings(const char *a, const char *b)
{
	return g_strcmp0(a ? a : "", b ? b : "") == 0;
}

void order_set_model(order_plan_t *plan, const order_model_t *model)
{
	if (plan->model && equal_strings(plan->model, model->model) &&
	    equal_strings(plan->adapter, model->adapter) &&
	    equal_strings(plan->version, model->version))
		return;
	g_free(plan->model);
	g_free(plan->adapter);
	g_free(plan->version);
	plan->model = g_strdup(model->model);
	plan->adapter = g_strdup(model->adapter);
	plan->version = g_strdup(model->version);
	reset_orders(plan);
}

static engine_t *find(const order_plan_t *plan, const char *address)
{
	for (guint i = 0; i < plan->engines->len; i++) {
		engine_t *engine = plan->engines->pdata[i];

		if (strcmp(engine->address, address) == 0)
			return engine;
	}
	return NULL;
}

void order_add_runner(order_plan_t *plan, const char *address)
{
	engine_t *engine;

	if (find(plan, address))
		return;
	engine = g_new0(engine_t, 1);
	engine->address = g_strdup(address);
	g_ptr_array_add(plan->engines, engine);
}

void order_remove_runner(order_plan_t *plan, const char *address)
{
	engine_t *engine = find(plan, address);

	if (engine)
		g_ptr_array_remove(plan->engines, engine);
}

static bool matches(const order_plan_t *plan, const engine_t *engine)
{
	return equal_strings(plan->model, engine->model) &&
	       equal_strings(plan->adapter, engine->adapter) &&
	       equal_strings(plan->version, engine->version);
}

static bool serves_desired(const order_plan_t *plan, const engine_t *engine)
{
	return engine->state == ORDER_ENGINE_SERVING && matches(plan, engine);
}

static bool loads_desired(const order_plan_t *plan, const engine_t *engine)
{
	return engine->state == ORDER_ENGINE_LOADING && matches(plan, engine);
}

void order_observe(order_plan_t *plan, const char *address,
		   const order_observation_t *observation)
{
	engine_t *engine = find(plan, address);

	if (!engine)
		return;
	engine->state = observation->state;
	if (observation->state != ORDER_ENGINE_UNKNOWN) {
		g_free(engine->model);
		g_free(engine->adapter);
		g_free(engine->version);
		engine->model = g_strdup(observation->model.model);
		engine->adapter = g_strdup(observation->model.adapter);
		engine->version = g_strdup(observation->model.version);
	}
	/* The order has taken effect; a later divergence needs a new one. */
	if (serves_desired(plan, engine))
		engine->order_sent_ms = 0;
	engine->next_read_ms =
		now_ms(plan) + (serves_desired(plan, engine) ?
					plan->options.read_period_ms :
					DIVERGED_READ_PERIOD_MS);
}

size_t order_matching(const order_plan_t *plan)
{
	size_t count = 0;

	for (guint i = 0; i < plan->engines->len; i++)
		if (serves_desired(plan, plan->engines->pdata[i]))
			count++;
	return count;
}

/* Number of engines that serve any model, apart from those with an order in
 * flight to change it. */
static int64_t serving_count(const order_plan_t *plan)
{
	int64_t count = 0;

	for (guint i = 0; i < plan->engines->len; i++) {
		const engine_t *engine = plan->engines->pdata[i];

		if (engine->state == ORDER_ENGINE_SERVING &&
		    (engine->order_sent_ms == 0 ||
		     serves_desired(plan, engine)))
			count++;
	}
	return count;
}

static int64_t loading_count(const order_plan_t *plan)
{
	int64_t count = 0;

	for (guint i = 0; i < plan->engines->len; i++) {
		const engine_t *engine = plan->engines->pdata[i];

		if (engine->state == ORDER_ENGINE_LOADING ||
		    (engine->order_sent_ms && !serves_desired(plan, engine)))
			count++;
	}
	return count;
}

static void refill_tokens(order_plan_t *plan)
{
	int64_t now = now_ms(plan);
	double limit = MAX(1.0, (double)plan->options.max_loading);

	plan->load_tokens += (double)(now - plan->tokens_updated_ms) / 60000.0 *
			     plan->options.loads_per_minute;
	plan->load_tokens = MIN(plan->load_tokens, limit);
	plan->tokens_updated_ms = now;
}

static bool may_order(const order_plan_t *plan, const engine_t *engine)
{
	int64_t now = now_ms(plan);

	if (!plan->model || now < plan->first_order_ms)
		return false;
	/* An engine's state is read before it gets an order. */
	if (engine->state == ORDER_ENGINE_UNKNOWN)
		return false;
	if (serves_desired(plan, engine) || loads_desired(plan, engine))
		return false;
	return engine->order_sent_ms == 0 ||
	       now - engine->order_sent_ms >= ORDER_REPEAT_MS;
}

/* Acquires a load: takes a token of the weight store's rate, and keeps within
 * the concurrent loads and the minimum of serving runners. */
static bool acquire_load(order_plan_t *plan, const engine_t *engine)
{
	if (engine->order_sent_ms)
		return true; /* a repeated order was counted before */
	if (plan->load_tokens < 1 ||
	    loading_count(plan) >= plan->options.max_loading)
		return false;
	if (engine->state == ORDER_ENGINE_SERVING &&
	    serving_count(plan) <= plan->options.min_serving)
		return false;
	plan->load_tokens -= 1;
	return true;
}

static void add_action(const order_plan_t *plan, const engine_t *engine,
		       order_action_kind_t kind, order_action_t *action)
{
	action->kind = kind;
	action->address = engine->address;
	action->fence = plan->epoch;
	action->model =
		(order_model_t){ plan->model, plan->adapter, plan->version };
}

size_t order_step(order_plan_t *plan, order_action_t *actions, size_t max)
{
	int64_t now = now_ms(plan);
	size_t count = 0;

	if (plan->epoch == 0)
		return 0;
	refill_tokens(plan);
	for (guint i = 0; i < plan->engines->len && count < max; i++) {
		engine_t *engine = plan->engines->pdata[i];

		if (may_order(plan, engine) && acquire_load(plan, engine)) {
			engine->order_sent_ms = now;
			add_action(plan, engine, ORDER_SEND, &actions[count++]);
		} else if (now >= engine->next_read_ms) {
			engine->next_read_ms = now + DIVERGED_READ_PERIOD_MS;
			add_action(plan, engine, ORDER_READ, &actions[count++]);
		}
	}
	return count;
}
