#ifndef WASABILINK_ENTRY_STORE_REACH_H
#define WASABILINK_ENTRY_STORE_REACH_H

#include "entry/entry.h"

/*
 * store_reach - finds out whether this node reaches the object store and tells
 * the other nodes, so that shards go to nodes that do.
 *
 * A node that owns or watches a shard reads a key without an object every 2 s.
 * Any answer counts as reached, also a refusal: an outage is the same for all
 * nodes, and moving shards would not help. Without an answer for 4 s the node
 * says that it does not reach the store, and that it does again after answers
 * for 6 s.
 */
typedef struct store_reach store_reach_t;

store_reach_t *store_reach_new(entry_t *entry);

#endif
