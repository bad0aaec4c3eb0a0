#ifndef WASABILINK_ENTRY_REQUEST_JSON_H
#define WASABILINK_ENTRY_REQUEST_JSON_H

#include <jansson.h>

#include "base/memory_budget.h"
#include "entry/api_error.h"

/*
 * request_json - decodes the JSON body of a request.
 *
 * Many small values take much more than their text, so that a body is decoded
 * only if there is room for what it becomes.
 */
/* flags are those of json_loadb(). Returns NULL with the error to send; *message
 * is a static string. */
json_t *request_json_load(const memory_budget_t *memory, const char *body,
			  size_t len, size_t flags, api_error_id_t *error,
			  const char **message);

#endif
