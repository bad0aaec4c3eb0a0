#include "config/document_change.h"

#include <string.h>

#include "base/error.h"
#include "unit.h"

static document_version_t version_new(uint64_t number, const char *text)
{
	document_version_t version = { .version = number };

	version.data = g_bytes_new(text, strlen(text));
	document_version_digest(&version);
	return version;
}

static char *long_text(const char *end)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < 200; i++)
		g_string_append_printf(text, "\"workspace-%d\": 1,\n", i);
	g_string_append(text, end);
	return g_string_free(text, FALSE);
}

/* A change must lead to the next version's bytes, and to no other's. */
static void test_apply(void)
{
	char *old_text = long_text("old");
	char *new_text = long_text("new");
	document_version_t base = version_new(7, old_text);
	document_version_t to = version_new(9, new_text);
	document_version_t other = version_new(7, new_text);
	document_version_t later = version_new(8, old_text);
	GBytes *object = document_change_encode(&base, &to);
	GError *error = NULL;
	const void *data;
	GBytes *result;
	gsize len;

	CU_ASSERT_PTR_NOT_NULL_FATAL(object);
	data = g_bytes_get_data(object, &len);
	CU_ASSERT(len < strlen(new_text) / 4);
	result = document_change_apply(data, len, &base, 9, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(result);
	CU_ASSERT_TRUE(g_bytes_equal(result, to.data));
	CU_ASSERT_PTR_NULL(document_change_apply(data, len, &base, 10, &error));
	CU_ASSERT_TRUE(g_error_matches(error, WL_ERROR, WL_ERROR_CONFLICT));
	g_clear_error(&error);
	CU_ASSERT_PTR_NULL(document_change_apply(data, len, &other, 9, NULL));
	CU_ASSERT_PTR_NULL(document_change_apply(data, len, &later, 9, NULL));
	g_bytes_unref(result);
	g_bytes_unref(object);
	g_bytes_unref(base.data);
	g_bytes_unref(to.data);
	g_bytes_unref(other.data);
	g_bytes_unref(later.data);
	g_free(old_text);
	g_free(new_text);
}

/* Damage anywhere must not bring a wrong document into force. */
static void test_damaged(void)
{
	char *old_text = long_text("old");
	char *new_text = long_text("new");
	document_version_t base = version_new(7, old_text);
	document_version_t to = version_new(9, new_text);
	GBytes *object = document_change_encode(&base, &to);
	gsize len;
	const char *data = g_bytes_get_data(object, &len);
	char *copy = g_memdup2(data, len);
	GBytes *result;

	for (gsize i = 0; i < len; i++) {
		copy[i] = (char)(copy[i] ^ 1);
		result = document_change_apply(copy, len, &base, 9, NULL);
		CU_ASSERT(!result || g_bytes_equal(result, to.data));
		if (result)
			g_bytes_unref(result);
		copy[i] = data[i];
		CU_ASSERT_PTR_NULL(
			document_change_apply(copy, i, &base, 9, NULL));
	}
	g_free(copy);
	g_bytes_unref(object);
	g_bytes_unref(base.data);
	g_bytes_unref(to.data);
	g_free(old_text);
	g_free(new_text);
}

/* A change as large as the document saves nothing. */
static void test_too_large(void)
{
	document_version_t base = version_new(1, "abc");
	document_version_t to = version_new(2, "something else");

	CU_ASSERT_PTR_NULL(document_change_encode(&base, &to));
	g_bytes_unref(base.data);
	g_bytes_unref(to.data);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "apply", test_apply },
		{ "damaged", test_damaged },
		{ "too_large", test_too_large },
		{ NULL, NULL },
	};

	return unit_run("document_change", tests);
}
