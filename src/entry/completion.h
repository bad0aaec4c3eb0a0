#ifndef WASABILINK_ENTRY_COMPLETION_H
#define WASABILINK_ENTRY_COMPLETION_H

#include <glib.h>
#include <jansson.h>
#include <stddef.h>

/*
 * completion - the two forms of one chat completion, the stream of events and
 * the whole answer.
 *
 * A recorded result is a whole answer; a resend may ask for either form.
 */

/* Joins whole server-sent events (without the end marker) into a whole answer,
 * newly allocated for free(). NULL when an event is malformed. */
char *completion_from_events(const char *events, size_t len);

/* The whole answer as events with the end marker, or NULL when malformed. */
GString *completion_to_events(const char *answer, size_t len);

/* Total tokens by the answer's own usage, 0 when it does not tell. */
int64_t completion_total_tokens(const char *answer, size_t len);

#endif
