#include "base/histogram.h"

#include "unit.h"

/* Quantiles must stay within the promised relative error at every scale. */
static void test_error_bound(void)
{
	for (int64_t value = 1; value < 4000000000LL; value = value * 3 + 1) {
		histogram_t histogram;
		int64_t found;

		histogram_clear(&histogram);
		histogram_add(&histogram, value);
		found = histogram_quantile(&histogram, 0.5);
		CU_ASSERT(found >= value);
		CU_ASSERT(found - value <= value / 16 + 1);
	}
}

static void test_quantiles(void)
{
	histogram_t histogram;

	histogram_clear(&histogram);
	CU_ASSERT_EQUAL(histogram_quantile(&histogram, 0.99), 0);
	for (int i = 1; i <= 1000; i++)
		histogram_add(&histogram, i <= 990 ? 10 : 100000);
	CU_ASSERT_EQUAL(histogram_quantile(&histogram, 0.5), 10);
	CU_ASSERT(histogram_quantile(&histogram, 0.995) >= 100000);
	histogram_age(&histogram);
	CU_ASSERT_EQUAL(histogram.total, 500);
}

/* Values outside the range must not write outside the buckets. */
static void test_extremes(void)
{
	histogram_t histogram;

	histogram_clear(&histogram);
	histogram_add(&histogram, -5);
	histogram_add(&histogram, INT64_MAX);
	CU_ASSERT_EQUAL(histogram.total, 2);
	CU_ASSERT_EQUAL(histogram_quantile(&histogram, 1), UINT32_MAX);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "error bound", test_error_bound },
		{ "quantiles", test_quantiles },
		{ "extremes", test_extremes },
		{ NULL, NULL },
	};

	return unit_run("histogram", tests);
}
