#ifndef WASABILINK_HTTP_HTTP_LINGER_H
#define WASABILINK_HTTP_HTTP_LINGER_H

#include <event2/event.h>

/*
 * http_linger - ends a connection whose peer may still be sending.
 *
 * Closing a socket with unread data resets the connection, and the peer would
 * lose what it has not received yet of the response. The end of the stream is
 * sent on a duplicate of the socket, which then reads and discards incoming data
 * until the peer closes, for up to one second without data. The caller closes
 * fd itself.
 */
void http_linger(struct event_base *base, evutil_socket_t fd);

#endif
