#ifndef WASABILINK_GATEWAY_FAILURE_RECORD_H
#define WASABILINK_GATEWAY_FAILURE_RECORD_H

#include <stdbool.h>
#include <stdint.h>

/*
 * failure_record - how many requests a runner has lost lately, over all nodes.
 *
 * Each node sees few requests of one runner. Together they see soon that it
 * loses a large part of them, although it answers its health checks and some
 * requests. Failures count less the older they are.
 *
 * Times are of the steady clock, in microseconds. All zero is a new record.
 */
typedef struct failure_record {
	double count; /* as of at_us */
	int64_t at_us;
} failure_record_t;

void failure_record_add(failure_record_t *record, int64_t now_us);
/* Recent failures, in hundredths. */
uint32_t failure_record_percent(const failure_record_t *record, int64_t now_us);

/*
 * Whether a runner loses most of its requests, so that it gets no online ones
 * as long as another can take them. percent is the sum over the nodes, online
 * and batch what they have there now: a runner that works answers some requests
 * for each one that is there.
 */
bool failure_record_is_bad(uint32_t percent, uint32_t online, uint32_t batch);

#endif
