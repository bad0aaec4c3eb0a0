#include "entry/dispatch_state.h"

int64_t dispatch_now_ms(const dispatch_t *dispatch)
{
	return clock_now_ms(dispatch->entry->clock);
}

const char *dispatch_own_address(const dispatch_t *dispatch)
{
	return member_self(dispatch->entry->members)->address;
}

void dispatch_schedule_tick(dispatch_t *dispatch)
{
	event_active(dispatch->immediate_tick, EV_TIMEOUT, 0);
}

chunk_call_t *chunk_call_new(dispatch_t *dispatch, const char *job,
			     uint32_t first)
{
	chunk_call_t *call = g_new0(chunk_call_t, 1);

	call->dispatch = dispatch;
	call->job = g_strdup(job);
	call->first = first;
	call->sent_ms = dispatch_now_ms(dispatch);
	return call;
}

void chunk_call_free(chunk_call_t *call)
{
	g_free(call->job);
	g_free(call->key);
	g_free(call->partner);
	g_free(call->deployment);
	g_free(call->coordinator);
	g_free(call);
}

const char *dispatch_node_of(const entry_t *entry, const runner_t *runner)
{
	const member_t *node =
		member_owner(entry->members, runner->domain, runner->address);

	if (!node)
		node = member_owner(entry->members, NULL, runner->address);
	return node ? node->address : NULL;
}
