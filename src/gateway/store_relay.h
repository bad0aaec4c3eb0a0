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
 * store_relay - an object store that other nodes call for this one when the
 * store turns this node away.
 *
 * Calls go to the store itself as long as it answers. After some failures in
 * a row they go to a node that reaches it, while single calls try the store
 * again. A call is never sent on both ways.
 */
typedef struct store_relay store_relay_t;

typedef struct store_relay_options {
	const clock_source_t *clock;
	object_store_t *store;
	object_store_t *stale_store;
	rpc_client_t *client;
	rpc_server_t *server;
	counter_set_t *counters;
	/* Address of a node that reaches the store, into the buffer; false:
	 * none is known. */
	bool (*find_peer)(void *user_data, char *address, size_t size);
	void *user_data;
} store_relay_options_t;

store_relay_t *store_relay_new(const store_relay_options_t *options);
/* The store, and its variant with cheap reads that may be seconds old. */
object_store_t *store_relay_store(store_relay_t *relay);
object_store_t *store_relay_stale_store(store_relay_t *relay);
/* Whether the store answers this node's own calls. */
bool store_relay_is_direct(const store_relay_t *relay);

#endif
