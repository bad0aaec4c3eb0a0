#include "emulator/answer.h"

#include <inttypes.h>
#include <string.h>

static void append_content(const json_t *content, GString *out)
{
	size_t i;
	const json_t *part;

	if (json_is_string(content)) {
		g_string_append(out, json_string_value(content));
		return;
	}
	json_array_foreach(content, i, part) {
		const char *text =
			json_string_value(json_object_get(part, "text"));

		g_string_append(out, text ? text : "");
	}
}

char *answer_prompt(const json_t *messages)
{
	GString *prompt = g_string_new(NULL);
	size_t i;
	const json_t *message;

	json_array_foreach(messages, i, message) {
		const char *role =
			json_string_value(json_object_get(message, "role"));

		g_string_append(prompt, role ? role : "");
		g_string_append_c(prompt, '\n');
		append_content(json_object_get(message, "content"), prompt);
		g_string_append_c(prompt, '\n');
	}
	return g_string_free(prompt, FALSE);
}

uint32_t answer_seed(const char *prompt)
{
	return g_str_hash(prompt);
}

int64_t answer_length(const char *prompt, int64_t max_tokens)
{
	int64_t length = max_tokens > 0 ? max_tokens : ANSWER_DEFAULT_TOKENS;

	length = MIN(length, ANSWER_MAX_TOKENS);
	if (strstr(prompt, "[long]"))
		length *= ANSWER_LONG_FACTOR;
	return MIN(length, ANSWER_MAX_TOKENS);
}

void answer_append_token(uint32_t seed, int64_t n, GString *out)
{
	/* Mixes both inputs, so that neighbouring answers share no run. */
	uint32_t mixed = (seed ^ ((uint32_t)n * 2246822519U)) * 2654435761U;

	g_string_append_printf(out, "w%" PRIu32 " ", mixed >> 16);
}
