#include "gateway/runner_message.h"

#include "rpc/rpc_message.h"

/* Fits most messages. A failed encoding doubles the space. */
#define INITIAL_SPACE 4096
/* Of the kind, the length and the padding of a part. */
#define PART_OVERHEAD 16

static bool append(struct evbuffer *output, runner_message *message,
		   size_t space)
{
	char *data = g_malloc(space);
	XDR xdrs;
	bool encoded;

	xdrmem_create(&xdrs, data, (u_int)space, XDR_ENCODE);
	encoded = xdr_runner_message(&xdrs, message);
	if (encoded)
		rpc_record_append(output, data, xdr_getpos(&xdrs));
	xdr_destroy(&xdrs);
	g_free(data);
	return encoded;
}

bool runner_message_append(struct evbuffer *output, runner_message *message)
{
	for (size_t space = INITIAL_SPACE; space <= RPC_MAX_RECORD_BYTES;
	     space *= 2)
		if (append(output, message, space))
			return true;
	return false;
}

void runner_message_append_kind(struct evbuffer *output,
				runner_message_kind kind)
{
	runner_message message = { .kind = kind };

	append(output, &message, INITIAL_SPACE);
}

void runner_message_append_part(struct evbuffer *output,
				runner_message_kind kind, const char *data,
				size_t len)
{
	while (len > 0) {
		size_t part = MIN(len, RUNNER_PART_MAX);
		runner_message message = { .kind = kind };

		message.runner_message_u.part.part_len = (u_int)part;
		message.runner_message_u.part.part_val = (char *)data;
		append(output, &message, part + PART_OVERHEAD);
		data += part;
		len -= part;
	}
}

int runner_message_take(struct evbuffer *input, runner_message *message)
{
	char *record;
	size_t len;
	int taken = rpc_record_take(input, &record, &len);
	XDR xdrs;

	if (taken != 1)
		return taken;
	*message = (runner_message){ 0 };
	xdrmem_create(&xdrs, record, (u_int)len, XDR_DECODE);
	if (!xdr_runner_message(&xdrs, message)) {
		runner_message_clear(message);
		taken = -1;
	}
	xdr_destroy(&xdrs);
	g_free(record);
	return taken;
}

void runner_message_clear(runner_message *message)
{
	xdr_free((xdrproc_t)xdr_runner_message, message);
	*message = (runner_message){ 0 };
}

runner_header *runner_message_headers(const GPtrArray *headers)
{
	runner_header *copied = g_new(runner_header, headers->len / 2 + 1);

	for (guint i = 0; i + 1 < headers->len; i += 2) {
		copied[i / 2].name = headers->pdata[i];
		copied[i / 2].value = headers->pdata[i + 1];
	}
	return copied;
}

GPtrArray *runner_message_copy_headers(const runner_header *headers,
				       u_int count)
{
	GPtrArray *copied = g_ptr_array_new_with_free_func(g_free);

	for (u_int i = 0; i < count; i++) {
		g_ptr_array_add(copied, g_strdup(headers[i].name));
		g_ptr_array_add(copied, g_strdup(headers[i].value));
	}
	return copied;
}
