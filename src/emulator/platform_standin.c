#include "emulator/platform_standin.h"

#include <event2/event.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "base/setting.h"
#include "emulator/standin_answer.h"
#include "emulator/standin_fault.h"
#include "emulator/standin_server.h"
#include "emulator/standin_stats.h"
#include "emulator/standin_watch.h"
#include "http/http_server.h"
#include "object/object_store.h"
#include "object/object_table.h"

#define DEFAULT_LIST_LIMIT 1000

typedef struct standin {
	struct event_base *base;
	object_table_t *table;
	standin_watches_t *watches;
	standin_held_t *held;
	standin_fault_t fault;
	standin_stats_t stats;
	json_t *vms; /* array as set */
	json_t *shown_vms; /* array as listed, after the lag */
	struct event *vms_event;
} standin_t;

/* One listen port. */
typedef struct standin_port {
	standin_t *standin;
	http_server_t *server;
} standin_port_t;

static void reply(standin_t *standin, http_exchange_t *exchange, int status,
		  const table_object_t *object, const char *body)
{
	const standin_answer_t answer = {
		.status = status,
		.object = object,
		.body = body,
		.body_len = body ? strlen(body) : 0,
	};

	standin_answer_send(standin->base, &standin->fault, exchange, &answer);
}

static void reply_json(standin_t *standin, http_exchange_t *exchange,
		       json_t *root)
{
	standin_answer_json(standin->base, &standin->fault, exchange, 200,
			    root);
}

/* Answers an operation of the stand-in itself, which no fault concerns. */
static void control_reply(http_exchange_t *exchange, int status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	http_reply(exchange, status, "application/json", text, strlen(text));
	free(text);
	json_decref(root);
}

static void append_object(const char *key, const table_object_t *object,
			  void *user_data)
{
	json_array_append_new(user_data,
			      json_pack("{s:s, s:I}", "key", key, "version",
					(json_int_t)object->version));
}

static void handle_list(standin_t *standin, http_exchange_t *exchange)
{
	const char *prefix = http_query(exchange, "prefix");
	const char *after = http_query(exchange, "after");
	const char *limit = http_query(exchange, "limit");
	json_t *objects = json_array();

	object_table_list(standin->table, prefix ? prefix : "", after,
			  limit ? (uint32_t)g_ascii_strtoull(limit, NULL, 10) :
				  DEFAULT_LIST_LIMIT,
			  append_object, objects);
	reply_json(standin, exchange,
		   json_pack("{s:I, s:o}", "revision",
			     (json_int_t)object_table_revision(standin->table),
			     "objects", objects));
}

static void handle_put(standin_t *standin, http_exchange_t *exchange,
		       const char *key, uint64_t if_version)
{
	const char *writer = http_header(exchange, "X-Object-Writer");
	size_t len;
	const char *data = http_body(exchange, &len);

	if (len > OBJECT_MAX_BYTES) {
		reply(standin, exchange, 413, NULL, NULL);
		return;
	}
	if (!object_table_put(standin->table, key, data, len, if_version,
			      writer)) {
		reply(standin, exchange, 412,
		      object_table_get(standin->table, key), "{}");
		return;
	}
	reply(standin, exchange, 200, object_table_get(standin->table, key),
	      "{}");
	standin_watches_notify(standin->watches, key);
}

static void handle_delete(standin_t *standin, http_exchange_t *exchange,
			  const char *key, uint64_t if_version)
{
	const table_object_t *object = object_table_get(standin->table, key);

	if (!object) {
		reply(standin, exchange, 404, NULL, NULL);
		return;
	}
	if (!object_table_remove(standin->table, key, if_version)) {
		reply(standin, exchange, 412, object, "{}");
		return;
	}
	reply(standin, exchange, 200, NULL, NULL);
	standin_watches_notify(standin->watches, key);
}

static void handle_object(standin_t *standin, http_exchange_t *exchange,
			  standin_kind_t kind, const char *key)
{
	const char *match = http_header(exchange, "If-Match");
	const table_object_t *object;
	uint64_t if_version;
	char *end;

	if (kind == STANDIN_GET) {
		object = object_table_get(standin->table, key);
		reply(standin, exchange, object ? 200 : 404, object, NULL);
		return;
	}
	if_version = match ? g_ascii_strtoull(match, &end, 10) : 0;
	if (!match || end == match || *end != '\0')
		reply(standin, exchange, 400, NULL,
		      "{\"error\":\"If-Match needs a version\"}");
	else if (kind == STANDIN_PUT)
		handle_put(standin, exchange, key, if_version);
	else
		handle_delete(standin, exchange, key, if_version);
}

static void on_vms_lag_over(evutil_socket_t fd, short events, void *arg)
{
	standin_t *standin = arg;

	json_decref(standin->shown_vms);
	standin->shown_vms = json_deep_copy(standin->vms);
}

static json_t *read_json(http_exchange_t *exchange)
{
	size_t len;
	const char *body = http_body(exchange, &len);

	return json_loadb(body, len, 0, NULL);
}

static void handle_put_vms(standin_t *standin, http_exchange_t *exchange)
{
	struct timeval lag = { standin->fault.list_lag_ms / 1000,
			       standin->fault.list_lag_ms % 1000 * 1000 };
	json_t *root = read_json(exchange);
	json_t *vms = json_object_get(root, "vms");

	if (!json_is_array(vms)) {
		json_decref(root);
		control_reply(exchange, 400, json_object());
		return;
	}
	json_decref(standin->vms);
	standin->vms = json_incref(vms);
	json_decref(root);
	evtimer_add(standin->vms_event, &lag);
	control_reply(exchange, 200, json_object());
}

static void handle_fault(standin_t *standin, http_exchange_t *exchange)
{
	json_t *root = read_json(exchange);
	GError *error = NULL;
	char *text;

	if (!standin_fault_set(&standin->fault, root, &error)) {
		json_decref(root);
		control_reply(exchange, 400,
			      json_pack("{s:s}", "error", error->message));
		g_error_free(error);
		return;
	}
	text = json_dumps(root, JSON_COMPACT);
	log_info("fault_set", "fault=%s", log_quote(text));
	free(text);
	if (json_is_true(json_object_get(root, "drop_watches")))
		standin_watches_drop(standin->watches);
	json_decref(root);
	standin_held_release(standin->held);
	standin_watches_check(standin->watches);
	control_reply(exchange, 200, json_object());
}

static void handle_stats(standin_t *standin, http_exchange_t *exchange)
{
	control_reply(
		exchange, 200,
		standin_stats_json(&standin->stats,
				   object_table_revision(standin->table),
				   standin_watches_count(standin->watches)));
}

/* Returns FALSE after it has refused or held the call. */
static gboolean admit(standin_t *standin, http_exchange_t *exchange,
		      standin_kind_t kind, uint16_t port)
{
	const char *writer = http_header(exchange, "X-Object-Writer");
	gboolean is_write = standin_kind_is_write(kind);
	standin_fault_t *fault = &standin->fault;
	int status = 0;

	if (standin_fault_blocked(fault, port, writer)) {
		standin->stats.blocked++;
		standin_held_add(standin->held, exchange);
		return FALSE;
	}
	if (standin_fault_outage(fault)) {
		standin->stats.in_outage++;
		status = 503;
	} else if (!standin_rate_take(is_write ? &fault->writes :
						 &fault->reads)) {
		standin->stats.over_rate++;
		status = 429;
	}
	if (status == 0) {
		standin_stats_add(&standin->stats, kind);
		return TRUE;
	}
	http_reply_header(exchange, "Retry-After", "1");
	control_reply(exchange, status, json_object());
	return FALSE;
}

static const char object_path[] = "/v1/objects/";

/* The kind of a platform call; STANDIN_KINDS when there is none. */
static standin_kind_t kind_of(const char *method, const char *path)
{
	static const struct {
		const char *method;
		const char *path;
		gboolean is_prefix;
		standin_kind_t kind;
	} kinds[] = {
		{ "GET", object_path, TRUE, STANDIN_GET },
		{ "PUT", object_path, TRUE, STANDIN_PUT },
		{ "DELETE", object_path, TRUE, STANDIN_DELETE },
		{ "GET", "/v1/objects", FALSE, STANDIN_LIST },
		{ "GET", "/v1/watch", FALSE, STANDIN_WATCH },
		{ "GET", "/v1/vms", FALSE, STANDIN_VMS },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (strcmp(kinds[i].method, method) == 0 &&
		    (kinds[i].is_prefix ?
			     g_str_has_prefix(path, kinds[i].path) :
			     strcmp(path, kinds[i].path) == 0))
			return kinds[i].kind;
	return STANDIN_KINDS;
}

static void handle_call(standin_t *standin, http_exchange_t *exchange,
			uint16_t port)
{
	const char *path = http_path(exchange);
	standin_kind_t kind = kind_of(http_method(exchange), path);
	char *key;

	if (kind == STANDIN_KINDS) {
		control_reply(exchange, 404, json_object());
		return;
	}
	if (!admit(standin, exchange, kind, port))
		return;
	if (kind == STANDIN_LIST) {
		handle_list(standin, exchange);
	} else if (kind == STANDIN_WATCH) {
		standin_watch_start(standin->watches, exchange, port);
	} else if (kind == STANDIN_VMS) {
		reply_json(standin, exchange,
			   json_pack("{s:O}", "vms", standin->shown_vms));
	} else {
		key = g_uri_unescape_string(path + strlen(object_path), NULL);
		handle_object(standin, exchange, kind, key ? key : "");
		g_free(key);
	}
}

static void on_request(http_exchange_t *exchange, void *user_data)
{
	const standin_port_t *port = user_data;
	const char *path = http_path(exchange);

	if (strcmp(path, "/fault") == 0)
		handle_fault(port->standin, exchange);
	else if (strcmp(path, "/stats") == 0)
		handle_stats(port->standin, exchange);
	else if (strcmp(path, "/vms") == 0)
		handle_put_vms(port->standin, exchange);
	else
		handle_call(port->standin, exchange,
			    http_server_port(port->server));
}

static gboolean listen_on(standin_t *standin, const char *address,
			  uint16_t number)
{
	standin_port_t *port = g_new0(standin_port_t, 1);
	const http_server_options_t options = {
		.base = standin->base,
		.address = address,
		.port = number,
		.max_body_bytes = 4 * OBJECT_MAX_BYTES,
		.handler = on_request,
		.user_data = port,
	};

	port->standin = standin;
	port->server = standin_server_listen(&options);
	return port->server != NULL;
}

static gboolean listen_on_all(standin_t *standin, const char *address,
			      uint16_t port, const char *more_ports)
{
	char **numbers = g_strsplit(more_ports, ",", -1);
	gboolean ok = listen_on(standin, address, port);

	for (char **n = numbers; ok && *n; n++)
		if (**n)
			ok = listen_on(
				standin, address,
				(uint16_t)g_ascii_strtoull(*n, NULL, 10));
	g_strfreev(numbers);
	return ok;
}

static void standin_setup(standin_t *standin)
{
	standin_watches_options_t options;

	standin->base = event_base_new();
	standin->table = object_table_new();
	standin->held = standin_held_new();
	standin->vms = json_array();
	standin->shown_vms = json_array();
	standin->vms_event =
		evtimer_new(standin->base, on_vms_lag_over, standin);
	options = (standin_watches_options_t){ standin->base, standin->table,
					       &standin->fault, standin->held };
	standin->watches = standin_watches_new(&options);
}

int platform_standin_main(int argc, char **argv)
{
	char *address = NULL;
	char *more_ports = NULL;
	uint16_t port = 0;
	int64_t writes_per_s, reads_per_s, seed;
	const setting_t settings[] = {
		{ "address", SETTING_STRING, &address, "127.0.0.1", "IP",
		  "listen address", 0, 0, 0 },
		{ "port", SETTING_PORT, &port, "7000", "PORT",
		  "listen port, 0 for any", 0, 0, 0 },
		{ "more-ports", SETTING_STRING, &more_ports, "", "PORT,...",
		  "further listen ports, such as one for each failure domain",
		  0, 0, 0 },
		{ "writes-per-s", SETTING_INT, &writes_per_s, "400", "N",
		  "writes a second, 0 for no limit", 0, 1000000, 0 },
		{ "reads-per-s", SETTING_INT, &reads_per_s, "2000", "N",
		  "reads a second, 0 for no limit", 0, 1000000, 0 },
		{ "seed", SETTING_INT, &seed, "1", "N",
		  "seed of the random source for faults", 0, INT32_MAX, 0 },
		{ 0 },
	};
	const setting_program_t program = {
		.usage = "wasabilink platform",
		.doc = "Stand-in for the platform's object API.",
	};
	standin_t standin = { 0 };
	GError *error = NULL;

	if (!setting_parse(&program, settings, argc, argv, NULL, &error)) {
		fprintf(stderr, "wasabilink platform: %s\n", error->message);
		g_error_free(error);
		return 64;
	}
	log_init("platform", LOG_LEVEL_INFO);
	standin_fault_init(&standin.fault, (uint32_t)seed, (double)writes_per_s,
			   (double)reads_per_s);
	standin_setup(&standin);
	if (!listen_on_all(&standin, address, port, more_ports))
		return 1;
	standin_server_run(standin.base);
	return 0;
}
