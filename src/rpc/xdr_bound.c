#include "rpc/xdr_bound.h"

#include <stdbool.h>

/* Every element of an array takes at least one unit. */
#define UNIT_BYTES 4

/* Looks at the length that comes next. */
static bool length_fits(XDR *xdrs, u_int item_bytes)
{
	u_int position;
	u_int count;

	/* xdr_free() uses a stream without operations. */
	if (xdrs->x_op != XDR_DECODE)
		return true;
	position = xdr_getpos(xdrs);
	if (!xdr_u_int(xdrs, &count))
		return false;
	/* x_handy is the number of bytes left. */
	return count <= xdrs->x_handy / item_bytes &&
	       xdr_setpos(xdrs, position);
}

bool_t xdr_bound_array(XDR *xdrs, char **items, u_int *count, u_int max_count,
		       u_int item_size, xdrproc_t item)
{
	return length_fits(xdrs, UNIT_BYTES) &&
	       xdr_array(xdrs, items, count, max_count, item_size, item);
}

bool_t xdr_bound_bytes(XDR *xdrs, char **bytes, u_int *count, u_int max_count)
{
	return length_fits(xdrs, 1) && xdr_bytes(xdrs, bytes, count, max_count);
}

bool_t xdr_bound_string(XDR *xdrs, char **text, u_int max_count)
{
	return length_fits(xdrs, 1) && xdr_string(xdrs, text, max_count);
}
