#include <event2/buffer.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "gateway/job_progress.h"
#include "gateway/job_record.h"
#include "gateway/load_view.h"
#include "gateway/part_report.h"
#include "gateway/runner_message.h"
#include "gateway/stream_origin.h"
#include "rpc/store_xdr.h"
#include "unit.h"

/*
 * What an earlier release wrote for others must be read, and what this build
 * writes must be what that one reads (docs/formats.md). tests/formats/ has the
 * bytes of the encoders of earlier releases for the input below; --print writes
 * those of this build.
 */
#define RELEASE_FILE "tests/formats/3e707aa.txt"
#define BYTES_MAX 8192

typedef enum format_kind {
	FORMAT_EXACT, /* a message that is read to its end */
	FORMAT_PREFIX, /* older builds do not read what follows */
	FORMAT_JSON /* older builds ignore further members */
} format_kind_t;

typedef struct format {
	const char *name;
	format_kind_t kind;
	void (*write)(GByteArray *bytes);
	/* Whether the bytes are read, with the content of the input. */
	bool (*read)(const GByteArray *bytes);
} format_t;

static clock_manual_t test_clock;

static void append_text(GByteArray *bytes, char *text)
{
	g_byte_array_append(bytes, (const guint8 *)text, (guint)strlen(text));
	g_free(text);
}

/* Load reports */

typedef struct load_node {
	GRand *random;
	fleet_t *fleet;
	load_view_t *view;
} load_node_t;

static load_node_t load_node_new(const char *name)
{
	load_node_t node = { .random = g_rand_new_with_seed(1) };
	const fleet_options_t options = { .clock = &test_clock.base,
					  .random = node.random,
					  .domain = "d" };
	const fleet_entry_t entry = { "r1", "10.0.0.1:1", "s", "d", 8,
				      1,    false,	  "1" };

	node.fleet = fleet_new(&options);
	fleet_update(node.fleet, &entry);
	node.view = load_view_new(&test_clock.base, node.fleet, name, "d", 7);
	return node;
}

static void load_node_free(load_node_t *node)
{
	load_view_free(node->view);
	fleet_free(node->fleet);
	g_rand_free(node->random);
}

static void write_load(GByteArray *bytes)
{
	const load_own_t own = { .demands = { { 5, { { 2, 3 } } } },
				 .demand_count = 1,
				 .reaches_store = true,
				 .relay_port = 4242,
				 .relay_calls = 3 };
	load_node_t node = load_node_new("a");
	fleet_runner_t *runner = fleet_find(node.fleet, fleet_key("r1"));
	char data[BYTES_MAX];
	size_t len;

	runner->own.online = 4;
	runner->own.batch = 2;
	fleet_set_leaving(node.fleet, runner);
	len = load_view_encode(node.view, &own, data, sizeof(data));
	g_byte_array_append(bytes, (const guint8 *)data, (guint)len);
	load_node_free(&node);
}

static bool read_load(const GByteArray *bytes)
{
	load_node_t node = load_node_new("b");
	char *data = g_memdup2(bytes->data, bytes->len);
	const char *from = load_view_apply(node.view, data, bytes->len);
	const fleet_runner_t *runner = fleet_find(node.fleet, fleet_key("r1"));
	batch_waiting_t before, after;
	bool same;

	load_view_batch_waiting(node.view, 5, false, &before, &after);
	same = from && strcmp(from, "a") == 0 && runner->peers.online == 4 &&
	       runner->peers.batch == 2 && runner->leaving &&
	       before.items[1] == 3 &&
	       load_view_store_peer(node.view, "d", 0) != NULL;
	load_node_free(&node);
	g_free(data);
	return same;
}

/* Crashes and held parts */

static part_news_t news_of(int64_t now_us)
{
	part_news_t news = { 0 };

	news.crashes_count = 1;
	news.crashes[0].runner = 11;
	news.crashes[0].at_us = now_us - 3000;
	news.crashes[0].count = 1;
	news.crashes[0].suspects[0].part = 12;
	news.crashes[0].suspects[0].depth = 2;
	news.crashes[0].suspects[0].running = true;
	news.clears_count = 1;
	news.clears[0].part = 13;
	news.clears[0].at_us = now_us - 4000;
	news.holds_count = 1;
	news.holds[0].part = 14;
	news.holds[0].depth = 1;
	news.holds[0].crashes = 3;
	return news;
}

static void write_parts(GByteArray *bytes)
{
	const part_news_t news = news_of(9000000);
	char data[BYTES_MAX];
	size_t len = part_report_encode(&news, 9000000, data, sizeof(data));

	g_byte_array_append(bytes, (const guint8 *)data, (guint)len);
}

static bool read_parts(const GByteArray *bytes)
{
	part_news_t news = { 0 };

	return part_report_is((const char *)bytes->data, bytes->len) &&
	       part_report_decode((const char *)bytes->data, bytes->len,
				  9000000, &news) &&
	       news.crashes_count == 1 && news.crashes[0].runner == 11 &&
	       news.crashes[0].at_us == 8997000 &&
	       news.crashes[0].suspects[0].part == 12 &&
	       news.crashes[0].suspects[0].running && news.clears_count == 1 &&
	       news.clears[0].part == 13 && news.holds_count == 1 &&
	       news.holds[0].crashes == 3;
}

/* Origins of streams */

static GByteArray *origin_bytes;

static uint32_t keep_origin(uint64_t stream, const char *data, size_t len,
			    void *user_data)
{
	g_byte_array_append(origin_bytes, (const guint8 *)data, (guint)len);
	return 1;
}

static stream_origins_t *origins_new(void)
{
	const stream_origins_options_t options = {
		.clock = &test_clock.base,
		.counters = counter_set_new(),
		.send = keep_origin,
	};

	return stream_origins_new(&options);
}

static void write_origin(GByteArray *bytes)
{
	stream_origins_t *origins = origins_new();

	origin_bytes = bytes;
	stream_origins_begin(origins, stream_origin_key("q1"), 77, 5000);
	stream_origins_free(origins);
}

static bool read_origin(const GByteArray *bytes)
{
	char answer[STREAM_ORIGIN_MAX_BYTES];
	stream_origins_t *origins = origins_new();
	bool same;

	stream_origins_apply(origins, 1, (const char *)bytes->data, bytes->len,
			     answer);
	same = stream_origin_is_report((const char *)bytes->data, bytes->len) &&
	       stream_origins_find(origins, stream_origin_key("q1")) == 77;
	stream_origins_free(origins);
	return same;
}

/* Calls of the store for other nodes */

static void write_xdr(GByteArray *bytes, xdrproc_t encode, void *value)
{
	char data[BYTES_MAX];
	XDR xdrs;

	xdrmem_create(&xdrs, data, sizeof(data), XDR_ENCODE);
	if (encode(&xdrs, value))
		g_byte_array_append(bytes, (const guint8 *)data,
				    xdr_getpos(&xdrs));
	xdr_destroy(&xdrs);
}

static bool read_xdr(const GByteArray *bytes, xdrproc_t decode, void *value)
{
	XDR xdrs;
	bool whole;

	xdrmem_create(&xdrs, (char *)bytes->data, bytes->len, XDR_DECODE);
	whole = decode(&xdrs, value) && xdr_getpos(&xdrs) == bytes->len;
	xdr_destroy(&xdrs);
	return whole;
}

static void write_store_args(GByteArray *bytes)
{
	store_call_args args = {
		.operation = STORE_PUT,
		.stale = TRUE,
		.key = (char *)"k/1",
		.after = (char *)"k/0",
		.writer = (char *)"w",
		.revision = 1ULL << 40,
		.limit = 500,
		.timeout_ms = 25000,
		.data = { 2, (char *)"{}" },
	};

	write_xdr(bytes, (xdrproc_t)xdr_store_call_args, &args);
}

static bool read_store_args(const GByteArray *bytes)
{
	store_call_args args = { 0 };
	bool same = read_xdr(bytes, (xdrproc_t)xdr_store_call_args, &args) &&
		    args.operation == STORE_PUT && args.stale &&
		    strcmp(args.key, "k/1") == 0 &&
		    strcmp(args.after, "k/0") == 0 &&
		    strcmp(args.writer, "w") == 0 &&
		    args.revision == 1ULL << 40 && args.limit == 500 &&
		    args.timeout_ms == 25000 && args.data.data_len == 2;

	xdr_free((xdrproc_t)xdr_store_call_args, &args);
	return same;
}

static void write_store_result(GByteArray *bytes)
{
	store_call_entry entry = { (char *)"k/1", 9, TRUE, (char *)"{}" };
	store_call_result result = {
		.error = 3,
		.has_value = TRUE,
		.writer = (char *)"w",
		.revision = 10,
		.more = TRUE,
		.data = (char *)"[]",
		.entries = { 1, &entry },
	};

	write_xdr(bytes, (xdrproc_t)xdr_store_call_result, &result);
}

static bool read_store_result(const GByteArray *bytes)
{
	store_call_result result = { 0 };
	bool same =
		read_xdr(bytes, (xdrproc_t)xdr_store_call_result, &result) &&
		result.error == 3 && result.has_value &&
		result.revision == 10 && result.more &&
		strcmp(result.data, "[]") == 0 &&
		result.entries.entries_len == 1 &&
		result.entries.entries_val[0].deleted &&
		result.entries.entries_val[0].revision == 9;

	xdr_free((xdrproc_t)xdr_store_call_result, &result);
	return same;
}

/* Calls to runners through another node */

static void write_message(GByteArray *bytes, runner_message *message)
{
	struct evbuffer *output = evbuffer_new();
	size_t len;

	if (runner_message_append(output, message)) {
		len = evbuffer_get_length(output);
		g_byte_array_append(bytes, evbuffer_pullup(output, -1),
				    (guint)len);
	}
	evbuffer_free(output);
}

static int read_message(const GByteArray *bytes, runner_message *message)
{
	struct evbuffer *input = evbuffer_new();
	int taken;

	evbuffer_add(input, bytes->data, bytes->len);
	taken = runner_message_take(input, message);
	if (taken == 1 && evbuffer_get_length(input) > 0)
		taken = -1;
	evbuffer_free(input);
	return taken;
}

static void write_runner_call(GByteArray *bytes)
{
	runner_header header = { (char *)"Model", (char *)"m" };
	runner_message message = { .kind = RUNNER_CALL };
	runner_call_args *call = &message.runner_message_u.call;

	call->runner = 11;
	call->address = (char *)"10.0.0.1:1";
	call->instance = (char *)"r1";
	call->id = (char *)"q1";
	call->method = (char *)"POST";
	call->target = (char *)"/a?b";
	call->host = (char *)"h";
	call->headers.headers_len = 1;
	call->headers.headers_val = &header;
	call->body_bytes = 5;
	call->deadline_ms = 4000;
	call->resume_after = -1;
	call->repeatable = TRUE;
	write_message(bytes, &message);
}

static bool read_runner_call(const GByteArray *bytes)
{
	runner_message message = { 0 };
	const runner_call_args *call = &message.runner_message_u.call;
	bool same = read_message(bytes, &message) == 1 &&
		    message.kind == RUNNER_CALL && call->runner == 11 &&
		    strcmp(call->target, "/a?b") == 0 &&
		    call->headers.headers_len == 1 && call->body_bytes == 5 &&
		    call->deadline_ms == 4000 && call->resume_after == -1 &&
		    call->repeatable;

	runner_message_clear(&message);
	return same;
}

static void write_runner_answer(GByteArray *bytes)
{
	runner_message message = { .kind = RUNNER_ANSWER };
	runner_answer_args *answer = &message.runner_message_u.answer;

	answer->status = 503;
	answer->not_run = TRUE;
	answer->leaving = TRUE;
	answer->slowness_percent = 130;
	answer->limit_named = TRUE;
	answer->limit_per_1000_s = 1500;
	write_message(bytes, &message);
}

static bool read_runner_answer(const GByteArray *bytes)
{
	runner_message message = { 0 };
	const runner_answer_args *answer = &message.runner_message_u.answer;
	bool same = read_message(bytes, &message) == 1 &&
		    message.kind == RUNNER_ANSWER && answer->status == 503 &&
		    answer->not_run && answer->leaving &&
		    answer->slowness_percent == 130 && answer->limit_named &&
		    answer->limit_per_1000_s == 1500;

	runner_message_clear(&message);
	return same;
}

/* Objects of batch jobs in the store */

static void write_record(GByteArray *bytes)
{
	static const uint32_t items[] = { 2, 0 };
	job_record_t *record = job_record_new();

	record->host = g_strdup("h");
	record->path = g_strdup("/b/1");
	record->owner = g_strdup("a");
	record->instance = g_strdup("a-1");
	record->epoch = 3;
	record->beat = 4;
	record->items = 5;
	record->payload_parts = 1;
	record->submitted_ms = 1700000000000;
	record->waiting_tokens = 900;
	record->progress = g_strdup(JOB_PROGRESS_PREFIX "j.3.1.a");
	job_record_add_segment(record, JOB_SEGMENT_PREFIX "j.3.1.a", "ab12",
			       items, G_N_ELEMENTS(items));
	append_text(bytes, job_record_encode(record));
	job_record_free(record);
}

static bool read_record(const GByteArray *bytes)
{
	job_record_t *record =
		job_record_decode((const char *)bytes->data, bytes->len);
	bool same =
		record && strcmp(record->owner, "a") == 0 &&
		strcmp(record->instance, "a-1") == 0 && record->epoch == 3 &&
		record->beat == 4 && record->items == 5 &&
		record->submitted_ms == 1700000000000 &&
		record->waiting_tokens == 900 && !record->ended &&
		job_record_results(record) == 2 &&
		job_record_has_item(record, 2) &&
		job_record_find_segment(record, JOB_SEGMENT_PREFIX "j.3.1.a");

	if (record)
		job_record_free(record);
	return same;
}

static void write_items(GByteArray *bytes)
{
	GPtrArray *items = g_ptr_array_new_with_free_func(job_item_free);
	job_item_t *item = job_item_new();

	item->id = g_strdup("i1");
	item->target = g_strdup("/b/1");
	item->body = g_bytes_new("body", 4);
	item->tokens = 30;
	g_ptr_array_add(items, item);
	append_text(bytes, job_items_encode(items, 0, 1));
	g_ptr_array_unref(items);
}

static bool read_items(const GByteArray *bytes)
{
	GPtrArray *items = g_ptr_array_new_with_free_func(job_item_free);
	bool same = job_items_decode((const char *)bytes->data, bytes->len,
				     items) &&
		    items->len == 1;
	const job_item_t *item = same ? items->pdata[0] : NULL;

	same = same && strcmp(item->id, "i1") == 0 && item->tokens == 30 &&
	       g_bytes_get_size(item->body) == 4;
	g_ptr_array_unref(items);
	return same;
}

static void write_results(GByteArray *bytes)
{
	job_result_t result = { 2, (char *)"i2", JOB_RESULT_GIVEN_UP,
				(char *)"e1\ne2" };
	GPtrArray *results = g_ptr_array_new();

	g_ptr_array_add(results, &result);
	append_text(bytes, job_results_encode(results));
	g_ptr_array_unref(results);
}

static bool read_results(const GByteArray *bytes)
{
	GPtrArray *results =
		job_results_decode((const char *)bytes->data, bytes->len);
	const job_result_t *result =
		results && results->len == 1 ? results->pdata[0] : NULL;
	bool same = result && result->item == 2 &&
		    strcmp(result->id, "i2") == 0 &&
		    result->state == JOB_RESULT_GIVEN_UP &&
		    strcmp(result->text, "e1\ne2") == 0;

	if (results)
		g_ptr_array_unref(results);
	return same;
}

static void write_progress(GByteArray *bytes)
{
	job_progress_t progress = { .item = 1,
				    .last_event = 4,
				    .version = 77,
				    .failures = 2,
				    .text = (char *)"e1" };
	GPtrArray *entries = g_ptr_array_new();

	g_ptr_array_add(entries, &progress);
	append_text(bytes, job_progress_encode(entries, BYTES_MAX));
	g_ptr_array_unref(entries);
}

static bool read_progress(const GByteArray *bytes)
{
	GPtrArray *entries =
		job_progress_decode((const char *)bytes->data, bytes->len);
	const job_progress_t *progress =
		entries && entries->len == 1 ? entries->pdata[0] : NULL;
	bool same = progress && progress->item == 1 &&
		    progress->last_event == 4 && progress->version == 77 &&
		    progress->failures == 2 &&
		    strcmp(progress->text, "e1") == 0;

	if (entries)
		g_ptr_array_unref(entries);
	return same;
}

static const format_t formats[] = {
	{ "load_report", FORMAT_PREFIX, write_load, read_load },
	{ "part_report", FORMAT_EXACT, write_parts, read_parts },
	{ "origin_report", FORMAT_EXACT, write_origin, read_origin },
	{ "store_call_args", FORMAT_EXACT, write_store_args, read_store_args },
	{ "store_call_result", FORMAT_EXACT, write_store_result,
	  read_store_result },
	{ "runner_call", FORMAT_EXACT, write_runner_call, read_runner_call },
	{ "runner_answer", FORMAT_EXACT, write_runner_answer,
	  read_runner_answer },
	{ "job_record", FORMAT_JSON, write_record, read_record },
	{ "job_items", FORMAT_JSON, write_items, read_items },
	{ "job_results", FORMAT_JSON, write_results, read_results },
	{ "job_progress", FORMAT_JSON, write_progress, read_progress },
};

static GByteArray *current_bytes(const format_t *format)
{
	GByteArray *bytes = g_byte_array_new();

	clock_manual_init(&test_clock, 0);
	clock_manual_advance_ms(&test_clock, 9000);
	format->write(bytes);
	return bytes;
}

/* Whether the value has all that the former one has, with the same values. */
static bool json_has(const json_t *value, const json_t *former)
{
	const char *name;
	json_t *member;
	size_t index;

	if (json_is_array(former)) {
		if (json_array_size(value) != json_array_size(former))
			return false;
		json_array_foreach((json_t *)former, index, member)
			if (!json_has(json_array_get(value, index), member))
				return false;
		return true;
	}
	if (!json_is_object(former))
		return json_equal(value, former);
	json_object_foreach((json_t *)former, name, member)
		if (!json_has(json_object_get(value, name), member))
			return false;
	return true;
}

static bool is_readable_by(const format_t *format, const GByteArray *bytes,
			   const GByteArray *former)
{
	json_t *value;
	json_t *former_value;
	bool has;

	if (format->kind == FORMAT_EXACT)
		return bytes->len == former->len &&
		       memcmp(bytes->data, former->data, former->len) == 0;
	if (format->kind == FORMAT_PREFIX)
		return bytes->len >= former->len &&
		       memcmp(bytes->data, former->data, former->len) == 0;
	value = json_loadb((const char *)bytes->data, bytes->len, 0, NULL);
	former_value =
		json_loadb((const char *)former->data, former->len, 0, NULL);
	has = value && former_value && json_has(value, former_value);
	json_decref(value);
	json_decref(former_value);
	return has;
}

static GByteArray *bytes_of_hex(const char *hex)
{
	GByteArray *bytes = g_byte_array_new();

	for (; g_ascii_isxdigit(hex[0]) && g_ascii_isxdigit(hex[1]); hex += 2) {
		guint8 byte = (guint8)(g_ascii_xdigit_value(hex[0]) << 4 |
				       g_ascii_xdigit_value(hex[1]));

		g_byte_array_append(bytes, &byte, 1);
	}
	return bytes;
}

/* The bytes of a format in the file; NULL: it has none. */
static GByteArray *bytes_of_release(const char *file, const char *name)
{
	GByteArray *bytes = NULL;
	char *text = NULL;
	char **lines;

	if (!g_file_get_contents(file, &text, NULL, NULL))
		return NULL;
	lines = g_strsplit(text, "\n", -1);
	for (size_t i = 0; lines[i] && !bytes; i++)
		if (g_str_has_prefix(lines[i], name) &&
		    lines[i][strlen(name)] == ' ')
			bytes = bytes_of_hex(lines[i] + strlen(name) + 1);
	g_strfreev(lines);
	g_free(text);
	return bytes;
}

/* Guards against builds that cannot run side by side while VMs are upgraded, in
 * both directions. */
static void test_formats_of_a_release(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(formats); i++) {
		const format_t *format = &formats[i];
		GByteArray *former =
			bytes_of_release(RELEASE_FILE, format->name);
		GByteArray *bytes = current_bytes(format);

		CU_ASSERT_PTR_NOT_NULL(former);
		if (!former)
			continue;
		if (!format->read(bytes) || !format->read(former) ||
		    !is_readable_by(format, bytes, former)) {
			fprintf(stderr, "format %s\n", format->name);
			CU_FAIL("a format of an earlier release");
		}
		g_byte_array_unref(bytes);
		g_byte_array_unref(former);
	}
}

static int print_formats(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(formats); i++) {
		GByteArray *bytes = current_bytes(&formats[i]);

		printf("%s ", formats[i].name);
		for (guint j = 0; j < bytes->len; j++)
			printf("%02x", bytes->data[j]);
		printf("\n");
		g_byte_array_unref(bytes);
	}
	return 0;
}

int main(int argc, char **argv)
{
	static const unit_test_t tests[] = {
		{ "formats of a release", test_formats_of_a_release },
		{ NULL, NULL },
	};

	if (argc > 1 && strcmp(argv[1], "--print") == 0)
		return print_formats();
	return unit_run("formats", tests);
}
