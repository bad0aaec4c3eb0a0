#include "emulator/run_count.h"

#include <string.h>

static const char *const kind_names[RUN_COUNT_KINDS] = { "request", "key",
							 "work" };

void run_count_init(run_count_t *count)
{
	for (int i = 0; i < RUN_COUNT_KINDS; i++)
		count->by[i] = json_object();
}

void run_count_clear(run_count_t *count)
{
	for (int i = 0; i < RUN_COUNT_KINDS; i++)
		json_decref(count->by[i]);
}

static int64_t add(json_t *by, const char *id)
{
	json_int_t runs;

	if (!id)
		return 0;
	runs = json_integer_value(json_object_get(by, id)) + 1;
	json_object_set_new(by, id, json_integer(runs));
	return runs;
}

int64_t run_count_add(run_count_t *count, const http_exchange_t *exchange,
		      const char *work)
{
	const char *id = http_header(exchange, "X-Request-Id");
	const char *key = http_header(exchange, "Idempotency-Key");
	int64_t by_request = add(count->by[RUN_COUNT_REQUEST], id);
	int64_t by_key;

	if (!key)
		key = http_header(exchange, "X-Item-Id");
	by_key = add(count->by[RUN_COUNT_KEY], key);
	add(count->by[RUN_COUNT_WORK], work);
	return by_key ? by_key : by_request;
}

void run_count_reply(const run_count_t *count, http_exchange_t *exchange)
{
	const char *by = http_query(exchange, "by");
	int kind = 0;
	char *text;

	while (by && kind < RUN_COUNT_KINDS &&
	       strcmp(by, kind_names[kind]) != 0)
		kind++;
	if (kind == RUN_COUNT_KINDS) {
		http_reply(exchange, 400, "application/json", "{}", 2);
		return;
	}
	text = json_dumps(count->by[kind], JSON_COMPACT);
	http_reply(exchange, 200, "application/json", text, strlen(text));
	free(text);
}
