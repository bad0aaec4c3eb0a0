#include "batch/dispatcher_schedule.h"

#include "batch/dispatcher_chunk.h"
#include "batch/dispatcher_item.h"
#include "batch/item_file.h"

#define BACKOFF_MAX_MS 2000
/* Chunks are released when the pool had no usable runner for this time. */
#define NO_RUNNER_RELEASE_MS 2000

static gboolean may_run(const dispatcher_t *dispatcher,
			const dispatch_chunk_t *chunk)
{
	return chunk->data && !chunk->writing &&
	       dispatcher_now_ms(dispatcher) < chunk->lease_until_ms;
}

/* Removes the first item that may start now from its queue. */
static dispatch_item_t *take_item(const dispatcher_t *dispatcher,
				  const dispatch_pool_t *pool, bool suspects)
{
	int64_t now = dispatcher_now_ms(dispatcher);

	for (guint i = 0; i < pool->chunks->len; i++) {
		dispatch_chunk_t *chunk = pool->chunks->pdata[i];

		if (!may_run(dispatcher, chunk) ||
		    (suspects && chunk->loss_unreported))
			continue;
		for (GList *link = chunk->waiting.head; link;
		     link = link->next) {
			dispatch_item_t *item = link->data;

			if (item->not_before_ms > now ||
			    (item->runner_losses > 0) != suspects)
				continue;
			g_queue_delete_link(&chunk->waiting, link);
			return item;
		}
	}
	return NULL;
}

static void start_item(dispatcher_t *dispatcher, dispatch_item_t *item,
		       dispatch_runner_t *runner)
{
	dispatch_chunk_t *chunk = item->chunk;
	const char *text = g_bytes_get_data(chunk->data, NULL);
	uint32_t number = chunk->line + (item->number - chunk->first);
	size_t len = 0;
	const char *line = item_index_line(chunk->index, text, number, &len);
	item_t parsed;

	if (!line || !item_parse(line, len, &parsed, NULL)) {
		/* The upload was validated, so the stored part is damaged. */
		g_free(item->custom_id);
		item->custom_id = g_strdup("");
		dispatcher_item_fail(dispatcher, item, "invalid_item",
				     "the stored item cannot be read");
		return;
	}
	g_free(item->custom_id);
	item->custom_id = g_strdup(parsed.custom_id);
	if (dispatcher_item_fail_exhausted(dispatcher, item)) {
		item_clear(&parsed);
		return;
	}
	item->state = ITEM_RUNNING;
	item->runner = runner;
	item->last_token_us = 0;
	g_ptr_array_add(runner->running, item);
	dispatcher->running++;
	dispatcher->ops.start(item, parsed.body, dispatcher->ops.user_data);
	item_clear(&parsed);
}

static uint32_t free_slots(dispatcher_t *dispatcher, dispatch_runner_t *runner)
{
	uint32_t allowed =
		slot_allowed(&runner->slot, &dispatcher->slots, runner->online,
			     dispatcher_now_ms(dispatcher));

	if (runner->exclusive_item || runner->probing ||
	    dispatcher_now_ms(dispatcher) < runner->not_before_ms)
		return 0;
	return allowed > runner->running->len ? allowed - runner->running->len :
						0;
}

static dispatch_runner_t *freest_runner(dispatcher_t *dispatcher,
					const dispatch_pool_t *pool)
{
	dispatch_runner_t *best = NULL;
	uint32_t best_free = 0;

	for (guint i = 0; i < pool->runners->len; i++) {
		dispatch_runner_t *runner = pool->runners->pdata[i];
		uint32_t slots = free_slots(dispatcher, runner);

		if (slots > best_free) {
			best = runner;
			best_free = slots;
		}
	}
	return best;
}

/* Runs one suspect of a pool at a time, with no other item on its runner. */
static void start_suspect(dispatcher_t *dispatcher, dispatch_pool_t *pool)
{
	dispatch_runner_t *runner = NULL;
	dispatch_item_t *item;

	if (pool->isolated_item)
		return;
	for (guint i = 0; i < pool->runners->len; i++) {
		dispatch_runner_t *other = pool->runners->pdata[i];

		if (other->probing ||
		    dispatcher_now_ms(dispatcher) < other->not_before_ms ||
		    slot_allowed(&other->slot, &dispatcher->slots,
				 other->online,
				 dispatcher_now_ms(dispatcher)) == 0)
			continue;
		if (!runner || other->running->len < runner->running->len)
			runner = other;
	}
	item = runner ? take_item(dispatcher, pool, true) : NULL;
	if (!item)
		return;
	while (runner->running->len > 0)
		dispatcher_item_stop(dispatcher, runner->running->pdata[0]);
	pool->isolated_item = item;
	runner->exclusive_item = item;
	start_item(dispatcher, item, runner);
	if (item->state != ITEM_RUNNING) {
		pool->isolated_item = NULL;
		runner->exclusive_item = NULL;
	}
}

static void schedule_pool(dispatcher_t *dispatcher, dispatch_pool_t *pool)
{
	dispatch_runner_t *runner;
	dispatch_item_t *item;

	for (guint i = 0; i < pool->runners->len; i++)
		dispatcher_preempt(dispatcher, pool->runners->pdata[i]);
	start_suspect(dispatcher, pool);
	while ((runner = freest_runner(dispatcher, pool))) {
		item = take_item(dispatcher, pool, false);
		if (!item)
			break;
		start_item(dispatcher, item, runner);
	}
}

/* Pulls chunks when few items wait compared with the pool's allowed slots. */
static void pull_if_needed(dispatcher_t *dispatcher, dispatch_pool_t *pool)
{
	uint32_t waiting = 0;
	uint32_t wanted = 0;

	if (pool->pulling || dispatcher_now_ms(dispatcher) < pool->next_pull_ms)
		return;
	for (guint i = 0; i < pool->runners->len; i++) {
		dispatch_runner_t *runner = pool->runners->pdata[i];

		if (dispatcher_now_ms(dispatcher) >= runner->not_before_ms &&
		    runner->backoff_ms < BACKOFF_MAX_MS)
			wanted += slot_allowed(
				&runner->slot, &dispatcher->slots,
				runner->online, dispatcher_now_ms(dispatcher));
	}
	for (guint i = 0; i < pool->chunks->len; i++) {
		const dispatch_chunk_t *chunk = pool->chunks->pdata[i];

		waiting += g_queue_get_length((GQueue *)&chunk->waiting);
	}
	/* Pulls while items for half of the slots still wait, so that no slot
	 * is idle during a pull. */
	if (wanted == 0 || waiting > wanted / 2)
		return;
	pool->pulling = true;
	dispatcher->ops.pull(pool->partner, pool->deployment,
			     dispatcher->ops.user_data);
}

/* Whether any runner can be expected to accept items. Runners whose slots are
 * all used by online requests count, because that load is temporary. */
static gboolean has_usable_runner(const dispatch_pool_t *pool)
{
	for (guint i = 0; i < pool->runners->len; i++) {
		const dispatch_runner_t *runner = pool->runners->pdata[i];

		if (runner->backoff_ms < BACKOFF_MAX_MS)
			return TRUE;
	}
	return FALSE;
}

/* Releases the chunks of a pool without a usable runner: other nodes may have
 * one. */
static void release_if_no_runner(dispatcher_t *dispatcher,
				 dispatch_pool_t *pool)
{
	int64_t now = dispatcher_now_ms(dispatcher);

	if (has_usable_runner(pool) || pool->chunks->len == 0) {
		pool->runner_usable_ms = now;
		return;
	}
	if (now < pool->runner_usable_ms + NO_RUNNER_RELEASE_MS)
		return;
	for (guint i = pool->chunks->len; i-- > 0;) {
		dispatch_chunk_t *chunk = pool->chunks->pdata[i];

		if (!chunk->writing)
			dispatcher_chunk_release(dispatcher, chunk);
	}
}

void dispatcher_tick(dispatcher_t *dispatcher)
{
	for (guint i = dispatcher->chunks->len; i-- > 0;)
		dispatcher_chunk_tick(dispatcher, dispatcher->chunks->pdata[i]);
	if (dispatcher->draining)
		return;
	for (guint i = 0; i < dispatcher->pools->len; i++) {
		schedule_pool(dispatcher, dispatcher->pools->pdata[i]);
		release_if_no_runner(dispatcher, dispatcher->pools->pdata[i]);
		pull_if_needed(dispatcher, dispatcher->pools->pdata[i]);
	}
}
