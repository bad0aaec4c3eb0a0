#ifndef WASABILINK_COORD_SHARD_STATE_H
#define WASABILINK_COORD_SHARD_STATE_H

#include "coord/shard.h"

/*
 * shard_state - types and state changes shared by the modules of the shard,
 * private to them
 */

#define SHARD_FIRST_RETRY_MS 50
#define SHARD_ORPHAN_RETRY_MS 10000

typedef enum op_kind { OP_GET, OP_UPDATE, OP_LIST } op_kind_t;

typedef struct op {
	op_kind_t kind;
	char key[LEDGER_KEY_BYTES];
	char token[LEDGER_TOKEN_BYTES];
	ledger_record *update;
	size_t bytes;
	int64_t deadline_ms;
	shard_done_t done;
	shard_list_done_t list_done;
	void *user_data;
	/* Outcome, reported once it is durable. */
	ledger_status_t status;
	ledger_lookup_t lookup;
	ledger_record *result;
	ledger_undo_t *undo;
	/* List. */
	uint32_t list_kind;
	GArray *segments; /* uint64_t; NULL until the live records are read */
	guint position;
	GHashTable *seen; /* keys in records */
	GPtrArray *records;
} op_t;

typedef struct head_write {
	GBytes *bytes; /* NULL: none pending */
	char *writer;
	uint64_t if_version;
	int64_t started_ms;
	bool acquiring;
	bool releasing;
	bool uncertain; /* some attempt got no response */
} head_write_t;

typedef struct orphan_sweep {
	bool is_index; /* lists index objects instead of segments */
	bool listing;
	char *after_key; /* last key of the previous page; NULL: first page */
	uint64_t epoch; /* at the start of the pending list call */
	int64_t next_sweep_ms;
} orphan_sweep_t;

struct shard {
	shard_options_t options;
	char *key;
	char *owner_address;
	char *owner_hint;
	bool owner;
	bool candidate;
	bool standby;
	bool releasing;
	bool freed;
	int64_t candidate_since_ms; /* time of the last change of candidate */
	uint32_t pending; /* store calls in flight */
	bool busy; /* a write, head or index read is in flight */
	bool reading_segment;
	bool removing;
	ledger_t *ledger; /* when owner or acquiring */
	uint64_t epoch;
	uint64_t sequence;
	uint64_t writes; /* counter in writer tokens */
	uint64_t last_id; /* last id of a segment or index object */
	uint64_t version; /* of the head that holds the ledger */
	int64_t written_ms; /* start of the last successful head write */
	int64_t retry_ms;
	uint32_t failures;
	/* While not the owner. */
	int64_t poll_ms;
	uint64_t seen_version;
	int64_t seen_since_ms;
	uint64_t unreadable_version; /* of a head with a missing index */
	/* While the owner. */
	head_write_t write;
	ledger_write_t *object_write;
	bool ahead; /* object_write contains updates of the batch */
	GPtrArray *batch; /* op_t in the pending head write */
	/* ledger_garbage_t, until the next durable head. */
	GArray *pending_garbage;
	GArray *garbage; /* ledger_garbage_t to remove */
	orphan_sweep_t orphans;
	uint64_t needed_segment;
	GQueue waiting; /* op_t */
	size_t waiting_bytes;
	GQueue refused; /* op_t */
};

int64_t shard_state_now_ms(const shard_t *shard);
uint64_t shard_state_wall_ms(const shard_t *shard);
void shard_state_notify(shard_t *shard, shard_event_t event);
/* Called first by every store completion, which does nothing else when this
 * returns false: shard_free() was called. */
bool shard_state_call_returned(shard_t *shard);
void shard_state_set_owner_hint(shard_t *shard, const char *writer);
void shard_state_clear_write(shard_t *shard);
void shard_state_drop_ledger(shard_t *shard);
void shard_state_drop_ownership(shard_t *shard);
bool shard_state_reads_valid(const shard_t *shard, int64_t now);
void shard_state_free_if_idle(shard_t *shard);

#endif
