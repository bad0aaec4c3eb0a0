#include "tool/load_answer.h"

#include <string.h>

#include "emulator/answer.h"

static const char data_field[] = "data: ";
static const char content_member[] = "\"content\":";

void load_answer_init(load_answer_t *answer, const char *prompt,
		      int64_t max_tokens, bool check)
{
	*answer = (load_answer_t){ .check = check };
	answer->seed = answer_seed(prompt);
	answer->length = answer_length(prompt, max_tokens);
	answer->rest = g_string_new(NULL);
	answer->expected = g_string_new(NULL);
}

void load_answer_clear(load_answer_t *answer)
{
	g_string_free(answer->rest, TRUE);
	g_string_free(answer->expected, TRUE);
}

/* Finds the value of "content"; the emulator's tokens need no escapes. */
static const char *find_content(const char *text, size_t len, size_t *found_len)
{
	const char *end = text + len;
	const char *at =
		memmem(text, len, content_member, sizeof(content_member) - 1);
	const char *quote;

	if (!at)
		return NULL;
	at += sizeof(content_member) - 1;
	while (at < end && *at == ' ')
		at++;
	if (at >= end || *at != '"')
		return NULL;
	at++;
	quote = memchr(at, '"', end - at);
	if (!quote)
		return NULL;
	*found_len = quote - at;
	return at;
}

static void take_token(load_answer_t *answer, const char *text, size_t len)
{
	if (answer->check) {
		g_string_truncate(answer->expected, 0);
		answer_append_token(answer->seed, answer->received,
				    answer->expected);
		if (answer->expected->len != len ||
		    memcmp(answer->expected->str, text, len) != 0)
			answer->wrong = true;
	}
	answer->received++;
}

/* Returns 1 for an event with content. */
static int64_t take_line(load_answer_t *answer, const char *line, size_t len)
{
	const char *content;
	size_t content_len;

	if (len < sizeof(data_field) - 1 ||
	    memcmp(line, data_field, sizeof(data_field) - 1) != 0)
		return 0;
	line += sizeof(data_field) - 1;
	len -= sizeof(data_field) - 1;
	if (len == 6 && memcmp(line, "[DONE]", 6) == 0) {
		answer->ended = true;
		return 0;
	}
	content = find_content(line, len, &content_len);
	if (!content || content_len == 0)
		return 0;
	take_token(answer, content, content_len);
	return 1;
}

int64_t load_answer_feed(load_answer_t *answer, const char *data, size_t len)
{
	const char *end = data + len;
	int64_t events = 0;

	while (data < end) {
		const char *newline = memchr(data, '\n', end - data);

		if (!newline) {
			g_string_append_len(answer->rest, data, end - data);
			break;
		}
		if (answer->rest->len > 0) {
			g_string_append_len(answer->rest, data, newline - data);
			events += take_line(answer, answer->rest->str,
					    answer->rest->len);
			g_string_truncate(answer->rest, 0);
		} else {
			events += take_line(answer, data, newline - data);
		}
		data = newline + 1;
	}
	answer->events += events;
	return events;
}

void load_answer_whole(load_answer_t *answer, const char *body, size_t len)
{
	size_t content_len;
	const char *content = find_content(body, len, &content_len);
	const char *end = content ? content + content_len : NULL;

	if (!content) {
		answer->wrong = answer->check;
		return;
	}
	while (content < end) {
		const char *blank = memchr(content, ' ', end - content);
		const char *next = blank ? blank + 1 : end;

		take_token(answer, content, next - content);
		content = next;
	}
	answer->ended = true;
}

bool load_answer_complete(const load_answer_t *answer)
{
	return answer->ended &&
	       (!answer->check || answer->received == answer->length);
}
