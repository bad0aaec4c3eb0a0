#ifndef WASABILINK_BATCH_UNFINISHED_H
#define WASABILINK_BATCH_UNFINISHED_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * unfinished - the items of an expired job that have no result, and their
 * error lines in the OpenAI form.
 */
typedef struct unfinished unfinished_t;

unfinished_t *unfinished_new(void);
void unfinished_free(unfinished_t *unfinished);

/* These items have results. */
void unfinished_remove(unfinished_t *unfinished, uint32_t first,
		       uint32_t count);
gboolean unfinished_any(const unfinished_t *unfinished, uint32_t first,
			uint32_t count);
/* Error lines of the unfinished ones among the items of a part of the input
 * file, whose first item is given. Ids are as in a batch's own lines. */
GString *unfinished_lines(const unfinished_t *unfinished, const char *job,
			  const char *part, size_t len, uint32_t first);

#endif
