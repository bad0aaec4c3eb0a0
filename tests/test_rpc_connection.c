#include <arpa/inet.h>
#include <linux/filter.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "rpc/rpc_client.h"
#include "rpc/rpc_server.h"
#include "unit.h"

#define PROGRAM 0x20000099
#define FIRST_FD 3
#define MAX_FD 64
#define DETECTION_MS 4500 /* about 3 s, and time for a busy machine */

typedef struct fixture {
	struct event_base *base;
	rpc_server_t *server;
	rpc_client_t *client;
	char *address;
	int answered;
	int failed;
} fixture_t;

static void on_call(rpc_call_t *call, const void *args, void *user_data)
{
	rpc_reply(call, args);
}

static void on_done(const void *result, const GError *error, void *user_data)
{
	fixture_t *fixture = user_data;

	if (error)
		fixture->failed++;
	else
		fixture->answered++;
}

static void start(fixture_t *fixture)
{
	rpc_procedure_t echo = {
		.program = PROGRAM,
		.procedure = 1,
		.decode = (xdrproc_t)xdr_u_int,
		.args_size = sizeof(u_int),
		.encode = (xdrproc_t)xdr_u_int,
		.handler = on_call,
	};

	*fixture = (fixture_t){ .base = event_base_new() };
	fixture->server =
		rpc_server_new(fixture->base, "127.0.0.1", 0, NULL, NULL);
	rpc_server_register(fixture->server, &echo);
	fixture->client = rpc_client_new(fixture->base, NULL);
	fixture->address = g_strdup_printf("127.0.0.1:%u",
					   rpc_server_port(fixture->server));
}

static void stop(fixture_t *fixture)
{
	rpc_client_free(fixture->client);
	rpc_server_free(fixture->server);
	event_base_free(fixture->base);
	g_free(fixture->address);
}

static void call(fixture_t *fixture, int32_t timeout_ms)
{
	static const u_int number = 7;
	const rpc_call_options_t options = {
		.address = fixture->address,
		.program = PROGRAM,
		.procedure = 1,
		.encode = (xdrproc_t)xdr_u_int,
		.args = &number,
		.decode = (xdrproc_t)xdr_u_int,
		.result_size = sizeof(number),
		.timeout_ms = timeout_ms,
		.done = on_done,
		.user_data = fixture,
	};

	rpc_client_call(fixture->client, &options);
}

static void run(fixture_t *fixture, int64_t ms)
{
	int64_t end_ms = clock_now_ms(clock_system()) + ms;

	do {
		event_base_loop(fixture->base, EVLOOP_NONBLOCK);
		g_usleep(1000);
	} while (clock_now_ms(clock_system()) < end_ms);
}

/* The server's socket of its only connection; -1: none. */
static int server_socket(const fixture_t *fixture)
{
	for (int fd = FIRST_FD; fd < MAX_FD; fd++) {
		struct sockaddr_in own = { 0 };
		struct sockaddr_in peer = { 0 };
		socklen_t own_len = sizeof(own);
		socklen_t peer_len = sizeof(peer);

		if (getsockname(fd, (struct sockaddr *)&own, &own_len) == 0 &&
		    getpeername(fd, (struct sockaddr *)&peer, &peer_len) == 0 &&
		    ntohs(own.sin_port) == rpc_server_port(fixture->server))
			return fd;
	}
	return -1;
}

/* Drops what arrives at a socket, so that nothing is acknowledged. */
static void cut(int fd)
{
	struct sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
	struct sock_fprog filter = { 1, &drop };

	CU_ASSERT_EQUAL(setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter,
				   sizeof(filter)),
			0);
}

static void connect_and_cut(fixture_t *fixture)
{
	start(fixture);
	call(fixture, 1000);
	run(fixture, 100);
	CU_ASSERT_EQUAL(fixture->answered, 1);
	cut(server_socket(fixture));
}

/*
 * Guards against calls that fail for minutes on a connection to a peer that
 * vanished without a reset and is back.
 */
static void test_client(void)
{
	fixture_t fixture;

	connect_and_cut(&fixture);
	call(&fixture, 500);
	run(&fixture, DETECTION_MS);
	CU_ASSERT_EQUAL(fixture.failed, 1);
	call(&fixture, 1000);
	run(&fixture, 200);
	CU_ASSERT_EQUAL(fixture.answered, 2);
	stop(&fixture);
}

/* Guards against connections of vanished peers that a server keeps. */
static void test_server(void)
{
	fixture_t fixture;

	connect_and_cut(&fixture);
	run(&fixture, DETECTION_MS);
	CU_ASSERT_EQUAL(server_socket(&fixture), -1);
	stop(&fixture);
}

/* Guards against the loss of a call to a peer that is silent for a moment. */
static void test_short_silence(void)
{
	const int unused = 0;
	fixture_t fixture;
	int fd;

	connect_and_cut(&fixture);
	fd = server_socket(&fixture);
	call(&fixture, 4000);
	run(&fixture, 1500);
	CU_ASSERT_EQUAL(setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &unused,
				   sizeof(unused)),
			0);
	run(&fixture, 2000);
	CU_ASSERT_EQUAL(fixture.answered, 2);
	CU_ASSERT_EQUAL(server_socket(&fixture), fd);
	stop(&fixture);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "calls after a peer vanished", test_client },
		{ "connection of a vanished peer", test_server },
		{ "short silence", test_short_silence },
		{ NULL, NULL },
	};

	return unit_run("rpc_connection", tests);
}
