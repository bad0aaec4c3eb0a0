#include "entry/request_json.h"

#include "object/json_slice.h"

json_t *request_json_load(const memory_budget_t *memory, const char *body,
			  size_t len, size_t flags, api_error_id_t *error,
			  const char **message)
{
	const json_slice_t slice = { body, len };
	json_t *root;

	if (json_slice_decoded_bytes(slice) > memory_budget_limit(memory)) {
		*error = API_TOO_LARGE;
		*message = "the body has too many values";
		return NULL;
	}
	root = json_loadb(body, len, flags, NULL);
	if (json_is_object(root))
		return root;
	json_decref(root);
	*error = API_INVALID_JSON;
	*message = "the body is not a JSON object";
	return NULL;
}
