#ifndef WASABILINK_GATEWAY_CONTACT_PROBE_H
#define WASABILINK_GATEWAY_CONTACT_PROBE_H

#include <event2/event.h>

#include "base/counter.h"
#include "gateway/fleet.h"

/*
 * contact_probe - connects to runners for a sign of contact with their domain,
 * so that no request has to find out.
 *
 * Nothing is sent on the connection. The fleet decides which runner is due.
 */
typedef struct contact_probe contact_probe_t;

typedef struct contact_probe_options {
	struct event_base *base;
	fleet_t *fleet;
	counter_set_t *counters;
} contact_probe_options_t;

contact_probe_t *contact_probe_new(const contact_probe_options_t *options);
/* Starts the probes that are due. To be called several times per second. */
void contact_probe_tick(contact_probe_t *probe);

#endif
