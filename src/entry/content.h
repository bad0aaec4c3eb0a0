#ifndef WASABILINK_ENTRY_CONTENT_H
#define WASABILINK_ENTRY_CONTENT_H

#include "entry/batch_id.h"
#include "entry/entry.h"

/*
 * content - streams the content of files to callers.
 *
 * Sends one object after the other: the parts of an uploaded file, or the
 * output or error lines of a job's result objects in item order. One object is
 * in memory at a time, and the next is read when the caller has received most
 * of the last one. Any node can send the results, without the job's
 * coordinator: it needs the job's record and the object store. The error lines
 * of an expired job include its items without a result.
 */
void content_send(entry_t *entry, http_exchange_t *exchange, const char *id,
		  batch_id_kind_t kind, const char *job);

/* Replies with the file object of a job's output or errors. */
void content_describe(entry_t *entry, http_exchange_t *exchange, const char *id,
		      batch_id_kind_t kind, const char *job);

#endif
