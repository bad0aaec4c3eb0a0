#ifndef WASABILINK_COORD_LEDGER_SEAL_H
#define WASABILINK_COORD_LEDGER_SEAL_H

#include "coord/ledger_state.h"

/*
 * ledger_seal - how many live bytes start a seal, and how many it keeps.
 *
 * Every commit sends the live records, so a small limit sends fewer bytes; a
 * seal costs a write, so a large limit needs fewer writes. Without fixed
 * options the limit follows the mean bytes of a commit.
 */

/* Counts bytes that the next head writes for the first time. */
void ledger_seal_add(ledger_t *ledger, size_t bytes);
/* Ends a commit: takes the bytes counted since the last one into the mean. */
void ledger_seal_commit(ledger_t *ledger);
uint32_t ledger_seal_bytes(const ledger_t *ledger);
uint32_t ledger_seal_keep_bytes(const ledger_t *ledger);

#endif
