#include "batch/dispatcher_item.h"

#include <string.h>

#include "batch/dispatcher_chunk.h"
#include "batch/result.h"

#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 2000
/* This many truncated streams without a token in between count as a runner
 * loss, even if the runner answers the probe. */
#define MAX_TRUNCATIONS 3

static const char runner_lost_message[] =
	"runners were lost while they ran this item";
static const char engine_error_message[] = "the engine answered with an error";

void dispatcher_item_clear(dispatch_item_t *item)
{
	g_free(item->custom_id);
	g_free(item->line);
	if (item->text)
		g_string_free(item->text, TRUE);
}

/* Removes the item from its runner's list of running items. */
static void detach_from_runner(dispatcher_t *dispatcher, dispatch_item_t *item)
{
	dispatch_runner_t *runner = item->runner;

	item->call = NULL;
	dispatcher->running--;
	g_ptr_array_remove(runner->running, item);
	if (runner->exclusive_item == item) {
		runner->exclusive_item = NULL;
		runner->pool->isolated_item = NULL;
	}
}

static void requeue_item(dispatch_item_t *item, bool at_front)
{
	item->state = ITEM_WAITING;
	item->runner = NULL;
	if (at_front)
		g_queue_push_head(&item->chunk->waiting, item);
	else
		g_queue_push_tail(&item->chunk->waiting, item);
}

void dispatcher_item_stop(dispatcher_t *dispatcher, dispatch_item_t *item)
{
	if (item->state == ITEM_RUNNING) {
		dispatcher->ops.stop(item, dispatcher->ops.user_data);
		detach_from_runner(dispatcher, item);
		requeue_item(item, true);
	} else if (item->state == ITEM_AWAITING_PROBE) {
		item->runner->awaiting_probe--;
		requeue_item(item, true);
	}
}

static void finish_item(dispatcher_t *dispatcher, dispatch_item_t *item,
			char *line, bool is_error)
{
	dispatch_chunk_t *chunk = item->chunk;

	item->state = ITEM_DONE;
	item->runner = NULL;
	item->line = line;
	item->is_error = is_error;
	if (item->text)
		g_string_free(item->text, TRUE);
	item->text = NULL;
	if (++chunk->done == chunk->count)
		dispatcher_chunk_write(dispatcher, chunk);
}

void dispatcher_item_fail(dispatcher_t *dispatcher, dispatch_item_t *item,
			  const char *code, const char *message)
{
	char *id = g_strdup_printf("batch_req_%s_%u", item->chunk->job,
				   item->number);

	finish_item(dispatcher, item,
		    result_error_line(item->custom_id, id, code, message),
		    true);
	g_free(id);
}

void dispatcher_item_tokens(dispatcher_t *dispatcher, dispatch_item_t *item,
			    const char *text, uint32_t tokens)
{
	int64_t now_us = clock_now_us(dispatcher->clock);

	if (!item->text)
		item->text = g_string_new(NULL);
	g_string_append(item->text, text);
	item->tokens += tokens;
	item->truncations = 0;
	if (item->last_token_us && tokens == 1)
		slot_observe(&item->runner->slot, now_us - item->last_token_us,
			     now_us / 1000);
	item->last_token_us = now_us;
	item->runner->backoff_ms = 0;
}

void dispatcher_item_completed(dispatcher_t *dispatcher, dispatch_item_t *item,
			       char *line)
{
	detach_from_runner(dispatcher, item);
	if (strlen(line) <= RESULT_LINE_MAX_BYTES) {
		finish_item(dispatcher, item, line, false);
		return;
	}
	g_free(line);
	dispatcher_item_fail(dispatcher, item, "result_too_large",
			     "the answer is larger than a result object");
}

/* After an error the next attempt starts from the first token. */
static void discard_progress(dispatch_item_t *item)
{
	if (item->text)
		g_string_truncate(item->text, 0);
	item->tokens = 0;
}

void dispatcher_item_failed(dispatcher_t *dispatcher, dispatch_item_t *item,
			    const char *code, const char *message)
{
	detach_from_runner(dispatcher, item);
	discard_progress(item);
	if (++item->attempts >= ITEM_FAILURES_MAX_ATTEMPTS) {
		dispatcher_item_fail(dispatcher, item, code, message);
		return;
	}
	item->not_before_ms = dispatcher_now_ms(dispatcher) +
			      (int64_t)BACKOFF_MIN_MS * item->attempts;
	requeue_item(item, false);
}

static void back_off_runner(dispatcher_t *dispatcher, dispatch_runner_t *runner)
{
	runner->backoff_ms = runner->backoff_ms ? MIN(runner->backoff_ms * 2,
						      BACKOFF_MAX_MS) :
						  BACKOFF_MIN_MS;
	runner->not_before_ms =
		dispatcher_now_ms(dispatcher) + runner->backoff_ms;
}

void dispatcher_item_refused(dispatcher_t *dispatcher, dispatch_item_t *item)
{
	dispatch_runner_t *runner = item->runner;

	detach_from_runner(dispatcher, item);
	requeue_item(item, true);
	if (dispatcher_now_ms(dispatcher) >= runner->not_before_ms)
		back_off_runner(dispatcher, runner);
}

void dispatcher_item_truncated(dispatcher_t *dispatcher, dispatch_item_t *item)
{
	dispatch_runner_t *runner = item->runner;

	detach_from_runner(dispatcher, item);
	item->state = ITEM_AWAITING_PROBE;
	runner->awaiting_probe++;
	if (runner->probing)
		return;
	runner->probing = true;
	dispatcher->ops.probe(runner->address, dispatcher->ops.user_data);
}

static void resolve_truncated_item(dispatcher_t *dispatcher,
				   dispatch_item_t *item, gboolean alive)
{
	item->runner->awaiting_probe--;
	if (alive && ++item->truncations < MAX_TRUNCATIONS) {
		requeue_item(item, true);
		return;
	}
	item->truncations = 0;
	dispatcher_chunk_report_loss(dispatcher, item->chunk);
	if (++item->runner_losses >= ITEM_FAILURES_MAX_RUNNER_LOSSES)
		dispatcher_item_fail(dispatcher, item, "runner_lost",
				     runner_lost_message);
	else
		requeue_item(item, false);
}

void dispatcher_probed(dispatcher_t *dispatcher, const char *address,
		       gboolean alive)
{
	dispatch_runner_t *runner =
		g_hash_table_lookup(dispatcher->runners, address);

	if (!runner)
		return;
	runner->probing = false;
	if (!alive)
		back_off_runner(dispatcher, runner);
	for (guint i = dispatcher->chunks->len; i-- > 0;) {
		dispatch_chunk_t *chunk = dispatcher->chunks->pdata[i];

		for (uint32_t k = 0; k < chunk->count; k++)
			if (chunk->items[k].state == ITEM_AWAITING_PROBE &&
			    chunk->items[k].runner == runner)
				resolve_truncated_item(dispatcher,
						       &chunk->items[k], alive);
	}
}

/* Fails an item whose attempts or runner losses under former holders have
 * already reached the limit. */
gboolean dispatcher_item_fail_exhausted(dispatcher_t *dispatcher,
					dispatch_item_t *item)
{
	if (item->runner_losses >= ITEM_FAILURES_MAX_RUNNER_LOSSES)
		dispatcher_item_fail(dispatcher, item, "runner_lost",
				     runner_lost_message);
	else if (item->attempts >= ITEM_FAILURES_MAX_ATTEMPTS)
		dispatcher_item_fail(dispatcher, item, "engine_error",
				     engine_error_message);
	else
		return FALSE;
	return TRUE;
}
