#ifndef WASABILINK_TESTS_UNIT_H
#define WASABILINK_TESTS_UNIT_H

#include <CUnit/Basic.h>

/*
 * unit - runs one table of CUnit tests; a test program's main() returns what
 * unit_run() returns: 0 only if every assertion held.
 */
typedef struct unit_test {
	const char *name;
	void (*run)(void);
} unit_test_t;

static inline int unit_run(const char *suite_name, const unit_test_t *tests)
{
	CU_pSuite suite;
	unsigned int failures;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return 2;
	suite = CU_add_suite(suite_name, NULL, NULL);
	for (; tests->name; tests++)
		CU_add_test(suite, tests->name, tests->run);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}

#endif
