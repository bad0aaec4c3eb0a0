#ifndef WASABILINK_BATCH_DISPATCHER_CHUNK_H
#define WASABILINK_BATCH_DISPATCHER_CHUNK_H

#include "batch/dispatcher_state.h"

/*
 * dispatcher_chunk - chunks of the dispatcher: grants, leases, result objects
 * and chunks that go back.
 */
void dispatcher_chunk_free(void *data);
void dispatcher_chunk_hand_back(dispatcher_t *dispatcher,
				dispatch_chunk_t *chunk);
void dispatcher_chunk_write(dispatcher_t *dispatcher, dispatch_chunk_t *chunk);
/* Renews at once. Until the renewal is answered, no suspect of the chunk
 * starts: the next holder must know of the death. */
void dispatcher_chunk_record_death(dispatcher_t *dispatcher,
				   dispatch_chunk_t *chunk);
void dispatcher_chunk_tick(dispatcher_t *dispatcher, dispatch_chunk_t *chunk);

#endif
