#include "base/histogram.h"

#include <string.h>

#define SUB_BUCKETS (1U << HISTOGRAM_SUB_BITS)

static uint32_t bucket_of(int64_t value_us)
{
	uint32_t value = value_us < 0	       ? 0 :
			 value_us > UINT32_MAX ? UINT32_MAX :
						 (uint32_t)value_us;
	uint32_t shift;

	if (value < SUB_BUCKETS)
		return value;
	shift = 31 - (uint32_t)__builtin_clz(value) - HISTOGRAM_SUB_BITS;
	return ((shift + 1) << HISTOGRAM_SUB_BITS) +
	       ((value >> shift) & (SUB_BUCKETS - 1));
}

static int64_t bucket_end(uint32_t bucket)
{
	uint32_t group = bucket >> HISTOGRAM_SUB_BITS;
	int64_t sub = bucket & (SUB_BUCKETS - 1);

	if (group == 0)
		return sub;
	return ((sub + SUB_BUCKETS + 1) << (group - 1)) - 1;
}

void histogram_clear(histogram_t *histogram)
{
	memset(histogram, 0, sizeof(*histogram));
}

void histogram_add(histogram_t *histogram, int64_t value_us)
{
	histogram->counts[bucket_of(value_us)]++;
	histogram->total++;
}

void histogram_age(histogram_t *histogram)
{
	histogram->total = 0;
	for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		histogram->counts[i] /= 2;
		histogram->total += histogram->counts[i];
	}
}

int64_t histogram_quantile(const histogram_t *histogram, double quantile)
{
	uint64_t rank = (uint64_t)((double)histogram->total * quantile);
	uint64_t seen = 0;

	if (histogram->total == 0)
		return 0;
	if (rank >= histogram->total)
		rank = histogram->total - 1;
	for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		seen += histogram->counts[i];
		if (seen > rank)
			return bucket_end(i);
	}
	return 0;
}
