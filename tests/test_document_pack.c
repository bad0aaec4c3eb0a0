#include "config/document_pack.h"

#include <string.h>

#include "base/error.h"
#include "object/object_store.h"
#include "unit.h"

/* Lines that compress about as well as keys and names do. */
static GBytes *text_of(gsize bytes, uint32_t seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	GString *text = g_string_new("{");

	while (text->len < bytes)
		g_string_append_printf(text,
				       "\"name\": \"counter\", \"key\": "
				       "\"%08x%08x%08x%08x\",\n",
				       g_rand_int(random), g_rand_int(random),
				       g_rand_int(random), g_rand_int(random));
	g_string_truncate(text, bytes);
	g_rand_free(random);
	return g_string_free_to_bytes(text);
}

/* Documents must come back byte by byte, or their digests change. */
static void test_round_trip(void)
{
	static const gsize sizes[] = { 0, 1, OBJECT_MAX_BYTES,
				       OBJECT_MAX_BYTES + 1,
				       2 * OBJECT_MAX_BYTES };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		GBytes *text = text_of(sizes[i], 1);
		GBytes *stored = document_pack(text, NULL);
		GBytes *back;

		CU_ASSERT_PTR_NOT_NULL_FATAL(stored);
		CU_ASSERT(g_bytes_get_size(stored) <= OBJECT_MAX_BYTES);
		back = document_unpack(stored, NULL);
		CU_ASSERT_PTR_NOT_NULL_FATAL(back);
		CU_ASSERT_TRUE(g_bytes_equal(back, text));
		g_bytes_unref(back);
		g_bytes_unref(stored);
		g_bytes_unref(text);
	}
}

static void test_too_large(void)
{
	GBytes *text = text_of(DOCUMENT_MAX_BYTES + 1, 1);
	GError *error = NULL;

	CU_ASSERT_PTR_NULL(document_pack(text, &error));
	CU_ASSERT_TRUE(g_error_matches(error, WL_ERROR, WL_ERROR_TOO_LARGE));
	g_clear_error(&error);
	g_bytes_unref(text);
}

/* A small object may unpack to gigabytes; a cut one must not pass as whole. */
static void test_damaged(void)
{
	static guint8 zeros[DOCUMENT_MAX_BYTES];
	GBytes *text = g_bytes_new_static(zeros, sizeof(zeros));
	GBytes *stored = document_pack(text, NULL);
	gsize len = g_bytes_get_size(stored);
	GError *error = NULL;
	GBytes *cut = g_bytes_new_from_bytes(stored, 0, len - 9);
	GBytes *back = document_unpack(stored, NULL);

	CU_ASSERT_PTR_NOT_NULL(back);
	CU_ASSERT_PTR_NULL(document_unpack(cut, &error));
	CU_ASSERT_TRUE(g_error_matches(error, WL_ERROR, WL_ERROR_PROTOCOL));
	g_clear_error(&error);
	g_bytes_unref(back);
	g_bytes_unref(cut);
	g_bytes_unref(stored);
	g_bytes_unref(text);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "round_trip", test_round_trip },
		{ "too_large", test_too_large },
		{ "damaged", test_damaged },
		{ NULL, NULL },
	};

	return unit_run("document_pack", tests);
}
