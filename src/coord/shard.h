#ifndef WASABILINK_COORD_SHARD_H
#define WASABILINK_COORD_SHARD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "coord/ledger.h"
#include "object/object_store.h"

/*
 * shard - one node's view of a ledger shard: ownership and group commit
 *
 * The candidate acquires a shard without an owner by a conditional write of
 * the head object with the next epoch: at once when the head is released or
 * was written by an earlier process at the same address, otherwise after it
 * has read the same version for the lease time. An owner whose conditional
 * write loses against another one drops its state. At most one head write is
 * in flight; updates that arrive in the meantime are committed by the next
 * one. After a write without a response, the owner reads the head and compares
 * its writer token before it writes anything else.
 *
 * The module has no timers or threads: completions are called from
 * shard_step() and from the store's completions, never before the call that
 * started the operation returns. All operations have a deadline on the
 * monotonic clock. Errors: WL_ERROR_CONFLICT, WL_ERROR_NOT_FOUND,
 * WL_ERROR_TOO_LARGE, WL_ERROR_UNAVAILABLE (certainly without effect),
 * WL_ERROR_TIMEOUT (effect unknown; may be repeated with the same token).
 */
typedef struct shard shard_t;

typedef enum shard_event {
	SHARD_ACQUIRED,
	SHARD_LOST, /* another node wrote the head */
	SHARD_RELEASED,
	SHARD_UNCERTAIN, /* a head write got no response */
	SHARD_STORE_FAILED, /* first failed write after a successful one */
	SHARD_STORE_BACK, /* first successful write after failed ones */
	SHARD_SEALED, /* a segment or an index object was written */
	SHARD_ORPHANS, /* unreferenced objects were found */
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
	int64_t conflicts; /* updates refused by their version */
	int64_t repeats; /* updates whose token was applied before */
	int64_t refused; /* operations failed by WL_ERROR_UNAVAILABLE */
	int64_t unknown; /* operations failed by WL_ERROR_TIMEOUT */
	int64_t takeovers;
	int64_t losses;
	int64_t uncertain; /* writes without a response */
	int64_t store_failures;
	int64_t segment_reads;
	int64_t head_bytes; /* bytes of all head writes */
	int64_t orphans; /* unreferenced objects found */
} shard_stats_t;

/* record is NULL on errors other than WL_ERROR_CONFLICT. */
typedef void (*shard_done_t)(const ledger_record *record, const GError *error,
			     void *user_data);
/* records is an array of ledger_record *; NULL on errors. */
typedef void (*shard_list_done_t)(const GPtrArray *records, const GError *error,
				  void *user_data);

typedef struct shard_observer {
	void (*event)(shard_t *shard, shard_event_t event, void *user_data);
	/* Called for each durable update, in order. */
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
	uint64_t incarnation; /* unique among the processes at this address */
	shard_budget_t *budget; /* may be NULL */
	shard_stats_t *stats;
	shard_observer_t observer;
	ledger_options_t ledger;
	uint32_t max_waiting; /* waiting operations; 10000 */
	uint32_t max_waiting_bytes; /* of their updates; 8 MiB */
	int32_t lease_ms; /* 6000 */
	int32_t renew_ms; /* 2000 */
	int64_t compact_after_ms; /* age of segments to compact; 24 h */
	int64_t sweep_ms; /* interval of orphan sweeps; 1 h */
} shard_options_t;

shard_t *shard_new(const shard_options_t *options);
/* Fails waiting operations as unavailable, and updates in a write as timed
 * out. */
void shard_free(shard_t *shard);

uint32_t shard_number(const shard_t *shard);
/* An owner that stops being the candidate releases the shard after 3 s. */
void shard_set_candidate(shard_t *shard, bool candidate);
/* A standby reads the head periodically, so that the time for which it has
 * seen no change counts towards the lease when it becomes the candidate. */
void shard_set_standby(shard_t *shard, bool standby);
/* Releases the shard if it is owned, and does not acquire it afterwards. */
void shard_release(shard_t *shard);
/* True once the shard is not owned after shard_release(). */
bool shard_is_released(const shard_t *shard);
bool shard_is_owner(const shard_t *shard);
/* Address of the last known owner, NULL if unknown. */
const char *shard_owner(const shard_t *shard);
uint64_t shard_epoch(const shard_t *shard);
/* True while no other node can have acquired the shard: for 5/6 of the lease
 * from the start of the last successful head write, unless a release is being
 * written. */
bool shard_has_lease(const shard_t *shard);
const ledger_t *shard_ledger(const shard_t *shard);
uint32_t shard_waiting(const shard_t *shard);

/* Advances all work of the shard. To be called after operations were added,
 * after the store's completions, and about every 50 ms. */
void shard_step(shard_t *shard);

void shard_get(shard_t *shard, const void *key, int64_t deadline_ms,
	       shard_done_t done, void *user_data);
/* update is copied; its revision is the expected version. */
void shard_update(shard_t *shard, const ledger_record *update,
		  const void *token, int64_t deadline_ms, shard_done_t done,
		  void *user_data);
void shard_list(shard_t *shard, uint32_t kind, int64_t deadline_ms,
		shard_list_done_t done, void *user_data);

const char *shard_event_name(shard_event_t event);

#endif
