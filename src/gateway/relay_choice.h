#ifndef WASABILINK_GATEWAY_RELAY_CHOICE_H
#define WASABILINK_GATEWAY_RELAY_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * relay_choice - which node passes a call on to a runner that this node cannot
 * connect to.
 *
 * A node qualifies if its last report is recent, it takes such calls, and it has
 * not lost the runner's domain itself. A node outside this node's and the
 * runner's domain qualifies only if this node has lost its own domain as well:
 * otherwise the runner's domain is most likely cut off from all.
 */
typedef struct relay_candidate {
	bool accepts; /* takes calls of other nodes */
	bool avoided; /* a call through it has failed just now */
	bool local; /* in this node's domain */
	bool target; /* in the runner's domain */
	bool lost_target; /* cannot connect to the runner's domain either */
	bool draining; /* stops soon; taken only if no other qualifies */
	bool repeatable_only; /* takes only calls that may run again */
	uint32_t calls; /* of other nodes in progress there */
	int64_t age_ms; /* of its report */
} relay_candidate_t;

/*
 * Returns the index of the candidate with the fewest calls, or -1 without one.
 * lost_own: this node has lost its own domain. repeatable: the call may run
 * again. draw is uniform in [0, 1) and
 * selects among equal candidates.
 */
int relay_choice(const relay_candidate_t *candidates, size_t count,
		 bool lost_own, bool repeatable, double draw);

#endif
