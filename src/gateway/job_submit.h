#ifndef WASABILINK_GATEWAY_JOB_SUBMIT_H
#define WASABILINK_GATEWAY_JOB_SUBMIT_H

#include "gateway/job_context.h"
#include "gateway/job_owner.h"
#include "gateway/job_table.h"

/*
 * job_submit - accepts batch jobs.
 *
 * The creation of a job's record accepts the job. A job is accepted only once,
 * even if it is submitted at several nodes. JOB_REFUSED is reported only when
 * no write of the record can have taken effect or can still do so.
 */
typedef enum job_submitted {
	JOB_ACCEPTED, /* now or by an earlier submission */
	JOB_OVER_QUOTA, /* not accepted */
	JOB_REFUSED, /* not accepted: the store is unavailable */
	JOB_UNKNOWN, /* may be accepted */
	JOB_TOO_LARGE /* not accepted: an item is above the store's limit */
} job_submitted_t;

typedef void (*job_submitted_done_t)(job_submitted_t outcome, void *user_data);

typedef struct job_submission {
	const char *id;
	const char *host;
	const char *path;
	const path_route_t *route;
	GPtrArray *items; /* job_item_t; ownership is taken */
	int32_t timeout_ms; /* time limit for the outcome */
	job_submitted_done_t done; /* called once, maybe before the return */
	void *user_data;
} job_submission_t;

void job_submit(job_context_t *context, job_owner_t *owner, job_table_t *table,
		const job_submission_t *submission);

#endif
