#ifndef WASABILINK_BASE_KEEPALIVE_H
#define WASABILINK_BASE_KEEPALIVE_H

#include <event2/util.h>

/*
 * keepalive - detects a peer that disappears without a reset.
 *
 * Enables keepalive probes, a limit for unacknowledged data, and sending
 * without delay. On Linux the limit also decides when the probes give up,
 * whatever their count. Failures are ignored: the timeouts of the calls still
 * end them.
 */
void keepalive_enable(evutil_socket_t fd);

#endif
