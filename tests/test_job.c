#include "batch/job.h"

#include <stdlib.h>
#include <string.h>

#include "unit.h"

static job_t *sample(void)
{
	job_t *job = job_new();
	uint32_t items = 300;
	uint8_t bits = 0xa5;
	job_split_t split = { 40, 3 };

	job->id = g_strdup("0123");
	job->partner = g_strdup("guild");
	job->workspace = g_strdup("w");
	job->deployment = g_strdup("muse");
	job->input_file_id = g_strdup("file-1");
	job->endpoint = g_strdup("/v1/chat/completions");
	job->window = g_strdup("24h");
	job->metadata = g_strdup("{\"a\":\"b\"}");
	job->digest = g_strdup("d");
	job->at_ms[JOB_VALIDATING] = 5000;
	job->expires_ms = 86405000;
	job->total = 300;
	job->completed = 7;
	job->chunk_items = 8;
	job->at_risk = true;
	g_array_append_val(job->part_items, items);
	g_array_append_val(job->splits, split);
	g_byte_array_append(job->finished, &bits, 1);
	return job;
}

/* A successor has only the record, so it must keep all fields. */
static void test_round_trip(void)
{
	job_t *job = sample();
	size_t len, again_len;
	char *text = job_encode(job, &len);
	job_t *decoded = job_decode(text, len, NULL);
	char *again;

	CU_ASSERT_PTR_NOT_NULL_FATAL(decoded);
	again = job_encode(decoded, &again_len);
	CU_ASSERT_STRING_EQUAL(text, again);
	CU_ASSERT_EQUAL(decoded->finished->data[0], 0xa5);
	CU_ASSERT_EQUAL(g_array_index(decoded->splits, job_split_t, 0).count,
			3);
	CU_ASSERT_PTR_NULL(job_decode(text, len - 1, NULL));
	CU_ASSERT_PTR_NULL(job_decode("{\"state\":99}", 12, NULL));
	free(text);
	free(again);
	job_free(job);
	job_free(decoded);
}

/* A job in a final state must never change its state. */
static void test_final_states(void)
{
	for (int from = 0; from < JOB_STATE_COUNT; from++) {
		for (int to = 0; to < JOB_STATE_COUNT; to++) {
			job_t *job = sample();

			job->state = (job_state_t)from;
			if (job_state_is_final(job->state))
				CU_ASSERT_FALSE(job_transition(
					job, (job_state_t)to, 1));
			if (from == JOB_CANCELLING && to != JOB_CANCELLED)
				CU_ASSERT_FALSE(job_transition(
					job, (job_state_t)to, 1));
			job_free(job);
		}
	}
}

static void test_windows(void)
{
	static const char *const bad[] = { "",
					   "h",
					   "0h",
					   "24",
					   "24x",
					   "-1h",
					   "24hh",
					   "31d",
					   " 1h",
					   "1e3s",
					   "99999999999999999999d" };
	int64_t ms = 0;

	CU_ASSERT_TRUE(job_parse_window("24h", &ms, NULL));
	CU_ASSERT_EQUAL(ms, 86400000);
	CU_ASSERT_TRUE(job_parse_window("90s", &ms, NULL));
	CU_ASSERT_EQUAL(ms, 90000);
	CU_ASSERT_TRUE(job_parse_window("30m", &ms, NULL));
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		CU_ASSERT_FALSE(job_parse_window(bad[i], &ms, NULL));
}

static void test_object(void)
{
	job_t *job = sample();
	json_t *root = job_to_json(job, "file-out", NULL);

	CU_ASSERT_PTR_NOT_NULL_FATAL(root);
	CU_ASSERT_TRUE(json_is_null(json_object_get(root, "error_file_id")));
	CU_ASSERT_STRING_EQUAL(
		json_string_value(json_object_get(root, "status")),
		"validating");
	CU_ASSERT_EQUAL(json_integer_value(json_object_get(root, "expires_at")),
			86405);
	CU_ASSERT_TRUE(json_is_true(json_object_get(root, "at_risk")));
	CU_ASSERT_TRUE(json_is_null(json_object_get(root, "completed_at")));
	json_decref(root);
	job_free(job);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "round trip", test_round_trip },
		{ "final states", test_final_states },
		{ "windows", test_windows },
		{ "object for callers", test_object },
		{ NULL, NULL },
	};

	return unit_run("job", tests);
}
