#include <string.h>

#include "gateway/load_view.h"
#include "unit.h"

#define SERVICE 0x5e
#define OTHER_SERVICE 0x07
/* A count, and a hash and nine numbers for each of two services. */
#define DEMANDS_BYTES (4 + 2 * (8 + 9 * 4))
/* A time, a count, and a hash, two revisions and an age for each of two views. */
#define NEWS_BYTES (8 + 4 + 2 * (3 * 8 + 4))
#define REPORT_BYTES 2048
#define VIEW 0xc0
#define OTHER_VIEW 0x5e

/* One node with a fleet of a single runner. */
typedef struct node {
	clock_manual_t *clock;
	GRand *random;
	fleet_t *fleet;
	load_view_t *view;
} node_t;

static node_t node_new(clock_manual_t *clock, const char *name,
		       uint64_t incarnation)
{
	node_t node = { .clock = clock, .random = g_rand_new_with_seed(1) };
	const fleet_options_t options = { .clock = &clock->base,
					  .random = node.random,
					  .domain = "d" };
	const fleet_entry_t entry = { "r1", "10.0.0.1:1", "s", "d", 8,
				      1,    false,	  "1" };

	node.fleet = fleet_new(&options);
	fleet_update(node.fleet, &entry);
	node.view =
		load_view_new(&clock->base, node.fleet, name, "d", incarnation);
	return node;
}

static void node_free(node_t *node)
{
	load_view_free(node->view);
	fleet_free(node->fleet);
	g_rand_free(node->random);
}

static fleet_runner_t *runner(node_t *node)
{
	return fleet_find(node->fleet, fleet_key("r1"));
}

static size_t report_into(node_t *node, char *data, size_t size)
{
	const load_own_t own = { .demands = { { SERVICE, { { 2, 3 } } },
					      { OTHER_SERVICE,
						{ { 0, 0, 7 } } } },
				 .demand_count = 2,
				 .reaches_store = true,
				 .news = { { VIEW, { 90, 95, 1000 } },
					   { OTHER_VIEW, { 7, 7, 0 } } },
				 .news_count = 2 };

	return load_view_encode(node->view, &own, data, size);
}

static size_t report(node_t *node, char *data)
{
	return report_into(node, data, REPORT_BYTES);
}

/* An older report that arrives after a newer one must not restore old load. */
static void test_order(void)
{
	clock_manual_t clock;
	node_t a, b;
	batch_waiting_t before, after;
	char old_report[REPORT_BYTES], new_report[REPORT_BYTES];
	size_t old_len, new_len;

	clock_manual_init(&clock, 0);
	a = node_new(&clock, "a", 1);
	b = node_new(&clock, "b", 1);
	runner(&a)->own.online = 3;
	runner(&a)->own.batch = 2;
	old_len = report(&a, old_report);
	runner(&a)->own.online = 1;
	new_len = report(&a, new_report);
	CU_ASSERT_PTR_NOT_NULL(load_view_apply(b.view, new_report, new_len));
	CU_ASSERT_PTR_NULL(load_view_apply(b.view, old_report, old_len));
	CU_ASSERT_PTR_NULL(load_view_apply(b.view, new_report, new_len));
	CU_ASSERT_EQUAL(runner(&b)->peers.online, 1);
	CU_ASSERT_EQUAL(runner(&b)->peers.batch, 2);
	load_view_batch_waiting(b.view, SERVICE, true, &before, &after);
	CU_ASSERT_EQUAL(before.items[0], 2);
	CU_ASSERT_EQUAL(before.items[1], 3);
	CU_ASSERT_EQUAL(after.items[0], 0);
	load_view_apply(a.view, new_report, report(&b, new_report));
	load_view_batch_waiting(a.view, SERVICE, true, &before, &after);
	CU_ASSERT_EQUAL(before.items[1], 0);
	CU_ASSERT_EQUAL(after.items[1], 3);
	node_free(&a);
	node_free(&b);
}

/* Items that wait for one service must not count as waiting for another. Those of
 * a node of the version before, which does not tell the services, count for
 * all. */
static void test_waiting_by_service(void)
{
	clock_manual_t clock;
	node_t a, b;
	batch_waiting_t before, after;
	char data[REPORT_BYTES];
	size_t len;

	clock_manual_init(&clock, 0);
	a = node_new(&clock, "a", 1);
	b = node_new(&clock, "b", 1);
	load_view_apply(b.view, data, report(&a, data));
	load_view_batch_waiting(b.view, OTHER_SERVICE, false, &before, &after);
	CU_ASSERT_EQUAL(before.items[0], 0);
	CU_ASSERT_EQUAL(before.items[2], 7);
	load_view_domain_waiting(b.view, SERVICE, "d", &before);
	CU_ASSERT_EQUAL(before.items[2], 0);
	len = report(&a, data) - NEWS_BYTES - DEMANDS_BYTES;
	CU_ASSERT_PTR_NOT_NULL(load_view_apply(b.view, data, len));
	load_view_batch_waiting(b.view, OTHER_SERVICE, false, &before, &after);
	CU_ASSERT_EQUAL(before.items[0], 2);
	CU_ASSERT_EQUAL(before.items[2], 7);
	node_free(&a);
	node_free(&b);
}

/* A report that leaves no room for the waiting items, or for the news of views,
 * must still be sent. */
static void test_full_report(void)
{
	clock_manual_t clock;
	node_t a, b;
	char data[REPORT_BYTES];
	size_t len;

	clock_manual_init(&clock, 0);
	a = node_new(&clock, "a", 1);
	b = node_new(&clock, "b", 1);
	len = report(&a, data) - NEWS_BYTES;
	CU_ASSERT_EQUAL(report_into(&a, data, len + NEWS_BYTES - 1), len);
	CU_ASSERT_PTR_NOT_NULL(load_view_apply(b.view, data, len));
	CU_ASSERT_EQUAL(report_into(&a, data, len - 1), len - DEMANDS_BYTES);
	CU_ASSERT_PTR_NOT_NULL(
		load_view_apply(b.view, data, len - DEMANDS_BYTES));
	node_free(&a);
	node_free(&b);
}

/* The load of a crashed or restarted node must not keep slots occupied. */
static void test_timeout_and_restart(void)
{
	clock_manual_t clock;
	node_t a, restarted, b;
	char data[REPORT_BYTES];

	clock_manual_init(&clock, 0);
	a = node_new(&clock, "a", 1);
	restarted = node_new(&clock, "a", 2);
	b = node_new(&clock, "b", 1);
	runner(&a)->own.online = 4;
	CU_ASSERT_PTR_NOT_NULL(load_view_apply(b.view, data, report(&a, data)));
	CU_ASSERT_EQUAL(runner(&b)->peers.online, 4);
	CU_ASSERT_PTR_NOT_NULL(
		load_view_apply(b.view, data, report(&restarted, data)));
	CU_ASSERT_EQUAL(runner(&b)->peers.online, 0);
	runner(&restarted)->own.online = 2;
	load_view_apply(b.view, data, report(&restarted, data));
	CU_ASSERT_STRING_EQUAL(load_view_store_peer(b.view, NULL, 0.9), "a");
	CU_ASSERT_PTR_NULL(load_view_store_peer(b.view, "elsewhere", 0.9));
	clock_manual_advance_ms(&clock, 2500);
	load_view_expire(b.view);
	CU_ASSERT_EQUAL(runner(&b)->peers.online, 0);
	CU_ASSERT_EQUAL(load_view_peers(b.view), 0);
	CU_ASSERT_PTR_NULL(load_view_store_peer(b.view, NULL, 0.9));
	node_free(&a);
	node_free(&restarted);
	node_free(&b);
}

/* Invalid datagrams and the node's own reports must have no effect. */
static void test_invalid_reports(void)
{
	clock_manual_t clock;
	node_t a;
	char data[REPORT_BYTES] = { 0 };
	size_t len;

	clock_manual_init(&clock, 0);
	a = node_new(&clock, "a", 1);
	CU_ASSERT_PTR_NULL(load_view_apply(a.view, data, 7));
	memset(data, 0xff, sizeof(data));
	CU_ASSERT_PTR_NULL(load_view_apply(a.view, data, sizeof(data)));
	len = report(&a, data);
	CU_ASSERT_PTR_NULL(load_view_apply(a.view, data, len));
	CU_ASSERT_EQUAL(load_view_encode(a.view, &(load_own_t){ 0 }, data, 8),
			0);
	node_free(&a);
}

static uint32_t room(node_t *node)
{
	return runner_limit_room(&runner(node)->limit, 0, 1,
				 clock_now_us(&node->clock->base));
}

static void tell(node_t *from, node_t *to)
{
	char data[REPORT_BYTES];

	load_view_apply(to->view, data, report(from, data));
}

/* Nodes must learn a runner's limit, what others send to it, and its end from
 * each other; a report that comes twice must count once. */
static void test_limits(void)
{
	const fleet_pick_options_t pick = { .service = "s" };
	const runner_rate_t limited = { true, 2000 };
	const runner_rate_t no_limit = { false, 0 };
	char data[REPORT_BYTES];
	clock_manual_t clock;
	node_t a, b;
	size_t len;

	clock_manual_init(&clock, 0);
	clock_manual_advance_ms(&clock, 1000);
	a = node_new(&clock, "a", 1);
	b = node_new(&clock, "b", 1);
	fleet_report_rate(a.fleet, runner(&a), &limited);
	tell(&a, &b);
	CU_ASSERT_EQUAL(room(&b), 1);
	clock_manual_advance_ms(&clock, 10000);
	CU_ASSERT_EQUAL(room(&b), 4);
	fleet_acquire(a.fleet, &pick);
	len = report(&a, data);
	load_view_apply(b.view, data, len);
	CU_ASSERT_EQUAL(room(&b), 3);
	load_view_apply(b.view, data, len);
	tell(&a, &b);
	CU_ASSERT_EQUAL(room(&b), 3);
	fleet_acquire(a.fleet, &pick);
	fleet_acquire(a.fleet, &pick);
	fleet_acquire(a.fleet, &pick);
	CU_ASSERT_PTR_NULL(fleet_acquire(a.fleet, &pick));
	tell(&a, &b);
	CU_ASSERT_EQUAL(room(&b), 0);
	CU_ASSERT_PTR_NULL(fleet_acquire(b.fleet, &pick));
	clock_manual_advance_ms(&clock, 100);
	fleet_report_rate(b.fleet, runner(&b), &no_limit);
	tell(&b, &a);
	CU_ASSERT_EQUAL(room(&a), UINT32_MAX);
	tell(&a, &b);
	CU_ASSERT_EQUAL(room(&b), UINT32_MAX);
	node_free(&a);
	node_free(&b);
}

/* A node that has started, for the first time or again, must be noticed once,
 * so that it is told what the others know. */
static void test_started_node(void)
{
	clock_manual_t clock;
	node_t a, b;

	clock_manual_init(&clock, 0);
	a = node_new(&clock, "a", 1);
	b = node_new(&clock, "b", 1);
	CU_ASSERT_FALSE(load_view_take_started(b.view, "a"));
	for (int i = 0; i < 2; i++) {
		tell(&a, &b);
		CU_ASSERT(load_view_take_started(b.view, "a"));
		tell(&a, &b);
		CU_ASSERT_FALSE(load_view_take_started(b.view, "a"));
		node_free(&a);
		a = node_new(&clock, "a", 2);
	}
	node_free(&a);
	node_free(&b);
}

/* A runner that has told one node that it leaves must get no requests from
 * others; a process that starts under its id later must. */
static void test_leaving_runner(void)
{
	const fleet_pick_options_t pick = { .service = "s" };
	fleet_entry_t restarted = { "r1", "10.0.0.1:1", "s", "d", 8,
				    2,	  false,	"1" };
	clock_manual_t clock;
	node_t a, b;

	clock_manual_init(&clock, 0);
	a = node_new(&clock, "a", 1);
	b = node_new(&clock, "b", 1);
	fleet_set_leaving(a.fleet, runner(&a));
	tell(&a, &b);
	CU_ASSERT_PTR_NULL(fleet_acquire(a.fleet, &pick));
	CU_ASSERT_PTR_NULL(fleet_acquire(b.fleet, &pick));
	restarted.started_ms = 1;
	fleet_update(b.fleet, &restarted);
	CU_ASSERT_PTR_NULL(fleet_acquire(b.fleet, &pick));
	restarted.started_ms = 2;
	fleet_update(b.fleet, &restarted);
	CU_ASSERT_PTR_NOT_NULL(fleet_acquire(b.fleet, &pick));
	tell(&a, &b);
	CU_ASSERT_PTR_NOT_NULL(fleet_acquire(b.fleet, &pick));
	node_free(&a);
	node_free(&b);
}

static void add_news(const load_news_t *news, void *user_data)
{
	g_string_append_printf(user_data, "%x:%d-%d@%d ", (int)news->view,
			       (int)news->news.change_min,
			       (int)news->news.change_max,
			       (int)(news->news.as_of_us / 1000));
}

static void assert_news(const node_t *node, const char *expected)
{
	GString *all = g_string_new(NULL);

	load_view_each_news(node->view, "a", add_news, all);
	CU_ASSERT_STRING_EQUAL(all->str, expected);
	g_string_free(all, TRUE);
}

static void assert_not_late(const load_news_t *news, void *user_data)
{
	const node_t *node = user_data;

	CU_ASSERT(news->news.as_of_us <= clock_elapsed_us(&node->clock->base));
}

/* What a node knows of its views must reach the others with its age, by the clock
 * of the receiver, and must not outlive its report. Reports of the build before
 * have none. */
static void test_news(void)
{
	clock_manual_t clock, other_clock;
	node_t a, b;
	char data[REPORT_BYTES];
	size_t len;

	clock_manual_init(&clock, 0);
	clock_manual_init(&other_clock, 0);
	clock_manual_advance_ms(&clock, 51);
	clock_manual_advance_ms(&other_clock, 9000);
	a = node_new(&clock, "a", 1);
	b = node_new(&other_clock, "b", 1);
	assert_news(&b, "");
	load_view_apply(b.view, data, report(&a, data));
	assert_news(&b, "c0:90-95@8950 5e:7-7@8949 ");
	len = report(&a, data);
	CU_ASSERT_PTR_NOT_NULL(load_view_apply(b.view, data, len - 1));
	assert_news(&b, "");
	load_view_apply(b.view, data, report(&a, data));
	len = report(&a, data) - NEWS_BYTES;
	CU_ASSERT_PTR_NOT_NULL(load_view_apply(b.view, data, len));
	assert_news(&b, "");
	len = report(&a, data) - NEWS_BYTES - DEMANDS_BYTES;
	CU_ASSERT_PTR_NOT_NULL(load_view_apply(b.view, data, len));
	assert_news(&b, "");
	/* A number of views that is not there, or too high. */
	len = report(&a, data) - NEWS_BYTES;
	memset(data + len, 0xff, 12);
	CU_ASSERT_PTR_NOT_NULL(load_view_apply(b.view, data, len + 12));
	assert_news(&b, "");
	node_free(&a);
	node_free(&b);
}

/* Guards against news that pass for fresher than they are, as their report was held
 * up on its way. */
static void test_late_news(void)
{
	clock_manual_t clock, other_clock;
	node_t a, b;
	char data[REPORT_BYTES];
	size_t len;

	clock_manual_init(&clock, 0);
	clock_manual_init(&other_clock, 0);
	clock_manual_advance_ms(&clock, 51);
	clock_manual_advance_ms(&other_clock, 9000);
	a = node_new(&clock, "a", 1);
	b = node_new(&other_clock, "b", 1);
	load_view_apply(b.view, data, report(&a, data));
	len = report(&a, data);
	clock_manual_advance_ms(&other_clock, 300);
	load_view_apply(b.view, data, len);
	assert_news(&b, "c0:90-95@8950 5e:7-7@8949 ");
	/* The clock of another process of the node has begun anew. */
	node_free(&a);
	clock_manual_init(&clock, 0);
	clock_manual_advance_ms(&clock, 21);
	a = node_new(&clock, "a", 2);
	load_view_apply(b.view, data, report(&a, data));
	assert_news(&b, "c0:90-95@9280 5e:7-7@9279 ");
	node_free(&a);
	node_free(&b);
}

/* Guards against news that pass for fresh although they are from before the
 * suspension of the VM that tells them, whether or not it counts as lost. */
static void test_news_of_suspended_node(void)
{
	for (int expired = 0; expired < 2; expired++) {
		clock_manual_t clock, other_clock;
		node_t a, b;
		char data[REPORT_BYTES];

		clock_manual_init(&clock, 0);
		clock_manual_init(&other_clock, 0);
		clock_manual_advance_ms(&clock, 51);
		clock_manual_advance_ms(&other_clock, 9000);
		a = node_new(&clock, "a", 1);
		b = node_new(&other_clock, "b", 1);
		load_view_apply(b.view, data, report(&a, data));
		assert_news(&b, "c0:90-95@8950 5e:7-7@8949 ");
		clock.suspended_us += 5000 * 1000;
		clock_manual_advance_ms(&other_clock, 5000);
		if (expired)
			load_view_expire(b.view);
		load_view_apply(b.view, data, report(&a, data));
		assert_news(&b, "c0:90-95@8950 5e:7-7@8949 ");
		node_free(&a);
		node_free(&b);
	}
}

/* Guards against undefined arithmetic with times that a faulty node tells. */
static void test_times_out_of_range(void)
{
	static const int64_t times[] = { INT64_MAX, 0, INT64_MAX / 2, 0 };
	clock_manual_t clock, other_clock;
	node_t a, b;
	char data[REPORT_BYTES];

	clock_manual_init(&clock, 0);
	clock_manual_init(&other_clock, 0);
	clock_manual_advance_ms(&other_clock, 9000);
	a = node_new(&clock, "a", 1);
	b = node_new(&other_clock, "b", 1);
	for (size_t i = 0; i < G_N_ELEMENTS(times); i++) {
		clock.monotonic_us = times[i];
		CU_ASSERT_PTR_NOT_NULL(
			load_view_apply(b.view, data, report(&a, data)));
		/* Never taken for later than they came. */
		load_view_each_news(b.view, "a", assert_not_late, &b);
		clock_manual_advance_ms(&other_clock, 100);
	}
	node_free(&a);
	node_free(&b);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "order", test_order },
		{ "waiting by service", test_waiting_by_service },
		{ "full report", test_full_report },
		{ "timeout and restart", test_timeout_and_restart },
		{ "invalid reports", test_invalid_reports },
		{ "limits", test_limits },
		{ "started node", test_started_node },
		{ "leaving runner", test_leaving_runner },
		{ "news", test_news },
		{ "late news", test_late_news },
		{ "news of suspended node", test_news_of_suspended_node },
		{ "times out of range", test_times_out_of_range },
		{ NULL, NULL },
	};

	return unit_run("load_view", tests);
}
