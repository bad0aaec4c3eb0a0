#include "gateway/follow.h"

#include <inttypes.h>

#include "base/error.h"
#include "base/log.h"

#define FIRST_RETRY_MS 50
/* With this limit the store's recovery is noticed soon, without adding load to
 * it. */
#define MAX_RETRY_MS 400
#define LIST_LIMIT 500

struct follow_group {
	GPtrArray *follows;
};

/* A call in flight. The answer to one that was given up is ignored. */
typedef struct follow_call {
	follow_t *follow; /* NULL: given up */
	int64_t started_us;
} follow_call_t;

struct follow {
	follow_options_t options;
	char *prefix;
	struct event *timer;
	GHashTable *keys; /* of the current listing; NULL: watching */
	char *after; /* last key of the previous page */
	uint64_t revision; /* to watch from */
	uint64_t list_revision; /* of the oldest page */
	follow_call_t *call; /* in flight; NULL: none */
	int64_t answered_us;
	int64_t steady_since_us;
	int32_t retry_ms;
	bool synced;
	bool lost;
};

static void call_store(follow_t *follow);

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	call_store(arg);
}

static void call_later(follow_t *follow, int32_t pause_ms)
{
	struct timeval pause = { pause_ms / 1000, pause_ms % 1000 * 1000 };

	evtimer_add(follow->timer, &pause);
}

static void relist(follow_t *follow)
{
	if (!follow->keys)
		follow->keys = g_hash_table_new_full(g_str_hash, g_str_equal,
						     g_free, NULL);
	g_hash_table_remove_all(follow->keys);
	g_clear_pointer(&follow->after, g_free);
}

static void on_failure(follow_t *follow, const GError *error)
{
	if (!follow->lost)
		log_warn("store_lost",
			 "prefix=%s error=%s revision=%" PRIu64 " message=%s",
			 follow->prefix, error_name(error->code),
			 follow->revision, log_quote(error->message));
	follow->lost = true;
	follow->steady_since_us = 0;
	/* A truncated watch may have missed changes, and another one from the
	 * same revision need not report that their history was dropped. */
	relist(follow);
	follow->retry_ms =
		MIN(MAX(follow->retry_ms * 2, FIRST_RETRY_MS), MAX_RETRY_MS);
	call_later(follow, follow->retry_ms);
}

/* Gives up the watch of a view that has waited since before the time and lists
 * its objects. */
static void renew(follow_t *follow, int64_t before_us)
{
	follow_call_t *call = follow->call;

	if (!call || follow->keys || call->started_us >= before_us)
		return;
	log_info("watch_renewed", "prefix=%s waited_ms=%" PRId64,
		 follow->prefix,
		 (clock_now_us(follow->options.clock) - call->started_us) /
			 1000);
	call->follow = NULL;
	follow->call = NULL;
	relist(follow);
	call_store(follow);
}

static void renew_others(const follow_t *follow, int64_t before_us)
{
	const follow_group_t *group = follow->options.group;

	for (guint i = 0; group && i < group->follows->len; i++)
		if (group->follows->pdata[i] != follow)
			renew(group->follows->pdata[i], before_us);
}

/* Ends a call; returns its view, or NULL when it was given up. */
static follow_t *end_call(follow_call_t *call, int64_t *started_us)
{
	follow_t *follow = call->follow;

	*started_us = call->started_us;
	if (follow)
		follow->call = NULL;
	g_free(call);
	return follow;
}

static void on_answer(follow_t *follow, int64_t started_us)
{
	int64_t now_us = clock_now_us(follow->options.clock);
	bool was_lost = follow->lost;

	if (follow->lost)
		log_info("store_back", "prefix=%s silent_ms=%" PRId64,
			 follow->prefix, (now_us - follow->answered_us) / 1000);
	follow->lost = false;
	follow->retry_ms = 0;
	follow->answered_us = now_us;
	if (!follow->steady_since_us)
		follow->steady_since_us = now_us;
	if (was_lost)
		renew_others(follow, started_us);
}

static void apply(follow_t *follow, const object_listing_t *listing)
{
	for (guint i = 0; i < listing->entries->len; i++) {
		const object_entry_t *entry =
			&g_array_index(listing->entries, object_entry_t, i);

		if (follow->keys)
			g_hash_table_add(follow->keys, g_strdup(entry->key));
		if (entry->deleted)
			follow->options.removed(entry->key,
						follow->options.user_data);
		else
			follow->options.changed(entry,
						follow->options.user_data);
	}
}

/* The answer has only some of the changes up to its revision. */
static void list_again(follow_t *follow, const object_listing_t *listing)
{
	log_info("watch_capped",
		 "prefix=%s revision=%" PRIu64 " answered=%" PRIu64
		 " entries=%u",
		 follow->prefix, follow->revision, listing->revision,
		 listing->entries->len);
	relist(follow);
	call_store(follow);
}

static void on_watched(const object_listing_t *listing, const GError *error,
		       void *user_data)
{
	int64_t started_us;
	follow_t *follow = end_call(user_data, &started_us);
	int32_t pause_ms;

	if (!follow)
		return;
	pause_ms = follow->options.pause_ms;
	if (error && error->code == WL_ERROR_NOT_FOUND) {
		log_info("history_gone", "prefix=%s revision=%" PRIu64,
			 follow->prefix, follow->revision);
		on_answer(follow, started_us);
		relist(follow);
		/* A stale listing may be older than the history repeatedly, so
		 * it is not read without a pause. */
		call_later(follow, pause_ms);
		return;
	}
	if (error) {
		on_failure(follow, error);
		return;
	}
	on_answer(follow, started_us);
	apply(follow, listing);
	if (listing->more) {
		list_again(follow, listing);
		return;
	}
	follow->revision = MAX(follow->revision, listing->revision);
	if (listing->entries->len > 0)
		pause_ms = MAX(pause_ms, follow->options.change_pause_ms);
	if (pause_ms)
		call_later(follow, pause_ms);
	else
		call_store(follow);
}

static void on_listed(const object_listing_t *listing, const GError *error,
		      void *user_data)
{
	int64_t started_us;
	follow_t *follow = end_call(user_data, &started_us);

	if (!follow)
		return;
	if (error) {
		on_failure(follow, error);
		return;
	}
	on_answer(follow, started_us);
	/* Stale pages may be of different ages. */
	if (!follow->after || listing->revision < follow->list_revision)
		follow->list_revision = listing->revision;
	apply(follow, listing);
	if (listing->more && listing->entries->len > 0) {
		g_free(follow->after);
		follow->after =
			g_strdup(g_array_index(listing->entries, object_entry_t,
					       listing->entries->len - 1)
					 .key);
		call_store(follow);
		return;
	}
	follow->revision = follow->list_revision;
	follow->synced = true;
	if (follow->options.listed)
		follow->options.listed(follow->keys, follow->options.user_data);
	g_hash_table_destroy(follow->keys);
	follow->keys = NULL;
	g_clear_pointer(&follow->after, g_free);
	call_store(follow);
}

static void call_store(follow_t *follow)
{
	follow_call_t *call = g_new0(follow_call_t, 1);

	call->follow = follow;
	call->started_us = clock_now_us(follow->options.clock);
	follow->call = call;
	if (follow->keys)
		object_list(follow->options.store, follow->prefix,
			    follow->after, LIST_LIMIT, on_listed, call);
	else
		object_watch(follow->options.store, follow->prefix,
			     follow->revision, follow->options.wait_ms,
			     on_watched, call);
}

follow_group_t *follow_group_new(void)
{
	follow_group_t *group = g_new0(follow_group_t, 1);

	group->follows = g_ptr_array_new();
	return group;
}

void follow_group_free(follow_group_t *group)
{
	if (!group)
		return;
	g_ptr_array_free(group->follows, TRUE);
	g_free(group);
}

void follow_group_each(const follow_group_t *group, follow_each_t each,
		       void *user_data)
{
	for (guint i = 0; i < group->follows->len; i++) {
		follow_state_t state;

		follow_get_state(group->follows->pdata[i], &state);
		each(&state, user_data);
	}
}

follow_t *follow_new(const follow_options_t *options)
{
	follow_t *follow = g_new0(follow_t, 1);

	follow->options = *options;
	follow->prefix = g_strdup(options->prefix);
	follow->answered_us = clock_now_us(options->clock);
	follow->timer = evtimer_new(options->base, on_timer, follow);
	if (options->group)
		g_ptr_array_add(options->group->follows, follow);
	relist(follow);
	call_store(follow);
	return follow;
}

bool follow_is_synced(const follow_t *follow)
{
	return follow->synced;
}

void follow_get_state(const follow_t *follow, follow_state_t *state)
{
	int64_t now_us = clock_now_us(follow->options.clock);

	*state = (follow_state_t){
		.prefix = follow->prefix,
		.revision = follow->revision,
		.heard_ms = (now_us - follow->answered_us) / 1000,
		.waiting_ms =
			follow->call ?
				(now_us - follow->call->started_us) / 1000 :
				-1,
		.lost = follow->lost,
	};
}

int64_t follow_steady_since_us(const follow_t *follow)
{
	return follow->steady_since_us;
}
