#include "coord/ledger_index.h"

static void slot_insert(ledger_t *ledger, uint32_t key_fingerprint,
			uint32_t segment)
{
	uint32_t mask = ledger->slot_count - 1;
	uint32_t at = key_fingerprint & mask;

	while (ledger->slots[at].segment)
		at = (at + 1) & mask;
	ledger->slots[at] = (index_slot_t){ key_fingerprint, segment };
	ledger->slots_used++;
}

void ledger_index_rebuild(ledger_t *ledger)
{
	uint32_t needed = 0;

	for (guint i = 0; i < ledger->segments->len; i++)
		needed += ((segment_t *)ledger->segments->pdata[i])->count;
	ledger->slot_count = LEDGER_MIN_SLOTS;
	while (ledger->slot_count < needed * 2)
		ledger->slot_count *= 2;
	g_free(ledger->slots);
	ledger->slots = g_new0(index_slot_t, ledger->slot_count);
	ledger->slots_used = 0;
	for (guint i = 0; i < ledger->segments->len; i++) {
		const segment_t *segment = ledger->segments->pdata[i];

		for (uint32_t j = 0; j < segment->count; j++)
			slot_insert(ledger, segment->fingerprints[j], i + 1);
	}
}

void ledger_index_add(ledger_t *ledger, segment_t *segment)
{
	g_ptr_array_add(ledger->segments, segment);
	if ((ledger->slots_used + segment->count) * 10ULL >
	    ledger->slot_count * 7ULL) {
		ledger_index_rebuild(ledger);
		return;
	}
	for (uint32_t i = 0; i < segment->count; i++)
		slot_insert(ledger, segment->fingerprints[i],
			    ledger->segments->len);
}

const segment_t *ledger_index_next(const ledger_t *ledger,
				   uint32_t key_fingerprint, uint64_t before_id)
{
	uint32_t mask = ledger->slot_count - 1;
	const segment_t *best = NULL;

	for (uint32_t at = key_fingerprint & mask; ledger->slots[at].segment;
	     at = (at + 1) & mask) {
		const segment_t *segment;

		if (ledger->slots[at].fingerprint != key_fingerprint)
			continue;
		segment =
			ledger->segments->pdata[ledger->slots[at].segment - 1];
		if (segment->id < before_id &&
		    (!best || segment->id > best->id))
			best = segment;
	}
	return best;
}

segment_t *ledger_index_segment(const ledger_t *ledger, uint64_t id)
{
	for (guint i = ledger->segments->len; i-- > 0;) {
		segment_t *segment = ledger->segments->pdata[i];

		if (segment->id == id)
			return segment;
	}
	return NULL;
}

ledger_segment_ref ledger_index_ref(const segment_t *segment)
{
	ledger_segment_ref ref = {
		.id = segment->id,
		.kind = segment->kind,
		.sealed_ms = segment->sealed_ms,
		.expire_ms = segment->expire_ms,
	};

	ref.fingerprints.fingerprints_len = segment->count;
	ref.fingerprints.fingerprints_val = segment->fingerprints;
	return ref;
}

GArray *ledger_index_refs(const ledger_t *ledger, uint64_t index_id)
{
	GArray *refs = g_array_new(FALSE, FALSE, sizeof(ledger_segment_ref));

	for (guint i = 0; i < ledger->segments->len; i++) {
		const segment_t *segment = ledger->segments->pdata[i];

		if (segment->index_id == index_id) {
			ledger_segment_ref ref = ledger_index_ref(segment);

			g_array_append_val(refs, ref);
		}
	}
	return refs;
}

void ledger_index_add_refs(ledger_t *ledger, ledger_segment_ref *refs,
			   guint count, uint64_t index_id)
{
	for (guint i = 0; i < count; i++) {
		ledger_segment_ref *ref = &refs[i];
		segment_t *segment;

		if (ref->id < ledger->first_segment)
			continue;
		segment = g_new0(segment_t, 1);
		segment->id = ref->id;
		segment->kind = ref->kind;
		segment->sealed_ms = ref->sealed_ms;
		segment->expire_ms = ref->expire_ms;
		segment->index_id = index_id;
		segment->count = ref->fingerprints.fingerprints_len;
		segment->fingerprints =
			g_memdup2(ref->fingerprints.fingerprints_val,
				  segment->count * sizeof(uint32_t));
		ledger_index_add(ledger, segment);
	}
}

index_object_t *ledger_index_object(const ledger_t *ledger, uint64_t id)
{
	for (guint i = 0; i < ledger->indexes->len; i++) {
		index_object_t *index =
			&g_array_index(ledger->indexes, index_object_t, i);

		if (index->id == id)
			return index;
	}
	return NULL;
}

void ledger_index_remove(ledger_t *ledger, uint64_t id)
{
	for (guint i = 0; i < ledger->indexes->len; i++) {
		if (g_array_index(ledger->indexes, index_object_t, i).id != id)
			continue;
		g_array_remove_index(ledger->indexes, i);
		ledger_index_garbage(ledger, id, true);
		return;
	}
}

void ledger_index_garbage(ledger_t *ledger, uint64_t id, bool is_index)
{
	ledger_garbage_t garbage = { id, is_index };

	g_array_append_val(ledger->garbage, garbage);
}

bool ledger_references(const ledger_t *ledger, uint64_t id, bool is_index)
{
	for (guint i = 0; i < ledger->garbage->len; i++) {
		const ledger_garbage_t *garbage =
			&g_array_index(ledger->garbage, ledger_garbage_t, i);

		if (garbage->id == id && garbage->is_index == is_index)
			return true;
	}
	return is_index ? ledger_index_object(ledger, id) != NULL :
			  ledger_index_segment(ledger, id) != NULL;
}

uint32_t ledger_segment_count(const ledger_t *ledger)
{
	return ledger->segments->len;
}

size_t ledger_index_bytes(const ledger_t *ledger)
{
	size_t bytes = ledger->slot_count * sizeof(index_slot_t);

	for (guint i = 0; i < ledger->segments->len; i++) {
		const segment_t *segment = ledger->segments->pdata[i];

		bytes += sizeof(*segment) +
			 segment->count * sizeof(*segment->fingerprints);
	}
	return bytes;
}

uint32_t ledger_index_objects(const ledger_t *ledger)
{
	return ledger->indexes->len;
}
