#include "gateway/failure_record.h"

#include <math.h>

/* Runners that flap do so by the second. */
#define HALF_LIFE_US 1500000.0
/* A single lost request says little. */
#define LEAST_PERCENT 150
/* Part of the requests that are lost. Below, a runner still serves more than it
 * loses, and without it the others would be overloaded. */
#define BAD_SHARE 0.6
/* Requests that a runner answers within the time over which failures count,
 * for each one that it works on: 2.2 s, at 0.7 s a request. */
#define ANSWERS_PER_REQUEST 3.0
/* The same for a batch item, at 8 s an item. */
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

bool failure_record_is_bad(uint32_t percent, uint32_t online, uint32_t batch)
{
	double failures = percent / 100.0;
	double answers =
		ANSWERS_PER_REQUEST * online + ANSWERS_PER_ITEM * batch;

	return percent >= LEAST_PERCENT &&
	       failures >= BAD_SHARE * (failures + answers);
}
