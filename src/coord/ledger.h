#ifndef WASABILINK_COORD_LEDGER_H
#define WASABILINK_COORD_LEDGER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rpc/ledger_xdr.h"

/*
 * ledger - state of one shard: a map from key to versioned record
 *
 * Recent records are live: they are held in memory and in the shard's head
 * object. Older records are sealed into segments, which are immutable objects.
 * Only 32-bit fingerprints of a segment's keys stay in memory. A lookup that
 * matches a fingerprint needs the segment's content, which the caller reads
 * and passes to ledger_load_segment(). Fingerprints of older segments are
 * stored in index objects, so that a new owner reads the head and a few index
 * objects instead of all segments.
 *
 * The module reads no clock and does no I/O. Times are wall clock
 * milliseconds. Returned records are valid until the next call.
 */
typedef struct ledger ledger_t;

typedef enum ledger_status {
	LEDGER_APPLIED, /* update: applied by this call */
	LEDGER_REPEATED, /* update: its token was applied before */
	LEDGER_FOUND, /* find: record is set */
	LEDGER_ABSENT, /* no such record */
	LEDGER_CONFLICT, /* update: record is the current one */
	LEDGER_NEED_SEGMENT /* load the segment and repeat the call */
} ledger_status_t;

/* Zero means the default. */
typedef struct ledger_options {
	/* Live bytes above which records are sealed; by default 32 to 256 KiB,
	 * depending on the mean bytes of a commit. */
	uint32_t seal_bytes;
	uint32_t keep_bytes; /* kept live by a seal; seal_bytes / 4 */
	/* Index bytes in the head above which they are moved to an index
	 * object; 16 KiB. */
	uint32_t index_bytes;
	uint32_t cached_segments; /* decoded segments in memory; 16 */
} ledger_options_t;

/*
 * State of a lookup, initialized to zeroes. When a call returns
 * LEDGER_NEED_SEGMENT, the caller loads the segment and repeats the call with
 * the same lookup, which then continues with the next older segment. A restart
 * might never finish: when keys share a fingerprint, a lookup may need more
 * segments than the cache holds.
 */
typedef struct ledger_lookup {
	const ledger_record *record;
	uint64_t segment; /* with LEDGER_NEED_SEGMENT */
	uint64_t before; /* internal: search only segments below it */
	uint64_t newest; /* internal: newest segment at the first call */
} ledger_lookup_t;

typedef struct ledger_undo ledger_undo_t;

ledger_t *ledger_new(const ledger_options_t *options);
void ledger_free(ledger_t *ledger);

ledger_status_t ledger_find(ledger_t *ledger, const void *key, uint64_t now_ms,
			    ledger_lookup_t *found);

/*
 * Compare-and-set: update->revision is the expected version, 0 for a new
 * record. On LEDGER_APPLIED, *undo is set, and the caller passes it to
 * ledger_undo() or ledger_undo_free().
 */
ledger_status_t ledger_update(ledger_t *ledger, const ledger_record *update,
			      const void *token, uint64_t now_ms,
			      ledger_lookup_t *found, ledger_undo_t **undo);
/* Reverts an update. Updates must be reverted in reverse order. */
void ledger_undo(ledger_t *ledger, ledger_undo_t *undo);
void ledger_undo_free(ledger_undo_t *undo);

/* Encoded size of a record. */
size_t ledger_record_bytes(const ledger_record *record);
size_t ledger_live_bytes(const ledger_t *ledger);
uint32_t ledger_live_count(const ledger_t *ledger);
uint32_t ledger_segment_count(const ledger_t *ledger);
/* Memory used by the index and the fingerprints. */
size_t ledger_index_bytes(const ledger_t *ledger);
uint32_t ledger_index_objects(const ledger_t *ledger);

/* The caller sets owner, epoch, sequence and released in head; the other
 * fields are taken from the ledger. Drops expired live records. */
GBytes *ledger_encode_head(ledger_t *ledger, const ledger_head *head,
			   uint64_t now_ms);
/* Loads an encoded head into an empty ledger. Returns its other fields in
 * head, without the arrays; the caller frees it by xdr_free(). Returns FALSE
 * with WL_ERROR_PROTOCOL when the data is not a head of this format. */
gboolean ledger_replay(ledger_t *ledger, const void *data, size_t len,
		       ledger_head *head, GError **error);
/* Id of an index object that has to be loaded after ledger_replay(), or 0. */
uint64_t ledger_missing_index(const ledger_t *ledger);
gboolean ledger_load_index(ledger_t *ledger, uint64_t id, const void *data,
			   size_t len, GError **error);

/* Whether the currently durable head may refer to the object. */
bool ledger_references(const ledger_t *ledger, uint64_t id, bool is_index);
/* Whether the segment is part of the ledger, and whether it is in the cache. */
gboolean ledger_contains_segment(const ledger_t *ledger, uint64_t id);
gboolean ledger_segment_is_loaded(const ledger_t *ledger, uint64_t id);
gboolean ledger_load_segment(ledger_t *ledger, uint64_t id, const void *data,
			     size_t len, GError **error);

/*
 * A segment or index object that must be stored before the head may refer to
 * it. The caller stores data under the id and then calls ledger_write_done();
 * the next head refers to the object. At most one exists at a time, and only
 * while no update waits to become durable.
 */
typedef struct ledger_write {
	uint64_t id;
	bool is_index;
	GBytes *data;
	/* Internal. */
	GArray *entries;
	uint64_t replaces;
	uint32_t kind;
	uint64_t sealed_ms;
} ledger_write_t;

/* Returns NULL when nothing is to be sealed or indexed. next_id must be higher
 * than all earlier ids. */
ledger_write_t *ledger_write_next(ledger_t *ledger, uint64_t next_id,
				  uint64_t now_ms);
void ledger_write_done(ledger_t *ledger, ledger_write_t *write);
void ledger_write_free(ledger_write_t *write);

/*
 * Seals updates that wait to become durable into a segment, so that the head
 * does not have to contain their records as well. The caller stores data under
 * the id and calls ledger_write_ahead_stored(): the following heads refer to
 * the segment and omit its records. When such a head is durable, the caller
 * calls ledger_write_done(). When the head write fails, it calls
 * ledger_write_ahead_drop() before it reverts the updates. Returns NULL when
 * nothing is to be sealed.
 */
ledger_write_t *ledger_write_ahead(ledger_t *ledger, uint64_t next_id,
				   uint64_t now_ms);
void ledger_write_ahead_stored(ledger_t *ledger, const ledger_write_t *write);
/* Also for a segment that was not stored. Frees write. */
void ledger_write_ahead_drop(ledger_t *ledger, ledger_write_t *write);

/* An object to which the next durable head and its successors do not refer. */
typedef struct ledger_garbage {
	uint64_t id;
	bool is_index;
} ledger_garbage_t;

/* Removes segments whose records have all expired. Appends a ledger_garbage_t
 * for each, and for each replaced or empty index object. */
void ledger_collect(ledger_t *ledger, uint64_t now_ms, GArray *garbage);

/*
 * Compaction: takes the oldest segment that was sealed before the given time
 * and holds records without expiry, and makes its current records live again,
 * so that the segment can be removed. To be called only while no update waits
 * to become durable, since reverting one would restore an older version.
 * Returns the id of a segment that must be loaded before the next call, or 0
 * when no segment has to be loaded.
 */
uint64_t ledger_compact(ledger_t *ledger, uint64_t sealed_before_ms,
			uint64_t now_ms);

/* Ids of the segments of a kind, newest first, as uint64_t. */
GArray *ledger_segments(const ledger_t *ledger, uint32_t kind);
typedef void (*ledger_foreach_t)(const ledger_record *record, void *user_data);
/* Calls back for each unexpired record of a kind: of the live records (segment
 * 0) or of a loaded segment. */
void ledger_foreach(ledger_t *ledger, uint32_t kind, uint64_t segment,
		    uint64_t now_ms, ledger_foreach_t callback,
		    void *user_data);

/* Copies own their memory and are freed by ledger_record_free(). */
ledger_record *ledger_record_copy(const ledger_record *record);
void ledger_record_free(ledger_record *record);

#endif
