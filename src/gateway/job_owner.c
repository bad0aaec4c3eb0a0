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

/* Well below the time after which other nodes take the job over, and below the
 * time within which an ended job must stop. */
#define RENEW_MS 1500
/* Results that finish close together are written together. */
#define GATHER_MS 500
#define RETRY_MS 200
/* Twice the renewal: a takeover costs some seconds of each item's work anyway,
 * and each call to the store has its price. */
#define SAVE_MS 3000
/* As for payload parts, below the store's limit of a value. */
#define PROGRESS_MAX_BYTES (600 * 1024)
/* Half of the lease, which other nodes count from their first sight. */
#define FRESH_MS 2000

struct owned_job {
	job_owner_t *owner;
	char *id;
	job_record_t *record; /* as last seen in the store */
	uint64_t version;
	GPtrArray *items; /* job_item_t */
	job_item_run_t *runs; /* one an item */
	GPtrArray *fresh; /* job_result_t, not in a segment yet */
	GPtrArray *segment; /* job_result_t, being written */
	char *segment_key;
	bool segment_stored; /* only the record does not name it yet */
	bool writing; /* a call to the store is under way */
	bool refresh; /* read the record before the next write */
	bool release; /* the next record names no owner */
	char *progress_key; /* NULL: the next one is to be made */
	uint64_t progress_version; /* OBJECT_ABSENT: not stored yet */
	uint32_t progress_objects; /* of this owner */
	int64_t saved_us; /* start of the last write of progress */
	bool gone; /* free once the call has returned */
	uint32_t segments; /* written by this owner */
	int64_t fresh_since_us;
	int64_t written_us; /* of the last successful write */
	int64_t called_us; /* start of the present call, elapsed time */
	int64_t confirmed_us; /* start of the last successful one */
	int64_t write_not_before_us;
	int64_t due_us;
};

struct job_owner {
	job_context_t *context;
	segment_cache_t *cache;
	GPtrArray *jobs; /* owned_job_t, by due time */
	bool stopping;
	item_estimate_t estimate;
	int64_t *items_completed_total;
	int64_t *items_given_up_total;
	int64_t *items_yielded_total;
	int64_t *jobs_lost_total;
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
	owner->items_completed_total =
		counter_get(counters, COUNTER_MONOTONIC,
			    "batch_items_completed_total", NULL);
	owner->items_given_up_total =
		counter_get(counters, COUNTER_MONOTONIC,
			    "batch_items_given_up_total", NULL);
	owner->items_yielded_total = counter_get(
		counters, COUNTER_MONOTONIC, "batch_items_yielded_total", NULL);
	owner->jobs_lost_total = counter_get(counters, COUNTER_MONOTONIC,
					     "batch_jobs_lost_total", NULL);
	return owner;
}

static owned_job_t *find(const job_owner_t *owner, const char *id)
{
	for (guint i = 0; i < owner->jobs->len; i++) {
		owned_job_t *job = owner->jobs->pdata[i];

		if (!job->gone && strcmp(job->id, id) == 0)
			return job;
	}
	return NULL;
}

static void job_free(owned_job_t *job)
{
	for (guint i = 0; i < job->items->len; i++)
		job_item_run_clear(&job->runs[i]);
	g_free(job->runs);
	g_ptr_array_unref(job->items);
	g_ptr_array_unref(job->fresh);
	if (job->segment)
		g_ptr_array_unref(job->segment);
	g_free(job->segment_key);
	g_free(job->progress_key);
	job_record_free(job->record);
	g_free(job->id);
	g_free(job);
}

/* The node has nothing to do with the job any more. */
static void drop(owned_job_t *job, const char *reason)
{
	log_info("job_dropped",
		 "job=%s reason=%s owner=%s epoch=%u results=%u items=%u",
		 job->id, reason, job->record->owner, job->record->epoch,
		 job_record_results(job->record), job->record->items);
	for (guint i = 0; i < job->items->len; i++)
		job_item_run_cancel(&job->runs[i]);
	job->gone = true;
}

static void reap(job_owner_t *owner)
{
	for (guint i = owner->jobs->len; i-- > 0;) {
		owned_job_t *job = owner->jobs->pdata[i];

		if (!job->gone || job->writing)
			continue;
		g_ptr_array_remove_index(owner->jobs, i);
		job_free(job);
	}
}

static gint by_due(gconstpointer a, gconstpointer b)
{
	const owned_job_t *x = *(owned_job_t *const *)a;
	const owned_job_t *y = *(owned_job_t *const *)b;

	return x->due_us < y->due_us ? -1 : x->due_us > y->due_us;
}

static const path_route_t *route_of(const owned_job_t *job)
{
	const path_table_t *paths = *job->owner->context->paths;

	if (!paths)
		return NULL;
	return path_table_find(paths, job->record->host, job->record->path);
}

/* Items that had to wait for all others, that failed or that began elsewhere
 * are not usual ones. */
static void learn_time(job_owner_t *owner, const job_item_run_t *run,
		       job_result_state_t state)
{
	if (state != JOB_RESULT_COMPLETED || run->was_hopeless ||
	    run->failures > 0 || run->resumed)
		return;
	item_estimate_add(&owner->estimate,
			  (now_us(owner) - run->started_us) / 1000,
			  job_item_run_events(run));
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
	learn_time(job->owner, &job->runs[index], state);
	log_info("item_finished",
		 "job=%s item=%s state=%s failures=%u urgency=%u "
		 "tokens=%" PRId64 " events=%" PRId64 " took_ms=%" PRId64
		 " estimate_ms=%.0f left_ms=%" PRId64,
		 job->id, item->id,
		 state == JOB_RESULT_COMPLETED ? "completed" : "given_up",
		 job->runs[index].failures, job->runs[index].urgency,
		 item->tokens, job_item_run_events(&job->runs[index]),
		 (now_us(job->owner) - job->runs[index].started_us) / 1000,
		 job->owner->estimate.item_ms,
		 (job->due_us - now_us(job->owner)) / 1000);
	result->item = index;
	result->id = g_strdup(item->id);
	result->state = state;
	result->text = text;
	if (job->fresh->len == 0)
		job->fresh_since_us = now_us(job->owner);
	g_ptr_array_add(job->fresh, result);
}

/* What a former owner delivered of items that are still open. */
static uint32_t resume_items(owned_job_t *job, const GPtrArray *progress)
{
	uint32_t resumed = 0;

	for (guint i = 0; progress && i < progress->len; i++) {
		const job_progress_t *entry = progress->pdata[i];
		job_item_run_t *run;

		if (entry->item >= job->items->len)
			continue;
		run = &job->runs[entry->item];
		if (run->state == JOB_ITEM_FINISHED || run->text)
			continue;
		job_item_run_resume(run, entry->last_event, entry->text);
		resumed++;
	}
	return resumed;
}

void job_owner_adopt(job_owner_t *owner, const char *id, job_record_t *record,
		     uint64_t version, GPtrArray *items,
		     const GPtrArray *progress)
{
	owned_job_t *job = g_new0(owned_job_t, 1);
	const path_route_t *route;
	uint32_t resumed;
	int64_t age_ms =
		clock_wall_ms(owner->context->clock) - record->submitted_ms;

	job->owner = owner;
	job->id = g_strdup(id);
	job->record = record;
	job->version = version;
	job->items = items;
	job->runs = g_new0(job_item_run_t, items->len);
	job->fresh = g_ptr_array_new_with_free_func(job_result_free);
	job->written_us = now_us(owner);
	job->saved_us = job->written_us;
	job->confirmed_us = clock_elapsed_us(owner->context->clock);
	route = route_of(job);
	/* Wall clocks may be some seconds apart; that only changes the order
	 * of jobs. */
	age_ms = CLAMP(age_ms, 0, route ? route->due_ms : 0);
	job->due_us =
		now_us(owner) + ((route ? route->due_ms : 0) - age_ms) * 1000;
	for (guint i = 0; i < items->len; i++) {
		job_item_run_init(&job->runs[i], owner->context,
				  items->pdata[i], i, item_finished, job);
		if (job_record_has_item(record, i))
			job->runs[i].state = JOB_ITEM_FINISHED;
	}
	resumed = resume_items(job, progress);
	g_ptr_array_add(owner->jobs, job);
	g_ptr_array_sort(owner->jobs, by_due);
	log_info("job_adopted",
		 "job=%s epoch=%u version=%" PRIu64 " results=%u resumed=%u "
		 "items=%u due_ms=%" PRId64,
		 id, record->epoch, version, job_record_results(record),
		 resumed, record->items, (job->due_us - now_us(owner)) / 1000);
}

static void write_record(owned_job_t *job);

static void begin_call(owned_job_t *job)
{
	job->writing = true;
	job->called_us = clock_elapsed_us(job->owner->context->clock);
}

static void retry_later(owned_job_t *job, const GError *error)
{
	log_warn("job_write_failed", "job=%s version=%" PRIu64 " error=%s",
		 job->id, job->version, error_name(error->code));
	job->write_not_before_us = now_us(job->owner) + RETRY_MS * 1000;
}

static bool names_segment(const job_record_t *record, const char *key)
{
	for (guint i = 0; i < record->segments->len; i++)
		if (strcmp(((job_segment_t *)record->segments->pdata[i])->key,
			   key) == 0)
			return true;
	return false;
}

/* The record in the store names the segment that was being written. */
static void segment_listed(owned_job_t *job)
{
	segment_cache_put(job->owner->cache, job->segment_key, job->segment);
	job->segment = NULL;
	job->segment_stored = false;
	g_clear_pointer(&job->segment_key, g_free);
}

static void adopt_record(owned_job_t *job, job_record_t *record,
			 uint64_t version)
{
	bool still_owner =
		strcmp(record->owner, job->owner->context->node) == 0 &&
		record->epoch == job->record->epoch;

	job_record_free(job->record);
	job->record = record;
	job->version = version;
	job->refresh = false;
	job->written_us = now_us(job->owner);
	job->confirmed_us = job->called_us;
	if (job->segment && names_segment(record, job->segment_key))
		segment_listed(job);
	if (record->ended) {
		drop(job, "ended");
	} else if (!still_owner) {
		(*job->owner->jobs_lost_total)++;
		drop(job, job->release ? "handed_back" : "other_owner");
	} else if (job_record_is_closed(record)) {
		drop(job, "complete");
	}
}

static void on_read(const object_value_t *value, const GError *error,
		    void *user_data)
{
	owned_job_t *job = user_data;
	job_record_t *record;

	job->writing = false;
	if (error) {
		retry_later(job, error);
		return;
	}
	record = job_record_decode(value->data, value->len);
	if (record)
		adopt_record(job, record, value->version);
	else
		log_error("job_unreadable", "job=%s version=%" PRIu64, job->id,
			  value->version);
}

static void read_record(owned_job_t *job)
{
	char *key = g_strconcat(JOB_RECORD_PREFIX, job->id, NULL);

	begin_call(job);
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
	if (error && error->code != WL_ERROR_CONFLICT) {
		retry_later(job, error);
	} else if (record) {
		adopt_record(job, record, value->version);
	} else {
		/* The store did not tell what it holds. */
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
	job_record_add_segment(record, job->segment_key,
			       (uint32_t *)items->data, items->len);
	record->waiting_tokens =
		MAX(record->waiting_tokens - tokens_of(job, job->segment), 0);
	g_array_free(items, TRUE);
}

/* Writes the record with what is new: a segment, a renewal, or no owner. */
static void write_record(owned_job_t *job)
{
	const job_context_t *context = job->owner->context;
	job_record_t *record = job_record_copy(job->record);
	char *key = g_strconcat(JOB_RECORD_PREFIX, job->id, NULL);
	char *text;

	record->beat++;
	if (job->segment && job->segment_stored)
		add_segment(job, record);
	if (job->release) {
		g_free(record->owner);
		record->owner = g_strdup("");
	}
	if (job->progress_version != OBJECT_ABSENT) {
		g_free(record->progress);
		record->progress = g_strdup(job->progress_key);
	}
	text = job_record_encode(record);
	begin_call(job);
	object_put(context->store, key, text, strlen(text), job->version,
		   context->writer, on_record_written, job);
	job_record_free(record);
	g_free(text);
	g_free(key);
}

static bool has_unsaved(const owned_job_t *job)
{
	for (guint i = 0; i < job->items->len; i++) {
		const job_item_run_t *run = &job->runs[i];

		if (run->state != JOB_ITEM_FINISHED && !run->unreadable &&
		    run->last_event > run->saved_event)
			return true;
	}
	return false;
}

static GPtrArray *collect_progress(owned_job_t *job)
{
	GPtrArray *entries = g_ptr_array_new_with_free_func(job_progress_free);

	for (guint i = 0; i < job->items->len; i++) {
		job_item_run_t *run = &job->runs[i];
		job_progress_t *entry;

		if (run->state == JOB_ITEM_FINISHED || run->unreadable ||
		    job_item_run_events(run) == 0)
			continue;
		run->saved_event = run->last_event;
		entry = g_new0(job_progress_t, 1);
		entry->item = i;
		entry->last_event = run->last_event;
		entry->text = g_strdup(run->text->str);
		g_ptr_array_add(entries, entry);
	}
	return entries;
}

/* Whether the object was written is not known, so the next try takes a new
 * one; the record names the last that is known to exist. */
static void progress_failed(owned_job_t *job, const GError *error)
{
	g_clear_pointer(&job->progress_key, g_free);
	job->progress_version = OBJECT_ABSENT;
	/* The job is then handed back without it. */
	if (error->code == WL_ERROR_TOO_LARGE)
		return;
	for (guint i = 0; i < job->items->len; i++)
		job->runs[i].saved_event = EVENT_READER_NONE;
}

static void on_progress_written(const object_value_t *value,
				const GError *error, void *user_data)
{
	owned_job_t *job = user_data;

	job->writing = false;
	if (error) {
		progress_failed(job, error);
		retry_later(job, error);
		return;
	}
	job->progress_version = value->version;
	if (job->release && !job->gone)
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
	job->saved_us = now_us(job->owner);
	begin_call(job);
	object_put(context->store, job->progress_key, text, strlen(text),
		   job->progress_version, context->writer, on_progress_written,
		   job);
	g_ptr_array_unref(entries);
	g_free(text);
}

static void on_segment_written(const object_value_t *value, const GError *error,
			       void *user_data)
{
	owned_job_t *job = user_data;

	job->writing = false;
	/* Keys are unique to this owner, so a conflict is its own write whose
	 * answer was lost. */
	if (error && error->code != WL_ERROR_CONFLICT) {
		retry_later(job, error);
		return;
	}
	job->segment_stored = true;
	if (job->gone)
		return;
	if (job->release && has_unsaved(job))
		write_progress(job);
	else
		write_record(job);
}

static void write_segment(owned_job_t *job)
{
	const job_context_t *context = job->owner->context;
	char *text = job_results_encode(job->segment);

	begin_call(job);
	object_put(context->store, job->segment_key, text, strlen(text),
		   OBJECT_ABSENT, context->writer, on_segment_written, job);
	g_free(text);
}

static void begin_segment(owned_job_t *job)
{
	job->segment = job->fresh;
	job->fresh = g_ptr_array_new_with_free_func(job_result_free);
	job->segment_key = g_strdup_printf(
		JOB_SEGMENT_PREFIX "%s.%u.%u.%s", job->id, job->record->epoch,
		job->segments++, job->owner->context->node);
}

static bool has_unfinished(const owned_job_t *job)
{
	for (guint i = 0; i < job->items->len; i++)
		if (job->runs[i].state != JOB_ITEM_FINISHED)
			return true;
	return false;
}

static bool is_segment_due(const owned_job_t *job, int64_t now)
{
	if (job->fresh->len == 0)
		return false;
	return job->release || !has_unfinished(job) ||
	       now - job->fresh_since_us >= GATHER_MS * 1000;
}

static void write_due(owned_job_t *job, int64_t now)
{
	if (job->writing || job->gone || now < job->write_not_before_us)
		return;
	if (job->refresh) {
		read_record(job);
		return;
	}
	if (!job->segment && is_segment_due(job, now))
		begin_segment(job);
	if (job->segment && !job->segment_stored)
		write_segment(job);
	else if (job->release && has_unsaved(job))
		write_progress(job);
	else if (job->segment_stored || job->release ||
		 now - job->written_us >= RENEW_MS * 1000)
		write_record(job);
	else if (now - job->saved_us >= SAVE_MS * 1000 && has_unsaved(job))
		write_progress(job);
}

/* Starts what may start of one urgency. */
static void start_items(owned_job_t *job, uint32_t urgency, const char *domain,
			uint32_t *starts)
{
	const path_route_t *route = route_of(job);

	if (job->gone || job->release)
		return;
	for (guint i = 0; *starts > 0 && i < job->items->len; i++) {
		if (job->runs[i].urgency != urgency ||
		    !job_item_run_wants_place(&job->runs[i]))
			continue;
		if (!job_item_run_start(&job->runs[i], route, domain))
			return;
		(*starts)--;
	}
}

/* Ranks the items that look for a place and counts them. */
static void count_waiting(const job_owner_t *owner, const char **service,
			  batch_waiting_t *waiting)
{
	for (guint i = 0; i < owner->jobs->len; i++) {
		const owned_job_t *job = owner->jobs->pdata[i];
		const path_route_t *route = route_of(job);

		if (job->gone || job->release || !route)
			continue;
		*service = path_route_service(
			route, g_rand_double(owner->context->random));
		for (guint j = 0; j < job->items->len; j++) {
			job_item_run_t *run = &job->runs[j];

			if (!job_item_run_wants_place(run))
				continue;
			job_item_run_rank(run, job->due_us, &owner->estimate);
			waiting->items[run->urgency]++;
		}
	}
}

static uint32_t count_unplaced(const job_owner_t *owner)
{
	uint32_t unplaced = 0;

	for (guint i = 0; i < owner->jobs->len; i++) {
		const owned_job_t *job = owner->jobs->pdata[i];

		if (job->gone || job->release)
			continue;
		for (guint j = 0; j < job->items->len; j++)
			unplaced += job_item_run_wants_place(&job->runs[j]);
	}
	return unplaced;
}

/* Starts items that find no place here in a domain that has places left. */
static void start_far(job_owner_t *owner, const char *service)
{
	job_context_t *context = owner->context;
	GArray *domains = g_array_new(FALSE, FALSE, sizeof(batch_domain_t));
	const double draws[2] = { g_rand_double(context->random),
				  g_rand_double(context->random) };
	guint chosen = 0;
	uint32_t starts = 0;

	context->batch_domains(context->user_data, service, domains);
	if (domains->len > 0)
		starts = batch_far_share((const batch_domain_t *)domains->data,
					 domains->len, count_unplaced(owner),
					 draws, &chosen);
	for (uint32_t i = 0; i < BATCH_URGENCIES && starts > 0; i++)
		for (guint j = 0; j < owner->jobs->len; j++)
			start_items(
				owner->jobs->pdata[j], i,
				g_array_index(domains, batch_domain_t, chosen)
					.name,
				&starts);
	g_array_free(domains, TRUE);
}

/* Starts this node's share of what the nodes may start together. */
static void start_share(job_owner_t *owner)
{
	job_context_t *context = owner->context;
	const char *service = NULL;
	batch_waiting_t waiting = { 0 };
	batch_waiting_t peers;
	batch_waiting_t starts;
	int32_t places;

	if (!owner->stopping)
		count_waiting(owner, &service, &waiting);
	context->batch_waiting(context->user_data, &waiting, &peers);
	if (!service)
		return;
	batch_share(fleet_free_places(context->runs->fleet, service, &places),
		    &waiting, &peers, g_rand_double(context->random), &starts);
	for (uint32_t i = 0; i < BATCH_URGENCIES; i++)
		for (guint j = 0; j < owner->jobs->len; j++)
			start_items(owner->jobs->pdata[j], i, NULL,
				    &starts.items[i]);
	start_far(owner, service);
}

/* Returns how many items of the excess are left. */
static uint32_t yield_items(job_owner_t *owner, const fleet_runner_t *runner,
			    uint32_t excess, bool hopeless)
{
	for (guint i = owner->jobs->len; i-- > 0 && excess > 0;) {
		owned_job_t *job = owner->jobs->pdata[i];

		for (guint j = 0; j < job->items->len && excess > 0; j++) {
			if (job_item_run_runner(&job->runs[j]) != runner ||
			    (job->runs[j].urgency == BATCH_HOPELESS) !=
				    hopeless)
				continue;
			log_info("item_yielded",
				 "job=%s item=%u runner=%s online=%u batch=%u "
				 "slots=%u last_event=%" PRId64,
				 job->id, j, runner->id,
				 runner->own.online + runner->peers.online,
				 runner->own.batch + runner->peers.batch,
				 runner->slots, job->runs[j].last_event);
			job_item_run_yield(&job->runs[j]);
			(*owner->items_yielded_total)++;
			excess--;
		}
	}
	return excess;
}

/* Items that are late anyway give way first, then the jobs that are due last. */
static void yield_at(fleet_runner_t *runner, void *user_data)
{
	job_owner_t *owner = user_data;
	uint32_t excess = fleet_batch_excess(
		runner, g_rand_double(owner->context->random));

	excess = yield_items(owner, runner, excess, true);
	yield_items(owner, runner, excess, false);
}

void job_owner_yield(job_owner_t *owner)
{
	if (owner->jobs->len > 0)
		fleet_each(owner->context->runs->fleet, yield_at, owner);
}

void job_owner_tick(job_owner_t *owner)
{
	int64_t now = now_us(owner);

	job_owner_yield(owner);
	start_share(owner);
	for (guint i = 0; i < owner->jobs->len; i++) {
		owned_job_t *job = owner->jobs->pdata[i];

		if (job->gone)
			continue;
		/* A job may be accepted here while the node stops. */
		job->release |= owner->stopping;
		write_due(job, now);
	}
	reap(owner);
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
	int64_t age_us;

	if (!job)
		return NULL;
	age_us = clock_elapsed_us(owner->context->clock) - job->confirmed_us;
	return age_us <= FRESH_MS * 1000 ? job->record : NULL;
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
			job_item_run_cancel(&job->runs[j]);
		job->release = true;
	}
}

uint32_t job_owner_count(const job_owner_t *owner)
{
	return owner->jobs->len;
}
