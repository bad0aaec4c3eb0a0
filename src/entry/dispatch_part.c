#include "entry/dispatch_part.h"

#include <string.h>

#include "base/error.h"
#include "base/log.h"

#define CACHED_PARTS 4

void dispatch_part_free(void *data)
{
	part_t *part = data;

	g_free(part->key);
	g_bytes_unref(part->data);
	g_free(part);
}

static part_t *find_part(const dispatch_t *dispatch, const char *key)
{
	for (guint i = 0; i < dispatch->parts->len; i++) {
		part_t *part = dispatch->parts->pdata[i];

		if (strcmp(part->key, key) == 0)
			return part;
	}
	return NULL;
}

static void remember_part(dispatch_t *dispatch, const char *key, GBytes *data)
{
	part_t *part = find_part(dispatch, key);
	guint oldest = 0;

	if (part)
		return;
	part = g_new0(part_t, 1);
	part->key = g_strdup(key);
	part->data = g_bytes_ref(data);
	part->used_ms = dispatch_now_ms(dispatch);
	g_ptr_array_add(dispatch->parts, part);
	if (dispatch->parts->len <= CACHED_PARTS)
		return;
	for (guint i = 1; i < dispatch->parts->len; i++)
		if (((part_t *)dispatch->parts->pdata[i])->used_ms <
		    ((part_t *)dispatch->parts->pdata[oldest])->used_ms)
			oldest = i;
	g_ptr_array_remove_index_fast(dispatch->parts, oldest);
}

static void on_part(const object_value_t *value, const GError *error,
		    void *user_data)
{
	chunk_call_t *call = user_data;
	dispatch_t *dispatch = call->dispatch;
	GBytes *data = error ? NULL : g_bytes_new(value->data, value->len);

	if (error)
		log_warn("part_not_read", "key=%s error=%s", call->key,
			 error_name((error_code_t)error->code));
	else
		remember_part(dispatch, call->key, data);
	dispatcher_loaded(dispatch->dispatcher, call->job, call->first, data);
	if (data)
		g_bytes_unref(data);
	dispatch_schedule_soon(dispatch);
	chunk_call_free(call);
}

static void on_cached_part(evutil_socket_t fd, short events, void *arg)
{
	chunk_call_t *call = arg;
	dispatch_t *dispatch = call->dispatch;
	part_t *part = find_part(dispatch, call->key);

	if (!part) {
		object_get(dispatch->entry->store, call->key, on_part, call);
		return;
	}
	part->used_ms = dispatch_now_ms(dispatch);
	dispatcher_loaded(dispatch->dispatcher, call->job, call->first,
			  part->data);
	dispatch_schedule_soon(dispatch);
	chunk_call_free(call);
}

void dispatch_part_load(const dispatch_chunk_t *chunk, void *user_data)
{
	dispatch_t *dispatch = user_data;
	chunk_call_t *call = chunk_call_new(dispatch, chunk->job, chunk->first);
	struct timeval now = { 0, 0 };

	call->key = g_strdup_printf("file/%s/%06u", chunk->input_file_id,
				    chunk->part);
	event_base_once(dispatch->entry->base, -1, EV_TIMEOUT, on_cached_part,
			call, &now);
}
