#ifndef WASABILINK_ENTRY_STORE_PROBE_H
#define WASABILINK_ENTRY_STORE_PROBE_H

#include "entry/entry.h"

/*
 * store_probe - finds out whether this node reaches the object store and tells
 * the other nodes, so that shards go to nodes that do.
 *
 * A node that owns or watches a shard reads a key without an object every 2 s.
 * Any answer counts as announced_reachable, also a refusal: an outage is the same for all
 * nodes, and moving shards would not help. Without an answer for 4 s the node
 * says that it does not probe the store, and that it does again after answers
 * for 6 s.
 */
typedef struct store_probe store_probe_t;

store_probe_t *store_probe_new(entry_t *entry);

#endif
