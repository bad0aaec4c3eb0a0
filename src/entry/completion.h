#ifndef WASABILINK_ENTRY_COMPLETION_H
#define WASABILINK_ENTRY_COMPLETION_H

#include <glib.h>
#include <jansson.h>
#include <stddef.h>

/*
 * completion - converts a chat completion between its stream of events and
 * its JSON response.
 *
 * Results are recorded as JSON responses; a resend may ask for either form.
 */

/* Joins complete server-sent events (without the end marker) into a JSON
 * response, which the caller releases with free(). Returns NULL when an event
 * is malformed. */
char *completion_from_events(const char *events, size_t len);

/* Converts a JSON response to events with the end marker. Returns NULL when it
 * is malformed. */
GString *completion_to_events(const char *response, size_t len);

/* Returns the total tokens that the response reports in its usage member, or 0
 * when it has none. */
int64_t completion_total_tokens(const char *response, size_t len);

#endif
