#include "batch/chunk_plan.h"

static void chunk_free(void *data)
{
	chunk_t *chunk = data;

	if (chunk->suspects)
		g_array_free(chunk->suspects, TRUE);
	g_free(chunk);
}

chunk_t *chunk_plan_find(const chunk_plan_t *plan, uint32_t first)
{
	return g_hash_table_lookup(plan->by_first, GUINT_TO_POINTER(first));
}

static void add_chunk(chunk_plan_t *plan, uint32_t first, uint32_t count,
		      uint32_t part, uint32_t line, int32_t index)
{
	chunk_t *chunk = g_new0(chunk_t, 1);

	chunk->first = first;
	chunk->count = count;
	chunk->part = part;
	chunk->line = line;
	chunk->index = index;
	g_ptr_array_add(plan->chunks, chunk);
	g_hash_table_insert(plan->by_first, GUINT_TO_POINTER(first), chunk);
	plan->waiting++;
	plan->unfinished++;
}

static void add_planned_chunks(chunk_plan_t *plan, const job_t *job)
{
	uint32_t first = 0;

	for (guint part = 0; part < job->part_items->len; part++) {
		uint32_t items = g_array_index(job->part_items, uint32_t, part);

		for (uint32_t line = 0; line < items;) {
			uint32_t count = MIN(job->chunk_items, items - line);

			add_chunk(plan, first, count, part, line,
				  (int32_t)plan->chunks->len);
			line += count;
			first += count;
		}
	}
}

void chunk_plan_set(chunk_plan_t *plan, chunk_t *chunk, chunk_state_t state)
{
	guint index = plan->next_waiting;

	plan->waiting -= chunk->state == CHUNK_WAITING;
	plan->waiting += state == CHUNK_WAITING;
	plan->unfinished -= state == CHUNK_DONE && chunk->state != CHUNK_DONE;
	chunk->state = state;
	if (state == CHUNK_WAITING) {
		chunk->holder = NULL;
		while (index > 0 && plan->chunks->pdata[index - 1] != chunk)
			index--;
		if (index > 0)
			plan->next_waiting = index - 1;
	}
	if (state == CHUNK_DONE && chunk->suspects) {
		g_array_free(chunk->suspects, TRUE);
		chunk->suspects = NULL;
	}
}

static void record_finished(job_t *job, const chunk_t *chunk, uint32_t count)
{
	static const uint8_t zero;
	job_split_t split = { chunk->first, count };
	guint byte = (guint)chunk->index / 8;

	if (chunk->index < 0 || count != chunk->count) {
		g_array_append_val(job->splits, split);
		return;
	}
	while (job->finished->len <= byte)
		g_byte_array_append(job->finished, &zero, 1);
	job->finished->data[byte] |= (uint8_t)(1U << (chunk->index % 8));
}

/* Marks a chunk done and adds a chunk for the items beyond count. */
static void mark_done(chunk_plan_t *plan, chunk_t *chunk, uint32_t count)
{
	uint32_t rest = chunk->count - count;

	chunk_plan_set(plan, chunk, CHUNK_DONE);
	chunk->count = count;
	if (rest > 0)
		add_chunk(plan, chunk->first + count, rest, chunk->part,
			  chunk->line + count, -1);
}

static gboolean is_recorded(const job_t *job, int32_t index)
{
	guint byte = (guint)index / 8;

	return byte < job->finished->len &&
	       job->finished->data[byte] & (1U << (index % 8));
}

static int compare_splits(const void *a, const void *b)
{
	const job_split_t *left = a;
	const job_split_t *right = b;

	return left->first < right->first ? -1 : left->first > right->first;
}

static void apply_record(chunk_plan_t *plan, job_t *job)
{
	for (guint i = 0; i < plan->chunks->len; i++) {
		chunk_t *chunk = plan->chunks->pdata[i];

		if (is_recorded(job, chunk->index))
			mark_done(plan, chunk, chunk->count);
	}
	g_array_sort(job->splits, compare_splits);
	for (guint i = 0; i < job->splits->len; i++) {
		job_split_t split = g_array_index(job->splits, job_split_t, i);
		chunk_t *chunk = chunk_plan_find(plan, split.first);

		if (chunk && split.count <= chunk->count)
			mark_done(plan, chunk, split.count);
	}
}

void chunk_plan_init(chunk_plan_t *plan, job_t *job)
{
	*plan = (chunk_plan_t){ 0 };
	plan->chunks = g_ptr_array_new_with_free_func(chunk_free);
	plan->by_first = g_hash_table_new(NULL, NULL);
	add_planned_chunks(plan, job);
	apply_record(plan, job);
}

void chunk_plan_clear(chunk_plan_t *plan)
{
	g_hash_table_destroy(plan->by_first);
	g_ptr_array_free(plan->chunks, TRUE);
}

void chunk_plan_finish(chunk_plan_t *plan, chunk_t *chunk, uint32_t count,
		       job_t *job)
{
	record_finished(job, chunk, count);
	mark_done(plan, chunk, count);
}

chunk_t *chunk_plan_next(chunk_plan_t *plan)
{
	for (; plan->next_waiting < plan->chunks->len; plan->next_waiting++) {
		chunk_t *chunk = plan->chunks->pdata[plan->next_waiting];

		if (chunk->state == CHUNK_WAITING)
			return chunk;
	}
	return NULL;
}

void chunk_plan_merge_suspects(chunk_t *chunk, const GArray *suspects)
{
	if (!suspects || suspects->len == 0)
		return;
	if (!chunk->suspects)
		chunk->suspects =
			g_array_new(FALSE, FALSE, sizeof(item_failures_t));
	for (guint i = 0; i < suspects->len; i++) {
		const item_failures_t *new =
			&g_array_index(suspects, item_failures_t, i);
		item_failures_t *known = NULL;

		if (new->item < chunk->first ||
		    new->item - chunk->first >= chunk->count)
			continue;
		for (guint k = 0; k < chunk->suspects->len && !known; k++) {
			known = &g_array_index(chunk->suspects, item_failures_t,
					       k);
			if (known->item != new->item)
				known = NULL;
		}
		if (!known) {
			g_array_append_val(chunk->suspects, *new);
			continue;
		}
		known->attempts = MAX(known->attempts, new->attempts);
		known->runner_losses =
			MAX(known->runner_losses, new->runner_losses);
	}
}
