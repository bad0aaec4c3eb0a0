#ifndef WASABILINK_PLATFORM_OBJECT_TABLE_H
#define WASABILINK_PLATFORM_OBJECT_TABLE_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * object_table - versioned objects in memory.
 *
 * The data model behind the platform stand-in and the in-process store: every
 * change takes the next store-wide revision as the object's version.
 */
typedef struct object_table object_table_t;

typedef struct table_object {
	uint64_t version;
	char *writer;
	GBytes *data;
} table_object_t;

typedef struct table_change {
	uint64_t revision;
	char *key;
	gboolean deleted;
} table_change_t;

object_table_t *object_table_new(void);
void object_table_free(object_table_t *table);
uint64_t object_table_revision(const object_table_t *table);
const table_object_t *object_table_get(const object_table_t *table,
				       const char *key);

/*
 * Writes when the object's version is if_version (0: absent). Returns the new
 * version, or 0 on a mismatch.
 */
uint64_t object_table_put(object_table_t *table, const char *key,
			  const void *data, size_t len, uint64_t if_version,
			  const char *writer);
gboolean object_table_remove(object_table_t *table, const char *key,
			     uint64_t if_version);

/* Calls each for keys with the prefix after the key, in order. */
typedef void (*object_table_each_t)(const char *key,
				    const table_object_t *object,
				    void *user_data);
void object_table_list(object_table_t *table, const char *prefix,
		       const char *after, uint32_t limit,
		       object_table_each_t each, void *user_data);

/* Changes after the revision, oldest first; FALSE when too old to know. */
typedef void (*object_table_change_each_t)(const table_change_t *change,
					   void *user_data);
gboolean object_table_changes(const object_table_t *table, const char *prefix,
			      uint64_t since, object_table_change_each_t each,
			      void *user_data);

#endif
