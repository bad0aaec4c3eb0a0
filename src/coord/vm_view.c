#include "coord/vm_view.h"

#include <string.h>

/* Removals kept for differences; a receiver with an older sequence number gets
 * the complete list. */
#define MAX_REMOVALS 1024

typedef struct view_entry {
	platform_vm_t vm;
	uint64_t sequence; /* of the last change */
	bool listed;
} view_entry_t;

typedef struct removal {
	char *address;
	uint64_t sequence;
} removal_t;

struct vm_view {
	uint64_t id;
	uint64_t sequence;
	uint64_t oldest_sequence; /* differences are known after it */
	GHashTable *entries; /* address -> view_entry_t */
	GQueue removals; /* removal_t, oldest first */
	GArray *vms;
};

static void entry_free(void *data)
{
	view_entry_t *entry = data;

	g_free(entry->vm.address);
	g_free(entry->vm.role);
	g_free(entry->vm.domain);
	g_free(entry->vm.partner);
	g_free(entry->vm.deployment);
	g_free(entry->vm.state);
	g_free(entry);
}

static void removal_free(void *data)
{
	removal_t *removal = data;

	g_free(removal->address);
	g_free(removal);
}

vm_view_t *vm_view_new(uint64_t id)
{
	vm_view_t *view = g_new0(vm_view_t, 1);

	view->id = id;
	view->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      entry_free);
	view->vms = g_array_new(FALSE, TRUE, sizeof(platform_vm_t));
	g_queue_init(&view->removals);
	return view;
}

void vm_view_free(vm_view_t *view)
{
	if (!view)
		return;
	g_hash_table_destroy(view->entries);
	g_queue_clear_full(&view->removals, removal_free);
	g_array_free(view->vms, TRUE);
	g_free(view);
}

uint64_t vm_view_id(const vm_view_t *view)
{
	return view->id;
}

uint64_t vm_view_sequence(const vm_view_t *view)
{
	return view->sequence;
}

static bool equal_vms(const platform_vm_t *a, const platform_vm_t *b)
{
	return strcmp(a->role, b->role) == 0 &&
	       strcmp(a->domain, b->domain) == 0 &&
	       strcmp(a->partner, b->partner) == 0 &&
	       strcmp(a->deployment, b->deployment) == 0 &&
	       strcmp(a->state, b->state) == 0;
}

static view_entry_t *entry_new(const platform_vm_t *vm)
{
	view_entry_t *entry = g_new0(view_entry_t, 1);

	entry->vm.address = g_strdup(vm->address);
	entry->vm.role = g_strdup(vm->role);
	entry->vm.domain = g_strdup(vm->domain);
	entry->vm.partner = g_strdup(vm->partner);
	entry->vm.deployment = g_strdup(vm->deployment);
	entry->vm.state = g_strdup(vm->state);
	return entry;
}

static view_entry_t *put(vm_view_t *view, const platform_vm_t *vm,
			 bool *changed)
{
	view_entry_t *entry = g_hash_table_lookup(view->entries, vm->address);

	*changed = !entry || !equal_vms(&entry->vm, vm);
	if (!*changed)
		return entry;
	entry = entry_new(vm);
	g_hash_table_replace(view->entries, entry->vm.address, entry);
	return entry;
}

static void add_removal(vm_view_t *view, const char *address)
{
	removal_t *removal = g_new0(removal_t, 1);

	removal->address = g_strdup(address);
	removal->sequence = view->sequence;
	g_queue_push_tail(&view->removals, removal);
	if (g_queue_get_length(&view->removals) <= MAX_REMOVALS)
		return;
	removal = g_queue_pop_head(&view->removals);
	view->oldest_sequence = removal->sequence;
	removal_free(removal);
}

static bool remove_unlisted(vm_view_t *view)
{
	bool changed = false;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, view->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		view_entry_t *entry = value;

		if (entry->listed)
			continue;
		add_removal(view, entry->vm.address);
		g_hash_table_iter_remove(&iter);
		changed = true;
	}
	return changed;
}

bool vm_view_update(vm_view_t *view, const GArray *vms)
{
	bool any_changed = false;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, view->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((view_entry_t *)value)->listed = false;
	view->sequence++;
	for (guint i = 0; i < vms->len; i++) {
		bool changed;
		view_entry_t *entry = put(
			view, &g_array_index(vms, platform_vm_t, i), &changed);

		entry->listed = true;
		if (changed)
			entry->sequence = view->sequence;
		any_changed = any_changed || changed;
	}
	if (remove_unlisted(view))
		any_changed = true;
	if (!any_changed)
		view->sequence--;
	return any_changed;
}

bool vm_view_since(const vm_view_t *view, uint64_t id, uint64_t sequence,
		   vm_view_changed_t changed, vm_view_removed_t removed,
		   void *user_data)
{
	GHashTableIter iter;
	void *value;

	if (sequence > 0 &&
	    (id != view->id || sequence < view->oldest_sequence ||
	     sequence > view->sequence))
		return false;
	g_hash_table_iter_init(&iter, view->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const view_entry_t *entry = value;

		if (sequence == 0 || entry->sequence > sequence)
			changed(&entry->vm, user_data);
	}
	if (sequence == 0)
		return true;
	for (const GList *link = view->removals.head; link; link = link->next) {
		const removal_t *removal = link->data;

		/* The VM may have been listed again since. */
		if (removal->sequence > sequence &&
		    !g_hash_table_contains(view->entries, removal->address))
			removed(removal->address, user_data);
	}
	return true;
}

void vm_view_reset(vm_view_t *view, uint64_t id)
{
	view->id = id;
	view->sequence = 0;
	view->oldest_sequence = 0;
	g_hash_table_remove_all(view->entries);
	g_queue_clear_full(&view->removals, removal_free);
}

/* A receiver has no differences from before the list that it received. */
void vm_view_set_sequence(vm_view_t *view, uint64_t sequence)
{
	view->sequence = sequence;
	view->oldest_sequence = sequence;
}

void vm_view_put(vm_view_t *view, const platform_vm_t *vm)
{
	bool changed;

	put(view, vm, &changed);
}

void vm_view_remove(vm_view_t *view, const char *address)
{
	g_hash_table_remove(view->entries, address);
}

const GArray *vm_view_vms(vm_view_t *view)
{
	GHashTableIter iter;
	void *value;

	g_array_set_size(view->vms, 0);
	g_hash_table_iter_init(&iter, view->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_array_append_val(view->vms, ((view_entry_t *)value)->vm);
	return view->vms;
}
