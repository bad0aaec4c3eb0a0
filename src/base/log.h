#ifndef WASABILINK_BASE_LOG_H
#define WASABILINK_BASE_LOG_H

#include <stdint.h>

/*
 * log - one key=value line per event, on standard error unless log_to_output()
 * is called.
 *
 * A line starts with ts (wall clock, ms since the epoch), level, node and
 * event; the printf-style pairs follow. Values that may hold blanks or quotes
 * go through log_quote(). `wasabilink timeline` merges the lines of several
 * processes. The logger is the daemon's; the coordination library does not
 * log.
 */
typedef enum log_level {
	LOG_LEVEL_DEBUG,
	LOG_LEVEL_INFO,
	LOG_LEVEL_WARN,
	LOG_LEVEL_ERROR
} log_level_t;

/* Receives each written line without its newline. */
typedef void (*log_sink_t)(const char *line, void *user_data);

void log_init(const char *node_id, log_level_t min_level);
void log_set_sink(log_sink_t sink, void *user_data);

/*
 * Writes to standard output without ever waiting for its reader, and at most
 * lines_per_s lines a second with a burst of as many. Warnings and errors go
 * before the limit. The number of lines left out is logged once a second at
 * most, and is counted by log_dropped().
 */
void log_to_output(uint32_t lines_per_s);
uint64_t log_dropped(void);

/* Parses debug, info, warn or error; returns false for any other name. */
int log_parse_level(const char *name, log_level_t *level);

void log_write(log_level_t level, const char *event, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/* Quotes a value for a log line, into one of four rotating buffers. */
const char *log_quote(const char *value);

#define log_debug(event, ...) log_write(LOG_LEVEL_DEBUG, event, __VA_ARGS__)
#define log_info(event, ...) log_write(LOG_LEVEL_INFO, event, __VA_ARGS__)
#define log_warn(event, ...) log_write(LOG_LEVEL_WARN, event, __VA_ARGS__)
#define log_error(event, ...) log_write(LOG_LEVEL_ERROR, event, __VA_ARGS__)

#endif
