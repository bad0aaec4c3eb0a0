#ifndef WASABILINK_GATEWAY_STORE_RELAY_SERVER_H
#define WASABILINK_GATEWAY_STORE_RELAY_SERVER_H

#include <stdbool.h>

#include "base/clock.h"
#include "base/counter.h"
#include "object/object_store.h"
#include "rpc/rpc_server.h"

/*
 * store_relay_server - makes calls of the object store for other nodes.
 *
 * A node that has lost the store itself makes none: they are refused at once,
 * and reads in progress are ended, so that the other node can ask elsewhere.
 */
/* Longest wait of a watch for another node. It is not ended when that node needs
 * it no more. */
#define STORE_RELAY_WATCH_MS 5000
/* Reads that are made at one time; further ones are refused. Enough for the views of
 * a few hundred nodes. */
#define STORE_RELAY_READS_MAX 2000

typedef struct store_relay_server store_relay_server_t;

typedef struct store_relay_server_options {
	rpc_server_t *server;
	object_store_t *store;
	object_store_t *stale_store;
	const clock_source_t *clock;
	counter_set_t *counters;
	/* Whether the store answers this node. */
	bool (*is_direct)(void *user_data);
	/* The store has answered a call that began at the time, or not. */
	void (*ended)(void *user_data, const GError *error, int64_t started_us);
	void *user_data;
} store_relay_server_options_t;

store_relay_server_t *
store_relay_server_new(const store_relay_server_options_t *options);
/* Ends the reads in progress with WL_ERROR_UNAVAILABLE. */
void store_relay_server_end_reads(store_relay_server_t *server);

#endif
