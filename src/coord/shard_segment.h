#ifndef WASABILINK_COORD_SHARD_SEGMENT_H
#define WASABILINK_COORD_SHARD_SEGMENT_H

#include "coord/shard_state.h"

/*
 * shard_segment - reads, writes and compacts the segments and index objects of
 * an owned shard
 */

void shard_segment_read(shard_t *shard, uint64_t id);
/* Starts writing a segment or index object. To be called before updates are
 * executed. Returns false when nothing is to be written. */
bool shard_segment_write(shard_t *shard);
/* Starts writing a segment of executed updates; the head is written after it.
 * Returns false when there is no segment to write before the head. */
bool shard_segment_write_ahead(shard_t *shard);
/* Ends a segment written ahead: the head that refers to it is durable, or will
 * not become durable. */
void shard_segment_ahead_done(shard_t *shard);
void shard_segment_ahead_drop(shard_t *shard, bool maybe_stored);
void shard_segment_compact(shard_t *shard);

#endif
