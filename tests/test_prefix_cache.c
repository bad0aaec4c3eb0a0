#include "emulator/prefix_cache.h"

#include <string.h>

#include "unit.h"

static char *prompt_of(char letter, size_t blocks)
{
	char *prompt = g_malloc0(blocks * PREFIX_BLOCK_BYTES + 1);

	memset(prompt, letter, blocks * PREFIX_BLOCK_BYTES);
	return prompt;
}

static prefix_cache_t *cache_new(const clock_manual_t *clock, int64_t blocks,
				 double gap_rate)
{
	const prefix_cache_options_t options = {
		.clock = &clock->base,
		.max_blocks = blocks,
		.event_delay_ms = 500,
		.event_gap_rate = gap_rate,
		.seed = 7,
	};

	return prefix_cache_new(&options);
}

/* A prompt that shares its start with an earlier one has that part cached. */
static void test_shared_start_is_cached(void)
{
	clock_manual_t clock;
	prefix_cache_t *cache;
	char *prompt = prompt_of('a', 4);

	clock_manual_init(&clock, 0);
	cache = cache_new(&clock, 100, 0);
	CU_ASSERT_EQUAL(prefix_cache_use(cache, prompt), 0);
	CU_ASSERT_EQUAL(prefix_cache_use(cache, prompt),
			4 * PREFIX_BLOCK_BYTES / PREFIX_TOKEN_BYTES);
	prompt[2 * PREFIX_BLOCK_BYTES] = 'b';
	CU_ASSERT_EQUAL(prefix_cache_use(cache, prompt),
			2 * PREFIX_BLOCK_BYTES / PREFIX_TOKEN_BYTES);
	g_free(prompt);
	prefix_cache_free(cache);
}

/* Memory stays bounded: the least recently used prefix goes first. */
static void test_least_recently_used_is_evicted(void)
{
	clock_manual_t clock;
	prefix_cache_t *cache;

	clock_manual_init(&clock, 0);
	cache = cache_new(&clock, 2, 0);
	prefix_cache_store(cache, "1111111111111111");
	prefix_cache_store(cache, "2222222222222222");
	prefix_cache_store(cache, "1111111111111111");
	prefix_cache_store(cache, "3333333333333333");
	CU_ASSERT(prefix_cache_holds(cache, "1111111111111111"));
	CU_ASSERT_FALSE(prefix_cache_holds(cache, "2222222222222222"));
	CU_ASSERT(prefix_cache_holds(cache, "3333333333333333"));
	prefix_cache_free(cache);
}

static size_t event_count(const prefix_cache_t *cache, int64_t since,
			  json_int_t *next)
{
	json_t *root = prefix_cache_events(cache, since);
	size_t count = json_array_size(json_object_get(root, "events"));

	*next = json_integer_value(json_object_get(root, "next"));
	json_decref(root);
	return count;
}

/* Readers must not see an event before its delay, nor twice. */
static void test_events_are_late(void)
{
	clock_manual_t clock;
	prefix_cache_t *cache;
	json_int_t next;

	clock_manual_init(&clock, 0);
	cache = cache_new(&clock, 1, 0);
	prefix_cache_store(cache, "1111111111111111");
	prefix_cache_store(cache, "2222222222222222");
	CU_ASSERT_EQUAL(event_count(cache, 0, &next), 0);
	clock_manual_advance_ms(&clock, 500);
	CU_ASSERT_EQUAL(event_count(cache, 0, &next), 3);
	CU_ASSERT_EQUAL(event_count(cache, next, &next), 0);
	CU_ASSERT_EQUAL(next, 4);
	prefix_cache_free(cache);
}

/* A gap must be visible as a missing sequence number. */
static void test_gap_uses_a_sequence_number(void)
{
	clock_manual_t clock;
	prefix_cache_t *cache;
	json_int_t next;
	char name[PREFIX_NAME_HEX + 1];
	size_t seen;

	clock_manual_init(&clock, 0);
	cache = cache_new(&clock, 1000, 0.5);
	for (int i = 0; i < 100; i++) {
		g_snprintf(name, sizeof(name), "%016x", i);
		prefix_cache_store(cache, name);
	}
	clock_manual_advance_ms(&clock, 500);
	seen = event_count(cache, 0, &next);
	CU_ASSERT(seen > 20 && seen < 80);
	CU_ASSERT(next > 90);
	prefix_cache_free(cache);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "shared start is cached", test_shared_start_is_cached },
		{ "least recently used is evicted",
		  test_least_recently_used_is_evicted },
		{ "events are late", test_events_are_late },
		{ "gap uses a sequence number",
		  test_gap_uses_a_sequence_number },
		{ NULL, NULL },
	};

	return unit_run("prefix_cache", tests);
}
