#include "entry/chat.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "backend/engine_client.h"
#include "base/log.h"
#include "coord/limiter.h"
#include "entry/api_error.h"
#include "entry/chat_request.h"
#include "entry/claim.h"
#include "entry/claim_reply.h"
#include "entry/completion.h"
#include "entry/pool.h"
#include "entry/request_state.h"

#define STREAM_BUFFER_BYTES (256 * 1024)
#define MAX_TRIES 3
#define MAX_EXCLUDED 64
/* Bound on tries that runners refused for the version. */
#define MAX_SENT 12
/* The first try and its hedge. */
#define PARALLEL_TRIES 2
#define UPSTREAM_ID_BYTES 96

static const char done_event[] = "data: [DONE]\n\n";

typedef struct chat chat_t;

/* One call to an engine on behalf of a request. */
typedef struct chat_try {
	chat_t *chat;
	engine_call_t *call; /* NULL: not in use */
	route_call_t route;
	const char *version; /* that the runner was asked for */
	bool hedge;
} chat_try_t;

struct chat {
	entry_t *entry;
	http_exchange_t *exchange; /* NULL: answered, or the caller has gone */
	document_t *document; /* keeps caller and deployment alive */
	const document_caller_t *caller;
	const document_deployment_t *deployment;
	pool_t *pool;
	chat_request_t request;
	request_state_t state;
	claim_t *claim;
	limiter_hold_t hold;
	pool_waiter_t waiter;
	chat_try_t tries[PARALLEL_TRIES];
	const chat_try_t *winner; /* the first with a token */
	const route_runner_t *tried[MAX_TRIES + 1];
	uint32_t tried_count;
	uint32_t sent_count; /* tries with those refused for the version */
	char *body;
	size_t body_len;
	GString *record; /* events of a keyed stream */
	char *answer; /* whole answer that is being recorded */
	struct event *deadline_timer;
	struct event *hedge_timer;
	struct event *slow_timer; /* the caller takes no bytes */
	size_t slow_pending;
	int64_t deadline_us;
	uint64_t number;
	uint64_t tokens;
	bool may_have_run;
	bool paused;
	bool unrecorded; /* the ledger was not available at the start */
	bool stream_started;
};

static void start_try(chat_t *chat, chat_try_t *try);
static void fail(chat_t *chat, api_error_id_t error, const char *message);

static void set_state(chat_t *chat, request_state_t state)
{
	g_assert(request_state_allows(chat->state, state));
	chat->state = state;
}

static void timer_free(struct event **timer)
{
	if (*timer)
		event_free(*timer);
	*timer = NULL;
}

static void timer_start(chat_t *chat, struct event **timer,
			event_callback_fn callback, int64_t wait_us)
{
	struct timeval wait;

	wait_us = MAX(wait_us, 0);
	wait = (struct timeval){ wait_us / 1000000, wait_us % 1000000 };
	if (!*timer)
		*timer = evtimer_new(chat->entry->base, callback, chat);
	evtimer_add(*timer, &wait);
}

static bool is_detached(const chat_t *chat)
{
	return !chat->exchange;
}

/* Gives back the places in the queue and in the limits. */
static void release_places(chat_t *chat)
{
	int64_t used = chat->tokens ? (int64_t)chat->tokens : chat->hold.tokens;

	if (chat->may_have_run || chat->state >= REQUEST_DISPATCHED)
		limiter_release(&chat->hold, used);
	else
		limiter_release(&chat->hold, 0);
	if (chat->pool)
		pool_release(chat->pool, &chat->waiter);
}

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

static void cancel_tries(chat_t *chat)
{
	for (int i = 0; i < PARALLEL_TRIES; i++)
		cancel_try(&chat->tries[i]);
}

static void chat_free(chat_t *chat)
{
	if (chat->exchange)
		http_on_closed(chat->exchange, NULL, NULL);
	else
		chat->entry->detached--;
	timer_free(&chat->deadline_timer);
	timer_free(&chat->hedge_timer);
	timer_free(&chat->slow_timer);
	cancel_tries(chat);
	release_places(chat);
	chat_request_clear(&chat->request);
	if (chat->record)
		g_string_free(chat->record, TRUE);
	free(chat->answer);
	g_free(chat->body);
	document_unref(chat->document);
	g_free(chat);
}

/* The answer is complete; the rest of the work goes on without a caller. */
static void detach(chat_t *chat)
{
	if (is_detached(chat))
		return;
	http_on_closed(chat->exchange, NULL, NULL);
	chat->exchange = NULL;
	chat->entry->detached++;
	timer_free(&chat->slow_timer);
	if (chat->paused && chat->winner)
		engine_call_pause(chat->winner->call, false);
	chat->paused = false;
}

static void reply_error(chat_t *chat, api_error_id_t error, int retry_after_s,
			const char *message)
{
	work_state_t work = chat->may_have_run ?
				    WORK_MAY_HAVE_RUN :
				    request_state_work(chat->state);

	if (is_detached(chat))
		return;
	if (chat->stream_started) {
		char *body = api_error_body(error, work, message);
		char *event = g_strconcat("data: ", body, "\n\n", NULL);

		http_stream_write(chat->exchange, event, strlen(event));
		g_free(event);
		free(body);
		http_stream_abort(chat->exchange);
	} else {
		api_error_reply(chat->exchange, error, work, retry_after_s,
				message);
	}
}

/* Closes the claim by what is certain about the work. */
static void close_claim(chat_t *chat)
{
	claim_t *claim = chat->claim;

	chat->claim = NULL;
	if (!claim)
		return;
	if (chat->may_have_run || chat->state >= REQUEST_DISPATCHED)
		claim_lose(claim);
	else
		claim_abandon(claim);
}

static void fail_with_retry(chat_t *chat, api_error_id_t error,
			    int retry_after_s, const char *message)
{
	if (api_error_get(error)->status == 503)
		++*chat->pool->refused;
	else
		++*chat->pool->failed;
	log_debug("chat_failed", "request=%s state=%s error=%s work=%d",
		  chat->exchange ? http_id(chat->exchange) : "-",
		  request_state_name(chat->state), api_error_get(error)->code,
		  chat->may_have_run);
	close_claim(chat);
	reply_error(chat, error, retry_after_s, message);
	chat_free(chat);
}

static void fail(chat_t *chat, api_error_id_t error, const char *message)
{
	fail_with_retry(chat, error, 0, message);
}

static void end_stream(chat_t *chat)
{
	http_stream_write(chat->exchange, done_event, strlen(done_event));
	http_stream_end(chat->exchange);
}

static void mark_unrecorded(chat_t *chat)
{
	http_reply_header(chat->exchange, "X-Wasabilink-Recorded", "false");
}

/* A stream's headers have gone out; a comment line still can tell. */
static void comment_unrecorded(chat_t *chat)
{
	static const char comment[] = ": x-wasabilink-recorded: false\n\n";

	http_stream_write(chat->exchange, comment, strlen(comment));
}

static void start_stream(chat_t *chat)
{
	if (chat->unrecorded)
		mark_unrecorded(chat);
	http_stream_start(chat->exchange, 200, "text/event-stream");
	chat->stream_started = true;
}

/* Answers a resend, in the form that it asks for. */
static void replay(chat_t *chat, const claim_result_t *result)
{
	GString *events = NULL;

	if (is_detached(chat))
		return;
	if (chat->request.stream && result->status == 200 &&
	    !result->body_omitted)
		events = completion_to_events(result->body, result->body_len);
	if (!events) {
		claim_reply_result(chat->exchange, result);
		return;
	}
	http_stream_start(chat->exchange, 200, "text/event-stream");
	http_stream_write(chat->exchange, events->str, events->len);
	http_stream_end(chat->exchange);
	g_string_free(events, TRUE);
}

/* Answers carry the ids of their calls, which always differ. */
static bool is_same_answer(const chat_t *chat, const claim_result_t *result)
{
	json_t *recorded = json_loadb(result->body, result->body_len, 0, NULL);
	json_t *own = json_loads(chat->answer, 0, NULL);
	bool same = json_equal(json_object_get(recorded, "choices"),
			       json_object_get(own, "choices")) == 1;

	json_decref(recorded);
	json_decref(own);
	return same;
}

static void on_recorded(bool recorded, const claim_result_t *result,
			void *user_data)
{
	chat_t *chat = user_data;

	if (recorded)
		set_state(chat, REQUEST_RECORDED);
	if (is_detached(chat)) {
		chat_free(chat);
		return;
	}
	if (result && !chat->stream_started) {
		replay(chat, result);
	} else if (result && !is_same_answer(chat, result)) {
		/* Another claimer's answer counts; this one has been seen. */
		reply_error(chat, API_RESULT_SUPERSEDED, 0,
			    "another answer to this request was recorded "
			    "first; a resend gets it");
	} else if (chat->stream_started) {
		if (!recorded && !chat->unrecorded)
			comment_unrecorded(chat);
		end_stream(chat);
	} else {
		if (!recorded)
			mark_unrecorded(chat);
		http_reply(chat->exchange, 200, "application/json",
			   chat->answer, strlen(chat->answer));
	}
	chat_free(chat);
}

/* Takes over the answer. */
static void record_answer(chat_t *chat, char *answer)
{
	claim_result_t result = { .status = 200,
				  .content_type = "application/json",
				  .body = answer,
				  .body_len = strlen(answer) };
	claim_t *claim = chat->claim;

	chat->claim = NULL;
	chat->answer = answer;
	timer_free(&chat->deadline_timer);
	release_places(chat);
	claim_finish(claim, &result, on_recorded, chat);
}

static void complete(chat_t *chat, const engine_result_t *result)
{
	char *answer;

	chat->tokens = chat->request.stream ?
			       result->events :
			       (uint64_t)completion_total_tokens(
				       result->body, result->body_len);
	if (chat->claim) {
		answer = chat->request.stream ?
				 completion_from_events(chat->record->str,
							chat->record->len) :
				 strndup(result->body, result->body_len);
		if (answer)
			record_answer(chat, answer);
		else
			fail(chat, API_BACKEND_FAILED,
			     "the runner's answer is malformed");
		return;
	}
	if (chat->request.stream)
		end_stream(chat);
	else
		http_reply(chat->exchange, 200, "application/json",
			   result->body, result->body_len);
	chat_free(chat);
}

static void win(chat_try_t *try)
{
	chat_t *chat = try->chat;

	pool_answered(chat->pool, &try->route);
	if (chat->winner)
		return;
	chat->winner = try;
	timer_free(&chat->hedge_timer);
	for (int i = 0; i < PARALLEL_TRIES; i++)
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
	set_state(chat, REQUEST_STREAMING);
	if (!is_detached(chat))
		start_stream(chat);
}

static void on_slow_caller(evutil_socket_t fd, short events, void *arg)
{
	chat_t *chat = arg;
	size_t pending = http_stream_pending(chat->exchange);

	if (pending < chat->slow_pending) {
		chat->slow_pending = pending;
		timer_start(chat, &chat->slow_timer, on_slow_caller,
			    chat->entry->options.slow_caller_ms * 1000);
		return;
	}
	log_info("slow_caller", "request=%s pending=%zu",
		 http_id(chat->exchange), pending);
	http_stream_cut(chat->exchange);
	if (chat->claim) {
		detach(chat);
		return;
	}
	chat_free(chat);
}

static void on_drained(http_exchange_t *exchange, void *user_data)
{
	chat_t *chat = user_data;

	timer_free(&chat->slow_timer);
	chat->paused = false;
	if (chat->winner)
		engine_call_pause(chat->winner->call, false);
}

static void apply_backpressure(chat_t *chat)
{
	size_t pending = http_stream_pending(chat->exchange);

	if (chat->paused || pending <= STREAM_BUFFER_BYTES)
		return;
	chat->paused = true;
	chat->slow_pending = pending;
	engine_call_pause(chat->winner->call, true);
	http_stream_on_drained(chat->exchange, on_drained, chat);
	timer_start(chat, &chat->slow_timer, on_slow_caller,
		    chat->entry->options.slow_caller_ms * 1000);
}

static void on_events(engine_call_t *call, const char *events, size_t len,
		      void *user_data)
{
	chat_try_t *try = user_data;
	chat_t *chat = try->chat;

	if (chat->claim)
		g_string_append_len(chat->record, events, (gssize)len);
	if (is_detached(chat))
		return;
	http_stream_write(chat->exchange, events, len);
	apply_backpressure(chat);
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

static char *budget_key(const chat_t *chat)
{
	return g_strconcat(chat->caller->partner->name, "/", chat->caller->name,
			   "/", chat->deployment->name, NULL);
}

/* A certain refusal cost the runner nothing and needs no budget. */
static bool may_retry(const chat_t *chat, const engine_result_t *result)
{
	char *key;
	bool allowed;

	if (chat->state == REQUEST_STREAMING ||
	    chat->tried_count >= MAX_TRIES || chat->sent_count >= MAX_SENT ||
	    result->fault == ENGINE_FAULT_REJECTED ||
	    result->fault == ENGINE_FAULT_TIMEOUT)
		return false;
	if (result->outcome != ENGINE_MAY_HAVE_RUN)
		return true;
	if (chat->request.once)
		return false;
	key = budget_key(chat);
	allowed = retry_budget_take(chat->entry->retry_budget, key);
	g_free(key);
	return allowed;
}

static bool has_try_in_flight(const chat_t *chat)
{
	for (int i = 0; i < PARALLEL_TRIES; i++)
		if (chat->tries[i].call)
			return true;
	return false;
}

static void on_try_failed(chat_try_t *try, const engine_result_t *result)
{
	chat_t *chat = try->chat;

	if (result->outcome == ENGINE_MAY_HAVE_RUN)
		chat->may_have_run = true;
	if (has_try_in_flight(chat))
		return;
	if (!chat->may_have_run)
		set_state(chat, REQUEST_QUEUED);
	if (may_retry(chat, result)) {
		++*chat->pool->retries;
		try->hedge = false;
		start_try(chat, try);
		return;
	}
	fail(chat, fault_errors[result->fault].error,
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
		complete(chat, result);
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
	    chat->tried_count >= MAX_TRIES ||
	    admission_queued(chat->pool->admission) > 0 ||
	    !hedge_take(chat->pool->hedge))
		return;
	chat->tries[1].hedge = true;
	start_try(chat, &chat->tries[1]);
}

static void schedule_hedge(chat_t *chat)
{
	int64_t delay_us =
		hedge_delay_us(chat->pool->hedge, chat->request.class_index);

	if (!chat->request.once && delay_us > 0)
		timer_start(chat, &chat->hedge_timer, on_hedge, delay_us);
}

static void start_try(chat_t *chat, chat_try_t *try)
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
		fail(chat, API_NO_RUNNER, "no runner takes requests");
		return;
	}
	snprintf(id, sizeof(id), "%s.%" PRIu64 ".%u", chat->entry->instance,
		 chat->number, chat->sent_count++);
	options.address = runner->address;
	chat->tried[chat->tried_count++] = runner;
	try->chat = chat;
	try->version = version;
	set_state(chat, REQUEST_DISPATCHED);
	pool_begin(chat->pool, &try->route, runner, chat->request.class_index);
	try->call = engine_call_start(chat->entry->engines, &options);
	if (try->hedge)
		++*chat->pool->hedges;
	else
		schedule_hedge(chat);
}

static void on_admitted(void *owner)
{
	chat_t *chat = owner;

	chat->tries[0].hedge = false;
	start_try(chat, &chat->tries[0]);
}

static void on_given_up(void *owner)
{
	fail(owner, API_OVERLOADED, "the request has waited too long");
}

static void enter_queue(chat_t *chat)
{
	const document_workspace_t *workspace = chat->caller->workspace;
	int64_t retry_after_ms = 0;
	admission_state_t admitted;

	set_state(chat, REQUEST_QUEUED);
	chat->waiter.owner = chat;
	chat->waiter.admitted = on_admitted;
	chat->waiter.given_up = on_given_up;
	chat->waiter.ticket.priority = ADMISSION_ONLINE;
	chat->waiter.ticket.work = chat->request.work;
	chat->waiter.ticket.deadline_us = chat->deadline_us;
	admitted = pool_offer(chat->pool, &chat->waiter, workspace->name,
			      workspace->weight, &retry_after_ms);
	if (admitted == ADMISSION_RUNNING)
		on_admitted(chat);
	else if (admitted == ADMISSION_REFUSED)
		fail_with_retry(chat, API_OVERLOADED,
				(int)((retry_after_ms + 999) / 1000),
				"too many requests are waiting");
}

static void on_claim(claim_answer_t answer, claim_t *claim,
		     const claim_result_t *result, void *user_data)
{
	chat_t *chat = user_data;

	chat->claim = claim;
	if (claim)
		set_state(chat, REQUEST_CLAIMED);
	if (is_detached(chat)) {
		close_claim(chat);
		chat_free(chat);
		return;
	}
	chat->unrecorded = answer == CLAIM_UNAVAILABLE;
	if (claim && !(chat->unrecorded && chat->request.once)) {
		enter_queue(chat);
		return;
	}
	close_claim(chat);
	if (answer == CLAIM_DONE)
		replay(chat, result);
	else
		claim_reply_refusal(chat->exchange, answer);
	chat_free(chat);
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

	set_state(chat, REQUEST_CLAIMING);
	if (chat->request.stream)
		chat->record = g_string_new(NULL);
	claim_begin(chat->entry->claims, &options, on_claim, chat);
}

/* Keyed work goes on, as a resend will ask for its result. */
static void on_caller_closed(http_exchange_t *exchange, void *user_data)
{
	chat_t *chat = user_data;

	if (chat->state == REQUEST_CLAIMING ||
	    (chat->claim && chat->state >= REQUEST_DISPATCHED) ||
	    chat->answer) {
		detach(chat);
		return;
	}
	chat->exchange = NULL;
	chat->entry->detached++;
	close_claim(chat);
	chat_free(chat);
}

static void on_deadline(evutil_socket_t fd, short events, void *arg)
{
	chat_t *chat = arg;

	if (chat->state == REQUEST_CLAIMING) {
		reply_error(chat, API_DEADLINE_EXCEEDED, 0,
			    "the deadline has passed");
		detach(chat); /* until the claim's answer */
		return;
	}
	fail(chat, API_DEADLINE_EXCEEDED, "the deadline has passed");
}

/* Returns false when the request was refused. */
static bool acquire_limits(chat_t *chat)
{
	const document_caller_t *caller = chat->caller;
	char *keys[LIMITER_MAX_SCOPES] = {
		g_strconcat("p/", caller->partner->name, NULL),
		g_strconcat("c/", caller->partner->name, "/", caller->name,
			    NULL),
		g_strconcat("d/", caller->partner->name, "/",
			    chat->deployment->name, NULL),
	};
	const document_limits_t *limits[LIMITER_MAX_SCOPES] = {
		&caller->partner->limits, &caller->limits,
		&chat->deployment->limits
	};
	static const char *const messages[LIMITER_MAX_SCOPES] = {
		"the partner's limit is reached",
		"the caller's limit is reached",
		"the deployment's limit is reached"
	};
	limiter_rule_t rules[LIMITER_MAX_SCOPES];
	int64_t retry_after_ms = 0;
	int denied;

	for (int i = 0; i < LIMITER_MAX_SCOPES; i++)
		rules[i] = (limiter_rule_t){ keys[i], limits[i]->max_concurrent,
					     limits[i]->tokens_per_minute };
	denied = limiter_acquire(chat->entry->limiter, rules,
				 LIMITER_MAX_SCOPES, chat->request.work,
				 &chat->hold, &retry_after_ms);
	for (int i = 0; i < LIMITER_MAX_SCOPES; i++)
		g_free(keys[i]);
	if (denied >= 0)
		fail_with_retry(chat, API_RATE_LIMITED,
				(int)((retry_after_ms + 999) / 1000),
				messages[denied]);
	return denied < 0;
}

static void count_request(chat_t *chat)
{
	char *key = budget_key(chat);

	retry_budget_deposit(chat->entry->retry_budget, key);
	g_free(key);
	hedge_request(chat->pool->hedge);
	++*chat->pool->requests;
}

static void start(chat_t *chat)
{
	entry_t *entry = chat->entry;
	int64_t wait_ms = chat->request.deadline_ms ?
				  chat->request.deadline_ms :
				  entry->options.request_timeout_ms;
	size_t len;
	const char *body = http_body(chat->exchange, &len);

	chat->pool = pool_find(entry->pools, chat->caller->partner->name,
			       chat->deployment->name, false);
	chat->number = ++entry->next_request;
	if (!acquire_limits(chat))
		return;
	chat->body = g_memdup2(body, len);
	chat->body_len = len;
	chat->deadline_us = clock_now_us(entry->clock) + wait_ms * 1000;
	count_request(chat);
	http_on_closed(chat->exchange, on_caller_closed, chat);
	timer_start(chat, &chat->deadline_timer, on_deadline, wait_ms * 1000);
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
	valid = chat_request_read(exchange, &chat->request, &error, &message);
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
	reply_error(chat, error, 0, message);
	chat_free(chat);
}
