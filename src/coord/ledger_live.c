#include "coord/ledger_live.h"

#include <string.h>

#include "coord/ledger_index.h"
#include "coord/ledger_record.h"

guint ledger_live_key_hash(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

gboolean ledger_live_key_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, LEDGER_KEY_BYTES) == 0;
}

void ledger_live_unref(void *data)
{
	live_t *live = data;

	if (--live->refs > 0)
		return;
	ledger_record_free(live->record);
	g_free(live);
}

uint32_t ledger_live_kind(const ledger_record *record)
{
	return record->kind % LEDGER_MAX_KINDS;
}

live_t *ledger_live_get(const ledger_t *ledger, const void *key)
{
	return g_hash_table_lookup(ledger->live, key);
}

void ledger_live_remove(ledger_t *ledger, const void *key)
{
	const live_t *live = ledger_live_get(ledger, key);

	if (!live)
		return;
	ledger->live_bytes -= ledger_record_bytes(live->record);
	ledger->kind_bytes[ledger_live_kind(live->record)] -=
		ledger_record_bytes(live->record);
	g_hash_table_remove(ledger->live, key);
}

void ledger_live_put(ledger_t *ledger, live_t *live)
{
	ledger_live_remove(ledger, live->record->key);
	ledger->live_bytes += ledger_record_bytes(live->record);
	ledger->kind_bytes[ledger_live_kind(live->record)] +=
		ledger_record_bytes(live->record);
	g_hash_table_insert(ledger->live, live->record->key, live);
}

live_t *ledger_live_new(ledger_t *ledger, ledger_record *record)
{
	live_t *live = g_new0(live_t, 1);

	live->record = record;
	live->refs = 1;
	live->changed = ++ledger->changes;
	return live;
}

bool ledger_live_is_ahead(const ledger_t *ledger, const live_t *live)
{
	return ledger->ahead && live->ahead == ledger->ahead->id;
}

void ledger_live_drop_expired(ledger_t *ledger, uint64_t now_ms)
{
	GPtrArray *keys = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ledger->live);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ledger_record *record = ((live_t *)value)->record;

		/* An expired record stays while a segment may hold an older
		 * version of it, which it must keep hiding. */
		if (ledger_record_expired(record, now_ms) &&
		    !ledger_index_next(ledger,
				       ledger_record_fingerprint(record->key),
				       UINT64_MAX))
			g_ptr_array_add(keys, record->key);
	}
	for (guint i = 0; i < keys->len; i++) {
		char key[LEDGER_KEY_BYTES];

		memcpy(key, keys->pdata[i], sizeof(key));
		ledger_live_remove(ledger, key);
	}
	g_ptr_array_free(keys, TRUE);
}

size_t ledger_live_bytes(const ledger_t *ledger)
{
	return ledger->live_bytes;
}

uint32_t ledger_live_count(const ledger_t *ledger)
{
	return g_hash_table_size(ledger->live);
}
