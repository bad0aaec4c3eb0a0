#ifndef WASABILINK_ENTRY_DISPATCH_STREAM_H
#define WASABILINK_ENTRY_DISPATCH_STREAM_H

#include "entry/dispatch_state.h"

/*
 * dispatch_stream - executes batch items on engines: starts and stops their
 * streams, and probes engines that may have failed. Implements operations of
 * dispatcher_ops_t.
 */

void dispatch_stream_start(dispatch_item_t *item, json_t *body,
			   void *user_data);
void dispatch_stream_stop(dispatch_item_t *item, void *user_data);
void dispatch_stream_probe(const char *address, void *user_data);

#endif
