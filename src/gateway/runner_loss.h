#ifndef WASABILINK_GATEWAY_RUNNER_LOSS_H
#define WASABILINK_GATEWAY_RUNNER_LOSS_H

#include <stdint.h>

#include "backend/part_guard.h"
#include "base/clock.h"
#include "base/counter.h"
#include "gateway/fleet.h"

/*
 * runner_loss - tells lost links from runners that have ended.
 *
 * The part guard counts the end of a connection as a crash of the runner at
 * once, so that a request that crashes runners is held in time. When it turns
 * out that the node has lost its links to the runner's domain, while another
 * node reaches it, the connection has ended with the link, and the crash is
 * retracted. Connections that end through another node are not looked at.
 */
typedef struct runner_losses runner_losses_t;

typedef struct runner_losses_options {
	const clock_source_t *clock;
	fleet_t *fleet;
	part_guard_t *part_guard;
	counter_set_t *counters;
} runner_losses_options_t;

runner_losses_t *runner_losses_new(const runner_losses_options_t *options);
void runner_losses_free(runner_losses_t *losses);
/* The node's own connection to the runner has ended, and part_guard_lost() was
 * called for it. */
void runner_losses_add(runner_losses_t *losses, fleet_runner_t *runner);
/* Looks at the losses of the last seconds. To be called several times per
 * second. */
void runner_losses_tick(runner_losses_t *losses);

#endif
