#include "coord/rollout.h"

#include <string.h>

#include "unit.h"

/* Requests for the new version fail as long as no runner serves it. */
static void test_previous_version_until_runners_move(void)
{
	clock_manual_t clock;
	rollout_t *rollout;

	clock_manual_init(&clock, 0);
	rollout = rollout_new(&clock.base);
	CU_ASSERT_STRING_EQUAL(rollout_version(rollout, "1", 3), "1");
	CU_ASSERT_STRING_EQUAL(rollout_version(rollout, "2", 3), "1");
	rollout_refused(rollout, "a", "1");
	CU_ASSERT_STRING_EQUAL(rollout_version(rollout, "2", 3), "1");
	CU_ASSERT_TRUE(rollout_recently_refused(rollout, "a", "1"));
	CU_ASSERT_FALSE(rollout_recently_refused(rollout, "a", "2"));
	rollout_refused(rollout, "b", "1");
	CU_ASSERT_STRING_EQUAL(rollout_version(rollout, "2", 3), "2");
	CU_ASSERT_STRING_EQUAL(rollout_version(rollout, "2", 3), "2");
	rollout_free(rollout);
}

/* A runner that was still loading must be selected again soon. */
static void test_refusal_expires(void)
{
	clock_manual_t clock;
	rollout_t *rollout;

	clock_manual_init(&clock, 0);
	rollout = rollout_new(&clock.base);
	rollout_refused(rollout, "a", "2");
	clock_manual_advance_ms(&clock, 999);
	CU_ASSERT_TRUE(rollout_recently_refused(rollout, "a", "2"));
	clock_manual_advance_ms(&clock, 1);
	CU_ASSERT_FALSE(rollout_recently_refused(rollout, "a", "2"));
	rollout_refused(rollout, "a", "2");
	rollout_served(rollout, "a", "2");
	CU_ASSERT_FALSE(rollout_recently_refused(rollout, "a", "2"));
	rollout_free(rollout);
}

/* With a single runner the previous version must not be kept forever. */
static void test_single_runner(void)
{
	clock_manual_t clock;
	rollout_t *rollout;

	clock_manual_init(&clock, 0);
	rollout = rollout_new(&clock.base);
	rollout_version(rollout, "1", 1);
	CU_ASSERT_STRING_EQUAL(rollout_version(rollout, "2", 1), "1");
	rollout_refused(rollout, "a", "1");
	CU_ASSERT_STRING_EQUAL(rollout_version(rollout, "2", 1), "2");
	rollout_free(rollout);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "previous version until runners move",
		  test_previous_version_until_runners_move },
		{ "refusal expires", test_refusal_expires },
		{ "single runner", test_single_runner },
		{ NULL, NULL },
	};

	return unit_run("rollout", tests);
}
