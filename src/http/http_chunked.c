#include "http/http_chunked.h"

#include <glib.h>

/* Of the line with the size of a chunk. */
#define MAX_SIZE_LINE_BYTES 8192
#define MAX_TRAILER_BYTES (512 * 1024)
/* Leaves room for one more digit. */
#define MAX_SIZE (UINT64_MAX >> 8)

static http_chunked_state_t after_size(http_chunked_t *chunked, char c)
{
	if (!chunked->has_size)
		return HTTP_CHUNKED_INVALID;
	if (c == '\r')
		return HTTP_CHUNKED_SIZE_END;
	if (c == ';' || c == ' ' || c == '\t')
		return HTTP_CHUNKED_EXTENSION;
	return HTTP_CHUNKED_INVALID;
}

static http_chunked_state_t read_size(http_chunked_t *chunked, char c)
{
	if (!g_ascii_isxdigit(c))
		return after_size(chunked, c);
	if (chunked->left > MAX_SIZE)
		return HTTP_CHUNKED_INVALID;
	chunked->has_size = true;
	chunked->left = chunked->left * 16 + (uint64_t)g_ascii_xdigit_value(c);
	return HTTP_CHUNKED_SIZE;
}

static http_chunked_state_t begin_data(http_chunked_t *chunked, char c)
{
	chunked->skipped_bytes = 0;
	if (c != '\n')
		return HTTP_CHUNKED_INVALID;
	return chunked->left > 0 ? HTTP_CHUNKED_DATA : HTTP_CHUNKED_TRAILER;
}

static http_chunked_state_t begin_size(http_chunked_t *chunked, char c)
{
	chunked->left = 0;
	chunked->has_size = false;
	return c == '\n' ? HTTP_CHUNKED_SIZE : HTTP_CHUNKED_INVALID;
}

/* Counts a byte that is skipped. */
static http_chunked_state_t skip(http_chunked_t *chunked, size_t max_bytes,
				 http_chunked_state_t next)
{
	return ++chunked->skipped_bytes > max_bytes ? HTTP_CHUNKED_INVALID :
						      next;
}

/* Reads a byte of the framing. */
static http_chunked_state_t step(http_chunked_t *chunked, char c)
{
	switch (chunked->state) {
	case HTTP_CHUNKED_SIZE:
		return skip(chunked, MAX_SIZE_LINE_BYTES,
			    read_size(chunked, c));
	case HTTP_CHUNKED_EXTENSION:
		return skip(chunked, MAX_SIZE_LINE_BYTES,
			    c == '\r' ? HTTP_CHUNKED_SIZE_END :
			    c == '\n' ? HTTP_CHUNKED_INVALID :
					HTTP_CHUNKED_EXTENSION);
	case HTTP_CHUNKED_SIZE_END:
		return begin_data(chunked, c);
	case HTTP_CHUNKED_DATA_END:
		return c == '\r' ? HTTP_CHUNKED_DATA_END_LF :
				   HTTP_CHUNKED_INVALID;
	case HTTP_CHUNKED_DATA_END_LF:
		return begin_size(chunked, c);
	case HTTP_CHUNKED_TRAILER:
		if (c == '\r')
			return HTTP_CHUNKED_TRAILER_END;
		return skip(chunked, MAX_TRAILER_BYTES,
			    c == '\n' ? HTTP_CHUNKED_DONE :
					HTTP_CHUNKED_TRAILER_LINE);
	case HTTP_CHUNKED_TRAILER_LINE:
		return skip(chunked, MAX_TRAILER_BYTES,
			    c == '\n' ? HTTP_CHUNKED_TRAILER :
					HTTP_CHUNKED_TRAILER_LINE);
	case HTTP_CHUNKED_TRAILER_END:
		return c == '\n' ? HTTP_CHUNKED_DONE : HTTP_CHUNKED_INVALID;
	default:
		return chunked->state;
	}
}

size_t http_chunked_read(http_chunked_t *chunked, const char *data, size_t len,
			 const char **part, size_t *part_len)
{
	size_t at = 0;

	*part = NULL;
	*part_len = 0;
	while (at < len && chunked->state != HTTP_CHUNKED_DONE &&
	       chunked->state != HTTP_CHUNKED_INVALID) {
		if (chunked->state != HTTP_CHUNKED_DATA) {
			chunked->state = step(chunked, data[at++]);
			continue;
		}
		*part = data + at;
		*part_len = (size_t)MIN((uint64_t)(len - at), chunked->left);
		chunked->left -= *part_len;
		if (chunked->left == 0)
			chunked->state = HTTP_CHUNKED_DATA_END;
		return at + *part_len;
	}
	return at;
}
