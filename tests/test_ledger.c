#include "coord/ledger.h"

#include <stdio.h>
#include <string.h>

#include "base/error.h"

#include "unit.h"

#define HOUR_MS (3600 * 1000ULL)
#define T0 1700000000000ULL

static uint64_t next_token;
static uint64_t next_id;

static ledger_record make_record(uint32_t n, uint64_t revision,
				 const char *data)
{
	ledger_record record = { .kind = 1,
				 .revision = revision,
				 .owner_tag = (char *)"guild/workshop-1" };

	record.key[0] = (char)(n >> 24);
	record.key[1] = (char)(n >> 16);
	record.key[2] = (char)(n >> 8);
	record.key[3] = (char)n;
	record.key[15] = 1;
	record.data.data_len = (u_int)strlen(data);
	record.data.data_val = (char *)data;
	return record;
}

static ledger_status_t apply(ledger_t *ledger, const ledger_record *record,
			     uint64_t token_number, uint64_t now)
{
	char token[LEDGER_TOKEN_BYTES] = { 0 };
	ledger_lookup_t found = { 0 };
	ledger_undo_t *undo = NULL;
	ledger_status_t status;

	memcpy(token, &token_number, sizeof(token_number));
	status = ledger_update(ledger, record, token, now, &found, &undo);
	ledger_undo_free(undo);
	return status;
}

static ledger_status_t put(ledger_t *ledger, uint32_t n, uint64_t revision,
			   const char *data, uint64_t expire_ms)
{
	ledger_record record = make_record(n, revision, data);

	record.expire_ms = expire_ms;
	return apply(ledger, &record, 1000000 + ++next_token, T0);
}

/* A table of objects by id, in place of the object store. */
static GHashTable *objects_new(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				     (GDestroyNotify)g_bytes_unref);
}

static void objects_put(GHashTable *objects, uint64_t id, GBytes *data)
{
	g_hash_table_replace(objects, g_memdup2(&id, sizeof(id)),
			     g_bytes_ref(data));
}

static void seal(ledger_t *ledger, GHashTable *objects, uint64_t now)
{
	ledger_write_t *write;

	while ((write = ledger_write_next(ledger, ++next_id, now)) != NULL) {
		objects_put(objects, write->id, write->data);
		ledger_write_done(ledger, write);
	}
}

static bool load(ledger_t *ledger, GHashTable *objects, uint64_t id)
{
	GBytes *data = g_hash_table_lookup(objects, &id);
	gsize len;
	const void *bytes = data ? g_bytes_get_data(data, &len) : NULL;

	return bytes && ledger_load_segment(ledger, id, bytes, len, NULL);
}

static ledger_status_t find(ledger_t *ledger, GHashTable *objects, uint32_t n,
			    uint64_t now, ledger_lookup_t *found)
{
	ledger_record lookup_key = make_record(n, 0, "");
	ledger_status_t status;

	*found = (ledger_lookup_t){ 0 };
	while ((status = ledger_find(ledger, lookup_key.key, now, found)) ==
		       LEDGER_NEED_SEGMENT &&
	       load(ledger, objects, found->segment))
		;
	return status;
}

static ledger_t *replay(ledger_t *ledger, GHashTable *objects, uint64_t now)
{
	ledger_head head = { .owner = (char *)"127.0.0.1:1",
			     .epoch = 7,
			     .sequence = 9 };
	GBytes *bytes = ledger_encode_head(ledger, &head, now);
	ledger_t *copy = ledger_new(NULL);
	ledger_head read = { 0 };
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);
	uint64_t id;

	CU_ASSERT_TRUE(ledger_replay(copy, data, len, &read, NULL));
	CU_ASSERT_EQUAL(read.epoch, 7);
	CU_ASSERT_EQUAL(read.sequence, 9);
	CU_ASSERT_STRING_EQUAL(read.owner, "127.0.0.1:1");
	xdr_free((xdrproc_t)xdr_ledger_head, (char *)&read);
	g_bytes_unref(bytes);
	while ((id = ledger_missing_index(copy)) != 0) {
		bytes = g_hash_table_lookup(objects, &id);
		data = g_bytes_get_data(bytes, &len);
		CU_ASSERT_TRUE_FATAL(
			ledger_load_index(copy, id, data, len, NULL));
	}
	return copy;
}

/* Guards against two updates that both succeed with the same expected version
 * of a record. */
static void test_compare_and_set(void)
{
	ledger_t *ledger = ledger_new(NULL);

	CU_ASSERT_EQUAL(put(ledger, 1, 0, "a", 0), LEDGER_APPLIED);
	CU_ASSERT_EQUAL(put(ledger, 1, 0, "b", 0), LEDGER_CONFLICT);
	CU_ASSERT_EQUAL(put(ledger, 1, 1, "c", 0), LEDGER_APPLIED);
	CU_ASSERT_EQUAL(put(ledger, 1, 1, "d", 0), LEDGER_CONFLICT);
	CU_ASSERT_EQUAL(put(ledger, 2, 3, "e", 0), LEDGER_ABSENT);
	ledger_free(ledger);
}

/* Guards against a repeated update that is reported as a conflict with its own
 * first attempt, also after a later update of the same record. */
static void test_repeated_token(void)
{
	ledger_t *ledger = ledger_new(NULL);
	ledger_record record = make_record(1, 0, "a");

	CU_ASSERT_EQUAL(apply(ledger, &record, 5, T0), LEDGER_APPLIED);
	CU_ASSERT_EQUAL(apply(ledger, &record, 5, T0), LEDGER_REPEATED);
	CU_ASSERT_EQUAL(put(ledger, 1, 1, "b", 0), LEDGER_APPLIED);
	CU_ASSERT_EQUAL(apply(ledger, &record, 5, T0), LEDGER_REPEATED);
	CU_ASSERT_EQUAL(apply(ledger, &record, 6, T0), LEDGER_CONFLICT);
	ledger_free(ledger);
}

/* Reverting the updates of a refused head write must restore the record and
 * the byte count. */
static void test_undo(void)
{
	ledger_t *ledger = ledger_new(NULL);
	GHashTable *objects = objects_new();
	ledger_record first = make_record(1, 1, "b");
	ledger_record second = make_record(1, 2, "c");
	char token[LEDGER_TOKEN_BYTES] = { 9 };
	ledger_lookup_t found = { 0 };
	ledger_undo_t *undo_first;
	ledger_undo_t *undo_second;
	size_t bytes;

	put(ledger, 1, 0, "a", 0);
	bytes = ledger_live_bytes(ledger);
	ledger_update(ledger, &first, token, T0, &found, &undo_first);
	token[0] = 8;
	ledger_update(ledger, &second, token, T0, &found, &undo_second);
	ledger_undo(ledger, undo_second);
	ledger_undo(ledger, undo_first);
	CU_ASSERT_EQUAL(find(ledger, objects, 1, T0, &found), LEDGER_FOUND);
	CU_ASSERT_EQUAL(found.record->revision, 1);
	CU_ASSERT_EQUAL(ledger_live_bytes(ledger), bytes);
	g_hash_table_destroy(objects);
	ledger_free(ledger);
}

static void fill(ledger_t *ledger, GHashTable *objects, uint32_t from,
		 uint32_t count, uint64_t expire_ms, uint64_t now)
{
	char data[200];

	memset(data, 'x', sizeof(data));
	data[sizeof(data) - 1] = '\0';
	for (uint32_t i = 0; i < count; i++) {
		put(ledger, from + i, 0, data, expire_ms);
		if (i % 100 == 99)
			seal(ledger, objects, now);
	}
}

/* Sealed records must be found and must remain updatable. The live bytes, the
 * index memory and the number of index objects that a new owner loads must stay
 * bounded. */
static void test_seal_and_replay(void)
{
	enum { RECORDS = 60000 };
	ledger_t *ledger = ledger_new(NULL);
	GHashTable *objects = objects_new();
	ledger_lookup_t found;
	ledger_t *new_owner;

	fill(ledger, objects, 0, RECORDS, 0, T0);
	CU_ASSERT(ledger_segment_count(ledger) > 40);
	CU_ASSERT(ledger_live_bytes(ledger) < 300 * 1024);
	/* The 60000 records take 16 MB, the index less than 24 bytes per
	 * record. */
	CU_ASSERT(ledger_index_bytes(ledger) < RECORDS * 24);
	CU_ASSERT(ledger_index_objects(ledger) <= 2);
	CU_ASSERT_EQUAL(find(ledger, objects, 17, T0, &found), LEDGER_FOUND);
	CU_ASSERT_EQUAL(put(ledger, 17, 1, "new", 0), LEDGER_APPLIED);
	CU_ASSERT_EQUAL(find(ledger, objects, RECORDS + 1, T0, &found),
			LEDGER_ABSENT);
	new_owner = replay(ledger, objects, T0);
	CU_ASSERT_EQUAL(ledger_segment_count(new_owner),
			ledger_segment_count(ledger));
	CU_ASSERT_EQUAL(find(new_owner, objects, 17, T0, &found), LEDGER_FOUND);
	CU_ASSERT_EQUAL(found.record->revision, 2);
	CU_ASSERT_EQUAL(find(new_owner, objects, 4711, T0, &found),
			LEDGER_FOUND);
	CU_ASSERT_EQUAL(found.record->revision, 1);
	ledger_free(new_owner);
	ledger_free(ledger);
	g_hash_table_destroy(objects);
}

/* Records must expire after their retention time, and their segments must be
 * removed. */
static void test_retention(void)
{
	ledger_t *ledger = ledger_new(NULL);
	GHashTable *objects = objects_new();
	GArray *garbage = g_array_new(FALSE, FALSE, sizeof(ledger_garbage_t));
	uint64_t day = T0 + 24 * HOUR_MS;
	ledger_lookup_t found;
	uint32_t segments;
	ledger_t *new_owner;

	fill(ledger, objects, 0, 20000, day, T0);
	segments = ledger_segment_count(ledger);
	ledger_collect(ledger, day - 1, garbage);
	CU_ASSERT_EQUAL(ledger_segment_count(ledger), segments);
	CU_ASSERT_EQUAL(find(ledger, objects, 3, day - 1, &found),
			LEDGER_FOUND);
	CU_ASSERT_EQUAL(find(ledger, objects, 3, day, &found), LEDGER_ABSENT);
	g_array_set_size(garbage, 0);
	ledger_collect(ledger, day, garbage);
	CU_ASSERT_EQUAL(ledger_segment_count(ledger), 0);
	CU_ASSERT(garbage->len >= segments);
	new_owner = replay(ledger, objects, day);
	CU_ASSERT_EQUAL(ledger_live_count(new_owner), 0);
	CU_ASSERT_EQUAL(ledger_segment_count(new_owner), 0);
	ledger_free(new_owner);
	g_array_free(garbage, TRUE);
	g_hash_table_destroy(objects);
	ledger_free(ledger);
}

/* Guards against an expired live record that is dropped while a segment holds
 * an older version, which a lookup would then find. */
static void test_expired_hides_older(void)
{
	ledger_t *ledger = ledger_new(NULL);
	GHashTable *objects = objects_new();
	ledger_lookup_t found;
	ledger_head head = { .owner = (char *)"" };
	GBytes *bytes;

	put(ledger, 5000000, 0, "old", 0);
	fill(ledger, objects, 0, 3000, T0 + 10 * HOUR_MS, T0);
	CU_ASSERT_EQUAL(find(ledger, objects, 5000000, T0, &found),
			LEDGER_FOUND);
	CU_ASSERT_EQUAL(put(ledger, 5000000, 1, "new", T0 + HOUR_MS),
			LEDGER_APPLIED);
	bytes = ledger_encode_head(ledger, &head, T0 + 2 * HOUR_MS);
	g_bytes_unref(bytes);
	CU_ASSERT_EQUAL(
		find(ledger, objects, 5000000, T0 + 2 * HOUR_MS, &found),
		LEDGER_ABSENT);
	g_hash_table_destroy(objects);
	ledger_free(ledger);
}

/* A record expires while its segment is being written, and is created again
 * with the same revision. Guards against a lost record: the new one was taken
 * for the one in the segment. */
static void test_recreated_during_seal(void)
{
	enum { FIRST = 0, RECORDS = 300 };
	ledger_t *ledger = ledger_new(NULL);
	GHashTable *objects = objects_new();
	ledger_record again = make_record(FIRST, 0, "again");
	uint64_t later = T0 + 2 * HOUR_MS;
	ledger_write_t *write;
	ledger_lookup_t found;
	ledger_t *new_owner;
	char data[200];

	memset(data, 'x', sizeof(data));
	data[sizeof(data) - 1] = '\0';
	for (uint32_t i = 0; i < RECORDS; i++)
		put(ledger, i, 0, data, T0 + HOUR_MS);
	write = ledger_write_next(ledger, ++next_id, T0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(write);
	CU_ASSERT_EQUAL(apply(ledger, &again, 5, later), LEDGER_APPLIED);
	objects_put(objects, write->id, write->data);
	ledger_write_done(ledger, write);
	CU_ASSERT_EQUAL(find(ledger, objects, FIRST, later, &found),
			LEDGER_FOUND);
	new_owner = replay(ledger, objects, later);
	CU_ASSERT_EQUAL(find(new_owner, objects, FIRST, later, &found),
			LEDGER_FOUND);
	CU_ASSERT_EQUAL(apply(ledger, &again, 6, later), LEDGER_CONFLICT);
	ledger_free(new_owner);
	g_hash_table_destroy(objects);
	ledger_free(ledger);
}

/* Records without expiry must survive the compaction of their segment, and a
 * removed segment must not be restored from an index object. */
static void test_compaction(void)
{
	ledger_options_t options = { .index_bytes = 1000 };
	ledger_t *ledger = ledger_new(&options);
	GHashTable *objects = objects_new();
	GArray *garbage = g_array_new(FALSE, FALSE, sizeof(ledger_garbage_t));
	uint64_t day = T0 + 24 * HOUR_MS;
	ledger_lookup_t found;
	ledger_t *new_owner;
	uint64_t needed;
	uint32_t segments;

	put(ledger, 5000000, 0, "open", 0);
	fill(ledger, objects, 0, 10000, day, T0);
	segments = ledger_segment_count(ledger);
	while ((needed = ledger_compact(ledger, T0 + 1, day + 1)) != 0)
		CU_ASSERT_TRUE_FATAL(load(ledger, objects, needed));
	ledger_collect(ledger, day - 1, garbage);
	CU_ASSERT_EQUAL(ledger_segment_count(ledger), segments - 1);
	for (guint i = 0; i < garbage->len; i++)
		g_hash_table_remove(
			objects,
			&g_array_index(garbage, ledger_garbage_t, i).id);
	new_owner = replay(ledger, objects, day - 1);
	CU_ASSERT_EQUAL(ledger_segment_count(new_owner), segments - 1);
	CU_ASSERT_EQUAL(find(new_owner, objects, 5000000, day, &found),
			LEDGER_FOUND);
	ledger_free(new_owner);
	g_array_free(garbage, TRUE);
	g_hash_table_destroy(objects);
	ledger_free(ledger);
}

/* Malformed heads and segments must be refused. */
static void test_malformed_head(void)
{
	ledger_t *ledger = ledger_new(NULL);
	ledger_head head;
	GError *error = NULL;
	char junk[64];

	memset(junk, 0x7f, sizeof(junk));
	CU_ASSERT_FALSE(
		ledger_replay(ledger, junk, sizeof(junk), &head, &error));
	CU_ASSERT(g_error_matches(error, WL_ERROR, WL_ERROR_PROTOCOL));
	g_clear_error(&error);
	CU_ASSERT_FALSE(
		ledger_load_segment(ledger, 1, junk, sizeof(junk), &error));
	g_clear_error(&error);
	ledger_free(ledger);
}

#define WRITE_AHEAD_RECORDS 30

/* A new owner must find the records of a segment that was written ahead of the
 * head, although the head does not contain them. When that head was refused,
 * no record of the segment may be found. */
static void test_write_ahead(void)
{
	ledger_options_t options = { .seal_bytes = 1000, .keep_bytes = 400 };
	ledger_t *ledger = ledger_new(&options);
	GHashTable *objects = objects_new();
	ledger_undo_t *undos[WRITE_AHEAD_RECORDS];
	ledger_lookup_t found = { 0 };
	ledger_write_t *write;
	ledger_t *copy;
	size_t bytes;

	put(ledger, 0, 0, "before", 0);
	bytes = ledger_live_bytes(ledger);
	for (uint32_t i = 0; i < WRITE_AHEAD_RECORDS; i++) {
		ledger_record record = make_record(i, i == 0, "waits");
		char token[LEDGER_TOKEN_BYTES] = { (char)(i + 1), 7 };

		found = (ledger_lookup_t){ 0 };
		CU_ASSERT_EQUAL(ledger_update(ledger, &record, token, T0,
					      &found, &undos[i]),
				LEDGER_APPLIED);
	}
	write = ledger_write_ahead(ledger, ++next_id, T0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(write);
	objects_put(objects, write->id, write->data);
	ledger_write_ahead_stored(ledger, write);
	copy = replay(ledger, objects, T0);
	CU_ASSERT(ledger_live_bytes(copy) <= options.keep_bytes);
	for (uint32_t i = 0; i < WRITE_AHEAD_RECORDS; i++)
		CU_ASSERT_EQUAL(find(copy, objects, i, T0, &found),
				LEDGER_FOUND);
	ledger_free(copy);
	ledger_write_ahead_drop(ledger, write);
	for (uint32_t i = WRITE_AHEAD_RECORDS; i-- > 0;)
		ledger_undo(ledger, undos[i]);
	copy = replay(ledger, objects, T0);
	for (uint32_t i = 0; i < WRITE_AHEAD_RECORDS; i++)
		CU_ASSERT_EQUAL(find(copy, objects, i, T0, &found),
				i == 0 ? LEDGER_FOUND : LEDGER_ABSENT);
	CU_ASSERT_EQUAL(ledger_live_bytes(ledger), bytes);
	CU_ASSERT_EQUAL(ledger_live_bytes(copy), bytes);
	ledger_free(copy);
	g_hash_table_destroy(objects);
	ledger_free(ledger);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "compare and set", test_compare_and_set },
		{ "repeated token", test_repeated_token },
		{ "undo", test_undo },
		{ "seal and replay", test_seal_and_replay },
		{ "retention", test_retention },
		{ "expired record hides older versions",
		  test_expired_hides_older },
		{ "recreated during a seal", test_recreated_during_seal },
		{ "compaction", test_compaction },
		{ "segment ahead of the head", test_write_ahead },
		{ "malformed head", test_malformed_head },
		{ NULL, NULL },
	};

	return unit_run("ledger", tests);
}
