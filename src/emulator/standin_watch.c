#include "emulator/standin_watch.h"

#include <string.h>

#define MAX_WATCH_MS 60000
/* How many revisions a stale watch answer lies behind what was asked. */
#define STALE_REVISIONS 5

struct standin_watches {
	standin_watches_options_t options;
	GQueue waiting; /* watch_t */
};

typedef struct watch {
	standin_watches_t *watches;
	http_exchange_t *exchange;
	struct event *timer;
	char *prefix;
	uint64_t since;
	uint16_t port;
} watch_t;

standin_watches_t *standin_watches_new(const standin_watches_options_t *options)
{
	standin_watches_t *watches = g_new0(standin_watches_t, 1);

	watches->options = *options;
	g_queue_init(&watches->waiting);
	return watches;
}

static void watch_free(watch_t *watch)
{
	g_queue_remove(&watch->watches->waiting, watch);
	event_free(watch->timer);
	g_free(watch->prefix);
	g_free(watch);
}

typedef struct collected {
	json_t *events;
	uint64_t until; /* leaves out later changes */
} collected_t;

static void append_change(const table_change_t *change, void *user_data)
{
	collected_t *collected = user_data;

	if (change->revision > collected->until)
		return;
	json_array_append_new(collected->events,
			      json_pack("{s:s, s:I, s:b}", "key", change->key,
					"version", (json_int_t)change->revision,
					"deleted", change->deleted));
}

/* Answers and frees the watch; the exchange is no longer the watch's. */
static void end_watch(watch_t *watch, int status, json_t *root)
{
	const standin_watches_options_t *options = &watch->watches->options;

	http_on_closed(watch->exchange, NULL, NULL);
	if (status == 503)
		http_reply_header(watch->exchange, "Retry-After", "1");
	standin_answer_json(options->base, options->fault, watch->exchange,
			    status, root);
	watch_free(watch);
}

/* Answers when there are changes after since, or at the end of the time. */
static void answer(watch_t *watch, uint64_t since, uint64_t until,
		   gboolean timed_out)
{
	collected_t collected = { json_array(), until };

	if (!object_table_changes(watch->watches->options.table, watch->prefix,
				  since, append_change, &collected)) {
		json_decref(collected.events);
		end_watch(watch, 410, json_object());
		return;
	}
	if (json_array_size(collected.events) == 0 && !timed_out) {
		json_decref(collected.events);
		return;
	}
	end_watch(watch, 200,
		  json_pack("{s:I, s:o}", "revision", (json_int_t)until,
			    "events", collected.events));
}

static uint64_t revision(const watch_t *watch)
{
	return object_table_revision(watch->watches->options.table);
}

static void on_timeout(evutil_socket_t fd, short events, void *arg)
{
	watch_t *watch = arg;

	answer(watch, watch->since, revision(watch), TRUE);
}

static void on_closed(http_exchange_t *exchange, void *user_data)
{
	watch_free(user_data);
}

static watch_t *watch_new(standin_watches_t *watches, http_exchange_t *exchange,
			  uint16_t port)
{
	const char *prefix = http_query(exchange, "prefix");
	const char *since = http_query(exchange, "since");
	watch_t *watch = g_new0(watch_t, 1);

	watch->watches = watches;
	watch->exchange = exchange;
	watch->port = port;
	watch->prefix = g_strdup(prefix ? prefix : "");
	watch->since = since ? g_ascii_strtoull(since, NULL, 10) : 0;
	watch->timer = evtimer_new(watches->options.base, on_timeout, watch);
	g_queue_push_tail(&watches->waiting, watch);
	http_on_closed(exchange, on_closed, watch);
	return watch;
}

void standin_watch_start(standin_watches_t *watches, http_exchange_t *exchange,
			 uint16_t port)
{
	const char *timeout = http_query(exchange, "timeout_ms");
	int64_t timeout_ms = timeout ? g_ascii_strtoll(timeout, NULL, 10) : 0;
	standin_fault_t *fault = watches->options.fault;
	watch_t *watch = watch_new(watches, exchange, port);
	struct timeval tv;

	timeout_ms = CLAMP(timeout_ms, 0, MAX_WATCH_MS);
	tv = (struct timeval){ timeout_ms / 1000, timeout_ms % 1000 * 1000 };
	evtimer_add(watch->timer, &tv);
	if (standin_fault_draw(fault, fault->stale_watches) && watch->since)
		answer(watch, watch->since - MIN(watch->since, STALE_REVISIONS),
		       watch->since, TRUE);
	else
		answer(watch, watch->since, revision(watch), timeout_ms == 0);
}

void standin_watches_notify(standin_watches_t *watches, const char *key)
{
	GList *link = watches->waiting.head;

	while (link) {
		watch_t *watch = link->data;

		link = link->next;
		if (g_str_has_prefix(key, watch->prefix))
			answer(watch, watch->since, revision(watch), FALSE);
	}
}

void standin_watches_drop(standin_watches_t *watches)
{
	watch_t *watch;

	while ((watch = g_queue_peek_head(&watches->waiting))) {
		http_on_closed(watch->exchange, NULL, NULL);
		watch_free(watch);
	}
}

void standin_watches_check(standin_watches_t *watches)
{
	const standin_watches_options_t *options = &watches->options;
	GList *link = watches->waiting.head;

	while (link) {
		watch_t *watch = link->data;

		link = link->next;
		if (standin_fault_blocked(options->fault, watch->port, NULL)) {
			http_on_closed(watch->exchange, NULL, NULL);
			standin_held_add(options->held, watch->exchange);
			watch_free(watch);
		} else if (standin_fault_outage(options->fault)) {
			end_watch(watch, 503, json_object());
		}
	}
}

uint32_t standin_watches_count(const standin_watches_t *watches)
{
	return g_queue_get_length((GQueue *)&watches->waiting);
}
