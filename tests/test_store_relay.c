#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "gateway/store_relay.h"
#include "gateway/store_relay_server.h"
#include "rpc/store_xdr.h"
#include "unit.h"

/* Above what one node passes on to another. */
#define CHANGES (STORE_ENTRIES_MAX + 1)
#define REVISION 9000

#define WATCHES_MAX (STORE_RELAY_READS_MAX + 1)

/* A watch that waits. */
typedef struct held_watch {
	object_list_done_t done;
	void *user_data;
} held_watch_t;

/* A store that refuses reads of objects, and answers listings and watches with
 * many entries, unless it holds watches. It answers within the call, which the
 * relay permits. */
typedef struct busy_store {
	object_store_t base; /* first member */
	int watches;
	bool serves; /* reads of objects: there is none */
	bool holds;
	held_watch_t held[WATCHES_MAX];
	int held_count;
	int32_t waits_ms; /* of the last watch */
	int cancelled;
	bool keeps; /* does not cancel */
} busy_store_t;

static void busy_get(object_store_t *store, const char *key, object_done_t done,
		     void *user_data)
{
	const busy_store_t *busy = (busy_store_t *)store;
	const GError error = { WL_ERROR,
			       busy->serves ? WL_ERROR_NOT_FOUND :
					      WL_ERROR_UNAVAILABLE,
			       (char *)"busy" };

	done(NULL, &error, user_data);
}

static void answer(object_list_done_t done, void *user_data)
{
	object_listing_t listing = { .revision = REVISION };

	listing.entries = g_array_new(FALSE, TRUE, sizeof(object_entry_t));
	for (int i = 0; i < CHANGES; i++) {
		object_entry_t entry = { .version = 1 };

		entry.key = g_strdup_printf("k/%05d", i);
		entry.data = g_strdup("{}");
		g_array_append_val(listing.entries, entry);
	}
	done(&listing, NULL, user_data);
	for (int i = 0; i < CHANGES; i++) {
		g_free(g_array_index(listing.entries, object_entry_t, i).key);
		g_free(g_array_index(listing.entries, object_entry_t, i).data);
	}
	g_array_free(listing.entries, TRUE);
}

static void busy_list(object_store_t *store, const char *prefix,
		      const char *after, uint32_t limit,
		      object_list_done_t done, void *user_data)
{
	answer(done, user_data);
}

static void busy_watch(object_store_t *store, const char *prefix,
		       uint64_t since, int32_t timeout_ms,
		       object_list_done_t done, void *user_data)
{
	busy_store_t *busy = (busy_store_t *)store;

	busy->watches++;
	busy->waits_ms = timeout_ms;
	if (busy->holds)
		busy->held[busy->held_count++] =
			(held_watch_t){ done, user_data };
	else
		answer(done, user_data);
}

static bool busy_cancel(object_store_t *store, void *user_data)
{
	busy_store_t *busy = (busy_store_t *)store;

	for (int i = 0; i < busy->held_count; i++) {
		if (busy->held[i].user_data != user_data)
			continue;
		busy->cancelled++;
		if (busy->keeps)
			return false;
		busy->held[i].user_data = NULL;
		return true;
	}
	return false;
}

static const object_store_ops_t busy_ops = { .get = busy_get,
					     .list = busy_list,
					     .watch = busy_watch,
					     .cancel = busy_cancel };

/* A node with the store as it sees it. */
typedef struct node {
	busy_store_t store;
	rpc_server_t *server;
	rpc_client_t *client;
	store_relay_t *relay;
} node_t;

typedef struct fixture {
	struct event_base *base;
	clock_manual_t clock;
	node_t own;
	node_t other;
	guint entries;
	bool more;
	uint64_t revision;
	int answers;
} fixture_t;

static bool find_other(void *user_data, char *address, size_t size)
{
	const fixture_t *fixture = user_data;

	snprintf(address, size, "127.0.0.1:%u",
		 rpc_server_port(fixture->other.server));
	return true;
}

static void on_refused(const object_value_t *value, const GError *error,
		       void *user_data)
{
	CU_ASSERT_PTR_NOT_NULL(error);
}

static void on_answer(const object_listing_t *listing, const GError *error,
		      void *user_data)
{
	fixture_t *fixture = user_data;

	CU_ASSERT_PTR_NULL(error);
	fixture->answers++;
	if (listing) {
		fixture->entries = listing->entries->len;
		fixture->more = listing->more;
		fixture->revision = listing->revision;
	}
	event_base_loopbreak(fixture->base);
}

static void start_node(fixture_t *fixture, node_t *node)
{
	store_relay_options_t options = {
		.clock = &fixture->clock.base,
		.store = &node->store.base,
		.stale_store = &node->store.base,
		.probe_key = "k/0",
		.find_peer = find_other,
		.user_data = fixture,
	};

	node->store.base.ops = &busy_ops;
	node->server =
		rpc_server_new(fixture->base, "127.0.0.1", 0, NULL, NULL);
	node->client = rpc_client_new(fixture->base, NULL);
	options.server = node->server;
	options.client = node->client;
	options.counters = counter_set_new();
	node->relay = store_relay_new(&options);
}

static void lose_contact(const node_t *node)
{
	for (int i = 0; store_relay_is_direct(node->relay) && i < 10; i++)
		object_get(store_relay_store(node->relay), "k/0", on_refused,
			   NULL);
	CU_ASSERT_FALSE(store_relay_is_direct(node->relay));
}

/* Starts a node whose calls are relayed to another one. */
static void start(fixture_t *fixture)
{
	*fixture = (fixture_t){ 0 };
	clock_manual_init(&fixture->clock, 0);
	clock_manual_advance_ms(&fixture->clock, 10000);
	fixture->base = event_base_new();
	start_node(fixture, &fixture->own);
	start_node(fixture, &fixture->other);
	lose_contact(&fixture->own);
}

static void end(fixture_t *fixture)
{
	rpc_client_free(fixture->own.client);
	rpc_client_free(fixture->other.client);
	rpc_server_free(fixture->own.server);
	rpc_server_free(fixture->other.server);
	event_base_free(fixture->base);
}

/* Guards against a part of the changes that passes for all of them: the view of
 * the other node would watch on from the revision of the rest. */
static void test_capped_answers(void)
{
	fixture_t fixture;

	start(&fixture);
	object_watch(store_relay_store(fixture.own.relay), "k/", 1, 1000,
		     on_answer, &fixture);
	CU_ASSERT_EQUAL(fixture.other.store.watches, 0);
	event_base_dispatch(fixture.base);
	CU_ASSERT_EQUAL(fixture.other.store.watches, 1);
	CU_ASSERT_EQUAL(fixture.own.store.watches, 0);
	CU_ASSERT_EQUAL(fixture.entries, STORE_ENTRIES_MAX);
	CU_ASSERT_EQUAL(fixture.revision, REVISION);
	CU_ASSERT(fixture.more);
	fixture.more = false;
	object_list(store_relay_store(fixture.own.relay), "k/", NULL, CHANGES,
		    on_answer, &fixture);
	event_base_dispatch(fixture.base);
	CU_ASSERT_EQUAL(fixture.entries, STORE_ENTRIES_MAX);
	CU_ASSERT(fixture.more);
	end(&fixture);
}

/* Until the other node makes so many watches. */
static void loop_until_watches(const fixture_t *fixture, int count)
{
	for (int i = 0; fixture->other.store.watches < count && i < 1000; i++)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(fixture->other.store.watches, count);
}

static void loop_until_watch(const fixture_t *fixture)
{
	loop_until_watches(fixture, 1);
}

/* Guards against a watch that waits as the only evidence of whether the store
 * answers again. */
static void test_probe_is_a_read(void)
{
	fixture_t fixture;

	start(&fixture);
	fixture.own.store.holds = true;
	clock_manual_advance_ms(&fixture.clock, 1000);
	object_watch(store_relay_store(fixture.own.relay), "k/", 7, 25000,
		     on_answer, &fixture);
	CU_ASSERT_EQUAL(fixture.own.store.watches, 0);
	store_relay_tick(fixture.own.relay);
	CU_ASSERT_FALSE(store_relay_is_direct(fixture.own.relay));
	fixture.own.store.serves = true;
	/* Not yet due. */
	store_relay_tick(fixture.own.relay);
	CU_ASSERT_FALSE(store_relay_is_direct(fixture.own.relay));
	clock_manual_advance_ms(&fixture.clock, 500);
	store_relay_tick(fixture.own.relay);
	CU_ASSERT(store_relay_is_direct(fixture.own.relay));
	end(&fixture);
}

/* Guards against a view that waits for another node although the store answers
 * this one again: the other node may have lost the store or stand still. */
static void test_own_contact_ends_relayed_watch(void)
{
	fixture_t fixture;
	const held_watch_t *held = fixture.own.store.held;

	start(&fixture);
	fixture.own.store.holds = fixture.other.store.holds = true;
	object_watch(store_relay_store(fixture.own.relay), "k/", 7, 1000,
		     on_answer, &fixture);
	loop_until_watch(&fixture);
	CU_ASSERT_PTR_NOT_NULL(store_relay_source(fixture.own.relay, "k/"));
	fixture.own.store.serves = true;
	clock_manual_advance_ms(&fixture.clock, 1000);
	store_relay_tick(fixture.own.relay);
	CU_ASSERT(store_relay_is_direct(fixture.own.relay));
	CU_ASSERT_EQUAL(fixture.own.store.watches, 1);
	CU_ASSERT_PTR_NULL(store_relay_source(fixture.own.relay, "k/"));
	/* The other node's answer comes late. */
	answer(fixture.other.store.held[0].done,
	       fixture.other.store.held[0].user_data);
	for (int i = 0; i < 10; i++)
		event_base_loop(fixture.base, EVLOOP_NONBLOCK);
	CU_ASSERT_EQUAL(fixture.answers, 0);
	if (fixture.own.store.held_count > 0)
		answer(held[0].done, held[0].user_data);
	CU_ASSERT_EQUAL(fixture.answers, 1);
	end(&fixture);
}

static void on_ended(const object_listing_t *listing, const GError *error,
		     void *user_data)
{
	CU_ASSERT_PTR_NOT_NULL(error);
}

/* Guards against a node that reads through others although its store answers, as
 * watches from before a short outage end late, one after the other. */
static void test_late_end_of_old_watches(void)
{
	const GError timeout = { WL_ERROR, WL_ERROR_TIMEOUT, (char *)"late" };
	fixture_t fixture;

	start(&fixture);
	fixture.own.store.serves = true;
	clock_manual_advance_ms(&fixture.clock, 1000);
	store_relay_tick(fixture.own.relay);
	CU_ASSERT(store_relay_is_direct(fixture.own.relay));
	fixture.own.store.holds = true;
	for (int i = 0; i < 2; i++)
		object_watch(store_relay_store(fixture.own.relay), "k/", 7,
			     25000, on_ended, NULL);
	clock_manual_advance_ms(&fixture.clock, 26000);
	object_get(store_relay_store(fixture.own.relay), "k/0", on_refused,
		   NULL);
	for (int i = 0; i < 2; i++)
		fixture.own.store.held[i].done(
			NULL, &timeout, fixture.own.store.held[i].user_data);
	CU_ASSERT(store_relay_is_direct(fixture.own.relay));
	/* Calls that started since then are evidence. */
	fixture.own.store.serves = false;
	for (int i = 0; i < 2; i++)
		object_get(store_relay_store(fixture.own.relay), "k/0",
			   on_refused, NULL);
	CU_ASSERT_FALSE(store_relay_is_direct(fixture.own.relay));
	end(&fixture);
}

static void on_unavailable(const object_listing_t *listing, const GError *error,
			   void *user_data)
{
	fixture_t *fixture = user_data;

	CU_ASSERT_PTR_NULL(listing);
	CU_ASSERT(error && error->code == WL_ERROR_UNAVAILABLE);
	fixture->answers++;
	event_base_loopbreak(fixture->base);
}

/* Guards against a view that waits for a node that has lost the store itself, and
 * against a call to such a node that waits for it. */
static void test_other_node_loses_contact(void)
{
	fixture_t fixture;

	start(&fixture);
	fixture.other.store.holds = fixture.other.store.keeps = true;
	object_watch(store_relay_store(fixture.own.relay), "k/", 7, 1000,
		     on_unavailable, &fixture);
	loop_until_watch(&fixture);
	lose_contact(&fixture.other);
	event_base_dispatch(fixture.base);
	CU_ASSERT_EQUAL(fixture.answers, 1);
	object_watch(store_relay_store(fixture.own.relay), "k/", 7, 1000,
		     on_unavailable, &fixture);
	event_base_dispatch(fixture.base);
	CU_ASSERT_EQUAL(fixture.answers, 2);
	CU_ASSERT_EQUAL(fixture.other.store.watches, 1);
	CU_ASSERT_EQUAL(fixture.other.store.cancelled, 1);
	/* A store that cannot cancel answers late. */
	answer(fixture.other.store.held[0].done,
	       fixture.other.store.held[0].user_data);
	for (int i = 0; i < 10; i++)
		event_base_loop(fixture.base, EVLOOP_NONBLOCK);
	CU_ASSERT_EQUAL(fixture.answers, 2);
	end(&fixture);
}

/* Guards against a process that ends by itself: a node that lost the store with
 * the failure of a read for another node ended that read once more. */
static void test_served_read_loses_contact(void)
{
	const GError error = { WL_ERROR, WL_ERROR_UNAVAILABLE, (char *)"down" };
	fixture_t fixture;
	object_store_t *store;
	const held_watch_t *held = fixture.other.store.held;

	start(&fixture);
	store = store_relay_store(fixture.own.relay);
	fixture.other.store.holds = true;
	for (int i = 0; i < 3; i++)
		object_watch(store, "k/", 7, 1000, on_unavailable, &fixture);
	loop_until_watches(&fixture, 3);
	for (int i = 0; i < 2; i++)
		held[i].done(NULL, &error, held[i].user_data);
	CU_ASSERT_FALSE(store_relay_is_direct(fixture.other.relay));
	for (int i = 0; i < 1000 && fixture.answers < 3; i++)
		event_base_loop(fixture.base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(fixture.answers, 3);
	CU_ASSERT_EQUAL(fixture.other.store.cancelled, 1);
	CU_ASSERT_PTR_NOT_NULL(held[1].user_data);
	CU_ASSERT_PTR_NULL(held[2].user_data);
	end(&fixture);
}

/* Guards against calls that are made for long for a node that is gone, or that
 * does not need them any more. */
static void test_relayed_watch_is_short(void)
{
	fixture_t fixture;

	start(&fixture);
	object_watch(store_relay_store(fixture.own.relay), "k/", 7, 25000,
		     on_answer, &fixture);
	event_base_dispatch(fixture.base);
	CU_ASSERT_EQUAL(fixture.other.store.waits_ms, STORE_RELAY_WATCH_MS);
	end(&fixture);
}

/* Guards against calls that go on when nobody waits for them: at the store, or as
 * an answer of another node that is passed on. */
static void test_cancelled_reads(void)
{
	fixture_t fixture;
	object_store_t *store;

	start(&fixture);
	store = store_relay_store(fixture.own.relay);
	fixture.own.store.holds = fixture.other.store.holds = true;
	object_watch(store, "k/", 7, 1000, on_answer, &fixture);
	loop_until_watch(&fixture);
	CU_ASSERT(object_cancel(store, &fixture));
	CU_ASSERT_FALSE(object_cancel(store, &fixture));
	answer(fixture.other.store.held[0].done,
	       fixture.other.store.held[0].user_data);
	for (int i = 0; i < 10; i++)
		event_base_loop(fixture.base, EVLOOP_NONBLOCK);
	CU_ASSERT_EQUAL(fixture.answers, 0);
	fixture.own.store.serves = true;
	clock_manual_advance_ms(&fixture.clock, 1000);
	store_relay_tick(fixture.own.relay);
	CU_ASSERT_EQUAL(fixture.own.store.watches, 0);
	object_watch(store, "k/", 7, 1000, on_answer, &fixture);
	CU_ASSERT_EQUAL(fixture.own.store.watches, 1);
	CU_ASSERT(object_cancel(store, &fixture));
	CU_ASSERT_EQUAL(fixture.own.store.cancelled, 1);
	end(&fixture);
}

static void on_refused_call(const void *result, const GError *error,
			    void *user_data)
{
	fixture_t *fixture = user_data;

	CU_ASSERT(error && error->code == WL_ERROR_UNAVAILABLE);
	fixture->answers++;
	event_base_loopbreak(fixture->base);
}

/* Guards against other nodes that fill this one's memory with calls. */
static void test_served_reads_are_bounded(void)
{
	const store_call_args args = {
		.operation = STORE_WATCH,
		.key = (char *)"k/",
		.after = (char *)"",
		.writer = (char *)"",
		.timeout_ms = 1000,
	};
	fixture_t fixture;
	char address[32];
	rpc_call_options_t call = {
		.address = address,
		.program = PEER_PROGRAM,
		.procedure = PEER_STORE_CALL,
		.encode = (xdrproc_t)xdr_store_call_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_store_call_result,
		.result_size = sizeof(store_call_result),
		.timeout_ms = 5000,
		.done = on_refused_call,
	};

	start(&fixture);
	fixture.other.store.holds = true;
	call.user_data = &fixture;
	find_other(&fixture, address, sizeof(address));
	for (int i = 0; i <= STORE_RELAY_READS_MAX; i++)
		rpc_client_call(fixture.own.client, &call);
	event_base_dispatch(fixture.base);
	CU_ASSERT_EQUAL(fixture.other.store.watches, STORE_RELAY_READS_MAX);
	CU_ASSERT_EQUAL(fixture.answers, 1);
	end(&fixture);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "capped answers", test_capped_answers },
		{ "probe is a read", test_probe_is_a_read },
		{ "own contact ends relayed watch",
		  test_own_contact_ends_relayed_watch },
		{ "late end of old watches", test_late_end_of_old_watches },
		{ "other node loses contact", test_other_node_loses_contact },
		{ "served read loses contact", test_served_read_loses_contact },
		{ "relayed watch is short", test_relayed_watch_is_short },
		{ "cancelled reads", test_cancelled_reads },
		{ "served reads are bounded", test_served_reads_are_bounded },
		{ NULL, NULL },
	};

	return unit_run("store_relay", tests);
}
