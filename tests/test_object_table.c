#include "object/object_table.h"

#include "unit.h"

/* A lost race must not change the object. */
static void test_conditional_put(void)
{
	object_table_t *table = object_table_new();
	uint64_t first = object_table_put(table, "a", "1", 1, 0, "w1");

	CU_ASSERT(first > 0);
	CU_ASSERT_EQUAL(object_table_put(table, "a", "2", 1, 0, "w2"), 0);
	CU_ASSERT_STRING_EQUAL(object_table_get(table, "a")->writer, "w1");
	CU_ASSERT(object_table_put(table, "a", "2", 1, first, "w2") > first);
	CU_ASSERT_FALSE(object_table_remove(table, "a", first));
	object_table_free(table);
}

static void count_change(const table_change_t *change, void *user_data)
{
	++*(int *)user_data;
}

/* A watch that resumes at a revision must see every later change once. */
static void test_changes_since(void)
{
	object_table_t *table = object_table_new();
	uint64_t first = object_table_put(table, "p/a", "1", 1, 0, "w");
	int changes = 0;

	object_table_put(table, "q/b", "1", 1, 0, "w");
	object_table_put(table, "p/c", "1", 1, 0, "w");
	CU_ASSERT_TRUE(object_table_changes(table, "p/", first, count_change,
					    &changes));
	CU_ASSERT_EQUAL(changes, 1);
	changes = 0;
	CU_ASSERT_TRUE(
		object_table_changes(table, "", 0, count_change, &changes));
	CU_ASSERT_EQUAL(changes, 3);
	object_table_free(table);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "conditional put", test_conditional_put },
		{ "changes since a revision", test_changes_since },
		{ NULL, NULL },
	};

	return unit_run("object_table", tests);
}
