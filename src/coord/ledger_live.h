#ifndef WASABILINK_COORD_LEDGER_LIVE_H
#define WASABILINK_COORD_LEDGER_LIVE_H

#include "coord/ledger_state.h"

/*
 * ledger_live - the records of a ledger that are in memory and in the head
 *
 * Keeps the total of their encoded bytes and the total of each kind. Entries
 * are reference counted, since an undo holds the entry that its update
 * replaced. Times are wall clock milliseconds.
 */

guint ledger_live_key_hash(gconstpointer key);
gboolean ledger_live_key_equal(gconstpointer a, gconstpointer b);
void ledger_live_unref(void *data);
uint32_t ledger_live_kind(const ledger_record *record);
live_t *ledger_live_get(const ledger_t *ledger, const void *key);
void ledger_live_remove(ledger_t *ledger, const void *key);
/* Takes ownership of one reference. */
void ledger_live_put(ledger_t *ledger, live_t *live);
live_t *ledger_live_new(ledger_t *ledger, ledger_record *record);
/* Whether the entry is in a segment that is stored before a durable head
 * refers to it. */
bool ledger_live_is_ahead(const ledger_t *ledger, const live_t *live);
void ledger_live_drop_expired(ledger_t *ledger, uint64_t now_ms);

#endif
