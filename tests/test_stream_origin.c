#include <string.h>

#include "gateway/stream_origin.h"
#include "unit.h"

#define STREAM 5
#define VERSION 77

typedef struct node {
	stream_origins_t *origins;
	struct node *peer; /* gets what this node sends; NULL: is lost */
	uint64_t key;
	uint64_t answered;
	uint64_t answered_by;
	uint32_t answers;
} node_t;

static void deliver(node_t *to, node_t *from, const char *data, size_t len)
{
	char answer[STREAM_ORIGIN_MAX_BYTES];
	size_t answer_len =
		stream_origins_apply(to->origins, from->key, data, len, answer);

	CU_ASSERT(stream_origin_is_report(data, len));
	if (answer_len > 0)
		deliver(from, to, answer, answer_len);
}

static uint32_t send(uint64_t stream, const char *data, size_t len,
		     void *user_data)
{
	node_t *node = user_data;

	if (!node->peer)
		return 0;
	deliver(node->peer, node, data, len);
	return 1;
}

static void answered(uint64_t stream, uint64_t from, uint64_t version,
		     void *user_data)
{
	node_t *node = user_data;

	CU_ASSERT_EQUAL(stream, STREAM);
	node->answered = version;
	node->answered_by = from;
	node->answers++;
}

static void node_init(node_t *node, const clock_manual_t *clock,
		      counter_set_t *counters)
{
	const stream_origins_options_t options = { .clock = &clock->base,
						   .counters = counters,
						   .send = send,
						   .answered = answered,
						   .user_data = node };

	memset(node, 0, sizeof(*node));
	node->origins = stream_origins_new(&options);
}

/* A client that takes a stream up at another node must go on at its version: the
 * node must have been told, or learn it when it asks. */
static void test_tell_and_ask(void)
{
	counter_set_t *counters = counter_set_new();
	clock_manual_t clock;
	node_t a, b;

	clock_manual_init(&clock, 0);
	node_init(&a, &clock, counters);
	node_init(&b, &clock, counters);
	stream_origins_begin(a.origins, STREAM, VERSION, 1000);
	CU_ASSERT_EQUAL(stream_origins_find(a.origins, STREAM), VERSION);
	b.peer = &a;
	a.key = 3;
	CU_ASSERT_EQUAL(stream_origins_ask(b.origins, STREAM), 1);
	CU_ASSERT_EQUAL(b.answered, VERSION);
	CU_ASSERT_EQUAL(b.answered_by, a.key);
	CU_ASSERT_EQUAL(stream_origins_find(b.origins, STREAM), VERSION);
	stream_origins_begin(b.origins, STREAM + 1, VERSION + 1, 1000);
	CU_ASSERT_EQUAL(stream_origins_find(a.origins, STREAM + 1),
			VERSION + 1);
	stream_origins_free(a.origins);
	stream_origins_free(b.origins);
	counter_set_free(counters);
}

/* A node that does not know a stream must say so, as the client waits; nothing
 * must be kept of it. */
static void test_unknown(void)
{
	counter_set_t *counters = counter_set_new();
	clock_manual_t clock;
	node_t a, b;

	clock_manual_init(&clock, 0);
	node_init(&a, &clock, counters);
	node_init(&b, &clock, counters);
	b.peer = &a;
	stream_origins_ask(b.origins, STREAM);
	CU_ASSERT_EQUAL(b.answers, 1);
	CU_ASSERT_EQUAL(b.answered, 0);
	CU_ASSERT_EQUAL(stream_origins_size(a.origins), 0);
	CU_ASSERT_EQUAL(stream_origins_size(b.origins), 0);
	stream_origins_free(a.origins);
	stream_origins_free(b.origins);
	counter_set_free(counters);
}

/* The version at which a stream began must not change, whatever is told later. */
static void test_first_version_stays(void)
{
	counter_set_t *counters = counter_set_new();
	clock_manual_t clock;
	node_t a;

	clock_manual_init(&clock, 0);
	node_init(&a, &clock, counters);
	stream_origins_begin(a.origins, STREAM, VERSION, 1000);
	stream_origins_begin(a.origins, STREAM, VERSION + 1, 1000);
	CU_ASSERT_EQUAL(stream_origins_find(a.origins, STREAM), VERSION);
	stream_origins_free(a.origins);
	counter_set_free(counters);
}

/* Entries must not pile up: they expire, a full table drops the oldest, and a
 * peer cannot ask for a longer life than the limit. */
static void test_state_is_bounded(void)
{
	counter_set_t *counters = counter_set_new();
	clock_manual_t clock;
	node_t a;

	clock_manual_init(&clock, 0);
	node_init(&a, &clock, counters);
	for (uint64_t i = 1; i <= STREAM_ORIGINS_MAX + 10; i++)
		stream_origins_begin(a.origins, i, VERSION, INT32_MAX);
	CU_ASSERT_EQUAL(stream_origins_size(a.origins), STREAM_ORIGINS_MAX);
	CU_ASSERT_EQUAL(stream_origins_find(a.origins, 10), 0);
	CU_ASSERT_EQUAL(stream_origins_find(a.origins, 11), VERSION);
	clock_manual_advance_ms(&clock, STREAM_ORIGIN_LIFE_MAX_MS + 1000);
	stream_origins_expire(a.origins);
	CU_ASSERT_EQUAL(stream_origins_size(a.origins), 0);
	stream_origins_free(a.origins);
	counter_set_free(counters);
}

/* Bytes that are no datagram of this kind must change nothing. */
static void test_malformed(void)
{
	counter_set_t *counters = counter_set_new();
	char answer[STREAM_ORIGIN_MAX_BYTES];
	char data[STREAM_ORIGIN_MAX_BYTES];
	clock_manual_t clock;
	node_t a;

	clock_manual_init(&clock, 0);
	node_init(&a, &clock, counters);
	memset(data, 0xff, sizeof(data));
	CU_ASSERT_FALSE(stream_origin_is_report(data, sizeof(data)));
	CU_ASSERT_FALSE(stream_origin_is_report(data, 2));
	memcpy(data, "WOR1", 4);
	CU_ASSERT(stream_origin_is_report(data, sizeof(data)));
	CU_ASSERT_EQUAL(stream_origins_apply(a.origins, 1, data, 9, answer), 0);
	CU_ASSERT_EQUAL(
		stream_origins_apply(a.origins, 1, data, sizeof(data), answer),
		0);
	CU_ASSERT_EQUAL(stream_origins_size(a.origins), 0);
	stream_origins_free(a.origins);
	counter_set_free(counters);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "tell and ask", test_tell_and_ask },
		{ "unknown", test_unknown },
		{ "first version stays", test_first_version_stays },
		{ "state is bounded", test_state_is_bounded },
		{ "malformed", test_malformed },
		{ NULL, NULL },
	};

	return unit_run("stream_origin", tests);
}
