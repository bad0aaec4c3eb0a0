#include "entry/chat_state.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/log.h"
#include "entry/chat_response.h"
#include "entry/chat_attempt.h"

void chat_state_set(chat_t *chat, request_state_t state)
{
	g_assert(request_state_allows(chat->state, state));
	chat->state = state;
}

void chat_state_timer_free(struct event **timer)
{
	if (*timer)
		event_free(*timer);
	*timer = NULL;
}

void chat_state_timer_start(chat_t *chat, struct event **timer,
			    event_callback_fn callback, int64_t wait_us)
{
	struct timeval wait;

	wait_us = MAX(wait_us, 0);
	wait = (struct timeval){ wait_us / 1000000, wait_us % 1000000 };
	if (!*timer)
		*timer = evtimer_new(chat->entry->base, callback, chat);
	evtimer_add(*timer, &wait);
}

bool chat_state_is_detached(const chat_t *chat)
{
	return !chat->exchange;
}

void chat_state_release(chat_t *chat)
{
	int64_t used = chat->tokens ? (int64_t)chat->tokens : chat->hold.tokens;

	if (chat->may_have_run || chat->state >= REQUEST_DISPATCHED)
		limiter_release(&chat->hold, used);
	else
		limiter_release(&chat->hold, 0);
	if (chat->pool)
		pool_release(chat->pool, &chat->waiter);
}

void chat_state_free(chat_t *chat)
{
	if (chat->exchange)
		http_on_closed(chat->exchange, NULL, NULL);
	else
		chat->entry->detached--;
	chat_state_timer_free(&chat->deadline_timer);
	chat_state_timer_free(&chat->hedge_timer);
	chat_state_timer_free(&chat->slow_timer);
	chat_attempt_cancel_all(chat);
	chat_state_release(chat);
	chat_request_clear(&chat->request);
	if (chat->recorded_events)
		g_string_free(chat->recorded_events, TRUE);
	free(chat->response);
	g_free(chat->body);
	document_unref(chat->document);
	g_free(chat);
}

void chat_state_detach(chat_t *chat)
{
	if (chat_state_is_detached(chat))
		return;
	http_on_closed(chat->exchange, NULL, NULL);
	chat->exchange = NULL;
	chat->entry->detached++;
	chat_state_timer_free(&chat->slow_timer);
	if (chat->paused && chat->winner)
		engine_call_pause(chat->winner->call, false);
	chat->paused = false;
}

void chat_state_close_claim(chat_t *chat)
{
	claim_t *claim = chat->claim;

	chat->claim = NULL;
	if (!claim)
		return;
	if (chat->may_have_run || chat->state >= REQUEST_DISPATCHED)
		claim_mark_unknown(claim);
	else
		claim_abandon(claim);
}

void chat_state_fail_with_retry(chat_t *chat, api_error_id_t error,
				int retry_after_s, const char *message)
{
	int status = api_error_get(error)->status;

	if (status == 503 || status == 429)
		++*chat->pool->refused;
	else
		++*chat->pool->failed;
	log_debug("chat_failed", "request=%s state=%s error=%s work=%d",
		  chat->exchange ? http_id(chat->exchange) : "-",
		  request_state_name(chat->state), api_error_get(error)->code,
		  chat->may_have_run);
	chat_state_close_claim(chat);
	chat_response_error(chat, error, retry_after_s, message);
	chat_state_free(chat);
}

void chat_state_fail(chat_t *chat, api_error_id_t error, const char *message)
{
	chat_state_fail_with_retry(chat, error, 0, message);
}

bool chat_state_refuse_cut_off(chat_t *chat)
{
	int64_t recheck_ms;

	if (!pool_is_cut_off(chat->pool))
		return false;
	recheck_ms = pool_recheck_ms(chat->pool);
	log_info(
		"request_cut_off",
		"request=%s deployment=%s state=%s work=%d recheck_ms=%" PRId64,
		chat->exchange ? http_id(chat->exchange) : "-",
		chat->deployment->name, request_state_name(chat->state),
		chat->may_have_run, recheck_ms);
	++*chat->pool->refused_cut_off;
	chat_state_fail_with_retry(chat, API_NO_RUNNER,
				   (int)((recheck_ms + 999) / 1000),
				   "no runner of the deployment is reached");
	return true;
}

char *chat_state_budget_key(const chat_t *chat)
{
	return g_strconcat(chat->caller->partner->name, "/", chat->caller->name,
			   "/", chat->deployment->name, NULL);
}
