#ifndef WASABILINK_COORD_SWIM_H
#define WASABILINK_COORD_SWIM_H

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "coord/member.h"
#include "rpc/member_xdr.h"

/*
 * swim - failure detector and membership protocol, without I/O.
 *
 * After Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
 * Infection-style Process Group Membership Protocol" (2002), with the local
 * health multiplier of Dadgar, Phillips and Currey, "Lifeguard" (2017). It
 * writes the member table. The caller runs swim_tick() about every SWIM_TICK_MS
 * and passes in each message that arrives.
 *
 * A member is only added when it or another member announces it, never from a
 * list of addresses: listed addresses are only contacted. So a stale list
 * cannot revive a member that is draining or dead.
 */
#define SWIM_TICK_MS 100
/* Maximum size of the encoded updates of a datagram, except for
 * MEMBER_TABLE. */
#define SWIM_UPDATE_BYTES 400

typedef struct swim swim_t;

typedef struct swim_options {
	member_table_t *members; /* borrowed */
	const clock_source_t *clock;
	GRand *random; /* borrowed */
	uint32_t fleet; /* messages of other fleets are ignored */
	/* Greater than that of any earlier process at this address. */
	uint64_t incarnation;
	int32_t period_ms; /* between probes; 0: 1000 */
	int32_t ack_timeout_ms; /* before indirect probes; 0: 300 */
	int32_t dead_retention_ms; /* of dead members; 0: 600000 */
	/* The message is valid during the call. */
	void (*send)(const char *address, const member_message *message,
		     void *user_data);
	/* Called when a state changed or a member was added; may be NULL. */
	void (*changed)(const member_t *member, void *user_data);
	void *user_data;
} swim_options_t;

swim_t *swim_new(const swim_options_t *options);
void swim_free(swim_t *swim);

/* Sets the addresses (char *) to contact while they are not live members. */
void swim_set_seeds(swim_t *swim, const GPtrArray *addresses);
void swim_tick(swim_t *swim);
void swim_receive(swim_t *swim, const member_message *message);

/* Announces immediately that this node accepts no new work. */
void swim_drain(swim_t *swim);
/* Announces immediately that this node has left; it then sends nothing more. */
void swim_leave(swim_t *swim);
/* Announces the applied configuration immediately and with each message. */
void swim_announce_config(swim_t *swim, uint64_t version,
			  const uint8_t *digest);
/* Announces whether this node reaches the object store. */
void swim_announce_store(swim_t *swim, bool reached);
/* Returns 0 when healthy; higher values slow down this node's probes and
 * suspicions. */
uint32_t swim_local_health(const swim_t *swim);

#endif
