#ifndef WASABILINK_HTTP_HTTP_CHUNKED_H
#define WASABILINK_HTTP_HTTP_CHUNKED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * http_chunked - decodes the chunked transfer coding (RFC 9112, section 7.1) of a
 * request body, piece by piece and without keeping any of it.
 *
 * Chunk extensions and the fields of a trailer are skipped.
 */
typedef enum http_chunked_state {
	HTTP_CHUNKED_SIZE,
	HTTP_CHUNKED_EXTENSION,
	HTTP_CHUNKED_SIZE_END, /* the LF behind a size */
	HTTP_CHUNKED_DATA,
	HTTP_CHUNKED_DATA_END, /* the CR behind the data */
	HTTP_CHUNKED_DATA_END_LF,
	HTTP_CHUNKED_TRAILER, /* at the start of a line */
	HTTP_CHUNKED_TRAILER_LINE,
	HTTP_CHUNKED_TRAILER_END, /* the LF of the empty line */
	HTTP_CHUNKED_DONE,
	HTTP_CHUNKED_INVALID
} http_chunked_state_t;

typedef struct http_chunked {
	http_chunked_state_t state;
	uint64_t left; /* bytes of the current chunk */
	bool has_size; /* a digit of the size was read */
	size_t skipped_bytes; /* of the current line, or of the trailer */
} http_chunked_t;

/*
 * Reads up to the end of one part of the body, or all of data. Returns the number
 * of bytes read, which are not to be passed again. The part points into data;
 * part_len is 0 if there is none. Stops at the end of the body and at an error;
 * see state.
 */
size_t http_chunked_read(http_chunked_t *chunked, const char *data, size_t len,
			 const char **part, size_t *part_len);

#endif
