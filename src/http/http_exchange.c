#include "http/http_exchange.h"

#include <stdio.h>
#include <string.h>

#include "http/http_send.h"

/* Of a header of a response, with its allocations, beside the text. */
#define HEADER_COST_BYTES 128

void http_exchange_mark_answered(http_exchange_t *exchange)
{
	if (!exchange->counted)
		return;
	exchange->counted = false;
	(*exchange->active)--;
}

const char *http_method(const http_exchange_t *exchange)
{
	static const struct {
		htp_method method;
		const char *name;
	} names[] = {
		{ htp_method_GET, "GET" },
		{ htp_method_POST, "POST" },
		{ htp_method_PUT, "PUT" },
		{ htp_method_DELETE, "DELETE" },
		{ htp_method_HEAD, "HEAD" },
		{ htp_method_PATCH, "PATCH" },
		{ htp_method_OPTIONS, "OPTIONS" },
	};
	htp_method method = evhtp_request_get_method(exchange->request);

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (names[i].method == method)
			return names[i].name;
	return HTTP_METHOD_OTHER;
}

const char *http_path(const http_exchange_t *exchange)
{
	const evhtp_uri_t *uri = exchange->request->uri;

	return uri && uri->path && uri->path->full ? uri->path->full : "/";
}

const char *http_query(http_exchange_t *exchange, const char *name)
{
	const unsigned char *raw = exchange->request->uri->query_raw;

	if (!raw)
		return NULL;
	if (!exchange->query_parsed) {
		if (evhttp_parse_query_str((const char *)raw,
					   &exchange->query) != 0)
			return NULL;
		exchange->query_parsed = true;
	}
	return evhttp_find_header(&exchange->query, name);
}

const char *http_raw_query(const http_exchange_t *exchange)
{
	return (const char *)exchange->request->uri->query_raw;
}

const char *http_header(const http_exchange_t *exchange, const char *name)
{
	return evhtp_header_find(exchange->request->headers_in, name);
}

typedef struct header_visit {
	void (*each)(const char *name, const char *value, void *user_data);
	void *user_data;
} header_visit_t;

static int visit_header(evhtp_kv_t *header, void *arg)
{
	const header_visit_t *visit = arg;

	/* evhtp adds the fields of a trailer, without their values. */
	if (!header->key || !header->val)
		return 0;
	visit->each(header->key, header->val, visit->user_data);
	return 0;
}

void http_each_header(const http_exchange_t *exchange,
		      void (*each)(const char *name, const char *value,
				   void *user_data),
		      void *user_data)
{
	header_visit_t visit = { each, user_data };

	evhtp_headers_for_each(exchange->request->headers_in, visit_header,
			       &visit);
}

void http_close_after(http_exchange_t *exchange)
{
	/* evhtp_request_set_keepalive() only ever sets the flag. */
	exchange->request->flags &= ~EVHTP_REQ_FLAG_KEEPALIVE;
	exchange->close_after = true;
}

void http_exchange_begin_response(http_exchange_t *exchange)
{
	if (*exchange->closing)
		http_close_after(exchange);
}

const char *http_body(http_exchange_t *exchange, size_t *len)
{
	struct evbuffer *input = exchange->request->buffer_in;

	if (!exchange->body) {
		exchange->body_len = evbuffer_get_length(input);
		exchange->body = g_malloc(exchange->body_len + 1);
		evbuffer_copyout(input, exchange->body, exchange->body_len);
		exchange->body[exchange->body_len] = '\0';
	}
	*len = exchange->body_len;
	return exchange->body;
}

char *http_steal_body(http_exchange_t *exchange, size_t *len)
{
	http_body(exchange, len);
	return g_steal_pointer(&exchange->body);
}

void http_set_id(http_exchange_t *exchange, const char *id)
{
	g_free(exchange->id);
	exchange->id = g_strndup(id, HTTP_ID_MAX);
	http_reply_header(exchange, "x-request-id", exchange->id);
}

const char *http_id(const http_exchange_t *exchange)
{
	return exchange->id ? exchange->id : "-";
}

const char *http_peer(const http_exchange_t *exchange)
{
	const struct sockaddr *addr = exchange->request->conn->saddr;
	char *peer = ((http_exchange_t *)exchange)->peer;
	const void *raw;

	if (addr->sa_family == AF_INET6)
		raw = &((const struct sockaddr_in6 *)addr)->sin6_addr;
	else
		raw = &((const struct sockaddr_in *)addr)->sin_addr;
	if (!inet_ntop(addr->sa_family, raw, peer, INET6_ADDRSTRLEN))
		return "-";
	return peer;
}

void http_reply_header(http_exchange_t *exchange, const char *name,
		       const char *value)
{
	evhtp_headers_add_header(exchange->request->headers_out,
				 evhtp_header_new(name, value, 1, 1));
	http_exchange_count(exchange,
			    HEADER_COST_BYTES + strlen(name) + strlen(value));
}

void http_reply(http_exchange_t *exchange, int status, const char *content_type,
		const void *body, size_t len)
{
	if (exchange->state != EXCHANGE_PENDING)
		return;
	http_exchange_begin_response(exchange);
	if (content_type)
		http_reply_header(exchange, "Content-Type", content_type);
	if (evhtp_request_get_method(exchange->request) == htp_method_HEAD) {
		char length[24];

		/*
		 * The response to HEAD states the length of the body that GET
		 * returns.
		 */
		snprintf(length, sizeof(length), "%zu", len);
		http_reply_header(exchange, "Content-Length", length);
	} else {
		evbuffer_add(exchange->request->buffer_out, body, len);
	}
	exchange->state = EXCHANGE_FINISHED;
	http_exchange_mark_answered(exchange);
	evhtp_send_reply(exchange->request, (evhtp_res)status);
	http_send_now(exchange->bev);
}
