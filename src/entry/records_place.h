#ifndef WASABILINK_ENTRY_RECORDS_PLACE_H
#define WASABILINK_ENTRY_RECORDS_PLACE_H

#include "entry/records_state.h"

/*
 * records_place - the shard of a key and the node to send its operations to.
 */

/* The ledger's fingerprints use the first bytes of the key. */
place_t *records_place_of(const records_t *records, const void *key);
/* NULL after a verdict. */
void records_place_set_failed(place_t *place, const char *address);
void records_place_set_hint(place_t *place, const char *hint);
/* Where to send an operation: NULL for this node. */
const char *records_place_target(const place_t *place);
/* A candidate that does not own the shard yet lets operations wait, unless it
 * knows the owner. */
bool records_place_serves(const place_t *place);

#endif
