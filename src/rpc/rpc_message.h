#ifndef WASABILINK_RPC_RPC_MESSAGE_H
#define WASABILINK_RPC_RPC_MESSAGE_H

#include <event2/buffer.h>
#include <glib.h>
#include <rpc/rpc.h>
#include <stdint.h>

/*
 * rpc_message - ONC RPC (RFC 5531) messages in record-marked byte streams.
 *
 * The codec is libtirpc's; this module adds framing on evbuffers. Records
 * have one fragment.
 */
#define RPC_MAX_RECORD_BYTES (4 * 1024 * 1024)
#define RPC_VERSION_1 1

typedef struct rpc_call_header {
	uint32_t xid;
	uint32_t program;
	uint32_t version;
	uint32_t procedure;
	uint32_t verifier_bytes; /* reserved for rpc_auth; 0: no verifier */
} rpc_call_header_t;

/* Status of an accepted reply, as on the wire. */
typedef struct rpc_reply_header {
	uint32_t xid;
	uint32_t accept_status; /* SUCCESS, PROG_UNAVAIL, ... */
	uint32_t verifier_bytes;
} rpc_reply_header_t;

/*
 * Takes one whole record off the buffer into *record (to be freed by g_free).
 * Returns 1, or 0 when more bytes are needed, or -1 for a broken record.
 */
int rpc_record_take(struct evbuffer *input, char **record, size_t *len);

/* Appends a whole record. */
void rpc_record_append(struct evbuffer *output, const char *record, size_t len);

/* Appends a call or a reply. FALSE when the arguments cannot be encoded. */
gboolean rpc_call_append(struct evbuffer *output,
			 const rpc_call_header_t *header, xdrproc_t encode,
			 void *args);
gboolean rpc_reply_append(struct evbuffer *output,
			  const rpc_reply_header_t *header, xdrproc_t encode,
			  void *result);

/* Decodes headers and leaves xdrs at the arguments or the result. */
gboolean rpc_call_decode(XDR *xdrs, rpc_call_header_t *header);
gboolean rpc_reply_decode(XDR *xdrs, rpc_reply_header_t *header);

#endif
