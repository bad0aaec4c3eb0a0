#ifndef WASABILINK_COORD_SHARD_ORPHAN_H
#define WASABILINK_COORD_SHARD_ORPHAN_H

#include "coord/shard_state.h"

/*
 * shard_orphan - finds segments and index objects that no head names.
 *
 * They stay when an owner ends between storing an object and the head that
 * would have named it, or when a removal fails. The owner lists the shard's
 * objects after it has acquired the shard and then once in sweep_ms. An object
 * of a later epoch is left alone: it is a successor's.
 */

/* Starts a sweep, or goes on with one. Only while no head write is pending. */
void shard_orphan_step(shard_t *shard, int64_t now);
/* The ownership has begun or ended: nothing of the last sweep holds. */
void shard_orphan_reset(shard_t *shard);

#endif
