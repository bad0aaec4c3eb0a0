#ifndef WASABILINK_COORD_LEDGER_INDEX_H
#define WASABILINK_COORD_LEDGER_INDEX_H

#include "coord/ledger_state.h"

/*
 * ledger_index - segments of a ledger by the fingerprints of their keys
 *
 * The index is a hash table with open addressing and 8 bytes per slot. Index
 * objects list the segments that the head does not list; index id 0 stands
 * for the head.
 */

void ledger_index_rebuild(ledger_t *ledger);
void ledger_index_add(ledger_t *ledger, segment_t *segment);
/* Returns the newest segment with an id below before_id that has the
 * fingerprint, or NULL. */
const segment_t *ledger_index_next(const ledger_t *ledger,
				   uint32_t key_fingerprint,
				   uint64_t before_id);
segment_t *ledger_index_segment(const ledger_t *ledger, uint64_t id);
/* The returned reference borrows the segment's fingerprints. */
ledger_segment_ref ledger_index_ref(const segment_t *segment);
GArray *ledger_index_refs(const ledger_t *ledger, uint64_t index_id);
void ledger_index_add_refs(ledger_t *ledger, ledger_segment_ref *refs,
			   guint count, uint64_t index_id);
index_object_t *ledger_index_object(const ledger_t *ledger, uint64_t id);
void ledger_index_remove(ledger_t *ledger, uint64_t id);
void ledger_index_garbage(ledger_t *ledger, uint64_t id, bool is_index);

#endif
