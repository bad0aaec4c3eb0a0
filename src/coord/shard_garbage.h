#ifndef WASABILINK_COORD_SHARD_GARBAGE_H
#define WASABILINK_COORD_SHARD_GARBAGE_H

#include "coord/shard_state.h"

/*
 * shard_garbage - removes objects to which the head does not refer
 *
 * A removal is conditional on the object's version, so the object is listed
 * first. After a failure it stays in the store, and an orphan sweep finds it.
 */

void shard_garbage_remove(shard_t *shard);

#endif
