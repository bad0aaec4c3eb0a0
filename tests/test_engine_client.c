#include "backend/engine_client.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http_server.h"
#include "unit.h"

/* How the engine in this process responds to a call. */
typedef struct script {
	int status;
	const char *echo; /* NULL: the id of the call; "": no header */
	const char *events;
	bool truncate; /* close without the final chunk */
	bool not_run; /* mark the error as not run */
	bool keep_open; /* send the events, then leave the stream open */
	bool endless; /* an error whose body does not end */
} script_t;

typedef struct fixture {
	struct event_base *base;
	http_client_t *http;
	http_server_t *server;
	engine_client_t *client;
	const script_t *script;
	char address[32];
	GString *received;
	engine_result_t result;
	int first_tokens;
	int done;
	int closed;
} fixture_t;

static const char without_marker[] =
	"data: {\"choices\":[{\"delta\":{\"content\":\"a\"},"
	"\"finish_reason\":null}]}\n\n"
	"data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";
static const char complete[] =
	"data: {\"choices\":[{\"delta\":{\"content\":\"a\"},"
	"\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";

static void on_peer_closed(http_exchange_t *exchange, void *user_data)
{
	((fixture_t *)user_data)->closed++;
}

static void on_engine_request(http_exchange_t *exchange, void *user_data)
{
	fixture_t *f = user_data;
	const script_t *script = f->script;
	const char *id = script->echo ? script->echo :
					http_header(exchange, "X-Request-Id");

	if (id[0])
		http_reply_header(exchange, "X-Request-Id", id);
	if (script->not_run)
		http_reply_header(exchange, "X-Not-Run", "1");
	if (script->endless) {
		http_on_closed(exchange, on_peer_closed, f);
		http_stream_start(exchange, script->status, NULL);
		http_stream_write(exchange, "no", 2);
		return;
	}
	if (script->status != 200) {
		http_reply(exchange, script->status, "application/json", "{}",
			   2);
		return;
	}
	http_on_closed(exchange, on_peer_closed, f);
	http_stream_start(exchange, 200, "text/event-stream");
	if (script->events)
		http_stream_write(exchange, script->events,
				  strlen(script->events));
	if (script->truncate)
		http_stream_abort(exchange);
	else if (!script->keep_open)
		http_stream_end(exchange);
}

static void on_first_token(engine_call_t *call, void *user_data)
{
	((fixture_t *)user_data)->first_tokens++;
}

static void on_events(engine_call_t *call, const char *events, size_t len,
		      void *user_data)
{
	g_string_append_len(((fixture_t *)user_data)->received, events,
			    (gssize)len);
}

static void on_done(const engine_result_t *result, void *user_data)
{
	fixture_t *f = user_data;

	f->result = *result;
	f->done++;
	event_base_loopbreak(f->base);
}

static void fixture_open(fixture_t *f)
{
	http_server_options_t options = { 0 };

	memset(f, 0, sizeof(*f));
	f->base = event_base_new();
	f->http = http_client_new(f->base);
	f->client = engine_client_new(f->base, f->http, clock_system());
	f->received = g_string_new(NULL);
	options.base = f->base;
	options.address = "127.0.0.1";
	options.handler = on_engine_request;
	options.user_data = f;
	f->server = http_server_new(&options, NULL);
	snprintf(f->address, sizeof(f->address), "127.0.0.1:%u",
		 http_server_port(f->server));
}

static void fixture_close(fixture_t *f)
{
	engine_client_free(f->client);
	http_client_free(f->http);
	http_server_free(f->server);
	event_base_free(f->base);
	g_string_free(f->received, TRUE);
}

static engine_call_t *start_call(fixture_t *f, const script_t *script,
				 bool stream)
{
	engine_call_options_t options = {
		.address = f->address,
		.request_id = "r-1",
		.body = "{}",
		.body_len = 2,
		.timeout_ms = 10000,
		.stream = stream,
		.stall_ms = 50,
		.first_token = on_first_token,
		.events = on_events,
		.done = on_done,
		.user_data = f,
	};

	f->script = script;
	return engine_call_start(f->client, &options);
}

static engine_call_t *start(fixture_t *f, const script_t *script)
{
	return start_call(f, script, true);
}

/*
 * Guards against an engine failure that is classified wrongly, so that work
 * that may have run is reported as not run, or the reverse.
 */
static void test_outcomes(void)
{
	static const struct {
		script_t script;
		engine_outcome_t outcome;
		engine_fault_t fault;
	} cases[] = {
		{ { .status = 200, .events = complete },
		  ENGINE_COMPLETE,
		  ENGINE_FAULT_NONE },
		{ { .status = 200, .events = without_marker },
		  ENGINE_MAY_HAVE_RUN,
		  ENGINE_FAULT_TRUNCATED },
		{ { .status = 200, .events = without_marker, .truncate = true },
		  ENGINE_MAY_HAVE_RUN,
		  ENGINE_FAULT_TRUNCATED },
		{ { .status = 200, .truncate = true },
		  ENGINE_MAY_HAVE_RUN,
		  ENGINE_FAULT_TRUNCATED },
		{ { .status = 200,
		    .events = without_marker,
		    .keep_open = true },
		  ENGINE_MAY_HAVE_RUN,
		  ENGINE_FAULT_STALLED },
		{ { .status = 200, .keep_open = true },
		  ENGINE_MAY_HAVE_RUN,
		  ENGINE_FAULT_STALLED },
		{ { .status = 200, .echo = "r-2", .events = complete },
		  ENGINE_MAY_HAVE_RUN,
		  ENGINE_FAULT_MISMATCH },
		{ { .status = 200, .echo = "", .events = complete },
		  ENGINE_MAY_HAVE_RUN,
		  ENGINE_FAULT_MISMATCH },
		{ { .status = 503, .echo = "r-2" },
		  ENGINE_MAY_HAVE_RUN,
		  ENGINE_FAULT_MISMATCH },
		{ { .status = 503 }, ENGINE_REFUSED, ENGINE_FAULT_BUSY },
		{ { .status = 409 }, ENGINE_REFUSED, ENGINE_FAULT_VERSION },
		{ { .status = 400 },
		  ENGINE_MAY_HAVE_RUN,
		  ENGINE_FAULT_REJECTED },
		{ { .status = 500 }, ENGINE_MAY_HAVE_RUN, ENGINE_FAULT_ERROR },
		{ { .status = 500, .not_run = true },
		  ENGINE_REFUSED,
		  ENGINE_FAULT_ERROR },
		{ { .status = 500, .not_run = true, .echo = "" },
		  ENGINE_MAY_HAVE_RUN,
		  ENGINE_FAULT_ERROR },
		{ { .status = 500, .not_run = true, .echo = "r-2" },
		  ENGINE_MAY_HAVE_RUN,
		  ENGINE_FAULT_MISMATCH },
		{ { .status = 400, .not_run = true },
		  ENGINE_MAY_HAVE_RUN,
		  ENGINE_FAULT_REJECTED },
		{ { .status = 200, .not_run = true, .events = without_marker },
		  ENGINE_MAY_HAVE_RUN,
		  ENGINE_FAULT_TRUNCATED },
		{ { .status = 504 }, ENGINE_MAY_HAVE_RUN, ENGINE_FAULT_ERROR },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t f;

		fixture_open(&f);
		start(&f, &cases[i].script);
		event_base_dispatch(f.base);
		CU_ASSERT_EQUAL(f.done, 1);
		CU_ASSERT_EQUAL(f.result.outcome, cases[i].outcome);
		CU_ASSERT_EQUAL(f.result.fault, cases[i].fault);
		CU_ASSERT_PTR_NULL(strstr(f.received->str, "[DONE]"));
		if (f.result.fault == ENGINE_FAULT_MISMATCH)
			CU_ASSERT_EQUAL(f.received->len, 0);
		fixture_close(&f);
	}
}

/*
 * Guards against a call that waits for the end of an error's body, which may not
 * come, while the caller could be answered or another engine asked.
 */
static void test_error_without_end(void)
{
	static const struct {
		script_t script;
		engine_outcome_t outcome;
		engine_fault_t fault;
	} cases[] = {
		{ { .status = 500, .endless = true },
		  ENGINE_MAY_HAVE_RUN,
		  ENGINE_FAULT_ERROR },
		{ { .status = 500, .endless = true, .not_run = true },
		  ENGINE_REFUSED,
		  ENGINE_FAULT_ERROR },
		{ { .status = 503, .endless = true },
		  ENGINE_REFUSED,
		  ENGINE_FAULT_BUSY },
		{ { .status = 409, .endless = true },
		  ENGINE_REFUSED,
		  ENGINE_FAULT_VERSION },
		{ { .status = 400, .endless = true },
		  ENGINE_MAY_HAVE_RUN,
		  ENGINE_FAULT_REJECTED },
		{ { .status = 503, .endless = true, .echo = "r-2" },
		  ENGINE_MAY_HAVE_RUN,
		  ENGINE_FAULT_MISMATCH },
		{ { .status = 200, .endless = true, .echo = "r-2" },
		  ENGINE_MAY_HAVE_RUN,
		  ENGINE_FAULT_MISMATCH },
	};

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(cases); i++) {
		size_t at = i / 2;
		fixture_t f;

		fixture_open(&f);
		start_call(&f, &cases[at].script, i % 2 == 0);
		event_base_dispatch(f.base);
		CU_ASSERT_EQUAL(f.done, 1);
		CU_ASSERT_EQUAL(f.result.outcome, cases[at].outcome);
		CU_ASSERT_EQUAL(f.result.fault, cases[at].fault);
		CU_ASSERT_EQUAL(f.result.status, cases[at].script.status);
		for (int j = 0; j < 1000 && !f.closed; j++)
			event_base_loop(f.base, EVLOOP_ONCE);
		CU_ASSERT_EQUAL(f.closed, 1);
		fixture_close(&f);
	}
}

/*
 * Nothing listens at the address. This is the only failure after which the work
 * certainly did not run.
 */
static void test_connection_refused(void)
{
	fixture_t f;
	script_t script = { .status = 200, .events = complete };

	fixture_open(&f);
	snprintf(f.address, sizeof(f.address), "127.0.0.1:1");
	start(&f, &script);
	event_base_dispatch(f.base);
	CU_ASSERT_EQUAL(f.result.outcome, ENGINE_NOT_SENT);
	CU_ASSERT_EQUAL(f.result.fault, ENGINE_FAULT_CONNECT);
	fixture_close(&f);
}

/*
 * Guards against callers that wait for an engine whose connect gets no answer,
 * while they could be served by another.
 */
static void test_unanswered_connect(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int waiting[3];
	fixture_t f;
	engine_call_options_t options = {
		.address = f.address,
		.request_id = "r-1",
		.timeout_ms = 10000,
		.done = on_done,
		.user_data = &f,
	};
	int64_t start_ms = clock_now_ms(clock_system());

	fixture_open(&f);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL(bind(listener, (struct sockaddr *)&address, len), 0);
	listen(listener, 0);
	getsockname(listener, (struct sockaddr *)&address, &len);
	snprintf(f.address, sizeof(f.address), "127.0.0.1:%u",
		 ntohs(address.sin_port));
	/* Fill the backlog, so that further connects get no answer. */
	for (size_t i = 0; i < G_N_ELEMENTS(waiting); i++) {
		waiting[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)!connect(waiting[i], (struct sockaddr *)&address, len);
	}
	engine_call_start(f.client, &options);
	event_base_dispatch(f.base);
	CU_ASSERT_EQUAL(f.result.outcome, ENGINE_NOT_SENT);
	CU_ASSERT_TRUE(clock_now_ms(clock_system()) - start_ms < 2000);
	for (size_t i = 0; i < G_N_ELEMENTS(waiting); i++)
		close(waiting[i]);
	close(listener);
	fixture_close(&f);
}

static void cancel_on_first_token(engine_call_t *call, void *user_data)
{
	engine_call_cancel(call);
}

/*
 * Guards against callbacks after a cancellation. A hedged call is cancelled
 * when the other one wins, also from inside its own callback.
 */
static void test_cancel(void)
{
	fixture_t f;
	script_t script = { .status = 200,
			    .events = without_marker,
			    .keep_open = true };
	engine_call_options_t options = { .request_id = "r-1",
					  .body = "{}",
					  .body_len = 2,
					  .stream = true,
					  .first_token = cancel_on_first_token,
					  .events = on_events,
					  .done = on_done,
					  .user_data = &f };

	fixture_open(&f);
	options.address = f.address;
	f.script = &script;
	engine_call_start(f.client, &options);
	for (int i = 0; i < 1000 && !f.closed; i++)
		event_base_loop(f.base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(f.closed, 1);
	CU_ASSERT_EQUAL(f.done, 0);
	CU_ASSERT_EQUAL(f.received->len, 0);
	fixture_close(&f);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "outcomes", test_outcomes },
		{ "error without end", test_error_without_end },
		{ "connection refused", test_connection_refused },
		{ "unanswered connect", test_unanswered_connect },
		{ "cancel", test_cancel },
		{ NULL, NULL },
	};

	return unit_run("engine_client", tests);
}
