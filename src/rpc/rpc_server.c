#include "rpc/rpc_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>

#include "base/bev_socket.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/keepalive.h"
#include "base/log.h"
#include "rpc/rpc_auth.h"

/* What a record of empty strings takes when it is decoded, with its copy, for each
 * of its bytes. */
#define DECODE_COST 11
#define LOG_PERIOD_MS 1000

typedef struct peer {
	rpc_server_t *server;
	struct bufferevent *bev;
	GHashTable *calls; /* set of unanswered rpc_call_t */
	rpc_auth_t auth;
	memory_holder_t
		memory; /* for its buffers and a record that is decoded */
	struct evbuffer_cb_entry *input_watch;
	struct evbuffer_cb_entry *output_watch;
	int64_t read_ms; /* last time that something was read */
} peer_t;

struct rpc_server {
	struct event_base *base;
	struct evconnlistener *listener;
	GArray *procedures; /* rpc_procedure_t */
	GHashTable *peers; /* set of peer_t */
	uint16_t port;
	peer_key_t *key; /* NULL: no authentication */
	char *name; /* IP:port, as clients call it */
	memory_budget_t *memory; /* NULL: not limited */
	uint32_t max_peers; /* 0: unlimited */
	int64_t full_logged_ms;
	int64_t *evicted_total; /* NULL: not counted */
};

struct rpc_call {
	peer_t *peer; /* NULL when the connection is gone */
	uint32_t xid;
	uint8_t mac[PEER_KEY_MAC_BYTES]; /* the call's, which the reply needs */
	xdrproc_t encode;
};

static void peer_free(void *data)
{
	peer_t *peer = data;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, peer->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		((rpc_call_t *)key)->peer = NULL;
	g_hash_table_destroy(peer->calls);
	memory_holder_clear(&peer->memory);
	evbuffer_remove_cb_entry(bufferevent_get_input(peer->bev),
				 peer->input_watch);
	evbuffer_remove_cb_entry(bufferevent_get_output(peer->bev),
				 peer->output_watch);
	bev_socket_close(peer->bev);
	bufferevent_free(peer->bev);
	g_free(peer);
}

static const rpc_procedure_t *find_procedure(const rpc_server_t *server,
					     const rpc_call_header_t *header)
{
	for (guint i = 0; i < server->procedures->len; i++) {
		const rpc_procedure_t *p =
			&g_array_index(server->procedures, rpc_procedure_t, i);

		if (p->program == header->program &&
		    p->procedure == header->procedure &&
		    header->version == RPC_VERSION_1)
			return p;
	}
	return NULL;
}

static bool_t xdr_nothing(XDR *xdrs, ...)
{
	return TRUE;
}

static gboolean send_reply(peer_t *peer, uint32_t xid, const uint8_t *mac,
			   uint32_t status, xdrproc_t encode, void *result)
{
	struct evbuffer *output = bufferevent_get_output(peer->bev);
	rpc_reply_header_t header = { xid, status, 0 };
	struct evbuffer *encoded;
	char *record;
	size_t len;
	gboolean ok;

	if (!peer->auth.key)
		return rpc_reply_append(output, &header, encode, result);
	header.verifier_bytes = RPC_AUTH_REPLY_BYTES;
	encoded = evbuffer_new();
	ok = rpc_reply_append(encoded, &header, encode, result) &&
	     rpc_record_take(encoded, &record, &len) == 1;
	if (ok) {
		rpc_auth_sign_reply(&peer->auth, mac, record, len);
		rpc_record_append(output, record, len);
		g_free(record);
	}
	evbuffer_free(encoded);
	return ok;
}

static void reply_status(peer_t *peer, uint32_t xid, const uint8_t *mac,
			 uint32_t status)
{
	send_reply(peer, xid, mac, status, (xdrproc_t)xdr_nothing, NULL);
}

static void execute(peer_t *peer, const rpc_call_header_t *header,
		    const uint8_t *mac, XDR *xdrs)
{
	const rpc_procedure_t *found = find_procedure(peer->server, header);
	rpc_procedure_t procedure;
	rpc_call_t *call;
	void *args;

	if (!found) {
		reply_status(peer, header->xid, mac, PROC_UNAVAIL);
		return;
	}
	procedure = *found;
	args = g_malloc0(procedure.args_size);
	if (!procedure.decode(xdrs, args)) {
		reply_status(peer, header->xid, mac, GARBAGE_ARGS);
	} else {
		call = g_new0(rpc_call_t, 1);
		call->peer = peer;
		call->xid = header->xid;
		memcpy(call->mac, mac, sizeof(call->mac));
		call->encode = procedure.encode;
		g_hash_table_add(peer->calls, call);
		procedure.handler(call, args, procedure.user_data);
	}
	xdr_free(procedure.decode, args);
	g_free(args);
}

static gboolean is_authentic(peer_t *peer, char *record, size_t len,
			     uint8_t *mac)
{
	struct sockaddr_in sin = { 0 };
	char address[INET_ADDRSTRLEN] = "";
	socklen_t sin_len = sizeof(sin);

	if (!peer->auth.key ||
	    rpc_auth_verify_call(&peer->auth, record, len, mac))
		return TRUE;
	getpeername(bufferevent_getfd(peer->bev), (struct sockaddr *)&sin,
		    &sin_len);
	inet_ntop(AF_INET, &sin.sin_addr, address, sizeof(address));
	peer_key_refused(peer->auth.key, "call", address);
	return FALSE;
}

static size_t buffered_bytes(const peer_t *peer)
{
	return evbuffer_get_length(bufferevent_get_input(peer->bev)) +
	       evbuffer_get_length(bufferevent_get_output(peer->bev));
}

/* Whether what has arrived may be decoded. */
static bool has_room(peer_t *peer)
{
	size_t len = evbuffer_get_length(bufferevent_get_input(peer->bev));
	bool room;

	memory_holder_set(&peer->memory,
			  buffered_bytes(peer) + len * DECODE_COST);
	room = memory_holder_make_room(&peer->memory);
	memory_holder_set(&peer->memory, buffered_bytes(peer));
	return room;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	peer_t *peer = arg;
	struct evbuffer *input = bufferevent_get_input(bev);
	char *record;
	size_t len;
	int taken;

	peer->read_ms = clock_now_ms(clock_system());
	if (!has_room(peer)) {
		g_hash_table_remove(peer->server->peers, peer);
		return;
	}
	while ((taken = rpc_record_take(input, &record, &len)) == 1) {
		uint8_t mac[PEER_KEY_MAC_BYTES] = { 0 };
		rpc_call_header_t header;
		gboolean ok = is_authentic(peer, record, len, mac);
		XDR xdrs;

		xdrmem_create(&xdrs, record, len, XDR_DECODE);
		ok = ok && rpc_call_decode(&xdrs, &header);
		if (ok)
			execute(peer, &header, mac, &xdrs);
		xdr_destroy(&xdrs);
		g_free(record);
		if (!ok) {
			taken = -1;
			break;
		}
	}
	if (taken < 0)
		g_hash_table_remove(peer->server->peers, peer);
}

static void on_event(struct bufferevent *bev, short events, void *arg)
{
	peer_t *peer = arg;

	g_hash_table_remove(peer->server->peers, peer);
}

static void on_buffer(struct evbuffer *buffer,
		      const struct evbuffer_cb_info *info, void *arg)
{
	peer_t *peer = arg;

	memory_holder_set(&peer->memory, buffered_bytes(peer));
}

static void on_give_way(void *user_data)
{
	peer_t *peer = user_data;

	g_hash_table_remove(peer->server->peers, peer);
}

/* Returns false if all connections have calls. */
static bool evict(rpc_server_t *server)
{
	int64_t now_ms = clock_now_ms(clock_system());
	peer_t *found = NULL;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, server->peers);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		peer_t *peer = key;

		if (g_hash_table_size(peer->calls) == 0 &&
		    (!found || peer->read_ms < found->read_ms))
			found = peer;
	}
	if (now_ms - server->full_logged_ms >= LOG_PERIOD_MS) {
		server->full_logged_ms = now_ms;
		log_warn("peers_full", "port=%u max=%u closed=%d", server->port,
			 server->max_peers, found != NULL);
	}
	if (server->evicted_total)
		(*server->evicted_total)++;
	if (!found)
		return false;
	g_hash_table_remove(server->peers, found);
	return true;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *arg)
{
	rpc_server_t *server = arg;
	peer_t *peer;

	if (server->max_peers &&
	    g_hash_table_size(server->peers) >= server->max_peers &&
	    !evict(server)) {
		evutil_closesocket(fd);
		return;
	}
	peer = g_new0(peer_t, 1);
	keepalive_enable(fd);
	peer->server = server;
	peer->calls = g_hash_table_new(NULL, NULL);
	peer->bev = bufferevent_socket_new(server->base, fd,
					   BEV_OPT_CLOSE_ON_FREE |
						   BEV_OPT_DEFER_CALLBACKS);
	memory_holder_init(&peer->memory, server->memory, "peer", on_give_way,
			   peer);
	memory_holder_set_receiving(&peer->memory, true);
	peer->read_ms = clock_now_ms(clock_system());
	peer->input_watch = evbuffer_add_cb(bufferevent_get_input(peer->bev),
					    on_buffer, peer);
	peer->output_watch = evbuffer_add_cb(bufferevent_get_output(peer->bev),
					     on_buffer, peer);
	bufferevent_setcb(peer->bev, on_read, NULL, on_event, peer);
	bufferevent_enable(peer->bev, EV_READ | EV_WRITE);
	peer->auth.key = server->key;
	peer->auth.server = server->name;
	if (server->key)
		rpc_auth_hello_append(&peer->auth,
				      bufferevent_get_output(peer->bev));
	g_hash_table_add(server->peers, peer);
}

rpc_server_t *rpc_server_new(struct event_base *base, const char *address,
			     uint16_t port, peer_key_t *key, GError **error)
{
	rpc_server_t *server = g_new0(rpc_server_t, 1);
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);

	sin.sin_port = htons(port);
	if (inet_pton(AF_INET, address, &sin.sin_addr) != 1) {
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
			    "'%s' is not an IP number", address);
		g_free(server);
		return NULL;
	}
	server->base = base;
	server->listener = evconnlistener_new_bind(
		base, on_accept, server,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		-1, (struct sockaddr *)&sin, sizeof(sin));
	if (!server->listener) {
		g_set_error(error, WL_ERROR, WL_ERROR_UNAVAILABLE,
			    "cannot listen on %s:%u: %s", address, port,
			    g_strerror(errno));
		g_free(server);
		return NULL;
	}
	getsockname(evconnlistener_get_fd(server->listener),
		    (struct sockaddr *)&sin, &len);
	server->port = ntohs(sin.sin_port);
	server->key = key;
	server->name = g_strdup_printf("%s:%u", address, server->port);
	server->procedures = g_array_new(FALSE, FALSE, sizeof(rpc_procedure_t));
	server->peers = g_hash_table_new_full(NULL, NULL, peer_free, NULL);
	return server;
}

void rpc_server_free(rpc_server_t *server)
{
	if (!server)
		return;
	evconnlistener_free(server->listener);
	g_hash_table_destroy(server->peers);
	g_array_free(server->procedures, TRUE);
	g_free(server->name);
	g_free(server);
}

void rpc_server_count(rpc_server_t *server, counter_set_t *counters)
{
	server->evicted_total = counter_get(counters, COUNTER_MONOTONIC,
					    "peers_evicted_total", NULL);
}

void rpc_server_set_limits(rpc_server_t *server, uint32_t max_peers,
			   memory_budget_t *memory)
{
	server->max_peers = max_peers;
	server->memory = memory;
}

uint16_t rpc_server_port(const rpc_server_t *server)
{
	return server->port;
}

void rpc_server_register(rpc_server_t *server, const rpc_procedure_t *procedure)
{
	g_array_append_val(server->procedures, *procedure);
}

static peer_t *call_detach(rpc_call_t *call)
{
	peer_t *peer = call->peer;

	if (peer)
		g_hash_table_remove(peer->calls, call);
	return peer;
}

void rpc_reply(rpc_call_t *call, const void *result)
{
	peer_t *peer = call_detach(call);

	if (peer && !send_reply(peer, call->xid, call->mac, SUCCESS,
				call->encode, (void *)result))
		reply_status(peer, call->xid, call->mac, SYSTEM_ERR);
	g_free(call);
}

void rpc_reply_unavailable(rpc_call_t *call)
{
	peer_t *peer = call_detach(call);

	if (peer)
		reply_status(peer, call->xid, call->mac, PROC_UNAVAIL);
	g_free(call);
}
