#ifndef WASABILINK_COORD_LEDGER_WRITE_H
#define WASABILINK_COORD_LEDGER_WRITE_H

#include "coord/ledger_state.h"

/*
 * ledger_write - seals live records into segments and merges index objects
 *
 * The functions are declared in ledger.h.
 */

#endif
