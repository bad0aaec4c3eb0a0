#ifndef WASABILINK_COORD_LEDGER_CACHE_H
#define WASABILINK_COORD_LEDGER_CACHE_H

#include "coord/ledger_state.h"

/*
 * ledger_cache - LRU cache of the decoded segments of a ledger
 *
 * The functions that callers of the ledger use are declared in ledger.h.
 */

void ledger_cache_free(void *data);
const cached_t *ledger_cache_get(ledger_t *ledger, uint64_t id);
const ledger_record *ledger_cache_find(const cached_t *cached, const void *key);

#endif
