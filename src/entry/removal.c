#include "entry/removal.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "batch/file_sweep.h"
#include "batch/retention.h"
#include "entry/batch_id.h"

#define STEP_PERIOD_MS 100
/* Expiry time of a record to be removed, past on every clock. 0 means that a
 * record does not expire. */
#define EXPIRE_NOW_MS 1

struct removal {
	entry_t *entry;
	retention_t *retention;
	retention_stats_t stats;
	struct event *timer;
	int64_t *jobs;
	int64_t *objects;
	int64_t *failures;
	record_key_t sweep_key; /* the owner of its shard sweeps the files */
	file_sweep_t *files;
	file_sweep_stats_t file_stats;
	int64_t *files_removed;
	int64_t *parts_removed;
};

typedef struct needed_call {
	removal_t *removal;
	uint64_t sweep;
} needed_call_t;

typedef struct update_call {
	removal_t *removal;
	char *job;
} update_call_t;

static void follow_record(removal_t *removal, const record_t *record)
{
	job_t *job = job_decode(record->data, record->len, NULL);
	record_key_t key;

	/* The coordinator logs damaged records (chunks.c). */
	if (job && batch_id_key(job->id, &key))
		retention_apply_record(removal->retention, job,
				       record->version);
	else
		job_free(job);
}

static gboolean is_owned(const char *job, void *user_data)
{
	const removal_t *removal = user_data;
	record_key_t key;

	return batch_id_key(job, &key) &&
	       records_is_owner(removal->entry->records, &key);
}

static void on_record(const record_t *record, void *user_data)
{
	removal_t *removal = user_data;

	if (!record)
		retention_drop_unless(removal->retention, is_owned, removal);
	else if (record->expire_ms != EXPIRE_NOW_MS)
		follow_record(removal, record);
}

static void on_updated(const record_t *record, const GError *error,
		       void *user_data)
{
	update_call_t *call = user_data;
	retention_t *retention = call->removal->retention;
	bool record_removed = error ? error->code == WL_ERROR_NOT_FOUND :
				      record->expire_ms == EXPIRE_NOW_MS;

	if (record_removed)
		retention_record_removed(retention, call->job);
	else if (record)
		follow_record(call->removal, record);
	else
		retention_update_failed(retention, call->job);
	g_free(call->job);
	g_free(call);
}

static void op_update(const job_t *job, uint64_t version, bool forget,
		      void *user_data)
{
	removal_t *removal = user_data;
	int64_t retention_ms = removal->entry->options.result_retention_ms;
	update_call_t *call = g_new0(update_call_t, 1);
	char *tag = g_strconcat(job->partner, "/", job->workspace, NULL);
	size_t len;
	char *data = job_encode(job, &len);
	record_t record = {
		.kind = RECORD_JOB,
		.version = version,
		.expire_ms = forget ? EXPIRE_NOW_MS :
				      job_record_expire_ms(job, retention_ms),
		.owner_tag = tag,
		.data = data,
		.len = len,
	};

	call->removal = removal;
	call->job = g_strdup(job->id);
	/* follow_record() accepts only jobs with a valid id. */
	g_assert_true(batch_id_key(job->id, &record.key));
	records_update(removal->entry->records, &record, on_updated, call);
	free(data);
	g_free(tag);
}

static void op_removed(const char *job, uint32_t objects, void *user_data)
{
	log_info("job_results_removed", "job=%s objects=%u", job, objects);
}

static gboolean op_has_record(const char *job, void *user_data)
{
	const removal_t *removal = user_data;
	record_key_t key;

	return batch_id_key(job, &key) &&
	       records_has_lease(removal->entry->records, &key);
}

/* Input files */

static bool op_is_owner(void *user_data)
{
	const removal_t *removal = user_data;

	return records_is_owner(removal->entry->records, &removal->sweep_key);
}

static void on_jobs_listed(const GArray *records, gboolean complete,
			   void *user_data)
{
	needed_call_t *call = user_data;
	GHashTable *ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; complete && i < records->len; i++) {
		const record_t *record = &g_array_index(records, record_t, i);
		job_t *job = job_decode(record->data, record->len, NULL);

		if (job)
			g_hash_table_add(ids, g_strdup(job->input_file_id));
		/* The input file of an unreadable job is unknown. */
		complete = job != NULL;
		job_free(job);
	}
	if (complete) {
		file_sweep_set_needed(call->removal->files, call->sweep, ids);
	} else {
		file_sweep_set_needed(call->removal->files, call->sweep, NULL);
		g_hash_table_destroy(ids);
	}
	g_free(call);
}

static void op_list_needed_files(uint64_t sweep, void *user_data)
{
	removal_t *removal = user_data;
	needed_call_t *call = g_new0(needed_call_t, 1);

	call->removal = removal;
	call->sweep = sweep;
	records_list(removal->entry->records, RECORD_JOB, NULL, on_jobs_listed,
		     call);
}

static void op_file_removed(const char *id, uint32_t objects, void *user_data)
{
	log_info("file_removed", "file=%s objects=%u", id, objects);
}

static file_sweep_t *new_file_sweep(removal_t *removal)
{
	const entry_options_t *o = &removal->entry->options;
	file_sweep_options_t options = {
		.ops = { op_is_owner, batch_id_file_created_ms,
			 op_list_needed_files, op_file_removed, removal },
		.store = removal->entry->store,
		.clock = removal->entry->clock,
		.file_ms = o->file_retention_ms,
		.removals_per_s = o->removals_per_s,
		.stats = &removal->file_stats,
	};

	return file_sweep_new(&options);
}

static void on_step(evutil_socket_t fd, short events, void *arg)
{
	removal_t *removal = arg;
	struct timeval period = { 0, STEP_PERIOD_MS * 1000 };

	retention_step(removal->retention);
	file_sweep_step(removal->files);
	*removal->jobs = removal->stats.jobs;
	*removal->objects = removal->stats.objects;
	*removal->failures =
		removal->stats.failures + removal->file_stats.failures;
	*removal->files_removed = removal->file_stats.files;
	*removal->parts_removed = removal->file_stats.objects;
	evtimer_add(removal->timer, &period);
}

removal_t *removal_new(entry_t *entry)
{
	removal_t *removal = g_new0(removal_t, 1);
	retention_options_t options = {
		.ops = { op_update, op_removed, op_has_record, removal },
		.store = entry->store,
		.clock = entry->clock,
		.result_ms = entry->options.result_retention_ms,
		.removals_per_s = entry->options.removals_per_s,
		.stats = &removal->stats,
	};

	removal->entry = entry;
	removal->retention = retention_new(&options);
	removal->jobs = counter_get(entry->counters, COUNTER_MONOTONIC,
				    "batch_jobs_removed_total", NULL);
	removal->objects = counter_get(entry->counters, COUNTER_MONOTONIC,
				       "batch_results_removed_total", NULL);
	removal->failures = counter_get(entry->counters, COUNTER_MONOTONIC,
					"batch_removal_failures_total", NULL);
	removal->files_removed = counter_get(entry->counters, COUNTER_MONOTONIC,
					     "batch_files_removed_total", NULL);
	removal->parts_removed =
		counter_get(entry->counters, COUNTER_MONOTONIC,
			    "batch_file_objects_removed_total", NULL);
	removal->sweep_key = record_key_make("file sweep", NULL);
	removal->files = new_file_sweep(removal);
	removal->timer = evtimer_new(entry->base, on_step, removal);
	records_follow(entry->records, RECORD_JOB, on_record, removal);
	on_step(-1, 0, removal);
	return removal;
}
