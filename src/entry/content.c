#include "entry/content.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "batch/job.h"
#include "batch/result.h"
#include "batch/expired_items.h"
#include "entry/api_error.h"
#include "entry/files.h"

#define STREAM_BUFFER_BYTES (256 * 1024)
#define STORE_LIST_LIMIT 200
#define STORE_RETRY_MS 200
#define MAX_STORE_RETRIES 50
/* Longer than the takeover of a shard (6 s). */
#define RECORD_TIMEOUT_MS 10000

static const char content_type[] = "application/jsonl";

typedef struct content {
	entry_t *entry;
	http_exchange_t *exchange; /* NULL after the caller disconnected */
	struct event *timer; /* retry, or check for a slow caller */
	char *id;
	char *job; /* NULL for an uploaded file */
	batch_id_kind_t kind;
	GPtrArray *keys; /* objects still to send */
	guint next;
	char *after; /* last listed key */
	size_t last_pending;
	int retries;
	bool job_checked; /* the job exists and has its results */
	job_t *expired_job; /* set when its unfinished items are to be sent */
	expired_items_t
		*unfinished; /* items without a result; for error files only */
	GArray *part_firsts; /* uint32_t: first item of the part at each key */
	bool listed_all;
	bool stream_started;
	bool draining;
	bool in_flight; /* a call to the store or the ledger is pending */
} content_t;

static void content_next(content_t *content);

static void content_free(content_t *content)
{
	if (content->exchange)
		http_on_closed(content->exchange, NULL, NULL);
	event_free(content->timer);
	expired_items_free(content->unfinished);
	job_free(content->expired_job);
	if (content->part_firsts)
		g_array_free(content->part_firsts, TRUE);
	g_ptr_array_free(content->keys, TRUE);
	g_free(content->after);
	g_free(content->job);
	g_free(content->id);
	g_free(content);
}

static void on_caller_closed(http_exchange_t *exchange, void *user_data)
{
	content_t *content = user_data;

	content->exchange = NULL;
	if (!content->in_flight)
		content_free(content);
}

static void arm_timer(content_t *content, int64_t ms)
{
	struct timeval wait = { ms / 1000, ms % 1000 * 1000 };

	evtimer_add(content->timer, &wait);
}

static void fail(content_t *content, const GError *error)
{
	if (content->stream_started)
		http_stream_abort(content->exchange);
	else if (error->code == WL_ERROR_NOT_FOUND)
		api_error_reply(content->exchange, API_NOT_FOUND, WORK_NOT_RUN,
				0, "no such file");
	else
		api_error_reply(content->exchange, API_LEDGER_UNAVAILABLE,
				WORK_NOT_RUN, 0,
				"the object store does not answer");
	content_free(content);
}

/* TRUE when the response has ended or a retry is scheduled. */
static gboolean handle_error(content_t *content, const GError *error)
{
	content->in_flight = false;
	if (!content->exchange) {
		content_free(content);
		return TRUE;
	}
	if (!error) {
		content->retries = 0;
		return FALSE;
	}
	if (error->code == WL_ERROR_NOT_FOUND || !content->stream_started ||
	    ++content->retries > MAX_STORE_RETRIES)
		fail(content, error);
	else
		arm_timer(content, STORE_RETRY_MS);
	return TRUE;
}

static void start_stream(content_t *content)
{
	if (content->stream_started)
		return;
	content->stream_started = true;
	http_stream_start(content->exchange, 200, content_type);
}

static void on_drained(http_exchange_t *exchange, void *user_data)
{
	content_t *content = user_data;

	content->draining = false;
	event_del(content->timer);
	content_next(content);
}

/* Retries, or aborts the response of a caller that has stopped reading. */
static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	content_t *content = arg;
	size_t pending;

	if (!content->draining) {
		content_next(content);
		return;
	}
	pending = http_stream_pending(content->exchange);
	if (pending >= content->last_pending) {
		http_stream_abort(content->exchange);
		content_free(content);
		return;
	}
	content->last_pending = pending;
	arm_timer(content, content->entry->options.slow_caller_ms);
}

static gboolean select_lines(const content_t *content,
			     const object_value_t *value, const char **data,
			     size_t *len)
{
	result_t result;

	*data = value->data;
	*len = value->len;
	if (content->kind == BATCH_ID_FILE)
		return TRUE;
	if (!result_parse(value->data, value->len, &result, NULL))
		return FALSE;
	if (content->unfinished)
		expired_items_exclude(content->unfinished, result.first,
				      result.count);
	*data = content->kind == BATCH_ID_OUTPUT ? result.output :
						   result.errors;
	*len = content->kind == BATCH_ID_OUTPUT ? result.output_len :
						  result.errors_len;
	return TRUE;
}

static void write_unfinished(content_t *content, const object_value_t *value)
{
	GString *lines = expired_items_error_lines(
		content->unfinished, content->job, value->data, value->len,
		g_array_index(content->part_firsts, uint32_t, content->next));

	http_stream_write(content->exchange, lines->str, lines->len);
	g_string_free(lines, TRUE);
}

static void on_object(const object_value_t *value, const GError *error,
		      void *user_data)
{
	content_t *content = user_data;
	const char *data;
	size_t len;

	if (handle_error(content, error))
		return;
	start_stream(content);
	if (content->part_firsts) {
		write_unfinished(content, value);
	} else if (select_lines(content, value, &data, &len)) {
		http_stream_write(content->exchange, data, len);
	} else {
		http_stream_abort(content->exchange);
		content_free(content);
		return;
	}
	content->next++;
	if (http_stream_pending(content->exchange) <= STREAM_BUFFER_BYTES) {
		content_next(content);
		return;
	}
	content->draining = true;
	content->last_pending = http_stream_pending(content->exchange);
	http_stream_on_drained(content->exchange, on_drained, content);
	arm_timer(content, content->entry->options.slow_caller_ms);
}

/* Queues the input parts that contain items without a result. */
static void add_unfinished_parts(content_t *content, const job_t *job)
{
	uint32_t first = 0;

	g_ptr_array_set_size(content->keys, 0);
	content->next = 0;
	content->part_firsts = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (guint i = 0; i < job->part_items->len; i++) {
		uint32_t count = g_array_index(job->part_items, uint32_t, i);

		if (expired_items_any(content->unfinished, first, count)) {
			g_ptr_array_add(content->keys,
					files_part_key(job->input_file_id, i));
			g_array_append_val(content->part_firsts, first);
		}
		first += count;
	}
}

static void on_job(const record_t *record, const GError *error, void *user_data)
{
	content_t *content = user_data;
	GError *not_found = NULL;
	job_t *job;

	if (handle_error(content, error))
		return;
	job = job_decode(record->data, record->len, NULL);
	if (!job || job->results_removed) {
		not_found = g_error_new_literal(
			WL_ERROR, WL_ERROR_NOT_FOUND,
			"the results are not kept any more");
		fail(content, not_found);
		g_error_free(not_found);
		job_free(job);
		return;
	}
	content->job_checked = true;
	if (job->state == JOB_EXPIRED && content->unfinished)
		content->expired_job = g_steal_pointer(&job);
	job_free(job);
	content_next(content);
}

static void on_listed(const object_listing_t *listing, const GError *error,
		      void *user_data)
{
	content_t *content = user_data;

	if (handle_error(content, error))
		return;
	g_ptr_array_set_size(content->keys, 0);
	content->next = 0;
	for (guint i = 0; i < listing->entries->len; i++)
		g_ptr_array_add(content->keys,
				g_strdup(g_array_index(listing->entries,
						       object_entry_t, i)
						 .key));
	content->listed_all = listing->entries->len < STORE_LIST_LIMIT;
	if (content->keys->len > 0) {
		g_free(content->after);
		content->after =
			g_strdup(content->keys->pdata[content->keys->len - 1]);
	}
	content_next(content);
}

static void list_results(content_t *content)
{
	char *prefix = g_strconcat("result/", content->job, "/", NULL);

	content->in_flight = true;
	object_list(content->entry->store, prefix, content->after,
		    STORE_LIST_LIMIT, on_listed, content);
	g_free(prefix);
}

/* The record shows whether the job exists, whether its results are being
 * removed, which a listing of the objects would not show, and whether the job
 * has expired. */
static void read_job_record(content_t *content)
{
	record_key_t key;

	content->in_flight = true;
	if (batch_id_key(content->job, &key))
		records_get_within(content->entry->records, &key,
				   RECORD_TIMEOUT_MS, on_job, content);
}

static void content_next(content_t *content)
{
	if (content->job && !content->job_checked) {
		read_job_record(content);
	} else if (content->next < content->keys->len) {
		content->in_flight = true;
		object_get(content->entry->store,
			   content->keys->pdata[content->next], on_object,
			   content);
	} else if (!content->listed_all) {
		list_results(content);
	} else if (content->expired_job && !content->part_firsts) {
		add_unfinished_parts(content, content->expired_job);
		content_next(content);
	} else {
		start_stream(content);
		http_stream_end(content->exchange);
		content_free(content);
	}
}

static void on_file_meta(const file_meta_t *meta, const GError *error,
			 void *user_data)
{
	content_t *content = user_data;

	if (handle_error(content, error))
		return;
	for (guint i = 0; i < meta->part_items->len; i++)
		g_ptr_array_add(content->keys, files_part_key(content->id, i));
	content->listed_all = true;
	content_next(content);
}

void content_send(entry_t *entry, http_exchange_t *exchange, const char *id,
		  batch_id_kind_t kind, const char *job)
{
	content_t *content = g_new0(content_t, 1);

	content->entry = entry;
	content->exchange = exchange;
	content->timer = evtimer_new(entry->base, on_timer, content);
	content->id = g_strdup(id);
	content->job = g_strdup(job);
	content->kind = kind;
	if (kind == BATCH_ID_ERRORS)
		content->unfinished = expired_items_new();
	content->keys = g_ptr_array_new_with_free_func(g_free);
	http_on_closed(exchange, on_caller_closed, content);
	if (job) {
		content_next(content);
		return;
	}
	content->in_flight = true;
	files_read_meta(entry, id, on_file_meta, content);
}

typedef struct description {
	http_exchange_t *exchange;
	char *id;
	batch_id_kind_t kind;
} description_t;

static void on_description_closed(http_exchange_t *exchange, void *user_data)
{
	((description_t *)user_data)->exchange = NULL;
}

static void reply_description(const description_t *description,
			      const job_t *job)
{
	bool output = description->kind == BATCH_ID_OUTPUT;
	json_t *root = json_pack(
		"{s:s, s:s, s:I, s:I, s:s, s:s, s:s}", "id", description->id,
		"object", "file", "bytes", (json_int_t)0, "created_at",
		(json_int_t)(job->at_ms[JOB_VALIDATING] / 1000), "filename",
		output ? "output.jsonl" : "errors.jsonl", "purpose",
		"batch_output", "status", "processed");
	char *text = json_dumps(root, JSON_COMPACT);

	http_reply(description->exchange, 200, "application/json", text,
		   strlen(text));
	free(text);
	json_decref(root);
}

static void on_described(const record_t *record, const GError *error,
			 void *user_data)
{
	description_t *description = user_data;
	job_t *job = error ? NULL : job_decode(record->data, record->len, NULL);

	if (description->exchange) {
		http_on_closed(description->exchange, NULL, NULL);
		if (job && !job->results_removed)
			reply_description(description, job);
		else if (error && error->code != WL_ERROR_NOT_FOUND)
			api_error_reply(description->exchange,
					API_LEDGER_UNAVAILABLE, WORK_NOT_RUN, 0,
					"the job's record cannot be read");
		else
			api_error_reply(description->exchange, API_NOT_FOUND,
					WORK_NOT_RUN, 0, "no such file");
	}
	job_free(job);
	g_free(description->id);
	g_free(description);
}

void content_describe(entry_t *entry, http_exchange_t *exchange, const char *id,
		      batch_id_kind_t kind, const char *job)
{
	description_t *description = g_new0(description_t, 1);
	record_key_t key;

	description->exchange = exchange;
	description->id = g_strdup(id);
	description->kind = kind;
	http_on_closed(exchange, on_description_closed, description);
	if (batch_id_key(job, &key))
		records_get(entry->records, &key, on_described, description);
}
