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
 * Runs the shard and ledger code of several nodes over one store with injected
 * faults, in histories generated from a seed, and compares all observed records
 * with a simple model: one map from (key, version) to the update that wrote it.
 *
 * A history fails when
 *   - two updates are observed at the same version of a key (a fork: an
 *     acknowledged update was lost),
 *   - one update is observed at two versions (applied twice),
 *   - an update that was refused as certainly without effect is observed, or a
 *     retry of it finds it applied,
 *   - an update is reported as a conflict with itself,
 *   - a read returns a record older than an acknowledged update,
 *   - the final state is not the newest observed version.
 *
 * The environment variables HISTORIES and SEED set the number of histories and
 * the first seed.
 */
#define NODES 4
#define KEYS 12
#define STEP_MS 10
#define HISTORY_MS 90000
#define RECOVERY_MS 60000
#define MAX_IN_FLIGHT 12
#define MAX_ATTEMPTS 6
/* Below and above the store's own timeout: an owner must distinguish a refused
 * write from one without a response also while the caller still waits. */
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
	uint64_t floor; /* newest acknowledged version at the start */
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
	GPtrArray *stores; /* including those of crashed nodes */
	GPtrArray *updates; /* update_t */
	GPtrArray *attempts; /* attempt_t */
	uint32_t in_flight;
	uint64_t ids;
	GHashTable *seen; /* "key/version" -> update id */
	GHashTable *versions; /* update id -> version */
	GHashTable *durable; /* update ids that an owner reported as durable */
	uint64_t newest[KEYS]; /* newest observed version */
	uint64_t acknowledged[KEYS];
	int acknowledgements;
	int reads;
	int unknown;
	char failure[200];
} history_t;

static void fail(history_t *h, const char *what, int key, uint64_t version,
		 uint64_t id)
{
	if (!h->failure[0])
		snprintf(h->failure, sizeof(h->failure),
			 "%s: key %d version %" PRIu64 " update %" PRIu64
			 " at %" PRId64 " ms",
			 what, key, version, id, h->clock.monotonic_us / 1000);
}

static void make_key(int key, char *bytes)
{
	memset(bytes, 0, LEDGER_KEY_BYTES);
	/* Pairs of keys share a fingerprint, since a false match must not hide
	 * a record. */
	bytes[0] = (char)(key / 2);
	bytes[5] = (char)key;
}

static void observe_record(history_t *h, const ledger_record *record)
{
	int key = record->key[5];
	uint64_t id = 0;
	char *version_key =
		g_strdup_printf("%d/%" PRIu64, key, record->revision);
	uint64_t *previous;

	memcpy(&id, record->data.data_val, sizeof(id));
	previous = g_hash_table_lookup(h->seen, version_key);
	if (previous && *previous != id)
		fail(h, "two updates at one version", key, record->revision,
		     id);
	if (!previous)
		g_hash_table_insert(h->seen, g_strdup(version_key),
				    g_memdup2(&id, sizeof(id)));
	g_free(version_key);
	previous = g_hash_table_lookup(h->versions, &id);
	if (previous && *previous != record->revision)
		fail(h, "applied twice", key, record->revision, id);
	if (!previous)
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
	g_hash_table_add(h->durable, g_memdup2(&id, sizeof(id)));
	observe_record(h, record);
}

/* A missing object means that a referenced object was removed. */
static void on_event(shard_t *shard, shard_event_t event, void *user_data)
{
	if (event == SHARD_BROKEN)
		fail(((node_t *)user_data)->history,
		     "a referenced object is missing or malformed", 0,
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

/* Store calls in flight still take effect, but their results are lost. */
static void node_crash(node_t *node)
{
	node->crashing = true;
	shard_free(node->shard);
	node->crashing = false;
	node_start(node);
}

/* One client update with its retries */

static void end_attempt(update_t *update);

static bool written_by(const ledger_record *record, uint64_t id)
{
	return memcmp(record->data.data_val, &id, sizeof(id)) == 0;
}

static void update_end(update_t *update, const ledger_record *record,
		       const GError *error)
{
	history_t *h = update->history;

	update->finished = true;
	h->in_flight--;
	if (record)
		observe_record(h, record);
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
		/* Unless it was reported as durable, the update may only have
		 * been written by an attempt of unknown outcome, not by one
		 * that was refused. */
		if (!update->uncertain &&
		    !g_hash_table_contains(h->durable, &update->id))
			fail(h, "a refused attempt took effect", update->key,
			     update->expected, update->id);
		if (!version || *version != update->expected + 1)
			fail(h, "acknowledged at another version", update->key,
			     version ? *version : 0, update->id);
		else
			h->acknowledged[update->key] =
				MAX(h->acknowledged[update->key], *version);
	} else if (record && written_by(record, update->id)) {
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
	bool definite = !error || error->code == WL_ERROR_CONFLICT ||
			error->code == WL_ERROR_NOT_FOUND;

	if (attempt->abandoned || crashed) {
		if (!attempt->abandoned) {
			update->uncertain = true;
			end_attempt(update);
		}
		return;
	}
	if (definite) {
		update_end(update, record, error);
		return;
	}
	if (error->code != WL_ERROR_UNAVAILABLE)
		update->uncertain = true;
	end_attempt(update);
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

static void end_attempt(update_t *update)
{
	GError unavailable = { WL_ERROR, WL_ERROR_UNAVAILABLE,
			       "too many attempts" };

	update->current = NULL;
	if (++update->attempts >= MAX_ATTEMPTS)
		update_end(update, NULL, &unavailable);
}

static void client_step(history_t *h, bool allow_new)
{
	for (guint i = 0; i < h->updates->len; i++) {
		update_t *update = h->updates->pdata[i];
		attempt_t *attempt = update->current;

		if (update->finished)
			continue;
		if (attempt && attempt->until_ms + 50 < now_ms(h)) {
			attempt->abandoned = true;
			update->uncertain = true;
			end_attempt(update);
		}
		if (!update->finished && !update->current &&
		    g_rand_int_range(h->random, 0, 10) == 0)
			start_attempt(update);
	}
	if (allow_new && h->in_flight < MAX_IN_FLIGHT &&
	    g_rand_int_range(h->random, 0, 5) == 0) {
		update_t *update = g_new0(update_t, 1);

		update->history = h;
		update->id = ++h->ids;
		update->key = g_rand_int_range(h->random, 0, KEYS);
		update->expected = h->newest[update->key];
		update->is_read = g_rand_int_range(h->random, 0, 4) == 0;
		update->floor = h->acknowledged[update->key];
		h->in_flight++;
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
		/* Usually pauses the owner, often for longer than the lease. */
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
	/* A node that has released its shard is restarted. */
	if (shard_is_released(node->shard))
		node_crash(node);
	object_memory_deliver(node->store);
	shard_step(node->shard);
}

static void history_step(history_t *h, bool allow_new)
{
	clock_manual_advance_ms(&h->clock, STEP_MS);
	object_memory_step(h->memory);
	for (int i = 0; i < NODES; i++)
		node_step(&h->nodes[i]);
	client_step(h, allow_new);
}

static void end_faults(history_t *h)
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
	for (int t = 0; t < RECOVERY_MS / STEP_MS; t++) {
		/* Repeated because node 0 may restart after a release. */
		shard_set_candidate(h->nodes[0].shard, true);
		history_step(h, false);
	}
}

static void on_final(const ledger_record *record, const GError *error,
		     void *user_data)
{
	history_t *h = user_data;

	if (record)
		observe_record(h, record);
	if (error && error->code != WL_ERROR_NOT_FOUND)
		fail(h, "final read failed", 0, 0, 0);
	else if (record && record->revision != h->newest[(int)record->key[5]])
		fail(h, "final state is not the newest", record->key[5],
		     record->revision, h->newest[(int)record->key[5]]);
	h->in_flight--;
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
	h->in_flight--;
}

static void check_final(history_t *h)
{
	if (!shard_is_owner(h->nodes[0].shard)) {
		fail(h, "no node owns the shard after all faults ended", 0, 0,
		     0);
		return;
	}
	for (int i = 0; i < KEYS; i++) {
		char key[LEDGER_KEY_BYTES];

		make_key(i, key);
		h->in_flight++;
		shard_get(h->nodes[0].shard, key, now_ms(h) + 10000, on_final,
			  h);
	}
	h->in_flight++;
	shard_list(h->nodes[0].shard, 1, now_ms(h) + 10000, on_final_list, h);
	for (int t = 0; t < 2000 && h->in_flight; t++)
		history_step(h, false);
	if (h->in_flight)
		fail(h, "operations without a result", (int)h->in_flight, 0, 0);
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
	/* The shards of crashed nodes are freed by their last completions. */
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
	g_hash_table_destroy(h->durable);
	object_memory_free(h->memory);
	g_rand_free(h->random);
}

/* Prints the seed and returns FALSE when the history fails. */
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
	h.durable = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
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
	end_faults(&h);
	check_final(&h);
	for (size_t i = 0; i < sizeof(h.stats) / sizeof(int64_t); i++)
		to[i] += from[i];
	*acks += h.acknowledgements;
	history_free(&h);
	if (h.failure[0])
		printf("seed %u: %s\n", seed, h.failure);
	return !h.failure[0];
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
	/* The histories must exercise takeovers, lost ownership, writes of
	 * unknown outcome, repeated tokens and segment reads. */
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
		{ "histories with faults against a model", test_histories },
		{ NULL, NULL },
	};

	return unit_run("ledger_history", tests);
}
