#ifndef WASABILINK_GATEWAY_PATH_TABLE_H
#define WASABILINK_GATEWAY_PATH_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * path_table - the routes of one configuration version, by host and path.
 *
 * A table is immutable once it is shared. It is reference-counted, so that a
 * request in flight keeps the route that it was accepted under.
 */
typedef enum path_kind {
	PATH_IDEMPOTENT, /* may run more than once */
	PATH_ONCE, /* runs at most once per request of a caller */
	PATH_STREAM, /* answered as server-sent events */
	PATH_BATCH /* accepts batch jobs, which run later */
} path_kind_t;

typedef struct path_target {
	char *service;
	uint32_t weight;
} path_target_t;

typedef struct path_route {
	char *name;
	char *host;
	char *prefix; /* starts and ends with a slash */
	path_kind_t kind;
	int32_t timeout_ms; /* longest wait for an answer; 0: none */
	int32_t objective_ms; /* latency up to which a response has its full value */
	int32_t pause_objective_ms; /* between events of a stream */
	int32_t rank; /* 0: most urgent */
	uint32_t
		max_runners; /* limit of the runners that one request may run on */
	bool resumable; /* a stream may be resumed at another runner */
	int64_t due_ms; /* batch: deadline of the results after submission */
	int64_t give_up_ms; /* batch: time after submission from which items may be given up */
	int64_t max_waiting_tokens; /* batch: 0 is unlimited */
	GArray *targets; /* path_target_t */
} path_route_t;

typedef struct path_table {
	uint64_t version;
	int64_t adopted_us; /* monotonic time since which it is in force */
	uint32_t idle_timeout_ms; /* of callers' connections */
	uint32_t
		max_header_bytes; /* of a request's names and values, 0: unknown */
	uint64_t max_body_bytes; /* of a request, 0: unknown */
	GPtrArray *routes; /* path_route_t */
	int refs;
} path_table_t;

path_table_t *path_table_new(uint64_t version);
path_table_t *path_table_ref(path_table_t *table);
void path_table_unref(path_table_t *table);

/* Adds a route with the defaults of an idempotent request. */
path_route_t *path_table_add(path_table_t *table, const char *host,
			     const char *prefix);
void path_route_add_target(path_route_t *route, const char *service,
			   uint32_t weight);

/* Returns the route of the host with the longest prefix of the path, or NULL. */
const path_route_t *path_table_find(const path_table_t *table, const char *host,
				    const char *path);

/* Whether the service is one of the route's targets. */
bool path_route_has_service(const path_route_t *route, const char *service);
/* Selects the service of a target by weight; draw is uniform in [0, 1). Returns
 * NULL without a target. */
const char *path_route_service(const path_route_t *route, double draw);

#endif
