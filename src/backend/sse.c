#include "backend/sse.h"

#include <string.h>

static const char data_field[] = "data:";
static const char done_marker[] = "[DONE]";
static const char finish_member[] = "\"finish_reason\"";
static const char error_member[] = "{\"error\"";

void sse_init(sse_t *sse)
{
	*sse = (sse_t){ 0 };
}

void sse_clear(sse_t *sse)
{
	if (sse->partial)
		g_string_free(sse->partial, TRUE);
	sse->partial = NULL;
}

size_t sse_event_length(const char *data, size_t len)
{
	const char *end = data + len;
	const char *line = data;

	while (line < end) {
		const char *newline = memchr(line, '\n', end - line);

		if (!newline)
			return 0;
		if (newline == line || (newline == line + 1 && *line == '\r'))
			return newline + 1 - data;
		line = newline + 1;
	}
	return 0;
}

bool sse_next_payload(const char *events, size_t len, const char **payload,
		      size_t *payload_len, size_t *consumed)
{
	size_t event_len = sse_event_length(events, len);
	const char *start = events;
	const char *end = events + event_len;

	*consumed = event_len;
	while (start < end) {
		const char *newline = memchr(start, '\n', end - start);

		if ((size_t)(newline - start) >= strlen(data_field) &&
		    memcmp(start, data_field, strlen(data_field)) == 0) {
			start += strlen(data_field);
			while (start < newline && *start == ' ')
				start++;
			while (newline > start && newline[-1] == '\r')
				newline--;
			*payload = start;
			*payload_len = newline - start;
			return true;
		}
		start = newline + 1;
	}
	return false;
}

/*
 * True if a finish_reason member holds a string; null means that further events
 * follow.
 */
static bool has_finish_reason(const char *payload, size_t len)
{
	const char *end = payload + len;
	const char *at = payload;

	while ((at = memmem(at, end - at, finish_member,
			    strlen(finish_member)))) {
		at += strlen(finish_member);
		while (at < end && (*at == ' ' || *at == ':'))
			at++;
		if (at < end && *at == '"')
			return true;
	}
	return false;
}

/* Returns false for the end marker, which is not passed to the caller. */
static bool inspect_event(sse_t *sse, const char *event, size_t len)
{
	const char *payload;
	size_t payload_len;
	size_t consumed;

	if (!sse_next_payload(event, len, &payload, &payload_len, &consumed))
		return true;
	if (payload_len == strlen(done_marker) &&
	    memcmp(payload, done_marker, payload_len) == 0) {
		sse->done_seen = true;
		return false;
	}
	sse->events++;
	if (!sse->finish_seen)
		sse->finish_seen = has_finish_reason(payload, payload_len);
	if (payload_len > strlen(error_member) &&
	    memcmp(payload, error_member, strlen(error_member)) == 0)
		sse->error_seen = true;
	return true;
}

/* Passes on the complete events in data; returns their length in bytes. */
static size_t process_events(sse_t *sse, const char *data, size_t len,
			     sse_events_t events, void *user_data)
{
	size_t offset = 0;
	size_t output_len = 0;
	size_t event_len;

	while (!sse->done_seen && (event_len = sse_event_length(
					   data + offset, len - offset)) > 0) {
		if (inspect_event(sse, data + offset, event_len))
			output_len = offset + event_len;
		offset += event_len;
	}
	if (output_len > 0)
		events(data, output_len, user_data);
	return offset;
}

void sse_feed(sse_t *sse, const char *data, size_t len, sse_events_t events,
	      void *user_data)
{
	size_t used;

	if (sse->done_seen || sse->too_long)
		return;
	if (!sse->partial || sse->partial->len == 0) {
		used = process_events(sse, data, len, events, user_data);
		if (used == len || sse->done_seen)
			return;
		if (!sse->partial)
			sse->partial = g_string_new(NULL);
		g_string_append_len(sse->partial, data + used,
				    (gssize)(len - used));
	} else {
		GString *joined = sse->partial;

		g_string_append_len(joined, data, (gssize)len);
		sse->partial = NULL;
		used = process_events(sse, joined->str, joined->len, events,
				      user_data);
		g_string_erase(joined, 0, (gssize)used);
		sse->partial = joined;
	}
	sse->too_long = sse->partial->len > SSE_MAX_EVENT_BYTES;
}

bool sse_is_complete(const sse_t *sse)
{
	return sse->done_seen && sse->finish_seen && !sse->error_seen;
}
