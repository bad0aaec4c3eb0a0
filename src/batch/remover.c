#include "batch/remover.h"

#include "base/error.h"

#define PAGE_OBJECTS 1000

typedef struct target {
	char *key;
	uint64_t version;
} target_t;

struct remover {
	remover_options_t options;
	char *prefix; /* NULL: idle */
	remover_done_t done;
	void *user_data;
	GArray *targets; /* target_t, removed from the end */
	uint32_t removed;
	bool call_pending; /* the store has not answered yet */
	bool freed;
	double tokens;
	int64_t refilled_us;
};

static void target_clear(void *data)
{
	g_free(((target_t *)data)->key);
}

remover_t *remover_new(const remover_options_t *options)
{
	remover_t *remover = g_new0(remover_t, 1);

	remover->options = *options;
	remover->targets = g_array_new(FALSE, TRUE, sizeof(target_t));
	g_array_set_clear_func(remover->targets, target_clear);
	remover->refilled_us = clock_now_us(options->clock);
	return remover;
}

void remover_free(remover_t *remover)
{
	if (!remover)
		return;
	remover->freed = true;
	if (remover->call_pending)
		return;
	g_array_free(remover->targets, TRUE);
	g_free(remover->prefix);
	g_free(remover);
}

bool remover_is_busy(const remover_t *remover)
{
	return remover->prefix != NULL;
}

void remover_start(remover_t *remover, const char *prefix, remover_done_t done,
		   void *user_data)
{
	remover->prefix = g_strdup(prefix);
	remover->done = done;
	remover->user_data = user_data;
	remover->removed = 0;
}

static void finish(remover_t *remover, bool empty)
{
	g_clear_pointer(&remover->prefix, g_free);
	g_array_set_size(remover->targets, 0);
	remover->done(empty, remover->removed, remover->user_data);
}

static bool finish_call(remover_t *remover)
{
	remover->call_pending = false;
	if (!remover->freed)
		return true;
	remover_free(remover);
	return false;
}

static void on_removed(const object_value_t *value, const GError *error,
		       void *user_data)
{
	remover_t *remover = user_data;

	if (!finish_call(remover))
		return;
	if (!error)
		remover->removed++;
	else if (error->code != WL_ERROR_NOT_FOUND &&
		 error->code != WL_ERROR_CONFLICT)
		finish(remover, false);
}

static void on_listed(const object_listing_t *listing, const GError *error,
		      void *user_data)
{
	remover_t *remover = user_data;

	if (!finish_call(remover))
		return;
	if (error || listing->entries->len == 0) {
		finish(remover, !error);
		return;
	}
	for (guint i = 0; i < listing->entries->len; i++) {
		const object_entry_t *entry =
			&g_array_index(listing->entries, object_entry_t, i);
		target_t target = { g_strdup(entry->key), entry->version };

		g_array_append_val(remover->targets, target);
	}
}

static bool take_token(remover_t *remover)
{
	int64_t now_us = clock_now_us(remover->options.clock);

	remover->tokens += (double)(now_us - remover->refilled_us) *
			   remover->options.removals_per_s / 1e6;
	remover->tokens = MIN(remover->tokens, 1);
	remover->refilled_us = now_us;
	if (remover->tokens < 1)
		return false;
	remover->tokens -= 1;
	return true;
}

/* Removes from the end: the meta object of an uploaded file is removed first,
 * so that the file no longer exists when its parts are removed. */
static void remove_next(remover_t *remover)
{
	guint last = remover->targets->len - 1;
	const target_t *target =
		&g_array_index(remover->targets, target_t, last);

	remover->call_pending = true;
	object_remove(remover->options.store, target->key, target->version,
		      on_removed, remover);
	g_array_set_size(remover->targets, last);
}

void remover_step(remover_t *remover)
{
	if (!remover->prefix || remover->call_pending)
		return;
	if (remover->targets->len == 0) {
		remover->call_pending = true;
		object_list(remover->options.store, remover->prefix, NULL,
			    PAGE_OBJECTS, on_listed, remover);
	} else if (take_token(remover)) {
		remove_next(remover);
	}
}
