#include "base/timeline.h"

#include <string.h>

static const char stamp_prefix[] = "ts=";

struct timeline {
	GQueue lines; /* char *, oldest first */
	size_t bytes;
	uint32_t max_lines;
	size_t max_bytes;
};

timeline_t *timeline_new(uint32_t max_lines, size_t max_bytes)
{
	timeline_t *timeline = g_new0(timeline_t, 1);

	g_queue_init(&timeline->lines);
	timeline->max_lines = max_lines;
	timeline->max_bytes = max_bytes;
	return timeline;
}

void timeline_free(timeline_t *timeline)
{
	if (!timeline)
		return;
	g_queue_clear_full(&timeline->lines, g_free);
	g_free(timeline);
}

void timeline_sink(const char *line, void *user_data)
{
	timeline_t *timeline = user_data;

	g_queue_push_tail(&timeline->lines, g_strdup(line));
	timeline->bytes += strlen(line);
	while (g_queue_get_length(&timeline->lines) > timeline->max_lines ||
	       timeline->bytes > timeline->max_bytes) {
		char *oldest = g_queue_pop_head(&timeline->lines);

		timeline->bytes -= strlen(oldest);
		g_free(oldest);
	}
}

int64_t timeline_stamp(const char *line)
{
	const char *digits = line + strlen(stamp_prefix);

	if (!g_str_has_prefix(line, stamp_prefix) || !g_ascii_isdigit(*digits))
		return -1;
	return g_ascii_strtoll(digits, NULL, 10);
}

void timeline_foreach(const timeline_t *timeline, int64_t since_ms,
		      timeline_each_t each, void *user_data)
{
	for (GList *link = timeline->lines.head; link; link = link->next)
		if (timeline_stamp(link->data) >= since_ms)
			each(link->data, user_data);
}
