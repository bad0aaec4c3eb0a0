#ifndef WASABILINK_BACKEND_EVENT_READER_H
#define WASABILINK_BACKEND_EVENT_READER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * event_reader - splits a server-sent event stream with numbered events (HTML
 * standard, section 9.2) into complete events and checks their order.
 *
 * An event without a number, or with a number that does not follow the previous
 * one, is an error, and the rest of the stream is rejected. Comments between two
 * events are no events and have no number. One reader can read several connections
 * in turn, each resuming after last_id.
 */
#define EVENT_READER_NONE (-1)

typedef struct event_reader {
	GString *partial; /* start of an incomplete event */
	int64_t last_id; /* of the last complete event, or EVENT_READER_NONE */
	bool broken;
} event_reader_t;

/*
 * raw is the complete event as received; data is its payload, with the data
 * lines joined by line feeds, and NULL for comments.
 */
typedef void (*event_reader_event_t)(const char *raw, size_t raw_len,
				     const char *data, size_t data_len,
				     void *user_data);

void event_reader_init(event_reader_t *reader, int64_t last_id);
void event_reader_clear(event_reader_t *reader);
/* Discards an incomplete event before another connection is read. */
void event_reader_restart(event_reader_t *reader);
/*
 * Returns false once the stream is out of order or an event is too long; no
 * further event is read then.
 */
bool event_reader_feed(event_reader_t *reader, const char *data, size_t len,
		       event_reader_event_t event, void *user_data);
/* True between two events, where a stream may end. */
bool event_reader_at_boundary(const event_reader_t *reader);

#endif
