#ifndef WASABILINK_ENTRY_BATCHES_H
#define WASABILINK_ENTRY_BATCHES_H

#include "entry/entry.h"

/*
 * batches - callers' batch jobs: /v1/batches.
 *
 * A job is a record (records.h) under the caller's Idempotency-Key, or else
 * under the content and the settings of the job, so a resent job is the same
 * one on every node. It is acknowledged when its record is durable. A cancel
 * is acknowledged with `cancelling`; `cancelled` means that nothing starts any
 * more.
 */
#define BATCHES_PATH "/v1/batches"

/* Any request below BATCHES_PATH. */
void batches_handle(entry_t *entry, http_exchange_t *exchange,
		    const document_caller_t *caller);

#endif
