#ifndef WASABILINK_PLATFORM_OBJECT_HTTP_H
#define WASABILINK_PLATFORM_OBJECT_HTTP_H

#include "http/http_client.h"
#include "object/object_store.h"

/* object_http - object_store over the platform's HTTP API (docs/design.md 4).
 * The client is borrowed. */
typedef struct object_http_options {
	http_client_t *client;
	const char *address; /* IP:port */
	int32_t timeout_ms; /* of one call, watches excepted */
} object_http_options_t;

object_store_t *object_http_new(const object_http_options_t *options);

#endif
