#ifndef WASABILINK_COORD_LEDGER_CACHE_H
#define WASABILINK_COORD_LEDGER_CACHE_H

#include "coord/ledger_state.h"

/*
 * ledger_cache - decoded segments of a ledger, least recently used out first.
 */

void ledger_cache_free(void *data);
const cached_t *ledger_cache_get(ledger_t *ledger, uint64_t id);
const ledger_record *ledger_cache_find(const cached_t *cached, const void *key);

#endif
