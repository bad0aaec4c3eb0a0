#include "entry/chunks.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "batch/coordinator.h"
#include "batch/result.h"
#include "entry/batch_id.h"
#include "entry/dispatch.h"
#include "rpc/batch_xdr.h"

#define TICK_PERIOD_MS 100
#define OFFER_PERIOD_MS 500
#define CALL_TIMEOUT_MS 1000
/* A longer gap between ticks means that the process was paused. It then grants
 * and renews nothing for SUSPENSION_MS: the owner of a shard renews its lease
 * every 2 s and learns of a successor by that. */
#define MAX_TICK_GAP_MS 1500
#define SUSPENSION_MS 3000
#define STORE_LIST_LIMIT 1000
#define RESULT_READ_RETRY_MS 500

struct chunks {
	entry_t *entry;
	coordinator_t *coordinator;
	struct event *tick;
	int64_t last_tick_ms;
	int64_t suspended_until_ms;
	int64_t next_offer_ms;
	int64_t *jobs;
	int64_t *chunks_granted;
	int64_t *chunks_finished;
	int64_t *renewals_paused;
};

/* An operation of the coordinator in progress. */
typedef struct job_call {
	chunks_t *chunks;
	char *job;
	uint64_t start; /* of the job at the coordinator */
	GArray *firsts; /* uint32_t: first items of the results to read */
	guint next;
	uint32_t first;
	struct event *timer;
} job_call_t;

static job_call_t *job_call_new(chunks_t *chunks, const char *job)
{
	job_call_t *call = g_new0(job_call_t, 1);

	call->chunks = chunks;
	call->job = g_strdup(job);
	return call;
}

static void job_call_free(job_call_t *call)
{
	if (call->firsts)
		g_array_free(call->firsts, TRUE);
	if (call->timer)
		event_free(call->timer);
	g_free(call->job);
	g_free(call);
}

static void follow_record(chunks_t *chunks, const record_t *record)
{
	GError *error = NULL;
	job_t *job = job_decode(record->data, record->len, &error);

	if (!job) {
		log_error("job_record_invalid", "message=%s",
			  log_quote(error->message));
		g_error_free(error);
		return;
	}
	coordinator_apply_record(chunks->coordinator, job, record->version);
}

static gboolean is_owned(const char *job, void *user_data)
{
	chunks_t *chunks = user_data;
	record_key_t key;

	return batch_id_key(job, &key) &&
	       records_is_owner(chunks->entry->records, &key);
}

static void on_record(const record_t *record, void *user_data)
{
	chunks_t *chunks = user_data;

	if (record)
		follow_record(chunks, record);
	else
		coordinator_drop_unless(chunks->coordinator, is_owned, chunks);
}

static void on_updated(const record_t *record, const GError *error,
		       void *user_data)
{
	job_call_t *call = user_data;
	coordinator_t *coordinator = call->chunks->coordinator;
	const job_t *job = coordinator_find(coordinator, call->job);

	if (error && error->code == WL_ERROR_CONFLICT && record)
		follow_record(call->chunks, record);
	else if (!error && job)
		log_info("job_recorded",
			 "job=%s state=%s completed=%u "
			 "failed=%u total=%u at_risk=%d",
			 call->job, job_state_name(job->state), job->completed,
			 job->failed, job->total, job->at_risk);
	coordinator_updated(coordinator, call->job, call->start, !error,
			    record ? record->version : 0);
	job_call_free(call);
}

static void op_update(const job_t *job, uint64_t version, uint64_t start,
		      void *user_data)
{
	chunks_t *chunks = user_data;
	job_call_t *call = job_call_new(chunks, job->id);
	char *tag = g_strconcat(job->partner, "/", job->workspace, NULL);
	size_t len;
	char *data = job_encode(job, &len);
	record_t record = {
		.kind = RECORD_JOB,
		.version = version,
		.expire_ms = job_record_expire_ms(
			job, chunks->entry->options.result_retention_ms),
		.owner_tag = tag,
		.data = data,
		.len = len,
	};

	call->start = start;
	if (batch_id_key(job->id, &record.key))
		records_update(chunks->entry->records, &record, on_updated,
			       call);
	else
		job_call_free(call);
	free(data);
	g_free(tag);
}

static void report_result(chunks_t *chunks, const char *job,
			  const object_value_t *value)
{
	coordinator_result_t summary;
	result_t result;

	if (!result_parse(value->data, value->len, &result, NULL)) {
		log_error("result_invalid", "key=%s", value->key);
		return;
	}
	summary = (coordinator_result_t){ result.first, result.count,
					  result.completed, result.failed };
	coordinator_result_found(chunks->coordinator, job, &summary);
}

static void read_next_result(job_call_t *call);

static void on_result_read(const object_value_t *value, const GError *error,
			   void *user_data)
{
	job_call_t *call = user_data;

	if (error && error->code != WL_ERROR_NOT_FOUND) {
		coordinator_results_listed(call->chunks->coordinator, call->job,
					   call->start, FALSE);
		job_call_free(call);
		return;
	}
	if (!error)
		report_result(call->chunks, call->job, value);
	read_next_result(call);
}

static void read_next_result(job_call_t *call)
{
	coordinator_t *coordinator = call->chunks->coordinator;
	uint32_t first;
	char *key;

	while (call->next < call->firsts->len) {
		first = g_array_index(call->firsts, uint32_t, call->next++);
		if (!coordinator_needs_result(coordinator, call->job, first))
			continue;
		key = result_key(call->job, first);
		object_get(call->chunks->entry->store, key, on_result_read,
			   call);
		g_free(key);
		return;
	}
	coordinator_results_listed(coordinator, call->job, call->start, TRUE);
	job_call_free(call);
}

static void list_results(job_call_t *call, const char *after);

static void on_listed(const object_listing_t *listing, const GError *error,
		      void *user_data)
{
	job_call_t *call = user_data;

	if (error) {
		coordinator_results_listed(call->chunks->coordinator, call->job,
					   call->start, FALSE);
		job_call_free(call);
		return;
	}
	for (guint i = 0; i < listing->entries->len; i++) {
		int64_t first = result_key_first(
			g_array_index(listing->entries, object_entry_t, i).key);
		uint32_t number = (uint32_t)first;

		if (first >= 0)
			g_array_append_val(call->firsts, number);
	}
	if (listing->entries->len < STORE_LIST_LIMIT)
		read_next_result(call);
	else
		list_results(call,
			     g_array_index(listing->entries, object_entry_t,
					   listing->entries->len - 1)
				     .key);
}

static void list_results(job_call_t *call, const char *after)
{
	char *prefix = g_strconcat("result/", call->job, "/", NULL);

	object_list(call->chunks->entry->store, prefix, after, STORE_LIST_LIMIT,
		    on_listed, call);
	g_free(prefix);
}

static void op_load_results(const char *job, uint64_t start, void *user_data)
{
	job_call_t *call = job_call_new(user_data, job);

	call->start = start;
	call->firsts = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	list_results(call, NULL);
}

static void on_result_checked(const object_value_t *value, const GError *error,
			      void *user_data)
{
	job_call_t *call = user_data;
	struct timeval pause = { 0, RESULT_READ_RETRY_MS * 1000 };

	if (error && error->code != WL_ERROR_NOT_FOUND) {
		evtimer_add(call->timer, &pause);
		return;
	}
	if (error)
		coordinator_result_missing(call->chunks->coordinator, call->job,
					   call->first);
	else
		report_result(call->chunks, call->job, value);
	job_call_free(call);
}

static void read_result(evutil_socket_t fd, short events, void *arg)
{
	job_call_t *call = arg;
	char *key = result_key(call->job, call->first);

	object_get(call->chunks->entry->store, key, on_result_checked, call);
	g_free(key);
}

static void op_check_result(const char *job, uint32_t first, void *user_data)
{
	job_call_t *call = job_call_new(user_data, job);

	call->first = first;
	call->timer = evtimer_new(call->chunks->entry->base, read_result, call);
	read_result(-1, 0, call);
}

static gboolean op_has_record(const char *job, void *user_data)
{
	const chunks_t *chunks = user_data;
	record_key_t key;

	return batch_id_key(job, &key) &&
	       records_has_lease(chunks->entry->records, &key);
}

static double op_weight(const char *partner, const char *workspace,
			void *user_data)
{
	const entry_t *entry = ((chunks_t *)user_data)->entry;
	const document_partner_t *found =
		entry->document ?
			document_find_partner(entry->document, partner) :
			NULL;

	for (guint i = 0; found && i < found->workspaces->len; i++) {
		const document_workspace_t *w = found->workspaces->pdata[i];

		if (strcmp(w->name, workspace) == 0)
			return w->weight;
	}
	return 1;
}

/* Offers */

static void on_offered(const void *result, const GError *error, void *user_data)
{
}

/* Addresses of the nodes that dispatch to the deployment's runners. */
static GHashTable *deployment_dispatchers(entry_t *entry, const char *partner,
					  const char *deployment)
{
	const GPtrArray *runners =
		runner_set_find(entry->runners, partner, deployment, false);
	GHashTable *nodes = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < runners->len; i++) {
		const char *node = dispatch_node_of(entry, runners->pdata[i]);

		if (node)
			g_hash_table_add(nodes, (void *)node);
	}
	return nodes;
}

static void send_offer(chunks_t *chunks, const coordinator_demand_t *demand)
{
	entry_t *entry = chunks->entry;
	GHashTable *nodes = deployment_dispatchers(entry, demand->partner,
						   demand->deployment);
	chunk_offer offer = {
		.partner = (char *)demand->partner,
		.deployment = (char *)demand->deployment,
		.waiting = demand->waiting,
		.slack_ms = demand->slack_ms,
	};
	chunk_offer_args args = {
		.coordinator = member_self(entry->members)->address,
		.offers = { 1, &offer },
	};
	GHashTableIter iter;
	void *node;

	g_hash_table_iter_init(&iter, nodes);
	while (g_hash_table_iter_next(&iter, &node, NULL)) {
		rpc_call_options_t options = {
			.address = node,
			.program = CHUNK_PROGRAM,
			.procedure = CHUNK_OFFER,
			.encode = (xdrproc_t)xdr_chunk_offer_args,
			.args = &args,
			.decode = (xdrproc_t)xdr_chunk_offer_result,
			.result_size = sizeof(chunk_offer_result),
			.timeout_ms = CALL_TIMEOUT_MS,
			.done = on_offered,
		};

		rpc_client_call(entry->rpc_client, &options);
	}
	g_hash_table_destroy(nodes);
}

static void send_offers(chunks_t *chunks)
{
	GArray *demands = coordinator_demands(chunks->coordinator);

	for (guint i = 0; i < demands->len; i++)
		send_offer(chunks,
			   &g_array_index(demands, coordinator_demand_t, i));
	g_array_free(demands, TRUE);
}

/* Messages from dispatchers */

static GArray *suspects_from_wire(const batch_suspects *wire)
{
	GArray *suspects = g_array_new(FALSE, FALSE, sizeof(item_failures_t));

	for (u_int i = 0; i < wire->batch_suspects_len; i++) {
		const batch_suspect *w = &wire->batch_suspects_val[i];
		item_failures_t suspect = { w->item, w->tries, w->deaths };

		g_array_append_val(suspects, suspect);
	}
	return suspects;
}

static bool is_suspended(const chunks_t *chunks)
{
	int64_t now_ms = clock_now_ms(chunks->entry->clock);

	return now_ms < chunks->suspended_until_ms ||
	       now_ms - chunks->last_tick_ms > MAX_TICK_GAP_MS;
}

static void handle_pull(rpc_call_t *call, const void *data, void *user_data)
{
	const chunk_pull_args *args = data;
	chunks_t *chunks = user_data;
	chunk_pull_result result = { 0 };
	coordinator_grant_t grant;
	chunk_grant wire = { 0 };

	if (!is_suspended(chunks) && !chunks->entry->draining &&
	    coordinator_pull(chunks->coordinator, args->holder, args->partner,
			     args->deployment, &grant)) {
		wire.job = (char *)grant.job;
		wire.input_file_id = (char *)grant.input_file_id;
		wire.part = grant.part;
		wire.line = grant.line;
		wire.first = grant.first;
		wire.count = grant.count;
		wire.slack_ms = grant.slack_ms;
		if (grant.suspects) {
			/* item_failures_t has the same layout as the wire type. */
			wire.suspects.batch_suspects_len = grant.suspects->len;
			wire.suspects.batch_suspects_val =
				(batch_suspect *)grant.suspects->data;
		}
		result.grants.grants_len = 1;
		result.grants.grants_val = &wire;
		++*chunks->chunks_granted;
		log_debug("chunk_granted", "job=%s first=%u count=%u holder=%s",
			  grant.job, grant.first, grant.count, args->holder);
	}
	rpc_reply(call, &result);
}

static void handle_renew(rpc_call_t *call, const void *data, void *user_data)
{
	const chunk_renew_args *args = data;
	chunks_t *chunks = user_data;
	chunk_renew_result result;
	GArray *suspects;

	if (is_suspended(chunks)) {
		rpc_reply_unavailable(call);
		return;
	}
	suspects = suspects_from_wire(&args->suspects);
	result.status = coordinator_renew(chunks->coordinator, args->holder,
					  args->job, args->first, suspects);
	*chunks->renewals_paused += result.status == LEASE_PAUSED;
	g_array_free(suspects, TRUE);
	rpc_reply(call, &result);
}

static void handle_done(rpc_call_t *call, const void *data, void *user_data)
{
	const chunk_done_args *args = data;
	chunks_t *chunks = user_data;
	chunk_done_result result = { .ok = TRUE };
	coordinator_result_t summary = { args->first, args->count,
					 args->completed, args->failed };
	GArray *suspects = suspects_from_wire(&args->suspects);

	if (args->count > 0) {
		++*chunks->chunks_finished;
		coordinator_done(chunks->coordinator, args->holder, args->job,
				 &summary);
	} else {
		/* A node without the job cannot record the suspects; the
		 * holder then repeats the release. */
		result.ok = coordinator_find(chunks->coordinator, args->job) !=
			    NULL;
		coordinator_release(chunks->coordinator, args->holder,
				    args->job, args->first, suspects);
	}
	g_array_free(suspects, TRUE);
	rpc_reply(call, &result);
}

static void register_procedures(chunks_t *chunks)
{
	const rpc_procedure_t procedures[] = {
		{ CHUNK_PROGRAM, CHUNK_PULL, (xdrproc_t)xdr_chunk_pull_args,
		  sizeof(chunk_pull_args), (xdrproc_t)xdr_chunk_pull_result,
		  handle_pull, chunks },
		{ CHUNK_PROGRAM, CHUNK_RENEW, (xdrproc_t)xdr_chunk_renew_args,
		  sizeof(chunk_renew_args), (xdrproc_t)xdr_chunk_renew_result,
		  handle_renew, chunks },
		{ CHUNK_PROGRAM, CHUNK_DONE, (xdrproc_t)xdr_chunk_done_args,
		  sizeof(chunk_done_args), (xdrproc_t)xdr_chunk_done_result,
		  handle_done, chunks },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(procedures); i++)
		rpc_server_register(chunks->entry->rpc_server, &procedures[i]);
}

static void on_tick(evutil_socket_t fd, short events, void *arg)
{
	chunks_t *chunks = arg;
	int64_t now_ms = clock_now_ms(chunks->entry->clock);
	struct timeval period = { 0, TICK_PERIOD_MS * 1000 };

	if (now_ms - chunks->last_tick_ms > MAX_TICK_GAP_MS) {
		log_warn("coordinator_suspended", "pause_ms=%d",
			 (int)(now_ms - chunks->last_tick_ms));
		chunks->suspended_until_ms = now_ms + SUSPENSION_MS;
	}
	chunks->last_tick_ms = now_ms;
	coordinator_tick(chunks->coordinator);
	*chunks->jobs = coordinator_jobs(chunks->coordinator);
	if (now_ms >= chunks->next_offer_ms &&
	    now_ms >= chunks->suspended_until_ms) {
		chunks->next_offer_ms = now_ms + OFFER_PERIOD_MS;
		send_offers(chunks);
	}
	evtimer_add(chunks->tick, &period);
}

chunks_t *chunks_new(entry_t *entry)
{
	chunks_t *chunks = g_new0(chunks_t, 1);
	coordinator_ops_t ops = {
		.update = op_update,
		.find_results = op_load_results,
		.read_result = op_check_result,
		.has_record = op_has_record,
		.weight = op_weight,
		.user_data = chunks,
	};

	chunks->entry = entry;
	chunks->coordinator = coordinator_new(&ops, entry->clock);
	chunks->jobs = counter_get(entry->counters, COUNTER_GAUGE,
				   "batch_jobs_coordinated", NULL);
	chunks->chunks_granted =
		counter_get(entry->counters, COUNTER_MONOTONIC,
			    "batch_chunks_granted_total", NULL);
	chunks->chunks_finished =
		counter_get(entry->counters, COUNTER_MONOTONIC,
			    "batch_chunks_finished_total", NULL);
	chunks->renewals_paused =
		counter_get(entry->counters, COUNTER_MONOTONIC,
			    "batch_renewals_paused_total", NULL);
	chunks->last_tick_ms = clock_now_ms(entry->clock);
	chunks->tick = evtimer_new(entry->base, on_tick, chunks);
	register_procedures(chunks);
	records_follow(entry->records, RECORD_JOB, on_record, chunks);
	on_tick(-1, 0, chunks);
	return chunks;
}
