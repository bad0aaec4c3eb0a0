#include "backend/crash_log.h"
#include "unit.h"

#define SECOND_US 1000000LL

/* Reports of one crash by several nodes must be one entry; a later crash of a
 * runner with the same id must be another. */
static void test_same_crash(void)
{
	crash_log_t log = { 0 };

	crash_log_note(&log, 1, 10 * SECOND_US);
	crash_log_note(&log, 1, 10 * SECOND_US + 5000);
	CU_ASSERT_EQUAL(log.count, 1);
	crash_log_note(&log, 1, 14 * SECOND_US);
	CU_ASSERT_EQUAL(log.count, 2);
	CU_ASSERT_EQUAL(crash_log_find(&log, 1)->at_us, 14 * SECOND_US);
	crash_log_clear(&log);
}

/* Guards against a crash that counts twice: another node may tell of it again
 * after the runner has crashed once more. */
static void test_earlier_crash_is_told_again(void)
{
	crash_log_t log = { 0 };
	crash_t *first;

	crash_log_note(&log, 1, 10 * SECOND_US);
	crash_log_note(&log, 1, 14 * SECOND_US);
	first = crash_log_note(&log, 1, 10 * SECOND_US + 5000);
	CU_ASSERT_EQUAL(log.count, 2);
	CU_ASSERT_EQUAL(first->at_us, 10 * SECOND_US);
	crash_log_clear(&log);
}

/* A crash of a runner that was not seen since its crash before must be unproven,
 * until it is, in whatever order that is heard of. */
static void test_unproven(void)
{
	crash_log_t log = { 0 };

	crash_log_note(&log, 1, 14 * SECOND_US);
	CU_ASSERT_FALSE(log.crashes[0].unproven);
	crash_log_note(&log, 2, 15 * SECOND_US);
	CU_ASSERT_FALSE(log.crashes[1].unproven);
	crash_log_note(&log, 1, 10 * SECOND_US);
	CU_ASSERT_FALSE(log.crashes[0].unproven);
	CU_ASSERT(log.crashes[1].unproven);
	crash_log_seen(&log, 1, 10 * SECOND_US);
	CU_ASSERT(log.crashes[1].unproven);
	crash_log_seen(&log, 1, 12 * SECOND_US);
	CU_ASSERT_FALSE(log.crashes[1].unproven);
	crash_log_note(&log, 1, 18 * SECOND_US);
	CU_ASSERT(log.crashes[3].unproven);
	crash_log_survived(&log, &log.crashes[1]);
	CU_ASSERT_FALSE(log.crashes[3].unproven);
	crash_log_clear(&log);
}

/* An entry whose crash was earlier than noted must move, without the suspects that
 * the runner had not begun by then. */
static void test_predated(void)
{
	crash_log_t log = { 0 };
	crash_suspect_t suspect = { .part = 7 };
	crash_t *crash = crash_log_note(&log, 1, 10 * SECOND_US + 70000);

	crash_add_suspect(crash, &suspect);
	suspect =
		(crash_suspect_t){ .part = 8, .begun_us = 10 * SECOND_US + 5 };
	crash_add_suspect(crash, &suspect);
	crash_log_note(&log, 2, 10 * SECOND_US + 50000);
	crash = crash_log_predate(&log, &log.crashes[1], 10 * SECOND_US);
	CU_ASSERT_PTR_EQUAL(crash, &log.crashes[0]);
	CU_ASSERT_EQUAL(crash->runner, 1);
	CU_ASSERT_EQUAL(log.crashes[1].runner, 2);
	CU_ASSERT_EQUAL(crash->count, 1);
	CU_ASSERT_EQUAL(crash->suspects[0].part, 7);
	crash_log_clear(&log);
}

/* Crashes that are heard of late must be in order of time, and a full log must
 * drop the oldest. */
static void test_order_and_bound(void)
{
	crash_log_t log = { 0 };

	for (uint64_t i = 0; i < CRASH_LOG_MAX + 10; i++)
		crash_log_note(&log, i, (int64_t)(200 - i) * SECOND_US);
	CU_ASSERT_EQUAL(log.count, CRASH_LOG_MAX);
	for (uint32_t i = 1; i < log.count; i++)
		CU_ASSERT(log.crashes[i - 1].at_us <= log.crashes[i].at_us);
	crash_log_expire(&log, 199 * SECOND_US);
	CU_ASSERT_EQUAL(log.count, 2);
	crash_log_clear(&log);
}

/* A full entry must take suspects that were running instead of queued ones. */
static void test_running_suspects_first(void)
{
	crash_log_t log = { 0 };
	crash_t *crash = crash_log_note(&log, 1, SECOND_US);
	crash_suspect_t suspect = { 0 };

	for (uint64_t i = 0; i < CRASH_SUSPECTS_MAX + 5; i++) {
		suspect.part = i;
		CU_ASSERT_EQUAL(crash_add_suspect(crash, &suspect),
				i < CRASH_SUSPECTS_MAX);
	}
	suspect = (crash_suspect_t){ .part = 100, .running = true };
	CU_ASSERT(crash_add_suspect(crash, &suspect));
	CU_ASSERT_FALSE(crash_add_suspect(crash, &suspect));
	CU_ASSERT_EQUAL(crash->count, CRASH_SUSPECTS_MAX);
	CU_ASSERT_PTR_NOT_NULL(crash_suspect(crash, 100));
	crash_log_clear(&log);
}

/* A request that comes again must be kept in the entry of a crash of which many
 * requests are suspects. */
static void test_repeated_suspect_is_kept(void)
{
	crash_log_t log = { 0 };
	crash_t *crash = crash_log_note(&log, 1, SECOND_US);
	crash_suspect_t suspect = { .repeated = true };

	for (uint64_t i = 0; i < CRASH_SUSPECTS_MAX; i++) {
		suspect.part = i;
		suspect.repeated = i == 0;
		CU_ASSERT(crash_add_suspect(crash, &suspect));
	}
	suspect = (crash_suspect_t){ .part = 100, .repeated = true };
	CU_ASSERT(crash_add_suspect(crash, &suspect));
	CU_ASSERT_PTR_NOT_NULL(crash_suspect(crash, 0));
	CU_ASSERT_PTR_NOT_NULL(crash_suspect(crash, 100));
	crash_log_clear(&log);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "same crash", test_same_crash },
		{ "earlier crash is told again",
		  test_earlier_crash_is_told_again },
		{ "unproven", test_unproven },
		{ "predated", test_predated },
		{ "order and bound", test_order_and_bound },
		{ "running suspects first", test_running_suspects_first },
		{ "repeated suspect is kept", test_repeated_suspect_is_kept },
		{ NULL, NULL },
	};

	return unit_run("crash_log", tests);
}
