#ifndef WASABILINK_GATEWAY_GATEWAY_H
#define WASABILINK_GATEWAY_GATEWAY_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/counter.h"
#include "gateway/fleet.h"
#include "gateway/follow.h"
#include "gateway/job_context.h"
#include "gateway/job_owner.h"
#include "gateway/job_read.h"
#include "gateway/job_submit.h"
#include "gateway/job_table.h"
#include "gateway/path_table.h"
#include "gateway/peer_load.h"
#include "gateway/relay.h"
#include "gateway/run.h"
#include "gateway/runner_protocol.h"
#include "gateway/store_relay.h"
#include "object/object_store.h"

/*
 * gateway - the parts of a process that serves callers by routes: routes,
 * fleet, online requests, batch jobs and their life cycle.
 *
 * The adapter of a deployment fills in the store, the runners' protocol and
 * how the store's foreign objects are read.
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
	object_store_t *stale_store; /* cheap reads, seconds old */
	const char *node;
	const char *domain;
	const char *address; /* IP number */
	uint16_t peer_port;
	int64_t grace_ms; /* until the process is killed after SIGTERM */
	int64_t runner_hold_ms; /* requests may still go to a runner that has
				 * left the list */
	int32_t watch_wait_ms; /* longest wait of a watch on the store */
	const gateway_codec_t *codec;
	const runner_protocol_t *protocol;
} gateway_options_t;

typedef struct gateway {
	struct event_base *base;
	const clock_source_t *clock;
	GRand *random;
	counter_set_t *counters;
	object_store_t *store; /* by way of the store relay */
	object_store_t *stale_store;
	store_relay_t *store_relay;
	rpc_client_t *rpc_client;
	rpc_server_t *rpc_server;
	const gateway_codec_t *codec;
	fleet_t *fleet;
	peer_load_t *peer_load;
	run_context_t runs;
	relay_t *relay;
	path_table_t *paths; /* NULL until a configuration is known */
	job_context_t jobs;
	job_owner_t *job_owner;
	job_table_t *job_table;
	job_reader_t *job_reader;
	follow_t *config;
	follow_t *runners;
	struct event *tick;
	int64_t grace_ms;
	int64_t runner_hold_ms;
	int64_t stopping_since_us; /* 0: not stopping */
	http_server_t *callers; /* set by the adapter */
} gateway_t;

/* NULL when the peer port cannot be bound. */
gateway_t *gateway_new(const gateway_options_t *options, GError **error);
/* Whether new connections may be sent here. */
bool gateway_is_ready(const gateway_t *gateway);
/* During a graceful shutdown, whether a new request would end too late. */
bool gateway_is_closing(const gateway_t *gateway);
/* Begins a graceful shutdown; the event loop ends when all is served. */
void gateway_stop(gateway_t *gateway);
/* Counters, gauges and latencies in the Prometheus text format. */
void gateway_write_metrics(const gateway_t *gateway, GString *out);

#endif
