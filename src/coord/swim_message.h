#ifndef WASABILINK_COORD_SWIM_MESSAGE_H
#define WASABILINK_COORD_SWIM_MESSAGE_H

#include "coord/swim_state.h"

/*
 * swim_message - messages to other members, and the updates in them.
 */

void swim_message_send(swim_t *swim, const char *address, member_kind kind,
		       uint32_t sequence, const char *target);
void swim_message_send_table(swim_t *swim, const char *address);
void swim_message_gossip(swim_t *swim, guint fanout);

#endif
