#include "entry/chat_request.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "coord/hedge.h"
#include "coord/rendezvous.h"
#include "entry/request_json.h"

#define MAX_DEADLINE_MS 86400000
/* Estimate for a request that does not limit its output tokens. */
#define DEFAULT_OUTPUT_TOKENS 256
#define BYTES_PER_TOKEN 4
/* Prefill costs far less per token than decoding. */
#define PROMPT_TOKENS_PER_WORK 16
/* Engines cache prompts in blocks; shorter prompts do not gain from the
 * cache. */
#define PREFIX_BYTES 256
#define PART_HASH_SEED 3

static bool parse_deadline(const char *value, int64_t *deadline_ms)
{
	char *end;

	if (!g_ascii_isdigit(value[0]))
		return false;
	*deadline_ms = g_ascii_strtoll(value, &end, 10);
	return *end == '\0' && *deadline_ms > 0 &&
	       *deadline_ms <= MAX_DEADLINE_MS;
}

static bool is_valid_key(const char *key)
{
	size_t len = strlen(key);

	if (len == 0 || len > CHAT_REQUEST_KEY_MAX)
		return false;
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isprint(key[i]))
			return false;
	return true;
}

bool chat_request_read_headers(const http_exchange_t *exchange, char **key,
			       bool *once, int64_t *deadline_ms,
			       api_error_id_t *error, const char **message)
{
	const char *idempotent =
		http_header(exchange, "X-Wasabilink-Idempotent");
	const char *deadline = http_header(exchange, "X-Request-Deadline-Ms");
	const char *given_key = http_header(exchange, "Idempotency-Key");

	*error = API_INVALID_REQUEST;
	if (deadline && !parse_deadline(deadline, deadline_ms)) {
		*message = "X-Request-Deadline-Ms is not a number of "
			   "milliseconds up to one day";
		return false;
	}
	if (idempotent && g_ascii_strcasecmp(idempotent, "true") != 0 &&
	    g_ascii_strcasecmp(idempotent, "false") != 0) {
		*message = "X-Wasabilink-Idempotent is neither true nor false";
		return false;
	}
	if (given_key && !is_valid_key(given_key)) {
		*message = "Idempotency-Key must have 1 to 255 printable "
			   "characters";
		return false;
	}
	*once = *once ||
		(idempotent && g_ascii_strcasecmp(idempotent, "false") == 0);
	if (*once && !given_key) {
		*error = API_IDEMPOTENCY_KEY_REQUIRED;
		*message = "a request that may run only once needs an "
			   "Idempotency-Key";
		return false;
	}
	*key = g_strdup(given_key);
	return true;
}

/* The digest leaves out the streaming options: a resend may ask for the
 * recorded result as a stream or as one body, whatever the first request asked
 * for. */
static void digest_content(json_t *root, char *digest)
{
	json_t *content = json_copy(root);
	char *text;
	char *hex;

	json_object_del(content, "stream");
	json_object_del(content, "stream_options");
	text = json_dumps(content, JSON_COMPACT | JSON_SORT_KEYS);
	hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);
	memcpy(digest, hex, CHAT_REQUEST_DIGEST_HEX + 1);
	g_free(hex);
	free(text);
	json_decref(content);
}

static uint64_t hash_prefix(json_t *messages)
{
	json_t *first = json_array_get(messages, 0);
	json_t *content = json_object_get(first, "content");
	size_t len = json_string_length(content);

	if (len < PREFIX_BYTES)
		return 0;
	return rendezvous_hash(json_string_value(content), PREFIX_BYTES, 2);
}

/* Adds a hash of each message that other requests may share, and one of the
 * whole prompt. */
static void read_parts(const json_t *messages, prompt_parts_t *parts)
{
	size_t count = json_array_size(messages);
	uint64_t whole = 0;
	const json_t *message;
	size_t i;

	json_array_foreach(messages, i, message) {
		char *text = json_dumps(message, JSON_COMPACT | JSON_SORT_KEYS);
		uint64_t hash;

		if (!text)
			continue;
		hash = rendezvous_hash(text, strlen(text), PART_HASH_SEED);
		whole = rendezvous_hash((const char *)&hash, sizeof(hash),
					whole);
		if (i + 1 < count)
			prompt_parts_add(parts, hash);
		free(text);
	}
	prompt_parts_add_request(parts, whole);
}

static int64_t output_tokens(json_t *root)
{
	json_t *max = json_object_get(root, "max_completion_tokens");
	int64_t tokens;

	if (!json_is_integer(max))
		max = json_object_get(root, "max_tokens");
	tokens = json_integer_value(max);
	return tokens > 0 ? MIN(tokens, INT32_MAX / 2) : DEFAULT_OUTPUT_TOKENS;
}

static bool read_body(json_t *root, size_t len, chat_request_t *request,
		      const char **message)
{
	json_t *model = json_object_get(root, "model");
	json_t *messages = json_object_get(root, "messages");
	json_t *stream = json_object_get(root, "stream");
	int64_t tokens = output_tokens(root);

	if (!json_is_string(model)) {
		*message = "model is missing or not a string";
		return false;
	}
	if (!json_is_array(messages) || json_array_size(messages) == 0) {
		*message = "messages is missing or not a list";
		return false;
	}
	if (stream && !json_is_boolean(stream) && !json_is_null(stream)) {
		*message = "stream is not a boolean";
		return false;
	}
	request->model = g_strdup(json_string_value(model));
	request->stream = json_is_true(stream);
	request->work = (uint32_t)(tokens + (int64_t)len / BYTES_PER_TOKEN /
						    PROMPT_TOKENS_PER_WORK);
	request->class_index = hedge_class(request->stream, tokens);
	request->prefix_hash = hash_prefix(messages);
	read_parts(messages, &request->parts);
	if (request->key)
		digest_content(root, request->digest);
	return true;
}

bool chat_request_read(http_exchange_t *exchange, const memory_budget_t *memory,
		       chat_request_t *request, api_error_id_t *error,
		       const char **message)
{
	size_t len;
	const char *body = http_body(exchange, &len);
	json_t *root;
	bool valid;

	if (!chat_request_read_headers(exchange, &request->key, &request->once,
				       &request->deadline_ms, error, message))
		return false;
	root = request_json_load(memory, body, len, JSON_REJECT_DUPLICATES,
				 error, message);
	if (!root)
		return false;
	*error = API_INVALID_REQUEST;
	valid = read_body(root, len, request, message);
	json_decref(root);
	return valid;
}

void chat_request_clear(chat_request_t *request)
{
	g_free(request->model);
	g_free(request->key);
}
