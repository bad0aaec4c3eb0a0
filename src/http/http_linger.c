#include "http/http_linger.h"

#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#define LINGER_TIMEOUT_MS 1000
#define LINGER_MAX_BYTES (4 * 1024 * 1024)

typedef struct http_linger {
	struct event *event;
	evutil_socket_t fd;
	size_t discarded_bytes;
} http_linger_t;

static void linger_free(http_linger_t *linger)
{
	event_free(linger->event);
	evutil_closesocket(linger->fd);
	g_free(linger);
}

static void on_readable(evutil_socket_t fd, short events, void *arg)
{
	http_linger_t *linger = arg;
	char buffer[16384];
	ssize_t len = 0;

	if (events & EV_READ)
		len = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
	if (len > 0)
		linger->discarded_bytes += (size_t)len;
	if (len <= 0 || linger->discarded_bytes > LINGER_MAX_BYTES)
		linger_free(linger);
}

void http_linger(struct event_base *base, evutil_socket_t fd)
{
	const struct timeval timeout = { LINGER_TIMEOUT_MS / 1000,
					 LINGER_TIMEOUT_MS % 1000 * 1000 };
	/*
	 * With an epoll changelist, the kernel may report events of the closed
	 * original socket until the duplicate is closed too; libevent ignores
	 * them.
	 */
	evutil_socket_t duplicate = dup(fd);
	http_linger_t *linger;

	if (duplicate < 0)
		return;
	linger = g_new0(http_linger_t, 1);
	linger->fd = duplicate;
	shutdown(linger->fd, SHUT_WR);
	linger->event = event_new(base, linger->fd, EV_READ | EV_PERSIST,
				  on_readable, linger);
	event_add(linger->event, &timeout);
}
