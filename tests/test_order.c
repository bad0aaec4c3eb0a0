#include "coord/order.h"

#include <string.h>

#include "unit.h"

#define ENGINES 6
#define LEASE_MS 6000
#define FLIGHT_MS 2000
#define LOAD_MS 3000

/* A simulated engine: it obeys every order, and refuses old tokens if it
 * checks them. */
typedef struct fake_engine {
	char address[16];
	int64_t version;
	int64_t loading_until_ms; /* 0: serves */
	uint64_t fence;
	bool checks_fence;
} fake_engine_t;

typedef struct fixture {
	clock_manual_t clock;
	fake_engine_t engines[ENGINES];
	order_plan_t *plan;
	int64_t min_serving_seen;
	int64_t max_loading_seen;
} fixture_t;

static void engine_receive_order(fixture_t *f, fake_engine_t *engine,
				 uint64_t fence, int64_t version)
{
	if (engine->checks_fence && fence < engine->fence)
		return;
	engine->fence = fence;
	if (engine->version == version)
		return;
	engine->version = version;
	engine->loading_until_ms = clock_now_ms(&f->clock.base) + LOAD_MS;
}

static void setup(fixture_t *f, bool fencing)
{
	order_options_t options = {
		.fencing = fencing,
		.min_serving = 4,
		.max_loading = 2,
		.loads_per_minute = 60,
		.lease_ms = LEASE_MS,
		.order_flight_ms = FLIGHT_MS,
		.read_period_ms = 2000,
	};

	memset(f, 0, sizeof(*f));
	clock_manual_init(&f->clock, 0);
	options.clock = &f->clock.base;
	f->plan = order_plan_new(&options);
	f->min_serving_seen = ENGINES;
	for (int i = 0; i < ENGINES; i++) {
		fake_engine_t *engine = &f->engines[i];

		g_snprintf(engine->address, sizeof(engine->address), "e%d", i);
		engine->version = 1;
		engine->checks_fence = fencing;
		order_add_runner(f->plan, engine->address);
	}
}

static void desire(fixture_t *f, const char *version)
{
	order_model_t model = { "muse", "", version };

	order_set_model(f->plan, &model);
}

static fake_engine_t *engine_at(fixture_t *f, const char *address)
{
	return &f->engines[g_ascii_strtoll(address + 1, NULL, 10)];
}

static void read_engine(fixture_t *f, fake_engine_t *engine)
{
	char version[24];
	order_observation_t observation = { ORDER_ENGINE_SERVING,
					    { "muse", "", version },
					    engine->fence };

	g_snprintf(version, sizeof(version), "%" G_GINT64_FORMAT,
		   engine->version);
	if (engine->loading_until_ms)
		observation.state = ORDER_ENGINE_LOADING;
	order_observe(f->plan, engine->address, &observation);
}

static void measure(fixture_t *f)
{
	int64_t serving = 0;

	for (int i = 0; i < ENGINES; i++) {
		fake_engine_t *engine = &f->engines[i];

		if (engine->loading_until_ms &&
		    clock_now_ms(&f->clock.base) >= engine->loading_until_ms)
			engine->loading_until_ms = 0;
		serving += engine->loading_until_ms == 0;
	}
	f->min_serving_seen = MIN(f->min_serving_seen, serving);
	f->max_loading_seen = MAX(f->max_loading_seen, ENGINES - serving);
}

/* Runs the plan in steps of 100 ms; with loss, 30 % of the orders and reads are
 * lost. Returns the number of orders. */
static int run(fixture_t *f, int64_t duration_ms, GRand *loss)
{
	order_action_t actions[ENGINES];
	int orders = 0;

	for (int64_t t = 0; t < duration_ms; t += 100) {
		size_t count = order_step(f->plan, actions, ENGINES);

		for (size_t i = 0; i < count; i++) {
			fake_engine_t *engine =
				engine_at(f, actions[i].address);
			bool lost = loss && g_rand_double(loss) < 0.3;

			if (actions[i].kind == ORDER_READ && !lost)
				read_engine(f, engine);
			if (actions[i].kind == ORDER_SEND) {
				orders++;
				if (!lost)
					engine_receive_order(
						f, engine, actions[i].fence,
						g_ascii_strtoll(
							actions[i]
								.model.version,
							NULL, 10));
			}
		}
		clock_manual_advance_ms(&f->clock, 100);
		measure(f);
	}
	return orders;
}

static bool converged(const fixture_t *f, int64_t version)
{
	for (int i = 0; i < ENGINES; i++)
		if (f->engines[i].version != version ||
		    f->engines[i].loading_until_ms)
			return false;
	return true;
}

/* A version change must not reduce the serving runners below the minimum. */
static void test_rolling_change(void)
{
	fixture_t f;

	setup(&f, true);
	order_set_epoch(f.plan, 1);
	desire(&f, "2");
	run(&f, 60000, NULL);
	CU_ASSERT_TRUE(converged(&f, 2));
	CU_ASSERT_EQUAL(order_matching(f.plan), ENGINES);
	CU_ASSERT(f.min_serving_seen >= 4);
	CU_ASSERT(f.max_loading_seen <= 2);
	order_plan_free(f.plan);
}

/* Engines that ignore the token must not get orders of two owners
 * concurrently. */
static void test_new_owner_waits_without_fencing(void)
{
	fixture_t f;

	setup(&f, false);
	order_set_epoch(f.plan, 7);
	desire(&f, "2");
	CU_ASSERT_EQUAL(run(&f, LEASE_MS + FLIGHT_MS, NULL), 0);
	CU_ASSERT(run(&f, 60000, NULL) > 0);
	CU_ASSERT_TRUE(converged(&f, 2));
	order_plan_free(f.plan);
}

static void test_new_owner_orders_at_once_with_fencing(void)
{
	fixture_t f;

	setup(&f, true);
	order_set_epoch(f.plan, 7);
	desire(&f, "2");
	CU_ASSERT(run(&f, 1000, NULL) > 0);
	order_plan_free(f.plan);
}

/* A stale order of a paused owner that an engine obeys must be corrected. */
static void test_stale_order_is_corrected(void)
{
	fixture_t f;

	setup(&f, false);
	order_set_epoch(f.plan, 7);
	desire(&f, "2");
	run(&f, 60000, NULL);
	engine_receive_order(&f, &f.engines[3], 6, 1);
	CU_ASSERT_FALSE(converged(&f, 2));
	run(&f, 60000, NULL);
	CU_ASSERT_TRUE(converged(&f, 2));
	order_plan_free(f.plan);
}

/* An engine that checks the token keeps the model that the newer owner
 * ordered. */
static void test_stale_order_is_refused(void)
{
	fixture_t f;

	setup(&f, true);
	order_set_epoch(f.plan, 7);
	desire(&f, "2");
	run(&f, 60000, NULL);
	engine_receive_order(&f, &f.engines[3], 6, 1);
	CU_ASSERT_TRUE(converged(&f, 2));
	order_plan_free(f.plan);
}

/* Lost orders and reads must delay convergence but not prevent it, and the
 * serving minimum must hold throughout. */
static void test_lossy_histories(void)
{
	for (guint32 seed = 1; seed <= 200; seed++) {
		GRand *random = g_rand_new_with_seed(seed);
		fixture_t f;
		uint64_t epoch = 1;
		int64_t version = 1;

		setup(&f, seed % 2);
		for (int change = 0; change < 4; change++) {
			char text[24];

			version++;
			g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
				   version);
			if (g_rand_boolean(random))
				epoch++;
			order_set_epoch(f.plan, epoch);
			desire(&f, text);
			run(&f, g_rand_int_range(random, 0, 20000), random);
		}
		run(&f, 120000, random);
		CU_ASSERT_TRUE(converged(&f, version));
		CU_ASSERT(f.min_serving_seen >= 4);
		order_plan_free(f.plan);
		g_rand_free(random);
	}
}

/* A node that has lost ownership of the deployment must send no more orders. */
static void test_no_action_without_ownership(void)
{
	fixture_t f;

	setup(&f, true);
	order_set_epoch(f.plan, 1);
	desire(&f, "2");
	run(&f, 500, NULL);
	order_set_epoch(f.plan, 0);
	CU_ASSERT_EQUAL(run(&f, 60000, NULL), 0);
	order_plan_free(f.plan);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "rolling change", test_rolling_change },
		{ "new owner waits without fencing",
		  test_new_owner_waits_without_fencing },
		{ "new owner orders at once with fencing",
		  test_new_owner_orders_at_once_with_fencing },
		{ "stale order is corrected", test_stale_order_is_corrected },
		{ "stale order is refused", test_stale_order_is_refused },
		{ "lossy histories", test_lossy_histories },
		{ "no action without ownership",
		  test_no_action_without_ownership },
		{ NULL, NULL },
	};

	return unit_run("order", tests);
}
