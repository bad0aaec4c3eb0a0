#include "batch/coordinator.h"

#include "unit.h"

#define ITEMS 20

static gboolean store_reached;

static void op_update(const job_t *job, uint64_t version, uint64_t start,
		      void *user_data)
{
}

static void op_learn(const char *job, uint64_t start, void *user_data)
{
	coordinator_results_listed(*(coordinator_t **)user_data, job, start,
				   TRUE);
}

/* The operations of a job that wait for their answers. */
typedef struct waiting_ops {
	uint64_t listings[2];
	guint listed;
	uint64_t updates[2];
	guint updated;
} waiting_ops_t;

static void op_keep_update(const job_t *job, uint64_t version, uint64_t start,
			   void *user_data)
{
	waiting_ops_t *waiting = user_data;

	CU_ASSERT_FATAL(waiting->updated < G_N_ELEMENTS(waiting->updates));
	waiting->updates[waiting->updated++] = start;
}

static void op_keep_listing(const char *job, uint64_t start, void *user_data)
{
	waiting_ops_t *waiting = user_data;

	CU_ASSERT_FATAL(waiting->listed < G_N_ELEMENTS(waiting->listings));
	waiting->listings[waiting->listed++] = start;
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

/* The job's record goes to another node and comes back while a listing of the
 * results is in progress. Guards against a second run of the items that the
 * other node finished meanwhile, which that listing need not have. */
static void test_former_listing(void)
{
	clock_manual_t clock;
	waiting_ops_t waiting = { 0 };
	coordinator_ops_t ops = { .update = op_keep_update,
				  .find_results = op_keep_listing,
				  .user_data = &waiting };
	const coordinator_result_t found = { .count = ITEMS,
					     .completed = ITEMS };
	coordinator_t *coordinator;
	coordinator_grant_t grant;

	clock_manual_init(&clock, 1000000);
	coordinator = coordinator_new(&ops, &clock.base);
	coordinator_apply_record(coordinator, running_job(), 1);
	coordinator_tick(coordinator);
	coordinator_drop(coordinator, "job");
	coordinator_apply_record(coordinator, running_job(), 1);
	coordinator_tick(coordinator);
	CU_ASSERT_EQUAL(waiting.listed, 2);
	clock_manual_advance_ms(&clock, 2 * COORDINATOR_LEASE_MS);
	coordinator_results_listed(coordinator, "job", waiting.listings[0],
				   TRUE);
	CU_ASSERT_FALSE(
		coordinator_pull(coordinator, "a", "guild", "muse", &grant));
	coordinator_result_found(coordinator, "job", &found);
	coordinator_results_listed(coordinator, "job", waiting.listings[1],
				   TRUE);
	CU_ASSERT_FALSE(
		coordinator_pull(coordinator, "a", "guild", "muse", &grant));
	CU_ASSERT_EQUAL(coordinator_find(coordinator, "job")->completed, ITEMS);
	coordinator_free(coordinator);
}

static void finish_all(coordinator_t *coordinator, clock_manual_t *clock,
		       const waiting_ops_t *waiting)
{
	const coordinator_result_t found = { .count = ITEMS,
					     .completed = ITEMS };

	coordinator_apply_record(coordinator, running_job(), 1);
	coordinator_tick(coordinator);
	coordinator_result_found(coordinator, "job", &found);
	coordinator_results_listed(coordinator, "job",
				   waiting->listings[waiting->listed - 1],
				   TRUE);
	clock_manual_advance_ms(clock, COORDINATOR_LEASE_MS);
	coordinator_tick(coordinator);
}

/* The same with the last update of the record in progress. Guards against a job
 * that nobody completes: the answer to the former update ended it here, while
 * that to its own update was lost. */
static void test_former_update(void)
{
	clock_manual_t clock;
	waiting_ops_t waiting = { 0 };
	coordinator_ops_t ops = { .update = op_keep_update,
				  .find_results = op_keep_listing,
				  .user_data = &waiting };
	coordinator_t *coordinator;

	clock_manual_init(&clock, 1000000);
	coordinator = coordinator_new(&ops, &clock.base);
	finish_all(coordinator, &clock, &waiting);
	coordinator_drop(coordinator, "job");
	finish_all(coordinator, &clock, &waiting);
	CU_ASSERT_EQUAL(waiting.updated, 2);
	coordinator_updated(coordinator, "job", waiting.updates[0], TRUE, 2);
	CU_ASSERT_PTR_NOT_NULL(coordinator_find(coordinator, "job"));
	coordinator_updated(coordinator, "job", waiting.updates[1], FALSE, 0);
	CU_ASSERT_PTR_NOT_NULL(coordinator_find(coordinator, "job"));
	coordinator_free(coordinator);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "release_to_successor", test_release_to_successor },
		{ "release_by_former_holder", test_release_by_former_holder },
		{ "store_unavailable", test_store_unavailable },
		{ "former listing", test_former_listing },
		{ "former update", test_former_update },
		{ NULL, NULL },
	};

	return unit_run("coordinator", tests);
}
