#ifndef WASABILINK_ENTRY_DISPATCH_COORDINATOR_H
#define WASABILINK_ENTRY_DISPATCH_COORDINATOR_H

#include "entry/dispatch_state.h"
#include "rpc/batch_xdr.h"
#include "rpc/rpc_client.h"

/*
 * dispatch_coordinator - where a job's coordinator is, and calls to it.
 *
 * The coordinator is the owner of the job's shard. Its address is a guess
 * until it answers: a node that handed the shard over goes on answering chunk
 * messages, but knows no lease.
 */

/* NULL when no coordinator is known. */
const char *dispatch_coordinator_of(const dispatch_t *dispatch,
				    const char *job);
/* Fills in address, program and timeout. */
void dispatch_coordinator_call(dispatch_t *dispatch, const char *address,
			       rpc_call_options_t *options);
/* Looks the owner up by reading the job's record, which follows the answers of
 * former owners; later calls of dispatch_coordinator_of() know the result. */
void dispatch_coordinator_locate(dispatch_t *dispatch, const char *job);
/* Borrows the array's data. */
batch_suspects dispatch_suspects_to_wire(const GArray *suspects);

#endif
