#ifndef WASABILINK_CONFIG_DOCUMENT_CHECK_H
#define WASABILINK_CONFIG_DOCUMENT_CHECK_H

#include <glib.h>
#include <jansson.h>

/*
 * document_check - checks a document's form: unknown and missing members,
 * types, ranges, names, duplicates and references. A table describes each
 * object, so that a new member is one line.
 */

/*
 * On failure path holds the steps to the faulty value (newly allocated
 * strings, as field_line_find() takes them) and *message what is wrong.
 */
gboolean document_check(json_t *root, GPtrArray *path, char **message);

#endif
