#include "entry/dispatch_input.h"

#include <string.h>

#include "base/error.h"
#include "base/log.h"

#define MAX_CACHED_PARTS 4

void dispatch_input_part_free(void *data)
{
	input_part_t *part = data;

	g_free(part->key);
	g_bytes_unref(part->data);
	g_free(part);
}

static input_part_t *find_cached_part(const dispatch_t *dispatch,
				      const char *key)
{
	for (guint i = 0; i < dispatch->input_parts->len; i++) {
		input_part_t *part = dispatch->input_parts->pdata[i];

		if (strcmp(part->key, key) == 0)
			return part;
	}
	return NULL;
}

static void cache_part(dispatch_t *dispatch, const char *key, GBytes *data)
{
	input_part_t *part = find_cached_part(dispatch, key);
	guint oldest = 0;

	if (part)
		return;
	part = g_new0(input_part_t, 1);
	part->key = g_strdup(key);
	part->data = g_bytes_ref(data);
	part->last_used_ms = dispatch_now_ms(dispatch);
	g_ptr_array_add(dispatch->input_parts, part);
	if (dispatch->input_parts->len <= MAX_CACHED_PARTS)
		return;
	for (guint i = 1; i < dispatch->input_parts->len; i++)
		if (((input_part_t *)dispatch->input_parts->pdata[i])
			    ->last_used_ms <
		    ((input_part_t *)dispatch->input_parts->pdata[oldest])
			    ->last_used_ms)
			oldest = i;
	g_ptr_array_remove_index_fast(dispatch->input_parts, oldest);
}

static void on_part_read(const object_value_t *value, const GError *error,
			 void *user_data)
{
	chunk_call_t *call = user_data;
	dispatch_t *dispatch = call->dispatch;
	GBytes *data = error ? NULL : g_bytes_new(value->data, value->len);

	if (error)
		log_warn("part_read_failed", "key=%s error=%s", call->key,
			 error_name((error_code_t)error->code));
	else
		cache_part(dispatch, call->key, data);
	dispatcher_loaded(dispatch->dispatcher, call->job, call->first, data);
	if (data)
		g_bytes_unref(data);
	dispatch_schedule_tick(dispatch);
	chunk_call_free(call);
}

static void on_load_part(evutil_socket_t fd, short events, void *arg)
{
	chunk_call_t *call = arg;
	dispatch_t *dispatch = call->dispatch;
	input_part_t *part = find_cached_part(dispatch, call->key);

	if (!part) {
		object_get(dispatch->entry->store, call->key, on_part_read,
			   call);
		return;
	}
	part->last_used_ms = dispatch_now_ms(dispatch);
	dispatcher_loaded(dispatch->dispatcher, call->job, call->first,
			  part->data);
	dispatch_schedule_tick(dispatch);
	chunk_call_free(call);
}

void dispatch_input_load(const dispatch_chunk_t *chunk, void *user_data)
{
	dispatch_t *dispatch = user_data;
	chunk_call_t *call = chunk_call_new(dispatch, chunk->job, chunk->first);
	struct timeval now = { 0, 0 };

	call->key = g_strdup_printf("file/%s/%06u", chunk->input_file_id,
				    chunk->part);
	event_base_once(dispatch->entry->base, -1, EV_TIMEOUT, on_load_part,
			call, &now);
}
