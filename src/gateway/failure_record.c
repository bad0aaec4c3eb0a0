#include "gateway/failure_record.h"

#include <math.h>

/* Flapping runners change their state about once per second. */
#define HALF_LIFE_US 1500000.0
/* A single lost request is not evidence of a fault. */
#define MIN_PERCENT 150
/* Share of the requests that are lost. Below it a runner is still useful, and
 * without it the others would be overloaded. */
#define FAILING_SHARE 0.6
/* Requests that a runner answers within the time over which failures count
 * (2.2 s), for each one that it is processing, at 0.7 s per request. */
#define ANSWERS_PER_REQUEST 3.0
/* The same for batch items, at 8 s per item. */
#define ANSWERS_PER_ITEM 0.3

static double decayed(const failure_record_t *record, int64_t now_us)
{
	double age_us = (double)(now_us - record->at_us);

	return record->count * exp2(-age_us / HALF_LIFE_US);
}

void failure_record_add(failure_record_t *record, int64_t now_us)
{
	record->count = decayed(record, now_us) + 1;
	record->at_us = now_us;
}

uint32_t failure_record_percent(const failure_record_t *record, int64_t now_us)
{
	return (uint32_t)(decayed(record, now_us) * 100);
}

bool failure_record_is_failing(uint32_t percent, uint32_t online,
			       uint32_t batch)
{
	double failures = percent / 100.0;
	double answers =
		ANSWERS_PER_REQUEST * online + ANSWERS_PER_ITEM * batch;

	return percent >= MIN_PERCENT &&
	       failures >= FAILING_SHARE * (failures + answers);
}
