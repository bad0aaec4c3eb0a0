#include "gateway/job_submit.h"

#include <inttypes.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "gateway/job_load.h"
#include "gateway/job_quota.h"

/* Payload parts stay below the store's limit of 1 MB, including the JSON text
 * around them. */
#define PART_MAX_BYTES (600 * 1024)
#define STEP_RETRY_MS 100

typedef struct submit {
	job_context_t *context;
	job_owner_t *owner;
	job_table_t *table;
	char *id;
	job_record_t *record;
	GPtrArray *items;
	GArray *part_starts; /* uint32_t, index of each part's first item */
	uint32_t next_part;
	int64_t quota;
	uint64_t item_bytes; /* counted in the context */
	struct event *timer; /* of a retry */
	int64_t deadline_us;
	bool may_exist; /* a write of the record may have taken effect */
	bool exists; /* a conflict has shown a record */
	/* Start of the first write of the record that may have taken effect,
	 * elapsed time. */
	int64_t write_started_us;
	job_submitted_done_t done;
	void *user_data;
} submit_t;

static void finish(submit_t *submit, job_submitted_t outcome)
{
	static const char *const names[] = { "accepted", "over_quota",
					     "refused", "unknown",
					     "too_large" };

	log_info("job_submitted",
		 "job=%s outcome=%s items=%u tokens=%" PRId64 " quota=%" PRId64,
		 submit->id, names[outcome], submit->record->items,
		 submit->record->waiting_tokens, submit->quota);
	submit->context->item_bytes -= submit->item_bytes;
	submit->done(outcome, submit->user_data);
	event_free(submit->timer);
	job_record_free(submit->record);
	if (submit->items)
		g_ptr_array_unref(submit->items);
	g_array_free(submit->part_starts, TRUE);
	g_free(submit->id);
	g_free(submit);
}

static void fail(submit_t *submit)
{
	finish(submit,
	       submit->may_exist || submit->exists ? JOB_UNKNOWN : JOB_REFUSED);
}

/* Retries the current step after a delay, or fails when the deadline comes
 * first. */
static void retry_step(submit_t *submit)
{
	const struct timeval pause = { 0, STEP_RETRY_MS * 1000 };

	if (clock_now_us(submit->context->clock) + STEP_RETRY_MS * 1000 >=
	    submit->deadline_us)
		fail(submit);
	else
		evtimer_add(submit->timer, &pause);
}

static bool is_own_write(const submit_t *submit, const object_value_t *value)
{
	return value && value->writer &&
	       strcmp(value->writer, submit->context->writer) == 0;
}

static bool is_for_this_node(const submit_t *submit, const job_record_t *record)
{
	return strcmp(record->owner, submit->context->node) == 0;
}

static void accept_job(submit_t *submit, uint64_t version)
{
	job_start_t start = { .id = submit->id,
			      .version = version,
			      .confirmed_us = submit->write_started_us };

	if (!is_for_this_node(submit, submit->record)) {
		log_info("job_assigned", "job=%s owner=%s version=%" PRIu64,
			 submit->id, submit->record->owner, version);
		finish(submit, JOB_ACCEPTED);
		return;
	}
	start.record = job_record_copy(submit->record);
	start.items = g_steal_pointer(&submit->items);
	job_owner_start_job(submit->owner, &start);
	finish(submit, JOB_ACCEPTED);
}

/* Whether the record is the one that this process created for this submission
 * and that nothing has changed since. The process also writes a record when it
 * owns, takes over or ends a job, so its writer alone does not tell. */
static bool is_own_creation(const submit_t *submit, const object_value_t *value,
			    const job_record_t *record)
{
	return submit->may_exist && is_own_write(submit, value) &&
	       is_for_this_node(submit, record) &&
	       strcmp(record->instance, submit->context->writer) == 0 &&
	       job_record_is_unchanged(record);
}

/* The record exists. Starts the job here only if this process created it with
 * an earlier attempt whose answer was lost. */
static void on_existing(const object_value_t *value, const GError *error,
			void *user_data)
{
	submit_t *submit = user_data;
	job_record_t *record =
		value ? job_record_decode(value->data, value->len) : NULL;
	bool own;

	if (!record) {
		retry_step(submit);
		return;
	}
	own = is_own_creation(submit, value, record);
	log_info("job_exists",
		 "job=%s version=%" PRIu64 " owner=%s epoch=%u beat=%u "
		 "results=%u ended=%d own_write=%d may_exist=%d starts=%d",
		 submit->id, value->version, record->owner, record->epoch,
		 record->beat, job_record_results(record), record->ended,
		 is_own_write(submit, value), submit->may_exist, own);
	if (own) {
		job_record_free(submit->record);
		submit->record = record;
		accept_job(submit, value->version);
		return;
	}
	finish(submit, JOB_ACCEPTED);
	job_record_free(record);
}

static void on_created(const object_value_t *value, const GError *error,
		       void *user_data)
{
	submit_t *submit = user_data;
	char *key;

	if (!error) {
		accept_job(submit, value->version);
		return;
	}
	switch (error->code) {
	case WL_ERROR_CONFLICT:
		submit->exists = true;
		key = g_strconcat(JOB_RECORD_PREFIX, submit->id, NULL);
		object_get(submit->context->store, key, on_existing, submit);
		g_free(key);
		return;
	case WL_ERROR_TIMEOUT:
	case WL_ERROR_TRUNCATED:
	case WL_ERROR_PROTOCOL:
		submit->may_exist = true;
		break;
	default:
		break;
	}
	retry_step(submit);
}

static void create_record(submit_t *submit)
{
	char *key = g_strconcat(JOB_RECORD_PREFIX, submit->id, NULL);
	char *text = job_record_encode(submit->record);

	if (!submit->may_exist)
		submit->write_started_us =
			clock_elapsed_us(submit->context->clock);
	object_put(submit->context->store, key, text, strlen(text),
		   OBJECT_ABSENT, submit->context->writer, on_created, submit);
	g_free(text);
	g_free(key);
}

static void write_part(submit_t *submit);

static void on_part(const object_value_t *value, const GError *error,
		    void *user_data)
{
	submit_t *submit = user_data;

	/* A part that exists is from an earlier submission of the same job and
	 * has the same items. */
	if (error && error->code != WL_ERROR_CONFLICT) {
		if (error->code == WL_ERROR_TOO_LARGE)
			finish(submit, JOB_TOO_LARGE);
		else
			retry_step(submit);
		return;
	}
	submit->next_part++;
	write_part(submit);
}

static void write_part(submit_t *submit)
{
	uint32_t first;
	uint32_t end = submit->items->len;
	char *key;
	char *text;

	if (submit->next_part == submit->part_starts->len) {
		create_record(submit);
		return;
	}
	first = g_array_index(submit->part_starts, uint32_t, submit->next_part);
	if (submit->next_part + 1 < submit->part_starts->len)
		end = g_array_index(submit->part_starts, uint32_t,
				    submit->next_part + 1);
	key = job_load_key(submit->id, submit->next_part);
	text = job_items_encode(submit->items, first, end - first);
	object_put(submit->context->store, key, text, strlen(text),
		   OBJECT_ABSENT, submit->context->writer, on_part, submit);
	g_free(text);
	g_free(key);
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	write_part(arg);
}

static void split_parts(submit_t *submit)
{
	uint64_t bytes = 0;

	submit->part_starts = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (uint32_t i = 0; i < submit->items->len; i++) {
		const job_item_t *item = submit->items->pdata[i];
		uint64_t size = job_item_text_bytes(item);

		if (i == 0 || bytes + size > PART_MAX_BYTES) {
			g_array_append_val(submit->part_starts, i);
			bytes = 0;
		}
		bytes += size;
	}
}

static void on_quota(bool fits, void *user_data)
{
	submit_t *submit = user_data;

	if (fits)
		write_part(submit);
	else
		finish(submit, JOB_OVER_QUOTA);
}

/* Sets the node that is to run the job. Another node starts it when it sees
 * that the record names it. */
static void set_owner(submit_t *submit, const path_route_t *route)
{
	const job_context_t *context = submit->context;
	const char *service =
		path_route_service(route, g_rand_double(context->random));
	const char *node =
		service ? context->job_node(context->user_data, service) : NULL;

	submit->record->owner = g_strdup(node ? node : context->node);
	submit->record->instance = g_strdup(node ? "" : context->writer);
}

/* Whether this process may keep the items as well. A job that it could not keep
 * alone is accepted by a process that keeps none. */
static bool take_room(submit_t *submit)
{
	job_context_t *context = submit->context;
	uint64_t bytes = job_items_bytes(submit->items);

	if (context->max_item_bytes && context->item_bytes > 0 &&
	    context->item_bytes + bytes > context->max_item_bytes) {
		(*counter_get(context->counters, COUNTER_MONOTONIC,
			      "batch_items_full_total", NULL))++;
		log_info("job_items_full",
			 "job=%s bytes=%" PRIu64 " kept_bytes=%" PRIu64
			 " max_bytes=%" PRIu64,
			 submit->id, bytes, context->item_bytes,
			 context->max_item_bytes);
		return false;
	}
	submit->item_bytes = bytes;
	context->item_bytes += bytes;
	return true;
}

void job_submit(job_context_t *context, job_owner_t *owner, job_table_t *table,
		const job_submission_t *submission)
{
	submit_t *submit = g_new0(submit_t, 1);
	job_record_t *record = job_record_new();

	submit->context = context;
	submit->owner = owner;
	submit->table = table;
	submit->id = g_strdup(submission->id);
	submit->record = record;
	submit->items = submission->items;
	submit->quota = submission->route->max_waiting_tokens;
	submit->timer = evtimer_new(context->base, on_timer, submit);
	submit->deadline_us =
		clock_now_us(context->clock) + submission->timeout_ms * 1000LL;
	submit->done = submission->done;
	submit->user_data = submission->user_data;
	split_parts(submit);
	record->host = g_strdup(submission->host);
	record->path = g_strdup(submission->path);
	set_owner(submit, submission->route);
	record->epoch = JOB_RECORD_FIRST_EPOCH;
	record->items = submit->items->len;
	record->payload_parts = submit->part_starts->len;
	record->submitted_ms = clock_wall_ms(context->clock);
	for (guint i = 0; i < submit->items->len; i++)
		record->waiting_tokens +=
			((job_item_t *)submit->items->pdata[i])->tokens;
	if (job_owner_record(owner, submit->id)) {
		finish(submit, JOB_ACCEPTED);
		return;
	}
	if (!take_room(submit)) {
		finish(submit, JOB_REFUSED);
		return;
	}
	job_quota_check(context, table, submission->route, submit->id,
			record->waiting_tokens, on_quota, submit);
}
