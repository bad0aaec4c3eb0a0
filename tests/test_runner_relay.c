#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gateway/runner_relay.h"
#include "gateway/runner_relay_server.h"
#include "unit.h"

#define PORT_FIRST 21700
#define PORT_COUNT 200
#define LOOP_MAX_MS 3000
/* What one call can have. */
#define MAX_HEADERS 1024
/* Two of them exceed what a node takes for all calls together. */
#define LARGE_BODY_BYTES (9 * 1024 * 1024)

/* A call at the node that passes it on, which the test answers itself. */
struct runner_call {
	runner_request_t request;
	char *id;
	char *body;
	bool cancelled;
};

typedef struct fixture {
	struct event_base *base;
	clock_manual_t clock;
	GRand *random;
	counter_set_t *counters;
	fleet_t *fleet;
	runner_protocol_t direct;
	runner_relay_server_t *server;
	runner_relay_t *relay;
	char address[64]; /* of the other node; empty: none is known */
	struct runner_call direct_call;
	int direct_calls;
	GString *seen; /* callbacks of the relayed request */
	runner_call_t *call; /* the relayed request */
	bool cancel_on_data;
	bool knows_node;
} fixture_t;

static runner_call_t *direct_start(void *context,
				   const runner_request_t *request)
{
	fixture_t *fixture = context;

	fixture->direct_call.request = *request;
	g_free(fixture->direct_call.id);
	g_free(fixture->direct_call.body);
	fixture->direct_call.id = g_strdup(request->id);
	fixture->direct_call.body = g_strndup(request->body, request->body_len);
	fixture->direct_calls++;
	return &fixture->direct_call;
}

static void direct_cancel(runner_call_t *call)
{
	call->cancelled = true;
}

static bool find_peer(void *user_data, const runner_relay_t *relay,
		      const runner_relay_need_t *need, char *address,
		      size_t size)
{
	fixture_t *fixture = user_data;

	g_strlcpy(address, fixture->address, size);
	return *fixture->address &&
	       !runner_relay_avoids(relay, address, need->runner);
}

static bool knows_node(void *user_data, const struct in_addr *address)
{
	return ((fixture_t *)user_data)->knows_node;
}

static void load_changed(void *user_data)
{
}

static void on_answer(const runner_answer_t *answer, void *user_data)
{
	fixture_t *fixture = user_data;

	g_string_append_printf(fixture->seen, "%d %d %s=%s|", answer->status,
			       answer->not_run,
			       (char *)answer->headers->pdata[0],
			       (char *)answer->headers->pdata[1]);
}

static void on_data(const char *data, size_t len, void *user_data)
{
	fixture_t *fixture = user_data;

	g_string_append_len(fixture->seen, data, (gssize)len);
	g_string_append_c(fixture->seen, '|');
	if (!fixture->cancel_on_data)
		return;
	runner_relay_protocol(fixture->relay)->cancel(fixture->call);
	event_base_loopbreak(fixture->base);
}

static void on_done(runner_outcome_t outcome, void *user_data)
{
	fixture_t *fixture = user_data;

	g_string_append_printf(fixture->seen, "end %d", outcome);
	event_base_loopbreak(fixture->base);
}

static void start_server(fixture_t *fixture)
{
	runner_relay_server_options_t options = {
		.base = fixture->base,
		.fleet = fixture->fleet,
		.protocol = &fixture->direct,
		.counters = fixture->counters,
		.address = "127.0.0.1",
		.knows_node = knows_node,
		.load_changed = load_changed,
		.user_data = fixture,
	};

	for (int i = 0; i < PORT_COUNT && !fixture->server; i++) {
		options.port = (uint16_t)(PORT_FIRST + i);
		fixture->server = runner_relay_server_new(&options, NULL);
	}
	g_snprintf(fixture->address, sizeof(fixture->address), "127.0.0.1:%u",
		   options.port);
}

static fixture_t *fixture_new(void)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	const fleet_entry_t entry = { "r", "10.0.0.1:1", "s", "d", 8,
				      1,   false,	 "1" };
	fleet_options_t fleet = { .clock = &fixture->clock.base,
				  .domain = "d" };
	runner_relay_options_t relay = { .clock = &fixture->clock.base,
					 .find_peer = find_peer,
					 .user_data = fixture };

	fixture->base = event_base_new();
	clock_manual_init(&fixture->clock, 0);
	clock_manual_advance_ms(&fixture->clock, 1000);
	fixture->random = g_rand_new_with_seed(1);
	fixture->counters = counter_set_new();
	fleet.random = fixture->random;
	fixture->fleet = fleet_new(&fleet);
	fleet_update(fixture->fleet, &entry);
	fixture->direct = (runner_protocol_t){ .start = direct_start,
					       .cancel = direct_cancel,
					       .context = fixture };
	fixture->seen = g_string_new(NULL);
	fixture->knows_node = true;
	start_server(fixture);
	relay.base = fixture->base;
	relay.counters = fixture->counters;
	fixture->relay = runner_relay_new(&relay);
	return fixture;
}

/* What lives as long as a process is not freed. */
static void fixture_free(fixture_t *fixture)
{
	g_string_free(fixture->seen, TRUE);
	g_free(fixture->direct_call.id);
	g_free(fixture->direct_call.body);
	g_rand_free(fixture->random);
}

/* headers: consumed. */
static void start_with(fixture_t *fixture, const char *runner,
		       GPtrArray *headers, const char *body, size_t body_len)
{
	const runner_protocol_t *protocol =
		runner_relay_protocol(fixture->relay);
	const runner_request_t request = {
		.runner = fleet_key(runner),
		.domain = "d",
		.address = "10.0.0.1:1",
		.instance = runner,
		.id = "q1",
		.method = "POST",
		.target = "/x?y",
		.host = "h",
		.headers = headers,
		.body = body,
		.body_len = body_len,
		.deadline_ms = 2000,
		.resume_after = -1,
		.answer = on_answer,
		.data = on_data,
		.done = on_done,
		.user_data = fixture,
	};

	fixture->call = protocol->start(protocol->context, &request);
	g_ptr_array_unref(request.headers);
}

static void start_request(fixture_t *fixture, const char *runner)
{
	start_with(fixture, runner, g_ptr_array_new(), "body", 4);
}

/* Runs the loop until a callback ends it, or for the time. */
static void run_for(fixture_t *fixture, int ms)
{
	const struct timeval limit = { ms / 1000, ms % 1000 * 1000 };

	event_base_loopexit(fixture->base, &limit);
	event_base_dispatch(fixture->base);
}

static void run_until_started(fixture_t *fixture)
{
	for (int i = 0; i < LOOP_MAX_MS / 10 && fixture->direct_calls == 0; i++)
		run_for(fixture, 10);
	CU_ASSERT_EQUAL_FATAL(fixture->direct_calls, 1);
}

static void answer(fixture_t *fixture, int status)
{
	runner_answer_t answer = {
		.status = status,
		.headers = g_ptr_array_new(),
	};

	g_ptr_array_add(answer.headers, "Stamp");
	g_ptr_array_add(answer.headers, "s1");
	fixture->direct_call.request.answer(
		&answer, fixture->direct_call.request.user_data);
	g_ptr_array_unref(answer.headers);
}

static void send_data(fixture_t *fixture, const char *data)
{
	fixture->direct_call.request.data(
		data, strlen(data), fixture->direct_call.request.user_data);
}

static void end(fixture_t *fixture, runner_outcome_t outcome)
{
	fixture->direct_call.request.done(
		outcome, fixture->direct_call.request.user_data);
}

/* The answer, its body and its end must arrive unchanged and in order. */
static void test_answer_arrives(void)
{
	fixture_t *fixture = fixture_new();

	start_request(fixture, "r");
	run_until_started(fixture);
	CU_ASSERT_STRING_EQUAL(fixture->direct_call.id, "q1");
	CU_ASSERT_STRING_EQUAL(fixture->direct_call.body, "body");
	CU_ASSERT_EQUAL(fixture->direct_call.request.deadline_ms, 2000);
	answer(fixture, 200);
	send_data(fixture, "one");
	send_data(fixture, "two");
	end(fixture, RUNNER_COMPLETE);
	run_for(fixture, LOOP_MAX_MS);
	CU_ASSERT_STRING_EQUAL(fixture->seen->str,
			       "200 0 Stamp=s1|one|two|end 0");
	run_for(fixture, 50);
	CU_ASSERT_EQUAL(runner_relay_server_calls(fixture->server), 0);
	fixture_free(fixture);
}

/* Each end of a call at the runner must be told as it is. */
static void test_ends(void)
{
	static const runner_outcome_t ends[] = { RUNNER_NOT_SENT,
						 RUNNER_TRUNCATED,
						 RUNNER_INVALID };

	for (size_t i = 0; i < G_N_ELEMENTS(ends); i++) {
		fixture_t *fixture = fixture_new();
		char *expected = g_strdup_printf("end %d", ends[i]);

		start_request(fixture, "r");
		run_until_started(fixture);
		end(fixture, ends[i]);
		run_for(fixture, LOOP_MAX_MS);
		CU_ASSERT_STRING_EQUAL(fixture->seen->str, expected);
		g_free(expected);
		fixture_free(fixture);
	}
}

static bool avoids(const fixture_t *fixture, uint64_t runner)
{
	return runner_relay_avoids(fixture->relay, fixture->address, runner);
}

/* A call that the other node does not take has not run. */
static void test_refused(void)
{
	char expected[16];

	g_snprintf(expected, sizeof(expected), "end %d", RUNNER_PEER_NOT_SENT);
	for (int i = 0; i < 5; i++) {
		fixture_t *fixture = fixture_new();

		if (i == 1)
			runner_relay_server_stop(fixture->server);
		if (i == 2)
			fixture->address[0] = '\0';
		if (i == 3)
			fixture->knows_node = false;
		if (i == 4)
			fleet_set_draining(
				fixture->fleet,
				fleet_find(fixture->fleet, fleet_key("r")));
		start_request(fixture, i == 0 ? "unknown" : "r");
		run_for(fixture, LOOP_MAX_MS);
		CU_ASSERT_STRING_EQUAL(fixture->seen->str, expected);
		CU_ASSERT_EQUAL(fixture->direct_calls, 0);
		/* Guards against a request that asks a node that refuses it with
		 * each of its attempts. A node that does not know a runner takes
		 * other calls, and one that stops says so in its reports soon. */
		CU_ASSERT_EQUAL(avoids(fixture, 0), i == 1 || i == 3);
		CU_ASSERT_EQUAL(avoids(fixture, fleet_key("r")),
				i == 1 || i >= 3);
		CU_ASSERT_EQUAL(avoids(fixture, fleet_key("unknown")),
				i != 2 && i != 4);
		clock_manual_advance_ms(&fixture->clock, 100);
		CU_ASSERT_EQUAL(avoids(fixture, 0), i == 3);
		clock_manual_advance_ms(&fixture->clock, 900);
		CU_ASSERT_FALSE(avoids(fixture, fleet_key("unknown")));
		fixture_free(fixture);
	}
}

/* Guards against a request that no node can pass on, which had each node that it
 * asked avoided for the calls of all other requests. */
static void test_too_many_headers(void)
{
	fixture_t *fixture = fixture_new();
	GPtrArray *headers = g_ptr_array_new();
	char expected[16];

	g_snprintf(expected, sizeof(expected), "end %d", RUNNER_PEER_NOT_SENT);
	for (int i = 0; i < 2 * (MAX_HEADERS + 1); i++)
		g_ptr_array_add(headers, "x");
	start_with(fixture, "r", headers, "body", 4);
	run_for(fixture, LOOP_MAX_MS);
	CU_ASSERT_STRING_EQUAL(fixture->seen->str, expected);
	CU_ASSERT_FALSE(avoids(fixture, 0));
	fixture_free(fixture);
}

/* The same for a request whose body the other node has no room for. */
static void test_no_room_for_body(void)
{
	fixture_t *fixture = fixture_new();
	char *body = g_malloc0(LARGE_BODY_BYTES);
	char expected[16];

	g_snprintf(expected, sizeof(expected), "end %d", RUNNER_PEER_NOT_SENT);
	start_with(fixture, "r", g_ptr_array_new(), body, LARGE_BODY_BYTES);
	run_until_started(fixture);
	start_with(fixture, "r", g_ptr_array_new(), body, LARGE_BODY_BYTES);
	run_for(fixture, LOOP_MAX_MS);
	CU_ASSERT_STRING_EQUAL(fixture->seen->str, expected);
	/* As long as any refusal has the node avoided. */
	clock_manual_advance_ms(&fixture->clock, 100);
	CU_ASSERT_FALSE(avoids(fixture, 0));
	g_free(body);
	fixture_free(fixture);
}

/* Opens a socket that accepts connections and never answers, like a frozen
 * process. */
static int open_silent(fixture_t *fixture)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL(bind(fd, (struct sockaddr *)&address, len), 0);
	CU_ASSERT_EQUAL(listen(fd, 5), 0);
	getsockname(fd, (struct sockaddr *)&address, &len);
	g_snprintf(fixture->address, sizeof(fixture->address), "127.0.0.1:%u",
		   ntohs(address.sin_port));
	return fd;
}

/* A node that is frozen must not hold a request, and has not run it. */
static void test_frozen_peer(void)
{
	fixture_t *fixture = fixture_new();
	int fd = open_silent(fixture);
	char expected[16];

	g_snprintf(expected, sizeof(expected), "end %d", RUNNER_PEER_NOT_SENT);
	start_request(fixture, "r");
	run_for(fixture, 600);
	CU_ASSERT_STRING_EQUAL(fixture->seen->str, expected);
	close(fd);
	fixture_free(fixture);
}

/* When the other node ends after it has started a call, the request may have
 * run, and its answer must not look complete. */
static void test_peer_ends(void)
{
	fixture_t *fixture = fixture_new();
	char expected[64];

	g_snprintf(expected, sizeof(expected), "200 0 Stamp=s1|one|end %d",
		   RUNNER_PEER_LOST);
	start_request(fixture, "r");
	run_until_started(fixture);
	answer(fixture, 200);
	send_data(fixture, "one");
	run_for(fixture, 50);
	runner_relay_server_free(fixture->server);
	run_for(fixture, LOOP_MAX_MS);
	CU_ASSERT_STRING_EQUAL(fixture->seen->str, expected);
	CU_ASSERT(fixture->direct_call.cancelled);
	fixture_free(fixture);
}

/* When a request is cancelled, also from its own callback, the work at the
 * runner must end at once. */
static void test_cancel(void)
{
	for (int i = 0; i < 2; i++) {
		fixture_t *fixture = fixture_new();

		start_request(fixture, "r");
		run_until_started(fixture);
		answer(fixture, 200);
		if (i == 0) {
			runner_relay_protocol(fixture->relay)
				->cancel(fixture->call);
		} else {
			fixture->cancel_on_data = true;
			send_data(fixture, "one");
			send_data(fixture, "two");
			run_for(fixture, LOOP_MAX_MS);
			CU_ASSERT_PTR_NULL(strstr(fixture->seen->str, "two"));
		}
		run_for(fixture, 50);
		CU_ASSERT(fixture->direct_call.cancelled);
		CU_ASSERT_PTR_NULL(strstr(fixture->seen->str, "end"));
		fixture_free(fixture);
	}
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "answer arrives", test_answer_arrives },
		{ "ends", test_ends },
		{ "refused", test_refused },
		{ "too many headers", test_too_many_headers },
		{ "no room for body", test_no_room_for_body },
		{ "frozen peer", test_frozen_peer },
		{ "peer ends", test_peer_ends },
		{ "cancel", test_cancel },
		{ NULL, NULL },
	};

	return unit_run("runner_relay", tests);
}
