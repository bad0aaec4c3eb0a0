#include "emulator/prefix_cache.h"

#include <string.h>

/* Events kept for readers; older ones are a gap for whoever is behind. */
#define MAX_EVENTS 10000

typedef struct cache_event {
	int64_t seq;
	int64_t visible_ms;
	bool stored;
	char prefix[PREFIX_NAME_HEX + 1];
} cache_event_t;

struct prefix_cache {
	prefix_cache_options_t options;
	GRand *random;
	GHashTable *links; /* prefix -> link in recent */
	GQueue recent; /* char *, most recently used first */
	GQueue events; /* cache_event_t, oldest first */
	int64_t next_seq;
};

prefix_cache_t *prefix_cache_new(const prefix_cache_options_t *options)
{
	prefix_cache_t *cache = g_new0(prefix_cache_t, 1);

	cache->options = *options;
	cache->random = g_rand_new_with_seed(options->seed);
	cache->links = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&cache->recent);
	g_queue_init(&cache->events);
	cache->next_seq = 1;
	return cache;
}

void prefix_cache_free(prefix_cache_t *cache)
{
	if (!cache)
		return;
	g_hash_table_destroy(cache->links);
	g_queue_clear_full(&cache->recent, g_free);
	g_queue_clear_full(&cache->events, g_free);
	g_rand_free(cache->random);
	g_free(cache);
}

static void publish(prefix_cache_t *cache, const char *prefix, bool stored)
{
	int64_t seq = cache->next_seq++;
	cache_event_t *event;

	if (cache->options.event_gap_rate > 0 &&
	    g_rand_double(cache->random) < cache->options.event_gap_rate)
		return;
	event = g_new0(cache_event_t, 1);
	event->seq = seq;
	event->visible_ms = clock_now_ms(cache->options.clock) +
			    cache->options.event_delay_ms;
	event->stored = stored;
	g_strlcpy(event->prefix, prefix, sizeof(event->prefix));
	g_queue_push_tail(&cache->events, event);
	if (g_queue_get_length(&cache->events) > MAX_EVENTS)
		g_free(g_queue_pop_head(&cache->events));
}

bool prefix_cache_holds(const prefix_cache_t *cache, const char *prefix)
{
	return g_hash_table_contains(cache->links, prefix);
}

void prefix_cache_store(prefix_cache_t *cache, const char *prefix)
{
	GList *link = g_hash_table_lookup(cache->links, prefix);
	char *oldest;

	if (link) {
		g_queue_unlink(&cache->recent, link);
		g_queue_push_head_link(&cache->recent, link);
		return;
	}
	if (cache->options.max_blocks <= 0)
		return;
	g_queue_push_head(&cache->recent, g_strdup(prefix));
	g_hash_table_insert(cache->links, cache->recent.head->data,
			    cache->recent.head);
	publish(cache, prefix, true);
	if ((int64_t)g_queue_get_length(&cache->recent) <=
	    cache->options.max_blocks)
		return;
	oldest = g_queue_pop_tail(&cache->recent);
	g_hash_table_remove(cache->links, oldest);
	publish(cache, oldest, false);
	g_free(oldest);
}

int64_t prefix_cache_use(prefix_cache_t *cache, const char *prompt)
{
	size_t blocks = strlen(prompt) / PREFIX_BLOCK_BYTES;
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	int64_t cached = 0;
	bool all_cached = true;

	for (size_t i = 0; i < blocks; i++) {
		GChecksum *copy;
		char name[PREFIX_NAME_HEX + 1];

		g_checksum_update(
			sum, (const guchar *)prompt + i * PREFIX_BLOCK_BYTES,
			PREFIX_BLOCK_BYTES);
		copy = g_checksum_copy(sum);
		g_strlcpy(name, g_checksum_get_string(copy), sizeof(name));
		g_checksum_free(copy);
		all_cached = all_cached && prefix_cache_holds(cache, name);
		if (all_cached)
			cached++;
		prefix_cache_store(cache, name);
	}
	g_checksum_free(sum);
	return cached * PREFIX_BLOCK_BYTES / PREFIX_TOKEN_BYTES;
}

json_t *prefix_cache_events(const prefix_cache_t *cache, int64_t since)
{
	int64_t now = clock_now_ms(cache->options.clock);
	int64_t next = MAX(since, 1);
	json_t *events = json_array();

	for (const GList *l = cache->events.head; l; l = l->next) {
		const cache_event_t *event = l->data;

		if (event->visible_ms > now)
			break;
		if (event->seq < since)
			continue;
		next = event->seq + 1;
		json_array_append_new(
			events, json_pack("{s:I, s:s, s:s}", "seq",
					  (json_int_t)event->seq, "type",
					  event->stored ? "stored" : "evicted",
					  "prefix", event->prefix));
	}
	return json_pack("{s:I, s:o}", "next", (json_int_t)next, "events",
			 events);
}
