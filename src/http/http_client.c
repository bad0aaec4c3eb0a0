#include "http/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "base/keepalive.h"
#include "base/log.h"
#include "http/http_send.h"

#define MAX_IDLE_CONNECTIONS_PER_ADDRESS 256
#define MAX_RESPONSE_BYTES (64 * 1024 * 1024)
#define MAX_RESPONSE_HEAD_BYTES (64 * 1024)
/* evhttp builds three allocations out of each line of a head. This is what they
 * take for each byte of the shortest lines. */
#define HEAD_COST_FACTOR 24

typedef struct pooled_connection {
	struct evhttp_connection *evcon;
	char *address;
	http_call_t *call; /* NULL: idle or discarded */
	bool wrote; /* bytes of the current call went to the socket */
} pooled_connection_t;

struct http_client {
	struct event_base *base;
	memory_budget_t *memory; /* NULL: not limited */
	int64_t *status_invalid_total; /* NULL: not counted */
	GHashTable *idle; /* address -> GQueue of pooled_connection_t */
	GHashTable *calls; /* set of calls in progress */
	GQueue discarded; /* connections to free outside evhttp's callbacks */
	struct event *discard_event;
	struct event *flush_event;
	http_call_t *buffered_call; /* whose data is buffered; NULL: none */
	GString *buffered_data;
};

struct http_call {
	http_client_t *client;
	pooled_connection_t *connection;
	struct evhttp_request *request;
	struct event *timer; /* deadline, deferred failure or deferred cancel */
	http_headers_t on_headers;
	http_data_t on_data;
	http_done_t on_done;
	void *user_data;
	GString *body;
	memory_holder_t memory;
	int status;
	bool transport_error; /* evhttp reported a failure after connecting */
	size_t head_bytes; /* that evhttp has read of the head */
	bool status_line_invalid;
	bool headers_dropped;
	bool cancelled;
	bool single_use;
	/* rest of timeout_ms after the connect timeout; 0: none */
	int32_t after_connect_timeout_ms;
	bool starting; /* inside evhttp_make_request() */
	bool failed_to_start;
};

static void connection_free(pooled_connection_t *connection)
{
	evhttp_connection_free(connection->evcon);
	g_free(connection->address);
	g_free(connection);
}

static void on_discard(evutil_socket_t fd, short events, void *arg)
{
	http_client_t *client = arg;
	pooled_connection_t *connection;

	while ((connection = g_queue_pop_head(&client->discarded)))
		connection_free(connection);
}

static void discard_connection(http_client_t *client,
			       pooled_connection_t *connection)
{
	connection->call = NULL;
	g_queue_push_tail(&client->discarded, connection);
	event_active(client->discard_event, EV_TIMEOUT, 0);
}

static void idle_queue_free(void *data)
{
	GQueue *queue = data;

	g_queue_free_full(queue, (GDestroyNotify)connection_free);
}

/*
 * evhttp reports each chunk of a response separately. The chunks that arrive in
 * one pass of the event loop are passed to the caller together, at the end of
 * the pass.
 */
static void flush_buffered(http_client_t *client)
{
	http_call_t *call = client->buffered_call;
	GString *buffered_data = client->buffered_data;

	if (!call)
		return;
	client->buffered_call = NULL;
	if (!call->cancelled)
		call->on_data(call, buffered_data->str, buffered_data->len,
			      call->user_data);
	g_string_truncate(buffered_data, 0);
}

static void on_flush(evutil_socket_t fd, short events, void *arg)
{
	flush_buffered(arg);
}

http_client_t *http_client_new(struct event_base *base)
{
	http_client_t *client = g_new0(http_client_t, 1);

	client->base = base;
	client->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     idle_queue_free);
	client->calls = g_hash_table_new(NULL, NULL);
	g_queue_init(&client->discarded);
	client->discard_event = event_new(base, -1, 0, on_discard, client);
	client->flush_event = event_new(base, -1, 0, on_flush, client);
	client->buffered_data = g_string_new(NULL);
	return client;
}

static void on_output(struct evbuffer *output,
		      const struct evbuffer_cb_info *info, void *arg)
{
	pooled_connection_t *connection = arg;

	if (info->n_deleted > 0)
		connection->wrote = true;
}

/* Counts what the call has received and nobody has taken yet. evhttp keeps a
 * chunk, and the line with its size, until it is complete, and the head until
 * the response is, or its headers are dropped. */
static void count_memory(http_call_t *call)
{
	struct bufferevent *bev =
		evhttp_connection_get_bufferevent(call->connection->evcon);
	size_t bytes = evbuffer_get_length(bufferevent_get_input(bev));

	if (!call->headers_dropped)
		bytes += call->head_bytes * HEAD_COST_FACTOR;
	if (call->body)
		bytes += call->body->len;
	if (call->client->buffered_call == call)
		bytes += call->client->buffered_data->len;
	memory_holder_set(&call->memory, bytes);
}

/*
 * evhttp takes any characters for a status, and a number for what it begins with.
 * Returns false if the status line is certainly none; input begins with it.
 */
static bool check_status_line(struct evbuffer *input)
{
	static const char form[] = "HTTP/1.x ddd";
	char line[sizeof(form)];
	ssize_t len = evbuffer_copyout(input, line, sizeof(line));

	for (ssize_t i = 0; i < len && i < (ssize_t)strlen(form); i++) {
		if (form[i] == 'd' || form[i] == 'x') {
			if (!g_ascii_isdigit(line[i]))
				return false;
		} else if (line[i] != form[i]) {
			return false;
		}
	}
	if (len < (ssize_t)sizeof(line))
		return true;
	return line[strlen(form)] == ' ' || line[strlen(form)] == '\r' ||
	       line[strlen(form)] == '\n';
}

static void on_input(struct evbuffer *input,
		     const struct evbuffer_cb_info *info, void *arg)
{
	const pooled_connection_t *connection = arg;
	http_call_t *call = connection->call;

	if (!call)
		return;
	if (call->head_bytes == 0 && info->n_added > 0 &&
	    !check_status_line(input))
		call->status_line_invalid = true;
	if (call->status == 0)
		call->head_bytes += info->n_deleted;
	count_memory(call);
}

static pooled_connection_t *connection_open(http_client_t *client,
					    const char *address)
{
	pooled_connection_t *connection = g_new0(pooled_connection_t, 1);
	const char *colon = strrchr(address, ':');
	char *host =
		colon ? g_strndup(address, colon - address) : g_strdup(address);
	uint16_t port =
		colon ? (uint16_t)g_ascii_strtoull(colon + 1, NULL, 10) : 80;

	connection->address = g_strdup(address);
	connection->evcon = evhttp_connection_base_bufferevent_new(
		client->base, NULL, NULL, host, port);
	evhttp_connection_set_max_headers_size(connection->evcon,
					       MAX_RESPONSE_HEAD_BYTES);
	evhttp_connection_set_max_body_size(connection->evcon,
					    MAX_RESPONSE_BYTES);
	evbuffer_add_cb(
		bufferevent_get_output(
			evhttp_connection_get_bufferevent(connection->evcon)),
		on_output, connection);
	evbuffer_add_cb(bufferevent_get_input(evhttp_connection_get_bufferevent(
				connection->evcon)),
			on_input, connection);
	g_free(host);
	return connection;
}

static pooled_connection_t *
connection_acquire(http_client_t *client, const http_request_options_t *options)
{
	GQueue *queue = g_hash_table_lookup(client->idle, options->address);

	if (!options->fresh_connection && !options->single_use && queue &&
	    !g_queue_is_empty(queue))
		return g_queue_pop_tail(queue);
	return connection_open(client, options->address);
}

/* Whether bytes follow the response. The next call would take them for its
 * own. */
static bool has_excess_bytes(const pooled_connection_t *connection)
{
	struct bufferevent *bev =
		evhttp_connection_get_bufferevent(connection->evcon);

	return evbuffer_get_length(bufferevent_get_input(bev)) > 0;
}

static void connection_release(http_client_t *client,
			       pooled_connection_t *connection)
{
	GQueue *queue = g_hash_table_lookup(client->idle, connection->address);

	connection->call = NULL;
	if (has_excess_bytes(connection)) {
		log_warn("excess_bytes", "address=%s", connection->address);
		discard_connection(client, connection);
		return;
	}
	if (!queue) {
		queue = g_queue_new();
		g_hash_table_insert(client->idle, g_strdup(connection->address),
				    queue);
	}
	if (g_queue_get_length(queue) >= MAX_IDLE_CONNECTIONS_PER_ADDRESS) {
		discard_connection(client, connection);
		return;
	}
	g_queue_push_tail(queue, connection);
}

static void call_free(http_call_t *call)
{
	memory_holder_clear(&call->memory);
	if (call->client->buffered_call == call) {
		call->client->buffered_call = NULL;
		g_string_truncate(call->client->buffered_data, 0);
	}
	if (call->timer)
		event_free(call->timer);
	if (call->body)
		g_string_free(call->body, TRUE);
	g_free(call);
}

static void call_finish(http_call_t *call, http_outcome_t outcome)
{
	http_response_t response = {
		.outcome = outcome,
		.status = call->status,
		.body = call->body ? call->body->str : "",
		.body_len = call->body ? call->body->len : 0,
		.call = call,
	};

	g_hash_table_remove(call->client->calls, call);
	if (!call->cancelled && call->on_done)
		call->on_done(&response, call->user_data);
	call->request = NULL;
	call_free(call);
}

static void on_evhttp_error(enum evhttp_request_error error, void *arg)
{
	http_call_t *call = arg;

	call->transport_error = true;
}

static void buffer_data(http_call_t *call, struct evbuffer *input, size_t len)
{
	http_client_t *client = call->client;
	GString *buffered_data = client->buffered_data;
	size_t old_len;

	if (client->buffered_call != call)
		flush_buffered(client);
	if (!client->buffered_call)
		event_active(client->flush_event, EV_TIMEOUT, 0);
	client->buffered_call = call;
	old_len = buffered_data->len;
	g_string_set_size(buffered_data, old_len + len);
	evbuffer_copyout(input, buffered_data->str + old_len, len);
}

static void on_evhttp_done(struct evhttp_request *request, void *arg)
{
	http_call_t *call = arg;
	http_client_t *client = call->client;
	pooled_connection_t *connection = call->connection;
	int status = request ? evhttp_request_get_response_code(request) : 0;
	bool wrote;

	if (call->starting) {
		/*
		 * A connect that fails immediately, for example without free
		 * ports, is reported from inside evhttp_make_request().
		 */
		call->failed_to_start = true;
		call->request = NULL;
		return;
	}
	if (client->buffered_call == call)
		flush_buffered(client);
	if (call->cancelled) {
		call->request = NULL; /* evhttp frees it after this callback */
		return;
	}
	call->connection = NULL;
	wrote = connection->wrote;
	if (request && status != 0 && !call->transport_error) {
		call->status = status;
		if (call->single_use)
			discard_connection(client, connection);
		else
			connection_release(client, connection);
		call_finish(call, HTTP_COMPLETE);
		return;
	}
	discard_connection(client, connection);
	/*
	 * evhttp reports a failed connect in two ways: a refused one without an
	 * error, others like a lost connection.
	 */
	call_finish(call, wrote ? HTTP_CONNECTION_LOST : HTTP_NOT_SENT);
}

static int on_evhttp_headers(struct evhttp_request *request, void *arg)
{
	http_call_t *call = arg;

	int status = evhttp_request_get_response_code(request);

	if (call->cancelled)
		return 0;
	if (call->status_line_invalid || !http_status_is_final(status)) {
		if (call->client->status_invalid_total)
			(*call->client->status_invalid_total)++;
		log_warn("status_invalid", "address=%s status=%d",
			 call->connection->address, status);
		return -1;
	}
	call->status = status;
	/* The request has been sent completely or is no longer needed. */
	evhttp_clear_headers(evhttp_request_get_output_headers(request));
	if (call->on_headers)
		call->on_headers(call, call->status, call->user_data);
	return 0;
}

bool http_status_is_final(int status)
{
	return status >= 200 && status <= 599;
}

/* Headers that evhttp or callers read after the start of the body. */
static bool is_needed_after_headers(const char *header)
{
	return g_ascii_strcasecmp(header, "Connection") == 0 ||
	       g_ascii_strcasecmp(header, "Retry-After") == 0;
}

/* Drops the headers that a long response does not need, to save memory. */
static void drop_headers(struct evkeyvalq *headers)
{
	struct evkeyval *header = headers->tqh_first;

	while (header) {
		struct evkeyval *next = header->next.tqe_next;

		if (!is_needed_after_headers(header->key))
			evhttp_remove_header(headers, header->key);
		header = next;
	}
}

static void on_evhttp_chunk(struct evhttp_request *request, void *arg)
{
	http_call_t *call = arg;
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	size_t len = evbuffer_get_length(input);
	const char *data;

	if (call->cancelled || len == 0)
		return;
	if (call->on_data && !call->headers_dropped) {
		call->headers_dropped = true;
		drop_headers(evhttp_request_get_input_headers(request));
	}
	if (call->on_data) {
		buffer_data(call, input, len);
		return;
	}
	data = (const char *)evbuffer_pullup(input, -1);
	g_string_append_len(call->body, data, (gssize)len);
	count_memory(call);
}

/* Also true after the peer has reset a connection on which data was sent. */
static bool was_connected(const http_call_t *call)
{
	struct bufferevent *bev =
		evhttp_connection_get_bufferevent(call->connection->evcon);
	struct sockaddr_storage peer;
	socklen_t len = sizeof(peer);

	return call->connection->wrote ||
	       getpeername(bufferevent_getfd(bev), (struct sockaddr *)&peer,
			   &len) == 0;
}

static struct timeval timeval_of_ms(int32_t ms)
{
	return (struct timeval){ ms / 1000, ms % 1000 * 1000 };
}

/*
 * Replaces the connect timeout by the rest of the call timeout. Returns false
 * if there is no connect timeout, the call is cancelled or the connection is
 * not established.
 */
static bool extend_connect_timeout(http_call_t *call)
{
	struct timeval remaining =
		timeval_of_ms(call->after_connect_timeout_ms);

	if (call->after_connect_timeout_ms == 0 || call->cancelled ||
	    !was_connected(call))
		return false;
	call->after_connect_timeout_ms = 0;
	evtimer_add(call->timer, &remaining);
	return true;
}

/* Closes the connection of a call in progress. */
static void call_abort(http_call_t *call, http_outcome_t outcome)
{
	bool cancelled = call->cancelled;

	call->cancelled = true;
	if (call->request)
		evhttp_cancel_request(call->request);
	discard_connection(call->client, call->connection);
	call->cancelled = cancelled;
	call_finish(call, outcome);
}

static void on_give_way(void *user_data)
{
	http_call_t *call = user_data;

	log_warn("response_too_large",
		 "address=%s status=%d bytes=%zu input_bytes=%zu",
		 call->connection->address, call->status,
		 call->body ? call->body->len : 0,
		 evbuffer_get_length(bufferevent_get_input(
			 evhttp_connection_get_bufferevent(
				 call->connection->evcon))));
	call_abort(call, HTTP_TOO_MUCH_MEMORY);
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	http_call_t *call = arg;
	http_client_t *client = call->client;
	bool connecting = call->after_connect_timeout_ms != 0;

	if (call->failed_to_start) {
		discard_connection(client, call->connection);
		call_finish(call, HTTP_NOT_SENT);
		return;
	}
	if (extend_connect_timeout(call))
		return;
	call_abort(call, connecting ? HTTP_NOT_SENT : HTTP_TIMED_OUT);
}

static void release_body(const void *data, size_t len, void *owner)
{
	g_bytes_unref(owner);
}

static void add_body(struct evbuffer *output,
		     const http_request_options_t *options)
{
	if (options->body_owner)
		evbuffer_add_reference(output, options->body, options->body_len,
				       release_body,
				       g_bytes_ref(options->body_owner));
	else
		evbuffer_add(output, options->body, options->body_len);
}

static void add_headers(struct evhttp_request *request,
			const http_request_options_t *options)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(request);
	char length[24];

	evhttp_add_header(out, "Host",
			  options->host ? options->host : options->address);
	for (const char *const *h = options->headers; h && *h; h += 2)
		evhttp_add_header(out, h[0], h[1]);
	if (!options->body_len)
		return;
	/* evhttp adds it for POST and PUT only. */
	snprintf(length, sizeof(length), "%zu", options->body_len);
	evhttp_add_header(out, "Content-Length", length);
	add_body(evhttp_request_get_output_buffer(request), options);
}

/* Returns false for a method that evhttp cannot send. */
static bool find_command(const char *method, enum evhttp_cmd_type *command)
{
	static const struct {
		const char *name;
		enum evhttp_cmd_type command;
	} commands[] = {
		{ "GET", EVHTTP_REQ_GET },
		{ "POST", EVHTTP_REQ_POST },
		{ "PUT", EVHTTP_REQ_PUT },
		{ "DELETE", EVHTTP_REQ_DELETE },
		{ "HEAD", EVHTTP_REQ_HEAD },
		{ "PATCH", EVHTTP_REQ_PATCH },
		{ "OPTIONS", EVHTTP_REQ_OPTIONS },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		if (strcmp(commands[i].name, method) == 0) {
			*command = commands[i].command;
			return true;
		}
	return false;
}

http_call_t *http_call_start(http_client_t *client,
			     const http_request_options_t *options)
{
	http_call_t *call = g_new0(http_call_t, 1);
	struct timeval timeout = timeval_of_ms(options->timeout_ms);
	enum evhttp_cmd_type command;
	struct bufferevent *bev;
	bool connected;

	call->client = client;
	call->on_headers = options->on_headers;
	call->on_data = options->on_data;
	call->on_done = options->on_done;
	call->user_data = options->user_data;
	call->single_use = options->single_use;
	if (!options->on_data)
		call->body = g_string_new(NULL);
	g_hash_table_add(client->calls, call);
	memory_holder_init(&call->memory, client->memory, "response",
			   on_give_way, call);
	call->connection = connection_acquire(client, options);
	call->connection->wrote = false;
	call->connection->call = call;
	call->request = evhttp_request_new(on_evhttp_done, call);
	evhttp_request_set_error_cb(call->request, on_evhttp_error);
	evhttp_request_set_header_cb(call->request, on_evhttp_headers);
	evhttp_request_set_chunked_cb(call->request, on_evhttp_chunk);
	add_headers(call->request, options);
	call->timer = evtimer_new(client->base, on_timer, call);
	bev = evhttp_connection_get_bufferevent(call->connection->evcon);
	/*
	 * evhttp removes the socket when the peer closes the connection. Data
	 * must not be written before a new connection is established, as the
	 * write would hide that the connect failed.
	 */
	connected = bufferevent_getfd(bev) >= 0;
	call->starting = true;
	if (!find_command(options->method, &command)) {
		log_error("method_not_sent", "method=%s address=%s",
			  log_quote(options->method), options->address);
		evhttp_request_free(call->request);
		call->request = NULL;
		call->failed_to_start = true;
	} else if (evhttp_make_request(call->connection->evcon, call->request,
				       command, options->target) != 0) {
		call->failed_to_start = true;
	}
	call->starting = false;
	if (connected && !call->failed_to_start)
		http_send_now(bev);
	if (!connected && !call->failed_to_start)
		keepalive_enable(bufferevent_getfd(bev));
	if (options->connect_timeout_ms && !connected &&
	    options->connect_timeout_ms < options->timeout_ms) {
		call->after_connect_timeout_ms =
			options->timeout_ms - options->connect_timeout_ms;
		timeout = timeval_of_ms(options->connect_timeout_ms);
	}
	if (call->failed_to_start)
		timeout = (struct timeval){ 0, 0 };
	if (options->timeout_ms || call->failed_to_start)
		evtimer_add(call->timer, &timeout);
	return call;
}

void http_call_cancel(http_call_t *call)
{
	struct timeval now = { 0, 0 };

	if (!call || call->cancelled)
		return;
	/* Deferred: evhttp may be inside a callback of this call. */
	call->cancelled = true;
	evtimer_add(call->timer, &now);
}

void http_call_pause(http_call_t *call, bool pause)
{
	struct bufferevent *bev;

	if (!call->connection)
		return;
	bev = evhttp_connection_get_bufferevent(call->connection->evcon);
	if (pause)
		bufferevent_disable(bev, EV_READ);
	else
		bufferevent_enable(bev, EV_READ);
}

const char *http_response_header(const http_call_t *call, const char *name)
{
	if (!call->request)
		return NULL;
	return evhttp_find_header(
		evhttp_request_get_input_headers(call->request), name);
}

void http_response_each_header(const http_call_t *call,
			       http_header_visitor_t each, void *user_data)
{
	struct evkeyvalq *headers =
		evhttp_request_get_input_headers(call->request);

	for (struct evkeyval *header = headers->tqh_first; header;
	     header = header->next.tqe_next)
		each(header->key, header->value, user_data);
}

void http_client_count(http_client_t *client, counter_set_t *counters)
{
	client->status_invalid_total = counter_get(
		counters, COUNTER_MONOTONIC, "http_status_invalid_total", NULL);
}

void http_client_set_memory(http_client_t *client, memory_budget_t *memory)
{
	client->memory = memory;
}

void http_client_free(http_client_t *client)
{
	GHashTableIter iter;
	void *key;

	if (!client)
		return;
	g_hash_table_iter_init(&iter, client->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		http_call_t *call = key;

		call->cancelled = true;
		call->connection->call = NULL;
		if (!call->failed_to_start && call->request)
			evhttp_cancel_request(call->request);
		connection_free(call->connection);
		call_free(call);
	}
	g_hash_table_destroy(client->calls);
	on_discard(-1, 0, client);
	g_hash_table_destroy(client->idle);
	event_free(client->discard_event);
	event_free(client->flush_event);
	g_string_free(client->buffered_data, TRUE);
	g_free(client);
}
