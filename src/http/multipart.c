#include "http/multipart.h"

#include <string.h>

#include "base/error.h"

#define MAX_BOUNDARY_BYTES 70 /* RFC 2046, section 5.1.1 */
#define MAX_HEADER_BYTES 4096

static const char media_type[] = "multipart/form-data";

static void field_clear(void *data)
{
	multipart_field_t *field = data;

	g_free(field->name);
	g_free(field->file_name);
}

/*
 * Returns the value of a parameter such as name="value" or name=value; NULL if
 * absent or if the closing quote is missing.
 */
static char *parse_parameter(const char *text, const char *name)
{
	size_t name_len = strlen(name);

	for (const char *p = strchr(text, ';'); p; p = strchr(p, ';')) {
		const char *end;

		p++;
		while (*p == ' ' || *p == '\t')
			p++;
		if (g_ascii_strncasecmp(p, name, name_len) != 0 ||
		    p[name_len] != '=')
			continue;
		p += name_len + 1;
		if (*p != '"')
			return g_strndup(p, strcspn(p, "; \t"));
		end = strchr(++p, '"');
		return end ? g_strndup(p, (gsize)(end - p)) : NULL;
	}
	return NULL;
}

/* Reads the header lines of one field, up to the blank line. */
static gboolean parse_headers(const char *text, size_t len,
			      multipart_field_t *field)
{
	static const char disposition[] = "Content-Disposition:";
	char *copy = g_strndup(text, len);
	char **lines = g_strsplit(copy, "\r\n", -1);

	for (char **line = lines; *line; line++) {
		if (g_ascii_strncasecmp(*line, disposition,
					strlen(disposition)) != 0)
			continue;
		/*
		 * An earlier Content-Disposition without a name may have set
		 * the file name.
		 */
		if (field->name || field->file_name)
			break;
		field->name = parse_parameter(*line, "name");
		field->file_name = parse_parameter(*line, "filename");
	}
	g_strfreev(lines);
	g_free(copy);
	return field->name != NULL;
}

static const char *find(const char *text, size_t len, const char *needle)
{
	return memmem(text, len, needle, strlen(needle));
}

/*
 * Parses the field after a delimiter line. Returns the position of the next
 * delimiter; NULL if the field is invalid.
 */
static const char *parse_field(const char *at, const char *end,
			       const char *delimiter, GArray *fields)
{
	multipart_field_t field = { 0 };
	size_t window = MIN((size_t)(end - at), MAX_HEADER_BYTES);
	const char *blank = find(at, window, "\r\n\r\n");
	const char *next_delimiter;

	if (!blank || fields->len >= MULTIPART_MAX_FIELDS)
		return NULL;
	field.data = blank + 4;
	/*
	 * If the data is empty, the CRLF of the delimiter may be that of the
	 * blank line.
	 */
	next_delimiter = find(blank + 2, (size_t)(end - blank - 2), delimiter);
	if (!next_delimiter ||
	    !parse_headers(at, (size_t)(blank - at), &field)) {
		field_clear(&field);
		return NULL;
	}
	field.len = next_delimiter > field.data ?
			    (size_t)(next_delimiter - field.data) :
			    0;
	g_array_append_val(fields, field);
	return next_delimiter;
}

static gboolean parse_fields(const char *body, size_t len,
			     const char *delimiter, GArray *fields)
{
	size_t delimiter_len = strlen(delimiter);
	const char *end = body + len;
	const char *at = body;

	/* The first delimiter is not preceded by CRLF. */
	if (len < delimiter_len ||
	    memcmp(at, delimiter + 2, delimiter_len - 2) != 0)
		return FALSE;
	at += delimiter_len - 2;
	while (end - at >= 2) {
		if (memcmp(at, "--", 2) == 0)
			return TRUE;
		if (memcmp(at, "\r\n", 2) != 0)
			return FALSE;
		at = parse_field(at + 2, end, delimiter, fields);
		if (!at)
			return FALSE;
		at += delimiter_len;
	}
	return FALSE;
}

GArray *multipart_parse(const char *content_type, const char *body, size_t len,
			GError **error)
{
	GArray *fields = g_array_new(FALSE, TRUE, sizeof(multipart_field_t));
	char *boundary = NULL;
	char *delimiter;
	gboolean ok = FALSE;

	g_array_set_clear_func(fields, field_clear);
	if (content_type && g_ascii_strncasecmp(content_type, media_type,
						strlen(media_type)) == 0)
		boundary = parse_parameter(content_type, "boundary");
	if (boundary && *boundary && strlen(boundary) <= MAX_BOUNDARY_BYTES) {
		delimiter = g_strconcat("\r\n--", boundary, NULL);
		ok = parse_fields(body, len, delimiter, fields);
		g_free(delimiter);
	}
	g_free(boundary);
	if (ok)
		return fields;
	multipart_free(fields);
	g_set_error_literal(error, WL_ERROR, WL_ERROR_INVALID,
			    "the body is not whole multipart/form-data");
	return NULL;
}

void multipart_free(GArray *fields)
{
	g_array_free(fields, TRUE);
}

const multipart_field_t *multipart_find(const GArray *fields, const char *name)
{
	for (guint i = 0; i < fields->len; i++) {
		const multipart_field_t *field =
			&g_array_index(fields, multipart_field_t, i);

		if (strcmp(field->name, name) == 0)
			return field;
	}
	return NULL;
}
