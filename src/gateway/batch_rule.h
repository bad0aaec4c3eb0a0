#ifndef WASABILINK_GATEWAY_BATCH_RULE_H
#define WASABILINK_GATEWAY_BATCH_RULE_H

#include <stdint.h>

#include <glib.h>
#include <stdbool.h>

/*
 * batch_rule - when batch items may use slots that online requests leave free,
 * and in which order items start.
 *
 * A batch item is preempted within some ten milliseconds, well before an online
 * request misses its latency objective, so batch items may fill nearly all
 * slots.
 *
 * Items start in the order of their deadlines over all nodes. Infeasible items,
 * which can no longer be done by their deadline, start after all others: under
 * overload they would otherwise make the following items late as well.
 */

/* Classes of urgency, the most urgent first. The last is for infeasible
 * items. */
#define BATCH_URGENCIES 9
#define BATCH_INFEASIBLE (BATCH_URGENCIES - 1)

/* Number of items that wait for a slot, by urgency. */
typedef struct batch_waiting {
	uint32_t items[BATCH_URGENCIES];
} batch_waiting_t;

/* Items that wait for a slot at the runners of one service. */
typedef struct batch_demand {
	uint64_t service; /* fleet_key() of its name */
	batch_waiting_t waiting;
} batch_demand_t;

/* Services that a node reports the waiting items of. */
#define BATCH_DEMANDS_MAX 16

/* Urgency of an item whose deadline is in remaining_ms and that needs another
 * needed_ms. */
uint32_t batch_urgency(int64_t remaining_ms, int64_t needed_ms);

/* The slots that are free for batch work, as all nodes see them. */
typedef struct batch_slots {
	uint32_t free;
	uint32_t total; /* of the service */
	/* In [0, 1), the same at all nodes that see the same slots; decides
	 * which node gets a slot that is not a whole share. */
	double phase;
} batch_slots_t;

/* Items of each urgency that this node may start in one round. */
typedef struct batch_starts {
	uint32_t items[BATCH_URGENCIES];
	/* Index of the first one's slot; the others have the next ones, modulo
	 * the number of free slots. */
	uint32_t first_slot[BATCH_URGENCIES];
} batch_starts_t;

/*
 * Divides the free slots among the nodes with waiting items, the most urgent
 * items first. The nodes have an order; before and after hold the items of the
 * nodes before and after this one. When a class has more items than there are
 * slots, each node gets slots in proportion to its items. Nodes with the same
 * view get different slots: if each chose on its own, all would start items at
 * the emptiest runners and preempt them at once. A reserve of the slots is kept
 * free of items that are not urgent.
 */
void batch_share(const batch_slots_t *slots, const batch_waiting_t *before,
		 const batch_waiting_t *own, const batch_waiting_t *after,
		 batch_starts_t *starts);

/* The load of a failure domain for one service, as this node knows it. */
typedef struct batch_domain {
	const char *name;
	bool local; /* the local domain of this node */
	uint32_t waiting; /* items that wait for a slot at its nodes */
	uint32_t infeasible; /* of these, infeasible items */
	uint32_t free_slots;
	uint32_t slots;
} batch_domain_t;

/*
 * In a large system items run in their own domain, as load reports of remote
 * domains are delayed. Items that get no slot there may use the free slots of a
 * remote domain that exceed its own waiting items and a reserve. Returns how
 * many items this node may start in that domain now; *domain is its index. The
 * draws are uniform in [0, 1).
 */
uint32_t batch_remote_share(const batch_domain_t *domains, guint count,
			    uint32_t own_without_slot, const double draws[2],
			    guint *domain);

/*
 * Index of the domain in which a job that was submitted in the local domain is
 * to run. Its items stay in that domain, so the domain with the fewest waiting
 * items per slot is preferred. The draw is uniform in [0, 1).
 */
guint batch_job_domain(const batch_domain_t *domains, guint count, double draw);

/* Backoff of a preempted item before it waits for a slot again: the load that
 * took its slot probably persists. */
int32_t batch_preemption_backoff_ms(GRand *random);

#endif
