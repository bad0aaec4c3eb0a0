#include "batch/dispatcher_chunk.h"

#include <string.h>

#include "base/error.h"
#include "batch/dispatcher_item.h"
#include "batch/item_file.h"
#include "batch/result.h"

#define RENEW_INTERVAL_MS 1000
/* After a renewal without an answer: the lease must not expire while the
 * coordinator moves to another node. */
#define RENEW_RETRY_DELAY_MS 250
/* A chunk whose lease has expired is kept for this time, in case the lease is
 * renewed. */
#define LEASE_RECOVERY_MS 30000
#define LOAD_RETRY_DELAY_MS 500

void dispatcher_chunk_free(void *data)
{
	dispatch_chunk_t *chunk = data;

	for (uint32_t i = 0; i < chunk->count; i++)
		dispatcher_item_clear(&chunk->items[i]);
	g_free(chunk->items);
	g_queue_clear(&chunk->waiting);
	if (chunk->data)
		g_bytes_unref(chunk->data);
	if (chunk->index)
		g_array_free(chunk->index, TRUE);
	g_free(chunk->job);
	g_free(chunk->input_file_id);
	g_free(chunk);
}

static dispatch_chunk_t *find_chunk(const dispatcher_t *dispatcher,
				    const char *job, uint32_t first)
{
	for (guint i = 0; i < dispatcher->chunks->len; i++) {
		dispatch_chunk_t *chunk = dispatcher->chunks->pdata[i];

		if (chunk->first == first && strcmp(chunk->job, job) == 0)
			return chunk;
	}
	return NULL;
}

static void stop_chunk(dispatcher_t *dispatcher, dispatch_chunk_t *chunk)
{
	for (uint32_t i = 0; i < chunk->count; i++)
		dispatcher_item_stop(dispatcher, &chunk->items[i]);
}

/* Keeps items that await a probe: they run nowhere, and the probe may still
 * report a runner loss. */
static void stop_running(dispatcher_t *dispatcher, dispatch_chunk_t *chunk)
{
	for (uint32_t i = 0; i < chunk->count; i++)
		if (chunk->items[i].state == ITEM_RUNNING)
			dispatcher_item_stop(dispatcher, &chunk->items[i]);
}

static void drop_chunk(dispatcher_t *dispatcher, dispatch_chunk_t *chunk)
{
	stop_chunk(dispatcher, chunk);
	g_ptr_array_remove(chunk->pool->chunks, chunk);
	g_ptr_array_remove(dispatcher->chunks, chunk);
}

static int compare_latest_start(const void *a, const void *b)
{
	const dispatch_chunk_t *left = *(dispatch_chunk_t *const *)a;
	const dispatch_chunk_t *right = *(dispatch_chunk_t *const *)b;

	if (left->latest_start_ms != right->latest_start_ms)
		return left->latest_start_ms < right->latest_start_ms ? -1 : 1;
	return left->first < right->first ? -1 : left->first > right->first;
}

static void add_chunk(dispatcher_t *dispatcher, dispatch_chunk_t *chunk)
{
	g_ptr_array_add(dispatcher->chunks, chunk);
	g_ptr_array_add(chunk->pool->chunks, chunk);
	g_ptr_array_sort(chunk->pool->chunks, compare_latest_start);
}

static void apply_suspects(dispatch_chunk_t *chunk, const GArray *suspects)
{
	for (guint i = 0; suspects && i < suspects->len; i++) {
		const item_failures_t *s =
			&g_array_index(suspects, item_failures_t, i);
		dispatch_item_t *item;

		if (s->item < chunk->first ||
		    s->item - chunk->first >= chunk->count)
			continue;
		item = &chunk->items[s->item - chunk->first];
		item->attempts = MAX(item->attempts, s->attempts);
		item->runner_losses =
			MAX(item->runner_losses, s->runner_losses);
	}
}

static void extend_lease(dispatch_chunk_t *chunk, int64_t until_ms)
{
	if (until_ms <= chunk->lease_until_ms)
		return;
	chunk->lease_until_ms = until_ms;
	/* When this lease ends, the items are stopped again. */
	chunk->no_lease_since_ms = 0;
}

void dispatcher_granted(dispatcher_t *dispatcher,
			const dispatcher_grant_t *grant)
{
	dispatch_chunk_t *chunk =
		find_chunk(dispatcher, grant->job, grant->first);

	if (chunk) {
		extend_lease(chunk, grant->lease_until_ms);
		return;
	}
	if (dispatcher->draining)
		return;
	chunk = g_new0(dispatch_chunk_t, 1);
	chunk->pool = dispatcher_get_pool(dispatcher, grant->partner,
					  grant->deployment);
	chunk->job = g_strdup(grant->job);
	chunk->input_file_id = g_strdup(grant->input_file_id);
	chunk->part = grant->part;
	chunk->line = grant->line;
	chunk->first = grant->first;
	chunk->count = grant->count;
	chunk->latest_start_ms =
		dispatcher_now_ms(dispatcher) + grant->slack_ms;
	chunk->lease_until_ms = grant->lease_until_ms;
	chunk->renew_ms = dispatcher_now_ms(dispatcher) + RENEW_INTERVAL_MS;
	chunk->items = g_new0(dispatch_item_t, grant->count);
	g_queue_init(&chunk->waiting);
	for (uint32_t i = 0; i < chunk->count; i++) {
		chunk->items[i].chunk = chunk;
		chunk->items[i].number = chunk->first + i;
		g_queue_push_tail(&chunk->waiting, &chunk->items[i]);
	}
	apply_suspects(chunk, grant->suspects);
	add_chunk(dispatcher, chunk);
	dispatcher->ops.load(chunk, dispatcher->ops.user_data);
}

void dispatcher_pulled(dispatcher_t *dispatcher, const char *partner,
		       const char *deployment, int32_t retry_ms)
{
	dispatch_pool_t *pool =
		dispatcher_find_pool(dispatcher, partner, deployment);

	if (!pool)
		return;
	pool->pulling = false;
	pool->next_pull_ms = dispatcher_now_ms(dispatcher) + retry_ms;
}

void dispatcher_offered(dispatcher_t *dispatcher, const char *partner,
			const char *deployment)
{
	dispatch_pool_t *pool =
		dispatcher_find_pool(dispatcher, partner, deployment);

	if (pool)
		pool->next_pull_ms = 0;
}

void dispatcher_loaded(dispatcher_t *dispatcher, const char *job,
		       uint32_t first, GBytes *data)
{
	dispatch_chunk_t *chunk = find_chunk(dispatcher, job, first);
	const char *text;
	size_t len;

	if (!chunk || chunk->data)
		return;
	if (!data) {
		/* The next renewal retries the load. */
		chunk->renew_ms =
			dispatcher_now_ms(dispatcher) + LOAD_RETRY_DELAY_MS;
		return;
	}
	chunk->data = g_bytes_ref(data);
	text = g_bytes_get_data(data, &len);
	chunk->index = item_index_new(text, len);
}

static GArray *collect_suspects(const dispatch_chunk_t *chunk)
{
	GArray *suspects = g_array_new(FALSE, FALSE, sizeof(item_failures_t));

	for (uint32_t i = 0; i < chunk->count; i++) {
		const dispatch_item_t *item = &chunk->items[i];
		item_failures_t suspect = { item->number, item->attempts,
					    item->runner_losses };

		/* The next holder must not retry a failed item. */
		if ((item->state != ITEM_DONE || item->is_error) &&
		    (item->attempts || item->runner_losses))
			g_array_append_val(suspects, suspect);
	}
	return suspects;
}

void dispatcher_chunk_release(dispatcher_t *dispatcher, dispatch_chunk_t *chunk)
{
	GArray *suspects = collect_suspects(chunk);

	stop_chunk(dispatcher, chunk);
	dispatcher->ops.release(chunk, suspects, dispatcher->ops.user_data);
	g_array_free(suspects, TRUE);
	drop_chunk(dispatcher, chunk);
}

void dispatcher_renewed(dispatcher_t *dispatcher, const char *job,
			uint32_t first, gboolean answered,
			lease_status_t status, int64_t sent_ms)
{
	dispatch_chunk_t *chunk = find_chunk(dispatcher, job, first);

	if (!chunk)
		return;
	chunk->renewing = false;
	if (!answered || status == LEASE_LOST) {
		chunk->renew_ms =
			MIN(chunk->renew_ms, dispatcher_now_ms(dispatcher) +
						     RENEW_RETRY_DELAY_MS);
		return;
	}
	if (status == LEASE_PAUSED) {
		if (chunk->no_lease_since_ms)
			chunk->no_lease_since_ms =
				dispatcher_now_ms(dispatcher);
		return;
	}
	if (chunk->reporting_losses)
		chunk->loss_unreported = false;
	if (status == LEASE_ENDED) {
		/* The object being written may still be the first one. */
		if (!chunk->writing)
			dispatcher_chunk_release(dispatcher, chunk);
		return;
	}
	chunk->lease_until_ms = sent_ms + COORDINATOR_LEASE_MS;
	chunk->no_lease_since_ms = 0;
}

/* Moves the items from index taken on into a chunk of their own. */
static dispatch_chunk_t *split_chunk(dispatcher_t *dispatcher,
				     dispatch_chunk_t *chunk, uint32_t taken)
{
	dispatch_chunk_t *rest = g_new0(dispatch_chunk_t, 1);

	rest->pool = chunk->pool;
	rest->job = g_strdup(chunk->job);
	rest->input_file_id = g_strdup(chunk->input_file_id);
	rest->part = chunk->part;
	rest->line = chunk->line + taken;
	rest->first = chunk->first + taken;
	rest->count = chunk->count - taken;
	rest->latest_start_ms = chunk->latest_start_ms;
	rest->lease_until_ms = chunk->lease_until_ms;
	rest->renew_ms = dispatcher_now_ms(dispatcher);
	rest->loss_unreported = chunk->loss_unreported;
	rest->data = g_bytes_ref(chunk->data);
	rest->index = item_index_new(g_bytes_get_data(chunk->data, NULL),
				     g_bytes_get_size(chunk->data));
	rest->items = g_new0(dispatch_item_t, rest->count);
	g_queue_init(&rest->waiting);
	memcpy(rest->items, chunk->items + taken,
	       rest->count * sizeof(dispatch_item_t));
	for (uint32_t i = 0; i < rest->count; i++)
		rest->items[i].chunk = rest;
	rest->done = rest->count;
	chunk->count = taken;
	chunk->done = taken;
	return rest;
}

void dispatcher_chunk_write(dispatcher_t *dispatcher, dispatch_chunk_t *chunk)
{
	result_line_t *lines = g_new0(result_line_t, chunk->count);
	GBytes *object;
	uint32_t taken;

	for (uint32_t i = 0; i < chunk->count; i++) {
		lines[i].text = chunk->items[i].line;
		lines[i].len = strlen(lines[i].text);
		lines[i].is_error = chunk->items[i].is_error;
	}
	object = result_build(chunk->first, lines, chunk->count, &taken);
	chunk->result =
		(coordinator_result_t){ .first = chunk->first, .count = taken };
	for (uint32_t i = 0; i < taken; i++)
		chunk->result.failed += lines[i].is_error;
	chunk->result.completed = taken - chunk->result.failed;
	g_free(lines);
	chunk->writing = true;
	dispatcher->ops.write(chunk, object, dispatcher->ops.user_data);
	g_bytes_unref(object);
}

void dispatcher_written(dispatcher_t *dispatcher, const char *job,
			uint32_t first, object_write_outcome_t outcome)
{
	dispatch_chunk_t *chunk = find_chunk(dispatcher, job, first);
	dispatch_chunk_t *rest = NULL;

	if (!chunk || !chunk->writing)
		return;
	if (outcome == OBJECT_WRITTEN) {
		dispatcher->ops.done(chunk, &chunk->result,
				     dispatcher->ops.user_data);
		if (chunk->result.count < chunk->count)
			rest = split_chunk(dispatcher, chunk,
					   chunk->result.count);
	}
	/* If another holder created the object first, the coordinator reads
	 * that one when the lease expires. */
	drop_chunk(dispatcher, chunk);
	if (!rest)
		return;
	add_chunk(dispatcher, rest);
	dispatcher_chunk_write(dispatcher, rest);
}

static void renew_chunk(dispatcher_t *dispatcher, dispatch_chunk_t *chunk)
{
	GArray *suspects;

	chunk->renew_ms = dispatcher_now_ms(dispatcher) + RENEW_INTERVAL_MS;
	if (!chunk->data)
		dispatcher->ops.load(chunk, dispatcher->ops.user_data);
	if (chunk->renewing)
		return;
	chunk->renewing = true;
	chunk->reporting_losses = true;
	suspects = collect_suspects(chunk);
	dispatcher->ops.renew(chunk, suspects, dispatcher->ops.user_data);
	g_array_free(suspects, TRUE);
}

void dispatcher_chunk_report_loss(dispatcher_t *dispatcher,
				  dispatch_chunk_t *chunk)
{
	chunk->loss_unreported = true;
	chunk->reporting_losses = false;
	chunk->renew_ms = dispatcher_now_ms(dispatcher);
}

void dispatcher_chunk_tick(dispatcher_t *dispatcher, dispatch_chunk_t *chunk)
{
	int64_t now = dispatcher_now_ms(dispatcher);

	if (now >= chunk->renew_ms)
		renew_chunk(dispatcher, chunk);
	if (now < chunk->lease_until_ms || chunk->writing)
		return;
	if (!chunk->no_lease_since_ms) {
		chunk->no_lease_since_ms = now;
		stop_running(dispatcher, chunk);
	}
	if (now >= chunk->no_lease_since_ms + LEASE_RECOVERY_MS)
		drop_chunk(dispatcher, chunk);
}
