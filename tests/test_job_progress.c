#include <string.h>

#include "gateway/job_progress.h"
#include "unit.h"

static void add_entry(GPtrArray *entries, uint32_t item, int64_t last_event,
		      const char *text)
{
	job_progress_t *entry = g_new0(job_progress_t, 1);

	entry->item = item;
	entry->last_event = last_event;
	entry->failures = item % 3;
	entry->text = g_strdup(text);
	entry->version = 0xfedcba9876543210 + item;
	g_ptr_array_add(entries, entry);
}

static GPtrArray *two_entries(void)
{
	GPtrArray *entries = g_ptr_array_new_with_free_func(job_progress_free);

	add_entry(entries, 3, 0, "first");
	add_entry(entries, 7, 41, "line\nand \"quotes\"");
	return entries;
}

/* Entries must decode unchanged: otherwise a resumed item has wrong output. */
static void test_round_trip(void)
{
	GPtrArray *entries = two_entries();
	char *text = job_progress_encode(entries, 1000);
	GPtrArray *decoded = job_progress_decode(text, strlen(text));

	CU_ASSERT_EQUAL_FATAL(decoded->len, entries->len);
	for (guint i = 0; i < entries->len; i++) {
		const job_progress_t *entry = entries->pdata[i];
		const job_progress_t *other = decoded->pdata[i];

		CU_ASSERT_EQUAL(entry->item, other->item);
		CU_ASSERT_EQUAL(entry->last_event, other->last_event);
		CU_ASSERT_EQUAL(entry->failures, other->failures);
		CU_ASSERT_EQUAL(entry->version, other->version);
		CU_ASSERT_STRING_EQUAL(entry->text, other->text);
	}
	g_ptr_array_unref(decoded);
	g_ptr_array_unref(entries);
	g_free(text);
}

/* The encoded progress must not exceed the bound: the store would reject it
 * each time, and the job could not be released. Items of omitted entries start
 * from their first event. */
static void test_bound(void)
{
	GPtrArray *entries = two_entries();
	char *text = job_progress_encode(entries, 142);
	GPtrArray *decoded = job_progress_decode(text, strlen(text));

	CU_ASSERT(strlen(text) <= 142);
	CU_ASSERT_EQUAL(decoded->len, 1);
	g_ptr_array_unref(decoded);
	g_ptr_array_unref(entries);
	g_free(text);
}

/* An incomplete entry must not be decoded as an item without output. */
static void test_malformed(void)
{
	static const char *const texts[] = {
		"",
		"{}",
		"[{}]",
		"[{\"item\":1,\"last_event\":2}]",
		"[{\"item\":\"1\",\"last_event\":2,\"text\":\"x\"}]",
		"[{\"item\":1,\"last_event\":2,\"text\":\"x\"}, 4]",
	};

	CU_ASSERT_PTR_NULL(job_progress_decode(NULL, 0));
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		CU_ASSERT_PTR_NULL(
			job_progress_decode(texts[i], strlen(texts[i])));
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "round trip", test_round_trip },
		{ "bound", test_bound },
		{ "malformed", test_malformed },
		{ NULL, NULL },
	};

	return unit_run("job_progress", tests);
}
