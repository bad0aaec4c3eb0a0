#ifndef WASABILINK_GATEWAY_PEER_LOAD_H
#define WASABILINK_GATEWAY_PEER_LOAD_H

#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>

#include "gateway/follow.h"
#include "gateway/load_view.h"
#include "gateway/runner_relay.h"
#include "gateway/stream_origin.h"
#include "backend/part_guard.h"
#include "base/counter.h"
#include "object/object_store.h"

/*
 * peer_load - exchanges load reports with the other nodes over UDP.
 *
 * Nodes discover each other by an object per node in the store, and by the
 * reports that they receive. A report is sent soon after a change, so that
 * nodes do not all send work to the same runner. In a large system, reports to
 * other domains are sent less often, and nodes prefer the runners of their own
 * domain.
 *
 * A node that has sent no report for 10 s is chosen for nothing. After a minute it
 * does not count for the size of the system and is told every 5 s only; after 10 to
 * 15 minutes its object is removed. One that was cut off registers again. A node
 * that stops removes its object itself.
 *
 * News of the part guard goes to all nodes at once, a few times, as datagrams
 * may be lost. A node chosen at random gets a summary from time to time, so that
 * new nodes and those that were cut off learn of it.
 */
typedef struct peer_load peer_load_t;

typedef struct peer_load_options {
	struct event_base *base;
	const clock_source_t *clock;
	GRand *random;
	fleet_t *fleet;
	part_guard_t *part_guard;
	object_store_t *store;
	object_store_t *stale_store;
	follow_group_t *follows;
	const char *node;
	const char *domain;
	const char *address; /* IP address to bind */
	uint16_t port;
	const char *writer;
	/* A report of another node was applied. */
	void (*load_received)(void *user_data);
	stream_origins_t *origins;
	counter_set_t *counters;
	void *user_data;
} peer_load_options_t;

/* Returns NULL with WL_ERROR_UNAVAILABLE when the port cannot be bound. */
peer_load_t *peer_load_new(const peer_load_options_t *options, GError **error);
/*
 * Sends a datagram about a stream to the nodes that keep its entry: two of all
 * nodes and three of this node's domain, by rendezvous hashing. Clients mostly
 * return in the same domain, and when it is cut off, only it can answer. Returns
 * the number of nodes.
 */
uint32_t peer_load_send_origin(const peer_load_t *load, uint64_t stream,
			       const char *data, size_t len);
/* Schedules a report, as this node's load has changed. */
void peer_load_changed(peer_load_t *load);
/* Sets the numbers of batch items that wait for a slot at this node, by service.
 * They are reported to the others, at most BATCH_DEMANDS_MAX services. */
void peer_load_report_demands(peer_load_t *load, const batch_demand_t *demands,
			      guint count);
/* Returns the sums of the other nodes, see load_view_batch_waiting(). */
void peer_load_batch_waiting(peer_load_t *load, uint64_t service,
			     batch_waiting_t *before, batch_waiting_t *after);
/* Appends the known state of each domain; nothing in a small system, in which
 * every node gets every report. */
void peer_load_domains(peer_load_t *load, const char *service, GArray *domains);
/* Sets whether the store answers this node, which is reported to the others. */
void peer_load_set_store(peer_load_t *load, bool reaches_store);
/* Number of other nodes with a recent report. */
uint32_t peer_load_peers(const peer_load_t *load);
/* Number of those that cannot connect to the domain's runners. */
uint32_t peer_load_lost(const peer_load_t *load, const char *domain);
/* What this node reports of the calls that it passes on for others. */
typedef struct peer_load_relay {
	uint16_t port; /* 0: none taken now */
	uint32_t calls; /* in progress */
	bool draining; /* this node stops soon */
	bool repeatable_only; /* it takes only calls that may run again */
} peer_load_relay_t;

void peer_load_set_relay(peer_load_t *load, const peer_load_relay_t *relay);
/* Whether a node is known at the address. */
bool peer_load_knows(const peer_load_t *load, const struct in_addr *address);
/* Writes the address of the node to which calls to runners go while this node
 * cannot connect to them; false without one. */
bool peer_load_relay_peer(const peer_load_t *load, const runner_relay_t *relay,
			  const runner_relay_need_t *need, char *address,
			  size_t size);
/* Sends the part guard's news to all nodes soon. */
void peer_load_part_news(peer_load_t *load);
/* Whether the other nodes have had time to tell this process, since its start, which
 * requests crash runners; or there are none. */
bool peer_load_is_introduced(const peer_load_t *load);
void peer_load_tick(peer_load_t *load);
/* Removes this node's entry, as it stops; its reports go on until it has. */
void peer_load_withdraw(peer_load_t *load);

/* Writes the address of a node as IP:port to the buffer; false when it is not
 * known. The port is the same for UDP and TCP. */
bool peer_load_address(const peer_load_t *load, const char *node, char *address,
		       size_t size);
/* Returns the name of a node in the domain that reaches the store, or NULL. */
const char *peer_load_node_in(const peer_load_t *load, const char *domain);
/* The same for a node that reaches the store, selected at random. */
bool peer_load_store_peer(const peer_load_t *load, char *address, size_t size);

#endif
