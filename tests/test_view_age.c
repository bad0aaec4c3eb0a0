#include "gateway/view_age.h"
#include "unit.h"

#define MS 1000LL
#define REPORT_INTERVAL_MS 400
#define CHECK_MAX_MS (VIEW_AGE_CHECK_MS + VIEW_AGE_SPREAD_MS)
/* Checks in a minute of which a faulty node may be the cause. */
#define FALSE_ALARMS_MAX 10

typedef struct fixture {
	clock_manual_t clock;
	GRand *random;
	view_age_t age;
} fixture_t;

static int64_t now_us(const fixture_t *fixture)
{
	return clock_elapsed_us(&fixture->clock.base);
}

static void listed(fixture_t *fixture, uint64_t revision, uint64_t last)
{
	const view_changes_t changes = { revision, last, false };

	view_age_listed(&fixture->age, now_us(fixture), &changes);
}

static void watched(fixture_t *fixture, uint64_t revision, uint64_t last,
		    bool removals)
{
	const view_changes_t changes = { revision, last, removals };

	view_age_watched(&fixture->age, now_us(fixture), &changes);
}

static void told(fixture_t *fixture, uint64_t change_min, uint64_t change_max,
		 int64_t age_ms)
{
	const view_news_t news = { change_min, change_max,
				   now_us(fixture) - age_ms * MS };

	view_age_told(&fixture->age, &news);
}

static int64_t check_in_ms(const fixture_t *fixture)
{
	return (view_age_check_us(&fixture->age, 0) - now_us(fixture)) / MS;
}

static void start(fixture_t *fixture)
{
	clock_manual_init(&fixture->clock, 0);
	clock_manual_advance_ms(&fixture->clock, 10000);
	fixture->random = g_rand_new_with_seed(1);
	view_age_init(&fixture->age, &fixture->clock.base, fixture->random);
}

static void start_listed(fixture_t *fixture)
{
	start(fixture);
	listed(fixture, 100, 90);
}

static void end(fixture_t *fixture)
{
	g_rand_free(fixture->random);
}

/* Guards against a view that relies on its watch: it must be checked within a
 * second of its last confirmation. */
static void test_own_checks(void)
{
	fixture_t fixture;

	start(&fixture);
	CU_ASSERT(view_age_is_stale(&fixture.age));
	for (int i = 0; i < 100; i++) {
		listed(&fixture, 100, 90);
		CU_ASSERT(check_in_ms(&fixture) >= VIEW_AGE_CHECK_MS);
		CU_ASSERT(check_in_ms(&fixture) <= CHECK_MAX_MS);
		clock_manual_advance_ms(&fixture.clock, 700);
	}
	CU_ASSERT_FALSE(view_age_is_stale(&fixture.age));
	clock_manual_advance_ms(&fixture.clock, VIEW_AGE_STALE_MS);
	CU_ASSERT(view_age_is_stale(&fixture.age));
	CU_ASSERT_FALSE(view_age_is_behind(&fixture.age));
	end(&fixture);
}

/* Guards against checks of all nodes where one node's suffice. */
static void test_checks_of_others_serve(void)
{
	fixture_t fixture;

	start_listed(&fixture);
	for (int i = 0; i < 100; i++) {
		told(&fixture, 90, 90, 100);
		clock_manual_advance_ms(&fixture.clock, REPORT_INTERVAL_MS);
		CU_ASSERT(check_in_ms(&fixture) > 0);
	}
	/* What was known long ago confirms nothing. */
	for (int i = 0; i < 5; i++) {
		told(&fixture, 90, 90, 5000);
		clock_manual_advance_ms(&fixture.clock, REPORT_INTERVAL_MS);
	}
	CU_ASSERT(check_in_ms(&fixture) <= 0);
	end(&fixture);
}

#define FLEET_MAX 400
/* Time until the news of one node's check has reached the others. */
#define NEWS_DELAY_MS 10
#define CHECKS_AT_ONCE_MAX 2.0

/* Checks that a fleet makes for each time that the view is confirmed. */
static double checks_each_time(uint32_t nodes)
{
	static fixture_t fixtures[FLEET_MAX];
	const int rounds = 200;
	int checks = 0;

	for (uint32_t i = 0; i < nodes; i++) {
		start(&fixtures[i]);
		g_rand_set_seed(fixtures[i].random, i);
		view_age_set_nodes(&fixtures[i].age, nodes);
		listed(&fixtures[i], 100, 90);
	}
	for (int round = 0; round < rounds; round++) {
		int64_t first_ms = CHECK_MAX_MS;

		for (uint32_t i = 0; i < nodes; i++)
			first_ms = MIN(first_ms, check_in_ms(&fixtures[i]));
		CU_ASSERT(first_ms >= VIEW_AGE_CHECK_MS);
		for (uint32_t i = 0; i < nodes; i++) {
			checks += check_in_ms(&fixtures[i]) <=
				  first_ms + NEWS_DELAY_MS;
			clock_manual_advance_ms(&fixtures[i].clock, first_ms);
			listed(&fixtures[i], 100, 90);
		}
	}
	for (uint32_t i = 0; i < nodes; i++)
		end(&fixtures[i]);
	return (double)checks / rounds;
}

/* Guards against a cost that grows with the fleet: the store is charged for each
 * call. */
static void test_checks_of_a_fleet(void)
{
	CU_ASSERT(checks_each_time(1) == 1);
	CU_ASSERT(checks_each_time(7) < CHECKS_AT_ONCE_MAX);
	CU_ASSERT(checks_each_time(60) < CHECKS_AT_ONCE_MAX);
	CU_ASSERT(checks_each_time(FLEET_MAX) < CHECKS_AT_ONCE_MAX);
}

/* Guards against a node that misses a change that others have. The view's own
 * watch has a moment to bring it. */
static void test_behind(void)
{
	fixture_t fixture;

	start_listed(&fixture);
	told(&fixture, 120, 120, 10);
	CU_ASSERT(view_age_is_behind(&fixture.age));
	CU_ASSERT(check_in_ms(&fixture) > 0);
	CU_ASSERT(check_in_ms(&fixture) <= 200);
	/* A watch that has just begun has the same time. */
	clock_manual_advance_ms(&fixture.clock, 300);
	CU_ASSERT(check_in_ms(&fixture) < 0);
	CU_ASSERT(view_age_check_us(&fixture.age, now_us(&fixture)) >
		  now_us(&fixture));
	watched(&fixture, 121, 120, false);
	CU_ASSERT_FALSE(view_age_is_behind(&fixture.age));
	CU_ASSERT(check_in_ms(&fixture) >= VIEW_AGE_CHECK_MS);
	end(&fixture);
}

/* Guards against a node that announces changes that do not exist: it must not
 * make the others read without end, nor hide true news for long. */
static void test_false_news(void)
{
	fixture_t fixture;
	uint64_t revision = 100;
	int checks = 0;

	start_listed(&fixture);
	for (int ms = 0; ms < 60000; ms += 50) {
		if (ms % REPORT_INTERVAL_MS == 0) {
			told(&fixture, 1000000 + (uint64_t)ms,
			     1000000 + (uint64_t)ms, 0);
			told(&fixture, 90, 90, 0);
		}
		if (check_in_ms(&fixture) <= 0) {
			checks++;
			watched(&fixture, ++revision, 0, false);
		}
		clock_manual_advance_ms(&fixture.clock, 50);
	}
	CU_ASSERT(checks > 0);
	CU_ASSERT(checks <= FALSE_ALARMS_MAX);
	end(&fixture);
}

/* Guards against a check from before the news that takes it for wrong. */
static void test_check_before_news(void)
{
	const view_changes_t none = { 110, 0, false };
	fixture_t fixture;
	int64_t started_us;

	start_listed(&fixture);
	started_us = now_us(&fixture);
	clock_manual_advance_ms(&fixture.clock, 10);
	told(&fixture, 120, 120, 0);
	view_age_watched(&fixture.age, started_us, &none);
	CU_ASSERT(view_age_is_behind(&fixture.age));
	end(&fixture);
}

/* Guards against a node that confirms what it cannot know: a listing does not
 * show which objects have been removed, nor when. */
static void test_listing_does_not_show_removals(void)
{
	fixture_t fixture;
	view_news_t news;

	start(&fixture);
	CU_ASSERT_FALSE(view_age_news(&fixture.age, &news));
	listed(&fixture, 100, 90);
	CU_ASSERT(view_age_news(&fixture.age, &news));
	CU_ASSERT_EQUAL(news.change_min, 90);
	CU_ASSERT_EQUAL(news.change_max, 100);
	/* Known from before, it does not bound the removals until then. */
	told(&fixture, 95, 95, 500);
	CU_ASSERT(view_age_news(&fixture.age, &news));
	CU_ASSERT_EQUAL(news.change_max, 100);
	clock_manual_advance_ms(&fixture.clock, 3000);
	told(&fixture, 95, 95, 500);
	CU_ASSERT(view_age_news(&fixture.age, &news));
	CU_ASSERT_EQUAL(news.change_min, 90);
	CU_ASSERT_EQUAL(news.change_max, 95);
	watched(&fixture, 130, 125, false);
	CU_ASSERT(view_age_news(&fixture.age, &news));
	CU_ASSERT_EQUAL(news.change_min, 125);
	CU_ASSERT_EQUAL(news.change_max, 125);
	/* A removal that the store reports without a revision. */
	watched(&fixture, 140, 60, true);
	CU_ASSERT(view_age_news(&fixture.age, &news));
	CU_ASSERT_EQUAL(news.change_min, 131);
	CU_ASSERT_EQUAL(news.change_max, 140);
	end(&fixture);
}

/* Guards against a view that passes for current although its node may lack the
 * last change. */
static void test_unclear_news(void)
{
	fixture_t fixture;

	start_listed(&fixture);
	for (int i = 0; i < 5; i++) {
		/* The last change may be one that this view lacks. */
		told(&fixture, 95, 105, 0);
		CU_ASSERT_FALSE(view_age_is_behind(&fixture.age));
		clock_manual_advance_ms(&fixture.clock, REPORT_INTERVAL_MS);
	}
	CU_ASSERT(check_in_ms(&fixture) <= 0);
	/* No news. */
	told(&fixture, 200, 100, 0);
	CU_ASSERT_FALSE(view_age_is_behind(&fixture.age));
	end(&fixture);
}

/* Guards against a check in each moment of an outage. */
static void test_failing_checks(void)
{
	fixture_t fixture;
	int checks = 0;

	start_listed(&fixture);
	for (int ms = 0; ms < 10000; ms += 10) {
		clock_manual_advance_ms(&fixture.clock, 10);
		if (check_in_ms(&fixture) > 0)
			continue;
		checks++;
		view_age_check_failed(&fixture.age);
	}
	CU_ASSERT(checks >= 20);
	CU_ASSERT(checks <= 30);
	watched(&fixture, 101, 0, false);
	CU_ASSERT(check_in_ms(&fixture) >= VIEW_AGE_CHECK_MS);
	end(&fixture);
}

/* Guards against a node that answers 404 for a route that was added while its VM
 * was suspended: it held what it had known before to be current. */
static void test_suspended(void)
{
	fixture_t fixture;

	start_listed(&fixture);
	CU_ASSERT_FALSE(view_age_is_stale(&fixture.age));
	fixture.clock.suspended_us += 5000 * MS;
	CU_ASSERT(view_age_is_stale(&fixture.age));
	CU_ASSERT(check_in_ms(&fixture) <= 0);
	end(&fixture);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "own checks", test_own_checks },
		{ "checks of others serve", test_checks_of_others_serve },
		{ "checks of a fleet", test_checks_of_a_fleet },
		{ "behind", test_behind },
		{ "false news", test_false_news },
		{ "check before news", test_check_before_news },
		{ "listing does not show removals",
		  test_listing_does_not_show_removals },
		{ "unclear news", test_unclear_news },
		{ "failing checks", test_failing_checks },
		{ "suspended", test_suspended },
		{ NULL, NULL },
	};

	return unit_run("view_age", tests);
}
