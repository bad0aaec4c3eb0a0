#ifndef WASABILINK_BASE_BEV_SOCKET_H
#define WASABILINK_BASE_BEV_SOCKET_H

#include <event2/bufferevent.h>

/*
 * bev_socket - the socket of a bufferevent.
 *
 * bufferevent_free() leaves the descriptor open until the event loop has run the
 * callbacks that are due, so that connections which are closed for new ones would
 * add to them.
 */

/* Closes the descriptor at once. The bufferevent can only be freed after it. */
void bev_socket_close(struct bufferevent *bev);

#endif
