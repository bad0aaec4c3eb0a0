#include "entry/records.h"

#include <event2/event.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "object/object_memory.h"
#include "rpc/rpc_client.h"
#include "rpc/rpc_server.h"

#include "unit.h"

#define NODES 3
#define SHARDS 8
#define MAX_LOOPS 200000
/* The manual clock runs ten times as fast as real time, so that leases expire
 * quickly. */
#define CLOCK_STEP_MS 10

typedef struct node {
	rpc_server_t *server;
	rpc_client_t *client;
	object_store_t *store;
	member_table_t *members;
	counter_set_t *counters;
	records_t *records;
	/* data -> version of the records reported so far */
	GHashTable *followed;
	int losses;
} node_t;

typedef struct cluster {
	struct event_base *base;
	struct event *timer;
	clock_manual_t clock;
	object_memory_t *memory;
	node_t nodes[NODES];
} cluster_t;

typedef struct outcome {
	int done;
	int code; /* -1: success */
	uint64_t version;
	char data[32];
	guint count;
	gboolean complete;
} outcome_t;

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	cluster_t *cluster = arg;
	struct timeval period = { 0, 1000 };

	clock_manual_advance_ms(&cluster->clock, CLOCK_STEP_MS);
	object_memory_step(cluster->memory);
	for (int i = 0; i < NODES; i++)
		if (cluster->nodes[i].store)
			object_memory_deliver(cluster->nodes[i].store);
	evtimer_add(cluster->timer, &period);
}

static char *address_of(const node_t *node)
{
	return g_strdup_printf("127.0.0.1:%u", rpc_server_port(node->server));
}

static void on_each(const record_t *record, void *user_data)
{
	node_t *node = user_data;

	if (record)
		g_hash_table_replace(node->followed,
				     g_strndup(record->data, record->len),
				     GUINT_TO_POINTER((guint)record->version));
	else
		node->losses++;
}

static void node_start(cluster_t *cluster, node_t *node)
{
	records_options_t options = {
		.base = cluster->base,
		.clock = &cluster->clock.base,
		.store = object_memory_open(cluster->memory),
		.members = node->members,
		.rpc_client = node->client,
		.rpc_server = node->server,
		.shards = SHARDS,
		.timeout_ms = 200000,
	};

	node->store = options.store;
	node->counters = counter_set_new();
	node->followed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	options.counters = node->counters;
	options.incarnation = rpc_server_port(node->server);
	node->records = records_new(&options);
	records_follow(node->records, RECORD_JOB, on_each, node);
}

static void cluster_open(cluster_t *cluster)
{
	*cluster = (cluster_t){ 0 };
	cluster->base = event_base_new();
	clock_manual_init(&cluster->clock, 1700000000000);
	cluster->memory = object_memory_new(&cluster->clock.base, 1);
	for (int i = 0; i < NODES; i++) {
		node_t *node = &cluster->nodes[i];
		char *own;

		node->server = rpc_server_new(cluster->base, "127.0.0.1", 0,
					      NULL, NULL);
		node->client = rpc_client_new(cluster->base, NULL);
		own = address_of(node);
		node->members = member_table_new(own, "old-town");
		g_free(own);
	}
	for (int i = 0; i < NODES; i++)
		for (int j = 0; j < NODES; j++) {
			char *other = address_of(&cluster->nodes[j]);

			member_add(cluster->nodes[i].members, other,
				   "old-town");
			g_free(other);
		}
	for (int i = 0; i < NODES; i++)
		node_start(cluster, &cluster->nodes[i]);
	cluster->timer = evtimer_new(cluster->base, on_timer, cluster);
	on_timer(-1, 0, cluster);
}

static void node_stop(cluster_t *cluster, node_t *node)
{
	if (!node->records)
		return;
	rpc_server_free(node->server);
	rpc_client_free(node->client);
	records_free(node->records);
	clock_manual_advance_ms(&cluster->clock, 10);
	object_memory_step(cluster->memory);
	object_memory_deliver(node->store);
	object_store_free(node->store);
	member_table_free(node->members);
	counter_set_free(node->counters);
	g_hash_table_destroy(node->followed);
	node->store = NULL;
	node->records = NULL;
}

static void cluster_close(cluster_t *cluster)
{
	for (int i = 0; i < NODES; i++)
		node_stop(cluster, &cluster->nodes[i]);
	event_free(cluster->timer);
	object_memory_free(cluster->memory);
	event_base_free(cluster->base);
}

static void run_until(cluster_t *cluster, const int *done)
{
	for (int i = 0; i < MAX_LOOPS && !*done; i++)
		event_base_loop(cluster->base, EVLOOP_ONCE);
	CU_ASSERT_TRUE_FATAL(*done);
}

static void on_done(const record_t *record, const GError *error,
		    void *user_data)
{
	outcome_t *outcome = user_data;

	outcome->done = 1;
	outcome->code = error ? error->code : -1;
	if (!record)
		return;
	outcome->version = record->version;
	memcpy(outcome->data, record->data,
	       MIN(record->len, sizeof(outcome->data) - 1));
}

static void on_listed(const GArray *found, gboolean complete, void *user_data)
{
	outcome_t *outcome = user_data;

	outcome->done = 1;
	outcome->count = found->len;
	outcome->complete = complete;
}

static record_key_t key_of(int number)
{
	char text[16];

	snprintf(text, sizeof(text), "%d", number);
	return record_key_make("test", text, NULL);
}

static outcome_t update(cluster_t *cluster, int node, int key, uint64_t version,
			const char *data)
{
	record_t record = { .key = key_of(key),
			    .kind = RECORD_JOB,
			    .version = version,
			    .owner_tag = key % 2 ? "guild/a" : "guild/b",
			    .data = data,
			    .len = strlen(data) };
	outcome_t outcome = { 0 };

	records_update(cluster->nodes[node].records, &record, on_done,
		       &outcome);
	CU_ASSERT_EQUAL(outcome.done, 0);
	run_until(cluster, &outcome.done);
	return outcome;
}

static outcome_t get(cluster_t *cluster, int node, int key)
{
	record_key_t wanted = key_of(key);
	outcome_t outcome = { 0 };

	records_get(cluster->nodes[node].records, &wanted, on_done, &outcome);
	run_until(cluster, &outcome.done);
	return outcome;
}

static outcome_t list(cluster_t *cluster, int node, const char *tag)
{
	outcome_t outcome = { 0 };

	records_list(cluster->nodes[node].records, RECORD_JOB, tag, on_listed,
		     &outcome);
	run_until(cluster, &outcome.done);
	return outcome;
}

/* Keys must differ when only the boundary between their parts differs. */
static void test_key(void)
{
	record_key_t a = record_key_make("ab", "c", NULL);
	record_key_t b = record_key_make("a", "bc", NULL);
	record_key_t c = record_key_make("ab", "c", NULL);

	CU_ASSERT(memcmp(&a, &b, sizeof(a)) != 0);
	CU_ASSERT(memcmp(&a, &c, sizeof(a)) == 0);
}

/* Every node must serve every record, whichever node owns its shard. */
static void test_forwarding(void)
{
	cluster_t w;
	outcome_t outcome;
	char large[RECORD_MAX_DATA_BYTES + 2];

	cluster_open(&w);
	for (int key = 0; key < 30; key++)
		CU_ASSERT_EQUAL(update(&w, key % NODES, key, 0, "one").code,
				-1);
	for (int key = 0; key < 30; key++) {
		outcome = get(&w, (key + 1) % NODES, key);
		CU_ASSERT_EQUAL(outcome.code, -1);
		CU_ASSERT_EQUAL(outcome.version, 1);
		CU_ASSERT_STRING_EQUAL(outcome.data, "one");
	}
	outcome = update(&w, 2, 5, 0, "two");
	CU_ASSERT_EQUAL(outcome.code, WL_ERROR_CONFLICT);
	CU_ASSERT_STRING_EQUAL(outcome.data, "one");
	CU_ASSERT_EQUAL(get(&w, 0, 1000).code, WL_ERROR_NOT_FOUND);
	CU_ASSERT_EQUAL(update(&w, 0, 1000, 3, "x").code, WL_ERROR_NOT_FOUND);
	memset(large, 'x', sizeof(large));
	large[sizeof(large) - 1] = '\0';
	CU_ASSERT_EQUAL(update(&w, 1, 1001, 0, large).code, WL_ERROR_TOO_LARGE);
	outcome = list(&w, 1, "guild/a");
	CU_ASSERT_TRUE(outcome.complete);
	CU_ASSERT_EQUAL(outcome.count, 15);
	/* A list without an owner tag returns the records of all owners. */
	outcome = list(&w, 1, NULL);
	CU_ASSERT(outcome.count > 15);
	cluster_close(&w);
}

/* A list larger than one RPC message must be complete. */
static void test_long_list(void)
{
	cluster_t w;
	char *data = g_strnfill(RECORD_MAX_DATA_BYTES - 1, 'y');
	outcome_t outcome;

	cluster_open(&w);
	for (int key = 1; key < 100; key += 2)
		CU_ASSERT_EQUAL(update(&w, 0, key, 0, data).code, -1);
	for (int node = 0; node < NODES; node++) {
		outcome = list(&w, node, "guild/a");
		CU_ASSERT_TRUE(outcome.complete);
		CU_ASSERT_EQUAL(outcome.count, 50);
	}
	g_free(data);
	cluster_close(&w);
}

static guint followed(const cluster_t *cluster)
{
	guint count = 0;

	for (int i = 0; i < NODES; i++)
		if (cluster->nodes[i].records)
			count += g_hash_table_size(cluster->nodes[i].followed);
	return count;
}

/* After takeover from a dead owner, the new owner's follower must be given the
 * existing records. */
static void test_follow_and_takeover(void)
{
	cluster_t w;
	char data[16];
	char *dead;
	int all = 0;

	cluster_open(&w);
	for (int key = 0; key < 24; key++) {
		snprintf(data, sizeof(data), "job-%d", key);
		CU_ASSERT_EQUAL(update(&w, 0, key, 0, data).code, -1);
	}
	CU_ASSERT(followed(&w) >= 24);
	dead = address_of(&w.nodes[1]);
	node_stop(&w, &w.nodes[1]);
	for (int i = 0; i < NODES; i += 2)
		member_find(w.nodes[i].members, dead)->state = MEMBER_DEAD;
	g_free(dead);
	for (int i = 0; i < MAX_LOOPS && !all; i++) {
		event_base_loop(w.base, EVLOOP_ONCE);
		all = followed(&w) >= 24;
	}
	CU_ASSERT_TRUE(all);
	for (int key = 0; key < 24; key++)
		CU_ASSERT_EQUAL(update(&w, 2, key, 1, "next").code, -1);
	CU_ASSERT_EQUAL(list(&w, 0, "guild/a").count, 12);
	cluster_close(&w);
}

/* Released shards must be acquired by other nodes without waiting for the lease
 * to expire. */
static void test_release(void)
{
	cluster_t w;
	int released = 0;

	cluster_open(&w);
	for (int key = 0; key < 16; key++)
		update(&w, 0, key, 0, "one");
	records_release(w.nodes[0].records);
	member_self(w.nodes[0].members)->state = MEMBER_DRAINING;
	for (int i = 1; i < NODES; i++)
		member_find(w.nodes[i].members,
			    member_self(w.nodes[0].members)->address)
			->state = MEMBER_DRAINING;
	for (int i = 0; i < MAX_LOOPS && !released; i++) {
		event_base_loop(w.base, EVLOOP_ONCE);
		released = records_is_released(w.nodes[0].records);
	}
	CU_ASSERT_TRUE(released);
	for (int key = 0; key < 16; key++)
		CU_ASSERT_EQUAL(update(&w, 0, key, 1, "two").code, -1);
	cluster_close(&w);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "key", test_key },
		{ "forwarding", test_forwarding },
		{ "long list", test_long_list },
		{ "follow and takeover", test_follow_and_takeover },
		{ "release", test_release },
		{ NULL, NULL },
	};

	return unit_run("records", tests);
}
