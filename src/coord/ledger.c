#include "coord/ledger.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "coord/ledger_cache.h"
#include "coord/ledger_index.h"
#include "coord/ledger_live.h"
#include "coord/ledger_record.h"
#include "coord/ledger_seal.h"

/* Every commit writes the index in the head, and every move of it to an index
 * object writes up to 512 KiB. At 1.5 KB/s of index growth and 2.8 commits/s
 * the sum of both is minimal near this size. */
#define DEFAULT_INDEX_BYTES (16 * 1024)
#define DEFAULT_CACHED_SEGMENTS 16

static void segment_free(void *data)
{
	segment_t *segment = data;

	g_free(segment->fingerprints);
	g_free(segment);
}

ledger_t *ledger_new(const ledger_options_t *options)
{
	ledger_t *ledger = g_new0(ledger_t, 1);

	if (options)
		ledger->options = *options;
	if (!ledger->options.index_bytes)
		ledger->options.index_bytes = DEFAULT_INDEX_BYTES;
	if (!ledger->options.cached_segments)
		ledger->options.cached_segments = DEFAULT_CACHED_SEGMENTS;
	ledger->live = g_hash_table_new_full(ledger_live_key_hash,
					     ledger_live_key_equal, NULL,
					     ledger_live_unref);
	ledger->segments = g_ptr_array_new_with_free_func(segment_free);
	ledger->slot_count = LEDGER_MIN_SLOTS;
	ledger->slots = g_new0(index_slot_t, ledger->slot_count);
	ledger->indexes = g_array_new(FALSE, TRUE, sizeof(index_object_t));
	ledger->garbage = g_array_new(FALSE, TRUE, sizeof(ledger_garbage_t));
	ledger->cache = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, ledger_cache_free);
	return ledger;
}

void ledger_free(ledger_t *ledger)
{
	if (!ledger)
		return;
	g_hash_table_destroy(ledger->live);
	g_ptr_array_free(ledger->segments, TRUE);
	g_free(ledger->slots);
	g_array_free(ledger->indexes, TRUE);
	g_array_free(ledger->garbage, TRUE);
	g_hash_table_destroy(ledger->cache);
	if (ledger->compaction.cached)
		ledger_cache_free(ledger->compaction.cached);
	if (ledger->ahead_segment)
		segment_free(ledger->ahead_segment);
	g_free(ledger);
}

static uint64_t newest_segment(const ledger_t *ledger)
{
	guint count = ledger->segments->len;

	return count ? ((segment_t *)ledger->segments->pdata[count - 1])->id :
		       0;
}

/* Continues where an earlier call with the same lookup stopped, unless a
 * segment was added in the meantime. */
static ledger_status_t find_sealed(ledger_t *ledger, const void *key,
				   ledger_lookup_t *found)
{
	uint64_t newest = newest_segment(ledger);
	const segment_t *segment;

	if (!found->before || found->newest != newest)
		found->before = UINT64_MAX;
	found->newest = newest;
	while ((segment = ledger_index_next(ledger,
					    ledger_record_fingerprint(key),
					    found->before))) {
		const cached_t *cached = ledger_cache_get(ledger, segment->id);

		if (!cached) {
			found->segment = segment->id;
			return LEDGER_NEED_SEGMENT;
		}
		found->before = segment->id;
		found->record = ledger_cache_find(cached, key);
		if (found->record)
			break;
	}
	found->before = 0;
	return found->record ? LEDGER_FOUND : LEDGER_ABSENT;
}

ledger_status_t ledger_find(ledger_t *ledger, const void *key, uint64_t now_ms,
			    ledger_lookup_t *found)
{
	const live_t *live = ledger_live_get(ledger, key);

	found->record = live ? live->record : NULL;
	found->segment = 0;
	if (!live && find_sealed(ledger, key, found) == LEDGER_NEED_SEGMENT)
		return LEDGER_NEED_SEGMENT;
	if (!found->record || ledger_record_expired(found->record, now_ms)) {
		found->record = NULL;
		return LEDGER_ABSENT;
	}
	return LEDGER_FOUND;
}

static bool has_token(const ledger_record *record, const void *token)
{
	for (size_t at = 0; at < LEDGER_TOKENS_BYTES; at += LEDGER_TOKEN_BYTES)
		if (memcmp(record->tokens + at, token, LEDGER_TOKEN_BYTES) == 0)
			return true;
	return false;
}

static ledger_record *next_record(const ledger_record *current,
				  const ledger_record *update,
				  const void *token)
{
	ledger_record *record = ledger_record_copy(update);

	record->revision = update->revision + 1;
	memset(record->tokens, 0, sizeof(record->tokens));
	memcpy(record->tokens, token, LEDGER_TOKEN_BYTES);
	if (current)
		memcpy(record->tokens + LEDGER_TOKEN_BYTES, current->tokens,
		       LEDGER_TOKENS_BYTES - LEDGER_TOKEN_BYTES);
	return record;
}

ledger_status_t ledger_update(ledger_t *ledger, const ledger_record *update,
			      const void *token, uint64_t now_ms,
			      ledger_lookup_t *found, ledger_undo_t **undo)
{
	ledger_status_t status =
		ledger_find(ledger, update->key, now_ms, found);
	const ledger_record *current = found->record;
	live_t *previous;
	live_t *live;

	*undo = NULL;
	if (status == LEDGER_NEED_SEGMENT)
		return status;
	if (current && has_token(current, token))
		return LEDGER_REPEATED;
	if ((current ? current->revision : 0) != update->revision)
		return current ? LEDGER_CONFLICT : LEDGER_ABSENT;
	previous = ledger_live_get(ledger, update->key);
	if (previous)
		previous->refs++;
	*undo = g_new0(ledger_undo_t, 1);
	memcpy((*undo)->key, update->key, LEDGER_KEY_BYTES);
	(*undo)->previous = previous;
	live = ledger_live_new(ledger, next_record(current, update, token));
	ledger_live_put(ledger, live);
	ledger_seal_add(ledger, ledger_record_bytes(live->record));
	found->record = live->record;
	return LEDGER_APPLIED;
}

void ledger_undo_free(ledger_undo_t *undo)
{
	if (!undo)
		return;
	if (undo->previous)
		ledger_live_unref(undo->previous);
	g_free(undo);
}

void ledger_undo(ledger_t *ledger, ledger_undo_t *undo)
{
	ledger_live_remove(ledger, undo->key);
	if (undo->previous) {
		ledger_live_put(ledger, undo->previous);
		undo->previous = NULL;
	}
	ledger_undo_free(undo);
}

GBytes *ledger_encode_head(ledger_t *ledger, const ledger_head *head,
			   uint64_t now_ms)
{
	ledger_head full = *head;
	GArray *refs = ledger_index_refs(ledger, 0);
	uint64_t *indexes = g_new0(uint64_t, ledger->indexes->len + 1);
	ledger_record *records;
	GHashTableIter iter;
	void *value;
	guint count = 0;
	GBytes *bytes;

	ledger_seal_commit(ledger);
	ledger_live_drop_expired(ledger, now_ms);
	records = g_new(ledger_record, g_hash_table_size(ledger->live) + 1);
	g_hash_table_iter_init(&iter, ledger->live);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!ledger_live_is_ahead(ledger, value))
			records[count++] = *((live_t *)value)->record;
	if (ledger->ahead_segment) {
		ledger_segment_ref ref =
			ledger_index_ref(ledger->ahead_segment);

		g_array_append_val(refs, ref);
	}
	for (guint i = 0; i < ledger->indexes->len; i++)
		indexes[i] =
			g_array_index(ledger->indexes, index_object_t, i).id;
	full.format = LEDGER_FORMAT;
	full.first_segment = ledger->first_segment;
	full.records.records_len = count;
	full.records.records_val = records;
	full.segments.segments_len = refs->len;
	full.segments.segments_val = (ledger_segment_ref *)(void *)refs->data;
	full.indexes.indexes_len = ledger->indexes->len;
	full.indexes.indexes_val = indexes;
	bytes = ledger_record_encode((xdrproc_t)xdr_ledger_head, &full);
	g_free(records);
	g_free(indexes);
	g_array_free(refs, TRUE);
	return bytes;
}

/* Moves the decoded records into the live map without copying their data. */
static void load_live_records(ledger_t *ledger, ledger_head *head)
{
	for (u_int i = 0; i < head->records.records_len; i++) {
		ledger_record *record = ledger_record_copy_bytes(
			&head->records.records_val[i], sizeof(*record));

		ledger_live_put(ledger, ledger_live_new(ledger, record));
	}
	free(head->records.records_val);
	head->records.records_val = NULL;
	head->records.records_len = 0;
}

static void clear_segments(ledger_head *head)
{
	for (u_int i = 0; i < head->segments.segments_len; i++)
		free(head->segments.segments_val[i]
			     .fingerprints.fingerprints_val);
	free(head->segments.segments_val);
	free(head->indexes.indexes_val);
	head->segments.segments_val = NULL;
	head->segments.segments_len = 0;
	head->indexes.indexes_val = NULL;
	head->indexes.indexes_len = 0;
}

gboolean ledger_replay(ledger_t *ledger, const void *data, size_t len,
		       ledger_head *head, GError **error)
{
	memset(head, 0, sizeof(*head));
	if (!ledger_record_decode((xdrproc_t)xdr_ledger_head, head, data, len,
				  "shard head", error) ||
	    head->format != LEDGER_FORMAT) {
		if (error && !*error)
			g_set_error(error, WL_ERROR, WL_ERROR_PROTOCOL,
				    "shard head of unknown format %u",
				    head->format);
		xdr_free((xdrproc_t)xdr_ledger_head, (char *)head);
		memset(head, 0, sizeof(*head));
		return FALSE;
	}
	ledger->first_segment = head->first_segment;
	load_live_records(ledger, head);
	ledger_index_add_refs(ledger, head->segments.segments_val,
			      head->segments.segments_len, 0);
	for (u_int i = 0; i < head->indexes.indexes_len; i++) {
		index_object_t index = { head->indexes.indexes_val[i], false };

		g_array_append_val(ledger->indexes, index);
	}
	clear_segments(head);
	return TRUE;
}

uint64_t ledger_missing_index(const ledger_t *ledger)
{
	for (guint i = 0; i < ledger->indexes->len; i++) {
		const index_object_t *index =
			&g_array_index(ledger->indexes, index_object_t, i);

		if (!index->loaded)
			return index->id;
	}
	return 0;
}

static int compare_segments(const void *a, const void *b)
{
	const segment_t *left = *(segment_t *const *)a;
	const segment_t *right = *(segment_t *const *)b;

	return (left->id > right->id) - (left->id < right->id);
}

gboolean ledger_load_index(ledger_t *ledger, uint64_t id, const void *data,
			   size_t len, GError **error)
{
	index_object_t *object = ledger_index_object(ledger, id);
	ledger_index index = { 0 };
	gboolean ok = ledger_record_decode((xdrproc_t)xdr_ledger_index, &index,
					   data, len, "index", error);

	if (ok && object && !object->loaded) {
		object->loaded = true;
		ledger_index_add_refs(ledger, index.segments.segments_val,
				      index.segments.segments_len, id);
		g_ptr_array_sort(ledger->segments, compare_segments);
		ledger_index_rebuild(ledger);
	}
	xdr_free((xdrproc_t)xdr_ledger_index, (char *)&index);
	return ok;
}

gboolean ledger_contains_segment(const ledger_t *ledger, uint64_t id)
{
	return ledger_index_segment(ledger, id) != NULL;
}

static void remove_empty_indexes(ledger_t *ledger)
{
	for (guint i = ledger->indexes->len; i-- > 0;) {
		index_object_t index =
			g_array_index(ledger->indexes, index_object_t, i);
		GArray *refs = ledger_index_refs(ledger, index.id);

		if (index.loaded && refs->len == 0)
			ledger_index_remove(ledger, index.id);
		g_array_free(refs, TRUE);
	}
}

void ledger_collect(ledger_t *ledger, uint64_t now_ms, GArray *garbage)
{
	guint before = ledger->segments->len;

	/* Oldest first: a newer segment must keep hiding older versions of its
	 * keys. */
	while (ledger->segments->len) {
		const segment_t *segment = ledger->segments->pdata[0];
		uint64_t id = segment->id;

		if (!segment->expire_ms || segment->expire_ms > now_ms)
			break;
		ledger_index_garbage(ledger, id, false);
		ledger->first_segment = id + 1;
		g_hash_table_remove(ledger->cache, &id);
		g_ptr_array_remove_index(ledger->segments, 0);
	}
	if (ledger->segments->len != before) {
		ledger_index_rebuild(ledger);
		remove_empty_indexes(ledger);
	}
	g_array_append_vals(garbage, ledger->garbage->data,
			    ledger->garbage->len);
	g_array_set_size(ledger->garbage, 0);
}

static int compare_newest(const void *a, const void *b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return (left < right) - (left > right);
}

GArray *ledger_segments(const ledger_t *ledger, uint32_t kind)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (guint i = 0; i < ledger->segments->len; i++) {
		const segment_t *segment = ledger->segments->pdata[i];

		if (segment->kind == kind)
			g_array_append_val(ids, segment->id);
	}
	g_array_sort(ids, compare_newest);
	return ids;
}

static void foreach_live(ledger_t *ledger, uint32_t kind, uint64_t now_ms,
			 ledger_foreach_t callback, void *user_data)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ledger->live);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ledger_record *record = ((live_t *)value)->record;

		if (record->kind == kind &&
		    !ledger_record_expired(record, now_ms))
			callback(record, user_data);
	}
}

void ledger_foreach(ledger_t *ledger, uint32_t kind, uint64_t segment,
		    uint64_t now_ms, ledger_foreach_t callback, void *user_data)
{
	const cached_t *cached;

	if (!segment) {
		foreach_live(ledger, kind, now_ms, callback, user_data);
		return;
	}
	cached = ledger_cache_get(ledger, segment);
	if (!cached)
		return;
	for (u_int i = 0; i < cached->segment.records.records_len; i++) {
		const ledger_record *record =
			&cached->segment.records.records_val[i];

		if (record->kind == kind &&
		    !ledger_record_expired(record, now_ms))
			callback(record, user_data);
	}
}
