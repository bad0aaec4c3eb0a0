#include "rpc/rpc_auth.h"

#include <arpa/inet.h>
#include <string.h>

/* Words before a verifier: xid, direction, RPC version, program, version,
 * procedure, empty credential; and xid, direction, accepted. */
#define CALL_VERIFIER (8 * 4)
#define REPLY_VERIFIER (3 * 4)
#define VERIFIER_HEAD (2 * 4) /* flavor, length */
#define CALL_PARTS 3

static uint32_t word_at(const char *record, size_t offset)
{
	uint32_t word;

	memcpy(&word, record + offset, sizeof(word));
	return ntohl(word);
}

static char *verifier_at(char *record, size_t len, size_t offset, size_t size)
{
	if (len < offset + VERIFIER_HEAD + size ||
	    word_at(record, offset) != RPC_AUTH_FLAVOR ||
	    word_at(record, offset + 4) != size)
		return NULL;
	return record + offset + VERIFIER_HEAD;
}

static char *call_mac_at(char *record, size_t len)
{
	char *verifier;

	/* An empty credential, or the verifier would stand elsewhere. */
	if (len < CALL_VERIFIER || word_at(record, 4) != CALL ||
	    word_at(record, CALL_VERIFIER - 4) != 0)
		return NULL;
	verifier = verifier_at(record, len, CALL_VERIFIER, RPC_AUTH_CALL_BYTES);
	return verifier ? verifier + PEER_KEY_NONCE_BYTES : NULL;
}

static char *reply_mac_at(char *record, size_t len)
{
	if (len < REPLY_VERIFIER || word_at(record, 4) != REPLY ||
	    word_at(record, 8) != MSG_ACCEPTED)
		return NULL;
	return verifier_at(record, len, REPLY_VERIFIER, RPC_AUTH_REPLY_BYTES);
}

static bool_t xdr_nonce(XDR *xdrs, uint8_t *nonce)
{
	return xdr_opaque(xdrs, (char *)nonce, PEER_KEY_NONCE_BYTES);
}

void rpc_auth_hello_append(rpc_auth_t *auth, struct evbuffer *output)
{
	const rpc_call_header_t header = { .program = RPC_AUTH_PROGRAM,
					   .version = RPC_VERSION_1,
					   .procedure = RPC_AUTH_HELLO };

	peer_key_nonce(auth->server_nonce);
	rpc_call_append(output, &header, (xdrproc_t)xdr_nonce,
			auth->server_nonce);
}

gboolean rpc_auth_hello_take(rpc_auth_t *auth, char *record, size_t len)
{
	rpc_call_header_t header;
	gboolean ok;
	XDR xdrs;

	xdrmem_create(&xdrs, record, (u_int)len, XDR_DECODE);
	ok = rpc_call_decode(&xdrs, &header) &&
	     header.program == RPC_AUTH_PROGRAM &&
	     header.procedure == RPC_AUTH_HELLO &&
	     xdr_nonce(&xdrs, auth->server_nonce);
	xdr_destroy(&xdrs);
	return ok;
}

static void call_parts(const rpc_auth_t *auth, const char *record, size_t len,
		       peer_key_part_t *parts)
{
	parts[0] = (peer_key_part_t){ auth->server, strlen(auth->server) };
	parts[1] =
		(peer_key_part_t){ auth->server_nonce, PEER_KEY_NONCE_BYTES };
	parts[2] = (peer_key_part_t){ record, len };
}

void rpc_auth_sign_call(const rpc_auth_t *auth, char *record, size_t len,
			uint8_t *call_mac)
{
	char *mac = call_mac_at(record, len);
	peer_key_part_t parts[CALL_PARTS];

	g_assert(mac);
	memcpy(mac - PEER_KEY_NONCE_BYTES, auth->client_nonce,
	       PEER_KEY_NONCE_BYTES);
	memset(mac, 0, PEER_KEY_MAC_BYTES);
	call_parts(auth, record, len, parts);
	peer_key_sign(auth->key, "call", parts, CALL_PARTS, call_mac);
	memcpy(mac, call_mac, PEER_KEY_MAC_BYTES);
}

gboolean rpc_auth_verify_call(rpc_auth_t *auth, char *record, size_t len,
			      uint8_t *call_mac)
{
	char *mac = call_mac_at(record, len);
	peer_key_part_t parts[CALL_PARTS];
	uint32_t xid;

	if (!mac)
		return FALSE;
	memcpy(call_mac, mac, PEER_KEY_MAC_BYTES);
	memset(mac, 0, PEER_KEY_MAC_BYTES);
	call_parts(auth, record, len, parts);
	xid = word_at(record, 0);
	/* The difference, since xids start again after the highest one. */
	if (!peer_key_verify(auth->key, "call", parts, CALL_PARTS, call_mac) ||
	    (auth->called && (int32_t)(xid - auth->last_xid) <= 0))
		return FALSE;
	auth->last_xid = xid;
	auth->called = TRUE;
	return TRUE;
}

void rpc_auth_sign_reply(const rpc_auth_t *auth, const uint8_t *call_mac,
			 char *record, size_t len)
{
	char *mac = reply_mac_at(record, len);
	uint8_t computed[PEER_KEY_MAC_BYTES];
	const peer_key_part_t parts[] = { { call_mac, PEER_KEY_MAC_BYTES },
					  { record, len } };

	g_assert(mac);
	memset(mac, 0, PEER_KEY_MAC_BYTES);
	peer_key_sign(auth->key, "reply", parts, G_N_ELEMENTS(parts), computed);
	memcpy(mac, computed, PEER_KEY_MAC_BYTES);
}

gboolean rpc_auth_verify_reply(const rpc_auth_t *auth, const uint8_t *call_mac,
			       char *record, size_t len)
{
	char *mac = reply_mac_at(record, len);
	uint8_t received[PEER_KEY_MAC_BYTES];
	const peer_key_part_t parts[] = { { call_mac, PEER_KEY_MAC_BYTES },
					  { record, len } };

	if (!mac)
		return FALSE;
	memcpy(received, mac, PEER_KEY_MAC_BYTES);
	memset(mac, 0, PEER_KEY_MAC_BYTES);
	return peer_key_verify(auth->key, "reply", parts, G_N_ELEMENTS(parts),
			       received);
}
