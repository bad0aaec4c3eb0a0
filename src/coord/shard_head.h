#ifndef WASABILINK_COORD_SHARD_HEAD_H
#define WASABILINK_COORD_SHARD_HEAD_H

#include "coord/shard_state.h"

/*
 * shard_head - conditional writes of the head object and their read-back
 *
 * At most one write is in flight. It makes the batch durable when it succeeds
 * and ends the ownership when another node's write has won.
 */

void shard_head_write(shard_t *shard, bool acquiring, bool releasing);
/* Reverts the batch after a write that had no effect or did not start, and
 * returns its operations to the queue in their order. maybe_stored: whether
 * the segment written ahead of the head may be in the store. */
void shard_head_requeue(shard_t *shard, bool maybe_stored);
void shard_head_read_back(shard_t *shard);

#endif
