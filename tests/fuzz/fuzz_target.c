#include "backend/event_reader.h"
#include "backend/part_guard.h"
#include "gateway/job_progress.h"
#include "gateway/job_record.h"
#include "gateway/load_view.h"
#include "gateway/part_report.h"
#include "gateway/stream_origin.h"
#include "platform/settings.h"
#include "platform/store_decode.h"
#include "fuzz/fuzz_target.h"

#include <event2/buffer.h>
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "backend/sse.h"
#include "batch/item_file.h"
#include "batch/job.h"
#include "batch/result.h"
#include "config/document.h"
#include "config/document_diff.h"
#include "coord/ledger.h"
#include "entry/completion.h"
#include "http/multipart.h"
#include "object/json_slice.h"
#include "object/object_answer.h"
#include "rpc/batch_xdr.h"
#include "rpc/claim_xdr.h"
#include "rpc/config_xdr.h"
#include "rpc/fleet_xdr.h"
#include "rpc/ledger_xdr.h"
#include "rpc/member_xdr.h"
#include "rpc/peer_datagram.h"
#include "rpc/rpc_auth.h"
#include "rpc/runner_xdr.h"
#include "rpc/store_xdr.h"
#include "tool/job_timeline.h"

#define MAX_DOCUMENT_BYTES (1024 * 1024)

static void run_document(const uint8_t *data, size_t size)
{
	GError *error = NULL;
	document_t *document = document_parse((const char *)data, size, &error);

	g_assert((document == NULL) == (error != NULL));
	document_unref(document);
	g_clear_error(&error);
}

typedef struct xdr_type {
	xdrproc_t decode;
	size_t size;
} xdr_type_t;

static const xdr_type_t xdr_types[] = {
	{ (xdrproc_t)xdr_member_message, sizeof(member_message) },
	{ (xdrproc_t)xdr_fleet_fetch_args, sizeof(fleet_fetch_args) },
	{ (xdrproc_t)xdr_fleet_fetch_result, sizeof(fleet_fetch_result) },
	{ (xdrproc_t)xdr_config_fetch_args, sizeof(config_fetch_args) },
	{ (xdrproc_t)xdr_config_fetch_result, sizeof(config_fetch_result) },
	{ (xdrproc_t)xdr_ledger_head, sizeof(ledger_head) },
	{ (xdrproc_t)xdr_ledger_segment, sizeof(ledger_segment) },
	{ (xdrproc_t)xdr_ledger_index, sizeof(ledger_index) },
	{ (xdrproc_t)xdr_ledger_update_args, sizeof(ledger_update_args) },
	{ (xdrproc_t)xdr_ledger_read_args, sizeof(ledger_read_args) },
	{ (xdrproc_t)xdr_ledger_result, sizeof(ledger_result) },
	{ (xdrproc_t)xdr_ledger_list_args, sizeof(ledger_list_args) },
	{ (xdrproc_t)xdr_ledger_list_result, sizeof(ledger_list_result) },
	/* At the end: the corpus names the types by their place. */
	{ (xdrproc_t)xdr_config_change, sizeof(config_change) },
	{ (xdrproc_t)xdr_store_call_args, sizeof(store_call_args) },
	{ (xdrproc_t)xdr_store_call_result, sizeof(store_call_result) },
	{ (xdrproc_t)xdr_store_job_args, sizeof(store_job_args) },
	{ (xdrproc_t)xdr_store_job_result, sizeof(store_job_result) },
	{ (xdrproc_t)xdr_runner_message, sizeof(runner_message) },
	{ (xdrproc_t)xdr_claim_data, sizeof(claim_data) },
	{ (xdrproc_t)xdr_chunk_pull_args, sizeof(chunk_pull_args) },
	{ (xdrproc_t)xdr_chunk_pull_result, sizeof(chunk_pull_result) },
	{ (xdrproc_t)xdr_chunk_done_args, sizeof(chunk_done_args) },
	{ (xdrproc_t)xdr_chunk_offer_args, sizeof(chunk_offer_args) },
};

static void decode_type(const xdr_type_t *type, char *data, size_t size)
{
	void *value = g_malloc0(type->size);
	XDR xdrs;

	xdrmem_create(&xdrs, data, (u_int)size, XDR_DECODE);
	type->decode(&xdrs, value);
	xdr_free(type->decode, value);
	xdr_destroy(&xdrs);
	g_free(value);
}

/* The first byte chooses the type. */
static void run_xdr(const uint8_t *data, size_t size)
{
	if (size > 0)
		decode_type(&xdr_types[data[0] % G_N_ELEMENTS(xdr_types)],
			    (char *)data + 1, size - 1);
}

static void run_rpc(const uint8_t *data, size_t size)
{
	struct evbuffer *input = evbuffer_new();
	char *record;
	size_t len;

	evbuffer_add(input, data, size);
	while (rpc_record_take(input, &record, &len) == 1) {
		rpc_call_header_t call;
		rpc_reply_header_t reply;
		XDR xdrs;

		xdrmem_create(&xdrs, record, (u_int)len, XDR_DECODE);
		rpc_call_decode(&xdrs, &call);
		xdr_destroy(&xdrs);
		xdrmem_create(&xdrs, record, (u_int)len, XDR_DECODE);
		rpc_reply_decode(&xdrs, &reply);
		xdr_destroy(&xdrs);
		g_free(record);
	}
	evbuffer_free(input);
}

/* No bytes can be authentic, as nobody who made them knows the key. */
static void run_auth(const uint8_t *data, size_t size)
{
	static const char secret[] = "a key that no input can know of at all";
	peer_key_t *key = peer_key_new(secret, strlen(secret), NULL);
	peer_datagram_t *datagram = peer_datagram_new(key, clock_system());
	rpc_auth_t auth = { .key = key, .server = "192.0.2.1:8082" };
	uint8_t mac[PEER_KEY_MAC_BYTES] = { 0 };
	char *record = g_memdup2(data, size);
	size_t len = size;
	uint64_t stamp;

	g_assert(!peer_datagram_open(datagram, "192.0.2.1:8082", record, &len,
				     &stamp));
	rpc_auth_hello_take(&auth, record, size);
	g_assert(!rpc_auth_verify_call(&auth, record, size, mac));
	g_assert(!rpc_auth_verify_reply(&auth, mac, record, size));
	g_free(record);
	peer_datagram_free(datagram);
	peer_key_free(key);
}

/* A key file. */
static void run_peer_key(const uint8_t *data, size_t size)
{
	GError *error = NULL;
	peer_key_t *key = peer_key_new((const char *)data, size, &error);

	g_assert((key == NULL) == (error != NULL));
	peer_key_free(key);
	g_clear_error(&error);
}

static void run_platform(const uint8_t *data, size_t size)
{
	object_listing_t listing = { 0 };
	GArray *vms = object_answer_vms((const char *)data, size, NULL);

	if (vms)
		object_vms_free(vms);
	if (object_answer_listing((const char *)data, size, &listing, NULL))
		object_entries_free(listing.entries);
}

static void append_events(const char *events, size_t len, void *user_data)
{
	const char *payload;
	size_t payload_len;
	size_t consumed;

	g_string_append_len(user_data, events, len);
	while (len > 0 && sse_next_payload(events, len, &payload, &payload_len,
					   &consumed)) {
		g_assert(consumed > 0 && consumed <= len);
		g_assert(payload >= events &&
			 payload + payload_len <= events + consumed);
		events += consumed;
		len -= consumed;
	}
}

static bool feed_in_pieces(const uint8_t *data, size_t size, size_t piece,
			   GString *out)
{
	sse_t sse;
	bool whole;

	sse_init(&sse);
	for (size_t at = 0; at < size; at += piece)
		sse_feed(&sse, (const char *)data + at, MIN(piece, size - at),
			 append_events, out);
	whole = sse_is_complete(&sse);
	sse_clear(&sse);
	return whole;
}

/* How the network cuts a stream must not change what is read from it. */
static void run_sse(const uint8_t *data, size_t size)
{
	GString *at_once = g_string_new(NULL);
	GString *bytewise = g_string_new(NULL);
	bool whole = feed_in_pieces(data, size, MAX(size, 1), at_once);

	g_assert(feed_in_pieces(data, size, 1, bytewise) == whole);
	g_assert(g_string_equal(at_once, bytewise));
	g_string_free(at_once, TRUE);
	g_string_free(bytewise, TRUE);
}

static void run_completion(const uint8_t *data, size_t size)
{
	char *whole = completion_from_events((const char *)data, size);
	GString *events;

	if (whole) {
		completion_total_tokens(whole, strlen(whole));
		free(whole);
	}
	events = completion_to_events((const char *)data, size);
	if (events)
		g_string_free(events, TRUE);
}

static void run_item(const uint8_t *data, size_t size)
{
	item_t item;

	if (item_parse((const char *)data, size, &item, NULL))
		item_clear(&item);
}

/* Reads a file and returns its digest, or NULL when it is bad. */
static char *read_item_file(const uint8_t *data, size_t size, size_t piece)
{
	item_file_t *file = item_file_new();
	char *digest = NULL;
	GString *part;

	for (size_t at = 0; at < size;) {
		size_t taken = item_file_feed(file, (const char *)data + at,
					      MIN(piece, size - at));

		at += taken;
		part = item_file_take_part(file);
		if (part)
			g_string_free(part, TRUE);
		else if (taken == 0)
			break;
	}
	if (item_file_finish(file, NULL))
		digest = g_strdup(item_file_digest(file));
	while ((part = item_file_take_part(file)))
		g_string_free(part, TRUE);
	item_file_free(file);
	return digest;
}

/* How an upload is cut must not change what is read from it. */
static void run_item_file(const uint8_t *data, size_t size)
{
	char *at_once = read_item_file(data, size, MAX(size, 1));
	char *bytewise = read_item_file(data, size, 1);

	g_assert(g_strcmp0(at_once, bytewise) == 0);
	g_free(at_once);
	g_free(bytewise);
}

/* The first line is the Content-Type, the rest the body. */
static void run_multipart(const uint8_t *data, size_t size)
{
	const uint8_t *newline = memchr(data, '\n', size);
	char *content_type;
	const char *body;
	size_t len;
	GArray *fields;

	if (!newline)
		return;
	content_type = g_strndup((const char *)data, newline - data);
	body = (const char *)newline + 1;
	len = size - (newline + 1 - data);
	fields = multipart_parse(content_type, body, len, NULL);
	for (guint i = 0; fields && i < fields->len; i++) {
		const multipart_field_t *field =
			&g_array_index(fields, multipart_field_t, i);

		g_assert(field->data >= body &&
			 field->data + field->len <= body + len);
	}
	if (fields)
		multipart_free(fields);
	g_free(content_type);
}

static void run_result(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;
	result_t result;

	if (!result_parse(text, size, &result, NULL))
		return;
	g_assert(result.output >= text &&
		 result.output + result.output_len <= text + size);
	g_assert(result.errors >= text &&
		 result.errors + result.errors_len <= text + size);
}

static void run_job(const uint8_t *data, size_t size)
{
	job_t *job = job_decode((const char *)data, size, NULL);

	if (job)
		job_free(job);
}

static void run_ledger(const uint8_t *data, size_t size)
{
	static const ledger_options_t options = { 0 };
	ledger_t *ledger = ledger_new(&options);
	ledger_head head = { 0 };

	if (ledger_replay(ledger, data, size, &head, NULL))
		xdr_free((xdrproc_t)xdr_ledger_head, (char *)&head);
	ledger_free(ledger);
	ledger = ledger_new(&options);
	ledger_load_segment(ledger, 1, data, size, NULL);
	ledger_load_index(ledger, 1, data, size, NULL);
	ledger_free(ledger);
}

/* Edits that a peer sends, for a document of 64 bytes. */
static void run_edits(const uint8_t *data, size_t size)
{
	static const char old_text[] =
		"{\"partners\": {\"guild\": {\"limits\": {\"max_concurrent\": 4}}}}  ";
	config_fetch_result result = { 0 };
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)data, (u_int)size, XDR_DECODE);
	if (xdr_config_fetch_result(&xdrs, &result)) {
		guint count = result.edits.edits_len;
		document_edit_t *edits = g_new0(document_edit_t, count + 1);
		GBytes *text;

		for (guint i = 0; i < count; i++) {
			const config_edit *edit = &result.edits.edits_val[i];

			edits[i].offset = edit->offset;
			edits[i].length = edit->length;
			edits[i].insert = edit->insert.insert_val;
			edits[i].insert_len = edit->insert.insert_len;
		}
		text = document_diff_apply(old_text, strlen(old_text), edits,
					   count, MAX_DOCUMENT_BYTES, NULL);
		if (text) {
			g_assert(g_bytes_get_size(text) <= MAX_DOCUMENT_BYTES);
			g_bytes_unref(text);
		}
		g_free(edits);
	}
	xdr_free((xdrproc_t)xdr_config_fetch_result, (char *)&result);
	xdr_destroy(&xdrs);
}

static void run_settings(const uint8_t *data, size_t size)
{
	settings_t settings;

	if (settings_parse((const char *)data, size, &settings, NULL))
		settings_clear(&settings);
}

/* The configuration, a runner's entry and a batch job's objects. */
static void run_store_object(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	GRand *random = g_rand_new_with_seed(1);
	const fleet_options_t options = { .clock = clock_system(),
					  .random = random,
					  .domain = "d" };
	fleet_t *fleet = fleet_new(&options);
	GPtrArray *items = g_ptr_array_new_with_free_func(job_item_free);
	GPtrArray *results = job_results_decode(text, strlen(text));
	GPtrArray *progress = job_progress_decode(text, strlen(text));

	path_table_unref(store_decode_paths(text, NULL));
	store_decode_runner("r", text, fleet);
	job_record_free(job_record_decode(text, strlen(text)));
	job_items_decode(text, strlen(text), items);
	if (results)
		g_ptr_array_unref(results);
	if (progress)
		g_ptr_array_unref(progress);
	g_ptr_array_unref(items);
	fleet_free(fleet);
	g_rand_free(random);
	g_free(text);
}

static void ignore_event(const char *raw, size_t raw_len, const char *data,
			 size_t data_len, void *user_data)
{
	g_assert(data_len <= raw_len);
}

static void run_event_reader(const uint8_t *data, size_t size)
{
	event_reader_t reader;
	size_t half = size / 2;

	event_reader_init(&reader, EVENT_READER_NONE);
	event_reader_feed(&reader, (const char *)data, half, ignore_event,
			  NULL);
	event_reader_feed(&reader, (const char *)data + half, size - half,
			  ignore_event, NULL);
	event_reader_clear(&reader);
}

static void run_part_report(const uint8_t *data, size_t size)
{
	counter_set_t *counters = counter_set_new();
	GRand *random = g_rand_new_with_seed(1);
	const part_guard_options_t options = { .clock = clock_system(),
					       .random = random,
					       .counters = counters };
	part_guard_t *guard = part_guard_new(&options);
	part_news_t news;

	if (part_report_decode((const char *)data, size,
			       part_guard_now_us(guard), &news)) {
		part_guard_apply(guard, &news);
		part_guard_tick(guard);
	}
	part_guard_free(guard);
	g_rand_free(random);
	counter_set_free(counters);
}

static uint32_t send_nothing(uint64_t stream, const char *data, size_t len,
			     void *user_data)
{
	return 0;
}

static void ignore_answer(uint64_t stream, uint64_t node, uint64_t version,
			  void *user_data)
{
}

static void run_origin_report(const uint8_t *data, size_t size)
{
	counter_set_t *counters = counter_set_new();
	const stream_origins_options_t options = { .clock = clock_system(),
						   .counters = counters,
						   .send = send_nothing,
						   .answered = ignore_answer };
	stream_origins_t *origins = stream_origins_new(&options);
	char answer[STREAM_ORIGIN_MAX_BYTES];

	if (stream_origin_is_report((const char *)data, size))
		stream_origins_apply(origins, 1, (const char *)data, size,
				     answer);
	stream_origins_expire(origins);
	stream_origins_free(origins);
	counter_set_free(counters);
}

static void run_load_report(const uint8_t *data, size_t size)
{
	GRand *random = g_rand_new_with_seed(1);
	const fleet_options_t options = { .clock = clock_system(),
					  .random = random,
					  .domain = "d" };
	fleet_t *fleet = fleet_new(&options);
	load_view_t *view = load_view_new(clock_system(), fleet, "n", "d", 1);

	load_view_apply(view, (char *)data, size);
	load_view_free(view);
	fleet_free(fleet);
	g_rand_free(random);
}

/* Takes bytes from the input; those that are missing are 0. */
typedef struct input {
	const uint8_t *data;
	size_t size;
} input_t;

static uint8_t take_byte(input_t *input)
{
	if (input->size == 0)
		return 0;
	input->size--;
	return *input->data++;
}

/* Takes a piece whose length stands before it, as a copy of the exact size. */
static uint8_t *take_piece(input_t *input, size_t *len)
{
	size_t wanted = (size_t)take_byte(input) << 8;
	uint8_t *piece;

	wanted |= take_byte(input);
	*len = MIN(wanted, input->size);
	piece = g_memdup2(input->data, *len);
	input->data += *len;
	input->size -= *len;
	return piece;
}

/* Several reports in a row, as of nodes that go on sending. */
static void run_load_reports(const uint8_t *data, size_t size)
{
	input_t input = { data, size };
	GRand *random = g_rand_new_with_seed(1);
	clock_manual_t clock;
	const fleet_options_t options = { .clock = &clock.base,
					  .random = random,
					  .domain = "d" };
	fleet_t *fleet;
	load_view_t *view;

	clock_manual_init(&clock, 0);
	fleet = fleet_new(&options);
	view = load_view_new(&clock.base, fleet, "n", "d", 1);
	while (input.size > 0) {
		size_t len;
		uint8_t *report;

		clock_manual_advance_ms(&clock, take_byte(&input) * 10);
		report = take_piece(&input, &len);
		load_view_apply(view, (char *)report, len);
		load_view_expire(view);
		g_free(report);
	}
	load_view_free(view);
	fleet_free(fleet);
	g_rand_free(random);
}

static void apply_part_report(part_guard_t *guard, input_t *input)
{
	part_news_t news;
	size_t len;
	uint8_t *report = take_piece(input, &len);

	if (part_report_decode((const char *)report, len,
			       part_guard_now_us(guard), &news))
		part_guard_apply(guard, &news);
	g_free(report);
}

static void lose_request(part_guard_t *guard, input_t *input)
{
	prompt_parts_t parts = { 0 };
	part_attempt_t attempt = { 0 };
	uint64_t runner = take_byte(input) % 4;
	part_loss_t loss = take_byte(input) % (PART_LOSS_ANSWERING + 1);

	prompt_parts_add(&parts, take_byte(input) % 4);
	prompt_parts_add_request(&parts, 4 + take_byte(input) % 4);
	attempt.sent_us = part_guard_now_us(guard) - take_byte(input) * 1000;
	attempt.answered = take_byte(input) % 2;
	part_guard_lost(guard, runner, &parts, loss, &attempt);
}

static void note_answer(part_guard_t *guard, input_t *input)
{
	int64_t sent_us = part_guard_now_us(guard) - take_byte(input) * 10000LL;
	uint64_t runner = take_byte(input) % 4;
	prompt_parts_t parts = { 0 };

	prompt_parts_add_request(&parts, 4 + take_byte(input) % 4);
	part_guard_output(guard, runner, sent_us);
	part_guard_seen(guard, runner, sent_us);
	part_guard_begun(guard, &parts);
	part_guard_completed(guard, &parts);
}

/* What a node sees of crashes, in turn with what others tell of them. */
static void run_part_guard(const uint8_t *data, size_t size)
{
	input_t input = { data, size };
	clock_manual_t clock;
	GRand *random = g_rand_new_with_seed(1);
	counter_set_t *counters = counter_set_new();
	const part_guard_options_t options = { .clock = &clock.base,
					       .random = random,
					       .counters = counters };
	part_guard_t *guard;
	part_news_t news;

	clock_manual_init(&clock, 0);
	clock_manual_advance_ms(&clock, 100000);
	guard = part_guard_new(&options);
	while (input.size > 0) {
		switch (take_byte(&input) % 5) {
		case 0:
			clock_manual_advance_ms(&clock, take_byte(&input) * 10);
			part_guard_tick(guard);
			break;
		case 1:
			lose_request(guard, &input);
			break;
		case 2:
			note_answer(guard, &input);
			break;
		case 3:
			apply_part_report(guard, &input);
			break;
		default:
			part_guard_take_news(guard, &news);
			part_guard_summary(guard, &news);
		}
	}
	part_guard_free(guard);
	counter_set_free(counters);
	g_rand_free(random);
}

/* A page of the store, of which the objects are found without decoding it. */
static void run_json_slice(const uint8_t *data, size_t size)
{
	const json_slice_t page = { (const char *)data, size };
	json_slice_t items;
	json_slice_t item = { 0 };
	json_slice_t value;

	json_slice_is_whole(page);
	json_slice_member(page, "as_of", &value);
	if (!json_slice_member(page, "items", &items))
		return;
	while (json_slice_next(items, &item)) {
		g_assert(item.text >= items.text);
		g_assert(item.text + item.len <= items.text + items.len);
		json_slice_member(item, "metadata", &value);
	}
}

static void run_job_timeline(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	char **lines = g_strsplit(text, "\n", -1);
	job_timeline_t *timeline = job_timeline_new("j");
	GString *out = g_string_new(NULL);

	for (char **line = lines; *line; line++)
		job_timeline_add(timeline, *line, out);
	job_timeline_end(timeline, out);
	g_string_free(out, TRUE);
	job_timeline_free(timeline);
	g_strfreev(lines);
	g_free(text);
}

const fuzz_target_t fuzz_targets[] = {
	{ "settings", run_settings },
	{ "store_object", run_store_object },
	{ "event_reader", run_event_reader },
	{ "load_report", run_load_report },
	{ "part_report", run_part_report },
	{ "origin_report", run_origin_report },
	{ "document", run_document },
	{ "xdr", run_xdr },
	{ "rpc", run_rpc },
	{ "auth", run_auth },
	{ "peer_key", run_peer_key },
	{ "platform", run_platform },
	{ "sse", run_sse },
	{ "completion", run_completion },
	{ "item", run_item },
	{ "item_file", run_item_file },
	{ "multipart", run_multipart },
	{ "result", run_result },
	{ "job", run_job },
	{ "ledger", run_ledger },
	{ "edits", run_edits },
	{ "load_reports", run_load_reports },
	{ "part_guard", run_part_guard },
	{ "json_slice", run_json_slice },
	{ "job_timeline", run_job_timeline },
	{ NULL, NULL },
};

const fuzz_target_t *fuzz_target_find(const char *name)
{
	for (const fuzz_target_t *t = fuzz_targets; t->name; t++)
		if (strcmp(t->name, name) == 0)
			return t;
	return NULL;
}
