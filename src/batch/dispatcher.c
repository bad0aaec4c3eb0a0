#include "batch/dispatcher.h"

#include <string.h>

#include "base/error.h"
#include "batch/item_file.h"
#include "batch/result.h"

#define RENEW_MS 1000
/* A chunk whose lease is gone is kept this long in case it comes back. */
#define PARK_MS 30000
#define LOAD_RETRY_MS 500
#define FIRST_PAUSE_MS 100
#define MAX_PAUSE_MS 2000
/* Cuts without a token in between that count as a death of the runner. */
#define MAX_CUTS 3
/* Chunks go back when no runner of the pool has taken an item for so long. */
#define NO_RUNNER_MS 2000

static const char lost_message[] = "runners were lost while they ran this item";
static const char error_message[] = "the engine answered with an error";

struct dispatcher {
	dispatcher_ops_t ops;
	const clock_source_t *clock;
	slot_options_t slots;
	GHashTable *runners; /* address -> dispatch_runner_t */
	GPtrArray *pools; /* dispatch_pool_t */
	GPtrArray *chunks; /* dispatch_chunk_t */
	uint32_t running;
	bool draining;
};

static int64_t now_ms(const dispatcher_t *dispatcher)
{
	return clock_now_ms(dispatcher->clock);
}

static void item_clear_all(dispatch_item_t *item)
{
	g_free(item->custom_id);
	g_free(item->line);
	if (item->text)
		g_string_free(item->text, TRUE);
}

static void chunk_free(void *data)
{
	dispatch_chunk_t *chunk = data;

	for (uint32_t i = 0; i < chunk->count; i++)
		item_clear_all(&chunk->items[i]);
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
	dispatcher->chunks = g_ptr_array_new_with_free_func(chunk_free);
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

static dispatch_pool_t *find_pool(dispatcher_t *dispatcher, const char *partner,
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

static dispatch_pool_t *get_pool(dispatcher_t *dispatcher, const char *partner,
				 const char *deployment)
{
	dispatch_pool_t *pool = find_pool(dispatcher, partner, deployment);

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

/* Takes the item off its runner's list of running ones. */
static void leave_runner(dispatcher_t *dispatcher, dispatch_item_t *item)
{
	dispatch_runner_t *runner = item->runner;

	item->call = NULL;
	dispatcher->running--;
	g_ptr_array_remove(runner->running, item);
	if (runner->alone == item) {
		runner->alone = NULL;
		runner->pool->suspect = NULL;
	}
}

static void wait_again(dispatch_item_t *item, bool at_front)
{
	item->state = ITEM_WAITING;
	item->runner = NULL;
	if (at_front)
		g_queue_push_head(&item->chunk->waiting, item);
	else
		g_queue_push_tail(&item->chunk->waiting, item);
}

static void stop_item(dispatcher_t *dispatcher, dispatch_item_t *item)
{
	if (item->state == ITEM_RUNNING) {
		dispatcher->ops.stop(item, dispatcher->ops.user_data);
		leave_runner(dispatcher, item);
		wait_again(item, true);
	} else if (item->state == ITEM_CUT) {
		item->runner->cut--;
		wait_again(item, true);
	}
}

static void stop_chunk(dispatcher_t *dispatcher, dispatch_chunk_t *chunk)
{
	for (uint32_t i = 0; i < chunk->count; i++)
		stop_item(dispatcher, &chunk->items[i]);
}

static void drop_chunk(dispatcher_t *dispatcher, dispatch_chunk_t *chunk)
{
	stop_chunk(dispatcher, chunk);
	g_ptr_array_remove(chunk->pool->chunks, chunk);
	g_ptr_array_remove(dispatcher->chunks, chunk);
}

/* Stops the youngest first: they lose the least progress of their runs. */
static void yield(dispatcher_t *dispatcher, dispatch_runner_t *runner)
{
	uint32_t allowed = slot_allowed(&runner->slot, &dispatcher->slots,
					runner->online, now_ms(dispatcher));

	while (runner->running->len > allowed)
		stop_item(dispatcher,
			  runner->running->pdata[runner->running->len - 1]);
}

static void remove_runner(dispatcher_t *dispatcher, dispatch_runner_t *runner)
{
	while (runner->running->len > 0)
		stop_item(dispatcher, runner->running->pdata[0]);
	for (guint i = 0; runner->cut > 0 && i < dispatcher->chunks->len; i++) {
		dispatch_chunk_t *chunk = dispatcher->chunks->pdata[i];

		for (uint32_t k = 0; k < chunk->count; k++)
			if (chunk->items[k].runner == runner)
				stop_item(dispatcher, &chunk->items[k]);
	}
	g_ptr_array_remove(runner->pool->runners, runner);
}

static gboolean is_gone(void *key, void *value, void *user_data)
{
	void **arg = user_data;

	if (g_hash_table_contains(arg[1], key))
		return FALSE;
	remove_runner(arg[0], value);
	return TRUE;
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
		if (runner)
			continue;
		runner = g_new0(dispatch_runner_t, 1);
		runner->address = g_strdup(runners[i].address);
		runner->pool = get_pool(dispatcher, runners[i].partner,
					runners[i].deployment);
		runner->running = g_ptr_array_new();
		slot_init(&runner->slot);
		g_ptr_array_add(runner->pool->runners, runner);
		g_hash_table_insert(dispatcher->runners, runner->address,
				    runner);
	}
	g_hash_table_foreach_remove(dispatcher->runners, is_gone, arg);
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
	yield(dispatcher, runner);
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

static int compare_due(const void *a, const void *b)
{
	const dispatch_chunk_t *left = *(dispatch_chunk_t *const *)a;
	const dispatch_chunk_t *right = *(dispatch_chunk_t *const *)b;

	if (left->due_ms != right->due_ms)
		return left->due_ms < right->due_ms ? -1 : 1;
	return left->first < right->first ? -1 : left->first > right->first;
}

static void add_chunk(dispatcher_t *dispatcher, dispatch_chunk_t *chunk)
{
	g_ptr_array_add(dispatcher->chunks, chunk);
	g_ptr_array_add(chunk->pool->chunks, chunk);
	g_ptr_array_sort(chunk->pool->chunks, compare_due);
}

static void apply_suspects(dispatch_chunk_t *chunk, const GArray *suspects)
{
	for (guint i = 0; suspects && i < suspects->len; i++) {
		const suspect_t *s = &g_array_index(suspects, suspect_t, i);

		if (s->item < chunk->first ||
		    s->item - chunk->first >= chunk->count)
			continue;
		chunk->items[s->item - chunk->first].tries = s->tries;
		chunk->items[s->item - chunk->first].deaths = s->deaths;
	}
}

void dispatcher_granted(dispatcher_t *dispatcher,
			const dispatcher_grant_t *grant)
{
	dispatch_chunk_t *chunk =
		find_chunk(dispatcher, grant->job, grant->first);

	if (chunk || dispatcher->draining) {
		if (chunk)
			chunk->lease_until_ms = MAX(chunk->lease_until_ms,
						    grant->lease_until_ms);
		return;
	}
	chunk = g_new0(dispatch_chunk_t, 1);
	chunk->pool = get_pool(dispatcher, grant->partner, grant->deployment);
	chunk->job = g_strdup(grant->job);
	chunk->input_file_id = g_strdup(grant->input_file_id);
	chunk->part = grant->part;
	chunk->line = grant->line;
	chunk->first = grant->first;
	chunk->count = grant->count;
	chunk->due_ms = now_ms(dispatcher) + grant->slack_ms;
	chunk->lease_until_ms = grant->lease_until_ms;
	chunk->renew_ms = now_ms(dispatcher) + RENEW_MS;
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
	dispatch_pool_t *pool = find_pool(dispatcher, partner, deployment);

	if (!pool)
		return;
	pool->pulling = false;
	pool->pull_ms = now_ms(dispatcher) + retry_ms;
}

void dispatcher_offered(dispatcher_t *dispatcher, const char *partner,
			const char *deployment)
{
	dispatch_pool_t *pool = find_pool(dispatcher, partner, deployment);

	if (pool)
		pool->pull_ms = 0;
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
		/* The next renewal loads again. */
		chunk->renew_ms = now_ms(dispatcher) + LOAD_RETRY_MS;
		return;
	}
	chunk->data = g_bytes_ref(data);
	text = g_bytes_get_data(data, &len);
	chunk->index = item_index_new(text, len);
}

static GArray *collect_suspects(const dispatch_chunk_t *chunk)
{
	GArray *suspects = g_array_new(FALSE, FALSE, sizeof(suspect_t));

	for (uint32_t i = 0; i < chunk->count; i++) {
		const dispatch_item_t *item = &chunk->items[i];
		suspect_t suspect = { item->number, item->tries, item->deaths };

		/* A failed item must not be tried again by the next holder. */
		if ((item->state != ITEM_DONE || item->is_error) &&
		    (item->tries || item->deaths))
			g_array_append_val(suspects, suspect);
	}
	return suspects;
}

static void hand_back(dispatcher_t *dispatcher, dispatch_chunk_t *chunk)
{
	GArray *suspects = collect_suspects(chunk);

	stop_chunk(dispatcher, chunk);
	dispatcher->ops.hand_back(chunk, suspects, dispatcher->ops.user_data);
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
	if (!answered || status == LEASE_LOST)
		return;
	if (status == LEASE_ENDED) {
		/* The object may still be the first of its chunk. */
		if (!chunk->writing)
			hand_back(dispatcher, chunk);
		return;
	}
	chunk->lease_until_ms = sent_ms + COORDINATOR_LEASE_MS;
	chunk->parked_ms = 0;
}

/* Turns items from index taken on into a chunk of their own. */
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
	rest->due_ms = chunk->due_ms;
	rest->lease_until_ms = chunk->lease_until_ms;
	rest->renew_ms = now_ms(dispatcher);
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

static void write_chunk(dispatcher_t *dispatcher, dispatch_chunk_t *chunk)
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
	/* Lost: the coordinator reads the other object when the lease ends. */
	drop_chunk(dispatcher, chunk);
	if (!rest)
		return;
	add_chunk(dispatcher, rest);
	write_chunk(dispatcher, rest);
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
		write_chunk(dispatcher, chunk);
}

static void fail_item(dispatcher_t *dispatcher, dispatch_item_t *item,
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
	item->cuts = 0;
	if (item->last_token_us && tokens == 1)
		slot_observe(&item->runner->slot, now_us - item->last_token_us,
			     now_us / 1000);
	item->last_token_us = now_us;
	item->runner->pause_ms = 0;
}

void dispatcher_item_whole(dispatcher_t *dispatcher, dispatch_item_t *item,
			   char *line)
{
	leave_runner(dispatcher, item);
	if (strlen(line) <= RESULT_LINE_MAX_BYTES) {
		finish_item(dispatcher, item, line, false);
		return;
	}
	g_free(line);
	fail_item(dispatcher, item, "result_too_large",
		  "the answer is larger than a result object");
}

/* Progress is void after an error: the next try starts anew. */
static void forget_progress(dispatch_item_t *item)
{
	if (item->text)
		g_string_truncate(item->text, 0);
	item->tokens = 0;
}

void dispatcher_item_failed(dispatcher_t *dispatcher, dispatch_item_t *item,
			    const char *code, const char *message)
{
	leave_runner(dispatcher, item);
	forget_progress(item);
	if (++item->tries >= SUSPECT_MAX_TRIES) {
		fail_item(dispatcher, item, code, message);
		return;
	}
	item->not_before_ms =
		now_ms(dispatcher) + (int64_t)FIRST_PAUSE_MS * item->tries;
	wait_again(item, false);
}

static void pause_runner(dispatcher_t *dispatcher, dispatch_runner_t *runner)
{
	runner->pause_ms = runner->pause_ms ?
				   MIN(runner->pause_ms * 2, MAX_PAUSE_MS) :
				   FIRST_PAUSE_MS;
	runner->not_before_ms = now_ms(dispatcher) + runner->pause_ms;
}

void dispatcher_item_refused(dispatcher_t *dispatcher, dispatch_item_t *item)
{
	dispatch_runner_t *runner = item->runner;

	leave_runner(dispatcher, item);
	wait_again(item, true);
	if (now_ms(dispatcher) >= runner->not_before_ms)
		pause_runner(dispatcher, runner);
}

void dispatcher_item_cut(dispatcher_t *dispatcher, dispatch_item_t *item)
{
	dispatch_runner_t *runner = item->runner;

	leave_runner(dispatcher, item);
	item->state = ITEM_CUT;
	runner->cut++;
	if (runner->probing)
		return;
	runner->probing = true;
	dispatcher->ops.probe(runner->address, dispatcher->ops.user_data);
}

static void settle_cut(dispatcher_t *dispatcher, dispatch_item_t *item,
		       gboolean alive)
{
	item->runner->cut--;
	if (alive && ++item->cuts < MAX_CUTS) {
		wait_again(item, true);
		return;
	}
	item->cuts = 0;
	if (++item->deaths >= SUSPECT_MAX_DEATHS)
		fail_item(dispatcher, item, "runner_lost", lost_message);
	else
		wait_again(item, false);
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
		pause_runner(dispatcher, runner);
	for (guint i = dispatcher->chunks->len; i-- > 0;) {
		dispatch_chunk_t *chunk = dispatcher->chunks->pdata[i];

		for (uint32_t k = 0; k < chunk->count; k++)
			if (chunk->items[k].state == ITEM_CUT &&
			    chunk->items[k].runner == runner)
				settle_cut(dispatcher, &chunk->items[k], alive);
	}
}

static gboolean may_run(const dispatcher_t *dispatcher,
			const dispatch_chunk_t *chunk)
{
	return chunk->data && !chunk->writing &&
	       now_ms(dispatcher) < chunk->lease_until_ms;
}

/* The first item that may start now, taken off its queue. */
static dispatch_item_t *take_item(const dispatcher_t *dispatcher,
				  const dispatch_pool_t *pool, bool suspects)
{
	int64_t now = now_ms(dispatcher);

	for (guint i = 0; i < pool->chunks->len; i++) {
		dispatch_chunk_t *chunk = pool->chunks->pdata[i];

		if (!may_run(dispatcher, chunk))
			continue;
		for (GList *link = chunk->waiting.head; link;
		     link = link->next) {
			dispatch_item_t *item = link->data;

			if (item->not_before_ms > now ||
			    (item->deaths > 0) != suspects)
				continue;
			g_queue_delete_link(&chunk->waiting, link);
			return item;
		}
	}
	return NULL;
}

/* What the item's former holders have found is final. */
static gboolean fail_hopeless(dispatcher_t *dispatcher, dispatch_item_t *item)
{
	if (item->deaths >= SUSPECT_MAX_DEATHS)
		fail_item(dispatcher, item, "runner_lost", lost_message);
	else if (item->tries >= SUSPECT_MAX_TRIES)
		fail_item(dispatcher, item, "engine_error", error_message);
	else
		return FALSE;
	return TRUE;
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
		/* The upload checked it, so the stored part is damaged. */
		g_free(item->custom_id);
		item->custom_id = g_strdup("");
		fail_item(dispatcher, item, "invalid_item",
			  "the stored item cannot be read");
		return;
	}
	g_free(item->custom_id);
	item->custom_id = g_strdup(parsed.custom_id);
	if (fail_hopeless(dispatcher, item)) {
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
	uint32_t allowed = slot_allowed(&runner->slot, &dispatcher->slots,
					runner->online, now_ms(dispatcher));

	if (runner->alone || runner->probing ||
	    now_ms(dispatcher) < runner->not_before_ms)
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

/* One suspect of a pool runs at a time, with no other item on its runner. */
static void start_suspect(dispatcher_t *dispatcher, dispatch_pool_t *pool)
{
	dispatch_runner_t *runner = NULL;
	dispatch_item_t *item;

	if (pool->suspect)
		return;
	for (guint i = 0; i < pool->runners->len; i++) {
		dispatch_runner_t *other = pool->runners->pdata[i];

		if (other->probing ||
		    now_ms(dispatcher) < other->not_before_ms ||
		    slot_allowed(&other->slot, &dispatcher->slots,
				 other->online, now_ms(dispatcher)) == 0)
			continue;
		if (!runner || other->running->len < runner->running->len)
			runner = other;
	}
	item = runner ? take_item(dispatcher, pool, true) : NULL;
	if (!item)
		return;
	while (runner->running->len > 0)
		stop_item(dispatcher, runner->running->pdata[0]);
	pool->suspect = item;
	runner->alone = item;
	start_item(dispatcher, item, runner);
	if (item->state != ITEM_RUNNING) {
		pool->suspect = NULL;
		runner->alone = NULL;
	}
}

static void schedule_pool(dispatcher_t *dispatcher, dispatch_pool_t *pool)
{
	dispatch_runner_t *runner;
	dispatch_item_t *item;

	for (guint i = 0; i < pool->runners->len; i++)
		yield(dispatcher, pool->runners->pdata[i]);
	start_suspect(dispatcher, pool);
	while ((runner = freest_runner(dispatcher, pool))) {
		item = take_item(dispatcher, pool, false);
		if (!item)
			break;
		start_item(dispatcher, item, runner);
	}
}

/* Items of the pool that wait, and the slots that are free. */
static void pull_if_short(dispatcher_t *dispatcher, dispatch_pool_t *pool)
{
	uint32_t waiting = 0;
	uint32_t wanted = 0;

	if (pool->pulling || now_ms(dispatcher) < pool->pull_ms)
		return;
	for (guint i = 0; i < pool->runners->len; i++) {
		dispatch_runner_t *runner = pool->runners->pdata[i];

		if (now_ms(dispatcher) >= runner->not_before_ms &&
		    runner->pause_ms < MAX_PAUSE_MS)
			wanted += slot_allowed(
				&runner->slot, &dispatcher->slots,
				runner->online, now_ms(dispatcher));
	}
	for (guint i = 0; i < pool->chunks->len; i++) {
		const dispatch_chunk_t *chunk = pool->chunks->pdata[i];

		waiting += g_queue_get_length((GQueue *)&chunk->waiting);
	}
	/* Half a slot's worth ahead, so that slots do not wait for a pull. */
	if (wanted == 0 || waiting > wanted / 2)
		return;
	pool->pulling = true;
	dispatcher->ops.pull(pool->partner, pool->deployment,
			     dispatcher->ops.user_data);
}

/* Whether any runner can be expected to take items. Runners that are full of
 * online load count: that passes. */
static gboolean has_runner(const dispatch_pool_t *pool)
{
	for (guint i = 0; i < pool->runners->len; i++) {
		const dispatch_runner_t *runner = pool->runners->pdata[i];

		if (runner->pause_ms < MAX_PAUSE_MS)
			return TRUE;
	}
	return FALSE;
}

/* Other nodes may have runners for what this one cannot run. */
static void hand_back_if_stuck(dispatcher_t *dispatcher, dispatch_pool_t *pool)
{
	int64_t now = now_ms(dispatcher);

	if (has_runner(pool) || pool->chunks->len == 0) {
		pool->runner_ms = now;
		return;
	}
	if (now < pool->runner_ms + NO_RUNNER_MS)
		return;
	for (guint i = pool->chunks->len; i-- > 0;) {
		dispatch_chunk_t *chunk = pool->chunks->pdata[i];

		if (!chunk->writing)
			hand_back(dispatcher, chunk);
	}
}

static void renew_chunk(dispatcher_t *dispatcher, dispatch_chunk_t *chunk)
{
	GArray *suspects;

	chunk->renew_ms = now_ms(dispatcher) + RENEW_MS;
	if (!chunk->data)
		dispatcher->ops.load(chunk, dispatcher->ops.user_data);
	if (chunk->renewing)
		return;
	chunk->renewing = true;
	suspects = collect_suspects(chunk);
	dispatcher->ops.renew(chunk, suspects, dispatcher->ops.user_data);
	g_array_free(suspects, TRUE);
}

static void tick_chunk(dispatcher_t *dispatcher, dispatch_chunk_t *chunk)
{
	int64_t now = now_ms(dispatcher);

	if (now >= chunk->renew_ms)
		renew_chunk(dispatcher, chunk);
	if (now < chunk->lease_until_ms || chunk->writing)
		return;
	if (!chunk->parked_ms) {
		chunk->parked_ms = now;
		stop_chunk(dispatcher, chunk);
	}
	if (now >= chunk->parked_ms + PARK_MS)
		drop_chunk(dispatcher, chunk);
}

void dispatcher_tick(dispatcher_t *dispatcher)
{
	for (guint i = dispatcher->chunks->len; i-- > 0;)
		tick_chunk(dispatcher, dispatcher->chunks->pdata[i]);
	if (dispatcher->draining)
		return;
	for (guint i = 0; i < dispatcher->pools->len; i++) {
		schedule_pool(dispatcher, dispatcher->pools->pdata[i]);
		hand_back_if_stuck(dispatcher, dispatcher->pools->pdata[i]);
		pull_if_short(dispatcher, dispatcher->pools->pdata[i]);
	}
}

void dispatcher_drain(dispatcher_t *dispatcher)
{
	dispatcher->draining = true;
	for (guint i = dispatcher->chunks->len; i-- > 0;) {
		dispatch_chunk_t *chunk = dispatcher->chunks->pdata[i];

		if (!chunk->writing)
			hand_back(dispatcher, chunk);
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
