#include "gateway/store_relay_server.h"

#include "rpc/store_xdr.h"

struct store_relay_server {
	store_relay_server_options_t options;
	int64_t *served_total;
};

static unsigned int code_of(const GError *error)
{
	return error ? (unsigned int)error->code + 1 : 0;
}

static void on_served(const object_value_t *value, const GError *error,
		      void *user_data)
{
	store_call_result result = {
		.error = code_of(error),
		.has_value = value != NULL,
		.writer = (char *)(value && value->writer ? value->writer : ""),
		.data = (char *)(value && value->data ? value->data : ""),
		.revision = value ? value->version : 0,
	};

	rpc_reply(user_data, &result);
}

static void on_served_list(const object_listing_t *listing, const GError *error,
			   void *user_data)
{
	guint count = error ? 0 : MIN(listing->entries->len, STORE_ENTRIES_MAX);
	store_call_result result = {
		.error = code_of(error),
		.writer = (char *)"",
		.data = (char *)"",
	};
	store_call_entry *entries = g_new0(store_call_entry, count + 1);

	for (guint i = 0; i < count; i++) {
		const object_entry_t *entry =
			&g_array_index(listing->entries, object_entry_t, i);

		entries[i].key = entry->key;
		entries[i].revision = entry->version;
		entries[i].deleted = entry->deleted;
		entries[i].data = entry->data ? entry->data : (char *)"";
	}
	if (!error) {
		result.revision = listing->revision;
		result.more = listing->more || count < listing->entries->len;
	}
	result.entries.entries_len = count;
	result.entries.entries_val = entries;
	rpc_reply(user_data, &result);
	g_free(entries);
}

static void handle_call(rpc_call_t *call, const void *data, void *user_data)
{
	const store_call_args *args = data;
	store_relay_server_t *server = user_data;
	object_store_t *store = args->stale ? server->options.stale_store :
					      server->options.store;

	(*server->served_total)++;
	switch (args->operation) {
	case STORE_GET:
		object_get(store, args->key, on_served, call);
		return;
	case STORE_PUT:
		object_put(store, args->key, args->data.data_val,
			   args->data.data_len, args->revision,
			   *args->writer ? args->writer : NULL, on_served,
			   call);
		return;
	case STORE_REMOVE:
		object_remove(store, args->key, args->revision, on_served,
			      call);
		return;
	case STORE_LIST:
		object_list(store, args->key, *args->after ? args->after : NULL,
			    args->limit, on_served_list, call);
		return;
	case STORE_WATCH:
		object_watch(store, args->key, args->revision, args->timeout_ms,
			     on_served_list, call);
		return;
	}
	rpc_reply_unavailable(call);
}

store_relay_server_t *
store_relay_server_new(const store_relay_server_options_t *options)
{
	store_relay_server_t *server = g_new0(store_relay_server_t, 1);
	const rpc_procedure_t procedure = {
		.program = PEER_PROGRAM,
		.procedure = PEER_STORE_CALL,
		.decode = (xdrproc_t)xdr_store_call_args,
		.args_size = sizeof(store_call_args),
		.encode = (xdrproc_t)xdr_store_call_result,
		.handler = handle_call,
		.user_data = server,
	};

	server->options = *options;
	server->served_total = counter_get(options->counters, COUNTER_MONOTONIC,
					   "store_calls_served_total", NULL);
	rpc_server_register(options->server, &procedure);
	return server;
}
