#include "coord/shard_garbage.h"

#include "coord/shard_store.h"

static void on_removed(const object_value_t *value, const GError *error,
		       void *user_data)
{
	shard_t *shard = user_data;

	if (!shard_state_call_returned(shard))
		return;
	shard->removing = false;
	if (!error)
		shard->options.stats->other_writes++;
}

static void on_garbage_listed(const object_listing_t *listing,
			      const GError *error, void *user_data)
{
	shard_t *shard = user_data;
	const object_entry_t *entry;

	if (!shard_state_call_returned(shard))
		return;
	shard->removing = false;
	if (error || listing->entries->len == 0)
		return;
	entry = &g_array_index(listing->entries, object_entry_t, 0);
	shard->removing = true;
	shard->pending++;
	shard_store_budget_take(shard);
	object_remove(shard->options.store, entry->key, entry->version,
		      on_removed, shard);
}

void shard_garbage_remove(shard_t *shard)
{
	ledger_garbage_t garbage;
	char *name;

	if (shard->removing || !shard->garbage->len ||
	    !shard_store_budget_ready(shard))
		return;
	garbage = g_array_index(shard->garbage, ledger_garbage_t, 0);
	g_array_remove_index(shard->garbage, 0);
	name = shard_store_object_name(shard, garbage.id, garbage.is_index);
	shard->removing = true;
	shard->pending++;
	object_list(shard->options.store, name, NULL, 1, on_garbage_listed,
		    shard);
	g_free(name);
}
