#include "model_store.h"

#include <string.h>

#include "base/error.h"

/* Time limit of a node for an answer. */
#define CALL_TIMEOUT_MS 1000
#define LATE_WRITE_MIN_MS 1000
#define LATE_WRITE_MAX_MS 6000
#define LIST_PAGE_MAX 3
#define NEVER INT64_MAX
/* Of the users' store, below OBJECT_MAX_BYTES. */
#define VALUE_MAX_BYTES (1000 * 1000)

typedef enum call_op {
	CALL_GET,
	CALL_PUT,
	CALL_REMOVE,
	CALL_LIST,
	CALL_WATCH
} call_op_t;

typedef struct model_call {
	model_client_t *client;
	call_op_t op;
	char *key; /* or prefix */
	char *data;
	size_t len;
	uint64_t if_version;
	char *writer;
	char *after;
	uint32_t limit;
	uint64_t since;
	int64_t execute_us;
	int64_t answer_us;
	int64_t stale_us;
	int64_t started_us;
	int32_t timeout_ms; /* of a watch */
	int64_t wait_until_us; /* the same */
	int32_t answer_delay_us;
	bool executed;
	int error; /* code of the answer; -1: none */
	model_object_t *object; /* of the answer, borrowed; NULL: none */
	object_listing_t listing;
	object_done_t done;
	object_list_done_t list_done;
	void *user_data;
} model_call_t;

struct model_client {
	object_store_t base; /* first member */
	model_store_t *store;
	const model_weather_t *weather;
	bool stale;
	bool closed;
	model_call_hook_t hook;
	void *hook_data;
};

struct model_store {
	model_store_options_t options;
	GHashTable *objects; /* key -> model_object_t, the current ones */
	GPtrArray *log; /* model_object_t, all versions */
	GPtrArray *calls; /* model_call_t, in the order of their start */
	GPtrArray *clients;
	uint64_t revision;
	uint64_t dropped; /* history up to this revision is gone */
};

static void object_free(void *data)
{
	model_object_t *object = data;

	g_free(object->key);
	g_free(object->data);
	g_free(object->writer);
	g_free(object);
}

static void clear_listing(object_listing_t *listing)
{
	for (guint i = 0; listing->entries && i < listing->entries->len; i++) {
		object_entry_t *entry =
			&g_array_index(listing->entries, object_entry_t, i);

		g_free(entry->key);
		g_free(entry->data);
	}
	if (listing->entries)
		g_array_free(listing->entries, TRUE);
	listing->entries = NULL;
}

static void call_free(void *data)
{
	model_call_t *call = data;

	clear_listing(&call->listing);
	g_free(call->key);
	g_free(call->data);
	g_free(call->writer);
	g_free(call->after);
	g_free(call);
}

model_store_t *model_store_new(const model_store_options_t *options)
{
	model_store_t *store = g_new0(model_store_t, 1);

	store->options = *options;
	store->objects = g_hash_table_new(g_str_hash, g_str_equal);
	store->log = g_ptr_array_new_with_free_func(object_free);
	store->calls = g_ptr_array_new_with_free_func(call_free);
	store->clients = g_ptr_array_new_with_free_func(g_free);
	store->revision = 100;
	return store;
}

void model_store_free(model_store_t *store)
{
	g_ptr_array_unref(store->calls);
	g_hash_table_destroy(store->objects);
	g_ptr_array_unref(store->log);
	g_ptr_array_unref(store->clients);
	g_free(store);
}

const model_object_t *model_store_find(const model_store_t *store,
				       const char *key)
{
	return g_hash_table_lookup(store->objects, key);
}

void model_store_drop_history(model_store_t *store)
{
	store->dropped = store->revision;
}

static int64_t now_us(const model_store_t *store)
{
	return *store->options.now_us;
}

static int64_t draw_us(const model_store_t *store, int64_t max_ms)
{
	return g_rand_int_range(store->options.random, 1,
				(int32_t)MAX(max_ms, 2)) *
	       1000LL;
}

static bool draw_percent(const model_store_t *store, int percent)
{
	return percent > 0 &&
	       g_rand_int_range(store->options.random, 0, 100) < percent;
}

static void add_entry(GArray *entries, const model_object_t *object)
{
	const object_entry_t entry = { .key = g_strdup(object->key),
				       .version = object->version,
				       .deleted = object->removed,
				       .data = g_strndup(object->data,
							 object->len) };

	g_array_append_val(entries, entry);
}

static void execute_put(model_call_t *call)
{
	model_store_t *store = call->client->store;
	model_object_t *former = g_hash_table_lookup(store->objects, call->key);
	model_object_t *object;

	if (call->len > VALUE_MAX_BYTES) {
		call->error = WL_ERROR_TOO_LARGE;
		return;
	}
	if (call->if_version != (former ? former->version : OBJECT_ABSENT)) {
		call->error = former ? WL_ERROR_CONFLICT : WL_ERROR_NOT_FOUND;
		call->object = former;
		return;
	}
	if (former && former->len == call->len &&
	    memcmp(former->data, call->data, call->len) == 0) {
		call->object = former;
		return;
	}
	object = g_new0(model_object_t, 1);
	object->key = g_strdup(call->key);
	object->data = g_steal_pointer(&call->data);
	object->len = call->len;
	object->writer = g_strdup(call->writer);
	object->version = ++store->revision;
	object->written_us = now_us(store);
	g_ptr_array_add(store->log, object);
	g_hash_table_replace(store->objects, object->key, object);
	call->object = object;
	store->options.written(store->options.user_data, object, former);
}

static void execute_remove(model_call_t *call)
{
	model_store_t *store = call->client->store;
	model_object_t *former = g_hash_table_lookup(store->objects, call->key);
	model_object_t *object;

	if (!former || call->if_version != former->version) {
		call->error = former ? WL_ERROR_CONFLICT : WL_ERROR_NOT_FOUND;
		call->object = former;
		return;
	}
	object = g_new0(model_object_t, 1);
	object->key = g_strdup(call->key);
	object->data = g_strdup("");
	object->version = ++store->revision;
	object->written_us = now_us(store);
	object->removed = true;
	g_ptr_array_add(store->log, object);
	g_hash_table_remove(store->objects, object->key);
	call->object = object;
	store->options.written(store->options.user_data, object, former);
}

/* The revision that an answer of that age shows. */
static uint64_t visible_revision(const model_store_t *store, int64_t stale_us)
{
	int64_t before_us = now_us(store) - stale_us;

	for (guint i = store->log->len; i-- > 0;) {
		const model_object_t *object = store->log->pdata[i];

		if (object->written_us <= before_us)
			return object->version;
	}
	return MIN(store->revision, 100);
}

static gint by_key(gconstpointer a, gconstpointer b)
{
	const model_object_t *x = *(model_object_t *const *)a;
	const model_object_t *y = *(model_object_t *const *)b;

	return strcmp(x->key, y->key);
}

static void execute_list(model_call_t *call)
{
	const model_store_t *store = call->client->store;
	uint64_t visible = visible_revision(store, call->stale_us);
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *found = g_ptr_array_new();

	for (guint i = store->log->len; i-- > 0;) {
		model_object_t *object = store->log->pdata[i];

		if (object->version > visible ||
		    !g_str_has_prefix(object->key, call->key) ||
		    (call->after && strcmp(object->key, call->after) <= 0) ||
		    !g_hash_table_add(seen, object->key))
			continue;
		if (!object->removed)
			g_ptr_array_add(found, object);
	}
	g_ptr_array_sort(found, by_key);
	call->listing.revision = visible;
	call->listing.entries =
		g_array_new(FALSE, TRUE, sizeof(object_entry_t));
	for (guint i = 0; i < found->len && i < call->limit; i++)
		add_entry(call->listing.entries, found->pdata[i]);
	call->listing.more = found->len > call->limit;
	g_ptr_array_unref(found);
	g_hash_table_destroy(seen);
}

/* Returns false while the watch goes on waiting. */
static bool execute_watch(model_call_t *call)
{
	const model_store_t *store = call->client->store;
	uint64_t visible;

	if (call->since < store->dropped) {
		call->error = WL_ERROR_NOT_FOUND;
		return true;
	}
	if (store->revision <= call->since &&
	    now_us(store) < call->wait_until_us)
		return false;
	visible = visible_revision(store, call->stale_us);
	if (visible <= call->since && now_us(store) < call->wait_until_us)
		return false;
	call->listing.revision = MAX(visible, call->since);
	call->listing.entries =
		g_array_new(FALSE, TRUE, sizeof(object_entry_t));
	for (guint i = 0; i < store->log->len; i++) {
		const model_object_t *object = store->log->pdata[i];

		if (object->version > call->since &&
		    object->version <= visible &&
		    g_str_has_prefix(object->key, call->key))
			add_entry(call->listing.entries, object);
	}
	if (call->listing.entries->len > 0 ||
	    now_us(store) >= call->wait_until_us)
		return true;
	clear_listing(&call->listing);
	return false;
}

static void execute(model_call_t *call)
{
	model_store_t *store = call->client->store;
	bool has_answer = call->answer_us != NEVER;

	switch (call->op) {
	case CALL_GET:
		call->object = g_hash_table_lookup(store->objects, call->key);
		if (!call->object)
			call->error = WL_ERROR_NOT_FOUND;
		break;
	case CALL_PUT:
		execute_put(call);
		break;
	case CALL_REMOVE:
		execute_remove(call);
		break;
	case CALL_LIST:
		execute_list(call);
		break;
	case CALL_WATCH:
		if (!execute_watch(call))
			return;
		break;
	}
	call->executed = true;
	if (!has_answer)
		call->answer_us = now_us(store) + call->answer_delay_us;
}

static bool is_write(const model_call_t *call)
{
	return call->op == CALL_PUT || call->op == CALL_REMOVE;
}

/* A call whose fault is drawn has its answer already, which is not that of its
 * execution. */
static bool is_answer_fixed(const model_call_t *call)
{
	return call->answer_us != NEVER && !call->executed;
}

void model_store_step(model_store_t *store)
{
	int64_t now = now_us(store);

	for (guint i = 0; i < store->calls->len; i++) {
		model_call_t *call = store->calls->pdata[i];
		int error = call->error;
		bool fixed = is_answer_fixed(call);

		if (call->executed || call->execute_us > now)
			continue;
		execute(call);
		if (!fixed)
			continue;
		call->error = error;
		call->object = NULL;
		clear_listing(&call->listing);
	}
	for (guint i = store->calls->len; i-- > 0;) {
		const model_call_t *call = store->calls->pdata[i];

		if (((call->done || call->list_done) &&
		     !call->client->closed) ||
		    (is_write(call) && !call->executed &&
		     call->execute_us != NEVER))
			continue;
		g_ptr_array_remove_index(store->calls, i);
	}
}

static void answer(model_call_t *call)
{
	object_done_t done = call->done;
	object_list_done_t list_done = call->list_done;
	GError *error = NULL;
	object_value_t value = { 0 };

	call->done = NULL;
	call->list_done = NULL;
	if (call->error >= 0)
		error = g_error_new_literal(WL_ERROR, call->error, "model");
	if (call->object)
		value = (object_value_t){ call->object->key,
					  call->object->version,
					  call->object->writer,
					  call->object->data,
					  call->object->len };
	if (done)
		done(call->object ? &value : NULL, error, call->user_data);
	else
		list_done(error ? NULL : &call->listing, error,
			  call->user_data);
	g_clear_error(&error);
}

void model_client_deliver(model_client_t *client)
{
	model_store_t *store = client->store;
	guint count = store->calls->len;

	for (guint i = 0; i < count && !client->closed; i++) {
		model_call_t *call = store->calls->pdata[i];

		if (call->client == client && (call->done || call->list_done) &&
		    call->answer_us <= now_us(store))
			answer(call);
	}
}

void model_client_silence(model_client_t *client, bool watches_only)
{
	const model_store_t *store = client->store;

	for (guint i = 0; i < store->calls->len; i++) {
		model_call_t *call = store->calls->pdata[i];

		if (call->client != client || call->executed ||
		    call->answer_us != NEVER ||
		    (watches_only && call->timeout_ms == 0))
			continue;
		call->execute_us = NEVER;
		call->error = WL_ERROR_TIMEOUT;
		call->answer_us = call->started_us +
				  (call->timeout_ms + CALL_TIMEOUT_MS) * 1000LL;
	}
}

uint32_t model_client_calls(const model_client_t *client)
{
	const model_store_t *store = client->store;
	uint32_t count = 0;

	for (guint i = 0; i < store->calls->len; i++) {
		const model_call_t *call = store->calls->pdata[i];

		count += call->client == client &&
			 (call->done || call->list_done);
	}
	return count;
}

void model_client_set_hook(model_client_t *client, model_call_hook_t hook,
			   void *user_data)
{
	client->hook = hook;
	client->hook_data = user_data;
}

void model_client_close(model_client_t *client)
{
	client->closed = true;
}

bool model_client_is_closed(const model_client_t *client)
{
	return client->closed;
}

static void fix_answer(model_call_t *call, int error, int64_t delay_us)
{
	call->error = error;
	call->answer_us = now_us(call->client->store) + delay_us;
}

static void lose_answer(model_call_t *call)
{
	const model_store_t *store = call->client->store;

	if (draw_percent(store, 50))
		fix_answer(call, WL_ERROR_TRUNCATED, draw_us(store, 100));
	else
		fix_answer(call, WL_ERROR_TIMEOUT, CALL_TIMEOUT_MS * 1000);
}

/* Draws when the call is executed and answered. */
static void plan(model_call_t *call)
{
	const model_store_t *store = call->client->store;
	const model_weather_t *weather = call->client->weather;

	call->error = -1;
	call->answer_us = NEVER;
	call->started_us = now_us(store);
	call->execute_us = now_us(store) + draw_us(store, weather->delay_ms);
	call->answer_delay_us = (int32_t)draw_us(store, weather->delay_ms);
	if (weather->silent) {
		call->execute_us = NEVER;
		fix_answer(call, WL_ERROR_TIMEOUT, CALL_TIMEOUT_MS * 1000);
	} else if (draw_percent(store, weather->refused)) {
		fix_answer(call,
			   draw_percent(store, 50) ? WL_ERROR_RATE_LIMITED :
						     WL_ERROR_UNAVAILABLE,
			   draw_us(store, 20));
		call->execute_us = NEVER;
	} else if (draw_percent(store, weather->lost_answer)) {
		lose_answer(call);
	} else if (draw_percent(store, weather->lost_call)) {
		lose_answer(call);
		call->execute_us = NEVER;
	} else if (is_write(call) && draw_percent(store, weather->late_write)) {
		lose_answer(call);
		call->execute_us =
			now_us(store) + LATE_WRITE_MIN_MS * 1000 +
			draw_us(store, LATE_WRITE_MAX_MS - LATE_WRITE_MIN_MS);
	} else if (call->op != CALL_WATCH &&
		   call->execute_us + call->answer_delay_us >
			   now_us(store) + CALL_TIMEOUT_MS * 1000) {
		fix_answer(call, WL_ERROR_TIMEOUT, CALL_TIMEOUT_MS * 1000);
	}
}

static model_call_t *add_call(object_store_t *base, call_op_t op,
			      const char *key, void *user_data)
{
	model_client_t *client = (model_client_t *)base;
	model_call_t *call = g_new0(model_call_t, 1);

	call->client = client;
	call->op = op;
	call->key = g_strdup(key);
	call->user_data = user_data;
	plan(call);
	if (client->hook && !client->hook(client->hook_data, key,
					  op == CALL_PUT || op == CALL_REMOVE))
		client->closed = true;
	if (client->closed)
		call->execute_us = NEVER;
	if (client->stale)
		call->stale_us =
			draw_us(client->store, client->weather->stale_ms);
	g_ptr_array_add(client->store->calls, call);
	return call;
}

static void get(object_store_t *base, const char *key, object_done_t done,
		void *user_data)
{
	add_call(base, CALL_GET, key, user_data)->done = done;
}

static void put(object_store_t *base, const char *key, const void *data,
		size_t len, uint64_t if_version, const char *writer,
		object_done_t done, void *user_data)
{
	model_call_t *call = add_call(base, CALL_PUT, key, user_data);

	call->data = g_strndup(data, len);
	call->len = len;
	call->if_version = if_version;
	call->writer = g_strdup(writer);
	call->done = done;
}

static void remove_object(object_store_t *base, const char *key,
			  uint64_t if_version, object_done_t done,
			  void *user_data)
{
	model_call_t *call = add_call(base, CALL_REMOVE, key, user_data);

	call->if_version = if_version;
	call->done = done;
}

static void list(object_store_t *base, const char *prefix, const char *after,
		 uint32_t limit, object_list_done_t done, void *user_data)
{
	model_call_t *call = add_call(base, CALL_LIST, prefix, user_data);

	call->after = g_strdup(after);
	call->limit = MIN(limit, (uint32_t)g_rand_int_range(
					 call->client->store->options.random, 1,
					 LIST_PAGE_MAX + 1));
	call->list_done = done;
}

static void watch(object_store_t *base, const char *prefix, uint64_t since,
		  int32_t timeout_ms, object_list_done_t done, void *user_data)
{
	model_call_t *call = add_call(base, CALL_WATCH, prefix, user_data);
	const model_client_t *client = call->client;
	const model_store_t *store = client->store;

	call->since = since;
	call->wait_until_us = call->execute_us == NEVER ?
				      NEVER :
				      call->execute_us + timeout_ms * 1000LL;
	call->list_done = done;
	call->timeout_ms = timeout_ms;
	if (client->weather->silent)
		fix_answer(call, WL_ERROR_TIMEOUT,
			   (timeout_ms + CALL_TIMEOUT_MS) * 1000LL);
	/* A watch that does not wait is answered as any read. */
	if (call->answer_us != NEVER || timeout_ms == 0)
		return;
	if (draw_percent(store, client->weather->watch_cut)) {
		fix_answer(call, WL_ERROR_TRUNCATED,
			   draw_us(store, timeout_ms));
		call->execute_us = NEVER;
	} else if (draw_percent(store, client->weather->watch_silent)) {
		fix_answer(call, WL_ERROR_TIMEOUT,
			   (timeout_ms + CALL_TIMEOUT_MS) * 1000LL);
		call->execute_us = NEVER;
	}
}

static bool cancel(object_store_t *base, void *user_data)
{
	const model_client_t *client = (model_client_t *)base;
	const model_store_t *store = client->store;

	for (guint i = 0; i < store->calls->len; i++) {
		model_call_t *call = store->calls->pdata[i];

		if (call->client != client || call->user_data != user_data ||
		    (!call->done && !call->list_done))
			continue;
		call->done = NULL;
		call->list_done = NULL;
		return true;
	}
	return false;
}

static const object_store_ops_t ops = {
	.get = get,
	.put = put,
	.remove = remove_object,
	.list = list,
	.watch = watch,
	.cancel = cancel,
};

model_client_t *model_client_new(model_store_t *store,
				 const model_weather_t *weather, bool stale)
{
	model_client_t *client = g_new0(model_client_t, 1);

	client->base.ops = &ops;
	client->store = store;
	client->weather = weather;
	client->stale = stale;
	g_ptr_array_add(store->clients, client);
	return client;
}

object_store_t *model_client_object(model_client_t *client)
{
	return &client->base;
}
