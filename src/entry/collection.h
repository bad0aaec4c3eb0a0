#ifndef WASABILINK_ENTRY_COLLECTION_H
#define WASABILINK_ENTRY_COLLECTION_H

#include <stdbool.h>

#include "entry/entry.h"

/*
 * collection - routes requests below a path such as /v1/files to handlers of
 * the collection, of an item by id, or of a subresource of the item.
 */
typedef void (*collection_handler_t)(entry_t *entry, http_exchange_t *exchange,
				     const document_caller_t *caller,
				     const char *id);

typedef struct collection_route {
	const char *method; /* NULL at the end of a table */
	bool has_id;
	const char
		*subresource; /* path segment after the id; "" for the item */
	collection_handler_t handler;
} collection_route_t;

/* Replies with 404 or 405 when no route matches. */
void collection_handle(entry_t *entry, http_exchange_t *exchange,
		       const document_caller_t *caller, const char *root,
		       const collection_route_t *routes);

#endif
