#ifndef WASABILINK_BASE_HISTOGRAM_H
#define WASABILINK_BASE_HISTOGRAM_H

#include <stdint.h>

/*
 * histogram - distribution of durations, 1 us to about 1 h, with a relative
 * error of at most 1/16, in fixed memory.
 *
 * Values are in microseconds. histogram_age() halves all counts, so that
 * quantiles follow recent values.
 */
#define HISTOGRAM_SUB_BITS 4
#define HISTOGRAM_BUCKETS ((33 - HISTOGRAM_SUB_BITS) << HISTOGRAM_SUB_BITS)

typedef struct histogram {
	uint64_t total;
	uint32_t counts[HISTOGRAM_BUCKETS];
} histogram_t;

void histogram_clear(histogram_t *histogram);
void histogram_add(histogram_t *histogram, int64_t value_us);
void histogram_age(histogram_t *histogram);
/* Upper bound of the bucket that holds the quantile (0..1); 0 when empty. */
int64_t histogram_quantile(const histogram_t *histogram, double quantile);

#endif
