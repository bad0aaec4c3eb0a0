#ifndef WASABILINK_ENTRY_FRONT_H
#define WASABILINK_ENTRY_FRONT_H

#include "entry/entry.h"

/* front - HTTP frontend: dispatches the requests of callers and operators. */
void front_handle_caller(http_exchange_t *exchange, void *entry);
void front_handle_operator(http_exchange_t *exchange, void *entry);
/* Fills headers and body of the response to a request that cannot be read. */
void front_reject(int status, GString *headers, GString *body, void *entry);

#endif
