#include "object/object_writer.h"

#include <string.h>

#include "base/error.h"
#include "object/object_memory.h"
#include "unit.h"

#define STEP_MS 5

/* Two writers of one object over a store with faults; time is simulated. */
typedef struct world {
	clock_manual_t clock;
	struct event_base *base;
	object_memory_t *memory;
	object_store_t *stores[2];
	object_writer_t *writers[2];
	int outcomes[2]; /* -1: pending */
} world_t;

typedef struct outcome {
	world_t *world;
	int writer;
} outcome_t;

static void on_written(object_write_outcome_t outcome, void *user_data)
{
	outcome_t *told = user_data;

	CU_ASSERT_EQUAL(told->world->outcomes[told->writer], -1);
	told->world->outcomes[told->writer] = (int)outcome;
	g_free(told);
}

static void world_open(world_t *world, uint32_t seed)
{
	memset(world, 0, sizeof(*world));
	clock_manual_init(&world->clock, 1000000);
	world->base = event_base_new();
	world->memory = object_memory_new(&world->clock.base, seed);
	for (int i = 0; i < 2; i++) {
		world->stores[i] = object_memory_open(world->memory);
		world->writers[i] = object_writer_new(
			world->base, world->stores[i], &world->clock.base,
			i ? "node-1" : "node-0");
		world->outcomes[i] = -1;
	}
}

static void world_close(world_t *world)
{
	for (int i = 0; i < 2; i++) {
		object_writer_free(world->writers[i]);
		object_store_free(world->stores[i]);
	}
	object_memory_free(world->memory);
	event_base_free(world->base);
}

static void create(world_t *world, int writer, const char *text,
		   int32_t timeout_ms)
{
	GBytes *data = g_bytes_new(text, strlen(text));
	outcome_t *told = g_new0(outcome_t, 1);

	told->world = world;
	told->writer = writer;
	object_writer_create(world->writers[writer], "result/job/0", data,
			     timeout_ms, on_written, told);
	g_bytes_unref(data);
}

/* Pauses between tries run on the event loop's own clock. */
static bool settle(world_t *world)
{
	for (int i = 0; i < 100000; i++) {
		if (world->outcomes[0] >= 0 && world->outcomes[1] >= 0)
			return true;
		clock_manual_advance_ms(&world->clock, STEP_MS);
		object_memory_step(world->memory);
		for (int k = 0; k < 2; k++)
			object_memory_deliver(world->stores[k]);
		event_base_loop(world->base, EVLOOP_NONBLOCK);
		g_usleep(200);
	}
	return false;
}

static void on_got(const object_value_t *value, const GError *error,
		   void *user_data)
{
	char **text = user_data;

	*text = value ? g_strndup(value->data, value->len) : NULL;
}

static char *stored(world_t *world)
{
	char *text = NULL;

	*object_memory_faults(world->memory) = (object_memory_faults_t){
		.timeout_ms = 1000,
	};
	object_get(world->stores[0], "result/job/0", on_got, &text);
	for (int i = 0; i < 10; i++) {
		clock_manual_advance_ms(&world->clock, STEP_MS);
		object_memory_step(world->memory);
		object_memory_deliver(world->stores[0]);
	}
	return text;
}

/*
 * A lost answer must not make the winner think that it lost, or two writers
 * that both won: the job would count a chunk twice or never.
 */
static void test_one_winner(void)
{
	for (uint32_t seed = 1; seed <= 15; seed++) {
		object_memory_faults_t faults = {
			.delay_ms = 20,
			.lose_answers = 0.4,
			.lose_calls = 0.2,
			.timeout_ms = 40,
		};
		world_t world;
		char *text;
		int winner;

		world_open(&world, seed);
		*object_memory_faults(world.memory) = faults;
		create(&world, 0, "zero", 0);
		create(&world, 1, "one", 0);
		CU_ASSERT_TRUE_FATAL(settle(&world));
		CU_ASSERT((world.outcomes[0] == OBJECT_WRITTEN) !=
			  (world.outcomes[1] == OBJECT_WRITTEN));
		winner = world.outcomes[1] == OBJECT_WRITTEN;
		CU_ASSERT_EQUAL(world.outcomes[!winner], OBJECT_LOST);
		text = stored(&world);
		CU_ASSERT_STRING_EQUAL(text, winner ? "one" : "zero");
		g_free(text);
		world_close(&world);
	}
}

/* Without an answer until the deadline the effect is unknown, not failed. */
static void test_deadline(void)
{
	object_memory_faults_t faults = { .lose_answers = 1, .timeout_ms = 40 };
	world_t world;

	world_open(&world, 1);
	*object_memory_faults(world.memory) = faults;
	create(&world, 0, "zero", 300);
	world.outcomes[1] = OBJECT_LOST;
	CU_ASSERT_TRUE(settle(&world));
	CU_ASSERT_EQUAL(world.outcomes[0], OBJECT_UNKNOWN);
	world_close(&world);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "one_winner", test_one_winner },
		{ "deadline", test_deadline },
		{ NULL, NULL },
	};

	return unit_run("object_writer", tests);
}
