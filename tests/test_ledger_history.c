#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "coord/shard.h"
#include "object/object_memory.h"

#include "unit.h"

/*
 * Drives the real shard and ledger code of several nodes over one store with
 * faults, through seeded histories, and compares all that anybody saw with a
 * naive model: one map from (key, version) to the update that wrote it.
 *
 * A history fails when
 *   - two updates are seen at the same version of a key (a fork: an
 *     acknowledged update was lost),
 *   - one update is seen at two versions (applied twice),
 *   - an update that was refused as certainly without effect is seen, or its
 *     repetition finds it applied,
 *   - an update is told that it lost to itself,
 *   - a read is older than an acknowledged update,
 *   - the last state is not the newest version that anybody saw.
 *
 * HISTORIES and SEED in the environment select other runs.
 */
#define NODES 4
#define KEYS 12
#define STEP_MS 10
#define HISTORY_MS 90000
#define SETTLE_MS 60000
#define MAX_OPEN 12
#define MAX_ATTEMPTS 6
/* Below and above the store's own time limit: an owner must tell a refused
 * write from an unanswered one also when the caller still waits. */
#define SHORT_TIMEOUT_MS 1500
#define LONG_TIMEOUT_MS 8000
#define DEFAULT_HISTORIES 150

typedef struct node {
	struct history *history;
	char address[32];
	object_store_t *store;
	shard_t *shard;
	uint64_t incarnation;
	int64_t paused_until_ms;
	bool crashing;
} node_t;

typedef struct update {
	struct history *history;
	uint64_t id;
	int key;
	uint64_t expected;
	int attempts;
	bool uncertain;
	bool refused;
	bool finished;
	bool is_read;
	uint64_t floor; /* newest acknowledged version when the read began */
	struct attempt *current;
} update_t;

typedef struct attempt {
	update_t *update;
	node_t *node;
	int64_t until_ms;
	bool abandoned;
} attempt_t;

typedef struct history {
	clock_manual_t clock;
	object_memory_t *memory;
	GRand *random;
	shard_stats_t stats;
	shard_budget_t budget;
	node_t nodes[NODES];
	GPtrArray *stores; /* of crashed nodes too */
	GPtrArray *updates; /* update_t */
	GPtrArray *attempts; /* attempt_t */
	uint32_t open;
	uint64_t ids;
	GHashTable *seen; /* "key/version" -> update id */
	GHashTable *versions; /* update id -> version */
	GHashTable *reported; /* update ids that an owner saw become durable */
	uint64_t newest[KEYS]; /* that anybody saw */
	uint64_t acknowledged[KEYS];
	int acknowledgements;
	int reads;
	int unknown;
	char problem[200];
} history_t;

static void fail(history_t *h, const char *what, int key, uint64_t version,
		 uint64_t id)
{
	if (!h->problem[0])
		snprintf(h->problem, sizeof(h->problem),
			 "%s: key %d version %" PRIu64 " update %" PRIu64
			 " at %" PRId64 " ms",
			 what, key, version, id, h->clock.monotonic_us / 1000);
}

static void make_key(int key, char *bytes)
{
	memset(bytes, 0, LEDGER_KEY_BYTES);
	/* Some keys share a fingerprint: a false hit must not hide a record. */
	bytes[0] = (char)(key / 2);
	bytes[5] = (char)key;
}

static void see(history_t *h, const ledger_record *record)
{
	int key = record->key[5];
	uint64_t id = 0;
	char *place = g_strdup_printf("%d/%" PRIu64, key, record->revision);
	uint64_t *known;

	memcpy(&id, record->data.data_val, sizeof(id));
	known = g_hash_table_lookup(h->seen, place);
	if (known && *known != id)
		fail(h, "two updates at one version", key, record->revision,
		     id);
	if (!known)
		g_hash_table_insert(h->seen, g_strdup(place),
				    g_memdup2(&id, sizeof(id)));
	g_free(place);
	known = g_hash_table_lookup(h->versions, &id);
	if (known && *known != record->revision)
		fail(h, "applied twice", key, record->revision, id);
	if (!known)
		g_hash_table_insert(h->versions, g_memdup2(&id, sizeof(id)),
				    g_memdup2(&record->revision, sizeof(id)));
	h->newest[key] = MAX(h->newest[key], record->revision);
}

static void on_changed(shard_t *shard, const ledger_record *record,
		       void *user_data)
{
	history_t *h = ((node_t *)user_data)->history;
	uint64_t id;

	memcpy(&id, record->data.data_val, sizeof(id));
	g_hash_table_add(h->reported, g_memdup2(&id, sizeof(id)));
	see(h, record);
}

/* A missing object means that something in use was removed. */
static void on_event(shard_t *shard, shard_event_t event, void *user_data)
{
	if (event == SHARD_BROKEN)
		fail(((node_t *)user_data)->history, "an object is missing", 0,
		     shard_epoch(shard), 0);
}

static int64_t now_ms(const history_t *h)
{
	return h->clock.monotonic_us / 1000;
}

static void node_start(node_t *node)
{
	history_t *h = node->history;
	shard_options_t options = {
		.store = object_memory_open(h->memory),
		.clock = &h->clock.base,
		.owner = node->address,
		.incarnation = ++node->incarnation,
		.budget = &h->budget,
		.stats = &h->stats,
		.observer = { on_event, on_changed, node },
		.ledger = { .seal_bytes = 1500,
			    .keep_bytes = 400,
			    .index_bytes = 200,
			    .cached_segments = 2 },
		.compact_after_ms = 10000,
	};

	node->store = options.store;
	g_ptr_array_add(h->stores, node->store);
	node->shard = shard_new(&options);
}

/* Calls on their way still take effect, nobody hears of it. */
static void node_crash(node_t *node)
{
	node->crashing = true;
	shard_free(node->shard);
	node->crashing = false;
	node_start(node);
}

/* One client update with its repetitions */

static void try_again(update_t *update);

static bool holds(const ledger_record *record, uint64_t id)
{
	return memcmp(record->data.data_val, &id, sizeof(id)) == 0;
}

static void update_end(update_t *update, const ledger_record *record,
		       const GError *error)
{
	history_t *h = update->history;

	update->finished = true;
	h->open--;
	if (record)
		see(h, record);
	if (update->is_read && record) {
		h->reads++;
		if (record->revision < update->floor)
			fail(h, "stale read", update->key, record->revision,
			     update->floor);
	} else if (update->is_read && error->code == WL_ERROR_NOT_FOUND &&
		   update->floor) {
		fail(h, "lost record", update->key, 0, update->floor);
	} else if (!update->is_read && !error) {
		uint64_t *version =
			g_hash_table_lookup(h->versions, &update->id);

		h->acknowledgements++;
		/* Only an attempt of unknown outcome may have written it
		 * before; one that was refused must not. */
		if (!update->uncertain &&
		    !g_hash_table_contains(h->reported, &update->id))
			fail(h, "a refused attempt took effect", update->key,
			     update->expected, update->id);
		if (!version || *version != update->expected + 1)
			fail(h, "acknowledged at another version", update->key,
			     version ? *version : 0, update->id);
		else
			h->acknowledged[update->key] =
				MAX(h->acknowledged[update->key], *version);
	} else if (record && holds(record, update->id)) {
		fail(h, "own update reported as a conflict", update->key,
		     record->revision, update->id);
	} else if (!update->is_read) {
		update->refused = !update->uncertain;
		h->unknown += update->uncertain;
	}
}

static void on_done(const ledger_record *record, const GError *error,
		    void *user_data)
{
	attempt_t *attempt = user_data;
	update_t *update = attempt->update;
	bool crashed = attempt->node->crashing;
	bool verdict = !error || error->code == WL_ERROR_CONFLICT ||
		       error->code == WL_ERROR_NOT_FOUND;

	if (attempt->abandoned || crashed) {
		if (!attempt->abandoned) {
			update->uncertain = true;
			try_again(update);
		}
		return;
	}
	if (verdict) {
		update_end(update, record, error);
		return;
	}
	if (error->code != WL_ERROR_UNAVAILABLE)
		update->uncertain = true;
	try_again(update);
}

static void start_attempt(update_t *update)
{
	history_t *h = update->history;
	attempt_t *attempt = g_new0(attempt_t, 1);
	ledger_record record = { .kind = 1, .owner_tag = (char *)"t" };
	char token[LEDGER_TOKEN_BYTES] = { 0 };
	char data[80] = { 0 };

	memcpy(token, &update->id, sizeof(update->id));
	memcpy(data, &update->id, sizeof(update->id));
	make_key(update->key, record.key);
	record.revision = update->expected;
	record.data.data_val = data;
	record.data.data_len = (u_int)(8 + update->id % 70);
	attempt->update = update;
	attempt->node = &h->nodes[g_rand_int_range(h->random, 0, NODES)];
	for (int i = 0; i < NODES; i++)
		if (shard_is_owner(h->nodes[i].shard) &&
		    g_rand_int_range(h->random, 0, 4) > 0)
			attempt->node = &h->nodes[i];
	attempt->until_ms = now_ms(h) + (g_rand_int_range(h->random, 0, 2) ?
						 SHORT_TIMEOUT_MS :
						 LONG_TIMEOUT_MS);
	update->current = attempt;
	g_ptr_array_add(h->attempts, attempt);
	if (update->is_read)
		shard_get(attempt->node->shard, record.key, attempt->until_ms,
			  on_done, attempt);
	else
		shard_update(attempt->node->shard, &record, token,
			     attempt->until_ms, on_done, attempt);
}

static void try_again(update_t *update)
{
	GError gone = { WL_ERROR, WL_ERROR_UNAVAILABLE, "given up" };

	update->current = NULL;
	if (++update->attempts >= MAX_ATTEMPTS)
		update_end(update, NULL, &gone);
}

static void client_step(history_t *h, bool may_begin)
{
	for (guint i = 0; i < h->updates->len; i++) {
		update_t *update = h->updates->pdata[i];
		attempt_t *attempt = update->current;

		if (update->finished)
			continue;
		if (attempt && attempt->until_ms + 50 < now_ms(h)) {
			attempt->abandoned = true;
			update->uncertain = true;
			try_again(update);
		}
		if (!update->finished && !update->current &&
		    g_rand_int_range(h->random, 0, 10) == 0)
			start_attempt(update);
	}
	if (may_begin && h->open < MAX_OPEN &&
	    g_rand_int_range(h->random, 0, 5) == 0) {
		update_t *update = g_new0(update_t, 1);

		update->history = h;
		update->id = ++h->ids;
		update->key = g_rand_int_range(h->random, 0, KEYS);
		update->expected = h->newest[update->key];
		update->is_read = g_rand_int_range(h->random, 0, 4) == 0;
		update->floor = h->acknowledged[update->key];
		h->open++;
		g_ptr_array_add(h->updates, update);
		start_attempt(update);
	}
}

/* Faults */

static void change_faults(history_t *h)
{
	bool candidate;
	object_memory_faults_t *faults = object_memory_faults(h->memory);
	node_t *node = &h->nodes[g_rand_int_range(h->random, 0, NODES)];

	switch (g_rand_int_range(h->random, 0, 10)) {
	case 0:
		faults->outage_until_ms =
			now_ms(h) + g_rand_int_range(h->random, 100, 9000);
		break;
	case 1:
		faults->lose_answers = g_rand_double(h->random) * 0.4;
		break;
	case 2:
		faults->lose_answers = faults->lose_calls = 0;
		faults->late_writes = 0;
		break;
	case 3:
		faults->lose_calls = g_rand_double(h->random) * 0.2;
		break;
	case 4:
		faults->late_writes = g_rand_double(h->random) * 0.3;
		faults->delay_ms = g_rand_int_range(h->random, 0, 2) ?
					   g_rand_int_range(h->random, 0, 50) :
					   3500;
		break;
	case 5:
		/* Mostly the owner, often beyond the lease. */
		for (int i = 0; i < NODES; i++)
			if (shard_is_owner(h->nodes[i].shard) &&
			    g_rand_int_range(h->random, 0, 4) > 0)
				node = &h->nodes[i];
		node->paused_until_ms =
			now_ms(h) + g_rand_int_range(h->random, 500, 20000);
		break;
	case 6:
		node_crash(node);
		break;
	case 7:
		shard_release(node->shard);
		break;
	case 8:
		object_memory_cut(node->store,
				  g_rand_int_range(h->random, 0, 2));
		break;
	default:
		candidate = g_rand_int_range(h->random, 0, 2);
		shard_set_candidate(node->shard, candidate);
		shard_set_standby(node->shard, !candidate);
		break;
	}
}

static void node_step(node_t *node)
{
	history_t *h = node->history;

	if (now_ms(h) < node->paused_until_ms)
		return;
	/* A released node starts anew, as after a restart. */
	if (shard_is_released(node->shard))
		node_crash(node);
	object_memory_deliver(node->store);
	shard_step(node->shard);
}

static void history_step(history_t *h, bool may_begin)
{
	clock_manual_advance_ms(&h->clock, STEP_MS);
	object_memory_step(h->memory);
	for (int i = 0; i < NODES; i++)
		node_step(&h->nodes[i]);
	client_step(h, may_begin);
}

static void heal(history_t *h)
{
	object_memory_faults_t *faults = object_memory_faults(h->memory);

	faults->outage_until_ms = 0;
	faults->lose_answers = faults->lose_calls = faults->late_writes = 0;
	faults->delay_ms = 5;
	for (int i = 0; i < NODES; i++) {
		h->nodes[i].paused_until_ms = 0;
		object_memory_cut(h->nodes[i].store, false);
		shard_set_candidate(h->nodes[i].shard, i == 0);
	}
	for (int t = 0; t < SETTLE_MS / STEP_MS; t++) {
		/* Node 0 may restart once more after its release. */
		shard_set_candidate(h->nodes[0].shard, true);
		history_step(h, false);
	}
}

static void on_final(const ledger_record *record, const GError *error,
		     void *user_data)
{
	history_t *h = user_data;

	if (record)
		see(h, record);
	if (error && error->code != WL_ERROR_NOT_FOUND)
		fail(h, "final read failed", 0, 0, 0);
	else if (record && record->revision != h->newest[(int)record->key[5]])
		fail(h, "final state is not the newest", record->key[5],
		     record->revision, h->newest[(int)record->key[5]]);
	h->open--;
}

static void on_final_list(const GPtrArray *records, const GError *error,
			  void *user_data)
{
	history_t *h = user_data;
	guint expected = 0;

	for (int i = 0; i < KEYS; i++)
		expected += h->newest[i] > 0;
	if (error || records->len != expected)
		fail(h, error ? error->message : "final list is incomplete", 0,
		     error ? 0 : records->len, expected);
	for (guint i = 0; !error && i < records->len; i++) {
		const ledger_record *record = records->pdata[i];

		if (record->revision != h->newest[(int)record->key[5]])
			fail(h, "final list is stale", record->key[5],
			     record->revision, 0);
	}
	h->open--;
}

static void check_final(history_t *h)
{
	if (!shard_is_owner(h->nodes[0].shard)) {
		fail(h, "nobody owns the shard after all faults ended", 0, 0,
		     0);
		return;
	}
	for (int i = 0; i < KEYS; i++) {
		char key[LEDGER_KEY_BYTES];

		make_key(i, key);
		h->open++;
		shard_get(h->nodes[0].shard, key, now_ms(h) + 10000, on_final,
			  h);
	}
	h->open++;
	shard_list(h->nodes[0].shard, 1, now_ms(h) + 10000, on_final_list, h);
	for (int t = 0; t < 2000 && h->open; t++)
		history_step(h, false);
	if (h->open)
		fail(h, "operations never ended", (int)h->open, 0, 0);
	for (guint i = 0; i < h->updates->len; i++) {
		const update_t *update = h->updates->pdata[i];

		if (update->refused && !update->is_read &&
		    g_hash_table_contains(h->versions, &update->id))
			fail(h, "refused but applied", update->key,
			     update->expected + 1, update->id);
	}
}

static void history_free(history_t *h)
{
	for (int i = 0; i < NODES; i++)
		shard_free(h->nodes[i].shard);
	/* The last completions free the shards of crashed nodes. */
	clock_manual_advance_ms(&h->clock, 100000);
	object_memory_step(h->memory);
	for (guint i = 0; i < h->stores->len; i++) {
		object_memory_deliver(h->stores->pdata[i]);
		object_store_free(h->stores->pdata[i]);
	}
	g_ptr_array_free(h->stores, TRUE);
	g_ptr_array_free(h->updates, TRUE);
	g_ptr_array_free(h->attempts, TRUE);
	g_hash_table_destroy(h->seen);
	g_hash_table_destroy(h->versions);
	g_hash_table_destroy(h->reported);
	object_memory_free(h->memory);
	g_rand_free(h->random);
}

/* Returns FALSE and prints the seed when the history fails. */
static gboolean run_history(uint32_t seed, shard_stats_t *total, int *acks)
{
	history_t h = { 0 };
	const int64_t *from = (const int64_t *)(const void *)&h.stats;
	int64_t *to = (int64_t *)(void *)total;

	clock_manual_init(&h.clock, 1700000000000);
	h.random = g_rand_new_with_seed(seed);
	h.memory = object_memory_new(&h.clock.base, seed);
	h.budget.writes_per_s = 50;
	h.stores = g_ptr_array_new();
	h.updates = g_ptr_array_new_with_free_func(g_free);
	h.attempts = g_ptr_array_new_with_free_func(g_free);
	h.seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	h.versions = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	h.reported = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   NULL);
	for (int i = 0; i < NODES; i++) {
		h.nodes[i].history = &h;
		snprintf(h.nodes[i].address, sizeof(h.nodes[i].address),
			 "127.0.0.1:%d", 7000 + i);
		node_start(&h.nodes[i]);
		shard_set_candidate(h.nodes[i].shard, i < 2);
	}
	for (int t = 0; t < HISTORY_MS / STEP_MS; t++) {
		if (g_rand_int_range(h.random, 0, 150) == 0)
			change_faults(&h);
		history_step(&h, true);
	}
	heal(&h);
	check_final(&h);
	for (size_t i = 0; i < sizeof(h.stats) / sizeof(int64_t); i++)
		to[i] += from[i];
	*acks += h.acknowledgements;
	history_free(&h);
	if (h.problem[0])
		printf("seed %u: %s\n", seed, h.problem);
	return !h.problem[0];
}

static void test_histories(void)
{
	const char *count = getenv("HISTORIES");
	const char *first = getenv("SEED");
	uint32_t histories = count ? (uint32_t)atoi(count) : DEFAULT_HISTORIES;
	uint32_t seed = first ? (uint32_t)atoi(first) : 1;
	shard_stats_t total = { 0 };
	int acks = 0;
	int failures = 0;

	for (uint32_t i = 0; i < histories; i++)
		if (!run_history(seed + i, &total, &acks))
			failures++;
	printf("%u histories: %d acknowledged, %" PRId64 " takeovers, %" PRId64
	       " losses, %" PRId64 " uncertain writes, %" PRId64
	       " repeats, %" PRId64 " segment reads\n",
	       histories, acks, total.takeovers, total.losses, total.uncertain,
	       total.repeats, total.segment_reads);
	CU_ASSERT_EQUAL(failures, 0);
	/* The histories must reach what they are for. */
	CU_ASSERT(acks > 0);
	CU_ASSERT(total.takeovers > (int64_t)histories);
	CU_ASSERT(total.losses > 0);
	CU_ASSERT(total.uncertain > 0);
	CU_ASSERT(total.repeats > 0);
	CU_ASSERT(total.segment_reads > 0);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "histories with faults against one map", test_histories },
		{ NULL, NULL },
	};

	return unit_run("ledger_history", tests);
}
