#ifndef WASABILINK_ENTRY_RECORDS_LOCATION_H
#define WASABILINK_ENTRY_RECORDS_LOCATION_H

#include "entry/records_state.h"

/*
 * records_location - finds the shard of a key and the node that serves it.
 */

/* Hashes the last bytes of the key, because the ledger's fingerprints use the
 * first ones. */
location_t *records_location_of(const records_t *records, const void *key);
/* Records the peer whose last attempt gave no final result; NULL after a final
 * result. */
void records_location_set_failed(location_t *location, const char *address);
/* Records the owner that a peer named; an empty or own address is ignored. */
void records_location_set_hint(location_t *location, const char *hint);
/* Returns the address to send an operation to; NULL for this node. */
const char *records_location_target(const location_t *location);
/* Returns whether this node accepts operations on the shard. A candidate that
 * does not own the shard yet queues them, unless it knows a usable owner. */
bool records_location_accepts(const location_t *location);

#endif
