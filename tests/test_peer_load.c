#include "gateway/peer_load.h"

#include <string.h>
#include <unistd.h>

#include "gateway/fleet_state.h"
#include "object/object_memory.h"
#include "unit.h"

#define STEP_MS 100
#define STEP_SLEEP_US 50
#define WATCH_S 6 /* after which nodes have seen a change of an entry */
#define GONE_KEY "gateway-nodes/c"
#define GONE_ENTRY "{\"address\":\"127.0.1.1:9\",\"domain\":\"d\"}"

#define NODES_MAX 3

/* Nodes that hear each other, two at first, and entries of some that are gone. */
typedef struct fixture {
	struct event_base *base;
	clock_manual_t clock;
	GRand *random;
	counter_set_t *counters;
	object_memory_t *memory;
	object_store_t *observer;
	object_store_t *stores[NODES_MAX];
	peer_load_t *nodes[NODES_MAX];
	fleet_t *fleets[NODES_MAX];
	bool hears; /* the second node runs */
	bool found; /* the last read of the entry */
	uint64_t version;
	uint32_t heard; /* reports that the second node received */
} fixture_t;

static void count_load(void *user_data)
{
	uint32_t *heard = user_data;

	if (heard)
		(*heard)++;
}

static void on_put(const object_value_t *value, const GError *error,
		   void *user_data)
{
	CU_ASSERT_PTR_NULL(error);
}

static void step(fixture_t *fixture)
{
	clock_manual_advance_ms(&fixture->clock, STEP_MS);
	object_memory_step(fixture->memory);
	object_memory_deliver(fixture->observer);
	for (int i = 0; i < NODES_MAX; i++) {
		if (!fixture->nodes[i] || (i == 1 && !fixture->hears))
			continue;
		object_memory_deliver(fixture->stores[i]);
		peer_load_tick(fixture->nodes[i]);
	}
	usleep(STEP_SLEEP_US);
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
}

static void run_s(fixture_t *fixture, int seconds)
{
	for (int i = 0; i < seconds * 1000 / STEP_MS; i++)
		step(fixture);
}

/* Steps for so much time of the machine, which the timers go by. */
static void run_machine_s(fixture_t *fixture, int seconds)
{
	const int64_t end_us = g_get_monotonic_time() + seconds * 1000000LL;

	while (g_get_monotonic_time() < end_us)
		step(fixture);
}

static void node_init(fixture_t *fixture, int index)
{
	static const char *const names[] = { "a", "b", "e" };
	static const char *const addresses[] = { "127.0.0.1", "127.0.0.1",
						 "127.0.0.3" };
	const fleet_options_t fleet = { .clock = &fixture->clock.base,
					.random = fixture->random,
					.domain = "d" };
	fixture->fleets[index] = fleet_new(&fleet);
	const part_guard_options_t guard = { .clock = &fixture->clock.base,
					     .random = fixture->random,
					     .counters = fixture->counters };
	peer_load_options_t options = {
		.base = fixture->base,
		.clock = &fixture->clock.base,
		.random = fixture->random,
		.fleet = fixture->fleets[index],
		.part_guard = part_guard_new(&guard),
		.follows = follow_group_new(),
		.node = names[index],
		.domain = "d",
		.address = addresses[index],
		.writer = names[index],
		.load_received = count_load,
		.user_data = index == 1 ? &fixture->heard : NULL,
		.counters = fixture->counters,
	};
	GError *error = NULL;

	fixture->stores[index] = object_memory_open(fixture->memory);
	options.store = fixture->stores[index];
	options.stale_store = fixture->stores[index];
	for (uint16_t port = 20000; !fixture->nodes[index]; port++) {
		g_clear_error(&error);
		options.port = port;
		fixture->nodes[index] = peer_load_new(&options, &error);
	}
}

static void add_gone(fixture_t *fixture, int number)
{
	char *key = g_strdup_printf("gateway-nodes/gone%d", number);
	char *entry = g_strdup_printf(
		"{\"address\":\"127.0.2.%d:9\",\"domain\":\"d\"}", number + 1);

	object_put(fixture->observer, key, entry, strlen(entry), OBJECT_ABSENT,
		   "c", on_put, NULL);
	g_free(entry);
	g_free(key);
}

static fixture_t *fixture_with_gone(int gone)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->base = event_base_new();
	clock_manual_init(&fixture->clock, 1700000000000);
	clock_manual_advance_ms(&fixture->clock, 1000);
	fixture->random = g_rand_new_with_seed(1);
	fixture->counters = counter_set_new();
	fixture->memory = object_memory_new(&fixture->clock.base, 1);
	fixture->observer = object_memory_open(fixture->memory);
	object_put(fixture->observer, GONE_KEY, GONE_ENTRY, strlen(GONE_ENTRY),
		   OBJECT_ABSENT, "c", on_put, NULL);
	for (int i = 0; i < gone; i++)
		add_gone(fixture, i);
	for (int i = 0; i < 5; i++) {
		object_memory_step(fixture->memory);
		object_memory_deliver(fixture->observer);
	}
	for (int i = 0; i < 2; i++)
		node_init(fixture, i);
	fixture->hears = true;
	return fixture;
}

static fixture_t *fixture_new(void)
{
	return fixture_with_gone(0);
}

static void on_read(const object_value_t *value, const GError *error,
		    void *user_data)
{
	fixture_t *fixture = user_data;

	fixture->found = !error;
	fixture->version = error ? OBJECT_ABSENT : value->version;
}

static bool has_entry(fixture_t *fixture, const char *key)
{
	object_get(fixture->observer, key, on_read, fixture);
	run_s(fixture, 1);
	return fixture->found;
}

/* Entries of nodes that are gone must not stay for ever; those of nodes that live
 * must. */
static void test_entry_of_gone_node(void)
{
	fixture_t *fixture = fixture_new();

	run_s(fixture, 590);
	CU_ASSERT(has_entry(fixture, GONE_KEY));
	run_s(fixture, 400);
	CU_ASSERT_FALSE(has_entry(fixture, GONE_KEY));
	CU_ASSERT(has_entry(fixture, "gateway-nodes/a"));
	CU_ASSERT(has_entry(fixture, "gateway-nodes/b"));
}

/* A node that hears no other is likely cut off itself. */
static void test_node_that_hears_none(void)
{
	fixture_t *fixture = fixture_new();

	run_s(fixture, 5);
	fixture->hears = false;
	run_s(fixture, 2000);
	CU_ASSERT(has_entry(fixture, GONE_KEY));
	CU_ASSERT(has_entry(fixture, "gateway-nodes/b"));
}

/* A node that was cut off itself for long hears the others again one after the
 * other. It must not take those for gone that it has not heard yet: it removed the
 * entries of all but the first. */
static void test_end_of_own_cut(void)
{
	fixture_t *fixture = fixture_new();

	run_s(fixture, 5);
	fixture->hears = false;
	run_s(fixture, 2000);
	fixture->hears = true;
	run_s(fixture, 300);
	CU_ASSERT(has_entry(fixture, GONE_KEY));
	run_s(fixture, 700);
	CU_ASSERT_FALSE(has_entry(fixture, GONE_KEY));
}

/* Entries of nodes that are gone must not make a system large: other domains got
 * reports seldom, and batch items kept to their own one. */
static void test_gone_nodes_and_size(void)
{
	fixture_t *fixture = fixture_with_gone(20);

	run_s(fixture, 5);
	CU_ASSERT(fixture->fleets[0]->remote_load_stale);
	run_s(fixture, 70);
	CU_ASSERT_FALSE(fixture->fleets[0]->remote_load_stale);
}

/* A node that hears no other must share the runners' limits with those that it
 * heard until then, not with the entries of nodes that are gone. */
static void test_limit_share_beside_gone_node(void)
{
	fixture_t *fixture = fixture_new();

	run_s(fixture, 70);
	CU_ASSERT_DOUBLE_EQUAL(fixture->fleets[0]->limit_share, 1.0, 0.001);
	fixture->hears = false;
	run_s(fixture, 5);
	CU_ASSERT_DOUBLE_EQUAL(fixture->fleets[0]->limit_share, 0.5, 0.001);
	run_s(fixture, 100);
	CU_ASSERT_DOUBLE_EQUAL(fixture->fleets[0]->limit_share, 0.5, 0.001);
}

/* The other node stops and withdraws its entry. The last node must get the whole of
 * the limits after a while, not share them with the other for ever. */
static void test_limit_share_after_stop(void)
{
	const peer_load_relay_t stopping = { .draining = true };
	fixture_t *fixture = fixture_new();

	run_s(fixture, 5);
	object_remove(fixture->observer, GONE_KEY, 1, on_put, NULL);
	peer_load_set_relay(fixture->nodes[1], &stopping);
	peer_load_withdraw(fixture->nodes[1]);
	run_machine_s(fixture, WATCH_S);
	CU_ASSERT_FALSE(has_entry(fixture, "gateway-nodes/b"));
	fixture->hears = false;
	run_s(fixture, 5);
	CU_ASSERT_DOUBLE_EQUAL(fixture->fleets[0]->limit_share, 0.5, 0.001);
	run_s(fixture, 100);
	CU_ASSERT_DOUBLE_EQUAL(fixture->fleets[0]->limit_share, 1.0, 0.001);
}

static bool knows_other(const fixture_t *fixture)
{
	const struct in_addr address = { htonl(INADDR_LOOPBACK) };

	return peer_load_knows(fixture->nodes[0], &address);
}

/* A node without an entry, as of the build before, must not be kept for ever once
 * it is gone: no removal of an entry tells of it. */
static void test_gone_node_without_entry(void)
{
	fixture_t *fixture = fixture_new();

	node_init(fixture, 2);
	run_s(fixture, 5);
	CU_ASSERT(has_entry(fixture, "gateway-nodes/b"));
	object_memory_cut(fixture->stores[1], true);
	object_remove(fixture->observer, "gateway-nodes/b", fixture->version,
		      on_put, NULL);
	run_machine_s(fixture, WATCH_S);
	CU_ASSERT_FALSE(has_entry(fixture, "gateway-nodes/b"));
	CU_ASSERT(knows_other(fixture));
	fixture->hears = false;
	run_s(fixture, 1200);
	CU_ASSERT_FALSE(knows_other(fixture));
}

/* The entry of a process may be overwritten by that of another one with its name,
 * which has ended since. The others must go on by the address that its reports come
 * from: it heard none of them. */
static void test_entry_with_former_address(void)
{
	static const char entry[] =
		"{\"address\":\"127.0.0.1:9\",\"domain\":\"d\"}";
	fixture_t *fixture = fixture_new();
	uint32_t heard;

	run_s(fixture, 5);
	CU_ASSERT(fixture->heard > 0);
	CU_ASSERT(has_entry(fixture, "gateway-nodes/b"));
	object_put(fixture->observer, "gateway-nodes/b", entry, strlen(entry),
		   fixture->version, "b", on_put, NULL);
	run_machine_s(fixture, WATCH_S);
	heard = fixture->heard;
	run_s(fixture, 10);
	CU_ASSERT(fixture->heard >= heard + 10);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "entry of gone node", test_entry_of_gone_node },
		{ "node that hears none", test_node_that_hears_none },
		{ "entry with former address", test_entry_with_former_address },
		{ "end of own cut", test_end_of_own_cut },
		{ "gone nodes and size", test_gone_nodes_and_size },
		{ "limit share beside gone node",
		  test_limit_share_beside_gone_node },
		{ "limit share after stop", test_limit_share_after_stop },
		{ "gone node without entry", test_gone_node_without_entry },
		{ NULL, NULL },
	};

	return unit_run("peer_load", tests);
}
