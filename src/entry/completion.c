#include "entry/completion.h"

#include <string.h>

#include "backend/sse.h"

static void append_text(json_t *object, const char *name, json_t *piece)
{
	const char *old = json_string_value(json_object_get(object, name));
	char *joined;

	if (!json_is_string(piece))
		return;
	joined = g_strconcat(old ? old : "", json_string_value(piece), NULL);
	json_object_set_new(object, name, json_string(joined));
	g_free(joined);
}

/* Returns the array's element whose member `index` has the value; adds it if
 * there is none. */
static json_t *element_by_index(json_t *array, json_int_t index)
{
	json_t *element;
	size_t i;

	json_array_foreach(array, i, element) {
		json_t *own = json_object_get(element, "index");

		if (json_integer_value(own) == index)
			return element;
	}
	element = json_pack("{s:I}", "index", index);
	json_array_append_new(array, element);
	return element;
}

static json_t *member_of_type(json_t *object, const char *name, json_t *fresh)
{
	json_t *value = json_object_get(object, name);

	if (value && json_typeof(value) == json_typeof(fresh)) {
		json_decref(fresh);
		return value;
	}
	json_object_set_new(object, name, fresh);
	return fresh;
}

static void merge_delta(json_t *message, json_t *delta);

static void merge_tool_calls(json_t *message, json_t *calls)
{
	json_t *merged = member_of_type(message, "tool_calls", json_array());
	json_t *call;
	size_t i;

	json_array_foreach(calls, i, call) {
		json_t *index = json_object_get(call, "index");

		merge_delta(element_by_index(merged, json_integer_value(index)),
			    call);
	}
}

/* Strings are concatenated over the events, except identifiers, which are
 * complete in one event. */
static void merge_delta(json_t *message, json_t *delta)
{
	static const char *const identifiers[] = { "role", "id", "type" };
	const char *name;
	json_t *value;

	json_object_foreach(delta, name, value) {
		bool is_identifier = false;

		for (size_t i = 0; i < G_N_ELEMENTS(identifiers); i++)
			is_identifier = is_identifier ||
					strcmp(name, identifiers[i]) == 0;
		if (strcmp(name, "tool_calls") == 0)
			merge_tool_calls(message, value);
		else if (json_is_object(value))
			merge_delta(
				member_of_type(message, name, json_object()),
				value);
		else if (json_is_string(value) && !is_identifier)
			append_text(message, name, value);
		else if (!json_is_null(value))
			json_object_set(message, name, value);
	}
}

static void merge_choice(json_t *choices, json_t *piece)
{
	json_t *index = json_object_get(piece, "index");
	json_t *choice = element_by_index(choices, json_integer_value(index));
	json_t *finish = json_object_get(piece, "finish_reason");
	json_t *message = member_of_type(choice, "message", json_object());

	merge_delta(message, json_object_get(piece, "delta"));
	if (json_is_string(finish))
		json_object_set(choice, "finish_reason", finish);
}

static void merge_event(json_t *response, json_t *event)
{
	json_t *choices = json_object_get(response, "choices");
	const char *name;
	json_t *value;
	size_t i;

	json_object_foreach(event, name, value) {
		if (strcmp(name, "choices") != 0 && !json_is_null(value))
			json_object_set(response, name, value);
	}
	json_array_foreach(json_object_get(event, "choices"), i, value)
		merge_choice(choices, value);
}

/* Adds the members that a response must have and a stream may leave out. */
static void complete_choices(json_t *choices)
{
	json_t *choice;
	size_t i;

	json_array_foreach(choices, i, choice) {
		json_t *message = json_object_get(choice, "message");

		if (!json_object_get(message, "role"))
			json_object_set_new(message, "role",
					    json_string("assistant"));
		if (!json_object_get(message, "content"))
			json_object_set_new(
				message, "content",
				json_object_get(message, "tool_calls") ?
					json_null() :
					json_string(""));
	}
}

char *completion_from_events(const char *events, size_t len)
{
	json_t *response = json_pack("{s:[]}", "choices");
	const char *payload;
	size_t payload_len;
	size_t consumed;
	char *text = NULL;
	bool valid = true;

	while (valid && len > 0) {
		bool has_data = sse_next_payload(events, len, &payload,
						 &payload_len, &consumed);
		json_t *event =
			has_data ? json_loadb(payload, payload_len, 0, NULL) :
				   NULL;

		valid = consumed > 0 && (!has_data || event);
		merge_event(response, event);
		json_decref(event);
		events += consumed;
		len -= MIN(consumed, len);
	}
	if (valid) {
		complete_choices(json_object_get(response, "choices"));
		json_object_set_new(response, "object",
				    json_string("chat.completion"));
		text = json_dumps(response, JSON_COMPACT);
	}
	json_decref(response);
	return text;
}

static void write_event(GString *out, json_t *response, json_t *choices)
{
	json_t *event = json_copy(response);
	char *text;

	json_object_set_new(event, "object",
			    json_string("chat.completion.chunk"));
	json_object_set_new(event, "choices", choices);
	text = json_dumps(event, JSON_COMPACT);
	g_string_append_printf(out, "data: %s\n\n", text);
	free(text);
	json_decref(event);
}

/* The streaming format requires an index in each tool call of a delta. */
static void number_tool_calls(json_t *delta)
{
	json_t *call;
	size_t i;

	json_array_foreach(json_object_get(delta, "tool_calls"), i, call) {
		if (!json_object_get(call, "index"))
			json_object_set_new(call, "index",
					    json_integer((json_int_t)i));
	}
}

GString *completion_to_events(const char *response, size_t len)
{
	json_t *root = json_loadb(response, len, 0, NULL);
	json_t *choices = json_object_get(root, "choices");
	json_t *deltas = json_array();
	json_t *ends = json_array();
	json_t *choice;
	GString *out;
	size_t i;

	if (!json_is_array(choices)) {
		json_decref(root);
		json_decref(deltas);
		json_decref(ends);
		return NULL;
	}
	json_array_foreach(choices, i, choice) {
		json_t *delta =
			json_deep_copy(json_object_get(choice, "message"));
		const char *finish = json_string_value(
			json_object_get(choice, "finish_reason"));

		number_tool_calls(delta);
		json_array_append_new(deltas,
				      json_pack("{s:I, s:o, s:n}", "index",
						(json_int_t)i, "delta",
						delta ? delta : json_object(),
						"finish_reason"));
		json_array_append_new(
			ends, json_pack("{s:I, s:{}, s:s}", "index",
					(json_int_t)i, "delta", "finish_reason",
					finish ? finish : "stop"));
	}
	out = g_string_new(NULL);
	write_event(out, root, deltas);
	write_event(out, root, ends);
	g_string_append(out, "data: [DONE]\n\n");
	json_decref(root);
	return out;
}

int64_t completion_total_tokens(const char *response, size_t len)
{
	static const char member[] = "\"total_tokens\":";
	const char *at = memmem(response, len, member, strlen(member));

	/* The body is NUL-terminated behind len. */
	return at ? g_ascii_strtoll(at + strlen(member), NULL, 10) : 0;
}
