#include "entry/front.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "entry/api_error.h"
#include "entry/batches.h"
#include "entry/chat.h"
#include "entry/files.h"
#include "entry/service_call.h"
#include "entry/operator.h"

static const char bearer[] = "Bearer ";

static void handle_models(entry_t *entry, http_exchange_t *exchange,
			  const document_caller_t *caller)
{
	const GPtrArray *deployments = caller->partner->deployments;
	json_t *data = json_array();
	json_t *root = json_pack("{s:s, s:o}", "object", "list", "data", data);
	char *text;

	for (guint i = 0; i < deployments->len; i++) {
		const document_deployment_t *deployment = deployments->pdata[i];

		json_array_append_new(data, json_pack("{s:s, s:s, s:i, s:s}",
						      "id", deployment->name,
						      "object", "model",
						      "created", 0, "owned_by",
						      caller->partner->name));
	}
	text = json_dumps(root, JSON_COMPACT);
	http_reply(exchange, 200, "application/json", text, strlen(text));
	free(text);
	json_decref(root);
}

typedef void (*caller_handler_t)(entry_t *entry, http_exchange_t *exchange,
				 const document_caller_t *caller);

static const struct {
	const char *method;
	const char *path;
	caller_handler_t handler;
} caller_routes[] = {
	{ "GET", "/v1/models", handle_models },
	{ "POST", "/v1/chat/completions", chat_handle },
};

#define REQUEST_ID_BYTES 96

/* Accepts only characters that are safe in headers and log lines. */
static bool is_valid_id(const char *id)
{
	size_t len = strlen(id);

	if (len == 0 || len > HTTP_ID_MAX)
		return false;
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isalnum(id[i]) && !strchr("-_.:", id[i]))
			return false;
	return true;
}

static void assign_id(entry_t *entry, http_exchange_t *exchange)
{
	const char *given = http_header(exchange, "x-request-id");
	char id[REQUEST_ID_BYTES];

	if (given && is_valid_id(given)) {
		http_set_id(exchange, given);
		return;
	}
	snprintf(id, sizeof(id), "%s-%" PRIu64, entry->instance,
		 ++entry->next_request);
	http_set_id(exchange, id);
}

/* HEAD is handled as GET; its response has no body. */
static bool method_matches(const char *expected, const char *method)
{
	return strcmp(expected, method) == 0 ||
	       (strcmp(expected, "GET") == 0 && strcmp(method, "HEAD") == 0);
}

static const document_caller_t *authenticate(const entry_t *entry,
					     const http_exchange_t *exchange)
{
	const char *value = http_header(exchange, "Authorization");

	if (!value || !g_str_has_prefix(value, bearer))
		return NULL;
	return document_authenticate(entry->document, value + strlen(bearer));
}

static bool is_within(const char *path, const char *root)
{
	size_t len = strlen(root);

	return strncmp(path, root, len) == 0 &&
	       (path[len] == '\0' || path[len] == '/');
}

void front_handle_caller(http_exchange_t *exchange, void *user_data)
{
	entry_t *entry = user_data;
	const char *path = http_path(exchange);
	const document_caller_t *caller;
	bool path_known = false;

	assign_id(entry, exchange);
	if (!entry->document) {
		api_error_reply(exchange, API_NOT_READY, WORK_NOT_RUN, 0,
				"no configuration has been adopted yet");
		return;
	}
	caller = authenticate(entry, exchange);
	if (!caller || caller->is_operator) {
		api_error_reply(exchange, API_UNAUTHORIZED, WORK_NOT_RUN, 0,
				"the bearer key is missing or wrong");
		return;
	}
	if (g_str_has_prefix(path, SERVICE_CALL_PREFIX)) {
		service_call_handle(entry, exchange, caller);
		return;
	}
	if (is_within(path, FILES_PATH)) {
		files_handle(entry, exchange, caller);
		return;
	}
	if (is_within(path, BATCHES_PATH)) {
		batches_handle(entry, exchange, caller);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(caller_routes); i++) {
		if (strcmp(caller_routes[i].path, path) != 0)
			continue;
		path_known = true;
		if (method_matches(caller_routes[i].method,
				   http_method(exchange))) {
			caller_routes[i].handler(entry, exchange, caller);
			return;
		}
	}
	api_error_reply(exchange,
			path_known ? API_METHOD_NOT_ALLOWED : API_NOT_FOUND,
			WORK_NOT_RUN, 0,
			path_known ? "method not allowed" : "no such path");
}

void front_handle_operator(http_exchange_t *exchange, void *user_data)
{
	entry_t *entry = user_data;
	const char *path = http_path(exchange);
	bool ready = entry->document && !entry->draining;
	GString *text;

	if (strcmp(path, "/healthz") == 0) {
		http_reply(exchange, 200, "text/plain", "ok\n", 3);
	} else if (strcmp(path, "/readyz") == 0) {
		http_reply(exchange, ready ? 200 : 503, "text/plain",
			   ready ? "ready\n" : "not ready\n", ready ? 6 : 10);
	} else if (strcmp(path, "/metrics") == 0) {
		text = g_string_new(NULL);
		pool_table_write_quantiles(entry->pools);
		counter_set_write(entry->counters, text);
		http_reply(exchange, 200, "text/plain; version=0.0.4",
			   text->str, text->len);
		g_string_free(text, TRUE);
	} else if (!operator_handle(entry, exchange)) {
		api_error_reply(exchange, API_NOT_FOUND, WORK_NOT_RUN, 0,
				"no such path");
	}
}

void front_reject(int status, GString *headers, GString *body, void *user_data)
{
	static const struct {
		int status;
		api_error_id_t error;
		const char *message;
	} rejects[] = {
		{ 408, API_REQUEST_TIMEOUT, "the request came too slowly" },
		{ 413, API_TOO_LARGE, "the body is above the limit" },
		{ 431, API_HEADERS_TOO_LARGE, "the headers are too large" },
		{ 503, API_OVERLOADED, "too many connections" },
		{ 400, API_INVALID_REQUEST, "the request is malformed" },
	};
	entry_t *entry = user_data;
	size_t i = 0;
	char *text;

	while (i < G_N_ELEMENTS(rejects) - 1 && rejects[i].status != status)
		i++;
	text = api_error_body(rejects[i].error, WORK_NOT_RUN,
			      rejects[i].message);
	g_string_append(body, text);
	free(text);
	g_string_append_printf(headers, "x-request-id: %s-%" PRIu64 "\r\n",
			       entry->instance, ++entry->next_request);
	if (status == 503)
		g_string_append(headers, "Retry-After: 1\r\n");
}
