#ifndef WASABILINK_ENTRY_STORE_PROBE_H
#define WASABILINK_ENTRY_STORE_PROBE_H

#include "entry/entry.h"

/*
 * store_probe - probes whether this node can reach the object store and
 * announces the result to the peers, so that shards are placed on nodes that
 * can.
 *
 * A node that is the owner, candidate or standby of a shard reads a key that
 * has no object every 2 s. Any answer counts as reachable, also a refusal: an
 * outage of the store affects all nodes alike, and moving shards would not
 * help. The node announces the store as unreachable after 4 s without an
 * answer, and as reachable after answers over 6 s.
 */
typedef struct store_probe store_probe_t;

store_probe_t *store_probe_new(entry_t *entry);

#endif
