#ifndef WASABILINK_RPC_XDR_BOUND_H
#define WASABILINK_RPC_XDR_BOUND_H

#include <rpc/rpc.h>

/*
 * xdr_bound - decoders of variable-length XDR values that check the length
 * against the bytes left in the message.
 *
 * libtirpc's allocate what the length says before they read, so a message of
 * a few bytes could ask for 4 GB. The build includes this header into the code
 * that rpcgen generates. Streams are from xdrmem_create().
 */
bool_t xdr_bound_array(XDR *xdrs, char **items, u_int *count, u_int max_count,
		       u_int item_size, xdrproc_t item);
bool_t xdr_bound_bytes(XDR *xdrs, char **bytes, u_int *count, u_int max_count);
bool_t xdr_bound_string(XDR *xdrs, char **text, u_int max_count);

#ifdef XDR_BOUND_REPLACE
#define xdr_array xdr_bound_array
#define xdr_bytes xdr_bound_bytes
#define xdr_string xdr_bound_string
#endif

#endif
