#include "coord/swim.h"

#include <stdio.h>
#include <string.h>

#include "unit.h"

/*
 * A fleet of failure detectors on one manual clock. Messages are encoded, so
 * that the size bound is checked, and delivered at least 1 ms later.
 */
#define MAX_NODES 64
#define STEP_MS 20
#define DATAGRAM_BOUND 700
#define TABLE_BOUND 1400 /* below the usual MTU */

typedef struct node {
	int index;
	char address[32];
	member_table_t *members;
	swim_t *swim;
	gboolean stopped; /* neither ticks nor receives */
	int group; /* nodes of different groups cannot communicate */
	uint64_t bytes_sent;
	uint64_t datagrams_sent;
	uint64_t largest; /* except MEMBER_TABLE */
	uint64_t largest_table;
} node_t;

typedef struct packet {
	int64_t due_ms;
	int from;
	int to;
	uint32_t len;
	char data[2048];
} packet_t;

typedef struct fleet {
	clock_manual_t clock;
	GRand *random;
	node_t nodes[MAX_NODES];
	int count;
	double loss;
	GQueue packets;
	uint64_t next_incarnation;
} fleet_t;

static fleet_t fleet;

static int node_index(const char *address)
{
	for (int i = 0; i < fleet.count; i++)
		if (strcmp(fleet.nodes[i].address, address) == 0)
			return i;
	return -1;
}

static void on_send(const char *address, const member_message *message,
		    void *user_data)
{
	node_t *node = user_data;
	packet_t *packet = g_new0(packet_t, 1);
	XDR xdrs;

	xdrmem_create(&xdrs, packet->data, sizeof(packet->data), XDR_ENCODE);
	CU_ASSERT_FATAL(xdr_member_message(&xdrs, (member_message *)message));
	packet->len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	packet->from = node->index;
	packet->to = node_index(address);
	packet->due_ms = clock_now_ms(&fleet.clock.base) +
			 g_rand_int_range(fleet.random, 1, 2 * STEP_MS);
	node->datagrams_sent++;
	node->bytes_sent += packet->len;
	if (message->kind == MEMBER_TABLE)
		node->largest_table = MAX(node->largest_table, packet->len);
	else
		node->largest = MAX(node->largest, packet->len);
	if (packet->to < 0 || g_rand_double(fleet.random) < fleet.loss)
		g_free(packet);
	else
		g_queue_push_tail(&fleet.packets, packet);
}

static void deliver(packet_t *packet)
{
	node_t *to = &fleet.nodes[packet->to];
	member_message message = { 0 };
	XDR xdrs;

	if (to->stopped || !to->swim ||
	    to->group != fleet.nodes[packet->from].group)
		return;
	xdrmem_create(&xdrs, packet->data, packet->len, XDR_DECODE);
	CU_ASSERT(xdr_member_message(&xdrs, &message));
	swim_receive(to->swim, &message);
	xdr_destroy(&xdrs);
	xdr_free((xdrproc_t)xdr_member_message, &message);
}

static void deliver_due(void)
{
	int64_t now = clock_now_ms(&fleet.clock.base);
	GList *link = fleet.packets.head;

	while (link) {
		packet_t *packet = link->data;
		GList *next;

		if (packet->due_ms <= now) {
			deliver(packet);
			next = link->next;
			g_queue_delete_link(&fleet.packets, link);
			g_free(packet);
		} else {
			next = link->next;
		}
		link = next;
	}
}

static void node_start(int index, const char *seed)
{
	node_t *node = &fleet.nodes[index];
	GPtrArray *seeds = g_ptr_array_new();
	char domain[16];
	swim_options_t options = {
		.clock = &fleet.clock.base,
		.random = fleet.random,
		.fleet = 7,
		.incarnation = fleet.next_incarnation,
		.send = on_send,
		.user_data = node,
	};

	/* As with the wall clock, a restart raises the incarnation above all
	 * refutations. */
	fleet.next_incarnation += 1000;
	node->index = index;
	node->stopped = FALSE;
	snprintf(node->address, sizeof(node->address), "10.0.0.%d:8082", index);
	snprintf(domain, sizeof(domain), "domain-%d", index % 3);
	node->members = member_table_new(node->address, domain);
	options.members = node->members;
	node->swim = swim_new(&options);
	g_ptr_array_add(seeds, (char *)seed);
	swim_set_seeds(node->swim, seeds);
	g_ptr_array_free(seeds, TRUE);
}

static void node_stop(int index)
{
	node_t *node = &fleet.nodes[index];

	swim_free(node->swim);
	member_table_free(node->members);
	node->swim = NULL;
	node->members = NULL;
	node->stopped = TRUE;
}

static void fleet_start(int count, guint32 seed)
{
	memset(&fleet, 0, sizeof(fleet));
	g_queue_init(&fleet.packets);
	clock_manual_init(&fleet.clock, 0);
	fleet.random = g_rand_new_with_seed(seed);
	fleet.count = count;
	fleet.next_incarnation = 1000;
	for (int i = 0; i < count; i++)
		node_start(i, "10.0.0.0:8082");
}

static void fleet_stop(void)
{
	for (int i = 0; i < fleet.count; i++)
		if (fleet.nodes[i].swim)
			node_stop(i);
	g_queue_clear_full(&fleet.packets, g_free);
	g_rand_free(fleet.random);
}

static void run_ms(int64_t duration_ms)
{
	for (int64_t t = 0; t < duration_ms; t += STEP_MS) {
		clock_manual_advance_ms(&fleet.clock, STEP_MS);
		deliver_due();
		for (int i = 0; i < fleet.count; i++)
			if (!fleet.nodes[i].stopped)
				swim_tick(fleet.nodes[i].swim);
	}
}

static int state_of(int viewer, int other)
{
	const member_t *member = member_find(fleet.nodes[viewer].members,
					     fleet.nodes[other].address);

	return member ? (int)member->state : -1;
}

/* Number of other running nodes that see the node in this state. */
static int count_viewers(int other, int state)
{
	int count = 0;

	for (int i = 0; i < fleet.count; i++)
		if (i != other && !fleet.nodes[i].stopped &&
		    state_of(i, other) == state)
			count++;
	return count;
}

static gboolean all_alive(void)
{
	for (int i = 0; i < fleet.count; i++)
		if (!fleet.nodes[i].stopped &&
		    (int)member_count(fleet.nodes[i].members, MEMBER_ALIVE) !=
			    fleet.count)
			return FALSE;
	return TRUE;
}

/* A joining node must not resend to all others what it learns from them. */
static void test_join_traffic(void)
{
	uint64_t before;

	fleet_start(40, 12);
	run_ms(120000);
	node_stop(39);
	node_start(39, "10.0.0.0:8082");
	run_ms(5000);
	CU_ASSERT(all_alive());
	before = fleet.nodes[39].bytes_sent;
	run_ms(20000);
	CU_ASSERT((fleet.nodes[39].bytes_sent - before) / 20 < 1000);
	fleet_stop();
}

/* A node that knows one seed must discover all other nodes. */
static void test_join(void)
{
	fleet_start(40, 1);
	run_ms(15000);
	CU_ASSERT(all_alive());
	for (int i = 0; i < fleet.count; i++)
		CU_ASSERT(fleet.nodes[i].largest <= DATAGRAM_BOUND);
	fleet_stop();
}

/* All nodes must detect a killed node as dead, and no other node may be. */
static void test_killed_node_is_detected(void)
{
	fleet_start(20, 2);
	run_ms(10000);
	node_stop(7);
	run_ms(25000);
	CU_ASSERT_EQUAL(count_viewers(7, MEMBER_DEAD), 19);
	for (int i = 0; i < fleet.count; i++)
		if (i != 7)
			CU_ASSERT_EQUAL(count_viewers(i, MEMBER_ALIVE), 18);
	fleet_stop();
}

/* Datagram loss must not make a live node look dead. */
static void test_datagram_loss(void)
{
	int false_deaths = 0;

	fleet_start(20, 3);
	run_ms(10000);
	fleet.loss = 0.1;
	for (int round = 0; round < 60; round++) {
		run_ms(1000);
		for (int i = 0; i < fleet.count; i++)
			false_deaths += count_viewers(i, MEMBER_DEAD);
	}
	CU_ASSERT_EQUAL(false_deaths, 0);
	fleet.loss = 0;
	run_ms(10000);
	CU_ASSERT(all_alive());
	fleet_stop();
}

/* A paused node that was declared dead must become alive again when it
 * resumes. */
static void test_resume_after_pause(void)
{
	fleet_start(12, 4);
	run_ms(10000);
	fleet.nodes[3].stopped = TRUE;
	run_ms(30000);
	CU_ASSERT_EQUAL(count_viewers(3, MEMBER_DEAD), 11);
	fleet.nodes[3].stopped = FALSE;
	run_ms(3000);
	CU_ASSERT_EQUAL(count_viewers(3, MEMBER_ALIVE), 11);
	run_ms(10000);
	CU_ASSERT(all_alive());
	fleet_stop();
}

/* Both sides of a healed partition must rejoin. */
static void test_partition(void)
{
	fleet_start(12, 5);
	run_ms(10000);
	for (int i = 6; i < 12; i++)
		fleet.nodes[i].group = 1;
	run_ms(60000);
	CU_ASSERT_EQUAL(count_viewers(0, MEMBER_DEAD), 6);
	CU_ASSERT_EQUAL(count_viewers(11, MEMBER_DEAD), 6);
	for (int i = 6; i < 12; i++)
		fleet.nodes[i].group = 0;
	run_ms(20000);
	CU_ASSERT(all_alive());
	fleet_stop();
}

/* A draining node must not become alive again by old updates or a stale
 * list. */
static void test_drain_and_leave(void)
{
	GPtrArray *listed = g_ptr_array_new();

	fleet_start(12, 6);
	run_ms(10000);
	for (int i = 0; i < 12; i++)
		g_ptr_array_add(listed, fleet.nodes[i].address);
	swim_drain(fleet.nodes[4].swim);
	run_ms(3000);
	CU_ASSERT_EQUAL(count_viewers(4, MEMBER_DRAINING), 11);
	for (int i = 0; i < 12; i++)
		swim_set_seeds(fleet.nodes[i].swim, listed);
	run_ms(20000);
	CU_ASSERT_EQUAL(count_viewers(4, MEMBER_DRAINING), 11);
	swim_leave(fleet.nodes[4].swim);
	run_ms(3000);
	CU_ASSERT_EQUAL(count_viewers(4, MEMBER_DEAD), 11);
	run_ms(60000);
	CU_ASSERT_EQUAL(count_viewers(4, MEMBER_DEAD), 11);
	g_ptr_array_free(listed, TRUE);
	fleet_stop();
}

/* A restarted node at the same address must be alive to all within seconds. */
static void test_restart(void)
{
	fleet_start(12, 7);
	run_ms(10000);
	node_stop(5);
	run_ms(30000);
	CU_ASSERT_EQUAL(count_viewers(5, MEMBER_DEAD), 11);
	node_start(5, "10.0.0.0:8082");
	run_ms(5000);
	CU_ASSERT(all_alive());
	fleet_stop();
}

/* Dead members must not be kept and gossiped forever. */
static void test_removal(void)
{
	fleet_start(6, 8);
	run_ms(10000);
	node_stop(5);
	run_ms(700000);
	CU_ASSERT_EQUAL(count_viewers(5, -1), 5);
	fleet_stop();
}

/* Traffic per node must not grow with the fleet, and datagrams must stay within
 * the bound. */
static void test_traffic(void)
{
	uint64_t before[MAX_NODES];
	uint64_t largest_table = 0;

	fleet_start(60, 9);
	run_ms(30000);
	for (int i = 0; i < fleet.count; i++) {
		before[i] = fleet.nodes[i].bytes_sent;
		fleet.nodes[i].largest = 0;
	}
	run_ms(60000);
	for (int i = 0; i < fleet.count; i++) {
		CU_ASSERT((fleet.nodes[i].bytes_sent - before[i]) / 60 < 2000);
		CU_ASSERT(fleet.nodes[i].largest <= DATAGRAM_BOUND);
		CU_ASSERT(fleet.nodes[i].largest_table <= TABLE_BOUND);
		largest_table =
			MAX(largest_table, fleet.nodes[i].largest_table);
	}
	CU_ASSERT(largest_table > 0);
	fleet_stop();
}

static int versions_seen(uint64_t version)
{
	int seen = 0;

	for (int i = 1; i < fleet.count; i++) {
		const GPtrArray *all = member_all(fleet.nodes[i].members);

		for (guint j = 0; j < all->len; j++)
			if (((member_t *)all->pdata[j])->config_version ==
			    version) {
				seen++;
				break;
			}
	}
	return seen;
}

/* A configuration version must spread when each node announces the one that it
 * has applied. */
static void test_config_version_spreads(void)
{
	static const uint8_t digest[MEMBER_CONFIG_DIGEST_BYTES] = { 1, 2, 3 };
	int64_t waited = 0;

	fleet_start(60, 10);
	run_ms(20000);
	swim_announce_config(fleet.nodes[0].swim, 42, digest);
	while (versions_seen(42) < 59 && waited < 12000) {
		for (int i = 1; i < fleet.count; i++) {
			member_t *self = member_self(fleet.nodes[i].members);
			const GPtrArray *all =
				member_all(fleet.nodes[i].members);

			for (guint j = 1; j < all->len; j++)
				if (((member_t *)all->pdata[j])
					    ->config_version >
				    self->config_version)
					swim_announce_config(
						fleet.nodes[i].swim, 42,
						digest);
		}
		run_ms(STEP_MS);
		waited += STEP_MS;
	}
	CU_ASSERT_EQUAL(versions_seen(42), 59);
	CU_ASSERT(waited < 6000);
	fleet_stop();
}

/* Nodes of another fleet must never become members. */
static void test_other_fleet(void)
{
	member_message message = {
		.fleet = 8,
		.kind = MEMBER_PING,
		.target = "10.0.0.0:8082",
		.sender = { "10.0.0.99:8082", "x", MEMBER_ALIVE, 5 },
	};

	fleet_start(1, 11);
	swim_receive(fleet.nodes[0].swim, &message);
	CU_ASSERT_EQUAL(member_all(fleet.nodes[0].members)->len, 1);
	CU_ASSERT_EQUAL(fleet.nodes[0].datagrams_sent, 0);
	message.fleet = 7;
	swim_receive(fleet.nodes[0].swim, &message);
	CU_ASSERT_EQUAL(member_all(fleet.nodes[0].members)->len, 2);
	fleet_stop();
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "join through one seed", test_join },
		{ "join traffic", test_join_traffic },
		{ "a killed node is detected", test_killed_node_is_detected },
		{ "lost datagrams", test_datagram_loss },
		{ "resume after a pause", test_resume_after_pause },
		{ "a partition heals", test_partition },
		{ "draining and leaving", test_drain_and_leave },
		{ "restart at the same address", test_restart },
		{ "dead members are removed", test_removal },
		{ "traffic is bounded", test_traffic },
		{ "configuration versions spread",
		  test_config_version_spreads },
		{ "other fleets are ignored", test_other_fleet },
		{ NULL, NULL },
	};

	return unit_run("swim", tests);
}
