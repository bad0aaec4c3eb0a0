#include "coord/follower.h"

#include <stdio.h>
#include <string.h>

#include "unit.h"

/*
 * Followers against a naive model: a store that is an array of accepted
 * versions. Answers are late, lost, reordered and stale, peers lie or hold
 * nothing, nodes restart, the store has outages.
 */
#define NODES 5
#define HISTORIES 300
#define STEP_MS 50
#define CHAOS_STEPS 800
#define CALM_STEPS 1200

typedef struct accepted {
	uint64_t version;
	char text[32];
	gboolean invalid;
} accepted_t;

typedef struct world world_t;

typedef struct node {
	world_t *world;
	int index;
	int life; /* answers to an earlier life are dropped */
	follower_t *follower;
	uint64_t version; /* as adopted */
	uint64_t past[64]; /* versions it announced at some time */
	int past_count;
} node_t;

typedef enum op_kind { OP_LIST, OP_GET, OP_WATCH, OP_FETCH } op_kind_t;

typedef struct op {
	op_kind_t kind;
	int node;
	int life;
	int64_t due_ms;
	int64_t give_up_ms; /* of a watch */
	uint64_t since;
	uint64_t have;
	int peer;
	gboolean fails;
	/* Answer as of the time of issue, for stale answers. */
	gboolean stale;
	uint64_t stale_revision;
	uint64_t stale_version;
} op_t;

struct world {
	clock_manual_t clock;
	GRand *random;
	GArray *accepted; /* accepted_t */
	uint64_t revision;
	gboolean outage;
	gboolean chaos;
	node_t nodes[NODES];
	GQueue ops;
	int reads;
};

static const accepted_t *find_accepted(const world_t *world, uint64_t version)
{
	for (guint i = 0; i < world->accepted->len; i++) {
		const accepted_t *a =
			&g_array_index(world->accepted, accepted_t, i);

		if (a->version == version)
			return a;
	}
	return NULL;
}

static const accepted_t *latest(const world_t *world)
{
	if (world->accepted->len == 0)
		return NULL;
	return &g_array_index(world->accepted, accepted_t,
			      world->accepted->len - 1);
}

static uint64_t latest_version(const world_t *world)
{
	return latest(world) ? latest(world)->version : 0;
}

static int64_t world_now(const world_t *world)
{
	return clock_now_ms(&world->clock.base);
}

static gboolean chance(world_t *world, double probability)
{
	return g_rand_double(world->random) < probability;
}

static op_t *issue(node_t *node, op_kind_t kind)
{
	world_t *world = node->world;
	op_t *op = g_new0(op_t, 1);
	int longest = world->chaos ? 3000 : 100;

	op->kind = kind;
	op->node = node->index;
	op->life = node->life;
	op->due_ms =
		world_now(world) + g_rand_int_range(world->random, 1, longest);
	op->fails = (world->outage && kind != OP_FETCH) ||
		    (world->chaos && chance(world, 0.2));
	op->stale = world->chaos && chance(world, 0.3);
	op->stale_revision = world->revision;
	op->stale_version = latest_version(world);
	g_queue_push_tail(&world->ops, op);
	if (kind != OP_FETCH)
		world->reads++;
	return op;
}

static void do_list(void *user_data)
{
	issue(user_data, OP_LIST);
}

static void do_get(void *user_data)
{
	issue(user_data, OP_GET);
}

static void do_watch(uint64_t since, void *user_data)
{
	node_t *node = user_data;
	op_t *op = issue(node, OP_WATCH);

	op->since = since;
	op->give_up_ms = world_now(node->world) + 30000;
}

static void do_fetch(const char *address, uint64_t have, void *user_data)
{
	op_t *op = issue(user_data, OP_FETCH);

	op->peer = address[0] - 'a';
	op->have = have;
}

static gboolean do_adopt(uint64_t version, const uint8_t *digest, GBytes *data,
			 void *user_data)
{
	node_t *node = user_data;
	const accepted_t *accepted = find_accepted(node->world, version);

	CU_ASSERT(version > node->version);
	CU_ASSERT(accepted != NULL);
	if (!accepted)
		return FALSE;
	CU_ASSERT_EQUAL(g_bytes_get_size(data), strlen(accepted->text));
	CU_ASSERT(memcmp(g_bytes_get_data(data, NULL), accepted->text,
			 strlen(accepted->text)) == 0);
	if (accepted->invalid)
		return FALSE;
	node->version = version;
	node->past[node->past_count++ % 64] = version;
	return TRUE;
}

static void node_start(world_t *world, int index)
{
	node_t *node = &world->nodes[index];
	follower_options_t options = {
		.clock = &world->clock.base,
		.random = world->random,
		.list = do_list,
		.get = do_get,
		.watch = do_watch,
		.fetch = do_fetch,
		.adopt = do_adopt,
		.user_data = node,
	};

	node->world = world;
	node->index = index;
	node->life++;
	node->version = 0;
	follower_free(node->follower);
	node->follower = follower_new(&options);
}

static void sha256(const char *text, uint8_t *digest)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = FOLLOWER_DIGEST_BYTES;

	g_checksum_update(checksum, (const guchar *)text, -1);
	g_checksum_get_digest(checksum, digest, &len);
	g_checksum_free(checksum);
}

static void finish_fetch(world_t *world, node_t *node, const op_t *op)
{
	const accepted_t *a =
		find_accepted(world, world->nodes[op->peer].version);
	uint8_t digest[FOLLOWER_DIGEST_BYTES];
	GBytes *data;

	if (op->fails || !a) {
		follower_fetched(node->follower,
				 op->fails ? FOLLOWER_FAILED : FOLLOWER_ABSENT,
				 0, NULL, NULL);
		return;
	}
	sha256(a->text, digest);
	/* A broken difference; the whole document would be right. */
	if (world->chaos && op->have && chance(world, 0.3))
		data = g_bytes_new("broken", 6);
	else
		data = g_bytes_new(a->text, strlen(a->text));
	follower_fetched(node->follower, FOLLOWER_OK, a->version, digest, data);
	g_bytes_unref(data);
}

static void finish_get(world_t *world, node_t *node, const op_t *op)
{
	uint64_t version =
		op->stale ? op->stale_version : latest_version(world);
	const accepted_t *a = find_accepted(world, version);
	GBytes *data;

	if (op->fails || !a) {
		follower_got(node->follower,
			     op->fails ? FOLLOWER_FAILED : FOLLOWER_ABSENT, 0,
			     NULL);
		return;
	}
	data = g_bytes_new(a->text, strlen(a->text));
	follower_got(node->follower, FOLLOWER_OK, a->version, data);
	g_bytes_unref(data);
}

/* FALSE: the watch stays open. */
static gboolean finish_watch(world_t *world, node_t *node, op_t *op)
{
	uint64_t revision = op->stale ? op->stale_revision : world->revision;
	uint64_t version =
		op->stale ? op->stale_version : latest_version(world);

	if (op->fails || world->outage) {
		follower_watched(node->follower, FOLLOWER_FAILED, 0, 0);
		return TRUE;
	}
	if (world->chaos && chance(world, 0.1)) {
		follower_watched(node->follower, FOLLOWER_GONE, 0, 0);
		return TRUE;
	}
	if (!op->stale && version <= op->since &&
	    world_now(world) < op->give_up_ms) {
		op->due_ms = world_now(world) + STEP_MS;
		return FALSE;
	}
	follower_watched(node->follower, FOLLOWER_OK, revision,
			 version > op->since || op->stale ? version : 0);
	return TRUE;
}

static gboolean finish(world_t *world, op_t *op)
{
	node_t *node = &world->nodes[op->node];

	if (op->life != node->life)
		return TRUE;
	switch (op->kind) {
	case OP_LIST:
		follower_listed(
			node->follower,
			op->fails ? FOLLOWER_FAILED : FOLLOWER_OK,
			op->stale ? op->stale_revision : world->revision,
			op->stale ? op->stale_version : latest_version(world));
		return TRUE;
	case OP_GET:
		finish_get(world, node, op);
		return TRUE;
	case OP_FETCH:
		finish_fetch(world, node, op);
		return TRUE;
	case OP_WATCH:
		return finish_watch(world, node, op);
	}
	return TRUE;
}

static void finish_due(world_t *world)
{
	GList *link = world->ops.head;

	while (link) {
		op_t *op = link->data;
		GList *next = link->next;

		if (op->due_ms <= world_now(world) && finish(world, op)) {
			g_queue_unlink(&world->ops, link);
			g_list_free(link);
			g_free(op);
		}
		link = next;
	}
}

static void accept_change(world_t *world, gboolean invalid)
{
	accepted_t a = { 0 };

	/* Other objects change too. */
	world->revision += (uint64_t)g_rand_int_range(world->random, 1, 4);
	a.version = world->revision;
	a.invalid = invalid;
	snprintf(a.text, sizeof(a.text), "document %u",
		 g_rand_int(world->random));
	g_array_append_val(world->accepted, a);
}

/* Each node hears of one other one, perhaps what was true long ago. */
static void announce(world_t *world)
{
	for (int i = 0; i < NODES; i++) {
		int other = g_rand_int_range(world->random, 0, NODES);
		node_t *peer = &world->nodes[other];
		char address[2] = { (char)('a' + other), 0 };
		uint8_t digest[FOLLOWER_DIGEST_BYTES];
		uint64_t version = peer->version;

		if (world->chaos && peer->past_count > 0)
			version = peer->past[g_rand_int_range(
				world->random, 0, MIN(peer->past_count, 64))];
		if (other == i || version == 0)
			continue;
		sha256(find_accepted(world, version)->text, digest);
		follower_heard(world->nodes[i].follower, address, version,
			       digest);
	}
}

static void step(world_t *world)
{
	clock_manual_advance_ms(&world->clock, STEP_MS);
	finish_due(world);
	announce(world);
	for (int i = 0; i < NODES; i++)
		follower_tick(world->nodes[i].follower, i == 0, NODES);
}

static void chaos_event(world_t *world)
{
	if (chance(world, 0.02))
		accept_change(world, chance(world, 0.1));
	if (chance(world, 0.005))
		world->outage = !world->outage;
	if (chance(world, 0.01))
		node_start(world, g_rand_int_range(world->random, 0, NODES));
}

static void world_start(world_t *world, guint32 seed)
{
	memset(world, 0, sizeof(*world));
	clock_manual_init(&world->clock, 0);
	world->random = g_rand_new_with_seed(seed);
	world->accepted = g_array_new(FALSE, FALSE, sizeof(accepted_t));
	g_queue_init(&world->ops);
	for (int i = 0; i < NODES; i++)
		node_start(world, i);
}

static void world_stop(world_t *world)
{
	for (int i = 0; i < NODES; i++)
		follower_free(world->nodes[i].follower);
	g_queue_clear_full(&world->ops, g_free);
	g_array_free(world->accepted, TRUE);
	g_rand_free(world->random);
}

/* adopt() checks that versions only rise; the last one must be reached. */
static void test_histories(void)
{
	for (guint32 seed = 1; seed <= HISTORIES; seed++) {
		world_t world;
		int behind = 0;

		world_start(&world, seed);
		world.chaos = TRUE;
		for (int i = 0; i < CHAOS_STEPS; i++) {
			chaos_event(&world);
			step(&world);
		}
		world.chaos = FALSE;
		world.outage = FALSE;
		accept_change(&world, FALSE);
		for (int i = 0; i < CALM_STEPS; i++)
			step(&world);
		for (int i = 0; i < NODES; i++)
			behind += world.nodes[i].version !=
				  latest_version(&world);
		if (behind)
			printf("seed %u: %d nodes behind\n", seed, behind);
		CU_ASSERT_EQUAL(behind, 0);
		world_stop(&world);
	}
}

/* A node that restarts in an outage must take its peers' version. */
static void test_restart_in_outage(void)
{
	world_t world;

	world_start(&world, 1);
	accept_change(&world, FALSE);
	for (int i = 0; i < 400; i++)
		step(&world);
	world.outage = TRUE;
	node_start(&world, 2);
	for (int i = 0; i < 100; i++)
		step(&world);
	CU_ASSERT_EQUAL(world.nodes[2].version, latest_version(&world));
	world_stop(&world);
}

/* An invalid document must not replace a valid one nor block the next. */
static void test_invalid_document(void)
{
	world_t world;
	uint64_t valid;

	world_start(&world, 1);
	accept_change(&world, FALSE);
	valid = latest_version(&world);
	for (int i = 0; i < 400; i++)
		step(&world);
	accept_change(&world, TRUE);
	for (int i = 0; i < 400; i++)
		step(&world);
	for (int i = 0; i < NODES; i++)
		CU_ASSERT_EQUAL(world.nodes[i].version, valid);
	accept_change(&world, FALSE);
	for (int i = 0; i < 400; i++)
		step(&world);
	for (int i = 0; i < NODES; i++)
		CU_ASSERT_EQUAL(world.nodes[i].version, latest_version(&world));
	world_stop(&world);
}

/* In quiet times only the watcher's long poll may reach the store. */
static void test_quiet_store(void)
{
	world_t world;
	int before;

	world_start(&world, 1);
	accept_change(&world, FALSE);
	for (int i = 0; i < 400; i++)
		step(&world);
	before = world.reads;
	for (int i = 0; i < 60 * 1000 / STEP_MS; i++)
		step(&world);
	CU_ASSERT(world.reads - before <= 3);
	world_stop(&world);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "seeded histories", test_histories },
		{ "restart in an outage", test_restart_in_outage },
		{ "invalid document", test_invalid_document },
		{ "quiet store", test_quiet_store },
		{ NULL, NULL },
	};

	return unit_run("follower", tests);
}
