#include "base/keepalive.h"

#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/*
 * Detects a peer that disappears without a reset within about 3 s, the shortest
 * time after which a VM may count as unreachable.
 */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_PROBE_S 1
#define KEEPALIVE_PROBES 2
#define UNACKNOWLEDGED_TIMEOUT_MS 3000

void keepalive_enable(evutil_socket_t fd)
{
	static const struct {
		int level;
		int name;
		int value;
	} options[] = {
		{ SOL_SOCKET, SO_KEEPALIVE, 1 },
		{ IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S },
		{ IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_PROBE_S },
		{ IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES },
		{ IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS },
		{ IPPROTO_TCP, TCP_NODELAY, 1 },
	};

	if (fd < 0)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(options); i++)
		setsockopt(fd, options[i].level, options[i].name,
			   &options[i].value, sizeof(options[i].value));
}
