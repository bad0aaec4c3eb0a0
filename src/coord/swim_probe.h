#ifndef WASABILINK_COORD_SWIM_PROBE_H
#define WASABILINK_COORD_SWIM_PROBE_H

#include "coord/swim_state.h"

/*
 * swim_probe - probes of members, direct and through other members, and
 * messages to addresses that are not live members.
 */

void swim_probe_end(swim_t *swim);
void swim_probe_failed(swim_t *swim);
/* Contacts up to count seeds that are not live members, starting at a random
 * one. */
void swim_probe_contact_seeds(swim_t *swim, guint count);
void swim_probe_contact_dead(swim_t *swim);
void swim_probe_start(swim_t *swim, int64_t now);
void swim_probe_indirectly(swim_t *swim);

#endif
