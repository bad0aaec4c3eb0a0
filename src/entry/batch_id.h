#ifndef WASABILINK_ENTRY_BATCH_ID_H
#define WASABILINK_ENTRY_BATCH_ID_H

#include <glib.h>

#include "config/document.h"
#include "entry/records.h"

/*
 * batch_id - ids of files and batch jobs.
 *
 * Each id holds its scope, a digest of partner and workspace, so a node knows
 * without a look-up that an id is another caller's:
 *   file-<scope><created><nonce>         uploaded file; created in ms since
 *                                        the epoch, 12 digits, nonce 20
 *   batch_<scope><record key>            job; without the prefix it names the
 *                                        job in the object store
 *   file-<scope>out<record key>, ...err  a job's results
 * Scope is 16 and record key 32 hexadecimal digits.
 */
typedef enum batch_id_kind {
	BATCH_ID_FILE,
	BATCH_ID_OUTPUT,
	BATCH_ID_ERRORS
} batch_id_kind_t;

/* All strings are newly allocated. */
char *batch_id_scope(const char *partner, const char *workspace);
char *batch_id_owner_tag(const document_caller_t *caller);
char *batch_id_new_file(const document_caller_t *caller, int64_t created_ms);
/* Wall clock time at which an uploaded file was created, -1 for another id. */
int64_t batch_id_file_created_ms(const char *id);
char *batch_id_job(const char *scope, const record_key_t *key);
/* The id of the job's results as a file. */
char *batch_id_results(const char *job, batch_id_kind_t kind);

/* FALSE when the id is malformed or not the caller's. *job is the job of
 * results, else NULL. */
gboolean batch_id_parse_file(const document_caller_t *caller, const char *id,
			     batch_id_kind_t *kind, char **job);
/* The job's name without the prefix; NULL as above. */
char *batch_id_parse_job(const document_caller_t *caller, const char *id);
/* Record key of a job's name; FALSE when malformed. */
gboolean batch_id_key(const char *job, record_key_t *key);

#endif
