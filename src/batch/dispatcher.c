#include "batch/dispatcher.h"

#include <string.h>

#include "batch/dispatcher_chunk.h"
#include "batch/dispatcher_item.h"
#include "batch/dispatcher_state.h"

int64_t dispatcher_now_ms(const dispatcher_t *dispatcher)
{
	return clock_now_ms(dispatcher->clock);
}

static void runner_free(void *data)
{
	dispatch_runner_t *runner = data;

	g_ptr_array_free(runner->running, TRUE);
	g_free(runner->address);
	g_free(runner);
}

static void pool_free(void *data)
{
	dispatch_pool_t *pool = data;

	g_ptr_array_free(pool->runners, TRUE);
	g_ptr_array_free(pool->chunks, TRUE);
	g_free(pool->partner);
	g_free(pool->deployment);
	g_free(pool);
}

dispatcher_t *dispatcher_new(const dispatcher_ops_t *ops,
			     const clock_source_t *clock,
			     const slot_options_t *slots)
{
	dispatcher_t *dispatcher = g_new0(dispatcher_t, 1);

	dispatcher->ops = *ops;
	dispatcher->clock = clock;
	dispatcher->slots = *slots;
	dispatcher->runners = g_hash_table_new_full(g_str_hash, g_str_equal,
						    NULL, runner_free);
	dispatcher->pools = g_ptr_array_new_with_free_func(pool_free);
	dispatcher->chunks =
		g_ptr_array_new_with_free_func(dispatcher_chunk_free);
	return dispatcher;
}

void dispatcher_free(dispatcher_t *dispatcher)
{
	if (!dispatcher)
		return;
	g_ptr_array_free(dispatcher->chunks, TRUE);
	g_hash_table_destroy(dispatcher->runners);
	g_ptr_array_free(dispatcher->pools, TRUE);
	g_free(dispatcher);
}

dispatch_pool_t *dispatcher_find_pool(dispatcher_t *dispatcher,
				      const char *partner,
				      const char *deployment)
{
	for (guint i = 0; i < dispatcher->pools->len; i++) {
		dispatch_pool_t *pool = dispatcher->pools->pdata[i];

		if (strcmp(pool->partner, partner) == 0 &&
		    strcmp(pool->deployment, deployment) == 0)
			return pool;
	}
	return NULL;
}

dispatch_pool_t *dispatcher_get_pool(dispatcher_t *dispatcher,
				     const char *partner,
				     const char *deployment)
{
	dispatch_pool_t *pool =
		dispatcher_find_pool(dispatcher, partner, deployment);

	if (pool)
		return pool;
	pool = g_new0(dispatch_pool_t, 1);
	pool->partner = g_strdup(partner);
	pool->deployment = g_strdup(deployment);
	pool->runners = g_ptr_array_new();
	pool->chunks = g_ptr_array_new();
	g_ptr_array_add(dispatcher->pools, pool);
	return pool;
}

/* Preempts the most recently started items first: they lose the least
 * progress. */
void dispatcher_preempt(dispatcher_t *dispatcher, dispatch_runner_t *runner)
{
	uint32_t allowed =
		slot_allowed(&runner->slot, &dispatcher->slots, runner->online,
			     dispatcher_now_ms(dispatcher));

	while (runner->running->len > allowed)
		dispatcher_item_stop(
			dispatcher,
			runner->running->pdata[runner->running->len - 1]);
}

static void remove_runner(dispatcher_t *dispatcher, dispatch_runner_t *runner)
{
	while (runner->running->len > 0)
		dispatcher_item_stop(dispatcher, runner->running->pdata[0]);
	for (guint i = 0;
	     runner->awaiting_probe > 0 && i < dispatcher->chunks->len; i++) {
		dispatch_chunk_t *chunk = dispatcher->chunks->pdata[i];

		for (uint32_t k = 0; k < chunk->count; k++)
			if (chunk->items[k].runner == runner)
				dispatcher_item_stop(dispatcher,
						     &chunk->items[k]);
	}
	g_ptr_array_remove(runner->pool->runners, runner);
}

static gboolean remove_if_unlisted(void *key, void *value, void *user_data)
{
	void **arg = user_data;

	if (g_hash_table_contains(arg[1], key))
		return FALSE;
	remove_runner(arg[0], value);
	return TRUE;
}

static bool serves(const dispatch_pool_t *pool,
		   const dispatcher_runner_info_t *info)
{
	return strcmp(pool->partner, info->partner) == 0 &&
	       strcmp(pool->deployment, info->deployment) == 0;
}

void dispatcher_set_runners(dispatcher_t *dispatcher,
			    const dispatcher_runner_info_t *runners,
			    guint count)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	void *arg[] = { dispatcher, listed };

	for (guint i = 0; i < count; i++) {
		dispatch_runner_t *runner = g_hash_table_lookup(
			dispatcher->runners, runners[i].address);

		g_hash_table_add(listed, (void *)runners[i].address);
		if (runner && serves(runner->pool, &runners[i]))
			continue;
		if (runner) {
			remove_runner(dispatcher, runner);
			g_hash_table_remove(dispatcher->runners,
					    runners[i].address);
		}
		runner = g_new0(dispatch_runner_t, 1);
		runner->address = g_strdup(runners[i].address);
		runner->pool = dispatcher_get_pool(
			dispatcher, runners[i].partner, runners[i].deployment);
		runner->running = g_ptr_array_new();
		slot_init(&runner->slot);
		g_ptr_array_add(runner->pool->runners, runner);
		g_hash_table_insert(dispatcher->runners, runner->address,
				    runner);
	}
	g_hash_table_foreach_remove(dispatcher->runners, remove_if_unlisted,
				    arg);
	g_hash_table_destroy(listed);
}

void dispatcher_set_online(dispatcher_t *dispatcher, const char *address,
			   uint32_t online)
{
	dispatch_runner_t *runner =
		g_hash_table_lookup(dispatcher->runners, address);

	if (!runner || runner->online == online)
		return;
	runner->online = online;
	dispatcher_preempt(dispatcher, runner);
}

void dispatcher_report_slots(dispatcher_t *dispatcher, const char *address,
			     uint32_t slots)
{
	dispatch_runner_t *runner =
		g_hash_table_lookup(dispatcher->runners, address);

	if (runner)
		slot_report(&runner->slot, slots);
}

GHashTable *dispatcher_runners(const dispatcher_t *dispatcher)
{
	return dispatcher->runners;
}

void dispatcher_drain(dispatcher_t *dispatcher)
{
	dispatcher->draining = true;
	for (guint i = dispatcher->chunks->len; i-- > 0;) {
		dispatch_chunk_t *chunk = dispatcher->chunks->pdata[i];

		if (!chunk->writing)
			dispatcher_chunk_release(dispatcher, chunk);
	}
}

uint32_t dispatcher_chunks(const dispatcher_t *dispatcher)
{
	return dispatcher->chunks->len;
}

uint32_t dispatcher_running(const dispatcher_t *dispatcher)
{
	return dispatcher->running;
}
