#include "batch/item_file.h"

#include <string.h>

#include "base/error.h"
#include "unit.h"

#define LINE                                                          \
	"{\"custom_id\":\"i%u\",\"method\":\"POST\","                 \
	"\"url\":\"/v1/chat/completions\",\"body\":{\"model\":\"m\"," \
	"\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}}\n"

/* Feeds text in pieces of the given size and joins the parts in stored. */
static gboolean feed_all(item_file_t *file, const GString *text, size_t piece,
			 GString *stored, GError **error)
{
	size_t offset = 0;
	GString *part;
	gboolean more = TRUE;

	while (more) {
		size_t len = MIN(piece, text->len - offset);
		gboolean ended = offset == text->len;

		if (!ended)
			offset += item_file_feed(file, text->str + offset, len);
		else if (!item_file_finish(file, error))
			return FALSE;
		part = item_file_take_part(file);
		more = !ended || part;
		if (!part)
			continue;
		CU_ASSERT(part->len <= ITEM_PART_MAX_BYTES);
		CU_ASSERT_EQUAL(part->str[part->len - 1], '\n');
		g_string_append_len(stored, part->str, (gssize)part->len);
		g_string_free(part, TRUE);
	}
	return TRUE;
}

/* Parts must contain every line once, wherever the pieces of the upload end. */
static void test_parts(void)
{
	static const size_t pieces[] = { 1000, 65536, 10000000 };
	char *long_text = g_strnfill(5000, 'x');
	GString *text = g_string_new(NULL);
	char *digest = NULL;

	for (uint32_t i = 0; i < 500; i++)
		g_string_append_printf(text, LINE, i, long_text);
	for (size_t i = 0; i < G_N_ELEMENTS(pieces); i++) {
		item_file_t *file = item_file_new();
		GString *stored = g_string_new(NULL);

		CU_ASSERT_TRUE(feed_all(file, text, pieces[i], stored, NULL));
		CU_ASSERT_TRUE(g_string_equal(stored, text));
		CU_ASSERT_EQUAL(item_file_items(file), 500);
		CU_ASSERT_EQUAL(item_file_bytes(file), text->len);
		CU_ASSERT_EQUAL(item_file_part_items(file)->len, 3);
		CU_ASSERT_STRING_EQUAL(item_file_model(file), "m");
		if (digest)
			CU_ASSERT_STRING_EQUAL(digest, item_file_digest(file));
		g_free(digest);
		digest = g_strdup(item_file_digest(file));
		g_string_free(stored, TRUE);
		item_file_free(file);
	}
	g_free(digest);
	g_string_free(text, TRUE);
	g_free(long_text);
}

static void check_refusal(const char *content, error_code_t code,
			  const char *expected)
{
	item_file_t *file = item_file_new();
	GString *text = g_string_new(content);
	GString *stored = g_string_new(NULL);
	GError *error = NULL;

	CU_ASSERT_FALSE(feed_all(file, text, 7, stored, &error));
	CU_ASSERT_PTR_NOT_NULL_FATAL(error);
	CU_ASSERT_EQUAL(error->code, (int)code);
	CU_ASSERT_PTR_NOT_NULL(strstr(error->message, expected));
	g_error_free(error);
	g_string_free(stored, TRUE);
	g_string_free(text, TRUE);
	item_file_free(file);
}

/* Errors must give the number of an invalid line, counting blank lines. */
static void test_bad_lines(void)
{
	GString *text = g_string_new("\n");

	g_string_append_printf(text, LINE, 1, "a");
	g_string_append(text, "{\"custom_id\":\n");
	check_refusal(text->str, WL_ERROR_INVALID, "line 3: not a JSON object");
	g_string_truncate(text, 1);
	g_string_append_printf(text, LINE, 1, "a");
	g_string_append_printf(text, LINE, 2, "a");
	g_string_append_printf(text, LINE, 1, "b");
	check_refusal(text->str, WL_ERROR_INVALID,
		      "line 4: 'custom_id' was used before");
	g_string_free(text, TRUE);
	check_refusal("{}", WL_ERROR_INVALID, "line 1: 'custom_id'");
	check_refusal("", WL_ERROR_INVALID, "no items");
	check_refusal("\r\n \n", WL_ERROR_INVALID, "no items");
}

/* A line above the limit must not grow the buffer further. */
static void test_long_line(void)
{
	char *text = g_strnfill(ITEM_LINE_MAX_BYTES + 1, 'x');

	check_refusal(text, WL_ERROR_TOO_LARGE, "line 1: longer");
	g_free(text);
}

static void test_index(void)
{
	static const char part[] = "ab\n\nc\n";
	GArray *index = item_index_new(part, strlen(part));
	size_t len = 9;

	CU_ASSERT_EQUAL(index->len, 4);
	CU_ASSERT_PTR_EQUAL(item_index_line(index, part, 2, &len), part + 4);
	CU_ASSERT_EQUAL(len, 1);
	item_index_line(index, part, 1, &len);
	CU_ASSERT_EQUAL(len, 0);
	CU_ASSERT_PTR_NULL(item_index_line(index, part, 3, &len));
	g_array_free(index, TRUE);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "parts", test_parts },
		{ "bad lines", test_bad_lines },
		{ "long line", test_long_line },
		{ "index of a part", test_index },
		{ NULL, NULL },
	};

	return unit_run("item_file", tests);
}
