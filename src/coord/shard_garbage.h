#ifndef WASABILINK_COORD_SHARD_GARBAGE_H
#define WASABILINK_COORD_SHARD_GARBAGE_H

#include "coord/shard_state.h"

/*
 * shard_garbage - removes objects that no head refers to any more.
 *
 * An object's version must be known to remove it. What a failure leaves
 * behind stays in the store without being referred to.
 */

void shard_garbage_remove(shard_t *shard);

#endif
