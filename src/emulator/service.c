#include "emulator/service.h"

#include <event2/event.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "base/setting.h"
#include "emulator/engine_fault.h"
#include "emulator/run_count.h"
#include "emulator/standin_server.h"
#include "http/http_server.h"

#define MAX_BODY_BYTES (16 * 1024 * 1024)

typedef struct service {
	struct event_base *base;
	engine_fault_t fault;
	run_count_t runs;
	int64_t latency_ms;
} service_t;

/* A call that has run and whose answer is due. */
typedef struct service_call {
	service_t *service;
	http_exchange_t *exchange;
	struct event *timer;
	char *answer;
} service_call_t;

static void call_free(service_call_t *call)
{
	event_free(call->timer);
	free(call->answer);
	g_free(call);
}

static void set_timer(service_call_t *call, int64_t delay_ms)
{
	struct timeval delay = { delay_ms / 1000, delay_ms % 1000 * 1000 };

	evtimer_add(call->timer, &delay);
}

static void on_due(evutil_socket_t fd, short events, void *arg)
{
	service_call_t *call = arg;
	engine_fault_t *fault = &call->service->fault;
	int64_t stall_ms = engine_fault_stall_ms(fault);

	if (stall_ms > 0) {
		set_timer(call, stall_ms);
		return;
	}
	http_on_closed(call->exchange, NULL, NULL);
	if (engine_fault_draw(fault, fault->cut_rate))
		http_stream_abort(call->exchange);
	else
		http_reply(call->exchange, 200, "application/json",
			   call->answer, strlen(call->answer));
	call_free(call);
}

static void on_closed(http_exchange_t *exchange, void *user_data)
{
	call_free(user_data);
}

static char *build_answer(http_exchange_t *exchange, int64_t run)
{
	size_t len;
	const char *body = http_body(exchange, &len);
	char *sum = g_compute_checksum_for_data(G_CHECKSUM_SHA256,
						(const guchar *)body, len);
	json_t *root =
		json_pack("{s:s, s:s, s:I, s:s}", "method",
			  http_method(exchange), "path", http_path(exchange),
			  "run", (json_int_t)run, "body_sha256", sum);
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	g_free(sum);
	return text;
}

static void run_call(service_t *service, http_exchange_t *exchange)
{
	service_call_t *call = g_new0(service_call_t, 1);
	char *work = g_strconcat(http_method(exchange), " ",
				 http_path(exchange), NULL);
	int64_t run = run_count_add(&service->runs, exchange, work);

	g_free(work);
	call->service = service;
	call->exchange = exchange;
	call->answer = build_answer(exchange, run);
	call->timer = evtimer_new(service->base, on_due, call);
	http_on_closed(exchange, on_closed, call);
	set_timer(call, (int64_t)((double)service->latency_ms *
				  engine_fault_factor(&service->fault)) +
				service->fault.latency_ms);
}

static void refuse(http_exchange_t *exchange, int status, const char *code)
{
	char *text = g_strdup_printf("{\"error\":{\"code\":\"%s\"}}", code);

	if (status == 503)
		http_reply_header(exchange, "Retry-After", "1");
	http_reply(exchange, status, "application/json", text, strlen(text));
	g_free(text);
}

static void handle_call(service_t *service, http_exchange_t *exchange)
{
	const char *id = http_header(exchange, "X-Request-Id");
	engine_fault_t *fault = &service->fault;

	if (id)
		http_reply_header(
			exchange, "X-Request-Id",
			engine_fault_draw(fault, fault->wrong_id_rate) ?
				"req-of-another-caller" :
				id);
	if (fault->drain)
		refuse(exchange, 503, "draining");
	else if (engine_fault_draw(fault, fault->fail_rate))
		refuse(exchange, 500, "fault");
	else
		run_call(service, exchange);
}

static void handle_fault(service_t *service, http_exchange_t *exchange)
{
	size_t len;
	const char *body = http_body(exchange, &len);
	json_t *root = json_loadb(body, len, 0, NULL);

	if (engine_fault_set(&service->fault, root))
		http_reply(exchange, 200, "application/json", "{}", 2);
	else
		refuse(exchange, 400, "invalid_json");
	json_decref(root);
	if (service->fault.exit)
		engine_fault_exit_soon(service->base);
}

static void on_request(http_exchange_t *exchange, void *user_data)
{
	service_t *service = user_data;
	const char *path = http_path(exchange);

	if (strcmp(path, "/healthz") == 0 && service->fault.drain)
		refuse(exchange, 503, "draining");
	else if (strcmp(path, "/healthz") == 0)
		http_reply(exchange, 200, "text/plain", "ok\n", 3);
	else if (strcmp(path, "/service/runs") == 0)
		run_count_reply(&service->runs, exchange);
	else if (strcmp(path, "/fault") == 0)
		handle_fault(service, exchange);
	else
		handle_call(service, exchange);
}

static int service_run(service_t *service, const char *address, uint16_t port)
{
	const http_server_options_t options = {
		.base = service->base,
		.address = address,
		.port = port,
		.max_body_bytes = MAX_BODY_BYTES,
		.handler = on_request,
		.user_data = service,
	};

	if (!standin_server_listen(&options))
		return 1;
	standin_server_run(service->base);
	return 0;
}

int service_main(int argc, char **argv)
{
	service_t service = { 0 };
	char *address = NULL;
	uint16_t port = 0;
	int64_t seed;
	const setting_t settings[] = {
		{ "address", SETTING_STRING, &address, "127.0.0.1", "IP",
		  "listen address", 0, 0, 0 },
		{ "port", SETTING_PORT, &port, "7200", "PORT",
		  "listen port, 0 for any", 0, 0, 0 },
		{ "latency-ms", SETTING_INT, &service.latency_ms, "0", "MS",
		  "time that a call takes", 0, 3600000, 0 },
		{ "seed", SETTING_INT, &seed, "1", "N",
		  "seed of the random source", 0, INT32_MAX, 0 },
		{ 0 },
	};
	const setting_program_t program = {
		.usage = "wasabilink service",
		.doc = "Plain service emulator.",
	};
	GError *error = NULL;

	if (!setting_parse(&program, settings, argc, argv, NULL, &error)) {
		fprintf(stderr, "wasabilink service: %s\n", error->message);
		g_error_free(error);
		return 64;
	}
	log_init("service", LOG_LEVEL_INFO);
	service.base = event_base_new();
	run_count_init(&service.runs);
	engine_fault_init(&service.fault, (uint32_t)seed);
	return service_run(&service, address, port);
}
