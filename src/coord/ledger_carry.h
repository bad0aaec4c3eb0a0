#ifndef WASABILINK_COORD_LEDGER_CARRY_H
#define WASABILINK_COORD_LEDGER_CARRY_H

#include "coord/ledger_state.h"

/*
 * ledger_carry - compaction of the oldest segments of a ledger.
 *
 * The function is in ledger.h.
 */

#endif
