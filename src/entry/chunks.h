#ifndef WASABILINK_ENTRY_CHUNKS_H
#define WASABILINK_ENTRY_CHUNKS_H

#include "entry/entry.h"

/*
 * chunks - the coordinator's I/O: follows the job records that this node owns,
 * answers CHUNK_PULL, CHUNK_RENEW and CHUNK_DONE, reads result objects, writes
 * the records, and offers waiting chunks to the dispatchers (CHUNK_OFFER).
 *
 * After a pause of the process it refuses leases until the ledger must have
 * noticed a successor, so a paused coordinator cannot prolong a lease that the
 * successor takes for expired.
 */
typedef struct chunks chunks_t;

chunks_t *chunks_new(entry_t *entry);

#endif
