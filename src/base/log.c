#include "base/log.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"

#define LINE_MAX_BYTES 2048
#define QUOTE_MAX_BYTES 512
#define QUOTE_BUFFERS 4
#define DROPPED_PERIOD_US 1000000

static struct {
	char node_id[64];
	log_level_t min_level;
	log_sink_t sink;
	void *sink_data;
	int fd;
	uint32_t lines_per_s; /* 0: unlimited */
	double tokens;
	int64_t refilled_us;
	int64_t told_us; /* when dropped lines were last logged */
	uint64_t dropped;
	uint64_t dropped_told;
} logger = { .node_id = "-", .min_level = LOG_LEVEL_INFO, .fd = STDERR_FILENO };

static const char *const level_names[] = { "debug", "info", "warn", "error" };

void log_init(const char *node_id, log_level_t min_level)
{
	snprintf(logger.node_id, sizeof(logger.node_id), "%s", node_id);
	logger.min_level = min_level;
}

void log_to_output(uint32_t lines_per_s)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	logger.fd = STDOUT_FILENO;
	logger.lines_per_s = lines_per_s;
	logger.tokens = lines_per_s;
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

uint64_t log_dropped(void)
{
	return logger.dropped;
}

/* A token bucket; what matters most is not limited. */
static bool takes_token(log_level_t level, int64_t now_us)
{
	double refill;

	if (!logger.lines_per_s || level >= LOG_LEVEL_WARN)
		return true;
	refill = (double)(now_us - logger.refilled_us) * logger.lines_per_s /
		 1e6;
	logger.tokens = logger.tokens + refill < logger.lines_per_s ?
				logger.tokens + refill :
				logger.lines_per_s;
	logger.refilled_us = now_us;
	if (logger.tokens < 1)
		return false;
	logger.tokens -= 1;
	return true;
}

static void tell_dropped(int64_t now_us)
{
	uint64_t dropped = logger.dropped;

	if (dropped == logger.dropped_told ||
	    now_us - logger.told_us < DROPPED_PERIOD_US)
		return;
	logger.told_us = now_us;
	log_write(LOG_LEVEL_WARN, "log_dropped", "lines=%" PRIu64,
		  dropped - logger.dropped_told);
	logger.dropped_told = dropped;
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
	int64_t now_us;
	int used, added;

	if (level < logger.min_level)
		return;
	now_us = clock_now_us(clock_system());
	if (!takes_token(level, now_us)) {
		logger.dropped++;
		return;
	}
	tell_dropped(now_us);
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
	if (write(logger.fd, line, used) < 0)
		logger.dropped++;
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
