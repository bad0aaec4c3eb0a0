#include "entry/request_state.h"

#define BIT(state) (1U << (state))

static const struct {
	const char *name;
	work_state_t work;
	unsigned int next; /* bit set of permitted next states */
} states[REQUEST_STATE_COUNT] = {
	[REQUEST_RECEIVED] = { "received", WORK_NOT_RUN,
			       BIT(REQUEST_CLAIMING) | BIT(REQUEST_QUEUED) },
	[REQUEST_CLAIMING] = { "claiming", WORK_NOT_RUN,
			       BIT(REQUEST_CLAIMED) | BIT(REQUEST_RECORDED) },
	[REQUEST_CLAIMED] = { "claimed", WORK_NOT_RUN,
			      BIT(REQUEST_QUEUED) | BIT(REQUEST_DISPATCHED) },
	[REQUEST_QUEUED] = { "queued", WORK_NOT_RUN, BIT(REQUEST_DISPATCHED) },
	[REQUEST_DISPATCHED] = { "dispatched", WORK_MAY_HAVE_RUN,
				 BIT(REQUEST_STREAMING) | BIT(REQUEST_QUEUED) |
					 BIT(REQUEST_RECORDED) },
	[REQUEST_STREAMING] = { "streaming", WORK_MAY_HAVE_RUN,
				BIT(REQUEST_RECORDED) },
	[REQUEST_RECORDED] = { "recorded", WORK_RAN, 0 },
};

const char *request_state_name(request_state_t state)
{
	return states[state].name;
}

bool request_state_allows(request_state_t from, request_state_t to)
{
	return from == to || (states[from].next & BIT(to)) != 0;
}

work_state_t request_state_work(request_state_t state)
{
	return states[state].work;
}
