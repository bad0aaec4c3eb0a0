#ifndef WASABILINK_GATEWAY_JOB_CONTEXT_H
#define WASABILINK_GATEWAY_JOB_CONTEXT_H

#include <event2/event.h>

#include "base/counter.h"
#include "gateway/batch_rule.h"
#include "gateway/path_table.h"
#include "gateway/run.h"
#include "object/object_store.h"

/* job_context - what the modules of batch jobs share in one process. */
typedef struct job_context {
	struct event_base *base;
	const clock_source_t *clock;
	GRand *random;
	object_store_t *store;
	object_store_t *stale_store; /* cheap reads that may be seconds old */
	run_context_t *runs;
	counter_set_t *counters;
	const char *node; /* name of this node */
	char *writer; /* unique to this process */
	path_table_t **paths; /* the present routes; points to NULL before */
	/* Tells the other nodes how many items wait here; gets theirs. */
	void (*batch_waiting)(void *user_data, const batch_waiting_t *own,
			      batch_waiting_t *peers);
	/* Number of other nodes that are heard. */
	uint32_t (*peers)(void *user_data);
	/* Appends what is known of the domains; nothing in a small system. */
	void (*batch_domains)(void *user_data, const char *service,
			      GArray *domains);
	/* The node that is to run a job submitted here; NULL: this one. */
	const char *(*job_node)(void *user_data, const char *service);
	void *user_data;
} job_context_t;

#endif
