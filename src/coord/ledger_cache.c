#include "coord/ledger_cache.h"

#include <stdlib.h>
#include <string.h>

#include "coord/ledger_record.h"

void ledger_cache_free(void *data)
{
	cached_t *cached = data;

	xdr_free((xdrproc_t)xdr_ledger_segment, (char *)&cached->segment);
	g_free(cached);
}

const cached_t *ledger_cache_get(ledger_t *ledger, uint64_t id)
{
	cached_t *cached = g_hash_table_lookup(ledger->cache, &id);

	if (cached)
		cached->last_use = ++ledger->use_count;
	return cached;
}

const ledger_record *ledger_cache_find(const cached_t *cached, const void *key)
{
	ledger_record wanted;

	memcpy(wanted.key, key, LEDGER_KEY_BYTES);
	return bsearch(&wanted, cached->segment.records.records_val,
		       cached->segment.records.records_len,
		       sizeof(ledger_record), ledger_record_compare);
}

static void cache_evict(ledger_t *ledger)
{
	GHashTableIter iter;
	void *key;
	void *value;
	const uint64_t *oldest = NULL;
	uint64_t oldest_used = UINT64_MAX;

	if (g_hash_table_size(ledger->cache) < ledger->options.cached_segments)
		return;
	g_hash_table_iter_init(&iter, ledger->cache);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const cached_t *cached = value;

		if (cached->last_use < oldest_used) {
			oldest_used = cached->last_use;
			oldest = key;
		}
	}
	if (oldest)
		g_hash_table_remove(ledger->cache, oldest);
}

gboolean ledger_segment_is_loaded(const ledger_t *ledger, uint64_t id)
{
	return g_hash_table_contains(ledger->cache, &id);
}

gboolean ledger_load_segment(ledger_t *ledger, uint64_t id, const void *data,
			     size_t len, GError **error)
{
	cached_t *cached = g_new0(cached_t, 1);
	uint64_t *key;

	if (!ledger_record_decode((xdrproc_t)xdr_ledger_segment,
				  &cached->segment, data, len, "segment",
				  error)) {
		ledger_cache_free(cached);
		return FALSE;
	}
	cached->last_use = ++ledger->use_count;
	cache_evict(ledger);
	key = g_new(uint64_t, 1);
	*key = id;
	g_hash_table_replace(ledger->cache, key, cached);
	return TRUE;
}
