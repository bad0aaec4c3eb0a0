#include "batch/result.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

GBytes *result_build(uint32_t first, const result_line_t *lines, uint32_t count,
		     uint32_t *taken)
{
	GString *errors = g_string_new(NULL);
	GString *output = g_string_new(NULL);
	GString *object = g_string_new(NULL);
	uint32_t completed = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (i > 0 && output->len + errors->len + lines[i].len >
				     RESULT_LINE_MAX_BYTES)
			break;
		g_string_append_len(lines[i].is_error ? errors : output,
				    lines[i].text, (gssize)lines[i].len);
		completed += !lines[i].is_error;
	}
	*taken = i;
	g_string_append_printf(object,
			       "{\"first\":%u,\"count\":%u,\"completed\":%u,"
			       "\"failed\":%u,\"output_bytes\":%zu,"
			       "\"error_bytes\":%zu}\n",
			       first, i, completed, i - completed, output->len,
			       errors->len);
	g_string_append_len(object, output->str, (gssize)output->len);
	g_string_append_len(object, errors->str, (gssize)errors->len);
	g_string_free(output, TRUE);
	g_string_free(errors, TRUE);
	return g_string_free_to_bytes(object);
}

gboolean result_parse(const char *data, size_t len, result_t *result,
		      GError **error)
{
	const char *end = memchr(data, '\n', len);
	json_t *root =
		end ? json_loadb(data, (size_t)(end - data), 0, NULL) : NULL;
	json_int_t first = -1, count = 0, completed = 0, failed = 0;
	json_int_t output = 0, errors = 0;
	size_t body = end ? len - (size_t)(end + 1 - data) : 0;
	gboolean ok;

	ok = root && json_unpack(root, "{s:I, s:I, s:I, s:I, s:I, s:I}",
				 "first", &first, "count", &count, "completed",
				 &completed, "failed", &failed, "output_bytes",
				 &output, "error_bytes", &errors) == 0;
	json_decref(root);
	ok = ok && first >= 0 && count > 0 && completed >= 0 && failed >= 0 &&
	     completed + failed == count && output >= 0 && errors >= 0 &&
	     (uint64_t)output + (uint64_t)errors == body;
	if (!ok) {
		g_set_error_literal(
			error, WL_ERROR, WL_ERROR_PROTOCOL,
			"the object does not contain valid chunk results");
		return FALSE;
	}
	result->first = (uint32_t)first;
	result->count = (uint32_t)count;
	result->completed = (uint32_t)completed;
	result->failed = (uint32_t)failed;
	result->output = end + 1;
	result->output_len = (size_t)output;
	result->errors = end + 1 + output;
	result->errors_len = (size_t)errors;
	return TRUE;
}

char *result_key(const char *job, uint32_t first)
{
	return g_strdup_printf("result/%s/%08u", job, first);
}

int64_t result_key_first(const char *key)
{
	const char *slash = strrchr(key, '/');
	char *end;
	uint64_t first;

	if (!slash || !g_ascii_isdigit(slash[1]))
		return -1;
	first = g_ascii_strtoull(slash + 1, &end, 10);
	return *end || first > UINT32_MAX ? -1 : (int64_t)first;
}

static char *dump_line(json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);
	char *line = g_strconcat(text ? text : "{}", "\n", NULL);

	free(text);
	json_decref(root);
	return line;
}

char *result_output_line(const char *custom_id, const char *request_id,
			 json_t *body)
{
	return dump_line(json_pack("{s:s, s:s, s:{s:i, s:s, s:o}, s:n}", "id",
				   request_id, "custom_id", custom_id,
				   "response", "status_code", 200, "request_id",
				   request_id, "body", body, "error"));
}

char *result_error_line(const char *custom_id, const char *request_id,
			const char *code, const char *message)
{
	return dump_line(json_pack("{s:s, s:s, s:n, s:{s:s, s:s}}", "id",
				   request_id, "custom_id", custom_id,
				   "response", "error", "code", code, "message",
				   message));
}
