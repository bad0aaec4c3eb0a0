#ifndef WASABILINK_GATEWAY_STORE_RELAY_H
#define WASABILINK_GATEWAY_STORE_RELAY_H

#include <glib.h>
#include <stdbool.h>

#include "base/clock.h"
#include "base/counter.h"
#include "object/object_store.h"
#include "rpc/rpc_client.h"
#include "rpc/rpc_server.h"

/*
 * store_relay - an object store whose calls go through another node while the
 * store is unavailable to this one.
 *
 * Calls go to the store itself as long as it answers. After several consecutive
 * failures they go to a node that reaches the store, while reads of one object
 * find out whether the store answers this node again. When the store answers this node again, the reads that
 * other nodes make for it are made anew by itself. A write is never sent both
 * ways.
 */
typedef struct store_relay store_relay_t;

typedef struct store_relay_options {
	const clock_source_t *clock;
	object_store_t *store;
	object_store_t *stale_store;
	rpc_client_t *client;
	rpc_server_t *server;
	counter_set_t *counters;
	const char *probe_key; /* of an object that is read as a probe */
	/* Writes the address of a node that reaches the store to the buffer;
	 * false when none is known. */
	bool (*find_peer)(void *user_data, char *address, size_t size);
	void *user_data;
} store_relay_options_t;

store_relay_t *store_relay_new(const store_relay_options_t *options);
/* Probes the store if it is due. To be called often. */
void store_relay_tick(store_relay_t *relay);
/* The store, and its variant with cheaper reads that may be stale by
 * seconds. */
object_store_t *store_relay_store(store_relay_t *relay);
object_store_t *store_relay_stale_store(store_relay_t *relay);
/* Address of the node through which the prefix was last listed or watched; NULL:
 * the store itself, or never. */
const char *store_relay_source(const store_relay_t *relay, const char *prefix);
/* Whether the store answers this node's own calls. */
bool store_relay_is_direct(const store_relay_t *relay);

#endif
