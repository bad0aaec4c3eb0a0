#include "entry/batch_id.h"

#include <string.h>

#include "unit.h"

static document_partner_t guild = { .name = "guild" };
static document_partner_t shannonside = { .name = "shannonside" };
static document_workspace_t workshop = { .name = "workshop" };
static const document_caller_t painter = { .partner = &guild,
					   .workspace = &workshop };
static const document_caller_t clerk = { .partner = &shannonside,
					 .workspace = &workshop };

/* A file id must be accepted from its owner and rejected from other callers. */
static void test_file(void)
{
	char *id = batch_id_new_file(&painter, 1700000000000);
	char *other = batch_id_new_file(&painter, 1700000000000);
	batch_id_kind_t kind = BATCH_ID_ERRORS;
	char *job;

	CU_ASSERT_STRING_NOT_EQUAL(id, other);
	CU_ASSERT_TRUE(batch_id_parse_file(&painter, id, &kind, &job));
	CU_ASSERT_EQUAL(kind, BATCH_ID_FILE);
	CU_ASSERT_PTR_NULL(job);
	CU_ASSERT_EQUAL(batch_id_file_created_ms(id), 1700000000000);
	CU_ASSERT_FALSE(batch_id_parse_file(&clerk, id, &kind, &job));
	g_free(id);
	g_free(other);
}

/* The record key must be recoverable from the ids of a job and its results. */
static void test_job(void)
{
	record_key_t key = record_key_make("any", NULL), decoded;
	char *scope = batch_id_scope("guild", "workshop");
	char *job = batch_id_job(scope, &key);
	char *id = g_strconcat("batch_", job, NULL);
	char *parsed = batch_id_parse_job(&painter, id);

	CU_ASSERT_STRING_EQUAL(parsed, job);
	CU_ASSERT_PTR_NULL(batch_id_parse_job(&clerk, id));
	CU_ASSERT_TRUE(batch_id_key(job, &decoded));
	CU_ASSERT_EQUAL(memcmp(&key, &decoded, sizeof(key)), 0);
	for (int kind = BATCH_ID_OUTPUT; kind <= BATCH_ID_ERRORS; kind++) {
		char *results = batch_id_results(job, (batch_id_kind_t)kind);
		batch_id_kind_t found;
		char *result_job;

		CU_ASSERT_TRUE_FATAL(batch_id_parse_file(&painter, results,
							 &found, &result_job));
		CU_ASSERT_EQUAL((int)found, kind);
		CU_ASSERT_STRING_EQUAL(result_job, job);
		CU_ASSERT_FALSE(batch_id_parse_file(&clerk, results, &found,
						    &result_job));
		g_free(result_job);
		g_free(results);
	}
	g_free(parsed);
	g_free(id);
	g_free(job);
	g_free(scope);
}

/* Ids come from callers: a truncated or overlong id must be rejected and not be
 * read beyond its end. */
static void test_malformed(void)
{
	record_key_t key = record_key_make("any", NULL);
	char *scope = batch_id_scope("guild", "workshop");
	char *job = batch_id_job(scope, &key);
	char *id = g_strconcat("batch_", job, NULL);
	char *longer = g_strconcat(id, "0", NULL);
	batch_id_kind_t kind;
	char *result_job;

	for (size_t len = strlen(id); len-- > 0;) {
		id[len] = '\0';
		CU_ASSERT_PTR_NULL(batch_id_parse_job(&painter, id));
		CU_ASSERT_FALSE(
			batch_id_parse_file(&painter, id, &kind, &result_job));
	}
	CU_ASSERT_PTR_NULL(batch_id_parse_job(&painter, longer));
	job[20] = 'g';
	CU_ASSERT_FALSE(batch_id_key(job, &key));
	job[20] = 'A';
	CU_ASSERT_FALSE(batch_id_key(job, &key));
	g_free(longer);
	g_free(id);
	g_free(job);
	g_free(scope);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "file", test_file },
		{ "job", test_job },
		{ "malformed", test_malformed },
		{ NULL, NULL },
	};

	return unit_run("batch_id", tests);
}
