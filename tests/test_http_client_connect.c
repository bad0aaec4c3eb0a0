#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http_client.h"
#include "unit.h"

typedef struct outcome {
	struct event_base *base;
	int calls;
	bool returned; /* http_call_start() has returned */
	bool early;
	http_outcome_t outcome;
} outcome_t;

static void on_done(const http_answer_t *answer, void *user_data)
{
	outcome_t *outcome = user_data;

	outcome->calls++;
	outcome->early = !outcome->returned;
	outcome->outcome = answer->outcome;
	event_base_loopbreak(outcome->base);
}

static outcome_t call(const char *address)
{
	outcome_t outcome = { .base = event_base_new() };
	http_client_t *client = http_client_new(outcome.base);
	const http_request_options_t options = {
		.method = "GET",
		.address = address,
		.target = "/",
		.timeout_ms = 5000,
		.on_done = on_done,
		.user_data = &outcome,
	};

	http_call_start(client, &options);
	outcome.returned = true;
	event_base_dispatch(outcome.base);
	http_client_free(client);
	event_base_free(outcome.base);
	return outcome;
}

/*
 * connect() to the broadcast address fails at once. evhttp then reports the
 * failure from inside the start of the request; the call was freed there and
 * used afterwards.
 */
static void test_connect_that_fails_at_once(void)
{
	outcome_t outcome = call("255.255.255.255:9");

	CU_ASSERT_EQUAL(outcome.calls, 1);
	CU_ASSERT_FALSE(outcome.early);
	CU_ASSERT_EQUAL(outcome.outcome, HTTP_NOT_SENT);
}

/* A refused connection must be told from one that broke later. */
static void test_refused_connection(void)
{
	outcome_t outcome = call("127.0.0.1:1");

	CU_ASSERT_EQUAL(outcome.calls, 1);
	CU_ASSERT_EQUAL(outcome.outcome, HTTP_NOT_SENT);
}

/* A server that resets the connection after it has read the request. */
typedef struct reset_server {
	int listener;
	int accepted;
} reset_server_t;

static void on_reset(evutil_socket_t fd, short events, void *arg)
{
	static const struct linger at_once = { 1, 0 };
	reset_server_t *server = arg;
	char buffer[1024];
	int connection = accept(server->listener, NULL, NULL);

	server->accepted =
		connection >= 0 && read(connection, buffer, sizeof(buffer)) > 0;
	setsockopt(connection, SOL_SOCKET, SO_LINGER, &at_once,
		   sizeof(at_once));
	close(connection);
}

static void on_busy(evutil_socket_t fd, short events, void *arg)
{
	usleep(80000);
}

/*
 * A request that has gone out must not count as not sent when its connection is
 * reset just before the connect timeout looks at it: work that may run only
 * once would run again.
 */
static void test_reset_at_connect_timeout(void)
{
	static const struct timeval busy_at = { 0, 50000 };
	static const struct timeval reset_at = { 0, 90000 };
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);
	reset_server_t server = { .listener = socket(AF_INET, SOCK_STREAM, 0) };
	outcome_t outcome = { .base = event_base_new(), .returned = true };
	http_client_t *client = http_client_new(outcome.base);
	char target[32];
	const http_request_options_t options = {
		.method = "GET",
		.address = target,
		.target = "/",
		.timeout_ms = 5000,
		.connect_timeout_ms = 100,
		.on_done = on_done,
		.user_data = &outcome,
	};

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL(bind(server.listener, (struct sockaddr *)&address, len),
			0);
	listen(server.listener, 1);
	getsockname(server.listener, (struct sockaddr *)&address, &len);
	snprintf(target, sizeof(target), "127.0.0.1:%u",
		 ntohs(address.sin_port));
	/* The loop is busy, so that reset and timeout are due together. */
	event_base_once(outcome.base, -1, EV_TIMEOUT, on_busy, NULL, &busy_at);
	event_base_once(outcome.base, -1, EV_TIMEOUT, on_reset, &server,
			&reset_at);
	http_call_start(client, &options);
	event_base_dispatch(outcome.base);
	CU_ASSERT(server.accepted);
	CU_ASSERT_EQUAL(outcome.calls, 1);
	CU_ASSERT_NOT_EQUAL(outcome.outcome, HTTP_NOT_SENT);
	close(server.listener);
	http_client_free(client);
	event_base_free(outcome.base);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "connect that fails at once",
		  test_connect_that_fails_at_once },
		{ "refused connection", test_refused_connection },
		{ "reset at connect timeout", test_reset_at_connect_timeout },
		{ NULL, NULL },
	};

	return unit_run("http_client_connect", tests);
}
