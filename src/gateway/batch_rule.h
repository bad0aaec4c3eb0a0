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
/*
 * The part of the free places that this node may take in one round, by its
 * part of all waiting items; draw is uniform in [0, 1) and decides on the part
 * below one. Nodes that all see the same places free would otherwise all take
 * them.
 */
uint32_t batch_share(int32_t free_places, uint32_t own_waiting,
		     uint32_t peers_waiting, double draw);
/* Pause of work that gave way, before it looks for a place again: the load
 * that took its place is likely still there. */
int32_t batch_yield_pause_ms(GRand *random);

#endif
