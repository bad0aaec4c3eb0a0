#ifndef WASABILINK_HTTP_HTTP_LINGER_H
#define WASABILINK_HTTP_HTTP_LINGER_H

#include <event2/event.h>
#include <stdint.h>

/*
 * http_linger - ends connections whose peers may still be sending.
 *
 * Closing a socket with unread data resets the connection, and the peer would
 * lose what it has not received yet of the response. The end of the stream is
 * sent on a duplicate of the socket, which then reads and discards incoming data
 * until the peer closes, for up to one second without data. Of more than a number
 * of sockets, the oldest is closed.
 */
typedef struct http_lingers http_lingers_t;

http_lingers_t *http_lingers_new(struct event_base *base, uint32_t max_sockets);
void http_lingers_free(http_lingers_t *lingers);
/* The caller closes fd itself. */
void http_linger(http_lingers_t *lingers, evutil_socket_t fd);

#endif
