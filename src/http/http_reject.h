#ifndef WASABILINK_HTTP_HTTP_REJECT_H
#define WASABILINK_HTTP_HTTP_REJECT_H

#include <event2/event.h>
#include <glib.h>

/*
 * http_reject - sends the last response on a connection whose request cannot be
 * read.
 *
 * libevhtp closes such a connection without a response. The response is sent on
 * a duplicate of the socket, which then reads and discards incoming data for up
 * to one second: closing a socket with unread data resets the connection, and
 * the peer would lose the response.
 */

/* headers: complete header lines with their line endings; may be empty. */
void http_reject_send(struct event_base *base, evutil_socket_t fd, int status,
		      const GString *headers, const GString *body);

#endif
