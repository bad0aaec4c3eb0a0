#ifndef WASABILINK_ENTRY_DISPATCH_H
#define WASABILINK_ENTRY_DISPATCH_H

#include "entry/entry.h"

/*
 * dispatch - the dispatcher's I/O: follows which runners are this node's,
 * pulls and renews chunks, runs items as streams on engines, writes result
 * objects, and tells other nodes' dispatchers of this node's online requests
 * (RUNNER_PRESSURE).
 */
typedef struct dispatch dispatch_t;

dispatch_t *dispatch_new(entry_t *entry);
/* Stops all items and hands their chunks back. */
void dispatch_drain(dispatch_t *dispatch);
bool dispatch_is_idle(const dispatch_t *dispatch);

/* Peer address of the node that dispatches batch items to the runner: one of
 * its domain, or any node while that domain has none. NULL when there is no
 * alive node. */
const char *dispatch_node_of(const entry_t *entry, const runner_t *runner);

#endif
