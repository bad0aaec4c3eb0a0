#ifndef WASABILINK_EMULATOR_ANSWER_H
#define WASABILINK_EMULATOR_ANSWER_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/*
 * answer - the emulated model: token n of an answer is a function of the
 * prompt and n, so that a test can check a whole or a resumed answer.
 *
 * A prompt that holds "[long]" makes the answer ANSWER_LONG_FACTOR times
 * longer.
 */
#define ANSWER_DEFAULT_TOKENS 16
#define ANSWER_MAX_TOKENS 1000000
#define ANSWER_LONG_FACTOR 50

/* The prompt: "role\ncontent\n" of each message. Free with g_free(). */
char *answer_prompt(const json_t *messages);
uint32_t answer_seed(const char *prompt);
/* Length of the answer in tokens; max_tokens 0 means the default. */
int64_t answer_length(const char *prompt, int64_t max_tokens);
/* A token is a word and a blank; it needs no escaping in JSON. */
void answer_append_token(uint32_t seed, int64_t n, GString *out);

#endif
