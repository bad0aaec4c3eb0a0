#ifndef WASABILINK_ENTRY_REQUEST_STATE_H
#define WASABILINK_ENTRY_REQUEST_STATE_H

#include <stdbool.h>

#include "entry/api_error.h"

/*
 * request_state - the states of an online request and what an error answer in
 * each of them may say about the work (docs/design.md, section 5).
 */
typedef enum request_state {
	REQUEST_RECEIVED,
	REQUEST_CLAIMING, /* the claim's answer is pending */
	REQUEST_CLAIMED, /* no byte sent; the claim is closed as not run */
	REQUEST_QUEUED,
	REQUEST_DISPATCHED, /* the first byte may have gone out */
	REQUEST_STREAMING,
	REQUEST_RECORDED,
	REQUEST_STATE_COUNT
} request_state_t;

const char *request_state_name(request_state_t state);
/* Whether a request may go from one state to the other. The way back from
 * DISPATCHED to QUEUED is taken only after a certain refusal. */
bool request_state_allows(request_state_t from, request_state_t to);
/* What an error answer in this state says. */
work_state_t request_state_work(request_state_t state);

#endif
