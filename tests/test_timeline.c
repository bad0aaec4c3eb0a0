#include "base/timeline.h"

#include <string.h>

#include "unit.h"

static void join(const char *line, void *user_data)
{
	g_string_append(user_data, line);
	g_string_append_c(user_data, '|');
}

static void check(const timeline_t *timeline, int64_t since,
		  const char *expected)
{
	GString *text = g_string_new(NULL);

	timeline_foreach(timeline, since, join, text);
	CU_ASSERT_STRING_EQUAL(text->str, expected);
	g_string_free(text, TRUE);
}

/* A busy process must keep the newest lines within both bounds. */
static void test_bounds(void)
{
	timeline_t *timeline = timeline_new(3, 20);

	timeline_sink("ts=1 a", timeline);
	timeline_sink("ts=2 b", timeline);
	timeline_sink("ts=3 c", timeline);
	check(timeline, 0, "ts=1 a|ts=2 b|ts=3 c|");
	timeline_sink("ts=4 d", timeline);
	check(timeline, 0, "ts=2 b|ts=3 c|ts=4 d|");
	timeline_sink("ts=5 01234567", timeline);
	check(timeline, 0, "ts=4 d|ts=5 01234567|");
	check(timeline, 5, "ts=5 01234567|");
	timeline_sink("ts=6 longer than all the bytes", timeline);
	check(timeline, 0, "");
	timeline_free(timeline);
}

static void test_stamp(void)
{
	CU_ASSERT_EQUAL(timeline_stamp("ts=1700000000123 level=info"),
			1700000000123);
	CU_ASSERT_EQUAL(timeline_stamp("ts= x"), -1);
	CU_ASSERT_EQUAL(timeline_stamp("its=5"), -1);
	CU_ASSERT_EQUAL(timeline_stamp(""), -1);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "bounds", test_bounds },
		{ "time stamps", test_stamp },
		{ NULL, NULL },
	};

	return unit_run("timeline", tests);
}
