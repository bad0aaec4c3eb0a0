#ifndef WASABILINK_BATCH_DISPATCHER_CHUNK_H
#define WASABILINK_BATCH_DISPATCHER_CHUNK_H

#include "batch/dispatcher_state.h"

/*
 * dispatcher_chunk - chunks of the dispatcher: grants, leases, result objects
 * and the release of chunks.
 */
void dispatcher_chunk_free(void *data);
void dispatcher_chunk_release(dispatcher_t *dispatcher,
			      dispatch_chunk_t *chunk);
void dispatcher_chunk_write(dispatcher_t *dispatcher, dispatch_chunk_t *chunk);
/* Renews at once. Until the renewal is answered, no suspect of the chunk
 * starts, because the next holder must know of the runner loss. */
void dispatcher_chunk_report_loss(dispatcher_t *dispatcher,
				  dispatch_chunk_t *chunk);
void dispatcher_chunk_tick(dispatcher_t *dispatcher, dispatch_chunk_t *chunk);

#endif
