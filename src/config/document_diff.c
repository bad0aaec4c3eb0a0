#include "config/document_diff.h"

#include <jansson.h>
#include <string.h>

#include "base/error.h"

/* A shorter copied range costs more in the message than the bytes do. */
#define MIN_COPY_BYTES 16

typedef struct piece {
	const char *text;
	size_t len;
} piece_t;

static guint piece_hash(const void *key)
{
	const piece_t *piece = key;
	guint hash = 2166136261U;

	for (size_t i = 0; i < piece->len; i++)
		hash = (hash ^ (guchar)piece->text[i]) * 16777619U;
	return hash;
}

static gboolean piece_equal(const void *a, const void *b)
{
	const piece_t *left = a;
	const piece_t *right = b;

	return left->len == right->len &&
	       memcmp(left->text, right->text, left->len) == 0;
}

/* A piece ends after a comma or a newline, in either style of JSON. */
static size_t piece_length(const char *text, const char *end)
{
	const char *c = text;

	while (c < end && *c != ',' && *c != '\n')
		c++;
	return (size_t)(c < end ? c + 1 - text : c - text);
}

/* Pieces that occur once, for finding where to copy from. */
static GHashTable *index_pieces(GArray *pieces)
{
	GHashTable *index = g_hash_table_new(piece_hash, piece_equal);

	for (guint i = 0; i < pieces->len; i++) {
		piece_t *piece = &g_array_index(pieces, piece_t, i);

		if (piece->len < 4)
			continue;
		if (g_hash_table_contains(index, piece))
			g_hash_table_insert(index, piece, NULL);
		else
			g_hash_table_insert(index, piece, piece);
	}
	return index;
}

static GArray *split_pieces(const char *text, const char *end)
{
	GArray *pieces = g_array_new(FALSE, FALSE, sizeof(piece_t));

	while (text < end) {
		piece_t piece = { text, piece_length(text, end) };

		g_array_append_val(pieces, piece);
		text += piece.len;
	}
	return pieces;
}

typedef struct edit_writer {
	GArray *edits;
	const char *old_text;
} edit_writer_t;

static void write_copy(edit_writer_t *writer, const char *from, size_t len)
{
	document_edit_t edit = {
		.offset = (uint32_t)(from - writer->old_text),
		.length = (uint32_t)len,
	};

	if (len > 0)
		g_array_append_val(writer->edits, edit);
}

static void write_insert(edit_writer_t *writer, const char *text, size_t len)
{
	document_edit_t *last;

	if (len == 0)
		return;
	if (writer->edits->len == 0)
		g_array_set_size(writer->edits, 1);
	last = &g_array_index(writer->edits, document_edit_t,
			      writer->edits->len - 1);
	/* Inserted ranges of one edit follow one another in the new text. */
	if (!last->insert)
		last->insert = text;
	last->insert_len += (uint32_t)len;
}

/* Matches the middles, after the common prefix and before the suffix. */
static void write_middle(edit_writer_t *writer, const char *old_start,
			 const char *old_end, const char *text, const char *end)
{
	GArray *pieces = split_pieces(old_start, old_end);
	GHashTable *index = index_pieces(pieces);

	while (text < end) {
		piece_t piece = { text, piece_length(text, end) };
		const piece_t *match = g_hash_table_lookup(index, &piece);
		size_t len = 0;

		if (match)
			while (text + len < end &&
			       match->text + len < old_end &&
			       text[len] == match->text[len])
				len++;
		if (len >= MIN_COPY_BYTES) {
			write_copy(writer, match->text, len);
			text += len;
		} else {
			write_insert(writer, text, piece.len);
			text += piece.len;
		}
	}
	g_hash_table_destroy(index);
	g_array_free(pieces, TRUE);
}

GArray *document_diff_edits(const char *old_text, size_t old_len,
			    const char *new_text, size_t new_len)
{
	size_t shorter = MIN(old_len, new_len);
	size_t prefix = 0, suffix = 0;
	edit_writer_t writer = {
		.edits = g_array_new(FALSE, TRUE, sizeof(document_edit_t)),
		.old_text = old_text,
	};

	while (prefix < shorter && old_text[prefix] == new_text[prefix])
		prefix++;
	while (suffix < shorter - prefix &&
	       old_text[old_len - 1 - suffix] == new_text[new_len - 1 - suffix])
		suffix++;
	write_copy(&writer, old_text, prefix);
	write_middle(&writer, old_text + prefix, old_text + old_len - suffix,
		     new_text + prefix, new_text + new_len - suffix);
	write_copy(&writer, old_text + old_len - suffix, suffix);
	return writer.edits;
}

GBytes *document_diff_apply(const char *old_text, size_t old_len,
			    const document_edit_t *edits, guint count,
			    size_t max_bytes, GError **error)
{
	GByteArray *out = g_byte_array_new();
	gboolean ok = TRUE;

	for (guint i = 0; ok && i < count; i++) {
		const document_edit_t *edit = &edits[i];

		ok = edit->offset <= old_len &&
		     edit->length <= old_len - edit->offset &&
		     (size_t)edit->length + edit->insert_len <=
			     max_bytes - out->len;
		if (!ok)
			break;
		if (edit->length > 0)
			g_byte_array_append(
				out, (const guint8 *)old_text + edit->offset,
				edit->length);
		if (edit->insert_len > 0)
			g_byte_array_append(out, (const guint8 *)edit->insert,
					    edit->insert_len);
	}
	if (ok)
		return g_byte_array_free_to_bytes(out);
	g_byte_array_free(out, TRUE);
	g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
		    "the difference does not fit the document");
	return NULL;
}

static const char *element_name(const json_t *element)
{
	const char *name = json_string_value(json_object_get(element, "name"));

	return name ? name :
		      json_string_value(json_object_get(element, "path"));
}

static void add_value(GHashTable *values, char *path, const json_t *value)
{
	char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

	g_hash_table_insert(values, path, g_strdup(text ? text : ""));
	free(text);
}

/* Collects the leaves by path; an empty container is a leaf. */
static void flatten(GHashTable *values, const char *path, json_t *value)
{
	const char *key;
	json_t *member;
	size_t index;

	if (json_object_size(value) == 0 && json_array_size(value) == 0) {
		add_value(values, g_strdup(path), value);
		return;
	}
	json_object_foreach(value, key, member) {
		char *child = path[0] ? g_strconcat(path, ".", key, NULL) :
					g_strdup(key);

		flatten(values, child, member);
		g_free(child);
	}
	json_array_foreach(value, index, member) {
		const char *name = element_name(member);
		char *child = name ? g_strdup_printf("%s[%s]", path, name) :
				     g_strdup_printf("%s[%zu]", path, index);

		flatten(values, child, member);
		g_free(child);
	}
}

static GHashTable *flatten_text(const char *text, size_t len, GError **error)
{
	json_error_t json_error;
	json_t *root =
		json_loadb(text, len, JSON_REJECT_DUPLICATES, &json_error);
	GHashTable *values;

	if (!root) {
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID, "line %d: %s",
			    json_error.line, json_error.text);
		return NULL;
	}
	values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	flatten(values, "", root);
	json_decref(root);
	return values;
}

static void add_lines(GPtrArray *lines, GHashTable *values, GHashTable *others,
		      char sign)
{
	GHashTableIter iter;
	void *path, *value;

	g_hash_table_iter_init(&iter, values);
	while (g_hash_table_iter_next(&iter, &path, &value)) {
		const char *other = g_hash_table_lookup(others, path);

		if (!other || strcmp(other, value) != 0)
			g_ptr_array_add(lines,
					g_strdup_printf("%c %s = %s", sign,
							(char *)path,
							(char *)value));
	}
}

/* By path; the old value before the new one. */
static int compare_lines(const void *a, const void *b)
{
	const char *left = *(const char *const *)a;
	const char *right = *(const char *const *)b;
	size_t left_len = (size_t)(strstr(left, " = ") - left);
	size_t right_len = (size_t)(strstr(right, " = ") - right);
	int order = strncmp(left + 2, right + 2, MIN(left_len, right_len) - 2);

	if (order == 0 && left_len != right_len)
		return left_len < right_len ? -1 : 1;
	return order ? order : (left[0] == '-' ? -1 : 1);
}

GPtrArray *document_diff_lines(const char *old_text, size_t old_len,
			       const char *new_text, size_t new_len,
			       GError **error)
{
	GHashTable *old_values = flatten_text(old_text, old_len, error);
	GHashTable *new_values =
		old_values ? flatten_text(new_text, new_len, error) : NULL;
	GPtrArray *lines = NULL;

	if (new_values) {
		lines = g_ptr_array_new_with_free_func(g_free);
		add_lines(lines, old_values, new_values, '-');
		add_lines(lines, new_values, old_values, '+');
		g_ptr_array_sort(lines, compare_lines);
	}
	if (old_values)
		g_hash_table_destroy(old_values);
	if (new_values)
		g_hash_table_destroy(new_values);
	return lines;
}
