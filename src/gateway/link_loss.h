#ifndef WASABILINK_GATEWAY_LINK_LOSS_H
#define WASABILINK_GATEWAY_LINK_LOSS_H

#include <stdint.h>

#include "backend/part_guard.h"
#include "gateway/fleet.h"

/*
 * link_loss - broken connections that a lost path to the runners explains.
 *
 * Connections over a path that is lost break when they are next used, so those of
 * one loss break over as long as the pauses of their streams are. Each looks like a
 * crash of its runner until the runner is seen to go on. Once a runner whose
 * connections broke, or to which a connect failed, has answered through another
 * node, before it could have started again, the path is the likelier cause for all
 * runners in lost domains: the crashes that this node alone has noted at about that
 * time are withdrawn.
 *
 * Times are of part_guard_now_us().
 */
typedef struct link_loss {
	part_guard_t *guard;
	fleet_t *fleet;
	int64_t lost_us; /* when connections broke by it; 0: none */
} link_loss_t;

/* A runner has answered through another node. lost_us: when connections of this node
 * to it broke without a crash; 0: none did. */
void link_loss_answered(link_loss_t *loss, const fleet_runner_t *runner,
			int64_t lost_us);
/* Withdraws crashes. To be called several times per second. */
void link_loss_tick(link_loss_t *loss);

#endif
