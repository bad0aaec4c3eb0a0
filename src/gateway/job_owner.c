#include "gateway/job_owner.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "backend/event_reader.h"
#include "base/error.h"
#include "base/log.h"
#include "gateway/batch_rule.h"
#include "gateway/job_owner_item.h"
#include "gateway/job_progress.h"

/* Well below the lease time after which other nodes take the job over, and
 * below the time within which an ended job must stop. */
#define RENEWAL_INTERVAL_MS 1500
/* Results that finish within this time are written as one segment. */
#define RESULT_BATCH_DELAY_MS 500
#define WRITE_RETRY_DELAY_MS 200
/* Twice the renewal interval: a takeover costs a few seconds of each item's
 * work in any case, and every call to the store adds load. */
#define PROGRESS_INTERVAL_MS 3000
/* Like payload parts, below the store's limit for a value. */
#define PROGRESS_MAX_BYTES (600 * 1024)
#define SEGMENT_MAX_BYTES JOB_ITEM_TEXT_MAX_BYTES
/* Of a result, beside its id and text. */
#define RESULT_OVERHEAD_BYTES 64
/* Half of the lease time, which other nodes count from when they first see a
 * version. */
#define RECORD_MAX_AGE_MS 2000

/* The time of submission is known by the wall clock of another node, which may
 * differ by seconds. */
#define GIVE_UP_MARGIN_MS 10000
/* A route that is missing for so long was removed; until then it may be one that
 * this node has not learned of yet, or that comes back. */
#define ROUTE_GONE_MS 8000

/* Number of different values of phase_of(). */
#define PHASE_STEPS 1024

struct owned_job {
	job_owner_t *owner;
	char *id;
	job_record_t *record; /* as last seen in the store */
	uint64_t version;
	GPtrArray *items; /* job_item_t */
	uint64_t item_bytes; /* counted in the context */
	owned_item_t *owned_items; /* one per item */
	GPtrArray *pending; /* job_result_t, not yet in a segment */
	GPtrArray *segment; /* job_result_t, being written */
	char *segment_key;
	char *segment_digest;
	bool segment_stored; /* but not yet named by the record */
	bool writing; /* a store call is in flight */
	bool refresh; /* read the record before writing it */
	bool release; /* the next write clears the owner */
	char *progress_key; /* NULL: a new key is needed */
	uint64_t progress_version; /* OBJECT_ABSENT: not yet stored */
	uint32_t progress_objects; /* keys used by this owner */
	int64_t progress_saved_us; /* when the last write of progress started */
	bool removed; /* to be freed when no call is in flight */
	uint32_t segments; /* segment keys used by this owner */
	int64_t pending_since_us;
	int64_t written_us; /* when the store last took the record */
	int64_t call_started_us; /* start of the call in flight, elapsed time */
	int64_t confirmed_us; /* start of the last write that renewed it */
	int64_t write_not_before_us;
	int64_t submitted_us; /* monotonic */
	int64_t deadline_us;
	int64_t no_route_since_us; /* 0: the route is known */
};

struct job_owner {
	job_context_t *context;
	segment_cache_t *cache;
	GPtrArray *jobs; /* owned_job_t, earliest deadline first */
	bool stopping;
	item_estimates_t *estimates;
	int64_t *items_completed_total;
	int64_t *items_given_up_total;
	int64_t *items_preempted_total;
	int64_t *items_too_large;
	int64_t *jobs_lost_total;
	int64_t *segment_key_conflicts_total;
	int64_t *foreign_results_total;
};

static int64_t now_us(const job_owner_t *owner)
{
	return clock_now_us(owner->context->clock);
}

job_owner_t *job_owner_new(job_context_t *context, segment_cache_t *cache)
{
	job_owner_t *owner = g_new0(job_owner_t, 1);
	counter_set_t *counters = context->counters;

	owner->context = context;
	owner->cache = cache;
	owner->jobs = g_ptr_array_new();
	owner->estimates = item_estimates_new();
	owner->items_completed_total =
		counter_get(counters, COUNTER_MONOTONIC,
			    "batch_items_completed_total", NULL);
	owner->items_given_up_total =
		counter_get(counters, COUNTER_MONOTONIC,
			    "batch_items_given_up_total", NULL);
	owner->items_preempted_total = counter_get(
		counters, COUNTER_MONOTONIC, "batch_items_yielded_total", NULL);
	owner->items_too_large = counter_get(counters, COUNTER_GAUGE,
					     "batch_items_too_large", NULL);
	owner->jobs_lost_total = counter_get(counters, COUNTER_MONOTONIC,
					     "batch_jobs_lost_total", NULL);
	owner->segment_key_conflicts_total =
		counter_get(counters, COUNTER_MONOTONIC,
			    "batch_segment_key_conflicts_total", NULL);
	owner->foreign_results_total =
		counter_get(counters, COUNTER_MONOTONIC,
			    "batch_foreign_results_total", NULL);
	return owner;
}

static owned_job_t *find(const job_owner_t *owner, const char *id)
{
	for (guint i = 0; i < owner->jobs->len; i++) {
		owned_job_t *job = owner->jobs->pdata[i];

		if (!job->removed && strcmp(job->id, id) == 0)
			return job;
	}
	return NULL;
}

static void job_free(owned_job_t *job)
{
	for (guint i = 0; i < job->items->len; i++)
		job_owner_item_clear(&job->owned_items[i]);
	job->owner->context->item_bytes -= job->item_bytes;
	g_free(job->owned_items);
	g_ptr_array_unref(job->items);
	g_ptr_array_unref(job->pending);
	if (job->segment)
		g_ptr_array_unref(job->segment);
	g_free(job->segment_key);
	g_free(job->segment_digest);
	g_free(job->progress_key);
	job_record_free(job->record);
	g_free(job->id);
	g_free(job);
}

/* Cancels the job's items and marks it for removal from this node. */
static void remove_job(owned_job_t *job, const char *reason)
{
	log_info("job_dropped",
		 "job=%s reason=%s owner=%s epoch=%u results=%u items=%u",
		 job->id, reason, job->record->owner, job->record->epoch,
		 job_record_results(job->record), job->record->items);
	for (guint i = 0; i < job->items->len; i++)
		job_owner_item_cancel(&job->owned_items[i]);
	job->removed = true;
}

static void free_removed_jobs(job_owner_t *owner)
{
	for (guint i = owner->jobs->len; i-- > 0;) {
		owned_job_t *job = owner->jobs->pdata[i];

		if (!job->removed || job->writing)
			continue;
		g_ptr_array_remove_index(owner->jobs, i);
		job_free(job);
	}
}

static gint by_deadline(gconstpointer a, gconstpointer b)
{
	const owned_job_t *x = *(owned_job_t *const *)a;
	const owned_job_t *y = *(owned_job_t *const *)b;

	return x->deadline_us < y->deadline_us ?
		       -1 :
		       x->deadline_us > y->deadline_us;
}

static const path_route_t *route_of(const owned_job_t *job)
{
	const path_table_t *paths = *job->owner->context->paths;
	const path_route_t *route;

	if (!paths)
		return NULL;
	route = path_table_find(paths, job->record->host, job->record->path);
	/* Once its own is removed, the path may belong to another one. */
	return route && route->kind == PATH_BATCH ? route : NULL;
}

/* Adds the duration of an item to the estimate. Leaves out items whose duration
 * is not typical: those that were infeasible and so waited for all others, that
 * failed, or that started at another owner. */
static void add_to_estimate(job_owner_t *owner, const owned_item_t *owned,
			    job_result_state_t state)
{
	if (state != JOB_RESULT_COMPLETED || owned->was_infeasible ||
	    owned->failures > 0 || owned->resumed)
		return;
	item_estimate_add(
		item_estimates_get(owner->estimates, owned->service_key),
		(now_us(owner) - owned->started_us) / 1000,
		job_owner_item_events(owned));
}

static void item_finished(void *user_data, uint32_t index,
			  job_result_state_t state, char *text)
{
	owned_job_t *job = user_data;
	const job_item_t *item = job->items->pdata[index];
	job_result_t *result = g_new0(job_result_t, 1);

	if (state == JOB_RESULT_COMPLETED)
		(*job->owner->items_completed_total)++;
	else
		(*job->owner->items_given_up_total)++;
	add_to_estimate(job->owner, &job->owned_items[index], state);
	log_info("item_finished",
		 "job=%s item=%s state=%s failures=%u urgency=%u "
		 "tokens=%" PRId64 " events=%" PRId64 " took_ms=%" PRId64
		 " estimate_ms=%.0f left_ms=%" PRId64,
		 job->id, item->id,
		 state == JOB_RESULT_COMPLETED ? "completed" : "given_up",
		 job->owned_items[index].failures,
		 job->owned_items[index].urgency, item->tokens,
		 job_owner_item_events(&job->owned_items[index]),
		 (now_us(job->owner) - job->owned_items[index].started_us) /
			 1000,
		 item_estimates_get(job->owner->estimates,
				    job->owned_items[index].service_key)
			 ->item_ms,
		 (job->deadline_us - now_us(job->owner)) / 1000);
	result->item = index;
	result->id = g_strdup(item->id);
	result->state = state;
	result->text = text;
	if (job->pending->len == 0)
		job->pending_since_us = now_us(job->owner);
	g_ptr_array_add(job->pending, result);
}

static bool is_confirmed(const owned_job_t *job)
{
	return clock_elapsed_us(job->owner->context->clock) -
		       job->confirmed_us <=
	       RECORD_MAX_AGE_MS * 1000;
}

static bool is_job_confirmed(void *user_data)
{
	return is_confirmed(user_data);
}

static const job_item_callbacks_t item_callbacks = { item_finished,
						     is_job_confirmed };

/* Applies the progress that a former owner saved to the items that have no
 * result; returns their number. */
static uint32_t resume_items(owned_job_t *job, const GPtrArray *progress)
{
	uint32_t resumed = 0;

	for (guint i = 0; progress && i < progress->len; i++) {
		const job_progress_t *entry = progress->pdata[i];
		owned_item_t *owned;

		if (entry->item >= job->items->len)
			continue;
		owned = &job->owned_items[entry->item];
		if (owned->state == JOB_ITEM_FINISHED || owned->text)
			continue;
		job_owner_item_resume(owned, entry);
		resumed++;
	}
	return resumed;
}

/* Makes the next write read the record of a job that this node already owns. */
static void keep_owned(owned_job_t *job, const job_start_t *start)
{
	log_warn("job_already_owned",
		 "job=%s epoch=%u version=%" PRIu64
		 " owned_epoch=%u owned_version=%" PRIu64,
		 job->id, start->record->epoch, start->version,
		 job->record->epoch, job->version);
	job->refresh = true;
	job_record_free(start->record);
	g_ptr_array_unref(start->items);
}

/* By the clock of this node. The wall clocks of nodes may differ by a few seconds:
 * nothing is given up within GIVE_UP_MARGIN_MS. */
static int64_t submitted_us(const owned_job_t *job)
{
	const job_owner_t *owner = job->owner;
	int64_t age_ms = clock_wall_ms(owner->context->clock) -
			 job->record->submitted_ms;

	return now_us(owner) - MAX(age_ms, 0) * 1000;
}

/* The operator may change the time until results are due, and bring back a route
 * that was not known as the job was taken over. Returns whether it has changed. */
static bool update_deadline(owned_job_t *job)
{
	const path_route_t *route = route_of(job);
	int64_t deadline_us = job->submitted_us;

	if (!route && job->deadline_us)
		return false;
	if (route)
		deadline_us += route->due_ms * 1000;
	if (deadline_us == job->deadline_us)
		return false;
	job->deadline_us = deadline_us;
	return true;
}

static void update_deadlines(job_owner_t *owner)
{
	bool changed = false;

	for (guint i = 0; i < owner->jobs->len; i++)
		changed |= update_deadline(owner->jobs->pdata[i]);
	if (changed)
		g_ptr_array_sort(owner->jobs, by_deadline);
}

void job_owner_start_job(job_owner_t *owner, const job_start_t *start)
{
	owned_job_t *job = find(owner, start->id);
	job_record_t *record = start->record;
	uint32_t resumed;

	if (job) {
		keep_owned(job, start);
		return;
	}
	job = g_new0(owned_job_t, 1);
	job->owner = owner;
	job->id = g_strdup(start->id);
	job->record = record;
	job->version = start->version;
	job->items = start->items;
	job->item_bytes = job_items_bytes(job->items);
	owner->context->item_bytes += job->item_bytes;
	job->owned_items = g_new0(owned_item_t, job->items->len);
	job->pending = g_ptr_array_new_with_free_func(job_result_free);
	job->written_us = now_us(owner);
	job->progress_saved_us = job->written_us;
	job->confirmed_us = start->confirmed_us;
	/* It may have been taken over or ended since. */
	job->refresh = !is_confirmed(job);
	job->submitted_us = submitted_us(job);
	update_deadline(job);
	for (guint i = 0; i < job->items->len; i++) {
		job_owner_item_init(&job->owned_items[i], owner->context,
				    job->items->pdata[i], i, &item_callbacks,
				    job);
		if (!job_record_has_item(record, i))
			continue;
		job->owned_items[i].state = JOB_ITEM_FINISHED;
		job->owned_items[i].recorded = true;
	}
	resumed = resume_items(job, start->progress);
	g_ptr_array_add(owner->jobs, job);
	g_ptr_array_sort(owner->jobs, by_deadline);
	log_info("job_adopted",
		 "job=%s epoch=%u version=%" PRIu64 " results=%u resumed=%u "
		 "items=%u due_ms=%" PRId64 " owner=%s instance=%s",
		 job->id, record->epoch, job->version,
		 job_record_results(record), resumed, record->items,
		 (job->deadline_us - now_us(owner)) / 1000, record->owner,
		 record->instance);
}

static void write_record(owned_job_t *job);

static void start_call(owned_job_t *job)
{
	job->writing = true;
	job->call_started_us = clock_elapsed_us(job->owner->context->clock);
}

static void delay_retry(owned_job_t *job, const GError *error)
{
	log_warn("job_write_failed", "job=%s version=%" PRIu64 " error=%s",
		 job->id, job->version, error_name(error->code));
	job->write_not_before_us =
		now_us(job->owner) + WRITE_RETRY_DELAY_MS * 1000;
}

/* Position of the segment's first result. */
static uint32_t first_position(const job_record_t *record, const char *key)
{
	uint32_t position = 0;

	for (guint i = 0; i < record->segments->len; i++) {
		const job_segment_t *segment = record->segments->pdata[i];

		if (strcmp(segment->key, key) == 0)
			break;
		position += segment->items->len;
	}
	return position;
}

/* Whether the record names the results of the current segment. */
static bool names_results(const owned_job_t *job)
{
	const job_segment_t *segment =
		job_record_find_segment(job->record, job->segment_key);

	return segment && job_segment_has_results(segment, job->segment,
						  job->segment_digest);
}

/* To be called when the stored record names the segment: moves its results to
 * the cache. */
static void complete_segment(owned_job_t *job)
{
	log_info("segment_named",
		 "job=%s segment=%s version=%" PRIu64
		 " epoch=%u first=%u results=%u",
		 job->id, job->segment_key, job->version, job->record->epoch,
		 first_position(job->record, job->segment_key),
		 job->segment->len);
	for (guint i = 0; i < job->segment->len; i++) {
		const job_result_t *result = job->segment->pdata[i];

		job->owned_items[result->item].recorded = true;
	}
	segment_cache_put(job->owner->cache, job->segment_key, job->segment);
	job->segment = NULL;
	job->segment_stored = false;
	g_clear_pointer(&job->segment_key, g_free);
	g_clear_pointer(&job->segment_digest, g_free);
}

/* Drops the results of items that the record has from others. */
static void drop_recorded(GPtrArray *results, const job_record_t *record)
{
	for (guint i = results->len; i-- > 0;) {
		const job_result_t *result = results->pdata[i];

		if (job_record_has_item(record, result->item))
			g_ptr_array_remove_index(results, i);
	}
}

/* Makes the results of the segment that the record does not name pending
 * again. They get another key. */
static void withdraw_segment(owned_job_t *job)
{
	for (guint i = 0; i < job->segment->len; i++)
		g_ptr_array_insert(job->pending, (gint)i,
				   job->segment->pdata[i]);
	g_ptr_array_set_free_func(job->segment, NULL);
	g_ptr_array_unref(job->segment);
	job->segment = NULL;
	job->segment_stored = false;
	g_clear_pointer(&job->segment_key, g_free);
	g_clear_pointer(&job->segment_digest, g_free);
}

/* Finishes the items that have results in the record which this owner did not
 * add, so that no item gets two positions. */
static void accept_foreign_results(owned_job_t *job)
{
	uint32_t foreign = 0;

	for (guint i = 0; i < job->items->len; i++) {
		owned_item_t *owned = &job->owned_items[i];

		if (owned->recorded || !job_record_has_item(job->record, i))
			continue;
		job_owner_item_cancel(owned);
		owned->state = JOB_ITEM_FINISHED;
		owned->recorded = true;
		foreign++;
	}
	if (foreign == 0)
		return;
	if (job->segment)
		withdraw_segment(job);
	drop_recorded(job->pending, job->record);
	*job->owner->foreign_results_total += foreign;
	log_error("foreign_results",
		  "job=%s version=%" PRIu64 " epoch=%u items=%u results=%u",
		  job->id, job->version, job->record->epoch, foreign,
		  job_record_results(job->record));
}

/* A write of this owner renews the lease. Others count it from the version that
 * they see, so a read does not. */
static void renew_lease(owned_job_t *job)
{
	job->written_us = now_us(job->owner);
	job->confirmed_us = job->call_started_us;
}

static void apply_record(owned_job_t *job, job_record_t *record,
			 uint64_t version)
{
	bool still_owner =
		strcmp(record->owner, job->owner->context->node) == 0 &&
		record->epoch == job->record->epoch;

	job_record_free(job->record);
	job->record = record;
	job->version = version;
	job->refresh = false;
	if (job->segment && names_results(job))
		complete_segment(job);
	else if (job->segment &&
		 job_record_find_segment(record, job->segment_key))
		withdraw_segment(job);
	if (still_owner && !record->ended)
		accept_foreign_results(job);
	if (record->ended) {
		remove_job(job, "ended");
	} else if (!still_owner) {
		(*job->owner->jobs_lost_total)++;
		remove_job(job, job->release ? "handed_back" : "other_owner");
	} else if (job_record_is_closed(record)) {
		remove_job(job, "complete");
	}
}

static void on_read(const object_value_t *value, const GError *error,
		    void *user_data)
{
	owned_job_t *job = user_data;
	job_record_t *record;

	job->writing = false;
	if (error && error->code == WL_ERROR_NOT_FOUND) {
		(*job->owner->jobs_lost_total)++;
		remove_job(job, "removed");
		return;
	}
	if (error) {
		delay_retry(job, error);
		return;
	}
	record = job_record_decode(value->data, value->len);
	if (record) {
		apply_record(job, record, value->version);
		return;
	}
	/* A later build owns the job now. */
	log_error("job_unreadable", "job=%s version=%" PRIu64, job->id,
		  value->version);
	(*job->owner->jobs_lost_total)++;
	remove_job(job, "unreadable");
}

static void read_record(owned_job_t *job)
{
	char *key = g_strconcat(JOB_RECORD_PREFIX, job->id, NULL);

	start_call(job);
	object_get(job->owner->context->store, key, on_read, job);
	g_free(key);
}

static void on_record_written(const object_value_t *value, const GError *error,
			      void *user_data)
{
	owned_job_t *job = user_data;
	job_record_t *record =
		value ? job_record_decode(value->data, value->len) : NULL;

	job->writing = false;
	if (!error)
		renew_lease(job);
	/* It is read before the next write, which tells whether it is gone. */
	if (error && error->code == WL_ERROR_NOT_FOUND)
		job->refresh = true;
	if (error && error->code != WL_ERROR_CONFLICT) {
		delay_retry(job, error);
	} else if (record) {
		apply_record(job, record, value->version);
	} else {
		/* The store did not return its record. */
		job->refresh = true;
	}
}

static int64_t tokens_of(const owned_job_t *job, const GPtrArray *results)
{
	int64_t tokens = 0;

	for (guint i = 0; i < results->len; i++) {
		const job_result_t *result = results->pdata[i];

		tokens +=
			((job_item_t *)job->items->pdata[result->item])->tokens;
	}
	return tokens;
}

static void add_segment(owned_job_t *job, job_record_t *record)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	for (guint i = 0; i < job->segment->len; i++)
		g_array_append_val(
			items, ((job_result_t *)job->segment->pdata[i])->item);
	job_record_add_segment(record, job->segment_key, job->segment_digest,
			       (uint32_t *)items->data, items->len);
	record->waiting_tokens =
		MAX(record->waiting_tokens - tokens_of(job, job->segment), 0);
	g_array_free(items, TRUE);
}

/* Writes the record, which renews the lease. Adds the stored segment and the
 * key of the stored progress, and clears the owner when the job is released and
 * all results are in segments. */
static void write_record(owned_job_t *job)
{
	const job_context_t *context = job->owner->context;
	job_record_t *record = job_record_copy(job->record);
	char *key = g_strconcat(JOB_RECORD_PREFIX, job->id, NULL);
	char *text;

	record->beat++;
	if (job->segment && job->segment_stored)
		add_segment(job, record);
	if (job->release && job->pending->len == 0) {
		g_free(record->owner);
		record->owner = g_strdup("");
	}
	if (job->progress_version != OBJECT_ABSENT) {
		g_free(record->progress);
		record->progress = g_strdup(job->progress_key);
	}
	text = job_record_encode(record);
	start_call(job);
	object_put(context->store, key, text, strlen(text), job->version,
		   context->writer, on_record_written, job);
	job_record_free(record);
	g_free(text);
	g_free(key);
}

static bool has_unsaved_progress(const owned_job_t *job)
{
	for (guint i = 0; i < job->items->len; i++) {
		const owned_item_t *owned = &job->owned_items[i];

		if (owned->state != JOB_ITEM_FINISHED && !owned->unreadable &&
		    (owned->last_event > owned->saved_event ||
		     owned->failures > owned->saved_failures))
			return true;
	}
	return false;
}

static GPtrArray *collect_progress(owned_job_t *job)
{
	GPtrArray *entries = g_ptr_array_new_with_free_func(job_progress_free);

	for (guint i = 0; i < job->items->len; i++) {
		owned_item_t *owned = &job->owned_items[i];
		job_progress_t *entry;

		if (owned->state == JOB_ITEM_FINISHED || owned->unreadable ||
		    (job_owner_item_events(owned) == 0 && !owned->failures))
			continue;
		owned->saved_event = owned->last_event;
		owned->saved_failures = owned->failures;
		entry = g_new0(job_progress_t, 1);
		entry->item = i;
		entry->last_event = owned->last_event;
		entry->version = owned->version_key;
		entry->failures = owned->failures;
		entry->text = g_strdup(owned->text ? owned->text->str : "");
		g_ptr_array_add(entries, entry);
	}
	return entries;
}

/* The outcome of the write is unknown, so the next attempt uses a new key. The
 * record keeps the key of the last object that is known to exist. */
static void handle_progress_failure(owned_job_t *job, const GError *error)
{
	g_clear_pointer(&job->progress_key, g_free);
	job->progress_version = OBJECT_ABSENT;
	/* Another attempt would fail too: the job is released without this
	 * progress. */
	if (error->code == WL_ERROR_TOO_LARGE)
		return;
	for (guint i = 0; i < job->items->len; i++) {
		job->owned_items[i].saved_event = EVENT_READER_NONE;
		job->owned_items[i].saved_failures = 0;
	}
}

static void on_progress_written(const object_value_t *value,
				const GError *error, void *user_data)
{
	owned_job_t *job = user_data;

	job->writing = false;
	if (error) {
		handle_progress_failure(job, error);
		delay_retry(job, error);
		return;
	}
	job->progress_version = value->version;
	if (job->release && !job->removed)
		write_record(job);
}

static void write_progress(owned_job_t *job)
{
	const job_context_t *context = job->owner->context;
	GPtrArray *entries = collect_progress(job);
	char *text = job_progress_encode(entries, PROGRESS_MAX_BYTES);

	if (!job->progress_key)
		job->progress_key =
			g_strdup_printf(JOB_PROGRESS_PREFIX "%s.%u.%u.%s",
					job->id, job->record->epoch,
					job->progress_objects++, context->node);
	job->progress_saved_us = now_us(job->owner);
	start_call(job);
	object_put(context->store, job->progress_key, text, strlen(text),
		   job->progress_version, context->writer, on_progress_written,
		   job);
	g_ptr_array_unref(entries);
	g_free(text);
}

static char *next_segment_key(owned_job_t *job)
{
	return g_strdup_printf(JOB_SEGMENT_PREFIX "%s.%u.%u.%s", job->id,
			       job->record->epoch, job->segments++,
			       job->owner->context->node);
}

static void segment_written(owned_job_t *job)
{
	job->segment_stored = true;
	if (job->removed)
		return;
	if (job->release && has_unsaved_progress(job))
		write_progress(job);
	else
		write_record(job);
}

/* The segment's key is in use: by an earlier write of this segment whose answer
 * was lost, or by other results, which the record must not name. */
static void on_segment_read(const object_value_t *value, const GError *error,
			    void *user_data)
{
	owned_job_t *job = user_data;

	job->writing = false;
	if (error) {
		delay_retry(job, error);
		return;
	}
	if (job_results_equal(job->segment, value->data, value->len)) {
		segment_written(job);
		return;
	}
	(*job->owner->segment_key_conflicts_total)++;
	log_error("segment_key_taken",
		  "job=%s key=%s writer=%s epoch=%u results=%u", job->id,
		  job->segment_key, value->writer ? value->writer : "-",
		  job->record->epoch, job->segment->len);
	g_free(job->segment_key);
	job->segment_key = next_segment_key(job);
}

static void on_segment_written(const object_value_t *value, const GError *error,
			       void *user_data)
{
	owned_job_t *job = user_data;

	job->writing = false;
	if (!error) {
		segment_written(job);
	} else if (error->code == WL_ERROR_CONFLICT) {
		start_call(job);
		object_get(job->owner->context->store, job->segment_key,
			   on_segment_read, job);
	} else {
		delay_retry(job, error);
	}
}

static void write_segment(owned_job_t *job)
{
	const job_context_t *context = job->owner->context;
	char *text = job_results_encode(job->segment);

	start_call(job);
	object_put(context->store, job->segment_key, text, strlen(text),
		   OBJECT_ABSENT, context->writer, on_segment_written, job);
	g_free(text);
}

static size_t result_bytes(const job_result_t *result)
{
	return RESULT_OVERHEAD_BYTES + strlen(result->id) +
	       job_result_text_bytes(result->text, strlen(result->text));
}

/* Number of pending results that fit into one object, at least one. */
static guint count_fitting(const owned_job_t *job)
{
	size_t bytes = result_bytes(job->pending->pdata[0]);
	guint count = 1;

	for (; count < job->pending->len; count++) {
		bytes += result_bytes(job->pending->pdata[count]);
		if (bytes > SEGMENT_MAX_BYTES)
			break;
	}
	return count;
}

static void start_segment(owned_job_t *job)
{
	guint count = count_fitting(job);

	job->segment = g_ptr_array_new_with_free_func(job_result_free);
	for (guint i = 0; i < count; i++)
		g_ptr_array_add(job->segment,
				g_ptr_array_steal_index(job->pending, 0));
	job->segment_key = next_segment_key(job);
	job->segment_digest = job_results_digest(job->segment);
}

static bool has_unfinished_items(const owned_job_t *job)
{
	for (guint i = 0; i < job->items->len; i++)
		if (job->owned_items[i].state != JOB_ITEM_FINISHED)
			return true;
	return false;
}

static bool is_segment_ready(const owned_job_t *job, int64_t now)
{
	if (job->pending->len == 0)
		return false;
	return job->release || !has_unfinished_items(job) ||
	       now - job->pending_since_us >= RESULT_BATCH_DELAY_MS * 1000;
}

static void write_pending(owned_job_t *job, int64_t now)
{
	if (job->writing || job->removed || now < job->write_not_before_us)
		return;
	if (job->refresh) {
		read_record(job);
		return;
	}
	if (!job->segment && is_segment_ready(job, now))
		start_segment(job);
	if (job->segment && !job->segment_stored)
		write_segment(job);
	else if (job->release && has_unsaved_progress(job))
		write_progress(job);
	else if (job->segment_stored || job->release ||
		 now - job->written_us >= RENEWAL_INTERVAL_MS * 1000)
		write_record(job);
	else if (now - job->progress_saved_us >= PROGRESS_INTERVAL_MS * 1000 &&
		 has_unsaved_progress(job))
		write_progress(job);
}

/* A service that items wait for, with their numbers. */
typedef struct service_demand {
	const char *service; /* valid while the free slots are shared out */
	fleet_sizes_t sizes; /* that its runners take */
	batch_demand_t demand;
} service_demand_t;

/* Slots for items of one service and urgency. */
typedef struct slot_range {
	const char *service;
	uint32_t demand; /* index of the service's */
	fleet_sizes_t sizes; /* that the service's runners take */
	const char *domain; /* only runners there; NULL: the fleet selects */
	const GArray *slots; /* keys of the runners; NULL: any runner */
	uint32_t next; /* index of the next slot, modulo their number */
	uint32_t count; /* remaining */
} slot_range_t;

static job_item_place_t place_of(const slot_range_t *range)
{
	job_item_place_t place = { .service = range->service,
				   .domain = range->domain };

	if (range->slots)
		place.runner = g_array_index(range->slots, uint64_t,
					     range->next % range->slots->len);
	return place;
}

/* Starts items of one urgency, those that were refused or the others, in the slots,
 * which it removes from the range. */
static void start_items(owned_job_t *job, uint32_t urgency, bool refused,
			slot_range_t *range)
{
	const path_route_t *route = route_of(job);
	int64_t no_room_tokens = INT64_MAX; /* no runner takes as many now */

	if (job->removed || job->release)
		return;
	for (guint i = 0; range->count > 0 && i < job->items->len; i++) {
		const job_item_place_t place = place_of(range);
		owned_item_t *owned = &job->owned_items[i];

		if (owned->demand != range->demand ||
		    owned->urgency != urgency ||
		    (owned->refusals > 0) != refused ||
		    owned->tokens >= no_room_tokens ||
		    !job_owner_item_wants_slot(owned))
			continue;
		if (!job_owner_item_start(owned, route, &place)) {
			/* Other items may go to runners of other software. */
			if (owned->version_key)
				continue;
			/* Smaller ones may go to runners that refused it. */
			if (owned->tokens <= range->sizes.all_take)
				return;
			no_room_tokens = owned->tokens;
			continue;
		}
		range->next++;
		range->count--;
	}
}

/* Starts items of one urgency of all jobs. Those that were refused come last, so
 * that they do not keep the others from the only runner that may take them. */
static void start_urgency(const job_owner_t *owner, uint32_t urgency,
			  slot_range_t *range)
{
	for (int refused = 0; refused <= 1 && range->count > 0; refused++)
		for (guint i = 0; i < owner->jobs->len; i++)
			start_items(owner->jobs->pdata[i], urgency, refused,
				    range);
}

/* Index of the service's demand, which is added if it is new. */
static uint32_t find_demand(const job_owner_t *owner, GArray *demands,
			    const char *service)
{
	service_demand_t *found;

	for (guint i = 0; i < demands->len; i++) {
		found = &g_array_index(demands, service_demand_t, i);
		if (found->service == service ||
		    strcmp(found->service, service) == 0)
			return i;
	}
	g_array_set_size(demands, demands->len + 1);
	found = &g_array_index(demands, service_demand_t, demands->len - 1);
	found->service = service;
	found->demand.service = fleet_key(service);
	found->sizes = fleet_sizes(owner->context->executions->fleet, service);
	return demands->len - 1;
}

static void count_item(owned_job_t *job, const path_route_t *route,
		       owned_item_t *owned, GArray *demands)
{
	const char *service;
	service_demand_t *entry;
	uint32_t demand;

	if (!job_owner_item_wants_slot(owned))
		return;
	service = job_owner_item_service(owned, route);
	if (!service)
		return;
	demand = find_demand(job->owner, demands, service);
	entry = &g_array_index(demands, service_demand_t, demand);
	owned->too_large = owned->tokens > entry->sizes.some_take;
	if (owned->too_large)
		return;
	owned->demand = demand;
	job_owner_item_update_urgency(
		owned, job->deadline_us,
		item_estimates_get(job->owner->estimates,
				   entry->demand.service));
	entry->demand.waiting.items[owned->urgency]++;
}

/* Updates the service and urgency of the items that wait for a slot, and counts
 * them. */
static void count_waiting(const job_owner_t *owner, GArray *demands)
{
	for (guint i = 0; i < owner->jobs->len; i++) {
		owned_job_t *job = owner->jobs->pdata[i];
		const path_route_t *route = route_of(job);
		bool starts = !job->removed && !job->release && !job->refresh &&
			      route;

		for (guint j = 0; j < job->items->len; j++) {
			owned_item_t *owned = &job->owned_items[j];

			owned->demand = JOB_ITEM_NO_DEMAND;
			if (starts)
				count_item(job, route, owned, demands);
		}
	}
}

static uint32_t count_without_slot(const job_owner_t *owner, uint32_t demand)
{
	uint32_t without_slot = 0;

	for (guint i = 0; i < owner->jobs->len; i++) {
		const owned_job_t *job = owner->jobs->pdata[i];

		if (job->removed || job->release)
			continue;
		for (guint j = 0; j < job->items->len; j++) {
			const owned_item_t *owned = &job->owned_items[j];

			without_slot += owned->demand == demand &&
					job_owner_item_wants_slot(owned);
		}
	}
	return without_slot;
}

/* Starts items that get no slot in the local domain in a remote domain that has
 * free slots. */
static void start_remote(job_owner_t *owner, const char *service,
			 const fleet_sizes_t *sizes, uint32_t demand)
{
	job_context_t *context = owner->context;
	GArray *domains = g_array_new(FALSE, FALSE, sizeof(batch_domain_t));
	const double draws[2] = { g_rand_double(context->random),
				  g_rand_double(context->random) };
	slot_range_t range = { .service = service,
			       .demand = demand,
			       .sizes = *sizes };
	guint chosen = 0;

	context->batch_domains(context->user_data, service, domains);
	if (domains->len > 0) {
		range.count = batch_remote_share(
			(const batch_domain_t *)domains->data, domains->len,
			count_without_slot(owner, demand), draws, &chosen);
		range.domain =
			g_array_index(domains, batch_domain_t, chosen).name;
	}
	for (uint32_t i = 0; i < BATCH_URGENCIES && range.count > 0; i++)
		start_urgency(owner, i, &range);
	g_array_free(domains, TRUE);
}

/* A number in [0, 1) that nodes with the same free slots agree on. */
static double phase_of(const GArray *slots)
{
	return slots->len > 0 ?
		       (g_array_index(slots, uint64_t, 0) % PHASE_STEPS) /
			       (double)PHASE_STEPS :
		       0;
}

/* Starts this node's share of the items that all nodes may start together at the
 * runners of one service. */
static void start_service(job_owner_t *owner, const service_demand_t *entry,
			  uint32_t demand)
{
	job_context_t *context = owner->context;
	batch_waiting_t before;
	batch_waiting_t after;
	batch_starts_t starts;
	batch_slots_t slots;
	GArray *keys = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	context->batch_waiting(context->user_data, entry->demand.service,
			       &before, &after);
	slots.total = fleet_list_free_slots(context->executions->fleet,
					    entry->service, keys);
	slots.free = keys->len;
	slots.phase = phase_of(keys);
	batch_share(&slots, &before, &entry->demand.waiting, &after, &starts);
	for (uint32_t i = 0; i < BATCH_URGENCIES; i++) {
		slot_range_t range = { .service = entry->service,
				       .demand = demand,
				       .sizes = entry->sizes,
				       .slots = keys,
				       .next = starts.first_slot[i],
				       .count = starts.items[i] };

		start_urgency(owner, i, &range);
	}
	g_array_free(keys, TRUE);
	start_remote(owner, entry->service, &entry->sizes, demand);
}

/* Counts the items that no runner takes now because of their size. */
static void count_too_large(const job_owner_t *owner)
{
	int64_t items = 0;

	for (guint i = 0; i < owner->jobs->len; i++) {
		const owned_job_t *job = owner->jobs->pdata[i];

		for (guint j = 0; j < job->items->len; j++)
			items +=
				job->owned_items[j].state == JOB_ITEM_WAITING &&
				job->owned_items[j].too_large;
	}
	*owner->items_too_large = items;
}

static void report_demands(const job_context_t *context, const GArray *demands)
{
	batch_demand_t reported[BATCH_DEMANDS_MAX] = { 0 };
	guint count = MIN(demands->len, BATCH_DEMANDS_MAX);

	for (guint i = 0; i < count; i++)
		reported[i] =
			g_array_index(demands, service_demand_t, i).demand;
	context->report_demands(context->user_data, reported, count);
}

/* Starts this node's share of the waiting items, for each service by itself: one
 * without free slots does not affect the others. */
static void start_share(job_owner_t *owner)
{
	GArray *demands = g_array_new(FALSE, TRUE, sizeof(service_demand_t));

	if (!owner->stopping)
		count_waiting(owner, demands);
	count_too_large(owner);
	report_demands(owner->context, demands);
	for (guint i = 0; i < demands->len; i++)
		start_service(owner,
			      &g_array_index(demands, service_demand_t, i), i);
	g_array_free(demands, TRUE);
}

/* Preempts up to excess items at a runner, either infeasible or feasible ones,
 * from the job with the latest deadline on. Returns the remaining excess. */
static uint32_t preempt_items(job_owner_t *owner, const fleet_runner_t *runner,
			      uint32_t excess, bool infeasible)
{
	for (guint i = owner->jobs->len; i-- > 0 && excess > 0;) {
		owned_job_t *job = owner->jobs->pdata[i];

		for (guint j = 0; j < job->items->len && excess > 0; j++) {
			if (job_owner_item_runner(&job->owned_items[j]) !=
				    runner ||
			    (job->owned_items[j].urgency == BATCH_INFEASIBLE) !=
				    infeasible)
				continue;
			log_info("item_yielded",
				 "job=%s item=%u runner=%s online=%u batch=%u "
				 "slots=%u last_event=%" PRId64,
				 job->id, j, runner->id,
				 runner->own.online + runner->peers.online,
				 runner->own.batch + runner->peers.batch,
				 runner->slots, job->owned_items[j].last_event);
			job_owner_item_preempt(&job->owned_items[j]);
			(*owner->items_preempted_total)++;
			excess--;
		}
	}
	return excess;
}

/* Preempts infeasible items first, then those of the jobs with the latest
 * deadlines. */
static void preempt_at(fleet_runner_t *runner, void *user_data)
{
	job_owner_t *owner = user_data;
	uint32_t excess = fleet_batch_excess(
		runner, g_rand_double(owner->context->random));

	excess = preempt_items(owner, runner, excess, true);
	preempt_items(owner, runner, excess, false);
}

void job_owner_preempt(job_owner_t *owner)
{
	if (owner->jobs->len > 0)
		fleet_each(owner->context->executions->fleet, preempt_at,
			   owner);
}

/* Gives up the items that are held back, can't be sent, are refused or have had
 * unreadable output, once their route permits it. */
static void give_up_held(owned_job_t *job, int64_t now)
{
	const path_route_t *route = route_of(job);

	if (!route || route->give_up_ms == 0 || job->release ||
	    now - job->submitted_us <
		    (route->give_up_ms + GIVE_UP_MARGIN_MS) * 1000)
		return;
	for (guint i = 0; i < job->items->len; i++) {
		owned_item_t *owned = &job->owned_items[i];

		if (owned->state == JOB_ITEM_WAITING &&
		    (owned->unsendable || owned->unreadable_runs > 0 ||
		     owned->refusals >= EXECUTION_OWN_REFUSALS ||
		     owned->too_large || job_owner_item_is_held(owned)))
			job_owner_item_give_up(owned, "item_held_too_long");
	}
}

/* Gives up the items that wait though the operator has removed their route. Those
 * that run are left to end. */
static void give_up_without_route(owned_job_t *job, int64_t now)
{
	if (!*job->owner->context->paths || route_of(job) || job->release) {
		job->no_route_since_us = 0;
		return;
	}
	if (!job->no_route_since_us) {
		log_info("job_route_missing", "job=%s path=%s results=%u",
			 job->id, log_quote(job->record->path),
			 job_record_results(job->record));
		job->no_route_since_us = now;
	}
	if (now - job->no_route_since_us < ROUTE_GONE_MS * 1000 ||
	    !is_confirmed(job))
		return;
	for (guint i = 0; i < job->items->len; i++)
		if (job->owned_items[i].state == JOB_ITEM_WAITING)
			job_owner_item_give_up(&job->owned_items[i],
					       "item_without_route");
}

static void check_items(job_owner_t *owner)
{
	for (guint i = 0; i < owner->jobs->len; i++) {
		owned_job_t *job = owner->jobs->pdata[i];

		for (guint j = 0; !job->removed && j < job->items->len; j++)
			job_owner_item_check(&job->owned_items[j]);
	}
}

void job_owner_tick(job_owner_t *owner)
{
	int64_t now = now_us(owner);

	check_items(owner);
	update_deadlines(owner);
	job_owner_preempt(owner);
	start_share(owner);
	for (guint i = 0; i < owner->jobs->len; i++) {
		owned_job_t *job = owner->jobs->pdata[i];

		if (job->removed)
			continue;
		/* A job may be accepted here while the node is stopping. */
		job->release |= owner->stopping;
		give_up_held(job, now);
		give_up_without_route(job, now);
		write_pending(job, now);
	}
	free_removed_jobs(owner);
}

void job_owner_refresh(job_owner_t *owner, const char *id)
{
	owned_job_t *job = find(owner, id);

	if (job)
		job->refresh = true;
}

const job_record_t *job_owner_record(job_owner_t *owner, const char *id)
{
	const owned_job_t *job = find(owner, id);

	return job ? job->record : NULL;
}

const job_record_t *job_owner_fresh_record(job_owner_t *owner, const char *id)
{
	const owned_job_t *job = find(owner, id);

	return job && is_confirmed(job) ? job->record : NULL;
}

const GPtrArray *job_owner_items(job_owner_t *owner, const char *id)
{
	const owned_job_t *job = find(owner, id);

	return job ? job->items : NULL;
}

void job_owner_stop(job_owner_t *owner)
{
	owner->stopping = true;
	for (guint i = 0; i < owner->jobs->len; i++) {
		owned_job_t *job = owner->jobs->pdata[i];

		for (guint j = 0; j < job->items->len; j++)
			job_owner_item_cancel(&job->owned_items[j]);
		job->release = true;
	}
}

uint32_t job_owner_count(const job_owner_t *owner)
{
	return owner->jobs->len;
}
