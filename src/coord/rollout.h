#ifndef WASABILINK_COORD_ROLLOUT_H
#define WASABILINK_COORD_ROLLOUT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * rollout - which version of a deployment to ask its runners for while they
 * change from one version to the next.
 *
 * Every request names the version that it needs, and runners refuse others.
 * After a change of the configuration the runners still serve the previous
 * version and move one after the other. Requests go on asking for it until
 * enough runners have refused it, and from then on ask for the new one. A
 * runner that refused a version is left out for that version for a while.
 */
typedef struct rollout rollout_t;

rollout_t *rollout_new(const clock_source_t *clock);
void rollout_free(rollout_t *rollout);

/*
 * The version to ask for, given the configured one and the number of runners.
 * The result stays valid as long as the process.
 */
const char *rollout_version(rollout_t *rollout, const char *configured,
			    uint32_t runners);

/* A runner refused the version. */
void rollout_refused(rollout_t *rollout, const char *address,
		     const char *version);
/* A runner answered in the version. */
void rollout_served(rollout_t *rollout, const char *address,
		    const char *version);
/* Whether the runner refused the version only a short time ago. */
bool rollout_lacks(const rollout_t *rollout, const char *address,
		   const char *version);

#endif
