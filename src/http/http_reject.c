#include "http/http_reject.h"

#include <sys/socket.h>

#include "http/http_linger.h"

static const struct {
	int status;
	const char *reason;
} reasons[] = {
	{ 400, "Bad Request" },
	{ 408, "Request Timeout" },
	{ 413, "Content Too Large" },
	{ 431, "Request Header Fields Too Large" },
	{ 503, "Service Unavailable" },
};

static const char *reason_phrase(int status)
{
	for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++)
		if (reasons[i].status == status)
			return reasons[i].reason;
	return "Error";
}

void http_reject_send(http_lingers_t *lingers, evutil_socket_t fd, int status,
		      const GString *headers, const GString *body)
{
	GString *response = g_string_new(NULL);
	ssize_t sent;

	g_string_append_printf(response,
			       "HTTP/1.1 %d %s\r\n%s"
			       "Content-Type: application/json\r\n"
			       "Content-Length: %zu\r\n"
			       "Connection: close\r\n\r\n%s",
			       status, reason_phrase(status), headers->str,
			       body->len, body->str);
	/*
	 * The response fits an empty socket buffer. If the buffer is full, the
	 * peer does not read and would not receive the response anyway.
	 */
	sent = send(fd, response->str, response->len,
		    MSG_DONTWAIT | MSG_NOSIGNAL);
	g_string_free(response, TRUE);
	if (sent > 0)
		http_linger(lingers, fd);
}
