#include "batch/retention.h"

#include <string.h>

#define RETRY_DELAY_MS 5000
/* Delay between marking the record and the first removal, for readers that read
 * the record before it was marked. */
#define REMOVAL_DELAY_MS 10000

typedef struct retained {
	job_t *job; /* final */
	uint64_t version;
	int64_t retry_ms; /* monotonic */
} retained_job_t;

struct retention {
	retention_options_t options;
	remover_t *remover;
	GHashTable *jobs; /* id -> retained_job_t */
	char *current; /* job whose results are being removed */
};

static void retained_job_free(void *data)
{
	retained_job_t *retained = data;

	job_free(retained->job);
	g_free(retained);
}

static remover_t *new_remover(const retention_options_t *options)
{
	const remover_options_t remover = {
		.store = options->store,
		.clock = options->clock,
		.removals_per_s = options->removals_per_s,
	};

	return remover_new(&remover);
}

retention_t *retention_new(const retention_options_t *options)
{
	retention_t *retention = g_new0(retention_t, 1);

	retention->options = *options;
	retention->remover = new_remover(options);
	retention->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						retained_job_free);
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

/* A job that is submitted again after its record was removed has the same id,
 * and the versions of its record begin anew. */
static bool is_older(const retained_job_t *known, const job_t *job,
		     uint64_t version)
{
	int64_t created_ms = job->at_ms[JOB_VALIDATING];
	int64_t known_created_ms = known->job->at_ms[JOB_VALIDATING];

	return created_ms != known_created_ms ? created_ms < known_created_ms :
						version < known->version;
}

void retention_apply_record(retention_t *retention, job_t *job,
			    uint64_t version)
{
	const retained_job_t *known =
		g_hash_table_lookup(retention->jobs, job->id);
	retained_job_t *retained;

	if (known && is_older(known, job, version)) {
		job_free(job);
		return;
	}
	if (!job_state_is_final(job->state)) {
		g_hash_table_remove(retention->jobs, job->id);
		job_free(job);
		return;
	}
	retained = g_new0(retained_job_t, 1);
	retained->job = job;
	retained->version = version;
	if (job->results_removed)
		retained->retry_ms = clock_now_ms(retention->options.clock) +
				     REMOVAL_DELAY_MS;
	g_hash_table_replace(retention->jobs, job->id, retained);
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

static void retry_later(retention_t *retention, retained_job_t *retained)
{
	retained->retry_ms =
		clock_now_ms(retention->options.clock) + RETRY_DELAY_MS;
	retention->options.stats->failures++;
}

void retention_update_failed(retention_t *retention, const char *job)
{
	retained_job_t *retained = g_hash_table_lookup(retention->jobs, job);

	if (retained)
		retry_later(retention, retained);
}

void retention_record_removed(retention_t *retention, const char *job)
{
	g_hash_table_remove(retention->jobs, job);
}

static void on_removed(bool empty, uint32_t removed, void *user_data)
{
	retention_t *retention = user_data;
	const retention_options_t *options = &retention->options;
	retained_job_t *retained =
		g_hash_table_lookup(retention->jobs, retention->current);

	options->stats->objects += removed;
	if (retained && empty) {
		options->stats->jobs++;
		retained->retry_ms =
			INT64_MAX; /* until the outcome is reported */
		options->ops.removed(retention->current, removed,
				     options->ops.user_data);
		options->ops.update(retained->job, retained->version, true,
				    options->ops.user_data);
	} else if (retained) {
		retry_later(retention, retained);
	}
	g_clear_pointer(&retention->current, g_free);
}

static bool is_due(const retention_t *retention, const retained_job_t *retained)
{
	const retention_options_t *options = &retention->options;

	return clock_now_ms(options->clock) >= retained->retry_ms &&
	       (retained->job->results_removed ||
		clock_wall_ms(options->clock) >=
			job_readable_until_ms(retained->job,
					      options->result_ms));
}

static retained_job_t *find_due(const retention_t *retention)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, retention->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (is_due(retention, value))
			return value;
	return NULL;
}

static void mark_results_removed(retention_t *retention,
				 retained_job_t *retained)
{
	const retention_ops_t *ops = &retention->options.ops;

	retained->retry_ms = INT64_MAX; /* until the outcome is reported */
	retained->job->results_removed = true;
	ops->update(retained->job, retained->version, false, ops->user_data);
	retained->job->results_removed = false;
}

static void start_removal(retention_t *retention,
			  const retained_job_t *retained)
{
	char *prefix = g_strconcat("result/", retained->job->id, "/", NULL);

	retention->current = g_strdup(retained->job->id);
	remover_start(retention->remover, prefix, on_removed, retention);
	g_free(prefix);
}

/* Whether the record that permitted the removal in progress is still that of
 * the job. */
static bool is_removal_valid(const retention_t *retention)
{
	const retained_job_t *retained =
		g_hash_table_lookup(retention->jobs, retention->current);

	return retained && retained->job->results_removed;
}

/* Objects that were listed before are removed at their versions only. */
static void stop_removal(retention_t *retention)
{
	g_clear_pointer(&retention->current, g_free);
	remover_free(retention->remover);
	retention->remover = new_remover(&retention->options);
}

static bool has_record(const retention_t *retention)
{
	const retention_ops_t *ops = &retention->options.ops;

	return !ops->has_record ||
	       ops->has_record(retention->current, ops->user_data);
}

void retention_step(retention_t *retention)
{
	retained_job_t *due;

	if (retention->current && !is_removal_valid(retention))
		stop_removal(retention);
	due = retention->current ? NULL : find_due(retention);
	if (due && !due->job->results_removed)
		mark_results_removed(retention, due);
	else if (due)
		start_removal(retention, due);
	/* The next owner may have removed the record, so that new results are
	 * those of a job that was submitted again. */
	if (retention->current && has_record(retention))
		remover_step(retention->remover);
}
