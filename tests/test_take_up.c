#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gateway/take_up.h"
#include "unit.h"

#define STREAM 5
#define VERSION 77
#define NODES 3
#define TICK_MS 20
#define WAIT_MS 60 /* longest time for which a request waits */

/* One request that waits for the answers of NODES nodes. */
typedef struct fixture {
	clock_manual_t clock;
	counter_set_t *counters;
	struct event_base *base;
	http_server_t *server;
	stream_origins_t *origins;
	take_ups_t *take_ups;
	path_table_t *paths;
	http_exchange_t *exchange;
	int client;
	uint32_t questions;
	uint32_t resolved;
	uint64_t version;
} fixture_t;

static uint32_t count_question(uint64_t stream, const char *data, size_t len,
			       void *user_data)
{
	((fixture_t *)user_data)->questions++;
	return NODES;
}

static void on_answered(uint64_t stream, uint64_t node, uint64_t version,
			void *user_data)
{
	take_ups_answered(((fixture_t *)user_data)->take_ups, stream, node,
			  version);
}

static void on_resolved(const take_up_t *take_up, uint64_t version,
			void *user_data)
{
	fixture_t *f = user_data;

	f->resolved++;
	f->version = version;
	http_reply(take_up->exchange, version ? 200 : 503, NULL, "", 0);
}

static void on_request(http_exchange_t *exchange, void *user_data)
{
	fixture_t *f = user_data;
	take_up_t take_up = { .paths = f->paths, .exchange = exchange };

	take_up.request.id = "r";
	take_up.request.resumes = "q";
	take_up.request.headers = g_ptr_array_new();
	take_up.request.body = g_bytes_new(NULL, 0);
	take_ups_add(f->take_ups, &take_up, STREAM);
	g_ptr_array_unref(take_up.request.headers);
	g_bytes_unref(take_up.request.body);
}

static void send_request(fixture_t *f)
{
	static const char request[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
	struct sockaddr_in address = { .sin_family = AF_INET };

	address.sin_port = htons(http_server_port(f->server));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	f->client = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL(connect(f->client, (struct sockaddr *)&address,
				sizeof(address)),
			0);
	CU_ASSERT_TRUE(send(f->client, request, sizeof(request) - 1, 0) > 0);
	for (int i = 0; i < 1000 && f->questions == 0; i++)
		event_base_loop(f->base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(f->questions, 1);
	CU_ASSERT_EQUAL(take_ups_count(f->take_ups), 1);
}

static void fixture_open(fixture_t *f)
{
	const stream_origins_options_t origins = { .clock = &f->clock.base,
						   .counters =
							   counter_set_new(),
						   .send = count_question,
						   .answered = on_answered,
						   .user_data = f };
	take_ups_options_t take_ups = { .clock = &f->clock.base,
					.resolved = on_resolved,
					.user_data = f };
	const http_server_options_t server = { .base = event_base_new(),
					       .address = "127.0.0.1",
					       .handler = on_request,
					       .user_data = f };

	*f = (fixture_t){ .counters = origins.counters, .base = server.base };
	clock_manual_init(&f->clock, 0);
	f->origins = stream_origins_new(&origins);
	take_ups.origins = f->origins;
	f->take_ups = take_ups_new(&take_ups);
	f->paths = path_table_new(1);
	f->server = http_server_new(&server, NULL);
	send_request(f);
}

static void fixture_close(fixture_t *f)
{
	close(f->client);
	http_server_free(f->server);
	event_base_free(f->base);
	path_table_unref(f->paths);
	g_free(f->take_ups);
	stream_origins_free(f->origins);
	counter_set_free(f->counters);
}

static void tick(fixture_t *f)
{
	clock_manual_advance_ms(&f->clock, TICK_MS);
	take_ups_tick(f->take_ups);
}

/*
 * Guards against a refused client of a stream that a node knows: the others
 * answer each question, so two answers of one must not stand for two nodes.
 */
static void test_repeated_answers(void)
{
	fixture_t f;

	fixture_open(&f);
	take_ups_answered(f.take_ups, STREAM, 1, 0);
	take_ups_answered(f.take_ups, STREAM, 2, 0);
	tick(&f);
	CU_ASSERT_EQUAL(f.questions, 2);
	take_ups_answered(f.take_ups, STREAM, 1, 0);
	take_ups_answered(f.take_ups, STREAM, 2, 0);
	CU_ASSERT_EQUAL(f.resolved, 0);
	if (f.resolved == 0)
		take_ups_answered(f.take_ups, STREAM, 3, VERSION);
	CU_ASSERT_EQUAL(f.resolved, 1);
	CU_ASSERT_EQUAL(f.version, VERSION);
	fixture_close(&f);
}

/* Guards against a client that waits although no node knows its stream. */
static void test_no_node_knows(void)
{
	fixture_t f;

	fixture_open(&f);
	for (uint64_t node = 1; node <= NODES; node++) {
		CU_ASSERT_EQUAL(f.resolved, 0);
		take_ups_answered(f.take_ups, STREAM, node, 0);
	}
	CU_ASSERT_EQUAL(f.resolved, 1);
	CU_ASSERT_EQUAL(f.version, 0);
	CU_ASSERT_EQUAL(take_ups_count(f.take_ups), 0);
	fixture_close(&f);
}

/* Guards against a client that waits for a node that does not answer. */
static void test_silent_node(void)
{
	fixture_t f;

	fixture_open(&f);
	for (int ms = TICK_MS; ms < WAIT_MS; ms += TICK_MS) {
		take_ups_answered(f.take_ups, STREAM, 1, 0);
		tick(&f);
		CU_ASSERT_EQUAL(f.resolved, 0);
	}
	tick(&f);
	CU_ASSERT_EQUAL(f.resolved, 1);
	CU_ASSERT_EQUAL(f.version, 0);
	fixture_close(&f);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "repeated answers", test_repeated_answers },
		{ "no node knows", test_no_node_knows },
		{ "silent node", test_silent_node },
		{ NULL, NULL },
	};

	return unit_run("take_up", tests);
}
