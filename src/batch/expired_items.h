#ifndef WASABILINK_BATCH_EXPIRED_ITEMS_H
#define WASABILINK_BATCH_EXPIRED_ITEMS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * expired_items - the items of an expired job that have no result, and their
 * error lines in the OpenAI format.
 */
typedef struct unfinished expired_items_t;

expired_items_t *expired_items_new(void);
void expired_items_free(expired_items_t *unfinished);

/* Excludes items that have results. */
void expired_items_exclude(expired_items_t *unfinished, uint32_t first,
			   uint32_t count);
gboolean expired_items_any(const expired_items_t *unfinished, uint32_t first,
			   uint32_t count);
/* Returns the error lines of the items without a result in a part of the input
 * file; first is the number of the part's first item. The
 * id of a line is <job>-<item number>. */
GString *expired_items_error_lines(const expired_items_t *unfinished,
				   const char *job, const char *part,
				   size_t len, uint32_t first);

#endif
