#include "http/http_server.h"

#include <errno.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <evhtp.h>
#include <inttypes.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "base/bev_socket.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "http/http_chunked.h"
#include "http/http_exchange.h"
#include "http/http_head.h"
#include "http/http_linger.h"
#include "http/http_reject.h"
#include "http/http_send.h"

#define LISTEN_BACKLOG 1024
/* From this size on, the space for a body with a length is that of the whole, so
 * that a body for which there is no room is rejected early. */
#define LARGE_BODY_BYTES (64 * 1024)
#define FIRST_BODY_BYTES 4096
/* Up to this size the space for a body without a length doubles, then it grows by
 * a quarter. */
#define DOUBLED_BODY_BYTES (1024 * 1024)
#define SWEEP_INTERVAL_MS 500
/*
 * Delay within which a closed connection is detected when the caller has
 * already sent its next request; well below the 500 ms within which the work
 * for such a caller must end.
 */
#define PEER_CHECK_INTERVAL_MS 200
#define MIN_LONG_LINE_BYTES 2048
/* Passes of the event loop in which the listening socket may get connections
 * until it is closed anyway; more than some callers at a time cause. */
#define UNBIND_PASSES_MAX 1000
/* A longer request line is rejected. */
#define MAX_REQUEST_LINE_BYTES 8192
/* Bytes of a head for each byte of a name or value in the shortest lines: with a
 * colon, a blank and the end of the line, and one to spare. */
#define HEAD_BYTES_FACTOR 6
/* Bytes of empty lines before a request. */
#define MAX_EMPTY_LINE_BYTES 65536
/* A client sends its first request within this time of its connection, or may be
 * closed at the end of a drain. */
#define FIRST_REQUEST_MS 300
#define EVICTED_LOG_PERIOD_MS 1000
/* Part of the connections that may linger, and how many if these are not
 * limited. */
#define LINGER_DIVISOR 8
#define MAX_LINGERING 1024
#define MIN_LINGERING 8

struct http_server {
	evhtp_t *htp;
	struct event_base *base;
	http_stream_buffer_t *stream_buffer;
	http_handler_t handler;
	http_reject_t reject;
	void *user_data;
	struct event *release; /* frees data that waiting exchanges need not */
	GQueue released; /* http_exchange_t */
	htparser *shared_parsers[2]; /* of waiting connections, by minor */
	struct event *sweep; /* finds requests that arrive too slowly */
	struct event *unbind; /* closes the listening socket */
	GQueue connections; /* http_connection_t, the oldest first */
	http_lingers_t *lingers;
	int64_t evicted_logged_ms;
	int64_t *evicted_total; /* NULL: not counted */
	int64_t *rejected_total;
	memory_budget_t *memory;
	uint64_t max_body_bytes;
	uint32_t max_header_bytes;
	uint32_t max_connections;
	int32_t read_timeout_ms;
	uint16_t port;
	uint32_t active;
	uint32_t unbind_passes;
	bool listening;
	bool closing; /* responses announce the close of their connections */
};

/* Lives as long as the evhtp connection. */
typedef struct http_connection {
	http_server_t *server;
	evhtp_connection_t *evhtp;
	http_exchange_t *exchange; /* of the request being handled */
	memory_holder_t memory;
	struct evbuffer_cb_entry *input_watch; /* NULL: memory is not limited */
	struct evbuffer_cb_entry *output_watch;
	GList link;
	/* when the current request began to arrive, or the wait for it began */
	int64_t read_start_ms;
	int64_t read_ms; /* last time that something was read */
	uint64_t content_length; /* of the current request */
	uint64_t body_bytes; /* received */
	http_chunked_t chunks; /* decoder of a body in chunks */
	char *body; /* NULL: none has arrived */
	size_t body_size; /* allocated */
	bufferevent_data_cb evhtp_write; /* evhtp's own callbacks */
	bufferevent_data_cb evhtp_read;
	bufferevent_event_cb evhtp_event;
	http_head_t head; /* of the current request, until the parser has it */
	size_t head_cost; /* of the head that the parser has */
	size_t response_bytes; /* of the headers of the response */
	uint32_t empty_line_bytes; /* before the current request */
	uint32_t header_bytes;
	bool *freed; /* set when the connection is freed; NULL: nobody waits */
	uint16_t content_length_count; /* number of Content-Length headers */
	uint16_t coding_count; /* number of Transfer-Encoding headers */
	bool chunked;
	bool arriving; /* the request has begun to arrive */
	bool head_passed; /* the parser has the whole head */
	bool headers_complete;
	bool persistent; /* a request was received on it */
	bool handling; /* the request is complete, its response is not */
	bool shares_parser; /* see release_parser() */
	int reject_status; /* response instead of handling; 0: none */
} http_connection_t;

static http_connection_t *connection_of(const evhtp_request_t *request)
{
	return request->conn->hooks->on_connection_fini_arg;
}

static void count_memory(http_connection_t *connection)
{
	struct bufferevent *bev = connection->evhtp->bev;

	if (connection->input_watch)
		memory_holder_set(
			&connection->memory,
			evbuffer_get_length(bufferevent_get_input(bev)) +
				evbuffer_get_length(
					bufferevent_get_output(bev)) +
				connection->head_cost +
				connection->response_bytes +
				MAX(connection->body_bytes,
				    connection->body_size));
}

static void on_buffer(struct evbuffer *buffer,
		      const struct evbuffer_cb_info *info, void *arg)
{
	count_memory(arg);
}

/* Prepares for the next request on a persistent connection. */
static void connection_reset(http_connection_t *connection)
{
	connection->read_start_ms = clock_now_ms(clock_system());
	connection->content_length = 0;
	connection->body_bytes = 0;
	g_clear_pointer(&connection->body, g_free);
	connection->body_size = 0;
	connection->chunks = (http_chunked_t){ 0 };
	connection->head = (http_head_t){ 0 };
	connection->head_cost = 0;
	connection->response_bytes = 0;
	connection->empty_line_bytes = 0;
	connection->header_bytes = 0;
	connection->content_length_count = 0;
	connection->coding_count = 0;
	connection->chunked = false;
	connection->arriving = false;
	connection->head_passed = false;
	connection->headers_complete = false;
	connection->handling = false;
	memory_holder_set_receiving(&connection->memory, true);
	count_memory(connection);
}

/* Returns false if no owner waits for the end of the exchange. */
static bool detach_owner(http_exchange_t *exchange)
{
	http_closed_t closed = exchange->closed;

	exchange->closed = NULL;
	if (!closed || (exchange->state != EXCHANGE_PENDING &&
			exchange->state != EXCHANGE_STREAMING))
		return false;
	closed(exchange, exchange->closed_data);
	return true;
}

void http_exchange_count(http_exchange_t *exchange, size_t bytes)
{
	if (!exchange->connection)
		return;
	exchange->connection->response_bytes += bytes;
	count_memory(exchange->connection);
}

static void notify_closed(http_exchange_t *exchange)
{
	detach_owner(exchange);
	exchange->state = EXCHANGE_FINISHED;
	http_exchange_mark_answered(exchange);
}

/*
 * evhtp's parser takes 8 KB, and only the version is read from it while a
 * response is in progress. Waiting connections therefore share two parsers, one
 * for each minor version.
 */
static void release_parser(http_connection_t *connection)
{
	evhtp_connection_t *evhtp = connection->evhtp;
	uint8_t minor = htparser_get_minor(evhtp->parser);

	if (connection->shares_parser)
		return;
	free(evhtp->parser);
	evhtp->parser = connection->server->shared_parsers[minor];
	connection->shares_parser = true;
}

static void restore_parser(http_connection_t *connection)
{
	evhtp_connection_t *evhtp = connection->evhtp;

	if (!connection->shares_parser)
		return;
	connection->shares_parser = false;
	evhtp->parser = htparser_new();
	htparser_init(evhtp->parser, htp_type_request);
	htparser_set_userdata(evhtp->parser, evhtp);
}

/*
 * Clears evhtp's pause flag directly: evhtp_request_resume() also enables
 * writing, and evhtp shuts down an idle persistent connection that becomes
 * writable.
 */
static void exchange_resume(http_exchange_t *exchange)
{
	if (!exchange->paused)
		return;
	exchange->paused = false;
	restore_parser(exchange->connection);
	exchange->request->conn->flags &= ~EVHTP_CONN_FLAG_PAUSED;
	bufferevent_enable(exchange->bev, EV_READ);
}

void http_exchange_close(http_exchange_t *exchange)
{
	http_stream_buffer_discard(exchange->stream_buffer, exchange);
	/*
	 * The read callback then detects the end of the stream, and evhtp frees
	 * the connection.
	 */
	shutdown(bufferevent_getfd(exchange->bev), SHUT_RDWR);
	exchange_resume(exchange);
}

static bool has_peer_closed(const http_exchange_t *exchange)
{
	struct pollfd peer = { .fd = bufferevent_getfd(exchange->bev),
			       .events = POLLRDHUP };

	return poll(&peer, 1, 0) > 0;
}

static void on_peer_event(evutil_socket_t fd, short events, void *arg);

/*
 * Checks the peer periodically. After the peer has sent its next request, the
 * socket stays readable, so that read events do not reveal a reset.
 */
static void check_peer_periodically(http_exchange_t *exchange)
{
	const struct timeval period = { 0, PEER_CHECK_INTERVAL_MS * 1000 };

	event_free(exchange->peer_event);
	exchange->peer_event = event_new(exchange->base, -1, EV_PERSIST,
					 on_peer_event, exchange);
	event_add(exchange->peer_event, &period);
}

static void on_peer_event(evutil_socket_t fd, short events, void *arg)
{
	http_exchange_t *exchange = arg;

	if (!has_peer_closed(exchange)) {
		if (events & EV_READ)
			check_peer_periodically(exchange);
		return;
	}
	event_del(exchange->peer_event);
	if (exchange->state == EXCHANGE_FINISHED)
		return;
	notify_closed(exchange);
	http_exchange_close(exchange);
}

static htparser *shared_parser_new(unsigned char minor)
{
	htparser *parser = htparser_new();

	htparser_init(parser, htp_type_request);
	htparser_set_major(parser, 1);
	htparser_set_minor(parser, minor);
	return parser;
}

static void release(http_exchange_t *exchange)
{
	evhtp_request_t *request = exchange->request;

	exchange->release_link.data = NULL;
	evbuffer_drain(request->buffer_in,
		       evbuffer_get_length(request->buffer_in));
	evhtp_headers_free(request->headers_in);
	request->headers_in = evhtp_headers_new();
	g_clear_pointer(&exchange->body, g_free);
	release_parser(exchange->connection);
}

static void on_release(evutil_socket_t fd, short events, void *arg)
{
	http_server_t *server = arg;
	GList *link;

	while ((link = g_queue_pop_head_link(&server->released)))
		release(link->data);
}

void http_release_request(http_exchange_t *exchange)
{
	http_server_t *server = exchange->connection->server;

	if (exchange->release_link.data)
		return;
	/* Deferred: evhtp's parser may be on the stack. */
	exchange->release_link.data = exchange;
	g_queue_push_tail_link(&server->released, &exchange->release_link);
	event_active(server->release, EV_TIMEOUT, 0);
}

static evhtp_res on_request_fini(evhtp_request_t *request, void *arg)
{
	http_exchange_t *exchange = arg;

	notify_closed(exchange);
	http_stream_buffer_discard(exchange->stream_buffer, exchange);
	/* evhtp ends a connection before the request that is handled on it. */
	if (exchange->release_link.data)
		g_queue_unlink(exchange->released, &exchange->release_link);
	evhtp_connection_set_hook(request->conn, evhtp_hook_on_request_fini,
				  NULL, NULL);
	if (exchange->connection) {
		exchange->connection->exchange = NULL;
		connection_reset(exchange->connection);
	}
	if (exchange->peer_event)
		event_free(exchange->peer_event);
	if (exchange->query_parsed)
		evhttp_clear_headers(&exchange->query);
	g_free(exchange->body);
	g_free(exchange->id);
	g_free(exchange);
	return EVHTP_RES_OK;
}

/*
 * Lets evhtp end the request, and keep or close the connection. Runs inside the
 * write callback of evhtp.
 */
static void complete(http_exchange_t *exchange)
{
	struct bufferevent *bev = exchange->bev;

	exchange_resume(exchange);
	/* A pipelined request may be in the input buffer. */
	if (evbuffer_get_length(bufferevent_get_input(bev)) > 0)
		bufferevent_trigger(bev, EV_READ,
				    BEV_TRIG_IGNORE_WATERMARKS |
					    BEV_TRIG_DEFER_CALLBACKS);
}

static void handle_drained(http_exchange_t *exchange)
{
	http_drained_t drained = exchange->drained;

	if (http_stream_pending(exchange) > 0)
		return;
	if (exchange->state == EXCHANGE_FINISHED) {
		complete(exchange);
		return;
	}
	if (exchange->state == EXCHANGE_ABORTING) {
		exchange->state = EXCHANGE_FINISHED;
		http_exchange_close(exchange);
		return;
	}
	exchange->drained = NULL;
	if (drained)
		drained(exchange, exchange->drained_data);
}

/*
 * Runs when the output buffer is empty; evhtp ignores this event while it is
 * paused.
 */
static void on_write(struct bufferevent *bev, void *arg)
{
	evhtp_connection_t *evhtp = arg;
	http_connection_t *connection = evhtp->hooks->on_connection_fini_arg;
	bufferevent_data_cb evhtp_write = connection->evhtp_write;

	if (connection->exchange)
		handle_drained(connection->exchange);
	evhtp_write(bev, arg);
}

/*
 * Wraps the write callback, which evhtp has set by the time the first request
 * is complete.
 */
static void watch_output(http_connection_t *connection)
{
	struct bufferevent *bev = connection->evhtp->bev;
	bufferevent_data_cb read;
	bufferevent_data_cb write;
	bufferevent_event_cb event;
	void *arg;

	if (connection->evhtp_write)
		return;
	bufferevent_getcb(bev, &read, &write, &event, &arg);
	connection->evhtp_write = write;
	bufferevent_setcb(bev, read, on_write, event, arg);
}

static evhtp_res reject(http_connection_t *connection, int status)
{
	connection->reject_status = status;
	return EVHTP_RES_ERROR;
}

static evhtp_res on_header(evhtp_request_t *request, evhtp_header_t *header,
			   void *arg)
{
	http_connection_t *connection = arg;
	uint32_t max_bytes = connection->server->max_header_bytes;

	connection->header_bytes +=
		(uint32_t)(strlen(header->key) +
			   (header->val ? strlen(header->val) : 0));
	if (max_bytes && connection->header_bytes > max_bytes)
		return reject(connection, 431);
	/* A name that ends with a blank is one of its own here, and may be
	 * another one elsewhere (RFC 9112, section 5.1). */
	if (g_str_has_suffix(header->key, " ") ||
	    g_str_has_suffix(header->key, "\t"))
		return reject(connection, 400);
	if (!header->val)
		return EVHTP_RES_OK;
	if (evutil_ascii_strcasecmp(header->key, "Content-Length") == 0) {
		char *end;

		connection->content_length =
			g_ascii_strtoull(header->val, &end, 10);
		if (!g_ascii_isdigit(header->val[0]) || *end != '\0' ||
		    ++connection->content_length_count > 1)
			return reject(connection, 400);
	}
	if (evutil_ascii_strcasecmp(header->key, "Transfer-Encoding") == 0 &&
	    ++connection->coding_count > 1)
		return reject(connection, 400);
	return EVHTP_RES_OK;
}

static evhtp_res on_headers(evhtp_request_t *request, evhtp_headers_t *headers,
			    void *arg)
{
	http_connection_t *connection = arg;
	uint64_t max_bytes = connection->server->max_body_bytes;
	htparser *parser = connection->evhtp->parser;

	connection->headers_complete = true;
	/* The decoder has not seen the field that the parser has. */
	if (connection->coding_count > 0 && !connection->chunked)
		return reject(connection, 400);
	if (htparser_get_major(parser) != 1 || htparser_get_minor(parser) > 1)
		return reject(connection, 400);
	/*
	 * With two lengths, a proxy and this server could split the stream into
	 * different requests.
	 */
	if (connection->chunked && connection->content_length_count > 0)
		return reject(connection, 400);
	if (max_bytes && connection->content_length > max_bytes)
		return reject(connection, 413);
	return connection->reject_status ? EVHTP_RES_ERROR : EVHTP_RES_OK;
}

/* Makes room for a body of this length and a NUL. */
static void grow_body(http_connection_t *connection, uint64_t len)
{
	size_t size = connection->body_size;

	if (len + 1 <= size)
		return;
	size += size < DOUBLED_BODY_BYTES ? size : size / 4;
	size = MAX(size, FIRST_BODY_BYTES);
	if (connection->content_length &&
	    (size > LARGE_BODY_BYTES || size > connection->content_length))
		size = connection->content_length + 1;
	connection->body_size = MAX(size, len + 1);
	connection->body = g_realloc(connection->body, connection->body_size);
}

/*
 * All of a body is kept in one block. evhtp would keep a chain of the parts as
 * they arrived, each in a block of its own of a kilobyte or more. Returns whether
 * the body is within its limit.
 */
static bool add_to_body(http_connection_t *connection, size_t len)
{
	uint64_t max_bytes = connection->server->max_body_bytes;

	if (max_bytes && connection->body_bytes + len > max_bytes)
		return false;
	grow_body(connection, connection->body_bytes + len);
	connection->body_bytes += len;
	count_memory(connection);
	return true;
}

static evhtp_res on_body(evhtp_request_t *request, struct evbuffer *part,
			 void *arg)
{
	http_connection_t *connection = arg;
	uint64_t offset = connection->body_bytes;
	size_t len = evbuffer_get_length(part);

	if (!add_to_body(connection, len))
		return reject(connection, 413);
	evbuffer_remove(part, connection->body + offset, len);
	return EVHTP_RES_OK;
}

/*
 * Returns the status to send on a connection that evhtp closes by itself; 0:
 * none.
 */
static int final_status(const http_connection_t *connection)
{
	const evhtp_connection_t *evhtp = connection->evhtp;
	struct evbuffer *input = bufferevent_get_input(evhtp->bev);
	htpparse_error error = htparser_get_error(evhtp->parser);

	if (connection->reject_status)
		return connection->reject_status;
	if (connection->handling || error == htparse_error_none)
		return 0;
	/*
	 * The parser also reports a Content-Length that is not a number as too
	 * big.
	 */
	if (error == htparse_error_too_big &&
	    evbuffer_get_length(input) > MIN_LONG_LINE_BYTES)
		return 431;
	return 400;
}

static void send_final_status(const http_connection_t *connection)
{
	const http_server_t *server = connection->server;
	int status = final_status(connection);
	GString *headers;
	GString *body;

	if (!status)
		return;
	if (server->rejected_total)
		(*server->rejected_total)++;
	headers = g_string_new(NULL);
	body = g_string_new(NULL);
	if (server->reject)
		server->reject(status, headers, body, server->user_data);
	http_reject_send(server->lingers, connection->evhtp->sock, status,
			 headers, body);
	g_string_free(headers, TRUE);
	g_string_free(body, TRUE);
}

static void unwatch_memory(http_connection_t *connection)
{
	struct bufferevent *bev = connection->evhtp->bev;

	memory_holder_clear(&connection->memory);
	if (!connection->input_watch)
		return;
	evbuffer_remove_cb_entry(bufferevent_get_input(bev),
				 connection->input_watch);
	evbuffer_remove_cb_entry(bufferevent_get_output(bev),
				 connection->output_watch);
	connection->input_watch = NULL;
}

static evhtp_res on_connection_fini(evhtp_connection_t *evhtp, void *arg)
{
	http_connection_t *connection = arg;
	http_server_t *server = connection->server;

	if (connection->freed)
		*connection->freed = true;
	unwatch_memory(connection);
	restore_parser(connection);
	send_final_status(connection);
	if (connection->exchange && connection->exchange->close_after)
		http_linger(server->lingers, evhtp->sock);
	bev_socket_close(evhtp->bev);
	g_queue_unlink(&server->connections, &connection->link);
	if (connection->exchange)
		connection->exchange->connection = NULL;
	g_free(connection->body);
	g_free(connection);
	return EVHTP_RES_OK;
}

static bool is_too_slow(const http_connection_t *connection, int64_t now_ms)
{
	int64_t limit_ms = connection->server->read_timeout_ms;

	if (connection->handling || connection->reject_status)
		return false;
	if (connection->head_passed)
		limit_ms += (int64_t)(connection->body_bytes * 1000 /
				      HTTP_MIN_BODY_RATE);
	return now_ms - connection->read_start_ms > limit_ms;
}

/* Whether the socket has bytes that have not been read. */
static bool is_readable(const http_connection_t *connection)
{
	int unread = 0;

	return ioctl(connection->evhtp->sock, FIONREAD, &unread) == 0 &&
	       unread > 0;
}

static bool has_unread_input(const http_connection_t *connection)
{
	evhtp_connection_t *evhtp = connection->evhtp;

	return evbuffer_get_length(bufferevent_get_input(evhtp->bev)) > 0 ||
	       is_readable(connection);
}

/*
 * True for a persistent connection that waits for a request; it is closed
 * without a response.
 */
static bool is_idle(const http_connection_t *connection)
{
	return connection->persistent && !connection->handling &&
	       !connection->arriving && !has_unread_input(connection);
}

/* Whether the first request of a new connection may still be on its way. */
static bool awaits_first_request(const http_connection_t *connection)
{
	return !connection->persistent &&
	       clock_now_ms(clock_system()) - connection->read_start_ms <
		       FIRST_REQUEST_MS;
}

/* True when a part of a request has been received. */
static bool is_receiving(const http_connection_t *connection)
{
	struct evbuffer *input = bufferevent_get_input(connection->evhtp->bev);

	return !connection->handling && !connection->reject_status &&
	       (connection->header_bytes > 0 || evbuffer_get_length(input) > 0);
}

static void on_sweep(evutil_socket_t fd, short events, void *arg)
{
	http_server_t *server = arg;
	const struct timeval period = { 0, SWEEP_INTERVAL_MS * 1000 };
	int64_t now_ms = clock_now_ms(clock_system());
	GList *link = server->connections.head;

	while (link) {
		http_connection_t *connection = link->data;

		link = link->next;
		if (!is_too_slow(connection, now_ms))
			continue;
		if (!is_idle(connection))
			connection->reject_status = 408;
		evhtp_connection_free(connection->evhtp);
	}
	evtimer_add(server->sweep, &period);
}

static void on_request(evhtp_request_t *request, void *arg)
{
	http_server_t *server = arg;
	http_exchange_t *exchange = g_new0(http_exchange_t, 1);
	http_connection_t *connection = connection_of(request);

	connection->handling = true;
	connection->persistent = true;
	memory_holder_set_receiving(&connection->memory, false);
	exchange->base = server->base;
	exchange->stream_buffer = server->stream_buffer;
	exchange->active = &server->active;
	exchange->closing = &server->closing;
	exchange->released = &server->released;
	exchange->connection = connection;
	connection->exchange = exchange;
	exchange->request = request;
	exchange->bev = evhtp_request_get_bev(request);
	exchange->counted = true;
	exchange->body = g_steal_pointer(&connection->body);
	if (exchange->body) {
		exchange->body_len = connection->body_bytes;
		exchange->body[exchange->body_len] = '\0';
	}
	server->active++;
	/* A hook on the request itself would allocate a table of all hooks. */
	evhtp_connection_set_hook(connection->evhtp, evhtp_hook_on_request_fini,
				  (evhtp_hook)on_request_fini, exchange);
	/*
	 * Handles one request at a time: a pipelined request waits in the input
	 * buffer. evhtp does not resume pipelined input unless it was paused.
	 */
	exchange->paused = true;
	watch_output(connection);
	evhtp_request_pause(request);
	server->handler(exchange, server->user_data);
	/*
	 * A response sent inside the handler has overwritten the status, and
	 * evhtp would close the connection without this value.
	 */
	request->status = EVHTP_RES_PAUSE;
}

/* A request that is still arriving has not run. */
static void close_for_memory(http_connection_t *connection)
{
	log_info("connection_given_up",
		 "bytes=%zu body_bytes=%" PRIu64 " handling=%d",
		 connection->memory.bytes, connection->body_bytes,
		 connection->handling);
	if (connection->exchange)
		notify_closed(connection->exchange);
	else if (is_receiving(connection))
		connection->reject_status = 503;
	evhtp_connection_free(connection->evhtp);
}

/*
 * Returns whether the next request has begun to arrive. Skips empty lines, which
 * some clients send behind a body (RFC 9112, section 2.2).
 */
static bool begins_request(http_connection_t *connection,
			   struct evbuffer *input)
{
	char first;

	if (connection->arriving)
		return true;
	while (evbuffer_copyout(input, &first, 1) == 1) {
		if (first != '\r' && first != '\n') {
			connection->arriving = true;
			connection->read_start_ms =
				clock_now_ms(clock_system());
			return true;
		}
		evbuffer_drain(input, 1);
		connection->empty_line_bytes++;
	}
	return false;
}

/* The start of a method. Other input is passed to the parser, which rejects
 * it. */
static bool starts_with_method(struct evbuffer *input)
{
	char first;

	return evbuffer_copyout(input, &first, 1) == 1 &&
	       g_ascii_isupper(first);
}

/* Returns the status for a request whose head is too large; 0: it is not. */
static int check_head_size(const http_connection_t *connection)
{
	const http_head_t *head = &connection->head;
	uint64_t max_bytes = connection->server->max_header_bytes;

	if (connection->empty_line_bytes > MAX_EMPTY_LINE_BYTES)
		return 400;
	if (head->lines == 0 && head->bytes >= MAX_REQUEST_LINE_BYTES)
		return 431;
	if (max_bytes && head->bytes > MAX_REQUEST_LINE_BYTES +
					       max_bytes * HEAD_BYTES_FACTOR)
		return 431;
	return 0;
}

/* Closes a connection whose request has not been handled. */
static void close_rejected(http_connection_t *connection, int status)
{
	connection->reject_status = status;
	evhtp_connection_free(connection->evhtp);
}

/* Returns false if the connection was freed. */
static bool run_parser(http_connection_t *connection, struct bufferevent *bev)
{
	bool freed = false;

	connection->freed = &freed;
	connection->evhtp_read(bev, connection->evhtp);
	if (!freed)
		connection->freed = NULL;
	return !freed;
}

/* Returns the number of bytes that were read of the block, or -1 if the body is
 * too large. */
static ssize_t decode_block(http_connection_t *connection, const char *data,
			    size_t len)
{
	http_chunked_t *chunks = &connection->chunks;
	size_t at = 0;

	while (at < len && chunks->state < HTTP_CHUNKED_DONE) {
		uint64_t offset = connection->body_bytes;
		const char *part;
		size_t part_len;

		at += http_chunked_read(chunks, data + at, len - at, &part,
					&part_len);
		if (part_len == 0)
			continue;
		if (!add_to_body(connection, part_len))
			return -1;
		memcpy(connection->body + offset, part, part_len);
	}
	return (ssize_t)at;
}

/* Returns false if the body is too large. */
static bool decode_chunks(http_connection_t *connection, struct evbuffer *input)
{
	struct evbuffer_iovec block;

	while (connection->chunks.state < HTTP_CHUNKED_DONE &&
	       evbuffer_peek(input, -1, NULL, &block, 1) > 0) {
		ssize_t len =
			decode_block(connection, block.iov_base, block.iov_len);

		if (len < 0)
			return false;
		evbuffer_drain(input, (size_t)len);
	}
	return true;
}

/*
 * Decodes a body in chunks. evhtp's parser takes the fields of a trailer for the
 * next request, reads sizes that are no numbers, and keeps each chunk in a block
 * of its own; it sees an empty body instead.
 */
static void read_chunks(http_connection_t *connection, struct bufferevent *bev)
{
	static const char last_chunk[] = "0\r\n\r\n";
	struct evbuffer *input = bufferevent_get_input(bev);

	if (!decode_chunks(connection, input)) {
		close_rejected(connection, 413);
	} else if (connection->chunks.state == HTTP_CHUNKED_INVALID) {
		close_rejected(connection, 400);
	} else if (connection->chunks.state == HTTP_CHUNKED_DONE) {
		evbuffer_prepend(input, last_chunk, strlen(last_chunk));
		run_parser(connection, bev);
	}
}

typedef enum coding { CODING_NONE, CODING_CHUNKED, CODING_UNKNOWN } coding_t;

/* The parser knows only the name in lower case and at the end of its line, so
 * that the value is changed in the head. */
static coding_t read_transfer_coding(const http_connection_t *connection,
				     struct evbuffer *input)
{
	static const char chunked[] = "chunked";
	size_t len = connection->head.bytes;
	const char *text = (const char *)evbuffer_pullup(input, (ssize_t)len);
	char *value = (char *)http_head_find(text, len, "Transfer-Encoding");
	char *end;

	if (!value)
		return CODING_NONE;
	value += strspn(value, " \t");
	if (g_ascii_strncasecmp(value, chunked, strlen(chunked)) != 0)
		return CODING_UNKNOWN;
	end = value + strlen(chunked);
	end += strspn(end, " \t");
	if (*end != '\r' && *end != '\n')
		return CODING_UNKNOWN;
	memset(value, ' ', (size_t)(end - value));
	memcpy(end - strlen(chunked), chunked, strlen(chunked));
	return CODING_CHUNKED;
}

/* Moves what follows the head out of the input buffer. A bufferevent lets others
 * add to the front of its input only. */
static struct evbuffer *split_after_head(const http_connection_t *connection,
					 struct evbuffer *input)
{
	struct evbuffer *head = evbuffer_new();
	struct evbuffer *rest = evbuffer_new();

	evbuffer_add_buffer(rest, input);
	evbuffer_remove_buffer(rest, head, connection->head.bytes);
	evbuffer_prepend_buffer(input, head);
	evbuffer_free(head);
	return rest;
}

/*
 * Passes the whole head to evhtp's parser. Given to it in several reads, a
 * request line would get a stray character into its target. What the parser
 * will make out of the head is counted before. A body in chunks does not go
 * through the parser, see read_chunks().
 */
static void pass_head(http_connection_t *connection, struct bufferevent *bev)
{
	struct evbuffer *input = bufferevent_get_input(bev);
	struct evbuffer *rest = NULL;
	coding_t coding = CODING_NONE;
	bool open;

	if (connection->head.complete)
		coding = read_transfer_coding(connection, input);
	if (coding == CODING_UNKNOWN) {
		close_rejected(connection, 400);
		return;
	}
	connection->head_cost = http_head_cost(&connection->head);
	count_memory(connection);
	if (!memory_holder_make_room(&connection->memory)) {
		close_rejected(connection, 503);
		return;
	}
	connection->head_passed = true;
	if (coding == CODING_CHUNKED) {
		connection->chunked = true;
		rest = split_after_head(connection, input);
	}
	open = run_parser(connection, bev);
	if (open && rest)
		evbuffer_prepend_buffer(input, rest);
	if (rest)
		evbuffer_free(rest);
	if (!open)
		return;
	/* The parser sees another end of the head, or none. */
	if (connection->head_passed && !connection->headers_complete)
		close_rejected(connection, 400);
	else if (rest && connection->head_passed && !connection->handling)
		read_chunks(connection, bev);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	evhtp_connection_t *evhtp = arg;
	http_connection_t *connection = evhtp->hooks->on_connection_fini_arg;
	struct evbuffer *input = bufferevent_get_input(bev);
	int status;

	if (connection->handling) {
		connection->evhtp_read(bev, arg);
		return;
	}
	connection->read_ms = clock_now_ms(clock_system());
	if (!memory_holder_make_room(&connection->memory)) {
		close_for_memory(connection);
		return;
	}
	if (connection->head_passed && connection->chunked) {
		read_chunks(connection, bev);
		return;
	}
	if (connection->head_passed) {
		connection->evhtp_read(bev, arg);
		return;
	}
	if (begins_request(connection, input) && starts_with_method(input))
		http_head_scan(&connection->head, input);
	status = check_head_size(connection);
	if (status)
		close_rejected(connection, status);
	else if (connection->arriving &&
		 (connection->head.complete || !starts_with_method(input)))
		pass_head(connection, bev);
}

/* evhtp closes the connection at its read timeout without a response. */
static void on_event(struct bufferevent *bev, short events, void *arg)
{
	evhtp_connection_t *evhtp = arg;
	http_connection_t *connection = evhtp->hooks->on_connection_fini_arg;

	if ((events & BEV_EVENT_TIMEOUT) && connection->arriving &&
	    !connection->handling && !connection->reject_status)
		connection->reject_status = 408;
	connection->evhtp_event(bev, events, arg);
}

static void on_give_way(void *user_data)
{
	close_for_memory(user_data);
}

static void watch_memory(http_connection_t *connection)
{
	struct bufferevent *bev = connection->evhtp->bev;
	memory_budget_t *memory = connection->server->memory;

	memory_holder_init(&connection->memory, memory, "caller", on_give_way,
			   connection);
	if (!memory)
		return;
	connection->input_watch = evbuffer_add_cb(bufferevent_get_input(bev),
						  on_buffer, connection);
	connection->output_watch = evbuffer_add_cb(bufferevent_get_output(bev),
						   on_buffer, connection);
}

static void watch_input(http_connection_t *connection)
{
	struct bufferevent *bev = connection->evhtp->bev;
	bufferevent_data_cb write;
	void *arg;

	bufferevent_getcb(bev, &connection->evhtp_read, &write,
			  &connection->evhtp_event, &arg);
	bufferevent_setcb(bev, on_read, write, on_event, arg);
}

/* Which connections are closed first for a new one: those whose clients have sent
 * nothing yet, those that wait for the rest of a request, and those that are kept
 * for another request. */
static int eviction_rank(const http_connection_t *connection)
{
	if (connection->arriving)
		return 1;
	return connection->persistent ? 0 : 2;
}

static bool is_evicted_before(const http_connection_t *connection,
			      const http_connection_t *other)
{
	int rank = eviction_rank(connection);
	int other_rank = eviction_rank(other);

	if (rank != other_rank)
		return rank > other_rank;
	return connection->read_ms < other->read_ms;
}

/*
 * Closes the connection that has waited longest for its client, of those to be
 * closed first. An ordinary client sends its request at once and is not among
 * them, however many connections come. Returns false if none waits.
 */
static bool evict(http_server_t *server)
{
	int64_t now_ms = clock_now_ms(clock_system());
	http_connection_t *found = NULL;

	for (GList *link = server->connections.head; link; link = link->next) {
		http_connection_t *connection = link->data;

		if (!connection->handling && !connection->reject_status &&
		    (!found || is_evicted_before(connection, found)) &&
		    !is_readable(connection))
			found = connection;
	}
	if (now_ms - server->evicted_logged_ms >= EVICTED_LOG_PERIOD_MS) {
		server->evicted_logged_ms = now_ms;
		log_warn("connections_full", "port=%u max=%u closed=%d",
			 server->port, server->max_connections, found != NULL);
	}
	if (!found)
		return false;
	if (server->evicted_total)
		(*server->evicted_total)++;
	if (is_receiving(found))
		found->reject_status = 503;
	evhtp_connection_free(found->evhtp);
	return true;
}

static evhtp_res on_accept(evhtp_connection_t *evhtp, void *arg)
{
	http_server_t *server = arg;
	http_connection_t *connection = g_new0(http_connection_t, 1);
	bool has_room = true;
	int one = 1;

	setsockopt(evhtp->sock, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	connection->server = server;
	connection->evhtp = evhtp;
	connection->link.data = connection;
	connection_reset(connection);
	connection->read_ms = connection->read_start_ms;
	evhtp_connection_set_hook(evhtp, evhtp_hook_on_header,
				  (evhtp_hook)on_header, connection);
	evhtp_connection_set_hook(evhtp, evhtp_hook_on_headers,
				  (evhtp_hook)on_headers, connection);
	evhtp_connection_set_hook(evhtp, evhtp_hook_on_read,
				  (evhtp_hook)on_body, connection);
	evhtp_connection_set_hook(evhtp, evhtp_hook_on_connection_fini,
				  (evhtp_hook)on_connection_fini, connection);
	watch_input(connection);
	watch_memory(connection);
	if (server->max_connections &&
	    server->connections.length >= server->max_connections)
		has_room = evict(server);
	g_queue_push_tail_link(&server->connections, &connection->link);
	return has_room ? EVHTP_RES_OK : reject(connection, 503);
}

/* On Linux the port is at the same offset in both address families. */
static uint16_t bound_port(evhtp_t *htp)
{
	struct sockaddr_in6 address = { 0 };
	socklen_t len = sizeof(address);

	if (getsockname(evconnlistener_get_fd(htp->server),
			(struct sockaddr *)&address, &len) != 0)
		return 0;
	return ntohs(address.sin6_port);
}

/*
 * Closing the socket resets the connections in its backlog. A pass of the event
 * loop accepts these before it runs timers, but handles events in between.
 */
static void on_unbind(evutil_socket_t fd, short events, void *arg)
{
	http_server_t *server = arg;
	const struct timeval next_pass = { 0, 0 };
	struct pollfd backlog = {
		.fd = evconnlistener_get_fd(server->htp->server),
		.events = POLLIN,
	};

	if (++server->unbind_passes < UNBIND_PASSES_MAX &&
	    poll(&backlog, 1, 0) > 0) {
		evtimer_add(server->unbind, &next_pass);
		return;
	}
	evhtp_unbind_socket(server->htp);
}

http_server_t *http_server_new(const http_server_options_t *options,
			       GError **error)
{
	http_server_t *server = g_new0(http_server_t, 1);
	struct timeval timeout = { options->read_timeout_ms / 1000,
				   options->read_timeout_ms % 1000 * 1000 };

	server->base = options->base;
	server->memory = options->memory;
	if (options->counters) {
		server->evicted_total =
			counter_get(options->counters, COUNTER_MONOTONIC,
				    "http_evicted_total", NULL);
		server->rejected_total =
			counter_get(options->counters, COUNTER_MONOTONIC,
				    "http_rejected_total", NULL);
	}
	server->stream_buffer = http_stream_buffer_new(options->base);
	server->handler = options->handler;
	server->reject = options->reject;
	server->max_body_bytes = options->max_body_bytes;
	server->max_header_bytes = options->max_header_bytes;
	server->max_connections = options->max_connections;
	server->read_timeout_ms = options->read_timeout_ms;
	g_queue_init(&server->connections);
	server->lingers = http_lingers_new(
		options->base,
		options->max_connections ?
			MIN(options->max_connections / LINGER_DIVISOR +
				    MIN_LINGERING,
			    MAX_LINGERING) :
			MAX_LINGERING);
	server->user_data = options->user_data;
	server->htp = evhtp_new(options->base, NULL);
	evhtp_set_gencb(server->htp, on_request, server);
	evhtp_set_post_accept_cb(server->htp, on_accept, server);
	if (options->read_timeout_ms)
		evhtp_set_timeouts(server->htp, &timeout, &timeout);
	if (evhtp_bind_socket(server->htp, options->address, options->port,
			      LISTEN_BACKLOG) != 0) {
		g_set_error(error, WL_ERROR, WL_ERROR_UNAVAILABLE,
			    "cannot listen on %s:%u: %s", options->address,
			    options->port, g_strerror(errno));
		evhtp_free(server->htp);
		http_lingers_free(server->lingers);
		http_stream_buffer_free(server->stream_buffer);
		g_free(server);
		return NULL;
	}
	server->port = bound_port(server->htp);
	server->listening = true;
	g_queue_init(&server->released);
	server->release = event_new(options->base, -1, 0, on_release, server);
	for (unsigned char minor = 0; minor < 2; minor++)
		server->shared_parsers[minor] = shared_parser_new(minor);
	server->sweep = evtimer_new(options->base, on_sweep, server);
	server->unbind = evtimer_new(options->base, on_unbind, server);
	if (options->read_timeout_ms)
		on_sweep(-1, 0, server);
	return server;
}

void http_server_free(http_server_t *server)
{
	if (!server)
		return;
	event_free(server->sweep);
	event_free(server->release);
	if (server->listening || evtimer_pending(server->unbind, NULL))
		evhtp_unbind_socket(server->htp);
	event_free(server->unbind);
	evhtp_free(server->htp);
	http_lingers_free(server->lingers);
	http_stream_buffer_free(server->stream_buffer);
	for (size_t i = 0; i < G_N_ELEMENTS(server->shared_parsers); i++)
		free(server->shared_parsers[i]);
	g_free(server);
}

void http_server_stop_listening(http_server_t *server)
{
	const struct timeval next_pass = { 0, 0 };

	if (!server->listening)
		return;
	server->listening = false;
	evtimer_add(server->unbind, &next_pass);
}

void http_server_announce_close(http_server_t *server)
{
	server->closing = true;
}

void http_server_close_idle(http_server_t *server)
{
	GList *link = server->connections.head;

	while (link) {
		http_connection_t *connection = link->data;

		link = link->next;
		if (is_idle(connection))
			evhtp_connection_free(connection->evhtp);
	}
}

static void end_exchange(http_exchange_t *exchange, http_handler_t answer,
			 void *user_data)
{
	if (!detach_owner(exchange))
		return;
	if (exchange->state == EXCHANGE_STREAMING) {
		http_stream_abort(exchange);
		return;
	}
	http_close_after(exchange);
	answer(exchange, user_data);
}

void http_server_end_exchanges(http_server_t *server, http_handler_t answer)
{
	GList *link = server->connections.head;

	while (link) {
		http_connection_t *connection = link->data;

		link = link->next;
		if (connection->exchange) {
			end_exchange(connection->exchange, answer,
				     server->user_data);
		} else if (is_receiving(connection)) {
			connection->reject_status = 503;
			evhtp_connection_free(connection->evhtp);
		}
	}
}

bool http_server_is_drained(const http_server_t *server)
{
	for (GList *link = server->connections.head; link; link = link->next) {
		const http_connection_t *connection = link->data;
		struct evbuffer *output =
			bufferevent_get_output(connection->evhtp->bev);

		if (connection->handling || connection->arriving ||
		    has_unread_input(connection) ||
		    awaits_first_request(connection) ||
		    evbuffer_get_length(output) > 0)
			return false;
	}
	return server->active == 0;
}

void http_server_raise_limits(http_server_t *server, uint32_t max_header_bytes,
			      uint64_t max_body_bytes)
{
	if (server->max_header_bytes)
		server->max_header_bytes =
			MAX(server->max_header_bytes, max_header_bytes);
	if (server->max_body_bytes)
		server->max_body_bytes =
			MAX(server->max_body_bytes, max_body_bytes);
}

uint16_t http_server_port(const http_server_t *server)
{
	return server->port;
}

uint32_t http_server_active(const http_server_t *server)
{
	return server->active;
}

void http_on_closed(http_exchange_t *exchange, http_closed_t closed,
		    void *user_data)
{
	struct bufferevent *bev = exchange->bev;

	exchange->closed = closed;
	exchange->closed_data = user_data;
	if (exchange->peer_event || !closed)
		return;
	/*
	 * A paused connection does not read, so that detecting a close
	 * needs a separate event. It includes EV_READ, as a reset is reported
	 * as EV_READ alone and the loop would spin without it.
	 */
	exchange->peer_event = event_new(exchange->base, bufferevent_getfd(bev),
					 EV_READ | EV_CLOSED | EV_PERSIST,
					 on_peer_event, exchange);
	event_add(exchange->peer_event, NULL);
}
