#ifndef WASABILINK_BACKEND_REQUEST_DIGEST_H
#define WASABILINK_BACKEND_REQUEST_DIGEST_H

#include <stddef.h>
#include <stdint.h>

/*
 * request_digest - tells whether two attempts are the same request.
 *
 * A caller that repeats a request gives each attempt an id of its own. The digest
 * covers what stays the same: method, host, target, caller and body. It is the
 * start of a SHA-256 hash, so that a caller cannot choose a request with the
 * digest of another one's.
 */
typedef struct request_content {
	const char *method;
	const char *host;
	const char *target; /* path with query */
	const char *caller; /* credentials of the caller; may be NULL */
	const void *body;
	size_t body_len;
} request_content_t;

/* Returns the digest; never 0. */
uint64_t request_digest(const request_content_t *content);

#endif
