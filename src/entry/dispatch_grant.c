#include "entry/dispatch_grant.h"

#include <inttypes.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "batch/result.h"
#include "entry/dispatch_coordinator.h"
#include "entry/dispatch_release.h"
#include "object/object_writer.h"
#include "rpc/batch_xdr.h"

#define OFFER_TTL_MS 3000
#define NO_OFFER_RETRY_MS 1000

static GArray *suspects_from_wire(const batch_suspects *wire)
{
	GArray *suspects = g_array_new(FALSE, FALSE, sizeof(item_failures_t));

	if (wire->batch_suspects_len)
		g_array_append_vals(suspects, wire->batch_suspects_val,
				    wire->batch_suspects_len);
	return suspects;
}

static void on_renewed(const void *data, const GError *error, void *user_data)
{
	const chunk_renew_result *result = data;
	chunk_call_t *call = user_data;

	if (!result || result->status == LEASE_LOST ||
	    result->status == LEASE_PAUSED)
		dispatch_coordinator_locate(call->dispatch, call->job);
	dispatcher_renewed(call->dispatch->dispatcher, call->job, call->first,
			   result != NULL,
			   result ? (lease_status_t)result->status : LEASE_LOST,
			   call->sent_ms);
	chunk_call_free(call);
}

static void on_no_coordinator(evutil_socket_t fd, short events, void *arg)
{
	GError *error = g_error_new_literal(WL_ERROR, WL_ERROR_REFUSED,
					    "no coordinator is known");

	on_renewed(NULL, error, arg);
	g_error_free(error);
}

void dispatch_grant_renew(const dispatch_chunk_t *chunk, const GArray *suspects,
			  void *user_data)
{
	dispatch_t *dispatch = user_data;
	const char *address = dispatch_coordinator_of(dispatch, chunk->job);
	chunk_call_t *call = chunk_call_new(dispatch, chunk->job, chunk->first);
	chunk_renew_args args = {
		.holder = (char *)dispatch_own_address(dispatch),
		.job = chunk->job,
		.first = chunk->first,
		.suspects = dispatch_suspects_to_wire(suspects),
	};
	rpc_call_options_t options = {
		.procedure = CHUNK_RENEW,
		.encode = (xdrproc_t)xdr_chunk_renew_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_chunk_renew_result,
		.result_size = sizeof(chunk_renew_result),
		.done = on_renewed,
		.user_data = call,
	};
	struct timeval now = { 0, 0 };

	if (address)
		dispatch_coordinator_call(dispatch, address, &options);
	else
		event_base_once(dispatch->entry->base, -1, EV_TIMEOUT,
				on_no_coordinator, call, &now);
}

static void on_done_reported(const void *result, const GError *error,
			     void *user_data)
{
}

void dispatch_grant_done(const dispatch_chunk_t *chunk,
			 const coordinator_result_t *result, void *user_data)
{
	dispatch_t *dispatch = user_data;
	const char *address = dispatch_coordinator_of(dispatch, chunk->job);
	chunk_done_args args = {
		.holder = (char *)dispatch_own_address(dispatch),
		.job = chunk->job,
		.first = chunk->first,
		.count = result->count,
		.completed = result->completed,
		.failed = result->failed,
	};
	rpc_call_options_t options = {
		.procedure = CHUNK_DONE,
		.encode = (xdrproc_t)xdr_chunk_done_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_chunk_done_result,
		.result_size = sizeof(chunk_done_result),
		.done = on_done_reported,
	};

	if (address)
		dispatch_coordinator_call(dispatch, address, &options);
}

void dispatch_grant_offer_free(void *data)
{
	offer_t *offer = data;

	g_free(offer->coordinator);
	g_free(offer->partner);
	g_free(offer->deployment);
	g_free(offer);
}

static offer_t *find_offer(const dispatch_t *dispatch, const char *coordinator,
			   const char *partner, const char *deployment)
{
	for (guint i = 0; i < dispatch->offers->len; i++) {
		offer_t *offer = dispatch->offers->pdata[i];

		if (strcmp(offer->coordinator, coordinator) == 0 &&
		    strcmp(offer->partner, partner) == 0 &&
		    strcmp(offer->deployment, deployment) == 0)
			return offer;
	}
	return NULL;
}

/*
 * Selects coordinators in round-robin order, so that the jobs of each get their
 * share. Every second pull instead prefers the coordinator with the least slack
 * when some job has negative slack.
 */
static offer_t *select_offer(dispatch_t *dispatch, const char *partner,
			     const char *deployment)
{
	bool urgent = ++dispatch->pull_count % 2 == 0;
	offer_t *best = NULL;

	for (guint i = 0; i < dispatch->offers->len; i++) {
		offer_t *offer = dispatch->offers->pdata[i];
		bool before;

		if (offer->waiting == 0 ||
		    dispatch_now_ms(dispatch) >
			    offer->received_ms + OFFER_TTL_MS ||
		    strcmp(offer->partner, partner) != 0 ||
		    strcmp(offer->deployment, deployment) != 0)
			continue;
		if (best && urgent &&
		    (offer->slack_ms < 0 || best->slack_ms < 0))
			before = offer->slack_ms < best->slack_ms;
		else
			before = best && offer->last_pull < best->last_pull;
		if (!best || before)
			best = offer;
	}
	if (best)
		best->last_pull = dispatch->pull_count;
	return best;
}

static void accept_grant(chunk_call_t *call, const chunk_grant *wire)
{
	GArray *suspects = suspects_from_wire(&wire->suspects);
	dispatcher_grant_t grant = {
		.partner = call->partner,
		.deployment = call->deployment,
		.job = wire->job,
		.input_file_id = wire->input_file_id,
		.part = wire->part,
		.line = wire->line,
		.first = wire->first,
		.count = wire->count,
		.slack_ms = wire->slack_ms,
		.lease_until_ms = call->sent_ms + COORDINATOR_LEASE_MS,
		.suspects = suspects,
	};

	/* A pending release of the earlier lease must not end this one. */
	dispatch_release_cancel(call->dispatch, wire->job, wire->first,
				suspects);
	if (grant.count > 0 && grant.count <= JOB_MAX_CHUNK_ITEMS)
		dispatcher_granted(call->dispatch->dispatcher, &grant);
	g_array_free(suspects, TRUE);
}

static void on_pulled(const void *data, const GError *error, void *user_data)
{
	const chunk_pull_result *result = data;
	chunk_call_t *call = user_data;
	offer_t *offer = find_offer(call->dispatch, call->coordinator,
				    call->partner, call->deployment);
	bool granted = !error && result->grants.grants_len > 0;

	if (granted)
		accept_grant(call, &result->grants.grants_val[0]);
	else if (offer)
		offer->waiting = 0;
	dispatcher_pulled(call->dispatch->dispatcher, call->partner,
			  call->deployment, 0);
	dispatch_schedule_tick(call->dispatch);
	chunk_call_free(call);
}

static void on_no_offer(evutil_socket_t fd, short events, void *arg)
{
	chunk_call_t *call = arg;

	dispatcher_pulled(call->dispatch->dispatcher, call->partner,
			  call->deployment, NO_OFFER_RETRY_MS);
	chunk_call_free(call);
}

void dispatch_grant_pull(const char *partner, const char *deployment,
			 void *user_data)
{
	dispatch_t *dispatch = user_data;
	offer_t *offer = select_offer(dispatch, partner, deployment);
	chunk_call_t *call = chunk_call_new(dispatch, NULL, 0);
	chunk_pull_args args = {
		.holder = (char *)dispatch_own_address(dispatch),
		.partner = (char *)partner,
		.deployment = (char *)deployment,
	};
	rpc_call_options_t options = {
		.procedure = CHUNK_PULL,
		.encode = (xdrproc_t)xdr_chunk_pull_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_chunk_pull_result,
		.result_size = sizeof(chunk_pull_result),
		.done = on_pulled,
		.user_data = call,
	};
	struct timeval now = { 0, 0 };

	call->partner = g_strdup(partner);
	call->deployment = g_strdup(deployment);
	if (!offer) {
		event_base_once(dispatch->entry->base, -1, EV_TIMEOUT,
				on_no_offer, call, &now);
		return;
	}
	call->coordinator = g_strdup(offer->coordinator);
	dispatch_coordinator_call(dispatch, offer->coordinator, &options);
}

void dispatch_grant_handle_offer(rpc_call_t *call, const void *data,
				 void *user_data)
{
	const chunk_offer_args *args = data;
	dispatch_t *dispatch = user_data;
	chunk_offer_result result = { .ok = TRUE };

	for (u_int i = 0; i < args->offers.offers_len; i++) {
		const chunk_offer *wire = &args->offers.offers_val[i];
		offer_t *offer = find_offer(dispatch, args->coordinator,
					    wire->partner, wire->deployment);

		if (!offer) {
			offer = g_new0(offer_t, 1);
			offer->coordinator = g_strdup(args->coordinator);
			offer->partner = g_strdup(wire->partner);
			offer->deployment = g_strdup(wire->deployment);
			g_ptr_array_add(dispatch->offers, offer);
		}
		offer->waiting = wire->waiting;
		offer->slack_ms = wire->slack_ms;
		offer->received_ms = dispatch_now_ms(dispatch);
		dispatcher_offered(dispatch->dispatcher, wire->partner,
				   wire->deployment);
	}
	dispatch_schedule_tick(dispatch);
	rpc_reply(call, &result);
}

void dispatch_grant_remove_expired_offers(dispatch_t *dispatch)
{
	for (guint i = dispatch->offers->len; i-- > 0;) {
		const offer_t *offer = dispatch->offers->pdata[i];

		if (dispatch_now_ms(dispatch) >
		    offer->received_ms + OFFER_TTL_MS)
			g_ptr_array_remove_index_fast(dispatch->offers, i);
	}
}

static void on_written(object_write_outcome_t outcome, void *user_data)
{
	chunk_call_t *call = user_data;

	log_debug("chunk_written", "job=%s first=%u outcome=%d", call->job,
		  call->first, (int)outcome);
	dispatcher_written(call->dispatch->dispatcher, call->job, call->first,
			   outcome);
	dispatch_schedule_tick(call->dispatch);
	chunk_call_free(call);
}

void dispatch_grant_write(const dispatch_chunk_t *chunk, GBytes *object,
			  void *user_data)
{
	dispatch_t *dispatch = user_data;
	char *key = result_key(chunk->job, chunk->first);

	object_writer_create(
		dispatch->entry->writer, key, object, 0, on_written,
		chunk_call_new(dispatch, chunk->job, chunk->first));
	g_free(key);
}
