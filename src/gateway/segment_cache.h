#ifndef WASABILINK_GATEWAY_SEGMENT_CACHE_H
#define WASABILINK_GATEWAY_SEGMENT_CACHE_H

#include <glib.h>
#include <stddef.h>

#include "gateway/job_record.h"

/*
 * segment_cache - cache of batch job results by segment key. Evicts the least
 * recently used segment first. An entry is served only for a segment of a record
 * that has its items and its digest.
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
/* Like segment_cache_get(), but NULL also when the cached results are not those
 * that the segment names. */
const GPtrArray *segment_cache_find(segment_cache_t *cache,
				    const job_segment_t *segment);
/* Digest of a cached segment; "" when not cached. */
const char *segment_cache_digest(const segment_cache_t *cache, const char *key);

#endif
