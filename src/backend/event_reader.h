#ifndef WASABILINK_BACKEND_EVENT_READER_H
#define WASABILINK_BACKEND_EVENT_READER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * event_reader - splits a server-sent event stream with numbered events (HTML
 * standard, section 9.2) into whole events and checks their order.
 *
 * An event without a number, or with one that does not follow the last, is an
 * error: the stream is not to be trusted from there on. A reader goes on over
 * several connections that each resume after last_id.
 */
#define EVENT_READER_NONE (-1)

typedef struct event_reader {
	GString *partial; /* start of an event that is not complete yet */
	int64_t last_id; /* of the last whole event, EVENT_READER_NONE: none */
	bool broken;
} event_reader_t;

/* raw is the whole event as received; data its payload, lines joined. */
typedef void (*event_reader_event_t)(const char *raw, size_t raw_len,
				     const char *data, size_t data_len,
				     void *user_data);

void event_reader_init(event_reader_t *reader, int64_t last_id);
void event_reader_clear(event_reader_t *reader);
/* Forgets the start of an event, before reading another connection. */
void event_reader_restart(event_reader_t *reader);
/* Returns false when the stream is broken; then no further event is read. */
bool event_reader_feed(event_reader_t *reader, const char *data, size_t len,
		       event_reader_event_t event, void *user_data);
/* True between two events, where a stream may end. */
bool event_reader_at_boundary(const event_reader_t *reader);

#endif
