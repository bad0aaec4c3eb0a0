#ifndef WASABILINK_GATEWAY_JOB_TABLE_H
#define WASABILINK_GATEWAY_JOB_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/job_context.h"
#include "gateway/job_owner.h"
#include "gateway/job_record.h"

/*
 * job_table - this node's view of all batch jobs, some seconds late.
 *
 * Jobs that nobody runs are taken over: those that were handed back at once,
 * those whose record has not changed for the lease time while this node was
 * in steady contact with the store. A takeover is a conditional write of the
 * record that was seen.
 */
typedef struct job_table job_table_t;

job_table_t *job_table_new(job_context_t *context, job_owner_t *owner);
/*
 * Pause before this node tries to take over a job that nobody runs, with that
 * many other nodes about. The more nodes, the more the tries are spread, so
 * that one orphan does not cost a write by each of them. named: its record
 * names this node.
 */
int32_t job_table_takeover_delay_ms(GRand *random, uint32_t nodes, bool named);
/* Whether the record names this process, not a former one of the same node. */
bool job_table_names_process(const job_record_t *record, const char *node,
			     const char *instance);
/* Looks for jobs to take over. Some times a second. */
void job_table_tick(job_table_t *table);
/* Tokens of items without a result over the open jobs of a route. */
int64_t job_table_waiting_tokens(const job_table_t *table,
				 const path_route_t *route);
/* The node that runs an open job, by a view that is some seconds late; NULL:
 * not known, or nobody. */
const char *job_table_owner(const job_table_t *table, const char *id);
/* Takes nothing over from now on. */
void job_table_stop(job_table_t *table);

#endif
