#ifndef WASABILINK_ENTRY_SERVICE_CALL_H
#define WASABILINK_ENTRY_SERVICE_CALL_H

#include "entry/entry.h"

/*
 * service_call - calls to plain services under /services/<name>/<path>.
 *
 * Only the paths that the document lists are served. A call to a path that is
 * not repeatable needs an Idempotency-Key: the key is claimed first, and the
 * call is sent only once, on a fresh connection.
 */
#define SERVICE_CALL_PREFIX "/services/"

void service_call_handle(entry_t *entry, http_exchange_t *exchange,
			 const document_caller_t *caller);

#endif
