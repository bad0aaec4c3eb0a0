#ifndef WASABILINK_RPC_RPC_AUTH_H
#define WASABILINK_RPC_RPC_AUTH_H

#include "rpc/peer_key.h"
#include "rpc/rpc_message.h"

/*
 * rpc_auth - authentic ONC RPC records between nodes that share a key.
 *
 * A server opens each connection with a one-way call (RFC 5531 section 8.4.1)
 * that carries a random nonce. Each call's verifier holds the client's nonce
 * and an HMAC over the record, the server's nonce and the server's address;
 * each reply's verifier an HMAC over the record and the call's HMAC. So
 * neither can be replayed, sent to another server, or answer another call.
 * Against replay within a connection xids must increase.
 *
 * The verifiers stand at fixed places, because credentials are empty.
 */
#define RPC_AUTH_FLAVOR 0x20000770U
#define RPC_AUTH_PROGRAM 0x20000777U
#define RPC_AUTH_HELLO 1U
#define RPC_AUTH_CALL_BYTES (PEER_KEY_NONCE_BYTES + PEER_KEY_MAC_BYTES)
#define RPC_AUTH_REPLY_BYTES PEER_KEY_MAC_BYTES

/* One side's state of a connection. */
typedef struct rpc_auth {
	peer_key_t *key;
	const char *server; /* address */
	uint8_t server_nonce[PEER_KEY_NONCE_BYTES];
	uint8_t client_nonce[PEER_KEY_NONCE_BYTES];
	uint32_t last_xid;
	gboolean called; /* last_xid is set */
} rpc_auth_t;

/* Server: appends the opening call with a new nonce. */
void rpc_auth_hello_append(rpc_auth_t *auth, struct evbuffer *output);
/* Client: takes the server's nonce. FALSE when the record is another. */
gboolean rpc_auth_hello_take(rpc_auth_t *auth, char *record, size_t len);

/* Fill the verifier of an encoded record. */
void rpc_auth_sign_call(const rpc_auth_t *auth, char *record, size_t len,
			uint8_t *call_mac);
void rpc_auth_sign_reply(const rpc_auth_t *auth, const uint8_t *call_mac,
			 char *record, size_t len);

/* A record of any bytes; both clear the HMAC in it. */
gboolean rpc_auth_verify_call(rpc_auth_t *auth, char *record, size_t len,
			      uint8_t *call_mac);
gboolean rpc_auth_verify_reply(const rpc_auth_t *auth, const uint8_t *call_mac,
			       char *record, size_t len);

#endif
