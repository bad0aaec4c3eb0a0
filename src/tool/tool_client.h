#ifndef WASABILINK_TOOL_TOOL_CLIENT_H
#define WASABILINK_TOOL_TOOL_CLIENT_H

#include <glib.h>
#include <stdint.h>

/*
 * tool_client - blocking calls for the operators' commands.
 *
 * Errors are those of object_store.h; tool_exit_status() turns them into the
 * commands' exit codes.
 */
#define TOOL_EXIT_USAGE 64 /* as in sysexits(3) */
#define TOOL_EXIT_INVALID 65
#define TOOL_EXIT_AGAIN 75

typedef struct tool_client tool_client_t;

typedef struct tool_object {
	uint64_t version;
	char *writer;
	GBytes *data;
} tool_object_t;

tool_client_t *tool_client_new(const char *platform, int32_t timeout_ms);
void tool_client_free(tool_client_t *client);

/* Fills *object; release it with tool_object_clear(). */
gboolean tool_client_get(tool_client_t *client, const char *key,
			 tool_object_t *object, GError **error);

/*
 * Conditional write that survives lost answers: the writer token tells
 * whether an attempt took effect. On success *object holds the new version; on
 * WL_ERROR_CONFLICT the version and writer in force. WL_ERROR_TIMEOUT: still
 * unknown after wait_ms.
 */
gboolean tool_client_put(tool_client_t *client, const char *key, GBytes *data,
			 uint64_t if_version, const char *token,
			 int32_t wait_ms, tool_object_t *object,
			 GError **error);

/* GET from a node's operator port; key may be empty. Any status but 200 is an
 * error. */
char *tool_client_fetch(tool_client_t *client, const char *address,
			const char *target, const char *key, GError **error);

/*
 * A request of a caller to an entry node. headers as in http_client.h, without
 * Authorization. Returns the answer's body (length in *len, NUL-terminated);
 * any status but 200 is an error with the code and message of the answer.
 */
typedef struct tool_request {
	const char *method;
	const char *address;
	const char *target;
	const char *key;
	const char *content_type; /* NULL: none */
	const char *idempotency_key; /* NULL: none */
	const void *body;
	size_t body_len;
} tool_request_t;

char *tool_client_call(tool_client_t *client, const tool_request_t *request,
		       size_t *len, GError **error);

void tool_object_clear(tool_object_t *object);

/* Prints "wasabilink <command>: <message>", frees the error and returns the
 * exit status: 65 invalid input, 75 try again, 1 otherwise. */
int tool_fail(const char *command, GError *error);

#endif
