#include "config/field_line.h"

#include <stdarg.h>
#include <string.h>

#include "unit.h"

/* The steps end with NULL. */
static int find(const char *text, ...) __attribute__((sentinel));

static int find(const char *text, ...)
{
	GPtrArray *path = g_ptr_array_new();
	va_list args;
	char *step;
	int line;

	va_start(args, text);
	while ((step = va_arg(args, char *)))
		g_ptr_array_add(path, step);
	va_end(args);
	line = field_line_find(text, strlen(text), path);
	g_ptr_array_free(path, TRUE);
	return line;
}

static const char text[] = "\n"
			   "{\"a\": {\"b\": [1, \"x]}\\\"\",\n"
			   "  {\"c\": null,\n"
			   "   \"d\"\n"
			   "    : true}]},\n"
			   " \"q\\u0061\": -1.5e3, \"\": {},\n"
			   " \"b\": [[], [\n"
			   "  2]]}\n";

static void test_values(void)
{
	CU_ASSERT_EQUAL(find(text, NULL), 2);
	CU_ASSERT_EQUAL(find(text, "a", NULL), 2);
	CU_ASSERT_EQUAL(find(text, "a", "b", "1", NULL), 2);
	CU_ASSERT_EQUAL(find(text, "a", "b", "2", NULL), 3);
	CU_ASSERT_EQUAL(find(text, "a", "b", "2", "c", NULL), 3);
	CU_ASSERT_EQUAL(find(text, "a", "b", "2", "d", NULL), 5);
	CU_ASSERT_EQUAL(find(text, "qa", NULL), 6);
	CU_ASSERT_EQUAL(find(text, "", NULL), 6);
	CU_ASSERT_EQUAL(find(text, "b", "1", NULL), 7);
	CU_ASSERT_EQUAL(find(text, "b", "1", "0", NULL), 8);
}

/* A missing value is reported at its container. */
static void test_missing(void)
{
	CU_ASSERT_EQUAL(find(text, "z", NULL), 2);
	CU_ASSERT_EQUAL(find(text, "a", "b", "2", "z", NULL), 3);
	CU_ASSERT_EQUAL(find(text, "b", "7", NULL), 7);
	CU_ASSERT_EQUAL(find(text, "qa", "z", NULL), 6);
}

/* The parser has refused broken texts before; still none may be overrun. */
static void test_broken(void)
{
	for (size_t len = 0; len <= strlen(text); len++) {
		char *cut = g_strndup(text, len);

		CU_ASSERT(find(cut, "b", "1", "0", NULL) >= 1);
		g_free(cut);
	}
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "values", test_values },
		{ "missing values", test_missing },
		{ "broken texts", test_broken },
		{ NULL, NULL },
	};

	return unit_run("field_line", tests);
}
