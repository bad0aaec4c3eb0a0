#include "gateway/runner_relay.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/bufferevent.h>
#include <event2/util.h>
#include <string.h>
#include <sys/socket.h>

#include "base/keepalive.h"
#include "base/log.h"
#include "gateway/runner_message.h"
#include "http/http_client.h"
#include "http/http_send.h"

/* Until the other node is ready to start the call. Allows for several round
 * trips between failure domains, and for the body at a low rate. */
#define READY_TIMEOUT_MS 250
#define BODY_BYTES_PER_MS 5000
/* The other node ends the call by itself at the deadline and a grace time. */
#define DEADLINE_GRACE_MS 600
/* A node that has failed a call is avoided for this long; by then its reports
 * tell whether it is still there. */
#define AVOID_MS 1000
/* The same for one that has refused a call, until its report shows that it takes
 * none. */
#define REFUSED_AVOID_MS 100
#define ADDRESS_BYTES 64

typedef struct relay_peer {
	uint32_t calls;
	int64_t avoid_until_us;
	uint64_t unknown_runner; /* key of the last one that it did not know */
	int64_t unknown_until_us; /* avoided for this runner */
} relay_peer_t;

struct runner_relay {
	runner_relay_options_t options;
	runner_protocol_t protocol;
	GHashTable *peers; /* address -> relay_peer_t */
	int64_t *calls_total;
	int64_t *failed_total;
};

struct runner_call {
	runner_relay_t *relay;
	relay_peer_t *peer; /* NULL without a node to call */
	char *address;
	struct bufferevent *bev;
	struct event *timer;
	char *id;
	uint64_t runner; /* key */
	void (*answer)(const runner_answer_t *answer, void *user_data);
	void (*data)(const char *data, size_t len, void *user_data);
	void (*done)(runner_outcome_t end, void *user_data);
	void *user_data;
	int64_t started_us;
	int32_t timeout_ms;
	bool told_to_start;
	bool unsendable; /* too large for a message */
	bool in_callback; /* cancelled calls are freed afterwards */
	bool cancelled;
};

static gboolean is_forgotten(void *address, void *value, void *user_data)
{
	const relay_peer_t *peer = value;
	const runner_relay_t *relay = user_data;

	return peer->calls == 0 &&
	       clock_now_us(relay->options.clock) >=
		       MAX(peer->avoid_until_us, peer->unknown_until_us);
}

static relay_peer_t *find_or_add_peer(runner_relay_t *relay,
				      const char *address)
{
	relay_peer_t *peer = g_hash_table_lookup(relay->peers, address);

	if (peer)
		return peer;
	g_hash_table_foreach_remove(relay->peers, is_forgotten, relay);
	peer = g_new0(relay_peer_t, 1);
	g_hash_table_insert(relay->peers, g_strdup(address), peer);
	return peer;
}

static void call_free(runner_call_t *call)
{
	if (call->peer)
		call->peer->calls--;
	if (call->bev)
		bufferevent_free(call->bev);
	event_free(call->timer);
	g_free(call->address);
	g_free(call->id);
	g_free(call);
}

static void finish(runner_call_t *call, runner_outcome_t outcome)
{
	void (*done)(runner_outcome_t, void *) = call->done;
	void *user_data = call->user_data;

	call_free(call);
	done(outcome, user_data);
}

/* Ends a call that the other node did not start or complete. */
static void end_failed(runner_call_t *call, const char *reason)
{
	runner_relay_t *relay = call->relay;
	int64_t now_us = clock_now_us(relay->options.clock);

	(*relay->failed_total)++;
	log_info("relay_failed",
		 "request=%s peer=%s reason=%s started=%d "
		 "age_ms=%" G_GINT64_FORMAT,
		 call->id, call->address ? call->address : "-", reason,
		 call->told_to_start, (now_us - call->started_us) / 1000);
	finish(call,
	       call->told_to_start ? RUNNER_PEER_LOST : RUNNER_PEER_NOT_SENT);
}

/* Ends a call because of the connection to the other node, which is avoided. */
static void fail(runner_call_t *call, const char *reason)
{
	if (call->peer)
		call->peer->avoid_until_us =
			clock_now_us(call->relay->options.clock) +
			AVOID_MS * 1000;
	end_failed(call, reason);
}

static void handle_refusal(runner_call_t *call, bool runner_unknown)
{
	int64_t now_us = clock_now_us(call->relay->options.clock);

	if (runner_unknown) {
		call->peer->unknown_runner = call->runner;
		call->peer->unknown_until_us = now_us + AVOID_MS * 1000;
	} else {
		call->peer->avoid_until_us =
			MAX(call->peer->avoid_until_us,
			    now_us + REFUSED_AVOID_MS * 1000);
	}
	end_failed(call, runner_unknown ? "runner_unknown" : "refused");
}

static void set_timer(runner_call_t *call, int32_t ms)
{
	const struct timeval timeout = { ms / 1000, ms % 1000 * 1000 };

	evtimer_add(call->timer, &timeout);
}

static void tell_to_start(runner_call_t *call)
{
	if (call->told_to_start)
		return;
	call->told_to_start = true;
	runner_message_append_kind(bufferevent_get_output(call->bev),
				   RUNNER_GO);
	http_send_now(call->bev);
	set_timer(call, call->timeout_ms);
}

static void pass_answer(runner_call_t *call, const runner_answer_args *args)
{
	runner_answer_t answer = {
		.status = args->status,
		.not_run = args->not_run,
		.other_instance = args->other_instance,
		.leaving = args->leaving,
		.until_close = args->until_close,
		.slowness_percent = args->slowness_percent,
		.rate = { args->limit_named, args->limit_per_1000_s },
		.headers = runner_message_copy_headers(
			args->headers.headers_val, args->headers.headers_len),
	};

	call->answer(&answer, call->user_data);
	g_ptr_array_unref(answer.headers);
}

/* Returns false when the call has ended. */
static bool handle_message(runner_call_t *call, const runner_message *message)
{
	int outcome = message->runner_message_u.outcome;

	switch (message->kind) {
	case RUNNER_READY:
		tell_to_start(call);
		return true;
	case RUNNER_REFUSED:
		handle_refusal(call, message->runner_message_u.runner_unknown);
		return false;
	case RUNNER_ANSWER:
		/* An older build passes any number on. */
		if (!http_status_is_final(
			    message->runner_message_u.answer.status)) {
			end_failed(call, "status");
			return false;
		}
		pass_answer(call, &message->runner_message_u.answer);
		return true;
	case RUNNER_DATA:
		call->data(message->runner_message_u.part.part_val,
			   message->runner_message_u.part.part_len,
			   call->user_data);
		return true;
	case RUNNER_DONE:
		if (outcome < RUNNER_COMPLETE || outcome > RUNNER_INVALID)
			break;
		finish(call, (runner_outcome_t)outcome);
		return false;
	default:
		break;
	}
	fail(call, "unexpected_message");
	return false;
}

/* Handles what has arrived. Returns false when the call has ended. */
static bool handle_input(runner_call_t *call)
{
	struct evbuffer *input = bufferevent_get_input(call->bev);
	runner_message message;
	int taken;
	bool continues = true;

	while (continues &&
	       (taken = runner_message_take(input, &message)) != 0) {
		if (taken < 0) {
			fail(call, "bad_message");
			return false;
		}
		call->in_callback = true;
		continues = handle_message(call, &message);
		runner_message_clear(&message);
		if (!continues)
			return false;
		call->in_callback = false;
		if (call->cancelled) {
			call_free(call);
			return false;
		}
	}
	return true;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	handle_input(arg);
}

static void on_event(struct bufferevent *bev, short events, void *arg)
{
	runner_call_t *call = arg;

	if (events & BEV_EVENT_CONNECTED) {
		keepalive_enable(bufferevent_getfd(bev));
		return;
	}
	/* The last messages may have come with the end of the connection. */
	if (handle_input(call))
		fail(call, "connection_lost");
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	runner_call_t *call = arg;

	/* No other node can pass it on either. */
	if (call->unsendable)
		end_failed(call, "unsendable");
	else
		fail(call, call->bev ? "timeout" : "no_peer");
}

static bool send_call(runner_call_t *call, const runner_request_t *request)
{
	struct evbuffer *output = bufferevent_get_output(call->bev);
	runner_message message = { .kind = RUNNER_CALL };
	runner_call_args *args = &message.runner_message_u.call;
	bool encoded;

	args->runner = request->runner;
	args->address = (char *)request->address;
	args->instance = (char *)request->instance;
	args->id = (char *)request->id;
	args->method = (char *)request->method;
	args->target = (char *)request->target;
	args->host = (char *)request->host;
	args->headers.headers_len = request->headers->len / 2;
	args->headers.headers_val = runner_message_headers(request->headers);
	args->body_bytes = (u_int)request->body_len;
	args->deadline_ms = request->deadline_ms;
	args->resume_after = request->resume_after;
	args->repeatable = request->repeatable;
	encoded = runner_message_append(output, &message);
	g_free(args->headers.headers_val);
	runner_message_append_part(output, RUNNER_BODY, request->body,
				   request->body_len);
	return encoded;
}

/* A socket with the address by which the other nodes know this one; -1: none, so
 * that libevent opens one. */
static evutil_socket_t open_socket(const char *address)
{
	struct sockaddr_in own = { .sin_family = AF_INET };
	int fd;

	if (!address || inet_pton(AF_INET, address, &own.sin_addr) != 1)
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0 &&
	    bind(fd, (const struct sockaddr *)&own, sizeof(own)) != 0)
		log_warn("relay_bind_failed", "address=%s errno=%d", address,
			 errno);
	return fd;
}

static bool connect_peer(runner_call_t *call, const runner_request_t *request)
{
	struct sockaddr_storage address;
	int len = sizeof(address);

	call->bev = bufferevent_socket_new(call->relay->options.base, -1,
					   BEV_OPT_CLOSE_ON_FREE |
						   BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setfd(call->bev, open_socket(call->relay->options.address));
	bufferevent_setcb(call->bev, on_read, NULL, on_event, call);
	bufferevent_enable(call->bev, EV_READ | EV_WRITE);
	if (evutil_parse_sockaddr_port(
		    call->address, (struct sockaddr *)&address, &len) != 0 ||
	    bufferevent_socket_connect(call->bev, (struct sockaddr *)&address,
				       len) != 0)
		return false;
	call->unsendable = !send_call(call, request);
	return !call->unsendable;
}

static runner_call_t *start(void *context, const runner_request_t *request)
{
	runner_relay_t *relay = context;
	runner_call_t *call = g_new0(runner_call_t, 1);
	const runner_relay_need_t need = { request->domain, request->runner,
					   request->repeatable };
	char address[ADDRESS_BYTES];

	call->relay = relay;
	call->id = g_strdup(request->id);
	call->runner = request->runner;
	call->answer = request->answer;
	call->data = request->data;
	call->done = request->done;
	call->user_data = request->user_data;
	call->started_us = clock_now_us(relay->options.clock);
	call->timeout_ms = request->deadline_ms + DEADLINE_GRACE_MS;
	call->timer = evtimer_new(relay->options.base, on_timer, call);
	(*relay->calls_total)++;
	if (!relay->options.find_peer(relay->options.user_data, relay, &need,
				      address, sizeof(address))) {
		set_timer(call, 0);
		return call;
	}
	call->address = g_strdup(address);
	call->peer = find_or_add_peer(relay, address);
	call->peer->calls++;
	log_info("request_relayed", "request=%s runner=%s domain=%s peer=%s",
		 call->id, request->instance, request->domain, address);
	/* Failures are reported after this function has returned. */
	set_timer(call,
		  connect_peer(call, request) ?
			  READY_TIMEOUT_MS + (int32_t)(request->body_len /
						       BODY_BYTES_PER_MS) :
			  0);
	return call;
}

static void cancel(runner_call_t *call)
{
	if (call->in_callback)
		call->cancelled = true;
	else
		call_free(call);
}

static void decode_nothing(const GPtrArray *headers, prompt_parts_t *parts)
{
	parts->count = 0;
}

runner_relay_t *runner_relay_new(const runner_relay_options_t *options)
{
	runner_relay_t *relay = g_new0(runner_relay_t, 1);

	relay->options = *options;
	relay->protocol = (runner_protocol_t){ .start = start,
					       .cancel = cancel,
					       .decode_parts = decode_nothing,
					       .context = relay };
	relay->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	relay->calls_total = counter_get(options->counters, COUNTER_MONOTONIC,
					 "relayed_calls_total", NULL);
	relay->failed_total = counter_get(options->counters, COUNTER_MONOTONIC,
					  "relayed_calls_failed_total", NULL);
	return relay;
}

const runner_protocol_t *runner_relay_protocol(const runner_relay_t *relay)
{
	return &relay->protocol;
}

bool runner_relay_reaches(const runner_relay_t *relay,
			  const runner_relay_need_t *need)
{
	char address[ADDRESS_BYTES];

	return relay->options.find_peer(relay->options.user_data, relay, need,
					address, sizeof(address));
}

bool runner_relay_avoids(const runner_relay_t *relay, const char *address,
			 uint64_t runner)
{
	const relay_peer_t *peer = g_hash_table_lookup(relay->peers, address);
	int64_t now_us = clock_now_us(relay->options.clock);

	if (!peer)
		return false;
	return now_us < peer->avoid_until_us ||
	       (runner && runner == peer->unknown_runner &&
		now_us < peer->unknown_until_us);
}

uint32_t runner_relay_calls(const runner_relay_t *relay, const char *address)
{
	const relay_peer_t *peer = g_hash_table_lookup(relay->peers, address);

	return peer ? peer->calls : 0;
}
