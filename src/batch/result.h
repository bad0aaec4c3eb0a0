#ifndef WASABILINK_BATCH_RESULT_H
#define WASABILINK_BATCH_RESULT_H

#include <glib.h>
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/*
 * result - the object that holds the results of one chunk.
 *
 * It has a JSON header line, then the output lines of the items that succeeded,
 * then the error lines of the others, each in item order. The object is created
 * once, as result/<job>/<first item>, and covers fewer items than its chunk
 * when more would not fit.
 */
#define RESULT_MAX_BYTES (1024 * 1024)
#define RESULT_HEADER_MAX_BYTES 160
/* Maximum line; a longer response is replaced by an error line. */
#define RESULT_LINE_MAX_BYTES (RESULT_MAX_BYTES - RESULT_HEADER_MAX_BYTES)

typedef struct result_line {
	const char *text; /* with its newline */
	size_t len;
	gboolean is_error;
} result_line_t;

typedef struct result {
	uint32_t first; /* item */
	uint32_t count;
	uint32_t completed;
	uint32_t failed;
	const char *output; /* points into the object */
	size_t output_len;
	const char *errors;
	size_t errors_len;
} result_t;

/* Builds the object from as many of the lines as fit, at least one. Stores the
 * number of lines in *taken. */
GBytes *result_build(uint32_t first, const result_line_t *lines, uint32_t count,
		     uint32_t *taken);
/* Errors: WL_ERROR_PROTOCOL. */
gboolean result_parse(const char *data, size_t len, result_t *result,
		      GError **error);

/* Returns the object key, newly allocated. Keys sort in item order. */
char *result_key(const char *job, uint32_t first);
/* Returns the first item of such a key, or -1. */
int64_t result_key_first(const char *key);

/* Returns the line of an item with a response; takes ownership of body. */
char *result_output_line(const char *custom_id, const char *request_id,
			 json_t *body);
char *result_error_line(const char *custom_id, const char *request_id,
			const char *code, const char *message);

#endif
