#include "object/object_memory.h"

#include "base/error.h"

#include "unit.h"

typedef struct seen {
	int count;
	int code; /* 0: success */
	uint64_t version;
	char writer[16];
} seen_t;

static void on_done(const object_value_t *value, const GError *error,
		    void *user_data)
{
	seen_t *seen = user_data;

	seen->count++;
	seen->code = error ? error->code : -1;
	if (value) {
		seen->version = value->version;
		g_strlcpy(seen->writer, value->writer ? value->writer : "",
			  sizeof(seen->writer));
	}
}

typedef struct world {
	clock_manual_t clock;
	object_memory_t *memory;
	object_store_t *store;
} world_t;

static void world_open(world_t *world)
{
	clock_manual_init(&world->clock, 0);
	world->memory = object_memory_new(&world->clock.base, 1);
	world->store = object_memory_open(world->memory);
}

static void world_close(world_t *world)
{
	object_store_free(world->store);
	object_memory_free(world->memory);
}

static void advance(world_t *world, int64_t ms)
{
	clock_manual_advance_ms(&world->clock, ms);
	object_memory_step(world->memory);
}

/* No completion before the call returns, and exactly one. */
static void test_put_and_get(void)
{
	world_t w;
	seen_t put = { 0 };
	seen_t lost = { 0 };
	seen_t get = { 0 };

	world_open(&w);
	object_put(w.store, "a", "1", 1, 0, "w1", on_done, &put);
	CU_ASSERT_EQUAL(put.count, 0);
	advance(&w, 0);
	CU_ASSERT_EQUAL(put.count, 0);
	CU_ASSERT_EQUAL(object_memory_deliver(w.store), 1);
	CU_ASSERT_EQUAL(object_memory_deliver(w.store), 0);
	CU_ASSERT_EQUAL(put.code, -1);
	object_put(w.store, "a", "2", 1, 0, "w2", on_done, &lost);
	object_get(w.store, "a", on_done, &get);
	advance(&w, 0);
	object_memory_deliver(w.store);
	CU_ASSERT_EQUAL(lost.code, WL_ERROR_CONFLICT);
	CU_ASSERT_STRING_EQUAL(lost.writer, "w1");
	CU_ASSERT_EQUAL(get.version, put.version);
	world_close(&w);
}

/* A lost answer keeps the effect; a late write takes effect after its
 * timeout. */
static void test_lost_and_late(void)
{
	world_t w;
	seen_t put = { 0 };
	seen_t get = { 0 };

	world_open(&w);
	object_memory_faults(w.memory)->lose_answers = 1;
	object_put(w.store, "a", "1", 1, 0, "w1", on_done, &put);
	object_memory_faults(w.memory)->lose_answers = 0;
	advance(&w, 1999);
	CU_ASSERT_EQUAL(object_memory_deliver(w.store), 0);
	advance(&w, 1);
	object_memory_deliver(w.store);
	CU_ASSERT_EQUAL(put.code, WL_ERROR_TIMEOUT);
	object_get(w.store, "a", on_done, &get);
	advance(&w, 0);
	object_memory_deliver(w.store);
	CU_ASSERT_STRING_EQUAL(get.writer, "w1");
	object_memory_faults(w.memory)->late_writes = 1;
	object_put(w.store, "b", "1", 1, 0, "w2", on_done, &put);
	object_memory_faults(w.memory)->late_writes = 0;
	advance(&w, 1999);
	object_memory_deliver(w.store);
	object_get(w.store, "b", on_done, &get);
	advance(&w, 0);
	object_memory_deliver(w.store);
	CU_ASSERT_EQUAL(get.code, WL_ERROR_NOT_FOUND);
	advance(&w, 2001);
	object_memory_deliver(w.store);
	CU_ASSERT_EQUAL(put.code, WL_ERROR_TIMEOUT);
	object_get(w.store, "b", on_done, &get);
	advance(&w, 0);
	object_memory_deliver(w.store);
	CU_ASSERT_STRING_EQUAL(get.writer, "w2");
	world_close(&w);
}

/* Outage, rate limit and a cut network refuse without effect. */
static void test_refusals(void)
{
	world_t w;
	seen_t put = { 0 };

	world_open(&w);
	object_memory_faults(w.memory)->outage_until_ms = 100;
	object_put(w.store, "a", "1", 1, 0, "w", on_done, &put);
	advance(&w, 0);
	object_memory_deliver(w.store);
	CU_ASSERT_EQUAL(put.code, WL_ERROR_UNAVAILABLE);
	advance(&w, 100);
	object_memory_cut(w.store, true);
	object_put(w.store, "a", "1", 1, 0, "w", on_done, &put);
	advance(&w, 0);
	object_memory_deliver(w.store);
	CU_ASSERT_EQUAL(put.code, WL_ERROR_REFUSED);
	object_memory_cut(w.store, false);
	object_memory_faults(w.memory)->writes_per_s = 10;
	object_put(w.store, "a", "1", 1, 0, "w", on_done, &put);
	object_put(w.store, "b", "1", 1, 0, "w", on_done, &put);
	object_put(w.store, "c", "1", 1, 0, "w", on_done, &put);
	advance(&w, 0);
	object_memory_deliver(w.store);
	CU_ASSERT_EQUAL(put.code, WL_ERROR_RATE_LIMITED);
	CU_ASSERT(object_memory_stats(w.memory)->writes < 3);
	world_close(&w);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "put and get", test_put_and_get },
		{ "lost answers and late writes", test_lost_and_late },
		{ "refusals", test_refusals },
		{ NULL, NULL },
	};

	return unit_run("object_memory", tests);
}
