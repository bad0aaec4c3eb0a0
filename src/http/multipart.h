#ifndef WASABILINK_HTTP_MULTIPART_H
#define WASABILINK_HTTP_MULTIPART_H

#include <glib.h>
#include <stddef.h>

/*
 * multipart - fields of a multipart/form-data body (RFC 7578) held in memory.
 *
 * The parser is strict: CRLF line endings, no preamble, a closing delimiter and
 * one Content-Disposition per field. Field data points into the body.
 */
#define MULTIPART_MAX_FIELDS 16

typedef struct multipart_field {
	char *name;
	char *file_name; /* NULL for a plain field */
	const char *data;
	size_t len;
} multipart_field_t;

/*
 * Returns an array of multipart_field_t to be freed by multipart_free().
 * Errors: WL_ERROR_INVALID.
 */
GArray *multipart_parse(const char *content_type, const char *body, size_t len,
			GError **error);
void multipart_free(GArray *fields);
const multipart_field_t *multipart_find(const GArray *fields, const char *name);

#endif
