#ifndef WASABILINK_ENTRY_CHUNKS_H
#define WASABILINK_ENTRY_CHUNKS_H

#include "entry/entry.h"

/*
 * chunks - I/O of the coordinator.
 *
 * Follows the job records that this node owns, answers CHUNK_PULL, CHUNK_RENEW
 * and CHUNK_DONE, reads result objects, writes job records, and offers waiting
 * chunks to dispatchers (CHUNK_OFFER).
 *
 * After a pause of the process it refuses leases for a time in which the ledger
 * learns of a successor. Otherwise a coordinator that was paused could renew a
 * lease that its successor regards as expired.
 */
typedef struct chunks chunks_t;

chunks_t *chunks_new(entry_t *entry);

#endif
