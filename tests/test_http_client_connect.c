#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "http/http_client.h"
#include "unit.h"

typedef struct outcome {
	struct event_base *base;
	int calls;
	bool returned; /* http_call_start() has returned */
	bool called_during_start;
	http_outcome_t outcome;
} outcome_t;

static void on_done(const http_response_t *response, void *user_data)
{
	outcome_t *outcome = user_data;

	outcome->calls++;
	outcome->called_during_start = !outcome->returned;
	outcome->outcome = response->outcome;
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
 * connect() to the broadcast address fails immediately, and evhttp reports it
 * from inside the start of the request. Guards against freeing the call there
 * and using it afterwards.
 */
static void test_immediate_connect_failure(void)
{
	outcome_t outcome = call("255.255.255.255:9");

	CU_ASSERT_EQUAL(outcome.calls, 1);
	CU_ASSERT_FALSE(outcome.called_during_start);
	CU_ASSERT_EQUAL(outcome.outcome, HTTP_NOT_SENT);
}

/*
 * Guards against a refused connection that is reported like one that was lost
 * after the request was sent.
 */
static void test_refused_connection(void)
{
	outcome_t outcome = call("127.0.0.1:1");

	CU_ASSERT_EQUAL(outcome.calls, 1);
	CU_ASSERT_EQUAL(outcome.outcome, HTTP_NOT_SENT);
}

/*
 * Guards against a connect without an answer that is reported like a
 * connection that was lost after the request was sent.
 */
static void test_unanswered_connect(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int waiting[3];
	char target[32];
	outcome_t outcome;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL(bind(listener, (struct sockaddr *)&address, len), 0);
	listen(listener, 0);
	getsockname(listener, (struct sockaddr *)&address, &len);
	snprintf(target, sizeof(target), "127.0.0.1:%u",
		 ntohs(address.sin_port));
	/* Fill the backlog, so that further connects get no answer. */
	for (size_t i = 0; i < G_N_ELEMENTS(waiting); i++) {
		waiting[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)!connect(waiting[i], (struct sockaddr *)&address, len);
	}
	outcome = call(target);
	CU_ASSERT_EQUAL(outcome.calls, 1);
	CU_ASSERT_EQUAL(outcome.outcome, HTTP_NOT_SENT);
	for (size_t i = 0; i < G_N_ELEMENTS(waiting); i++)
		close(waiting[i]);
	close(listener);
}

/* A server that resets the connection after it has read the request. */
typedef struct reset_server {
	int listener;
	int accepted;
} reset_server_t;

static void on_reset(evutil_socket_t fd, short events, void *arg)
{
	static const struct linger immediate = { 1, 0 };
	reset_server_t *server = arg;
	char buffer[1024];
	int connection = accept(server->listener, NULL, NULL);

	server->accepted =
		connection >= 0 && read(connection, buffer, sizeof(buffer)) > 0;
	setsockopt(connection, SOL_SOCKET, SO_LINGER, &immediate,
		   sizeof(immediate));
	close(connection);
}

static void block_loop(evutil_socket_t fd, short events, void *arg)
{
	usleep(80000);
}

/*
 * A request that was sent must not be reported as not sent when its connection
 * is reset just before the connect timeout fires: work that may run only once
 * would run twice.
 */
static void test_reset_at_connect_timeout(void)
{
	static const struct timeval block_at = { 0, 50000 };
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
	/*
	 * Blocks the loop, so that the reset and the timeout are handled in the
	 * same pass.
	 */
	event_base_once(outcome.base, -1, EV_TIMEOUT, block_loop, NULL,
			&block_at);
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

/* Sends the head of a response without end until the peer closes. */
static void send_endless_head(int listener)
{
	char header[4096] = "HTTP/1.1 200 OK\r\nX: ";
	int connection = accept(listener, NULL, NULL);

	memset(header + strlen(header), 'x', sizeof(header) - strlen(header));
	while (send(connection, header, sizeof(header), MSG_NOSIGNAL) > 0)
		memset(header, 'x', sizeof(header));
	_exit(0);
}

/*
 * A head without end must not fill the memory until the call's timeout: the
 * connection is closed, and the request counts as one that may have run.
 */
static void test_head_without_end(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	char target[32];
	outcome_t outcome;
	pid_t child;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL(bind(listener, (struct sockaddr *)&address, len), 0);
	listen(listener, 1);
	getsockname(listener, (struct sockaddr *)&address, &len);
	snprintf(target, sizeof(target), "127.0.0.1:%u",
		 ntohs(address.sin_port));
	child = fork();
	if (child == 0)
		send_endless_head(listener);
	outcome = call(target);
	CU_ASSERT_EQUAL(outcome.calls, 1);
	CU_ASSERT_EQUAL(outcome.outcome, HTTP_CONNECTION_LOST);
	close(listener);
	waitpid(child, NULL, 0);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "immediate connect failure", test_immediate_connect_failure },
		{ "refused connection", test_refused_connection },
		{ "unanswered connect", test_unanswered_connect },
		{ "reset at connect timeout", test_reset_at_connect_timeout },
		{ "head without end", test_head_without_end },
		{ NULL, NULL },
	};

	return unit_run("http_client_connect", tests);
}
