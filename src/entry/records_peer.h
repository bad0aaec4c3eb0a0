#ifndef WASABILINK_ENTRY_RECORDS_PEER_H
#define WASABILINK_ENTRY_RECORDS_PEER_H

#include "entry/records_state.h"

/*
 * records_peer - executes record operations and lists that peers send by RPC.
 */

void records_peer_register(records_t *records);

#endif
