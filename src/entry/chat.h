#ifndef WASABILINK_ENTRY_CHAT_H
#define WASABILINK_ENTRY_CHAT_H

#include "entry/entry.h"

/* chat - handles POST /v1/chat/completions for an authenticated caller. */
void chat_handle(entry_t *entry, http_exchange_t *exchange,
		 const document_caller_t *caller);

#endif
