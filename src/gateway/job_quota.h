#ifndef WASABILINK_GATEWAY_JOB_QUOTA_H
#define WASABILINK_GATEWAY_JOB_QUOTA_H

#include "gateway/job_context.h"
#include "gateway/job_table.h"

/*
 * job_quota - checks a batch job against the limit of waiting tokens of its
 * route, over all nodes.
 *
 * Well below the limit, this node's stale view of the jobs decides. Otherwise
 * the jobs are listed from the store.
 */
typedef void (*job_quota_done_t)(bool fits, void *user_data);

/* May call done before it returns. A job that the store already has fits. */
void job_quota_check(job_context_t *context, job_table_t *table,
		     const path_route_t *route, const char *id, int64_t tokens,
		     job_quota_done_t done, void *user_data);

#endif
