#ifndef WASABILINK_PLATFORM_OBJECT_MEMORY_H
#define WASABILINK_PLATFORM_OBJECT_MEMORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "object/object_store.h"

/*
 * object_memory - object store in process with seeded faults, for tests.
 *
 * One object_memory_t is the platform; each node opens a store of its own.
 * Nothing runs by itself: object_memory_step() carries out the calls that are
 * due by the clock, and object_memory_deliver() runs one node's completions.
 * So a test can pause a node while its calls take effect.
 *
 * A call takes effect after a random delay and is answered after another one.
 * A call without an answer after timeout_ms ends with WL_ERROR_TIMEOUT; its
 * effect is kept, also when it comes after the timeout.
 */
typedef struct object_memory object_memory_t;

typedef struct object_memory_faults {
	int64_t outage_until_ms; /* monotonic; calls get WL_ERROR_UNAVAILABLE */
	int32_t delay_ms; /* most before the effect, and before the answer */
	double lose_answers; /* probability, effect kept */
	double lose_calls; /* probability, without effect, no answer */
	double late_writes; /* probability that a write's effect comes within
			     * timeout_ms after its timeout */
	double writes_per_s; /* 0: no limit */
	int32_t timeout_ms;
} object_memory_faults_t;

typedef struct object_memory_stats {
	int64_t writes; /* that took effect */
	int64_t reads;
	int64_t refused;
	int64_t bytes_written;
} object_memory_stats_t;

object_memory_t *object_memory_new(const clock_source_t *clock, uint32_t seed);
/* After all stores are freed. */
void object_memory_free(object_memory_t *memory);
/* To be changed by the test at any time. */
object_memory_faults_t *object_memory_faults(object_memory_t *memory);
const object_memory_stats_t *object_memory_stats(const object_memory_t *memory);

object_store_t *object_memory_open(object_memory_t *memory);
/* While cut, calls of this store are refused: the network is down. */
void object_memory_cut(object_store_t *store, bool cut);

void object_memory_step(object_memory_t *memory);
/* Returns the number of completions that ran. */
uint32_t object_memory_deliver(object_store_t *store);

#endif
