#ifndef WASABILINK_COORD_SHARD_SEGMENT_H
#define WASABILINK_COORD_SHARD_SEGMENT_H

#include "coord/shard_state.h"

/*
 * shard_segment - reads, writes and compacts the segments and index objects of
 * an owned shard.
 */

void shard_segment_read(shard_t *shard, uint64_t id);
/* Before updates are executed. False when nothing is to be written. */
bool shard_segment_write(shard_t *shard);
/* Seals executed updates; the head is written after the segment. False when
 * the head is to be written at once. */
bool shard_segment_write_ahead(shard_t *shard);
/* The head that names the segment is durable, or will not be. */
void shard_segment_ahead_done(shard_t *shard);
void shard_segment_ahead_drop(shard_t *shard, bool maybe_stored);
void shard_segment_carry(shard_t *shard);

#endif
