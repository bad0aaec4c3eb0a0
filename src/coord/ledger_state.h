#ifndef WASABILINK_COORD_LEDGER_STATE_H
#define WASABILINK_COORD_LEDGER_STATE_H

#include "coord/ledger.h"

/* ledger_state - types shared by the modules of the ledger, private to them */

#define LEDGER_MAX_KINDS 8
#define LEDGER_MIN_SLOTS 64

typedef struct live {
	ledger_record *record;
	uint64_t changed; /* sequence number of the change */
	uint64_t ahead; /* id of a segment stored before its head, or 0 */
	int refs;
} live_t;

typedef struct segment {
	uint64_t id;
	uint32_t kind;
	uint64_t sealed_ms;
	uint64_t expire_ms; /* 0: some record never expires */
	uint64_t index_id; /* 0: listed in the head */
	uint32_t *fingerprints;
	uint32_t count;
} segment_t;

typedef struct index_slot {
	uint32_t fingerprint;
	uint32_t segment; /* position in segments + 1; 0: free */
} index_slot_t;

typedef struct cached {
	ledger_segment segment;
	uint64_t last_use;
} cached_t;

typedef struct index_object {
	uint64_t id;
	bool loaded;
} index_object_t;

struct ledger_undo {
	char key[LEDGER_KEY_BYTES];
	live_t *previous; /* NULL: the key was not live */
};

/* The segment under compaction. */
typedef struct compaction {
	uint64_t id; /* 0: none */
	cached_t *cached; /* removed from the cache */
	u_int position;
	ledger_lookup_t lookup;
} compaction_t;

struct ledger {
	ledger_options_t options;
	GHashTable *live; /* record key -> live_t */
	size_t live_bytes;
	size_t kind_bytes[LEDGER_MAX_KINDS];
	uint64_t changes;
	GPtrArray *segments; /* segment_t, ascending ids */
	uint64_t first_segment; /* segments with lower ids were removed */
	index_slot_t *slots;
	uint32_t slot_count; /* power of two */
	uint32_t slots_used;
	GArray *indexes; /* index_object_t */
	GArray *garbage; /* ledger_garbage_t */
	GHashTable *cache; /* segment id -> cached_t */
	uint64_t use_count;
	compaction_t compaction;
	const ledger_write_t *ahead; /* stored, but not in a durable head */
	segment_t *ahead_segment;
	size_t new_bytes; /* of updates since the last commit */
	double commit_bytes; /* moving mean of new bytes per commit */
};

#endif
