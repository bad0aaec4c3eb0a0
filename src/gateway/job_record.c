#include "gateway/job_record.h"

#include <jansson.h>
#include <string.h>

/* Of an item's index and the state of its result. */
#define NUMBERS_TEXT_BYTES 32
/* The members of an item beside its body, target and headers. */
#define ITEM_OVERHEAD_BYTES 1024
/* Of a string in a list: its allocation and the pointer. */
#define STRING_OVERHEAD_BYTES 48
/* Of a token, beside letters and digits. */
#define TOKEN_MARKS "!#$%&'*+-.^_`|~"

static char *dump(json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);
	char *copy = g_strdup(text);

	free(text);
	json_decref(value);
	return copy;
}

static char *string_member(const json_t *object, const char *name)
{
	const char *value = json_string_value(json_object_get(object, name));

	return g_strdup(value ? value : "");
}

static int64_t integer_member(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static void segment_free(void *data)
{
	job_segment_t *segment = data;

	g_array_free(segment->items, TRUE);
	g_free(segment->digest);
	g_free(segment->key);
	g_free(segment);
}

job_record_t *job_record_new(void)
{
	job_record_t *record = g_new0(job_record_t, 1);

	record->segments = g_ptr_array_new_with_free_func(segment_free);
	return record;
}

void job_record_free(job_record_t *record)
{
	if (!record)
		return;
	g_ptr_array_free(record->segments, TRUE);
	g_free(record->host);
	g_free(record->path);
	g_free(record->owner);
	g_free(record->instance);
	g_free(record->progress);
	g_free(record);
}

job_record_t *job_record_copy(const job_record_t *record)
{
	job_record_t *copy = job_record_new();
	GPtrArray *segments = copy->segments;

	*copy = *record;
	copy->host = g_strdup(record->host);
	copy->path = g_strdup(record->path);
	copy->owner = g_strdup(record->owner);
	copy->instance = g_strdup(record->instance);
	copy->progress = g_strdup(record->progress);
	copy->segments = segments;
	for (guint i = 0; i < record->segments->len; i++) {
		const job_segment_t *segment = record->segments->pdata[i];

		job_record_add_segment(copy, segment->key, segment->digest,
				       (uint32_t *)segment->items->data,
				       segment->items->len);
	}
	return copy;
}

void job_record_add_segment(job_record_t *record, const char *key,
			    const char *digest, const uint32_t *items,
			    uint32_t count)
{
	job_segment_t *segment = g_new0(job_segment_t, 1);

	segment->key = g_strdup(key);
	segment->digest = g_strdup(digest ? digest : "");
	segment->items = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_array_append_vals(segment->items, items, count);
	g_ptr_array_add(record->segments, segment);
}

static json_t *encode_segment(const job_segment_t *segment)
{
	json_t *items = json_array();

	for (guint i = 0; i < segment->items->len; i++)
		json_array_append_new(items,
				      json_integer(g_array_index(segment->items,
								 uint32_t, i)));
	return json_pack("{s:s, s:s, s:o}", "key", segment->key, "digest",
			 segment->digest, "items", items);
}

char *job_record_encode(const job_record_t *record)
{
	json_t *segments = json_array();

	for (guint i = 0; i < record->segments->len; i++)
		json_array_append_new(
			segments, encode_segment(record->segments->pdata[i]));
	return dump(json_pack(
		"{s:i, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:I, s:I, s:b, "
		"s:s, s:o}",
		"format", JOB_RECORD_FORMAT, "host", record->host, "path",
		record->path, "owner", record->owner, "instance",
		record->instance, "epoch", (int)record->epoch, "beat",
		(int)record->beat, "items", (int)record->items, "parts",
		(int)record->payload_parts, "submitted_ms",
		(json_int_t)record->submitted_ms, "waiting_tokens",
		(json_int_t)record->waiting_tokens, "ended", (int)record->ended,
		"progress", record->progress ? record->progress : "",
		"segments", segments));
}

static void decode_segment(job_record_t *record, const json_t *item)
{
	char *key = string_member(item, "key");
	char *digest = string_member(item, "digest");
	GArray *items = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	size_t index;
	json_t *number;

	json_array_foreach(json_object_get(item, "items"), index, number) {
		uint32_t value = (uint32_t)json_integer_value(number);

		g_array_append_val(items, value);
	}
	job_record_add_segment(record, key, digest, (uint32_t *)items->data,
			       items->len);
	g_array_free(items, TRUE);
	g_free(digest);
	g_free(key);
}

job_record_t *job_record_decode(const char *text, size_t len)
{
	json_t *root = text ? json_loadb(text, len, 0, NULL) : NULL;
	job_record_t *record = NULL;
	size_t index;
	json_t *item;

	if (integer_member(root, "format") <= JOB_RECORD_FORMAT &&
	    json_is_string(json_object_get(root, "owner")) &&
	    json_is_integer(json_object_get(root, "items"))) {
		record = job_record_new();
		record->host = string_member(root, "host");
		record->path = string_member(root, "path");
		record->owner = string_member(root, "owner");
		record->instance = string_member(root, "instance");
		record->epoch = (uint32_t)integer_member(root, "epoch");
		record->beat = (uint32_t)integer_member(root, "beat");
		record->items = (uint32_t)integer_member(root, "items");
		record->payload_parts = (uint32_t)integer_member(root, "parts");
		record->submitted_ms = integer_member(root, "submitted_ms");
		record->waiting_tokens = integer_member(root, "waiting_tokens");
		record->ended = json_is_true(json_object_get(root, "ended"));
		record->progress = string_member(root, "progress");
		json_array_foreach(json_object_get(root, "segments"), index,
				   item)
			decode_segment(record, item);
	}
	json_decref(root);
	return record;
}

const job_segment_t *job_record_find_segment(const job_record_t *record,
					     const char *key)
{
	for (guint i = 0; i < record->segments->len; i++) {
		const job_segment_t *segment = record->segments->pdata[i];

		if (strcmp(segment->key, key) == 0)
			return segment;
	}
	return NULL;
}

uint32_t job_record_results(const job_record_t *record)
{
	uint32_t count = 0;

	for (guint i = 0; i < record->segments->len; i++)
		count += ((job_segment_t *)record->segments->pdata[i])
				 ->items->len;
	return count;
}

bool job_record_has_item(const job_record_t *record, uint32_t item)
{
	for (guint i = 0; i < record->segments->len; i++) {
		const GArray *items =
			((job_segment_t *)record->segments->pdata[i])->items;

		for (guint j = 0; j < items->len; j++)
			if (g_array_index(items, uint32_t, j) == item)
				return true;
	}
	return false;
}

bool job_record_is_closed(const job_record_t *record)
{
	return record->ended || job_record_results(record) >= record->items;
}

bool job_record_is_unchanged(const job_record_t *record)
{
	return record->epoch == JOB_RECORD_FIRST_EPOCH && record->beat == 0 &&
	       !job_record_is_closed(record) && record->segments->len == 0;
}

job_item_t *job_item_new(void)
{
	job_item_t *item = g_new0(job_item_t, 1);

	item->headers = g_ptr_array_new_with_free_func(g_free);
	return item;
}

static bool is_target(const char *text)
{
	if (!text || *text != '/')
		return false;
	for (; *text; text++)
		if (!g_ascii_isgraph(*text) && (uint8_t)*text < 0x80)
			return false;
	return true;
}

/* RFC 9110, section 5.6.2 */
static bool is_token(const char *text)
{
	if (!text || !*text)
		return false;
	for (; *text; text++)
		if (!g_ascii_isalnum(*text) && !strchr(TOKEN_MARKS, *text))
			return false;
	return true;
}

static bool is_field_value(const char *text)
{
	if (!text)
		return false;
	for (; *text; text++)
		if (g_ascii_iscntrl(*text) && *text != '\t')
			return false;
	return true;
}

/* A receiver drops the spaces around a value. */
static bool is_id(const char *text)
{
	return is_field_value(text) && *text && !g_ascii_isspace(*text) &&
	       !g_ascii_isspace(text[strlen(text) - 1]);
}

bool job_item_is_sendable(const job_item_t *item)
{
	if (!is_id(item->id) || !is_target(item->target))
		return false;
	for (guint i = 0; i + 1 < item->headers->len; i += 2)
		if (!is_token(item->headers->pdata[i]) ||
		    !is_field_value(item->headers->pdata[i + 1]))
			return false;
	return true;
}

void job_item_free(void *data)
{
	job_item_t *item = data;

	g_ptr_array_unref(item->headers);
	if (item->body)
		g_bytes_unref(item->body);
	g_free(item->id);
	g_free(item->target);
	g_free(item);
}

size_t job_item_bytes(const job_item_t *item)
{
	size_t bytes = sizeof(*item) + ITEM_OVERHEAD_BYTES +
		       g_bytes_get_size(item->body) + strlen(item->target);

	for (guint i = 0; i < item->headers->len; i++)
		bytes +=
			strlen(item->headers->pdata[i]) + STRING_OVERHEAD_BYTES;
	return bytes;
}

size_t job_item_text_bytes(const job_item_t *item)
{
	size_t bytes = ITEM_OVERHEAD_BYTES +
		       g_bytes_get_size(item->body) * 4 / 3 +
		       strlen(item->target);

	for (guint i = 0; i < item->headers->len; i++)
		bytes +=
			job_result_text_bytes(item->headers->pdata[i],
					      strlen(item->headers->pdata[i])) +
			strlen("\"\",");
	return bytes;
}

uint64_t job_items_bytes(const GPtrArray *items)
{
	uint64_t bytes = 0;

	for (guint i = 0; i < items->len; i++)
		bytes += job_item_bytes(items->pdata[i]);
	return bytes;
}

static json_t *encode_item(const job_item_t *item)
{
	json_t *headers = json_array();
	gsize len;
	const void *body = g_bytes_get_data(item->body, &len);
	char *text = g_base64_encode(body, len);
	json_t *value;

	for (guint i = 0; i < item->headers->len; i++)
		json_array_append_new(headers,
				      json_string(item->headers->pdata[i]));
	value = json_pack("{s:s, s:s, s:o, s:s, s:I}", "id", item->id, "target",
			  item->target, "headers", headers, "body", text,
			  "tokens", (json_int_t)item->tokens);
	g_free(text);
	return value;
}

char *job_items_encode(const GPtrArray *items, guint first, guint count)
{
	json_t *array = json_array();

	for (guint i = first; i < first + count; i++)
		json_array_append_new(array, encode_item(items->pdata[i]));
	return dump(array);
}

static job_item_t *decode_item(const json_t *value)
{
	const char *body = json_string_value(json_object_get(value, "body"));
	job_item_t *item = job_item_new();
	size_t index;
	json_t *header;
	gsize len = 0;
	guchar *bytes = g_base64_decode(body ? body : "", &len);

	item->id = string_member(value, "id");
	item->target = string_member(value, "target");
	item->tokens = integer_member(value, "tokens");
	item->body = g_bytes_new_take(bytes, len);
	json_array_foreach(json_object_get(value, "headers"), index, header)
		g_ptr_array_add(item->headers,
				g_strdup(json_string_value(header)));
	return item;
}

bool job_items_decode(const char *text, size_t len, GPtrArray *items)
{
	json_t *root = text ? json_loadb(text, len, 0, NULL) : NULL;
	bool readable = json_is_array(root);
	size_t index;
	json_t *value;

	json_array_foreach(root, index, value)
		g_ptr_array_add(items, decode_item(value));
	json_decref(root);
	return readable;
}

size_t job_result_text_bytes(const char *text, size_t len)
{
	size_t bytes = len;

	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)text[i];

		if (c == '"' || c == '\\')
			bytes++;
		else if (c < 0x20) /* at most \u0000 */
			bytes += 5;
	}
	return bytes;
}

void job_result_free(void *data)
{
	job_result_t *result = data;

	g_free(result->id);
	g_free(result->text);
	g_free(result);
}

char *job_results_encode(const GPtrArray *results)
{
	json_t *array = json_array();

	for (guint i = 0; i < results->len; i++) {
		const job_result_t *result = results->pdata[i];

		json_array_append_new(
			array,
			json_pack("{s:i, s:s, s:i, s:s}", "item",
				  (int)result->item, "id", result->id, "state",
				  (int)result->state, "text", result->text));
	}
	return dump(array);
}

GPtrArray *job_results_decode(const char *text, size_t len)
{
	json_t *root = text ? json_loadb(text, len, 0, NULL) : NULL;
	GPtrArray *results = NULL;
	size_t index;
	json_t *value;

	if (json_is_array(root))
		results = g_ptr_array_new_with_free_func(job_result_free);
	json_array_foreach(root, index, value) {
		job_result_t *result = g_new0(job_result_t, 1);

		result->item = (uint32_t)integer_member(value, "item");
		result->state =
			(job_result_state_t)integer_member(value, "state");
		result->id = string_member(value, "id");
		result->text = string_member(value, "text");
		g_ptr_array_add(results, result);
	}
	json_decref(root);
	return results;
}

static bool is_same_result(const job_result_t *a, const job_result_t *b)
{
	return a->item == b->item && a->state == b->state &&
	       strcmp(a->id, b->id) == 0 && strcmp(a->text, b->text) == 0;
}

bool job_results_equal(const GPtrArray *results, const char *text, size_t len)
{
	GPtrArray *stored = job_results_decode(text, len);
	bool equal = stored && stored->len == results->len;

	for (guint i = 0; equal && i < results->len; i++)
		equal = is_same_result(results->pdata[i], stored->pdata[i]);
	if (stored)
		g_ptr_array_unref(stored);
	return equal;
}

static void add_text(GChecksum *checksum, const char *text)
{
	/* The zero byte separates it from what follows. */
	g_checksum_update(checksum, (const guchar *)text,
			  (gssize)strlen(text) + 1);
}

char *job_results_digest(const GPtrArray *results)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	char *digest;

	for (guint i = 0; i < results->len; i++) {
		const job_result_t *result = results->pdata[i];
		char head[NUMBERS_TEXT_BYTES];

		g_snprintf(head, sizeof(head), "%u %d", result->item,
			   (int)result->state);
		add_text(checksum, head);
		add_text(checksum, result->id);
		add_text(checksum, result->text);
	}
	digest = g_strdup(g_checksum_get_string(checksum));
	g_checksum_free(checksum);
	return digest;
}

static bool has_digest(const job_segment_t *segment, const char *digest)
{
	return !*segment->digest || !digest || !*digest ||
	       strcmp(segment->digest, digest) == 0;
}

bool job_segment_has_results(const job_segment_t *segment,
			     const GPtrArray *results, const char *digest)
{
	if (results->len != segment->items->len || !has_digest(segment, digest))
		return false;
	for (guint i = 0; i < results->len; i++)
		if (((job_result_t *)results->pdata[i])->item !=
		    g_array_index(segment->items, uint32_t, i))
			return false;
	return true;
}
