#ifndef WASABILINK_GATEWAY_JOB_OWNER_H
#define WASABILINK_GATEWAY_JOB_OWNER_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/job_context.h"
#include "gateway/job_record.h"
#include "gateway/segment_cache.h"

/*
 * job_owner - the batch jobs that this node owns and whose items it runs.
 *
 * The owner writes a job's record only on condition of the version that it saw
 * last. While the job is open it renews the record periodically, so that other
 * nodes see that the owner is alive. A conflict means that the job was ended or
 * that another node has acquired its ownership.
 */
typedef struct job_owner job_owner_t;

job_owner_t *job_owner_new(job_context_t *context, segment_cache_t *cache);

/* A job to start. The owner takes the record and the items. */
typedef struct job_start {
	const char *id;
	job_record_t *record; /* names this node the owner */
	uint64_t version; /* of the record */
	/* Start of the store call that confirmed the record, by
	 * clock_elapsed_us(). */
	int64_t confirmed_us;
	GPtrArray *items;
	/* Output that a former owner saved, job_progress_t; may be NULL. */
	const GPtrArray *progress;
} job_start_t;

/* Starts a job that the store names this node the owner of. */
void job_owner_start_job(job_owner_t *owner, const job_start_t *start);
/* Starts and preempts items and makes the pending writes. To be called several
 * times per second. */
void job_owner_tick(job_owner_t *owner);
/* Preempts items at runners whose slots online requests need. To be called
 * whenever the load has changed. */
void job_owner_preempt(job_owner_t *owner);
/* Reads the record of an owned job again before its next write, as the store
 * may have a newer version. */
void job_owner_refresh(job_owner_t *owner, const char *id);
/* The record as the store last confirmed it, or NULL when this node does not
 * own the job. */
const job_record_t *job_owner_record(job_owner_t *owner, const char *id);
/*
 * Like job_owner_record(), but NULL also when the last confirmation is so old
 * that another node may have acquired the job. Time in which the machine was
 * suspended counts.
 */
const job_record_t *job_owner_fresh_record(job_owner_t *owner, const char *id);
/* Items of an owned job, or NULL when this node does not own it. */
const GPtrArray *job_owner_items(job_owner_t *owner, const char *id);
/* Releases all jobs and saves the output that their unfinished items have
 * delivered, so that the next owners resume them. */
void job_owner_stop(job_owner_t *owner);
uint32_t job_owner_count(const job_owner_t *owner);

#endif
