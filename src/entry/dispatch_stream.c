#include "entry/dispatch_stream.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "backend/engine_client.h"
#include "backend/sse.h"
#include "base/log.h"
#include "batch/result.h"

#define PROBE_TIMEOUT_MS 1000
/* Longest time without a token; a long prompt delays the first one. */
#define STALL_TIMEOUT_MS 30000

typedef struct stream {
	dispatch_t *dispatch;
	dispatch_item_t *item;
	engine_call_t *call;
	char *request_id;
	char *finish_reason;
	json_t *usage;
	char *model;
} stream_t;

static void stream_free(stream_t *stream)
{
	g_free(stream->request_id);
	g_free(stream->finish_reason);
	g_free(stream->model);
	json_decref(stream->usage);
	g_free(stream);
}

static void replace_string(char **target, const char *value)
{
	if (!value)
		return;
	g_free(*target);
	*target = g_strdup(value);
}

static void apply_event(stream_t *stream, const char *payload, size_t len)
{
	json_t *root = json_loadb(payload, len, 0, NULL);
	json_t *choice = json_array_get(json_object_get(root, "choices"), 0);
	json_t *usage = json_object_get(root, "usage");
	const char *content = json_string_value(
		json_object_get(json_object_get(choice, "delta"), "content"));

	replace_string(
		&stream->finish_reason,
		json_string_value(json_object_get(choice, "finish_reason")));
	replace_string(&stream->model,
		       json_string_value(json_object_get(root, "model")));
	if (json_is_object(usage)) {
		json_decref(stream->usage);
		stream->usage = json_incref(usage);
	}
	if (content && *content)
		dispatcher_item_tokens(stream->dispatch->dispatcher,
				       stream->item, content, 1);
	json_decref(root);
}

static void on_events(engine_call_t *call, const char *events, size_t len,
		      void *user_data)
{
	const char *payload;
	size_t payload_len, consumed;

	do {
		if (sse_next_payload(events, len, &payload, &payload_len,
				     &consumed))
			apply_event(user_data, payload, payload_len);
		events += consumed;
		len -= consumed;
	} while (consumed > 0);
}

static char *output_line(const stream_t *stream)
{
	const dispatch_item_t *item = stream->item;
	const char *deployment = item->chunk->pool->deployment;
	json_t *body = json_pack(
		"{s:s, s:s, s:I, s:s, s:[{s:i, s:{s:s, s:s}, s:s?}]}", "id",
		stream->request_id, "object", "chat.completion", "created",
		(json_int_t)(clock_wall_ms(stream->dispatch->entry->clock) /
			     1000),
		"model", stream->model ? stream->model : deployment, "choices",
		"index", 0, "message", "role", "assistant", "content",
		item->text ? item->text->str : "", "finish_reason",
		stream->finish_reason);

	if (stream->usage)
		json_object_set(body, "usage", stream->usage);
	return result_output_line(item->custom_id, stream->request_id, body);
}

static void on_stream_done(const engine_result_t *result, void *user_data)
{
	stream_t *stream = user_data;
	dispatch_t *dispatch = stream->dispatch;
	dispatch_item_t *item = stream->item;
	dispatcher_t *dispatcher = dispatch->dispatcher;

	if (result->outcome != ENGINE_COMPLETE)
		log_debug("item_attempt_failed",
			  "request=%s runner=%s fault=%s status=%d",
			  stream->request_id, item->runner->address,
			  engine_fault_name(result->fault), result->status);
	if (result->outcome == ENGINE_COMPLETE) {
		++*dispatch->items_completed;
		dispatcher_item_completed(dispatcher, item,
					  output_line(stream));
	} else if (result->fault == ENGINE_FAULT_REJECTED ||
		   result->fault == ENGINE_FAULT_ERROR) {
		++*dispatch->items_failed;
		dispatcher_item_failed(dispatcher, item, "engine_error",
				       "the engine answered with an error");
	} else if (result->outcome == ENGINE_MAY_HAVE_RUN) {
		dispatcher_item_truncated(dispatcher, item);
	} else {
		dispatcher_item_refused(dispatcher, item);
	}
	stream_free(stream);
	dispatch_schedule_tick(dispatch);
}

static const char *deployment_version(const dispatch_t *dispatch,
				      const dispatch_pool_t *pool)
{
	const document_t *document = dispatch->entry->document;
	const document_partner_t *partner =
		document ? document_find_partner(document, pool->partner) :
			   NULL;
	const document_deployment_t *deployment =
		partner ? document_find_deployment(partner, pool->deployment) :
			  NULL;

	return deployment ? deployment->version : NULL;
}

void dispatch_stream_start(dispatch_item_t *item, json_t *body, void *user_data)
{
	dispatch_t *dispatch = user_data;
	stream_t *stream = g_new0(stream_t, 1);
	engine_call_options_t options = {
		.address = item->runner->address,
		.version = deployment_version(dispatch, item->chunk->pool),
		.stream = true,
		.resume_from = (int64_t)item->tokens,
		.stall_ms = STALL_TIMEOUT_MS,
		.events = on_events,
		.done = on_stream_done,
		.user_data = stream,
	};
	char *text;

	json_object_set_new(body, "stream", json_true());
	text = json_dumps(body, JSON_COMPACT);
	stream->dispatch = dispatch;
	stream->item = item;
	stream->request_id =
		g_strdup_printf("batch_req_%s_%u-%" PRIx64, item->chunk->job,
				item->number, (uint64_t)++dispatch->attempts);
	options.request_id = stream->request_id;
	options.body = text;
	options.body_len = strlen(text);
	item->call = stream;
	++*dispatch->items_started;
	stream->call = engine_call_start(dispatch->entry->engines, &options);
	free(text);
}

void dispatch_stream_stop(dispatch_item_t *item, void *user_data)
{
	dispatch_t *dispatch = user_data;
	stream_t *stream = item->call;

	++*dispatch->items_stopped;
	engine_call_cancel(stream->call);
	stream_free(stream);
}

static void on_probed(const http_response_t *answer, void *user_data)
{
	chunk_call_t *call = user_data;

	dispatcher_probed(call->dispatch->dispatcher, call->key,
			  answer->outcome == HTTP_COMPLETE);
	dispatch_schedule_tick(call->dispatch);
	chunk_call_free(call);
}

void dispatch_stream_probe(const char *address, void *user_data)
{
	dispatch_t *dispatch = user_data;
	chunk_call_t *call = chunk_call_new(dispatch, NULL, 0);
	http_request_options_t options = {
		.method = "GET",
		.address = address,
		.target = "/healthz",
		.timeout_ms = PROBE_TIMEOUT_MS,
		.fresh_connection = true,
		.on_done = on_probed,
		.user_data = call,
	};

	call->key = g_strdup(address);
	http_call_start(dispatch->entry->http, &options);
}
