#ifndef WASABILINK_COORD_SHARD_HEAD_H
#define WASABILINK_COORD_SHARD_HEAD_H

#include "coord/shard_state.h"

/*
 * shard_head - conditional writes of the head object and their read-back.
 *
 * At most one is in flight. Its outcome makes the batch durable, or ends the
 * ownership.
 */

void shard_head_write(shard_t *shard, bool acquiring, bool releasing);
/* The batch's write had no effect, or did not begin: its operations wait
 * again, in their order. maybe_stored: of a segment stored ahead. */
void shard_head_refuse(shard_t *shard, bool maybe_stored);
void shard_head_read_back(shard_t *shard);

#endif
