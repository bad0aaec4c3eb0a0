#ifndef WASABILINK_GATEWAY_STORE_RELAY_SERVER_H
#define WASABILINK_GATEWAY_STORE_RELAY_SERVER_H

#include "base/counter.h"
#include "object/object_store.h"
#include "rpc/rpc_server.h"

/*
 * store_relay_server - makes calls of the object store for other nodes.
 */
typedef struct store_relay_server store_relay_server_t;

typedef struct store_relay_server_options {
	rpc_server_t *server;
	object_store_t *store;
	object_store_t *stale_store;
	counter_set_t *counters;
} store_relay_server_options_t;

store_relay_server_t *
store_relay_server_new(const store_relay_server_options_t *options);

#endif
