#ifndef WASABILINK_ENTRY_CHAT_RESPONSE_H
#define WASABILINK_ENTRY_CHAT_RESPONSE_H

#include "entry/chat_state.h"

/*
 * chat_response - responses to the caller of a chat completion: streams with
 * backpressure, complete responses, recorded responses and errors.
 */

/* Sends an error body. A stream that has started gets an error event and is
 * then aborted, so that it does not look complete. */
void chat_response_error(chat_t *chat, api_error_id_t error, int retry_after_s,
			 const char *message);
void chat_response_start_stream(chat_t *chat);
/* Relays events of the winning attempt. */
void chat_response_relay_events(chat_t *chat, const char *events, size_t len);
/* Sends the recorded result to a resend, as a stream or as one body, whichever
 * it asks for. */
void chat_response_replay(chat_t *chat, const claim_result_t *result);
/* Records the result if the request has a claim, completes the exchange and
 * frees the chat. */
void chat_response_complete(chat_t *chat, const engine_result_t *result);

#endif
