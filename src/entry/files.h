#ifndef WASABILINK_ENTRY_FILES_H
#define WASABILINK_ENTRY_FILES_H

#include "entry/entry.h"

/*
 * files - API of batch files: /v1/files.
 *
 * An upload is stored as objects file/<id>/<part> and, written last,
 * file/<id>/meta. A file without a meta object does not exist for callers.
 * Results of jobs have file ids too (batch_id.h); content.h reads both kinds.
 */
#define FILES_PATH "/v1/files"

typedef struct file_meta {
	char *id;
	char *name;
	char *model; /* deployment named by all items */
	char *digest; /* SHA-256 of the content */
	uint64_t bytes;
	int64_t created_s;
	GArray *part_items; /* uint32_t: number of items per part */
} file_meta_t;

/* meta is NULL on error and valid only during the callback. */
typedef void (*file_meta_done_t)(const file_meta_t *meta, const GError *error,
				 void *user_data);

/* Errors: those of object_get(); WL_ERROR_PROTOCOL for a damaged object. */
void files_read_meta(entry_t *entry, const char *id, file_meta_done_t done,
		     void *user_data);

/* Object key of a part; newly allocated. */
char *files_part_key(const char *id, uint32_t part);

/* Handles a request for FILES_PATH or a path below it. */
void files_handle(entry_t *entry, http_exchange_t *exchange,
		  const document_caller_t *caller);

#endif
