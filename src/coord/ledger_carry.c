#include "coord/ledger_carry.h"

#include "coord/ledger_cache.h"
#include "coord/ledger_index.h"
#include "coord/ledger_live.h"
#include "coord/ledger_record.h"

static segment_t *carry_choose(const ledger_t *ledger,
			       uint64_t sealed_before_ms)
{
	for (guint i = 0; i < ledger->segments->len; i++) {
		segment_t *segment = ledger->segments->pdata[i];

		if (!segment->expire_ms &&
		    segment->sealed_ms < sealed_before_ms)
			return segment;
	}
	return NULL;
}

/* Takes the segment out of the cache, so that loading others does not evict
 * it. */
static bool carry_start(ledger_t *ledger, uint64_t id)
{
	carry_t *carry = &ledger->carry;
	void *key = NULL;
	void *value = NULL;

	if (carry->cached)
		return true;
	if (!g_hash_table_steal_extended(ledger->cache, &id, &key, &value))
		return false;
	g_free(key);
	carry->id = id;
	carry->cached = value;
	carry->position = 0;
	carry->lookup = (ledger_lookup_t){ 0 };
	return true;
}

/* Returns the segment that is needed, or 0 when all records are done. */
static uint64_t carry_records(ledger_t *ledger, uint64_t now_ms)
{
	carry_t *carry = &ledger->carry;
	const ledger_segment *content = &carry->cached->segment;

	for (; carry->position < content->records.records_len;
	     carry->position++) {
		const ledger_record *record =
			&content->records.records_val[carry->position];
		ledger_status_t status = ledger_find(ledger, record->key,
						     now_ms, &carry->lookup);
		const ledger_record *current = carry->lookup.record;

		/* The segment itself is not in the cache; what needs it is
		 * in it, as nothing newer has the key. */
		if (status == LEDGER_NEED_SEGMENT &&
		    carry->lookup.segment != carry->id)
			return carry->lookup.segment;
		if ((status == LEDGER_NEED_SEGMENT ||
		     (current && current->revision == record->revision)) &&
		    !ledger_live_get(ledger, record->key) &&
		    !ledger_record_expired(record, now_ms))
			ledger_live_put(
				ledger,
				ledger_live_new(ledger,
						ledger_record_copy(record)));
		carry->lookup = (ledger_lookup_t){ 0 };
	}
	return 0;
}

uint64_t ledger_carry(ledger_t *ledger, uint64_t sealed_before_ms,
		      uint64_t now_ms)
{
	carry_t *carry = &ledger->carry;
	segment_t *segment = carry->id ?
				     ledger_index_segment(ledger, carry->id) :
				     carry_choose(ledger, sealed_before_ms);
	uint64_t needed;

	if (!segment)
		return 0;
	if (!carry_start(ledger, segment->id))
		return segment->id;
	needed = carry_records(ledger, now_ms);
	if (needed)
		return needed;
	/* Nothing in it is current any more. */
	segment->expire_ms = 1;
	ledger_cache_free(carry->cached);
	*carry = (carry_t){ 0 };
	return 0;
}
