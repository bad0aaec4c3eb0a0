#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "http/http_client.h"
#include "unit.h"

/*
 * Tests calls on kept connections to a server that sends more than one response
 * to a request.
 */
#define RESPONSE_BYTES 128

/* How the server sends the second copy of a response. */
typedef enum copy {
	COPY_NONE,
	COPY_TOGETHER, /* in one segment with the first */
	COPY_LATE /* while the connection is idle */
} copy_t;

static void send_text(int connection, const char *text, size_t len)
{
	if (send(connection, text, len, MSG_NOSIGNAL) < 0)
		_exit(1);
}

/* Answers each request with its path, until the client closes. */
static void answer_requests(int connection, copy_t copy)
{
	char request[1024];
	ssize_t len;

	while ((len = read(connection, request, sizeof(request) - 1)) > 0) {
		char response[2 * RESPONSE_BYTES];
		int once;

		request[len] = '\0';
		once = snprintf(response, RESPONSE_BYTES,
				"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
				"%.2s",
				strchr(request, '/'));
		if (copy == COPY_TOGETHER) {
			memcpy(response + once, response, (size_t)once);
			send_text(connection, response, 2 * (size_t)once);
			continue;
		}
		send_text(connection, response, (size_t)once);
		if (copy == COPY_LATE) {
			usleep(50000);
			send_text(connection, response, (size_t)once);
		}
	}
	close(connection);
}

static void serve(int listener, copy_t copy)
{
	for (;;) {
		int connection = accept(listener, NULL, NULL);

		if (connection < 0)
			_exit(0);
		if (fork() == 0) {
			answer_requests(connection, copy);
			_exit(0);
		}
		close(connection);
	}
}

typedef struct exchange {
	struct event_base *base;
	char body[8];
	http_outcome_t outcome;
} exchange_t;

static void on_done(const http_response_t *response, void *user_data)
{
	exchange_t *exchange = user_data;

	exchange->outcome = response->outcome;
	snprintf(exchange->body, sizeof(exchange->body), "%.*s",
		 (int)response->body_len, response->body);
	event_base_loopbreak(exchange->base);
}

static exchange_t call(struct event_base *base, http_client_t *client,
		       const char *address, const char *target)
{
	exchange_t exchange = { .base = base };
	const http_request_options_t options = {
		.method = "GET",
		.address = address,
		.target = target,
		.timeout_ms = 3000,
		.on_done = on_done,
		.user_data = &exchange,
	};

	http_call_start(client, &options);
	event_base_dispatch(base);
	return exchange;
}

/* Makes two calls one after the other and checks that each gets its own
 * response. */
static void check_calls(copy_t copy)
{
	const struct timeval idle = { 0, 150000 };
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	struct event_base *base = event_base_new();
	http_client_t *client = http_client_new(base);
	char target[32];
	exchange_t exchange;
	pid_t server;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL(bind(listener, (struct sockaddr *)&address, len), 0);
	listen(listener, 4);
	getsockname(listener, (struct sockaddr *)&address, &len);
	snprintf(target, sizeof(target), "127.0.0.1:%u",
		 ntohs(address.sin_port));
	server = fork();
	if (server == 0)
		serve(listener, copy);
	exchange = call(base, client, target, "/a");
	CU_ASSERT_STRING_EQUAL(exchange.body, "/a");
	if (copy == COPY_LATE) {
		event_base_loopexit(base, &idle);
		event_base_dispatch(base);
	}
	exchange = call(base, client, target, "/b");
	CU_ASSERT_EQUAL(exchange.outcome, HTTP_COMPLETE);
	CU_ASSERT_STRING_EQUAL(exchange.body, "/b");
	http_client_free(client);
	event_base_free(base);
	close(listener);
	kill(server, SIGKILL);
	waitpid(server, NULL, 0);
}

static void test_kept_connection(void)
{
	check_calls(COPY_NONE);
}

/* A second copy of a response in one segment with the first must not become the
 * response to the next call. */
static void test_copy_in_the_same_segment(void)
{
	check_calls(COPY_TOGETHER);
}

/* As above, for a copy that arrives between two calls. */
static void test_copy_on_an_idle_connection(void)
{
	check_calls(COPY_LATE);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "kept connection", test_kept_connection },
		{ "copy in the same segment", test_copy_in_the_same_segment },
		{ "copy on an idle connection",
		  test_copy_on_an_idle_connection },
		{ NULL, NULL },
	};

	return unit_run("http_client_reuse", tests);
}
