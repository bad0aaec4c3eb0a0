#ifndef WASABILINK_EMULATOR_ENGINE_LOAD_H
#define WASABILINK_EMULATOR_ENGINE_LOAD_H

#include <event2/event.h>
#include <jansson.h>
#include <stdint.h>

#include "emulator/generation.h"

/*
 * engine_load - load reports that lag: an answer shows the last sample, which
 * is up to the lag old. A lag of 0 shows the present.
 */
typedef struct engine_load engine_load_t;

engine_load_t *engine_load_new(struct event_base *base,
			       const generation_pool_t *pool, int64_t lag_ms);
void engine_load_free(engine_load_t *load);
/* The answer to GET /engine/load; a new reference. */
json_t *engine_load_report(engine_load_t *load);

#endif
