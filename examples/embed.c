/*
 * embed - uses the coordination library without a daemon: picks an owner for a
 * key among members, chooses a runner, and spends a retry budget.
 */
#include <glib.h>
#include <stdio.h>

#include "coord/member.h"
#include "coord/retry_budget.h"
#include "coord/route.h"

static int show_owner(void)
{
	member_table_t *table = member_table_new("192.0.2.1:8082", "thu-bon");
	const member_t *owner;

	member_add(table, "192.0.2.2:8082", "thu-bon");
	member_add(table, "192.0.2.3:8082", "old-town");
	owner = member_owner(table, NULL, "job-42");
	printf("owner=%s\n", owner ? owner->address : "-");
	member_table_free(table);
	return owner ? 0 : 1;
}

static int show_route(void)
{
	static const route_candidate_t candidates[] = {
		{ "192.0.2.20:9000", "thu-bon" },
		{ "192.0.2.21:9000", "thu-bon" },
	};
	const route_options_t options = {
		.clock = clock_system(),
		.random = g_rand_new_with_seed(1),
		.node = "entry-1",
		.domain = "thu-bon",
		.subset = 10,
		.min_local = 2,
	};
	const route_request_t request = { 0 };
	route_t *route = route_new(&options);
	route_runner_t *runner;

	route_update(route, candidates, G_N_ELEMENTS(candidates));
	runner = route_select(route, &request);
	printf("runner=%s\n", runner ? runner->address : "-");
	route_free(route);
	g_rand_free(options.random);
	return runner ? 0 : 1;
}

static int show_budget(void)
{
	const retry_budget_options_t options = {
		.share = 0.1, .initial = 1, .max = 10, .max_keys = 100
	};
	retry_budget_t *budget = retry_budget_new(&options);
	int retries = 0;

	for (int i = 0; i < 100; i++) {
		retry_budget_deposit(budget, "caller/deployment");
		if (retry_budget_take(budget, "caller/deployment"))
			retries++;
	}
	printf("retries=%d\n", retries);
	retry_budget_free(budget);
	return retries > 0 && retries <= 12 ? 0 : 1;
}

int main(void)
{
	return show_owner() || show_route() || show_budget();
}
