#ifndef WASABILINK_GATEWAY_NODE_REGISTRATION_H
#define WASABILINK_GATEWAY_NODE_REGISTRATION_H

#include <event2/event.h>
#include <stdint.h>

#include "base/counter.h"
#include "object/object_store.h"

/*
 * node_registration - this node's entry in the store, by which other nodes find
 * it.
 *
 * The entry is written at the start, and again when another node has removed it.
 * A graceful shutdown removes it, so that nobody looks for the node later. Writes
 * that fail are repeated; a removal that fails is left to the other nodes.
 */
typedef struct node_registration node_registration_t;

typedef struct node_registration_options {
	struct event_base *base;
	object_store_t *store;
	const char *key; /* of the entry */
	const char *entry; /* JSON */
	const char *writer; /* unique to this process */
	counter_set_t *counters;
} node_registration_options_t;

/* Starts to write the entry; the strings are copied. */
node_registration_t *
node_registration_new(const node_registration_options_t *options);
/* The store shows this entry of the node, which another process of its name may
 * have written. */
void node_registration_seen(node_registration_t *registration,
			    const object_entry_t *entry);
/* The entry is gone: writes it again, unless it was withdrawn. */
void node_registration_removed(node_registration_t *registration);
/* Removes the entry, and does not write it again. Another process with the node's
 * name that starts meanwhile finds its entry gone and writes it. */
void node_registration_withdraw(node_registration_t *registration);

#endif
