#ifndef WASABILINK_ENTRY_DISPATCH_ONLINE_LOAD_H
#define WASABILINK_ENTRY_DISPATCH_ONLINE_LOAD_H

#include "entry/dispatch_state.h"
#include "rpc/rpc_server.h"

/*
 * dispatch_online_load - reports to the dispatchers of other nodes how many
 * online requests this node has on their runners, and stores the counts that
 * other nodes report. A stored count expires when it is not repeated.
 */

void dispatch_online_load_remote_free(void *data);
void dispatch_online_load_refresh(dispatch_t *dispatch);
void dispatch_online_load_handle_report(rpc_call_t *call, const void *data,
					void *user_data);
void dispatch_online_load_report(dispatch_t *dispatch);
void dispatch_online_load_local_free(void *data);
void dispatch_online_load_on_local_change(const char *runner,
					  uint32_t in_flight, void *user_data);
void dispatch_online_load_on_report_due(evutil_socket_t fd, short events,
					void *arg);

#endif
