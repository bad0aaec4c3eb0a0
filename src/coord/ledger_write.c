#include "coord/ledger_write.h"

#include <string.h>

#include "coord/ledger_cache.h"
#include "coord/ledger_index.h"
#include "coord/ledger_live.h"
#include "coord/ledger_record.h"
#include "coord/ledger_seal.h"

/* Index objects are merged up to this size, so that the segments of a day need
 * only a few of them, each well below the store's object size limit. */
#define MERGED_INDEX_BYTES (512 * 1024)
/* Largest segment; the store accepts objects of up to 1 MiB. */
#define MAX_SEGMENT_BYTES (900 * 1024)
#define SEGMENT_REF_BYTES 32
/* Smaller records are sealed last: most of them are claims that wait for their
 * result, and they add little to the head. */
#define SMALL_RECORD_BYTES 512

typedef struct write_entry {
	char key[LEDGER_KEY_BYTES];
	uint64_t number; /* of the live entry's change, or segment id */
} write_entry_t;

static bool is_small(const live_t *live)
{
	return ledger_record_bytes(live->record) < SMALL_RECORD_BYTES;
}

static int compare_seal_order(const void *a, const void *b)
{
	const live_t *left = *(live_t *const *)a;
	const live_t *right = *(live_t *const *)b;
	bool left_small = is_small(left);
	bool right_small = is_small(right);

	if (left_small != right_small)
		return left_small - right_small;
	return (left->changed > right->changed) -
	       (left->changed < right->changed);
}

/* Returns the live records of the kind in the order in which they are sealed:
 * large records first, then by the time of their last change. */
static GPtrArray *live_to_seal(const ledger_t *ledger, uint32_t kind)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ledger->live);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (ledger_live_kind(((live_t *)value)->record) == kind)
			g_ptr_array_add(found, value);
	g_ptr_array_sort(found, compare_seal_order);
	return found;
}

static uint32_t largest_kind(const ledger_t *ledger)
{
	uint32_t best = 0;

	for (uint32_t kind = 1; kind < LEDGER_MAX_KINDS; kind++)
		if (ledger->kind_bytes[kind] > ledger->kind_bytes[best])
			best = kind;
	return best;
}

static void choose_records(const ledger_t *ledger, uint32_t kind,
			   GArray *records, GArray *entries)
{
	GPtrArray *candidates = live_to_seal(ledger, kind);
	size_t remaining = ledger->kind_bytes[kind];
	size_t taken = 0;
	uint32_t keep = ledger_seal_keep_bytes(ledger);

	for (guint i = 0; i < candidates->len; i++) {
		const live_t *live = candidates->pdata[i];
		const ledger_record *record = live->record;
		size_t bytes = ledger_record_bytes(record);
		write_entry_t entry = { .number = live->changed };

		if (remaining <= keep || taken + bytes > MAX_SEGMENT_BYTES)
			break;
		memcpy(entry.key, record->key, sizeof(entry.key));
		g_array_append_vals(records, record, 1);
		g_array_append_val(entries, entry);
		remaining -= bytes;
		taken += bytes;
	}
	g_ptr_array_free(candidates, TRUE);
}

static ledger_write_t *write_segment(ledger_t *ledger, uint64_t id,
				     uint64_t now_ms)
{
	ledger_write_t *write = g_new0(ledger_write_t, 1);
	GArray *records = g_array_new(FALSE, FALSE, sizeof(ledger_record));
	ledger_segment segment = { .format = LEDGER_FORMAT };

	write->id = id;
	write->kind = largest_kind(ledger);
	write->sealed_ms = now_ms;
	write->entries = g_array_new(FALSE, TRUE, sizeof(write_entry_t));
	choose_records(ledger, write->kind, records, write->entries);
	g_array_sort(records, ledger_record_compare);
	segment.records.records_len = records->len;
	segment.records.records_val = (ledger_record *)(void *)records->data;
	write->data =
		ledger_record_encode((xdrproc_t)xdr_ledger_segment, &segment);
	g_array_free(records, TRUE);
	return write;
}

static size_t refs_bytes(const GArray *refs)
{
	size_t bytes = 0;

	for (guint i = 0; i < refs->len; i++)
		bytes += SEGMENT_REF_BYTES +
			 4UL * g_array_index(refs, ledger_segment_ref, i)
					 .fingerprints.fingerprints_len;
	return bytes;
}

static ledger_write_t *write_index(ledger_t *ledger, uint64_t id, GArray *refs)
{
	ledger_write_t *write = g_new0(ledger_write_t, 1);
	ledger_index index = { .format = LEDGER_FORMAT };

	write->id = id;
	write->is_index = true;
	write->entries = g_array_new(FALSE, TRUE, sizeof(write_entry_t));
	if (ledger->indexes->len) {
		uint64_t last = g_array_index(ledger->indexes, index_object_t,
					      ledger->indexes->len - 1)
					.id;
		GArray *old = ledger_index_refs(ledger, last);

		if (refs_bytes(old) + refs_bytes(refs) <= MERGED_INDEX_BYTES) {
			write->replaces = last;
			g_array_append_vals(refs, old->data, old->len);
		}
		g_array_free(old, TRUE);
	}
	for (guint i = 0; i < refs->len; i++) {
		write_entry_t entry = {
			.number = g_array_index(refs, ledger_segment_ref, i).id
		};

		g_array_append_val(write->entries, entry);
	}
	index.segments.segments_len = refs->len;
	index.segments.segments_val = (ledger_segment_ref *)(void *)refs->data;
	write->data = ledger_record_encode((xdrproc_t)xdr_ledger_index, &index);
	return write;
}

ledger_write_t *ledger_write_ahead(ledger_t *ledger, uint64_t next_id,
				   uint64_t now_ms)
{
	uint32_t limit = ledger_seal_bytes(ledger);

	if (ledger->live_bytes > limit)
		ledger_live_drop_expired(ledger, now_ms);
	if (ledger->live_bytes <= limit ||
	    ledger->kind_bytes[largest_kind(ledger)] <=
		    ledger_seal_keep_bytes(ledger))
		return NULL;
	return write_segment(ledger, next_id, now_ms);
}

ledger_write_t *ledger_write_next(ledger_t *ledger, uint64_t next_id,
				  uint64_t now_ms)
{
	ledger_write_t *write = ledger_write_ahead(ledger, next_id, now_ms);
	GArray *refs;

	if (write)
		return write;
	refs = ledger_index_refs(ledger, 0);
	if (refs_bytes(refs) > ledger->options.index_bytes)
		write = write_index(ledger, next_id, refs);
	g_array_free(refs, TRUE);
	return write;
}

static void index_written(ledger_t *ledger, const ledger_write_t *write)
{
	index_object_t index = { write->id, true };

	for (guint i = 0; i < write->entries->len; i++) {
		segment_t *segment = ledger_index_segment(
			ledger,
			g_array_index(write->entries, write_entry_t, i).number);

		if (segment)
			segment->index_id = write->id;
	}
	if (write->replaces)
		ledger_index_remove(ledger, write->replaces);
	g_array_append_val(ledger->indexes, index);
}

static segment_t *segment_from(const ledger_write_t *write,
			       const cached_t *cached)
{
	const ledger_segment *content = &cached->segment;
	segment_t *segment = g_new0(segment_t, 1);
	bool has_permanent = false;

	segment->id = write->id;
	segment->kind = write->kind;
	segment->sealed_ms = write->sealed_ms;
	segment->count = content->records.records_len;
	segment->fingerprints = g_new(uint32_t, segment->count + 1);
	for (u_int i = 0; i < segment->count; i++) {
		const ledger_record *record = &content->records.records_val[i];

		segment->fingerprints[i] =
			ledger_record_fingerprint(record->key);
		has_permanent = has_permanent || record->expire_ms == 0;
		segment->expire_ms = MAX(segment->expire_ms, record->expire_ms);
	}
	if (has_permanent)
		segment->expire_ms = 0;
	return segment;
}

/* Decodes the segment's data, as a reader does, into its index entry and the
 * cache. */
static segment_t *segment_decode(ledger_t *ledger, const ledger_write_t *write)
{
	gsize len;
	const void *data = g_bytes_get_data(write->data, &len);

	if (!ledger_load_segment(ledger, write->id, data, len, NULL))
		return NULL;
	return segment_from(write, ledger_cache_get(ledger, write->id));
}

/* Returns the live entry that was written, or NULL if it has changed since. The
 * revision does not tell: it starts again when the record has expired. */
static live_t *find_unchanged(const ledger_t *ledger,
			      const write_entry_t *entry)
{
	live_t *live = ledger_live_get(ledger, entry->key);

	return live && live->changed == entry->number ? live : NULL;
}

static void segment_written(ledger_t *ledger, const ledger_write_t *write)
{
	segment_t *segment = ledger->ahead == write ?
				     ledger->ahead_segment :
				     segment_decode(ledger, write);

	if (ledger->ahead == write) {
		ledger->ahead = NULL;
		ledger->ahead_segment = NULL;
	}
	if (!segment)
		return;
	ledger_index_add(ledger, segment);
	for (guint i = 0; i < write->entries->len; i++) {
		const write_entry_t *entry =
			&g_array_index(write->entries, write_entry_t, i);

		if (find_unchanged(ledger, entry))
			ledger_live_remove(ledger, entry->key);
	}
}

void ledger_write_ahead_stored(ledger_t *ledger, const ledger_write_t *write)
{
	ledger->ahead_segment = segment_decode(ledger, write);
	if (!ledger->ahead_segment)
		return;
	ledger->ahead = write;
	for (guint i = 0; i < write->entries->len; i++) {
		live_t *live = find_unchanged(
			ledger,
			&g_array_index(write->entries, write_entry_t, i));

		if (live)
			live->ahead = write->id;
	}
}

void ledger_write_ahead_drop(ledger_t *ledger, ledger_write_t *write)
{
	if (ledger->ahead == write) {
		ledger->ahead = NULL;
		g_free(ledger->ahead_segment->fingerprints);
		g_free(ledger->ahead_segment);
		ledger->ahead_segment = NULL;
		g_hash_table_remove(ledger->cache, &write->id);
	}
	ledger_write_free(write);
}

void ledger_write_done(ledger_t *ledger, ledger_write_t *write)
{
	if (write->is_index)
		index_written(ledger, write);
	else
		segment_written(ledger, write);
	ledger_write_free(write);
}

void ledger_write_free(ledger_write_t *write)
{
	if (!write)
		return;
	g_bytes_unref(write->data);
	g_array_free(write->entries, TRUE);
	g_free(write);
}
