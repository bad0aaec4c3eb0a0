#include "batch/expired_items.h"

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
	expired_items_t *unfinished = expired_items_new();
	GString *lines;

	expired_items_exclude(unfinished, 0, 101);
	expired_items_exclude(unfinished, 102, 1);
	CU_ASSERT_FALSE(expired_items_any(unfinished, 0, 101));
	CU_ASSERT(expired_items_any(unfinished, 100, 4));
	lines = expired_items_error_lines(unfinished, "j", part, strlen(part),
					  100);
	CU_ASSERT_PTR_NULL(strstr(lines->str, "\"a\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(lines->str, "\"b\""));
	CU_ASSERT_PTR_NULL(strstr(lines->str, "\"c\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(lines->str, "\"d\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(lines->str, "batch_expired"));
	g_string_free(lines, TRUE);
	expired_items_free(unfinished);
}

/* A corrupt result object must not cause an unbounded allocation. */
static void test_bound(void)
{
	expired_items_t *unfinished = expired_items_new();

	expired_items_exclude(unfinished, 5, UINT32_MAX);
	expired_items_exclude(unfinished, UINT32_MAX, 5);
	CU_ASSERT(expired_items_any(unfinished, 5, 1));
	expired_items_free(unfinished);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "lines", test_lines },
		{ "bound", test_bound },
		{ NULL, NULL },
	};

	return unit_run("expired_items", tests);
}
