#include "emulator/standin_answer.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

typedef struct delayed {
	http_exchange_t *exchange; /* NULL after the client has closed */
	struct event *timer;
	int status;
	bool has_object;
	uint64_t version;
	char *writer;
	GBytes *body;
	const char *content_type;
	bool lost;
} delayed_t;

static void delayed_free(delayed_t *delayed)
{
	if (delayed->timer)
		event_free(delayed->timer);
	g_free(delayed->writer);
	g_bytes_unref(delayed->body);
	g_free(delayed);
}

static void send_now(const delayed_t *delayed)
{
	http_exchange_t *exchange = delayed->exchange;
	char version[24];
	gsize len;
	const void *data = g_bytes_get_data(delayed->body, &len);

	if (delayed->lost) {
		http_stream_abort(exchange);
		return;
	}
	if (delayed->has_object) {
		snprintf(version, sizeof(version), "%" PRIu64,
			 delayed->version);
		http_reply_header(exchange, "X-Object-Version", version);
		http_reply_header(exchange, "X-Object-Writer", delayed->writer);
	}
	http_reply(exchange, delayed->status, delayed->content_type, data, len);
}

static void on_due(evutil_socket_t fd, short events, void *arg)
{
	delayed_t *delayed = arg;

	if (delayed->exchange) {
		http_on_closed(delayed->exchange, NULL, NULL);
		send_now(delayed);
	}
	delayed_free(delayed);
}

static void on_closed(http_exchange_t *exchange, void *user_data)
{
	((delayed_t *)user_data)->exchange = NULL;
}

static delayed_t *delayed_new(http_exchange_t *exchange,
			      const standin_answer_t *answer)
{
	delayed_t *delayed = g_new0(delayed_t, 1);
	const table_object_t *object = answer->object;

	delayed->exchange = exchange;
	delayed->status = answer->status;
	delayed->has_object = object || answer->status == 412;
	delayed->version = object ? object->version : 0;
	delayed->writer = g_strdup(object ? object->writer : "");
	if (object && !answer->body) {
		delayed->content_type = "application/octet-stream";
		delayed->body = g_bytes_ref(object->data);
	} else {
		delayed->content_type = "application/json";
		delayed->body =
			g_bytes_new(answer->body ? answer->body : "{}",
				    answer->body ? answer->body_len : 2);
	}
	return delayed;
}

void standin_answer_send(struct event_base *base, standin_fault_t *fault,
			 http_exchange_t *exchange,
			 const standin_answer_t *answer)
{
	delayed_t *delayed = delayed_new(exchange, answer);
	int64_t delay_ms = standin_fault_delay_ms(fault);
	struct timeval delay = { delay_ms / 1000, delay_ms % 1000 * 1000 };

	delayed->lost = standin_fault_draw(fault, fault->lose_answers);
	if (delay_ms == 0) {
		send_now(delayed);
		delayed_free(delayed);
		return;
	}
	http_on_closed(exchange, on_closed, delayed);
	delayed->timer = evtimer_new(base, on_due, delayed);
	evtimer_add(delayed->timer, &delay);
}

void standin_answer_json(struct event_base *base, standin_fault_t *fault,
			 http_exchange_t *exchange, int status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);
	const standin_answer_t answer = {
		.status = status,
		.body = text,
		.body_len = strlen(text),
	};

	standin_answer_send(base, fault, exchange, &answer);
	free(text);
	json_decref(root);
}

struct standin_held {
	GHashTable *exchanges;
};

standin_held_t *standin_held_new(void)
{
	standin_held_t *held = g_new0(standin_held_t, 1);

	held->exchanges = g_hash_table_new(NULL, NULL);
	return held;
}

static void on_held_closed(http_exchange_t *exchange, void *user_data)
{
	standin_held_t *held = user_data;

	g_hash_table_remove(held->exchanges, exchange);
}

void standin_held_add(standin_held_t *held, http_exchange_t *exchange)
{
	g_hash_table_add(held->exchanges, exchange);
	http_on_closed(exchange, on_held_closed, held);
}

void standin_held_release(standin_held_t *held)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, held->exchanges);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		g_hash_table_iter_remove(&iter);
		http_on_closed(key, NULL, NULL);
		http_stream_abort(key);
	}
}
