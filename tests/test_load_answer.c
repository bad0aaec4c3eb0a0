#include "tool/load_answer.h"

#include <string.h>

#include "emulator/answer.h"
#include "unit.h"

#define PROMPT "user\nkoi\n"
#define TOKENS 5

static GString *stream_of(int64_t from, int64_t to, gboolean with_end)
{
	GString *out = g_string_new(NULL);

	for (int64_t i = from; i < to; i++) {
		g_string_append(out, "data: {\"choices\":[{\"delta\":{"
				     "\"content\":\"");
		answer_append_token(answer_seed(PROMPT), i, out);
		g_string_append(out, "\"}}]}\n\n");
	}
	if (with_end)
		g_string_append(out, "data: [DONE]\n\n");
	return out;
}

/* Feeds a stream in pieces of this size. */
static load_answer_t check_stream(GString *text, size_t piece)
{
	load_answer_t answer;

	load_answer_init(&answer, PROMPT, TOKENS, true);
	for (size_t at = 0; at < text->len; at += piece)
		load_answer_feed(&answer, text->str + at,
				 MIN(piece, text->len - at));
	g_string_free(text, TRUE);
	load_answer_clear(&answer);
	return answer;
}

/* Events may be split at any byte. */
static void test_whole_stream_in_any_pieces(void)
{
	static const size_t pieces[] = { 1, 7, 64, 100000 };

	for (size_t i = 0; i < G_N_ELEMENTS(pieces); i++) {
		load_answer_t answer =
			check_stream(stream_of(0, TOKENS, TRUE), pieces[i]);

		CU_ASSERT(load_answer_complete(&answer));
		CU_ASSERT_FALSE(answer.wrong);
		CU_ASSERT_EQUAL(answer.events, TOKENS);
	}
}

/* A cut, a lost token and a repeated token must not pass as whole. */
static void test_damaged_streams(void)
{
	load_answer_t cut = check_stream(stream_of(0, TOKENS, FALSE), 50);
	load_answer_t late = check_stream(stream_of(1, TOKENS, TRUE), 50);
	load_answer_t shorter = check_stream(stream_of(0, 3, TRUE), 50);
	GString *twice = stream_of(0, 2, FALSE);
	GString *rest = stream_of(1, TOKENS, TRUE);
	load_answer_t repeated;

	g_string_append(twice, rest->str);
	g_string_free(rest, TRUE);
	repeated = check_stream(twice, 50);
	CU_ASSERT_FALSE(load_answer_complete(&cut));
	CU_ASSERT(late.wrong);
	CU_ASSERT_FALSE(load_answer_complete(&shorter));
	CU_ASSERT(repeated.wrong);
}

/* The answer to another prompt must be recognised. */
static void test_answer_of_another_request(void)
{
	load_answer_t answer;
	GString *body = g_string_new("{\"content\":\"");

	for (int64_t i = 0; i < TOKENS; i++)
		answer_append_token(answer_seed(PROMPT), i, body);
	g_string_append(body, "\"}");
	load_answer_init(&answer, PROMPT, TOKENS, true);
	load_answer_whole(&answer, body->str, body->len);
	CU_ASSERT(load_answer_complete(&answer) && !answer.wrong);
	load_answer_clear(&answer);
	load_answer_init(&answer, "user\ncarp\n", TOKENS, true);
	load_answer_whole(&answer, body->str, body->len);
	CU_ASSERT(answer.wrong);
	load_answer_clear(&answer);
	g_string_free(body, TRUE);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "whole stream in any pieces",
		  test_whole_stream_in_any_pieces },
		{ "damaged streams", test_damaged_streams },
		{ "answer of another request", test_answer_of_another_request },
		{ NULL, NULL },
	};

	return unit_run("load_answer", tests);
}
