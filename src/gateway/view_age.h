#ifndef WASABILINK_GATEWAY_VIEW_AGE_H
#define WASABILINK_GATEWAY_VIEW_AGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * view_age - up to when a view of the store is known to be current, and when it
 * is to be checked; without I/O.
 *
 * A watch that waits does not tell whether nothing has changed or the store
 * cannot be heard. An answered call tells: the view has all changes that the
 * store had acknowledged when the call began. A view that has not been confirmed
 * for VIEW_AGE_CHECK_MS is checked by a call that is answered at once.
 *
 * What one node has learned by its own calls serves the others. The last change
 * of the objects in the view lies between two revisions, as of a time: a view
 * that is known beyond the later one is confirmed as of that time, and one that
 * is not known up to the earlier one is behind and is checked soon. Of the nodes
 * that follow the same objects, mostly the one with the earliest check makes
 * it: the more nodes there are, the fewer of them draw an early time.
 *
 * Times are by clock_elapsed_us(): what was known before the VM was suspended is
 * as old as the suspension was long.
 */
/* An acknowledged change is to be known everywhere within a second, the time of
 * the check's own call included. */
#define VIEW_AGE_CHECK_MS 500
/* Random addition, at most. */
#define VIEW_AGE_SPREAD_MS 300
/* A view that has not been confirmed for so long may lack changes that are in
 * force at other nodes; over two failed checks. */
#define VIEW_AGE_STALE_MS 2000

/* What a node knows by its own calls. */
typedef struct view_news {
	/* The last change has a revision from change_min to change_max, */
	uint64_t change_min;
	uint64_t change_max;
	int64_t as_of_us; /* as of this time, by this node's clock_elapsed_us() */
} view_news_t;

typedef struct view_age {
	const clock_source_t *clock;
	GRand *random;
	uint64_t revision; /* changes up to it are known; 0: none yet */
	uint64_t change_min; /* see view_news_t */
	uint64_t change_max;
	int64_t change_max_us; /* when change_max was found */
	int64_t own_us; /* confirmed as of then by an own call; 0: never */
	int64_t confirmed_us; /* the same, or by news */
	double draw; /* of the time of the next check, in [0, 1) */
	uint32_t nodes; /* that check the same objects and are heard */
	uint64_t told; /* highest change_min told that is unknown; 0: none */
	int64_t told_us; /* when it was first told */
	int64_t retry_at_us; /* after a failed check */
	int32_t retry_ms;
	int64_t believe_at_us; /* news that this is behind, after wrong ones */
	int32_t disbelief_ms;
} view_age_t;

/* The changes that an answer brought. */
typedef struct view_changes {
	uint64_t revision; /* of the answer */
	uint64_t last; /* highest revision of its changes; 0: without any */
	bool removals; /* of a watch: among them some of an unknown revision */
} view_changes_t;

void view_age_init(view_age_t *age, const clock_source_t *clock, GRand *random);
/* All objects were listed by a call that began at the time. */
void view_age_listed(view_age_t *age, int64_t started_us,
		     const view_changes_t *changes);
/* The changes since the known revision came, by a watch or a check that began at
 * the time. */
void view_age_watched(view_age_t *age, int64_t started_us,
		      const view_changes_t *changes);
void view_age_check_failed(view_age_t *age);
/* Sets the number of nodes that check the same objects, this one included. */
void view_age_set_nodes(view_age_t *age, uint32_t nodes);
/* Another node has told what it knows. */
void view_age_told(view_age_t *age, const view_news_t *news);
/* What to tell the others; false: nothing yet. */
bool view_age_news(const view_age_t *age, view_news_t *news);
/* Whether another node has a change that this view lacks. */
bool view_age_is_behind(const view_age_t *age);
/* Whether the view may lack changes that are in force. */
bool view_age_is_stale(const view_age_t *age);
/* Time at which to check a view whose watch has waited since a time. */
int64_t view_age_check_us(const view_age_t *age, int64_t waiting_since_us);

#endif
