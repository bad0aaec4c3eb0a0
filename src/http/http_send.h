#ifndef WASABILINK_HTTP_HTTP_SEND_H
#define WASABILINK_HTTP_HTTP_SEND_H

#include <event2/bufferevent.h>

/*
 * http_send - sends the output of a connected bufferevent in the current pass
 * of the event loop.
 *
 * libevent would first wait for epoll to report the socket as writable, which
 * takes two system calls and another pass. Output that the socket does not
 * accept immediately is sent by libevent as usual.
 */
void http_send_now(struct bufferevent *bev);

#endif
