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

/* Services that estimates are kept of. */
#define ITEM_ESTIMATES_MAX 64

/* Estimates by service, as items of different services differ in length. When
 * there are too many, the one that was used least recently is removed. */
typedef struct item_estimates item_estimates_t;

item_estimates_t *item_estimates_new(void);
void item_estimates_free(item_estimates_t *estimates);
/* Returns the estimate of a service (a hash of its name). The pointer is valid
 * until the next call. */
item_estimate_t *item_estimates_get(item_estimates_t *estimates,
				    uint64_t service);
uint32_t item_estimates_count(const item_estimates_t *estimates);

void item_estimate_add(item_estimate_t *estimate, int64_t elapsed_ms,
		       int64_t events);
/* Time that an item still needs after it has delivered that many events. */
int64_t item_estimate_needed_ms(const item_estimate_t *estimate,
				int64_t events);

#endif
