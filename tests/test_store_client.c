#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "platform/store_client.h"
#include "unit.h"

/* A store that answers each request with one body. */
typedef struct stand_in {
	struct event_base *base;
	struct evconnlistener *listener;
	char address[32];
	const char *body; /* NULL: requests have no answer */
	int closed; /* connections that the client has closed */
} stand_in_t;

/* What the client made of the answer. */
typedef struct outcome {
	struct event_base *base;
	int calls;
	int error; /* 0: none */
	guint entries;
	bool more;
	uint64_t revision;
} outcome_t;

static void on_request(struct bufferevent *bev, void *arg)
{
	const stand_in_t *store = arg;

	evbuffer_drain(bufferevent_get_input(bev),
		       evbuffer_get_length(bufferevent_get_input(bev)));
	if (!store->body)
		return;
	evbuffer_add_printf(bufferevent_get_output(bev),
			    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
			    strlen(store->body), store->body);
}

static void on_closed(struct bufferevent *bev, short events, void *arg)
{
	stand_in_t *store = arg;

	store->closed++;
	bufferevent_free(bev);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *arg)
{
	const stand_in_t *store = arg;
	struct bufferevent *bev =
		bufferevent_socket_new(store->base, fd, BEV_OPT_CLOSE_ON_FREE);

	bufferevent_setcb(bev, on_request, NULL, on_closed, arg);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void stand_in_init(stand_in_t *store, const char *body)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	store->base = event_base_new();
	store->body = body;
	store->listener = evconnlistener_new_bind(
		store->base, on_accept, store, LEV_OPT_CLOSE_ON_FREE, -1,
		(struct sockaddr *)&address, sizeof(address));
	getsockname(evconnlistener_get_fd(store->listener),
		    (struct sockaddr *)&address, &len);
	snprintf(store->address, sizeof(store->address), "127.0.0.1:%u",
		 ntohs(address.sin_port));
}

static void on_listed(const object_listing_t *listing, const GError *error,
		      void *user_data)
{
	outcome_t *outcome = user_data;

	outcome->calls++;
	if (error) {
		outcome->error = error->code + 1;
	} else {
		outcome->entries = listing->entries->len;
		outcome->more = listing->more;
		outcome->revision = listing->revision;
	}
	event_base_loopbreak(outcome->base);
}

static outcome_t list(const char *body)
{
	stand_in_t server;
	outcome_t outcome = { 0 };
	store_client_options_t options = { .timeout_ms = 5000 };
	object_store_t *store;

	stand_in_init(&server, body);
	outcome.base = server.base;
	options.client = http_client_new(server.base);
	options.address = server.address;
	store = store_client_new(&options);
	object_list(store, "runners/", NULL, 500, on_listed, &outcome);
	event_base_dispatch(server.base);
	object_store_free(store);
	http_client_free(options.client);
	evconnlistener_free(server.listener);
	event_base_free(server.base);
	return outcome;
}

#define BEGIN "{\"as_of\":9,\"has_more\":true,\"items\":["
#define FIRST "{\"metadata\":{\"name\":\"a\",\"rev\":3},\"spec\":{}}"
/* Its value cannot be decoded. */
#define ODD "{\"metadata\":{\"name\":\"b\",\"rev\":4},\"spec\":1e999}"

/* A page with a value that cannot be decoded still has its other objects. */
static void test_odd_object(void)
{
	const outcome_t outcome = list(BEGIN FIRST "," ODD "," FIRST "]}");

	CU_ASSERT_EQUAL(outcome.calls, 1);
	CU_ASSERT_EQUAL(outcome.error, 0);
	CU_ASSERT_EQUAL(outcome.entries, 3);
	CU_ASSERT_EQUAL(outcome.revision, 9);
	CU_ASSERT(outcome.more);
}

/* Guards against a page that is cut off and passes for a whole one: the objects
 * behind the cut were taken for removed. */
static void test_cut_page(void)
{
	static const char *const bodies[] = {
		BEGIN FIRST "," ODD "]",
		BEGIN FIRST ",{\"metadata\":{\"name\":\"c\"",
		BEGIN FIRST,
		"{\"as_of\":9",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		const outcome_t outcome = list(bodies[i]);

		CU_ASSERT_EQUAL(outcome.calls, 1);
		CU_ASSERT_EQUAL(outcome.error, WL_ERROR_PROTOCOL + 1);
	}
}

/* Guards against calls that go on at the store, and hold a connection, when
 * nobody waits for them. */
static void test_cancelled_watch(void)
{
	store_client_options_t options = { .timeout_ms = 5000 };
	outcome_t outcome = { 0 };
	outcome_t other = { 0 };
	object_store_t *store;
	stand_in_t server = { 0 };

	stand_in_init(&server, NULL);
	outcome.base = other.base = server.base;
	options.client = http_client_new(server.base);
	options.address = server.address;
	store = store_client_new(&options);
	object_watch(store, "runners/", 1, 25000, on_listed, &outcome);
	object_watch(store, "runners/", 2, 25000, on_listed, &other);
	for (int i = 0; i < 20; i++)
		event_base_loop(server.base, EVLOOP_NONBLOCK);
	CU_ASSERT(object_cancel(store, &outcome));
	CU_ASSERT_FALSE(object_cancel(store, &outcome));
	for (int i = 0; i < 1000 && !server.closed; i++)
		event_base_loop(server.base, EVLOOP_NONBLOCK);
	CU_ASSERT_EQUAL(server.closed, 1);
	CU_ASSERT_EQUAL(outcome.calls, 0);
	CU_ASSERT_EQUAL(other.calls, 0);
	CU_ASSERT(object_cancel(store, &other));
	object_store_free(store);
	http_client_free(options.client);
	evconnlistener_free(server.listener);
	event_base_free(server.base);
}

/* A call whose completion ends all calls in progress. */
typedef struct ending_call {
	outcome_t outcome; /* first member */
	object_store_t *store;
	bool ended_itself;
} ending_call_t;

static void on_end_all(const object_listing_t *listing, const GError *error,
		       void *user_data)
{
	ending_call_t *call = user_data;

	call->ended_itself = object_cancel(call->store, call);
	on_listed(listing, error, user_data);
}

/* Guards against a process that ends by itself: a node that lost the store with
 * the failure of a read for another node freed that read twice. */
static void test_cancel_in_completion(void)
{
	static const char *const bodies[] = { BEGIN FIRST "]}", "{}" };

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		store_client_options_t options = { .timeout_ms = 5000 };
		ending_call_t call = { 0 };
		stand_in_t server;

		stand_in_init(&server, bodies[i]);
		call.outcome.base = server.base;
		options.client = http_client_new(server.base);
		options.address = server.address;
		call.store = store_client_new(&options);
		object_list(call.store, "runners/", NULL, 500, on_end_all,
			    &call);
		event_base_dispatch(server.base);
		CU_ASSERT_FALSE(call.ended_itself);
		CU_ASSERT_EQUAL(call.outcome.calls, 1);
		object_store_free(call.store);
		http_client_free(options.client);
		evconnlistener_free(server.listener);
		event_base_free(server.base);
	}
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "cancel in completion", test_cancel_in_completion },
		{ "odd object", test_odd_object },
		{ "cut page", test_cut_page },
		{ "cancelled watch", test_cancelled_watch },
		{ NULL, NULL },
	};

	return unit_run("store_client", tests);
}
