#ifndef WASABILINK_GATEWAY_JOB_CONTEXT_H
#define WASABILINK_GATEWAY_JOB_CONTEXT_H

#include <event2/event.h>

#include "base/counter.h"
#include "gateway/batch_rule.h"
#include "gateway/path_table.h"
#include "gateway/execution.h"
#include "gateway/follow.h"
#include "object/object_store.h"

/* job_context - the objects and callbacks that the batch job modules of one
 * process share. */
typedef struct job_context {
	struct event_base *base;
	const clock_source_t *clock;
	GRand *random;
	object_store_t *store;
	object_store_t *stale_store; /* cheap reads, up to seconds stale */
	follow_group_t *follows;
	execution_context_t *executions;
	counter_set_t *counters;
	/* Of the items that are kept in memory, to be submitted or to be run;
	 * above the bound no more are taken. 0: not limited. */
	uint64_t item_bytes;
	uint64_t max_item_bytes;
	const char *node; /* name of this node */
	char *writer; /* unique to this process */
	path_table_t **paths; /* current routes; points to NULL at first */
	/* Reports to the other nodes how many items wait at this node for each
	 * service. */
	void (*report_demands)(void *user_data, const batch_demand_t *demands,
			       guint count);
	/* Returns how many items wait for a service (fleet_key() of its name)
	 * at the nodes before and after this one, in an order that is the same
	 * at all nodes. */
	void (*batch_waiting)(void *user_data, uint64_t service,
			      batch_waiting_t *before, batch_waiting_t *after);
	/* Number of other nodes that this node receives messages from. */
	uint32_t (*peers)(void *user_data);
	/* Appends the known load of each domain, batch_domain_t; nothing in a
	 * small system. */
	void (*batch_domains)(void *user_data, const char *service,
			      GArray *domains);
	/* The node that is to own a job submitted here; NULL: this one. */
	const char *(*job_node)(void *user_data, const char *service);
	/* The record of a job was removed from the store; NULL: nobody asks. */
	void (*job_forgotten)(void *user_data, const char *id);
	void *user_data;
} job_context_t;

#endif
