#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http_server.h"
#include "unit.h"

#define REQUEST                                                              \
	"POST /once/abcdefgh/ijk?x=1&y=2 HTTP/1.1\r\nHost: site.example\r\n" \
	"Content-Length: 3\r\n\r\nabc"

typedef struct seen {
	struct event_base *base;
	int requests;
	int matching;
} seen_t;

static void handle(http_exchange_t *exchange, void *user_data)
{
	seen_t *seen = user_data;
	size_t len;

	seen->requests++;
	seen->matching +=
		strcmp(http_method(exchange), "POST") == 0 &&
		strcmp(http_path(exchange), "/once/abcdefgh/ijk") == 0 &&
		g_strcmp0(http_raw_query(exchange), "x=1&y=2") == 0 &&
		strcmp(http_body(exchange, &len), "abc") == 0;
	http_reply(exchange, 200, NULL, "", 0);
}

static int connect_to(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;

	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	CU_ASSERT_EQUAL(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

static void send_part(seen_t *seen, int fd, const char *data, size_t len)
{
	CU_ASSERT_EQUAL(write(fd, data, len), (ssize_t)len);
	for (int i = 0; i < 5; i++) {
		usleep(200);
		event_base_loop(seen->base, EVLOOP_NONBLOCK);
	}
}

/*
 * A request that arrives in two reads must have the same method, path, query
 * and body wherever it is split, also as the second request on a persistent
 * connection.
 */
static void test_every_split(void)
{
	static const char request[] = REQUEST;
	seen_t seen = { .base = event_base_new() };
	const http_server_options_t options = {
		.base = seen.base,
		.address = "127.0.0.1",
		.handler = handle,
		.user_data = &seen,
	};
	http_server_t *server = http_server_new(&options, NULL);
	size_t len = strlen(request);
	int expected = 0;

	for (size_t split = 1; split < len; split++) {
		int fd = connect_to(http_server_port(server));

		for (int i = 0; i < 2; i++) {
			send_part(&seen, fd, request, split);
			send_part(&seen, fd, request + split, len - split);
			expected++;
		}
		close(fd);
		event_base_loop(seen.base, EVLOOP_NONBLOCK);
	}
	CU_ASSERT_EQUAL(seen.requests, expected);
	CU_ASSERT_EQUAL(seen.matching, expected);
	http_server_free(server);
	event_base_free(seen.base);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "every split", test_every_split },
		{ NULL, NULL },
	};

	return unit_run("http_request_line", tests);
}
