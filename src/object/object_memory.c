#include "object/object_memory.h"

#include <string.h>

#include "base/error.h"
#include "object/object_table.h"

#define DEFAULT_TIMEOUT_MS 2000

typedef enum call_kind {
	CALL_GET,
	CALL_PUT,
	CALL_REMOVE,
	CALL_LIST
} call_kind_t;

typedef struct memory_store {
	object_store_t base; /* first member */
	object_memory_t *memory;
	GQueue calls; /* call_t, not yet delivered */
	bool cut;
} memory_store_t;

struct object_memory {
	const clock_source_t *clock;
	GRand *random;
	object_table_t *table;
	object_memory_faults_t faults;
	object_memory_stats_t stats;
	GPtrArray *stores; /* memory_store_t */
	double write_tokens;
	int64_t refilled_ms;
};

typedef struct call {
	call_kind_t kind;
	char *key; /* or prefix */
	char *after;
	uint32_t limit;
	GBytes *data;
	uint64_t if_version;
	char *writer;
	object_done_t done;
	object_list_done_t list_done;
	object_vms_done_t vms_done;
	void *user_data;
	int64_t effect_ms;
	int64_t answer_ms;
	int64_t timeout_ms;
	bool lost; /* never takes effect */
	bool silent; /* never answered */
	bool executed;
	bool delivered;
	/* Answer. */
	GError *error;
	GBytes *value;
	char *value_writer;
	uint64_t version;
	object_listing_t listing;
} call_t;

static void listing_free(object_listing_t *listing)
{
	if (!listing->entries)
		return;
	for (guint i = 0; i < listing->entries->len; i++)
		g_free(g_array_index(listing->entries, object_entry_t, i).key);
	g_array_free(listing->entries, TRUE);
}

static void call_free(void *data)
{
	call_t *call = data;

	g_free(call->key);
	g_free(call->after);
	g_free(call->writer);
	g_free(call->value_writer);
	if (call->data)
		g_bytes_unref(call->data);
	if (call->value)
		g_bytes_unref(call->value);
	g_clear_error(&call->error);
	listing_free(&call->listing);
	g_free(call);
}

object_memory_t *object_memory_new(const clock_source_t *clock, uint32_t seed)
{
	object_memory_t *memory = g_new0(object_memory_t, 1);

	memory->clock = clock;
	memory->random = g_rand_new_with_seed(seed);
	memory->table = object_table_new();
	memory->stores = g_ptr_array_new();
	memory->faults.timeout_ms = DEFAULT_TIMEOUT_MS;
	return memory;
}

void object_memory_free(object_memory_t *memory)
{
	if (!memory)
		return;
	g_rand_free(memory->random);
	object_table_free(memory->table);
	g_ptr_array_free(memory->stores, TRUE);
	g_free(memory);
}

object_memory_faults_t *object_memory_faults(object_memory_t *memory)
{
	return &memory->faults;
}

const object_memory_stats_t *object_memory_stats(const object_memory_t *memory)
{
	return &memory->stats;
}

static bool take_write(object_memory_t *memory)
{
	int64_t now = clock_now_ms(memory->clock);
	double rate = memory->faults.writes_per_s;

	if (rate <= 0)
		return true;
	memory->write_tokens =
		MIN(rate,
		    memory->write_tokens +
			    (double)(now - memory->refilled_ms) * rate / 1000);
	memory->refilled_ms = now;
	if (memory->write_tokens < 1)
		return false;
	memory->write_tokens -= 1;
	return true;
}

static void set_value(call_t *call, const table_object_t *object)
{
	if (!object)
		return;
	call->version = object->version;
	call->value_writer = g_strdup(object->writer);
	if (call->kind == CALL_GET)
		call->value = g_bytes_ref(object->data);
}

static void fail(call_t *call, error_code_t code)
{
	call->error = g_error_new(WL_ERROR, (int)code, "the store answered: %s",
				  error_name(code));
}

static void execute_get(object_memory_t *memory, call_t *call)
{
	const table_object_t *object =
		object_table_get(memory->table, call->key);

	if (!object)
		fail(call, WL_ERROR_NOT_FOUND);
	set_value(call, object);
}

static void execute_put(object_memory_t *memory, call_t *call)
{
	gsize len;
	const void *data = g_bytes_get_data(call->data, &len);

	if (len > OBJECT_MAX_BYTES) {
		fail(call, WL_ERROR_TOO_LARGE);
		return;
	}
	if (object_table_put(memory->table, call->key, data, len,
			     call->if_version, call->writer)) {
		memory->stats.writes++;
		memory->stats.bytes_written += (int64_t)len;
	} else {
		fail(call, WL_ERROR_CONFLICT);
	}
	set_value(call, object_table_get(memory->table, call->key));
}

static void execute_remove(object_memory_t *memory, call_t *call)
{
	const table_object_t *object =
		object_table_get(memory->table, call->key);

	if (!object) {
		fail(call, WL_ERROR_NOT_FOUND);
		return;
	}
	if (object_table_remove(memory->table, call->key, call->if_version)) {
		memory->stats.writes++;
		return;
	}
	fail(call, WL_ERROR_CONFLICT);
	set_value(call, object);
}

static void append_entry(const char *key, const table_object_t *object,
			 void *user_data)
{
	gsize len;
	const char *data = g_bytes_get_data(object->data, &len);
	object_entry_t entry = { g_strdup(key), object->version, FALSE,
				 g_strndup(data, len) };

	g_array_append_val((GArray *)user_data, entry);
}

static void execute_list(object_memory_t *memory, call_t *call)
{
	call->listing.revision = object_table_revision(memory->table);
	call->listing.entries =
		g_array_new(FALSE, TRUE, sizeof(object_entry_t));
	object_table_list(memory->table, call->key, call->after, call->limit,
			  append_entry, call->listing.entries);
}

static void execute(object_memory_t *memory, call_t *call)
{
	static void (*const by_kind[])(object_memory_t *, call_t *) = {
		[CALL_GET] = execute_get,
		[CALL_PUT] = execute_put,
		[CALL_REMOVE] = execute_remove,
		[CALL_LIST] = execute_list,
	};
	bool is_write = call->kind == CALL_PUT || call->kind == CALL_REMOVE;

	call->executed = true;
	if (call->lost)
		return;
	if (clock_now_ms(memory->clock) < memory->faults.outage_until_ms) {
		memory->stats.refused++;
		fail(call, WL_ERROR_UNAVAILABLE);
		return;
	}
	if (is_write && !take_write(memory)) {
		memory->stats.refused++;
		fail(call, WL_ERROR_RATE_LIMITED);
		return;
	}
	if (!is_write)
		memory->stats.reads++;
	by_kind[call->kind](memory, call);
}

static call_t *next_effect(const object_memory_t *memory, int64_t now)
{
	call_t *best = NULL;

	for (guint i = 0; i < memory->stores->len; i++) {
		const memory_store_t *store = memory->stores->pdata[i];

		for (GList *l = store->calls.head; l; l = l->next) {
			call_t *call = l->data;

			if (!call->executed && call->effect_ms <= now &&
			    (!best || call->effect_ms < best->effect_ms))
				best = call;
		}
	}
	return best;
}

static void drop_finished(memory_store_t *store)
{
	GList *link = store->calls.head;

	while (link) {
		GList *next = link->next;
		call_t *call = link->data;

		if (call->executed && call->delivered) {
			g_queue_delete_link(&store->calls, link);
			call_free(call);
		}
		link = next;
	}
}

void object_memory_step(object_memory_t *memory)
{
	int64_t now = clock_now_ms(memory->clock);
	call_t *call;

	while ((call = next_effect(memory, now)) != NULL)
		execute(memory, call);
	for (guint i = 0; i < memory->stores->len; i++)
		drop_finished(memory->stores->pdata[i]);
}

static void complete(call_t *call, const GError *error)
{
	object_value_t value = { .key = call->key,
				 .version = call->version,
				 .writer = call->value_writer };
	bool has_value =
		!error || g_error_matches(error, WL_ERROR, WL_ERROR_CONFLICT);
	gsize len = 0;

	if (call->value)
		value.data = g_bytes_get_data(call->value, &len);
	value.len = len;
	if (call->list_done)
		call->list_done(error ? NULL : &call->listing, error,
				call->user_data);
	else if (call->vms_done)
		call->vms_done(NULL, error, call->user_data);
	else
		call->done(has_value ? &value : NULL, error, call->user_data);
}

/* An answer that comes after the time limit is as good as none. */
static bool is_answered(const call_t *call, int64_t now)
{
	return call->executed && !call->lost && !call->silent &&
	       call->answer_ms <= now && call->answer_ms <= call->timeout_ms;
}

static call_t *next_delivery(const memory_store_t *store, int64_t now)
{
	for (GList *l = store->calls.head; l; l = l->next) {
		call_t *call = l->data;

		if (!call->delivered &&
		    (is_answered(call, now) || call->timeout_ms <= now))
			return call;
	}
	return NULL;
}

uint32_t object_memory_deliver(object_store_t *base)
{
	memory_store_t *store = (memory_store_t *)base;
	int64_t now = clock_now_ms(store->memory->clock);
	uint32_t count = 0;
	call_t *call;

	while ((call = next_delivery(store, now)) != NULL) {
		bool answered = is_answered(call, now);
		GError timeout = { WL_ERROR, WL_ERROR_TIMEOUT,
				   "the store did not answer" };

		call->delivered = true;
		count++;
		complete(call, answered ? call->error : &timeout);
	}
	drop_finished(store);
	return count;
}

static bool chance(object_memory_t *memory, double probability)
{
	return probability > 0 && g_rand_double(memory->random) < probability;
}

static call_t *call_start(object_store_t *base, call_kind_t kind,
			  const char *key, void *user_data)
{
	memory_store_t *store = (memory_store_t *)base;
	object_memory_t *memory = store->memory;
	const object_memory_faults_t *faults = &memory->faults;
	int64_t now = clock_now_ms(memory->clock);
	call_t *call = g_new0(call_t, 1);

	call->kind = kind;
	call->key = g_strdup(key);
	call->user_data = user_data;
	call->effect_ms = now;
	if (faults->delay_ms > 0)
		call->effect_ms += g_rand_int_range(memory->random, 0,
						    faults->delay_ms + 1);
	call->answer_ms = call->effect_ms;
	if (faults->delay_ms > 0)
		call->answer_ms += g_rand_int_range(memory->random, 0,
						    faults->delay_ms + 1);
	call->timeout_ms = now + faults->timeout_ms;
	call->lost = chance(memory, faults->lose_calls);
	call->silent = chance(memory, faults->lose_answers);
	if ((kind == CALL_PUT || kind == CALL_REMOVE) &&
	    chance(memory, faults->late_writes)) {
		call->effect_ms =
			call->timeout_ms +
			g_rand_int_range(memory->random, 0, faults->timeout_ms);
		call->silent = true;
	}
	if (store->cut) {
		call->executed = true;
		call->lost = call->silent = false;
		fail(call, WL_ERROR_REFUSED);
	}
	g_queue_push_tail(&store->calls, call);
	return call;
}

static void memory_get(object_store_t *base, const char *key,
		       object_done_t done, void *user_data)
{
	call_start(base, CALL_GET, key, user_data)->done = done;
}

static void memory_put(object_store_t *base, const char *key, const void *data,
		       size_t len, uint64_t if_version, const char *writer,
		       object_done_t done, void *user_data)
{
	call_t *call = call_start(base, CALL_PUT, key, user_data);

	call->data = g_bytes_new(data, len);
	call->if_version = if_version;
	call->writer = g_strdup(writer);
	call->done = done;
}

static void memory_remove(object_store_t *base, const char *key,
			  uint64_t if_version, object_done_t done,
			  void *user_data)
{
	call_t *call = call_start(base, CALL_REMOVE, key, user_data);

	call->if_version = if_version;
	call->done = done;
}

static void memory_list(object_store_t *base, const char *prefix,
			const char *after, uint32_t limit,
			object_list_done_t done, void *user_data)
{
	call_t *call = call_start(base, CALL_LIST, prefix, user_data);

	call->after = g_strdup(after);
	call->limit = limit;
	call->list_done = done;
}

/* Watches and the VM list are not offered; they are refused. */
static void memory_watch(object_store_t *base, const char *prefix,
			 uint64_t since, int32_t timeout_ms,
			 object_list_done_t done, void *user_data)
{
	call_t *call = call_start(base, CALL_LIST, prefix, user_data);

	call->list_done = done;
	call->executed = true;
	if (!call->error)
		fail(call, WL_ERROR_REFUSED);
}

static void memory_vms(object_store_t *base, object_vms_done_t done,
		       void *user_data)
{
	call_t *call = call_start(base, CALL_GET, "", user_data);

	call->vms_done = done;
	call->executed = true;
	if (!call->error)
		fail(call, WL_ERROR_REFUSED);
}

/* Pending calls end without completions, as when a node's process dies; those
 * that were due later have no effect. */
static void memory_destroy(object_store_t *base)
{
	memory_store_t *store = (memory_store_t *)base;

	g_ptr_array_remove(store->memory->stores, store);
	g_queue_clear_full(&store->calls, call_free);
	g_free(store);
}

static const object_store_ops_t memory_ops = {
	.get = memory_get,
	.put = memory_put,
	.remove = memory_remove,
	.list = memory_list,
	.watch = memory_watch,
	.vms = memory_vms,
	.destroy = memory_destroy,
};

object_store_t *object_memory_open(object_memory_t *memory)
{
	memory_store_t *store = g_new0(memory_store_t, 1);

	store->base.ops = &memory_ops;
	store->memory = memory;
	g_queue_init(&store->calls);
	g_ptr_array_add(memory->stores, store);
	return &store->base;
}

void object_memory_cut(object_store_t *store, bool cut)
{
	((memory_store_t *)store)->cut = cut;
}
