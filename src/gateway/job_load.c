#include "gateway/job_load.h"

#include "base/error.h"
#include "base/log.h"
#include "gateway/job_progress.h"

typedef struct load {
	job_context_t *context;
	char *id;
	GPtrArray *items;
	uint32_t parts;
	uint32_t next;
	job_loaded_t loaded;
	void *user_data;
} items_load_t;

char *job_load_key(const char *id, uint32_t part)
{
	return g_strdup_printf(JOB_PAYLOAD_PREFIX "%s.%u", id, part);
}

static void finish(items_load_t *load, bool complete)
{
	if (!complete)
		g_ptr_array_unref(load->items);
	load->loaded(complete ? load->items : NULL, load->user_data);
	g_free(load->id);
	g_free(load);
}

static void read_next(items_load_t *load);

static void on_part(const object_value_t *value, const GError *error,
		    void *user_data)
{
	items_load_t *load = user_data;

	if (error || !job_items_decode(value->data, value->len, load->items)) {
		log_warn("payload_unread", "job=%s part=%u error=%s", load->id,
			 load->next,
			 error ? error_name(error->code) : "unreadable");
		finish(load, false);
		return;
	}
	load->next++;
	read_next(load);
}

static void read_next(items_load_t *load)
{
	char *key;

	if (load->next == load->parts) {
		finish(load, true);
		return;
	}
	key = job_load_key(load->id, load->next);
	object_get(load->context->store, key, on_part, load);
	g_free(key);
}

void job_load_items(job_context_t *context, const char *id, uint32_t parts,
		    job_loaded_t loaded, void *user_data)
{
	items_load_t *load = g_new0(items_load_t, 1);

	load->context = context;
	load->id = g_strdup(id);
	load->items = g_ptr_array_new_with_free_func(job_item_free);
	load->parts = parts;
	load->loaded = loaded;
	load->user_data = user_data;
	read_next(load);
}

typedef struct progress_load {
	char *key;
	job_progress_loaded_t loaded;
	void *user_data;
} progress_load_t;

static void on_progress(const object_value_t *value, const GError *error,
			void *user_data)
{
	progress_load_t *load = user_data;
	GPtrArray *progress =
		error ? NULL : job_progress_decode(value->data, value->len);

	if (!progress) {
		log_warn("progress_unread", "key=%s error=%s", load->key,
			 error ? error_name(error->code) : "unreadable");
		progress = g_ptr_array_new_with_free_func(job_progress_free);
	}
	load->loaded(progress, load->user_data);
	g_free(load->key);
	g_free(load);
}

void job_load_progress(job_context_t *context, const char *key,
		       job_progress_loaded_t loaded, void *user_data)
{
	progress_load_t *load;

	if (!key || !*key) {
		loaded(g_ptr_array_new_with_free_func(job_progress_free),
		       user_data);
		return;
	}
	load = g_new0(progress_load_t, 1);
	load->key = g_strdup(key);
	load->loaded = loaded;
	load->user_data = user_data;
	object_get(context->store, key, on_progress, load);
}
