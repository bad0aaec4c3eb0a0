#ifndef WASABILINK_HTTP_HTTP_SEND_H
#define WASABILINK_HTTP_HTTP_SEND_H

#include <event2/bufferevent.h>

/*
 * http_send - sends the output of a connected bufferevent in this pass of the
 * event loop. libevent would first ask epoll whether the socket is writable,
 * which takes two system calls and another pass. What the socket does not take
 * at once is sent as usual.
 */
void http_send_now(struct bufferevent *bev);

#endif
