#ifndef WASABILINK_GATEWAY_JOB_REMOVAL_H
#define WASABILINK_GATEWAY_JOB_REMOVAL_H

#include <stdint.h>

#include "gateway/job_context.h"
#include "gateway/job_table.h"

/*
 * job_removal - removes what batch jobs leave behind in the store.
 *
 * The record of a closed job is removed a day after the job was submitted, or
 * sooner when there are over JOB_REMOVAL_MAX_CLOSED of them, the oldest first; in
 * any case not before this node has seen it closed and unchanged for a quarter of
 * an hour and for the time for which results must stay readable.
 *
 * Payloads and progress are removed once the job is closed for as long, and all
 * objects whose job has no record once they are older than any write in progress.
 * For these a node lists the objects from time to time, about once an hour over
 * all nodes. Their age is known by the store's revision at two earlier times.
 *
 * Each node removes a part of what is due at its own times. A removal names the
 * version that was seen, so that two nodes do each other no harm.
 */
typedef struct job_removal job_removal_t;

/* Closed records that are kept for a day. */
#define JOB_REMOVAL_MAX_CLOSED 4096

typedef struct job_removal_options {
	job_context_t *context;
	job_table_t *table;
	/* For which results stay readable after the submission. */
	int64_t readable_ms;
} job_removal_options_t;

job_removal_t *job_removal_new(const job_removal_options_t *options);
/* Makes at most one call to the store. To be called several times per second. */
void job_removal_tick(job_removal_t *removal);
/* Makes no more calls. */
void job_removal_stop(job_removal_t *removal);

#endif
