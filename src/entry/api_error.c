#include "entry/api_error.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

static const char invalid[] = "invalid_request_error";
static const char server[] = "server_error";

static const api_error_t errors[API_ERROR_COUNT] = {
	[API_INVALID_JSON] = { 400, invalid, "invalid_json", 0 },
	[API_INVALID_REQUEST] = { 400, invalid, "invalid_request", 0 },
	[API_UNAUTHORIZED] = { 401, "authentication_error", "invalid_api_key",
			       0 },
	[API_NOT_FOUND] = { 404, invalid, "not_found", 0 },
	[API_MODEL_NOT_FOUND] = { 404, invalid, "model_not_found", 0 },
	[API_METHOD_NOT_ALLOWED] = { 405, invalid, "method_not_allowed", 0 },
	[API_IDEMPOTENCY_KEY_REQUIRED] = { 400, invalid,
					   "idempotency_key_required", 0 },
	[API_IDEMPOTENCY_CONFLICT] = { 422, invalid, "idempotency_conflict",
				       0 },
	[API_IN_PROGRESS] = { 409, invalid, "in_progress", 1 },
	[API_OUTCOME_UNKNOWN] = { 409, invalid, "outcome_unknown", 0 },
	[API_RESULT_NOT_KEPT] = { 409, invalid, "result_not_kept", 0 },
	[API_RESULT_SUPERSEDED] = { 409, server, "result_superseded", 1 },
	[API_TOO_LARGE] = { 413, invalid, "request_too_large", 0 },
	[API_HEADERS_TOO_LARGE] = { 431, invalid, "headers_too_large", 0 },
	[API_REQUEST_TIMEOUT] = { 408, invalid, "request_timeout", 0 },
	[API_RATE_LIMITED] = { 429, "rate_limit_error", "rate_limited", 1 },
	[API_OVERLOADED] = { 503, server, "overloaded", 1 },
	[API_NOT_READY] = { 503, server, "not_ready", 1 },
	[API_LEDGER_UNAVAILABLE] = { 503, server, "ledger_unavailable", 2 },
	[API_PROMPT_HELD] = { 503, server, "prompt_held", 2 },
	[API_NO_RUNNER] = { 503, server, "no_runner", 1 },
	[API_BACKEND_FAILED] = { 502, server, "backend_failed", 1 },
	[API_BACKEND_REJECTED] = { 400, invalid, "rejected_by_model", 0 },
	[API_DEADLINE_EXCEEDED] = { 504, server, "deadline_exceeded", 1 },
	[API_INTERNAL] = { 500, server, "internal", 0 },
};

static const char *const work_names[] = { "not_run", "may_have_run", "ran" };

const api_error_t *api_error_get(api_error_id_t id)
{
	return &errors[id];
}

char *api_error_body(api_error_id_t id, work_state_t work, const char *message)
{
	const api_error_t *error = &errors[id];
	json_t *root = json_pack("{s:{s:s, s:s, s:s, s:s}}", "error", "type",
				 error->type, "code", error->code, "message",
				 message, "work", work_names[work]);
	char *text = root ? json_dumps(root, JSON_COMPACT) : NULL;

	json_decref(root);
	return text ? text : strdup("{\"error\":{}}");
}

void api_error_reply(http_exchange_t *exchange, api_error_id_t id,
		     work_state_t work, int retry_after_s, const char *message)
{
	char *body = api_error_body(id, work, message);
	char seconds[16];

	if (retry_after_s <= 0)
		retry_after_s = errors[id].retry_after_s;
	if (retry_after_s > 0) {
		snprintf(seconds, sizeof(seconds), "%d", retry_after_s);
		http_reply_header(exchange, "Retry-After", seconds);
	}
	http_reply(exchange, errors[id].status, "application/json", body,
		   strlen(body));
	free(body);
}
