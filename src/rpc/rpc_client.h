#ifndef WASABILINK_RPC_RPC_CLIENT_H
#define WASABILINK_RPC_RPC_CLIENT_H

#include <event2/event.h>
#include <glib.h>
#include <rpc/rpc.h>
#include <stdint.h>

#include "rpc/peer_key.h"

/*
 * rpc_client - asynchronous ONC RPC calls, one kept connection per address.
 *
 * The completion runs exactly once, never before rpc_client_call() returns.
 * Errors: WL_ERROR_REFUSED when the call was certainly not sent,
 * WL_ERROR_TIMEOUT and WL_ERROR_TRUNCATED when its effect is unknown,
 * WL_ERROR_PROTOCOL and WL_ERROR_INVALID for messages that cannot be decoded
 * or encoded, WL_ERROR_UNAVAILABLE when the peer does not offer the procedure
 * or reports that it did not execute the call.
 */
typedef struct rpc_client rpc_client_t;

/* result is valid during the call and freed by xdr_free afterwards. */
typedef void (*rpc_done_t)(const void *result, const GError *error,
			   void *user_data);

typedef struct rpc_call_options {
	const char *address; /* IP:port */
	uint32_t program;
	uint32_t procedure;
	xdrproc_t encode;
	const void *args;
	xdrproc_t decode;
	size_t result_size;
	int32_t timeout_ms;
	rpc_done_t done;
	void *user_data;
} rpc_call_options_t;

/* key signs calls and verifies replies; NULL: neither. It is borrowed. */
rpc_client_t *rpc_client_new(struct event_base *base, peer_key_t *key);
/* Drops pending calls without their completions. */
void rpc_client_free(rpc_client_t *client);
void rpc_client_call(rpc_client_t *client, const rpc_call_options_t *options);

#endif
