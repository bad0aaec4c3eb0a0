#ifndef WASABILINK_BATCH_UNFINISHED_H
#define WASABILINK_BATCH_UNFINISHED_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * expired_items - the items of an expired job that have no result, and their
 * error lines in the OpenAI format.
 */
typedef struct unfinished unfinished_t;

unfinished_t *unfinished_new(void);
void unfinished_free(unfinished_t *unfinished);

/* Excludes items that have results. */
void unfinished_remove(unfinished_t *unfinished, uint32_t first,
		       uint32_t count);
gboolean unfinished_any(const unfinished_t *unfinished, uint32_t first,
			uint32_t count);
/* Returns the error lines of the items without a result in a part of the input
 * file; first is the number of the part's first item. The
 * id of a line is <job>-<item number>. */
GString *unfinished_lines(const unfinished_t *unfinished, const char *job,
			  const char *part, size_t len, uint32_t first);

#endif
