#include "entry/completion.h"

#include <string.h>

#include "unit.h"

static const char events[] =
	"data: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{\"role\":"
	"\"assistant\",\"content\":\"a \"},\"finish_reason\":null}]}\n\n"
	"data: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{\"content\":"
	"\"b\"}}]}\n\n"
	"data: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{},"
	"\"finish_reason\":\"length\"}],\"usage\":{\"total_tokens\":7}}\n\n";

static const char tool_events[] =
	"data: {\"choices\":[{\"index\":0,\"delta\":{\"tool_calls\":[{\"index\""
	":0,\"id\":\"c1\",\"type\":\"function\",\"function\":{\"name\":\"mix\","
	"\"arguments\":\"{\\\"a\\\"\"}}]}}]}\n\n"
	"data: {\"choices\":[{\"index\":0,\"delta\":{\"tool_calls\":[{\"index\""
	":0,\"function\":{\"arguments\":\":1}\"}}]},\"finish_reason\":"
	"\"tool_calls\"}]}\n\n";

static json_t *first_choice(json_t *root)
{
	return json_array_get(json_object_get(root, "choices"), 0);
}

static const char *text_of(json_t *choice, const char *name)
{
	json_t *message = json_object_get(choice, "message");

	return json_string_value(json_object_get(message, name));
}

/* A resend that does not ask for a stream must get the text of the recorded
 * stream. */
static void test_join_events(void)
{
	char *text = completion_from_events(events, strlen(events));
	json_t *root = json_loads(text, 0, NULL);
	json_t *choice = first_choice(root);

	CU_ASSERT_STRING_EQUAL(text_of(choice, "content"), "a b");
	CU_ASSERT_STRING_EQUAL(text_of(choice, "role"), "assistant");
	CU_ASSERT_STRING_EQUAL(
		json_string_value(json_object_get(choice, "finish_reason")),
		"length");
	CU_ASSERT_EQUAL(completion_total_tokens(text, strlen(text)), 7);
	json_decref(root);
	free(text);
}

static void test_join_tool_calls(void)
{
	char *text = completion_from_events(tool_events, strlen(tool_events));
	json_t *root = json_loads(text, 0, NULL);
	json_t *message = json_object_get(first_choice(root), "message");
	json_t *call =
		json_array_get(json_object_get(message, "tool_calls"), 0);
	json_t *function = json_object_get(call, "function");

	CU_ASSERT_STRING_EQUAL(
		json_string_value(json_object_get(function, "arguments")),
		"{\"a\":1}");
	CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(call, "id")),
			       "c1");
	json_decref(root);
	free(text);
}

/* Conversion of a recorded response to a stream and back must not change
 * it. */
static void test_round_trip(void)
{
	const char *const sources[] = { events, tool_events };

	for (size_t i = 0; i < G_N_ELEMENTS(sources); i++) {
		char *text =
			completion_from_events(sources[i], strlen(sources[i]));
		GString *stream = completion_to_events(text, strlen(text));
		size_t len = stream->len - strlen("data: [DONE]\n\n");
		char *rejoined = completion_from_events(stream->str, len);
		json_t *expected = json_loads(text, 0, NULL);
		json_t *actual = json_loads(rejoined, 0, NULL);

		CU_ASSERT_TRUE(
			g_str_has_suffix(stream->str, "\n\ndata: [DONE]\n\n"));
		CU_ASSERT_TRUE(json_equal(expected, actual));
		json_decref(expected);
		json_decref(actual);
		g_string_free(stream, TRUE);
		free(rejoined);
		free(text);
	}
}

static void test_malformed(void)
{
	CU_ASSERT_PTR_NULL(completion_from_events("data: {\n\n", 9));
	CU_ASSERT_PTR_NULL(completion_from_events("data: {}", 8));
	CU_ASSERT_PTR_NULL(completion_to_events("{}", 2));
	CU_ASSERT_PTR_NULL(completion_to_events("not json", 8));
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "join events", test_join_events },
		{ "join tool calls", test_join_tool_calls },
		{ "round trip", test_round_trip },
		{ "malformed", test_malformed },
		{ NULL, NULL },
	};

	return unit_run("completion", tests);
}
