#ifndef WASABILINK_GATEWAY_RUNNER_RELAY_SERVER_H
#define WASABILINK_GATEWAY_RUNNER_RELAY_SERVER_H

#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/counter.h"
#include "base/memory_budget.h"
#include "gateway/fleet.h"
#include "gateway/runner_protocol.h"

/*
 * runner_relay_server - calls to runners on behalf of other nodes, which cannot
 * connect to them (runner_relay).
 *
 * Only calls of known nodes to runners of this node's list are taken, up to a
 * limit. They go to the runner directly, never through a third node. The call
 * ends with the connection of the node that it is for.
 */
typedef struct runner_relay_server runner_relay_server_t;

typedef struct runner_relay_server_options {
	struct event_base *base;
	fleet_t *fleet;
	const runner_protocol_t *protocol; /* to the runners */
	counter_set_t *counters;
	memory_budget_t *memory; /* for all calls; NULL: not limited */
	uint32_t max_calls; /* 0: as many as the module takes */
	const char *address; /* IP address to listen on */
	uint16_t port;
	/* Whether a node has this address. */
	bool (*knows_node)(void *user_data, const struct in_addr *address);
	/* The number of calls in progress has changed. */
	void (*load_changed)(void *user_data);
	void *user_data;
} runner_relay_server_options_t;

/* Returns NULL with WL_ERROR_UNAVAILABLE when the port cannot be bound. */
runner_relay_server_t *
runner_relay_server_new(const runner_relay_server_options_t *options,
			GError **error);
/* Ends all calls in progress. */
void runner_relay_server_free(runner_relay_server_t *server);
/* Takes only calls that may run again from now on, as this node stops. */
void runner_relay_server_drain(runner_relay_server_t *server);
/* Refuses calls from now on; those in progress go on. */
void runner_relay_server_stop(runner_relay_server_t *server);
/* Whether it takes only calls that may run again. */
bool runner_relay_server_is_draining(const runner_relay_server_t *server);
/* Whether it takes another call now. */
bool runner_relay_server_accepts(const runner_relay_server_t *server);
/* Number of calls in progress. */
uint32_t runner_relay_server_calls(const runner_relay_server_t *server);

#endif
