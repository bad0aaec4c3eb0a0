#ifndef WASABILINK_ENTRY_DISPATCH_PRESSURE_H
#define WASABILINK_ENTRY_DISPATCH_PRESSURE_H

#include "entry/dispatch_state.h"
#include "rpc/rpc_server.h"

/*
 * dispatch_pressure - tells the dispatchers of other nodes how many online
 * requests this node has on their runners, and keeps what others tell.
 */

void dispatch_pressure_free(void *data);
void dispatch_pressure_refresh(dispatch_t *dispatch);
void dispatch_pressure_handle(rpc_call_t *call, const void *data,
			      void *user_data);
void dispatch_pressure_tell(dispatch_t *dispatch);
void dispatch_pressure_own_free(void *data);
void dispatch_pressure_on_own_load(const char *runner, uint32_t in_flight,
				   void *user_data);
void dispatch_pressure_on_due(evutil_socket_t fd, short events, void *arg);

#endif
