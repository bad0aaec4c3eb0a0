#include "coord/route.h"

#include <stdio.h>
#include <string.h>

#include "unit.h"

#define RUNNERS 10

static clock_manual_t clock_manual;
static GRand *rng;
static route_candidate_t candidates[RUNNERS];
static char addresses[RUNNERS][24];

static route_t *open_route(const char *policy, uint32_t local)
{
	route_options_t options = { .clock = &clock_manual.base,
				    .node = "entry-1",
				    .domain = "here",
				    .policy = policy,
				    .subset = 16,
				    .min_local = 3 };
	route_t *route;

	clock_manual_init(&clock_manual, 0);
	clock_manual_advance_ms(&clock_manual, 1000);
	if (rng)
		g_rand_free(rng);
	rng = g_rand_new_with_seed(7);
	options.random = rng;
	route = route_new(&options);
	for (uint32_t i = 0; i < RUNNERS; i++) {
		snprintf(addresses[i], sizeof(addresses[i]), "10.0.0.%u:1", i);
		candidates[i].address = addresses[i];
		candidates[i].domain = i < local ? "here" : "there";
	}
	route_update(route, candidates, RUNNERS);
	return route;
}

static route_runner_t *choose(route_t *route)
{
	route_request_t request = { 0 };

	return route_select(route, &request);
}

/* Runs one request that takes the given time. */
static void run_request(route_t *route, route_runner_t *runner, int64_t ms)
{
	route_attempt_t attempt;

	route_begin(route, &attempt, runner, 0);
	clock_manual_advance_ms(&clock_manual, ms);
	route_answered(route, &attempt);
	route_finish(route, &attempt, ROUTE_OUTCOME_ANSWERED, 0);
}

static void warm_up(route_t *route)
{
	for (int round = 0; round < 20; round++)
		for (guint i = 0; i < route_runners(route)->len; i++)
			run_request(route, route_runners(route)->pdata[i], 20);
}

static void test_subset(void)
{
	route_t *route = open_route(NULL, 4);

	CU_ASSERT_EQUAL(route_subset(route)->len, 4);
	for (guint i = 0; i < 4; i++) {
		const route_runner_t *runner = route_subset(route)->pdata[i];

		CU_ASSERT_STRING_EQUAL(runner->domain, "here");
	}
	route_free(route);
	/* With too few runners in the domain, others are added. */
	route = open_route(NULL, 1);
	CU_ASSERT_EQUAL(route_subset(route)->len, 3);
	route_free(route);
}

static void test_spill_when_full(void)
{
	route_t *route = open_route(NULL, 3);
	route_attempt_t attempts[6];

	for (guint i = 0; i < RUNNERS; i++)
		route_report(route, route_runners(route)->pdata[i], 0, 0, 2);
	CU_ASSERT_EQUAL(route_capacity(route, 8, 1), 20);
	for (int i = 0; i < 6; i++) {
		route_runner_t *runner = choose(route);

		CU_ASSERT_STRING_EQUAL(runner->domain, "here");
		CU_ASSERT(runner->in_flight < 2);
		route_begin(route, &attempts[i], runner, 0);
	}
	CU_ASSERT_STRING_EQUAL(choose(route)->domain, "there");
	for (int i = 0; i < 6; i++)
		route_finish(route, &attempts[i], ROUTE_OUTCOME_NEUTRAL, 0);
	route_free(route);
}

/* Guards against requests at a runner that takes them without working on them,
 * such as one of a domain that is cut off, while the node's own are full. */
static void test_silent_runner_is_selected_last(void)
{
	route_t *route = open_route(NULL, 3);
	const GPtrArray *runners = route_runners(route);
	route_attempt_t attempts[6];

	for (guint i = 0; i < RUNNERS; i++) {
		route_runner_t *runner = runners->pdata[i];

		route_report(route, runner, 0, 0, 2);
		if (strcmp(runner->domain, "there") != 0)
			continue;
		route_report_missed(runner);
		CU_ASSERT_FALSE(route_is_silent(runner));
		route_report_missed(runner);
		CU_ASSERT(route_is_silent(runner));
	}
	for (int i = 0; i < 6; i++) {
		CU_ASSERT_EQUAL(route_unanswered_us(route, choose(route)), 0);
		route_begin(route, &attempts[i], choose(route), 0);
	}
	CU_ASSERT_STRING_EQUAL(choose(route)->domain, "here");
	clock_manual_advance_ms(&clock_manual, 5);
	CU_ASSERT_EQUAL(route_unanswered_us(route, attempts[0].runner), 5000);
	for (int i = 0; i < 6; i++)
		route_finish(route, &attempts[i], ROUTE_OUTCOME_NEUTRAL, 0);
	for (guint i = 0; i < RUNNERS; i++) {
		route_report(route, runners->pdata[i], 0, 0, 2);
		CU_ASSERT_FALSE(route_is_silent(runners->pdata[i]));
	}
	route_free(route);
}

/* Asks a runner and lets the question end without a response. */
static void ask_in_vain(route_t *route, route_runner_t *runner, int64_t ms)
{
	route_question_t question = route_ask(route, runner);

	clock_manual_advance_ms(&clock_manual, ms);
	route_unheard(runner, &question);
}

/* Guards against callers that wait until their deadline at a node that is cut
 * off from all runners, and against refusals while a runner is merely silent for
 * a second. */
static void test_cut_off(void)
{
	route_t *route = open_route(NULL, 3);
	const GPtrArray *runners = route_runners(route);
	route_runner_t *last = runners->pdata[RUNNERS - 1];
	route_question_t question;

	CU_ASSERT_FALSE(route_is_cut_off(route));
	for (int round = 0; round < 2; round++)
		for (guint i = 0; i < RUNNERS - 1; i++)
			ask_in_vain(route, runners->pdata[i], 1000);
	/* Of the last runner nothing is known. */
	CU_ASSERT_FALSE(route_is_cut_off(route));
	ask_in_vain(route, last, 1900);
	CU_ASSERT_FALSE(route_is_cut_off(route));
	ask_in_vain(route, last, 99);
	CU_ASSERT_FALSE(route_is_cut_off(route));
	clock_manual_advance_ms(&clock_manual, 1);
	CU_ASSERT_TRUE(route_is_cut_off(route));
	/* One that leaves does not count, whether it is heard or not. */
	route_update(route, candidates, 3);
	CU_ASSERT_TRUE(route_is_cut_off(route));
	route_heard(runners->pdata[0]);
	CU_ASSERT_FALSE(route_is_cut_off(route));
	/* What comes while a question is open is an answer. */
	question = route_ask(route, runners->pdata[0]);
	route_heard(runners->pdata[0]);
	clock_manual_advance_ms(&clock_manual, 5000);
	route_unheard(runners->pdata[0], &question);
	ask_in_vain(route, runners->pdata[0], 2500);
	CU_ASSERT_FALSE(route_is_cut_off(route));
	ask_in_vain(route, runners->pdata[0], 1000);
	CU_ASSERT_TRUE(route_is_cut_off(route));
	route_report(route, runners->pdata[0], 0, 0, 2);
	CU_ASSERT_FALSE(route_is_cut_off(route));
	route_update(route, candidates, 0);
	CU_ASSERT_FALSE(route_is_cut_off(route));
	route_free(route);
}

/* Runners that answer must be used, also when they have no load report to
 * give. */
static void test_not_cut_off_without_reports(void)
{
	route_t *route = open_route(NULL, 3);
	const GPtrArray *runners = route_runners(route);

	for (int round = 0; round < 5; round++) {
		clock_manual_advance_ms(&clock_manual, 1000);
		for (guint i = 0; i < RUNNERS; i++) {
			route_heard(runners->pdata[i]);
			route_report_missed(runners->pdata[i]);
		}
	}
	CU_ASSERT_TRUE(route_is_silent(runners->pdata[0]));
	CU_ASSERT_FALSE(route_is_cut_off(route));
	CU_ASSERT_PTR_NOT_NULL(choose(route));
	for (guint i = 0; i < RUNNERS; i++) {
		ask_in_vain(route, runners->pdata[i], 1000);
		ask_in_vain(route, runners->pdata[i], 1000);
	}
	CU_ASSERT_TRUE(route_is_cut_off(route));
	run_request(route, runners->pdata[4], 10);
	CU_ASSERT_FALSE(route_is_cut_off(route));
	route_free(route);
}

/* Load reports of a straggler arrive late, so its unanswered requests must
 * already keep it from being selected. */
static void test_unanswered_straggler_is_not_selected(void)
{
	route_t *route = open_route(NULL, RUNNERS);
	route_runner_t *slow = route_runners(route)->pdata[0];
	route_attempt_t unanswered;

	warm_up(route);
	route_begin(route, &unanswered, slow, 0);
	clock_manual_advance_ms(&clock_manual, 100);
	for (int i = 0; i < 50; i++) {
		route_runner_t *runner = choose(route);

		CU_ASSERT_PTR_NOT_EQUAL(runner, slow);
		run_request(route, runner, 0);
	}
	route_finish(route, &unanswered, ROUTE_OUTCOME_NEUTRAL, 0);
	route_free(route);
}

/* A slow runner must be ejected for a growing time and then probed with one
 * request at a time. */
static void test_ejection_and_probe(void)
{
	route_t *route = open_route(NULL, RUNNERS);
	route_runner_t *slow = route_runners(route)->pdata[0];
	int64_t first_wait;
	route_attempt_t probe;

	warm_up(route);
	run_request(route, slow, 200);
	first_wait = slow->blocked_until_us - clock_now_us(&clock_manual.base);
	CU_ASSERT(first_wait > 0);
	clock_manual_advance_ms(&clock_manual, first_wait / 1000 + 1);
	route_begin(route, &probe, slow, 0);
	for (int i = 0; i < 50; i++)
		CU_ASSERT_PTR_NOT_EQUAL(choose(route), slow);
	clock_manual_advance_ms(&clock_manual, 200);
	route_answered(route, &probe);
	route_finish(route, &probe, ROUTE_OUTCOME_ANSWERED, 0);
	CU_ASSERT(slow->blocked_until_us - clock_now_us(&clock_manual.base) >
		  first_wait);
	clock_manual_advance_ms(&clock_manual, 5000);
	run_request(route, slow, 20);
	CU_ASSERT_FALSE(slow->on_probation);
	CU_ASSERT(slow->blocked_until_us <= clock_now_us(&clock_manual.base));
	route_free(route);
}

/* Requests held by a slow runner must not use the slots of the others, and an
 * ejected runner must not count as capacity. */
static void test_capacity_with_ejected_runner(void)
{
	route_t *route = open_route(NULL, RUNNERS);
	route_runner_t *slow = route_runners(route)->pdata[0];
	route_attempt_t unanswered[3];

	for (guint i = 0; i < RUNNERS; i++)
		route_report(route, route_runners(route)->pdata[i], 0, 0, 8);
	CU_ASSERT_EQUAL(route_capacity(route, 8, 1), 80);
	warm_up(route);
	for (int i = 0; i < 3; i++)
		route_begin(route, &unanswered[i], slow, 0);
	run_request(route, slow, 200);
	CU_ASSERT_EQUAL(route_capacity(route, 8, 1), 72 + 3);
	clock_manual_advance_ms(&clock_manual, 600);
	CU_ASSERT_EQUAL(route_capacity(route, 8, 1), 72 + 3);
	for (int i = 0; i < 3; i++)
		route_finish(route, &unanswered[i], ROUTE_OUTCOME_NEUTRAL, 0);
	route_free(route);
}

/* When all runners become slow together, none is an outlier. */
static void test_no_ejection_when_all_are_slow(void)
{
	route_t *route = open_route(NULL, RUNNERS);
	int64_t at_us;
	uint32_t blocked = 0;

	warm_up(route);
	for (int round = 0; round < 20; round++)
		for (guint i = 0; i < RUNNERS; i++)
			run_request(route, route_runners(route)->pdata[i], 200);
	at_us = clock_now_us(&clock_manual.base);
	for (guint i = 0; i < RUNNERS; i++) {
		const route_runner_t *runner = route_runners(route)->pdata[i];

		blocked += runner->blocked_until_us > at_us;
	}
	CU_ASSERT(blocked <= 4);
	CU_ASSERT_PTR_NOT_NULL(choose(route));
	route_free(route);
}

/* A runner that fails fast has few requests in flight and must not attract
 * more. When all runners fail alike, they must not be ejected. */
static void test_failing_runner(void)
{
	route_t *route = open_route(NULL, RUNNERS);
	route_runner_t *failing = route_runners(route)->pdata[0];
	route_attempt_t attempt;
	int sent_to_failing = 0;

	warm_up(route);
	for (int i = 0; i < 200; i++) {
		route_runner_t *runner = choose(route);

		sent_to_failing += runner == failing;
		route_begin(route, &attempt, runner, 0);
		clock_manual_advance_ms(&clock_manual, 1);
		if (runner != failing)
			route_answered(route, &attempt);
		route_finish(route, &attempt,
			     runner == failing ? ROUTE_OUTCOME_FAILED :
						 ROUTE_OUTCOME_ANSWERED,
			     0);
	}
	CU_ASSERT(sent_to_failing <= 12);
	clock_manual_advance_ms(&clock_manual, 60000);
	for (int round = 0; round < 10; round++) {
		for (guint i = 0; i < RUNNERS; i++) {
			route_begin(route, &attempt,
				    route_runners(route)->pdata[i], 0);
			route_finish(route, &attempt, ROUTE_OUTCOME_FAILED, 0);
		}
	}
	CU_ASSERT_PTR_NOT_NULL(choose(route));
	route_free(route);
}

/* The VM list is delayed: a runner that refused a request must not be selected
 * again immediately. */
static void test_refusal(void)
{
	route_t *route = open_route(NULL, RUNNERS);
	route_runner_t *runner = choose(route);
	route_attempt_t attempt;

	route_begin(route, &attempt, runner, 0);
	route_finish(route, &attempt, ROUTE_OUTCOME_REFUSED, 2000);
	route_update(route, candidates, RUNNERS);
	for (int i = 0; i < 50; i++)
		CU_ASSERT_PTR_NOT_EQUAL(choose(route), runner);
	clock_manual_advance_ms(&clock_manual, 1999);
	for (int i = 0; i < 50; i++)
		CU_ASSERT_PTR_NOT_EQUAL(choose(route), runner);
	route_free(route);
}

static void test_all_refused(void)
{
	route_t *route = open_route(NULL, RUNNERS);
	route_runner_t *runner;
	route_attempt_t attempt;

	while ((runner = choose(route))) {
		route_begin(route, &attempt, runner, 0);
		route_finish(route, &attempt, ROUTE_OUTCOME_REFUSED, 0);
	}
	clock_manual_advance_ms(&clock_manual, 600);
	CU_ASSERT_PTR_NOT_NULL(choose(route));
	route_free(route);
}

/* Requests in flight on a runner that left the VM list must end safely. */
static void test_draining(void)
{
	route_t *route = open_route(NULL, RUNNERS);
	route_runner_t *runner = choose(route);
	route_attempt_t attempt;
	char *address = g_strdup(runner->address);

	route_begin(route, &attempt, runner, 0);
	route_update(route, NULL, 0);
	CU_ASSERT_PTR_NULL(choose(route));
	CU_ASSERT_EQUAL(route_runners(route)->len, 1);
	CU_ASSERT_STRING_EQUAL(attempt.runner->address, address);
	route_finish(route, &attempt, ROUTE_OUTCOME_ANSWERED, 0);
	route_update(route, NULL, 0);
	CU_ASSERT_EQUAL(route_runners(route)->len, 0);
	g_free(address);
	route_free(route);
}

static void test_prefix_affinity_ends_under_load(void)
{
	route_t *route = open_route(NULL, RUNNERS);
	route_request_t request = { .prefix_hash = 12345 };
	route_runner_t *preferred = route_select(route, &request);
	route_attempt_t attempts[8];

	for (int i = 0; i < 20; i++)
		CU_ASSERT_PTR_EQUAL(route_select(route, &request), preferred);
	for (int i = 0; i < 8; i++)
		route_begin(route, &attempts[i], preferred, 0);
	CU_ASSERT_PTR_NOT_EQUAL(route_select(route, &request), preferred);
	for (int i = 0; i < 8; i++)
		route_finish(route, &attempts[i], ROUTE_OUTCOME_NEUTRAL, 0);
	route_free(route);
}

/* A retry must select a runner that has not been tried. */
static void test_exclusion(void)
{
	route_t *route = open_route(NULL, RUNNERS);
	const route_runner_t *tried[RUNNERS];
	route_request_t request = { .exclude = tried };

	while (request.exclude_count < RUNNERS) {
		const route_runner_t *runner = route_select(route, &request);

		CU_ASSERT_PTR_NOT_NULL_FATAL(runner);
		for (uint32_t i = 0; i < request.exclude_count; i++)
			CU_ASSERT_PTR_NOT_EQUAL(tried[i], runner);
		tried[request.exclude_count++] = runner;
	}
	CU_ASSERT_PTR_NULL(route_select(route, &request));
	route_free(route);
}

static void test_policies(void)
{
	static const char *const names[] = { "observed", "random",
					     "round-robin", "least-reported" };

	CU_ASSERT_FALSE(route_policy_exists("best"));
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		route_t *route = open_route(names[i], RUNNERS);
		int used[RUNNERS] = { 0 };

		CU_ASSERT_TRUE(route_policy_exists(names[i]));
		for (int j = 0; j < 500; j++) {
			const route_runner_t *runner = choose(route);

			used[runner->address[7] - '0']++;
		}
		for (int j = 0; j < RUNNERS; j++)
			CU_ASSERT(used[j] > 20);
		route_free(route);
	}
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "subset", test_subset },
		{ "spill when full", test_spill_when_full },
		{ "silent runner is selected last",
		  test_silent_runner_is_selected_last },
		{ "cut off", test_cut_off },
		{ "not cut off without reports",
		  test_not_cut_off_without_reports },
		{ "unanswered straggler is not selected",
		  test_unanswered_straggler_is_not_selected },
		{ "ejection and probe", test_ejection_and_probe },
		{ "capacity with ejected runner",
		  test_capacity_with_ejected_runner },
		{ "no ejection when all are slow",
		  test_no_ejection_when_all_are_slow },
		{ "failing runner", test_failing_runner },
		{ "refusal", test_refusal },
		{ "all refused", test_all_refused },
		{ "draining", test_draining },
		{ "prefix affinity ends under load",
		  test_prefix_affinity_ends_under_load },
		{ "exclusion", test_exclusion },
		{ "policies", test_policies },
		{ NULL, NULL },
	};

	return unit_run("route", tests);
}
