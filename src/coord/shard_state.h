#ifndef WASABILINK_COORD_SHARD_STATE_H
#define WASABILINK_COORD_SHARD_STATE_H

#include "coord/shard.h"

/*
 * shard_state - types and state changes that the shard's modules share;
 * private to them.
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
	/* Outcome, to be told once it is durable. */
	ledger_status_t status;
	ledger_lookup_t lookup;
	ledger_record *answer;
	ledger_undo_t *undo;
	/* List. */
	uint32_t list_kind;
	GArray *segments; /* uint64_t; NULL until the live records are read */
	guint position;
	GHashTable *seen; /* keys of records */
	GPtrArray *records;
} op_t;

typedef struct head_write {
	GBytes *bytes; /* NULL: none pending */
	char *writer;
	uint64_t if_version;
	int64_t started_ms;
	bool acquiring;
	bool releasing;
	bool uncertain; /* some attempt got no answer */
} head_write_t;

typedef struct orphan_sweep {
	bool is_index; /* lists index objects, else segments */
	bool listing;
	char *after; /* last key of the last page; NULL: starts */
	uint64_t epoch; /* of the pending list */
	int64_t due_ms;
} orphan_sweep_t;

struct shard {
	shard_options_t options;
	char *key;
	char *owner_address;
	char *hint;
	bool owner;
	bool candidate;
	bool standby;
	bool releasing;
	bool freed;
	int64_t candidate_since_ms; /* of the last change */
	uint32_t pending; /* store calls */
	bool busy; /* a head, index or segment write or a poll is pending */
	bool reading_segment;
	bool removing;
	ledger_t *ledger; /* when owner or acquiring */
	uint64_t epoch;
	uint64_t sequence;
	uint64_t writes; /* for writer tokens */
	uint64_t ids;
	uint64_t version; /* of the head that the ledger is based on */
	int64_t written_ms; /* start of the last successful head write */
	int64_t retry_ms;
	uint32_t failures;
	/* Follower. */
	int64_t poll_ms;
	uint64_t seen_version;
	int64_t seen_since_ms;
	uint64_t unreadable_version; /* of a head that lacks an index */
	/* Owner. */
	head_write_t write;
	ledger_write_t *other_write;
	bool ahead; /* other_write holds updates of the batch */
	GPtrArray *batch; /* op_t in the pending head write */
	GArray *dropped; /* ledger_garbage_t, until the next durable head */
	GArray *garbage; /* ledger_garbage_t to remove */
	orphan_sweep_t orphans;
	uint64_t wanted_segment;
	GQueue waiting; /* op_t */
	size_t waiting_bytes;
	GQueue refused; /* op_t */
};

int64_t shard_state_now_ms(const shard_t *shard);
uint64_t shard_state_wall_ms(const shard_t *shard);
void shard_state_notify(shard_t *shard, shard_event_t event);
/* The pattern that every completion starts with. FALSE after shard_free(). */
bool shard_state_call_returned(shard_t *shard);
void shard_state_set_hint(shard_t *shard, const char *writer);
void shard_state_clear_write(shard_t *shard);
void shard_state_drop_ledger(shard_t *shard);
void shard_state_drop(shard_t *shard);
bool shard_state_reads_valid(const shard_t *shard, int64_t now);
void shard_state_check_freed(shard_t *shard);

#endif
