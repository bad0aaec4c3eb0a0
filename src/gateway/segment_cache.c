#include "gateway/segment_cache.h"

#include <string.h>

typedef struct cached_segment {
	char *key;
	char *digest;
	GPtrArray *results;
	size_t bytes;
	GList link; /* least recently used first */
} cached_segment_t;

struct segment_cache {
	GHashTable *by_key; /* entries are owned by the order queue */
	GQueue order;
	size_t bytes;
	size_t max_bytes;
};

segment_cache_t *segment_cache_new(size_t max_bytes)
{
	segment_cache_t *cache = g_new0(segment_cache_t, 1);

	cache->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&cache->order);
	cache->max_bytes = max_bytes;
	return cache;
}

static void evict(segment_cache_t *cache, cached_segment_t *entry)
{
	g_hash_table_remove(cache->by_key, entry->key);
	g_queue_unlink(&cache->order, &entry->link);
	cache->bytes -= entry->bytes;
	g_ptr_array_unref(entry->results);
	g_free(entry->digest);
	g_free(entry->key);
	g_free(entry);
}

void segment_cache_free(segment_cache_t *cache)
{
	while (cache->order.head)
		evict(cache, cache->order.head->data);
	g_hash_table_destroy(cache->by_key);
	g_free(cache);
}

void segment_cache_put(segment_cache_t *cache, const char *key,
		       GPtrArray *results)
{
	cached_segment_t *entry = g_hash_table_lookup(cache->by_key, key);

	if (entry)
		evict(cache, entry);
	entry = g_new0(cached_segment_t, 1);
	entry->key = g_strdup(key);
	entry->digest = job_results_digest(results);
	entry->results = results;
	entry->link.data = entry;
	for (guint i = 0; i < results->len; i++)
		entry->bytes +=
			strlen(((job_result_t *)results->pdata[i])->text);
	cache->bytes += entry->bytes;
	g_hash_table_insert(cache->by_key, entry->key, entry);
	g_queue_push_tail_link(&cache->order, &entry->link);
	while (cache->bytes > cache->max_bytes && cache->order.length > 1)
		evict(cache, cache->order.head->data);
}

const GPtrArray *segment_cache_get(segment_cache_t *cache, const char *key)
{
	cached_segment_t *entry = g_hash_table_lookup(cache->by_key, key);

	if (!entry)
		return NULL;
	g_queue_unlink(&cache->order, &entry->link);
	g_queue_push_tail_link(&cache->order, &entry->link);
	return entry->results;
}

const GPtrArray *segment_cache_find(segment_cache_t *cache,
				    const job_segment_t *segment)
{
	const GPtrArray *results = segment_cache_get(cache, segment->key);

	if (!results ||
	    !job_segment_has_results(segment, results,
				     segment_cache_digest(cache, segment->key)))
		return NULL;
	return results;
}

const char *segment_cache_digest(const segment_cache_t *cache, const char *key)
{
	const cached_segment_t *entry = g_hash_table_lookup(cache->by_key, key);

	return entry ? entry->digest : "";
}
