#ifndef WASABILINK_ENTRY_BATCH_ID_H
#define WASABILINK_ENTRY_BATCH_ID_H

#include <glib.h>

#include "config/document.h"
#include "entry/records.h"

/*
 * batch_id - ids of files and batch jobs.
 *
 * Each id contains its scope, a digest of partner and workspace, so a node
 * rejects an id of another scope without a look-up:
 *   file-<scope><created><nonce>         uploaded file; created in ms since
 *                                        the epoch, 12 digits, nonce 20
 *   batch_<scope><record key>            job; the part after the prefix is the
 *                                        job's name in the object store
 *   file-<scope>out<record key>, ...err  output and errors of a job
 * A scope has 16 hexadecimal digits and a record key 32.
 */
typedef enum batch_id_kind {
	BATCH_ID_FILE,
	BATCH_ID_OUTPUT,
	BATCH_ID_ERRORS
} batch_id_kind_t;

/* All returned strings are newly allocated. */
char *batch_id_scope(const char *partner, const char *workspace);
char *batch_id_owner_tag(const document_caller_t *caller);
char *batch_id_new_file(const document_caller_t *caller, int64_t created_ms);
/* Wall clock time at which an uploaded file was created, in ms since the epoch;
 * -1 for an id of another kind. */
int64_t batch_id_file_created_ms(const char *id);
char *batch_id_job(const char *scope, const record_key_t *key);
/* File id of the job's output or errors. */
char *batch_id_results(const char *job, batch_id_kind_t kind);

/* FALSE when the id is malformed or not the caller's. *job is set to the job's
 * name for a result file, else to NULL. */
gboolean batch_id_parse_file(const document_caller_t *caller, const char *id,
			     batch_id_kind_t *kind, char **job);
/* The job's name, without the prefix; NULL when the id is malformed or not the
 * caller's. */
char *batch_id_parse_job(const document_caller_t *caller, const char *id);
/* Converts a job's name to its record key; FALSE when malformed. */
gboolean batch_id_key(const char *job, record_key_t *key);

#endif
