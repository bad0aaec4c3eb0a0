#ifndef WASABILINK_COORD_ROLLOUT_H
#define WASABILINK_COORD_ROLLOUT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * rollout - selects the version of a deployment that requests ask for while its
 * runners change from one version to the next.
 *
 * Every request names the version that it needs, and runners refuse other
 * versions. After a change of the configuration the runners still serve the
 * previous version and switch one after the other. Requests ask for the
 * previous version until enough runners have refused it, and then for the new
 * one. A runner that refused a version is not selected for that version for a
 * short time.
 */
typedef struct rollout rollout_t;

rollout_t *rollout_new(const clock_source_t *clock);
void rollout_free(rollout_t *rollout);

/*
 * Returns the version to ask for, given the configured one and the number of
 * runners. The result is valid for the lifetime of the process.
 */
const char *rollout_version(rollout_t *rollout, const char *configured,
			    uint32_t runners);

/* Records that a runner refused the version. */
void rollout_refused(rollout_t *rollout, const char *address,
		     const char *version);
/* Records that a runner answered in the version. */
void rollout_served(rollout_t *rollout, const char *address,
		    const char *version);
/* Whether the runner refused the version within the last second. */
bool rollout_recently_refused(const rollout_t *rollout, const char *address,
			      const char *version);

#endif
