#include "emulator/engine.h"

#include <event2/event.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/setting.h"
#include "http/http_server.h"

#define DEFAULT_TOKENS 16
#define MAX_TOKENS 100000

typedef struct engine {
	struct event_base *base;
	char *version;
	int64_t slots;
	int64_t token_us;
	int64_t first_token_us;
	int64_t running;
	double slow_factor;
	int64_t slow_until_ms;
	json_t *runs;
} engine_t;

typedef struct generation {
	engine_t *engine;
	http_exchange_t *exchange;
	struct event *timer;
	char *id;
	uint32_t seed;
	int64_t next_token;
	int64_t end_token;
	gboolean stream;
	GString *text;
} generation_t;

static void generation_free(generation_t *generation)
{
	generation->engine->running--;
	event_free(generation->timer);
	g_string_free(generation->text, TRUE);
	g_free(generation->id);
	g_free(generation);
}

static void schedule(generation_t *generation, int64_t delay_us)
{
	const engine_t *engine = generation->engine;
	double factor = 1;
	struct timeval tv;

	if (clock_now_ms(clock_system()) < engine->slow_until_ms)
		factor = engine->slow_factor;
	if (engine->running > engine->slots)
		factor *= (double)engine->running / (double)engine->slots;
	delay_us = (int64_t)((double)delay_us * factor);
	tv = (struct timeval){ delay_us / 1000000, delay_us % 1000000 };
	evtimer_add(generation->timer, &tv);
}

static void append_token(const generation_t *generation, GString *out)
{
	uint32_t mixed = (generation->seed ^ (uint32_t)generation->next_token) *
			 2654435761U;

	g_string_append_printf(out, "w%" PRIu32 " ", mixed >> 20);
}

static void send_event(generation_t *generation, const char *content,
		       const char *finish)
{
	json_t *delta = json_object();
	json_t *choice = json_pack("{s:i, s:o, s:s?}", "index", 0, "delta",
				   delta, "finish_reason", finish);
	json_t *root =
		json_pack("{s:s, s:s, s:[o]}", "id", generation->id, "object",
			  "chat.completion.chunk", "choices", choice);
	char *text;
	char *event;

	if (content)
		json_object_set_new(delta, "content", json_string(content));
	text = json_dumps(root, JSON_COMPACT);
	event = g_strconcat("data: ", text, "\n\n", NULL);
	http_stream_write(generation->exchange, event, strlen(event));
	g_free(event);
	free(text);
	json_decref(root);
}

static void finish(generation_t *generation)
{
	static const char done[] = "data: [DONE]\n\n";
	json_t *root;
	char *text;

	http_on_closed(generation->exchange, NULL, NULL);
	if (generation->stream) {
		send_event(generation, NULL, "stop");
		http_stream_write(generation->exchange, done, strlen(done));
		http_stream_end(generation->exchange);
		generation_free(generation);
		return;
	}
	root = json_pack("{s:s, s:s, s:[{s:i, s:{s:s, s:s}, s:s}]}", "id",
			 generation->id, "object", "chat.completion", "choices",
			 "index", 0, "message", "role", "assistant", "content",
			 generation->text->str, "finish_reason", "stop");
	text = json_dumps(root, JSON_COMPACT);
	http_reply(generation->exchange, 200, "application/json", text,
		   strlen(text));
	free(text);
	json_decref(root);
	generation_free(generation);
}

static void on_token(evutil_socket_t fd, short events, void *arg)
{
	generation_t *generation = arg;
	GString *token = g_string_new(NULL);

	append_token(generation, token);
	generation->next_token++;
	if (generation->stream)
		send_event(generation, token->str, NULL);
	else
		g_string_append(generation->text, token->str);
	g_string_free(token, TRUE);
	if (generation->next_token >= generation->end_token)
		finish(generation);
	else
		schedule(generation, generation->engine->token_us);
}

static void on_closed(http_exchange_t *exchange, void *user_data)
{
	generation_free(user_data);
}

static void count_run(engine_t *engine, const char *id)
{
	json_int_t runs = json_integer_value(json_object_get(engine->runs, id));

	json_object_set_new(engine->runs, id, json_integer(runs + 1));
}

static void reply_error(http_exchange_t *exchange, int status, const char *code,
			const char *message)
{
	json_t *root = json_pack("{s:{s:s, s:s, s:s}}", "error", "type",
				 "invalid_request_error", "code", code,
				 "message", message);
	char *text = json_dumps(root, JSON_COMPACT);

	http_reply(exchange, status, "application/json", text, strlen(text));
	free(text);
	json_decref(root);
}

static void start_generation(engine_t *engine, http_exchange_t *exchange,
			     json_t *request, const char *id)
{
	generation_t *generation = g_new0(generation_t, 1);
	char *prompt = json_dumps(json_object_get(request, "messages"),
				  JSON_COMPACT | JSON_SORT_KEYS);
	json_int_t tokens =
		json_integer_value(json_object_get(request, "max_tokens"));

	generation->engine = engine;
	generation->exchange = exchange;
	generation->id = g_strdup(id ? id : "none");
	generation->seed = g_str_hash(prompt ? prompt : "");
	generation->stream = json_is_true(json_object_get(request, "stream"));
	generation->next_token =
		json_integer_value(json_object_get(request, "resume_from"));
	generation->end_token =
		CLAMP(tokens ? tokens : DEFAULT_TOKENS, 1, MAX_TOKENS);
	generation->text = g_string_new(NULL);
	generation->timer = evtimer_new(engine->base, on_token, generation);
	engine->running++;
	http_on_closed(exchange, on_closed, generation);
	if (generation->stream)
		http_stream_start(exchange, 200, "text/event-stream");
	if (generation->next_token >= generation->end_token)
		finish(generation);
	else
		schedule(generation, engine->first_token_us);
	free(prompt);
}

static void handle_chat(engine_t *engine, http_exchange_t *exchange)
{
	const char *id = http_header(exchange, "X-Request-Id");
	const char *version = http_header(exchange, "X-Model-Version");
	size_t len;
	const char *body = http_body(exchange, &len);
	json_t *request = json_loadb(body, len, 0, NULL);

	if (id)
		http_reply_header(exchange, "X-Request-Id", id);
	if (!json_is_object(request)) {
		reply_error(exchange, 400, "invalid_json", "body is not JSON");
	} else if (version && strcmp(version, engine->version) != 0) {
		reply_error(exchange, 409, "version_not_served",
			    "this version is not served");
	} else {
		if (id)
			count_run(engine, id);
		start_generation(engine, exchange, request, id);
	}
	json_decref(request);
}

static void reply_json(http_exchange_t *exchange, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	http_reply(exchange, 200, "application/json", text, strlen(text));
	free(text);
}

static void handle_fault(engine_t *engine, http_exchange_t *exchange)
{
	size_t len;
	const char *body = http_body(exchange, &len);
	json_t *root = json_loadb(body, len, 0, NULL);

	engine->slow_factor =
		json_number_value(json_object_get(root, "slow_factor"));
	if (engine->slow_factor < 1)
		engine->slow_factor = 1;
	engine->slow_until_ms =
		clock_now_ms(clock_system()) +
		json_integer_value(json_object_get(root, "slow_ms"));
	json_decref(root);
	http_reply(exchange, 200, "application/json", "{}", 2);
}

static void on_request(http_exchange_t *exchange, void *user_data)
{
	engine_t *engine = user_data;
	const char *path = http_path(exchange);
	json_t *root;

	if (strcmp(path, "/v1/chat/completions") == 0) {
		handle_chat(engine, exchange);
	} else if (strcmp(path, "/engine/load") == 0) {
		root = json_pack("{s:I, s:I}", "running",
				 (json_int_t)engine->running, "slots",
				 (json_int_t)engine->slots);
		reply_json(exchange, root);
		json_decref(root);
	} else if (strcmp(path, "/engine/runs") == 0) {
		reply_json(exchange, engine->runs);
	} else if (strcmp(path, "/fault") == 0) {
		handle_fault(engine, exchange);
	} else if (strcmp(path, "/healthz") == 0) {
		http_reply(exchange, 200, "text/plain", "ok\n", 3);
	} else {
		reply_error(exchange, 404, "not_found", "no such path");
	}
}

static void on_signal(evutil_socket_t fd, short events, void *arg)
{
	event_base_loopbreak(arg);
}

int engine_main(int argc, char **argv)
{
	engine_t engine = { .slow_factor = 1 };
	char *address = NULL;
	uint16_t port = 0;
	const setting_t settings[] = {
		{ "address", SETTING_STRING, &address, "127.0.0.1", "IP",
		  "listen address", 0, 0, 0 },
		{ "port", SETTING_PORT, &port, "7100", "PORT",
		  "listen port, 0 for any", 0, 0, 0 },
		{ "model-version", SETTING_STRING, &engine.version, "1",
		  "VERSION", "model version served at start", 0, 0, 0 },
		{ "slots", SETTING_INT, &engine.slots, "8", "N",
		  "streams served at full speed", 1, 100000, 0 },
		{ "token-us", SETTING_INT, &engine.token_us, "5000", "US",
		  "time between tokens at full speed", 0, 10000000, 0 },
		{ "first-token-us", SETTING_INT, &engine.first_token_us,
		  "20000", "US", "time to the first token", 0, 10000000, 0 },
		{ 0 },
	};
	const setting_program_t program = {
		.usage = "wasabilink engine",
		.doc = "Model engine emulator.",
	};
	http_server_options_t options = { 0 };
	http_server_t *server;
	GError *error = NULL;

	if (!setting_parse(&program, settings, argc, argv, NULL, &error)) {
		fprintf(stderr, "wasabilink engine: %s\n", error->message);
		g_error_free(error);
		return 64;
	}
	log_init("engine", LOG_LEVEL_INFO);
	engine.base = event_base_new();
	engine.runs = json_object();
	options.base = engine.base;
	options.address = address;
	options.port = port;
	options.handler = on_request;
	options.user_data = &engine;
	server = http_server_new(&options, &error);
	if (!server) {
		log_error("listen_failed", "message=%s",
			  log_quote(error->message));
		return 1;
	}
	event_add(evsignal_new(engine.base, SIGTERM, on_signal, engine.base),
		  NULL);
	event_add(evsignal_new(engine.base, SIGINT, on_signal, engine.base),
		  NULL);
	log_info("started", "address=%s port=%u", address,
		 http_server_port(server));
	event_base_dispatch(engine.base);
	return 0;
}
