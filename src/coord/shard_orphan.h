#ifndef WASABILINK_COORD_SHARD_ORPHAN_H
#define WASABILINK_COORD_SHARD_ORPHAN_H

#include "coord/shard_state.h"

/*
 * shard_orphan - finds segments and index objects to which no head refers
 *
 * Orphans remain when an owner stops after it has stored an object and before
 * it has written the head that refers to it, or when a removal fails. The owner
 * lists the shard's objects after it has acquired the shard and then every
 * sweep_ms. Objects of a later epoch belong to a later owner and are kept.
 */

/* Starts or continues a sweep. To be called only while no head write is
 * pending. */
void shard_orphan_step(shard_t *shard, int64_t now);
/* Discards the state of a sweep when ownership ends. */
void shard_orphan_reset(shard_t *shard);

#endif
