#ifndef WASABILINK_ENTRY_MEMBERSHIP_H
#define WASABILINK_ENTRY_MEMBERSHIP_H

#include <event2/event.h>
#include <glib.h>

#include "base/clock.h"
#include "base/counter.h"
#include "coord/member.h"
#include "rpc/peer_key.h"

/*
 * membership - runs the failure detector on UDP at the node's peer port.
 *
 * Messages are XDR (src/rpc/member.x). Nodes of another environment are not
 * members, nor with a key those that do not have it. Counters: membership_datagrams_{sent,received}_total,
 * membership_bytes_{sent,received}_total (payload; IP and UDP add 28 bytes a
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
 * Binds to the address of the table's own member. Errors: WL_ERROR_INVALID for
 * a malformed seed, WL_ERROR_UNAVAILABLE when the port cannot be bound.
 */
membership_t *membership_new(const membership_options_t *options,
			     GError **error);
void membership_free(membership_t *membership);

/* vms is an array of platform_vm_t; live entry nodes are used as seeds. */
void membership_set_vms(membership_t *membership, const GArray *vms);
void membership_drain(membership_t *membership);
void membership_leave(membership_t *membership);
/* digest has MEMBER_CONFIG_DIGEST_BYTES. */
void membership_announce_config(membership_t *membership, uint64_t version,
				const uint8_t *digest);
void membership_announce_store(membership_t *membership, bool reached);

#endif
