#ifndef WASABILINK_COORD_PLACEMENT_H
#define WASABILINK_COORD_PLACEMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coord/member.h"

/*
 * placement - which alive member each of a fixed set of keys belongs to.
 *
 * Rendezvous hashing with bounded loads (after Mirrokni, Thorup and
 * Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2016): in the order
 * of the keys, each goes to the member with the highest weight that has fewer
 * than the bound. Nodes with the same table agree; while tables differ, two
 * nodes may both think that a key is theirs, so a lease has to decide. Members
 * that say that they do not reach the store get nothing while others do.
 */
typedef struct placement placement_t;

/* Keys are prefix and number, from 0; members is borrowed. */
placement_t *placement_new(const member_table_t *members, const char *prefix,
			   uint32_t count);
void placement_free(placement_t *placement);

/* Computes it anew from the member table. */
void placement_update(placement_t *placement);

/* Address of the key's member, valid until the next update; NULL when no
 * member is alive. */
const char *placement_owner(const placement_t *placement, uint32_t number);
bool placement_is_own(const placement_t *placement, uint32_t number);
/* Whether the node itself would most likely get the key if its member were
 * lost, alone or with all other nodes of the member's domain. */
bool placement_is_standby(const placement_t *placement, uint32_t number);

/* Most keys that one of alive members may have. */
uint32_t placement_bound(uint32_t keys, uint32_t alive);

#endif
