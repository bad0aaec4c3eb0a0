#include "batch/unfinished.h"

#include <string.h>

#include "unit.h"

#define LINE(id)                                                           \
	"{\"custom_id\":\"" id "\",\"method\":\"POST\",\"url\":"           \
	"\"/v1/chat/completions\",\"body\":{\"model\":\"m\",\"messages\":" \
	"[{\"role\":\"user\",\"content\":\"x\"}]}}\n"

/* An item must have either a result or exactly one error line. */
static void test_lines(void)
{
	static const char part[] = LINE("a") LINE("b") LINE("c") LINE("d");
	unfinished_t *unfinished = unfinished_new();
	GString *lines;

	unfinished_remove(unfinished, 0, 101);
	unfinished_remove(unfinished, 102, 1);
	CU_ASSERT_FALSE(unfinished_any(unfinished, 0, 101));
	CU_ASSERT(unfinished_any(unfinished, 100, 4));
	lines = unfinished_lines(unfinished, "j", part, strlen(part), 100);
	CU_ASSERT_PTR_NULL(strstr(lines->str, "\"a\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(lines->str, "\"b\""));
	CU_ASSERT_PTR_NULL(strstr(lines->str, "\"c\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(lines->str, "\"d\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(lines->str, "batch_expired"));
	g_string_free(lines, TRUE);
	unfinished_free(unfinished);
}

/* A corrupt result object must not cause an unbounded allocation. */
static void test_bound(void)
{
	unfinished_t *unfinished = unfinished_new();

	unfinished_remove(unfinished, 5, UINT32_MAX);
	unfinished_remove(unfinished, UINT32_MAX, 5);
	CU_ASSERT(unfinished_any(unfinished, 5, 1));
	unfinished_free(unfinished);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "lines", test_lines },
		{ "bound", test_bound },
		{ NULL, NULL },
	};

	return unit_run("unfinished", tests);
}
