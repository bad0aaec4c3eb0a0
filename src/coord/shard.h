#ifndef WASABILINK_COORD_SHARD_H
#define WASABILINK_COORD_SHARD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "coord/ledger.h"
#include "object/object_store.h"

/*
 * shard - one node's view of a ledger shard: ownership and group commit.
 *
 * The candidate takes an ownerless shard over by a conditional write of the
 * head object with the next epoch: at once when the head is released or was
 * written by an earlier process at the same address, otherwise after it saw
 * the same version for the lease time. An owner whose conditional write loses
 * drops its state. Exactly one head write is in flight; the updates that wait
 * meanwhile go into the next one. A write without an answer is resolved by
 * reading back its writer token before anything else is written.
 *
 * Nothing runs by itself: completions come from shard_step() and from the
 * store's completions, never before the call returns. All operations have a
 * deadline on the monotonic clock. Errors: WL_ERROR_CONFLICT,
 * WL_ERROR_NOT_FOUND, WL_ERROR_TOO_LARGE, WL_ERROR_UNAVAILABLE (certainly
 * without effect), WL_ERROR_TIMEOUT (effect unknown; may be repeated with the
 * same token).
 */
typedef struct shard shard_t;

typedef enum shard_event {
	SHARD_ACQUIRED,
	SHARD_LOST, /* another node's write won */
	SHARD_RELEASED,
	SHARD_UNCERTAIN, /* a write got no answer */
	SHARD_STORE_FAILED, /* first refused write after successful ones */
	SHARD_STORE_BACK,
	SHARD_SEALED, /* a segment or an index was written */
	SHARD_ORPHANS, /* objects that no head names were found */
	SHARD_BROKEN, /* an object cannot be decoded or is missing */
	SHARD_EVENT_COUNT
} shard_event_t;

/* Rate of store writes, shared by the shards of a node. */
typedef struct shard_budget {
	double writes_per_s; /* 0: no limit */
	double tokens;
	int64_t refilled_us;
} shard_budget_t;

/* Shared by the shards of a node. */
typedef struct shard_stats {
	int64_t head_writes;
	int64_t other_writes; /* segments, index objects, removals */
	int64_t updates; /* applied and durable */
	int64_t largest_batch;
	int64_t conflicts; /* updates that lost by version */
	int64_t repeats; /* updates that were known by their token */
	int64_t refused; /* operations ended by WL_ERROR_UNAVAILABLE */
	int64_t unknown; /* operations ended by WL_ERROR_TIMEOUT */
	int64_t takeovers;
	int64_t losses;
	int64_t uncertain; /* writes without an answer */
	int64_t store_failures;
	int64_t segment_reads;
	int64_t head_bytes; /* written */
	int64_t orphans; /* objects that no head named */
} shard_stats_t;

/* record is NULL on errors other than WL_ERROR_CONFLICT. */
typedef void (*shard_done_t)(const ledger_record *record, const GError *error,
			     void *user_data);
/* records is an array of ledger_record *; NULL on errors. */
typedef void (*shard_list_done_t)(const GPtrArray *records, const GError *error,
				  void *user_data);

typedef struct shard_observer {
	void (*event)(shard_t *shard, shard_event_t event, void *user_data);
	/* Each durable change, in order. */
	void (*changed)(shard_t *shard, const ledger_record *record,
			void *user_data);
	void *user_data;
} shard_observer_t;

/* Zero means the default. The pointers are borrowed. */
typedef struct shard_options {
	object_store_t *store;
	const clock_source_t *clock;
	uint32_t number;
	const char *owner; /* peer address of this node */
	uint64_t incarnation; /* of this process, unlike its earlier ones */
	shard_budget_t *budget; /* may be NULL */
	shard_stats_t *stats;
	shard_observer_t observer;
	ledger_options_t ledger;
	uint32_t max_waiting; /* operations; 10000 */
	uint32_t max_waiting_bytes; /* 8 MiB */
	int32_t lease_ms; /* 6000 */
	int32_t renew_ms; /* 2000 */
	int64_t carry_after_ms; /* age of segments; 24 h */
	int64_t sweep_ms; /* between searches for orphans; 1 h */
} shard_options_t;

shard_t *shard_new(const shard_options_t *options);
/* Ends waiting operations as unavailable, those in a write as timed out. */
void shard_free(shard_t *shard);

uint32_t shard_number(const shard_t *shard);
/* An owner that is no longer the candidate releases after a while. */
void shard_set_candidate(shard_t *shard, bool candidate);
/* A standby reads the head now and then, so that it need not wait for the
 * whole lease when it becomes the candidate. */
void shard_set_standby(shard_t *shard, bool standby);
/* Releases what it owns and acquires nothing any more. */
void shard_release(shard_t *shard);
/* True when nothing is owned after shard_release(). */
bool shard_is_released(const shard_t *shard);
bool shard_is_owner(const shard_t *shard);
/* Address of the last known owner, NULL if unknown. */
const char *shard_owner(const shard_t *shard);
uint64_t shard_epoch(const shard_t *shard);
/* True while no other node can have taken the shard over: 5/6 of the lease
 * from the start of the last successful write, and no release is written. */
bool shard_has_lease(const shard_t *shard);
const ledger_t *shard_ledger(const shard_t *shard);
uint32_t shard_waiting(const shard_t *shard);

/* Does what is due: to be called after operations were added, after the
 * store's completions, and every 50 ms or so. */
void shard_step(shard_t *shard);

void shard_get(shard_t *shard, const void *key, int64_t deadline_ms,
	       shard_done_t done, void *user_data);
/* update is copied; its revision is the expected one. */
void shard_update(shard_t *shard, const ledger_record *update,
		  const void *token, int64_t deadline_ms, shard_done_t done,
		  void *user_data);
void shard_list(shard_t *shard, uint32_t kind, int64_t deadline_ms,
		shard_list_done_t done, void *user_data);

const char *shard_event_name(shard_event_t event);

#endif
