#ifndef WASABILINK_COORD_ADMISSION_H
#define WASABILINK_COORD_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * admission - bounded queue in front of a deployment's runners.
 *
 * Order: online requests go before batch items. Workspaces share by start-time
 * fair queueing (Goyal, Vin and Cheng, 1996), by weight and estimated work.
 * Within a workspace the same algorithm shares between lanes of similar work,
 * so that short requests do not wait behind long ones and long ones still get
 * their share. Long requests leave some slots free as long as short requests
 * arrive.
 *
 * A request whose estimated wait is too long is refused on arrival. A request
 * that has waited too long expires: admission_expired() returns it, and the
 * owner answers it at once.
 */
typedef struct admission admission_t;
typedef struct admission_flow admission_flow_t;

typedef enum admission_priority {
	ADMISSION_ONLINE,
	ADMISSION_BATCH,
	ADMISSION_PRIORITIES
} admission_priority_t;

typedef enum admission_state {
	ADMISSION_IDLE, /* neither queued nor running */
	ADMISSION_QUEUED,
	ADMISSION_RUNNING,
	ADMISSION_REFUSED
} admission_state_t;

/* Embedded in the owner's request. The owner sets the members before state. */
typedef struct admission_ticket {
	void *owner;
	admission_priority_t priority;
	uint32_t work; /* estimated, in tokens, at least 1 */
	int64_t deadline_us; /* on the monotonic clock; 0: none */
	/* Private. */
	admission_state_t state;
	admission_flow_t *flow;
	uint32_t lane;
	bool is_long;
	int64_t arrived_us;
	int64_t started_us;
	int64_t expires_us;
	GList link;
} admission_ticket_t;

typedef struct admission_options {
	const clock_source_t *clock;
	uint32_t max_queue;
	int64_t max_wait_us;
	bool first_come; /* one FIFO queue, a baseline for measurements */
} admission_options_t;

admission_t *admission_new(const admission_options_t *options);
/* No ticket may be queued or running. */
void admission_free(admission_t *admission);

/* Sets the number of requests that may run concurrently. */
void admission_set_capacity(admission_t *admission, uint32_t capacity);
uint32_t admission_running(const admission_t *admission);
uint32_t admission_queued(const admission_t *admission);
/* Number of workspaces whose fair-queueing state is kept. */
uint32_t admission_flows(const admission_t *admission);

/*
 * Starts, queues or refuses a request. After ADMISSION_REFUSED *retry_after_ms
 * is the estimated wait.
 */
admission_state_t admission_offer(admission_t *admission,
				  admission_ticket_t *ticket,
				  const char *workspace, double weight,
				  int64_t *retry_after_ms);
/* Ends a running ticket or removes a queued one from the queue. */
void admission_release(admission_t *admission, admission_ticket_t *ticket);
/* Returns the next ticket that may run now, already counted as running, or
 * NULL. */
admission_ticket_t *admission_next(admission_t *admission);
/* Lets all queued tickets expire now. */
void admission_expire_all(admission_t *admission);
/* Returns an expired ticket, already removed from the queue, or NULL. */
admission_ticket_t *admission_expired(admission_t *admission);

#endif
