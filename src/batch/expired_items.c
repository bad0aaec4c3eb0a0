#include "batch/expired_items.h"

#include <string.h>

#include "batch/item_file.h"
#include "batch/result.h"

#define MESSAGE                                                            \
	"This request could not be executed before the completion window " \
	"expired."

struct unfinished {
	GByteArray *finished; /* one bit per item */
};

expired_items_t *expired_items_new(void)
{
	expired_items_t *unfinished = g_new0(expired_items_t, 1);

	unfinished->finished = g_byte_array_new();
	return unfinished;
}

void expired_items_free(expired_items_t *unfinished)
{
	if (!unfinished)
		return;
	g_byte_array_free(unfinished->finished, TRUE);
	g_free(unfinished);
}

static gboolean is_unfinished(const expired_items_t *unfinished, uint32_t item)
{
	return item / 8 >= unfinished->finished->len ||
	       !(unfinished->finished->data[item / 8] & 1 << item % 8);
}

void expired_items_exclude(expired_items_t *unfinished, uint32_t first,
			   uint32_t count)
{
	GByteArray *finished = unfinished->finished;
	guint old = finished->len;

	/* Bounds the allocation for a corrupt result object. */
	if (first >= ITEM_FILE_MAX_ITEMS || count > ITEM_FILE_MAX_ITEMS - first)
		return;
	if ((first + count + 7) / 8 > old) {
		g_byte_array_set_size(finished, (first + count + 7) / 8);
		memset(finished->data + old, 0, finished->len - old);
	}
	for (uint32_t i = first; i < first + count; i++)
		finished->data[i / 8] |= (guint8)(1 << i % 8);
}

gboolean expired_items_any(const expired_items_t *unfinished, uint32_t first,
			   uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		if (is_unfinished(unfinished, first + i))
			return TRUE;
	return FALSE;
}

static void append_line(GString *lines, const char *job, const char *text,
			size_t len, uint32_t number)
{
	item_t item;
	char *id;
	char *line;

	if (!item_parse(text, len, &item, NULL))
		return;
	id = g_strdup_printf("%s-%u", job, number);
	line = result_error_line(item.custom_id, id, "batch_expired", MESSAGE);
	g_string_append(lines, line);
	g_free(line);
	g_free(id);
	item_clear(&item);
}

GString *expired_items_error_lines(const expired_items_t *unfinished,
				   const char *job, const char *part,
				   size_t len, uint32_t first)
{
	GArray *index = item_index_new(part, len);
	GString *lines = g_string_new(NULL);

	for (uint32_t i = 0; i + 1 < index->len; i++) {
		size_t line_len;
		const char *line = item_index_line(index, part, i, &line_len);

		if (is_unfinished(unfinished, first + i))
			append_line(lines, job, line, line_len, first + i);
	}
	g_array_free(index, TRUE);
	return lines;
}
