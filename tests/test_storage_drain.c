#include <string.h>

#include "base/error.h"
#include "platform/storage_drain.h"
#include "platform/store_decode.h"
#include "unit.h"

/* A store whose calls the test answers itself; one call of each kind waits at
 * a time. */
typedef struct scripted {
	object_store_t base; /* first member */
	object_list_done_t list_done;
	void *list_data;
	object_done_t put_done;
	void *put_data;
	int lists;
	int puts;
} scripted_store_t;

static void script_list(object_store_t *store, const char *prefix,
			const char *after, uint32_t limit,
			object_list_done_t done, void *user_data)
{
	scripted_store_t *scripted = (scripted_store_t *)store;

	scripted->lists++;
	scripted->list_done = done;
	scripted->list_data = user_data;
}

static void script_watch(object_store_t *store, const char *prefix,
			 uint64_t since, int32_t timeout_ms,
			 object_list_done_t done, void *user_data)
{
	scripted_store_t *scripted = (scripted_store_t *)store;

	scripted->list_done = done;
	scripted->list_data = user_data;
}

static void script_put(object_store_t *store, const char *key, const void *data,
		       size_t len, uint64_t if_version, const char *writer,
		       object_done_t done, void *user_data)
{
	scripted_store_t *scripted = (scripted_store_t *)store;

	scripted->puts++;
	scripted->put_done = done;
	scripted->put_data = user_data;
}

static const object_store_ops_t ops = { .list = script_list,
					.watch = script_watch,
					.put = script_put };

#define REQUEST STORE_RETIREMENT_PREFIX "n1"

/* Answers a listing or a watch with the request, or with nothing for 0. */
static void answer(scripted_store_t *scripted, uint64_t revision,
		   uint64_t version, bool deleted)
{
	object_entry_t entry = { (char *)REQUEST, version, deleted,
				 (char *)"{}" };
	object_listing_t listing = { .revision = revision };

	listing.entries = g_array_new(FALSE, FALSE, sizeof(object_entry_t));
	if (version)
		g_array_append_val(listing.entries, entry);
	scripted->list_done(&listing, NULL, scripted->list_data);
	g_array_free(listing.entries, TRUE);
}

static void answer_put(scripted_store_t *scripted, uint64_t version)
{
	const object_value_t value = { .key = REQUEST, .version = version };

	scripted->put_done(&value, NULL, scripted->put_data);
}

/* Ends the watch; the objects are listed again. */
static void lose_watch(scripted_store_t *scripted, struct event_base *base)
{
	const GError error = { WL_ERROR, WL_ERROR_TRUNCATED,
			       (char *)"scripted" };

	scripted->list_done(NULL, &error, scripted->list_data);
	event_base_loop(base, EVLOOP_ONCE);
}

static struct event_base *start(scripted_store_t *scripted)
{
	struct event_base *base = event_base_new();

	scripted->base.ops = &ops;
	storage_drain_new(base, &scripted->base);
	answer(scripted, 5, 5, false);
	CU_ASSERT_EQUAL(scripted->puts, 1);
	answer_put(scripted, 6);
	return base;
}

/* The request is removed while the watch is lost, and made again after it is
 * back. Guards against a second request that is never acknowledged. */
static void test_removed_unseen(void)
{
	scripted_store_t scripted = { 0 };
	struct event_base *base = start(&scripted);

	lose_watch(&scripted, base);
	CU_ASSERT_EQUAL(scripted.lists, 2);
	answer(&scripted, 8, 0, false);
	answer(&scripted, 9, 9, false);
	CU_ASSERT_EQUAL(scripted.puts, 2);
	event_base_free(base);
}

/* The request is removed and made again while the watch is lost. */
static void test_replaced_unseen(void)
{
	scripted_store_t scripted = { 0 };
	struct event_base *base = start(&scripted);

	lose_watch(&scripted, base);
	answer(&scripted, 8, 8, false);
	CU_ASSERT_EQUAL(scripted.puts, 2);
	event_base_free(base);
}

/* A request whose status was written must not be written again and again: not
 * for the change that is the status itself, nor for each listing. */
static void test_written_once(void)
{
	scripted_store_t scripted = { 0 };
	struct event_base *base = start(&scripted);

	answer(&scripted, 6, 6, false);
	lose_watch(&scripted, base);
	answer(&scripted, 7, 6, false);
	CU_ASSERT_EQUAL(scripted.puts, 1);
	answer(&scripted, 8, 8, true);
	answer(&scripted, 9, 9, false);
	CU_ASSERT_EQUAL(scripted.puts, 2);
	answer(&scripted, 10, 10, false);
	answer_put(&scripted, 10);
	CU_ASSERT_EQUAL(scripted.puts, 2);
	event_base_free(base);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "removed unseen", test_removed_unseen },
		{ "replaced unseen", test_replaced_unseen },
		{ "written once", test_written_once },
		{ NULL, NULL },
	};

	return unit_run("storage_drain", tests);
}
