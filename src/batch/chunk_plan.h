#ifndef WASABILINK_BATCH_CHUNK_PLAN_H
#define WASABILINK_BATCH_CHUNK_PLAN_H

#include <glib.h>
#include <stdint.h>

#include "batch/job.h"
#include "batch/item_failures.h"

/*
 * chunk_plan - the chunks of a job and their states.
 *
 * The division into chunks is derived from the job's record alone, so every
 * coordinator computes the same one. When a chunk finishes with fewer items
 * than planned, the remaining items become a chunk of their own.
 */
typedef enum chunk_state {
	CHUNK_WAITING,
	CHUNK_LEASED,
	CHUNK_CHECKING, /* lease expired; its result object may exist */
	CHUNK_DONE
} chunk_state_t;

typedef struct chunk {
	uint32_t first;
	uint32_t count;
	uint32_t part;
	uint32_t line;
	int32_t index; /* in the plan, -1 for the remainder of a split chunk */
	chunk_state_t state;
	const char *holder; /* interned */
	int64_t lease_until_ms;
	GArray *suspects;
} chunk_t;

typedef struct chunk_plan {
	GPtrArray *chunks; /* chunk_t, in order of creation */
	GHashTable *by_first;
	guint next_waiting; /* no waiting chunk has a lower index */
	uint32_t waiting; /* chunks */
	uint32_t unfinished; /* chunks */
} chunk_plan_t;

/* Marks the chunks done that the record names as finished, and sorts the
 * record's splits. */
void chunk_plan_init(chunk_plan_t *plan, job_t *job);
void chunk_plan_clear(chunk_plan_t *plan);

/* Returns the chunk whose first item has the number, or NULL. */
chunk_t *chunk_plan_find(const chunk_plan_t *plan, uint32_t first);
/* Returns a waiting chunk, or NULL. */
chunk_t *chunk_plan_next(chunk_plan_t *plan);
void chunk_plan_set(chunk_plan_t *plan, chunk_t *chunk, chunk_state_t state);
/* Marks the chunk done with its first count items, in the plan and in the job's
 * record. */
void chunk_plan_finish(chunk_plan_t *plan, chunk_t *chunk, uint32_t count,
		       job_t *job);

/* Keeps the maximum of the known and the new counts of each item. */
void chunk_plan_merge_suspects(chunk_t *chunk, const GArray *suspects);

#endif
