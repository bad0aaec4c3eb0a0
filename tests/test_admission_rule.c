#include "gateway/admission_rule.h"
#include "unit.h"

/* A request that cannot be served in time must be refused. */
static void test_accepts(void)
{
	admission_input_t input = { .wait_ms = 0, .objective_ms = 300 };

	CU_ASSERT(admission_accepts(&input));
	input.wait_ms = INT32_MAX;
	CU_ASSERT_FALSE(admission_accepts(&input));
	input.wait_ms = 1000;
	CU_ASSERT_FALSE(admission_accepts(&input));
	input.wait_ms = 200;
	input.deadline_ms = 150;
	CU_ASSERT_FALSE(admission_accepts(&input));
}

/* A retry after a refusal must be accepted if it can be served before its
 * deadline, since the caller may not retry once more. */
static void test_retry(void)
{
	admission_input_t input = { .wait_ms = 1000,
				    .objective_ms = 300,
				    .deadline_ms = 4000 };

	CU_ASSERT_FALSE(admission_accepts(&input));
	input.is_retry = admission_is_retry(5000, 4000);
	CU_ASSERT(admission_accepts(&input));
	input.wait_ms = 4000;
	CU_ASSERT_FALSE(admission_accepts(&input));
	CU_ASSERT_FALSE(admission_is_retry(5000, 4990));
	CU_ASSERT_FALSE(admission_is_retry(5000, 5000));
	CU_ASSERT_FALSE(admission_is_retry(0, 5000));
	CU_ASSERT_FALSE(admission_is_retry(5000, 0));
}

/* Retry-After must be within the time that callers follow, and must leave
 * enough time to serve the retry. */
static void test_retry_within_deadline(void)
{
	GRand *random = g_rand_new_with_seed(3);

	for (int i = 0; i < 1000; i++) {
		CU_ASSERT(admission_retry_after_ms(random, 300, 5000) <= 1666);
		CU_ASSERT(admission_retry_after_ms(random, 300, 1000) <= 333);
	}
	CU_ASSERT(admission_retry_after_ms(random, 300, 100) > 0);
	g_rand_free(random);
}

/* Callers that are refused in one burst must not retry in one burst. */
static void test_retries_are_spread(void)
{
	GRand *random = g_rand_new_with_seed(3);
	int buckets[20] = { 0 };

	for (int i = 0; i < 1000; i++) {
		int32_t ms = admission_retry_after_ms(random, 300, 0);

		CU_ASSERT(ms > 0 && ms < 2000);
		buckets[ms / 100]++;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(buckets); i++)
		CU_ASSERT(buckets[i] < 250);
	g_rand_free(random);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "accepts", test_accepts },
		{ "retry", test_retry },
		{ "retry within deadline", test_retry_within_deadline },
		{ "retries are spread", test_retries_are_spread },
		{ NULL, NULL },
	};

	return unit_run("admission_rule", tests);
}
