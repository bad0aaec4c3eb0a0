#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <string.h>

#include "http/http_server.h"
#include "unit.h"

#define CLIENTS 2

/*
 * Two clients whose responses are written alternately in one pass of the event
 * loop.
 */
typedef struct fixture {
	struct event_base *base;
	http_exchange_t *exchanges[CLIENTS];
	struct bufferevent *clients[CLIENTS];
	GString *responses[CLIENTS];
	int waiting;
	void (*respond)(struct fixture *fixture);
} fixture_t;

static void on_request(http_exchange_t *exchange, void *user_data)
{
	fixture_t *fixture = user_data;

	fixture->exchanges[http_path(exchange)[1] - '0'] = exchange;
	if (++fixture->waiting == CLIENTS)
		fixture->respond(fixture);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *input = bufferevent_get_input(bev);
	size_t len = evbuffer_get_length(input);

	g_string_append_len(arg, (char *)evbuffer_pullup(input, -1),
			    (gssize)len);
	evbuffer_drain(input, len);
}

static void on_event(struct bufferevent *bev, short events, void *arg)
{
	if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		event_base_loopbreak(bufferevent_get_base(bev));
}

static void connect_client(fixture_t *fixture, int i, uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fixture->responses[i] = g_string_new(NULL);
	fixture->clients[i] = bufferevent_socket_new(fixture->base, -1,
						     BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(fixture->clients[i], on_read, NULL, on_event,
			  fixture->responses[i]);
	bufferevent_enable(fixture->clients[i], EV_READ);
	bufferevent_socket_connect(fixture->clients[i],
				   (struct sockaddr *)&address,
				   sizeof(address));
	evbuffer_add_printf(bufferevent_get_output(fixture->clients[i]),
			    "GET /%d HTTP/1.1\r\nHost: x\r\n"
			    "Connection: close\r\n\r\n",
			    i);
}

/* Runs until both connections have ended and returns the bodies as sent. */
static void run_exchanges(fixture_t *fixture,
			  void (*respond)(fixture_t *fixture),
			  char *bodies[CLIENTS])
{
	const http_server_options_t options = { .handler = on_request,
						.user_data = fixture,
						.address = "127.0.0.1" };
	http_server_options_t server_options = options;
	http_server_t *server;

	fixture->base = event_base_new();
	fixture->respond = respond;
	server_options.base = fixture->base;
	server = http_server_new(&server_options, NULL);
	for (int i = 0; i < CLIENTS; i++)
		connect_client(fixture, i, http_server_port(server));
	for (int i = 0; i < CLIENTS; i++)
		event_base_dispatch(fixture->base);
	for (int i = 0; i < CLIENTS; i++) {
		const char *end =
			strstr(fixture->responses[i]->str, "\r\n\r\n");

		bodies[i] = g_strdup(end ? end + 4 : "");
		bufferevent_free(fixture->clients[i]);
		g_string_free(fixture->responses[i], TRUE);
	}
	http_server_free(server);
	event_base_free(fixture->base);
}

static void write_interleaved(fixture_t *fixture)
{
	static const char *const parts[CLIENTS][2] = { { "a1 ", "a2 " },
						       { "b1 ", "b2 " } };

	for (int i = 0; i < CLIENTS; i++)
		http_stream_start(fixture->exchanges[i], 200, "text/plain");
	for (int part = 0; part < 2; part++)
		for (int i = 0; i < CLIENTS; i++)
			http_stream_write(fixture->exchanges[i], parts[i][part],
					  3);
}

static void respond_interleaved(fixture_t *fixture)
{
	write_interleaved(fixture);
	/*
	 * A buffered part, then one that is sent directly because of its size.
	 */
	for (int i = 0; i < CLIENTS; i++) {
		char *large = g_strnfill(20000, 'x');

		CU_ASSERT_TRUE(http_stream_pending(fixture->exchanges[i]) > 6);
		http_stream_write(fixture->exchanges[i], "c ", 2);
		http_stream_write(fixture->exchanges[i], large, 20000);
		http_stream_end(fixture->exchanges[i]);
		g_free(large);
	}
}

static void respond_in_parts(fixture_t *fixture)
{
	for (int i = 0; i < CLIENTS; i++) {
		http_stream_start(fixture->exchanges[i], 200, "text/plain");
		http_stream_write(fixture->exchanges[i], "one ", 4);
		http_stream_write(fixture->exchanges[i], "two", 3);
	}
	http_stream_end(fixture->exchanges[0]);
	http_stream_abort(fixture->exchanges[1]);
}

/* Guards against parts that reach another client or arrive in another order. */
static void test_interleaved_parts(void)
{
	fixture_t fixture = { 0 };
	char *bodies[CLIENTS];

	run_exchanges(&fixture, respond_interleaved, bodies);
	CU_ASSERT_PTR_NOT_NULL(strstr(bodies[0], "3\r\na1 \r\n3\r\na2 \r\n"
						 "2\r\nc \r\n4e20\r\nxx"));
	CU_ASSERT_PTR_NOT_NULL(strstr(bodies[1], "3\r\nb1 \r\n3\r\nb2 \r\n"
						 "2\r\nc \r\n4e20\r\nxx"));
	for (int i = 0; i < CLIENTS; i++) {
		CU_ASSERT_TRUE(g_str_has_suffix(bodies[i], "xx\r\n0\r\n\r\n"));
		g_free(bodies[i]);
	}
}

/*
 * Guards against a separate chunk for each part written in one pass, and
 * against an aborted response that loses written data or appears complete.
 */
static void test_one_chunk_and_abort(void)
{
	fixture_t fixture = { 0 };
	char *bodies[CLIENTS];

	run_exchanges(&fixture, respond_in_parts, bodies);
	CU_ASSERT_STRING_EQUAL(bodies[0], "7\r\none two\r\n0\r\n\r\n");
	CU_ASSERT_STRING_EQUAL(bodies[1], "7\r\none two\r\n");
	for (int i = 0; i < CLIENTS; i++)
		g_free(bodies[i]);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "interleaved parts", test_interleaved_parts },
		{ "one chunk, and abort", test_one_chunk_and_abort },
		{ 0 },
	};

	return unit_run("http_stream", tests);
}
