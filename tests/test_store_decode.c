#include <string.h>

#include "base/clock.h"
#include "platform/store_decode.h"
#include "unit.h"

/* Guards against a member of a route that is decoded into the wrong field, and
 * against a malformed route that affects the others. */
static void test_route_members(void)
{
	path_table_t *table = store_decode_paths(
		"{\"version\":7,\"routes\":["
		"{\"name\":\"r1\",\"host\":\"a\",\"path_prefix\":\"/x/\","
		"\"kind\":\"streaming\",\"timeout_ms\":5000,"
		"\"target_latency_ms\":300,\"priority\":2,\"max_attempts\":2,"
		"\"resumable\":true,\"gap_target_ms\":200,"
		"\"traffic_split\":[{\"service\":\"s1\",\"weight\":1},"
		"{\"service\":\"s2\",\"weight\":0}]},"
		"{\"host\":\"a\",\"path_prefix\":\"/b/\",\"kind\":\"batch\","
		"\"service\":\"s3\",\"completion_target_ms\":18000,"
		"\"retention_s\":60.5,\"cap\":2200000},"
		"{\"path_prefix\":\"/no-host/\"}, 5],"
		"\"limits\":{\"idle_timeout_ms\":15000}}",
		NULL);
	const path_route_t *stream = path_table_find(table, "a", "/x/1");
	const path_route_t *batch = path_table_find(table, "a", "/b/1");

	CU_ASSERT_EQUAL(table->version, 7);
	CU_ASSERT_EQUAL(table->routes->len, 2);
	CU_ASSERT_EQUAL(stream->kind, PATH_STREAM);
	CU_ASSERT_EQUAL(stream->objective_ms, 300);
	CU_ASSERT_EQUAL(stream->pause_objective_ms, 200);
	CU_ASSERT_EQUAL(stream->max_runners, 2);
	CU_ASSERT_EQUAL(stream->rank, 2);
	CU_ASSERT(stream->resumable);
	CU_ASSERT_STRING_EQUAL(path_route_service(stream, 0.99), "s1");
	CU_ASSERT_EQUAL(batch->kind, PATH_BATCH);
	CU_ASSERT_EQUAL(batch->due_ms, 18000);
	CU_ASSERT_EQUAL(batch->give_up_ms, 60500);
	CU_ASSERT_EQUAL(batch->max_waiting_tokens, 2200000);
	path_table_unref(table);
}

/* A route kind of a later version may be unsafe to repeat, so its requests must
 * run at most once. A malformed configuration must be rejected. */
static void test_unknown_kind_runs_once(void)
{
	path_table_t *table =
		store_decode_paths("{\"version\":1,\"routes\":[{\"host\":\"a\","
				   "\"path_prefix\":\"/\",\"kind\":\"new\"}]}",
				   NULL);

	CU_ASSERT_EQUAL(path_table_find(table, "a", "/")->kind, PATH_ONCE);
	path_table_unref(table);
	CU_ASSERT_PTR_NULL(store_decode_paths("{\"routes\":[]}", NULL));
	CU_ASSERT_PTR_NULL(store_decode_paths("[1", NULL));
}

#define RUNNER(address, slots)                                       \
	"{\"service\":\"s\",\"address\":" address ",\"zone\":\"z\"," \
	"\"version\":\"v1\",\"slots\":" slots                        \
	",\"state\":\"ready\",\"born\":1}"

/* Another program can write a malformed entry under the runners' prefix. The
 * entry must be rejected without an effect on the other runners. */
static void test_malformed_runners_rejected(void)
{
	static const char good[] =
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"version\":\"v1\","
		"\"slots\":8,\"state\":\"ready\",\"born\":1700000000000}";
	static const char *const bad[] = {
		"",
		"7",
		"{}",
		"{\"service\":\"s\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"version\":\"v1\","
		"\"slots\":\"8\",\"state\":\"ready\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"version\":\"v1\","
		"\"slots\":8,\"state\":\"resting\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"slots\":8,\"state\":\"ready\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"version\":2,\"slots\":8,\"state\":\"ready\"}",
		RUNNER("\"10.0.0.1\"", "8"),
		RUNNER("\"10.0.0.1:0\"", "8"),
		RUNNER("\"10.0.0.1:65536\"", "8"),
		RUNNER("\"10.0.0.1:-1\"", "8"),
		RUNNER("\"10.0.0.1:70000000000\"", "8"),
		RUNNER("\"10.0.0.1:http\"", "8"),
		RUNNER("\"host:80\"", "8"),
		RUNNER("\"10.0.0.1:80\"", "0"),
		RUNNER("\"10.0.0.1:80\"", "-5"),
		RUNNER("\"10.0.0.1:80\"", "4294967297"),
		RUNNER("\"10.0.0.1:80\"", "8.5"),
		RUNNER("\"10.0.0.1:80\"", "1e999"),
		"{\"service\":5,\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"version\":\"v1\","
		"\"slots\":8,\"state\":\"ready\"}",
	};
	GRand *random = g_rand_new_with_seed(1);
	const fleet_options_t options = { .clock = clock_system(),
					  .random = random,
					  .domain = "z" };
	fleet_t *fleet = fleet_new(&options);

	CU_ASSERT(store_decode_runner("r1", good, fleet));
	CU_ASSERT(store_decode_runner("r1", RUNNER("\"10.0.0.1:80\"", "8"),
				      fleet));
	CU_ASSERT(store_decode_runner("r1", good, fleet));
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		CU_ASSERT_FALSE(store_decode_runner("r2", bad[i], fleet));
	CU_ASSERT_EQUAL(fleet_size(fleet), 1);
	CU_ASSERT_EQUAL(fleet_find(fleet, fleet_key("r1"))->started_ms,
			1700000000000);
	fleet_free(fleet);
	g_rand_free(random);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "route members", test_route_members },
		{ "unknown kind runs once", test_unknown_kind_runs_once },
		{ "malformed runners rejected",
		  test_malformed_runners_rejected },
		{ NULL, NULL },
	};

	return unit_run("store_decode", tests);
}
