#ifndef WASABILINK_ENTRY_CHAT_ATTEMPT_H
#define WASABILINK_ENTRY_CHAT_ATTEMPT_H

#include "entry/chat_state.h"

/*
 * chat_attempt - execution attempts of one chat completion: selection of runner
 * and version, hedging, retries and the first attempt that responds.
 */

/* Fails and frees the chat when no runner can be selected. */
void chat_attempt_start(chat_t *chat, chat_attempt_t *attempt);
void chat_attempt_cancel_all(chat_t *chat);

#endif
