#ifndef WASABILINK_GATEWAY_SEGMENT_CACHE_H
#define WASABILINK_GATEWAY_SEGMENT_CACHE_H

#include <glib.h>
#include <stddef.h>

/*
 * segment_cache - cache of batch job results by segment key. Evicts the least
 * recently used segment first. Segments never change, so an entry is never
 * stale.
 */
typedef struct segment_cache segment_cache_t;

segment_cache_t *segment_cache_new(size_t max_bytes);
void segment_cache_free(segment_cache_t *cache);
/* Takes ownership of the array of job_result_t. Evicts other segments while the
 * texts exceed max_bytes, but keeps this one whatever its size. */
void segment_cache_put(segment_cache_t *cache, const char *key,
		       GPtrArray *results);
/* NULL when not cached; valid until the next put. */
const GPtrArray *segment_cache_get(segment_cache_t *cache, const char *key);

#endif
