#ifndef WASABILINK_ENTRY_DISPATCH_COORDINATOR_H
#define WASABILINK_ENTRY_DISPATCH_COORDINATOR_H

#include "entry/dispatch_state.h"
#include "rpc/batch_xdr.h"
#include "rpc/rpc_client.h"

/*
 * dispatch_coordinator - finds the coordinators of jobs and calls them.
 *
 * The coordinator is the owner of the job's shard. Its known address may be
 * stale: a former owner of the shard still answers chunk calls, but no longer
 * knows any lease.
 */

/* NULL when no coordinator is known. */
const char *dispatch_coordinator_of(const dispatch_t *dispatch,
				    const char *job);
/* Fills in address, program and timeout. */
void dispatch_coordinator_call(dispatch_t *dispatch, const char *address,
			       rpc_call_options_t *options);
/* Looks up the owner by reading the job's record, a read that follows redirects
 * from former owners. Later calls of dispatch_coordinator_of() return the
 * result. */
void dispatch_coordinator_locate(dispatch_t *dispatch, const char *job);
/* The result borrows the array's data. */
batch_suspects dispatch_suspects_to_wire(const GArray *suspects);

#endif
