#include "entry/batches.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "batch/job.h"
#include "entry/api_error.h"
#include "entry/batch_id.h"
#include "entry/collection.h"
#include "entry/files.h"
#include "entry/request_json.h"

/* Longer than the takeover of a shard (6 s). */
#define RECORD_TIMEOUT_MS 10000
#define MAX_UPDATE_ATTEMPTS 5
#define DEFAULT_LIST_LIMIT 20
#define MAX_LIST_LIMIT 100

static const char endpoint_path[] = "/v1/chat/completions";

typedef struct batch_call {
	entry_t *entry;
	http_exchange_t *exchange; /* NULL after the caller disconnected */
	document_t *document; /* holds the memory of caller */
	const document_caller_t *caller;
	char *owner_tag;
	job_t *job; /* to be created */
	char *idempotency_key;
	char *after;
	int64_t window_ms;
	guint limit;
	record_key_t key;
	int attempts;
} batch_call_t;

static void on_caller_closed(http_exchange_t *exchange, void *user_data)
{
	((batch_call_t *)user_data)->exchange = NULL;
}

static batch_call_t *call_new(entry_t *entry, http_exchange_t *exchange,
			      const document_caller_t *caller)
{
	batch_call_t *call = g_new0(batch_call_t, 1);

	call->entry = entry;
	call->exchange = exchange;
	call->document = document_ref(entry->document);
	call->caller = caller;
	call->owner_tag = batch_id_owner_tag(caller);
	http_on_closed(exchange, on_caller_closed, call);
	return call;
}

static void call_free(batch_call_t *call)
{
	if (call->exchange)
		http_on_closed(call->exchange, NULL, NULL);
	document_unref(call->document);
	job_free(call->job);
	g_free(call->owner_tag);
	g_free(call->idempotency_key);
	g_free(call->after);
	g_free(call);
}

static json_t *job_object(const job_t *job)
{
	char *output = batch_id_results(job->id, BATCH_ID_OUTPUT);
	char *errors = batch_id_results(job->id, BATCH_ID_ERRORS);
	bool has_output = job->state != JOB_VALIDATING && !job->results_removed;
	/* Unfinished items of an expired job are in the error file too. */
	bool has_errors = (job->failed > 0 || job->state == JOB_EXPIRED) &&
			  !job->results_removed;
	json_t *root = job_to_json(job, has_output ? output : NULL,
				   has_errors ? errors : NULL);

	g_free(output);
	g_free(errors);
	return root;
}

static void reply_json(http_exchange_t *exchange, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	http_reply(exchange, 200, "application/json", text, strlen(text));
	free(text);
	json_decref(root);
}

/* Replies with an error and frees the call. */
static void refuse(batch_call_t *call, api_error_id_t id, work_state_t work,
		   const char *message)
{
	if (call->exchange)
		api_error_reply(call->exchange, id, work, 0, message);
	call_free(call);
}

static void refuse_record_error(batch_call_t *call, const GError *error)
{
	if (error->code == WL_ERROR_NOT_FOUND)
		refuse(call, API_NOT_FOUND, WORK_NOT_RUN, "no such batch");
	else if (error->code == WL_ERROR_TOO_LARGE)
		refuse(call, API_TOO_LARGE, WORK_NOT_RUN,
		       "the job is too large");
	else
		refuse(call, API_LEDGER_UNAVAILABLE,
		       error->code == WL_ERROR_TIMEOUT ? WORK_MAY_HAVE_RUN :
							 WORK_NOT_RUN,
		       "the job's record cannot be reached");
}

/* Replies with the job that the record holds and frees the call. */
static void reply_record(batch_call_t *call, const record_t *record)
{
	job_t *job = job_decode(record->data, record->len, NULL);

	if (!job) {
		refuse(call, API_INTERNAL, WORK_NOT_RUN,
		       "the job's record is damaged");
		return;
	}
	if (call->exchange)
		reply_json(call->exchange, job_object(job));
	job_free(job);
	call_free(call);
}

/* Creation */

/* A new job must not use a file past its retention, as the file may be removed
 * at any time (batch/file_sweep.h). A job that exists already is still
 * returned. */
static bool is_input_file_expired(const batch_call_t *call)
{
	int64_t created_ms = batch_id_file_created_ms(call->job->input_file_id);

	return clock_wall_ms(call->entry->clock) - created_ms >=
	       call->entry->options.file_retention_ms;
}

static void create_record(batch_call_t *call);

static void reply_existing(batch_call_t *call, const record_t *record)
{
	job_t *job = job_decode(record->data, record->len, NULL);
	bool same = job && strcmp(job->digest, call->job->digest) == 0;

	job_free(job);
	if (same)
		reply_record(call, record);
	else
		refuse(call, API_IDEMPOTENCY_CONFLICT, WORK_NOT_RUN,
		       "the key was used for another job");
}

static void on_existing_read(const record_t *record, const GError *error,
			     void *user_data)
{
	batch_call_t *call = user_data;

	if (!error)
		reply_existing(call, record);
	else if (error->code == WL_ERROR_NOT_FOUND)
		refuse(call, API_NOT_FOUND, WORK_NOT_RUN,
		       "the input file is past its retention");
	else
		refuse_record_error(call, error);
}

static void on_created(const record_t *record, const GError *error,
		       void *user_data)
{
	batch_call_t *call = user_data;

	if (!error) {
		log_info("job_accepted", "job=%s items=%u owner=%s",
			 call->job->id, call->job->total,
			 log_quote(call->owner_tag));
		reply_record(call, record);
	} else if (error->code == WL_ERROR_CONFLICT && record) {
		reply_existing(call, record);
	} else if (error->code == WL_ERROR_TIMEOUT && ++call->attempts < 2) {
		/* If the first attempt has created the record, this one conflicts
		 * and returns it. */
		create_record(call);
	} else {
		refuse_record_error(call, error);
	}
}

static void create_record(batch_call_t *call)
{
	size_t len;
	char *data = job_encode(call->job, &len);
	record_t record = {
		.key = call->key,
		.kind = RECORD_JOB,
		.version = RECORD_ABSENT,
		.expire_ms = job_record_expire_ms(
			call->job, call->entry->options.result_retention_ms),
		.owner_tag = call->owner_tag,
		.data = data,
		.len = len,
	};

	records_update_within(call->entry->records, &record, RECORD_TIMEOUT_MS,
			      on_created, call);
	free(data);
}

static char *job_digest(const job_t *job, const char *content)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	const char *parts[] = { content, job->endpoint, job->window,
				job->metadata };
	char *digest;

	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++)
		g_checksum_update(sum, (const guchar *)parts[i],
				  (gssize)strlen(parts[i]) + 1);
	digest = g_strdup(g_checksum_get_string(sum));
	g_checksum_free(sum);
	return digest;
}

static void fill_job(batch_call_t *call, const file_meta_t *meta)
{
	const char *partner = call->caller->partner->name;
	const char *workspace = call->caller->workspace->name;
	char *scope = batch_id_scope(partner, workspace);
	job_t *job = call->job;

	job->partner = g_strdup(partner);
	job->workspace = g_strdup(workspace);
	job->deployment = g_strdup(meta->model);
	job->digest = job_digest(job, meta->digest);
	job->at_ms[JOB_VALIDATING] = clock_wall_ms(call->entry->clock);
	job->expires_ms = job->at_ms[JOB_VALIDATING] + call->window_ms;
	for (guint i = 0; i < meta->part_items->len; i++) {
		uint32_t items = g_array_index(meta->part_items, uint32_t, i);

		job->total += items;
		g_array_append_val(job->part_items, items);
	}
	job->chunk_items = job_chunk_items(job->total);
	if (call->idempotency_key)
		call->key = record_key_make(partner, workspace, "batch key",
					    call->idempotency_key, NULL);
	else
		call->key = record_key_make(partner, workspace, "batch content",
					    job->digest, NULL);
	job->id = batch_id_job(scope, &call->key);
	g_free(scope);
}

static void on_input_meta(const file_meta_t *meta, const GError *error,
			  void *user_data)
{
	batch_call_t *call = user_data;

	if (!call->exchange) {
		call_free(call);
	} else if (error && error->code == WL_ERROR_NOT_FOUND) {
		refuse(call, API_NOT_FOUND, WORK_NOT_RUN, "no such input file");
	} else if (error) {
		refuse(call, API_LEDGER_UNAVAILABLE, WORK_NOT_RUN,
		       "the object store does not answer");
	} else if (!document_find_deployment(call->caller->partner,
					     meta->model)) {
		refuse(call, API_MODEL_NOT_FOUND, WORK_NOT_RUN,
		       "no such model as the file's items name");
	} else {
		fill_job(call, meta);
		if (is_input_file_expired(call))
			records_get_within(call->entry->records, &call->key,
					   RECORD_TIMEOUT_MS, on_existing_read,
					   call);
		else
			create_record(call);
	}
}

/* Serializes the metadata with sorted keys, so that equal metadata have equal
 * digests. NULL when it is not an object of strings or too large. */
static char *normalize_metadata(json_t *metadata)
{
	const char *name;
	json_t *value;
	char *dumped;
	char *text;

	if (!metadata || json_is_null(metadata))
		return g_strdup("{}");
	if (!json_is_object(metadata))
		return NULL;
	json_object_foreach(metadata, name, value) {
		if (!json_is_string(value))
			return NULL;
	}
	dumped = json_dumps(metadata, JSON_COMPACT | JSON_SORT_KEYS);
	text = strlen(dumped) <= JOB_MAX_METADATA_BYTES ? g_strdup(dumped) :
							  NULL;
	free(dumped);
	return text;
}

/* Fills the call from the request. Returns an error message or NULL. */
static const char *parse_request(batch_call_t *call, json_t *request)
{
	const char *input =
		json_string_value(json_object_get(request, "input_file_id"));
	const char *endpoint =
		json_string_value(json_object_get(request, "endpoint"));
	const char *window = json_string_value(
		json_object_get(request, "completion_window"));

	call->job = job_new();
	if (!json_is_object(request))
		return "the body is not a JSON object";
	if (!input)
		return "'input_file_id' is missing";
	if (!endpoint || strcmp(endpoint, endpoint_path) != 0)
		return "'endpoint' is not /v1/chat/completions";
	if (!window || !job_parse_window(window, &call->window_ms, NULL))
		return "'completion_window' is no time such as 24h, 30m or 90s";
	call->job->metadata =
		normalize_metadata(json_object_get(request, "metadata"));
	if (!call->job->metadata)
		return "'metadata' is no object of strings of at most 16 KiB";
	call->job->input_file_id = g_strdup(input);
	call->job->endpoint = g_strdup(endpoint);
	call->job->window = g_strdup(window);
	return NULL;
}

static void handle_create(entry_t *entry, http_exchange_t *exchange,
			  const document_caller_t *caller, const char *id)
{
	batch_call_t *call = call_new(entry, exchange, caller);
	const char *key = http_header(exchange, "Idempotency-Key");
	size_t len;
	const char *body = http_body(exchange, &len);
	api_error_id_t error = API_INVALID_REQUEST;
	const char *problem = NULL;
	json_t *request = request_json_load(entry->request_memory, body, len, 0,
					    &error, &problem);
	batch_id_kind_t kind;
	char *job = NULL;

	if (request)
		problem = parse_request(call, request);
	json_decref(request);
	if (problem) {
		refuse(call, error, WORK_NOT_RUN, problem);
		return;
	}
	if (!batch_id_parse_file(caller, call->job->input_file_id, &kind,
				 &job) ||
	    kind != BATCH_ID_FILE) {
		g_free(job);
		refuse(call, API_NOT_FOUND, WORK_NOT_RUN, "no such input file");
		return;
	}
	call->idempotency_key = g_strdup(key);
	files_read_meta(entry, call->job->input_file_id, on_input_meta, call);
}

/* Reading */

static void on_record_read(const record_t *record, const GError *error,
			   void *user_data)
{
	batch_call_t *call = user_data;

	if (error)
		refuse_record_error(call, error);
	else
		reply_record(call, record);
}

/* Replies with an error and returns NULL when the id is malformed or not the
 * caller's. */
static batch_call_t *call_new_for_job(entry_t *entry, http_exchange_t *exchange,
				      const document_caller_t *caller,
				      const char *id)
{
	char *job = batch_id_parse_job(caller, id);
	batch_call_t *call;

	if (!job) {
		api_error_reply(exchange, API_NOT_FOUND, WORK_NOT_RUN, 0,
				"no such batch");
		return NULL;
	}
	call = call_new(entry, exchange, caller);
	batch_id_key(job, &call->key);
	g_free(job);
	return call;
}

static void handle_get(entry_t *entry, http_exchange_t *exchange,
		       const document_caller_t *caller, const char *id)
{
	batch_call_t *call = call_new_for_job(entry, exchange, caller, id);

	if (call)
		records_get_within(entry->records, &call->key,
				   RECORD_TIMEOUT_MS, on_record_read, call);
}

/* Sorts the newest job first, as the usual client libraries expect. */
static int compare_jobs(const void *a, const void *b)
{
	const job_t *left = *(job_t *const *)a;
	const job_t *right = *(job_t *const *)b;
	int64_t left_ms = left->at_ms[JOB_VALIDATING];
	int64_t right_ms = right->at_ms[JOB_VALIDATING];

	if (left_ms != right_ms)
		return left_ms > right_ms ? -1 : 1;
	return strcmp(left->id, right->id);
}

static guint find_page_start(const GPtrArray *jobs, const char *after)
{
	for (guint i = 0; after && i < jobs->len; i++) {
		const job_t *job = jobs->pdata[i];

		if (g_str_has_prefix(after, "batch_") &&
		    strcmp(job->id, after + strlen("batch_")) == 0)
			return i + 1;
	}
	return 0;
}

static void reply_list(const batch_call_t *call, GPtrArray *jobs,
		       gboolean complete)
{
	guint start = find_page_start(jobs, call->after);
	guint end = MIN(jobs->len, start + call->limit);
	json_t *data = json_array();
	json_t *root;

	for (guint i = start; i < end; i++)
		json_array_append_new(data, job_object(jobs->pdata[i]));
	root = json_pack(
		"{s:s, s:O, s:O?, s:O?, s:b, s:b}", "object", "list", "data",
		data, "first_id",
		json_object_get(json_array_get(data, 0), "id"), "last_id",
		json_object_get(json_array_get(data, json_array_size(data) - 1),
				"id"),
		"has_more", (int)(end < jobs->len), "complete", complete);
	json_decref(data);
	reply_json(call->exchange, root);
}

static void on_list(const GArray *records, gboolean complete, void *user_data)
{
	batch_call_t *call = user_data;
	GPtrArray *jobs =
		g_ptr_array_new_with_free_func((GDestroyNotify)job_free);

	for (guint i = 0; records && i < records->len; i++) {
		const record_t *record = &g_array_index(records, record_t, i);
		job_t *job = job_decode(record->data, record->len, NULL);

		if (job)
			g_ptr_array_add(jobs, job);
	}
	g_ptr_array_sort(jobs, compare_jobs);
	if (call->exchange)
		reply_list(call, jobs, complete);
	g_ptr_array_free(jobs, TRUE);
	call_free(call);
}

static void handle_list(entry_t *entry, http_exchange_t *exchange,
			const document_caller_t *caller, const char *id)
{
	const char *limit = http_query(exchange, "limit");
	batch_call_t *call = call_new(entry, exchange, caller);

	call->after = g_strdup(http_query(exchange, "after"));
	call->limit = limit ? (guint)CLAMP(g_ascii_strtoll(limit, NULL, 10), 1,
					   MAX_LIST_LIMIT) :
			      DEFAULT_LIST_LIMIT;
	records_list(entry->records, RECORD_JOB, call->owner_tag, on_list,
		     call);
}

/* Cancel */

static void cancel_record(batch_call_t *call, const record_t *record);

static void on_cancelled(const record_t *record, const GError *error,
			 void *user_data)
{
	batch_call_t *call = user_data;

	if (!error)
		reply_record(call, record);
	else if (error->code == WL_ERROR_CONFLICT && record &&
		 ++call->attempts < MAX_UPDATE_ATTEMPTS)
		cancel_record(call, record);
	else
		refuse_record_error(call, error);
}

/* A conditional update of the record resolves the race between a cancel and the
 * job's completion. */
static void cancel_record(batch_call_t *call, const record_t *record)
{
	job_t *job = job_decode(record->data, record->len, NULL);
	record_t update = *record;
	char *data;

	if (!job || !job_transition(job, JOB_CANCELLING,
				    clock_wall_ms(call->entry->clock))) {
		job_free(job);
		reply_record(call, record);
		return;
	}
	data = job_encode(job, &update.len);
	update.data = data;
	records_update_within(call->entry->records, &update, RECORD_TIMEOUT_MS,
			      on_cancelled, call);
	free(data);
	job_free(job);
}

static void on_cancel_record_read(const record_t *record, const GError *error,
				  void *user_data)
{
	batch_call_t *call = user_data;

	if (error)
		refuse_record_error(call, error);
	else
		cancel_record(call, record);
}

static void handle_cancel(entry_t *entry, http_exchange_t *exchange,
			  const document_caller_t *caller, const char *id)
{
	batch_call_t *call = call_new_for_job(entry, exchange, caller, id);

	if (call)
		records_get_within(entry->records, &call->key,
				   RECORD_TIMEOUT_MS, on_cancel_record_read,
				   call);
}

static const collection_route_t routes[] = {
	{ "POST", false, "", handle_create },
	{ "GET", false, "", handle_list },
	{ "GET", true, "", handle_get },
	{ "POST", true, "cancel", handle_cancel },
	{ NULL, false, NULL, NULL },
};

void batches_handle(entry_t *entry, http_exchange_t *exchange,
		    const document_caller_t *caller)
{
	collection_handle(entry, exchange, caller, BATCHES_PATH, routes);
}
