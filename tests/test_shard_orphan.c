#include "coord/shard.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "coord/ledger_record.h"
#include "object/object_memory.h"

#include "unit.h"

/*
 * Histories of one shard, generated from a seed, whose owners crash at random
 * times, over a store that refuses calls and loses responses. At the end, the
 * segments and index objects in the store must be those to which the stored
 * head refers.
 */
#define NODES 2
#define STEP_MS 10
#define SWEEP_MS 5000
#define HISTORY_MS 40000
#define RECOVERY_MS 40000
#define HISTORIES 60

typedef struct fixture {
	clock_manual_t clock;
	GRand *random;
	object_memory_t *memory;
	object_store_t *reader;
	GPtrArray *stores;
	shard_t *shards[NODES];
	shard_budget_t budget;
	shard_stats_t stats;
	uint64_t incarnations;
	uint64_t tokens;
	bool broken;
} fixture_t;

static void on_event(shard_t *shard, shard_event_t event, void *user_data)
{
	fixture_t *fixture = user_data;

	fixture->broken = fixture->broken || event == SHARD_BROKEN;
}

static void node_start(fixture_t *fixture, int index)
{
	shard_options_t options = {
		.store = object_memory_open(fixture->memory),
		.clock = &fixture->clock.base,
		.owner = index ? "127.0.0.1:2" : "127.0.0.1:1",
		.incarnation = ++fixture->incarnations,
		.budget = &fixture->budget,
		.stats = &fixture->stats,
		.observer = { on_event, NULL, fixture },
		.ledger = { .seal_bytes = 1500,
			    .keep_bytes = 400,
			    .index_bytes = 200 },
		.sweep_ms = SWEEP_MS,
	};

	g_ptr_array_add(fixture->stores, options.store);
	fixture->shards[index] = shard_new(&options);
}

static void step(fixture_t *fixture)
{
	clock_manual_advance_ms(&fixture->clock, STEP_MS);
	object_memory_step(fixture->memory);
	for (guint i = 0; i < fixture->stores->len; i++)
		object_memory_deliver(fixture->stores->pdata[i]);
	for (int i = 0; i < NODES; i++)
		shard_step(fixture->shards[i]);
}

static void update(fixture_t *fixture)
{
	ledger_record record = { .kind = 1, .owner_tag = (char *)"t" };
	char token[LEDGER_TOKEN_BYTES] = { 0 };
	char data[200] = { 0 };
	int index = g_rand_int_range(fixture->random, 0, NODES);

	fixture->tokens++;
	memcpy(record.key, &fixture->tokens, sizeof(fixture->tokens));
	memcpy(token, &fixture->tokens, sizeof(fixture->tokens));
	record.data.data_val = data;
	record.data.data_len = sizeof(data);
	shard_update(fixture->shards[index], &record, token,
		     clock_now_ms(&fixture->clock.base) + 3000, NULL, NULL);
}

static void restart_with_faults(fixture_t *fixture)
{
	object_memory_faults_t *faults = object_memory_faults(fixture->memory);
	int index = g_rand_int_range(fixture->random, 0, NODES);

	faults->lose_answers = g_rand_double_range(fixture->random, 0, 0.2);
	faults->late_writes = g_rand_double_range(fixture->random, 0, 0.2);
	if (g_rand_int_range(fixture->random, 0, 3) == 0)
		faults->outage_until_ms =
			clock_now_ms(&fixture->clock.base) +
			g_rand_int_range(fixture->random, 0, 2000);
	/* A crash: store calls in flight still take effect. */
	shard_free(fixture->shards[index]);
	node_start(fixture, index);
	shard_set_candidate(fixture->shards[index],
			    g_rand_boolean(fixture->random));
}

static void on_value(const object_value_t *value, const GError *error,
		     void *user_data)
{
	GBytes **bytes = user_data;

	if (value)
		*bytes = g_bytes_new(value->data, value->len);
}

static GBytes *read_object(fixture_t *fixture, const char *key)
{
	GBytes *bytes = NULL;

	object_get(fixture->reader, key, on_value, &bytes);
	for (int i = 0; i < 20; i++) {
		clock_manual_advance_ms(&fixture->clock, STEP_MS);
		object_memory_step(fixture->memory);
		object_memory_deliver(fixture->reader);
	}
	return bytes;
}

static void on_listed(const object_listing_t *listing, const GError *error,
		      void *user_data)
{
	GHashTable *keys = user_data;

	for (guint i = 0; listing && i < listing->entries->len; i++)
		g_hash_table_add(keys, g_strdup(g_array_index(listing->entries,
							      object_entry_t, i)
							.key));
}

static GHashTable *stored_keys(fixture_t *fixture)
{
	GHashTable *keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	object_list(fixture->reader, "segment/", NULL, 1000, on_listed, keys);
	object_list(fixture->reader, "index/", NULL, 1000, on_listed, keys);
	g_bytes_unref(read_object(fixture, "shard/0"));
	return keys;
}

static void add_key(GHashTable *keys, const char *kind, uint64_t id)
{
	g_hash_table_add(
		keys,
		g_strdup_printf("%s/0/%016" G_GINT64_MODIFIER "x", kind, id));
}

static void add_segment_keys(GHashTable *keys, uint64_t first,
			     const ledger_segment_ref *refs, u_int count)
{
	for (u_int i = 0; i < count; i++)
		if (refs[i].id >= first)
			add_key(keys, "segment", refs[i].id);
}

static GHashTable *referenced_keys(fixture_t *fixture)
{
	GHashTable *keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GBytes *bytes = read_object(fixture, "shard/0");
	ledger_head head = { 0 };
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);

	ledger_record_decode((xdrproc_t)xdr_ledger_head, &head, data, len,
			     "head", NULL);
	g_bytes_unref(bytes);
	add_segment_keys(keys, head.first_segment, head.segments.segments_val,
			 head.segments.segments_len);
	for (u_int i = 0; i < head.indexes.indexes_len; i++) {
		char key[64];
		ledger_index index = { 0 };

		add_key(keys, "index", head.indexes.indexes_val[i]);
		snprintf(key, sizeof(key), "index/0/%016" G_GINT64_MODIFIER "x",
			 head.indexes.indexes_val[i]);
		bytes = read_object(fixture, key);
		data = g_bytes_get_data(bytes, &len);
		ledger_record_decode((xdrproc_t)xdr_ledger_index, &index, data,
				     len, "index", NULL);
		add_segment_keys(keys, head.first_segment,
				 index.segments.segments_val,
				 index.segments.segments_len);
		xdr_free((xdrproc_t)xdr_ledger_index, (char *)&index);
		g_bytes_unref(bytes);
	}
	xdr_free((xdrproc_t)xdr_ledger_head, (char *)&head);
	return keys;
}

static guint count_missing(GHashTable *from, GHashTable *in)
{
	GHashTableIter iter;
	void *key;
	guint missing = 0;

	g_hash_table_iter_init(&iter, from);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		missing += !g_hash_table_contains(in, key);
	return missing;
}

static bool run_history(uint32_t seed, shard_stats_t *stats)
{
	fixture_t w = { .random = g_rand_new_with_seed(seed) };
	GHashTable *stored;
	GHashTable *referenced;
	bool ok;

	clock_manual_init(&w.clock, 1700000000000);
	w.memory = object_memory_new(&w.clock.base, seed);
	object_memory_faults(w.memory)->delay_ms = 20;
	w.budget.writes_per_s = 50;
	w.reader = object_memory_open(w.memory);
	w.stores = g_ptr_array_new();
	for (int i = 0; i < NODES; i++)
		node_start(&w, i);
	for (int t = 0; t < HISTORY_MS; t += STEP_MS) {
		if (g_rand_int_range(w.random, 0, 300) == 0)
			restart_with_faults(&w);
		if (g_rand_int_range(w.random, 0, 5) == 0)
			update(&w);
		step(&w);
	}
	object_memory_faults(w.memory)->lose_answers = 0;
	object_memory_faults(w.memory)->late_writes = 0;
	shard_set_candidate(w.shards[0], true);
	shard_set_candidate(w.shards[1], false);
	for (int t = 0; t < RECOVERY_MS; t += STEP_MS)
		step(&w);
	stored = stored_keys(&w);
	referenced = referenced_keys(&w);
	ok = !w.broken && count_missing(stored, referenced) == 0 &&
	     count_missing(referenced, stored) == 0;
	if (!ok)
		printf("seed %u: %u orphans not removed, %u referenced objects missing\n",
		       seed, count_missing(stored, referenced),
		       count_missing(referenced, stored));
	stats->orphans += w.stats.orphans;
	g_hash_table_destroy(stored);
	g_hash_table_destroy(referenced);
	for (int i = 0; i < NODES; i++)
		shard_free(w.shards[i]);
	clock_manual_advance_ms(&w.clock, 100000);
	object_memory_step(w.memory);
	for (guint i = 0; i < w.stores->len; i++) {
		object_memory_deliver(w.stores->pdata[i]);
		object_store_free(w.stores->pdata[i]);
	}
	g_ptr_array_free(w.stores, TRUE);
	object_store_free(w.reader);
	object_memory_free(w.memory);
	g_rand_free(w.random);
	return ok;
}

/* Guards against orphans that are never removed, which crashed owners leave
 * between storing an object and writing the head, and against the removal of
 * objects to which the head refers. */
static void test_histories(void)
{
	shard_stats_t stats = { 0 };
	int failures = 0;

	for (uint32_t seed = 1; seed <= HISTORIES; seed++)
		failures += !run_history(seed, &stats);
	CU_ASSERT_EQUAL(failures, 0);
	CU_ASSERT(stats.orphans > 0);
	printf("%d histories, %d orphans\n", HISTORIES, (int)stats.orphans);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "stored objects against the head", test_histories },
		{ NULL, NULL },
	};

	return unit_run("shard_orphan", tests);
}
