#include "emulator/generation.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "emulator/answer.h"

/* A reader that is this far behind holds up its own answer. */
#define MAX_PENDING_BYTES (256 * 1024)
#define PENDING_WAIT_US 1000

struct generation_pool {
	generation_options_t options;
	GHashTable *all; /* set of generation_t */
	GQueue queued; /* generation_t */
	int64_t running;
	int64_t tokens;
};

typedef struct generation {
	generation_pool_t *pool;
	http_exchange_t *exchange;
	struct event *timer;
	char *id;
	GString *chunk; /* a stream event up to its content */
	size_t chunk_len;
	GString *text; /* of a whole answer */
	uint32_t seed;
	int64_t prompt_tokens;
	int64_t prefill_tokens; /* of the prompt, not cached */
	int64_t next_token;
	int64_t end_token;
	int64_t cut_token; /* where the connection breaks; -1: nowhere */
	int64_t deadline_ms; /* 0: none */
	bool stream;
	bool include_usage;
	bool running;
} generation_t;

static void start_queued(generation_pool_t *pool);

generation_pool_t *generation_pool_new(const generation_options_t *options)
{
	generation_pool_t *pool = g_new0(generation_pool_t, 1);

	pool->options = *options;
	pool->all = g_hash_table_new(NULL, NULL);
	g_queue_init(&pool->queued);
	return pool;
}

void generation_pool_stats(const generation_pool_t *pool,
			   generation_stats_t *stats)
{
	stats->running = pool->running;
	stats->queued = g_queue_get_length((GQueue *)&pool->queued);
	stats->slots = pool->options.slots;
	stats->tokens = pool->tokens;
}

static void generation_free(generation_t *generation)
{
	generation_pool_t *pool = generation->pool;

	if (generation->running)
		pool->running--;
	else
		g_queue_remove(&pool->queued, generation);
	g_hash_table_remove(pool->all, generation);
	event_free(generation->timer);
	g_string_free(generation->chunk, TRUE);
	g_string_free(generation->text, TRUE);
	g_free(generation->id);
	g_free(generation);
	start_queued(pool);
}

static void set_timer(generation_t *generation, int64_t delay_us)
{
	struct timeval tv = { delay_us / 1000000, delay_us % 1000000 };

	evtimer_add(generation->timer, &tv);
}

static void schedule(generation_t *generation, int64_t delay_us)
{
	const generation_pool_t *pool = generation->pool;
	const generation_options_t *options = &pool->options;
	double factor = engine_fault_factor(options->fault);

	if (pool->running > options->slots)
		factor *= (double)pool->running / (double)options->slots;
	set_timer(generation, (int64_t)((double)delay_us * factor));
}

static char *json_quote(const char *text)
{
	json_t *value = json_string(text);
	char *quoted = json_dumps(value, JSON_ENCODE_ANY);

	json_decref(value);
	return quoted;
}

/* The fixed part of every event; only the content changes per token. */
static void build_chunk(generation_t *generation, const char *model)
{
	char *id = json_quote(generation->id);
	char *name = json_quote(model ? model : "");

	g_string_append_printf(
		generation->chunk,
		"data: {\"id\":%s,\"object\":\"chat.completion.chunk\","
		"\"created\":0,\"model\":%s,\"choices\":[{\"index\":0,"
		"\"delta\":{",
		id, name);
	generation->chunk_len = generation->chunk->len;
	free(id);
	free(name);
}

static void send_token(generation_t *generation, gboolean is_first)
{
	GString *chunk = generation->chunk;

	g_string_truncate(chunk, generation->chunk_len);
	g_string_append(chunk, is_first ?
				       "\"role\":\"assistant\",\"content\":\"" :
				       "\"content\":\"");
	answer_append_token(generation->seed, generation->next_token, chunk);
	g_string_append(chunk, "\"},\"finish_reason\":null}]}\n\n");
	http_stream_write(generation->exchange, chunk->str, chunk->len);
	http_stream_flush(generation->exchange);
}

static void append_usage(const generation_t *generation, GString *out)
{
	g_string_append_printf(out,
			       "\"usage\":{\"prompt_tokens\":%" PRId64
			       ",\"completion_tokens\":%" PRId64
			       ",\"total_tokens\":%" PRId64 "}",
			       generation->prompt_tokens, generation->end_token,
			       generation->prompt_tokens +
				       generation->end_token);
}

static void finish_stream(generation_t *generation)
{
	GString *chunk = generation->chunk;

	g_string_truncate(chunk, generation->chunk_len);
	g_string_append(chunk, "},\"finish_reason\":\"stop\"}]");
	if (generation->include_usage) {
		g_string_append_c(chunk, ',');
		append_usage(generation, chunk);
	}
	g_string_append(chunk, "}\n\ndata: [DONE]\n\n");
	http_stream_write(generation->exchange, chunk->str, chunk->len);
	http_stream_flush(generation->exchange);
	http_stream_end(generation->exchange);
}

static void finish_whole(generation_t *generation)
{
	GString *body = g_string_new(NULL);
	char *id = json_quote(generation->id);

	g_string_append_printf(
		body,
		"{\"id\":%s,\"object\":\"chat.completion\",\"created\":0,"
		"\"choices\":[{\"index\":0,\"message\":{\"role\":"
		"\"assistant\",\"content\":\"%s\"},\"finish_reason\":"
		"\"stop\"}],",
		id, generation->text->str);
	append_usage(generation, body);
	g_string_append_c(body, '}');
	http_reply(generation->exchange, 200, "application/json", body->str,
		   body->len);
	g_string_free(body, TRUE);
	free(id);
}

static void finish(generation_t *generation)
{
	http_on_closed(generation->exchange, NULL, NULL);
	if (generation->stream)
		finish_stream(generation);
	else
		finish_whole(generation);
	generation_free(generation);
}

static void break_off(generation_t *generation)
{
	http_on_closed(generation->exchange, NULL, NULL);
	http_stream_abort(generation->exchange);
	generation_free(generation);
}

static void expire_queued(generation_t *generation)
{
	static const char body[] =
		"{\"error\":{\"type\":\"timeout\",\"code\":\"deadline_exceeded\","
		"\"message\":\"the deadline passed in the queue\"}}";

	http_on_closed(generation->exchange, NULL, NULL);
	http_reply(generation->exchange, 504, "application/json", body,
		   strlen(body));
	generation_free(generation);
}

/* Returns TRUE when the token must wait. */
static gboolean hold_back(generation_t *generation)
{
	int64_t stall_ms =
		engine_fault_stall_ms(generation->pool->options.fault);

	if (stall_ms > 0) {
		set_timer(generation, stall_ms * 1000);
		return TRUE;
	}
	if (http_stream_pending(generation->exchange) > MAX_PENDING_BYTES) {
		set_timer(generation, PENDING_WAIT_US);
		return TRUE;
	}
	return FALSE;
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	generation_t *generation = arg;

	if (!generation->running) {
		expire_queued(generation);
		return;
	}
	if (hold_back(generation))
		return;
	if (generation->next_token == generation->cut_token) {
		break_off(generation);
		return;
	}
	if (generation->next_token < generation->end_token) {
		if (generation->stream)
			send_token(generation, generation->next_token == 0);
		else
			answer_append_token(generation->seed,
					    generation->next_token,
					    generation->text);
		generation->pool->tokens++;
		generation->next_token++;
	}
	if (generation->next_token >= generation->end_token)
		finish(generation);
	else
		schedule(generation, generation->pool->options.token_us);
}

static void on_closed(http_exchange_t *exchange, void *user_data)
{
	generation_free(user_data);
}

static void run(generation_t *generation)
{
	const generation_options_t *options = &generation->pool->options;

	generation->running = true;
	generation->pool->running++;
	if (generation->stream)
		http_stream_start(generation->exchange, 200,
				  "text/event-stream");
	schedule(generation,
		 options->first_token_us +
			 options->prefill_us * generation->prefill_tokens +
			 options->fault->latency_ms * 1000);
}

static void start_queued(generation_pool_t *pool)
{
	generation_t *next;

	while (pool->running < pool->options.max_running &&
	       (next = g_queue_pop_head(&pool->queued)))
		run(next);
}

static void enqueue(generation_t *generation)
{
	int64_t left_ms =
		generation->deadline_ms - clock_now_ms(clock_system());

	g_queue_push_tail(&generation->pool->queued, generation);
	if (generation->deadline_ms)
		set_timer(generation, MAX(left_ms, 0) * 1000);
}

static int64_t integer_member(const json_t *request, const char *name)
{
	return json_integer_value(json_object_get(request, name));
}

static void read_request(generation_t *generation, const json_t *request,
			 const char *prompt)
{
	generation_pool_t *pool = generation->pool;
	const char *deadline =
		http_header(generation->exchange, "X-Request-Deadline-Ms");
	int64_t left_ms = deadline ? g_ascii_strtoll(deadline, NULL, 10) : 0;

	generation->seed = answer_seed(prompt);
	generation->stream = json_is_true(json_object_get(request, "stream"));
	generation->include_usage = json_is_true(json_object_get(
		json_object_get(request, "stream_options"), "include_usage"));
	generation->prompt_tokens =
		(int64_t)strlen(prompt) / PREFIX_TOKEN_BYTES;
	generation->prefill_tokens =
		generation->prompt_tokens -
		prefix_cache_use(pool->options.cache, prompt);
	generation->next_token = MAX(integer_member(request, "resume_from"), 0);
	generation->end_token =
		answer_length(prompt, integer_member(request, "max_tokens"));
	if (left_ms > 0)
		generation->deadline_ms =
			clock_now_ms(clock_system()) + left_ms;
	generation->cut_token = -1;
	if (generation->next_token < generation->end_token &&
	    engine_fault_draw(pool->options.fault,
			      pool->options.fault->cut_rate))
		generation->cut_token =
			g_rand_int_range(pool->options.fault->random,
					 (gint32)generation->next_token,
					 (gint32)generation->end_token);
}

void generation_start(generation_pool_t *pool, http_exchange_t *exchange,
		      const json_t *request, const char *prompt)
{
	generation_t *generation = g_new0(generation_t, 1);
	const char *id = http_header(exchange, "X-Request-Id");

	generation->pool = pool;
	generation->exchange = exchange;
	generation->id = g_strdup(id ? id : "none");
	generation->chunk = g_string_new(NULL);
	generation->text = g_string_new(NULL);
	generation->timer =
		evtimer_new(pool->options.base, on_timer, generation);
	g_hash_table_add(pool->all, generation);
	read_request(generation, request, prompt);
	build_chunk(generation,
		    json_string_value(json_object_get(request, "model")));
	http_on_closed(exchange, on_closed, generation);
	if (pool->running < pool->options.max_running)
		run(generation);
	else
		enqueue(generation);
}

int64_t generation_cancel(generation_pool_t *pool, const char *id)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	void *key;
	int64_t count;

	g_hash_table_iter_init(&iter, pool->all);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (strcmp(((generation_t *)key)->id, id) == 0)
			g_ptr_array_add(found, key);
	for (guint i = 0; i < found->len; i++)
		break_off(found->pdata[i]);
	count = found->len;
	g_ptr_array_free(found, TRUE);
	return count;
}
