#ifndef WASABILINK_COORD_SWIM_RELAY_H
#define WASABILINK_COORD_SWIM_RELAY_H

#include "coord/swim_state.h"

/*
 * swim_relay - indirect probes that this node makes for other members.
 */

void swim_relay_free(void *data);
void swim_relay_expire(swim_t *swim, int64_t now);
void swim_relay_receive(swim_t *swim, const member_message *message);

#endif
