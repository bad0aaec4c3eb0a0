#include "gateway/runner_relay_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <poll.h>
#include <string.h>

#include "base/bev_socket.h"
#include "base/error.h"
#include "base/keepalive.h"
#include "base/log.h"
#include "gateway/runner_message.h"
#include "http/http_send.h"

/* Each call takes two descriptors and a few kilobytes. */
#define MAX_CALLS 256
/* Of all calls together. */
#define MAX_BODY_BYTES (16 * 1024 * 1024)
/* A call with more pending bytes is ended, as its node does not read. */
#define MAX_PENDING_BYTES (1024 * 1024)
/* A node sends its call at once, and the start of it after a round trip. */
#define START_TIMEOUT_MS 2000

struct runner_relay_server {
	runner_relay_server_options_t options;
	struct evconnlistener *listener;
	GQueue calls; /* served_call_t */
	uint64_t body_bytes; /* of all calls */
	bool draining;
	bool stopped;
	int64_t *served_total;
	int64_t *refused_total;
};

/* A call of another node, from its connection until its last message is sent. */
typedef struct served_call {
	runner_relay_server_t *server;
	struct bufferevent *bev;
	struct evbuffer_cb_entry *output_watch;
	struct evbuffer_cb_entry *input_watch;
	memory_holder_t memory; /* for the body, what arrives and is not sent */
	struct event *timer; /* until the call is started */
	runner_message message; /* of the kind RUNNER_CALL, once received */
	GByteArray *body;
	runner_call_t *call; /* NULL: not started, or done */
	bool ready; /* the call and its body were received */
	bool started;
	bool refused; /* ends when the other node closes the connection */
	bool closing; /* ends when all is sent */
	GList link;
} served_call_t;

static uint32_t max_calls(const runner_relay_server_t *server)
{
	return server->options.max_calls ?
		       MIN(server->options.max_calls, MAX_CALLS) :
		       MAX_CALLS;
}

/* More than calls, so that those above the limit are refused by a message. */
static uint32_t max_connections(const runner_relay_server_t *server)
{
	return 2 * max_calls(server);
}

static runner_call_args *args_of(served_call_t *served)
{
	return &served->message.runner_message_u.call;
}

static struct evbuffer *output_of(const served_call_t *served)
{
	return bufferevent_get_output(served->bev);
}

static void on_buffer(struct evbuffer *buffer,
		      const struct evbuffer_cb_info *info, void *arg)
{
	served_call_t *served = arg;

	memory_holder_set(&served->memory,
			  evbuffer_get_length(output_of(served)) +
				  evbuffer_get_length(
					  bufferevent_get_input(served->bev)) +
				  served->body->len);
}

static void load_changed(const runner_relay_server_t *server)
{
	server->options.load_changed(server->options.user_data);
}

static void served_free(served_call_t *served)
{
	runner_relay_server_t *server = served->server;

	if (served->call)
		server->options.protocol->cancel(served->call);
	g_queue_unlink(&server->calls, &served->link);
	memory_holder_clear(&served->memory);
	evbuffer_remove_cb_entry(output_of(served), served->output_watch);
	evbuffer_remove_cb_entry(bufferevent_get_input(served->bev),
				 served->input_watch);
	bev_socket_close(served->bev);
	bufferevent_free(served->bev);
	event_free(served->timer);
	if (served->message.kind == RUNNER_CALL) {
		server->body_bytes -= args_of(served)->body_bytes;
		runner_message_clear(&served->message);
	}
	g_byte_array_unref(served->body);
	g_free(served);
	load_changed(server);
}

static fleet_runner_t *runner_of(served_call_t *served)
{
	fleet_runner_t *runner = fleet_find(served->server->options.fleet,
					    args_of(served)->runner);

	/* Its address may belong to another runner by now. */
	if (!runner || strcmp(runner->address, args_of(served)->address) != 0 ||
	    strcmp(runner->id, args_of(served)->instance) != 0)
		return NULL;
	return runner;
}

/* The call was not started in time, or its node does not read. */
static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	served_call_t *served = arg;

	log_info("relayed_call_dropped", "ready=%d pending=%zu", served->ready,
		 evbuffer_get_length(output_of(served)));
	served_free(served);
}

/* Ends a call whose answer cannot be passed on. */
static void drop(served_call_t *served)
{
	const struct timeval now = { 0, 0 };

	served->server->options.protocol->cancel(served->call);
	served->call = NULL;
	evtimer_add(served->timer, &now);
}

static void on_answer(const runner_answer_t *answer, void *user_data)
{
	served_call_t *served = user_data;
	fleet_runner_t *runner = runner_of(served);
	runner_message message = { .kind = RUNNER_ANSWER };
	runner_answer_args *args = &message.runner_message_u.answer;

	if (runner)
		fleet_answered(served->server->options.fleet, runner);
	*args = (runner_answer_args){
		.status = answer->status,
		.not_run = answer->not_run,
		.other_instance = answer->other_instance,
		.leaving = answer->leaving,
		.until_close = answer->until_close,
		.slowness_percent = answer->slowness_percent,
		.limit_named = answer->rate.named,
		.limit_per_1000_s = answer->rate.per_1000_s,
	};
	args->headers.headers_len = answer->headers->len / 2;
	args->headers.headers_val = runner_message_headers(answer->headers);
	if (!runner_message_append(output_of(served), &message))
		drop(served);
	http_send_now(served->bev);
	g_free(args->headers.headers_val);
}

static void on_data(const char *data, size_t len, void *user_data)
{
	served_call_t *served = user_data;

	if (evbuffer_get_length(output_of(served)) > MAX_PENDING_BYTES) {
		drop(served);
		return;
	}
	runner_message_append_part(output_of(served), RUNNER_DATA, data, len);
	http_send_now(served->bev);
}

static void on_done(runner_outcome_t outcome, void *user_data)
{
	served_call_t *served = user_data;
	fleet_runner_t *runner = runner_of(served);
	runner_message message = { .kind = RUNNER_DONE };

	served->call = NULL;
	served->closing = true;
	if (outcome == RUNNER_NOT_SENT && runner)
		fleet_unreachable(served->server->options.fleet, runner);
	message.runner_message_u.outcome = outcome;
	runner_message_append(output_of(served), &message);
	http_send_now(served->bev);
}

static void refuse(served_call_t *served, const char *reason,
		   bool runner_unknown)
{
	runner_message message = { .kind = RUNNER_REFUSED };

	(*served->server->refused_total)++;
	log_info("relayed_call_refused", "request=%s runner=%s reason=%s",
		 args_of(served)->id, args_of(served)->instance, reason);
	served->refused = true;
	message.runner_message_u.runner_unknown = runner_unknown;
	runner_message_append(output_of(served), &message);
}

/* Whether the other node has given the call up, for example while this process
 * was suspended. */
static bool is_given_up(const served_call_t *served)
{
	struct pollfd peer = { .fd = bufferevent_getfd(served->bev),
			       .events = POLLRDHUP };

	return poll(&peer, 1, 0) > 0;
}

static void start_call(served_call_t *served)
{
	const runner_protocol_t *protocol = served->server->options.protocol;
	runner_call_args *args = args_of(served);
	const runner_request_t request = {
		.runner = args->runner,
		.address = args->address,
		.instance = args->instance,
		.id = args->id,
		.method = args->method,
		.target = args->target,
		.host = args->host,
		.headers = runner_message_copy_headers(
			args->headers.headers_val, args->headers.headers_len),
		.body = served->body->data,
		.body_len = served->body->len,
		.deadline_ms = args->deadline_ms,
		.resume_after = args->resume_after,
		.repeatable = args->repeatable,
		.answer = on_answer,
		.data = on_data,
		.done = on_done,
		.user_data = served,
	};

	served->started = true;
	memory_holder_set_receiving(&served->memory, false);
	evtimer_del(served->timer);
	(*served->server->served_total)++;
	log_info("request_passed_on", "request=%s runner=%s calls=%u", args->id,
		 args->instance, served->server->calls.length);
	served->call = protocol->start(protocol->context, &request);
	g_ptr_array_unref(request.headers);
}

/* Answers when the whole call is there. The other node may not know yet that a
 * runner leaves. */
static void check_ready(served_call_t *served)
{
	const runner_relay_server_t *server = served->server;
	const fleet_runner_t *runner = runner_of(served);

	if (served->body->len < args_of(served)->body_bytes)
		return;
	served->ready = true;
	if (server->stopped ||
	    (server->draining && !args_of(served)->repeatable))
		refuse(served, "stopping", false);
	else if (server->calls.length > max_calls(server))
		refuse(served, "too_many", false);
	else if (!runner || runner->draining)
		refuse(served, "unknown_runner", true);
	else
		runner_message_append_kind(output_of(served), RUNNER_READY);
}

/* Takes over the call. */
static void take_call(served_call_t *served, runner_message *message)
{
	runner_call_args *args = &message->runner_message_u.call;
	bool has_room =
		args->body_bytes <= MAX_BODY_BYTES - served->server->body_bytes;

	if (!has_room)
		args->body_bytes = 0;
	served->server->body_bytes += args->body_bytes;
	served->message = *message;
	*message = (runner_message){ 0 };
	if (has_room)
		check_ready(served);
	else
		refuse(served, "no_room", false);
}

/* Returns false for a message that is not due. */
static bool handle_message(served_call_t *served, runner_message *message)
{
	switch (message->kind) {
	case RUNNER_CALL:
		if (served->message.kind == RUNNER_CALL)
			return false;
		take_call(served, message);
		return true;
	case RUNNER_BODY:
		if (served->refused)
			return true;
		if (served->message.kind != RUNNER_CALL || served->ready ||
		    message->runner_message_u.part.part_len >
			    args_of(served)->body_bytes - served->body->len)
			return false;
		g_byte_array_append(
			served->body,
			(const guint8 *)message->runner_message_u.part.part_val,
			message->runner_message_u.part.part_len);
		check_ready(served);
		return true;
	case RUNNER_GO:
		if (!served->ready || served->started || served->refused ||
		    is_given_up(served))
			return false;
		start_call(served);
		return true;
	default:
		return false;
	}
}

static void on_read(struct bufferevent *bev, void *arg)
{
	served_call_t *served = arg;
	struct evbuffer *input = bufferevent_get_input(bev);
	runner_message message;
	int taken;

	while ((taken = runner_message_take(input, &message)) == 1) {
		bool handled = handle_message(served, &message);

		runner_message_clear(&message);
		if (!handled) {
			taken = -1;
			break;
		}
	}
	if (taken < 0) {
		log_warn("relayed_call_invalid", "ready=%d started=%d",
			 served->ready, served->started);
		served_free(served);
	}
}

static void on_write(struct bufferevent *bev, void *arg)
{
	served_call_t *served = arg;

	if (served->closing && evbuffer_get_length(output_of(served)) == 0)
		served_free(served);
}

static void on_event(struct bufferevent *bev, short events, void *arg)
{
	served_free(arg);
}

/* As if the other node had closed the connection. */
static void on_give_way(void *user_data)
{
	served_call_t *served = user_data;

	log_warn("relayed_call_given_up", "pending=%zu body_bytes=%u",
		 evbuffer_get_length(output_of(served)), served->body->len);
	served_free(served);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *arg)
{
	const struct timeval timeout = { START_TIMEOUT_MS / 1000, 0 };
	const struct sockaddr_in *from = (const void *)address;
	runner_relay_server_t *server = arg;
	served_call_t *served;

	if (server->calls.length >= max_connections(server)) {
		(*server->refused_total)++;
		evutil_closesocket(fd);
		return;
	}
	if (!server->options.knows_node(server->options.user_data,
					&from->sin_addr)) {
		log_warn("relayed_call_from_unknown_node", "port=%u",
			 ntohs(from->sin_port));
		evutil_closesocket(fd);
		return;
	}
	keepalive_enable(fd);
	served = g_new0(served_call_t, 1);
	served->server = server;
	served->body = g_byte_array_new();
	served->bev = bufferevent_socket_new(server->options.base, fd,
					     BEV_OPT_CLOSE_ON_FREE |
						     BEV_OPT_DEFER_CALLBACKS);
	memory_holder_init(&served->memory, server->options.memory,
			   "relayed_call", on_give_way, served);
	served->output_watch =
		evbuffer_add_cb(output_of(served), on_buffer, served);
	served->input_watch = evbuffer_add_cb(
		bufferevent_get_input(served->bev), on_buffer, served);
	memory_holder_set_receiving(&served->memory, true);
	served->timer = evtimer_new(server->options.base, on_timer, served);
	served->link.data = served;
	g_queue_push_tail_link(&server->calls, &served->link);
	bufferevent_setcb(served->bev, on_read, on_write, on_event, served);
	bufferevent_enable(served->bev, EV_READ | EV_WRITE);
	evtimer_add(served->timer, &timeout);
	load_changed(server);
}

runner_relay_server_t *
runner_relay_server_new(const runner_relay_server_options_t *options,
			GError **error)
{
	runner_relay_server_t *server = g_new0(runner_relay_server_t, 1);
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(options->port),
	};

	server->options = *options;
	g_queue_init(&server->calls);
	if (inet_pton(AF_INET, options->address, &address.sin_addr) == 1)
		server->listener = evconnlistener_new_bind(
			options->base, on_accept, server,
			LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
				LEV_OPT_CLOSE_ON_EXEC,
			-1, (struct sockaddr *)&address, sizeof(address));
	if (!server->listener) {
		g_set_error(error, WL_ERROR, WL_ERROR_UNAVAILABLE,
			    "cannot listen on %s:%u: %s", options->address,
			    options->port, g_strerror(errno));
		g_free(server);
		return NULL;
	}
	server->served_total = counter_get(options->counters, COUNTER_MONOTONIC,
					   "relayed_calls_served_total", NULL);
	server->refused_total =
		counter_get(options->counters, COUNTER_MONOTONIC,
			    "relayed_calls_refused_total", NULL);
	return server;
}

void runner_relay_server_free(runner_relay_server_t *server)
{
	if (!server)
		return;
	while (!g_queue_is_empty(&server->calls))
		served_free(g_queue_peek_head(&server->calls));
	evconnlistener_free(server->listener);
	g_free(server);
}

void runner_relay_server_drain(runner_relay_server_t *server)
{
	if (server->draining)
		return;
	server->draining = true;
	load_changed(server);
}

bool runner_relay_server_is_draining(const runner_relay_server_t *server)
{
	return server->draining;
}

void runner_relay_server_stop(runner_relay_server_t *server)
{
	if (server->stopped)
		return;
	server->stopped = true;
	load_changed(server);
}

bool runner_relay_server_accepts(const runner_relay_server_t *server)
{
	return !server->stopped && server->calls.length < max_calls(server);
}

uint32_t runner_relay_server_calls(const runner_relay_server_t *server)
{
	return server->calls.length;
}
