#include "batch/coordinator.h"

#include <string.h>

#include "batch/chunk_plan.h"

/* Added to the lease on this side: a holder counts its lease from the time
 * before its call. */
#define LEASE_MARGIN_MS 200
/* Minimum interval between writes of progress to the record. */
#define PROGRESS_WRITE_INTERVAL_MS 2000
#define RETRY_DELAY_MS 500
#define RATE_INTERVAL_MS 1000
#define RATE_SMOOTHING 0.1
/* A job is not marked at risk during this share of its window. */
#define RISK_GRACE_SHARE 0.05

typedef struct entry {
	job_t *job;
	uint64_t version;
	chunk_plan_t plan;
	uint64_t start; /* number of this start, of all jobs */
	int64_t started_ms;
	int64_t grant_after_ms; /* no grant before: holders renew first */
	int64_t last_write_ms;
	int64_t retry_ms;
	int64_t rate_sampled_ms;
	uint32_t rate_sampled_items; /* finished at rate_sampled_ms */
	double rate; /* items per ms */
	gboolean ready;
	gboolean listing;
	gboolean updating;
	gboolean dirty; /* progress that is not in the record yet */
} entry_t;

struct coordinator {
	coordinator_ops_t ops;
	const clock_source_t *clock;
	GHashTable *jobs; /* id -> entry_t */
	GHashTable *service; /* "partner/workspace" -> double, finish tag */
	double virtual_time;
	uint64_t starts;
	gboolean urgent_last;
};

static void entry_free(void *data)
{
	entry_t *entry = data;

	chunk_plan_clear(&entry->plan);
	job_free(entry->job);
	g_free(entry);
}

coordinator_t *coordinator_new(const coordinator_ops_t *ops,
			       const clock_source_t *clock)
{
	coordinator_t *coordinator = g_new0(coordinator_t, 1);

	coordinator->ops = *ops;
	coordinator->clock = clock;
	coordinator->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  entry_free);
	coordinator->service =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return coordinator;
}

void coordinator_free(coordinator_t *coordinator)
{
	if (!coordinator)
		return;
	g_hash_table_destroy(coordinator->jobs);
	g_hash_table_destroy(coordinator->service);
	g_free(coordinator);
}

static entry_t *find(const coordinator_t *coordinator, const char *job)
{
	return g_hash_table_lookup(coordinator->jobs, job);
}

static entry_t *find_start(const coordinator_t *coordinator, const char *job,
			   uint64_t start)
{
	entry_t *entry = find(coordinator, job);

	return entry && entry->start == start ? entry : NULL;
}

static chunk_t *find_chunk(const entry_t *entry, uint32_t first)
{
	return entry ? chunk_plan_find(&entry->plan, first) : NULL;
}

static uint32_t items_done(const job_t *job)
{
	return job->completed + job->failed;
}

static entry_t *start_job(coordinator_t *coordinator, job_t *job,
			  uint64_t version)
{
	entry_t *entry = g_new0(entry_t, 1);
	int64_t now_ms = clock_now_ms(coordinator->clock);

	entry->job = job;
	entry->version = version;
	entry->start = ++coordinator->starts;
	entry->started_ms = now_ms;
	if (job->state != JOB_VALIDATING)
		entry->grant_after_ms =
			now_ms + COORDINATOR_LEASE_MS + LEASE_MARGIN_MS;
	entry->rate_sampled_ms = now_ms;
	entry->rate_sampled_items = items_done(job);
	chunk_plan_init(&entry->plan, job);
	g_hash_table_insert(coordinator->jobs, job->id, entry);
	return entry;
}

void coordinator_apply_record(coordinator_t *coordinator, job_t *job,
			      uint64_t version)
{
	entry_t *entry = find(coordinator, job->id);

	if (entry && version <= entry->version) {
		job_free(job);
		return;
	}
	if (job_state_is_final(job->state)) {
		g_hash_table_remove(coordinator->jobs, job->id);
		job_free(job);
		return;
	}
	if (!entry) {
		start_job(coordinator, job, version);
		return;
	}
	entry->version = version;
	entry->job->state = job->state;
	memcpy(entry->job->at_ms, job->at_ms, sizeof(job->at_ms));
	job_free(job);
}

void coordinator_drop(coordinator_t *coordinator, const char *job)
{
	g_hash_table_remove(coordinator->jobs, job);
}

void coordinator_drop_unless(coordinator_t *coordinator,
			     coordinator_keep_t keep, void *user_data)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, coordinator->jobs);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!keep(key, user_data))
			g_hash_table_iter_remove(&iter);
}

void coordinator_updated(coordinator_t *coordinator, const char *job,
			 uint64_t start, gboolean ok, uint64_t version)
{
	entry_t *entry = find_start(coordinator, job, start);

	if (!entry || !entry->updating)
		return;
	entry->updating = FALSE;
	if (!ok) {
		entry->dirty = TRUE;
		entry->retry_ms =
			clock_now_ms(coordinator->clock) + RETRY_DELAY_MS;
		return;
	}
	entry->version = MAX(entry->version, version);
	if (job_state_is_final(entry->job->state))
		g_hash_table_remove(coordinator->jobs, job);
}

gboolean coordinator_needs_result(const coordinator_t *coordinator,
				  const char *job, uint32_t first)
{
	const entry_t *entry = find(coordinator, job);
	const chunk_t *chunk = find_chunk(entry, first);

	return entry && (!chunk || chunk->state != CHUNK_DONE);
}

void coordinator_result_found(coordinator_t *coordinator, const char *job,
			      const coordinator_result_t *result)
{
	entry_t *entry = find(coordinator, job);
	chunk_t *chunk = find_chunk(entry, result->first);

	if (!chunk || chunk->state == CHUNK_DONE || result->count == 0 ||
	    result->count > chunk->count)
		return;
	chunk_plan_finish(&entry->plan, chunk, result->count, entry->job);
	entry->job->completed += result->completed;
	entry->job->failed += result->failed;
	entry->dirty = TRUE;
}

void coordinator_result_missing(coordinator_t *coordinator, const char *job,
				uint32_t first)
{
	entry_t *entry = find(coordinator, job);
	chunk_t *chunk = find_chunk(entry, first);

	if (chunk && chunk->state == CHUNK_CHECKING)
		chunk_plan_set(&entry->plan, chunk, CHUNK_WAITING);
}

void coordinator_results_listed(coordinator_t *coordinator, const char *job,
				uint64_t start, gboolean complete)
{
	entry_t *entry = find_start(coordinator, job, start);

	if (!entry)
		return;
	entry->listing = FALSE;
	entry->ready = complete;
	entry->retry_ms = clock_now_ms(coordinator->clock) + RETRY_DELAY_MS;
}

static int64_t remaining_ms(const coordinator_t *coordinator,
			    const entry_t *entry)
{
	return entry->job->expires_ms - clock_wall_ms(coordinator->clock);
}

static int64_t slack_ms(const coordinator_t *coordinator, const entry_t *entry)
{
	uint32_t remaining_items = entry->job->total - items_done(entry->job);
	int64_t remaining = remaining_ms(coordinator, entry);

	if (entry->rate <= 0)
		return remaining;
	return remaining -
	       (int64_t)MIN((double)remaining_items / entry->rate, 1e15);
}

static gboolean is_running(const coordinator_t *coordinator,
			   const entry_t *entry)
{
	return entry->job->state == JOB_IN_PROGRESS && entry->ready &&
	       remaining_ms(coordinator, entry) > 0;
}

static gboolean has_record(const coordinator_t *coordinator,
			   const entry_t *entry)
{
	return !coordinator->ops.has_record ||
	       coordinator->ops.has_record(entry->job->id,
					   coordinator->ops.user_data);
}

/*
 * Grants nothing until the holders of a predecessor's leases had time to renew.
 * Otherwise a chunk that they hold would run twice, and a poison item in it
 * would crash more runners.
 */
static gboolean can_grant(const coordinator_t *coordinator,
			  const entry_t *entry)
{
	return entry->plan.waiting > 0 && is_running(coordinator, entry) &&
	       clock_now_ms(coordinator->clock) >= entry->grant_after_ms &&
	       has_record(coordinator, entry);
}

static char *service_key(const job_t *job)
{
	return g_strconcat(job->partner, "/", job->workspace, NULL);
}

static double start_tag(const coordinator_t *coordinator, const job_t *job)
{
	char *key = service_key(job);
	const double *finish = g_hash_table_lookup(coordinator->service, key);

	g_free(key);
	return finish ? MAX(*finish, coordinator->virtual_time) :
			coordinator->virtual_time;
}

static void charge_workspace(coordinator_t *coordinator, const job_t *job,
			     uint32_t items)
{
	double start = start_tag(coordinator, job);
	double weight = 1;
	double *finish = g_new(double, 1);

	if (coordinator->ops.weight)
		weight = coordinator->ops.weight(job->partner, job->workspace,
						 coordinator->ops.user_data);
	*finish = start + items / (weight > 0 ? weight : 1);
	coordinator->virtual_time = start;
	g_hash_table_insert(coordinator->service, service_key(job), finish);
}

static gboolean is_for_deployment(const entry_t *entry, const char *partner,
				  const char *deployment)
{
	return strcmp(entry->job->partner, partner) == 0 &&
	       strcmp(entry->job->deployment, deployment) == 0;
}

/*
 * Weighted fair queueing between workspaces, least slack first within one. At
 * most every second grant goes to a job at risk regardless of its workspace, so
 * that jobs with short deadlines cannot starve the others.
 */
static entry_t *choose_job(coordinator_t *coordinator, const char *partner,
			   const char *deployment)
{
	entry_t *fair = NULL, *urgent = NULL;
	double fair_tag = 0;
	int64_t fair_slack = 0, urgent_slack = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, coordinator->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_t *entry = value;
		int64_t slack;
		double tag;

		if (!can_grant(coordinator, entry) ||
		    !is_for_deployment(entry, partner, deployment))
			continue;
		slack = slack_ms(coordinator, entry);
		tag = start_tag(coordinator, entry->job);
		if (!fair || tag < fair_tag ||
		    (tag <= fair_tag && slack < fair_slack)) {
			fair = entry;
			fair_tag = tag;
			fair_slack = slack;
		}
		if (entry->job->at_risk && (!urgent || slack < urgent_slack)) {
			urgent = entry;
			urgent_slack = slack;
		}
	}
	coordinator->urgent_last = urgent && !coordinator->urgent_last;
	return coordinator->urgent_last ? urgent : fair;
}

static void grant_lease(const coordinator_t *coordinator, entry_t *entry,
			chunk_t *chunk, const char *holder)
{
	chunk_plan_set(&entry->plan, chunk, CHUNK_LEASED);
	chunk->holder = g_intern_string(holder);
	chunk->lease_until_ms = clock_now_ms(coordinator->clock) +
				COORDINATOR_LEASE_MS + LEASE_MARGIN_MS;
}

gboolean coordinator_pull(coordinator_t *coordinator, const char *holder,
			  const char *partner, const char *deployment,
			  coordinator_grant_t *grant)
{
	entry_t *entry = choose_job(coordinator, partner, deployment);
	chunk_t *chunk = entry ? chunk_plan_next(&entry->plan) : NULL;

	if (!chunk)
		return FALSE;
	grant_lease(coordinator, entry, chunk, holder);
	charge_workspace(coordinator, entry->job, chunk->count);
	grant->job = entry->job->id;
	grant->input_file_id = entry->job->input_file_id;
	grant->part = chunk->part;
	grant->line = chunk->line;
	grant->first = chunk->first;
	grant->count = chunk->count;
	grant->slack_ms = slack_ms(coordinator, entry);
	grant->suspects = chunk->suspects;
	return TRUE;
}

lease_status_t coordinator_renew(coordinator_t *coordinator, const char *holder,
				 const char *job, uint32_t first,
				 const GArray *suspects)
{
	entry_t *entry = find(coordinator, job);
	chunk_t *chunk = find_chunk(entry, first);

	if (!entry)
		return LEASE_LOST;
	if (chunk && chunk->state != CHUNK_DONE)
		chunk_plan_merge_suspects(chunk, suspects);
	if (entry->job->state == JOB_VALIDATING ||
	    (entry->job->state == JOB_IN_PROGRESS && !entry->ready))
		return LEASE_LOST;
	if (!is_running(coordinator, entry) || !chunk ||
	    chunk->state == CHUNK_DONE)
		return LEASE_ENDED;
	if (chunk->holder && strcmp(chunk->holder, holder) != 0)
		return LEASE_LOST;
	if (!has_record(coordinator, entry))
		return LEASE_PAUSED;
	grant_lease(coordinator, entry, chunk, holder);
	return LEASE_VALID;
}

void coordinator_done(coordinator_t *coordinator, const char *holder,
		      const char *job, const coordinator_result_t *result)
{
	coordinator_result_found(coordinator, job, result);
}

void coordinator_release(coordinator_t *coordinator, const char *holder,
			 const char *job, uint32_t first,
			 const GArray *suspects)
{
	entry_t *entry = find(coordinator, job);
	chunk_t *chunk = find_chunk(entry, first);

	if (!chunk || chunk->state == CHUNK_DONE)
		return;
	/* Also for an unknown lease: a predecessor may have granted it. */
	chunk_plan_merge_suspects(chunk, suspects);
	if (chunk->holder && strcmp(chunk->holder, holder) == 0)
		chunk_plan_set(&entry->plan, chunk, CHUNK_WAITING);
}

static void write_record(coordinator_t *coordinator, entry_t *entry)
{
	entry->updating = TRUE;
	entry->dirty = FALSE;
	entry->last_write_ms = clock_now_ms(coordinator->clock);
	coordinator->ops.update(entry->job, entry->version, entry->start,
				coordinator->ops.user_data);
}

/* Whether a lease may be valid, including those that a predecessor may have
 * granted. */
static gboolean has_lease(const coordinator_t *coordinator,
			  const entry_t *entry)
{
	int64_t now_ms = clock_now_ms(coordinator->clock);

	if (now_ms < entry->started_ms + COORDINATOR_LEASE_MS + LEASE_MARGIN_MS)
		return TRUE;
	for (guint i = 0; i < entry->plan.chunks->len; i++) {
		const chunk_t *chunk = entry->plan.chunks->pdata[i];

		if (chunk->state == CHUNK_LEASED &&
		    chunk->lease_until_ms > now_ms)
			return TRUE;
	}
	return FALSE;
}

static void expire_leases(coordinator_t *coordinator, entry_t *entry)
{
	int64_t now_ms = clock_now_ms(coordinator->clock);

	for (guint i = 0; i < entry->plan.chunks->len; i++) {
		chunk_t *chunk = entry->plan.chunks->pdata[i];

		if (chunk->state != CHUNK_LEASED ||
		    chunk->lease_until_ms > now_ms)
			continue;
		chunk_plan_set(&entry->plan, chunk, CHUNK_CHECKING);
		chunk->holder = NULL;
		coordinator->ops.read_result(entry->job->id, chunk->first,
					     coordinator->ops.user_data);
	}
}

static void update_estimate(const coordinator_t *coordinator, entry_t *entry)
{
	int64_t now_ms = clock_now_ms(coordinator->clock);
	int64_t passed_ms = now_ms - entry->rate_sampled_ms;
	job_t *job = entry->job;
	uint32_t done = items_done(job);
	int64_t window_ms = job->expires_ms - job->at_ms[JOB_VALIDATING];
	int64_t remaining = remaining_ms(coordinator, entry);
	double rate;
	bool at_risk;

	if (passed_ms < RATE_INTERVAL_MS)
		return;
	rate = (double)(done - entry->rate_sampled_items) / (double)passed_ms;
	entry->rate = entry->rate > 0 ? entry->rate * (1 - RATE_SMOOTHING) +
						rate * RATE_SMOOTHING :
					rate;
	entry->rate_sampled_ms = now_ms;
	entry->rate_sampled_items = done;
	if (entry->rate > 0)
		at_risk = slack_ms(coordinator, entry) < 0;
	else
		at_risk = remaining < window_ms / 2;
	if ((double)remaining > (double)window_ms * (1 - RISK_GRACE_SHARE))
		at_risk = false;
	if (at_risk != job->at_risk) {
		job->at_risk = at_risk;
		entry->dirty = TRUE;
	}
}

/* Moves the job to the state that is due now; returns TRUE on a change. */
static gboolean advance_state(const coordinator_t *coordinator, entry_t *entry)
{
	int64_t wall_ms = clock_wall_ms(coordinator->clock);
	job_t *job = entry->job;

	if (job->state == JOB_VALIDATING)
		return job_transition(job, JOB_IN_PROGRESS, wall_ms);
	if (job->state == JOB_CANCELLING)
		return !has_lease(coordinator, entry) &&
		       job_transition(job, JOB_CANCELLED, wall_ms);
	if (job->state != JOB_IN_PROGRESS && job->state != JOB_FINALIZING)
		return FALSE;
	if (entry->ready && entry->plan.unfinished == 0) {
		job->at_risk = false;
		job_transition(job, JOB_FINALIZING, wall_ms);
		return job_transition(job, JOB_COMPLETED, wall_ms);
	}
	if (remaining_ms(coordinator, entry) <= 0)
		return !has_lease(coordinator, entry) &&
		       job_transition(job, JOB_EXPIRED, wall_ms);
	return FALSE;
}

static void tick_job(coordinator_t *coordinator, entry_t *entry)
{
	int64_t now_ms = clock_now_ms(coordinator->clock);

	if (!entry->ready) {
		if (!entry->listing && now_ms >= entry->retry_ms) {
			entry->listing = TRUE;
			coordinator->ops.find_results(
				entry->job->id, entry->start,
				coordinator->ops.user_data);
		}
	} else if (!has_record(coordinator, entry)) {
		/* When the record is confirmed again, holders renew first. */
		entry->grant_after_ms =
			now_ms + COORDINATOR_LEASE_MS + LEASE_MARGIN_MS;
	} else if (entry->job->state == JOB_IN_PROGRESS) {
		expire_leases(coordinator, entry);
		update_estimate(coordinator, entry);
	}
	if (entry->updating || now_ms < entry->retry_ms)
		return;
	if (advance_state(coordinator, entry) ||
	    job_state_is_final(entry->job->state) ||
	    (entry->dirty &&
	     now_ms >= entry->last_write_ms + PROGRESS_WRITE_INTERVAL_MS))
		write_record(coordinator, entry);
}

void coordinator_tick(coordinator_t *coordinator)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, coordinator->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		tick_job(coordinator, value);
}

static coordinator_demand_t *find_demand(GArray *demands, const job_t *job)
{
	coordinator_demand_t new = { job->partner, job->deployment, 0,
				     INT64_MAX };

	for (guint i = 0; i < demands->len; i++) {
		coordinator_demand_t *demand =
			&g_array_index(demands, coordinator_demand_t, i);

		if (strcmp(demand->partner, job->partner) == 0 &&
		    strcmp(demand->deployment, job->deployment) == 0)
			return demand;
	}
	g_array_append_val(demands, new);
	return &g_array_index(demands, coordinator_demand_t, demands->len - 1);
}

GArray *coordinator_demands(const coordinator_t *coordinator)
{
	GArray *demands =
		g_array_new(FALSE, FALSE, sizeof(coordinator_demand_t));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, coordinator->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_t *entry = value;
		coordinator_demand_t *demand;

		if (!can_grant(coordinator, entry))
			continue;
		demand = find_demand(demands, entry->job);
		demand->waiting += entry->plan.waiting;
		demand->slack_ms =
			MIN(demand->slack_ms, slack_ms(coordinator, entry));
	}
	return demands;
}

uint32_t coordinator_jobs(const coordinator_t *coordinator)
{
	return g_hash_table_size(coordinator->jobs);
}

const job_t *coordinator_find(const coordinator_t *coordinator, const char *job)
{
	const entry_t *entry = find(coordinator, job);

	return entry ? entry->job : NULL;
}
