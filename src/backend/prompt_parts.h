#ifndef WASABILINK_BACKEND_PROMPT_PARTS_H
#define WASABILINK_BACKEND_PROMPT_PARTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * prompt_parts - the parts of a prompt that a request shares with others.
 *
 * A prompt consists of parts in order; requests with the same first parts share
 * them. The last part belongs to the request alone and is left out. Parts beyond
 * PROMPT_PARTS_MAX are left out too. Whoever runs a request more than once adds
 * its id, so that a request that crashes runners by itself is found, too.
 */
#define PROMPT_PARTS_MAX 9
/* Size in bytes of the text of prompt_parts_print(). */
#define PROMPT_PARTS_TEXT_MAX (PROMPT_PARTS_MAX * 17 + 2)

typedef struct prompt_parts {
	uint64_t ids[PROMPT_PARTS_MAX];
	uint32_t count;
	bool has_request; /* the last id is the request's */
} prompt_parts_t;

/* Depth of a request's own id, deeper than each part. */
#define PROMPT_DEPTH_REQUEST PROMPT_PARTS_MAX

void prompt_parts_add(prompt_parts_t *parts, uint64_t id);
/* Adds the request's own id; to be called last. */
void prompt_parts_add_request(prompt_parts_t *parts, uint64_t id);
/* Position of an id in the prompt, or PROMPT_DEPTH_REQUEST. */
uint32_t prompt_parts_depth(const prompt_parts_t *parts, uint32_t index);
bool prompt_parts_contain(const prompt_parts_t *parts, uint64_t id);
/* Writes the ids in hexadecimal, separated by commas, or "-". */
void prompt_parts_print(const prompt_parts_t *parts, char *text, size_t size);

#endif
