#include "coord/shard_orphan.h"

#include <string.h>

#include "coord/shard_store.h"

#define PAGE_OBJECTS 100

static bool is_referenced(const shard_t *shard, uint64_t id, bool is_index)
{
	const ledger_garbage_t *pending_garbage =
		(const ledger_garbage_t *)(const void *)
			shard->pending_garbage->data;

	if (ledger_references(shard->ledger, id, is_index))
		return true;
	if (shard->object_write && shard->object_write->id == id)
		return true;
	/* The durable head refers to it until the next head is written. */
	for (guint i = 0; i < shard->pending_garbage->len; i++)
		if (pending_garbage[i].id == id &&
		    pending_garbage[i].is_index == is_index)
			return true;
	return false;
}

/* Ids grow with the epoch, so the ids of a later owner are above last_id. */
static bool is_orphan(const shard_t *shard, const char *key, uint64_t *id)
{
	const char *name = strrchr(key, '/');
	char *end;

	if (!name)
		return false;
	*id = g_ascii_strtoull(name + 1, &end, 16);
	return *end == '\0' && *id <= shard->last_id &&
	       !is_referenced(shard, *id, shard->orphans.is_index);
}

static void end_list(shard_t *shard)
{
	orphan_sweep_t *sweep = &shard->orphans;

	g_clear_pointer(&sweep->after_key, g_free);
	sweep->is_index = !sweep->is_index;
	if (!sweep->is_index)
		sweep->next_sweep_ms =
			shard_state_now_ms(shard) + shard->options.sweep_ms;
}

static void on_listed(const object_listing_t *listing, const GError *error,
		      void *user_data)
{
	shard_t *shard = user_data;
	orphan_sweep_t *sweep = &shard->orphans;
	guint before;

	if (!shard_state_call_returned(shard))
		return;
	sweep->listing = false;
	if (!shard->owner || sweep->epoch != shard->epoch)
		return;
	if (error) {
		sweep->next_sweep_ms =
			shard_state_now_ms(shard) + SHARD_ORPHAN_RETRY_MS;
		return;
	}
	before = shard->garbage->len;
	for (guint i = 0; i < listing->entries->len; i++) {
		const char *key =
			g_array_index(listing->entries, object_entry_t, i).key;
		ledger_garbage_t orphan = { .is_index = sweep->is_index };

		if (is_orphan(shard, key, &orphan.id))
			g_array_append_val(shard->garbage, orphan);
		if (i + 1 == PAGE_OBJECTS) {
			g_free(sweep->after_key);
			sweep->after_key = g_strdup(key);
		}
	}
	if (shard->garbage->len > before) {
		shard->options.stats->orphans += shard->garbage->len - before;
		shard_state_notify(shard, SHARD_ORPHANS);
	}
	if (listing->entries->len < PAGE_OBJECTS)
		end_list(shard);
}

void shard_orphan_step(shard_t *shard, int64_t now)
{
	orphan_sweep_t *sweep = &shard->orphans;
	char *prefix;

	if (!shard->owner || sweep->listing || shard->garbage->len ||
	    now < sweep->next_sweep_ms)
		return;
	prefix =
		g_strdup_printf("%s/%u/", sweep->is_index ? "index" : "segment",
				shard->options.number);
	sweep->listing = true;
	sweep->epoch = shard->epoch;
	shard->pending++;
	object_list(shard->options.store, prefix, sweep->after_key,
		    PAGE_OBJECTS, on_listed, shard);
	g_free(prefix);
}

void shard_orphan_reset(shard_t *shard)
{
	orphan_sweep_t *sweep = &shard->orphans;

	g_clear_pointer(&sweep->after_key, g_free);
	sweep->is_index = false;
	sweep->next_sweep_ms = 0;
}
