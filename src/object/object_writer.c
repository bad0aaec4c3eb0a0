#include "object/object_writer.h"

#include <inttypes.h>
#include <string.h>

#include "base/error.h"

#define FIRST_PAUSE_MS 50
#define MAX_PAUSE_MS 1000

struct object_writer {
	struct event_base *base;
	object_store_t *store;
	const clock_source_t *clock;
	char *token_prefix;
	uint64_t sequence;
	GHashTable *pending; /* set of write_t */
	gboolean freed; /* kept until the store has answered */
};

typedef struct write {
	object_writer_t *writer;
	struct event *timer;
	char *key;
	char *token;
	GBytes *data;
	int64_t deadline_ms; /* 0: none */
	int32_t pause_ms;
	gboolean calling;
	object_written_t written;
	void *user_data;
} write_t;

static void write_free(write_t *write)
{
	event_free(write->timer);
	g_free(write->key);
	g_free(write->token);
	g_bytes_unref(write->data);
	g_free(write);
}

static void writer_destroy(object_writer_t *writer)
{
	g_hash_table_destroy(writer->pending);
	g_free(writer->token_prefix);
	g_free(writer);
}

static void finish(write_t *write, object_write_outcome_t outcome)
{
	g_hash_table_remove(write->writer->pending, write);
	write->written(outcome, write->user_data);
	write_free(write);
}

static void try_later(write_t *write)
{
	struct timeval pause = { write->pause_ms / 1000,
				 write->pause_ms % 1000 * 1000 };
	int64_t now_ms = clock_now_ms(write->writer->clock);

	if (write->deadline_ms &&
	    now_ms + write->pause_ms >= write->deadline_ms) {
		finish(write, OBJECT_UNKNOWN);
		return;
	}
	write->pause_ms = MIN(write->pause_ms * 2, MAX_PAUSE_MS);
	evtimer_add(write->timer, &pause);
}

static void on_put(const object_value_t *value, const GError *error,
		   void *user_data)
{
	write_t *write = user_data;
	object_writer_t *writer = write->writer;

	write->calling = FALSE;
	if (writer->freed) {
		g_hash_table_remove(writer->pending, write);
		write_free(write);
		if (g_hash_table_size(writer->pending) == 0)
			writer_destroy(writer);
		return;
	}
	if (!error)
		finish(write, OBJECT_WRITTEN);
	else if (error->code == WL_ERROR_CONFLICT)
		finish(write, value && value->writer &&
					      strcmp(value->writer,
						     write->token) == 0 ?
				      OBJECT_WRITTEN :
				      OBJECT_LOST);
	else if (error->code == WL_ERROR_TOO_LARGE)
		finish(write, OBJECT_REFUSED);
	else
		try_later(write);
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	write_t *write = arg;
	size_t len;
	const void *data = g_bytes_get_data(write->data, &len);

	write->calling = TRUE;
	object_put(write->writer->store, write->key, data, len, OBJECT_ABSENT,
		   write->token, on_put, write);
}

object_writer_t *object_writer_new(struct event_base *base,
				   object_store_t *store,
				   const clock_source_t *clock,
				   const char *node_id)
{
	object_writer_t *writer = g_new0(object_writer_t, 1);

	writer->base = base;
	writer->store = store;
	writer->clock = clock;
	writer->token_prefix = g_strdup_printf("%s-%" PRIx64, node_id,
					       (uint64_t)clock_wall_ms(clock));
	writer->pending = g_hash_table_new(NULL, NULL);
	return writer;
}

void object_writer_free(object_writer_t *writer)
{
	GHashTableIter iter;
	void *key;

	if (!writer)
		return;
	writer->freed = TRUE;
	g_hash_table_iter_init(&iter, writer->pending);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (((write_t *)key)->calling)
			continue;
		g_hash_table_iter_remove(&iter);
		write_free(key);
	}
	if (g_hash_table_size(writer->pending) == 0)
		writer_destroy(writer);
}

void object_writer_create(object_writer_t *writer, const char *key,
			  GBytes *data, int32_t timeout_ms,
			  object_written_t written, void *user_data)
{
	write_t *write = g_new0(write_t, 1);

	write->writer = writer;
	write->timer = evtimer_new(writer->base, on_timer, write);
	write->key = g_strdup(key);
	write->token = g_strdup_printf("%s-%" PRIu64, writer->token_prefix,
				       ++writer->sequence);
	write->data = g_bytes_ref(data);
	write->pause_ms = FIRST_PAUSE_MS;
	if (timeout_ms)
		write->deadline_ms = clock_now_ms(writer->clock) + timeout_ms;
	write->written = written;
	write->user_data = user_data;
	g_hash_table_add(writer->pending, write);
	on_timer(-1, 0, write);
}
