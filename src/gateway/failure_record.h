#ifndef WASABILINK_GATEWAY_FAILURE_RECORD_H
#define WASABILINK_GATEWAY_FAILURE_RECORD_H

#include <stdbool.h>
#include <stdint.h>

/*
 * failure_record - requests that a runner has lost recently.
 *
 * Each node sends few requests to one runner. The sum of the nodes' records
 * shows soon that a runner loses a large part of its requests, although it
 * answers its health checks and some requests. The count decays exponentially.
 *
 * Times are monotonic, in microseconds. All zero is a new record.
 */
typedef struct failure_record {
	double count; /* as of at_us */
	int64_t at_us;
} failure_record_t;

void failure_record_add(failure_record_t *record, int64_t now_us);
/* Decayed number of failures, in hundredths. */
uint32_t failure_record_percent(const failure_record_t *record, int64_t now_us);

/*
 * Whether a runner loses most of its requests, so that it gets no online ones
 * as long as another runner can take them. percent is the sum of
 * failure_record_percent() over the nodes; online and batch are the requests
 * that the nodes have in flight there, from which the number of answered
 * requests is estimated.
 */
bool failure_record_is_failing(uint32_t percent, uint32_t online,
			       uint32_t batch);

#endif
