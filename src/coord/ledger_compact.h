#ifndef WASABILINK_COORD_LEDGER_COMPACT_H
#define WASABILINK_COORD_LEDGER_COMPACT_H

#include "coord/ledger_state.h"

/*
 * ledger_compact - compaction of the oldest segments of a ledger.
 *
 * The function is in ledger.h.
 */

#endif
