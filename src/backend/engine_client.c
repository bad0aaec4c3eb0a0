#include "backend/engine_client.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "backend/sse.h"

/* Covers one repetition of a lost SYN, which TCP sends after 1 s. */
#define CONNECT_TIMEOUT_MS 1200

struct engine_client {
	struct event_base *base;
	http_client_t *http;
	const clock_source_t *clock;
};

struct engine_call {
	engine_client_t *client;
	http_call_t *http_call;
	struct event *stall_timer;
	struct event *failed_event; /* of a call that failed by its head */
	int64_t last_progress_ms;
	int32_t stall_ms;
	char *request_id;
	sse_t sse;
	engine_first_token_t first_token;
	engine_events_t events;
	engine_done_t done;
	void *user_data;
	uint64_t events_seen;
	int status;
	bool stream;
	bool paused;
	bool first_token_seen;
	bool mismatch;
	bool not_run; /* the engine marked its error as not run */
	bool cancelled;
	bool in_callback;
};

static const char *const outcome_names[ENGINE_OUTCOME_COUNT] = {
	[ENGINE_NOT_SENT] = "not_sent",
	[ENGINE_REFUSED] = "refused",
	[ENGINE_MAY_HAVE_RUN] = "may_have_run",
	[ENGINE_COMPLETE] = "whole",
};

static const char *const fault_names[ENGINE_FAULT_COUNT] = {
	[ENGINE_FAULT_NONE] = "none",
	[ENGINE_FAULT_CONNECT] = "connect",
	[ENGINE_FAULT_VERSION] = "version",
	[ENGINE_FAULT_BUSY] = "busy",
	[ENGINE_FAULT_REJECTED] = "rejected",
	[ENGINE_FAULT_ERROR] = "error",
	[ENGINE_FAULT_TRUNCATED] = "truncated",
	[ENGINE_FAULT_MISMATCH] = "mismatch",
	[ENGINE_FAULT_TIMEOUT] = "timeout",
	[ENGINE_FAULT_STALLED] = "stalled",
};

const char *engine_outcome_name(engine_outcome_t outcome)
{
	return outcome_names[outcome];
}

const char *engine_fault_name(engine_fault_t fault)
{
	return fault_names[fault];
}

engine_client_t *engine_client_new(struct event_base *base, http_client_t *http,
				   const clock_source_t *clock)
{
	engine_client_t *client = g_new0(engine_client_t, 1);

	client->base = base;
	client->http = http;
	client->clock = clock;
	return client;
}

void engine_client_free(engine_client_t *client)
{
	g_free(client);
}

static void call_free(engine_call_t *call)
{
	if (call->stall_timer)
		event_free(call->stall_timer);
	if (call->failed_event)
		event_free(call->failed_event);
	sse_clear(&call->sse);
	g_free(call->request_id);
	g_free(call);
}

static void finish(engine_call_t *call, engine_result_t *result)
{
	result->status = call->status;
	result->events = call->events_seen;
	call->done(result, call->user_data);
	call_free(call);
}

/* Ends a call that is still open with a fault that the client detected. */
static void fail_call(engine_call_t *call, engine_fault_t fault)
{
	engine_result_t result = { .outcome = ENGINE_MAY_HAVE_RUN,
				   .fault = fault };

	http_call_cancel(call->http_call);
	finish(call, &result);
}

static bool echo_matches(const engine_call_t *call, const http_call_t *http)
{
	const char *echo = http_response_header(http, "X-Request-Id");

	/*
	 * Error responses may omit the header, but must not carry the id of
	 * another call.
	 */
	if (!echo)
		return call->status != 200;
	return strcmp(echo, call->request_id) == 0;
}

/*
 * Accepts X-Not-Run only on a server error that echoes the id of this call. The
 * echo shows that the engine itself reports on this call, and not an
 * intermediary in front of it.
 */
static bool is_marked_not_run(const engine_call_t *call,
			      const http_call_t *http, int status)
{
	const char *echo = http_response_header(http, "X-Request-Id");
	const char *mark = http_response_header(http, "X-Not-Run");

	return status >= 500 && echo && mark &&
	       strcmp(echo, call->request_id) == 0 && strcmp(mark, "1") == 0;
}

/*
 * Returns the fault for a status by which an engine states that it did not run
 * the call; ENGINE_FAULT_NONE for any other status.
 */
static engine_fault_t refusal_fault(int status)
{
	if (status == 409)
		return ENGINE_FAULT_VERSION;
	if (status == 429 || status == 503)
		return ENGINE_FAULT_BUSY;
	return ENGINE_FAULT_NONE;
}

/* Whether the call has failed whatever the body is. */
static bool is_failed_by_head(const engine_call_t *call)
{
	return call->mismatch || call->status != 200;
}

/* Classifies a response for which is_failed_by_head() holds. */
static void classify_head(const engine_call_t *call, const http_call_t *http,
			  engine_result_t *result)
{
	const char *retry_after = http_response_header(http, "Retry-After");
	engine_fault_t refusal = refusal_fault(call->status);

	result->outcome = ENGINE_MAY_HAVE_RUN;
	if (retry_after)
		result->retry_after_s =
			(int)g_ascii_strtoll(retry_after, NULL, 10);
	if (call->mismatch) {
		result->fault = ENGINE_FAULT_MISMATCH;
	} else if (refusal != ENGINE_FAULT_NONE) {
		result->outcome = ENGINE_REFUSED;
		result->fault = refusal;
	} else if (call->status >= 400 && call->status < 500) {
		result->fault = ENGINE_FAULT_REJECTED;
	} else {
		if (call->not_run)
			result->outcome = ENGINE_REFUSED;
		result->fault = ENGINE_FAULT_ERROR;
	}
}

static void on_failed_by_head(evutil_socket_t fd, short events, void *arg)
{
	engine_call_t *call = arg;
	engine_result_t result = { 0 };

	classify_head(call, call->http_call, &result);
	http_call_cancel(call->http_call);
	finish(call, &result);
}

static void on_headers(http_call_t *http, int status, void *user_data)
{
	engine_call_t *call = user_data;

	call->status = status;
	call->last_progress_ms = clock_now_ms(call->client->clock);
	call->mismatch = !echo_matches(call, http);
	call->not_run = is_marked_not_run(call, http, status);
	/* A status below 200 precedes the response. */
	if (status < 200 || !is_failed_by_head(call))
		return;
	/* A body that came with the head is read first, which keeps the
	 * connection. */
	call->failed_event =
		event_new(call->client->base, -1, 0, on_failed_by_head, call);
	event_active(call->failed_event, EV_TIMEOUT, 0);
}

static void on_events(const char *events, size_t len, void *user_data)
{
	engine_call_t *call = user_data;

	if (call->cancelled)
		return;
	if (!call->first_token_seen) {
		call->first_token_seen = true;
		if (call->first_token)
			call->first_token(call, call->user_data);
	}
	if (!call->cancelled && call->events)
		call->events(call, events, len, call->user_data);
}

static void on_data(http_call_t *http, const char *data, size_t len,
		    void *user_data)
{
	engine_call_t *call = user_data;

	call->last_progress_ms = clock_now_ms(call->client->clock);
	if (call->mismatch) {
		fail_call(call, ENGINE_FAULT_MISMATCH);
		return;
	}
	if (call->status != 200)
		return;
	call->in_callback = true;
	sse_feed(&call->sse, data, len, on_events, call);
	call->in_callback = false;
	if (call->cancelled) {
		call_free(call);
		return;
	}
	call->events_seen = call->sse.events;
	if (call->sse.too_long)
		fail_call(call, ENGINE_FAULT_TRUNCATED);
}

/* Whether a completion came whole. The end of a body that ends with its
 * connection may be that of the engine. */
static bool is_whole_completion(const http_response_t *response)
{
	json_t *completion;

	if (http_response_header(response->call, "Content-Length") ||
	    http_response_header(response->call, "Transfer-Encoding"))
		return response->body_len > 0;
	completion = json_loadb(response->body, response->body_len, 0, NULL);
	json_decref(completion);
	return completion != NULL;
}

static void classify_response(engine_call_t *call,
			      const http_response_t *response,
			      engine_result_t *result)
{
	bool complete = call->stream ? sse_is_complete(&call->sse) :
				       is_whole_completion(response);

	result->outcome = ENGINE_MAY_HAVE_RUN;
	if (is_failed_by_head(call)) {
		classify_head(call, response->call, result);
	} else if (call->sse.error_seen) {
		result->fault = ENGINE_FAULT_ERROR;
	} else if (!complete) {
		result->fault = ENGINE_FAULT_TRUNCATED;
	} else {
		result->outcome = ENGINE_COMPLETE;
		result->fault = ENGINE_FAULT_NONE;
	}
}

static void on_done(const http_response_t *response, void *user_data)
{
	engine_call_t *call = user_data;
	engine_result_t result = { .outcome = ENGINE_MAY_HAVE_RUN,
				   .body = response->body,
				   .body_len = response->body_len };

	call->http_call = NULL;
	switch (response->outcome) {
	case HTTP_COMPLETE:
		call->status = response->status;
		classify_response(call, response, &result);
		break;
	case HTTP_NOT_SENT:
		result.outcome = ENGINE_NOT_SENT;
		result.fault = ENGINE_FAULT_CONNECT;
		break;
	case HTTP_TIMED_OUT:
		result.fault = ENGINE_FAULT_TIMEOUT;
		break;
	case HTTP_CONNECTION_LOST:
		result.fault = ENGINE_FAULT_TRUNCATED;
		break;
	case HTTP_TOO_MUCH_MEMORY:
		result.fault = ENGINE_FAULT_MISMATCH;
		break;
	}
	finish(call, &result);
}

static void arm_stall_timer(engine_call_t *call, int64_t wait_ms)
{
	struct timeval wait = { wait_ms / 1000, wait_ms % 1000 * 1000 };

	evtimer_add(call->stall_timer, &wait);
}

/*
 * Re-arms the timer when it fires: moving it for every received byte costs
 * more.
 */
static void on_stall_check(evutil_socket_t fd, short events, void *arg)
{
	engine_call_t *call = arg;
	int64_t now_ms = clock_now_ms(call->client->clock);
	int64_t idle_ms;

	if (call->paused)
		call->last_progress_ms = now_ms;
	idle_ms = now_ms - call->last_progress_ms;
	if (idle_ms >= call->stall_ms)
		fail_call(call, ENGINE_FAULT_STALLED);
	else
		arm_stall_timer(call, call->stall_ms - idle_ms);
}

/* Inserts the resume_from member after the opening brace of the JSON object. */
static char *body_with_resume_from(const engine_call_options_t *options,
				   size_t *len)
{
	const char *brace = memchr(options->body, '{', options->body_len);
	size_t prefix_len = brace ? brace + 1 - options->body : 0;
	char *body = g_strdup_printf("{\"resume_from\":%" PRId64 ",%.*s",
				     options->resume_from,
				     (int)(options->body_len - prefix_len),
				     options->body + prefix_len);

	*len = strlen(body);
	return body;
}

static void start_http(engine_call_t *call,
		       const engine_call_options_t *options)
{
	const char *headers[11] = { "Content-Type", "application/json",
				    "X-Request-Id", call->request_id };
	char deadline[16];
	int count = 4;
	char *resume_body = NULL;
	http_request_options_t http = {
		.method = "POST",
		.address = options->address,
		.target = "/v1/chat/completions",
		.headers = headers,
		.body = options->body,
		.body_len = options->body_len,
		.timeout_ms = options->timeout_ms,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.fresh_connection = options->once,
		.on_headers = on_headers,
		.on_done = on_done,
		.user_data = call,
	};

	if (options->version && options->version[0]) {
		headers[count++] = "X-Model-Version";
		headers[count++] = options->version;
	}
	if (options->work_key) {
		headers[count++] = "Idempotency-Key";
		headers[count++] = options->work_key;
	}
	if (options->timeout_ms > 0) {
		snprintf(deadline, sizeof(deadline), "%" PRId32,
			 options->timeout_ms);
		headers[count++] = "X-Request-Deadline-Ms";
		headers[count++] = deadline;
	}
	if (options->resume_from > 0) {
		resume_body = body_with_resume_from(options, &http.body_len);
		http.body = resume_body;
	}
	if (options->stream)
		http.on_data = on_data;
	call->http_call = http_call_start(call->client->http, &http);
	g_free(resume_body);
}

engine_call_t *engine_call_start(engine_client_t *client,
				 const engine_call_options_t *options)
{
	engine_call_t *call = g_new0(engine_call_t, 1);

	call->client = client;
	call->request_id = g_strdup(options->request_id);
	call->stream = options->stream;
	call->first_token = options->first_token;
	call->events = options->events;
	call->done = options->done;
	call->user_data = options->user_data;
	call->last_progress_ms = clock_now_ms(client->clock);
	sse_init(&call->sse);
	start_http(call, options);
	if (options->stream && options->stall_ms > 0) {
		call->stall_ms = options->stall_ms;
		call->stall_timer =
			evtimer_new(client->base, on_stall_check, call);
		arm_stall_timer(call, options->stall_ms);
	}
	return call;
}

void engine_call_cancel(engine_call_t *call)
{
	if (!call || call->cancelled)
		return;
	call->cancelled = true;
	http_call_cancel(call->http_call);
	if (!call->in_callback)
		call_free(call);
}

void engine_call_pause(engine_call_t *call, bool pause)
{
	if (!call || call->cancelled || call->paused == pause)
		return;
	call->paused = pause;
	call->last_progress_ms = clock_now_ms(call->client->clock);
	http_call_pause(call->http_call, pause);
}
