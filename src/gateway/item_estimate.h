#ifndef WASABILINK_GATEWAY_ITEM_ESTIMATE_H
#define WASABILINK_GATEWAY_ITEM_ESTIMATE_H

#include <stdint.h>

/*
 * item_estimate - how long a batch item takes, from those that finished here.
 *
 * The time counts from the first start to the end, with the pauses in which
 * the item gave way to online requests: under load it takes that much longer.
 */
typedef struct item_estimate {
	double item_ms; /* moving average; 0: none has finished */
	double item_events;
} item_estimate_t;

void item_estimate_add(item_estimate_t *estimate, int64_t elapsed_ms,
		       int64_t events);
/* Time that an item needs that has delivered that many events. */
int64_t item_estimate_needed_ms(const item_estimate_t *estimate,
				int64_t events);

#endif
