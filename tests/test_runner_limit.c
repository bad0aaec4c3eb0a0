#include <glib.h>

#include "gateway/runner_limit.h"
#include "unit.h"

#define MS_US 1000LL
#define SECOND_US 1000000LL
#define NODES 53
#define LIMIT_PER_S 3
#define SPAN_S 4
/* Of the users' rules: what a runner may get in each span. */
#define SPAN_REQUESTS (1.5 * SPAN_S * LIMIT_PER_S + 5)

static const runner_rate_t no_limit = { false, 0 };
static const runner_rate_t limited = { true, LIMIT_PER_S * 1000 };

/* A limit must be kept over time, and used. */
static void test_rate(void)
{
	runner_limit_t limit = { 0 };
	int sent = 0;

	CU_ASSERT_EQUAL(runner_limit_room(&limit, 0, 1, 0), UINT32_MAX);
	CU_ASSERT(runner_limit_told(&limit, &limited, SECOND_US, SECOND_US));
	for (int64_t now_us = SECOND_US; now_us < 41 * SECOND_US;
	     now_us += 10 * MS_US) {
		if (runner_limit_room(&limit, 0, 1, now_us) == 0)
			continue;
		runner_limit_sent(&limit, 1, 1, now_us);
		sent++;
	}
	CU_ASSERT(sent >= 40 * LIMIT_PER_S - 1);
	CU_ASSERT(sent <= 40 * LIMIT_PER_S + 2);
}

/* After an idle time no more than a small burst may be sent at once, and what is
 * reserved for others must be left. */
static void test_burst(void)
{
	runner_limit_t limit = { 0 };

	runner_limit_told(&limit, &limited, SECOND_US, SECOND_US);
	CU_ASSERT_EQUAL(runner_limit_room(&limit, 1, 1, SECOND_US), 0);
	CU_ASSERT_EQUAL(runner_limit_room(&limit, 0, 1, SECOND_US), 1);
	CU_ASSERT_EQUAL(runner_limit_room(&limit, 0, 1, 60 * SECOND_US), 5);
	CU_ASSERT_EQUAL(runner_limit_room(&limit, 1, 1, 60 * SECOND_US), 4);
}

/* An older response that arrives later must bring back neither an older limit
 * nor one that has ended. */
static void test_order(void)
{
	runner_limit_t limit = { 0 };
	const runner_rate_t lower = { true, 1000 };

	CU_ASSERT(runner_limit_told(&limit, &limited, 5 * SECOND_US,
				    5 * SECOND_US));
	CU_ASSERT_FALSE(runner_limit_told(&limit, &lower, 4 * SECOND_US,
					  6 * SECOND_US));
	CU_ASSERT_EQUAL(limit.rate.per_1000_s, limited.per_1000_s);
	CU_ASSERT(runner_limit_told(&limit, &no_limit, 7 * SECOND_US,
				    7 * SECOND_US));
	CU_ASSERT_FALSE(runner_limit_told(&limit, &limited, 6 * SECOND_US,
					  8 * SECOND_US));
	CU_ASSERT_EQUAL(runner_limit_room(&limit, 0, 1, 8 * SECOND_US),
			UINT32_MAX);
}

/* A limit of zero must not last for ever: without any request no response could
 * end it. */
static void test_zero(void)
{
	runner_limit_t limit = { 0 };
	const runner_rate_t zero = { true, 0 };

	runner_limit_told(&limit, &zero, SECOND_US, SECOND_US);
	runner_limit_sent(&limit, 1, 1, SECOND_US);
	CU_ASSERT_EQUAL(runner_limit_room(&limit, 0, 1, 5 * SECOND_US), 0);
	CU_ASSERT(runner_limit_wait_ms(&limit, 1, 5 * SECOND_US) > 0);
	CU_ASSERT_EQUAL(runner_limit_room(&limit, 0, 1, 12 * SECOND_US), 1);
}

/* A node that hears no other must keep to its share. */
static void test_share(void)
{
	runner_limit_t limit = { 0 };
	int sent = 0;

	runner_limit_told(&limit, &limited, SECOND_US, SECOND_US);
	for (int64_t now_us = SECOND_US; now_us < 41 * SECOND_US;
	     now_us += 10 * MS_US) {
		if (runner_limit_room(&limit, 0, 1.0 / 6, now_us) == 0)
			continue;
		runner_limit_sent(&limit, 1, 1.0 / 6, now_us);
		sent++;
	}
	CU_ASSERT(sent >= 19);
	CU_ASSERT(sent <= 22);
}

typedef struct cluster {
	runner_limit_t limits[NODES];
	uint32_t unheard[NODES]
			[NODES]; /* sent by the first, not yet reported */
	int64_t sent_us[4096];
	int count;
} cluster_t;

static void send_one(cluster_t *cluster, int node, int64_t now_us)
{
	runner_limit_sent(&cluster->limits[node], 1, 1, now_us);
	for (int i = 0; i < NODES; i++)
		cluster->unheard[node][i]++;
	cluster->sent_us[cluster->count++] = now_us;
}

static void hear(cluster_t *cluster, int from, int to, int64_t now_us)
{
	runner_limit_sent(&cluster->limits[to], cluster->unheard[from][to], 1,
			  now_us);
	cluster->unheard[from][to] = 0;
}

/* Returns the largest number of requests within a span. */
static int most_in_span(const cluster_t *cluster)
{
	int most = 0;

	for (int i = 0; i < cluster->count; i++) {
		int within = 0;

		for (int j = i; j < cluster->count &&
				cluster->sent_us[j] - cluster->sent_us[i] <
					SPAN_S * SECOND_US;
		     j++)
			within++;
		most = MAX(most, within);
	}
	return most;
}

/* Many nodes with uneven load, a third of which hear of each other within 2 ms
 * and the others every 250 ms, must keep a limit together. Each of the nodes
 * wants to send far more than the limit. */
static void test_many_nodes(void)
{
	GRand *random = g_rand_new_with_seed(7);
	cluster_t *cluster = g_new0(cluster_t, 1);

	for (int i = 0; i < NODES; i++)
		runner_limit_told(&cluster->limits[i], &limited, SECOND_US,
				  SECOND_US);
	for (int64_t ms = 1000; ms < 41000; ms++) {
		for (int from = 0; from < NODES; from++)
			for (int to = 0; to < NODES; to++)
				if (from != to &&
				    (from % 3 == to % 3 ?
					     ms % 2 == 0 :
					     (ms + from) % 250 == 0))
					hear(cluster, from, to, ms * MS_US);
		for (int i = 0; i < NODES; i++) {
			double per_ms = (i + 1) * 0.0002;

			if (g_rand_double(random) < per_ms &&
			    runner_limit_room(&cluster->limits[i], 0, 1,
					      ms * MS_US) > 0)
				send_one(cluster, i, ms * MS_US);
		}
	}
	CU_ASSERT(most_in_span(cluster) <= SPAN_REQUESTS);
	CU_ASSERT(cluster->count >= 0.8 * 40 * LIMIT_PER_S);
	g_free(cluster);
	g_rand_free(random);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "rate", test_rate },	 { "burst", test_burst },
		{ "order", test_order }, { "zero", test_zero },
		{ "share", test_share }, { "many nodes", test_many_nodes },
		{ NULL, NULL },
	};

	return unit_run("runner_limit", tests);
}
