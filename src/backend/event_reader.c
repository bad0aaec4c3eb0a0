#include "backend/event_reader.h"

#include <string.h>

#include "backend/sse.h"

/* Bounds memory; far above the size of any event that an engine sends. */
#define MAX_EVENT_BYTES (1024 * 1024)

typedef struct field {
	const char *name;
	size_t name_len;
	const char *value;
	size_t value_len;
} field_t;

void event_reader_init(event_reader_t *reader, int64_t last_id)
{
	reader->partial = g_string_new(NULL);
	reader->last_id = last_id;
	reader->broken = false;
}

void event_reader_clear(event_reader_t *reader)
{
	if (reader->partial)
		g_string_free(reader->partial, TRUE);
	reader->partial = NULL;
}

void event_reader_restart(event_reader_t *reader)
{
	g_string_truncate(reader->partial, 0);
	reader->broken = false;
}

bool event_reader_at_boundary(const event_reader_t *reader)
{
	return reader->partial->len == 0 && !reader->broken;
}

/*
 * Splits "name: value" or "name:value"; the line comes without its line ending.
 */
static field_t parse_field(const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);
	field_t field = { line, len, "", 0 };

	if (!colon)
		return field;
	field.name_len = colon - line;
	field.value = colon + 1;
	field.value_len = len - field.name_len - 1;
	if (field.value_len > 0 && *field.value == ' ') {
		field.value++;
		field.value_len--;
	}
	return field;
}

static bool is_field(const field_t *field, const char *name)
{
	return field->name_len == strlen(name) &&
	       memcmp(field->name, name, field->name_len) == 0;
}

static int64_t parse_id(const field_t *field)
{
	char text[24];
	char *end;
	guint64 id;

	if (field->value_len == 0 || field->value_len >= sizeof(text) ||
	    !g_ascii_isdigit(*field->value))
		return EVENT_READER_NONE;
	memcpy(text, field->value, field->value_len);
	text[field->value_len] = '\0';
	id = g_ascii_strtoull(text, &end, 10);
	return *end || id > INT64_MAX ? EVENT_READER_NONE : (int64_t)id;
}

static bool is_next_id(const event_reader_t *reader, int64_t id)
{
	if (id == EVENT_READER_NONE)
		return false;
	if (reader->last_id == EVENT_READER_NONE)
		return id <= 1;
	return id == reader->last_id + 1;
}

/*
 * Whether the block holds nothing but comments, as servers send to keep a
 * connection alive. Blocks of other fields may be events that a failing runner
 * has spoiled.
 */
static bool is_comment(const char *raw, size_t raw_len)
{
	const char *line = raw;
	const char *end = raw + raw_len;

	while (line < end) {
		if (*line != ':' && *line != '\r' && *line != '\n')
			return false;
		line = (const char *)memchr(line, '\n', end - line) + 1;
	}
	return true;
}

static bool read_event(event_reader_t *reader, const char *raw, size_t raw_len,
		       event_reader_event_t event, void *user_data)
{
	GString *joined = NULL;
	const char *data = "";
	size_t data_len = 0;
	bool has_data = false;
	int64_t id = EVENT_READER_NONE;
	const char *line = raw;
	const char *end = raw + raw_len;

	if (is_comment(raw, raw_len)) {
		event(raw, raw_len, NULL, 0, user_data);
		return true;
	}
	while (line < end) {
		const char *newline = memchr(line, '\n', end - line);
		size_t len = newline - line;
		field_t field;

		if (len > 0 && line[len - 1] == '\r')
			len--;
		field = parse_field(line, len);
		line = newline + 1;
		if (is_field(&field, "id"))
			id = parse_id(&field);
		if (!is_field(&field, "data"))
			continue;
		if (has_data) {
			if (!joined)
				joined = g_string_new_len(data,
							  (gssize)data_len);
			g_string_append_c(joined, '\n');
			g_string_append_len(joined, field.value,
					    (gssize)field.value_len);
		}
		data = field.value;
		data_len = field.value_len;
		has_data = true;
	}
	if (!is_next_id(reader, id)) {
		reader->broken = true;
	} else {
		reader->last_id = id;
		event(raw, raw_len, joined ? joined->str : data,
		      joined ? joined->len : data_len, user_data);
	}
	if (joined)
		g_string_free(joined, TRUE);
	return !reader->broken;
}

bool event_reader_feed(event_reader_t *reader, const char *data, size_t len,
		       event_reader_event_t event, void *user_data)
{
	GString *text = reader->partial;
	size_t offset = 0;
	size_t event_len;

	if (reader->broken)
		return false;
	g_string_append_len(text, data, (gssize)len);
	while ((event_len = sse_event_length(text->str + offset,
					     text->len - offset)) > 0) {
		if (!read_event(reader, text->str + offset, event_len, event,
				user_data))
			return false;
		offset += event_len;
	}
	g_string_erase(text, 0, (gssize)offset);
	if (text->len > MAX_EVENT_BYTES)
		reader->broken = true;
	return !reader->broken;
}
