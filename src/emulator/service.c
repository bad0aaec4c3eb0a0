#include "emulator/service.h"

#include <event2/event.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "base/setting.h"
#include "http/http_server.h"

typedef struct service {
	json_t *runs;
} service_t;

static void on_request(http_exchange_t *exchange, void *user_data)
{
	service_t *service = user_data;
	const char *path = http_path(exchange);
	const char *id = http_header(exchange, "X-Request-Id");
	json_int_t runs;
	json_t *root;
	char *text;

	if (strcmp(path, "/healthz") == 0) {
		http_reply(exchange, 200, "text/plain", "ok\n", 3);
		return;
	}
	if (strcmp(path, "/service/runs") == 0) {
		text = json_dumps(service->runs, JSON_COMPACT);
		http_reply(exchange, 200, "application/json", text,
			   strlen(text));
		free(text);
		return;
	}
	runs = 1 + json_integer_value(
			   json_object_get(service->runs, id ? id : "none"));
	json_object_set_new(service->runs, id ? id : "none",
			    json_integer(runs));
	if (id)
		http_reply_header(exchange, "X-Request-Id", id);
	root = json_pack("{s:s, s:I}", "path", path, "run", runs);
	text = json_dumps(root, JSON_COMPACT);
	http_reply(exchange, 200, "application/json", text, strlen(text));
	free(text);
	json_decref(root);
}

static void on_signal(evutil_socket_t fd, short events, void *arg)
{
	event_base_loopbreak(arg);
}

int service_main(int argc, char **argv)
{
	service_t service = { json_object() };
	char *address = NULL;
	uint16_t port = 0;
	const setting_t settings[] = {
		{ "address", SETTING_STRING, &address, "127.0.0.1", "IP",
		  "listen address", 0, 0, 0 },
		{ "port", SETTING_PORT, &port, "7200", "PORT",
		  "listen port, 0 for any", 0, 0, 0 },
		{ 0 },
	};
	const setting_program_t program = {
		.usage = "wasabilink service",
		.doc = "Plain service emulator.",
	};
	struct event_base *base = event_base_new();
	http_server_options_t options = { 0 };
	http_server_t *server;
	GError *error = NULL;

	if (!setting_parse(&program, settings, argc, argv, NULL, &error)) {
		fprintf(stderr, "wasabilink service: %s\n", error->message);
		g_error_free(error);
		return 64;
	}
	log_init("service", LOG_LEVEL_INFO);
	options.base = base;
	options.address = address;
	options.port = port;
	options.handler = on_request;
	options.user_data = &service;
	server = http_server_new(&options, &error);
	if (!server) {
		log_error("listen_failed", "message=%s",
			  log_quote(error->message));
		return 1;
	}
	event_add(evsignal_new(base, SIGTERM, on_signal, base), NULL);
	event_add(evsignal_new(base, SIGINT, on_signal, base), NULL);
	log_info("started", "address=%s port=%u", address,
		 http_server_port(server));
	event_base_dispatch(base);
	return 0;
}
