#ifndef WASABILINK_EMULATOR_PREFIX_CACHE_H
#define WASABILINK_EMULATOR_PREFIX_CACHE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * prefix_cache - cached prompt prefixes in bounded memory, least recently used
 * evicted first.
 *
 * A prompt is cut into blocks of PREFIX_BLOCK_BYTES. The prefix that ends with
 * block n is named by the first 16 hexadecimal digits of the SHA-256 of the
 * prompt's first n * PREFIX_BLOCK_BYTES bytes. Events become visible late, and
 * some are left out while their sequence number is still used (a gap).
 */
#define PREFIX_BLOCK_BYTES 256
#define PREFIX_TOKEN_BYTES 4 /* bytes of prompt per token */
#define PREFIX_NAME_HEX 16

typedef struct prefix_cache prefix_cache_t;

typedef struct prefix_cache_options {
	const clock_source_t *clock;
	int64_t max_blocks;
	int64_t event_delay_ms;
	double event_gap_rate;
	uint32_t seed;
} prefix_cache_options_t;

prefix_cache_t *prefix_cache_new(const prefix_cache_options_t *options);
void prefix_cache_free(prefix_cache_t *cache);
/* Caches the prompt's blocks; returns how many tokens were cached before. */
int64_t prefix_cache_use(prefix_cache_t *cache, const char *prompt);
bool prefix_cache_holds(const prefix_cache_t *cache, const char *prefix);
void prefix_cache_store(prefix_cache_t *cache, const char *prefix);
/* The answer to GET /engine/events; a new reference. */
json_t *prefix_cache_events(const prefix_cache_t *cache, int64_t since);

#endif
