#ifndef WASABILINK_GATEWAY_BATCH_RULE_H
#define WASABILINK_GATEWAY_BATCH_RULE_H

#include <stdint.h>

#include <glib.h>
#include <stdbool.h>

/*
 * batch_rule - when batch work may take places that online requests leave, and
 * which items go first.
 *
 * Batch work gives its place up within some ten milliseconds, well before an
 * online request misses its objective, so it may fill nearly all places.
 *
 * Items go by their due time over all nodes. One that can no longer be done in
 * time goes after all that can: under overload, it would otherwise make the
 * next ones late as well.
 */

/* Classes of urgency, the most urgent first, and the last for items that
 * cannot be done in time. */
#define BATCH_URGENCIES 9
#define BATCH_HOPELESS (BATCH_URGENCIES - 1)

/* Items that look for a place, by urgency. */
typedef struct batch_waiting {
	uint32_t items[BATCH_URGENCIES];
} batch_waiting_t;

/* Urgency of an item that is due in left_ms and takes another needed_ms. */
uint32_t batch_urgency(int64_t left_ms, int64_t needed_ms);

typedef struct batch_input {
	uint32_t urgency;
	int32_t free_places; /* of the service, over all runners */
	int32_t places;
} batch_input_t;

bool batch_may_start(const batch_input_t *input);
/*
 * The items of each urgency that this node may start in one round. The free
 * places go to the most urgent items of all nodes; where there are more of one
 * urgency than places, by this node's part of them. draw is uniform in [0, 1)
 * and decides on the part below one. Nodes that all see the same places free
 * would otherwise all take them.
 */
void batch_share(int32_t free_places, const batch_waiting_t *own,
		 const batch_waiting_t *peers, double draw,
		 batch_waiting_t *starts);
/* Pause of work that gave way, before it looks for a place again: the load
 * that took its place is likely still there. */
int32_t batch_yield_pause_ms(GRand *random);

#endif
