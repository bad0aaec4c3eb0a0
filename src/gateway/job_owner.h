#ifndef WASABILINK_GATEWAY_JOB_OWNER_H
#define WASABILINK_GATEWAY_JOB_OWNER_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/job_context.h"
#include "gateway/job_record.h"
#include "gateway/segment_cache.h"

/*
 * job_owner - the batch jobs whose items this node runs.
 *
 * The owner changes the record only under the version that it last saw, and
 * renews it while the job is open, so that other nodes see that it lives. A
 * conflict shows that the job was ended or has another owner by now.
 */
typedef struct job_owner job_owner_t;

job_owner_t *job_owner_new(job_context_t *context, segment_cache_t *cache);

/* Begins to run a job that the store names this node the owner of. Takes the
 * record and the items over. progress is what a former owner has handed over,
 * job_progress_t; NULL: nothing. */
void job_owner_adopt(job_owner_t *owner, const char *id, job_record_t *record,
		     uint64_t version, GPtrArray *items,
		     const GPtrArray *progress);
/* Starts, yields and writes what is due. Some times a second. */
void job_owner_tick(job_owner_t *owner);
/* Gives places up to online requests, as soon as the load has changed. */
void job_owner_yield(job_owner_t *owner);
/* The store has a newer record of a job than this node may know. */
void job_owner_refresh(job_owner_t *owner, const char *id);
/* The record as last written, or NULL when this node does not own the job. */
const job_record_t *job_owner_record(job_owner_t *owner, const char *id);
/*
 * The same, but NULL also when the store has not confirmed it for so long that
 * another node may have taken the job over. Time in which the machine was
 * suspended counts.
 */
const job_record_t *job_owner_fresh_record(job_owner_t *owner, const char *id);
/* Items of an owned job, or NULL. */
const GPtrArray *job_owner_items(job_owner_t *owner, const char *id);
/* Gives all jobs away, with what their items have delivered. */
void job_owner_stop(job_owner_t *owner);
uint32_t job_owner_count(const job_owner_t *owner);

#endif
