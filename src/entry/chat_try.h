#ifndef WASABILINK_ENTRY_CHAT_TRY_H
#define WASABILINK_ENTRY_CHAT_TRY_H

#include "entry/chat_state.h"

/*
 * chat_try - the calls to engines of one chat completion: choice of runner and
 * version, hedging, retries, and the first one that wins.
 */

/* Fails the chat when no runner takes the request. */
void chat_try_start(chat_t *chat, chat_try_t *try);
void chat_try_cancel_all(chat_t *chat);

#endif
