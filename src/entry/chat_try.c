#include "entry/chat_try.h"

#include <inttypes.h>
#include <stdio.h>

#include "base/log.h"
#include "entry/chat_answer.h"

#define MAX_EXCLUDED 64
/* Bound on tries that runners refused for the version. */
#define MAX_SENT 12
#define UPSTREAM_ID_BYTES 96

static void finish_try(chat_try_t *try, route_end_t end, int64_t retry_after_ms)
{
	try->call = NULL;
	pool_finish(try->chat->pool, &try->route, end, retry_after_ms);
}

static void cancel_try(chat_try_t *try)
{
	if (!try->call)
		return;
	engine_call_cancel(try->call);
	finish_try(try, ROUTE_END_NEUTRAL, 0);
}

void chat_try_cancel_all(chat_t *chat)
{
	for (int i = 0; i < CHAT_PARALLEL_TRIES; i++)
		cancel_try(&chat->tries[i]);
}

static void win(chat_try_t *try)
{
	chat_t *chat = try->chat;

	pool_answered(chat->pool, &try->route);
	if (chat->winner)
		return;
	chat->winner = try;
	chat_state_timer_free(&chat->hedge_timer);
	for (int i = 0; i < CHAT_PARALLEL_TRIES; i++)
		if (&chat->tries[i] != try)
			cancel_try(&chat->tries[i]);
	if (try->hedge)
		++*chat->pool->hedges_won;
}

static void on_first_token(engine_call_t *call, void *user_data)
{
	chat_try_t *try = user_data;
	chat_t *chat = try->chat;

	win(try);
	chat_state_set(chat, REQUEST_STREAMING);
	g_clear_pointer(&chat->body, g_free); /* no retry any more */
	if (!chat_state_is_detached(chat))
		chat_answer_start(chat);
}

static void on_events(engine_call_t *call, const char *events, size_t len,
		      void *user_data)
{
	chat_try_t *try = user_data;

	chat_answer_events(try->chat, events, len);
}

static route_end_t route_end_of(engine_fault_t fault)
{
	static const route_end_t ends[ENGINE_FAULT_COUNT] = {
		[ENGINE_FAULT_NONE] = ROUTE_END_ANSWERED,
		[ENGINE_FAULT_CONNECT] = ROUTE_END_REFUSED,
		[ENGINE_FAULT_VERSION] = ROUTE_END_NEUTRAL,
		[ENGINE_FAULT_BUSY] = ROUTE_END_REFUSED,
		[ENGINE_FAULT_REJECTED] = ROUTE_END_NEUTRAL,
		[ENGINE_FAULT_ERROR] = ROUTE_END_FAILED,
		[ENGINE_FAULT_TRUNCATED] = ROUTE_END_FAILED,
		[ENGINE_FAULT_MISMATCH] = ROUTE_END_FAILED,
		[ENGINE_FAULT_TIMEOUT] = ROUTE_END_NEUTRAL,
		[ENGINE_FAULT_STALLED] = ROUTE_END_FAILED,
	};

	return ends[fault];
}

static const struct {
	api_error_id_t error;
	const char *message;
} fault_errors[ENGINE_FAULT_COUNT] = {
	[ENGINE_FAULT_CONNECT] = { API_NO_RUNNER,
				   "no runner could be reached" },
	[ENGINE_FAULT_VERSION] = { API_NO_RUNNER,
				   "no runner serves the needed version" },
	[ENGINE_FAULT_BUSY] = { API_NO_RUNNER, "no runner takes requests" },
	[ENGINE_FAULT_REJECTED] = { API_BACKEND_REJECTED,
				    "the model rejected the request" },
	[ENGINE_FAULT_ERROR] = { API_BACKEND_FAILED,
				 "the runner answered with an error" },
	[ENGINE_FAULT_TRUNCATED] = { API_BACKEND_FAILED,
				     "the runner's answer was cut off" },
	[ENGINE_FAULT_MISMATCH] = { API_BACKEND_FAILED,
				    "the runner answered another request" },
	[ENGINE_FAULT_TIMEOUT] = { API_DEADLINE_EXCEEDED,
				   "the deadline has passed" },
	[ENGINE_FAULT_STALLED] = { API_BACKEND_FAILED,
				   "the runner stopped answering" },
};

static bool is_marked_not_run(const engine_result_t *result)
{
	return result->fault == ENGINE_FAULT_ERROR &&
	       result->outcome == ENGINE_REFUSED;
}

/* Marked errors have a bound of their own beside that of the other tries. */
static bool has_tries_left(const chat_t *chat)
{
	return chat->tried_count - chat->not_run_count < CHAT_MAX_TRIES &&
	       chat->not_run_count <= CHAT_MAX_NOT_RUN &&
	       chat->sent_count < MAX_SENT;
}

/* A certain refusal cost the runner nothing and needs no budget. */
static bool may_retry(const chat_t *chat, const engine_result_t *result)
{
	char *key;
	bool allowed;

	if (chat->state == REQUEST_STREAMING || !has_tries_left(chat) ||
	    result->fault == ENGINE_FAULT_REJECTED ||
	    result->fault == ENGINE_FAULT_TIMEOUT)
		return false;
	if (result->outcome != ENGINE_MAY_HAVE_RUN)
		return true;
	if (chat->request.once)
		return false;
	key = chat_state_budget_key(chat);
	allowed = retry_budget_take(chat->entry->retry_budget, key);
	g_free(key);
	return allowed;
}

static bool has_try_in_flight(const chat_t *chat)
{
	for (int i = 0; i < CHAT_PARALLEL_TRIES; i++)
		if (chat->tries[i].call)
			return true;
	return false;
}

static void on_try_failed(chat_try_t *try, const engine_result_t *result)
{
	chat_t *chat = try->chat;

	if (result->outcome == ENGINE_MAY_HAVE_RUN)
		chat->may_have_run = true;
	else if (is_marked_not_run(result))
		chat->not_run_count++;
	if (has_try_in_flight(chat))
		return;
	if (!chat->may_have_run)
		chat_state_set(chat, REQUEST_QUEUED);
	if (may_retry(chat, result)) {
		++*chat->pool->retries;
		if (is_marked_not_run(result))
			++*chat->pool->retries_not_run;
		try->hedge = false;
		chat_try_start(chat, try);
		return;
	}
	chat_state_fail(chat, fault_errors[result->fault].error,
			fault_errors[result->fault].message);
}

/*
 * While a deployment changes its version, a runner that refused the previous
 * one may serve the new one to the same request.
 */
static void forget_tried(chat_t *chat, const route_runner_t *runner)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < chat->tried_count; i++)
		if (chat->tried[i] != runner)
			chat->tried[kept++] = chat->tried[i];
	chat->tried_count = kept;
}

static void on_try_done(const engine_result_t *result, void *user_data)
{
	chat_try_t *try = user_data;
	chat_t *chat = try->chat;

	log_debug("chat_try_done", "request=%s runner=%s outcome=%s fault=%s",
		  chat->exchange ? http_id(chat->exchange) : "-",
		  try->route.runner->address,
		  engine_outcome_name(result->outcome),
		  engine_fault_name(result->fault));
	if (result->fault == ENGINE_FAULT_VERSION) {
		rollout_refused(chat->pool->rollout, try->route.runner->address,
				try->version);
		forget_tried(chat, try->route.runner);
	}
	if (result->outcome == ENGINE_WHOLE) {
		rollout_served(chat->pool->rollout, try->route.runner->address,
			       try->version);
		win(try);
	}
	finish_try(try, route_end_of(result->fault),
		   result->retry_after_s * 1000LL);
	if (result->outcome == ENGINE_WHOLE)
		chat_answer_complete(chat, result);
	else
		on_try_failed(try, result);
}

/* Runners that were tried or are known not to serve the version. */
static uint32_t collect_excluded(const chat_t *chat, const char *version,
				 const route_runner_t **excluded, uint32_t max)
{
	const GPtrArray *runners = route_subset(chat->pool->route);
	uint32_t count = 0;

	for (; count < chat->tried_count; count++)
		excluded[count] = chat->tried[count];
	for (guint i = 0; i < runners->len && count < max; i++) {
		const route_runner_t *runner = runners->pdata[i];

		if (rollout_lacks(chat->pool->rollout, runner->address,
				  version))
			excluded[count++] = runner;
	}
	return count;
}

static route_runner_t *choose_runner(chat_t *chat, const char *version,
				     bool hedge)
{
	const route_runner_t *excluded[MAX_EXCLUDED];
	route_request_t request = {
		.class_index = chat->request.class_index,
		.prefix_hash = chat->request.prefix_hash,
		.exclude = excluded,
		.exclude_count =
			collect_excluded(chat, version, excluded, MAX_EXCLUDED),
	};
	route_runner_t *runner = route_choose(chat->pool->route, &request);

	if (runner || hedge || chat->tried_count == 0)
		return runner;
	/* Better the same runner again than none. */
	request.exclude_count = 0;
	return route_choose(chat->pool->route, &request);
}

static void on_hedge(evutil_socket_t fd, short events, void *arg)
{
	chat_t *chat = arg;

	if (chat->winner || !chat->tries[0].call || chat->tries[1].call ||
	    !has_tries_left(chat) ||
	    admission_queued(chat->pool->admission) > 0 ||
	    !hedge_take(chat->pool->hedge))
		return;
	chat->tries[1].hedge = true;
	chat_try_start(chat, &chat->tries[1]);
}

static void schedule_hedge(chat_t *chat)
{
	int64_t delay_us =
		hedge_delay_us(chat->pool->hedge, chat->request.class_index);

	if (!chat->request.once && delay_us > 0)
		chat_state_timer_start(chat, &chat->hedge_timer, on_hedge,
				       delay_us);
}

void chat_try_start(chat_t *chat, chat_try_t *try)
{
	const char *version =
		rollout_version(chat->pool->rollout, chat->deployment->version,
				route_subset(chat->pool->route)->len);
	route_runner_t *runner = choose_runner(chat, version, try->hedge);
	int64_t left_us = chat->deadline_us - clock_now_us(chat->entry->clock);
	char id[UPSTREAM_ID_BYTES];
	engine_call_options_t options = {
		.request_id = id,
		.version = version,
		.work_key = chat->request.key,
		.body = chat->body,
		.body_len = chat->body_len,
		.stream = chat->request.stream,
		.timeout_ms = (int32_t)MAX(left_us / 1000, 1),
		.stall_ms = (int32_t)chat->entry->options.stall_ms,
		.once = chat->request.once,
		.first_token = on_first_token,
		.events = on_events,
		.done = on_try_done,
		.user_data = try,
	};

	if (!runner && try->hedge) {
		hedge_return(chat->pool->hedge);
		return;
	}
	if (!runner) {
		chat_state_fail(chat, API_NO_RUNNER,
				"no runner takes requests");
		return;
	}
	snprintf(id, sizeof(id), "%s.%" PRIu64 ".%u", chat->entry->instance,
		 chat->number, chat->sent_count++);
	options.address = runner->address;
	chat->tried[chat->tried_count++] = runner;
	try->chat = chat;
	try->version = version;
	chat_state_set(chat, REQUEST_DISPATCHED);
	pool_begin(chat->pool, &try->route, runner, chat->request.class_index);
	try->call = engine_call_start(chat->entry->engines, &options);
	if (try->hedge)
		++*chat->pool->hedges;
	else
		schedule_hedge(chat);
}
