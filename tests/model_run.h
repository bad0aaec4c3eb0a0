#ifndef WASABILINK_TESTS_MODEL_RUN_H
#define WASABILINK_TESTS_MODEL_RUN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * model_run - plays random histories of a model that runs modules in one process
 * on a clock of its own.
 *
 *   PROGRAM                 a few seconds of fixed seeds
 *   PROGRAM --seed N        one history; its trace if it fails
 *   PROGRAM --histories N [--from SEED]
 *   PROGRAM --seconds N [--from SEED]
 *
 * A history follows from its seed alone. One that fails is shortened: its events
 * are left out as long as it fails.
 */
#define MODEL_EVENTS_MAX 64

/* What a history reports. */
typedef struct model_trace {
	const int64_t *now_us;
	bool on;
	GQueue lines; /* char *, the last ones */
	char *violation; /* the first one; NULL: none */
} model_trace_t;

void model_trace_init(model_trace_t *trace, const int64_t *now_us);
void model_trace_clear(model_trace_t *trace);
/* Also as the sink of the log; user_data is the trace. */
void model_trace_line(const char *line, void *user_data);
void model_note(model_trace_t *trace, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
void model_violate(model_trace_t *trace, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Sets the clock that libevent and the modules see; NULL: the real one. */
void model_run_set_clock(const clock_manual_t *clock);

typedef struct model_run {
	void *(*create)(uint64_t seed);
	/* Leaves out the events of the mask. */
	void (*skip)(void *world, uint64_t events);
	void (*play)(void *world);
	void (*destroy)(void *world);
	void (*print_events)(const void *world);
	model_trace_t *(*trace)(void *world);
	int (*events)(const void *world);
	uint64_t (*steps)(const void *world);
	/* Histories that failed on a build with a fault since fixed, beyond the
	 * fixed ones. */
	const uint64_t *regressions;
	size_t regressions_count;
	uint64_t fixed; /* histories that are played without arguments */
} model_run_t;

/* Returns the exit status: 0 if all histories hold, 2 for wrong arguments. */
int model_run_main(const model_run_t *run, int argc, char **argv);

#endif
