#include "rpc/rpc_client.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/util.h>
#include <string.h>

#include "base/error.h"
#include "base/keepalive.h"
#include "rpc/rpc_auth.h"

typedef struct connection {
	rpc_client_t *client;
	char *address;
	struct bufferevent *bev;
	GHashTable *calls; /* xid -> pending_call_t */
	rpc_auth_t auth;
	struct evbuffer *unsigned_calls; /* until the server's nonce comes */
	gboolean connected;
	gboolean greeted; /* the server's nonce is there */
} connection_t;

struct rpc_client {
	struct event_base *base;
	peer_key_t *key; /* NULL: no authentication */
	GHashTable *connections; /* address -> connection_t */
	uint32_t next_xid;
};

typedef struct pending_call {
	connection_t *connection; /* NULL: failed before it was sent */
	struct event *timer;
	uint32_t xid;
	uint8_t mac[PEER_KEY_MAC_BYTES];
	xdrproc_t decode;
	size_t result_size;
	rpc_done_t done;
	void *user_data;
	GError *start_error;
} pending_call_t;

static void call_free(void *data)
{
	pending_call_t *call = data;

	event_free(call->timer);
	g_clear_error(&call->start_error);
	g_free(call);
}

static void connection_free(void *data)
{
	connection_t *connection = data;

	g_hash_table_destroy(connection->calls);
	bufferevent_free(connection->bev);
	evbuffer_free(connection->unsigned_calls);
	g_free(connection->address);
	g_free(connection);
}

rpc_client_t *rpc_client_new(struct event_base *base, peer_key_t *key)
{
	rpc_client_t *client = g_new0(rpc_client_t, 1);

	client->base = base;
	client->key = key;
	client->connections = g_hash_table_new_full(g_str_hash, g_str_equal,
						    NULL, connection_free);
	return client;
}

void rpc_client_free(rpc_client_t *client)
{
	if (!client)
		return;
	g_hash_table_destroy(client->connections);
	g_free(client);
}

static void fail_call(pending_call_t *call, error_code_t code,
		      const char *message)
{
	GError *error = g_error_new_literal(WL_ERROR, (gint)code, message);

	call->done(NULL, error, call->user_data);
	g_error_free(error);
	call_free(call);
}

static void finish_call(pending_call_t *call, XDR *xdrs, uint32_t status)
{
	xdrproc_t decode = call->decode;
	void *result;

	if (status == GARBAGE_ARGS) {
		fail_call(call, WL_ERROR_INVALID,
			  "the peer could not decode the arguments");
		return;
	}
	if (status != SUCCESS) {
		fail_call(call, WL_ERROR_UNAVAILABLE,
			  "the peer did not execute the call");
		return;
	}
	result = g_malloc0(call->result_size);
	if (decode(xdrs, result)) {
		call->done(result, NULL, call->user_data);
		call_free(call);
	} else {
		fail_call(call, WL_ERROR_PROTOCOL,
			  "the peer's result cannot be decoded");
	}
	xdr_free(decode, result);
	g_free(result);
}

/* Detaches the connection first, so that a completion may call again. */
static void connection_lost(connection_t *connection)
{
	rpc_client_t *client = connection->client;
	gboolean sent = connection->client->key ? connection->greeted :
						  connection->connected;
	GHashTableIter iter;
	void *value;

	g_hash_table_steal(client->connections, connection->address);
	g_hash_table_iter_init(&iter, connection->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		g_hash_table_iter_steal(&iter);
		fail_call(value, sent ? WL_ERROR_TRUNCATED : WL_ERROR_REFUSED,
			  sent ? "the connection to the peer broke" :
				 "the peer is not reachable");
		g_hash_table_iter_init(&iter, connection->calls);
	}
	connection_free(connection);
}

static void on_event(struct bufferevent *bev, short events, void *arg)
{
	connection_t *connection = arg;

	if (events & BEV_EVENT_CONNECTED) {
		connection->connected = TRUE;
		return;
	}
	connection_lost(connection);
}

static pending_call_t *find_call(const connection_t *connection,
				 const char *record, size_t len)
{
	uint32_t xid;

	if (len < sizeof(xid))
		return NULL;
	memcpy(&xid, record, sizeof(xid));
	return g_hash_table_lookup(connection->calls,
				   GUINT_TO_POINTER(ntohl(xid)));
}

/* Sends the calls that waited for the server's nonce. */
static gboolean on_greeting(connection_t *connection, char *record, size_t len)
{
	struct evbuffer *output = bufferevent_get_output(connection->bev);
	char *waiting;

	if (!rpc_auth_hello_take(&connection->auth, record, len))
		return FALSE;
	connection->greeted = TRUE;
	while (rpc_record_take(connection->unsigned_calls, &waiting, &len) ==
	       1) {
		pending_call_t *call = find_call(connection, waiting, len);

		/* One that has timed out is not sent any more. */
		if (call) {
			rpc_auth_sign_call(&connection->auth, waiting, len,
					   call->mac);
			rpc_record_append(output, waiting, len);
		}
		g_free(waiting);
	}
	return TRUE;
}

/* FALSE when the connection is of no use. */
static gboolean on_record(connection_t *connection, char *record, size_t len)
{
	peer_key_t *key = connection->client->key;
	rpc_reply_header_t header;
	pending_call_t *call;
	XDR xdrs;

	if (key && !connection->greeted) {
		if (on_greeting(connection, record, len))
			return TRUE;
		peer_key_refused(key, "greeting", connection->address);
		return FALSE;
	}
	/* A late reply finds no call any more and is dropped. */
	call = find_call(connection, record, len);
	if (!call)
		return TRUE;
	if (key &&
	    !rpc_auth_verify_reply(&connection->auth, call->mac, record, len)) {
		peer_key_refused(key, "reply", connection->address);
		return FALSE;
	}
	xdrmem_create(&xdrs, record, (u_int)len, XDR_DECODE);
	if (rpc_reply_decode(&xdrs, &header)) {
		g_hash_table_steal(connection->calls,
				   GUINT_TO_POINTER(header.xid));
		finish_call(call, &xdrs, header.accept_status);
	}
	xdr_destroy(&xdrs);
	return TRUE;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	connection_t *connection = arg;
	struct evbuffer *input = bufferevent_get_input(bev);
	char *record;
	size_t len;
	int taken;

	while ((taken = rpc_record_take(input, &record, &len)) == 1) {
		gboolean ok = on_record(connection, record, len);

		g_free(record);
		if (!ok) {
			taken = -1;
			break;
		}
	}
	if (taken < 0)
		connection_lost(connection);
}

static connection_t *connection_get(rpc_client_t *client, const char *address)
{
	connection_t *connection =
		g_hash_table_lookup(client->connections, address);
	struct sockaddr_storage storage;
	int len = sizeof(storage);

	if (connection)
		return connection;
	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&storage,
				       &len) != 0)
		return NULL;
	connection = g_new0(connection_t, 1);
	connection->client = client;
	connection->address = g_strdup(address);
	connection->calls = g_hash_table_new_full(NULL, NULL, NULL, call_free);
	connection->unsigned_calls = evbuffer_new();
	connection->auth.key = client->key;
	connection->auth.server = connection->address;
	if (client->key)
		peer_key_nonce(connection->auth.client_nonce);
	connection->bev = bufferevent_socket_new(
		client->base, -1,
		BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(connection->bev, on_read, NULL, on_event, connection);
	bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
	g_hash_table_insert(client->connections, connection->address,
			    connection);
	if (bufferevent_socket_connect(connection->bev,
				       (struct sockaddr *)&storage, len) != 0) {
		g_hash_table_remove(client->connections, address);
		return NULL;
	}
	keepalive_enable(bufferevent_getfd(connection->bev));
	return connection;
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	pending_call_t *call = arg;

	if (call->start_error) {
		call->done(NULL, call->start_error, call->user_data);
		call_free(call);
		return;
	}
	/* Without a connection yet, the bytes may still go out later. */
	g_hash_table_steal(call->connection->calls,
			   GUINT_TO_POINTER(call->xid));
	fail_call(call, WL_ERROR_TIMEOUT, "the peer did not answer in time");
}

static gboolean send_call(pending_call_t *call, const rpc_call_header_t *header,
			  const rpc_call_options_t *options)
{
	connection_t *connection = call->connection;
	struct evbuffer *output = bufferevent_get_output(connection->bev);
	struct evbuffer *encoded = connection->unsigned_calls;
	char *record;
	size_t len;

	if (!connection->client->key)
		return rpc_call_append(output, header, options->encode,
				       (void *)options->args);
	if (!rpc_call_append(encoded, header, options->encode,
			     (void *)options->args))
		return FALSE;
	if (!connection->greeted)
		return TRUE;
	rpc_record_take(encoded, &record, &len);
	rpc_auth_sign_call(&connection->auth, record, len, call->mac);
	rpc_record_append(output, record, len);
	g_free(record);
	return TRUE;
}

void rpc_client_call(rpc_client_t *client, const rpc_call_options_t *options)
{
	pending_call_t *call = g_new0(pending_call_t, 1);
	struct timeval timeout = { options->timeout_ms / 1000,
				   options->timeout_ms % 1000 * 1000 };
	rpc_call_header_t header = { 0 };

	call->xid = ++client->next_xid;
	call->decode = options->decode;
	call->result_size = options->result_size;
	call->done = options->done;
	call->user_data = options->user_data;
	call->timer = evtimer_new(client->base, on_timer, call);
	call->connection = connection_get(client, options->address);
	header.xid = call->xid;
	header.program = options->program;
	header.version = RPC_VERSION_1;
	header.procedure = options->procedure;
	header.verifier_bytes = client->key ? RPC_AUTH_CALL_BYTES : 0;
	if (!call->connection)
		call->start_error =
			g_error_new(WL_ERROR, WL_ERROR_REFUSED,
				    "cannot connect to %s", options->address);
	else if (!send_call(call, &header, options))
		call->start_error = g_error_new(WL_ERROR, WL_ERROR_INVALID,
						"the call cannot be encoded");
	if (call->start_error)
		timeout = (struct timeval){ 0, 0 };
	else
		g_hash_table_insert(call->connection->calls,
				    GUINT_TO_POINTER(call->xid), call);
	evtimer_add(call->timer, &timeout);
}
