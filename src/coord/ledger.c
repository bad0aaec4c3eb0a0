#include "coord/ledger.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"

#define DEFAULT_SEAL_BYTES (256 * 1024)
#define DEFAULT_KEEP_BYTES (64 * 1024)
#define DEFAULT_INDEX_BYTES (64 * 1024)
#define DEFAULT_CACHED_SEGMENTS 4
/* An index object grows by merging up to this size, so that a day of segments
 * needs few of them, each well below the store's limit. */
#define MERGED_INDEX_BYTES (512 * 1024)
/* Largest segment; the store takes 1 MiB. */
#define MAX_SEGMENT_BYTES (900 * 1024)
#define RECORD_OVERHEAD_BYTES \
	(LEDGER_KEY_BYTES + 4 + 8 + 8 + 4 + 4 + LEDGER_TOKENS_BYTES)
#define SEGMENT_REF_BYTES 32
#define MIN_SLOTS 64
#define MAX_KINDS 8

typedef struct live {
	ledger_record *record;
	uint64_t changed; /* order of changes */
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
	size_t kind_bytes[MAX_KINDS];
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
};

typedef struct cover {
	char key[LEDGER_KEY_BYTES];
	uint64_t number; /* record revision, or segment id */
} cover_t;

static guint key_hash(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, LEDGER_KEY_BYTES) == 0;
}

static uint32_t fingerprint(const void *key)
{
	const uint8_t *b = key;

	return (uint32_t)b[0] << 24 | (uint32_t)b[1] << 16 |
	       (uint32_t)b[2] << 8 | b[3];
}

/* The XDR routines release with free(), so copies use malloc(). */
static void *copy_bytes(const void *data, size_t len)
{
	void *copy = malloc(len ? len : 1);

	g_assert(copy);
	if (len)
		memcpy(copy, data, len);
	return copy;
}

ledger_record *ledger_record_copy(const ledger_record *record)
{
	ledger_record *copy = copy_bytes(record, sizeof(*record));
	const char *tag = record->owner_tag ? record->owner_tag : "";

	copy->owner_tag = copy_bytes(tag, strlen(tag) + 1);
	copy->data.data_val =
		copy_bytes(record->data.data_val, record->data.data_len);
	return copy;
}

void ledger_record_free(ledger_record *record)
{
	if (!record)
		return;
	free(record->owner_tag);
	free(record->data.data_val);
	free(record);
}

size_t ledger_record_bytes(const ledger_record *record)
{
	return RECORD_OVERHEAD_BYTES + (strlen(record->owner_tag) + 3) / 4 * 4 +
	       ((size_t)record->data.data_len + 3) / 4 * 4;
}

static void live_unref(void *data)
{
	live_t *live = data;

	if (--live->refs > 0)
		return;
	ledger_record_free(live->record);
	g_free(live);
}

static void segment_free(void *data)
{
	segment_t *segment = data;

	g_free(segment->fingerprints);
	g_free(segment);
}

static void cached_free(void *data)
{
	cached_t *cached = data;

	xdr_free((xdrproc_t)xdr_ledger_segment, (char *)&cached->segment);
	g_free(cached);
}

ledger_t *ledger_new(const ledger_options_t *options)
{
	ledger_t *ledger = g_new0(ledger_t, 1);

	if (options)
		ledger->options = *options;
	if (!ledger->options.seal_bytes)
		ledger->options.seal_bytes = DEFAULT_SEAL_BYTES;
	if (!ledger->options.keep_bytes)
		ledger->options.keep_bytes = DEFAULT_KEEP_BYTES;
	if (!ledger->options.index_bytes)
		ledger->options.index_bytes = DEFAULT_INDEX_BYTES;
	if (!ledger->options.cached_segments)
		ledger->options.cached_segments = DEFAULT_CACHED_SEGMENTS;
	ledger->live =
		g_hash_table_new_full(key_hash, key_equal, NULL, live_unref);
	ledger->segments = g_ptr_array_new_with_free_func(segment_free);
	ledger->slot_count = MIN_SLOTS;
	ledger->slots = g_new0(index_slot_t, ledger->slot_count);
	ledger->indexes = g_array_new(FALSE, TRUE, sizeof(index_object_t));
	ledger->garbage = g_array_new(FALSE, TRUE, sizeof(ledger_garbage_t));
	ledger->cache = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, cached_free);
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
	if (ledger->carry.cached)
		cached_free(ledger->carry.cached);
	g_free(ledger);
}

size_t ledger_live_bytes(const ledger_t *ledger)
{
	return ledger->live_bytes;
}

uint32_t ledger_live_count(const ledger_t *ledger)
{
	return g_hash_table_size(ledger->live);
}

uint32_t ledger_segment_count(const ledger_t *ledger)
{
	return ledger->segments->len;
}

uint32_t ledger_index_objects(const ledger_t *ledger)
{
	return ledger->indexes->len;
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

static uint32_t kind_slot(const ledger_record *record)
{
	return record->kind % MAX_KINDS;
}

static live_t *live_get(const ledger_t *ledger, const void *key)
{
	return g_hash_table_lookup(ledger->live, key);
}

static void live_remove(ledger_t *ledger, const void *key)
{
	const live_t *live = live_get(ledger, key);

	if (!live)
		return;
	ledger->live_bytes -= ledger_record_bytes(live->record);
	ledger->kind_bytes[kind_slot(live->record)] -=
		ledger_record_bytes(live->record);
	g_hash_table_remove(ledger->live, key);
}

/* Takes over one reference. */
static void live_put(ledger_t *ledger, live_t *live)
{
	live_remove(ledger, live->record->key);
	ledger->live_bytes += ledger_record_bytes(live->record);
	ledger->kind_bytes[kind_slot(live->record)] +=
		ledger_record_bytes(live->record);
	g_hash_table_insert(ledger->live, live->record->key, live);
}

static live_t *live_new(ledger_t *ledger, ledger_record *record)
{
	live_t *live = g_new0(live_t, 1);

	live->record = record;
	live->refs = 1;
	live->changed = ++ledger->changes;
	return live;
}

static bool expired(const ledger_record *record, uint64_t now_ms)
{
	return record->expire_ms && record->expire_ms <= now_ms;
}

/* Index: open addressing over fingerprints, 8 bytes a slot. */

static void slot_insert(ledger_t *ledger, uint32_t print, uint32_t segment)
{
	uint32_t mask = ledger->slot_count - 1;
	uint32_t at = print & mask;

	while (ledger->slots[at].segment)
		at = (at + 1) & mask;
	ledger->slots[at] = (index_slot_t){ print, segment };
	ledger->slots_used++;
}

static void slots_rebuild(ledger_t *ledger)
{
	uint32_t needed = 0;

	for (guint i = 0; i < ledger->segments->len; i++)
		needed += ((segment_t *)ledger->segments->pdata[i])->count;
	ledger->slot_count = MIN_SLOTS;
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

static void segment_add(ledger_t *ledger, segment_t *segment)
{
	g_ptr_array_add(ledger->segments, segment);
	if ((ledger->slots_used + segment->count) * 10ULL >
	    ledger->slot_count * 7ULL) {
		slots_rebuild(ledger);
		return;
	}
	for (uint32_t i = 0; i < segment->count; i++)
		slot_insert(ledger, segment->fingerprints[i],
			    ledger->segments->len);
}

/* The newest segment older than the given one that has the fingerprint. */
static const segment_t *slot_next(const ledger_t *ledger, uint32_t print,
				  uint64_t before_id)
{
	uint32_t mask = ledger->slot_count - 1;
	const segment_t *best = NULL;

	for (uint32_t at = print & mask; ledger->slots[at].segment;
	     at = (at + 1) & mask) {
		const segment_t *segment;

		if (ledger->slots[at].fingerprint != print)
			continue;
		segment =
			ledger->segments->pdata[ledger->slots[at].segment - 1];
		if (segment->id < before_id &&
		    (!best || segment->id > best->id))
			best = segment;
	}
	return best;
}

/* Segments */

static int compare_records(const void *a, const void *b)
{
	return memcmp(((const ledger_record *)a)->key,
		      ((const ledger_record *)b)->key, LEDGER_KEY_BYTES);
}

static const cached_t *cache_get(ledger_t *ledger, uint64_t id)
{
	cached_t *cached = g_hash_table_lookup(ledger->cache, &id);

	if (cached)
		cached->used = ++ledger->uses;
	return cached;
}

static const ledger_record *cached_find(const cached_t *cached, const void *key)
{
	ledger_record wanted;

	memcpy(wanted.key, key, LEDGER_KEY_BYTES);
	return bsearch(&wanted, cached->segment.records.records_val,
		       cached->segment.records.records_len,
		       sizeof(ledger_record), compare_records);
}

static void cache_evict(ledger_t *ledger)
{
	GHashTableIter iter;
	void *key;
	void *value;
	const uint64_t *oldest = NULL;
	uint64_t oldest_used = UINT64_MAX;

	if (g_hash_table_size(ledger->cache) < ledger->options.cached_segments)
		return;
	g_hash_table_iter_init(&iter, ledger->cache);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const cached_t *cached = value;

		if (cached->used < oldest_used) {
			oldest_used = cached->used;
			oldest = key;
		}
	}
	if (oldest)
		g_hash_table_remove(ledger->cache, oldest);
}

static gboolean decode(xdrproc_t proc, void *target, const void *data,
		       size_t len, const char *what, GError **error)
{
	XDR xdrs;
	gboolean ok;

	xdrmem_create(&xdrs, (char *)data, (u_int)len, XDR_DECODE);
	ok = proc(&xdrs, target);
	xdr_destroy(&xdrs);
	if (!ok)
		g_set_error(error, WL_ERROR, WL_ERROR_PROTOCOL,
			    "the %s cannot be decoded", what);
	return ok;
}

static GBytes *encode(xdrproc_t proc, void *value)
{
	size_t len = xdr_sizeof(proc, value);
	char *data = g_malloc(len ? len : 1);
	XDR xdrs;

	xdrmem_create(&xdrs, data, (u_int)len, XDR_ENCODE);
	g_assert(proc(&xdrs, value));
	xdr_destroy(&xdrs);
	return g_bytes_new_take(data, len);
}

gboolean ledger_has_segment(const ledger_t *ledger, uint64_t id)
{
	return g_hash_table_contains(ledger->cache, &id);
}

gboolean ledger_load_segment(ledger_t *ledger, uint64_t id, const void *data,
			     size_t len, GError **error)
{
	cached_t *cached = g_new0(cached_t, 1);
	uint64_t *key;

	if (!decode((xdrproc_t)xdr_ledger_segment, &cached->segment, data, len,
		    "segment", error)) {
		cached_free(cached);
		return FALSE;
	}
	cached->used = ++ledger->uses;
	cache_evict(ledger);
	key = g_new(uint64_t, 1);
	*key = id;
	g_hash_table_replace(ledger->cache, key, cached);
	return TRUE;
}

/* Lookup and update */

static uint64_t newest_segment(const ledger_t *ledger)
{
	guint count = ledger->segments->len;

	return count ? ((segment_t *)ledger->segments->pdata[count - 1])->id :
		       0;
}

/* Goes on where an earlier call stopped, unless a seal has come between. */
static ledger_status_t find_sealed(ledger_t *ledger, const void *key,
				   ledger_lookup_t *found)
{
	uint64_t newest = newest_segment(ledger);
	const segment_t *segment;

	if (!found->before || found->newest != newest)
		found->before = UINT64_MAX;
	found->newest = newest;
	while ((segment = slot_next(ledger, fingerprint(key), found->before))) {
		const cached_t *cached = cache_get(ledger, segment->id);

		if (!cached) {
			found->segment = segment->id;
			return LEDGER_NEED_SEGMENT;
		}
		found->before = segment->id;
		found->record = cached_find(cached, key);
		if (found->record)
			break;
	}
	found->before = 0;
	return found->record ? LEDGER_FOUND : LEDGER_ABSENT;
}

ledger_status_t ledger_find(ledger_t *ledger, const void *key, uint64_t now_ms,
			    ledger_lookup_t *found)
{
	const live_t *live = live_get(ledger, key);

	found->record = live ? live->record : NULL;
	found->segment = 0;
	if (!live && find_sealed(ledger, key, found) == LEDGER_NEED_SEGMENT)
		return LEDGER_NEED_SEGMENT;
	if (!found->record || expired(found->record, now_ms)) {
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
	previous = live_get(ledger, update->key);
	if (previous)
		previous->refs++;
	*undo = g_new0(ledger_undo_t, 1);
	memcpy((*undo)->key, update->key, LEDGER_KEY_BYTES);
	(*undo)->previous = previous;
	live = live_new(ledger, next_record(current, update, token));
	live_put(ledger, live);
	found->record = live->record;
	return LEDGER_APPLIED;
}

void ledger_undo_free(ledger_undo_t *undo)
{
	if (!undo)
		return;
	if (undo->previous)
		live_unref(undo->previous);
	g_free(undo);
}

void ledger_undo(ledger_t *ledger, ledger_undo_t *undo)
{
	live_remove(ledger, undo->key);
	if (undo->previous) {
		live_put(ledger, undo->previous);
		undo->previous = NULL;
	}
	ledger_undo_free(undo);
}

/* Head */

static void drop_expired(ledger_t *ledger, uint64_t now_ms)
{
	GPtrArray *keys = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ledger->live);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ledger_record *record = ((live_t *)value)->record;

		/* It must go on hiding older versions in segments. */
		if (expired(record, now_ms) &&
		    !slot_next(ledger, fingerprint(record->key), UINT64_MAX))
			g_ptr_array_add(keys, record->key);
	}
	for (guint i = 0; i < keys->len; i++) {
		char key[LEDGER_KEY_BYTES];

		memcpy(key, keys->pdata[i], sizeof(key));
		live_remove(ledger, key);
	}
	g_ptr_array_free(keys, TRUE);
}

static ledger_segment_ref segment_ref(const segment_t *segment)
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

static GArray *refs_of_index(const ledger_t *ledger, uint64_t index_id)
{
	GArray *refs = g_array_new(FALSE, FALSE, sizeof(ledger_segment_ref));

	for (guint i = 0; i < ledger->segments->len; i++) {
		const segment_t *segment = ledger->segments->pdata[i];

		if (segment->index_id == index_id) {
			ledger_segment_ref ref = segment_ref(segment);

			g_array_append_val(refs, ref);
		}
	}
	return refs;
}

GBytes *ledger_encode_head(ledger_t *ledger, const ledger_head *head,
			   uint64_t now_ms)
{
	ledger_head full = *head;
	GArray *refs = refs_of_index(ledger, 0);
	uint64_t *indexes = g_new0(uint64_t, ledger->indexes->len + 1);
	ledger_record *records;
	GHashTableIter iter;
	void *value;
	guint count = 0;
	GBytes *bytes;

	drop_expired(ledger, now_ms);
	records = g_new(ledger_record, g_hash_table_size(ledger->live) + 1);
	g_hash_table_iter_init(&iter, ledger->live);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		records[count++] = *((live_t *)value)->record;
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
	bytes = encode((xdrproc_t)xdr_ledger_head, &full);
	g_free(records);
	g_free(indexes);
	g_array_free(refs, TRUE);
	return bytes;
}

static void add_refs(ledger_t *ledger, ledger_segment_ref *refs, guint count,
		     uint64_t index_id)
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
		segment_add(ledger, segment);
	}
}

/* Moves the decoded records into the live map without copying their data. */
static void adopt_records(ledger_t *ledger, ledger_head *head)
{
	for (u_int i = 0; i < head->records.records_len; i++) {
		ledger_record *record = copy_bytes(
			&head->records.records_val[i], sizeof(*record));

		live_put(ledger, live_new(ledger, record));
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
	if (!decode((xdrproc_t)xdr_ledger_head, head, data, len, "shard head",
		    error) ||
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
	adopt_records(ledger, head);
	add_refs(ledger, head->segments.segments_val,
		 head->segments.segments_len, 0);
	for (u_int i = 0; i < head->indexes.indexes_len; i++) {
		index_object_t index = { head->indexes.indexes_val[i], false };

		g_array_append_val(ledger->indexes, index);
	}
	clear_segments(head);
	return TRUE;
}

static index_object_t *index_get(const ledger_t *ledger, uint64_t id)
{
	for (guint i = 0; i < ledger->indexes->len; i++) {
		index_object_t *index =
			&g_array_index(ledger->indexes, index_object_t, i);

		if (index->id == id)
			return index;
	}
	return NULL;
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
	index_object_t *object = index_get(ledger, id);
	ledger_index index = { 0 };
	gboolean ok = decode((xdrproc_t)xdr_ledger_index, &index, data, len,
			     "index", error);

	if (ok && object && !object->loaded) {
		object->loaded = true;
		add_refs(ledger, index.segments.segments_val,
			 index.segments.segments_len, id);
		g_ptr_array_sort(ledger->segments, compare_segments);
		slots_rebuild(ledger);
	}
	xdr_free((xdrproc_t)xdr_ledger_index, (char *)&index);
	return ok;
}

/* Sealing and indexing */

static int compare_changed(const void *a, const void *b)
{
	const live_t *left = *(live_t *const *)a;
	const live_t *right = *(live_t *const *)b;

	return (left->changed > right->changed) -
	       (left->changed < right->changed);
}

/* Live records of the kind, oldest change first. */
static GPtrArray *live_by_age(const ledger_t *ledger, uint32_t kind)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ledger->live);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (kind_slot(((live_t *)value)->record) == kind)
			g_ptr_array_add(found, value);
	g_ptr_array_sort(found, compare_changed);
	return found;
}

static uint32_t largest_kind(const ledger_t *ledger)
{
	uint32_t best = 0;

	for (uint32_t kind = 1; kind < MAX_KINDS; kind++)
		if (ledger->kind_bytes[kind] > ledger->kind_bytes[best])
			best = kind;
	return best;
}

static void take_records(const ledger_t *ledger, uint32_t kind, GArray *records,
			 GArray *covers)
{
	GPtrArray *aged = live_by_age(ledger, kind);
	size_t left = ledger->kind_bytes[kind];
	size_t taken = 0;

	for (guint i = 0; i < aged->len; i++) {
		const ledger_record *record =
			((live_t *)aged->pdata[i])->record;
		size_t bytes = ledger_record_bytes(record);
		cover_t cover = { .number = record->revision };

		if (left <= ledger->options.keep_bytes ||
		    taken + bytes > MAX_SEGMENT_BYTES)
			break;
		memcpy(cover.key, record->key, sizeof(cover.key));
		g_array_append_vals(records, record, 1);
		g_array_append_val(covers, cover);
		left -= bytes;
		taken += bytes;
	}
	g_ptr_array_free(aged, TRUE);
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
	write->covers = g_array_new(FALSE, TRUE, sizeof(cover_t));
	take_records(ledger, write->kind, records, write->covers);
	g_array_sort(records, compare_records);
	segment.records.records_len = records->len;
	segment.records.records_val = (ledger_record *)(void *)records->data;
	write->data = encode((xdrproc_t)xdr_ledger_segment, &segment);
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
	write->covers = g_array_new(FALSE, TRUE, sizeof(cover_t));
	if (ledger->indexes->len) {
		uint64_t last = g_array_index(ledger->indexes, index_object_t,
					      ledger->indexes->len - 1)
					.id;
		GArray *old = refs_of_index(ledger, last);

		if (refs_bytes(old) + refs_bytes(refs) <= MERGED_INDEX_BYTES) {
			write->replaces = last;
			g_array_append_vals(refs, old->data, old->len);
		}
		g_array_free(old, TRUE);
	}
	for (guint i = 0; i < refs->len; i++) {
		cover_t cover = {
			.number = g_array_index(refs, ledger_segment_ref, i).id
		};

		g_array_append_val(write->covers, cover);
	}
	index.segments.segments_len = refs->len;
	index.segments.segments_val = (ledger_segment_ref *)(void *)refs->data;
	write->data = encode((xdrproc_t)xdr_ledger_index, &index);
	return write;
}

ledger_write_t *ledger_write_next(ledger_t *ledger, uint64_t next_id,
				  uint64_t now_ms)
{
	ledger_write_t *write = NULL;
	GArray *refs;

	if (ledger->live_bytes > ledger->options.seal_bytes)
		drop_expired(ledger, now_ms);
	if (ledger->live_bytes > ledger->options.seal_bytes &&
	    ledger->kind_bytes[largest_kind(ledger)] >
		    ledger->options.keep_bytes)
		return write_segment(ledger, next_id, now_ms);
	refs = refs_of_index(ledger, 0);
	if (refs_bytes(refs) > ledger->options.index_bytes)
		write = write_index(ledger, next_id, refs);
	g_array_free(refs, TRUE);
	return write;
}

static segment_t *segment_get(const ledger_t *ledger, uint64_t id)
{
	for (guint i = ledger->segments->len; i-- > 0;) {
		segment_t *segment = ledger->segments->pdata[i];

		if (segment->id == id)
			return segment;
	}
	return NULL;
}

gboolean ledger_knows_segment(const ledger_t *ledger, uint64_t id)
{
	return segment_get(ledger, id) != NULL;
}

static void garbage_add(ledger_t *ledger, uint64_t id, bool is_index)
{
	ledger_garbage_t garbage = { id, is_index };

	g_array_append_val(ledger->garbage, garbage);
}

static void index_forget(ledger_t *ledger, uint64_t id)
{
	for (guint i = 0; i < ledger->indexes->len; i++) {
		if (g_array_index(ledger->indexes, index_object_t, i).id != id)
			continue;
		g_array_remove_index(ledger->indexes, i);
		garbage_add(ledger, id, true);
		return;
	}
}

static void index_written(ledger_t *ledger, const ledger_write_t *write)
{
	index_object_t index = { write->id, true };

	for (guint i = 0; i < write->covers->len; i++) {
		segment_t *segment = segment_get(
			ledger,
			g_array_index(write->covers, cover_t, i).number);

		if (segment)
			segment->index_id = write->id;
	}
	if (write->replaces)
		index_forget(ledger, write->replaces);
	g_array_append_val(ledger->indexes, index);
}

static segment_t *segment_from(const ledger_write_t *write,
			       const cached_t *cached)
{
	const ledger_segment *content = &cached->segment;
	segment_t *segment = g_new0(segment_t, 1);
	bool never = false;

	segment->id = write->id;
	segment->kind = write->kind;
	segment->sealed_ms = write->sealed_ms;
	segment->count = content->records.records_len;
	segment->fingerprints = g_new(uint32_t, segment->count + 1);
	for (u_int i = 0; i < segment->count; i++) {
		const ledger_record *record = &content->records.records_val[i];

		segment->fingerprints[i] = fingerprint(record->key);
		never = never || record->expire_ms == 0;
		segment->expire_ms = MAX(segment->expire_ms, record->expire_ms);
	}
	if (never)
		segment->expire_ms = 0;
	return segment;
}

static void segment_written(ledger_t *ledger, const ledger_write_t *write)
{
	gsize len;
	const void *data = g_bytes_get_data(write->data, &len);

	if (!ledger_load_segment(ledger, write->id, data, len, NULL))
		return;
	segment_add(ledger, segment_from(write, cache_get(ledger, write->id)));
	for (guint i = 0; i < write->covers->len; i++) {
		const cover_t *cover =
			&g_array_index(write->covers, cover_t, i);
		const live_t *live = live_get(ledger, cover->key);

		if (live && live->record->revision == cover->number)
			live_remove(ledger, cover->key);
	}
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
	g_array_free(write->covers, TRUE);
	g_free(write);
}

static void forget_empty_indexes(ledger_t *ledger)
{
	for (guint i = ledger->indexes->len; i-- > 0;) {
		index_object_t index =
			g_array_index(ledger->indexes, index_object_t, i);
		GArray *refs = refs_of_index(ledger, index.id);

		if (index.loaded && refs->len == 0)
			index_forget(ledger, index.id);
		g_array_free(refs, TRUE);
	}
}

void ledger_collect(ledger_t *ledger, uint64_t now_ms, GArray *garbage)
{
	guint before = ledger->segments->len;

	/* Oldest first: a newer segment hides older versions of its keys. */
	while (ledger->segments->len) {
		const segment_t *segment = ledger->segments->pdata[0];
		uint64_t id = segment->id;

		if (!segment->expire_ms || segment->expire_ms > now_ms)
			break;
		garbage_add(ledger, id, false);
		ledger->first_segment = id + 1;
		g_hash_table_remove(ledger->cache, &id);
		g_ptr_array_remove_index(ledger->segments, 0);
	}
	if (ledger->segments->len != before) {
		slots_rebuild(ledger);
		forget_empty_indexes(ledger);
	}
	g_array_append_vals(garbage, ledger->garbage->data,
			    ledger->garbage->len);
	g_array_set_size(ledger->garbage, 0);
}

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
		    !live_get(ledger, record->key) && !expired(record, now_ms))
			live_put(ledger,
				 live_new(ledger, ledger_record_copy(record)));
		carry->lookup = (ledger_lookup_t){ 0 };
	}
	return 0;
}

uint64_t ledger_carry(ledger_t *ledger, uint64_t sealed_before_ms,
		      uint64_t now_ms)
{
	carry_t *carry = &ledger->carry;
	segment_t *segment = carry->id ? segment_get(ledger, carry->id) :
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
	cached_free(carry->cached);
	*carry = (carry_t){ 0 };
	return 0;
}

/* Enumeration */

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

static void each_live(ledger_t *ledger, uint32_t kind, uint64_t now_ms,
		      ledger_each_t each, void *user_data)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ledger->live);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ledger_record *record = ((live_t *)value)->record;

		if (record->kind == kind && !expired(record, now_ms))
			each(record, user_data);
	}
}

void ledger_each(ledger_t *ledger, uint32_t kind, uint64_t segment,
		 uint64_t now_ms, ledger_each_t each, void *user_data)
{
	const cached_t *cached;

	if (!segment) {
		each_live(ledger, kind, now_ms, each, user_data);
		return;
	}
	cached = cache_get(ledger, segment);
	if (!cached)
		return;
	for (u_int i = 0; i < cached->segment.records.records_len; i++) {
		const ledger_record *record =
			&cached->segment.records.records_val[i];

		if (record->kind == kind && !expired(record, now_ms))
			each(record, user_data);
	}
}
