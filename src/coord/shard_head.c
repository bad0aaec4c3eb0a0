#include "coord/shard_head.h"

#include "base/error.h"
#include "coord/shard_batch.h"
#include "coord/shard_op.h"
#include "coord/shard_segment.h"
#include "coord/shard_store.h"

static void write_lost(shard_t *shard, const char *writer)
{
	bool was_owner = shard->owner;
	bool uncertain = shard->write.uncertain;

	shard_state_set_owner_hint(shard, writer);
	shard_state_clear_write(shard);
	shard_state_drop_ownership(shard);
	if (was_owner) {
		shard->options.stats->losses++;
		shard_state_notify(shard, SHARD_LOST);
	}
	shard_batch_fail(shard, uncertain);
	shard_op_refuse_all(shard, &shard->waiting,
			    "the shard is owned by another node");
}

void shard_head_requeue(shard_t *shard, bool maybe_stored)
{
	GPtrArray *batch = shard_batch_take(shard);

	shard_state_clear_write(shard);
	shard_segment_ahead_drop(shard, maybe_stored);
	for (guint i = batch->len; i-- > 0;) {
		op_t *op = batch->pdata[i];

		if (op->undo) {
			ledger_undo(shard->ledger, op->undo);
			op->undo = NULL;
		}
		ledger_record_free(op->result);
		op->result = NULL;
		if (op->done || op->list_done) {
			shard->waiting_bytes += op->bytes;
			g_queue_push_head(&shard->waiting, op);
		} else {
			shard_op_free(op);
		}
	}
	g_ptr_array_free(batch, TRUE);
	/* Lists may have read records that were reverted now. */
	for (GList *l = shard->waiting.head; l; l = l->next)
		shard_op_restart_list(l->data);
}

static void write_succeeded(shard_t *shard, uint64_t version)
{
	bool acquiring = shard->write.acquiring;
	bool releasing = shard->write.releasing;

	shard->version = version;
	shard->written_ms = shard->write.started_ms;
	shard->options.stats->head_writes++;
	shard->options.stats->head_bytes +=
		(int64_t)g_bytes_get_size(shard->write.bytes);
	g_array_append_vals(shard->garbage, shard->pending_garbage->data,
			    shard->pending_garbage->len);
	g_array_set_size(shard->pending_garbage, 0);
	shard_state_clear_write(shard);
	shard_store_succeeded(shard);
	if (acquiring) {
		shard->owner = true;
		shard->options.stats->takeovers++;
		shard_state_notify(shard, SHARD_ACQUIRED);
		return;
	}
	shard_segment_ahead_done(shard);
	shard_batch_commit(shard);
	if (!releasing)
		return;
	g_clear_pointer(&shard->owner_hint, g_free);
	shard_state_drop_ownership(shard);
	shard_state_notify(shard, SHARD_RELEASED);
	shard_op_refuse_all(shard, &shard->waiting, "the shard was released");
}

static void on_head_put(const object_value_t *value, const GError *error,
			void *user_data)
{
	shard_t *shard = user_data;
	bool too_large;

	if (!shard_state_call_returned(shard))
		return;
	shard->busy = false;
	if (!error) {
		write_succeeded(shard, value->version);
	} else if (g_error_matches(error, WL_ERROR, WL_ERROR_CONFLICT)) {
		if (g_strcmp0(value->writer, shard->write.writer) == 0)
			write_succeeded(shard, value->version);
		else
			write_lost(shard, value->writer);
	} else if (!shard_store_had_no_effect(error)) {
		if (!shard->write.uncertain)
			shard_state_notify(shard, SHARD_UNCERTAIN);
		else
			shard_store_back_off(shard);
		shard->options.stats->uncertain++;
		shard->write.uncertain = true;
	} else if (!shard->write.uncertain && !shard->write.acquiring) {
		too_large =
			g_error_matches(error, WL_ERROR, WL_ERROR_TOO_LARGE);
		shard_head_requeue(shard, true);
		if (too_large)
			shard_op_refuse_all(
				shard, &shard->waiting,
				"the shard head is too large for the store");
		shard_store_back_off(shard);
	} else {
		shard_store_back_off(shard);
	}
	shard_step(shard);
}

static void put_head(shard_t *shard)
{
	gsize len;
	const void *data = g_bytes_get_data(shard->write.bytes, &len);

	shard_store_budget_take(shard);
	shard->busy = true;
	shard->pending++;
	object_put(shard->options.store, shard->key, data, len,
		   shard->write.if_version, shard->write.writer, on_head_put,
		   shard);
}

void shard_head_write(shard_t *shard, bool acquiring, bool releasing)
{
	ledger_head head = { 0 };
	head_write_t *write = &shard->write;

	ledger_collect(shard->ledger, shard_state_wall_ms(shard),
		       shard->pending_garbage);
	head.owner = shard->owner_address;
	head.epoch = shard->epoch;
	head.sequence = ++shard->sequence;
	head.released = releasing;
	write->bytes = ledger_encode_head(shard->ledger, &head,
					  shard_state_wall_ms(shard));
	write->writer = shard_store_next_writer(shard, releasing);
	write->if_version = shard->version;
	write->started_ms = shard_state_now_ms(shard);
	write->acquiring = acquiring;
	write->releasing = releasing;
	put_head(shard);
}

/* Read-back after a write without a response. When the head is unchanged, the
 * store may still apply that write later, so the same write is repeated with
 * the same token. Whichever of the two arrives second is refused, and the
 * refusal shows the token. */
static void on_read_back(const object_value_t *value, const GError *error,
			 void *user_data)
{
	shard_t *shard = user_data;
	bool absent = g_error_matches(error, WL_ERROR, WL_ERROR_NOT_FOUND);

	if (!shard_state_call_returned(shard))
		return;
	shard->busy = false;
	if (error && !absent) {
		shard_store_back_off(shard);
	} else if ((absent ? 0 : value->version) == shard->write.if_version) {
		if (shard_store_budget_ready(shard))
			put_head(shard);
		else
			shard->retry_ms = shard_state_now_ms(shard) +
					  SHARD_FIRST_RETRY_MS;
	} else if (value &&
		   g_strcmp0(value->writer, shard->write.writer) == 0) {
		write_succeeded(shard, value->version);
	} else {
		write_lost(shard, value ? value->writer : NULL);
	}
	shard_step(shard);
}

void shard_head_read_back(shard_t *shard)
{
	shard->busy = true;
	shard->pending++;
	object_get(shard->options.store, shard->key, on_read_back, shard);
}
