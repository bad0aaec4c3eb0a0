#include "backend/prompt_parts.h"

#include <inttypes.h>
#include <stdio.h>

void prompt_parts_add(prompt_parts_t *parts, uint64_t id)
{
	if (parts->count < PROMPT_PARTS_MAX)
		parts->ids[parts->count++] = id;
}

void prompt_parts_add_request(prompt_parts_t *parts, uint64_t id)
{
	if (parts->count == PROMPT_PARTS_MAX)
		parts->count--;
	prompt_parts_add(parts, id);
	parts->has_request = true;
}

uint32_t prompt_parts_depth(const prompt_parts_t *parts, uint32_t index)
{
	return parts->has_request && index == parts->count - 1 ?
		       PROMPT_DEPTH_REQUEST :
		       index;
}

bool prompt_parts_contain(const prompt_parts_t *parts, uint64_t id)
{
	for (uint32_t i = 0; i < parts->count; i++)
		if (parts->ids[i] == id)
			return true;
	return false;
}

void prompt_parts_print(const prompt_parts_t *parts, char *text, size_t size)
{
	size_t len = 0;

	snprintf(text, size, "-");
	for (uint32_t i = 0; i < parts->count && len < size; i++)
		len += (size_t)snprintf(text + len, size - len, "%s%" PRIx64,
					i > 0 ? "," : "", parts->ids[i]);
}
