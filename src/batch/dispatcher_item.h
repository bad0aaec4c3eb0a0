#ifndef WASABILINK_BATCH_DISPATCHER_ITEM_H
#define WASABILINK_BATCH_DISPATCHER_ITEM_H

#include "batch/dispatcher_state.h"

/*
 * dispatcher_item - outcomes of a running item: tokens, results, failures and
 * runner losses.
 */
void dispatcher_item_clear(dispatch_item_t *item);
void dispatcher_item_stop(dispatcher_t *dispatcher, dispatch_item_t *item);
void dispatcher_item_fail(dispatcher_t *dispatcher, dispatch_item_t *item,
			  const char *code, const char *message);
gboolean dispatcher_item_fail_exhausted(dispatcher_t *dispatcher,
					dispatch_item_t *item);

#endif
