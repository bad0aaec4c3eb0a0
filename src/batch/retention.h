#ifndef WASABILINK_BATCH_RETENTION_H
#define WASABILINK_BATCH_RETENTION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "batch/job.h"
#include "batch/remover.h"

/*
 * retention - removes the results of jobs whose retention time is over, on the
 * node that owns their records.
 *
 * First the job's record is marked, so that no node serves incomplete results
 * as complete ones, whatever its clock says. Then the results are removed while
 * the record still exists, so that no job with the same key can start in the
 * meantime and find results of the earlier one. The record is removed only when
 * a listing shows no result. A successor receives the record again and repeats
 * the steps that are not complete. Times are wall clock, as in the record: a
 * clock that steps back delays a removal that is not marked yet.
 */
typedef struct retention retention_t;

typedef struct retention_stats {
	int64_t jobs; /* whose results were removed */
	int64_t objects;
	int64_t failures; /* of the store; retried */
} retention_stats_t;

/* No operation may call back before it returns. */
typedef struct retention_ops {
	/* Writes the job, or removes its record, if the record still has the
	 * version. Answered by retention_apply_record(), retention_record_removed() or
	 * retention_update_failed(). */
	void (*update)(const job_t *job, uint64_t version, bool forget,
		       void *user_data);
	void (*removed)(const char *job, uint32_t objects, void *user_data);
	/* Returns FALSE when another node may already own the job's record.
	 * NULL: this node always owns it. */
	gboolean (*has_record)(const char *job, void *user_data);
	void *user_data;
} retention_ops_t;

typedef struct retention_options {
	retention_ops_t ops;
	object_store_t *store; /* borrowed */
	const clock_source_t *clock;
	int64_t result_ms; /* time that results stay readable after the end */
	double removals_per_s;
	retention_stats_t *stats;
} retention_options_t;

retention_t *retention_new(const retention_options_t *options);
void retention_free(retention_t *retention);
/* Applies the current record; takes ownership of job. */
void retention_apply_record(retention_t *retention, job_t *job,
			    uint64_t version);
typedef gboolean (*retention_keep_t)(const char *job, void *user_data);
/* Drops the jobs whose records this node no longer owns. */
void retention_drop_unless(retention_t *retention, retention_keep_t keep,
			   void *user_data);
/* Reports that the record may be unchanged; the update is retried. After a
 * change, retention_apply_record() or retention_record_removed() is called instead. */
void retention_update_failed(retention_t *retention, const char *job);
/* Reports that the job's record was removed. */
void retention_record_removed(retention_t *retention, const char *job);
/* To be called several times per second. */
void retention_step(retention_t *retention);

#endif
