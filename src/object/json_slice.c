#include "object/json_slice.h"

#include <string.h>

/* Of an array, an object, a member or an element. */
#define VALUE_BYTES 128

static const char *skip_space(const char *at, const char *end)
{
	while (at < end && strchr(" \t\r\n", *at) && *at)
		at++;
	return at;
}

/* Returns the end of the string that begins at a quote; NULL: it has none. */
static const char *skip_string(const char *at, const char *end)
{
	for (at++; at < end; at++) {
		if (*at == '"')
			return at + 1;
		if (*at == '\\')
			at++;
	}
	return NULL;
}

/* Returns the end of the value that begins here; NULL: it is cut off. */
static const char *skip_value(const char *at, const char *end)
{
	size_t depth = 0;

	while (at && at < end) {
		if (*at == '"') {
			at = skip_string(at, end);
			if (depth == 0)
				return at;
			continue;
		}
		if (*at == '{' || *at == '[')
			depth++;
		else if (depth == 0 && (*at == ',' || *at == '}' || *at == ']'))
			return at;
		else if (*at == '}' || *at == ']')
			depth--;
		at++;
		if (depth == 0 && (at[-1] == '}' || at[-1] == ']'))
			return at;
	}
	return depth == 0 ? at : NULL;
}

/* Whether the text begins with the bracket; *at is set behind it. */
static bool enter(json_slice_t slice, char bracket, const char **at,
		  const char **end)
{
	*end = slice.text + slice.len;
	*at = skip_space(slice.text, *end);
	if (*at == *end || **at != bracket)
		return false;
	++*at;
	return true;
}

bool json_slice_member(json_slice_t object, const char *name,
		       json_slice_t *value)
{
	size_t name_len = strlen(name);
	const char *end;
	const char *at;

	if (!object.text || !enter(object, '{', &at, &end))
		return false;
	for (;;) {
		const char *key = skip_space(at, end);
		const char *key_end;

		if (key == end || *key != '"')
			return false;
		key_end = skip_string(key, end);
		if (!key_end)
			return false;
		at = skip_space(key_end, end);
		if (at == end || *at != ':')
			return false;
		value->text = skip_space(at + 1, end);
		at = skip_value(value->text, end);
		if (!at)
			return false;
		value->len = (size_t)(at - value->text);
		if ((size_t)(key_end - key) == name_len + 2 &&
		    memcmp(key + 1, name, name_len) == 0)
			return true;
		at = skip_space(at, end);
		if (at == end || *at != ',')
			return false;
		at++;
	}
}

bool json_slice_next(json_slice_t array, json_slice_t *element)
{
	const char *end = array.text + array.len;
	const char *at;

	if (!element->text) {
		if (!enter(array, '[', &at, &end))
			return false;
	} else {
		at = skip_space(element->text + element->len, end);
		if (at == end || *at != ',')
			return false;
		at++;
	}
	element->text = skip_space(at, end);
	if (element->text == end || *element->text == ']')
		return false;
	at = skip_value(element->text, end);
	if (!at)
		return false;
	element->len = (size_t)(at - element->text);
	return true;
}

bool json_slice_is_whole(json_slice_t text)
{
	const char *end = text.text + text.len;
	const char *at;

	if (!text.text)
		return false;
	at = skip_space(text.text, end);
	if (at == end || (*at != '{' && *at != '['))
		return false;
	at = skip_value(at, end);
	return at && skip_space(at, end) == end;
}

size_t json_slice_decoded_bytes(json_slice_t text)
{
	const char *end = text.text + text.len;
	const char *at = text.text;
	size_t values = 1;

	while (at && at < end) {
		if (*at == '"') {
			at = skip_string(at, end);
			continue;
		}
		if (*at == ',' || *at == ':' || *at == '[' || *at == '{')
			values++;
		at++;
	}
	return text.len + values * VALUE_BYTES;
}
