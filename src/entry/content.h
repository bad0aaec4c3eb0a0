#ifndef WASABILINK_ENTRY_CONTENT_H
#define WASABILINK_ENTRY_CONTENT_H

#include "entry/batch_id.h"
#include "entry/entry.h"

/*
 * content - sends the content of files, object by object: the parts of an
 * uploaded file, or the output or error lines of a job's result objects in
 * item order. One object is in memory at a time; the next is read when the
 * caller has taken the last one. Output needs the object store only, so it can
 * be read on any node and without the job's coordinator. Error lines need the
 * job's record too: items of an expired job without a result are errors.
 */
void content_send(entry_t *entry, http_exchange_t *exchange, const char *id,
		  batch_id_kind_t kind, const char *job);

/* Answers with the file object of a job's results. */
void content_describe(entry_t *entry, http_exchange_t *exchange, const char *id,
		      batch_id_kind_t kind, const char *job);

#endif
