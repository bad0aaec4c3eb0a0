#ifndef WASABILINK_ENTRY_ENTRY_OPTIONS_H
#define WASABILINK_ENTRY_ENTRY_OPTIONS_H

#include <glib.h>
#include <stdint.h>

#include "base/log.h"

/*
 * entry_options - the settings of an entry process, by flag or environment.
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
	char *peer_key_file; /* empty: peers are not authenticated */
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
	char *queue_policy; /* fair or first-come */
	char *route_policy;
	double hedge_share;
	char *batch_policy; /* slot_policy_t by name */
	int64_t result_retention_ms; /* results of a job after its end */
	int64_t file_retention_ms; /* input files that no job names */
	double removals_per_s; /* of objects past their retention */
	int64_t batch_slots; /* per runner under the policy fixed */
	int64_t batch_reserve; /* slots per runner kept free for online load */
	log_level_t log_level;
} entry_options_t;

/*
 * Fills the options from the command line, the environment and the defaults;
 * strings are newly allocated. Errors: WL_ERROR_INVALID, the message names the
 * setting.
 */
gboolean entry_options_parse(entry_options_t *options, int argc, char **argv,
			     GError **error);

#endif
