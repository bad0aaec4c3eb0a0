#ifndef WASABILINK_BATCH_FILE_SWEEP_H
#define WASABILINK_BATCH_FILE_SWEEP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "batch/remover.h"

/*
 * file_sweep - removes uploaded files that are old and that no job needs, and
 * what uploads left behind that did not end. One node sweeps.
 *
 * A file's id tells when it was created. A file older than its retention is
 * not taken by new jobs any more. A sweep first sets a cutoff, a margin beyond
 * the retention, and then asks for the files that jobs name: of those before
 * the cutoff the answer misses none, and none can be added. The margin is more
 * than clocks of nodes differ and the creation of a job takes. A wall clock
 * that steps back during a sweep does not matter, and delays the next ones.
 */
#define FILE_SWEEP_MARGIN_MS (3600 * 1000LL)

typedef struct file_sweep file_sweep_t;

typedef struct file_sweep_stats {
	int64_t files;
	int64_t objects;
	int64_t failures; /* of the store or the ledger; repeated */
} file_sweep_stats_t;

/* None may call back before it returns. */
typedef struct file_sweep_ops {
	/* Whether this node is the one that sweeps. */
	bool (*is_owner)(void *user_data);
	/* Creation time of a file by its id, wall clock; -1: unknown, the file
	 * stays. */
	int64_t (*created_ms)(const char *id);
	/* Asks for the input files of all jobs; answer by
	 * file_sweep_needed(). */
	void (*ask_needed)(uint64_t sweep, void *user_data);
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
/* ids: set of file ids, taken over; NULL when some jobs are not known. */
void file_sweep_needed(file_sweep_t *sweep, uint64_t number, GHashTable *ids);
/* A few times a second. */
void file_sweep_step(file_sweep_t *sweep);

#endif
