#include "gateway/job_read.h"

#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "gateway/job_load.h"
#include "rpc/store_xdr.h"

/* Closed records are small. The bound limits the memory of a process that runs
 * for a long time. */
#define MAX_CLOSED_RECORDS 2000
/* A few round trips. After it the record is read from the store. */
#define OWNER_CALL_TIMEOUT_MS 150
#define ADDRESS_BYTES 64
#define END_MAX_ATTEMPTS 8
#define END_RETRY_DELAY_MS 100

struct job_reader {
	job_reader_options_t options;
	job_context_t *context;
	job_owner_t *owner;
	segment_cache_t *cache;
	GHashTable *closed; /* id -> job_record_t */
	int64_t *segment_mismatches_total;
};

/* One call of job_read_results(), job_read_body() or job_end() in progress. */
typedef struct query {
	job_reader_t *reader;
	char *id;
	job_record_t *record;
	void (*found_record)(struct query *query);
	void (*no_record)(struct query *query, job_found_t found);
	uint64_t version;
	/* results */
	uint32_t after;
	size_t max_bytes;
	guint segment; /* index of the one being read */
	job_page_done_t page_done;
	/* body */
	char *item;
	job_body_done_t body_done;
	/* end */
	struct event *timer;
	uint32_t attempts;
	job_end_done_t end_done;
	void *user_data;
} query_t;

static void record_free(void *record)
{
	job_record_free(record);
}

static void handle_job_record(rpc_call_t *call, const void *data,
			      void *user_data)
{
	const store_job_args *args = data;
	job_reader_t *reader = user_data;
	const job_record_t *record =
		job_owner_fresh_record(reader->owner, args->name);
	char *text = record ? job_record_encode(record) : g_strdup("");
	store_job_result result = { .text = text };

	rpc_reply(call, &result);
	g_free(text);
}

static void handle_job_segment(rpc_call_t *call, const void *data,
			       void *user_data)
{
	const store_job_args *args = data;
	job_reader_t *reader = user_data;
	const GPtrArray *results = segment_cache_get(reader->cache, args->name);
	char *text = results ? job_results_encode(results) : g_strdup("");
	store_job_result result = { .text = text };

	rpc_reply(call, &result);
	g_free(text);
}

static void register_procedure(job_reader_t *reader, uint32_t number,
			       rpc_handler_t handler)
{
	const rpc_procedure_t procedure = {
		.program = PEER_PROGRAM,
		.procedure = number,
		.decode = (xdrproc_t)xdr_store_job_args,
		.args_size = sizeof(store_job_args),
		.encode = (xdrproc_t)xdr_store_job_result,
		.handler = handler,
		.user_data = reader,
	};

	rpc_server_register(reader->options.server, &procedure);
}

job_reader_t *job_reader_new(const job_reader_options_t *options)
{
	job_reader_t *reader = g_new0(job_reader_t, 1);

	reader->options = *options;
	reader->context = options->context;
	reader->owner = options->owner;
	reader->cache = options->cache;
	register_procedure(reader, PEER_JOB_RECORD, handle_job_record);
	register_procedure(reader, PEER_JOB_SEGMENT, handle_job_segment);
	reader->segment_mismatches_total =
		counter_get(options->context->counters, COUNTER_MONOTONIC,
			    "batch_segment_mismatches_total", NULL);
	reader->closed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       record_free);
	return reader;
}

static query_t *query_new(job_reader_t *reader, const char *id, void *user_data)
{
	query_t *query = g_new0(query_t, 1);

	query->reader = reader;
	query->id = g_strdup(id);
	query->user_data = user_data;
	return query;
}

static void query_free(query_t *query)
{
	if (query->timer)
		event_free(query->timer);
	job_record_free(query->record);
	g_free(query->item);
	g_free(query->id);
	g_free(query);
}

static void cache_closed_record(job_reader_t *reader, const query_t *query)
{
	if (!job_record_is_closed(query->record))
		return;
	if (g_hash_table_size(reader->closed) >= MAX_CLOSED_RECORDS)
		g_hash_table_remove_all(reader->closed);
	g_hash_table_insert(reader->closed, g_strdup(query->id),
			    job_record_copy(query->record));
}

void job_reader_forget(job_reader_t *reader, const char *id)
{
	g_hash_table_remove(reader->closed, id);
}

static void on_record(const object_value_t *value, const GError *error,
		      void *user_data)
{
	query_t *query = user_data;

	if (error) {
		query->no_record(query, error->code == WL_ERROR_NOT_FOUND ?
						JOB_MISSING :
						JOB_UNAVAILABLE);
		return;
	}
	job_record_free(query->record);
	query->record = job_record_decode(value->data, value->len);
	query->version = value->version;
	if (!query->record) {
		log_error("job_unreadable", "job=%s", query->id);
		query->no_record(query, JOB_UNAVAILABLE);
		return;
	}
	cache_closed_record(query->reader, query);
	query->found_record(query);
}

static void read_record(query_t *query)
{
	char *key = g_strconcat(JOB_RECORD_PREFIX, query->id, NULL);

	object_get(query->reader->context->store, key, on_record, query);
	g_free(key);
}

static void on_owner_record(const void *data, const GError *error,
			    void *user_data)
{
	const store_job_result *result = data;
	query_t *query = user_data;

	if (!error)
		query->record =
			job_record_decode(result->text, strlen(result->text));
	if (query->record)
		query->found_record(query);
	else
		read_record(query);
}

/* Calls a procedure of another node. Returns false when the node is not
 * known. */
static bool call_node(query_t *query, const char *node, uint32_t procedure,
		      const char *name, rpc_done_t done)
{
	const job_reader_options_t *options = &query->reader->options;
	const store_job_args args = { .name = (char *)name };
	char address[ADDRESS_BYTES];
	const rpc_call_options_t call = {
		.address = address,
		.program = PEER_PROGRAM,
		.procedure = procedure,
		.encode = (xdrproc_t)xdr_store_job_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_store_job_result,
		.result_size = sizeof(store_job_result),
		.timeout_ms = OWNER_CALL_TIMEOUT_MS,
		.done = done,
		.user_data = query,
	};

	if (!node || !options->find_node(options->user_data, node, address,
					 sizeof(address)))
		return false;
	rpc_client_call(options->client, &call);
	return true;
}

static void find_record(query_t *query)
{
	const job_record_t *record =
		job_owner_fresh_record(query->reader->owner, query->id);

	if (!record)
		record = g_hash_table_lookup(query->reader->closed, query->id);
	if (!record)
		record = job_table_closed_record(query->reader->options.table,
						 query->id);
	if (!record) {
		if (!call_node(query,
			       job_table_owner(query->reader->options.table,
					       query->id),
			       PEER_JOB_RECORD, query->id, on_owner_record))
			read_record(query);
		return;
	}
	query->record = job_record_copy(record);
	query->found_record(query);
}

/* Adds the results of one segment from the requested position on. Returns false
 * when the page is full. */
static bool add_results(const query_t *query, job_page_t *page,
			const GPtrArray *results, uint32_t first, size_t *bytes)
{
	uint32_t skip = query->after > first ? query->after - first : 0;

	for (guint i = skip; i < results->len; i++) {
		job_result_t *result = results->pdata[i];

		*bytes += strlen(result->text);
		if (page->results->len > 0 && *bytes > query->max_bytes)
			return false;
		g_ptr_array_add(page->results, result);
		page->next++;
	}
	return true;
}

/* Adds results of consecutive cached segments to the page. */
static void fill_page(query_t *query, job_page_t *page)
{
	const GPtrArray *segments = query->record->segments;
	uint32_t first = 0;
	size_t bytes = 0;

	page->total = query->record->items;
	for (guint i = 0; i < segments->len; i++) {
		const job_segment_t *segment = segments->pdata[i];
		const GPtrArray *results;
		uint32_t end = first + segment->items->len;

		if (end > query->after) {
			results = segment_cache_find(query->reader->cache,
						     segment);
			if (!results ||
			    !add_results(query, page, results, first, &bytes))
				return;
		}
		first = end;
	}
}

static void finish_page(query_t *query, job_found_t found)
{
	job_page_t page = {
		.found = found,
		.next = query->after,
		.results = g_ptr_array_new(),
	};

	if (found == JOB_FOUND)
		fill_page(query, &page);
	if (page.results->len > 0)
		log_info("job_read",
			 "job=%s after=%u next=%u epoch=%u beat=%u segments=%u "
			 "ended=%d",
			 query->id, query->after, page.next,
			 query->record->epoch, query->record->beat,
			 query->record->segments->len, query->record->ended);
	query->page_done(&page, query->user_data);
	g_ptr_array_free(page.results, TRUE);
	query_free(query);
}

static void read_segments(query_t *query);

/* Caches the results of the segment that is being read. Returns false when they
 * are not the ones that the record names: other results would change positions
 * that callers have read. */
static bool cache_segment(query_t *query, GPtrArray *results,
			  const char *source)
{
	segment_cache_t *cache = query->reader->cache;
	const job_segment_t *segment =
		query->record->segments->pdata[query->segment];
	guint count = results->len;

	segment_cache_put(cache, segment->key, results);
	if (segment_cache_find(cache, segment))
		return true;
	(*query->reader->segment_mismatches_total)++;
	log_error("segment_mismatch",
		  "job=%s segment=%s source=%s epoch=%u beat=%u items=%u "
		  "results=%u digest=%s named=%s",
		  query->id, segment->key, source, query->record->epoch,
		  query->record->beat, segment->items->len, count,
		  segment_cache_digest(cache, segment->key), segment->digest);
	return false;
}

static void on_segment(const object_value_t *value, const GError *error,
		       void *user_data)
{
	query_t *query = user_data;
	const job_segment_t *segment =
		query->record->segments->pdata[query->segment];
	GPtrArray *results =
		error ? NULL : job_results_decode(value->data, value->len);

	if (!results) {
		log_warn("segment_unread", "job=%s segment=%s error=%s",
			 query->id, segment->key,
			 error ? error_name(error->code) : "unreadable");
		finish_page(query, JOB_UNAVAILABLE);
		return;
	}
	if (cache_segment(query, results, "store"))
		read_segments(query);
	else
		finish_page(query, JOB_UNAVAILABLE);
}

static void read_segment(query_t *query)
{
	const job_segment_t *segment =
		query->record->segments->pdata[query->segment];

	object_get(query->reader->context->store, segment->key, on_segment,
		   query);
}

static void on_owner_segment(const void *data, const GError *error,
			     void *user_data)
{
	const store_job_result *result = data;
	query_t *query = user_data;
	GPtrArray *results =
		error ? NULL :
			job_results_decode(result->text, strlen(result->text));

	if (results && cache_segment(query, results, query->record->owner))
		read_segments(query);
	else
		read_segment(query);
}

/* Reads the segments that the page needs into the cache, one at a time. */
static void read_segments(query_t *query)
{
	const GPtrArray *segments = query->record->segments;
	uint32_t position = 0;
	size_t bytes = 0;

	for (guint i = 0; i < segments->len; i++) {
		const job_segment_t *segment = segments->pdata[i];
		const GPtrArray *cached;

		position += segment->items->len;
		if (position <= query->after)
			continue;
		cached = segment_cache_find(query->reader->cache, segment);
		if (!cached) {
			query->segment = i;
			if (!call_node(query, query->record->owner,
				       PEER_JOB_SEGMENT, segment->key,
				       on_owner_segment))
				read_segment(query);
			return;
		}
		for (guint j = 0; j < cached->len; j++)
			bytes += strlen(
				((job_result_t *)cached->pdata[j])->text);
		if (bytes >= query->max_bytes)
			break;
	}
	finish_page(query, JOB_FOUND);
}

void job_read_results(job_reader_t *reader, const char *id, uint32_t after,
		      size_t max_bytes, job_page_done_t done, void *user_data)
{
	query_t *query = query_new(reader, id, user_data);

	query->after = after;
	query->max_bytes = max_bytes;
	query->page_done = done;
	query->found_record = read_segments;
	query->no_record = finish_page;
	find_record(query);
}

static void finish_body(query_t *query, job_found_t found)
{
	query->body_done(found, NULL, query->user_data);
	query_free(query);
}

static void find_body(query_t *query, const GPtrArray *items)
{
	for (guint i = 0; i < items->len; i++) {
		const job_item_t *item = items->pdata[i];

		if (strcmp(item->id, query->item) != 0)
			continue;
		if (job_record_has_item(query->record, i))
			break;
		query->body_done(JOB_FOUND, item->body, query->user_data);
		query_free(query);
		return;
	}
	finish_body(query, JOB_MISSING);
}

static void on_items(GPtrArray *items, void *user_data)
{
	query_t *query = user_data;

	if (!items) {
		finish_body(query, JOB_UNAVAILABLE);
		return;
	}
	find_body(query, items);
	g_ptr_array_unref(items);
}

static void read_items(query_t *query)
{
	const GPtrArray *items =
		job_owner_items(query->reader->owner, query->id);

	/* All items are listed, or nobody waits for them. */
	if (job_record_is_closed(query->record))
		finish_body(query, JOB_MISSING);
	else if (items)
		find_body(query, items);
	else
		job_load_items(query->reader->context, query->id,
			       query->record->payload_parts, on_items, query);
}

void job_read_body(job_reader_t *reader, const char *id, const char *item,
		   job_body_done_t done, void *user_data)
{
	query_t *query = query_new(reader, id, user_data);

	query->item = g_strdup(item);
	query->body_done = done;
	query->found_record = read_items;
	query->no_record = finish_body;
	find_record(query);
}

static void finish_end(query_t *query, job_found_t found)
{
	log_info("job_end", "job=%s found=%d tries=%u", query->id, found,
		 query->attempts);
	query->end_done(found, query->user_data);
	query_free(query);
}

static void on_end_timer(evutil_socket_t fd, short events, void *arg)
{
	read_record(arg);
}

/* Reads the record again after a delay, which also shows whether a write of
 * unknown outcome has taken effect. */
static void retry_end(query_t *query, job_found_t found)
{
	const struct timeval pause = { 0, END_RETRY_DELAY_MS * 1000 };

	if (found == JOB_MISSING || ++query->attempts >= END_MAX_ATTEMPTS) {
		finish_end(query, found);
		return;
	}
	evtimer_add(query->timer, &pause);
}

static void on_end_written(const object_value_t *value, const GError *error,
			   void *user_data)
{
	query_t *query = user_data;

	job_owner_refresh(query->reader->owner, query->id);
	if (!error)
		finish_end(query, JOB_FOUND);
	else if (error->code == WL_ERROR_CONFLICT)
		on_record(value, value ? NULL : error, query);
	else
		retry_end(query, JOB_UNAVAILABLE);
}

static void write_end(query_t *query)
{
	const job_context_t *context = query->reader->context;
	char *key;
	char *text;

	if (query->record->ended) {
		job_owner_refresh(query->reader->owner, query->id);
		finish_end(query, JOB_FOUND);
		return;
	}
	query->record->ended = true;
	key = g_strconcat(JOB_RECORD_PREFIX, query->id, NULL);
	text = job_record_encode(query->record);
	object_put(context->store, key, text, strlen(text), query->version,
		   context->writer, on_end_written, query);
	g_free(text);
	g_free(key);
}

void job_end(job_reader_t *reader, const char *id, job_end_done_t done,
	     void *user_data)
{
	query_t *query = query_new(reader, id, user_data);

	query->timer = evtimer_new(reader->context->base, on_end_timer, query);
	query->end_done = done;
	query->found_record = write_end;
	query->no_record = retry_end;
	read_record(query);
}
