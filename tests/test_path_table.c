#include "gateway/path_table.h"
#include "unit.h"

static path_table_t *sample(void)
{
	path_table_t *table = path_table_new(7);

	path_route_add_target(path_table_add(table, "a.example", "/x/"), "one",
			      1);
	path_route_add_target(path_table_add(table, "a.example", "/x/y/"),
			      "two", 1);
	path_route_add_target(path_table_add(table, "b.example", "/x/"),
			      "three", 1);
	return table;
}

static const char *service(const path_table_t *table, const char *host,
			   const char *path)
{
	const path_route_t *route = path_table_find(table, host, path);

	return route ? path_route_service(route, 0.5) : NULL;
}

/* A request must be served by the route with the longest prefix. */
static void test_longest_prefix(void)
{
	path_table_t *table = sample();

	CU_ASSERT_STRING_EQUAL(service(table, "a.example", "/x/1"), "one");
	CU_ASSERT_STRING_EQUAL(service(table, "a.example", "/x/y/1"), "two");
	CU_ASSERT_STRING_EQUAL(service(table, "b.example", "/x/y/1"), "three");
	path_table_unref(table);
}

/* The port of a host must be ignored; other hosts and paths have no route. */
static void test_host(void)
{
	path_table_t *table = sample();

	CU_ASSERT_STRING_EQUAL(service(table, "A.Example:81", "/x/"), "one");
	CU_ASSERT_PTR_NULL(service(table, "a.example.org", "/x/"));
	CU_ASSERT_PTR_NULL(service(table, "a.example", "/x"));
	CU_ASSERT_PTR_NULL(path_table_find(table, NULL, "/x/"));
	path_table_unref(table);
}

/* The traffic split must follow the weights; a weight of 0 gets no request. */
static void test_weights(void)
{
	path_table_t *table = path_table_new(1);
	path_route_t *route = path_table_add(table, "a", "/");
	int second = 0;

	CU_ASSERT_PTR_NULL(path_route_service(route, 0));
	path_route_add_target(route, "none", 0);
	path_route_add_target(route, "most", 90);
	path_route_add_target(route, "rest", 10);
	for (int i = 0; i < 1000; i++) {
		const char *name = path_route_service(route, i / 1000.0);

		CU_ASSERT_STRING_NOT_EQUAL(name, "none");
		second += name[0] == 'r';
	}
	CU_ASSERT_EQUAL(second, 100);
	path_table_unref(table);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "longest prefix", test_longest_prefix },
		{ "host", test_host },
		{ "weights", test_weights },
		{ NULL, NULL },
	};

	return unit_run("path_table", tests);
}
