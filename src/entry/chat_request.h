#ifndef WASABILINK_ENTRY_CHAT_REQUEST_H
#define WASABILINK_ENTRY_CHAT_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "backend/prompt_parts.h"
#include "entry/api_error.h"
#include "http/http_server.h"

/*
 * chat_request - reads and validates the body and headers of a chat
 * completion request.
 */
#define CHAT_REQUEST_KEY_MAX 255
#define CHAT_REQUEST_DIGEST_HEX 64

typedef struct chat_request {
	char *model;
	char *key; /* Idempotency-Key; NULL: none */
	char digest[CHAT_REQUEST_DIGEST_HEX + 1]; /* only with a key */
	bool stream;
	bool once; /* not idempotent: must not run twice */
	uint32_t work; /* estimated cost in tokens */
	uint32_t class_index; /* hedging class */
	prompt_parts_t parts; /* all messages but the last, and the prompt */
	uint64_t prefix_hash; /* of the start of the prompt; 0: too short */
	int64_t deadline_ms; /* remaining time; 0: none given */
} chat_request_t;

/* Reads the headers that plain services share: key, once and deadline. Returns
 * false with the error to send; *message is a static string. */
bool chat_request_read_headers(const http_exchange_t *exchange, char **key,
			       bool *once, int64_t *deadline_ms,
			       api_error_id_t *error, const char **message);

/* memory bounds what the body is decoded to; NULL: not limited. */
bool chat_request_read(http_exchange_t *exchange, const memory_budget_t *memory,
		       chat_request_t *request, api_error_id_t *error,
		       const char **message);
void chat_request_clear(chat_request_t *request);

#endif
