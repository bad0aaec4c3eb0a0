#include "entry/entry_options.h"

#include <string.h>

#include "base/error.h"
#include "base/setting.h"
#include "batch/slot.h"
#include "coord/route.h"

/* Bodies of the largest size for which there is memory by default. */
#define BODIES_IN_MEMORY 4
/* For requests with bodies that are small, but many. */
#define MIN_REQUEST_MEMORY_BYTES (16 * 1024 * 1024)

gboolean entry_options_parse(entry_options_t *o, int argc, char **argv,
			     GError **error)
{
	char *level_name = NULL;
	const setting_t settings[] = {
		{ "node-id", SETTING_STRING, &o->node_id, NULL, "ID",
		  "unique name of this node", 0, 0, 0 },
		{ "domain", SETTING_STRING, &o->domain, NULL, "NAME",
		  "failure domain of this node", 0, 0, 0 },
		{ "address", SETTING_STRING, &o->address, "127.0.0.1", "IP",
		  "listen address", 0, 0, 0 },
		{ "port", SETTING_PORT, &o->port, "8080", "PORT",
		  "port for callers", 0, 0, 0 },
		{ "operator-port", SETTING_PORT, &o->operator_port, "8081",
		  "PORT", "port for health, counters and operators", 0, 0, 0 },
		{ "peer-port", SETTING_PORT, &o->peer_port, "8082", "PORT",
		  "port for other nodes", 0, 0, 0 },
		{ "platform", SETTING_STRING, &o->platform, "127.0.0.1:7000",
		  "IP:PORT", "object API of the platform", 0, 0, 0 },
		{ "seeds", SETTING_STRING, &o->seeds, "", "IP:PORT,...",
		  "peer addresses of nodes to join through", 0, 0, 0 },
		{ "peer-key-file", SETTING_STRING, &o->peer_key_file, "",
		  "FILE",
		  "file with one or two keys, one per line, shared by all "
		  "nodes; the first signs, both verify; without a file nodes "
		  "are not authenticated",
		  0, 0, 0 },
		{ "environment", SETTING_STRING, &o->environment, "production",
		  "NAME", "name of the configuration document", 0, 0, 0 },
		{ "platform-timeout-ms", SETTING_INT, &o->platform_timeout_ms,
		  "2000", "MS", "longest wait for the platform", 10, 60000, 0 },
		{ "max-body-bytes", SETTING_INT, &o->max_body_bytes,
		  "536870912", "N", "largest request body", 1024, INT64_MAX,
		  0 },
		{ "response-memory-bytes", SETTING_INT,
		  &o->response_memory_bytes, "67108864", "N",
		  "most memory for all responses that are being received",
		  65536, INT64_MAX, 0 },
		{ "request-memory-bytes", SETTING_INT, &o->request_memory_bytes,
		  "0", "N",
		  "most memory for all requests of callers, operators and "
		  "nodes, 0: four times --max-body-bytes, at least 16 MiB",
		  0, INT64_MAX, 0 },
		{ "max-header-bytes", SETTING_INT, &o->max_header_bytes,
		  "32768", "N", "largest request headers", 256, 1048576, 0 },
		{ "max-connections", SETTING_INT, &o->max_connections, "20000",
		  "N", "concurrent connections of callers", 1, 1000000, 0 },
		{ "read-timeout-ms", SETTING_INT, &o->read_timeout_ms, "30000",
		  "MS", "longest wait for a caller's bytes", 100, 3600000, 0 },
		{ "drain-ms", SETTING_INT, &o->drain_ms, "60000", "MS",
		  "longest graceful shutdown", 0, 3600000, 0 },
		{ "weight-loads-per-minute", SETTING_DOUBLE,
		  &o->weight_loads_per_minute, "60", "N",
		  "model loads that the weight store serves for the fleet", 0,
		  100000, 0 },
		{ "shards", SETTING_INT, &o->shards, "8", "N",
		  "shards of the ledger, the same on all nodes", 1, 1024, 0 },
		{ "ledger-writes-per-s", SETTING_INT, &o->ledger_writes_per_s,
		  "40", "N", "the node's share of the platform's writes", 1,
		  100000, 0 },
		{ "request-timeout-ms", SETTING_INT, &o->request_timeout_ms,
		  "600000", "MS", "deadline of requests that set none", 1,
		  86400000, 0 },
		{ "stall-ms", SETTING_INT, &o->stall_ms, "30000", "MS",
		  "longest pause of a runner's stream", 10, 3600000, 0 },
		{ "slow-caller-ms", SETTING_INT, &o->slow_caller_ms, "30000",
		  "MS", "longest time without progress in sending to a caller",
		  10, 3600000, 0 },
		{ "max-queue", SETTING_INT, &o->max_queue, "2000", "N",
		  "waiting requests per deployment", 0, 1000000, 0 },
		{ "queue-ms", SETTING_INT, &o->queue_ms, "2000", "MS",
		  "longest wait for a runner", 0, 3600000, 0 },
		{ "queue-policy", SETTING_STRING, &o->queue_policy, "fair",
		  "NAME",
		  "fair between workspaces, or for measurements first-come", 0,
		  0, 0 },
		{ "route-policy", SETTING_STRING, &o->route_policy, "observed",
		  "NAME",
		  "observed, or for measurements random, round-robin or "
		  "least-reported",
		  0, 0, 0 },
		{ "hedge-share", SETTING_DOUBLE, &o->hedge_share, "0.05", "P",
		  "hedged requests as a share of all, 0: none", 0, 1, 0 },
		{ "batch-policy", SETTING_STRING, &o->batch_policy, "learned",
		  "NAME",
		  "batch streams per runner: learned, or for measurements off, "
		  "fixed or unlimited",
		  0, 0, 0 },
		{ "batch-slots", SETTING_INT, &o->batch_slots, "4", "N",
		  "batch streams per runner under the policy fixed", 0, 10000,
		  0 },
		{ "batch-reserve", SETTING_INT, &o->batch_reserve, "0", "N",
		  "slots per runner that batch leaves free", 0, 10000, 0 },
		{ "result-retention-ms", SETTING_INT, &o->result_retention_ms,
		  "86400000", "MS",
		  "time that results stay readable after the end of their job; "
		  "must be equal on all nodes",
		  1000, 31536000000, 0 },
		{ "file-retention-ms", SETTING_INT, &o->file_retention_ms,
		  "172800000", "MS",
		  "time that input files are kept after their upload, longer "
		  "while a job names them; must be equal on all nodes",
		  1000, 31536000000, 0 },
		{ "removals-per-s", SETTING_DOUBLE, &o->removals_per_s, "1",
		  "N",
		  "expired objects that the node removes per second; 0: none",
		  0, 5, 0 },
		{ "log-level", SETTING_STRING, &level_name, "info", "LEVEL",
		  "debug, info, warn or error", 0, 0, 0 },
		{ 0 },
	};
	const setting_program_t program = {
		.usage = "wasabilink entry",
		.doc = "Serves callers and coordinates the fleet.",
	};
	slot_policy_t batch_policy;
	gboolean ok;

	if (!setting_parse(&program, settings, argc, argv, NULL, error))
		return FALSE;
	ok = log_parse_level(level_name, &o->log_level);
	if (!ok)
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
			    "--log-level: bad value '%s'", level_name);
	g_free(level_name);
	if (!ok)
		return FALSE;
	if (!slot_parse_policy(o->batch_policy, &batch_policy)) {
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
			    "--batch-policy: bad value '%s'", o->batch_policy);
		return FALSE;
	}
	if (strcmp(o->queue_policy, "fair") != 0 &&
	    strcmp(o->queue_policy, "first-come") != 0) {
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
			    "--queue-policy: bad value '%s'", o->queue_policy);
		return FALSE;
	}
	if (!route_policy_exists(o->route_policy)) {
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
			    "--route-policy: bad value '%s'", o->route_policy);
		return FALSE;
	}
	if (o->request_memory_bytes == 0)
		o->request_memory_bytes = MAX(
			MIN(o->max_body_bytes, INT64_MAX / BODIES_IN_MEMORY) *
				BODIES_IN_MEMORY,
			MIN_REQUEST_MEMORY_BYTES);
	return TRUE;
}
