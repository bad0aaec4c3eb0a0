#include "entry/service_call.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "entry/api_error.h"
#include "entry/chat_request.h"
#include "entry/claim.h"
#include "entry/claim_reply.h"
#include "entry/pool.h"
#include "entry/request_limit.h"
#include "entry/request_state.h"

#define MAX_ATTEMPTS 3
#define REQUEST_ID_BYTES 96
/* Services have one class of requests. */
#define SERVICE_CLASS 0

typedef struct service_call {
	entry_t *entry;
	http_exchange_t *exchange; /* NULL: completed or closed by the caller */
	document_t *document; /* owns caller and route */
	const document_caller_t *caller;
	pool_t *pool;
	limiter_hold_t hold;
	char *target; /* path and query at the service */
	char *method;
	char *content_type;
	char *body;
	size_t body_len;
	char *key;
	bool once;
	int64_t deadline_ms;
	int64_t deadline_us;
	request_state_t state;
	claim_t *claim;
	http_call_t *call;
	route_attempt_t route;
	uint64_t number;
	const route_runner_t *attempted_runners[MAX_ATTEMPTS];
	uint32_t attempted_count;
	char request_id[REQUEST_ID_BYTES];
	/* The response while it is being recorded. */
	int status;
	char *response_type;
	char *response;
	size_t response_len;
	bool unrecorded;
	bool may_have_run;
} service_call_t;

static void start_attempt(service_call_t *call);

static void set_state(service_call_t *call, request_state_t state)
{
	g_assert(request_state_allows(call->state, state));
	call->state = state;
}

static void call_free(service_call_t *call)
{
	if (call->exchange)
		http_on_closed(call->exchange, NULL, NULL);
	else
		call->entry->detached--;
	if (call->call) {
		http_call_cancel(call->call);
		pool_finish(call->pool, &call->route, ROUTE_OUTCOME_NEUTRAL, 0);
	}
	limiter_release(&call->hold, 0);
	document_unref(call->document);
	g_free(call->target);
	g_free(call->method);
	g_free(call->content_type);
	g_free(call->body);
	g_free(call->key);
	g_free(call->response_type);
	g_free(call->response);
	g_free(call);
}

static void fail(service_call_t *call, api_error_id_t error,
		 const char *message)
{
	work_state_t work = call->may_have_run ?
				    WORK_MAY_HAVE_RUN :
				    request_state_work(call->state);

	if (call->claim && work == WORK_NOT_RUN)
		claim_abandon(call->claim);
	else if (call->claim)
		claim_mark_unknown(call->claim);
	if (call->pool)
		++*call->pool->failed;
	if (call->exchange)
		api_error_reply(call->exchange, error, work, 0, message);
	call_free(call);
}

static void on_recorded(bool recorded, const claim_result_t *result,
			void *user_data)
{
	service_call_t *call = user_data;

	if (recorded)
		set_state(call, REQUEST_RECORDED);
	if (call->exchange && result) {
		claim_reply_result(call->exchange, result);
	} else if (call->exchange) {
		if (!recorded)
			http_reply_header(call->exchange,
					  "X-Wasabilink-Recorded", "false");
		http_reply(call->exchange, call->status, call->response_type,
			   call->response, call->response_len);
	}
	call_free(call);
}

static void record(service_call_t *call, const http_response_t *response,
		   const char *content_type)
{
	claim_t *claim = call->claim;
	claim_result_t result;

	call->status = response->status;
	call->response_type = g_strdup(content_type);
	call->response = g_memdup2(response->body, response->body_len);
	call->response_len = response->body_len;
	call->claim = NULL;
	result = (claim_result_t){ .status = call->status,
				   .content_type = call->response_type,
				   .body = call->response,
				   .body_len = call->response_len };
	claim_finish(claim, &result, on_recorded, call);
}

static bool may_retry(service_call_t *call, http_outcome_t outcome)
{
	char *key;
	bool allowed;

	if (call->attempted_count >= MAX_ATTEMPTS || outcome == HTTP_TIMED_OUT)
		return false;
	if (outcome == HTTP_NOT_SENT)
		return true;
	if (call->once)
		return false;
	key = g_strconcat(call->caller->partner->name, "/", call->caller->name,
			  "/s/", call->pool->name, NULL);
	allowed = retry_budget_take(call->entry->retry_budget, key);
	g_free(key);
	return allowed;
}

static void on_failed(service_call_t *call, http_outcome_t outcome)
{
	if (outcome != HTTP_NOT_SENT)
		call->may_have_run = true;
	else if (!call->may_have_run)
		set_state(call, REQUEST_QUEUED);
	if (may_retry(call, outcome)) {
		++*call->pool->retries;
		start_attempt(call);
		return;
	}
	if (outcome == HTTP_TIMED_OUT)
		fail(call, API_DEADLINE_EXCEEDED, "the deadline has passed");
	else if (outcome == HTTP_NOT_SENT)
		fail(call, API_NO_RUNNER, "the service cannot be reached");
	else
		fail(call, API_BACKEND_FAILED,
		     "the service did not give a whole answer");
}

static bool echo_matches(const service_call_t *call,
			 const http_response_t *response)
{
	const char *echo = http_response_header(response->call, "X-Request-Id");

	return !echo || strcmp(echo, call->request_id) == 0;
}

static void on_done(const http_response_t *response, void *user_data)
{
	service_call_t *call = user_data;
	bool complete = response->outcome == HTTP_COMPLETE &&
			response->status < 500 && echo_matches(call, response);
	const char *content_type = NULL;
	route_outcome_t route_outcome = ROUTE_OUTCOME_FAILED;

	if (complete)
		route_outcome = ROUTE_OUTCOME_ANSWERED;
	else if (response->outcome == HTTP_NOT_SENT || response->status == 503)
		route_outcome = ROUTE_OUTCOME_REFUSED;
	else if (response->outcome == HTTP_TIMED_OUT)
		route_outcome = ROUTE_OUTCOME_NEUTRAL;
	call->call = NULL;
	if (complete)
		pool_answered(call->pool, &call->route);
	pool_finish(call->pool, &call->route, route_outcome, 0);
	if (!complete) {
		/* An error status is a complete response, but it is not
		 * recorded. */
		on_failed(call, response->outcome == HTTP_COMPLETE ?
					HTTP_CONNECTION_LOST :
					response->outcome);
		return;
	}
	content_type = http_response_header(response->call, "Content-Type");
	if (call->claim) {
		record(call, response, content_type);
		return;
	}
	http_reply(call->exchange, response->status, content_type,
		   response->body, response->body_len);
	call_free(call);
}

static void start_http(service_call_t *call, const route_runner_t *runner)
{
	int64_t remaining_ms =
		(call->deadline_us - clock_now_us(call->entry->clock)) / 1000;
	char deadline[24];
	const char *headers[9] = { "X-Request-Id", call->request_id,
				   "X-Request-Deadline-Ms", deadline };
	int count = 4;
	http_request_options_t options = {
		.method = call->method,
		.address = runner->address,
		.target = call->target,
		.headers = headers,
		.body = call->body,
		.body_len = call->body_len,
		.timeout_ms = (int32_t)MAX(remaining_ms, 1),
		.fresh_connection = call->once,
		.on_done = on_done,
		.user_data = call,
	};

	snprintf(deadline, sizeof(deadline), "%" PRId64, MAX(remaining_ms, 1));
	if (call->content_type) {
		headers[count++] = "Content-Type";
		headers[count++] = call->content_type;
	}
	if (call->key) {
		headers[count++] = "Idempotency-Key";
		headers[count++] = call->key;
	}
	call->call = http_call_start(call->entry->http, &options);
}

static void start_attempt(service_call_t *call)
{
	route_request_t request = { .class_index = SERVICE_CLASS,
				    .exclude = call->attempted_runners,
				    .exclude_count = call->attempted_count };
	route_runner_t *runner = route_select(call->pool->route, &request);

	if (!runner) {
		request.exclude_count = 0;
		runner = route_select(call->pool->route, &request);
	}
	if (!runner) {
		fail(call, API_NO_RUNNER, "no VM of the service takes calls");
		return;
	}
	snprintf(call->request_id, sizeof(call->request_id),
		 "%s.%" PRIu64 ".%u", call->entry->instance, call->number,
		 call->attempted_count);
	call->attempted_runners[call->attempted_count++] = runner;
	set_state(call, REQUEST_DISPATCHED);
	pool_begin(call->pool, &call->route, runner, SERVICE_CLASS);
	start_http(call, runner);
}

static void on_claim(claim_response_t response, claim_t *claim,
		     const claim_result_t *result, void *user_data)
{
	service_call_t *call = user_data;
	bool refused = !claim || (response == CLAIM_UNAVAILABLE && call->once);

	call->claim = claim;
	if (claim)
		set_state(call, REQUEST_CLAIMED);
	if (call->exchange && !refused) {
		call->unrecorded = response == CLAIM_UNAVAILABLE;
		start_attempt(call);
		return;
	}
	if (claim)
		claim_abandon(claim);
	if (call->exchange && response == CLAIM_DONE)
		claim_reply_result(call->exchange, result);
	else if (call->exchange)
		claim_reply_refusal(call->exchange, response);
	call_free(call);
}

/* A key identifies a call with this method, target and body. */
static char *compute_digest(const service_call_t *call)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	char *digest;

	g_checksum_update(checksum, (const guchar *)call->method,
			  (gssize)strlen(call->method) + 1);
	g_checksum_update(checksum, (const guchar *)call->target,
			  (gssize)strlen(call->target) + 1);
	g_checksum_update(checksum, (const guchar *)call->body,
			  (gssize)call->body_len);
	digest = g_strdup(g_checksum_get_string(checksum));
	g_checksum_free(checksum);
	return digest;
}

static void start_claim(service_call_t *call)
{
	char *digest = compute_digest(call);
	char *key = g_strconcat("services/", call->pool->name, "/", call->key,
				NULL);
	const claim_options_t options = {
		.partner = call->caller->partner->name,
		.workspace = call->caller->workspace->name,
		.key = key,
		.request_digest = digest,
		.idempotent = !call->once,
	};

	set_state(call, REQUEST_CLAIMING);
	claim_begin(call->entry->claims, &options, on_claim, call);
	g_free(key);
	g_free(digest);
}

/* A call with a key continues without its caller, because a resend will ask
 * for its result. */
static void on_caller_closed(http_exchange_t *exchange, void *user_data)
{
	service_call_t *call = user_data;

	call->exchange = NULL;
	call->entry->detached++;
	if (!call->key)
		call_free(call);
}

/* Returns false when a limit refused the call; the call is then freed. */
static bool acquire_limits(service_call_t *call)
{
	request_limit_denial_t denial;

	if (request_limit_acquire(call->entry->limiter, call->caller, NULL, 0,
				  &call->hold, &denial))
		return true;
	++*call->pool->refused;
	api_error_reply(call->exchange, API_RATE_LIMITED, WORK_NOT_RUN,
			denial.retry_after_s, denial.message);
	call_free(call);
	return false;
}

static void start(service_call_t *call, const char *query)
{
	entry_t *entry = call->entry;
	int64_t wait_ms = call->deadline_ms ? call->deadline_ms :
					      entry->options.request_timeout_ms;
	const char *body = http_body(call->exchange, &call->body_len);
	const char *type = http_header(call->exchange, "Content-Type");
	char *budget_key;

	if (!acquire_limits(call))
		return;
	budget_key =
		g_strconcat(call->caller->partner->name, "/",
			    call->caller->name, "/s/", call->pool->name, NULL);
	if (query) {
		char *path = call->target;

		call->target = g_strconcat(path, "?", query, NULL);
		g_free(path);
	}
	call->method = g_strdup(http_method(call->exchange));
	call->content_type = g_strdup(type);
	call->body = g_memdup2(body, call->body_len);
	call->deadline_us = clock_now_us(entry->clock) + wait_ms * 1000;
	call->number = ++entry->next_request;
	retry_budget_deposit(entry->retry_budget, budget_key);
	g_free(budget_key);
	++*call->pool->requests;
	http_on_closed(call->exchange, on_caller_closed, call);
	if (call->key) {
		start_claim(call);
		return;
	}
	set_state(call, REQUEST_QUEUED);
	start_attempt(call);
}

/* Splits /services/<name>/<path>. *rest is the path with its leading slash, as
 * routes have it. */
static const document_route_t *find_route(const document_caller_t *caller,
					  const char *path, char **name,
					  const char **rest)
{
	const char *start = path + strlen(SERVICE_CALL_PREFIX);
	const char *slash = strchr(start, '/');
	const document_service_t *service;

	if (!slash)
		return NULL;
	*name = g_strndup(start, slash - start);
	*rest = slash;
	service = document_find_service(caller->partner, *name);
	return service ? document_find_route(service, slash) : NULL;
}

void service_call_handle(entry_t *entry, http_exchange_t *exchange,
			 const document_caller_t *caller)
{
	service_call_t *call = g_new0(service_call_t, 1);
	const document_route_t *route;
	char *name = NULL;
	const char *rest;
	const char *message = "no such service path";
	api_error_id_t error = API_NOT_FOUND;
	bool valid;

	call->entry = entry;
	call->exchange = exchange;
	call->document = document_ref(entry->document);
	call->caller = caller;
	route = find_route(caller, http_path(exchange), &name, &rest);
	call->once = route && !route->repeatable;
	valid = route &&
		chat_request_read_headers(exchange, &call->key, &call->once,
					  &call->deadline_ms, &error, &message);
	if (valid && strcmp(http_method(exchange), HTTP_METHOD_OTHER) == 0) {
		valid = false;
		error = API_METHOD_NOT_ALLOWED;
		message = "method not allowed";
	}
	if (valid) {
		call->target = g_strdup(rest);
		call->pool = pool_find(entry->pools, caller->partner->name,
				       name, true);
		start(call, http_raw_query(exchange));
	} else {
		fail(call, error, message);
	}
	g_free(name);
}
