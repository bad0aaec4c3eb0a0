#ifndef WASABILINK_ENTRY_REMOVAL_H
#define WASABILINK_ENTRY_REMOVAL_H

#include "entry/entry.h"

/*
 * removal - removes stored data past its retention: the results of jobs whose
 * records this node owns (batch/retention.h), and input files if this node is
 * the one that sweeps them (batch/file_sweep.h).
 */
typedef struct removal removal_t;

/* Never freed. */
removal_t *removal_new(entry_t *entry);

#endif
