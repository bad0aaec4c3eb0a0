#ifndef WASABILINK_COORD_SWIM_UPDATE_H
#define WASABILINK_COORD_SWIM_UPDATE_H

#include "coord/swim_state.h"

/*
 * swim_update - changes of members' states, by received messages and by this
 * node.
 */

void swim_update_set_state(swim_t *swim, member_t *member, member_state_t state,
			   uint64_t incarnation);
void swim_update_self(swim_t *swim, member_state_t state, uint64_t incarnation);
void swim_update_apply(swim_t *swim, const member_update *update);
void swim_update_suspect(swim_t *swim, const char *address);
void swim_update_set_peer_config(swim_t *swim, const member_message *message);
void swim_update_expire(swim_t *swim, int64_t now);

#endif
