#ifndef WASABILINK_ENTRY_RECORDS_STATE_H
#define WASABILINK_ENTRY_RECORDS_STATE_H

#include "coord/placement.h"
#include "coord/shard.h"
#include "entry/records.h"

/*
 * records_state - types and helpers shared by the modules of records; not for
 * other modules.
 */

/* Of one forwarded attempt; an update is repeated with the same token. */
#define RECORDS_ATTEMPT_TIMEOUT_MS 2000
#define RECORDS_RETRY_DELAY_MS 100

typedef struct location {
	records_t *records;
	shard_t *shard;
	char *key; /* "shard/<n>" */
	char *hint; /* owner named by a peer; NULL if unknown */
	char *failed_peer; /* its last attempt gave no final result; NULL: none */
	bool candidate; /* placement assigns the shard to this node */
} location_t;

typedef struct follower {
	record_kind_t kind;
	record_each_t each;
	void *user_data;
} follower_t;

struct records {
	records_options_t options;
	uint32_t shard_count;
	placement_t *placement;
	location_t *locations;
	shard_budget_t budget;
	shard_stats_t stats;
	int64_t **counters; /* one per field of shard_stats_t, in order */
	int64_t *owned;
	int64_t *waiting;
	int64_t *forwarded;
	struct event *step_timer;
	struct event *step_event;
	int64_t candidates_updated_ms;
	uint64_t last_token; /* number in the last update's token */
	bool releasing;
	GHashTable *calls; /* set of call_t */
	GPtrArray *followers; /* follower_t */
	GPtrArray *scans; /* scan_t */
};

int64_t records_state_now_ms(const records_t *records);
record_t records_state_to_record(const ledger_record *from);
ledger_record records_state_from_record(const record_t *from);
const char *records_state_own_address(const records_t *records);
void records_state_schedule_step(records_t *records);
bool records_state_matches(const ledger_record *record, const char *owner_tag);

#endif
