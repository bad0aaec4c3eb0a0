#ifndef WASABILINK_GATEWAY_ITEM_ESTIMATE_H
#define WASABILINK_GATEWAY_ITEM_ESTIMATE_H

#include <stdint.h>

/*
 * item_estimate - estimate of the time that a batch item takes, from the items
 * that finished at this node.
 *
 * The time of an item runs from its first start to its result and includes the
 * time for which it was preempted by online requests, so the estimate grows
 * with the load.
 */
typedef struct item_estimate {
	double item_ms; /* moving average; 0: no item has finished */
	double item_events;
} item_estimate_t;

void item_estimate_add(item_estimate_t *estimate, int64_t elapsed_ms,
		       int64_t events);
/* Time that an item still needs after it has delivered that many events. */
int64_t item_estimate_needed_ms(const item_estimate_t *estimate,
				int64_t events);

#endif
