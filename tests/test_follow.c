#include <string.h>

#include "base/error.h"
#include "gateway/follow.h"
#include "unit.h"

/* A store whose calls the test answers itself. */
typedef struct scripted {
	object_store_t base; /* first member */
	object_list_done_t done;
	void *user_data;
	uint64_t since;
	int lists;
	int watches;
	/* A watch that does not wait, beside another one. */
	object_list_done_t check_done;
	void *check_user_data;
	uint64_t check_since;
	int checks;
	GString *delivered;
} scripted_store_t;

static void script_list(object_store_t *store, const char *prefix,
			const char *after, uint32_t limit,
			object_list_done_t done, void *user_data)
{
	scripted_store_t *scripted = (scripted_store_t *)store;

	scripted->lists++;
	scripted->done = done;
	scripted->user_data = user_data;
}

static void script_watch(object_store_t *store, const char *prefix,
			 uint64_t since, int32_t timeout_ms,
			 object_list_done_t done, void *user_data)
{
	scripted_store_t *scripted = (scripted_store_t *)store;

	if (timeout_ms == 0) {
		scripted->checks++;
		scripted->check_since = since;
		scripted->check_done = done;
		scripted->check_user_data = user_data;
		return;
	}
	scripted->watches++;
	scripted->since = since;
	scripted->done = done;
	scripted->user_data = user_data;
}

static const object_store_ops_t ops = { .list = script_list,
					.watch = script_watch };

static void on_changed(const object_entry_t *entry, void *user_data)
{
	g_string_append_printf(((scripted_store_t *)user_data)->delivered,
			       "%s=%s|", entry->key, entry->data);
}

static void on_removed(const char *key, void *user_data)
{
	g_string_append_printf(((scripted_store_t *)user_data)->delivered,
			       "-%s|", key);
}

static void on_listed(GHashTable *keys, void *user_data)
{
	g_string_append_printf(((scripted_store_t *)user_data)->delivered,
			       "listed %u|", g_hash_table_size(keys));
}

static void answer_call(object_list_done_t done, void *user_data,
			uint64_t revision, const char *key, bool deleted,
			bool more)
{
	object_entry_t entry = { (char *)key, revision, deleted, (char *)"v" };
	object_listing_t listing = { .revision = revision, .more = more };

	listing.entries = g_array_new(FALSE, FALSE, sizeof(object_entry_t));
	if (key)
		g_array_append_val(listing.entries, entry);
	done(&listing, NULL, user_data);
	g_array_free(listing.entries, TRUE);
}

static void answer_part(scripted_store_t *scripted, uint64_t revision,
			const char *key, bool deleted, bool more)
{
	answer_call(scripted->done, scripted->user_data, revision, key, deleted,
		    more);
}

static void answer_check(scripted_store_t *scripted, uint64_t revision,
			 const char *key)
{
	answer_call(scripted->check_done, scripted->check_user_data, revision,
		    key, false, false);
}

static void answer(scripted_store_t *scripted, uint64_t revision,
		   const char *key, bool deleted)
{
	answer_part(scripted, revision, key, deleted, false);
}

static void fail(scripted_store_t *scripted, error_code_t code)
{
	GError *error = g_error_new(WL_ERROR, (int)code, "scripted");

	scripted->done(NULL, error, scripted->user_data);
	g_error_free(error);
}

static follow_t *follow_with_pause(scripted_store_t *scripted,
				   struct event_base *base,
				   int32_t change_pause_ms)
{
	const follow_options_t options = {
		.base = base,
		.clock = clock_system(),
		.store = &scripted->base,
		.prefix = "k/",
		.wait_ms = 1000,
		.change_pause_ms = change_pause_ms,
		.changed = on_changed,
		.removed = on_removed,
		.listed = on_listed,
		.user_data = scripted,
	};

	scripted->base.ops = &ops;
	scripted->delivered = g_string_new(NULL);
	return follow_new(&options);
}

static follow_t *follow_store(scripted_store_t *scripted,
			      struct event_base *base)
{
	return follow_with_pause(scripted, base, 0);
}

/* Guards against one store call per change when runners register one after the
 * other. A watch without changes is followed by the next one at once. */
static void test_changes_are_batched(void)
{
	struct event_base *base = event_base_new();
	scripted_store_t scripted = { 0 };
	int64_t begin_us;

	follow_with_pause(&scripted, base, 100);
	answer(&scripted, 5, NULL, false);
	CU_ASSERT_EQUAL(scripted.watches, 1);
	answer(&scripted, 6, NULL, false);
	CU_ASSERT_EQUAL(scripted.watches, 2);
	begin_us = clock_now_us(clock_system());
	answer(&scripted, 7, "k/a", false);
	CU_ASSERT_EQUAL(scripted.watches, 2);
	event_base_loop(base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(scripted.watches, 3);
	CU_ASSERT_EQUAL(scripted.since, 7);
	CU_ASSERT(clock_now_us(clock_system()) - begin_us >= 90000);
	event_base_free(base);
}

static void test_changes(void)
{
	struct event_base *base = event_base_new();
	scripted_store_t scripted = { 0 };
	follow_t *follow = follow_store(&scripted, base);

	CU_ASSERT_FALSE(follow_is_synced(follow));
	answer(&scripted, 5, "k/a", false);
	CU_ASSERT(follow_is_synced(follow));
	CU_ASSERT_EQUAL(scripted.since, 5);
	answer(&scripted, 8, "k/b", false);
	answer(&scripted, 9, "k/a", true);
	CU_ASSERT_EQUAL(scripted.since, 9);
	CU_ASSERT_STRING_EQUAL(scripted.delivered->str,
			       "k/a=v|listed 1|k/b=v|-k/a|");
	event_base_free(base);
}

/* Guards against missed changes: after a truncated watch the store may have
 * dropped their history, and another watch from the old revision would only
 * return the next change. */
static void test_truncated_watch_lists_again(void)
{
	struct event_base *base = event_base_new();
	scripted_store_t scripted = { 0 };

	follow_store(&scripted, base);
	answer(&scripted, 5, "k/a", false);
	CU_ASSERT_EQUAL(scripted.watches, 1);
	fail(&scripted, WL_ERROR_TRUNCATED);
	event_base_loop(base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(scripted.watches, 1);
	CU_ASSERT_EQUAL(scripted.lists, 2);
	answer(&scripted, 7, "k/a", false);
	CU_ASSERT_EQUAL(scripted.since, 7);
	event_base_free(base);
}

/* Guards against missed changes: a node that relays a watch passes on a limited
 * number of them, and the revision is that of all. */
static void test_capped_watch_lists_again(void)
{
	struct event_base *base = event_base_new();
	scripted_store_t scripted = { 0 };

	follow_store(&scripted, base);
	answer(&scripted, 5, "k/a", false);
	answer_part(&scripted, 8, "k/b", false, true);
	CU_ASSERT_EQUAL(scripted.watches, 1);
	CU_ASSERT_EQUAL(scripted.lists, 2);
	answer_part(&scripted, 9, "k/a", false, true);
	answer(&scripted, 9, "k/c", false);
	CU_ASSERT_EQUAL(scripted.since, 9);
	CU_ASSERT_STRING_EQUAL(scripted.delivered->str,
			       "k/a=v|listed 1|k/b=v|k/a=v|k/c=v|listed 2|");
	event_base_free(base);
}

/* Guards against missed changes: a stale page may be older than the first one,
 * so a watch from the first page's revision has no changes of its objects that
 * were made between the two. */
static void test_older_page(void)
{
	struct event_base *base = event_base_new();
	scripted_store_t scripted = { 0 };

	follow_store(&scripted, base);
	answer_part(&scripted, 9, "k/a", false, true);
	answer_part(&scripted, 6, "k/b", false, true);
	answer(&scripted, 12, "k/c", false);
	CU_ASSERT_EQUAL(scripted.watches, 1);
	CU_ASSERT_EQUAL(scripted.since, 6);
	event_base_free(base);
}

/* Guards against a loop of listings without a pause, when a listing is older
 * than the store's history. */
static void test_history_dropped(void)
{
	struct event_base *base = event_base_new();
	scripted_store_t scripted = { 0 };

	follow_store(&scripted, base);
	answer(&scripted, 5, NULL, false);
	fail(&scripted, WL_ERROR_NOT_FOUND);
	CU_ASSERT_EQUAL(scripted.lists, 1);
	event_base_loop(base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(scripted.lists, 2);
	event_base_free(base);
}

static follow_t *follow_in_group(scripted_store_t *scripted,
				 struct event_base *base, clock_manual_t *clock,
				 follow_group_t *group)
{
	const follow_options_t options = {
		.base = base,
		.clock = &clock->base,
		.store = &scripted->base,
		.prefix = "k/",
		.group = group,
		.wait_ms = 25000,
		.changed = on_changed,
		.removed = on_removed,
		.listed = on_listed,
		.user_data = scripted,
	};

	scripted->base.ops = &ops;
	scripted->delivered = g_string_new(NULL);
	return follow_new(&options);
}

/* A watch that was waiting when the store fell silent must not wait on after
 * another view has noticed the end of the outage; its late answer must change
 * nothing. A watch that began after that is kept. */
static void test_watch_is_renewed_after_outage(void)
{
	struct event_base *base = event_base_new();
	follow_group_t *group = follow_group_new();
	scripted_store_t waiting = { 0 };
	scripted_store_t noticing = { 0 };
	scripted_store_t old_watch;
	clock_manual_t clock;

	clock_manual_init(&clock, 0);
	clock_manual_advance_ms(&clock, 1000);
	follow_in_group(&waiting, base, &clock, group);
	follow_in_group(&noticing, base, &clock, group);
	answer(&waiting, 5, "k/a", false);
	answer(&noticing, 5, NULL, false);
	old_watch = waiting;
	clock_manual_advance_ms(&clock, 4000);
	fail(&noticing, WL_ERROR_TIMEOUT);
	CU_ASSERT_EQUAL(waiting.lists, 1);
	event_base_loop(base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(noticing.lists, 2);
	answer(&noticing, 6, NULL, false);
	CU_ASSERT_EQUAL(waiting.lists, 2);
	answer(&old_watch, 9, "k/old", false);
	CU_ASSERT_PTR_NULL(strstr(waiting.delivered->str, "k/old"));
	answer(&waiting, 7, "k/b", false);
	CU_ASSERT_EQUAL(waiting.watches, 2);
	CU_ASSERT_EQUAL(waiting.since, 7);
	clock_manual_advance_ms(&clock, 100);
	fail(&noticing, WL_ERROR_TIMEOUT);
	event_base_loop(base, EVLOOP_ONCE);
	clock_manual_advance_ms(&clock, 100);
	answer(&waiting, 8, NULL, false);
	answer(&noticing, 8, NULL, false);
	CU_ASSERT_EQUAL(waiting.lists, 2);
	follow_group_free(group);
	event_base_free(base);
}

typedef struct checked {
	struct event_base *base;
	clock_manual_t clock;
	GRand *random;
	scripted_store_t store;
	follow_t *follow;
} checked_t;

/* A checked view that waits for its first watch. */
static void start_checked(checked_t *checked)
{
	follow_options_t options = {
		.store = &checked->store.base,
		.prefix = "k/",
		.wait_ms = 25000,
		.changed = on_changed,
		.removed = on_removed,
		.listed = on_listed,
		.user_data = &checked->store,
	};

	*checked = (checked_t){ .base = event_base_new() };
	clock_manual_init(&checked->clock, 0);
	clock_manual_advance_ms(&checked->clock, 1000);
	checked->random = g_rand_new_with_seed(1);
	checked->store.base.ops = &ops;
	checked->store.delivered = g_string_new(NULL);
	options.base = checked->base;
	options.clock = &checked->clock.base;
	options.random = checked->random;
	checked->follow = follow_new(&options);
	answer(&checked->store, 5, "k/a", false);
	g_string_truncate(checked->store.delivered, 0);
}

static void pass_time(checked_t *checked, int32_t time_ms)
{
	clock_manual_advance_ms(&checked->clock, time_ms);
	event_base_loop(checked->base, EVLOOP_ONCE);
}

static void end_checked(checked_t *checked)
{
	g_string_free(checked->store.delivered, TRUE);
	g_rand_free(checked->random);
	event_base_free(checked->base);
}

/* Guards against a view that misses changes for as long as its watch waits, when
 * the store will not answer that watch. */
static void test_missed_changes_are_found(void)
{
	checked_t checked;
	scripted_store_t old_watch;

	start_checked(&checked);
	pass_time(&checked, 500);
	CU_ASSERT_EQUAL(checked.store.checks, 0);
	pass_time(&checked, 500);
	CU_ASSERT_EQUAL(checked.store.checks, 1);
	CU_ASSERT_EQUAL(checked.store.check_since, 5);
	/* No change: the watch waits on. */
	answer_check(&checked.store, 6, NULL);
	CU_ASSERT_EQUAL(checked.store.watches, 1);
	pass_time(&checked, 1000);
	CU_ASSERT_EQUAL(checked.store.checks, 2);
	CU_ASSERT_EQUAL(checked.store.check_since, 6);
	old_watch = checked.store;
	answer_check(&checked.store, 9, "k/b");
	CU_ASSERT_STRING_EQUAL(checked.store.delivered->str, "k/b=v|");
	CU_ASSERT_EQUAL(checked.store.watches, 2);
	CU_ASSERT_EQUAL(checked.store.since, 9);
	answer(&old_watch, 8, "k/old", false);
	CU_ASSERT_STRING_EQUAL(checked.store.delivered->str, "k/b=v|");
	CU_ASSERT_EQUAL(checked.store.lists, 1);
	end_checked(&checked);
}

/* Guards against an older object in place of a newer one: a check may be answered
 * after a watch that has brought more. */
static void test_late_check(void)
{
	checked_t checked;

	start_checked(&checked);
	pass_time(&checked, 1000);
	CU_ASSERT_EQUAL(checked.store.checks, 1);
	answer(&checked.store, 9, "k/new", false);
	answer_check(&checked.store, 8, "k/old");
	CU_ASSERT_STRING_EQUAL(checked.store.delivered->str, "k/new=v|");
	CU_ASSERT_EQUAL(checked.store.watches, 2);
	CU_ASSERT_EQUAL(checked.store.since, 9);
	end_checked(&checked);
}

/* Guards against a view that is listed again, or taken for lost, as a check of it
 * has no answer, and against one that keeps a watch whose history is gone. */
static void test_failed_check(void)
{
	const GError timeout = { WL_ERROR, WL_ERROR_TIMEOUT, (char *)"late" };
	const GError gone = { WL_ERROR, WL_ERROR_NOT_FOUND, (char *)"gone" };
	checked_t checked;

	start_checked(&checked);
	pass_time(&checked, 1000);
	checked.store.check_done(NULL, &timeout, checked.store.check_user_data);
	CU_ASSERT_EQUAL(checked.store.lists, 1);
	CU_ASSERT(follow_steady_since_us(checked.follow) > 0);
	pass_time(&checked, 100);
	CU_ASSERT_EQUAL(checked.store.checks, 2);
	checked.store.check_done(NULL, &gone, checked.store.check_user_data);
	CU_ASSERT_EQUAL(checked.store.lists, 2);
	CU_ASSERT_EQUAL(checked.store.watches, 1);
	end_checked(&checked);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "changes", test_changes },
		{ "changes are batched", test_changes_are_batched },
		{ "truncated watch lists again",
		  test_truncated_watch_lists_again },
		{ "capped watch lists again", test_capped_watch_lists_again },
		{ "older page", test_older_page },
		{ "history dropped", test_history_dropped },
		{ "watch is renewed after outage",
		  test_watch_is_renewed_after_outage },
		{ "missed changes are found", test_missed_changes_are_found },
		{ "late check", test_late_check },
		{ "failed check", test_failed_check },
		{ NULL, NULL },
	};

	return unit_run("follow", tests);
}
