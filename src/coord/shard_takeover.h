#ifndef WASABILINK_COORD_SHARD_TAKEOVER_H
#define WASABILINK_COORD_SHARD_TAKEOVER_H

#include "coord/shard_state.h"

/*
 * shard_takeover - polls the head of a shard that this node does not own, and
 * acquires the shard after its owner has released it or the lease has expired
 */

void shard_takeover_step(shard_t *shard, int64_t now);

#endif
