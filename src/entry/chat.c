#include "entry/chat.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "entry/api_error.h"

#define UPSTREAM_TIMEOUT_MS 120000
#define STREAM_BUFFER_BYTES (256 * 1024)

static const char done_marker[] = "data: [DONE]";

typedef struct chat {
	entry_t *entry;
	http_exchange_t *exchange;
	http_call_t *call;
	runner_t *runner;
	char request_id[64];
	char tail[32]; /* last bytes of the stream, to find the end marker */
	size_t tail_len;
	bool stream;
	bool started;
	bool paused;
} chat_t;

static void chat_free(chat_t *chat)
{
	chat->runner->in_flight--;
	g_free(chat);
}

static void on_caller_closed(http_exchange_t *exchange, void *user_data)
{
	chat_t *chat = user_data;

	http_call_cancel(chat->call);
	chat_free(chat);
}

static void on_drained(http_exchange_t *exchange, void *user_data)
{
	chat_t *chat = user_data;

	chat->paused = false;
	http_call_pause(chat->call, false);
}

static void remember_tail(chat_t *chat, const char *data, size_t len)
{
	size_t room = sizeof(chat->tail);

	if (len >= room) {
		memcpy(chat->tail, data + len - room, room);
		chat->tail_len = room;
		return;
	}
	if (chat->tail_len + len > room) {
		size_t drop = chat->tail_len + len - room;

		memmove(chat->tail, chat->tail + drop, chat->tail_len - drop);
		chat->tail_len -= drop;
	}
	memcpy(chat->tail + chat->tail_len, data, len);
	chat->tail_len += len;
}

static void on_data(http_call_t *call, const char *data, size_t len,
		    void *user_data)
{
	chat_t *chat = user_data;

	if (!chat->started) {
		http_stream_start(chat->exchange, 200, "text/event-stream");
		chat->started = true;
	}
	remember_tail(chat, data, len);
	http_stream_write(chat->exchange, data, len);
	if (!chat->paused &&
	    http_stream_pending(chat->exchange) > STREAM_BUFFER_BYTES) {
		chat->paused = true;
		http_call_pause(call, true);
		http_stream_on_drained(chat->exchange, on_drained, chat);
	}
}

static void fail(chat_t *chat, const http_answer_t *answer)
{
	work_state_t work = answer->outcome == HTTP_NOT_SENT ?
				    WORK_NOT_RUN :
				    WORK_MAY_HAVE_RUN;
	char *body;
	char *event;

	if (!chat->started) {
		api_error_reply(chat->exchange, API_BACKEND_FAILED, work, 0,
				"the runner did not give a whole answer");
		return;
	}
	body = api_error_body(API_BACKEND_FAILED, work,
			      "the runner's answer was cut off");
	event = g_strconcat("data: ", body, "\n\n", NULL);
	http_stream_write(chat->exchange, event, strlen(event));
	g_free(event);
	free(body);
	http_stream_abort(chat->exchange);
}

static void on_done(const http_answer_t *answer, void *user_data)
{
	chat_t *chat = user_data;
	bool whole = answer->outcome == HTTP_COMPLETE && answer->status == 200;

	http_on_closed(chat->exchange, NULL, NULL);
	if (chat->stream)
		whole = whole && chat->started &&
			g_strstr_len(chat->tail, (gssize)chat->tail_len,
				     done_marker);
	if (!whole)
		fail(chat, answer);
	else if (chat->stream)
		http_stream_end(chat->exchange);
	else
		http_reply(chat->exchange, 200, "application/json",
			   answer->body, answer->body_len);
	log_debug("chat_done", "request=%s runner=%s status=%d whole=%d",
		  chat->request_id, chat->runner->address, answer->status,
		  whole);
	chat_free(chat);
}

static runner_t *choose_runner(entry_t *entry, const char *partner,
			       const char *deployment)
{
	const GPtrArray *found =
		runner_set_find(entry->runners, partner, deployment, false);
	runner_t *best = NULL;

	for (guint i = 0; i < found->len; i++) {
		runner_t *runner = found->pdata[i];

		if (!best || runner->in_flight < best->in_flight)
			best = runner;
	}
	return best;
}

static void start(entry_t *entry, http_exchange_t *exchange, json_t *request,
		  const document_deployment_t *deployment, runner_t *runner)
{
	chat_t *chat = g_new0(chat_t, 1);
	char *body = json_dumps(request, JSON_COMPACT);
	const char *headers[] = { "Content-Type",
				  "application/json",
				  "X-Request-Id",
				  chat->request_id,
				  "X-Model-Version",
				  deployment->version,
				  NULL };
	http_request_options_t options = {
		.method = "POST",
		.address = runner->address,
		.target = "/v1/chat/completions",
		.headers = headers,
		.body = body,
		.body_len = strlen(body),
		.timeout_ms = UPSTREAM_TIMEOUT_MS,
		.on_done = on_done,
		.user_data = chat,
	};

	chat->entry = entry;
	chat->exchange = exchange;
	chat->runner = runner;
	chat->stream = json_is_true(json_object_get(request, "stream"));
	snprintf(chat->request_id, sizeof(chat->request_id), "%s-%" PRIu64,
		 entry->options.node_id, ++entry->next_request);
	if (chat->stream)
		options.on_data = on_data;
	runner->in_flight++;
	http_reply_header(exchange, "x-request-id", chat->request_id);
	http_on_closed(exchange, on_caller_closed, chat);
	chat->call = http_call_start(entry->http, &options);
	free(body);
}

void chat_handle(entry_t *entry, http_exchange_t *exchange,
		 const document_caller_t *caller)
{
	const document_deployment_t *deployment;
	size_t len;
	const char *body = http_body(exchange, &len);
	json_t *request = json_loadb(body, len, 0, NULL);
	const char *model;
	runner_t *runner;

	if (!json_is_object(request)) {
		api_error_reply(exchange, API_INVALID_JSON, WORK_NOT_RUN, 0,
				"the body is not a JSON object");
		json_decref(request);
		return;
	}
	model = json_string_value(json_object_get(request, "model"));
	deployment =
		model ? document_find_deployment(caller->partner, model) : NULL;
	runner = deployment ?
			 choose_runner(entry, caller->partner->name, model) :
			 NULL;
	if (!deployment)
		api_error_reply(exchange, API_MODEL_NOT_FOUND, WORK_NOT_RUN, 0,
				"no such model");
	else if (!runner)
		api_error_reply(exchange, API_NO_RUNNER, WORK_NOT_RUN, 0,
				"no runner serves this model");
	else
		start(entry, exchange, request, deployment, runner);
	json_decref(request);
}
