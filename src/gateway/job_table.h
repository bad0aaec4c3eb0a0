#ifndef WASABILINK_GATEWAY_JOB_TABLE_H
#define WASABILINK_GATEWAY_JOB_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/job_context.h"
#include "gateway/job_owner.h"
#include "gateway/job_record.h"

/*
 * job_table - this node's view of all batch jobs, up to some seconds stale.
 *
 * Takes over jobs without a live owner: released jobs at once, others when
 * their record has not changed for the lease time while this node was in
 * continuous contact with the store. A takeover is a write of the record on
 * condition of the version that this node saw.
 */
typedef struct job_table job_table_t;

job_table_t *job_table_new(job_context_t *context, job_owner_t *owner);
/*
 * Random delay before this node attempts to take over an orphaned job. nodes is
 * the number of other nodes: the more there are, the longer the range of the
 * delay, so that one orphan does not cost a write by each of them. named: the
 * record names this node, which then does not wait.
 */
int32_t job_table_takeover_delay_ms(GRand *random, uint32_t nodes, bool named);
/* Whether the record names this process as owner, not a former process of the
 * same node. */
bool job_table_names_process(const job_record_t *record, const char *node,
			     const char *instance);
/* Starts takeovers that are due. To be called several times per second. */
void job_table_tick(job_table_t *table);
/* Sum of the tokens of items without a result in the open jobs of a route. */
int64_t job_table_waiting_tokens(const job_table_t *table,
				 const path_route_t *route);
/* The owner of an open job, up to some seconds stale. NULL when the job is not
 * known or has no owner. */
const char *job_table_owner(const job_table_t *table, const char *id);
/* The record of a closed job, which no longer changes. NULL when this node does
 * not know that the job is closed. Borrowed until the event loop runs again. */
const job_record_t *job_table_closed_record(const job_table_t *table,
					    const char *id);
/* Whether the table has a record of the job, open or closed. */
bool job_table_has(const job_table_t *table, const char *id);
/* A closed job. */
typedef struct job_table_closed {
	const char *id; /* borrowed until the event loop runs again */
	uint64_t version; /* of the record */
	int64_t unchanged_ms; /* for which this node has seen the version */
	int64_t submitted_ms; /* by the clock of the node that accepted it */
} job_table_closed_t;

/* False when the table has no closed record of the job. */
bool job_table_find_closed(const job_table_t *table, const char *id,
			   job_table_closed_t *closed);
typedef void (*job_table_each_closed_t)(const job_table_closed_t *closed,
					void *user_data);
void job_table_each_closed(const job_table_t *table,
			   job_table_each_closed_t each, void *user_data);
/* Whether the table has had all records, and has followed their changes for the
 * lease time. */
bool job_table_is_steady(const job_table_t *table);
/* Revision of the store that the table shows at least. */
uint64_t job_table_revision(const job_table_t *table);
/* Starts no more takeovers. */
void job_table_stop(job_table_t *table);

#endif
