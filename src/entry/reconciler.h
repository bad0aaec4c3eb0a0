#ifndef WASABILINK_ENTRY_RECONCILER_H
#define WASABILINK_ENTRY_RECONCILER_H

#include "entry/entry.h"

/*
 * reconciler - carries out the order plans of the deployments that this node
 * owns: reads the engines' state and sends them orders by HTTP.
 *
 * The owner of a deployment is the owner of its shard in the ledger, and the
 * shard's epoch is the fencing token.
 */
typedef struct reconciler reconciler_t;

/* The entry process must outlive the reconciler. */
reconciler_t *reconciler_new(entry_t *entry, double loads_per_minute);
void reconciler_free(reconciler_t *reconciler);

#endif
