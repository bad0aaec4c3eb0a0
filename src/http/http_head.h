#ifndef WASABILINK_HTTP_HTTP_HEAD_H
#define WASABILINK_HTTP_HTTP_HEAD_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * http_head - finds the end of a request's head in an input buffer, without
 * decoding it.
 *
 * A parser builds several objects out of each line, so that a head costs much
 * more than its bytes. A head is therefore kept as it came until it is complete;
 * its lines then tell what it will cost.
 */
typedef struct http_head {
	size_t bytes; /* scanned; of the whole head once it is complete */
	uint32_t lines; /* complete ones, with the request line */
	bool line_begun; /* the current line has a byte other than CR */
	bool complete;
} http_head_t;

/* Scans what has arrived since the last call. Returns whether the head, which
 * starts at the first byte of input, is complete. */
bool http_head_scan(http_head_t *head, struct evbuffer *input);
/* Returns the value of the first field of this name in the text of a head, up to
 * the end of its line; NULL if there is none. */
const char *http_head_find(const char *text, size_t len, const char *name);
/* Estimate of the bytes that a complete head takes while its request is in
 * progress: its fields, and their copies for one attempt at a runner. */
size_t http_head_cost(const http_head_t *head);

#endif
