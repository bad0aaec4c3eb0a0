#include "http/http_linger.h"

#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#define LINGER_TIMEOUT_MS 1000
#define LINGER_MAX_BYTES (4 * 1024 * 1024)

struct http_lingers {
	struct event_base *base;
	uint32_t max_sockets;
	GQueue sockets; /* http_linger_t, the oldest first */
};

typedef struct http_linger {
	http_lingers_t *lingers;
	struct event *event;
	evutil_socket_t fd;
	size_t discarded_bytes;
	GList link;
} http_linger_t;

static void linger_free(http_linger_t *linger)
{
	g_queue_unlink(&linger->lingers->sockets, &linger->link);
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

http_lingers_t *http_lingers_new(struct event_base *base, uint32_t max_sockets)
{
	http_lingers_t *lingers = g_new0(http_lingers_t, 1);

	lingers->base = base;
	lingers->max_sockets = max_sockets;
	g_queue_init(&lingers->sockets);
	return lingers;
}

void http_lingers_free(http_lingers_t *lingers)
{
	while (!g_queue_is_empty(&lingers->sockets))
		linger_free(g_queue_peek_head(&lingers->sockets));
	g_free(lingers);
}

void http_linger(http_lingers_t *lingers, evutil_socket_t fd)
{
	const struct timeval timeout = { LINGER_TIMEOUT_MS / 1000,
					 LINGER_TIMEOUT_MS % 1000 * 1000 };
	/*
	 * With an epoll changelist, the kernel may report events of the closed
	 * original socket until the duplicate is closed too; libevent ignores
	 * them.
	 */
	evutil_socket_t duplicate;
	http_linger_t *linger;

	if (lingers->sockets.length >= lingers->max_sockets)
		linger_free(g_queue_peek_head(&lingers->sockets));
	duplicate = dup(fd);
	if (duplicate < 0)
		return;
	linger = g_new0(http_linger_t, 1);
	linger->lingers = lingers;
	linger->fd = duplicate;
	linger->link.data = linger;
	g_queue_push_tail_link(&lingers->sockets, &linger->link);
	shutdown(linger->fd, SHUT_WR);
	linger->event = event_new(lingers->base, linger->fd,
				  EV_READ | EV_PERSIST, on_readable, linger);
	event_add(linger->event, &timeout);
}
