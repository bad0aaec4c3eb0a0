#include "base/bev_socket.h"

#include <event2/util.h>

void bev_socket_close(struct bufferevent *bev)
{
	evutil_socket_t fd = bufferevent_getfd(bev);

	if (fd < 0)
		return;
	bufferevent_setfd(bev, -1);
	evutil_closesocket(fd);
}
