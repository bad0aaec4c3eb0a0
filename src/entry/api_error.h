#ifndef WASABILINK_ENTRY_API_ERROR_H
#define WASABILINK_ENTRY_API_ERROR_H

#include "http/http_server.h"

/*
 * api_error - error responses to callers.
 *
 * The body has the OpenAI error format with the additional member `work`,
 * which states whether the request ran.
 */
typedef enum work_state {
	WORK_NOT_RUN,
	WORK_MAY_HAVE_RUN,
	WORK_RAN
} work_state_t;

typedef enum api_error_id {
	API_INVALID_JSON,
	API_INVALID_REQUEST,
	API_UNAUTHORIZED,
	API_NOT_FOUND,
	API_MODEL_NOT_FOUND,
	API_METHOD_NOT_ALLOWED,
	API_IDEMPOTENCY_KEY_REQUIRED,
	API_IDEMPOTENCY_CONFLICT,
	API_IN_PROGRESS,
	API_OUTCOME_UNKNOWN,
	API_RESULT_NOT_KEPT,
	API_RESULT_SUPERSEDED,
	API_TOO_LARGE,
	API_HEADERS_TOO_LARGE,
	API_REQUEST_TIMEOUT,
	API_RATE_LIMITED,
	API_OVERLOADED,
	API_NOT_READY,
	API_LEDGER_UNAVAILABLE,
	API_NO_RUNNER,
	API_PROMPT_HELD,
	API_BACKEND_FAILED,
	API_BACKEND_REJECTED,
	API_DEADLINE_EXCEEDED,
	API_INTERNAL,
	API_ERROR_COUNT
} api_error_id_t;

typedef struct api_error {
	int status;
	const char *type;
	const char *code;
	int retry_after_s; /* 0: no Retry-After header */
} api_error_t;

const api_error_t *api_error_get(api_error_id_t id);

/* Completes the exchange with the error. A positive retry_after_s overrides
 * the default of the error. */
void api_error_reply(http_exchange_t *exchange, api_error_id_t id,
		     work_state_t work, int retry_after_s, const char *message);

/* Returns the JSON body; the caller releases it with free(). */
char *api_error_body(api_error_id_t id, work_state_t work, const char *message);

#endif
