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
/* What a node knows of a failure domain. */
typedef struct batch_domain {
	const char *name;
	bool near; /* this node's own */
	uint32_t waiting; /* items that look for a place at its nodes */
	uint32_t hopeless; /* of these, items that cannot be done in time */
	uint32_t free_places;
	uint32_t places;
} batch_domain_t;

/*
 * In a large system items run in their own domain, as load elsewhere is known
 * late. Items that find no place there may take what another domain has beyond
 * its own waiting items and a reserve. Returns how many this node may start in
 * that domain now; *domain is its index. The draws are uniform in [0, 1).
 */
uint32_t batch_far_share(const batch_domain_t *domains, guint count,
			 uint32_t own_unplaced, const double draws[2],
			 guint *domain);

/*
 * Index of the domain in which a job that was submitted in the near one is to
 * run: its items stay in that domain, so jobs go where fewer wait for each
 * place. The draw is uniform in [0, 1).
 */
guint batch_job_domain(const batch_domain_t *domains, guint count, double draw);

/* Pause of work that gave way, before it looks for a place again: the load
 * that took its place is likely still there. */
int32_t batch_yield_pause_ms(GRand *random);

#endif
