#include <string.h>

#include "base/error.h"
#include "gateway/follow.h"
#include "unit.h"

/* A store whose answers the test gives by hand. */
typedef struct script {
	object_store_t base; /* first member */
	object_list_done_t done;
	void *user_data;
	uint64_t since;
	int lists;
	int watches;
	GString *seen;
} script_t;

static void script_list(object_store_t *store, const char *prefix,
			const char *after, uint32_t limit,
			object_list_done_t done, void *user_data)
{
	script_t *script = (script_t *)store;

	script->lists++;
	script->done = done;
	script->user_data = user_data;
}

static void script_watch(object_store_t *store, const char *prefix,
			 uint64_t since, int32_t timeout_ms,
			 object_list_done_t done, void *user_data)
{
	script_t *script = (script_t *)store;

	script->watches++;
	script->since = since;
	script->done = done;
	script->user_data = user_data;
}

static const object_store_ops_t ops = { .list = script_list,
					.watch = script_watch };

static void on_changed(const object_entry_t *entry, void *user_data)
{
	g_string_append_printf(((script_t *)user_data)->seen, "%s=%s|",
			       entry->key, entry->data);
}

static void on_removed(const char *key, void *user_data)
{
	g_string_append_printf(((script_t *)user_data)->seen, "-%s|", key);
}

static void on_listed(GHashTable *keys, void *user_data)
{
	g_string_append_printf(((script_t *)user_data)->seen, "listed %u|",
			       g_hash_table_size(keys));
}

static void give(script_t *script, uint64_t revision, const char *key,
		 bool deleted)
{
	object_entry_t entry = { (char *)key, revision, deleted, (char *)"v" };
	object_listing_t listing = { .revision = revision };

	listing.entries = g_array_new(FALSE, FALSE, sizeof(object_entry_t));
	if (key)
		g_array_append_val(listing.entries, entry);
	script->done(&listing, NULL, script->user_data);
	g_array_free(listing.entries, TRUE);
}

static void fail(script_t *script, error_code_t code)
{
	GError *error = g_error_new(WL_ERROR, (int)code, "scripted");

	script->done(NULL, error, script->user_data);
	g_error_free(error);
}

static follow_t *follow_gathering(script_t *script, struct event_base *base,
				  int32_t gather_ms)
{
	const follow_options_t options = {
		.base = base,
		.clock = clock_system(),
		.store = &script->base,
		.prefix = "k/",
		.wait_ms = 1000,
		.gather_ms = gather_ms,
		.changed = on_changed,
		.removed = on_removed,
		.listed = on_listed,
		.user_data = script,
	};

	script->base.ops = &ops;
	script->seen = g_string_new(NULL);
	return follow_new(&options);
}

static follow_t *follow_script(script_t *script, struct event_base *base)
{
	return follow_gathering(script, base, 0);
}

/* Runners that register one after the other must not cost a call to the store
 * each; a watch that brought nothing is followed by the next at once. */
static void test_changes_gather(void)
{
	struct event_base *base = event_base_new();
	script_t script = { 0 };
	int64_t begin_us;

	follow_gathering(&script, base, 100);
	give(&script, 5, NULL, false);
	CU_ASSERT_EQUAL(script.watches, 1);
	give(&script, 6, NULL, false);
	CU_ASSERT_EQUAL(script.watches, 2);
	begin_us = clock_now_us(clock_system());
	give(&script, 7, "k/a", false);
	CU_ASSERT_EQUAL(script.watches, 2);
	event_base_loop(base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(script.watches, 3);
	CU_ASSERT_EQUAL(script.since, 7);
	CU_ASSERT(clock_now_us(clock_system()) - begin_us >= 90000);
	event_base_free(base);
}

static void test_changes(void)
{
	struct event_base *base = event_base_new();
	script_t script = { 0 };
	follow_t *follow = follow_script(&script, base);

	CU_ASSERT_FALSE(follow_is_synced(follow));
	give(&script, 5, "k/a", false);
	CU_ASSERT(follow_is_synced(follow));
	CU_ASSERT_EQUAL(script.since, 5);
	give(&script, 8, "k/b", false);
	give(&script, 9, "k/a", true);
	CU_ASSERT_EQUAL(script.since, 9);
	CU_ASSERT_STRING_EQUAL(script.seen->str, "k/a=v|listed 1|k/b=v|-k/a|");
	event_base_free(base);
}

/* A watch that is cut may have missed changes while the store dropped its
 * history: another watch from the old revision would wait for the next one. */
static void test_cut_watch_lists_again(void)
{
	struct event_base *base = event_base_new();
	script_t script = { 0 };

	follow_script(&script, base);
	give(&script, 5, "k/a", false);
	CU_ASSERT_EQUAL(script.watches, 1);
	fail(&script, WL_ERROR_TRUNCATED);
	event_base_loop(base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(script.watches, 1);
	CU_ASSERT_EQUAL(script.lists, 2);
	give(&script, 7, "k/a", false);
	CU_ASSERT_EQUAL(script.since, 7);
	event_base_free(base);
}

/* A listing may be older than the history; it must not be read in a loop
 * without a pause. */
static void test_history_gone(void)
{
	struct event_base *base = event_base_new();
	script_t script = { 0 };

	follow_script(&script, base);
	give(&script, 5, NULL, false);
	fail(&script, WL_ERROR_NOT_FOUND);
	CU_ASSERT_EQUAL(script.lists, 1);
	event_base_loop(base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(script.lists, 2);
	event_base_free(base);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "changes", test_changes },
		{ "changes gather", test_changes_gather },
		{ "cut watch lists again", test_cut_watch_lists_again },
		{ "history gone", test_history_gone },
		{ NULL, NULL },
	};

	return unit_run("follow", tests);
}
