#ifndef WASABILINK_COORD_LEDGER_SEAL_H
#define WASABILINK_COORD_LEDGER_SEAL_H

#include "coord/ledger_state.h"

/*
 * ledger_seal - limit of live bytes above which a ledger seals records, and
 * the bytes that a seal keeps live
 *
 * Every commit writes all live records, so a small limit writes fewer bytes.
 * Every seal costs a write, so a large limit needs fewer writes. Without fixed
 * options the limit follows the mean bytes of a commit.
 */

/* Counts bytes of new records, which the next head contains first. */
void ledger_seal_add(ledger_t *ledger, size_t bytes);
/* Ends a commit: adds the bytes counted since the last one to the mean. */
void ledger_seal_commit(ledger_t *ledger);
uint32_t ledger_seal_bytes(const ledger_t *ledger);
uint32_t ledger_seal_keep_bytes(const ledger_t *ledger);

#endif
