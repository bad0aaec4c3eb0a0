#include "base/log.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"

#define LINE_MAX_BYTES 2048
#define QUOTE_MAX_BYTES 512
#define QUOTE_BUFFERS 4

static struct {
	char node_id[64];
	log_level_t min_level;
	log_sink_t sink;
	void *sink_data;
} logger = { .node_id = "-", .min_level = LOG_LEVEL_INFO };

static const char *const level_names[] = { "debug", "info", "warn", "error" };

void log_init(const char *node_id, log_level_t min_level)
{
	snprintf(logger.node_id, sizeof(logger.node_id), "%s", node_id);
	logger.min_level = min_level;
}

void log_set_sink(log_sink_t sink, void *user_data)
{
	logger.sink = sink;
	logger.sink_data = user_data;
}

int log_parse_level(const char *name, log_level_t *level)
{
	for (int i = 0; i < 4; i++) {
		if (strcmp(name, level_names[i]) == 0) {
			*level = (log_level_t)i;
			return 1;
		}
	}
	return 0;
}

void log_write(log_level_t level, const char *event, const char *format, ...)
{
	char line[LINE_MAX_BYTES];
	va_list args;
	int used, added;

	if (level < logger.min_level)
		return;
	used = snprintf(line, sizeof(line),
			"ts=%" PRId64 " level=%s node=%s event=%s ",
			clock_wall_ms(clock_system()), level_names[level],
			logger.node_id, event);
	if (used >= (int)sizeof(line) - 1)
		return;
	va_start(args, format);
	added = vsnprintf(line + used, sizeof(line) - used, format, args);
	va_end(args);
	if (added < 0)
		return;
	used += added;
	if (used > (int)sizeof(line) - 2)
		used = sizeof(line) - 2;
	line[used] = '\0';
	if (logger.sink)
		logger.sink(line, logger.sink_data);
	line[used++] = '\n';
	/* One write per line keeps lines of several processes whole. */
	if (write(STDERR_FILENO, line, used) < 0)
		return;
}

const char *log_quote(const char *value)
{
	static char buffers[QUOTE_BUFFERS][QUOTE_MAX_BYTES];
	static unsigned int next;
	char *out = buffers[next++ % QUOTE_BUFFERS];
	size_t used = 0;

	if (!value)
		return "\"\"";
	out[used++] = '"';
	for (const char *c = value; *c && used < QUOTE_MAX_BYTES - 4; c++) {
		if (*c == '"' || *c == '\\')
			out[used++] = '\\';
		out[used++] = (unsigned char)*c < 0x20 ? ' ' : *c;
	}
	out[used++] = '"';
	out[used] = '\0';
	return out;
}
