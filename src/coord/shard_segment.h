#ifndef WASABILINK_COORD_SHARD_SEGMENT_H
#define WASABILINK_COORD_SHARD_SEGMENT_H

#include "coord/shard_state.h"

/*
 * shard_segment - reads, writes and compacts the segments and index objects of
 * an owned shard.
 */

void shard_segment_read(shard_t *shard, uint64_t id);
bool shard_segment_write(shard_t *shard);
void shard_segment_carry(shard_t *shard);

#endif
