#include "object/object_table.h"

#include <string.h>

/* Changes kept for watches; an older watch must list again. */
#define MAX_CHANGES 20000

struct object_table {
	GTree *objects; /* key -> table_object_t */
	GQueue changes; /* table_change_t, oldest first */
	uint64_t revision;
	uint64_t forgotten; /* highest revision dropped from changes */
};

static void table_object_free(void *data)
{
	table_object_t *object = data;

	g_free(object->writer);
	g_bytes_unref(object->data);
	g_free(object);
}

static void table_change_free(void *data)
{
	table_change_t *change = data;

	g_free(change->key);
	g_free(change);
}

static int compare_keys(const void *a, const void *b, void *unused)
{
	return strcmp(a, b);
}

object_table_t *object_table_new(void)
{
	object_table_t *table = g_new0(object_table_t, 1);

	table->objects =
		g_tree_new_full(compare_keys, NULL, g_free, table_object_free);
	g_queue_init(&table->changes);
	return table;
}

void object_table_free(object_table_t *table)
{
	if (!table)
		return;
	g_tree_destroy(table->objects);
	g_queue_clear_full(&table->changes, table_change_free);
	g_free(table);
}

uint64_t object_table_revision(const object_table_t *table)
{
	return table->revision;
}

const table_object_t *object_table_get(const object_table_t *table,
				       const char *key)
{
	return g_tree_lookup(table->objects, key);
}

static void record_change(object_table_t *table, const char *key,
			  gboolean deleted)
{
	table_change_t *change = g_new0(table_change_t, 1);

	change->revision = ++table->revision;
	change->key = g_strdup(key);
	change->deleted = deleted;
	g_queue_push_tail(&table->changes, change);
	if (g_queue_get_length(&table->changes) <= MAX_CHANGES)
		return;
	change = g_queue_pop_head(&table->changes);
	table->forgotten = change->revision;
	table_change_free(change);
}

uint64_t object_table_put(object_table_t *table, const char *key,
			  const void *data, size_t len, uint64_t if_version,
			  const char *writer)
{
	const table_object_t *old = object_table_get(table, key);
	table_object_t *object;

	if ((old ? old->version : 0) != if_version)
		return 0;
	record_change(table, key, FALSE);
	object = g_new0(table_object_t, 1);
	object->version = table->revision;
	object->writer = g_strdup(writer ? writer : "");
	object->data = g_bytes_new(data, len);
	g_tree_replace(table->objects, g_strdup(key), object);
	return object->version;
}

gboolean object_table_remove(object_table_t *table, const char *key,
			     uint64_t if_version)
{
	const table_object_t *old = object_table_get(table, key);

	if (!old || old->version != if_version)
		return FALSE;
	record_change(table, key, TRUE);
	g_tree_remove(table->objects, key);
	return TRUE;
}

void object_table_list(object_table_t *table, const char *prefix,
		       const char *after, uint32_t limit,
		       object_table_each_t each, void *user_data)
{
	const char *start = after && strcmp(after, prefix) > 0 ? after : prefix;
	GTreeNode *node = g_tree_lower_bound(table->objects, start);

	for (; node && limit > 0; node = g_tree_node_next(node)) {
		const char *key = g_tree_node_key(node);

		if (after && strcmp(key, after) <= 0)
			continue;
		if (!g_str_has_prefix(key, prefix))
			break;
		each(key, g_tree_node_value(node), user_data);
		limit--;
	}
}

gboolean object_table_changes(const object_table_t *table, const char *prefix,
			      uint64_t since, object_table_change_each_t each,
			      void *user_data)
{
	const GList *link = table->changes.tail;

	if (since < table->forgotten)
		return FALSE;
	while (link && ((table_change_t *)link->data)->revision > since)
		link = link->prev;
	for (link = link ? link->next : table->changes.head; link;
	     link = link->next) {
		const table_change_t *change = link->data;

		if (g_str_has_prefix(change->key, prefix))
			each(change, user_data);
	}
	return TRUE;
}
