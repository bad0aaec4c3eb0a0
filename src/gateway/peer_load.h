#ifndef WASABILINK_GATEWAY_PEER_LOAD_H
#define WASABILINK_GATEWAY_PEER_LOAD_H

#include <event2/event.h>
#include <glib.h>

#include "gateway/load_view.h"
#include "object/object_store.h"

/*
 * peer_load - exchanges load reports with the other nodes over UDP.
 *
 * Nodes find each other by objects that each keeps in the store, and by the
 * reports that reach them. A report is sent soon after a change, so that nodes
 * do not all send work to the same runner. In a large system other domains get
 * reports less often, and nodes keep to the runners of their own.
 */
typedef struct peer_load peer_load_t;

typedef struct peer_load_options {
	struct event_base *base;
	const clock_source_t *clock;
	GRand *random;
	fleet_t *fleet;
	object_store_t *store;
	object_store_t *stale_store;
	const char *node;
	const char *domain;
	const char *address; /* IP number to bind */
	uint16_t port;
	const char *writer;
	void (*heard)(void *user_data); /* another node's load has changed */
	void *user_data;
} peer_load_options_t;

/* NULL when the port cannot be bound: WL_ERROR_UNAVAILABLE. */
peer_load_t *peer_load_new(const peer_load_options_t *options, GError **error);
/* This node's load has changed. */
void peer_load_changed(peer_load_t *load);
/* Tells the other nodes which batch items look for a place here; gets theirs. */
void peer_load_batch_waiting(peer_load_t *load, const batch_waiting_t *own,
			     batch_waiting_t *peers);
/* Appends what is known of the domains; nothing in a small system, in which
 * load is known everywhere. */
void peer_load_domains(peer_load_t *load, const char *service, GArray *domains);
/* Whether the store answers this node, for the reports. */
void peer_load_set_store(peer_load_t *load, bool reaches_store);
/* Number of other nodes that are heard. */
uint32_t peer_load_peers(const peer_load_t *load);
void peer_load_tick(peer_load_t *load);

/* Address of a node by name, or of one that reaches the store, as IP:port in
 * the buffer; false: none is known. The port is the same for UDP and TCP. */
bool peer_load_address(const peer_load_t *load, const char *node, char *address,
		       size_t size);
/* Name of a node of a domain that reaches the store; NULL: none is known. */
const char *peer_load_node_in(const peer_load_t *load, const char *domain);
bool peer_load_store_peer(const peer_load_t *load, char *address, size_t size);

#endif
