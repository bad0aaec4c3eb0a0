#ifndef WASABILINK_RPC_RPC_SERVER_H
#define WASABILINK_RPC_RPC_SERVER_H

#include <event2/event.h>
#include <glib.h>
#include <rpc/rpc.h>
#include <stdint.h>

#include "base/counter.h"
#include "base/memory_budget.h"
#include "rpc/peer_key.h"

/*
 * rpc_server - asynchronous ONC RPC server.
 *
 * A handler answers each call exactly once, now or later, by rpc_reply() or
 * rpc_reply_unavailable(). Arguments are valid until the handler returns.
 * Answering a call whose connection is gone is allowed and does nothing.
 */
typedef struct rpc_server rpc_server_t;
typedef struct rpc_call rpc_call_t;

typedef void (*rpc_handler_t)(rpc_call_t *call, const void *args,
			      void *user_data);

typedef struct rpc_procedure {
	uint32_t program;
	uint32_t procedure;
	xdrproc_t decode;
	size_t args_size;
	xdrproc_t encode;
	rpc_handler_t handler;
	void *user_data;
} rpc_procedure_t;

/* key verifies calls and signs replies; NULL: neither. It is borrowed. */
rpc_server_t *rpc_server_new(struct event_base *base, const char *address,
			     uint16_t port, peer_key_t *key, GError **error);
void rpc_server_free(rpc_server_t *server);
/*
 * Counts peers_evicted_total, connections closed for new ones or not taken, from
 * now on.
 */
void rpc_server_count(rpc_server_t *server, counter_set_t *counters);
/*
 * Limits what peers make the process keep, before the first connection. Above
 * max_peers (0: unlimited) the connection without calls that has been silent for
 * longest is closed for a new one, or the new one if there is none. memory counts
 * records that arrive and what is decoded of them, NULL: not limited.
 */
void rpc_server_set_limits(rpc_server_t *server, uint32_t max_peers,
			   memory_budget_t *memory);
uint16_t rpc_server_port(const rpc_server_t *server);
void rpc_server_register(rpc_server_t *server,
			 const rpc_procedure_t *procedure);

void rpc_reply(rpc_call_t *call, const void *result);
/* Tells the caller that the call was not executed. */
void rpc_reply_unavailable(rpc_call_t *call);

#endif
