#ifndef WASABILINK_COORD_LEDGER_STATE_H
#define WASABILINK_COORD_LEDGER_STATE_H

#include "coord/ledger.h"

/* ledger_state - types that the ledger's modules share; private to them. */

#define LEDGER_MAX_KINDS 8
#define LEDGER_MIN_SLOTS 64

typedef struct live {
	ledger_record *record;
	uint64_t changed; /* order of changes */
	uint64_t ahead; /* segment stored ahead of the head that holds it */
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
	uint64_t used;
} cached_t;

typedef struct index_object {
	uint64_t id;
	bool loaded;
} index_object_t;

struct ledger_undo {
	char key[LEDGER_KEY_BYTES];
	live_t *previous; /* NULL: was not live */
};

/* The segment under compaction. */
typedef struct carry {
	uint64_t id; /* 0: none */
	cached_t *cached; /* taken out of the cache */
	u_int position;
	ledger_lookup_t lookup;
} carry_t;

struct ledger {
	ledger_options_t options;
	GHashTable *live; /* record key -> live_t */
	size_t live_bytes;
	size_t kind_bytes[LEDGER_MAX_KINDS];
	uint64_t changes;
	GPtrArray *segments; /* segment_t, ascending ids */
	uint64_t first_segment; /* older ones were forgotten */
	index_slot_t *slots;
	uint32_t slot_count; /* power of two */
	uint32_t slots_used;
	GArray *indexes; /* index_object_t */
	GArray *garbage; /* ledger_garbage_t */
	GHashTable *cache; /* segment id -> cached_t */
	uint64_t uses;
	carry_t carry;
	const ledger_write_t *ahead; /* stored, but no durable head names it */
	segment_t *ahead_segment;
	size_t new_bytes; /* of updates since the last head */
	double commit_bytes; /* mean new bytes of a head */
};

#endif
