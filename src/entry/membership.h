#ifndef WASABILINK_ENTRY_MEMBERSHIP_H
#define WASABILINK_ENTRY_MEMBERSHIP_H

#include <event2/event.h>
#include <glib.h>

#include "base/clock.h"
#include "base/counter.h"
#include "coord/member.h"
#include "rpc/peer_key.h"

/*
 * membership - runs the failure detector over UDP on the node's peer port.
 *
 * Messages are XDR (src/rpc/member.x). Nodes of another environment do not
 * become members; with a peer key, neither do nodes without that key. Counters:
 * membership_datagrams_{sent,received}_total,
 * membership_bytes_{sent,received}_total (payload; IP and UDP add 28 bytes per
 * datagram), membership_malformed_total.
 */
typedef struct membership membership_t;

typedef struct membership_options {
	struct event_base *base;
	const clock_source_t *clock;
	GRand *random; /* borrowed, as are the next two */
	counter_set_t *counters;
	member_table_t *members;
	const char *environment;
	const char *seeds; /* IP:port,...; may be NULL or empty */
	peer_key_t *peer_key; /* borrowed; NULL: no authentication */
} membership_options_t;

/*
 * Binds to the address of the node's own member in the table. Errors:
 * WL_ERROR_INVALID for a malformed seed, WL_ERROR_UNAVAILABLE when the port
 * cannot be bound.
 */
membership_t *membership_new(const membership_options_t *options,
			     GError **error);
void membership_free(membership_t *membership);

/* vms is an array of platform_vm_t; the live entry nodes in it are used as
 * seeds in addition to those of the options. */
void membership_set_vms(membership_t *membership, const GArray *vms);
/* Announces this node as draining. */
void membership_drain(membership_t *membership);
/* Announces that this node has stopped. */
void membership_leave(membership_t *membership);
/* digest has MEMBER_CONFIG_DIGEST_BYTES bytes. */
void membership_announce_config(membership_t *membership, uint64_t version,
				const uint8_t *digest);
/* Announces whether this node can reach the object store. */
void membership_announce_store(membership_t *membership, bool reachable);

#endif
