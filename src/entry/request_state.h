#ifndef WASABILINK_ENTRY_REQUEST_STATE_H
#define WASABILINK_ENTRY_REQUEST_STATE_H

#include <stdbool.h>

#include "entry/api_error.h"

/*
 * request_state - the states of an online request and the statement about the
 * work that an error response may make in each of them (docs/design.md,
 * section 5).
 */
typedef enum request_state {
	REQUEST_RECEIVED,
	REQUEST_CLAIMING, /* claim_begin() is pending */
	REQUEST_CLAIMED, /* no byte sent; a failure closes the claim as not run */
	REQUEST_QUEUED,
	REQUEST_DISPATCHED, /* the first byte may have been sent */
	REQUEST_STREAMING,
	REQUEST_RECORDED,
	REQUEST_STATE_COUNT
} request_state_t;

const char *request_state_name(request_state_t state);
/* Returns whether the transition is permitted. DISPATCHED to QUEUED is taken
 * only when the attempts certainly did not run. */
bool request_state_allows(request_state_t from, request_state_t to);
/* Returns the statement of an error response in this state. */
work_state_t request_state_work(request_state_t state);

#endif
