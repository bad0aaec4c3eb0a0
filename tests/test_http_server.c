#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "http/http_server.h"
#include "unit.h"

#define READ_TIMEOUT_MS 400
#define CLOSED (-1)
#define NO_RESPONSE 0
#define LARGE_BYTES (512 * 1024)
#define GET "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

typedef struct fixture {
	struct event_base *base;
	http_server_t *server;
} fixture_t;

static void handle(http_exchange_t *exchange, void *user_data)
{
	const char *path = http_path(exchange);

	if (g_str_has_prefix(path, "/close"))
		http_close_after(exchange);
	if (g_str_has_suffix(path, "/large")) {
		char *large = g_strnfill(LARGE_BYTES, 'x');

		http_reply(exchange, 200, NULL, large, LARGE_BYTES);
		g_free(large);
		return;
	}
	if (!g_str_has_suffix(path, "/stream")) {
		http_reply(exchange, 200, NULL, "ok", 2);
		return;
	}
	http_stream_start(exchange, 200, NULL);
	http_stream_write(exchange, "ok", 2);
	http_stream_end(exchange);
}

static void start(fixture_t *fixture)
{
	const http_server_options_t options = {
		.base = event_base_new(),
		.address = "127.0.0.1",
		.read_timeout_ms = READ_TIMEOUT_MS,
		.handler = handle,
	};

	fixture->base = options.base;
	fixture->server = http_server_new(&options, NULL);
}

static void stop(fixture_t *fixture, int client)
{
	close(client);
	http_server_free(fixture->server);
	event_base_free(fixture->base);
}

static void run(const fixture_t *fixture, int64_t ms)
{
	int64_t end_ms = clock_now_ms(clock_system()) + ms;

	do {
		event_base_loop(fixture->base, EVLOOP_NONBLOCK);
		usleep(500);
	} while (clock_now_ms(clock_system()) < end_ms);
}

static int client_new(const fixture_t *fixture)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;

	address.sin_port = htons(http_server_port(fixture->server));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

static void send_text(int fd, const char *text)
{
	/* The server may have closed the connection. */
	(void)!send(fd, text, strlen(text), MSG_NOSIGNAL);
}

/* Returns the status of the next response, CLOSED or NO_RESPONSE. */
static int response_status(const fixture_t *fixture, int fd, int64_t wait_ms)
{
	int64_t end_ms = clock_now_ms(clock_system()) + wait_ms;
	char response[1024] = "";
	ssize_t len;

	do {
		run(fixture, 1);
		len = recv(fd, response, sizeof(response) - 1, MSG_DONTWAIT);
	} while (len < 0 && errno == EAGAIN &&
		 clock_now_ms(clock_system()) < end_ms);
	if (len < 0 && errno == EAGAIN)
		return NO_RESPONSE;
	if (!g_str_has_prefix(response, "HTTP/1.1 "))
		return CLOSED;
	return (int)g_ascii_strtoll(response + strlen("HTTP/1.1 "), NULL, 10);
}

/*
 * Guards against the reset of connections that the kernel has accepted when
 * the server stops listening.
 */
static void test_backlog(void)
{
	fixture_t fixture;
	int fd;

	start(&fixture);
	fd = client_new(&fixture);
	send_text(fd, GET);
	http_server_stop_listening(fixture.server);
	CU_ASSERT_EQUAL(response_status(&fixture, fd, 1000), 200);
	stop(&fixture, fd);
}

/* A connection on which one request has been answered. */
static int persistent_client_new(const fixture_t *fixture)
{
	int fd = client_new(fixture);

	send_text(fd, GET);
	CU_ASSERT_EQUAL(response_status(fixture, fd, 1000), 200);
	return fd;
}

/* A request that arrives in two reads. */
static const struct {
	const char *first;
	const char *second;
} requests[] = {
	{ "GE", "T / HTTP/1.1\r\nHost: x\r\n\r\n" },
	{ "GET / HTTP/1.1\r\n", "Host: x\r\n\r\n" },
	{ "GET / HTTP/1.1\r\nHost: x", "\r\n\r\n" },
	{ "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n12", "34" },
};

/*
 * Guards against a read timeout that includes the time for which a persistent
 * connection was idle before the request.
 */
static void test_after_idle(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		fixture_t fixture;
		int fd;

		start(&fixture);
		fd = persistent_client_new(&fixture);
		run(&fixture, READ_TIMEOUT_MS * 3 / 4);
		send_text(fd, requests[i].first);
		run(&fixture, READ_TIMEOUT_MS * 3 / 4);
		send_text(fd, requests[i].second);
		CU_ASSERT_EQUAL(response_status(&fixture, fd, 1000), 200);
		stop(&fixture, fd);
	}
}

/*
 * Guards against an incomplete request whose connection is closed without a
 * response at the read timeout.
 */
static void test_incomplete(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		fixture_t fixture;
		int fd;

		start(&fixture);
		fd = persistent_client_new(&fixture);
		send_text(fd, requests[i].first);
		CU_ASSERT_EQUAL(
			response_status(&fixture, fd, READ_TIMEOUT_MS * 4),
			408);
		stop(&fixture, fd);
	}
}

/*
 * Guards against a shutdown that leaves idle persistent connections open, or
 * closes one on which a request arrives.
 */
static void test_idle(void)
{
	static const struct {
		const char *read; /* by the server */
		const char *unread;
		const char *later;
		int status;
	} cases[] = {
		{ "", "", "", CLOSED },
		{ "", GET, "", 200 },
		{ "", "GE", "T / HTTP/1.1\r\nHost: x\r\n\r\n", 200 },
		{ "GE", "", "T / HTTP/1.1\r\nHost: x\r\n\r\n", 200 },
		{ "GET / HTTP/1.1\r\n", "", "Host: x\r\n\r\n", 200 },
		{ "GET / HTTP/1.1\r\nHo", "", "st: x\r\n\r\n", 200 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t fixture;
		int fd;

		start(&fixture);
		fd = persistent_client_new(&fixture);
		send_text(fd, cases[i].read);
		run(&fixture, 10);
		send_text(fd, cases[i].unread);
		http_server_close_idle(fixture.server);
		run(&fixture, 10);
		send_text(fd, cases[i].later);
		CU_ASSERT_EQUAL(
			response_status(&fixture, fd, READ_TIMEOUT_MS / 2),
			cases[i].status);
		stop(&fixture, fd);
	}
}

/*
 * Guards against a request that gets no response after the empty line that
 * some clients send behind a body.
 */
static void test_empty_line(void)
{
	static const char *const lines[] = { "\r\n", "\n", "\r\n\r\n" };

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(lines); i++) {
		fixture_t fixture;
		int fd;

		start(&fixture);
		fd = persistent_client_new(&fixture);
		send_text(fd, lines[i / 2]);
		if (i % 2) /* read apart from the request */
			run(&fixture, 10);
		send_text(fd, requests[0].first);
		run(&fixture, 10);
		send_text(fd, requests[0].second);
		CU_ASSERT_EQUAL(response_status(&fixture, fd, 200), 200);
		stop(&fixture, fd);
	}
}

/* Guards against a process exit that cuts a request that is arriving. */
static void test_drained(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		fixture_t fixture;
		int fd;

		start(&fixture);
		fd = persistent_client_new(&fixture);
		CU_ASSERT_TRUE(http_server_is_drained(fixture.server));
		send_text(fd, requests[i].first);
		CU_ASSERT_FALSE(http_server_is_drained(fixture.server));
		run(&fixture, 10);
		CU_ASSERT_FALSE(http_server_is_drained(fixture.server));
		send_text(fd, requests[i].second);
		CU_ASSERT_EQUAL(response_status(&fixture, fd, 1000), 200);
		CU_ASSERT_TRUE(http_server_is_drained(fixture.server));
		stop(&fixture, fd);
	}
}

/* Guards against a process exit that cuts the first request of a new connection,
 * and against one that waits for connections without requests for long. */
static void test_drained_of_new_connections(void)
{
	fixture_t fixture;
	int fd;

	start(&fixture);
	fd = client_new(&fixture);
	run(&fixture, 10);
	CU_ASSERT_FALSE(http_server_is_drained(fixture.server));
	run(&fixture, 400);
	CU_ASSERT_TRUE(http_server_is_drained(fixture.server));
	stop(&fixture, fd);
}

/* Guards against callers that reuse a connection which is going to close. */
static void test_close_after(void)
{
	static const char *const paths[] = { "/close", "/close/stream" };

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		fixture_t fixture;
		char response[1024] = "";
		char request[64];
		int fd;

		start(&fixture);
		fd = persistent_client_new(&fixture);
		g_snprintf(request, sizeof(request),
			   "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", paths[i]);
		send_text(fd, request);
		run(&fixture, 20);
		CU_ASSERT_TRUE(recv(fd, response, sizeof(response) - 1, 0) > 0);
		CU_ASSERT_PTR_NOT_NULL(
			strstr(response, "Connection: close\r\n"));
		CU_ASSERT_EQUAL(response_status(&fixture, fd, 100), CLOSED);
		stop(&fixture, fd);
	}
}

/* Guards against a shutdown of which callers on kept connections learn only by
 * its end; also those whose requests came before it. */
static void test_announce_close(void)
{
	static const char *const requests[] = {
		GET, "GET /stream HTTP/1.1\r\nHost: x\r\n\r\n"
	};

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(requests); i++) {
		const char *request = requests[i / 2];
		fixture_t fixture;
		char response[1024] = "";
		int fd;

		start(&fixture);
		fd = persistent_client_new(&fixture);
		if (i % 2)
			send_text(fd, request);
		http_server_announce_close(fixture.server);
		if (!(i % 2))
			send_text(fd, request);
		run(&fixture, 20);
		CU_ASSERT_TRUE(recv(fd, response, sizeof(response) - 1, 0) > 0);
		CU_ASSERT_PTR_NOT_NULL(strstr(response, "200 OK"));
		CU_ASSERT_PTR_NOT_NULL(
			strstr(response, "Connection: close\r\n"));
		CU_ASSERT_EQUAL(response_status(&fixture, fd, 100), CLOSED);
		stop(&fixture, fd);
	}
}

/*
 * Guards against a last response that is cut off by a reset, because the next
 * request is in the socket's buffer when the connection is closed.
 */
static void test_pipelined_close(void)
{
	const int receive_bytes = 8192;
	char buffer[4096];
	size_t received = 0;
	fixture_t fixture;
	ssize_t len;
	int fd;

	start(&fixture);
	fd = persistent_client_new(&fixture);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
		   sizeof(receive_bytes));
	send_text(fd, "GET /close/large HTTP/1.1\r\nHost: x\r\n\r\n");
	run(&fixture, 1);
	send_text(fd, GET);
	run(&fixture, 50);
	do {
		run(&fixture, 0);
		len = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		received += MAX(len, 0);
	} while (len > 0 || (len < 0 && errno == EAGAIN));
	CU_ASSERT_EQUAL(len, 0);
	CU_ASSERT_TRUE(received > LARGE_BYTES);
	stop(&fixture, fd);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "requests in the backlog", test_backlog },
		{ "request after a long idle time", test_after_idle },
		{ "incomplete request", test_incomplete },
		{ "idle connections", test_idle },
		{ "empty line before a request", test_empty_line },
		{ "drained", test_drained },
		{ "drained of new connections",
		  test_drained_of_new_connections },
		{ "close after a response", test_close_after },
		{ "announced close", test_announce_close },
		{ "pipelined request behind the last response",
		  test_pipelined_close },
		{ NULL, NULL },
	};

	return unit_run("http_server", tests);
}
