#ifndef WASABILINK_ENTRY_ENTRY_OPTIONS_H
#define WASABILINK_ENTRY_ENTRY_OPTIONS_H

#include <glib.h>
#include <stdint.h>

#include "base/log.h"

/*
 * entry_options - the settings of an entry process, from flags or environment
 * variables.
 */
typedef struct entry_options {
	char *node_id; /* must be unique among running nodes */
	char *domain;
	char *address; /* IP number for all listeners */
	uint16_t port; /* listener for callers */
	uint16_t operator_port; /* listener for health, counters, operators */
	uint16_t peer_port; /* listener for RPC of peers */
	char *platform; /* IP:port of the platform's object API */
	char *seeds; /* IP:port,...; may be empty */
	char *peer_key_file; /* empty: peers are not authenticated */
	char *environment; /* trial or production */
	int64_t platform_timeout_ms;
	int64_t max_body_bytes;
	int64_t response_memory_bytes;
	int64_t request_memory_bytes;
	int64_t max_header_bytes;
	int64_t max_connections;
	int64_t read_timeout_ms;
	int64_t drain_ms; /* maximum duration of a graceful shutdown */
	double weight_loads_per_minute; /* limit of the weight store for
					 * the whole fleet */
	int64_t shards; /* of the ledger; must be equal on all nodes */
	int64_t ledger_writes_per_s; /* limit of this node */
	int64_t request_timeout_ms; /* for requests without a deadline */
	int64_t stall_ms; /* maximum pause of a runner's stream */
	int64_t slow_caller_ms; /* maximum time without progress in sending to
				 * a caller */
	int64_t max_queue; /* maximum queued requests per deployment */
	int64_t queue_ms; /* maximum time in the queue */
	char *queue_policy; /* fair or first-come */
	char *route_policy;
	double hedge_share;
	char *batch_policy; /* name of a slot_policy_t */
	int64_t result_retention_ms; /* of results, from the end of their job */
	int64_t file_retention_ms; /* of input files, from their upload; longer
				    * while a job names them */
	double removals_per_s; /* limit of removed objects of this node */
	int64_t batch_slots; /* per runner with the policy fixed */
	int64_t batch_reserve; /* slots per runner kept free for online
				* requests */
	log_level_t log_level;
} entry_options_t;

/*
 * Sets the options from the command line, the environment and the defaults;
 * strings are newly allocated. Errors: WL_ERROR_INVALID; the message names the
 * setting.
 */
gboolean entry_options_parse(entry_options_t *options, int argc, char **argv,
			     GError **error);

#endif
