#include "http/http_send.h"

#include <event2/bufferevent_struct.h>
#include <event2/event.h>

void http_send_now(struct bufferevent *bev)
{
	event_active(&bev->ev_write, EV_WRITE, 1);
}
