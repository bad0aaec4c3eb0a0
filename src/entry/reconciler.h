#ifndef WASABILINK_ENTRY_RECONCILER_H
#define WASABILINK_ENTRY_RECONCILER_H

#include "entry/entry.h"

/*
 * reconciler - executes the order plans of the deployments that this node owns:
 * reads the engines' state and sends them orders over HTTP.
 *
 * A deployment is owned by the owner of its ledger shard, and the shard's epoch
 * is the fencing token of its orders.
 */
typedef struct reconciler reconciler_t;

/* entry must outlive the reconciler. loads_per_minute is the limit of model
 * loads for the whole fleet. */
reconciler_t *reconciler_new(entry_t *entry, double loads_per_minute);
void reconciler_free(reconciler_t *reconciler);

#endif
