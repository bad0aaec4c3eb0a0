#include "backend/sse.h"

#include <string.h>

#include "unit.h"

static const char stream[] =
	"data: {\"choices\":[{\"delta\":{\"content\":\"a\"},"
	"\"finish_reason\":null}]}\n\n"
	"data: {\"choices\":[{\"delta\":{},\"finish_reason\": \"stop\"}]}\n\n"
	"data: [DONE]\n\n";

static void collect(const char *events, size_t len, void *user_data)
{
	g_string_append_len(user_data, events, (gssize)len);
}

/*
 * An event that is split at any byte must be passed on complete and only once.
 */
static void test_every_split(void)
{
	size_t len = strlen(stream);
	size_t marker = strlen("data: [DONE]\n\n");

	for (size_t split = 0; split <= len; split++) {
		GString *out = g_string_new(NULL);
		sse_t sse;

		sse_init(&sse);
		sse_feed(&sse, stream, split, collect, out);
		CU_ASSERT(out->len == 0 || g_str_has_suffix(out->str, "\n\n"));
		CU_ASSERT_EQUAL(sse_is_complete(&sse), split == len);
		sse_feed(&sse, stream + split, len - split, collect, out);
		CU_ASSERT_TRUE(sse_is_complete(&sse));
		CU_ASSERT_EQUAL(sse.events, 2);
		CU_ASSERT_EQUAL(out->len, len - marker);
		sse_clear(&sse);
		g_string_free(out, TRUE);
	}
}

static bool is_complete(const char *text)
{
	GString *out = g_string_new(NULL);
	bool complete;
	sse_t sse;

	sse_init(&sse);
	sse_feed(&sse, text, strlen(text), collect, out);
	complete = sse_is_complete(&sse);
	sse_clear(&sse);
	g_string_free(out, TRUE);
	return complete;
}

/* A truncated stream must never count as complete. */
static void test_incomplete_streams(void)
{
	CU_ASSERT_FALSE(is_complete(""));
	CU_ASSERT_FALSE(is_complete("data: [DONE]\n\n"));
	CU_ASSERT_FALSE(is_complete("data: {\"choices\":[{\"finish_reason\":"
				    "\"stop\"}]}\n\n"));
	CU_ASSERT_FALSE(is_complete("data: {\"choices\":[{\"finish_reason\":"
				    "\"stop\"}]}\n\ndata: [DONE]\n"));
	CU_ASSERT_FALSE(is_complete("data: {\"choices\":[{\"finish_reason\":"
				    "\"stop\"}]}\n\ndata: {\"error\":{}}\n\n"
				    "data: [DONE]\n\n"));
	CU_ASSERT_TRUE(is_complete("data:{\"choices\":[{\"finish_reason\":"
				   "\"stop\"}]}\r\n\r\ndata:[DONE]\r\n\r\n"));
}

/*
 * Text in the content of a response must not be taken for the finish_reason
 * member.
 */
static void test_finish_reason_in_content(void)
{
	CU_ASSERT_FALSE(
		is_complete("data: {\"choices\":[{\"delta\":{\"content\":"
			    "\"\\\"finish_reason\\\":\\\"stop\\\"\"},"
			    "\"finish_reason\":null}]}\n\n"
			    "data: [DONE]\n\n"));
}

static void test_payloads(void)
{
	static const char events[] =
		": comment\n\nevent: x\ndata: {\"a\":1}\n\n";
	const char *payload;
	size_t payload_len;
	size_t consumed;

	CU_ASSERT_FALSE(sse_next_payload(events, strlen(events), &payload,
					 &payload_len, &consumed));
	CU_ASSERT_EQUAL(consumed, 11);
	CU_ASSERT_TRUE(sse_next_payload(events + consumed,
					strlen(events) - consumed, &payload,
					&payload_len, &consumed));
	CU_ASSERT_EQUAL(payload_len, 7);
	CU_ASSERT_EQUAL(memcmp(payload, "{\"a\":1}", 7), 0);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "every split", test_every_split },
		{ "incomplete streams", test_incomplete_streams },
		{ "finish reason in content", test_finish_reason_in_content },
		{ "payloads", test_payloads },
		{ NULL, NULL },
	};

	return unit_run("sse", tests);
}
