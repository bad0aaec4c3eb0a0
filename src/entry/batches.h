#ifndef WASABILINK_ENTRY_BATCHES_H
#define WASABILINK_ENTRY_BATCHES_H

#include "entry/entry.h"

/*
 * batches - API of batch jobs: /v1/batches.
 *
 * A job is a record (records.h) whose key is derived from the caller's
 * Idempotency-Key, or without one from the content and the settings of the job.
 * So a resent job maps to the same record on every node. A job is acknowledged
 * when its record is durable. A cancel is acknowledged with `cancelling`; once
 * the job is `cancelled`, none of its items starts any more.
 */
#define BATCHES_PATH "/v1/batches"

/* Handles a request for BATCHES_PATH or a path below it. */
void batches_handle(entry_t *entry, http_exchange_t *exchange,
		    const document_caller_t *caller);

#endif
