#include "batch/coordinator.h"

#include "unit.h"

#define ITEMS 20

static gboolean store_reached;

static void op_update(const job_t *job, uint64_t version, void *user_data)
{
}

static void op_learn(const char *job, void *user_data)
{
	coordinator_results_listed(*(coordinator_t **)user_data, job, TRUE);
}

static job_t *running_job(void)
{
	job_t *job = job_new();
	uint32_t items = ITEMS;

	job->id = g_strdup("job");
	job->partner = g_strdup("guild");
	job->workspace = g_strdup("w");
	job->deployment = g_strdup("muse");
	job->input_file_id = g_strdup("file");
	job->endpoint = g_strdup("/v1/chat/completions");
	job->window = g_strdup("1h");
	job->metadata = g_strdup("{}");
	job->digest = g_strdup("d");
	job->total = items;
	job->chunk_items = items;
	job->expires_ms = G_MAXINT64 / 2;
	g_array_append_val(job->part_items, items);
	job_transition(job, JOB_IN_PROGRESS, 1);
	return job;
}

/*
 * A chunk is released right after the job's shard moved. The successor does not
 * know the lease, but must keep the count of runner losses; otherwise the item
 * crashes two more runners.
 */
static void test_release_to_successor(void)
{
	clock_manual_t clock;
	coordinator_t *coordinator;
	coordinator_ops_t ops = { .update = op_update,
				  .find_results = op_learn,
				  .user_data = &coordinator };
	item_failures_t known = { .item = 7, .runner_losses = 2 };
	GArray *suspects = g_array_new(FALSE, FALSE, sizeof(item_failures_t));
	coordinator_grant_t grant;

	g_array_append_val(suspects, known);
	clock_manual_init(&clock, 1000000);
	coordinator = coordinator_new(&ops, &clock.base);
	coordinator_apply_record(coordinator, running_job(), 1);
	coordinator_release(coordinator, "a", "job", 0, suspects);
	coordinator_tick(coordinator);
	CU_ASSERT_FALSE(
		coordinator_pull(coordinator, "b", "guild", "muse", &grant));
	clock_manual_advance_ms(&clock, 2 * COORDINATOR_LEASE_MS);
	CU_ASSERT_TRUE_FATAL(
		coordinator_pull(coordinator, "b", "guild", "muse", &grant));
	CU_ASSERT_PTR_NOT_NULL_FATAL(grant.suspects);
	CU_ASSERT_EQUAL_FATAL(grant.suspects->len, 1);
	CU_ASSERT_EQUAL(g_array_index(grant.suspects, item_failures_t, 0).item,
			7);
	CU_ASSERT_EQUAL(
		g_array_index(grant.suspects, item_failures_t, 0).runner_losses,
		2);
	coordinator_free(coordinator);
	g_array_free(suspects, TRUE);
}

/* A release by a former holder must not end the lease of the current one. */
static void test_release_by_former_holder(void)
{
	clock_manual_t clock;
	coordinator_t *coordinator;
	coordinator_ops_t ops = { .update = op_update,
				  .find_results = op_learn,
				  .user_data = &coordinator };
	coordinator_grant_t grant;

	clock_manual_init(&clock, 1000000);
	coordinator = coordinator_new(&ops, &clock.base);
	coordinator_apply_record(coordinator, running_job(), 1);
	coordinator_tick(coordinator);
	clock_manual_advance_ms(&clock, 2 * COORDINATOR_LEASE_MS);
	CU_ASSERT_TRUE(
		coordinator_pull(coordinator, "b", "guild", "muse", &grant));
	coordinator_release(coordinator, "a", "job", 0, NULL);
	CU_ASSERT_FALSE(
		coordinator_pull(coordinator, "c", "guild", "muse", &grant));
	CU_ASSERT_EQUAL(coordinator_renew(coordinator, "b", "job", 0, NULL),
			LEASE_VALID);
	coordinator_free(coordinator);
}

static gboolean op_has_record(const char *job, void *user_data)
{
	return store_reached;
}

static void op_check(const char *job, uint32_t first, void *user_data)
{
	coordinator_result_missing(*(coordinator_t **)user_data, job, first);
}

/*
 * While the store is unavailable a coordinator must grant no lease, because a
 * successor may acknowledge a cancellation. When it is available again, the
 * holder must be able to renew before another node is granted its chunk;
 * otherwise the progress is lost.
 */
static void test_store_unavailable(void)
{
	clock_manual_t clock;
	coordinator_t *coordinator;
	coordinator_ops_t ops = { .update = op_update,
				  .find_results = op_learn,
				  .read_result = op_check,
				  .has_record = op_has_record,
				  .user_data = &coordinator };
	coordinator_grant_t grant;

	clock_manual_init(&clock, 1000000);
	coordinator = coordinator_new(&ops, &clock.base);
	coordinator_apply_record(coordinator, running_job(), 1);
	coordinator_tick(coordinator);
	clock_manual_advance_ms(&clock, 2 * COORDINATOR_LEASE_MS);
	CU_ASSERT_FALSE(
		coordinator_pull(coordinator, "a", "guild", "muse", &grant));
	store_reached = TRUE;
	CU_ASSERT_TRUE(
		coordinator_pull(coordinator, "a", "guild", "muse", &grant));
	store_reached = FALSE;
	CU_ASSERT_EQUAL(coordinator_renew(coordinator, "a", "job", 0, NULL),
			LEASE_PAUSED);
	clock_manual_advance_ms(&clock, 2 * COORDINATOR_LEASE_MS);
	coordinator_tick(coordinator);
	store_reached = TRUE;
	coordinator_tick(coordinator);
	CU_ASSERT_FALSE(
		coordinator_pull(coordinator, "b", "guild", "muse", &grant));
	CU_ASSERT_EQUAL(coordinator_renew(coordinator, "a", "job", 0, NULL),
			LEASE_VALID);
	coordinator_free(coordinator);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "release_to_successor", test_release_to_successor },
		{ "release_by_former_holder", test_release_by_former_holder },
		{ "store_unavailable", test_store_unavailable },
		{ NULL, NULL },
	};

	return unit_run("coordinator", tests);
}
