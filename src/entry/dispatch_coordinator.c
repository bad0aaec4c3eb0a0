#include "entry/dispatch_coordinator.h"

#include "entry/batch_id.h"
#include "entry/records.h"

#define CALL_TIMEOUT_MS 1000

const char *dispatch_coordinator_of(const dispatch_t *dispatch, const char *job)
{
	record_key_t key;
	const char *address;

	if (!batch_id_key(job, &key))
		return NULL;
	if (records_is_owner(dispatch->entry->records, &key))
		return dispatch_own_address(dispatch);
	address = records_owner_address(dispatch->entry->records, &key);
	return address && *address ? address : NULL;
}

void dispatch_coordinator_call(dispatch_t *dispatch, const char *address,
			       rpc_call_options_t *options)
{
	options->address = address;
	options->program = CHUNK_PROGRAM;
	options->timeout_ms = CALL_TIMEOUT_MS;
	rpc_client_call(dispatch->entry->rpc_client, options);
}

static void on_located(const record_t *record, const GError *error,
		       void *user_data)
{
	chunk_call_t *call = user_data;

	g_hash_table_remove(call->dispatch->locating, call->job);
	chunk_call_free(call);
}

void dispatch_coordinator_locate(dispatch_t *dispatch, const char *job)
{
	record_key_t key;

	if (!batch_id_key(job, &key) ||
	    !g_hash_table_add(dispatch->locating, g_strdup(job)))
		return;
	records_get(dispatch->entry->records, &key, on_located,
		    chunk_call_new(dispatch, job, 0));
}

batch_suspects dispatch_suspects_to_wire(const GArray *suspects)
{
	/* item_failures_t has the same layout as the wire type. */
	batch_suspects wire = {
		suspects ? MIN(suspects->len, BATCH_SUSPECTS_MAX) : 0,
		suspects ? (batch_suspect *)suspects->data : NULL
	};

	return wire;
}
