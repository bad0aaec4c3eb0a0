#ifndef WASABILINK_ENTRY_RECORDS_LIST_H
#define WASABILINK_ENTRY_RECORDS_LIST_H

#include "entry/records_state.h"

/*
 * records_list - lists the records of all shards, each read from its owner.
 *
 * records_list() is declared in records.h.
 */

#endif
