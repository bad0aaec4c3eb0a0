#ifndef WASABILINK_HTTP_HTTP_REJECT_H
#define WASABILINK_HTTP_HTTP_REJECT_H

#include <event2/event.h>
#include <glib.h>

/*
 * http_reject - last answer on a connection whose request cannot be read.
 *
 * libevhtp closes such a connection without an answer. The answer goes out on
 * a duplicate of the socket, which then reads and drops what still comes for a
 * moment: a close with unread bytes would reset the connection, and the peer
 * would lose the answer.
 */

/* headers: whole header lines with their line ends; may be empty. */
void http_reject_send(struct event_base *base, evutil_socket_t fd, int status,
		      const GString *headers, const GString *body);

#endif
