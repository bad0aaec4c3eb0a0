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
#include "entry/entry_options.h"
#include "entry/membership.h"
#include "entry/pool.h"
#include "entry/records.h"
#include "entry/vm_follow.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "object/object_store.h"
#include "object/object_writer.h"
#include "rpc/rpc_client.h"
#include "rpc/rpc_server.h"

/*
 * entry - the daemon: creates and connects the modules of an entry process.
 *
 * The struct is passed to the handlers of callers' requests; only modules of
 * this folder use it.
 */

typedef struct entry {
	entry_options_t options;
	struct event_base *base;
	const clock_source_t *clock;
	GRand *random;
	counter_set_t *counters;
	timeline_t *timeline; /* recent log lines, for operators */
	memory_budget_t *memory; /* of the HTTP client */
	memory_budget_t *request_memory; /* of callers, operators and peers */
	http_client_t *http;
	http_server_t *callers;
	http_server_t *operators;
	peer_key_t *peer_key; /* NULL: peers are not authenticated */
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
	document_t *document; /* NULL until the first version is applied */
	uint64_t document_version;
	engine_client_t *engines;
	pool_table_t *pools;
	struct chunks *chunks; /* batch: coordinator */
	struct removal *removal; /* batch: removes expired results and files */
	struct dispatch *dispatch; /* batch: dispatcher */
	object_writer_t *writer;
	limiter_t *limiter;
	retry_budget_t *retry_budget;
	char *instance; /* unique per process start; prefix of the request ids
			 * sent to runners */
	uint64_t next_request;
	uint32_t detached; /* requests that continue without a caller */
	bool draining;
} entry_t;

/* Runs `wasabilink entry`; returns the exit status of the process. */
int entry_main(int argc, char **argv);

#endif
