#include "batch/result.h"

#include <string.h>

#include "unit.h"

/* Output and error lines must be read as they were written. */
static void test_round_trip(void)
{
	static const result_line_t lines[] = {
		{ "a\n", 2, FALSE },
		{ "bad\n", 4, TRUE },
		{ "c\n", 2, FALSE },
	};
	uint32_t taken;
	GBytes *object = result_build(512, lines, 3, &taken);
	size_t len;
	const char *data = g_bytes_get_data(object, &len);
	result_t result;

	CU_ASSERT_EQUAL(taken, 3);
	CU_ASSERT_TRUE_FATAL(result_parse(data, len, &result, NULL));
	CU_ASSERT_EQUAL(result.first, 512);
	CU_ASSERT_EQUAL(result.completed, 2);
	CU_ASSERT_EQUAL(result.failed, 1);
	CU_ASSERT_EQUAL(result.output_len, 4);
	CU_ASSERT_EQUAL(memcmp(result.output, "a\nc\n", 4), 0);
	CU_ASSERT_EQUAL(memcmp(result.errors, "bad\n", 4), 0);
	CU_ASSERT_FALSE(result_parse(data, len - 1, &result, NULL));
	g_bytes_unref(object);
}

/* An object above the store's limit could never be written. */
static void test_ends_early(void)
{
	char *text = g_strnfill(RESULT_LINE_MAX_BYTES, 'x');
	result_line_t lines[] = {
		{ text, RESULT_LINE_MAX_BYTES, FALSE },
		{ "a\n", 2, FALSE },
	};
	uint32_t taken;
	GBytes *object = result_build(0, lines, 2, &taken);

	CU_ASSERT_EQUAL(taken, 1);
	CU_ASSERT(g_bytes_get_size(object) <= RESULT_MAX_BYTES);
	g_bytes_unref(object);
	g_free(text);
}

static void test_keys(void)
{
	char *low = result_key("j", 9);
	char *high = result_key("j", 10000000);

	CU_ASSERT(strcmp(low, high) < 0);
	CU_ASSERT_EQUAL(result_key_first(low), 9);
	CU_ASSERT_EQUAL(result_key_first("result/j/x"), -1);
	CU_ASSERT_EQUAL(result_key_first("result"), -1);
	g_free(low);
	g_free(high);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "round trip", test_round_trip },
		{ "ends early", test_ends_early },
		{ "keys", test_keys },
		{ NULL, NULL },
	};

	return unit_run("result", tests);
}
