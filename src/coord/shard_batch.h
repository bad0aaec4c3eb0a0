#ifndef WASABILINK_COORD_SHARD_BATCH_H
#define WASABILINK_COORD_SHARD_BATCH_H

#include "coord/shard_state.h"

/*
 * shard_batch - executes waiting operations and keeps them until the head
 * write that makes their updates durable
 */

GPtrArray *shard_batch_take(shard_t *shard);
void shard_batch_fail(shard_t *shard, bool maybe_written);
void shard_batch_commit(shard_t *shard);
/* Executes waiting operations; returns the bytes of applied updates. */
size_t shard_batch_execute(shard_t *shard, bool with_updates);

#endif
