#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <string.h>

#include "http/http_server.h"
#include "unit.h"

#define CALLERS 2

/* Two callers whose answers are written in turns, in one pass of the loop. */
typedef struct scene {
	struct event_base *base;
	http_exchange_t *exchanges[CALLERS];
	struct bufferevent *callers[CALLERS];
	GString *answers[CALLERS];
	int waiting;
	void (*answer)(struct scene *scene);
} scene_t;

static void on_request(http_exchange_t *exchange, void *user_data)
{
	scene_t *scene = user_data;

	scene->exchanges[http_path(exchange)[1] - '0'] = exchange;
	if (++scene->waiting == CALLERS)
		scene->answer(scene);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *input = bufferevent_get_input(bev);
	size_t len = evbuffer_get_length(input);

	g_string_append_len(arg, (char *)evbuffer_pullup(input, -1),
			    (gssize)len);
	evbuffer_drain(input, len);
}

static void on_event(struct bufferevent *bev, short events, void *arg)
{
	if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		event_base_loopbreak(bufferevent_get_base(bev));
}

static void connect_caller(scene_t *scene, int i, uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	scene->answers[i] = g_string_new(NULL);
	scene->callers[i] =
		bufferevent_socket_new(scene->base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(scene->callers[i], on_read, NULL, on_event,
			  scene->answers[i]);
	bufferevent_enable(scene->callers[i], EV_READ);
	bufferevent_socket_connect(scene->callers[i],
				   (struct sockaddr *)&address,
				   sizeof(address));
	evbuffer_add_printf(bufferevent_get_output(scene->callers[i]),
			    "GET /%d HTTP/1.1\r\nHost: x\r\n"
			    "Connection: close\r\n\r\n",
			    i);
}

/* Runs until both connections have ended; the bodies as sent. */
static void play(scene_t *scene, void (*answer)(scene_t *scene),
		 char *bodies[CALLERS])
{
	const http_server_options_t options = { .handler = on_request,
						.user_data = scene,
						.address = "127.0.0.1" };
	http_server_options_t own = options;
	http_server_t *server;

	scene->base = event_base_new();
	scene->answer = answer;
	own.base = scene->base;
	server = http_server_new(&own, NULL);
	for (int i = 0; i < CALLERS; i++)
		connect_caller(scene, i, http_server_port(server));
	for (int i = 0; i < CALLERS; i++)
		event_base_dispatch(scene->base);
	for (int i = 0; i < CALLERS; i++) {
		const char *end = strstr(scene->answers[i]->str, "\r\n\r\n");

		bodies[i] = g_strdup(end ? end + 4 : "");
		bufferevent_free(scene->callers[i]);
		g_string_free(scene->answers[i], TRUE);
	}
	http_server_free(server);
	event_base_free(scene->base);
}

static void write_in_turns(scene_t *scene)
{
	static const char *const pieces[CALLERS][2] = { { "a1 ", "a2 " },
							{ "b1 ", "b2 " } };

	for (int i = 0; i < CALLERS; i++)
		http_stream_start(scene->exchanges[i], 200, "text/plain");
	for (int piece = 0; piece < 2; piece++)
		for (int i = 0; i < CALLERS; i++)
			http_stream_write(scene->exchanges[i], pieces[i][piece],
					  3);
}

static void answer_in_turns(scene_t *scene)
{
	write_in_turns(scene);
	/* Gathered and sent directly, by its size. */
	for (int i = 0; i < CALLERS; i++) {
		char *large = g_strnfill(20000, 'x');

		CU_ASSERT_TRUE(http_stream_pending(scene->exchanges[i]) > 6);
		http_stream_write(scene->exchanges[i], "c ", 2);
		http_stream_write(scene->exchanges[i], large, 20000);
		http_stream_end(scene->exchanges[i]);
		g_free(large);
	}
}

static void answer_one_piece_by_piece(scene_t *scene)
{
	for (int i = 0; i < CALLERS; i++) {
		http_stream_start(scene->exchanges[i], 200, "text/plain");
		http_stream_write(scene->exchanges[i], "one ", 4);
		http_stream_write(scene->exchanges[i], "two", 3);
	}
	http_stream_end(scene->exchanges[0]);
	http_stream_abort(scene->exchanges[1]);
}

/* Guards against pieces that reach another caller, or in another order. */
static void test_pieces_in_turns(void)
{
	scene_t scene = { 0 };
	char *bodies[CALLERS];

	play(&scene, answer_in_turns, bodies);
	CU_ASSERT_PTR_NOT_NULL(strstr(bodies[0], "3\r\na1 \r\n3\r\na2 \r\n"
						 "2\r\nc \r\n4e20\r\nxx"));
	CU_ASSERT_PTR_NOT_NULL(strstr(bodies[1], "3\r\nb1 \r\n3\r\nb2 \r\n"
						 "2\r\nc \r\n4e20\r\nxx"));
	for (int i = 0; i < CALLERS; i++) {
		CU_ASSERT_TRUE(g_str_has_suffix(bodies[i], "xx\r\n0\r\n\r\n"));
		g_free(bodies[i]);
	}
}

/*
 * Guards against a chunk for each piece of one pass, and against an aborted
 * answer that loses what was written or looks complete.
 */
static void test_one_chunk_and_abort(void)
{
	scene_t scene = { 0 };
	char *bodies[CALLERS];

	play(&scene, answer_one_piece_by_piece, bodies);
	CU_ASSERT_STRING_EQUAL(bodies[0], "7\r\none two\r\n0\r\n\r\n");
	CU_ASSERT_STRING_EQUAL(bodies[1], "7\r\none two\r\n");
	for (int i = 0; i < CALLERS; i++)
		g_free(bodies[i]);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "pieces in turns", test_pieces_in_turns },
		{ "one chunk, and abort", test_one_chunk_and_abort },
		{ 0 },
	};

	return unit_run("http_stream", tests);
}
