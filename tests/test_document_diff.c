#include "config/document_diff.h"

#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "unit.h"

static void check_lines(const char *old_text, const char *new_text,
			const char *expected)
{
	GPtrArray *lines = document_diff_lines(
		old_text, strlen(old_text), new_text, strlen(new_text), NULL);
	char *joined;

	CU_ASSERT_FATAL(lines != NULL);
	g_ptr_array_add(lines, NULL);
	joined = g_strjoinv("\n", (char **)lines->pdata);
	CU_ASSERT_STRING_EQUAL(joined, expected);
	g_free(joined);
	g_ptr_array_free(lines, TRUE);
}

/* An operator must see each changed value with its path, old before new. */
static void test_lines(void)
{
	check_lines("{\"a\":1,\"b\":{\"c\":[]}}",
		    "{ \"b\": {\"c\":[]}, \"a\":1}", "");
	check_lines("{\"a\":1,\"b\":{\"c\":2}}", "{\"a\":3,\"b\":{\"d\":2}}",
		    "- a = 1\n+ a = 3\n- b.c = 2\n+ b.d = 2");
	/* A caller inserted in front must not show all later ones changed. */
	check_lines("{\"callers\":[{\"name\":\"x\",\"n\":1}]}",
		    "{\"callers\":[{\"name\":\"w\"},{\"name\":\"x\",\"n\":1}]}",
		    "+ callers[w].name = \"w\"");
	check_lines("{\"l\":[1,2]}", "{\"l\":[1,3]}", "- l[1] = 2\n+ l[1] = 3");
}

static void test_lines_need_json(void)
{
	GError *error = NULL;

	CU_ASSERT_PTR_NULL(document_diff_lines("{", 1, "{}", 2, &error));
	CU_ASSERT(g_error_matches(error, WL_ERROR, WL_ERROR_INVALID));
	g_clear_error(&error);
}

static size_t round_trip(const char *old_text, size_t old_len,
			 const char *new_text, size_t new_len)
{
	GArray *edits =
		document_diff_edits(old_text, old_len, new_text, new_len);
	GBytes *bytes = document_diff_apply(
		old_text, old_len, (const document_edit_t *)edits->data,
		edits->len, new_len, NULL);
	size_t cost = 0, len = 0;
	const void *data;

	CU_ASSERT_FATAL(bytes != NULL);
	data = g_bytes_get_data(bytes, &len);
	CU_ASSERT_EQUAL(len, new_len);
	/* The data of no bytes may be NULL, which memcmp() must not get. */
	CU_ASSERT(new_len == 0 || memcmp(data, new_text, new_len) == 0);
	for (guint i = 0; i < edits->len; i++)
		cost += 12 +
			g_array_index(edits, document_edit_t, i).insert_len;
	g_bytes_unref(bytes);
	g_array_free(edits, TRUE);
	return cost;
}

/* Whatever the texts are, applying must restore the new bytes exactly. */
static void test_edits_restore_bytes(void)
{
	GRand *random = g_rand_new_with_seed(1);

	for (int i = 0; i < 3000; i++) {
		GString *texts[2];

		for (int t = 0; t < 2; t++) {
			int len = g_rand_int_range(random, 0, 200);

			texts[t] = g_string_new(NULL);
			for (int c = 0; c < len; c++)
				g_string_append_c(texts[t],
						  "ab,\n"[g_rand_int_range(
							  random, 0, 4)]);
		}
		/* Half of the texts share long runs. */
		if (i % 2)
			g_string_insert(texts[1], texts[1]->len / 2,
					texts[0]->str);
		round_trip(texts[0]->str, texts[0]->len, texts[1]->str,
			   texts[1]->len);
		g_string_free(texts[0], TRUE);
		g_string_free(texts[1], TRUE);
	}
	g_rand_free(random);
}

static char *workspaces(int count, int changed, const char *separator)
{
	GString *text = g_string_new("{");

	for (int i = 0; i < count; i++)
		g_string_append_printf(
			text, "\"workspace-%d\":{\"weight\":%d},%s", i,
			i == changed || i == changed + 5000, separator);
	g_string_append(text, "\"z\":{}}");
	return g_string_free(text, FALSE);
}

/* A small change of a large document must be a small message. */
static void test_edits_are_small(void)
{
	static const char *const separators[] = { "", "\n  " };

	for (int i = 0; i < 2; i++) {
		char *old_text = workspaces(10000, -1, separators[i]);
		char *new_text = workspaces(10000, 1000, separators[i]);

		CU_ASSERT(strlen(old_text) > 250000);
		CU_ASSERT(round_trip(old_text, strlen(old_text), new_text,
				     strlen(new_text)) < 300);
		g_free(old_text);
		g_free(new_text);
	}
}

/* A peer's broken difference must not read outside the document. */
static void test_apply_checks_ranges(void)
{
	static const document_edit_t bad[] = {
		{ 4, 1, NULL, 0 },	    { 0, 4, NULL, 0 },
		{ 2, UINT32_MAX, NULL, 0 }, { UINT32_MAX, 2, NULL, 0 },
		{ 0, 0, "0123456789", 10 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		GError *error = NULL;

		CU_ASSERT_PTR_NULL(
			document_diff_apply("abc", 3, &bad[i], 1, 8, &error));
		CU_ASSERT(g_error_matches(error, WL_ERROR, WL_ERROR_INVALID));
		g_clear_error(&error);
	}
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "lines", test_lines },
		{ "lines need JSON", test_lines_need_json },
		{ "edits restore the bytes", test_edits_restore_bytes },
		{ "edits are small", test_edits_are_small },
		{ "apply checks ranges", test_apply_checks_ranges },
		{ NULL, NULL },
	};

	return unit_run("document_diff", tests);
}
