#ifndef WASABILINK_ENTRY_DISPATCH_H
#define WASABILINK_ENTRY_DISPATCH_H

#include "entry/entry.h"

/*
 * dispatch - I/O of the dispatcher.
 *
 * Keeps the list of runners that this node dispatches to, pulls and renews
 * chunks, executes items as streams on engines, writes result objects, and
 * reports this node's online requests to the dispatchers of other nodes
 * (RUNNER_PRESSURE).
 */
typedef struct dispatch dispatch_t;

dispatch_t *dispatch_new(entry_t *entry);
/* Stops all items and releases their chunks. */
void dispatch_drain(dispatch_t *dispatch);
bool dispatch_is_idle(const dispatch_t *dispatch);

/* Peer address of the node that dispatches batch items to the runner: a node
 * of the runner's domain, or of any domain while that one has no live node.
 * NULL when there is no live node. */
const char *dispatch_node_of(const entry_t *entry, const runner_t *runner);

#endif
