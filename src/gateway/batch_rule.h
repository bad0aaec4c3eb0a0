#ifndef WASABILINK_GATEWAY_BATCH_RULE_H
#define WASABILINK_GATEWAY_BATCH_RULE_H

#include <stdint.h>

#include <glib.h>
#include <stdbool.h>

/*
 * batch_rule - when batch work may take places that online requests leave.
 *
 * Batch work gives its place up within some ten milliseconds, well before an
 * online request misses its objective, so it may fill nearly all places.
 */
typedef struct batch_input {
	int64_t now_us;
	int64_t due_us;
	int32_t free_places; /* of the service, over all runners */
	int32_t places;
} batch_input_t;

bool batch_may_start(const batch_input_t *input);
/* Pause of work that gave way, before it looks for a place again: the load
 * that took its place is likely still there. */
int32_t batch_yield_pause_ms(GRand *random);

#endif
