#include "entry/chat_attempt.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "entry/chat_response.h"

#define MAX_EXCLUDED_RUNNERS 64
/* Bounds all attempts, including those that runners refused because they do
 * not serve the model version. */
#define MAX_SENT_ATTEMPTS 12
#define UPSTREAM_ID_BYTES 96
/* Time after which a request without an answer is looked at again when no second
 * attempt was permitted. */
#define HEDGE_RECHECK_US 500000

static void finish_attempt(chat_attempt_t *attempt,
			   route_outcome_t route_outcome,
			   int64_t retry_after_ms)
{
	attempt->call = NULL;
	pool_finish(attempt->chat->pool, &attempt->route, route_outcome,
		    retry_after_ms);
}

static void cancel_attempt(chat_attempt_t *attempt)
{
	if (!attempt->call)
		return;
	engine_call_cancel(attempt->call);
	finish_attempt(attempt, ROUTE_OUTCOME_NEUTRAL, 0);
}

void chat_attempt_cancel_all(chat_t *chat)
{
	for (int i = 0; i < CHAT_PARALLEL_ATTEMPTS; i++)
		cancel_attempt(&chat->attempts[i]);
}

static void set_winner(chat_attempt_t *attempt)
{
	chat_t *chat = attempt->chat;

	part_guard_output(chat->pool->part_guard,
			  pool_runner_key(attempt->route.runner),
			  attempt->started_us);
	part_guard_seen(chat->pool->part_guard,
			pool_runner_key(attempt->route.runner),
			attempt->started_us);
	part_guard_begun(chat->pool->part_guard, &chat->request.parts);

	pool_answered(chat->pool, &attempt->route);
	if (chat->winner)
		return;
	chat->winner = attempt;
	chat_state_timer_free(&chat->hedge_timer);
	for (int i = 0; i < CHAT_PARALLEL_ATTEMPTS; i++)
		if (&chat->attempts[i] != attempt)
			cancel_attempt(&chat->attempts[i]);
	if (attempt->hedge)
		++*chat->pool->hedges_won;
}

static void on_first_token(engine_call_t *call, void *user_data)
{
	chat_attempt_t *attempt = user_data;
	chat_t *chat = attempt->chat;

	set_winner(attempt);
	chat_state_set(chat, REQUEST_STREAMING);
	g_clear_pointer(&chat->body, g_free); /* no further retry */
	if (!chat_state_is_detached(chat))
		chat_response_start_stream(chat);
}

static void on_events(engine_call_t *call, const char *events, size_t len,
		      void *user_data)
{
	chat_attempt_t *attempt = user_data;

	pool_heard(&attempt->route);
	chat_response_relay_events(attempt->chat, events, len);
}

static route_outcome_t route_outcome_of(engine_fault_t fault)
{
	static const route_outcome_t route_outcomes[ENGINE_FAULT_COUNT] = {
		[ENGINE_FAULT_NONE] = ROUTE_OUTCOME_ANSWERED,
		[ENGINE_FAULT_CONNECT] = ROUTE_OUTCOME_REFUSED,
		[ENGINE_FAULT_VERSION] = ROUTE_OUTCOME_NEUTRAL,
		[ENGINE_FAULT_BUSY] = ROUTE_OUTCOME_REFUSED,
		[ENGINE_FAULT_REJECTED] = ROUTE_OUTCOME_NEUTRAL,
		[ENGINE_FAULT_ERROR] = ROUTE_OUTCOME_FAILED,
		[ENGINE_FAULT_TRUNCATED] = ROUTE_OUTCOME_FAILED,
		[ENGINE_FAULT_MISMATCH] = ROUTE_OUTCOME_FAILED,
		[ENGINE_FAULT_TIMEOUT] = ROUTE_OUTCOME_NEUTRAL,
		[ENGINE_FAULT_STALLED] = ROUTE_OUTCOME_FAILED,
	};

	return route_outcomes[fault];
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

/* Errors that the engine marked as not run are bounded separately from the
 * other attempts. */
static bool has_attempts_remaining(const chat_t *chat)
{
	return chat->attempted_count - chat->not_run_count <
		       CHAT_MAX_ATTEMPTS &&
	       chat->not_run_count <= CHAT_MAX_NOT_RUN_RETRIES &&
	       chat->sent_count < MAX_SENT_ATTEMPTS;
}

/* An attempt that certainly did not run cost the runner nothing, so its retry
 * is not charged to the retry budget. */
static bool may_retry(const chat_t *chat, const engine_result_t *result)
{
	char *key;
	bool allowed;

	if (chat->state == REQUEST_STREAMING || !has_attempts_remaining(chat) ||
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

static bool has_attempt_in_flight(const chat_t *chat)
{
	for (int i = 0; i < CHAT_PARALLEL_ATTEMPTS; i++)
		if (chat->attempts[i].call)
			return true;
	return false;
}

static void on_attempt_failed(chat_attempt_t *attempt,
			      const engine_result_t *result)
{
	chat_t *chat = attempt->chat;

	if (result->outcome == ENGINE_MAY_HAVE_RUN)
		chat->may_have_run = true;
	else if (is_marked_not_run(result))
		chat->not_run_count++;
	if (has_attempt_in_flight(chat))
		return;
	if (!chat->may_have_run)
		chat_state_set(chat, REQUEST_QUEUED);
	if (may_retry(chat, result)) {
		++*chat->pool->retries;
		if (is_marked_not_run(result))
			++*chat->pool->retries_not_run;
		attempt->hedge = false;
		chat_attempt_start(chat, attempt);
		return;
	}
	chat_state_fail(chat, fault_errors[result->fault].error,
			fault_errors[result->fault].message);
}

/*
 * Makes the runner selectable again. During a rollout, a runner that refused
 * the previous version may serve the new version to the same request.
 */
static void remove_attempted_runner(chat_t *chat, const route_runner_t *runner)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < chat->attempted_count; i++)
		if (chat->attempted_runners[i] != runner)
			chat->attempted_runners[kept++] =
				chat->attempted_runners[i];
	chat->attempted_count = kept;
}

/* Whether the engine has sent a response. */
static bool is_response(engine_fault_t fault)
{
	return fault != ENGINE_FAULT_CONNECT && fault != ENGINE_FAULT_TIMEOUT &&
	       fault != ENGINE_FAULT_STALLED && fault != ENGINE_FAULT_TRUNCATED;
}

/* Reports an engine that ended the connection. */
static void note_loss(const chat_attempt_t *attempt,
		      const engine_result_t *result)
{
	const chat_t *chat = attempt->chat;
	part_loss_t loss = chat->state == REQUEST_STREAMING ?
				   PART_LOSS_ANSWERING :
				   PART_LOSS_RUNNING;
	const part_attempt_t sent = {
		.sent_us = attempt->started_us,
		.answered = loss == PART_LOSS_ANSWERING,
	};

	if (result->fault == ENGINE_FAULT_TRUNCATED)
		part_guard_lost(chat->pool->part_guard,
				pool_runner_key(attempt->route.runner),
				&chat->request.parts, loss, &sent);
}

static void on_attempt_done(const engine_result_t *result, void *user_data)
{
	chat_attempt_t *attempt = user_data;
	chat_t *chat = attempt->chat;

	log_debug("chat_attempt_done",
		  "request=%s runner=%s outcome=%s fault=%s",
		  chat->exchange ? http_id(chat->exchange) : "-",
		  attempt->route.runner->address,
		  engine_outcome_name(result->outcome),
		  engine_fault_name(result->fault));
	if (result->fault == ENGINE_FAULT_VERSION) {
		rollout_refused(chat->pool->rollout,
				attempt->route.runner->address,
				attempt->version);
		remove_attempted_runner(chat, attempt->route.runner);
	}
	if (result->outcome == ENGINE_COMPLETE) {
		rollout_served(chat->pool->rollout,
			       attempt->route.runner->address,
			       attempt->version);
		set_winner(attempt);
		part_guard_completed(chat->pool->part_guard,
				     &chat->request.parts);
	}
	if (is_response(result->fault))
		pool_heard(&attempt->route);
	note_loss(attempt, result);
	finish_attempt(attempt, route_outcome_of(result->fault),
		       result->retry_after_s * 1000LL);
	if (result->outcome == ENGINE_COMPLETE)
		chat_response_complete(chat, result);
	else
		on_attempt_failed(attempt, result);
}

/* Collects the runners that had an attempt of this request or that refused
 * the version recently. */
static uint32_t collect_excluded(const chat_t *chat, const char *version,
				 const route_runner_t **excluded, uint32_t max)
{
	const GPtrArray *runners = route_subset(chat->pool->route);
	uint32_t count = 0;

	for (; count < chat->attempted_count; count++)
		excluded[count] = chat->attempted_runners[count];
	for (guint i = 0; i < runners->len && count < max; i++) {
		const route_runner_t *runner = runners->pdata[i];

		if (rollout_recently_refused(chat->pool->rollout,
					     runner->address, version))
			excluded[count++] = runner;
	}
	return count;
}

static route_runner_t *select_runner(chat_t *chat, const char *version,
				     bool hedge)
{
	const route_runner_t *excluded[MAX_EXCLUDED_RUNNERS];
	route_request_t request = {
		.class_index = chat->request.class_index,
		.prefix_hash = chat->request.prefix_hash,
		.exclude = excluded,
		.exclude_count = collect_excluded(chat, version, excluded,
						  MAX_EXCLUDED_RUNNERS),
	};
	route_runner_t *runner = route_select(chat->pool->route, &request);

	if (runner || hedge || chat->attempted_count == 0)
		return runner;
	/* A second attempt at the same runner is better than none. */
	request.exclude_count = 0;
	return route_select(chat->pool->route, &request);
}

/* Whether the budgets permit a second attempt. One beside a silent runner is a
 * retry: it does not compete for slots with the first. */
static bool take_hedge(chat_t *chat)
{
	char *key;
	bool allowed;

	if (!route_is_silent(chat->attempts[0].route.runner))
		return admission_queued(chat->pool->admission) == 0 &&
		       hedge_take(chat->pool->hedge);
	key = chat_state_budget_key(chat);
	allowed = retry_budget_take(chat->entry->retry_budget, key);
	g_free(key);
	return allowed;
}

static void on_hedge(evutil_socket_t fd, short events, void *arg);

static void recheck_hedge(chat_t *chat)
{
	chat_state_timer_start(chat, &chat->hedge_timer, on_hedge,
			       HEDGE_RECHECK_US);
}

/* No runner is left for the second attempt: puts back what take_hedge() took. */
static void give_up_hedge(chat_t *chat)
{
	char *key;

	if (route_is_silent(chat->attempts[0].route.runner)) {
		key = chat_state_budget_key(chat);
		retry_budget_return(chat->entry->retry_budget, key);
		g_free(key);
	} else {
		hedge_return(chat->pool->hedge);
	}
	recheck_hedge(chat);
}

static void on_hedge(evutil_socket_t fd, short events, void *arg)
{
	chat_t *chat = arg;

	if (chat->winner || !chat->attempts[0].call || chat->attempts[1].call ||
	    !has_attempts_remaining(chat))
		return;
	if (!take_hedge(chat)) {
		recheck_hedge(chat);
		return;
	}
	chat->attempts[1].hedge = true;
	chat_attempt_start(chat, &chat->attempts[1]);
}

static void schedule_hedge(chat_t *chat)
{
	int64_t delay_us =
		hedge_delay_us(chat->pool->hedge, chat->request.class_index);

	if (!chat->request.once && delay_us > 0)
		chat_state_timer_start(chat, &chat->hedge_timer, on_hedge,
				       delay_us);
}

/* Refuses a request that crashes engines. Returns false for others. */
static bool refuse_held(chat_t *chat)
{
	int32_t hold_ms = part_guard_hold_ms(chat->pool->part_guard,
					     &chat->request.parts);
	char parts[PROMPT_PARTS_TEXT_MAX];

	if (hold_ms == 0)
		return false;
	prompt_parts_print(&chat->request.parts, parts, sizeof(parts));
	log_info("request_held", "request=%s deployment=%s hold_ms=%d parts=%s",
		 chat->exchange ? http_id(chat->exchange) : "-",
		 chat->deployment->name, hold_ms, parts);
	chat_state_fail_with_retry(chat, API_PROMPT_HELD,
				   (hold_ms + 999) / 1000,
				   "requests with this prompt crash the model");
	return true;
}

void chat_attempt_start(chat_t *chat, chat_attempt_t *attempt)
{
	const char *version =
		rollout_version(chat->pool->rollout, chat->deployment->version,
				route_subset(chat->pool->route)->len);
	route_runner_t *runner = select_runner(chat, version, attempt->hedge);
	int64_t remaining_us =
		chat->deadline_us - clock_now_us(chat->entry->clock);
	char id[UPSTREAM_ID_BYTES];
	engine_call_options_t options = {
		.request_id = id,
		.version = version,
		.work_key = chat->request.key,
		.body = chat->body,
		.body_len = chat->body_len,
		.stream = chat->request.stream,
		.timeout_ms = (int32_t)MAX(remaining_us / 1000, 1),
		.stall_ms = (int32_t)chat->entry->options.stall_ms,
		.once = chat->request.once,
		.first_token = on_first_token,
		.events = on_events,
		.done = on_attempt_done,
		.user_data = attempt,
	};

	if (!attempt->hedge &&
	    (refuse_held(chat) || chat_state_refuse_cut_off(chat)))
		return;
	if (attempt->hedge && part_guard_hold_ms(chat->pool->part_guard,
						 &chat->request.parts) > 0)
		runner = NULL;
	if (!runner && attempt->hedge) {
		give_up_hedge(chat);
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
	attempt->started_us = part_guard_now_us(chat->pool->part_guard);
	part_guard_sent(chat->pool->part_guard, &chat->request.parts);
	chat->attempted_runners[chat->attempted_count++] = runner;
	attempt->chat = chat;
	attempt->version = version;
	chat_state_set(chat, REQUEST_DISPATCHED);
	pool_begin(chat->pool, &attempt->route, runner,
		   chat->request.class_index);
	attempt->call = engine_call_start(chat->entry->engines, &options);
	if (attempt->hedge)
		++*chat->pool->hedges;
	else
		schedule_hedge(chat);
}
