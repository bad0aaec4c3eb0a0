#include "gateway/follow.h"

#include <inttypes.h>

#include "base/error.h"
#include "base/log.h"
#include "gateway/fleet.h"

#define FIRST_RETRY_MS 50
/* With this limit the store's recovery is noticed soon, without adding load to
 * it. */
#define MAX_RETRY_MS 400
#define LIST_LIMIT 500
/* Between looks at whether a check is due while the objects are listed, or between
 * two watches. */
#define CHECK_POLL_MS 100

struct follow_group {
	GPtrArray *follows;
	void (*checked)(void *user_data); /* NULL: nobody is told */
	void *user_data;
};

/* A call in flight. The answer to one that was given up is ignored. */
typedef struct follow_call {
	follow_t *follow; /* NULL: given up */
	int64_t started_us;
} follow_call_t;

/* A call that is answered at once, beside a watch. */
typedef struct follow_check {
	follow_t *follow;
	int64_t started_us;
	uint64_t since;
} follow_check_t;

struct follow {
	follow_options_t options;
	char *prefix;
	uint64_t key; /* of the prefix, see follow_group_told() */
	struct event *timer;
	GHashTable *keys; /* of the current listing; NULL: watching */
	char *after; /* last key of the previous page */
	uint64_t revision; /* to watch from */
	uint64_t list_revision; /* of the oldest page */
	uint64_t list_last; /* highest version of its objects */
	int64_t list_started_us; /* start of the first call for it */
	follow_call_t *call; /* in flight; NULL: none */
	view_age_t age; /* of a checked view */
	struct event *check_timer; /* NULL: not checked */
	bool checking;
	bool check_failing;
	uint64_t checks;
	uint64_t missed;
	int64_t answered_us;
	int64_t steady_since_us;
	int32_t retry_ms;
	bool synced;
	bool lost;
};

static void call_store(follow_t *follow);

/* The age of a view, and how long a call has waited, count the time for which the
 * VM was suspended. */
static int64_t elapsed_us(const follow_t *follow)
{
	return clock_elapsed_us(follow->options.clock);
}

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

/* Ends the call in flight. */
static void cancel_call(follow_t *follow)
{
	follow_call_t *call = follow->call;

	follow->call = NULL;
	if (object_cancel(follow->options.store, call))
		g_free(call);
	else
		call->follow = NULL;
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
		 (elapsed_us(follow) - call->started_us) / 1000);
	cancel_call(follow);
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
	int64_t now_us = elapsed_us(follow);
	bool was_lost = follow->lost;

	if (follow->lost)
		log_info("store_back", "prefix=%s silent_ms=%" PRId64,
			 follow->prefix, (now_us - follow->answered_us) / 1000);
	follow->lost = false;
	follow->retry_ms = 0;
	follow->answered_us = now_us;
	if (!follow->steady_since_us)
		follow->steady_since_us = clock_now_us(follow->options.clock);
	if (was_lost)
		renew_others(follow, started_us);
}

/* What a watch that began at the revision has brought. */
static view_changes_t changes_of(const object_listing_t *listing,
				 uint64_t since)
{
	view_changes_t changes = { .revision = listing->revision };

	for (guint i = 0; i < listing->entries->len; i++) {
		const object_entry_t *entry =
			&g_array_index(listing->entries, object_entry_t, i);

		changes.last = MAX(changes.last, entry->version);
		changes.removals |= entry->deleted && entry->version <= since;
	}
	return changes;
}

static void note_watched(follow_t *follow, int64_t started_us,
			 const object_listing_t *listing)
{
	const view_changes_t changes = changes_of(listing, follow->revision);

	follow->revision = MAX(follow->revision, listing->revision);
	if (follow->check_timer)
		view_age_watched(&follow->age, started_us, &changes);
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
	note_watched(follow, started_us, listing);
	if (listing->entries->len > 0)
		pause_ms = MAX(pause_ms, follow->options.change_pause_ms);
	if (pause_ms)
		call_later(follow, pause_ms);
	else
		call_store(follow);
}

/* Begins a listing with the first page, and adds the other ones. */
static void add_page(follow_t *follow, int64_t started_us,
		     const object_listing_t *listing)
{
	const view_changes_t page = changes_of(listing, 0);

	if (!follow->after) {
		follow->list_started_us = started_us;
		follow->list_last = 0;
	}
	follow->list_last = MAX(follow->list_last, page.last);
	/* Stale pages may be of different ages. */
	if (!follow->after || listing->revision < follow->list_revision)
		follow->list_revision = listing->revision;
}

static void note_listed(follow_t *follow)
{
	const view_changes_t changes = {
		.revision = follow->list_revision,
		.last = follow->list_last,
	};

	follow->revision = follow->list_revision;
	follow->synced = true;
	if (follow->check_timer)
		view_age_listed(&follow->age, follow->list_started_us,
				&changes);
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
	add_page(follow, started_us, listing);
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
	note_listed(follow);
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
	call->started_us = elapsed_us(follow);
	follow->call = call;
	if (follow->keys)
		object_list(follow->options.store, follow->prefix,
			    follow->after, LIST_LIMIT, on_listed, call);
	else
		object_watch(follow->options.store, follow->prefix,
			     follow->revision, follow->options.wait_ms,
			     on_watched, call);
}

/* Whether the view waits for a watch, which a check can be compared with. */
static bool is_watching(const follow_t *follow)
{
	return follow->call && !follow->keys && !follow->lost;
}

static void schedule_check(follow_t *follow)
{
	int64_t now_us = elapsed_us(follow);
	int64_t due_us = now_us + CHECK_POLL_MS * 1000;
	struct timeval pause;

	if (is_watching(follow) && !follow->checking)
		due_us = MAX(view_age_check_us(&follow->age,
					       follow->call->started_us),
			     now_us);
	/* News may make it due sooner. */
	due_us = MIN(due_us, now_us + CHECK_POLL_MS * 1000);
	pause.tv_sec = 0;
	pause.tv_usec = (suseconds_t)(due_us - now_us);
	evtimer_add(follow->check_timer, &pause);
}

/* The watch that waits will not bring the changes that a check has found. */
static void replace_watch(follow_t *follow, const object_listing_t *listing)
{
	int64_t waited_us = elapsed_us(follow) - follow->call->started_us;

	log_warn("watch_missed",
		 "prefix=%s revision=%" PRIu64 " answered=%" PRIu64
		 " changes=%u waited_ms=%" PRId64,
		 follow->prefix, follow->revision, listing->revision,
		 listing->entries->len, waited_us / 1000);
	follow->missed++;
	cancel_call(follow);
}

static void apply_check(follow_t *follow, int64_t started_us,
			const object_listing_t *listing)
{
	if (listing->entries->len == 0) {
		note_watched(follow, started_us, listing);
		return;
	}
	replace_watch(follow, listing);
	on_answer(follow, started_us);
	apply(follow, listing);
	if (listing->more) {
		list_again(follow, listing);
		return;
	}
	note_watched(follow, started_us, listing);
	call_store(follow);
}

static void tell_checked(const follow_t *follow)
{
	const follow_group_t *group = follow->options.group;

	if (group && group->checked)
		group->checked(group->user_data);
}

static void on_check_failed(follow_t *follow, const GError *error)
{
	if (!follow->check_failing)
		log_info("view_check_failed",
			 "prefix=%s error=%s revision=%" PRIu64, follow->prefix,
			 error_name(error->code), follow->revision);
	follow->check_failing = true;
	view_age_check_failed(&follow->age);
}

static void on_checked(const object_listing_t *listing, const GError *error,
		       void *user_data)
{
	follow_check_t *check = user_data;
	follow_t *follow = check->follow;

	follow->checking = false;
	if (error && error->code != WL_ERROR_NOT_FOUND)
		on_check_failed(follow, error);
	else
		follow->check_failing = false;
	/* The watch may have been answered meanwhile. */
	if (is_watching(follow) && follow->revision == check->since) {
		if (!error) {
			apply_check(follow, check->started_us, listing);
			tell_checked(follow);
		} else if (error->code == WL_ERROR_NOT_FOUND) {
			renew(follow, INT64_MAX);
		}
	}
	g_free(check);
	schedule_check(follow);
}

static void on_check_timer(evutil_socket_t fd, short events, void *arg)
{
	follow_t *follow = arg;
	int64_t now_us = elapsed_us(follow);
	follow_check_t *check;

	if (!is_watching(follow) ||
	    now_us <
		    view_age_check_us(&follow->age, follow->call->started_us)) {
		schedule_check(follow);
		return;
	}
	check = g_new0(follow_check_t, 1);
	check->follow = follow;
	check->started_us = now_us;
	check->since = follow->revision;
	follow->checking = true;
	follow->checks++;
	object_watch(follow->options.store, follow->prefix, check->since, 0,
		     on_checked, check);
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

void follow_group_each_news(const follow_group_t *group,
			    follow_each_news_t each, void *user_data)
{
	view_news_t news;

	for (guint i = 0; i < group->follows->len; i++) {
		const follow_t *follow = group->follows->pdata[i];

		if (follow->check_timer && view_age_news(&follow->age, &news))
			each(follow->prefix, &news, user_data);
	}
}

void follow_group_told(follow_group_t *group, uint64_t view,
		       const view_news_t *news)
{
	for (guint i = 0; i < group->follows->len; i++) {
		follow_t *follow = group->follows->pdata[i];

		if (follow->check_timer && follow->key == view)
			view_age_told(&follow->age, news);
	}
}

void follow_group_set_nodes(follow_group_t *group, uint32_t nodes)
{
	for (guint i = 0; i < group->follows->len; i++) {
		follow_t *follow = group->follows->pdata[i];

		view_age_set_nodes(&follow->age, nodes);
	}
}

void follow_group_set_checked(follow_group_t *group,
			      void (*checked)(void *user_data), void *user_data)
{
	group->checked = checked;
	group->user_data = user_data;
}

follow_t *follow_new(const follow_options_t *options)
{
	follow_t *follow = g_new0(follow_t, 1);

	follow->options = *options;
	follow->prefix = g_strdup(options->prefix);
	follow->key = fleet_key(options->prefix);
	follow->answered_us = elapsed_us(follow);
	follow->timer = evtimer_new(options->base, on_timer, follow);
	if (options->group)
		g_ptr_array_add(options->group->follows, follow);
	if (options->random) {
		view_age_init(&follow->age, options->clock, options->random);
		follow->check_timer =
			evtimer_new(options->base, on_check_timer, follow);
		schedule_check(follow);
	}
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
	int64_t now_us = elapsed_us(follow);

	*state = (follow_state_t){
		.prefix = follow->prefix,
		.revision = follow->revision,
		.heard_ms = (now_us - follow->answered_us) / 1000,
		.waiting_ms =
			follow->call ?
				(now_us - follow->call->started_us) / 1000 :
				-1,
		.confirmed_ms = -1,
		.lost = follow->lost,
		.checks = follow->checks,
		.missed = follow->missed,
	};
	if (!follow->check_timer)
		return;
	state->confirmed_ms = (now_us - follow->age.confirmed_us) / 1000;
	state->behind = view_age_is_behind(&follow->age);
}

bool follow_may_be_behind(const follow_t *follow)
{
	return follow->check_timer && (view_age_is_behind(&follow->age) ||
				       view_age_is_stale(&follow->age));
}

int64_t follow_steady_since_us(const follow_t *follow)
{
	return follow->steady_since_us;
}
