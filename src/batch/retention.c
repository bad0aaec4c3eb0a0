#include "batch/retention.h"

#include <string.h>

#define RETRY_MS 5000
/* From the mark to the first removal, for readers that saw the record before
 * it was marked. */
#define PAUSE_MS 10000

typedef struct kept {
	job_t *job; /* final */
	uint64_t version;
	int64_t retry_ms; /* monotonic */
} kept_t;

struct retention {
	retention_options_t options;
	remover_t *remover;
	GHashTable *jobs; /* id -> kept_t */
	char *current; /* job under removal */
};

static void kept_free(void *data)
{
	kept_t *kept = data;

	job_free(kept->job);
	g_free(kept);
}

retention_t *retention_new(const retention_options_t *options)
{
	retention_t *retention = g_new0(retention_t, 1);
	remover_options_t remover = { .store = options->store,
				      .clock = options->clock,
				      .removals_per_s =
					      options->removals_per_s };

	retention->options = *options;
	retention->remover = remover_new(&remover);
	retention->jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, kept_free);
	return retention;
}

void retention_free(retention_t *retention)
{
	if (!retention)
		return;
	remover_free(retention->remover);
	g_hash_table_destroy(retention->jobs);
	g_free(retention->current);
	g_free(retention);
}

void retention_follow(retention_t *retention, job_t *job, uint64_t version)
{
	const kept_t *known = g_hash_table_lookup(retention->jobs, job->id);
	kept_t *kept;

	if (known && version < known->version) {
		job_free(job);
		return;
	}
	if (!job_state_is_final(job->state)) {
		g_hash_table_remove(retention->jobs, job->id);
		job_free(job);
		return;
	}
	kept = g_new0(kept_t, 1);
	kept->job = job;
	kept->version = version;
	if (job->results_removed)
		kept->retry_ms =
			clock_now_ms(retention->options.clock) + PAUSE_MS;
	g_hash_table_replace(retention->jobs, job->id, kept);
}

void retention_drop_unless(retention_t *retention, retention_keep_t keep,
			   void *user_data)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, retention->jobs);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!keep(key, user_data))
			g_hash_table_iter_remove(&iter);
}

static void retry_later(retention_t *retention, kept_t *kept)
{
	kept->retry_ms = clock_now_ms(retention->options.clock) + RETRY_MS;
	retention->options.stats->failures++;
}

void retention_failed(retention_t *retention, const char *job)
{
	kept_t *kept = g_hash_table_lookup(retention->jobs, job);

	if (kept)
		retry_later(retention, kept);
}

void retention_forgotten(retention_t *retention, const char *job)
{
	g_hash_table_remove(retention->jobs, job);
}

static void on_removed(bool empty, uint32_t removed, void *user_data)
{
	retention_t *retention = user_data;
	const retention_options_t *options = &retention->options;
	kept_t *kept = g_hash_table_lookup(retention->jobs, retention->current);

	options->stats->objects += removed;
	if (kept && empty) {
		options->stats->jobs++;
		kept->retry_ms = INT64_MAX; /* until the outcome is told */
		options->ops.removed(retention->current, removed,
				     options->ops.user_data);
		options->ops.update(kept->job, kept->version, true,
				    options->ops.user_data);
	} else if (kept) {
		retry_later(retention, kept);
	}
	g_clear_pointer(&retention->current, g_free);
}

static bool is_due(const retention_t *retention, const kept_t *kept)
{
	const retention_options_t *options = &retention->options;

	return clock_now_ms(options->clock) >= kept->retry_ms &&
	       (kept->job->results_removed ||
		clock_wall_ms(options->clock) >=
			job_readable_until_ms(kept->job, options->result_ms));
}

static kept_t *find_due(const retention_t *retention)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, retention->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (is_due(retention, value))
			return value;
	return NULL;
}

static void mark(retention_t *retention, kept_t *kept)
{
	const retention_ops_t *ops = &retention->options.ops;

	kept->retry_ms = INT64_MAX; /* until the outcome is told */
	kept->job->results_removed = true;
	ops->update(kept->job, kept->version, false, ops->user_data);
	kept->job->results_removed = false;
}

static void start(retention_t *retention, const kept_t *kept)
{
	char *prefix = g_strconcat("result/", kept->job->id, "/", NULL);

	retention->current = g_strdup(kept->job->id);
	remover_start(retention->remover, prefix, on_removed, retention);
	g_free(prefix);
}

void retention_step(retention_t *retention)
{
	kept_t *due = remover_is_busy(retention->remover) ? NULL :
							    find_due(retention);

	if (due && !due->job->results_removed)
		mark(retention, due);
	else if (due)
		start(retention, due);
	remover_step(retention->remover);
}
