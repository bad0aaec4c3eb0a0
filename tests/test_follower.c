#include "coord/follower.h"

#include <stdio.h>
#include <string.h>

#include "unit.h"

/*
 * Followers against a reference model: a store that is an array of accepted
 * versions. Responses are delayed, lost, reordered and stale, peers give wrong
 * data or have no document, nodes restart, and the store has outages.
 */
#define NODES 5
#define HISTORIES 300
#define STEP_MS 50
#define FAULT_STEPS 800
#define RECOVERY_STEPS 1200

typedef struct document {
	uint64_t version;
	char text[32];
	gboolean invalid;
} document_t;

typedef struct sim sim_t;

typedef struct node {
	sim_t *sim;
	int index;
	int incarnation; /* responses to an earlier incarnation are dropped */
	follower_t *follower;
	uint64_t version; /* last applied */
	uint64_t announced[64]; /* versions that it has announced */
	int announced_count;
} node_t;

typedef enum op_kind { OP_LIST, OP_GET, OP_WATCH, OP_FETCH } op_kind_t;

typedef struct op {
	op_kind_t kind;
	int node;
	int incarnation;
	int64_t due_ms;
	int64_t expires_ms; /* of a watch */
	uint64_t since;
	uint64_t have_version;
	int peer;
	gboolean fails;
	/* Response as of the time of issue, for stale responses. */
	gboolean stale;
	uint64_t stale_revision;
	uint64_t stale_version;
} op_t;

struct sim {
	clock_manual_t clock;
	GRand *random;
	GArray *documents; /* document_t */
	uint64_t revision;
	gboolean outage;
	gboolean faults;
	node_t nodes[NODES];
	GQueue ops;
	int reads;
};

static const document_t *find_document(const sim_t *sim, uint64_t version)
{
	for (guint i = 0; i < sim->documents->len; i++) {
		const document_t *a =
			&g_array_index(sim->documents, document_t, i);

		if (a->version == version)
			return a;
	}
	return NULL;
}

static const document_t *latest(const sim_t *sim)
{
	if (sim->documents->len == 0)
		return NULL;
	return &g_array_index(sim->documents, document_t,
			      sim->documents->len - 1);
}

static uint64_t latest_version(const sim_t *sim)
{
	return latest(sim) ? latest(sim)->version : 0;
}

static int64_t sim_now(const sim_t *sim)
{
	return clock_now_ms(&sim->clock.base);
}

static gboolean happens(sim_t *sim, double probability)
{
	return g_rand_double(sim->random) < probability;
}

static op_t *issue(node_t *node, op_kind_t kind)
{
	sim_t *sim = node->sim;
	op_t *op = g_new0(op_t, 1);
	int longest = sim->faults ? 3000 : 100;

	op->kind = kind;
	op->node = node->index;
	op->incarnation = node->incarnation;
	op->due_ms = sim_now(sim) + g_rand_int_range(sim->random, 1, longest);
	op->fails = (sim->outage && kind != OP_FETCH) ||
		    (sim->faults && happens(sim, 0.2));
	op->stale = sim->faults && happens(sim, 0.3);
	op->stale_revision = sim->revision;
	op->stale_version = latest_version(sim);
	g_queue_push_tail(&sim->ops, op);
	if (kind != OP_FETCH)
		sim->reads++;
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
	op->expires_ms = sim_now(node->sim) + 30000;
}

static void do_fetch(const char *address, uint64_t have_version,
		     void *user_data)
{
	op_t *op = issue(user_data, OP_FETCH);

	op->peer = address[0] - 'a';
	op->have_version = have_version;
}

static gboolean do_apply(uint64_t version, const uint8_t *digest, GBytes *data,
			 void *user_data)
{
	node_t *node = user_data;
	const document_t *document = find_document(node->sim, version);

	CU_ASSERT(version > node->version);
	CU_ASSERT(document != NULL);
	if (!document)
		return FALSE;
	CU_ASSERT_EQUAL(g_bytes_get_size(data), strlen(document->text));
	CU_ASSERT(memcmp(g_bytes_get_data(data, NULL), document->text,
			 strlen(document->text)) == 0);
	if (document->invalid)
		return FALSE;
	node->version = version;
	node->announced[node->announced_count++ % 64] = version;
	return TRUE;
}

static void node_start(sim_t *sim, int index)
{
	node_t *node = &sim->nodes[index];
	follower_options_t options = {
		.clock = &sim->clock.base,
		.random = sim->random,
		.list = do_list,
		.get = do_get,
		.watch = do_watch,
		.fetch = do_fetch,
		.apply = do_apply,
		.user_data = node,
	};

	node->sim = sim;
	node->index = index;
	node->incarnation++;
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

static void finish_fetch(sim_t *sim, node_t *node, const op_t *op)
{
	const document_t *a = find_document(sim, sim->nodes[op->peer].version);
	uint8_t digest[FOLLOWER_DIGEST_BYTES];
	GBytes *data;

	if (op->fails || !a) {
		follower_fetched(node->follower,
				 op->fails ? FOLLOWER_FAILED :
					     FOLLOWER_NOT_FOUND,
				 0, NULL, NULL);
		return;
	}
	sha256(a->text, digest);
	/* An invalid difference; the complete document would be valid. */
	if (sim->faults && op->have_version && happens(sim, 0.3))
		data = g_bytes_new("broken", 6);
	else
		data = g_bytes_new(a->text, strlen(a->text));
	follower_fetched(node->follower, FOLLOWER_OK, a->version, digest, data);
	g_bytes_unref(data);
}

static void finish_get(sim_t *sim, node_t *node, const op_t *op)
{
	uint64_t version = op->stale ? op->stale_version : latest_version(sim);
	const document_t *a = find_document(sim, version);
	GBytes *data;

	if (op->fails || !a) {
		follower_got(node->follower,
			     op->fails ? FOLLOWER_FAILED : FOLLOWER_NOT_FOUND,
			     0, NULL);
		return;
	}
	data = g_bytes_new(a->text, strlen(a->text));
	follower_got(node->follower, FOLLOWER_OK, a->version, data);
	g_bytes_unref(data);
}

/* Returns FALSE when the watch stays open. */
static gboolean finish_watch(sim_t *sim, node_t *node, op_t *op)
{
	uint64_t revision = op->stale ? op->stale_revision : sim->revision;
	uint64_t version = op->stale ? op->stale_version : latest_version(sim);

	if (op->fails || sim->outage) {
		follower_watched(node->follower, FOLLOWER_FAILED, 0, 0);
		return TRUE;
	}
	if (sim->faults && happens(sim, 0.1)) {
		follower_watched(node->follower, FOLLOWER_REVISION_TOO_OLD, 0,
				 0);
		return TRUE;
	}
	if (!op->stale && version <= op->since &&
	    sim_now(sim) < op->expires_ms) {
		op->due_ms = sim_now(sim) + STEP_MS;
		return FALSE;
	}
	follower_watched(node->follower, FOLLOWER_OK, revision,
			 version > op->since || op->stale ? version : 0);
	return TRUE;
}

static gboolean finish(sim_t *sim, op_t *op)
{
	node_t *node = &sim->nodes[op->node];

	if (op->incarnation != node->incarnation)
		return TRUE;
	switch (op->kind) {
	case OP_LIST:
		follower_listed(node->follower,
				op->fails ? FOLLOWER_FAILED : FOLLOWER_OK,
				op->stale ? op->stale_revision : sim->revision,
				op->stale ? op->stale_version :
					    latest_version(sim));
		return TRUE;
	case OP_GET:
		finish_get(sim, node, op);
		return TRUE;
	case OP_FETCH:
		finish_fetch(sim, node, op);
		return TRUE;
	case OP_WATCH:
		return finish_watch(sim, node, op);
	}
	return TRUE;
}

static void finish_due(sim_t *sim)
{
	GList *link = sim->ops.head;

	while (link) {
		op_t *op = link->data;
		GList *next = link->next;

		if (op->due_ms <= sim_now(sim) && finish(sim, op)) {
			g_queue_unlink(&sim->ops, link);
			g_list_free(link);
			g_free(op);
		}
		link = next;
	}
}

static void publish(sim_t *sim, gboolean invalid)
{
	document_t a = { 0 };

	/* Changes of other objects raise the revision too. */
	sim->revision += (uint64_t)g_rand_int_range(sim->random, 1, 4);
	a.version = sim->revision;
	a.invalid = invalid;
	snprintf(a.text, sizeof(a.text), "document %u",
		 g_rand_int(sim->random));
	g_array_append_val(sim->documents, a);
}

/* Each node receives the announcement of one other node, which may be of an old
 * version. */
static void announce(sim_t *sim)
{
	for (int i = 0; i < NODES; i++) {
		int other = g_rand_int_range(sim->random, 0, NODES);
		node_t *peer = &sim->nodes[other];
		char address[2] = { (char)('a' + other), 0 };
		uint8_t digest[FOLLOWER_DIGEST_BYTES];
		uint64_t version = peer->version;

		if (sim->faults && peer->announced_count > 0)
			version = peer->announced[g_rand_int_range(
				sim->random, 0,
				MIN(peer->announced_count, 64))];
		if (other == i || version == 0)
			continue;
		sha256(find_document(sim, version)->text, digest);
		follower_announced(sim->nodes[i].follower, address, version,
				   digest);
	}
}

static void step(sim_t *sim)
{
	clock_manual_advance_ms(&sim->clock, STEP_MS);
	finish_due(sim);
	announce(sim);
	for (int i = 0; i < NODES; i++)
		follower_tick(sim->nodes[i].follower, i == 0, NODES);
}

static void inject_fault(sim_t *sim)
{
	if (happens(sim, 0.02))
		publish(sim, happens(sim, 0.1));
	if (happens(sim, 0.005))
		sim->outage = !sim->outage;
	if (happens(sim, 0.01))
		node_start(sim, g_rand_int_range(sim->random, 0, NODES));
}

static void sim_start(sim_t *sim, guint32 seed)
{
	memset(sim, 0, sizeof(*sim));
	clock_manual_init(&sim->clock, 0);
	sim->random = g_rand_new_with_seed(seed);
	sim->documents = g_array_new(FALSE, FALSE, sizeof(document_t));
	g_queue_init(&sim->ops);
	for (int i = 0; i < NODES; i++)
		node_start(sim, i);
}

static void sim_stop(sim_t *sim)
{
	for (int i = 0; i < NODES; i++)
		follower_free(sim->nodes[i].follower);
	g_queue_clear_full(&sim->ops, g_free);
	g_array_free(sim->documents, TRUE);
	g_rand_free(sim->random);
}

/* Versions must only rise, which do_apply() checks, and every node must reach
 * the last one after the faults have ended. */
static void test_histories(void)
{
	for (guint32 seed = 1; seed <= HISTORIES; seed++) {
		sim_t sim;
		int behind = 0;

		sim_start(&sim, seed);
		sim.faults = TRUE;
		for (int i = 0; i < FAULT_STEPS; i++) {
			inject_fault(&sim);
			step(&sim);
		}
		sim.faults = FALSE;
		sim.outage = FALSE;
		publish(&sim, FALSE);
		for (int i = 0; i < RECOVERY_STEPS; i++)
			step(&sim);
		for (int i = 0; i < NODES; i++)
			behind += sim.nodes[i].version != latest_version(&sim);
		if (behind)
			printf("seed %u: %d nodes behind\n", seed, behind);
		CU_ASSERT_EQUAL(behind, 0);
		sim_stop(&sim);
	}
}

/* A node that restarts during a store outage must get the version from its
 * peers. */
static void test_restart_in_outage(void)
{
	sim_t sim;

	sim_start(&sim, 1);
	publish(&sim, FALSE);
	for (int i = 0; i < 400; i++)
		step(&sim);
	sim.outage = TRUE;
	node_start(&sim, 2);
	for (int i = 0; i < 100; i++)
		step(&sim);
	CU_ASSERT_EQUAL(sim.nodes[2].version, latest_version(&sim));
	sim_stop(&sim);
}

/* An invalid document must neither replace a valid one nor block the next. */
static void test_invalid_document(void)
{
	sim_t sim;
	uint64_t valid;

	sim_start(&sim, 1);
	publish(&sim, FALSE);
	valid = latest_version(&sim);
	for (int i = 0; i < 400; i++)
		step(&sim);
	publish(&sim, TRUE);
	for (int i = 0; i < 400; i++)
		step(&sim);
	for (int i = 0; i < NODES; i++)
		CU_ASSERT_EQUAL(sim.nodes[i].version, valid);
	publish(&sim, FALSE);
	for (int i = 0; i < 400; i++)
		step(&sim);
	for (int i = 0; i < NODES; i++)
		CU_ASSERT_EQUAL(sim.nodes[i].version, latest_version(&sim));
	sim_stop(&sim);
}

/* Without changes only the watcher's long poll may read the store. */
static void test_idle_store_reads(void)
{
	sim_t sim;
	int before;

	sim_start(&sim, 1);
	publish(&sim, FALSE);
	for (int i = 0; i < 400; i++)
		step(&sim);
	before = sim.reads;
	for (int i = 0; i < 60 * 1000 / STEP_MS; i++)
		step(&sim);
	CU_ASSERT(sim.reads - before <= 3);
	sim_stop(&sim);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "seeded histories", test_histories },
		{ "restart in an outage", test_restart_in_outage },
		{ "invalid document", test_invalid_document },
		{ "idle store reads", test_idle_store_reads },
		{ NULL, NULL },
	};

	return unit_run("follower", tests);
}
