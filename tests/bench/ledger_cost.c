/* Benchmark of the ledger, run manually:
 *   make build/tests/bench/ledger_cost && build/tests/bench/ledger_cost
 * First table: one shard's ledger with 200-byte results at several sizes,
 * sealed as in production. Second table: one shard's writes at several rates
 * of claims (each claim is two updates: the claim, and its result after 1 s),
 * over a store that responds within 4 ms, on a simulated clock. Third table:
 * bytes and writes of one shard at its share of the writes of the design size,
 * with results of 1.7 KB, after its head has reached its steady-state size.
 * The second and third table are in simulated time, except the CPU column. */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "coord/shard.h"
#include "object/object_memory.h"

#define T0 1700000000000ULL
#define DATA_BYTES 200
#define CLAIM_BYTES 60
#define RESULT_BYTES 1700
#define MEASURED_S 60
#define RESULT_DELAY_MS 1000

static double cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void fill_key(char *key, uint64_t number)
{
	uint64_t hash[2] = { number * 0x9e3779b97f4a7c15ULL,
			     number ^ 0xbf58476d1ce4e5b9ULL };

	hash[0] ^= hash[0] >> 31;
	hash[0] *= 0x94d049bb133111ebULL;
	memcpy(key, hash, LEDGER_KEY_BYTES);
}

static void fill_record(ledger_record *record, uint64_t number, char *data)
{
	*record = (ledger_record){ .kind = 1,
				   .expire_ms = T0 + 86400000,
				   .owner_tag = (char *)"guild/workshop-1" };
	fill_key(record->key, number);
	record->data.data_val = data;
	record->data.data_len = DATA_BYTES;
}

static void seal_all(ledger_t *ledger, uint64_t *ids, GHashTable *indexes,
		     size_t *written)
{
	ledger_write_t *write;

	while ((write = ledger_write_next(ledger, ++*ids, T0)) != NULL) {
		*written += g_bytes_get_size(write->data);
		if (write->is_index)
			g_hash_table_insert(indexes, g_memdup2(&write->id, 8),
					    g_bytes_ref(write->data));
		ledger_write_done(ledger, write);
	}
}

/* The head is encoded too, since its cost and its size decide when to seal. */
static void commit(ledger_t *ledger, uint64_t *ids, GHashTable *indexes,
		   size_t *written)
{
	ledger_head head = { .owner = (char *)"127.0.0.1:1" };
	GBytes *bytes;

	seal_all(ledger, ids, indexes, written);
	bytes = ledger_encode_head(ledger, &head, T0);
	*written += g_bytes_get_size(bytes);
	g_bytes_unref(bytes);
}

static void measure_replay(ledger_t *ledger, GHashTable *indexes, double *us,
			   size_t *bytes, uint32_t *objects)
{
	ledger_head head = { .owner = (char *)"127.0.0.1:1" };
	GBytes *stored = ledger_encode_head(ledger, &head, T0);
	ledger_t *copy = ledger_new(NULL);
	gsize len;
	const void *data = g_bytes_get_data(stored, &len);
	double start = cpu_us();
	uint64_t id;

	ledger_replay(copy, data, len, &head, NULL);
	*bytes = len;
	*objects = 1;
	while ((id = ledger_missing_index(copy)) != 0) {
		data = g_bytes_get_data(g_hash_table_lookup(indexes, &id),
					&len);
		ledger_load_index(copy, id, data, len, NULL);
		*bytes += len;
		++*objects;
	}
	*us = cpu_us() - start;
	xdr_free((xdrproc_t)xdr_ledger_head, (char *)&head);
	ledger_free(copy);
	g_bytes_unref(stored);
}

static void measure_size(uint64_t records)
{
	size_t before = heap_bytes();
	ledger_t *ledger = ledger_new(NULL);
	GHashTable *indexes =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      (GDestroyNotify)g_bytes_unref);
	GHashTableIter iter;
	void *stored;
	char data[DATA_BYTES] = { 0 };
	char token[LEDGER_TOKEN_BYTES] = { 1 };
	uint64_t ids = 0;
	size_t written = 0;
	size_t heap_used;
	size_t replay_bytes;
	uint32_t objects;
	double replay_us;
	double start = cpu_us();
	double used_us;

	for (uint64_t i = 0; i < records; i++) {
		ledger_lookup_t found = { 0 };
		ledger_undo_t *undo;
		ledger_record record;

		fill_record(&record, i, data);
		ledger_update(ledger, &record, token, T0, &found, &undo);
		ledger_undo_free(undo);
		if (i % 50 == 0)
			commit(ledger, &ids, indexes, &written);
	}
	used_us = cpu_us() - start;
	heap_used = heap_bytes() - before;
	g_hash_table_iter_init(&iter, indexes);
	while (g_hash_table_iter_next(&iter, NULL, &stored))
		heap_used -= g_bytes_get_size(stored);
	measure_replay(ledger, indexes, &replay_us, &replay_bytes, &objects);
	printf("records=%" PRIu64 " cpu_us_per_record=%.2f heap_bytes=%zu "
	       "heap_bytes_per_record=%.1f index_bytes_per_record=%.1f "
	       "segments=%u written_bytes_per_record=%.0f replay_ms=%.1f "
	       "replay_objects=%u replay_bytes=%zu\n",
	       records, used_us / (double)records, heap_used,
	       (double)heap_used / (double)records,
	       (double)ledger_index_bytes(ledger) / (double)records,
	       ledger_segment_count(ledger), (double)written / (double)records,
	       replay_us / 1e3, objects, replay_bytes);
	g_hash_table_destroy(indexes);
	ledger_free(ledger);
}

typedef struct offer_case {
	uint32_t updates_per_s; /* a claim is two updates */
	double budget_per_s;
	uint32_t warmup_s; /* excluded from the measurement */
	uint32_t claim_bytes;
	uint32_t result_bytes;
} offer_case_t;

typedef struct offer {
	const offer_case_t *options;
	clock_manual_t clock;
	shard_t *shard;
	GQueue results; /* claim_t that wait for their result */
	uint64_t claims;
	uint64_t done;
	uint64_t failed;
	double latency_ms;
	double max_latency_ms;
} offer_t;

typedef struct claim {
	offer_t *offer;
	uint64_t number;
	int64_t started_ms;
	int64_t result_at_ms;
	bool finishing;
} claim_t;

static void claim_send(claim_t *claim);

static void on_done(const ledger_record *record, const GError *error,
		    void *user_data)
{
	claim_t *claim = user_data;
	offer_t *offer = claim->offer;
	int64_t now = clock_now_ms(&offer->clock.base);
	double latency = (double)(now - claim->started_ms);

	if (error) {
		offer->failed++;
		g_free(claim);
		return;
	}
	offer->done++;
	offer->latency_ms += latency;
	offer->max_latency_ms = MAX(offer->max_latency_ms, latency);
	if (claim->finishing) {
		g_free(claim);
		return;
	}
	claim->finishing = true;
	claim->result_at_ms = now + RESULT_DELAY_MS;
	g_queue_push_tail(&offer->results, claim);
}

static void claim_send(claim_t *claim)
{
	static uint64_t tokens;
	char token[LEDGER_TOKEN_BYTES] = { 0 };
	char data[RESULT_BYTES] = { 0 };
	const offer_case_t *options = claim->offer->options;
	ledger_record record;

	fill_record(&record, claim->number, data);
	record.data.data_len =
		claim->finishing ? options->result_bytes : options->claim_bytes;
	record.revision = claim->finishing ? 1 : 0;
	tokens++;
	memcpy(token, &tokens, sizeof(tokens));
	claim->started_ms = clock_now_ms(&claim->offer->clock.base);
	shard_update(claim->offer->shard, &record, token,
		     claim->started_ms + 5000, on_done, claim);
}

static void offer_step(offer_t *offer, int64_t ms)
{
	uint64_t target = (uint64_t)ms * offer->options->updates_per_s / 2000;
	claim_t *claim;

	while (offer->claims < target) {
		claim = g_new0(claim_t, 1);
		claim->offer = offer;
		claim->number = offer->claims++;
		claim_send(claim);
	}
	while ((claim = g_queue_peek_head(&offer->results)) != NULL &&
	       claim->result_at_ms <= clock_now_ms(&offer->clock.base))
		claim_send(g_queue_pop_head(&offer->results));
}

/* Counters at the start of the measured time. */
typedef struct baseline {
	object_memory_stats_t stored;
	shard_stats_t stats;
	uint64_t done;
	double latency_ms;
} baseline_t;

static void print_offer(const offer_t *offer, const baseline_t *start,
			const shard_stats_t *stats,
			const object_memory_stats_t *stored, double used_us)
{
	double writes = (double)(stored->writes - start->stored.writes);
	double bytes =
		(double)(stored->bytes_written - start->stored.bytes_written);
	double updates = (double)(stats->updates - start->stats.updates);
	double heads = (double)(stats->head_writes - start->stats.head_writes);

	printf("updates_per_s=%u result_bytes=%u budget=%.1f writes_per_s=%.2f "
	       "heads_per_s=%.2f updates_per_head=%.1f mean_ms=%.1f "
	       "max_ms=%.0f failed=%" PRIu64 " segment_reads=%" PRId64
	       " stored_kb_per_s=%.1f stored_bytes_per_update=%.0f "
	       "writes_per_update=%.3f segments=%u cpu_us_per_update=%.1f\n",
	       offer->options->updates_per_s, offer->options->result_bytes,
	       offer->options->budget_per_s, writes / MEASURED_S,
	       heads / MEASURED_S, updates / heads,
	       (offer->latency_ms - start->latency_ms) /
		       (double)MAX(offer->done - start->done, 1),
	       offer->max_latency_ms, offer->failed, stats->segment_reads,
	       bytes / MEASURED_S / 1e3, bytes / MAX(updates, 1),
	       writes / MAX(updates, 1),
	       ledger_segment_count(shard_ledger(offer->shard)),
	       used_us / MAX(updates, 1));
}

static void measure_offer(const offer_case_t *options)
{
	offer_t offer = { .options = options };
	baseline_t start = { 0 };
	shard_stats_t stats = { 0 };
	shard_budget_t budget = { .writes_per_s = options->budget_per_s };
	object_memory_t *memory;
	shard_options_t shard_options = { .clock = &offer.clock.base,
					  .owner = "127.0.0.1:1",
					  .incarnation = 1,
					  .budget = &budget,
					  .stats = &stats };
	int64_t end_ms = (int64_t)(options->warmup_s + MEASURED_S) * 1000;
	double used_us = cpu_us();

	clock_manual_init(&offer.clock, T0);
	memory = object_memory_new(&offer.clock.base, 1);
	object_memory_faults(memory)->delay_ms = 2;
	shard_options.store = object_memory_open(memory);
	offer.shard = shard_new(&shard_options);
	shard_set_candidate(offer.shard, true);
	for (int64_t ms = 0; ms < end_ms; ms++) {
		if (ms == (int64_t)options->warmup_s * 1000) {
			start = (baseline_t){ *object_memory_stats(memory),
					      stats, offer.done,
					      offer.latency_ms };
			used_us = cpu_us();
		}
		clock_manual_advance_ms(&offer.clock, 1);
		object_memory_step(memory);
		object_memory_deliver(shard_options.store);
		offer_step(&offer, ms);
		shard_step(offer.shard);
	}
	print_offer(&offer, &start, &stats, object_memory_stats(memory),
		    cpu_us() - used_us);
	shard_free(offer.shard);
	clock_manual_advance_ms(&offer.clock, 100000);
	object_memory_step(memory);
	object_memory_deliver(shard_options.store);
	object_store_free(shard_options.store);
	object_memory_free(memory);
	while (!g_queue_is_empty(&offer.results))
		g_free(g_queue_pop_head(&offer.results));
}

static void measure_offers(void)
{
	static const uint32_t claims[] = { 1, 10, 100, 500, 1000, 2000 };
	static const double budgets[] = { 12.5, 100 };
	static const offer_case_t shares[] = {
		{ 1, 4.2, 600, CLAIM_BYTES, RESULT_BYTES },
		{ 10, 4.2, 120, CLAIM_BYTES, RESULT_BYTES },
		{ 100, 4.2, 40, CLAIM_BYTES, RESULT_BYTES },
		{ 350, 4.2, 40, CLAIM_BYTES, RESULT_BYTES },
	};

	for (size_t b = 0; b < G_N_ELEMENTS(budgets); b++)
		for (size_t i = 0; i < G_N_ELEMENTS(claims); i++) {
			offer_case_t options = { claims[i] * 2, budgets[b], 0,
						 DATA_BYTES, DATA_BYTES };

			measure_offer(&options);
		}
	for (size_t i = 0; i < G_N_ELEMENTS(shares); i++)
		measure_offer(&shares[i]);
}

int main(void)
{
	static const uint64_t sizes[] = { 1000, 10000, 100000, 1000000,
					  2000000 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure_size(sizes[i]);
	measure_offers();
	return 0;
}
