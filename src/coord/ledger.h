#ifndef WASABILINK_COORD_LEDGER_H
#define WASABILINK_COORD_LEDGER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rpc/ledger_xdr.h"

/*
 * ledger - state of one shard: a map from key to versioned record.
 *
 * Recent records are live, in memory and in the shard's head object. Older
 * ones are sealed into segments, immutable objects. Of a segment only 32-bit
 * fingerprints of its keys stay in memory; a lookup that hits one needs the
 * segment's bytes, which the caller reads and hands in. Fingerprints of older
 * segments are stored in index objects, so that a successor reads the head
 * and few index objects instead of all segments.
 *
 * The module is pure: it neither reads a clock nor does I/O. Times are wall
 * clock milliseconds. Returned records are valid until the next call.
 */
typedef struct ledger ledger_t;

typedef enum ledger_status {
	LEDGER_APPLIED, /* update: applied now */
	LEDGER_REPEATED, /* update: was applied before, by its token */
	LEDGER_FOUND, /* find: record is set */
	LEDGER_ABSENT, /* no such record */
	LEDGER_CONFLICT, /* update: record is the current one */
	LEDGER_NEED_SEGMENT /* load the segment and call again */
} ledger_status_t;

/* Zero means the default. */
typedef struct ledger_options {
	/* Live bytes that start a seal; from 32 to 256 KiB, by the bytes of a
	 * commit. */
	uint32_t seal_bytes;
	uint32_t keep_bytes; /* that a seal keeps live; a quarter of it */
	/* Inline index bytes that are moved to an object; 16 KiB. */
	uint32_t index_bytes;
	uint32_t cached_segments; /* decoded segments in memory; 16 */
} ledger_options_t;

/*
 * Starts as zeroes. When a call returns LEDGER_NEED_SEGMENT, it is repeated
 * with the same lookup after the segment was loaded, and goes on from there:
 * of a key that shares its fingerprint with another, more segments may have
 * to be read than the cache holds.
 */
typedef struct ledger_lookup {
	const ledger_record *record;
	uint64_t segment; /* with LEDGER_NEED_SEGMENT */
	uint64_t before; /* internal: older segments are to be searched */
	uint64_t newest; /* internal: newest segment at the start */
} ledger_lookup_t;

typedef struct ledger_undo ledger_undo_t;

ledger_t *ledger_new(const ledger_options_t *options);
void ledger_free(ledger_t *ledger);

ledger_status_t ledger_find(ledger_t *ledger, const void *key, uint64_t now_ms,
			    ledger_lookup_t *found);

/*
 * Compare-and-set: update->revision is the expected version, 0 for a new
 * record. Sets *undo (to be ended by ledger_undo() or ledger_undo_free())
 * when it returns LEDGER_APPLIED.
 */
ledger_status_t ledger_update(ledger_t *ledger, const ledger_record *update,
			      const void *token, uint64_t now_ms,
			      ledger_lookup_t *found, ledger_undo_t **undo);
/* Takes an update back; updates are undone in reverse order. */
void ledger_undo(ledger_t *ledger, ledger_undo_t *undo);
void ledger_undo_free(ledger_undo_t *undo);

/* Bytes of a record in its encoded form. */
size_t ledger_record_bytes(const ledger_record *record);
size_t ledger_live_bytes(const ledger_t *ledger);
uint32_t ledger_live_count(const ledger_t *ledger);
uint32_t ledger_segment_count(const ledger_t *ledger);
/* Memory of the index and the fingerprints. */
size_t ledger_index_bytes(const ledger_t *ledger);
uint32_t ledger_index_objects(const ledger_t *ledger);

/* head gives owner, epoch, sequence and released; the rest is filled in.
 * Drops expired live records. */
GBytes *ledger_encode_head(ledger_t *ledger, const ledger_head *head,
			   uint64_t now_ms);
/* Fills an empty ledger. head, without its arrays, is the caller's to free
 * by xdr_free(). FALSE with WL_ERROR_PROTOCOL for other bytes. */
gboolean ledger_replay(ledger_t *ledger, const void *data, size_t len,
		       ledger_head *head, GError **error);
/* Id of an index object that replay still needs, or 0. */
uint64_t ledger_missing_index(const ledger_t *ledger);
gboolean ledger_load_index(ledger_t *ledger, uint64_t id, const void *data,
			   size_t len, GError **error);

/* Whether a head that is durable now may name the object. */
bool ledger_names(const ledger_t *ledger, uint64_t id, bool is_index);
/* Whether the segment is part of the ledger, and whether it is loaded. */
gboolean ledger_knows_segment(const ledger_t *ledger, uint64_t id);
gboolean ledger_has_segment(const ledger_t *ledger, uint64_t id);
gboolean ledger_load_segment(ledger_t *ledger, uint64_t id, const void *data,
			     size_t len, GError **error);

/*
 * An object that must be stored before the head may refer to it. The caller
 * stores data under the id and then calls ledger_write_done(); the next head
 * refers to it. At most one at a time, and only while no update waits to
 * become durable.
 */
typedef struct ledger_write {
	uint64_t id;
	bool is_index;
	GBytes *data;
	/* Internal. */
	GArray *covers;
	uint64_t replaces;
	uint32_t kind;
	uint64_t sealed_ms;
} ledger_write_t;

/* NULL when nothing is to be sealed or indexed. next_id must grow. */
ledger_write_t *ledger_write_next(ledger_t *ledger, uint64_t next_id,
				  uint64_t now_ms);
void ledger_write_done(ledger_t *ledger, ledger_write_t *write);
void ledger_write_free(ledger_write_t *write);

/*
 * A segment of updates that wait to become durable, so that their records
 * need not be sent with the head as well. The caller stores data under the id
 * and calls ledger_write_ahead_stored(): the next heads name the segment and
 * leave its records out. When such a head is durable, the caller calls
 * ledger_write_done(); when it is not, ledger_write_ahead_drop() before it
 * undoes the updates. NULL when nothing is to be sealed.
 */
ledger_write_t *ledger_write_ahead(ledger_t *ledger, uint64_t next_id,
				   uint64_t now_ms);
void ledger_write_ahead_stored(ledger_t *ledger, const ledger_write_t *write);
/* Also of a segment that was not stored. Frees write. */
void ledger_write_ahead_drop(ledger_t *ledger, ledger_write_t *write);

/* An object that no head refers to after the next durable head. */
typedef struct ledger_garbage {
	uint64_t id;
	bool is_index;
} ledger_garbage_t;

/* Forgets segments whose records have all expired. Appends ledger_garbage_t,
 * also of replaced index objects. */
void ledger_collect(ledger_t *ledger, uint64_t now_ms, GArray *garbage);

/*
 * Compaction: of the oldest segment that was sealed before the time and holds
 * records without expiry, makes what is current live again, so that the
 * segment can be forgotten. Only while no update waits to become durable, as
 * undoing one would bring an older version back. Returns the id of the segment that must be loaded
 * before the next call, or 0 when there is nothing more to do now.
 */
uint64_t ledger_carry(ledger_t *ledger, uint64_t sealed_before_ms,
		      uint64_t now_ms);

/* Segments of a kind, newest first, as uint64_t. */
GArray *ledger_segments(const ledger_t *ledger, uint32_t kind);
typedef void (*ledger_each_t)(const ledger_record *record, void *user_data);
/* Live records of a kind (segment 0), or the records of a loaded segment. */
void ledger_each(ledger_t *ledger, uint32_t kind, uint64_t segment,
		 uint64_t now_ms, ledger_each_t each, void *user_data);

/* Copies own their memory; free with ledger_record_free(). */
ledger_record *ledger_record_copy(const ledger_record *record);
void ledger_record_free(ledger_record *record);

#endif
