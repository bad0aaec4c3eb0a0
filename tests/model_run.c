#include "model_run.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "base/log.h"

#define TRACE_LINES 150
#define CHUNK_HISTORIES 100
#define CHILD_FAILED 1
#define USAGE_STATUS 2
/* Of a seed, a number of histories or seconds. */
#define NUMBER_MAX 1000000000000LL
#define LOG_NOTHING ((log_level_t)(LOG_LEVEL_ERROR + 1))

static const clock_manual_t *current_clock;

void model_run_set_clock(const clock_manual_t *clock)
{
	current_clock = clock;
}

/* Replaces that of the C library, so that the timers of the event loops run on
 * the current process's clock. */
int clock_gettime(clockid_t id, struct timespec *time)
{
	int64_t us;

	if (!current_clock)
		return (int)syscall(SYS_clock_gettime, id, time);
	if (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)
		us = current_clock->wall_ms * 1000;
	else if (id == CLOCK_BOOTTIME)
		us = current_clock->monotonic_us + current_clock->suspended_us;
	else
		us = current_clock->monotonic_us;
	time->tv_sec = us / 1000000;
	time->tv_nsec = us % 1000000 * 1000;
	return 0;
}

static int64_t real_ms(void)
{
	struct timespec now;

	syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
	return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

void model_trace_init(model_trace_t *trace, const int64_t *now_us)
{
	*trace = (model_trace_t){ .now_us = now_us };
	g_queue_init(&trace->lines);
}

void model_trace_clear(model_trace_t *trace)
{
	g_free(trace->violation);
	g_queue_clear_full(&trace->lines, g_free);
}

void model_trace_line(const char *line, void *user_data)
{
	model_trace_t *trace = user_data;

	if (!trace->on)
		return;
	g_queue_push_tail(&trace->lines, g_strdup(line));
	if (trace->lines.length > TRACE_LINES)
		g_free(g_queue_pop_head(&trace->lines));
}

void model_note(model_trace_t *trace, const char *format, ...)
{
	char *text;
	char *line;
	va_list args;

	if (!trace->on)
		return;
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	line = g_strdup_printf("%8.2f -- %s", (double)*trace->now_us / 1e6,
			       text);
	model_trace_line(line, trace);
	g_free(line);
	g_free(text);
}

void model_violate(model_trace_t *trace, const char *format, ...)
{
	va_list args;

	if (trace->violation)
		return;
	va_start(args, format);
	trace->violation = g_strdup_vprintf(format, args);
	va_end(args);
	model_note(trace, "VIOLATION %s", trace->violation);
}

/* Plays a history without the events of the mask in a process of its own. */
static bool fails_without(const model_run_t *run, uint64_t seed,
			  uint64_t skipped)
{
	int status = 0;
	pid_t child;

	fflush(stdout);
	child = fork();
	if (child == 0) {
		void *world = run->create(seed);

		log_init("-", LOG_NOTHING);
		run->skip(world, skipped);
		run->play(world);
		_exit(run->trace(world)->violation ? CHILD_FAILED : 0);
	}
	if (child < 0 || waitpid(child, &status, 0) < 0)
		return false;
	return status != 0;
}

/* Leaves out events as long as the history fails. */
static uint64_t shrink(const model_run_t *run, uint64_t seed, int events)
{
	uint64_t skipped = 0;
	bool shorter = true;

	while (shorter) {
		shorter = false;
		for (int i = events; i-- > 0;) {
			uint64_t further = skipped | 1ULL << i;

			if (further == skipped ||
			    !fails_without(run, seed, further))
				continue;
			skipped = further;
			shorter = true;
		}
	}
	return skipped;
}

/* Returns whether the history holds. */
static bool play_seed(const model_run_t *run, uint64_t seed)
{
	void *world = run->create(seed);
	model_trace_t *trace = run->trace(world);
	char *line;

	log_init("-", LOG_NOTHING);
	if (!fails_without(run, seed, 0)) {
		printf("seed %" G_GUINT64_FORMAT " holds\n", seed);
		return true;
	}
	run->skip(world, shrink(run, seed, run->events(world)));
	trace->on = true;
	run->print_events(world);
	/* The log lines are printed with the events of the model. */
	if (!freopen("/dev/null", "w", stderr))
		printf("the log is on standard error, too\n");
	run->play(world);
	while ((line = g_queue_pop_head(&trace->lines)) != NULL) {
		printf("%s\n", line);
		g_free(line);
	}
	printf("seed %" G_GUINT64_FORMAT " fails: %s\n", seed,
	       trace->violation ? trace->violation : "without its trace");
	return false;
}

/* What a process reports that plays several histories. */
typedef struct chunk_report {
	uint64_t histories;
	uint64_t steps;
	uint64_t failed; /* seed of the last history begun */
} chunk_report_t;

static void play_chunk(const model_run_t *run, uint64_t from, uint64_t count,
		       int64_t until_ms, int fd)
{
	chunk_report_t report = { 0 };

	log_init("-", LOG_NOTHING);
	for (uint64_t i = 0; i < count; i++) {
		void *world = run->create(from + i);

		run->play(world);
		report.histories++;
		report.steps += run->steps(world);
		if (run->trace(world)->violation) {
			fprintf(stderr,
				"seed %" G_GUINT64_FORMAT " fails: %s\n",
				from + i, run->trace(world)->violation);
			report.failed++;
		}
		run->destroy(world);
		if (until_ms && real_ms() >= until_ms)
			break;
	}
	if (write(fd, &report, sizeof(report)) != (ssize_t)sizeof(report))
		_exit(USAGE_STATUS);
	_exit(report.failed ? CHILD_FAILED : 0);
}

static bool run_chunk(const model_run_t *run, uint64_t from, uint64_t count,
		      int64_t until_ms, chunk_report_t *total)
{
	chunk_report_t report = { 0 };
	int status = 0;
	int fds[2];
	pid_t child;

	fflush(stdout);
	if (pipe(fds) != 0)
		return false;
	child = fork();
	if (child == 0)
		play_chunk(run, from, count, until_ms, fds[1]);
	close(fds[1]);
	if (read(fds[0], &report, sizeof(report)) != (ssize_t)sizeof(report)) {
		fprintf(stderr,
			"a history of seeds %" G_GUINT64_FORMAT
			" to %" G_GUINT64_FORMAT " ended its process\n",
			from, from + count - 1);
		report.failed++;
	}
	close(fds[0]);
	if (child > 0)
		waitpid(child, &status, 0);
	total->histories += report.histories;
	total->steps += report.steps;
	total->failed += report.failed;
	return status == 0 && !report.failed;
}

static bool play_regressions(const model_run_t *run)
{
	chunk_report_t total = { 0 };
	bool hold = true;

	for (size_t i = 0; i < run->regressions_count; i++)
		hold &= run_chunk(run, run->regressions[i], 1, 0, &total);
	return hold;
}

/* Plays histories from a seed on, until their number or the time is over. */
static int play_histories(const model_run_t *run, uint64_t from,
			  uint64_t histories, int64_t seconds)
{
	chunk_report_t total = { 0 };
	int64_t started_ms = real_ms();
	int64_t until_ms = seconds ? started_ms + seconds * 1000 : 0;
	double elapsed_s;

	while (until_ms ? real_ms() < until_ms : total.histories < histories) {
		uint64_t count = CHUNK_HISTORIES;
		uint64_t before = total.histories;

		if (!until_ms)
			count = MIN(count, histories - total.histories);
		run_chunk(run, from + total.histories, count, until_ms, &total);
		if (total.histories == before)
			break;
	}
	elapsed_s = (double)(real_ms() - started_ms) / 1000;
	printf("%" G_GUINT64_FORMAT " histories in %.1f s (%.1f per second), "
	       "%.0f steps a history, %" G_GUINT64_FORMAT " failed\n",
	       total.histories, elapsed_s, (double)total.histories / elapsed_s,
	       (double)total.steps / (double)MAX(total.histories, 1),
	       total.failed);
	return total.failed ? 1 : 0;
}

static bool parse_number(const char *text, uint64_t *number)
{
	char *end = NULL;

	if (!text || !g_ascii_isdigit(*text))
		return false;
	errno = 0;
	*number = g_ascii_strtoull(text, &end, 10);
	return errno == 0 && *end == '\0';
}

int model_run_main(const model_run_t *run, int argc, char **argv)
{
	uint64_t seed = 0, histories = 0, seconds = 0, from = 1;
	bool has_seed = false;
	bool holds = true;

	for (int i = 1; i < argc; i += 2) {
		static const char *const names[] = { "--seed", "--histories",
						     "--seconds", "--from" };
		uint64_t *const values[] = { &seed, &histories, &seconds,
					     &from };
		size_t option = 0;

		while (option < G_N_ELEMENTS(names) &&
		       strcmp(argv[i], names[option]) != 0)
			option++;
		if (option == G_N_ELEMENTS(names)) {
			fprintf(stderr, "unknown argument: %s\n", argv[i]);
			return USAGE_STATUS;
		}
		if (!parse_number(argv[i + 1], values[option])) {
			fprintf(stderr, "%s needs a number, not \"%s\"\n",
				argv[i], argv[i + 1] ? argv[i + 1] : "");
			return USAGE_STATUS;
		}
		has_seed |= option == 0;
		if (*values[option] < 1 || *values[option] > NUMBER_MAX) {
			fprintf(stderr, "%s is not from 1 to %lld\n", argv[i],
				NUMBER_MAX);
			return USAGE_STATUS;
		}
	}
	if ((has_seed && argc > 3) || (histories && seconds)) {
		fprintf(stderr,
			"--seed, --histories and --seconds exclude each "
			"other\n");
		return USAGE_STATUS;
	}
	if (has_seed)
		return play_seed(run, seed) ? 0 : 1;
	if (!histories && !seconds) {
		histories = run->fixed;
		holds = play_regressions(run);
	}
	if (!holds) {
		play_histories(run, from, histories, (int64_t)seconds);
		return 1;
	}
	return play_histories(run, from, histories, (int64_t)seconds);
}
