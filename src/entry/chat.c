#include "entry/chat.h"

#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "entry/chat_response.h"
#include "entry/chat_state.h"
#include "entry/chat_attempt.h"
#include "entry/claim_reply.h"
#include "entry/request_limit.h"

static void on_admitted(void *owner)
{
	chat_t *chat = owner;

	chat->attempts[0].hedge = false;
	chat_attempt_start(chat, &chat->attempts[0]);
}

static void on_queue_timeout(void *owner)
{
	if (!chat_state_refuse_cut_off(owner))
		chat_state_fail(owner, API_OVERLOADED,
				"the request has waited too long");
}

/* A process without any runner has probably just started and reads the VM list
 * soon, so its requests are queued instead of refused. */
static bool has_no_known_runner(const chat_t *chat)
{
	return route_runners(chat->pool->route)->len == 0 &&
	       runner_set_size(chat->entry->runners) > 0;
}

static void enter_queue(chat_t *chat)
{
	const document_workspace_t *workspace = chat->caller->workspace;
	int64_t retry_after_ms = 0;
	admission_state_t admitted;

	if (has_no_known_runner(chat)) {
		chat_state_fail(chat, API_NO_RUNNER,
				"no runner of the deployment is known");
		return;
	}
	chat_state_set(chat, REQUEST_QUEUED);
	if (chat_state_refuse_cut_off(chat))
		return;
	chat->waiter.owner = chat;
	chat->waiter.admitted = on_admitted;
	chat->waiter.expired = on_queue_timeout;
	chat->waiter.ticket.priority = ADMISSION_ONLINE;
	chat->waiter.ticket.work = chat->request.work;
	chat->waiter.ticket.deadline_us = chat->deadline_us;
	admitted = pool_offer(chat->pool, &chat->waiter, workspace->name,
			      workspace->weight, &retry_after_ms);
	if (admitted == ADMISSION_RUNNING)
		on_admitted(chat);
	else if (admitted == ADMISSION_REFUSED)
		chat_state_fail_with_retry(chat, API_OVERLOADED,
					   (int)((retry_after_ms + 999) / 1000),
					   "too many requests are waiting");
}

static void on_claim(claim_response_t response, claim_t *claim,
		     const claim_result_t *result, void *user_data)
{
	chat_t *chat = user_data;

	chat->claim = claim;
	if (claim)
		chat_state_set(chat, REQUEST_CLAIMED);
	if (chat_state_is_detached(chat)) {
		chat_state_close_claim(chat);
		chat_state_free(chat);
		return;
	}
	chat->unrecorded = response == CLAIM_UNAVAILABLE;
	if (claim && !(chat->unrecorded && chat->request.once)) {
		enter_queue(chat);
		return;
	}
	chat_state_close_claim(chat);
	if (response == CLAIM_DONE)
		chat_response_replay(chat, result);
	else
		claim_reply_refusal(chat->exchange, response);
	chat_state_free(chat);
}

static void start_claim(chat_t *chat)
{
	const claim_options_t options = {
		.partner = chat->caller->partner->name,
		.workspace = chat->caller->workspace->name,
		.key = chat->request.key,
		.request_digest = chat->request.digest,
		.idempotent = !chat->request.once,
	};

	chat_state_set(chat, REQUEST_CLAIMING);
	if (chat->request.stream)
		chat->recorded_events = g_string_new(NULL);
	claim_begin(chat->entry->claims, &options, on_claim, chat);
}

/* A request with an idempotency key that has been dispatched continues without
 * its caller, because a resend will ask for its result. */
static void on_caller_closed(http_exchange_t *exchange, void *user_data)
{
	chat_t *chat = user_data;

	if (chat->state == REQUEST_CLAIMING ||
	    (chat->claim && chat->state >= REQUEST_DISPATCHED) ||
	    chat->response) {
		chat_state_detach(chat);
		return;
	}
	chat->exchange = NULL;
	chat->entry->detached++;
	chat_state_close_claim(chat);
	chat_state_free(chat);
}

static void on_deadline(evutil_socket_t fd, short events, void *arg)
{
	chat_t *chat = arg;

	if (chat->state == REQUEST_CLAIMING) {
		chat_response_error(chat, API_DEADLINE_EXCEEDED, 0,
				    "the deadline has passed");
		chat_state_detach(chat); /* until on_claim() */
		return;
	}
	chat_state_fail(chat, API_DEADLINE_EXCEEDED, "the deadline has passed");
}

/* Returns false when a limit refused the request; the chat is then freed. */
static bool acquire_limits(chat_t *chat)
{
	request_limit_denial_t denial;

	if (request_limit_acquire(chat->entry->limiter, chat->caller,
				  chat->deployment, chat->request.work,
				  &chat->hold, &denial))
		return true;
	chat_state_fail_with_retry(chat, API_RATE_LIMITED, denial.retry_after_s,
				   denial.message);
	return false;
}

static void count_request(chat_t *chat)
{
	char *key = chat_state_budget_key(chat);

	retry_budget_deposit(chat->entry->retry_budget, key);
	g_free(key);
	hedge_deposit(chat->pool->hedge);
	++*chat->pool->requests;
}

static void start(chat_t *chat)
{
	entry_t *entry = chat->entry;
	int64_t wait_ms = chat->request.deadline_ms ?
				  chat->request.deadline_ms :
				  entry->options.request_timeout_ms;

	chat->pool = pool_find(entry->pools, chat->caller->partner->name,
			       chat->deployment->name, false);
	chat->number = ++entry->next_request;
	if (!acquire_limits(chat))
		return;
	chat->body = http_steal_body(chat->exchange, &chat->body_len);
	if (chat->request.stream)
		http_release_request(chat->exchange);
	chat->deadline_us = clock_now_us(entry->clock) + wait_ms * 1000;
	count_request(chat);
	http_on_closed(chat->exchange, on_caller_closed, chat);
	chat_state_timer_start(chat, &chat->deadline_timer, on_deadline,
			       wait_ms * 1000);
	if (chat->request.key)
		start_claim(chat);
	else
		enter_queue(chat);
}

void chat_handle(entry_t *entry, http_exchange_t *exchange,
		 const document_caller_t *caller)
{
	chat_t *chat = g_new0(chat_t, 1);
	api_error_id_t error;
	const char *message;
	bool valid;

	chat->entry = entry;
	chat->exchange = exchange;
	chat->document = document_ref(entry->document);
	chat->caller = caller;
	valid = chat_request_read(exchange, entry->request_memory,
				  &chat->request, &error, &message);
	if (valid) {
		chat->deployment = document_find_deployment(
			caller->partner, chat->request.model);
		error = API_MODEL_NOT_FOUND;
		message = "no such model";
	}
	if (chat->deployment) {
		start(chat);
		return;
	}
	chat_response_error(chat, error, 0, message);
	chat_state_free(chat);
}
