#include "coord/follower.h"

#include <string.h>

/* Maximum delay of the first read of the store, which is skipped if a peer has
 * supplied a document before. */
#define FIRST_READ_DELAY_MS 400
/* At 10 ms per node, a fleet whose nodes have all lost their peers reads the
 * store 100 times per second. */
#define READ_SPREAD_MS_PER_NODE 10
#define RETRY_MIN_MS 250
#define RETRY_MAX_MS 8000
/* A node that does not know the fleet yet considers itself its domain's
 * watcher, so a watcher starts only after this time. */
#define WATCHER_START_DELAY_MS 2000
/* Minimum interval between watches, so that a watch that is answered at once
 * does not become a busy loop. */
#define WATCH_INTERVAL_MIN_MS 100
/* Lists the store even when no notification arrives, about this often. */
#define RECHECK_INTERVAL_MS 300000
#define MAX_SOURCES 8
#define MAX_PEER_ATTEMPTS 3

struct follower {
	follower_options_t options;
	uint64_t version;
	uint8_t digest[FOLLOWER_DIGEST_BYTES];
	uint64_t invalid_version; /* highest that apply() rejected */
	uint64_t known; /* highest announced, listed or read */
	uint8_t known_digest[FOLLOWER_DIGEST_BYTES];
	bool known_digest_set;
	GPtrArray *sources; /* addresses that have the known version */
	uint32_t peer_attempts; /* for the known version */
	bool fetching;
	bool need_full_fetch; /* the last difference gave another digest */
	bool getting;
	bool listing;
	bool watching;
	uint64_t since; /* revision up to which changes are known */
	bool listed; /* since is valid */
	int64_t next_get_ms; /* 0: none scheduled */
	int64_t next_list_ms;
	int64_t next_watch_ms;
	int64_t next_recheck_ms;
	int64_t watch_start_ms; /* 0: not the watcher */
	uint32_t failures;
	uint32_t fleet_size;
};

static int64_t now_ms(const follower_t *follower)
{
	return clock_now_ms(follower->options.clock);
}

static int64_t jitter(follower_t *follower, int64_t max_ms)
{
	return g_rand_int_range(follower->options.random, 0,
				(gint32)MAX(max_ms, 1));
}

/* Exponential backoff with a random delay between half of the step and all of
 * it. */
static int64_t backoff(follower_t *follower)
{
	int64_t step = (int64_t)RETRY_MIN_MS << MIN(follower->failures, 5);

	follower->failures++;
	step = MIN(step, RETRY_MAX_MS);
	return step / 2 + jitter(follower, step / 2);
}

static bool is_wanted(const follower_t *follower, uint64_t version)
{
	return version > follower->version &&
	       version != follower->invalid_version;
}

static bool is_behind(const follower_t *follower)
{
	return follower->version == 0 || is_wanted(follower, follower->known);
}

static void raise_known(follower_t *follower, uint64_t version,
			const uint8_t *digest)
{
	if (version <= follower->known || !is_wanted(follower, version))
		return;
	follower->known = version;
	follower->known_digest_set = digest != NULL;
	if (digest)
		memcpy(follower->known_digest, digest, FOLLOWER_DIGEST_BYTES);
	g_ptr_array_set_size(follower->sources, 0);
	follower->peer_attempts = 0;
}

void follower_announced(follower_t *follower, const char *address,
			uint64_t version, const uint8_t *digest)
{
	if (version < follower->known || !is_wanted(follower, version))
		return;
	raise_known(follower, version, digest);
	if (!follower->known_digest_set) {
		memcpy(follower->known_digest, digest, FOLLOWER_DIGEST_BYTES);
		follower->known_digest_set = true;
	}
	for (guint i = 0; i < follower->sources->len; i++)
		if (strcmp(follower->sources->pdata[i], address) == 0)
			return;
	if (follower->sources->len < MAX_SOURCES)
		g_ptr_array_add(follower->sources, g_strdup(address));
}

static void compute_digest(GBytes *data, uint8_t *digest)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = FOLLOWER_DIGEST_BYTES;

	g_checksum_update(checksum, g_bytes_get_data(data, NULL),
			  (gssize)g_bytes_get_size(data));
	g_checksum_get_digest(checksum, digest, &len);
	g_checksum_free(checksum);
}

static void apply_document(follower_t *follower, uint64_t version,
			   const uint8_t *digest, GBytes *data)
{
	if (!is_wanted(follower, version))
		return;
	raise_known(follower, version, digest);
	if (!follower->options.apply(version, digest, data,
				     follower->options.user_data)) {
		/* A peer may still have an older version that is valid. */
		follower->invalid_version = version;
		follower->known = follower->version;
		return;
	}
	follower->version = version;
	memcpy(follower->digest, digest, FOLLOWER_DIGEST_BYTES);
}

/* Schedules a read of the store after a random delay of at most within_ms. */
static void schedule_get(follower_t *follower, int64_t within_ms)
{
	if (!follower->next_get_ms)
		follower->next_get_ms =
			now_ms(follower) + 1 + jitter(follower, within_ms);
}

static int64_t spread_ms(const follower_t *follower)
{
	return (int64_t)follower->fleet_size * READ_SPREAD_MS_PER_NODE;
}

void follower_got(follower_t *follower, follower_outcome_t outcome,
		  uint64_t version, GBytes *data)
{
	uint8_t digest[FOLLOWER_DIGEST_BYTES];

	follower->getting = false;
	follower->next_get_ms = 0;
	if (outcome == FOLLOWER_OK) {
		compute_digest(data, digest);
		apply_document(follower, version, digest, data);
	}
	if (!is_behind(follower)) {
		follower->failures = 0;
		return;
	}
	/* If a peer answers before then, the read is skipped. */
	follower->next_get_ms = now_ms(follower) + backoff(follower);
	follower->peer_attempts = 0;
}

static void remove_source(follower_t *follower)
{
	if (follower->sources->len > 0)
		g_ptr_array_remove_index(follower->sources,
					 follower->sources->len - 1);
}

void follower_fetched(follower_t *follower, follower_outcome_t outcome,
		      uint64_t version, const uint8_t *digest, GBytes *data)
{
	uint8_t computed[FOLLOWER_DIGEST_BYTES];

	follower->fetching = false;
	if (outcome == FOLLOWER_OK) {
		compute_digest(data, computed);
		follower->need_full_fetch =
			memcmp(computed, digest, sizeof(computed)) != 0;
		if (!follower->need_full_fetch &&
		    (version != follower->known ||
		     !follower->known_digest_set ||
		     memcmp(computed, follower->known_digest,
			    sizeof(computed)) == 0))
			apply_document(follower, version, computed, data);
	}
	if (!is_wanted(follower, follower->known))
		return;
	follower->peer_attempts++;
	/* The same source is used again only to fetch the complete document. */
	if (!follower->need_full_fetch)
		remove_source(follower);
}

void follower_listed(follower_t *follower, follower_outcome_t outcome,
		     uint64_t revision, uint64_t version)
{
	int64_t now = now_ms(follower);

	follower->listing = false;
	if (outcome != FOLLOWER_OK) {
		follower->next_list_ms = now + backoff(follower);
		return;
	}
	follower->failures = 0;
	follower->listed = true;
	follower->since = MAX(follower->since, revision);
	follower->next_watch_ms = now;
	if (is_wanted(follower, version)) {
		raise_known(follower, version, NULL);
		schedule_get(follower, follower->watch_start_ms ?
					       0 :
					       spread_ms(follower));
	}
}

void follower_watched(follower_t *follower, follower_outcome_t outcome,
		      uint64_t revision, uint64_t version)
{
	int64_t now = now_ms(follower);

	follower->watching = false;
	if (outcome != FOLLOWER_OK) {
		/* Events may have been missed: list before the next watch. */
		follower->listed = false;
		follower->next_list_ms = now + backoff(follower);
		return;
	}
	/* A delayed response must not move the watch back. */
	follower->since = MAX(follower->since, revision);
	if (is_wanted(follower, version)) {
		raise_known(follower, version, NULL);
		schedule_get(follower, 0);
	}
}

static void start_list(follower_t *follower)
{
	follower->listing = true;
	follower->options.list(follower->options.user_data);
}

static void start_watch(follower_t *follower, int64_t now)
{
	follower->watching = true;
	follower->next_watch_ms = now + WATCH_INTERVAL_MIN_MS;
	follower->options.watch(follower->since, follower->options.user_data);
}

static void tick_watch(follower_t *follower, bool is_watcher, int64_t now)
{
	if (!is_watcher) {
		follower->watch_start_ms = 0;
		follower->listed = false;
	} else if (!follower->watch_start_ms) {
		follower->watch_start_ms =
			now + WATCHER_START_DELAY_MS +
			jitter(follower, WATCHER_START_DELAY_MS);
	}
	if (follower->listing)
		return;
	if (now >= follower->next_recheck_ms) {
		follower->next_recheck_ms =
			now + RECHECK_INTERVAL_MS / 2 +
			jitter(follower, RECHECK_INTERVAL_MS);
		start_list(follower);
		return;
	}
	if (!follower->watch_start_ms || now < follower->watch_start_ms)
		return;
	if (!follower->listed && now >= follower->next_list_ms)
		start_list(follower);
	else if (follower->listed && !follower->watching &&
		 now >= follower->next_watch_ms)
		start_watch(follower, now);
}

static void start_fetch(follower_t *follower)
{
	guint last = follower->sources->len - 1;
	guint pick = (guint)jitter(follower, last + 1);
	void *swap = follower->sources->pdata[pick];

	/* The source in use is the last of the array. */
	if (!follower->need_full_fetch) {
		follower->sources->pdata[pick] = follower->sources->pdata[last];
		follower->sources->pdata[last] = swap;
	}
	follower->fetching = true;
	follower->options.fetch(follower->sources->pdata[last],
				follower->need_full_fetch ? 0 :
							    follower->version,
				follower->options.user_data);
}

static void tick_fetch(follower_t *follower)
{
	if (follower->fetching || !is_wanted(follower, follower->known))
		return;
	if (follower->sources->len > 0 &&
	    follower->peer_attempts < MAX_PEER_ATTEMPTS)
		start_fetch(follower);
	else
		schedule_get(follower, spread_ms(follower));
}

static void tick_get(follower_t *follower, int64_t now)
{
	if (follower->getting || !follower->next_get_ms ||
	    now < follower->next_get_ms)
		return;
	follower->next_get_ms = 0;
	if (!is_behind(follower))
		return;
	follower->getting = true;
	follower->options.get(follower->options.user_data);
}

void follower_tick(follower_t *follower, bool is_watcher, uint32_t fleet_size)
{
	int64_t now = now_ms(follower);

	follower->fleet_size = fleet_size;
	tick_watch(follower, is_watcher, now);
	tick_fetch(follower);
	tick_get(follower, now);
}

uint64_t follower_version(const follower_t *follower)
{
	return follower->version;
}

uint64_t follower_known(const follower_t *follower)
{
	return MAX(follower->known, follower->version);
}

follower_t *follower_new(const follower_options_t *options)
{
	follower_t *follower = g_new0(follower_t, 1);
	int64_t now = clock_now_ms(options->clock);

	follower->options = *options;
	follower->sources = g_ptr_array_new_with_free_func(g_free);
	follower->next_recheck_ms = now + RECHECK_INTERVAL_MS;
	schedule_get(follower, FIRST_READ_DELAY_MS);
	return follower;
}

void follower_free(follower_t *follower)
{
	if (!follower)
		return;
	g_ptr_array_free(follower->sources, TRUE);
	g_free(follower);
}
