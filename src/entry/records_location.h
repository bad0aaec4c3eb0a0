#ifndef WASABILINK_ENTRY_RECORDS_LOCATION_H
#define WASABILINK_ENTRY_RECORDS_LOCATION_H

#include "entry/records_state.h"

/*
 * records_location - the shard of a key and the node to send its operations to.
 */

/* The ledger's fingerprints use the first bytes of the key. */
location_t *records_location_of(const records_t *records, const void *key);
/* NULL after a final_error. */
void records_location_set_failed(location_t *location, const char *address);
void records_location_set_hint(location_t *location, const char *hint);
/* Where to send an operation: NULL for this node. */
const char *records_location_target(const location_t *location);
/* A candidate that does not own the shard yet lets operations wait, unless it
 * knows the owner. */
bool records_location_is_served(const location_t *location);

#endif
