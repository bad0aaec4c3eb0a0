#ifndef WASABILINK_ENTRY_ENTRY_H
#define WASABILINK_ENTRY_ENTRY_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "backend/engine_client.h"
#include "backend/runner.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/timeline.h"
#include "config/document.h"
#include "coord/limiter.h"
#include "coord/member.h"
#include "coord/retry_budget.h"
#include "entry/claim.h"
#include "entry/config_follow.h"
#include "entry/membership.h"
#include "entry/pool.h"
#include "entry/records.h"
#include "entry/vm_follow.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "platform/object_store.h"
#include "platform/object_writer.h"
#include "rpc/rpc_client.h"
#include "rpc/rpc_server.h"

/*
 * entry - the daemon: one process's modules, wired together.
 *
 * The struct is passed to the handlers of callers' requests; modules below
 * this folder do not see it.
 */
typedef struct entry_options {
	char *node_id; /* unique among running nodes */
	char *domain;
	char *address; /* IP number for all listeners */
	uint16_t port; /* callers */
	uint16_t operator_port; /* health, counters, operators */
	uint16_t peer_port; /* internal RPC */
	char *platform; /* IP:port of the object API */
	char *seeds; /* IP:port,...; may be empty */
	char *environment; /* trial or production */
	int64_t platform_timeout_ms;
	int64_t max_body_bytes;
	int64_t max_header_bytes;
	int64_t max_connections;
	int64_t read_timeout_ms;
	int64_t drain_ms; /* longest graceful shutdown */
	double weight_loads_per_minute; /* of the weight store, fleet-wide */
	int64_t shards; /* of the ledger, the same on all nodes */
	int64_t ledger_writes_per_s; /* of this node */
	int64_t request_timeout_ms; /* without a caller's deadline */
	int64_t stall_ms; /* longest pause of a runner's stream */
	int64_t slow_caller_ms; /* longest pause of a caller's reading */
	int64_t max_queue; /* waiting requests per deployment */
	int64_t queue_ms; /* longest wait in the queue */
	char *route_policy;
	double hedge_share;
	char *batch_policy; /* slot_policy_t by name */
	int64_t batch_slots; /* per runner under the policy fixed */
	int64_t batch_reserve; /* slots per runner kept free for online load */
} entry_options_t;

typedef struct entry {
	entry_options_t options;
	struct event_base *base;
	const clock_source_t *clock;
	GRand *random;
	counter_set_t *counters;
	timeline_t *timeline; /* recent log lines, for operators */
	http_client_t *http;
	http_server_t *callers;
	http_server_t *operators;
	rpc_client_t *rpc_client;
	rpc_server_t *rpc_server;
	object_store_t *store;
	member_table_t *members;
	records_t *records;
	claims_t *claims;
	vm_follow_t *vm_follow;
	membership_t *membership;
	config_follow_t *config;
	struct reconciler *reconciler;
	runner_set_t *runners;
	document_t *document; /* NULL until the first one is adopted */
	uint64_t document_version;
	engine_client_t *engines;
	pool_table_t *pools;
	struct chunks *chunks; /* batch: coordinator */
	struct dispatch *dispatch; /* batch: dispatcher */
	object_writer_t *writer;
	limiter_t *limiter;
	retry_budget_t *retry_budget;
	char *instance; /* unique per start, prefix of upstream request ids */
	uint64_t next_request;
	uint32_t detached; /* requests that go on without a caller */
	bool draining;
} entry_t;

/* `wasabilink entry`. Returns the process's exit status. */
int entry_main(int argc, char **argv);

#endif
