#include "coord/shard_op.h"

#include "base/error.h"

void shard_op_free(void *data)
{
	op_t *op = data;

	ledger_record_free(op->update);
	ledger_record_free(op->result);
	ledger_undo_free(op->undo);
	if (op->segments)
		g_array_free(op->segments, TRUE);
	if (op->seen)
		g_hash_table_destroy(op->seen);
	if (op->records)
		g_ptr_array_free(op->records, TRUE);
	g_free(op);
}

/* Calls the completion, at most once per operation. */
static void op_complete(op_t *op, const GError *error)
{
	shard_done_t done = op->done;
	shard_list_done_t list_done = op->list_done;
	bool has_record =
		!error || g_error_matches(error, WL_ERROR, WL_ERROR_CONFLICT);

	op->done = NULL;
	op->list_done = NULL;
	if (done)
		done(has_record ? op->result : NULL, error, op->user_data);
	if (list_done)
		list_done(error ? NULL : op->records, error, op->user_data);
}

static void op_fail(shard_t *shard, op_t *op, error_code_t code,
		    const char *message)
{
	GError *error;

	if (!op->done && !op->list_done)
		return;
	error = g_error_new_literal(WL_ERROR, (int)code, message);
	if (code == WL_ERROR_UNAVAILABLE)
		shard->options.stats->refused++;
	else if (code == WL_ERROR_TIMEOUT)
		shard->options.stats->unknown++;
	op_complete(op, error);
	g_error_free(error);
}

static void op_refuse(shard_t *shard, op_t *op, const char *message)
{
	op_fail(shard, op, WL_ERROR_UNAVAILABLE, message);
	shard_op_free(op);
}

void shard_op_interrupt(shard_t *shard, op_t *op, bool maybe_written)
{
	if (maybe_written && op->undo)
		op_fail(shard, op, WL_ERROR_TIMEOUT,
			"outcome of the head write is unknown");
	else
		op_fail(shard, op, WL_ERROR_UNAVAILABLE,
			"the update was not written");
}

void shard_op_succeed(shard_t *shard, op_t *op)
{
	GError *error = NULL;
	shard_stats_t *stats = shard->options.stats;

	switch (op->status) {
	case LEDGER_APPLIED:
		stats->updates++;
		break;
	case LEDGER_REPEATED:
		stats->repeats++;
		break;
	case LEDGER_CONFLICT:
		stats->conflicts++;
		error = g_error_new_literal(
			WL_ERROR, WL_ERROR_CONFLICT,
			"the record's version is not the expected one");
		break;
	case LEDGER_ABSENT:
		error = g_error_new_literal(WL_ERROR, WL_ERROR_NOT_FOUND,
					    "no such record");
		break;
	case LEDGER_FOUND:
	case LEDGER_NEED_SEGMENT:
		break;
	}
	op_complete(op, error);
	g_clear_error(&error);
}

op_t *shard_op_new(op_kind_t kind, int64_t deadline_ms, void *user_data)
{
	op_t *op = g_new0(op_t, 1);

	op->kind = kind;
	op->deadline_ms = deadline_ms;
	op->user_data = user_data;
	return op;
}

void shard_op_enqueue(shard_t *shard, op_t *op)
{
	const shard_options_t *options = &shard->options;

	if (shard->waiting.length >= options->max_waiting ||
	    shard->waiting_bytes + op->bytes > options->max_waiting_bytes) {
		g_queue_push_tail(&shard->refused, op);
		return;
	}
	shard->waiting_bytes += op->bytes;
	g_queue_push_tail(&shard->waiting, op);
}

void shard_op_refuse_all(shard_t *shard, GQueue *queue, const char *message)
{
	GQueue taken = *queue;
	op_t *op;

	g_queue_init(queue);
	if (queue == &shard->waiting)
		shard->waiting_bytes = 0;
	while ((op = g_queue_pop_head(&taken)) != NULL)
		op_refuse(shard, op, message);
}

void shard_op_refuse_expired(shard_t *shard, int64_t now)
{
	GQueue expired = G_QUEUE_INIT;
	GList *link = shard->waiting.head;

	while (link) {
		GList *next = link->next;
		op_t *op = link->data;

		if (op->deadline_ms <= now) {
			shard->waiting_bytes -= op->bytes;
			g_queue_unlink(&shard->waiting, link);
			g_queue_push_tail_link(&expired, link);
		}
		link = next;
	}
	shard_op_refuse_all(
		shard, &expired,
		"the operation was not committed before its deadline");
	for (guint i = 0; i < shard->batch->len; i++) {
		op_t *op = shard->batch->pdata[i];

		if (op->deadline_ms <= now)
			shard_op_interrupt(shard, op, true);
	}
}

void shard_op_restart_list(op_t *op)
{
	if (!op->segments)
		return;
	g_array_free(op->segments, TRUE);
	g_hash_table_destroy(op->seen);
	g_ptr_array_set_size(op->records, 0);
	op->segments = NULL;
	op->seen = NULL;
	op->position = 0;
}
