#ifndef WASABILINK_ENTRY_RECORDS_H
#define WASABILINK_ENTRY_RECORDS_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/counter.h"
#include "coord/member.h"
#include "object/object_store.h"
#include "rpc/rpc_client.h"
#include "rpc/rpc_server.h"

/*
 * records - durable keyed records, accessible from every node.
 *
 * A record changes only by compare-and-set on its version, and a completion
 * without error means that the change is durable in the object store. Claims
 * of online requests and batch jobs are stored as records; this module does
 * not interpret their data. Calls are executed by the owner of the record's
 * shard: in process, or by RPC.
 *
 * Errors: WL_ERROR_CONFLICT (the completion's record is the current one),
 * WL_ERROR_NOT_FOUND, WL_ERROR_TOO_LARGE, WL_ERROR_UNAVAILABLE (the operation
 * had no effect), WL_ERROR_TIMEOUT (the effect is unknown; the same update
 * with the same token may be repeated and is applied at most once).
 */
#define RECORD_KEY_BYTES 16
#define RECORD_MAX_DATA_BYTES (128 * 1024)
#define RECORD_ABSENT 0

typedef enum record_kind { RECORD_CLAIM = 1, RECORD_JOB = 2 } record_kind_t;

typedef struct record_key {
	uint8_t bytes[RECORD_KEY_BYTES];
} record_key_t;

typedef struct record {
	record_key_t key;
	record_kind_t kind;
	uint64_t version; /* 1 for the first write */
	uint64_t expire_ms; /* wall clock; the record may be removed
			     * afterwards; 0 means never */
	const char *owner_tag; /* "partner/workspace", for records_list() */
	const void *data;
	size_t len;
} record_t;

typedef struct records records_t;

/* All pointers are borrowed. */
typedef struct records_options {
	struct event_base *base;
	const clock_source_t *clock;
	object_store_t *store;
	const member_table_t *members;
	rpc_client_t *rpc_client;
	rpc_server_t *rpc_server; /* NULL in tests without peers */
	counter_set_t *counters;
	uint64_t incarnation; /* random, unique per process start */
	uint32_t shards; /* must be equal on all nodes */
	double writes_per_s; /* limit of this node; 0: none */
	int32_t timeout_ms; /* per operation; 0 means 3000 */
} records_options_t;

records_t *records_new(const records_options_t *options);
/* Pending calls are dropped; their completions do not run. */
void records_free(records_t *records);
/* Releases the owned shards and acquires none afterwards. */
void records_release(records_t *records);
bool records_is_released(const records_t *records);

/* record is NULL on errors other than WL_ERROR_CONFLICT. */
typedef void (*record_done_t)(const record_t *record, const GError *error,
			      void *user_data);
/* records is an array of record_t; complete is false when a shard could not be
 * read in time. */
typedef void (*record_list_done_t)(const GArray *records, gboolean complete,
				   void *user_data);

/* Returns the first 128 bits of SHA-256 over the parts, each preceded by its
 * length. The list of parts ends with NULL. */
record_key_t record_key_make(const char *part, ...) __attribute__((sentinel));

void records_get(records_t *records, const record_key_t *key,
		 record_done_t done, void *user_data);

/* update->version is the expected version, RECORD_ABSENT for a new record. */
void records_update(records_t *records, const record_t *update,
		    record_done_t done, void *user_data);

/* Like records_update() and records_get(), with timeout_ms instead of the
 * timeout in the options. */
void records_update_within(records_t *records, const record_t *update,
			   int32_t timeout_ms, record_done_t done,
			   void *user_data);
void records_get_within(records_t *records, const record_key_t *key,
			int32_t timeout_ms, record_done_t done,
			void *user_data);

/* Lists the records of a kind and owner tag over all shards; NULL matches every
 * owner tag. */
void records_list(records_t *records, record_kind_t kind, const char *owner_tag,
		  record_list_done_t done, void *user_data);

/*
 * Reports the records of the shards that this node owns, for work that the
 * owner of a record performs. each is called for every record of the kind that
 * exists when a shard is acquired and after each durable change. It is called
 * with record NULL after ownership of a shard was lost; the caller must then
 * drop the work whose key records_is_owner() rejects.
 */
typedef void (*record_each_t)(const record_t *record, void *user_data);
void records_follow(records_t *records, record_kind_t kind, record_each_t each,
		    void *user_data);
/* Returns the number of the key's shard, less than the shards option. */
uint32_t records_shard(const records_t *records, const record_key_t *key);
gboolean records_is_owner(const records_t *records, const record_key_t *key);
/* Unlike records_is_owner(), never true when another node may already own the
 * shard. */
gboolean records_has_lease(const records_t *records, const record_key_t *key);
/* Returns the peer address of the node that most likely owns the key; NULL if
 * unknown. */
const char *records_owner_address(const records_t *records,
				  const record_key_t *key);
/* Returns whether this node is the owner, the candidate or the standby of any
 * shard. */
bool records_has_shards(const records_t *records);
/* Returns the epoch of the key's shard: a fencing token that grows with each
 * new owner. */
uint64_t records_epoch(const records_t *records, const record_key_t *key);

#endif
