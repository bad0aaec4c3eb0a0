#include "batch/item_file.h"

#include <string.h>

#include "base/error.h"

#define MAX_REPORTED_LINES 10
#define MAX_CUSTOM_ID_BYTES 512

typedef struct id_hash {
	uint64_t hash;
	uint32_t line;
} id_hash_t;

struct item_file {
	GString *line; /* start of a line whose end is not received yet */
	GString *part;
	GArray *part_items;
	GArray *ids; /* id_hash_t, to find duplicates at the end */
	GChecksum *checksum;
	GString *error_text;
	char *model;
	uint64_t bytes;
	uint32_t line_number;
	uint32_t items;
	uint32_t items_in_part;
	uint32_t bad_lines;
	gboolean too_large;
	gboolean part_ready;
	gboolean ended;
};

static gboolean set_invalid(GError **error, const char *message)
{
	g_set_error_literal(error, WL_ERROR, WL_ERROR_INVALID, message);
	return FALSE;
}

static gboolean check_members(json_t *root, GError **error)
{
	const char *custom_id =
		json_string_value(json_object_get(root, "custom_id"));
	const char *method = json_string_value(json_object_get(root, "method"));
	const char *url = json_string_value(json_object_get(root, "url"));
	json_t *body = json_object_get(root, "body");

	if (!custom_id || !*custom_id)
		return set_invalid(error, "'custom_id' is missing");
	if (strlen(custom_id) > MAX_CUSTOM_ID_BYTES)
		return set_invalid(error, "'custom_id' is too long");
	if (!method || strcmp(method, "POST") != 0)
		return set_invalid(error, "'method' is not POST");
	if (!url || strcmp(url, "/v1/chat/completions") != 0)
		return set_invalid(error, "'url' is not /v1/chat/completions");
	if (!json_is_object(body))
		return set_invalid(error, "'body' is not an object");
	if (!json_string_value(json_object_get(body, "model")))
		return set_invalid(error, "'body.model' is missing");
	if (!json_is_array(json_object_get(body, "messages")))
		return set_invalid(error, "'body.messages' is not an array");
	return TRUE;
}

gboolean item_parse(const char *line, size_t len, item_t *item, GError **error)
{
	json_t *root = json_loadb(line, len, JSON_REJECT_DUPLICATES, NULL);

	if (!json_is_object(root)) {
		json_decref(root);
		return set_invalid(error, "not a JSON object");
	}
	if (!check_members(root, error)) {
		json_decref(root);
		return FALSE;
	}
	item->custom_id =
		g_strdup(json_string_value(json_object_get(root, "custom_id")));
	item->body = json_incref(json_object_get(root, "body"));
	json_decref(root);
	return TRUE;
}

void item_clear(item_t *item)
{
	g_free(item->custom_id);
	json_decref(item->body);
	memset(item, 0, sizeof(*item));
}

item_file_t *item_file_new(void)
{
	item_file_t *file = g_new0(item_file_t, 1);

	file->line = g_string_new(NULL);
	file->part = g_string_new(NULL);
	file->part_items = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	file->ids = g_array_new(FALSE, FALSE, sizeof(id_hash_t));
	file->checksum = g_checksum_new(G_CHECKSUM_SHA256);
	file->error_text = g_string_new(NULL);
	return file;
}

void item_file_free(item_file_t *file)
{
	if (!file)
		return;
	g_string_free(file->line, TRUE);
	g_string_free(file->part, TRUE);
	g_array_free(file->part_items, TRUE);
	g_array_free(file->ids, TRUE);
	g_checksum_free(file->checksum);
	g_string_free(file->error_text, TRUE);
	g_free(file->model);
	g_free(file);
}

static void report_bad_line(item_file_t *file, uint32_t line,
			    const char *message)
{
	if (++file->bad_lines > MAX_REPORTED_LINES)
		return;
	g_string_append_printf(file->error_text, "%sline %u: %s",
			       file->error_text->len ? "; " : "", line,
			       message);
}

static uint64_t hash_id(const char *id)
{
	uint64_t hash = 0xcbf29ce484222325ULL;

	for (; *id; id++)
		hash = (hash ^ (uint8_t)*id) * 0x100000001b3ULL;
	return hash;
}

static void check_line(item_file_t *file, const char *line, size_t len)
{
	GError *error = NULL;
	item_t item;
	const char *model;
	id_hash_t id_entry;

	if (!item_parse(line, len, &item, &error)) {
		report_bad_line(file, file->line_number, error->message);
		g_error_free(error);
		return;
	}
	model = json_string_value(json_object_get(item.body, "model"));
	if (!file->model)
		file->model = g_strdup(model);
	else if (strcmp(file->model, model) != 0)
		report_bad_line(file, file->line_number,
				"'body.model' differs from the first line's");
	id_entry.hash = hash_id(item.custom_id);
	id_entry.line = file->line_number;
	g_array_append_val(file->ids, id_entry);
	item_clear(&item);
}

static gboolean is_blank(const char *line, size_t len)
{
	while (len > 0 && g_ascii_isspace(line[len - 1]))
		len--;
	return len == 0;
}

static void close_part(item_file_t *file)
{
	g_array_append_val(file->part_items, file->items_in_part);
	file->items_in_part = 0;
	file->part_ready = TRUE;
}

/* Returns FALSE when the line must wait until the part has been taken. */
static gboolean add_line(item_file_t *file, const char *line, size_t len)
{
	if (len > 0 && line[len - 1] == '\r')
		len--;
	if (!file->bad_lines && !is_blank(line, len) &&
	    file->part->len + len + 1 > ITEM_PART_MAX_BYTES) {
		close_part(file);
		return FALSE;
	}
	file->line_number++;
	if (is_blank(line, len))
		return TRUE;
	check_line(file, line, len);
	file->items++;
	if (file->bad_lines) {
		g_string_truncate(file->part, 0);
		return TRUE;
	}
	g_string_append_len(file->part, line, (gssize)len);
	g_string_append_c(file->part, '\n');
	g_checksum_update(file->checksum, (const guchar *)line, (gssize)len);
	g_checksum_update(file->checksum, (const guchar *)"\n", 1);
	file->bytes += len + 1;
	file->items_in_part++;
	return TRUE;
}

static void report_long_line(item_file_t *file)
{
	file->too_large = TRUE;
	report_bad_line(file, file->line_number + 1,
			"longer than the limit of 524288 bytes");
}

size_t item_file_feed(item_file_t *file, const char *data, size_t len)
{
	size_t taken = 0;

	while (taken < len && !file->part_ready && !file->too_large) {
		const char *start = data + taken;
		const char *end = memchr(start, '\n', len - taken);
		size_t piece = end ? (size_t)(end - start) : len - taken;

		if (file->line->len + piece > ITEM_LINE_MAX_BYTES) {
			report_long_line(file);
			break;
		}
		if (!end) {
			g_string_append_len(file->line, start, (gssize)piece);
			return len;
		}
		if (file->line->len == 0) {
			if (!add_line(file, start, piece))
				break;
		} else {
			size_t before = file->line->len;

			g_string_append_len(file->line, start, (gssize)piece);
			if (!add_line(file, file->line->str, file->line->len)) {
				g_string_truncate(file->line, before);
				break;
			}
			g_string_truncate(file->line, 0);
		}
		taken += piece + 1;
	}
	/* After a line above the limit the remaining bytes are ignored. */
	return file->too_large ? len : taken;
}

static int compare_id_hashes(const void *a, const void *b)
{
	const id_hash_t *left = a;
	const id_hash_t *right = b;

	if (left->hash != right->hash)
		return left->hash < right->hash ? -1 : 1;
	return left->line < right->line ? -1 : left->line > right->line;
}

static void check_duplicates(item_file_t *file)
{
	g_array_sort(file->ids, compare_id_hashes);
	for (guint i = 1; i < file->ids->len; i++) {
		const id_hash_t *id_entry =
			&g_array_index(file->ids, id_hash_t, i);

		if (id_entry->hash == id_entry[-1].hash)
			report_bad_line(file, id_entry->line,
					"'custom_id' was used before");
	}
}

gboolean item_file_finish(item_file_t *file, GError **error)
{
	if (file->part_ready)
		return TRUE;
	if (!file->ended && file->line->len > 0 && !file->too_large &&
	    !add_line(file, file->line->str, file->line->len))
		return TRUE;
	if (!file->ended) {
		file->ended = TRUE;
		check_duplicates(file);
	}
	if (file->bad_lines) {
		g_set_error(
			error, WL_ERROR,
			file->too_large ? WL_ERROR_TOO_LARGE : WL_ERROR_INVALID,
			"%s%s", file->error_text->str,
			file->bad_lines > MAX_REPORTED_LINES ? "; and more" :
							       "");
		return FALSE;
	}
	if (file->items == 0)
		return set_invalid(error, "the file has no items");
	if (file->items > ITEM_FILE_MAX_ITEMS) {
		g_set_error_literal(error, WL_ERROR, WL_ERROR_TOO_LARGE,
				    "the file has too many items");
		return FALSE;
	}
	if (file->items_in_part > 0)
		close_part(file);
	return TRUE;
}

gboolean item_file_is_bad(const item_file_t *file)
{
	return file->bad_lines > 0;
}

GString *item_file_take_part(item_file_t *file)
{
	GString *part = file->part;

	if (!file->part_ready)
		return NULL;
	file->part_ready = FALSE;
	file->part = g_string_new(NULL);
	return part;
}

const char *item_file_model(const item_file_t *file)
{
	return file->model;
}

const char *item_file_digest(item_file_t *file)
{
	return g_checksum_get_string(file->checksum);
}

const GArray *item_file_part_items(const item_file_t *file)
{
	return file->part_items;
}

uint64_t item_file_bytes(const item_file_t *file)
{
	return file->bytes;
}

uint32_t item_file_items(const item_file_t *file)
{
	return file->items;
}

GArray *item_index_new(const char *part, size_t len)
{
	GArray *index = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	uint32_t offset = 0;

	g_array_append_val(index, offset);
	while (offset < len) {
		const char *end = memchr(part + offset, '\n', len - offset);

		offset = end ? (uint32_t)(end - part) + 1 : (uint32_t)len + 1;
		g_array_append_val(index, offset);
	}
	return index;
}

const char *item_index_line(const GArray *index, const char *part,
			    uint32_t line, size_t *len)
{
	uint32_t start;

	if (line + 1 >= index->len)
		return NULL;
	start = g_array_index(index, uint32_t, line);
	*len = g_array_index(index, uint32_t, line + 1) - start - 1;
	return part + start;
}
