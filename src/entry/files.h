#ifndef WASABILINK_ENTRY_FILES_H
#define WASABILINK_ENTRY_FILES_H

#include "entry/entry.h"

/*
 * files - callers' batch files: /v1/files.
 *
 * An upload becomes objects file/<id>/<part> and, written last, file/<id>/meta;
 * a file without its meta object does not exist. Results of jobs are files
 * too (batch_id.h); content.h reads both kinds.
 */
#define FILES_PATH "/v1/files"

typedef struct file_meta {
	char *id;
	char *name;
	char *model; /* the deployment that all items name */
	char *digest; /* SHA-256 of the content */
	uint64_t bytes;
	int64_t created_s;
	GArray *part_items; /* uint32_t */
} file_meta_t;

/* meta is NULL on error and valid during the call only. */
typedef void (*file_meta_done_t)(const file_meta_t *meta, const GError *error,
				 void *user_data);

/* Errors: those of object_get(), WL_ERROR_PROTOCOL. */
void files_read_meta(entry_t *entry, const char *id, file_meta_done_t done,
		     void *user_data);

/* Object key of a part; newly allocated. */
char *files_part_key(const char *id, uint32_t part);

/* Any request below FILES_PATH. */
void files_handle(entry_t *entry, http_exchange_t *exchange,
		  const document_caller_t *caller);

#endif
