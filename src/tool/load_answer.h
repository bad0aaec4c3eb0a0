#ifndef WASABILINK_TOOL_LOAD_ANSWER_H
#define WASABILINK_TOOL_LOAD_ANSWER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * load_answer - checks that an answer of the engine emulator is whole and
 * belongs to its prompt, token by token as it arrives.
 */
typedef struct load_answer {
	uint32_t seed;
	int64_t length; /* tokens of the whole answer */
	int64_t received; /* tokens */
	int64_t events; /* with content */
	bool check; /* compare the content */
	bool wrong;
	bool ended; /* end marker seen */
	GString *rest; /* incomplete line */
	GString *expected; /* scratch */
} load_answer_t;

void load_answer_init(load_answer_t *answer, const char *prompt,
		      int64_t max_tokens, bool check);
void load_answer_clear(load_answer_t *answer);
/* Part of a stream; returns the number of events with content in it. */
int64_t load_answer_feed(load_answer_t *answer, const char *data, size_t len);
/* A whole answer's body. */
void load_answer_whole(load_answer_t *answer, const char *body, size_t len);
/* Whether all of the answer has arrived. */
bool load_answer_complete(const load_answer_t *answer);

#endif
