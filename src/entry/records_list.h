#ifndef WASABILINK_ENTRY_RECORDS_LIST_H
#define WASABILINK_ENTRY_RECORDS_LIST_H

#include "entry/records_state.h"

/*
 * records_list - lists over all shards, each read from its owner.
 *
 * The function is in records.h.
 */

#endif
