#include "rpc/rpc_message.h"

#include <arpa/inet.h>
#include <string.h>

#include "rpc/rpc_auth.h"

#define LAST_FRAGMENT 0x80000000U
#define HEADER_SPACE 128
#define INITIAL_SPACE 4096

int rpc_record_take(struct evbuffer *input, char **record, size_t *len)
{
	uint32_t mark;

	if (evbuffer_get_length(input) < sizeof(mark))
		return 0;
	evbuffer_copyout(input, &mark, sizeof(mark));
	mark = ntohl(mark);
	*len = mark & ~LAST_FRAGMENT;
	if (!(mark & LAST_FRAGMENT) || *len > RPC_MAX_RECORD_BYTES)
		return -1;
	if (evbuffer_get_length(input) < sizeof(mark) + *len)
		return 0;
	evbuffer_drain(input, sizeof(mark));
	*record = g_malloc(*len + 1);
	evbuffer_remove(input, *record, *len);
	return 1;
}

void rpc_record_append(struct evbuffer *output, const char *record, size_t len)
{
	uint32_t mark = htonl((uint32_t)len | LAST_FRAGMENT);

	evbuffer_add(output, &mark, sizeof(mark));
	evbuffer_add(output, record, len);
}

/* XDR memory streams do not grow, so a failed encoding doubles the space. */
static gboolean append_record(struct evbuffer *output, struct rpc_msg *message,
			      gboolean is_call, xdrproc_t encode, void *body)
{
	for (size_t space = INITIAL_SPACE;
	     space <= RPC_MAX_RECORD_BYTES + HEADER_SPACE; space *= 2) {
		char *data = g_malloc(space);
		XDR xdrs;
		gboolean ok;

		xdrmem_create(&xdrs, data, space, XDR_ENCODE);
		if (is_call)
			ok = xdr_callmsg(&xdrs, message) && encode(&xdrs, body);
		else
			ok = xdr_replymsg(&xdrs, message);
		if (ok) {
			uint32_t used = xdr_getpos(&xdrs);

			rpc_record_append(output, data, used);
		}
		xdr_destroy(&xdrs);
		g_free(data);
		if (ok)
			return TRUE;
	}
	return FALSE;
}

static struct opaque_auth reserve_verifier(uint32_t bytes)
{
	static char space[MAX_AUTH_BYTES];

	if (bytes == 0)
		return _null_auth;
	return (struct opaque_auth){ .oa_flavor = (enum_t)RPC_AUTH_FLAVOR,
				     .oa_base = space,
				     .oa_length = bytes };
}

gboolean rpc_call_append(struct evbuffer *output,
			 const rpc_call_header_t *header, xdrproc_t encode,
			 void *args)
{
	struct rpc_msg message = { 0 };

	message.rm_xid = header->xid;
	message.rm_direction = CALL;
	message.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	message.rm_call.cb_prog = header->program;
	message.rm_call.cb_vers = header->version;
	message.rm_call.cb_proc = header->procedure;
	message.rm_call.cb_cred = _null_auth;
	message.rm_call.cb_verf = reserve_verifier(header->verifier_bytes);
	return append_record(output, &message, TRUE, encode, args);
}

gboolean rpc_reply_append(struct evbuffer *output,
			  const rpc_reply_header_t *header, xdrproc_t encode,
			  void *result)
{
	struct rpc_msg message = { 0 };

	message.rm_xid = header->xid;
	message.rm_direction = REPLY;
	message.rm_reply.rp_stat = MSG_ACCEPTED;
	message.acpted_rply.ar_verf = reserve_verifier(header->verifier_bytes);
	message.acpted_rply.ar_stat = (enum accept_stat)header->accept_status;
	message.acpted_rply.ar_results.where = result;
	message.acpted_rply.ar_results.proc = encode;
	return append_record(output, &message, FALSE, NULL, NULL);
}

gboolean rpc_call_decode(XDR *xdrs, rpc_call_header_t *header)
{
	struct rpc_msg message = { 0 };
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];

	message.rm_call.cb_cred.oa_base = cred;
	message.rm_call.cb_verf.oa_base = verf;
	if (!xdr_callmsg(xdrs, &message) || message.rm_direction != CALL ||
	    message.rm_call.cb_rpcvers != RPC_MSG_VERSION)
		return FALSE;
	header->xid = message.rm_xid;
	header->program = message.rm_call.cb_prog;
	header->version = message.rm_call.cb_vers;
	header->procedure = message.rm_call.cb_proc;
	return TRUE;
}

static bool_t xdr_nothing(XDR *xdrs, ...)
{
	return TRUE;
}

gboolean rpc_reply_decode(XDR *xdrs, rpc_reply_header_t *header)
{
	struct rpc_msg message = { 0 };
	char verf[MAX_AUTH_BYTES];

	message.acpted_rply.ar_verf.oa_base = verf;
	message.acpted_rply.ar_results.where = NULL;
	message.acpted_rply.ar_results.proc = (xdrproc_t)xdr_nothing;
	if (!xdr_replymsg(xdrs, &message) ||
	    message.rm_reply.rp_stat != MSG_ACCEPTED)
		return FALSE;
	header->xid = message.rm_xid;
	header->accept_status = message.acpted_rply.ar_stat;
	return TRUE;
}
