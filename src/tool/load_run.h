#ifndef WASABILINK_TOOL_LOAD_RUN_H
#define WASABILINK_TOOL_LOAD_RUN_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/*
 * load_run - one run of load against entry processes or engines.
 *
 * Open loop (rate above 0): arrivals are a Poisson process, and latency counts
 * from the planned arrival, so that a slow target cannot slow the load down.
 * Closed loop: a number of requests is always open.
 */
typedef struct load_run load_run_t;

typedef struct load_options {
	char **addresses; /* IP:port, NULL at the end; used in turn */
	char **keys; /* bearer keys, NULL at the end; drawn per request */
	const char *path;
	const char *model;
	double rate_per_s; /* 0: closed loop */
	double burst_per_s; /* rate of the open loop during bursts */
	int64_t burst_ms; /* length of a burst, 0: no bursts */
	int64_t burst_every_ms; /* from one burst's start to the next */
	int64_t concurrency; /* of the closed loop */
	int64_t max_in_flight; /* of the open loop; more are not started */
	int64_t duration_ms;
	int64_t warmup_ms; /* not counted */
	int64_t requests; /* 0: unbounded */
	int64_t timeout_ms; /* of one try */
	int64_t drain_ms; /* wait for open requests at the end */
	int64_t max_resends; /* after a refusal */
	int64_t max_tokens;
	double long_share;
	int64_t long_factor;
	bool long_hidden; /* length shows in the prompt only */
	int64_t prefixes; /* number of shared prompt starts */
	int64_t prefix_bytes;
	double stream_share;
	bool keyed; /* an Idempotency-Key for each request */
	bool expect_run; /* check each answer's content */
	uint32_t seed;
} load_options_t;

load_run_t *load_run_new(struct event_base *base,
			 const load_options_t *options);
/* Ends the loop of the base when all is done. */
void load_run_start(load_run_t *run);
/* Writes name=value lines; returns true when no answer was wrong. */
bool load_run_report(const load_run_t *run, FILE *out);
void load_run_free(load_run_t *run);

#endif
