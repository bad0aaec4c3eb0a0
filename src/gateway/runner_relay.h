#ifndef WASABILINK_GATEWAY_RUNNER_RELAY_H
#define WASABILINK_GATEWAY_RUNNER_RELAY_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "base/clock.h"
#include "base/counter.h"
#include "gateway/runner_protocol.h"

/*
 * runner_relay - a runner protocol whose calls go through another node, for
 * runners that this node cannot connect to.
 *
 * The other node passes the call on and adds nothing: selection of the runner,
 * attempts, deadlines and limits stay with this node. It never passes a call on
 * to a third node. A call that it has not been told to start has not run; after
 * that a broken connection between the nodes leaves this open. A node through
 * which a call has failed, or that has refused one, is avoided for a moment; one
 * that does not know a runner is avoided for that runner only.
 */
typedef struct runner_relay runner_relay_t;

/* What a node is needed for. */
typedef struct runner_relay_need {
	const char *domain; /* of the runner */
	uint64_t runner; /* key; 0: any of the domain */
	bool repeatable; /* the call may run again */
} runner_relay_need_t;

typedef struct runner_relay_options {
	struct event_base *base;
	const clock_source_t *clock;
	counter_set_t *counters;
	/* IP address of this node, by which the others know it; NULL: any. */
	const char *address;
	/*
	 * Writes the address of a node that is fit for the need to the buffer;
	 * false when none is known. relay is for runner_relay_avoids() and
	 * runner_relay_calls().
	 */
	bool (*find_peer)(void *user_data, const runner_relay_t *relay,
			  const runner_relay_need_t *need, char *address,
			  size_t size);
	void *user_data;
} runner_relay_options_t;

runner_relay_t *runner_relay_new(const runner_relay_options_t *options);
/* Its calls end with RUNNER_PEER_NOT_SENT when no node takes them. */
const runner_protocol_t *runner_relay_protocol(const runner_relay_t *relay);
/* Whether a node is known that is fit for the need. */
bool runner_relay_reaches(const runner_relay_t *relay,
			  const runner_relay_need_t *need);
/* Whether a call through the node at the address has failed just now, or one to
 * the runner with this key. */
bool runner_relay_avoids(const runner_relay_t *relay, const char *address,
			 uint64_t runner);
/* Number of this node's calls through the node at the address. */
uint32_t runner_relay_calls(const runner_relay_t *relay, const char *address);

#endif
