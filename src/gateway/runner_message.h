#ifndef WASABILINK_GATEWAY_RUNNER_MESSAGE_H
#define WASABILINK_GATEWAY_RUNNER_MESSAGE_H

#include <event2/buffer.h>
#include <glib.h>
#include <stdbool.h>

#include "gateway/runner_protocol.h"
#include "rpc/runner_xdr.h"

/*
 * runner_message - messages of calls to runners through another node
 * (XDR, src/rpc/runner.x), in record-marked byte streams.
 */

/* Appends a message. FALSE when it cannot be encoded. */
bool runner_message_append(struct evbuffer *output, runner_message *message);
/* Appends a message without a body. */
void runner_message_append_kind(struct evbuffer *output,
				runner_message_kind kind);
/* Appends data as messages of the kind RUNNER_BODY or RUNNER_DATA. */
void runner_message_append_part(struct evbuffer *output,
				runner_message_kind kind, const char *data,
				size_t len);
/*
 * Takes one message off the buffer. Returns 1, or 0 when more bytes are needed,
 * or -1 for bytes that are no message. Free it with runner_message_clear().
 */
int runner_message_take(struct evbuffer *input, runner_message *message);
void runner_message_clear(runner_message *message);

/* Points the message's headers at the array (name, value, ...). The result is
 * to be freed with g_free(); the strings stay with the array. */
runner_header *runner_message_headers(const GPtrArray *headers);
/* Copies headers to an array that owns its strings. */
GPtrArray *runner_message_copy_headers(const runner_header *headers,
				       u_int count);

#endif
