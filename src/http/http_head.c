#include "http/http_head.h"

#include <glib.h>
#include <string.h>

#define SCAN_VECTORS 8
/* Of a field in three lists, with the allocations of its name and value. */
#define LINE_COST_BYTES 320
/* Copies of a name and value: in the three lists and in the text that is sent. */
#define COPIES 4

/* Returns the number of bytes up to the end of the head, or all. */
static size_t scan(http_head_t *head, const char *data, size_t len)
{
	const char *at = data;
	const char *end = data + len;

	while (at < end) {
		if (*at != '\n' && *at != '\r') {
			head->line_begun = true;
			at = memchr(at, '\n', (size_t)(end - at));
			if (!at)
				return len;
		}
		if (*at++ != '\n')
			continue;
		head->lines++;
		head->complete = !head->line_begun;
		if (head->complete)
			break;
		head->line_begun = false;
	}
	return (size_t)(at - data);
}

bool http_head_scan(http_head_t *head, struct evbuffer *input)
{
	while (!head->complete && head->bytes < evbuffer_get_length(input)) {
		struct evbuffer_iovec vectors[SCAN_VECTORS];
		struct evbuffer_ptr start;
		int count;

		evbuffer_ptr_set(input, &start, head->bytes, EVBUFFER_PTR_SET);
		count = evbuffer_peek(input, -1, &start, vectors, SCAN_VECTORS);
		for (int i = 0; i < count && i < SCAN_VECTORS; i++) {
			head->bytes += scan(head, vectors[i].iov_base,
					    vectors[i].iov_len);
			if (head->complete)
				break;
		}
	}
	return head->complete;
}

const char *http_head_find(const char *text, size_t len, const char *name)
{
	const char *end = text + len;
	size_t name_len = strlen(name);

	for (const char *at = text; at; at = memchr(at, '\n', end - at)) {
		if (*at == '\n')
			at++;
		if ((size_t)(end - at) <= name_len)
			return NULL;
		if (g_ascii_strncasecmp(at, name, name_len) == 0 &&
		    at[name_len] == ':')
			return at + name_len + 1;
	}
	return NULL;
}

size_t http_head_cost(const http_head_t *head)
{
	return (size_t)head->lines * LINE_COST_BYTES + head->bytes * COPIES;
}
