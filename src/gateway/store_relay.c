#include "gateway/store_relay.h"

#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "gateway/store_relay_server.h"
#include "rpc/store_xdr.h"

/* A single lost or refused call is not evidence of an outage. */
#define FAILURES_BEFORE_RELAY 2
/* While calls go through other nodes, a call to the store itself finds out this
 * long after the last one whether it answers again. */
#define PROBE_MS 500
#define CALL_TIMEOUT_MS 1200
#define WATCH_GRACE_MS 1500
#define ADDRESS_BYTES 64

/* One of the two stores that this module offers. */
typedef struct relay_store {
	object_store_t base; /* first member */
	store_relay_t *relay;
	object_store_t *direct;
	bool stale;
} relay_store_t;

struct store_relay {
	store_relay_options_t options;
	relay_store_t store;
	relay_store_t stale_store;
	uint32_t failures; /* consecutive */
	/* Start of the last call that the store itself has answered. */
	int64_t answered_us;
	int64_t direct_us; /* start of the last call to the store itself */
	bool probing;
	/* Prefix -> address of the node through which it was last listed or
	 * watched; "": the store itself. */
	GHashTable *sources;
	store_relay_server_t *server; /* of calls of other nodes */
	GQueue reads; /* own_call_t, in progress */
	int64_t *relayed_total;
	int64_t *recalled_total;
};

typedef struct own_call own_call_t;

/* The part of a call that another node makes. */
typedef struct relayed_leg {
	own_call_t *call; /* NULL: its answer is not awaited any more */
} relayed_leg_t;

/* A call of this node, direct or relayed. */
struct own_call {
	const relay_store_t *store;
	store_operation operation;
	char *key;
	char *after; /* of a listing */
	uint32_t limit; /* the same */
	uint64_t since; /* of a watch */
	int32_t timeout_ms; /* the same */
	object_done_t done;
	object_list_done_t list_done;
	void *user_data;
	int64_t started_us;
	relayed_leg_t *leg; /* NULL: direct */
	GList link; /* in the relay's reads, if it is one in progress */
	bool listed; /* there */
};

static bool is_read(const own_call_t *call)
{
	return call->operation == STORE_GET || call->operation == STORE_LIST ||
	       call->operation == STORE_WATCH;
}

static own_call_t *own_call_new(const relay_store_t *store,
				store_operation operation, const char *key,
				void *user_data)
{
	own_call_t *call = g_new0(own_call_t, 1);

	call->store = store;
	call->operation = operation;
	call->key = g_strdup(key);
	call->user_data = user_data;
	call->link.data = call;
	call->listed = is_read(call);
	if (call->listed)
		g_queue_push_tail_link(&store->relay->reads, &call->link);
	return call;
}

/* Its completion is about to run, or never will. */
static void leave_reads(own_call_t *call)
{
	if (call->listed)
		g_queue_unlink(&call->store->relay->reads, &call->link);
	call->listed = false;
}

static void own_call_free(own_call_t *call)
{
	leave_reads(call);
	g_free(call->key);
	g_free(call->after);
	g_free(call);
}

/* Its answer from another node has come, or is not awaited any more. */
static void detach_leg(own_call_t *call)
{
	call->leg->call = NULL;
	call->leg = NULL;
}

bool store_relay_is_direct(const store_relay_t *relay)
{
	return relay->failures < FAILURES_BEFORE_RELAY;
}

/* Errors that mean that the store does not serve this node now. */
static bool is_out_of_contact(const GError *error)
{
	if (!error)
		return false;
	return error->code == WL_ERROR_UNAVAILABLE ||
	       error->code == WL_ERROR_RATE_LIMITED ||
	       error->code == WL_ERROR_REFUSED ||
	       error->code == WL_ERROR_TIMEOUT ||
	       error->code == WL_ERROR_TRUNCATED;
}

static void recall_reads(store_relay_t *relay);

/* A failure tells nothing if a call that started later has been answered, such as
 * that of a watch that was waiting when a short outage began. */
static void note_direct(store_relay_t *relay, const GError *error,
			int64_t started_us)
{
	bool was_direct = store_relay_is_direct(relay);

	if (!is_out_of_contact(error)) {
		relay->failures = 0;
		relay->answered_us = MAX(relay->answered_us, started_us);
	} else if (started_us >= relay->answered_us) {
		relay->failures++;
	}
	if (was_direct == store_relay_is_direct(relay))
		return;
	log_info("store_contact", "direct=%d failures=%u error=%s", !was_direct,
		 relay->failures, error ? error_name(error->code) : "-");
	if (!was_direct)
		recall_reads(relay);
	else
		store_relay_server_end_reads(relay->server);
}

static void on_direct(const object_value_t *value, const GError *error,
		      void *user_data)
{
	own_call_t *call = user_data;

	leave_reads(call);
	note_direct(call->store->relay, error, call->started_us);
	call->done(value, error, call->user_data);
	own_call_free(call);
}

static void on_direct_list(const object_listing_t *listing, const GError *error,
			   void *user_data)
{
	own_call_t *call = user_data;

	leave_reads(call);
	note_direct(call->store->relay, error, call->started_us);
	call->list_done(listing, error, call->user_data);
	own_call_free(call);
}

static GError *error_of(const store_call_result *result)
{
	if (result->error == 0)
		return NULL;
	return g_error_new(WL_ERROR, (int)result->error - 1,
			   "relayed store call failed at another node");
}

/* Returns the call, or NULL when the answer is not awaited any more. */
static own_call_t *end_leg(relayed_leg_t *leg)
{
	own_call_t *call = leg->call;

	if (call) {
		detach_leg(call);
		leave_reads(call);
	}
	g_free(leg);
	return call;
}

static void on_relayed(const void *data, const GError *error, void *user_data)
{
	const store_call_result *result = data;
	own_call_t *call = end_leg(user_data);
	GError *answer = error ? NULL : error_of(result);
	object_value_t value = { 0 };

	if (!call) {
		g_clear_error(&answer);
		return;
	}
	value.key = call->key;
	if (!error && result->has_value) {
		value.version = result->revision;
		value.writer = result->writer;
		value.data = result->data;
		value.len = strlen(result->data);
	}
	call->done(!error && result->has_value ? &value : NULL,
		   error ? error : answer, call->user_data);
	g_clear_error(&answer);
	own_call_free(call);
}

static void on_relayed_list(const void *data, const GError *error,
			    void *user_data)
{
	const store_call_result *result = data;
	own_call_t *call = end_leg(user_data);
	GError *answer = error ? NULL : error_of(result);
	object_listing_t listing = { 0 };

	if (!call) {
		g_clear_error(&answer);
		return;
	}
	if (error || answer) {
		call->list_done(NULL, error ? error : answer, call->user_data);
		g_clear_error(&answer);
		own_call_free(call);
		return;
	}
	listing.revision = result->revision;
	listing.more = result->more;
	listing.entries = g_array_new(FALSE, TRUE, sizeof(object_entry_t));
	for (u_int i = 0; i < result->entries.entries_len; i++) {
		const store_call_entry *from = &result->entries.entries_val[i];
		/* Its strings belong to the result. */
		const object_entry_t entry = { from->key, from->revision,
					       from->deleted, from->data };

		g_array_append_val(listing.entries, entry);
	}
	call->list_done(&listing, NULL, call->user_data);
	g_array_free(listing.entries, TRUE);
	own_call_free(call);
}

/* Whether a call goes to another node, whose address is then stored. */
static bool takes_relay(const store_relay_t *relay, char *address)
{
	return !store_relay_is_direct(relay) &&
	       relay->options.find_peer(relay->options.user_data, address,
					ADDRESS_BYTES);
}

/* Records through whom a view is read; address is "" for the store itself. */
static void note_source(store_relay_t *relay, const char *operation,
			const char *prefix, const char *address)
{
	const char *former = g_hash_table_lookup(relay->sources, prefix);

	if (former && strcmp(former, address) == 0)
		return;
	log_info("view_source", "prefix=%s source=%s former=%s operation=%s",
		 prefix, *address ? address : "store",
		 former && *former ? former : "store", operation);
	g_hash_table_insert(relay->sources, g_strdup(prefix),
			    g_strdup(address));
}

static void send_call(own_call_t *call, const char *address,
		      store_call_args *args)
{
	store_relay_t *relay = call->store->relay;
	bool lists = call->list_done != NULL;
	rpc_call_options_t options = {
		.address = address,
		.program = PEER_PROGRAM,
		.procedure = PEER_STORE_CALL,
		.encode = (xdrproc_t)xdr_store_call_args,
		.args = args,
		.decode = (xdrproc_t)xdr_store_call_result,
		.result_size = sizeof(store_call_result),
		.timeout_ms = args->operation == STORE_WATCH ?
				      args->timeout_ms + WATCH_GRACE_MS :
				      CALL_TIMEOUT_MS,
		.done = lists ? on_relayed_list : on_relayed,
	};

	call->leg = g_new0(relayed_leg_t, 1);
	call->leg->call = call;
	options.user_data = call->leg;
	(*relay->relayed_total)++;
	rpc_client_call(relay->options.client, &options);
}

static const char *operation_name(store_operation operation)
{
	static const char *const names[] = {
		[STORE_GET] = "get",	   [STORE_PUT] = "put",
		[STORE_REMOVE] = "remove", [STORE_LIST] = "list",
		[STORE_WATCH] = "watch",
	};

	return names[operation];
}

/* Counts a call to the store itself, as each one is charged. */
static void begin_direct(own_call_t *call)
{
	char *labels = g_strdup_printf(
		"operation=\"%s\",kind=\"%.*s\",stale=\"%d\"",
		operation_name(call->operation), (int)strcspn(call->key, "/"),
		call->key, call->store->stale);

	(*counter_get(call->store->relay->options.counters, COUNTER_MONOTONIC,
		      "store_calls_total", labels))++;
	g_free(labels);
	call->started_us = clock_now_us(call->store->relay->options.clock);
	call->store->relay->direct_us = call->started_us;
}

/* Makes a read of the store itself. */
static void read_directly(own_call_t *call)
{
	object_store_t *store = call->store->direct;

	begin_direct(call);
	if (call->list_done)
		note_source(call->store->relay, operation_name(call->operation),
			    call->key, "");
	switch (call->operation) {
	case STORE_LIST:
		object_list(store, call->key, call->after, call->limit,
			    on_direct_list, call);
		return;
	case STORE_WATCH:
		object_watch(store, call->key, call->since, call->timeout_ms,
			     on_direct_list, call);
		return;
	default:
		object_get(store, call->key, on_direct, call);
	}
}

static own_call_t *first_relayed_read(const store_relay_t *relay)
{
	for (GList *link = relay->reads.head; link; link = link->next)
		if (((own_call_t *)link->data)->leg)
			return link->data;
	return NULL;
}

/* Makes the reads itself that other nodes make for this one. These may have lost
 * the store meanwhile, or stand still. */
static void recall_reads(store_relay_t *relay)
{
	own_call_t *call;

	while ((call = first_relayed_read(relay))) {
		detach_leg(call);
		(*relay->recalled_total)++;
		read_directly(call);
	}
}

static bool relay_cancel(object_store_t *base, void *user_data)
{
	store_relay_t *relay = ((relay_store_t *)base)->relay;

	for (GList *link = relay->reads.head; link; link = link->next) {
		own_call_t *call = link->data;

		if (call->user_data != user_data)
			continue;
		if (call->leg)
			detach_leg(call);
		else if (!object_cancel(call->store->direct, call))
			return false;
		own_call_free(call);
		return true;
	}
	return false;
}

static void on_probed(const object_value_t *value, const GError *error,
		      void *user_data)
{
	store_relay_t *relay = user_data;

	relay->probing = false;
}

void store_relay_tick(store_relay_t *relay)
{
	int64_t now_us = clock_now_us(relay->options.clock);
	own_call_t *call;

	if (store_relay_is_direct(relay) || relay->probing ||
	    now_us - relay->direct_us < PROBE_MS * 1000)
		return;
	relay->probing = true;
	call = own_call_new(&relay->store, STORE_GET, relay->options.probe_key,
			    relay);
	call->done = on_probed;
	read_directly(call);
}

static store_call_args args_of(const own_call_t *call)
{
	return (store_call_args){
		.operation = call->operation,
		.stale = call->store->stale,
		.key = call->key,
		.after = call->after ? call->after : (char *)"",
		.writer = (char *)"",
		.limit = call->limit,
		.revision = call->since,
		.timeout_ms = MIN(call->timeout_ms, STORE_RELAY_WATCH_MS),
	};
}

/* Makes a read of the store itself or through another node. */
static void start_read(own_call_t *call)
{
	store_relay_t *relay = call->store->relay;
	store_call_args args = args_of(call);
	char address[ADDRESS_BYTES];

	if (!takes_relay(relay, address)) {
		read_directly(call);
		return;
	}
	if (call->list_done)
		note_source(relay, operation_name(call->operation), call->key,
			    address);
	send_call(call, address, &args);
}

static void relay_get(object_store_t *base, const char *key, object_done_t done,
		      void *user_data)
{
	own_call_t *call =
		own_call_new((relay_store_t *)base, STORE_GET, key, user_data);

	call->done = done;
	start_read(call);
}

static void relay_list(object_store_t *base, const char *prefix,
		       const char *after, uint32_t limit,
		       object_list_done_t done, void *user_data)
{
	own_call_t *call = own_call_new((relay_store_t *)base, STORE_LIST,
					prefix, user_data);

	call->list_done = done;
	call->after = g_strdup(after);
	call->limit = limit;
	start_read(call);
}

static void relay_watch(object_store_t *base, const char *prefix,
			uint64_t since, int32_t timeout_ms,
			object_list_done_t done, void *user_data)
{
	own_call_t *call = own_call_new((relay_store_t *)base, STORE_WATCH,
					prefix, user_data);

	call->list_done = done;
	call->since = since;
	call->timeout_ms = timeout_ms;
	start_read(call);
}

static void relay_put(object_store_t *base, const char *key, const void *data,
		      size_t len, uint64_t if_version, const char *writer,
		      object_done_t done, void *user_data)
{
	own_call_t *call =
		own_call_new((relay_store_t *)base, STORE_PUT, key, user_data);
	store_call_args args = args_of(call);
	char address[ADDRESS_BYTES];

	call->done = done;
	args.revision = if_version;
	args.writer = (char *)(writer ? writer : "");
	args.data.data_val = (char *)data;
	args.data.data_len = (u_int)len;
	if (takes_relay(call->store->relay, address)) {
		send_call(call, address, &args);
		return;
	}
	begin_direct(call);
	object_put(call->store->direct, key, data, len, if_version, writer,
		   on_direct, call);
}

static void relay_remove(object_store_t *base, const char *key,
			 uint64_t if_version, object_done_t done,
			 void *user_data)
{
	own_call_t *call = own_call_new((relay_store_t *)base, STORE_REMOVE,
					key, user_data);
	store_call_args args = args_of(call);
	char address[ADDRESS_BYTES];

	call->done = done;
	args.revision = if_version;
	if (takes_relay(call->store->relay, address)) {
		send_call(call, address, &args);
		return;
	}
	begin_direct(call);
	object_remove(call->store->direct, key, if_version, on_direct, call);
}

static const object_store_ops_t relay_ops = {
	.get = relay_get,
	.put = relay_put,
	.remove = relay_remove,
	.list = relay_list,
	.watch = relay_watch,
	.cancel = relay_cancel,
};

static bool serves_others(void *user_data)
{
	return store_relay_is_direct(user_data);
}

static void on_served_end(void *user_data, const GError *error,
			  int64_t started_us)
{
	note_direct(user_data, error, started_us);
}

static void init_store(relay_store_t *store, store_relay_t *relay,
		       object_store_t *direct, bool stale)
{
	store->base.ops = &relay_ops;
	store->relay = relay;
	store->direct = direct;
	store->stale = stale;
}

store_relay_t *store_relay_new(const store_relay_options_t *options)
{
	store_relay_t *relay = g_new0(store_relay_t, 1);
	const store_relay_server_options_t server = {
		.server = options->server,
		.store = options->store,
		.stale_store = options->stale_store,
		.clock = options->clock,
		.counters = options->counters,
		.is_direct = serves_others,
		.ended = on_served_end,
		.user_data = relay,
	};

	relay->options = *options;
	relay->sources =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&relay->reads);
	relay->recalled_total =
		counter_get(options->counters, COUNTER_MONOTONIC,
			    "store_calls_recalled_total", NULL);
	relay->relayed_total = counter_get(options->counters, COUNTER_MONOTONIC,
					   "store_calls_relayed_total", NULL);
	init_store(&relay->store, relay, options->store, false);
	init_store(&relay->stale_store, relay, options->stale_store, true);
	relay->server = store_relay_server_new(&server);
	return relay;
}

const char *store_relay_source(const store_relay_t *relay, const char *prefix)
{
	const char *address = g_hash_table_lookup(relay->sources, prefix);

	return address && *address ? address : NULL;
}

object_store_t *store_relay_store(store_relay_t *relay)
{
	return &relay->store.base;
}

object_store_t *store_relay_stale_store(store_relay_t *relay)
{
	return &relay->stale_store.base;
}
