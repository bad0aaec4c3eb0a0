#ifndef WASABILINK_EMULATOR_GENERATION_H
#define WASABILINK_EMULATOR_GENERATION_H

#include <event2/event.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "emulator/engine_fault.h"
#include "emulator/prefix_cache.h"
#include "http/http_server.h"

/*
 * generation - answers that an engine generates token by token.
 *
 * Continuous batching: every running answer takes a token per step, and a step
 * takes longer in proportion when more than `slots` answers run. Above
 * max_running, requests wait in order of arrival; one whose deadline passes
 * while it waits gets 504 and does not run.
 */
typedef struct generation_pool generation_pool_t;

typedef struct generation_options {
	struct event_base *base;
	engine_fault_t *fault;
	prefix_cache_t *cache;
	int64_t slots;
	int64_t max_running;
	int64_t token_us; /* between tokens at full speed */
	int64_t first_token_us; /* to the first token, without the prompt */
	int64_t prefill_us; /* per token of the prompt that is not cached */
} generation_options_t;

typedef struct generation_stats {
	int64_t running;
	int64_t queued;
	int64_t slots;
	int64_t tokens; /* generated since the start */
} generation_stats_t;

generation_pool_t *generation_pool_new(const generation_options_t *options);
void generation_pool_stats(const generation_pool_t *pool,
			   generation_stats_t *stats);
/* Takes over the exchange and answers it. */
void generation_start(generation_pool_t *pool, http_exchange_t *exchange,
		      const json_t *request, const char *prompt);
/* Breaks off all generations of this request id; returns their number. */
int64_t generation_cancel(generation_pool_t *pool, const char *id);

#endif
