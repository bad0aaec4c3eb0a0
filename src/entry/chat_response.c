#include "entry/chat_response.h"

#include <jansson.h>
#include <string.h>

#include "base/log.h"
#include "entry/claim_reply.h"
#include "entry/completion.h"

#define STREAM_BUFFER_BYTES (256 * 1024)

static const char done_event[] = "data: [DONE]\n\n";

void chat_response_error(chat_t *chat, api_error_id_t error, int retry_after_s,
			 const char *message)
{
	work_state_t work = chat->may_have_run ?
				    WORK_MAY_HAVE_RUN :
				    request_state_work(chat->state);

	if (chat_state_is_detached(chat))
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

static void end_stream(chat_t *chat)
{
	http_stream_write(chat->exchange, done_event, strlen(done_event));
	http_stream_end(chat->exchange);
}

static void mark_unrecorded(chat_t *chat)
{
	http_reply_header(chat->exchange, "X-Wasabilink-Recorded", "false");
}

/* The headers of a started stream have been sent, so an SSE comment carries
 * the mark instead. */
static void comment_unrecorded(chat_t *chat)
{
	static const char comment[] = ": x-wasabilink-recorded: false\n\n";

	http_stream_write(chat->exchange, comment, strlen(comment));
}

void chat_response_start_stream(chat_t *chat)
{
	if (chat->unrecorded)
		mark_unrecorded(chat);
	http_stream_start(chat->exchange, 200, "text/event-stream");
	chat->stream_started = true;
}

void chat_response_replay(chat_t *chat, const claim_result_t *result)
{
	GString *events = NULL;

	if (chat_state_is_detached(chat))
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

/* Compares the choices only: responses carry the ids of their attempts, which
 * always differ. */
static bool has_same_choices(const chat_t *chat, const claim_result_t *result)
{
	json_t *recorded = json_loadb(result->body, result->body_len, 0, NULL);
	json_t *own = json_loads(chat->response, 0, NULL);
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
		chat_state_set(chat, REQUEST_RECORDED);
	if (chat_state_is_detached(chat)) {
		chat_state_free(chat);
		return;
	}
	if (result && !chat->stream_started) {
		chat_response_replay(chat, result);
	} else if (result && !has_same_choices(chat, result)) {
		/* Another claimer's result is the recorded one, but this
		 * stream has already been sent. */
		chat_response_error(
			chat, API_RESULT_SUPERSEDED, 0,
			"another answer to this request was recorded first; a resend gets it");
	} else if (chat->stream_started) {
		if (!recorded && !chat->unrecorded)
			comment_unrecorded(chat);
		end_stream(chat);
	} else {
		if (!recorded)
			mark_unrecorded(chat);
		http_reply(chat->exchange, 200, "application/json",
			   chat->response, strlen(chat->response));
	}
	chat_state_free(chat);
}

/* Takes ownership of the response text. */
static void record_response(chat_t *chat, char *response)
{
	claim_result_t result = { .status = 200,
				  .content_type = "application/json",
				  .body = response,
				  .body_len = strlen(response) };
	claim_t *claim = chat->claim;

	chat->claim = NULL;
	chat->response = response;
	chat_state_timer_free(&chat->deadline_timer);
	chat_state_release(chat);
	claim_finish(claim, &result, on_recorded, chat);
}

void chat_response_complete(chat_t *chat, const engine_result_t *result)
{
	char *response;

	chat->tokens = chat->request.stream ?
			       result->events :
			       (uint64_t)completion_total_tokens(
				       result->body, result->body_len);
	if (chat->claim) {
		response = chat->request.stream ?
				   completion_from_events(
					   chat->recorded_events->str,
					   chat->recorded_events->len) :
				   strndup(result->body, result->body_len);
		if (response)
			record_response(chat, response);
		else
			chat_state_fail(chat, API_BACKEND_FAILED,
					"the runner's answer is malformed");
		return;
	}
	if (chat->request.stream)
		end_stream(chat);
	else
		http_reply(chat->exchange, 200, "application/json",
			   result->body, result->body_len);
	chat_state_free(chat);
}

static void on_slow_caller(evutil_socket_t fd, short events, void *arg)
{
	chat_t *chat = arg;
	size_t pending = http_stream_pending(chat->exchange);

	if (pending < chat->slow_pending) {
		chat->slow_pending = pending;
		chat_state_timer_start(chat, &chat->slow_timer, on_slow_caller,
				       chat->entry->options.slow_caller_ms *
					       1000);
		return;
	}
	log_info("slow_caller", "request=%s pending=%zu",
		 http_id(chat->exchange), pending);
	http_stream_abort_now(chat->exchange);
	if (chat->claim) {
		chat_state_detach(chat);
		return;
	}
	chat_state_free(chat);
}

static void on_drained(http_exchange_t *exchange, void *user_data)
{
	chat_t *chat = user_data;

	chat_state_timer_free(&chat->slow_timer);
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
	chat_state_timer_start(chat, &chat->slow_timer, on_slow_caller,
			       chat->entry->options.slow_caller_ms * 1000);
}

void chat_response_relay_events(chat_t *chat, const char *events, size_t len)
{
	if (chat->claim)
		g_string_append_len(chat->recorded_events, events, (gssize)len);
	if (chat_state_is_detached(chat))
		return;
	http_stream_write(chat->exchange, events, len);
	apply_backpressure(chat);
}
