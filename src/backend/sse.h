#ifndef WASABILINK_BACKEND_SSE_H
#define WASABILINK_BACKEND_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * sse - splits a server-sent event stream (HTML standard, section 9.2) of chat
 * completion chunks into complete events, and checks that the stream is
 * complete.
 *
 * A stream is complete when an event with a finish_reason was received, then
 * the end marker `data: [DONE]`, and no error event. The marker itself is not
 * passed on: the receiver writes its own once it knows that the response is
 * complete, so that a truncated stream never appears complete.
 */
#define SSE_MAX_EVENT_BYTES (4 * 1024 * 1024)

typedef struct sse {
	GString *partial; /* start of an incomplete event */
	uint64_t events; /* complete events, excluding the end marker */
	bool finish_seen;
	bool done_seen;
	bool error_seen; /* an event held an error instead of a choice */
	bool too_long;
} sse_t;

/* events holds one or more complete events, as received. */
typedef void (*sse_events_t)(const char *events, size_t len, void *user_data);

void sse_init(sse_t *sse);
void sse_clear(sse_t *sse);
/* Calls events at most once, for the events that data completes. */
void sse_feed(sse_t *sse, const char *data, size_t len, sse_events_t events,
	      void *user_data);
bool sse_is_complete(const sse_t *sse);

/* Length of the first event with its blank line; 0 if it is incomplete. */
size_t sse_event_length(const char *data, size_t len);

/*
 * Finds the JSON payload of the first event in a block of complete events, and
 * the length of that event. Returns false at the end or if the event carries no
 * data.
 */
bool sse_next_payload(const char *events, size_t len, const char **payload,
		      size_t *payload_len, size_t *consumed);

#endif
