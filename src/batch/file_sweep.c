#include "batch/file_sweep.h"

#include <string.h>

#define DEFAULT_SWEEP_PERIOD_MS (3600 * 1000LL)
#define RETRY_DELAY_MS 10000
#define PAGE_OBJECTS 1000

static const char prefix[] = "file/";

struct file_sweep {
	file_sweep_options_t options;
	remover_t *remover;
	uint64_t number; /* of the sweep; 0: none has started */
	bool running;
	bool listing;
	bool freed;
	int64_t next_sweep_ms; /* monotonic */
	int64_t cutoff_ms; /* wall clock */
	GHashTable *needed; /* NULL: not received yet */
	char *after;
	bool last_page;
	GPtrArray *removable; /* ids on the page, removed from the end */
	char *current; /* id being removed */
};

file_sweep_t *file_sweep_new(const file_sweep_options_t *options)
{
	file_sweep_t *sweep = g_new0(file_sweep_t, 1);
	remover_options_t remover = { .store = options->store,
				      .clock = options->clock,
				      .removals_per_s =
					      options->removals_per_s };

	sweep->options = *options;
	if (!sweep->options.period_ms)
		sweep->options.period_ms = DEFAULT_SWEEP_PERIOD_MS;
	sweep->remover = remover_new(&remover);
	sweep->removable = g_ptr_array_new_with_free_func(g_free);
	return sweep;
}

static void reset_sweep(file_sweep_t *sweep)
{
	sweep->running = false;
	sweep->last_page = false;
	if (sweep->needed)
		g_hash_table_destroy(sweep->needed);
	sweep->needed = NULL;
	g_clear_pointer(&sweep->after, g_free);
	g_ptr_array_set_size(sweep->removable, 0);
}

void file_sweep_free(file_sweep_t *sweep)
{
	if (!sweep)
		return;
	if (!sweep->freed)
		remover_free(sweep->remover);
	sweep->freed = true;
	if (sweep->listing)
		return;
	reset_sweep(sweep);
	g_ptr_array_free(sweep->removable, TRUE);
	g_free(sweep->current);
	g_free(sweep);
}

static void end_sweep(file_sweep_t *sweep, int64_t wait_ms)
{
	reset_sweep(sweep);
	sweep->next_sweep_ms = clock_now_ms(sweep->options.clock) + wait_ms;
}

static void fail_sweep(file_sweep_t *sweep)
{
	sweep->options.stats->failures++;
	end_sweep(sweep, RETRY_DELAY_MS);
}

void file_sweep_set_needed(file_sweep_t *sweep, uint64_t number,
			   GHashTable *ids)
{
	if (!sweep->running || sweep->number != number || sweep->needed) {
		if (ids)
			g_hash_table_destroy(ids);
	} else if (ids) {
		sweep->needed = ids;
	} else {
		fail_sweep(sweep);
	}
}

/* Returns the id in a key file/<id>/<part>; newly allocated. */
static char *file_id_of_key(const char *key)
{
	const char *id = key + strlen(prefix);
	const char *end = strchr(id, '/');

	return end ? g_strndup(id, (gsize)(end - id)) : NULL;
}

static bool is_removable(const file_sweep_t *sweep, const char *id)
{
	int64_t created_ms = sweep->options.ops.created_ms(id);

	return created_ms >= 0 && created_ms < sweep->cutoff_ms &&
	       !g_hash_table_contains(sweep->needed, id);
}

static void add_removable(file_sweep_t *sweep, const char *key)
{
	char *id = file_id_of_key(key);
	guint count = sweep->removable->len;

	if (id && is_removable(sweep, id) &&
	    (!count || strcmp(sweep->removable->pdata[count - 1], id) != 0))
		g_ptr_array_add(sweep->removable, id);
	else
		g_free(id);
}

static void on_listed(const object_listing_t *listing, const GError *error,
		      void *user_data)
{
	file_sweep_t *sweep = user_data;
	guint count = error ? 0 : listing->entries->len;

	sweep->listing = false;
	if (sweep->freed) {
		file_sweep_free(sweep);
		return;
	}
	if (!sweep->needed)
		return;
	if (error) {
		fail_sweep(sweep);
		return;
	}
	for (guint i = 0; i < count; i++)
		add_removable(
			sweep,
			g_array_index(listing->entries, object_entry_t, i).key);
	sweep->last_page = count < PAGE_OBJECTS;
	if (count) {
		g_free(sweep->after);
		sweep->after = g_strdup(g_array_index(listing->entries,
						      object_entry_t, count - 1)
						.key);
	}
}

static void on_removed(bool empty, uint32_t removed, void *user_data)
{
	file_sweep_t *sweep = user_data;
	const file_sweep_ops_t *ops = &sweep->options.ops;

	sweep->options.stats->objects += removed;
	sweep->options.stats->files += empty;
	sweep->options.stats->failures += !empty;
	if (empty)
		ops->removed(sweep->current, removed, ops->user_data);
	g_clear_pointer(&sweep->current, g_free);
}

static void begin_sweep(file_sweep_t *sweep)
{
	sweep->running = true;
	sweep->number++;
	sweep->cutoff_ms = clock_wall_ms(sweep->options.clock) -
			   sweep->options.file_ms - FILE_SWEEP_MARGIN_MS;
	sweep->options.ops.request_needed(sweep->number,
					  sweep->options.ops.user_data);
}

static void remove_file(file_sweep_t *sweep)
{
	char *below;

	sweep->current = g_ptr_array_steal_index(sweep->removable,
						 sweep->removable->len - 1);
	below = g_strconcat(prefix, sweep->current, "/", NULL);
	remover_start(sweep->remover, below, on_removed, sweep);
	g_free(below);
}

static void list_page(file_sweep_t *sweep)
{
	sweep->listing = true;
	object_list(sweep->options.store, prefix, sweep->after, PAGE_OBJECTS,
		    on_listed, sweep);
}

void file_sweep_step(file_sweep_t *sweep)
{
	remover_step(sweep->remover);
	if (remover_is_busy(sweep->remover) || sweep->listing)
		return;
	if (!sweep->options.ops.is_owner(sweep->options.ops.user_data)) {
		/* A new owner sweeps at once: its predecessor may have stopped
		 * during a sweep. */
		end_sweep(sweep, 0);
		return;
	}
	if (!sweep->running) {
		if (clock_now_ms(sweep->options.clock) >= sweep->next_sweep_ms)
			begin_sweep(sweep);
	} else if (!sweep->needed) {
		return;
	} else if (sweep->removable->len) {
		remove_file(sweep);
	} else if (!sweep->last_page) {
		list_page(sweep);
	} else {
		end_sweep(sweep, sweep->options.period_ms);
	}
}
