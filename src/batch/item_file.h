#ifndef WASABILINK_BATCH_ITEM_FILE_H
#define WASABILINK_BATCH_ITEM_FILE_H

#include <glib.h>
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/*
 * item_file - a batch input file: JSON lines, one item each, split into parts.
 *
 * item_file_t parses an upload incrementally, validates each line and builds
 * parts of complete lines that fit an object of the store. Blank lines are
 * dropped, but line numbers in errors count them, from 1. All items of a file
 * name one model, because a job's chunks go to the runners of one deployment.
 */
#define ITEM_PART_MAX_BYTES (1024 * 1024)
#define ITEM_LINE_MAX_BYTES (512 * 1024)
#define ITEM_FILE_MAX_ITEMS 10000000

typedef struct item {
	char *custom_id;
	json_t *body; /* of the request */
} item_t;

/* Errors: WL_ERROR_INVALID. The caller clears the item only on success. */
gboolean item_parse(const char *line, size_t len, item_t *item, GError **error);
void item_clear(item_t *item);

typedef struct item_file item_file_t;

item_file_t *item_file_new(void);
void item_file_free(item_file_t *file);

/*
 * Consumes bytes until a part is full and returns how many were consumed:
 * none while a part waits for item_file_take_part().
 */
size_t item_file_feed(item_file_t *file, const char *data, size_t len);
/*
 * Ends the input: the last line needs no newline, and the last part becomes
 * ready. Errors: WL_ERROR_INVALID with the numbers of the first invalid lines,
 * or for an empty file; WL_ERROR_TOO_LARGE for a line or an item count above
 * the limit. To be repeated after item_file_take_part() while a part is ready.
 */
gboolean item_file_finish(item_file_t *file, GError **error);
/* TRUE once a line was invalid: further lines are validated but not stored. */
gboolean item_file_is_bad(const item_file_t *file);
/* Returns the full part, which the caller frees; NULL when none is ready. */
GString *item_file_take_part(item_file_t *file);

/* These describe the complete file and are valid after item_file_finish(). */
const char *item_file_model(const item_file_t *file);
const char *item_file_digest(item_file_t *file); /* SHA-256, hex */
/* uint32_t: number of items of each part, in order. */
const GArray *item_file_part_items(const item_file_t *file);
uint64_t item_file_bytes(const item_file_t *file);
uint32_t item_file_items(const item_file_t *file);

/*
 * Returns the index of a stored part: the offsets (uint32_t) of the starts of
 * its lines, and a last one past the end.
 */
GArray *item_index_new(const char *part, size_t len);
/* Returns the line without its newline, NULL past the end. */
const char *item_index_line(const GArray *index, const char *part,
			    uint32_t line, size_t *len);

#endif
