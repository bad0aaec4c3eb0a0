#ifndef WASABILINK_ENTRY_COLLECTION_H
#define WASABILINK_ENTRY_COLLECTION_H

#include <stdbool.h>

#include "entry/entry.h"

/*
 * collection - dispatches requests below a path such as /v1/files: to the
 * collection, to an item by id, or to something of the item.
 */
typedef void (*collection_handler_t)(entry_t *entry, http_exchange_t *exchange,
				     const document_caller_t *caller,
				     const char *id);

typedef struct collection_route {
	const char *method; /* NULL ends a table */
	bool has_id;
	const char *rest; /* after the id */
	collection_handler_t handler;
} collection_route_t;

/* Answers 404 or 405 when no route fits. */
void collection_handle(entry_t *entry, http_exchange_t *exchange,
		       const document_caller_t *caller, const char *root,
		       const collection_route_t *routes);

#endif
