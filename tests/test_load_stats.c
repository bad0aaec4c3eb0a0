#include "tool/load_stats.h"

#include <stdlib.h>

#include "unit.h"

static int compare(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

/* Quantiles against a sorted list: at most 1/64 above the exact value. */
static void test_quantiles_against_sorted_values(void)
{
	static load_histogram_t histogram;
	static int64_t values[10000];
	static const double quantiles[] = { 0.001, 0.5, 0.95, 0.99, 0.999, 1 };
	uint64_t state = 12345;

	for (int i = 0; i < 10000; i++) {
		state = state * 6364136223846793005U + 1442695040888963407U;
		values[i] = (int64_t)(state >> (34 + i % 30));
		load_histogram_add(&histogram, values[i]);
	}
	qsort(values, 10000, sizeof(values[0]), compare);
	for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++) {
		int64_t exact = values[(int)(quantiles[i] * 10000 + 0.5) - 1];
		int64_t found =
			load_histogram_quantile(&histogram, quantiles[i]);

		CU_ASSERT(found >= exact);
		CU_ASSERT(found <= exact + exact / LOAD_SUB_BUCKETS);
	}
}

/* Values above the range must not be written outside the buckets. */
static void test_extreme_values(void)
{
	static load_histogram_t histogram;

	load_histogram_add(&histogram, -5);
	load_histogram_add(&histogram, 0);
	load_histogram_add(&histogram, INT64_MAX);
	CU_ASSERT_EQUAL(histogram.total, 3);
	CU_ASSERT_EQUAL(load_histogram_quantile(&histogram, 0.5), 0);
	CU_ASSERT(load_histogram_quantile(&histogram, 1) > (int64_t)1 << 34);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "quantiles against sorted values",
		  test_quantiles_against_sorted_values },
		{ "extreme values", test_extreme_values },
		{ NULL, NULL },
	};

	return unit_run("load_stats", tests);
}
