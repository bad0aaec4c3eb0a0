#include <string.h>

#include "gateway/part_report.h"
#include "unit.h"

#define NOW_US 900000000LL

/* The largest report must fit a datagram and arrive as it was sent, with the
 * ages of its times. */
static void test_round_trip(void)
{
	part_news_t news = { 0 };
	part_news_t read;
	char data[PART_REPORT_MAX_BYTES];
	size_t len;

	for (uint32_t i = 0; i < PART_NEWS_CRASHES_MAX; i++) {
		crash_t *crash = &news.crashes[news.crashes_count++];

		crash->runner = i + 1;
		crash->at_us = NOW_US - 5000;
		for (uint32_t j = 0; j < CRASH_SUSPECTS_MAX; j++)
			crash->suspects[crash->count++] = (crash_suspect_t){
				.part = j, .depth = j % 3, .running = j % 2
			};
	}
	for (uint32_t i = 0; i < PART_NEWS_CLEARS_MAX; i++)
		news.clears[news.clears_count++] =
			(part_clear_t){ i, NOW_US - 7000 };
	for (uint32_t i = 0; i < PART_NEWS_HOLDS_MAX; i++)
		news.holds[news.holds_count++] = (part_hold_t){
			i, 1, 3, 2, NOW_US - 9000, NOW_US + 11000
		};
	len = part_report_encode(&news, NOW_US, data, sizeof(data));
	CU_ASSERT(len > 0);
	CU_ASSERT(part_report_is(data, len));
	CU_ASSERT(part_report_decode(data, len, NOW_US + 1000000, &read));
	CU_ASSERT_EQUAL(read.crashes_count, PART_NEWS_CRASHES_MAX);
	CU_ASSERT_EQUAL(read.crashes[3].runner, 4);
	CU_ASSERT_EQUAL(read.crashes[3].at_us, NOW_US + 995000);
	CU_ASSERT_EQUAL(read.crashes[3].suspects[5].depth, 2);
	CU_ASSERT(read.crashes[3].suspects[5].running);
	CU_ASSERT_EQUAL(read.clears[31].at_us, NOW_US + 993000);
	CU_ASSERT_EQUAL(read.holds[15].last_crash_us, NOW_US + 991000);
	CU_ASSERT_EQUAL(read.holds[15].until_us, NOW_US + 1011000);
	CU_ASSERT_EQUAL(read.holds[15].doublings, 2);
}

/* Truncated reports and other datagrams must not be applied. */
static void test_unreadable(void)
{
	part_news_t news = { .clears = { { 1, NOW_US } }, .clears_count = 1 };
	part_news_t read;
	char data[PART_REPORT_MAX_BYTES];
	size_t len = part_report_encode(&news, NOW_US, data, sizeof(data));

	for (size_t cut = 0; cut < len; cut++)
		CU_ASSERT_FALSE(part_report_decode(data, cut, NOW_US, &read));
	CU_ASSERT_FALSE(part_report_is(data, 3));
	memset(data, 0, 4);
	CU_ASSERT_FALSE(part_report_is(data, len));
	CU_ASSERT_FALSE(part_report_decode(data, len, NOW_US, &read));
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "round trip", test_round_trip },
		{ "unreadable", test_unreadable },
		{ NULL, NULL },
	};

	return unit_run("part_report", tests);
}
