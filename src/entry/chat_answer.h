#ifndef WASABILINK_ENTRY_CHAT_ANSWER_H
#define WASABILINK_ENTRY_CHAT_ANSWER_H

#include "entry/chat_state.h"

/*
 * chat_answer - what the caller of a chat completion gets: streams under
 * backpressure, whole answers, recorded answers and errors.
 */

/* An error body, or in a stream that has begun an error event and a cut. */
void chat_answer_error(chat_t *chat, api_error_id_t error, int retry_after_s,
		       const char *message);
void chat_answer_start(chat_t *chat);
/* Relays events of the winning try. */
void chat_answer_events(chat_t *chat, const char *events, size_t len);
/* Answers a resend with the recorded result, in the form that it asks for. */
void chat_answer_replay(chat_t *chat, const claim_result_t *result);
/* Records a claimed answer, ends the exchange and frees the chat. */
void chat_answer_complete(chat_t *chat, const engine_result_t *result);

#endif
