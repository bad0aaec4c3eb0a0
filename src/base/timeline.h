#ifndef WASABILINK_BASE_TIMELINE_H
#define WASABILINK_BASE_TIMELINE_H

#include <glib.h>
#include <stdint.h>

/*
 * timeline - the most recent log lines of a process, bounded in number and
 * bytes. timeline_sink() is a log_sink_t.
 */
typedef struct timeline timeline_t;

timeline_t *timeline_new(uint32_t max_lines, size_t max_bytes);
void timeline_free(timeline_t *timeline);
void timeline_sink(const char *line, void *timeline);

/* Time stamp (ts=, ms since the epoch) at a line's start; -1 without one. */
int64_t timeline_stamp(const char *line);

/* Calls each for the lines from the time stamp on, oldest first. */
typedef void (*timeline_each_t)(const char *line, void *user_data);
void timeline_foreach(const timeline_t *timeline, int64_t since_ms,
		      timeline_each_t each, void *user_data);

#endif
