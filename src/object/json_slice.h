#ifndef WASABILINK_OBJECT_JSON_SLICE_H
#define WASABILINK_OBJECT_JSON_SLICE_H

#include <stdbool.h>
#include <stddef.h>

/*
 * json_slice - parts of a JSON text, found without decoding them.
 *
 * A page of objects of several writers is one JSON document. When one of them
 * cannot be decoded, the library decodes none; with their slices each is decoded
 * by itself. Only the structure is read, by brackets and strings, without
 * recursion, so depth and numbers do not matter.
 */
typedef struct json_slice {
	const char *text; /* not terminated */
	size_t len;
} json_slice_t;

/* Finds the value of an object's member with this name, which has no escapes in
 * the text. Returns false when there is none or the text is no object. */
bool json_slice_member(json_slice_t object, const char *name,
		       json_slice_t *value);
/* Takes the next element of an array; the first call is with the array and an
 * element of NULL text. Returns false after the last one. */
bool json_slice_next(json_slice_t array, json_slice_t *element);
/*
 * Estimate of the bytes that a JSON text takes when it is decoded as a whole: each
 * value takes several allocations, so that many small ones take much more than
 * their text.
 */
size_t json_slice_decoded_bytes(json_slice_t text);
/* Whether the text is an object or array that ends with the text. */
bool json_slice_is_whole(json_slice_t text);

#endif
