#include "tool/tool_client.h"

#include <event2/event.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "http/http_client.h"
#include "object/object_http.h"

#define RETRY_MS 200

struct tool_client {
	struct event_base *base;
	http_client_t *http;
	object_store_t *store;
	int32_t timeout_ms;
};

/* Outcome of the one call in flight. */
typedef struct result {
	tool_client_t *client;
	tool_object_t *object;
	char *body;
	size_t body_len;
	int status;
	http_outcome_t outcome;
	GError *error;
} result_t;

tool_client_t *tool_client_new(const char *platform, int32_t timeout_ms)
{
	tool_client_t *client = g_new0(tool_client_t, 1);
	object_http_options_t options = { .address = platform,
					  .timeout_ms = timeout_ms };

	client->base = event_base_new();
	client->http = http_client_new(client->base);
	client->timeout_ms = timeout_ms;
	options.client = client->http;
	client->store = object_http_new(&options);
	return client;
}

void tool_client_free(tool_client_t *client)
{
	if (!client)
		return;
	object_store_free(client->store);
	http_client_free(client->http);
	event_base_free(client->base);
	g_free(client);
}

void tool_object_clear(tool_object_t *object)
{
	g_free(object->writer);
	if (object->data)
		g_bytes_unref(object->data);
	*object = (tool_object_t){ 0 };
}

static void on_object(const object_value_t *value, const GError *error,
		      void *user_data)
{
	result_t *result = user_data;

	if (value) {
		tool_object_clear(result->object);
		result->object->version = value->version;
		result->object->writer =
			g_strdup(value->writer ? value->writer : "");
		result->object->data = g_bytes_new(value->data, value->len);
	}
	result->error = error ? g_error_copy(error) : NULL;
	event_base_loopbreak(result->client->base);
}

static gboolean finish(result_t *result, GError **error)
{
	event_base_dispatch(result->client->base);
	if (!result->error)
		return TRUE;
	g_propagate_error(error, result->error);
	return FALSE;
}

gboolean tool_client_get(tool_client_t *client, const char *key,
			 tool_object_t *object, GError **error)
{
	result_t result = { .client = client, .object = object };

	object_get(client->store, key, on_object, &result);
	return finish(&result, error);
}

static gboolean put_once(tool_client_t *client, const char *key, GBytes *data,
			 uint64_t if_version, const char *token,
			 tool_object_t *object, GError **error)
{
	result_t result = { .client = client, .object = object };

	object_put(client->store, key, g_bytes_get_data(data, NULL),
		   g_bytes_get_size(data), if_version, token, on_object,
		   &result);
	return finish(&result, error);
}

static void on_pause_over(evutil_socket_t fd, short events, void *arg)
{
	event_base_loopbreak(arg);
}

static void pause_ms(tool_client_t *client, int32_t duration_ms)
{
	struct timeval tv = { duration_ms / 1000, duration_ms % 1000 * 1000 };

	event_base_once(client->base, -1, EV_TIMEOUT, on_pause_over,
			client->base, &tv);
	event_base_dispatch(client->base);
}

static gboolean is_temporary(const GError *error)
{
	static const error_code_t codes[] = {
		WL_ERROR_TIMEOUT, WL_ERROR_TRUNCATED, WL_ERROR_REFUSED,
		WL_ERROR_UNAVAILABLE, WL_ERROR_RATE_LIMITED
	};

	for (size_t i = 0; i < G_N_ELEMENTS(codes); i++)
		if (g_error_matches(error, WL_ERROR, (gint)codes[i]))
			return TRUE;
	return FALSE;
}

gboolean tool_client_put(tool_client_t *client, const char *key, GBytes *data,
			 uint64_t if_version, const char *token,
			 int32_t wait_ms, tool_object_t *object, GError **error)
{
	int64_t end = clock_now_ms(clock_system()) + wait_ms;
	gboolean unknown = FALSE;
	GError *own = NULL;

	for (;;) {
		if (put_once(client, key, data, if_version, token, object,
			     &own))
			return TRUE;
		/* An earlier attempt took effect and its answer was lost. */
		if (g_error_matches(own, WL_ERROR, WL_ERROR_CONFLICT) &&
		    g_strcmp0(object->writer, token) == 0) {
			g_error_free(own);
			return TRUE;
		}
		unknown |= g_error_matches(own, WL_ERROR, WL_ERROR_TIMEOUT) ||
			   g_error_matches(own, WL_ERROR, WL_ERROR_TRUNCATED);
		if (!is_temporary(own) ||
		    clock_now_ms(clock_system()) + RETRY_MS >= end)
			break;
		g_clear_error(&own);
		/* Repeating is safe: the condition admits one attempt only. */
		pause_ms(client, RETRY_MS);
	}
	if (unknown && is_temporary(own)) {
		g_error_free(own);
		own = g_error_new(WL_ERROR, WL_ERROR_TIMEOUT,
				  "the answer was lost; it is not known "
				  "whether the change was accepted");
	}
	g_propagate_error(error, own);
	return FALSE;
}

static void on_fetched(const http_response_t *answer, void *user_data)
{
	result_t *result = user_data;

	result->outcome = answer->outcome;
	result->status = answer->status;
	result->body_len = answer->body ? answer->body_len : 0;
	result->body = g_malloc(result->body_len + 1);
	if (result->body_len)
		memcpy(result->body, answer->body, result->body_len);
	result->body[result->body_len] = '\0';
	event_base_loopbreak(result->client->base);
}

static GError *fetch_error(const result_t *result, const char *address)
{
	static const struct {
		int status;
		error_code_t code;
		const char *text;
	} by_status[] = {
		{ 401, WL_ERROR_PERMISSION,
		  "the operator's key is missing or "
		  "wrong" },
		{ 404, WL_ERROR_NOT_FOUND, "not an operator port" },
		{ 503, WL_ERROR_UNAVAILABLE, "not ready" },
	};

	if (result->outcome == HTTP_NOT_SENT)
		return g_error_new(WL_ERROR, WL_ERROR_REFUSED,
				   "%s: not reachable", address);
	if (result->outcome != HTTP_COMPLETE)
		return g_error_new(WL_ERROR, WL_ERROR_TIMEOUT,
				   "%s: no complete answer in time", address);
	for (size_t i = 0; i < G_N_ELEMENTS(by_status); i++)
		if (by_status[i].status == result->status)
			return g_error_new(WL_ERROR, (gint)by_status[i].code,
					   "%s: %s", address,
					   by_status[i].text);
	return g_error_new(WL_ERROR, WL_ERROR_PROTOCOL, "%s: status %d",
			   address, result->status);
}

char *tool_client_fetch(tool_client_t *client, const char *address,
			const char *target, const char *key, GError **error)
{
	result_t result = { .client = client };
	char *bearer = g_strconcat("Bearer ", key ? key : "", NULL);
	const char *headers[] = { "Authorization", bearer, NULL };
	http_request_options_t options = {
		.method = "GET",
		.address = address,
		.target = target,
		.headers = key && key[0] ? headers : NULL,
		.timeout_ms = client->timeout_ms,
		.on_done = on_fetched,
		.user_data = &result,
	};

	http_call_start(client->http, &options);
	event_base_dispatch(client->base);
	g_free(bearer);
	if (result.outcome == HTTP_COMPLETE && result.status == 200)
		return result.body;
	g_propagate_error(error, fetch_error(&result, address));
	g_free(result.body);
	return NULL;
}

static error_code_t code_of_status(int status)
{
	static const struct {
		int status;
		error_code_t code;
	} codes[] = {
		{ 400, WL_ERROR_INVALID },	{ 401, WL_ERROR_PERMISSION },
		{ 404, WL_ERROR_NOT_FOUND },	{ 409, WL_ERROR_CONFLICT },
		{ 413, WL_ERROR_TOO_LARGE },	{ 422, WL_ERROR_CONFLICT },
		{ 429, WL_ERROR_RATE_LIMITED }, { 503, WL_ERROR_UNAVAILABLE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(codes); i++)
		if (codes[i].status == status)
			return codes[i].code;
	return WL_ERROR_PROTOCOL;
}

static GError *call_error(const result_t *result, const char *address)
{
	json_t *root, *detail;
	const char *message;
	GError *error;

	if (result->outcome != HTTP_COMPLETE)
		return fetch_error(result, address);
	root = json_loads(result->body, 0, NULL);
	detail = json_object_get(root, "error");
	message = json_string_value(json_object_get(detail, "message"));
	error = g_error_new(WL_ERROR, (gint)code_of_status(result->status),
			    "%s: status %d: %s", address, result->status,
			    message ? message : "no error body");
	json_decref(root);
	return error;
}

char *tool_client_call(tool_client_t *client, const tool_request_t *request,
		       size_t *len, GError **error)
{
	result_t result = { .client = client };
	char *bearer = g_strconcat("Bearer ", request->key, NULL);
	const char *headers[7] = { "Authorization", bearer };
	size_t used = 2;
	http_request_options_t options = {
		.method = request->method,
		.address = request->address,
		.target = request->target,
		.headers = headers,
		.body = request->body,
		.body_len = request->body_len,
		.timeout_ms = client->timeout_ms,
		.on_done = on_fetched,
		.user_data = &result,
	};

	if (request->content_type) {
		headers[used++] = "Content-Type";
		headers[used++] = request->content_type;
	}
	if (request->idempotency_key) {
		headers[used++] = "Idempotency-Key";
		headers[used++] = request->idempotency_key;
	}
	http_call_start(client->http, &options);
	event_base_dispatch(client->base);
	g_free(bearer);
	if (result.outcome == HTTP_COMPLETE && result.status == 200) {
		*len = result.body_len;
		return result.body;
	}
	g_propagate_error(error, call_error(&result, request->address));
	g_free(result.body);
	return NULL;
}

int tool_fail(const char *command, GError *error)
{
	int status = 1;

	if (is_temporary(error))
		status = TOOL_EXIT_AGAIN;
	else if (g_error_matches(error, WL_ERROR, WL_ERROR_INVALID) ||
		 g_error_matches(error, WL_ERROR, WL_ERROR_TOO_LARGE))
		status = TOOL_EXIT_INVALID;
	fprintf(stderr, "wasabilink %s: %s\n", command, error->message);
	g_error_free(error);
	return status;
}
