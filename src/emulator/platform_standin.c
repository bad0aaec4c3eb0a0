#include "emulator/platform_standin.h"

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
#include "platform/object_store.h"
#include "platform/object_table.h"

#define DEFAULT_LIST_LIMIT 1000
#define MAX_WATCH_MS 60000

/* Token bucket over one second of the rate. */
typedef struct rate {
	double per_s; /* 0: unlimited */
	double tokens;
	int64_t updated_us;
} rate_t;

typedef struct standin {
	struct event_base *base;
	object_table_t *table;
	GQueue watches; /* watch_t */
	json_t *vms; /* array as set */
	json_t *shown_vms; /* array as listed, after the lag */
	struct event *vms_event;
	GRand *random;
	rate_t writes;
	rate_t reads;
	int64_t outage_until_ms;
	int64_t delay_ms;
	double lose_answers;
	int64_t list_lag_ms;
	int64_t write_count;
	int64_t read_count;
	int64_t watch_count;
	int64_t rejected_count;
	int64_t peak_writes_per_s;
	int64_t second_start_ms;
	int64_t second_writes;
} standin_t;

typedef struct watch {
	standin_t *standin;
	http_exchange_t *exchange;
	struct event *timer;
	char *prefix;
	uint64_t since;
} watch_t;

/* An answer that is delayed, or lost by closing the connection. */
typedef struct delayed_answer {
	standin_t *standin;
	http_exchange_t *exchange;
	struct event *timer;
	int status;
	uint64_t version;
	char *writer;
	GBytes *body;
	const char *content_type;
	gboolean lost;
} delayed_answer_t;

static int64_t now_ms(void)
{
	return clock_now_ms(clock_system());
}

static gboolean rate_take(rate_t *rate)
{
	int64_t now = clock_now_us(clock_system());

	if (rate->per_s <= 0)
		return TRUE;
	rate->tokens += (double)(now - rate->updated_us) / 1e6 * rate->per_s;
	rate->updated_us = now;
	if (rate->tokens > rate->per_s)
		rate->tokens = rate->per_s;
	if (rate->tokens < 1)
		return FALSE;
	rate->tokens -= 1;
	return TRUE;
}

static void answer_send(delayed_answer_t *answer)
{
	char version[24];
	gsize len;
	const void *data = g_bytes_get_data(answer->body, &len);

	if (answer->lost) {
		http_stream_abort(answer->exchange);
		return;
	}
	if (answer->version) {
		snprintf(version, sizeof(version), "%" PRIu64, answer->version);
		http_reply_header(answer->exchange, "X-Object-Version",
				  version);
	}
	if (answer->writer)
		http_reply_header(answer->exchange, "X-Object-Writer",
				  answer->writer);
	if (answer->status == 429 || answer->status == 503)
		http_reply_header(answer->exchange, "Retry-After", "1");
	http_reply(answer->exchange, answer->status, answer->content_type, data,
		   len);
}

static void answer_free(delayed_answer_t *answer)
{
	if (answer->timer)
		event_free(answer->timer);
	g_free(answer->writer);
	g_bytes_unref(answer->body);
	g_free(answer);
}

static void on_answer_due(evutil_socket_t fd, short events, void *arg)
{
	delayed_answer_t *answer = arg;

	if (answer->exchange)
		answer_send(answer);
	answer_free(answer);
}

static void on_answer_closed(http_exchange_t *exchange, void *user_data)
{
	((delayed_answer_t *)user_data)->exchange = NULL;
}

static void reply(standin_t *standin, http_exchange_t *exchange, int status,
		  const table_object_t *object, const char *body)
{
	delayed_answer_t *answer = g_new0(delayed_answer_t, 1);
	struct timeval delay = { standin->delay_ms / 1000,
				 standin->delay_ms % 1000 * 1000 };

	answer->standin = standin;
	answer->exchange = exchange;
	answer->status = status;
	answer->content_type = "application/octet-stream";
	if (object) {
		answer->version = object->version;
		answer->writer = g_strdup(object->writer);
	}
	if (object && !body) {
		answer->body = g_bytes_ref(object->data);
	} else {
		answer->content_type = "application/json";
		answer->body = g_bytes_new(body ? body : "{}",
					   strlen(body ? body : "{}"));
	}
	answer->lost = standin->lose_answers > 0 &&
		       g_rand_double(standin->random) < standin->lose_answers;
	if (standin->delay_ms == 0) {
		answer_send(answer);
		answer_free(answer);
		return;
	}
	http_on_closed(exchange, on_answer_closed, answer);
	answer->timer = evtimer_new(standin->base, on_answer_due, answer);
	evtimer_add(answer->timer, &delay);
}

static void append_change(const table_change_t *change, void *user_data)
{
	json_array_append_new(user_data,
			      json_pack("{s:s, s:I, s:b}", "key", change->key,
					"version", (json_int_t)change->revision,
					"deleted", change->deleted));
}

static char *dump_and_free(json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}

static void watch_free(watch_t *watch)
{
	g_queue_remove(&watch->standin->watches, watch);
	event_free(watch->timer);
	g_free(watch->prefix);
	g_free(watch);
}

/* Answers when there are changes or at the end of its time. */
static gboolean watch_answer(watch_t *watch, gboolean timed_out)
{
	standin_t *standin = watch->standin;
	json_t *events = json_array();
	char *text;

	if (!object_table_changes(standin->table, watch->prefix, watch->since,
				  append_change, events)) {
		json_decref(events);
		reply(standin, watch->exchange, 410, NULL, NULL);
		return TRUE;
	}
	if (json_array_size(events) == 0 && !timed_out) {
		json_decref(events);
		return FALSE;
	}
	text = dump_and_free(
		json_pack("{s:I, s:o}", "revision",
			  (json_int_t)object_table_revision(standin->table),
			  "events", events));
	reply(standin, watch->exchange, 200, NULL, text);
	free(text);
	return TRUE;
}

static void on_watch_timeout(evutil_socket_t fd, short events, void *arg)
{
	watch_t *watch = arg;

	watch_answer(watch, TRUE);
	watch_free(watch);
}

static void on_watch_closed(http_exchange_t *exchange, void *user_data)
{
	watch_free(user_data);
}

static void notify_watches(standin_t *standin, const char *key)
{
	GList *link = standin->watches.head;

	while (link) {
		watch_t *watch = link->data;

		link = link->next;
		if (g_str_has_prefix(key, watch->prefix)) {
			http_on_closed(watch->exchange, NULL, NULL);
			watch_answer(watch, TRUE);
			watch_free(watch);
		}
	}
}

static void handle_watch(standin_t *standin, http_exchange_t *exchange)
{
	const char *prefix = http_query(exchange, "prefix");
	const char *since = http_query(exchange, "since");
	const char *timeout = http_query(exchange, "timeout_ms");
	int64_t timeout_ms = timeout ? g_ascii_strtoll(timeout, NULL, 10) : 0;
	watch_t *watch = g_new0(watch_t, 1);
	struct timeval tv;

	timeout_ms = CLAMP(timeout_ms, 0, MAX_WATCH_MS);
	tv = (struct timeval){ timeout_ms / 1000, timeout_ms % 1000 * 1000 };
	standin->watch_count++;
	watch->standin = standin;
	watch->exchange = exchange;
	watch->prefix = g_strdup(prefix ? prefix : "");
	watch->since = since ? g_ascii_strtoull(since, NULL, 10) : 0;
	watch->timer = evtimer_new(standin->base, on_watch_timeout, watch);
	if (watch_answer(watch, timeout_ms == 0)) {
		watch_free(watch);
		return;
	}
	g_queue_push_tail(&standin->watches, watch);
	http_on_closed(exchange, on_watch_closed, watch);
	evtimer_add(watch->timer, &tv);
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
	char *text;

	object_table_list(standin->table, prefix ? prefix : "", after,
			  limit ? (uint32_t)g_ascii_strtoull(limit, NULL, 10) :
				  DEFAULT_LIST_LIMIT,
			  append_object, objects);
	text = dump_and_free(
		json_pack("{s:I, s:o}", "revision",
			  (json_int_t)object_table_revision(standin->table),
			  "objects", objects));
	reply(standin, exchange, 200, NULL, text);
	free(text);
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
	notify_watches(standin, key);
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
	notify_watches(standin, key);
}

static void handle_object(standin_t *standin, http_exchange_t *exchange,
			  const char *method, const char *key)
{
	const char *match = http_header(exchange, "If-Match");
	const table_object_t *object;

	if (strcmp(method, "GET") == 0) {
		object = object_table_get(standin->table, key);
		reply(standin, exchange, object ? 200 : 404, object,
		      object ? NULL : "{}");
		return;
	}
	if (!match) {
		reply(standin, exchange, 400, NULL,
		      "{\"error\":\"If-Match is required\"}");
		return;
	}
	if (strcmp(method, "PUT") == 0)
		handle_put(standin, exchange, key,
			   g_ascii_strtoull(match, NULL, 10));
	else if (strcmp(method, "DELETE") == 0)
		handle_delete(standin, exchange, key,
			      g_ascii_strtoull(match, NULL, 10));
	else
		reply(standin, exchange, 405, NULL, NULL);
}

static void on_vms_lag_over(evutil_socket_t fd, short events, void *arg)
{
	standin_t *standin = arg;

	json_decref(standin->shown_vms);
	standin->shown_vms = json_deep_copy(standin->vms);
}

static void handle_put_vms(standin_t *standin, http_exchange_t *exchange)
{
	struct timeval lag = { standin->list_lag_ms / 1000,
			       standin->list_lag_ms % 1000 * 1000 };
	size_t len;
	const char *body = http_body(exchange, &len);
	json_t *root = json_loadb(body, len, 0, NULL);
	json_t *vms = json_object_get(root, "vms");

	if (!json_is_array(vms)) {
		json_decref(root);
		http_reply(exchange, 400, "application/json", "{}", 2);
		return;
	}
	json_decref(standin->vms);
	standin->vms = json_deep_copy(vms);
	json_decref(root);
	evtimer_add(standin->vms_event, &lag);
	http_reply(exchange, 200, "application/json", "{}", 2);
}

static void handle_fault(standin_t *standin, http_exchange_t *exchange)
{
	size_t len;
	const char *body = http_body(exchange, &len);
	json_t *root = json_loadb(body, len, 0, NULL);
	json_t *v;

	if (!json_is_object(root)) {
		json_decref(root);
		http_reply(exchange, 400, "application/json", "{}", 2);
		return;
	}
	if ((v = json_object_get(root, "outage_ms")))
		standin->outage_until_ms = now_ms() + json_integer_value(v);
	if ((v = json_object_get(root, "delay_ms")))
		standin->delay_ms = json_integer_value(v);
	if ((v = json_object_get(root, "lose_answers")))
		standin->lose_answers = json_number_value(v);
	if ((v = json_object_get(root, "writes_per_s")))
		standin->writes.per_s = json_number_value(v);
	if ((v = json_object_get(root, "reads_per_s")))
		standin->reads.per_s = json_number_value(v);
	if ((v = json_object_get(root, "list_lag_ms")))
		standin->list_lag_ms = json_integer_value(v);
	json_decref(root);
	log_info("fault_set",
		 "outage_until_ms=%" PRId64 " delay_ms=%" PRId64
		 " lose_answers=%.3f",
		 standin->outage_until_ms, standin->delay_ms,
		 standin->lose_answers);
	http_reply(exchange, 200, "application/json", "{}", 2);
}

static void handle_stats(standin_t *standin, http_exchange_t *exchange)
{
	char *text = dump_and_free(json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:I}", "writes",
		(json_int_t)standin->write_count, "reads",
		(json_int_t)standin->read_count, "watches",
		(json_int_t)standin->watch_count, "rejected",
		(json_int_t)standin->rejected_count, "peak_writes_per_s",
		(json_int_t)standin->peak_writes_per_s, "revision",
		(json_int_t)object_table_revision(standin->table)));

	http_reply(exchange, 200, "application/json", text, strlen(text));
	free(text);
}

static void count_write(standin_t *standin)
{
	int64_t now = now_ms();

	standin->write_count++;
	if (now - standin->second_start_ms >= 1000) {
		standin->second_start_ms = now;
		standin->second_writes = 0;
	}
	standin->second_writes++;
	if (standin->second_writes > standin->peak_writes_per_s)
		standin->peak_writes_per_s = standin->second_writes;
}

/* Returns FALSE after it has refused the call. */
static gboolean admit(standin_t *standin, http_exchange_t *exchange,
		      gboolean is_write)
{
	int status = 0;

	if (now_ms() < standin->outage_until_ms)
		status = 503;
	else if (!rate_take(is_write ? &standin->writes : &standin->reads))
		status = 429;
	if (status == 0) {
		if (is_write)
			count_write(standin);
		else
			standin->read_count++;
		return TRUE;
	}
	standin->rejected_count++;
	http_reply_header(exchange, "Retry-After", "1");
	http_reply(exchange, status, "application/json", "{}", 2);
	return FALSE;
}

static void on_request(http_exchange_t *exchange, void *user_data)
{
	static const char objects[] = "/v1/objects/";
	standin_t *standin = user_data;
	const char *path = http_path(exchange);
	const char *method = http_method(exchange);
	gboolean is_read = strcmp(method, "GET") == 0;
	char *text;

	if (strcmp(path, "/fault") == 0) {
		handle_fault(standin, exchange);
		return;
	}
	if (strcmp(path, "/stats") == 0) {
		handle_stats(standin, exchange);
		return;
	}
	if (strcmp(path, "/vms") == 0) {
		handle_put_vms(standin, exchange);
		return;
	}
	if (!admit(standin, exchange, !is_read))
		return;
	if (g_str_has_prefix(path, objects)) {
		char *key = g_uri_unescape_string(path + strlen(objects), NULL);

		handle_object(standin, exchange, method, key ? key : "");
		g_free(key);
	} else if (strcmp(path, "/v1/objects") == 0) {
		handle_list(standin, exchange);
	} else if (strcmp(path, "/v1/watch") == 0) {
		handle_watch(standin, exchange);
	} else if (strcmp(path, "/v1/vms") == 0) {
		text = dump_and_free(
			json_pack("{s:O}", "vms", standin->shown_vms));
		reply(standin, exchange, 200, NULL, text);
		free(text);
	} else {
		reply(standin, exchange, 404, NULL, NULL);
	}
}

static void on_signal(evutil_socket_t fd, short events, void *arg)
{
	event_base_loopbreak(arg);
}

int platform_standin_main(int argc, char **argv)
{
	char *address = NULL;
	uint16_t port = 0;
	int64_t writes_per_s, reads_per_s, seed;
	const setting_t settings[] = {
		{ "address", SETTING_STRING, &address, "127.0.0.1", "IP",
		  "listen address", 0, 0, 0 },
		{ "port", SETTING_PORT, &port, "7000", "PORT",
		  "listen port, 0 for any", 0, 0, 0 },
		{ "writes-per-s", SETTING_INT, &writes_per_s, "400", "N",
		  "writes a second, 0 for no limit", 0, 1000000, 0 },
		{ "reads-per-s", SETTING_INT, &reads_per_s, "2000", "N",
		  "reads a second, 0 for no limit", 0, 1000000, 0 },
		{ "seed", SETTING_INT, &seed, "1", "N",
		  "seed of the random source for lost answers", 0, INT32_MAX,
		  0 },
		{ 0 },
	};
	const setting_program_t program = {
		.usage = "wasabilink platform",
		.doc = "Stand-in for the platform's object API.",
	};
	standin_t standin = { 0 };
	http_server_options_t options = { 0 };
	http_server_t *server;
	GError *error = NULL;

	if (!setting_parse(&program, settings, argc, argv, NULL, &error)) {
		fprintf(stderr, "wasabilink platform: %s\n", error->message);
		g_error_free(error);
		return 64;
	}
	log_init("platform", LOG_LEVEL_INFO);
	standin.base = event_base_new();
	standin.table = object_table_new();
	standin.vms = json_array();
	standin.shown_vms = json_array();
	standin.random = g_rand_new_with_seed((guint32)seed);
	standin.writes.per_s = standin.writes.tokens = (double)writes_per_s;
	standin.reads.per_s = standin.reads.tokens = (double)reads_per_s;
	standin.vms_event =
		evtimer_new(standin.base, on_vms_lag_over, &standin);
	options.base = standin.base;
	options.address = address;
	options.port = port;
	options.max_body_bytes = 4 * OBJECT_MAX_BYTES;
	options.handler = on_request;
	options.user_data = &standin;
	server = http_server_new(&options, &error);
	if (!server) {
		log_error("listen_failed", "message=%s",
			  log_quote(error->message));
		return 1;
	}
	event_add(evsignal_new(standin.base, SIGTERM, on_signal, standin.base),
		  NULL);
	event_add(evsignal_new(standin.base, SIGINT, on_signal, standin.base),
		  NULL);
	log_info("started", "address=%s port=%u", address,
		 http_server_port(server));
	event_base_dispatch(standin.base);
	return 0;
}
