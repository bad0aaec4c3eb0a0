#ifndef WASABILINK_COORD_PLACEMENT_H
#define WASABILINK_COORD_PLACEMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coord/member.h"

/*
 * placement - assigns each of a fixed set of keys to an alive member.
 *
 * Rendezvous hashing with bounded loads (after Mirrokni, Thorup and
 * Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2016): in the order
 * of the keys, each is assigned to the member with the highest weight whose
 * load is below the bound. Nodes with the same table agree. While tables
 * differ, two nodes may both consider themselves the owner of a key, so a lease
 * has to decide. Members that report the store as unreachable get no keys while
 * others reach it.
 */
typedef struct placement placement_t;

/* Keys are the prefix followed by a number from 0; members is borrowed. */
placement_t *placement_new(const member_table_t *members, const char *prefix,
			   uint32_t count);
void placement_free(placement_t *placement);

/* Recomputes the assignments from the member table. */
void placement_update(placement_t *placement);

/* Address of the key's member, valid until the next update; NULL when no member
 * is alive. */
const char *placement_owner(const placement_t *placement, uint32_t number);
bool placement_is_own(const placement_t *placement, uint32_t number);
/* Whether this node is the most likely next owner of the key if its member were
 * lost, alone or with all other nodes of the member's domain. */
bool placement_is_standby(const placement_t *placement, uint32_t number);

/* Maximum number of keys per member with this many alive members. */
uint32_t placement_bound(uint32_t keys, uint32_t alive);

#endif
