#ifndef WASABILINK_PLATFORM_OBJECT_STORE_H
#define WASABILINK_PLATFORM_OBJECT_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * object_store - the platform's object API as a table of operations.
 *
 * Calls are asynchronous: each completion runs exactly once, unless the call is
 * cancelled, never before the call returns. Errors are of the domain WL_ERROR:
 *   WL_ERROR_NOT_FOUND     no such object
 *   WL_ERROR_CONFLICT      version mismatch; version and writer tell whose
 *   WL_ERROR_TOO_LARGE     value above OBJECT_MAX_BYTES
 *   WL_ERROR_RATE_LIMITED, WL_ERROR_UNAVAILABLE, WL_ERROR_REFUSED
 *                          certainly without effect
 *   WL_ERROR_TIMEOUT, WL_ERROR_TRUNCATED
 *                          the effect is unknown; read back and compare the
 *                          writer token
 */
#define OBJECT_MAX_BYTES (1024 * 1024)
/* Version for "must not exist" in a conditional write. */
#define OBJECT_ABSENT 0

typedef struct object_store object_store_t;

typedef struct object_value {
	const char *key;
	uint64_t version;
	const char *writer; /* token of the last writer */
	const void *data;
	size_t len;
} object_value_t;

typedef struct object_entry {
	char *key;
	uint64_t version;
	gboolean deleted; /* in watch results */
	char *data; /* NULL: this store lists keys only, use get */
} object_entry_t;

typedef struct object_listing {
	uint64_t revision; /* store-wide, of the listing */
	GArray *entries; /* object_entry_t in key order, owned by the caller
			  * of the completion */
	gboolean more; /* the listing goes on after the last entry */
} object_listing_t;

typedef struct platform_vm {
	char *address; /* IP:port */
	char *role; /* entry, runner or service */
	char *domain;
	char *partner;
	char *deployment;
	char *state; /* live or leaving */
} platform_vm_t;

/* value is NULL on error, except WL_ERROR_CONFLICT (version and writer). */
typedef void (*object_done_t)(const object_value_t *value, const GError *error,
			      void *user_data);
typedef void (*object_list_done_t)(const object_listing_t *listing,
				   const GError *error, void *user_data);
/* vms is an array of platform_vm_t. */
typedef void (*object_vms_done_t)(const GArray *vms, const GError *error,
				  void *user_data);

typedef struct object_store_ops {
	void (*get)(object_store_t *store, const char *key, object_done_t done,
		    void *user_data);
	void (*put)(object_store_t *store, const char *key, const void *data,
		    size_t len, uint64_t if_version, const char *writer,
		    object_done_t done, void *user_data);
	void (*remove)(object_store_t *store, const char *key,
		       uint64_t if_version, object_done_t done,
		       void *user_data);
	void (*list)(object_store_t *store, const char *prefix,
		     const char *after, uint32_t limit, object_list_done_t done,
		     void *user_data);
	void (*watch)(object_store_t *store, const char *prefix, uint64_t since,
		      int32_t timeout_ms, object_list_done_t done,
		      void *user_data);
	void (*vms)(object_store_t *store, object_vms_done_t done,
		    void *user_data);
	/* NULL: reads are not cancelled. */
	bool (*cancel)(object_store_t *store, void *user_data);
	void (*destroy)(object_store_t *store);
} object_store_ops_t;

struct object_store {
	const object_store_ops_t *ops;
};

static inline void object_get(object_store_t *store, const char *key,
			      object_done_t done, void *user_data)
{
	store->ops->get(store, key, done, user_data);
}

static inline void object_put(object_store_t *store, const char *key,
			      const void *data, size_t len, uint64_t if_version,
			      const char *writer, object_done_t done,
			      void *user_data)
{
	store->ops->put(store, key, data, len, if_version, writer, done,
			user_data);
}

static inline void object_remove(object_store_t *store, const char *key,
				 uint64_t if_version, object_done_t done,
				 void *user_data)
{
	store->ops->remove(store, key, if_version, done, user_data);
}

static inline void object_list(object_store_t *store, const char *prefix,
			       const char *after, uint32_t limit,
			       object_list_done_t done, void *user_data)
{
	store->ops->list(store, prefix, after, limit, done, user_data);
}

static inline void object_watch(object_store_t *store, const char *prefix,
				uint64_t since, int32_t timeout_ms,
				object_list_done_t done, void *user_data)
{
	store->ops->watch(store, prefix, since, timeout_ms, done, user_data);
}

static inline void object_vms(object_store_t *store, object_vms_done_t done,
			      void *user_data)
{
	store->ops->vms(store, done, user_data);
}

/* Ends the read in progress with the user data: its completion does not run.
 * Returns false if the store cannot, or if the completion has begun. */
static inline bool object_cancel(object_store_t *store, void *user_data)
{
	return store->ops->cancel && store->ops->cancel(store, user_data);
}

static inline void object_store_free(object_store_t *store)
{
	if (store)
		store->ops->destroy(store);
}

#endif
