#ifndef WASABILINK_GATEWAY_JOB_QUOTA_H
#define WASABILINK_GATEWAY_JOB_QUOTA_H

#include "gateway/job_context.h"
#include "gateway/job_table.h"

/*
 * job_quota - whether a batch job fits into the tokens that may wait on its
 * route, over all nodes.
 *
 * Far from the quota this node's late view decides; near it, the jobs are
 * listed anew.
 */
typedef void (*job_quota_done_t)(bool fits, void *user_data);

/* May call done before it returns. A job that the store holds already fits. */
void job_quota_check(job_context_t *context, job_table_t *table,
		     const path_route_t *route, const char *id, int64_t tokens,
		     job_quota_done_t done, void *user_data);

#endif
