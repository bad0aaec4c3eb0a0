#ifndef WASABILINK_GATEWAY_SEGMENT_CACHE_H
#define WASABILINK_GATEWAY_SEGMENT_CACHE_H

#include <glib.h>
#include <stddef.h>

/*
 * segment_cache - results of batch jobs by segment key, least recently used
 * first out. Segments never change, so an entry is never stale.
 */
typedef struct segment_cache segment_cache_t;

segment_cache_t *segment_cache_new(size_t max_bytes);
void segment_cache_free(segment_cache_t *cache);
/* Takes the array of job_result_t over. */
void segment_cache_put(segment_cache_t *cache, const char *key,
		       GPtrArray *results);
/* NULL when not held; valid until the next put. */
const GPtrArray *segment_cache_get(segment_cache_t *cache, const char *key);

#endif
