#ifndef WASABILINK_GATEWAY_GATEWAY_H
#define WASABILINK_GATEWAY_GATEWAY_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/counter.h"
#include "gateway/contact_probe.h"
#include "gateway/fleet.h"
#include "gateway/follow.h"
#include "gateway/job_context.h"
#include "gateway/job_owner.h"
#include "gateway/job_read.h"
#include "gateway/job_removal.h"
#include "gateway/job_submit.h"
#include "gateway/job_table.h"
#include "gateway/path_table.h"
#include "gateway/peer_load.h"
#include "gateway/relay.h"
#include "gateway/execution.h"
#include "gateway/runner_protocol.h"
#include "gateway/runner_relay.h"
#include "gateway/runner_relay_server.h"
#include "gateway/store_relay.h"
#include "object/object_store.h"

/*
 * gateway - a process that serves callers by routes: its configuration, fleet,
 * online requests and batch jobs, from start to graceful shutdown.
 *
 * The adapter of a deployment provides the store, the protocol of the runners
 * and the decoders of objects in the store that other systems write.
 */
typedef struct gateway_codec {
	const char *config_prefix;
	const char *config_key; /* the object that holds the configuration */
	const char *runner_prefix;
	path_table_t *(*decode_paths)(const char *text, GError **error);
	bool (*decode_runner)(const char *id, const char *text, fleet_t *fleet);
} gateway_codec_t;

typedef struct gateway_options {
	struct event_base *base;
	const clock_source_t *clock;
	object_store_t *store;
	object_store_t *stale_store; /* cheaper reads, stale by seconds */
	const char *node;
	const char *domain;
	const char *address; /* IP address */
	uint16_t peer_port;
	uint16_t relay_port; /* for calls that other nodes pass on; 0: none */
	int64_t grace_ms; /* time from SIGTERM until the process is killed */
	int64_t runner_hold_ms; /* time for which a runner that was
				 * removed from the list may be used */
	/* For which the results of a batch job stay readable after its
	 * submission, at least. */
	int64_t results_readable_ms;
	int32_t watch_wait_ms; /* longest time of a watch on the store */
	const gateway_codec_t *codec;
	const runner_protocol_t *protocol;
	memory_budget_t *memory; /* NULL: not limited */
	/* Bounds of the descriptors in use, 0: not limited: requests of callers
	 * in progress, connections of other nodes, and calls to runners on
	 * behalf of these. */
	uint32_t max_requests;
	uint32_t max_peers;
	uint32_t max_relayed_calls;
	uint64_t max_item_bytes; /* of batch items in memory; 0: not limited */
} gateway_options_t;

typedef struct gateway {
	struct event_base *base;
	const clock_source_t *clock;
	GRand *random;
	counter_set_t *counters;
	object_store_t *store; /* used through the store relay */
	object_store_t *stale_store;
	store_relay_t *store_relay;
	rpc_client_t *rpc_client;
	rpc_server_t *rpc_server;
	const gateway_codec_t *codec;
	fleet_t *fleet;
	part_guard_t *part_guard;
	link_loss_t link_loss;
	stream_origins_t *origins;
	follow_group_t *follows; /* all views of the store */
	peer_load_t *peer_load;
	execution_context_t executions;
	contact_probe_t *contact_probe;
	runner_relay_server_t *relay_server; /* NULL: without relay_port */
	uint16_t relay_port;
	relay_t *relay;
	path_table_t *paths; /* NULL until a configuration is known */
	job_context_t jobs;
	job_owner_t *job_owner;
	job_table_t *job_table;
	job_reader_t *job_reader;
	job_removal_t *job_removal;
	follow_t *config;
	follow_t *runners;
	struct event *tick;
	int64_t grace_ms;
	int64_t runner_hold_ms;
	int64_t limits_logged_us;
	int64_t contacts_logged_us;
	int64_t *config_unreadable_total;
	int64_t stopping_since_us; /* 0: not stopping */
	http_server_t *callers; /* set by the adapter */
	uint32_t max_requests; /* of callers, in progress; 0: not limited */
	int64_t *requests_full_total; /* refused above that */
} gateway_t;

/* Returns NULL when the peer port cannot be bound. */
gateway_t *gateway_new(const gateway_options_t *options, GError **error);
/* Whether a load balancer may send new connections to this node. */
bool gateway_is_ready(const gateway_t *gateway);
/* Whether more requests are in progress than there are descriptors for. */
bool gateway_is_full(const gateway_t *gateway);
/* During a graceful shutdown, whether a new request would complete too late. */
bool gateway_is_closing(const gateway_t *gateway);
/* During a graceful shutdown, whether less time than this is left to serve
 * requests. */
bool gateway_is_too_late(const gateway_t *gateway, int32_t needed_ms);
/* Begins a graceful shutdown. The event loop ends when all requests are
 * served, at the latest shortly before the grace period ends. */
void gateway_stop(gateway_t *gateway);
/* Appends the fields of a log line that tell the configuration by which a request
 * is judged: its version, since when it is in force, and how and when the store
 * was last heard about it. */
void gateway_describe_config(const gateway_t *gateway, GString *out);
/* Appends counters, gauges and latencies in the Prometheus text format. */
void gateway_write_metrics(const gateway_t *gateway, GString *out);

#endif
