#include "gateway/store_relay_server.h"

#include "base/error.h"
#include "base/log.h"
#include "rpc/store_xdr.h"

struct store_relay_server {
	store_relay_server_options_t options;
	GQueue reads; /* served_call_t, not answered yet */
	int64_t *served_total;
	int64_t *refused_total;
	int64_t *ended_total;
};

typedef struct served_call {
	store_relay_server_t *server;
	object_store_t *store;
	rpc_call_t *call; /* NULL: has been answered */
	int64_t started_us;
	GList link; /* in reads, if it is one */
	bool read;
} served_call_t;

/* The store has answered, or its answer is not awaited any more. */
static void leave_reads(served_call_t *served)
{
	if (served->read)
		g_queue_unlink(&served->server->reads, &served->link);
	served->read = false;
}

static void send_result(served_call_t *served, const store_call_result *result)
{
	rpc_reply(served->call, result);
	served->call = NULL;
}

static unsigned int code_of(const GError *error)
{
	return error ? (unsigned int)error->code + 1 : 0;
}

/* Whether the call still waits for its result. The failure may be the one by which
 * this node loses the store, and ends the other reads. */
static bool note_end(served_call_t *served, const GError *error)
{
	const store_relay_server_options_t *options = &served->server->options;

	leave_reads(served);
	options->ended(options->user_data, error, served->started_us);
	return served->call != NULL;
}

static void on_served(const object_value_t *value, const GError *error,
		      void *user_data)
{
	served_call_t *served = user_data;
	store_call_result result = {
		.error = code_of(error),
		.has_value = value != NULL,
		.writer = (char *)(value && value->writer ? value->writer : ""),
		.data = (char *)(value && value->data ? value->data : ""),
		.revision = value ? value->version : 0,
	};

	if (note_end(served, error))
		send_result(served, &result);
	g_free(served);
}

static void send_listing(served_call_t *served, const object_listing_t *listing,
			 const GError *error)
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
	send_result(served, &result);
	g_free(entries);
}

static void on_served_list(const object_listing_t *listing, const GError *error,
			   void *user_data)
{
	served_call_t *served = user_data;

	if (note_end(served, error))
		send_listing(served, listing, error);
	g_free(served);
}

static served_call_t *served_call_new(store_relay_server_t *server,
				      object_store_t *store, rpc_call_t *call,
				      bool read)
{
	served_call_t *served = g_new0(served_call_t, 1);

	served->server = server;
	served->store = store;
	served->call = call;
	served->started_us = clock_now_us(server->options.clock);
	served->read = read;
	served->link.data = served;
	if (read)
		g_queue_push_tail_link(&server->reads, &served->link);
	return served;
}

static void handle_call(rpc_call_t *call, const void *data, void *user_data)
{
	const store_call_args *args = data;
	store_relay_server_t *server = user_data;
	object_store_t *store = args->stale ? server->options.stale_store :
					      server->options.store;
	bool write =
		args->operation == STORE_PUT || args->operation == STORE_REMOVE;
	served_call_t *served;

	if (args->operation < STORE_GET || args->operation > STORE_WATCH ||
	    (!write && server->reads.length >= STORE_RELAY_READS_MAX) ||
	    !server->options.is_direct(server->options.user_data)) {
		(*server->refused_total)++;
		rpc_reply_unavailable(call);
		return;
	}
	(*server->served_total)++;
	served = served_call_new(server, store, call, !write);
	switch (args->operation) {
	case STORE_GET:
		object_get(store, args->key, on_served, served);
		return;
	case STORE_PUT:
		object_put(store, args->key, args->data.data_val,
			   args->data.data_len, args->revision,
			   *args->writer ? args->writer : NULL, on_served,
			   served);
		return;
	case STORE_REMOVE:
		object_remove(store, args->key, args->revision, on_served,
			      served);
		return;
	case STORE_LIST:
		object_list(store, args->key, *args->after ? args->after : NULL,
			    args->limit, on_served_list, served);
		return;
	case STORE_WATCH:
		object_watch(store, args->key, args->revision,
			     CLAMP(args->timeout_ms, 0, STORE_RELAY_WATCH_MS),
			     on_served_list, served);
		return;
	}
}

void store_relay_server_end_reads(store_relay_server_t *server)
{
	const store_call_result result = {
		.error = WL_ERROR_UNAVAILABLE + 1,
		.writer = (char *)"",
		.data = (char *)"",
	};
	GList *link;

	if (server->reads.length > 0)
		log_info("served_reads_ended", "count=%u",
			 server->reads.length);
	while ((link = g_queue_peek_head_link(&server->reads))) {
		served_call_t *served = link->data;

		(*server->ended_total)++;
		leave_reads(served);
		send_result(served, &result);
		if (object_cancel(served->store, served))
			g_free(served);
	}
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
	g_queue_init(&server->reads);
	server->served_total = counter_get(options->counters, COUNTER_MONOTONIC,
					   "store_calls_served_total", NULL);
	server->refused_total =
		counter_get(options->counters, COUNTER_MONOTONIC,
			    "store_calls_refused_total", NULL);
	server->ended_total = counter_get(options->counters, COUNTER_MONOTONIC,
					  "store_calls_ended_total", NULL);
	rpc_server_register(options->server, &procedure);
	return server;
}
