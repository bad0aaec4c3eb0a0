#ifndef WASABILINK_HTTP_HTTP_REJECT_H
#define WASABILINK_HTTP_HTTP_REJECT_H

#include <event2/event.h>
#include <glib.h>

#include "http/http_linger.h"

/*
 * http_reject - sends the last response on a connection whose request cannot be
 * read.
 *
 * libevhtp closes such a connection without a response. The connection lingers
 * after this response (http_linger.h).
 */

/* headers: complete header lines with their line endings; may be empty. */
void http_reject_send(http_lingers_t *lingers, evutil_socket_t fd, int status,
		      const GString *headers, const GString *body);

#endif
