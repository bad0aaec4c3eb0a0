#include "coord/ledger_compact.h"

#include "coord/ledger_cache.h"
#include "coord/ledger_index.h"
#include "coord/ledger_live.h"
#include "coord/ledger_record.h"

static segment_t *compaction_choose(const ledger_t *ledger,
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

/* Takes the segment out of the cache, so that loading other segments does not
 * evict it. */
static bool compaction_start(ledger_t *ledger, uint64_t id)
{
	compaction_t *compaction = &ledger->compaction;
	void *key = NULL;
	void *value = NULL;

	if (compaction->cached)
		return true;
	if (!g_hash_table_steal_extended(ledger->cache, &id, &key, &value))
		return false;
	g_free(key);
	compaction->id = id;
	compaction->cached = value;
	compaction->position = 0;
	compaction->lookup = (ledger_lookup_t){ 0 };
	return true;
}

/* Returns the segment that must be loaded to continue, or 0 when all records
 * are processed. */
static uint64_t compaction_continue(ledger_t *ledger, uint64_t now_ms)
{
	compaction_t *compaction = &ledger->compaction;
	const ledger_segment *content = &compaction->cached->segment;

	for (; compaction->position < content->records.records_len;
	     compaction->position++) {
		const ledger_record *record =
			&content->records.records_val[compaction->position];
		ledger_status_t status = ledger_find(
			ledger, record->key, now_ms, &compaction->lookup);
		const ledger_record *current = compaction->lookup.record;

		/* The segment under compaction is not in the cache. A lookup
		 * that needs it found the key in no newer segment, so its
		 * record is the current one. */
		if (status == LEDGER_NEED_SEGMENT &&
		    compaction->lookup.segment != compaction->id)
			return compaction->lookup.segment;
		if ((status == LEDGER_NEED_SEGMENT ||
		     (current && current->revision == record->revision)) &&
		    !ledger_live_get(ledger, record->key) &&
		    !ledger_record_expired(record, now_ms))
			ledger_live_put(
				ledger,
				ledger_live_new(ledger,
						ledger_record_copy(record)));
		compaction->lookup = (ledger_lookup_t){ 0 };
	}
	return 0;
}

uint64_t ledger_compact(ledger_t *ledger, uint64_t sealed_before_ms,
			uint64_t now_ms)
{
	compaction_t *compaction = &ledger->compaction;
	segment_t *segment =
		compaction->id ? ledger_index_segment(ledger, compaction->id) :
				 compaction_choose(ledger, sealed_before_ms);
	uint64_t needed;

	if (!segment)
		return 0;
	if (!compaction_start(ledger, segment->id))
		return segment->id;
	needed = compaction_continue(ledger, now_ms);
	if (needed)
		return needed;
	/* No record in the segment is current: mark it as expired. */
	segment->expire_ms = 1;
	ledger_cache_free(compaction->cached);
	*compaction = (compaction_t){ 0 };
	return 0;
}
