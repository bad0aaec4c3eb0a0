#ifndef WASABILINK_BATCH_FILE_SWEEP_H
#define WASABILINK_BATCH_FILE_SWEEP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "batch/remover.h"

/*
 * file_sweep - removes uploaded files past their retention that no job needs,
 * and the objects of uploads that were not completed. Only one node sweeps.
 *
 * A file's id contains its creation time. New jobs do not accept a file that is
 * older than the retention. A sweep first sets a cutoff, which is a margin
 * beyond the retention, and then requests the files that jobs name: for files
 * from before the cutoff the answer is complete, and no job can add one. The
 * margin exceeds the clock difference between nodes plus the time to create a
 * job. A wall clock that steps back does not affect a sweep in progress; it
 * delays the following ones.
 */
#define FILE_SWEEP_MARGIN_MS (3600 * 1000LL)

typedef struct file_sweep file_sweep_t;

typedef struct file_sweep_stats {
	int64_t files;
	int64_t objects;
	int64_t failures; /* of the store or the ledger; retried */
} file_sweep_stats_t;

/* No operation may call back before it returns. */
typedef struct file_sweep_ops {
	/* Returns whether this node is the one that sweeps. */
	bool (*is_owner)(void *user_data);
	/* Returns the creation time of a file from its id, wall clock, or -1
	 * when it is unknown; such a file is kept. */
	int64_t (*created_ms)(const char *id);
	/* Requests the input files of all jobs; answered by
	 * file_sweep_set_needed(). */
	void (*request_needed)(uint64_t sweep, void *user_data);
	void (*removed)(const char *id, uint32_t objects, void *user_data);
	void *user_data;
} file_sweep_ops_t;

typedef struct file_sweep_options {
	file_sweep_ops_t ops;
	object_store_t *store; /* borrowed */
	const clock_source_t *clock;
	int64_t file_ms; /* retention after the creation */
	int64_t period_ms; /* between sweeps; 0 means 1 h */
	double removals_per_s;
	file_sweep_stats_t *stats;
} file_sweep_options_t;

file_sweep_t *file_sweep_new(const file_sweep_options_t *options);
void file_sweep_free(file_sweep_t *sweep);
/* ids: set of file ids, ownership is taken; NULL when some jobs are unknown. */
void file_sweep_set_needed(file_sweep_t *sweep, uint64_t number,
			   GHashTable *ids);
/* To be called several times per second. */
void file_sweep_step(file_sweep_t *sweep);

#endif
