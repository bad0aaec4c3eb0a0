#ifndef WASABILINK_CONFIG_FIELD_LINE_H
#define WASABILINK_CONFIG_FIELD_LINE_H

#include <glib.h>
#include <stddef.h>

/*
 * field_line - finds the line of a value in a JSON text that has already been
 * parsed without error; jansson tells lines for syntax errors only.
 *
 * A path is an array of steps from the root: a step is a member's name, or
 * the decimal index of an array's element.
 */

/* Line of the value from 1, or that of the nearest container that exists. */
int field_line_find(const char *text, size_t len, const GPtrArray *path);

#endif
