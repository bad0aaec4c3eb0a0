#ifndef WASABILINK_COORD_SHARD_OP_H
#define WASABILINK_COORD_SHARD_OP_H

#include "coord/shard_state.h"

/*
 * shard_op - operations on a shard, from the call to the completion
 */

void shard_op_free(void *data);
/* Fails an operation of the batch. maybe_written: whether its update may be
 * part of a head write that takes effect. */
void shard_op_interrupt(shard_t *shard, op_t *op, bool maybe_written);
void shard_op_succeed(shard_t *shard, op_t *op);
op_t *shard_op_new(op_kind_t kind, int64_t deadline_ms, void *user_data);
void shard_op_enqueue(shard_t *shard, op_t *op);
void shard_op_refuse_all(shard_t *shard, GQueue *queue, const char *message);
void shard_op_refuse_expired(shard_t *shard, int64_t now);
/* Discards the records that a list operation has read so far. */
void shard_op_restart_list(op_t *op);

#endif
