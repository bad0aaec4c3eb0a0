#ifndef WASABILINK_BATCH_RETENTION_H
#define WASABILINK_BATCH_RETENTION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "batch/job.h"
#include "batch/remover.h"

/*
 * retention - removes the results of jobs that ended long ago, on the node
 * that owns their records.
 *
 * First the job's record is marked, so that no node serves a part of the
 * results as the whole, whatever its clock says. Then the results go, while the
 * record still exists, so that no job of the same key can begin meanwhile and
 * find results of the earlier one. Only when a listing has shown that none is
 * left is the record forgotten. A successor is told the
 * record again and repeats what is not done. The time is the wall clock's, as
 * the record holds it: a clock that steps back delays a removal
 * that has not been marked yet.
 */
typedef struct retention retention_t;

typedef struct retention_stats {
	int64_t jobs; /* whose results were removed */
	int64_t objects;
	int64_t failures; /* of the store; repeated */
} retention_stats_t;

/* Neither may call back before it returns. */
typedef struct retention_ops {
	/* Writes the job, or ends its record, if the record still has the
	 * version. Told by retention_follow(), retention_forgotten() or
	 * retention_failed(). */
	void (*update)(const job_t *job, uint64_t version, bool forget,
		       void *user_data);
	void (*removed)(const char *job, uint32_t objects, void *user_data);
	void *user_data;
} retention_ops_t;

typedef struct retention_options {
	retention_ops_t ops;
	object_store_t *store; /* borrowed */
	const clock_source_t *clock;
	int64_t result_ms; /* results stay readable after the job's end */
	double removals_per_s;
	retention_stats_t *stats;
} retention_options_t;

retention_t *retention_new(const retention_options_t *options);
void retention_free(retention_t *retention);
/* The record as it is now; takes over the job. */
void retention_follow(retention_t *retention, job_t *job, uint64_t version);
typedef gboolean (*retention_keep_t)(const char *job, void *user_data);
/* Drops the jobs whose records are not this node's any more. */
void retention_drop_unless(retention_t *retention, retention_keep_t keep,
			   void *user_data);
/* The record may not have changed: it is to be tried again. After a change,
 * retention_follow() or retention_forgotten() is called instead. */
void retention_failed(retention_t *retention, const char *job);
/* The job's record does not exist any more. */
void retention_forgotten(retention_t *retention, const char *job);
/* A few times a second. */
void retention_step(retention_t *retention);

#endif
