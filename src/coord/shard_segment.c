#include "coord/shard_segment.h"

#include "base/error.h"
#include "coord/shard_head.h"
#include "coord/shard_store.h"

static void on_segment(const object_value_t *value, const GError *error,
		       void *user_data)
{
	shard_t *shard = user_data;
	uint64_t id;

	if (!shard_state_call_returned(shard))
		return;
	shard->reading_segment = false;
	id = shard->needed_segment;
	shard->needed_segment = 0;
	if (!shard->owner || !id)
		return;
	if (!error && ledger_load_segment(shard->ledger, id, value->data,
					  value->len, NULL)) {
		shard->options.stats->segment_reads++;
		shard_step(shard);
		return;
	}
	/* Not corruption when this owner has removed the segment since, or
	 * when a later owner may have. */
	if (shard_state_reads_valid(shard, shard_state_now_ms(shard)) &&
	    ledger_contains_segment(shard->ledger, id) &&
	    (!error || g_error_matches(error, WL_ERROR, WL_ERROR_NOT_FOUND)))
		shard_state_notify(shard, SHARD_BROKEN);
	shard->retry_ms = shard_state_now_ms(shard) + SHARD_FIRST_RETRY_MS;
}

void shard_segment_read(shard_t *shard, uint64_t id)
{
	char *name;

	if (shard->reading_segment)
		return;
	name = shard_store_object_name(shard, id, false);
	shard->needed_segment = id;
	shard->reading_segment = true;
	shard->pending++;
	object_get(shard->options.store, name, on_segment, shard);
	g_free(name);
}

void shard_segment_ahead_done(shard_t *shard)
{
	if (!shard->ahead)
		return;
	shard->ahead = false;
	ledger_write_done(shard->ledger, shard->object_write);
	shard->object_write = NULL;
	shard_state_notify(shard, SHARD_SEALED);
}

void shard_segment_ahead_drop(shard_t *shard, bool maybe_stored)
{
	ledger_garbage_t garbage = { 0 };

	if (!shard->ahead)
		return;
	shard->ahead = false;
	garbage.id = shard->object_write->id;
	if (maybe_stored)
		g_array_append_val(shard->garbage, garbage);
	ledger_write_ahead_drop(shard->ledger, shard->object_write);
	shard->object_write = NULL;
}

/* The head is written at once, without waiting for the write budget, since the
 * updates wait for both writes. The budget may become negative, so that the
 * next commit waits until both writes are paid. */
static void on_ahead_put(const object_value_t *value, const GError *error,
			 void *user_data)
{
	shard_t *shard = user_data;

	if (!shard_state_call_returned(shard))
		return;
	shard->busy = false;
	if (error && !g_error_matches(error, WL_ERROR, WL_ERROR_CONFLICT)) {
		shard_head_requeue(shard, !shard_store_had_no_effect(error));
		shard_store_back_off(shard);
		shard_step(shard);
		return;
	}
	shard->options.stats->other_writes++;
	ledger_write_ahead_stored(shard->ledger, shard->object_write);
	shard_head_write(shard, false, false);
}

static void on_object_put(const object_value_t *value, const GError *error,
			  void *user_data)
{
	shard_t *shard = user_data;

	if (!shard_state_call_returned(shard))
		return;
	shard->busy = false;
	/* Ids are unique, so an existing object is this shard's earlier write
	 * of the same data. */
	if (error && !g_error_matches(error, WL_ERROR, WL_ERROR_CONFLICT)) {
		shard_store_back_off(shard);
	} else if (shard->object_write) {
		shard->options.stats->other_writes++;
		ledger_write_done(shard->ledger, shard->object_write);
		shard->object_write = NULL;
		shard_store_succeeded(shard);
		shard_state_notify(shard, SHARD_SEALED);
	}
	shard_step(shard);
}

static void put_object(shard_t *shard, object_done_t done)
{
	const ledger_write_t *write = shard->object_write;
	char *name = shard_store_object_name(shard, write->id, write->is_index);
	char *writer = shard_store_next_writer(shard, false);
	gsize len;
	const void *data = g_bytes_get_data(write->data, &len);

	shard_store_budget_take(shard);
	shard->busy = true;
	shard->pending++;
	object_put(shard->options.store, name, data, len, OBJECT_ABSENT, writer,
		   done, shard);
	g_free(writer);
	g_free(name);
}

bool shard_segment_write(shard_t *shard)
{
	if (!shard->object_write) {
		shard->object_write =
			ledger_write_next(shard->ledger, shard->last_id + 1,
					  shard_state_wall_ms(shard));
		if (shard->object_write)
			shard->last_id++;
	}
	if (!shard->object_write)
		return false;
	put_object(shard, on_object_put);
	return true;
}

bool shard_segment_write_ahead(shard_t *shard)
{
	if (shard->object_write)
		return false;
	shard->object_write = ledger_write_ahead(
		shard->ledger, shard->last_id + 1, shard_state_wall_ms(shard));
	if (!shard->object_write)
		return false;
	shard->last_id++;
	shard->ahead = true;
	put_object(shard, on_ahead_put);
	return true;
}

void shard_segment_compact(shard_t *shard)
{
	uint64_t wall = shard_state_wall_ms(shard);
	uint64_t age = (uint64_t)shard->options.compact_after_ms;
	uint64_t needed;

	if (wall < age || shard->reading_segment)
		return;
	needed = ledger_compact(shard->ledger, wall - age, wall);
	if (needed)
		shard_segment_read(shard, needed);
}
