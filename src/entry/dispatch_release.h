#ifndef WASABILINK_ENTRY_DISPATCH_RELEASE_H
#define WASABILINK_ENTRY_DISPATCH_RELEASE_H

#include "entry/dispatch_state.h"

/*
 * dispatch_release - releases the leases of unfinished chunks.
 *
 * A release carries the suspects: the attempts and runner deaths of failed
 * items. It is repeated until a coordinator has acknowledged it or its time-out
 * ends, as an item whose deaths were lost would kill more runners than the
 * limit allows.
 */
void dispatch_release_chunk(const dispatch_chunk_t *chunk,
			    const GArray *suspects, void *user_data);
/* Cancels the pending releases of a chunk that was granted to this node again
 * and appends their suspects to the array. */
void dispatch_release_cancel(dispatch_t *dispatch, const char *job,
			     uint32_t first, GArray *suspects);

#endif
