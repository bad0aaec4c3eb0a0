#include "http/http_reject.h"

#include <sys/socket.h>
#include <unistd.h>

#define LINGER_TIMEOUT_MS 1000
#define LINGER_MAX_BYTES (4 * 1024 * 1024)

typedef struct reject_linger {
	struct event *event;
	evutil_socket_t fd;
	size_t discarded_bytes;
} reject_linger_t;

static const struct {
	int status;
	const char *reason;
} reasons[] = {
	{ 400, "Bad Request" },
	{ 408, "Request Timeout" },
	{ 413, "Content Too Large" },
	{ 431, "Request Header Fields Too Large" },
	{ 503, "Service Unavailable" },
};

static const char *reason_phrase(int status)
{
	for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++)
		if (reasons[i].status == status)
			return reasons[i].reason;
	return "Error";
}

static void linger_free(reject_linger_t *linger)
{
	event_free(linger->event);
	evutil_closesocket(linger->fd);
	g_free(linger);
}

static void on_readable(evutil_socket_t fd, short events, void *arg)
{
	reject_linger_t *linger = arg;
	char buffer[16384];
	ssize_t len = 0;

	if (events & EV_READ)
		len = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
	if (len > 0)
		linger->discarded_bytes += (size_t)len;
	if (len <= 0 || linger->discarded_bytes > LINGER_MAX_BYTES)
		linger_free(linger);
}

void http_reject_send(struct event_base *base, evutil_socket_t fd, int status,
		      const GString *headers, const GString *body)
{
	const struct timeval timeout = { LINGER_TIMEOUT_MS / 1000,
					 LINGER_TIMEOUT_MS % 1000 * 1000 };
	reject_linger_t *linger = g_new0(reject_linger_t, 1);
	GString *response = g_string_new(NULL);
	ssize_t sent;

	g_string_append_printf(response,
			       "HTTP/1.1 %d %s\r\n%s"
			       "Content-Type: application/json\r\n"
			       "Content-Length: %zu\r\n"
			       "Connection: close\r\n\r\n%s",
			       status, reason_phrase(status), headers->str,
			       body->len, body->str);
	/*
	 * The response fits an empty socket buffer. If the buffer is full, the
	 * peer does not read and would not receive the response anyway.
	 */
	sent = send(fd, response->str, response->len,
		    MSG_DONTWAIT | MSG_NOSIGNAL);
	g_string_free(response, TRUE);
	/*
	 * With an epoll changelist, the kernel may report events of the closed
	 * original socket until the duplicate is closed too; libevent ignores
	 * them.
	 */
	linger->fd = sent > 0 ? dup(fd) : -1;
	if (linger->fd < 0) {
		g_free(linger);
		return;
	}
	shutdown(linger->fd, SHUT_WR);
	linger->event = event_new(base, linger->fd, EV_READ | EV_PERSIST,
				  on_readable, linger);
	event_add(linger->event, &timeout);
}
