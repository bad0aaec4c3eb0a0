#include "coord/shard_batch.h"

#include <string.h>

#include "coord/shard_op.h"
#include "coord/shard_segment.h"

/* Limits the records of one head write, so that the head with the live records
 * and the index stays below the store's object size limit of 1 MiB. */
#define MAX_BATCH_BYTES (256 * 1024)
#define MAX_BATCH_UPDATES 2000

GPtrArray *shard_batch_take(shard_t *shard)
{
	GPtrArray *batch = shard->batch;

	shard->batch = g_ptr_array_new();
	return batch;
}

void shard_batch_fail(shard_t *shard, bool maybe_written)
{
	GPtrArray *batch = shard_batch_take(shard);

	for (guint i = 0; i < batch->len; i++) {
		shard_op_interrupt(shard, batch->pdata[i], maybe_written);
		shard_op_free(batch->pdata[i]);
	}
	g_ptr_array_free(batch, TRUE);
}

static void report_change(shard_t *shard, const op_t *op)
{
	const shard_observer_t *observer = &shard->options.observer;

	if (op->undo && observer->changed)
		observer->changed(shard, op->result, observer->user_data);
}

void shard_batch_commit(shard_t *shard)
{
	GPtrArray *batch = shard_batch_take(shard);
	int64_t updates = 0;

	for (guint i = 0; i < batch->len; i++) {
		op_t *op = batch->pdata[i];

		updates += op->undo != NULL;
		report_change(shard, op);
		shard_op_succeed(shard, op);
		shard_op_free(op);
	}
	if (updates > shard->options.stats->largest_batch)
		shard->options.stats->largest_batch = updates;
	g_ptr_array_free(batch, TRUE);
}

static void collect_listed(const ledger_record *record, void *user_data)
{
	op_t *op = user_data;
	ledger_record *copy;

	if (g_hash_table_contains(op->seen, record->key))
		return;
	copy = ledger_record_copy(record);
	g_ptr_array_add(op->records, copy);
	g_hash_table_add(op->seen, copy->key);
}

static guint key_hash(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, LEDGER_KEY_BYTES) == 0;
}

/* Reads segments from the newest to the oldest, so that the first record found
 * for a key is the current one. Restarts when compaction has removed a segment
 * in the meantime. Returns false and sets segment when it must be loaded. */
static bool advance_list(shard_t *shard, op_t *op, uint64_t *segment)
{
	if (op->segments && op->position < op->segments->len &&
	    !ledger_contains_segment(
		    shard->ledger,
		    g_array_index(op->segments, uint64_t, op->position)))
		shard_op_restart_list(op);
	if (!op->segments) {
		op->seen = g_hash_table_new(key_hash, key_equal);
		op->segments = ledger_segments(shard->ledger, op->list_kind);
		ledger_foreach(shard->ledger, op->list_kind, 0,
			       shard_state_wall_ms(shard), collect_listed, op);
	}
	while (op->position < op->segments->len) {
		*segment = g_array_index(op->segments, uint64_t, op->position);
		if (!ledger_segment_is_loaded(shard->ledger, *segment))
			return false;
		ledger_foreach(shard->ledger, op->list_kind, *segment,
			       shard_state_wall_ms(shard), collect_listed, op);
		op->position++;
	}
	return true;
}

/* Returns false and sets segment when the operation must wait for it. */
static bool execute(shard_t *shard, op_t *op, uint64_t *segment)
{
	ledger_lookup_t *found = &op->lookup;

	if (op->kind == OP_LIST) {
		op->status = LEDGER_FOUND;
		return advance_list(shard, op, segment);
	}
	if (op->kind == OP_GET)
		op->status = ledger_find(shard->ledger, op->key,
					 shard_state_wall_ms(shard), found);
	else
		op->status = ledger_update(shard->ledger, op->update, op->token,
					   shard_state_wall_ms(shard), found,
					   &op->undo);
	*segment = found->segment;
	if (op->status == LEDGER_NEED_SEGMENT)
		return false;
	if (found->record)
		op->result = ledger_record_copy(found->record);
	return true;
}

size_t shard_batch_execute(shard_t *shard, bool with_updates)
{
	GList *link = shard->waiting.head;
	size_t bytes = 0;
	uint64_t needed = 0;

	while (link && bytes < MAX_BATCH_BYTES &&
	       shard->batch->len < MAX_BATCH_UPDATES) {
		GList *next = link->next;
		op_t *op = link->data;
		uint64_t segment = 0;

		if (op->kind == OP_UPDATE && !with_updates) {
			link = next;
			continue;
		}
		if (execute(shard, op, &segment)) {
			g_queue_delete_link(&shard->waiting, link);
			shard->waiting_bytes -= op->bytes;
			g_ptr_array_add(shard->batch, op);
			if (op->undo)
				bytes += op->bytes;
		} else if (!needed) {
			needed = segment;
		}
		link = next;
	}
	if (needed)
		shard_segment_read(shard, needed);
	return bytes;
}
