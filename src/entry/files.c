#include "entry/files.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "batch/item_file.h"
#include "entry/api_error.h"
#include "entry/batch_id.h"
#include "entry/collection.h"
#include "entry/content.h"
#include "http/multipart.h"

/* Bytes checked per event loop iteration, about 1 ms of CPU time. */
#define CHECK_SLICE_BYTES (64 * 1024)
/* An upload fails when the store has not accepted an object within this time. */
#define WRITE_TIMEOUT_MS 3000
#define MAX_NAME_BYTES 255
#define STORE_LIST_LIMIT 1000
#define DEFAULT_LIST_LIMIT 100
#define MAX_LIST_LIMIT 1000

static const char meta_suffix[] = "/meta";

typedef struct upload {
	entry_t *entry;
	http_exchange_t *exchange; /* NULL after the caller disconnected */
	struct event *timer;
	item_file_t *file;
	GArray *fields;
	char *id;
	char *name;
	const char *data; /* points into the exchange's body */
	size_t len;
	size_t offset;
	uint32_t parts;
	int64_t created_s;
	bool writing;
} upload_t;

char *files_part_key(const char *id, uint32_t part)
{
	return g_strdup_printf("file/%s/%06u", id, part);
}

static char *meta_key(const char *id)
{
	return g_strconcat("file/", id, meta_suffix, NULL);
}

/* Removal */

static void on_removed(const object_value_t *value, const GError *error,
		       void *user_data)
{
}

static void on_objects_listed(const object_listing_t *listing,
			      const GError *error, void *user_data)
{
	entry_t *entry = user_data;

	for (guint i = 0; !error && i < listing->entries->len; i++) {
		const object_entry_t *object =
			&g_array_index(listing->entries, object_entry_t, i);

		object_remove(entry->store, object->key, object->version,
			      on_removed, NULL);
	}
}

/* Best effort: remaining objects have no meta object and are not visible to
 * callers. */
static void remove_objects(entry_t *entry, const char *id)
{
	char *prefix = g_strconcat("file/", id, "/", NULL);

	object_list(entry->store, prefix, NULL, STORE_LIST_LIMIT,
		    on_objects_listed, entry);
	g_free(prefix);
}

/* Meta objects */

static char *meta_encode(upload_t *upload)
{
	const GArray *items = item_file_part_items(upload->file);
	json_t *parts = json_array();
	json_t *root;
	char *text;

	for (guint i = 0; i < items->len; i++)
		json_array_append_new(
			parts, json_integer(g_array_index(items, uint32_t, i)));
	root = json_pack("{s:s, s:s, s:s, s:s, s:I, s:I, s:o}", "id",
			 upload->id, "name", upload->name, "model",
			 item_file_model(upload->file), "digest",
			 item_file_digest(upload->file), "bytes",
			 (json_int_t)item_file_bytes(upload->file), "created",
			 (json_int_t)upload->created_s, "parts", parts);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static json_t *file_object(const char *id, uint64_t bytes, int64_t created_s,
			   const char *name)
{
	return json_pack("{s:s, s:s, s:I, s:I, s:s, s:s, s:s}", "id", id,
			 "object", "file", "bytes", (json_int_t)bytes,
			 "created_at", (json_int_t)created_s, "filename", name,
			 "purpose", "batch", "status", "processed");
}

static void reply_json(http_exchange_t *exchange, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	http_reply(exchange, 200, "application/json", text, strlen(text));
	free(text);
	json_decref(root);
}

static void reply_store_error(http_exchange_t *exchange, const GError *error)
{
	if (error->code == WL_ERROR_NOT_FOUND)
		api_error_reply(exchange, API_NOT_FOUND, WORK_NOT_RUN, 0,
				"no such file");
	else
		api_error_reply(exchange, API_LEDGER_UNAVAILABLE, WORK_NOT_RUN,
				0, "the object store does not answer");
}

typedef struct meta_call {
	file_meta_done_t done;
	void *user_data;
} meta_call_t;

static gboolean meta_decode(const object_value_t *value, file_meta_t *meta)
{
	json_t *root = json_loadb(value->data, value->len, 0, NULL);
	const char *id = NULL, *name = NULL, *model = NULL, *digest = NULL;
	json_int_t bytes = 0, created = 0;
	json_t *parts = NULL;
	size_t index;
	json_t *part;

	if (json_unpack(root, "{s:s, s:s, s:s, s:s, s:I, s:I, s:o}", "id", &id,
			"name", &name, "model", &model, "digest", &digest,
			"bytes", &bytes, "created", &created, "parts",
			&parts) != 0) {
		json_decref(root);
		return FALSE;
	}
	meta->id = g_strdup(id);
	meta->name = g_strdup(name);
	meta->model = g_strdup(model);
	meta->digest = g_strdup(digest);
	meta->bytes = (uint64_t)bytes;
	meta->created_s = created;
	meta->part_items = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	json_array_foreach(parts, index, part) {
		uint32_t items = (uint32_t)json_integer_value(part);

		g_array_append_val(meta->part_items, items);
	}
	json_decref(root);
	return TRUE;
}

static void on_meta(const object_value_t *value, const GError *error,
		    void *user_data)
{
	meta_call_t *call = user_data;
	file_meta_t meta = { 0 };
	GError *decode_error = NULL;

	if (error) {
		call->done(NULL, error, call->user_data);
	} else if (!meta_decode(value, &meta)) {
		decode_error = g_error_new_literal(
			WL_ERROR, WL_ERROR_PROTOCOL,
			"the file's meta object is damaged");
		call->done(NULL, decode_error, call->user_data);
		g_error_free(decode_error);
	} else {
		call->done(&meta, NULL, call->user_data);
		g_array_free(meta.part_items, TRUE);
	}
	g_free(meta.id);
	g_free(meta.name);
	g_free(meta.model);
	g_free(meta.digest);
	g_free(call);
}

void files_read_meta(entry_t *entry, const char *id, file_meta_done_t done,
		     void *user_data)
{
	meta_call_t *call = g_new0(meta_call_t, 1);
	char *key = meta_key(id);

	call->done = done;
	call->user_data = user_data;
	object_get(entry->store, key, on_meta, call);
	g_free(key);
}

/* Upload */

static void upload_free(upload_t *upload)
{
	if (upload->exchange)
		http_on_closed(upload->exchange, NULL, NULL);
	event_free(upload->timer);
	item_file_free(upload->file);
	multipart_free(upload->fields);
	g_free(upload->id);
	g_free(upload->name);
	g_free(upload);
}

/* Ends the upload and removes the parts written so far. */
static void upload_abort(upload_t *upload)
{
	if (upload->parts > 0)
		remove_objects(upload->entry, upload->id);
	upload_free(upload);
}

static void on_caller_closed(http_exchange_t *exchange, void *user_data)
{
	upload_t *upload = user_data;

	upload->exchange = NULL;
	upload->data = NULL;
	if (!upload->writing)
		upload_abort(upload);
}

static void upload_refuse(upload_t *upload, const GError *error)
{
	api_error_reply(upload->exchange,
			error->code == WL_ERROR_TOO_LARGE ? API_TOO_LARGE :
							    API_INVALID_REQUEST,
			WORK_NOT_RUN, 0, error->message);
	upload_abort(upload);
}

static void on_meta_written(object_write_outcome_t outcome, void *user_data)
{
	upload_t *upload = user_data;

	upload->writing = false;
	if (outcome != OBJECT_WRITTEN && upload->exchange)
		/* The meta object may have been written, but its id was not
		 * returned to any caller. */
		api_error_reply(upload->exchange, API_LEDGER_UNAVAILABLE,
				WORK_NOT_RUN, 0,
				"the object store does not take the file");
	else if (upload->exchange)
		reply_json(upload->exchange,
			   file_object(upload->id,
				       item_file_bytes(upload->file),
				       upload->created_s, upload->name));
	log_info("file_stored", "file=%s parts=%u items=%u bytes=%" PRIu64,
		 upload->id, upload->parts, item_file_items(upload->file),
		 item_file_bytes(upload->file));
	upload_free(upload);
}

static void write_meta(upload_t *upload)
{
	char *text = meta_encode(upload);
	GBytes *data = g_bytes_new(text, strlen(text));
	char *key = meta_key(upload->id);

	upload->writing = true;
	object_writer_create(upload->entry->writer, key, data, WRITE_TIMEOUT_MS,
			     on_meta_written, upload);
	g_bytes_unref(data);
	g_free(key);
	free(text);
}

static void upload_step(evutil_socket_t fd, short events, void *arg);

static void on_part_written(object_write_outcome_t outcome, void *user_data)
{
	upload_t *upload = user_data;

	upload->writing = false;
	if (!upload->exchange) {
		upload_abort(upload);
	} else if (outcome != OBJECT_WRITTEN) {
		api_error_reply(upload->exchange, API_LEDGER_UNAVAILABLE,
				WORK_NOT_RUN, 0,
				"the object store does not take the file");
		upload_abort(upload);
	} else {
		upload_step(-1, 0, upload);
	}
}

static void write_part(upload_t *upload, GString *part)
{
	GBytes *data = g_string_free_to_bytes(part);
	char *key = files_part_key(upload->id, upload->parts++);

	upload->writing = true;
	object_writer_create(upload->entry->writer, key, data, WRITE_TIMEOUT_MS,
			     on_part_written, upload);
	g_bytes_unref(data);
	g_free(key);
}

/* Checks one slice of the data, or completes the upload after the last one. */
static void upload_step(evutil_socket_t fd, short events, void *arg)
{
	upload_t *upload = arg;
	size_t remaining = upload->len - upload->offset;
	struct timeval now = { 0, 0 };
	GError *error = NULL;
	GString *part;

	if (remaining > 0) {
		upload->offset += item_file_feed(
			upload->file, upload->data + upload->offset,
			MIN(remaining, CHECK_SLICE_BYTES));
	} else if (!item_file_finish(upload->file, &error)) {
		upload_refuse(upload, error);
		g_error_free(error);
		return;
	}
	part = item_file_take_part(upload->file);
	if (part)
		write_part(upload, part);
	else if (remaining > 0)
		evtimer_add(upload->timer, &now);
	else
		write_meta(upload);
}

/* Returns an error message or NULL. */
static const char *check_form(const GArray *fields)
{
	const multipart_field_t *purpose = multipart_find(fields, "purpose");
	const multipart_field_t *file = multipart_find(fields, "file");

	if (!file || !file->file_name)
		return "the form has no file in the field 'file'";
	if (!purpose || purpose->len != strlen("batch") ||
	    memcmp(purpose->data, "batch", purpose->len) != 0)
		return "'purpose' is not 'batch', the only one supported";
	if (strlen(file->file_name) > MAX_NAME_BYTES ||
	    !g_utf8_validate(file->file_name, -1, NULL))
		return "the file name is too long or not UTF-8";
	return NULL;
}

static void handle_upload(entry_t *entry, http_exchange_t *exchange,
			  const document_caller_t *caller, const char *id)
{
	size_t len;
	const char *body = http_body(exchange, &len);
	GError *error = NULL;
	GArray *fields = multipart_parse(http_header(exchange, "Content-Type"),
					 body, len, &error);
	const char *problem = fields ? check_form(fields) : error->message;
	const multipart_field_t *file;
	upload_t *upload;
	struct timeval now = { 0, 0 };

	if (problem) {
		api_error_reply(exchange, API_INVALID_REQUEST, WORK_NOT_RUN, 0,
				problem);
		if (fields)
			multipart_free(fields);
		g_clear_error(&error);
		return;
	}
	file = multipart_find(fields, "file");
	upload = g_new0(upload_t, 1);
	upload->entry = entry;
	upload->exchange = exchange;
	upload->timer = evtimer_new(entry->base, upload_step, upload);
	upload->file = item_file_new();
	upload->fields = fields;
	upload->name = g_strdup(file->file_name);
	upload->data = file->data;
	upload->len = file->len;
	upload->id = batch_id_new_file(caller, clock_wall_ms(entry->clock));
	upload->created_s = clock_wall_ms(entry->clock) / 1000;
	http_on_closed(exchange, on_caller_closed, upload);
	evtimer_add(upload->timer, &now);
}

/* Reading */

typedef struct file_call {
	entry_t *entry;
	http_exchange_t *exchange; /* NULL after the caller disconnected */
	char *id;
	char *prefix;
	GPtrArray *ids; /* ids of the listed files */
	guint next;
	guint limit;
	json_t *data;
} file_call_t;

static void on_call_closed(http_exchange_t *exchange, void *user_data)
{
	((file_call_t *)user_data)->exchange = NULL;
}

static file_call_t *file_call_new(entry_t *entry, http_exchange_t *exchange,
				  const char *id)
{
	file_call_t *call = g_new0(file_call_t, 1);

	call->entry = entry;
	call->exchange = exchange;
	call->id = g_strdup(id);
	http_on_closed(exchange, on_call_closed, call);
	return call;
}

static void file_call_free(file_call_t *call)
{
	if (call->exchange)
		http_on_closed(call->exchange, NULL, NULL);
	if (call->ids)
		g_ptr_array_free(call->ids, TRUE);
	json_decref(call->data);
	g_free(call->prefix);
	g_free(call->id);
	g_free(call);
}

static json_t *meta_object(const file_meta_t *meta)
{
	return file_object(meta->id, meta->bytes, meta->created_s, meta->name);
}

static void on_get(const file_meta_t *meta, const GError *error,
		   void *user_data)
{
	file_call_t *call = user_data;

	if (call->exchange && error)
		reply_store_error(call->exchange, error);
	else if (call->exchange)
		reply_json(call->exchange, meta_object(meta));
	file_call_free(call);
}

static void handle_get(entry_t *entry, http_exchange_t *exchange,
		       const document_caller_t *caller, const char *id)
{
	batch_id_kind_t kind;
	char *job;

	if (!batch_id_parse_file(caller, id, &kind, &job)) {
		api_error_reply(exchange, API_NOT_FOUND, WORK_NOT_RUN, 0,
				"no such file");
		return;
	}
	if (kind == BATCH_ID_FILE)
		files_read_meta(entry, id, on_get,
				file_call_new(entry, exchange, id));
	else
		content_describe(entry, exchange, id, kind, job);
	g_free(job);
}

static void handle_content(entry_t *entry, http_exchange_t *exchange,
			   const document_caller_t *caller, const char *id)
{
	batch_id_kind_t kind;
	char *job;

	if (!batch_id_parse_file(caller, id, &kind, &job)) {
		api_error_reply(exchange, API_NOT_FOUND, WORK_NOT_RUN, 0,
				"no such file");
		return;
	}
	content_send(entry, exchange, id, kind, job);
	g_free(job);
}

static void on_meta_removed(const object_value_t *value, const GError *error,
			    void *user_data)
{
	file_call_t *call = user_data;

	if (!error)
		remove_objects(call->entry, call->id);
	if (call->exchange && error && error->code != WL_ERROR_NOT_FOUND)
		reply_store_error(call->exchange, error);
	else if (call->exchange)
		reply_json(call->exchange,
			   json_pack("{s:s, s:s, s:b}", "id", call->id,
				     "object", "file", "deleted", 1));
	file_call_free(call);
}

static void on_meta_found(const object_value_t *value, const GError *error,
			  void *user_data)
{
	file_call_t *call = user_data;

	if (!error) {
		object_remove(call->entry->store, value->key, value->version,
			      on_meta_removed, call);
		return;
	}
	if (call->exchange)
		reply_store_error(call->exchange, error);
	file_call_free(call);
}

static void handle_delete(entry_t *entry, http_exchange_t *exchange,
			  const document_caller_t *caller, const char *id)
{
	batch_id_kind_t kind;
	char *job;
	char *key;

	if (!batch_id_parse_file(caller, id, &kind, &job) ||
	    kind != BATCH_ID_FILE) {
		api_error_reply(exchange, API_NOT_FOUND, WORK_NOT_RUN, 0,
				"no such file");
		g_free(job);
		return;
	}
	key = meta_key(id);
	object_get(entry->store, key, on_meta_found,
		   file_call_new(entry, exchange, id));
	g_free(key);
}

/* Listing */

static void list_next(file_call_t *call);

static void on_listed_meta(const file_meta_t *meta, const GError *error,
			   void *user_data)
{
	file_call_t *call = user_data;

	if (!call->exchange) {
		file_call_free(call);
	} else if (error && error->code != WL_ERROR_NOT_FOUND) {
		reply_store_error(call->exchange, error);
		file_call_free(call);
	} else {
		if (!error)
			json_array_append_new(call->data, meta_object(meta));
		list_next(call);
	}
}

static void list_next(file_call_t *call)
{
	bool more = call->ids->len > call->limit;

	if (call->next < MIN(call->ids->len, call->limit)) {
		files_read_meta(call->entry, call->ids->pdata[call->next++],
				on_listed_meta, call);
		return;
	}
	reply_json(call->exchange,
		   json_pack("{s:s, s:O, s:b}", "object", "list", "data",
			     call->data, "has_more", (int)more));
	file_call_free(call);
}

static void on_list(const object_listing_t *listing, const GError *error,
		    void *user_data)
{
	file_call_t *call = user_data;
	const char *last = NULL;

	if (!call->exchange || error) {
		if (call->exchange)
			reply_store_error(call->exchange, error);
		file_call_free(call);
		return;
	}
	for (guint i = 0; i < listing->entries->len; i++) {
		last = g_array_index(listing->entries, object_entry_t, i).key;
		if (g_str_has_suffix(last, meta_suffix))
			g_ptr_array_add(call->ids,
					g_strndup(last + strlen("file/"),
						  strlen(last) -
							  strlen("file/") -
							  strlen(meta_suffix)));
	}
	if (listing->entries->len < STORE_LIST_LIMIT ||
	    call->ids->len > call->limit)
		list_next(call);
	else
		object_list(call->entry->store, call->prefix, last,
			    STORE_LIST_LIMIT, on_list, call);
}

static void handle_list(entry_t *entry, http_exchange_t *exchange,
			const document_caller_t *caller, const char *id)
{
	const char *limit = http_query(exchange, "limit");
	const char *after = http_query(exchange, "after");
	char *scope =
		batch_id_scope(caller->partner->name, caller->workspace->name);
	char *start = after ? meta_key(after) : NULL;
	file_call_t *call = file_call_new(entry, exchange, NULL);

	call->prefix = g_strconcat("file/file-", scope, NULL);
	call->ids = g_ptr_array_new_with_free_func(g_free);
	call->data = json_array();
	call->limit = limit ? (guint)CLAMP(g_ascii_strtoll(limit, NULL, 10), 1,
					   MAX_LIST_LIMIT) :
			      DEFAULT_LIST_LIMIT;
	object_list(entry->store, call->prefix, start, STORE_LIST_LIMIT,
		    on_list, call);
	g_free(start);
	g_free(scope);
}

static const collection_route_t routes[] = {
	{ "POST", false, "", handle_upload },
	{ "GET", false, "", handle_list },
	{ "GET", true, "", handle_get },
	{ "DELETE", true, "", handle_delete },
	{ "GET", true, "content", handle_content },
	{ NULL, false, NULL, NULL },
};

void files_handle(entry_t *entry, http_exchange_t *exchange,
		  const document_caller_t *caller)
{
	collection_handle(entry, exchange, caller, FILES_PATH, routes);
}
