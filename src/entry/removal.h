#ifndef WASABILINK_ENTRY_REMOVAL_H
#define WASABILINK_ENTRY_REMOVAL_H

#include "entry/entry.h"

/*
 * removal - removes results past their retention for the jobs whose records
 * this node owns (batch/retention.h), and old input files on one node
 * (batch/file_sweep.h).
 */
typedef struct removal removal_t;

/* Lives as long as the process. */
removal_t *removal_new(entry_t *entry);

#endif
