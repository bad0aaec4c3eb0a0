#ifndef WASABILINK_BACKEND_SSE_H
#define WASABILINK_BACKEND_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * sse - splits a server-sent event stream (HTML standard, section 9.2) of chat
 * completion chunks into whole events, and checks that it is complete.
 *
 * A stream is whole when an event with a finish_reason came and then the end
 * marker `data: [DONE]`. The marker itself is not handed on: the receiver
 * writes its own once it knows that the answer is whole, so a cut stream never
 * looks complete.
 */
#define SSE_MAX_EVENT_BYTES (4 * 1024 * 1024)

typedef struct sse {
	GString *partial; /* start of an event that is not complete yet */
	uint64_t events; /* whole events, the end marker not counted */
	bool finish_seen;
	bool done_seen;
	bool error_seen; /* an event with an error in place of a choice */
	bool too_long;
} sse_t;

/* events holds one or more whole events, as received. */
typedef void (*sse_events_t)(const char *events, size_t len, void *user_data);

void sse_init(sse_t *sse);
void sse_clear(sse_t *sse);
/* Calls events at most once for the whole events that data completes. */
void sse_feed(sse_t *sse, const char *data, size_t len, sse_events_t events,
	      void *user_data);
bool sse_is_whole(const sse_t *sse);

/* Length of the first event with its blank line, 0 when it is incomplete. */
size_t sse_event_length(const char *data, size_t len);

/*
 * The JSON payload of the first event in a block of whole events, and the
 * event's length. Returns false at the end or when it carries no data.
 */
bool sse_next_payload(const char *events, size_t len, const char **payload,
		      size_t *payload_len, size_t *consumed);

#endif
