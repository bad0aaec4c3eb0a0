#include "entry/dispatch.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "backend/engine_client.h"
#include "backend/sse.h"
#include "base/error.h"
#include "base/log.h"
#include "batch/dispatcher.h"
#include "batch/result.h"
#include "entry/batch_id.h"
#include "platform/object_writer.h"
#include "rpc/batch_xdr.h"

#define IDLE_TICK_MS 100
#define BUSY_TICK_MS 10
#define MEMBERS_MS 250
#define LOAD_MS 1000
#define CALL_TIMEOUT_MS 1000
#define PROBE_TIMEOUT_MS 1000
/* Longest pause between tokens; a prompt may be long. */
#define STALL_MS 30000
#define OFFER_TTL_MS 3000
#define NO_OFFER_RETRY_MS 1000
#define CACHED_PARTS 4
#define PRESSURE_MIN_MS 5
/* While no batch runs on the runner, its dispatcher need not know at once. */
#define PRESSURE_IDLE_MS 1000
#define PRESSURE_TTL_MS 3000

typedef struct part {
	char *key;
	GBytes *data;
	int64_t used_ms;
} part_t;

typedef struct offer {
	char *coordinator;
	char *partner;
	char *deployment;
	uint32_t waiting;
	int64_t slack_ms;
	int64_t seen_ms;
	int64_t pulled; /* sequence of the last pull */
} offer_t;

typedef struct pressure {
	char *runner;
	char *sender;
	uint32_t in_flight;
	int64_t seen_ms;
} pressure_t;

/* This node's online requests on a runner, and what its dispatcher knows. */
typedef struct own_load {
	char *runner;
	uint32_t in_flight;
	uint32_t told;
	int64_t told_ms;
} own_load_t;

struct dispatch {
	entry_t *entry;
	dispatcher_t *dispatcher;
	struct event *tick;
	struct event *pressure; /* a change waits for its pause to end */
	struct event *soon; /* a tick right after the current event */
	GPtrArray *parts; /* part_t */
	GPtrArray *offers; /* offer_t */
	GHashTable *pressures; /* "runner sender" -> pressure_t */
	GHashTable *own_loads; /* runner -> own_load_t */
	int64_t members_ms;
	int64_t load_ms;
	int64_t pulls;
	int64_t attempts;
	int64_t *items_started;
	int64_t *items_stopped;
	int64_t *items_completed;
	int64_t *items_failed;
	int64_t *running;
	int64_t *pressures_sent;
};

typedef struct stream {
	dispatch_t *dispatch;
	dispatch_item_t *item;
	engine_call_t *call;
	char *request_id;
	char *finish_reason;
	json_t *usage;
	char *model;
} stream_t;

/* A message about a chunk, which may be gone when the answer comes. */
typedef struct chunk_call {
	dispatch_t *dispatch;
	char *job;
	char *key; /* of a part */
	char *partner;
	char *deployment;
	char *coordinator;
	uint32_t first;
	int64_t sent_ms;
} chunk_call_t;

static int64_t now_ms(const dispatch_t *dispatch)
{
	return clock_now_ms(dispatch->entry->clock);
}

static const char *own_address(const dispatch_t *dispatch)
{
	return member_self(dispatch->entry->members)->address;
}

static void schedule_soon(dispatch_t *dispatch)
{
	event_active(dispatch->soon, EV_TIMEOUT, 0);
}

static chunk_call_t *chunk_call_new(dispatch_t *dispatch, const char *job,
				    uint32_t first)
{
	chunk_call_t *call = g_new0(chunk_call_t, 1);

	call->dispatch = dispatch;
	call->job = g_strdup(job);
	call->first = first;
	call->sent_ms = now_ms(dispatch);
	return call;
}

static void chunk_call_free(chunk_call_t *call)
{
	g_free(call->job);
	g_free(call->key);
	g_free(call->partner);
	g_free(call->deployment);
	g_free(call->coordinator);
	g_free(call);
}

const char *dispatch_node_of(const entry_t *entry, const runner_t *runner)
{
	const member_t *node =
		member_owner(entry->members, runner->domain, runner->address);

	if (!node)
		node = member_owner(entry->members, NULL, runner->address);
	return node ? node->address : NULL;
}

/* Streams */

static void stream_free(stream_t *stream)
{
	g_free(stream->request_id);
	g_free(stream->finish_reason);
	g_free(stream->model);
	json_decref(stream->usage);
	g_free(stream);
}

static void replace_string(char **target, const char *value)
{
	if (!value)
		return;
	g_free(*target);
	*target = g_strdup(value);
}

static void take_event(stream_t *stream, const char *payload, size_t len)
{
	json_t *root = json_loadb(payload, len, 0, NULL);
	json_t *choice = json_array_get(json_object_get(root, "choices"), 0);
	json_t *usage = json_object_get(root, "usage");
	const char *content = json_string_value(
		json_object_get(json_object_get(choice, "delta"), "content"));

	replace_string(
		&stream->finish_reason,
		json_string_value(json_object_get(choice, "finish_reason")));
	replace_string(&stream->model,
		       json_string_value(json_object_get(root, "model")));
	if (json_is_object(usage)) {
		json_decref(stream->usage);
		stream->usage = json_incref(usage);
	}
	if (content && *content)
		dispatcher_item_tokens(stream->dispatch->dispatcher,
				       stream->item, content, 1);
	json_decref(root);
}

static void on_events(engine_call_t *call, const char *events, size_t len,
		      void *user_data)
{
	const char *payload;
	size_t payload_len, consumed;

	while (sse_next_payload(events, len, &payload, &payload_len,
				&consumed)) {
		take_event(user_data, payload, payload_len);
		events += consumed;
		len -= consumed;
	}
}

static char *whole_line(const stream_t *stream)
{
	const dispatch_item_t *item = stream->item;
	const char *deployment = item->chunk->pool->deployment;
	json_t *body = json_pack(
		"{s:s, s:s, s:I, s:s, s:[{s:i, s:{s:s, s:s}, s:s?}]}", "id",
		stream->request_id, "object", "chat.completion", "created",
		(json_int_t)(clock_wall_ms(stream->dispatch->entry->clock) /
			     1000),
		"model", stream->model ? stream->model : deployment, "choices",
		"index", 0, "message", "role", "assistant", "content",
		item->text ? item->text->str : "", "finish_reason",
		stream->finish_reason);

	if (stream->usage)
		json_object_set(body, "usage", stream->usage);
	return result_output_line(item->custom_id, stream->request_id, body);
}

static void on_stream_done(const engine_result_t *result, void *user_data)
{
	stream_t *stream = user_data;
	dispatch_t *dispatch = stream->dispatch;
	dispatch_item_t *item = stream->item;
	dispatcher_t *dispatcher = dispatch->dispatcher;

	if (result->outcome != ENGINE_WHOLE)
		log_debug("item_not_done",
			  "request=%s runner=%s fault=%s status=%d",
			  stream->request_id, item->runner->address,
			  engine_fault_name(result->fault), result->status);
	if (result->outcome == ENGINE_WHOLE) {
		++*dispatch->items_completed;
		dispatcher_item_whole(dispatcher, item, whole_line(stream));
	} else if (result->fault == ENGINE_FAULT_REJECTED ||
		   result->fault == ENGINE_FAULT_ERROR) {
		++*dispatch->items_failed;
		dispatcher_item_failed(dispatcher, item, "engine_error",
				       "the engine answered with an error");
	} else if (result->outcome == ENGINE_MAY_HAVE_RUN) {
		dispatcher_item_cut(dispatcher, item);
	} else {
		dispatcher_item_refused(dispatcher, item);
	}
	stream_free(stream);
	schedule_soon(dispatch);
}

static const char *version_for(const dispatch_t *dispatch,
			       const dispatch_pool_t *pool)
{
	const document_t *document = dispatch->entry->document;
	const document_partner_t *partner =
		document ? document_find_partner(document, pool->partner) :
			   NULL;
	const document_deployment_t *deployment =
		partner ? document_find_deployment(partner, pool->deployment) :
			  NULL;

	return deployment ? deployment->version : NULL;
}

static void op_start(dispatch_item_t *item, json_t *body, void *user_data)
{
	dispatch_t *dispatch = user_data;
	stream_t *stream = g_new0(stream_t, 1);
	engine_call_options_t options = {
		.address = item->runner->address,
		.version = version_for(dispatch, item->chunk->pool),
		.stream = true,
		.resume_from = (int64_t)item->tokens,
		.stall_ms = STALL_MS,
		.events = on_events,
		.done = on_stream_done,
		.user_data = stream,
	};
	char *text;

	json_object_set_new(body, "stream", json_true());
	text = json_dumps(body, JSON_COMPACT);
	stream->dispatch = dispatch;
	stream->item = item;
	stream->request_id =
		g_strdup_printf("batch_req_%s_%u-%" PRIx64, item->chunk->job,
				item->number, (uint64_t)++dispatch->attempts);
	options.request_id = stream->request_id;
	options.body = text;
	options.body_len = strlen(text);
	item->call = stream;
	++*dispatch->items_started;
	stream->call = engine_call_start(dispatch->entry->engines, &options);
	free(text);
}

static void op_stop(dispatch_item_t *item, void *user_data)
{
	dispatch_t *dispatch = user_data;
	stream_t *stream = item->call;

	++*dispatch->items_stopped;
	engine_call_cancel(stream->call);
	stream_free(stream);
}

static void on_probed(const http_answer_t *answer, void *user_data)
{
	chunk_call_t *call = user_data;

	dispatcher_probed(call->dispatch->dispatcher, call->key,
			  answer->outcome == HTTP_COMPLETE);
	schedule_soon(call->dispatch);
	chunk_call_free(call);
}

static void op_probe(const char *address, void *user_data)
{
	dispatch_t *dispatch = user_data;
	chunk_call_t *call = chunk_call_new(dispatch, NULL, 0);
	http_request_options_t options = {
		.method = "GET",
		.address = address,
		.target = "/healthz",
		.timeout_ms = PROBE_TIMEOUT_MS,
		.fresh_connection = true,
		.on_done = on_probed,
		.user_data = call,
	};

	call->key = g_strdup(address);
	http_call_start(dispatch->entry->http, &options);
}

/* Input parts */

static void part_free(void *data)
{
	part_t *part = data;

	g_free(part->key);
	g_bytes_unref(part->data);
	g_free(part);
}

static part_t *find_part(const dispatch_t *dispatch, const char *key)
{
	for (guint i = 0; i < dispatch->parts->len; i++) {
		part_t *part = dispatch->parts->pdata[i];

		if (strcmp(part->key, key) == 0)
			return part;
	}
	return NULL;
}

static void remember_part(dispatch_t *dispatch, const char *key, GBytes *data)
{
	part_t *part = find_part(dispatch, key);
	guint oldest = 0;

	if (part)
		return;
	part = g_new0(part_t, 1);
	part->key = g_strdup(key);
	part->data = g_bytes_ref(data);
	part->used_ms = now_ms(dispatch);
	g_ptr_array_add(dispatch->parts, part);
	if (dispatch->parts->len <= CACHED_PARTS)
		return;
	for (guint i = 1; i < dispatch->parts->len; i++)
		if (((part_t *)dispatch->parts->pdata[i])->used_ms <
		    ((part_t *)dispatch->parts->pdata[oldest])->used_ms)
			oldest = i;
	g_ptr_array_remove_index_fast(dispatch->parts, oldest);
}

static void on_part(const object_value_t *value, const GError *error,
		    void *user_data)
{
	chunk_call_t *call = user_data;
	dispatch_t *dispatch = call->dispatch;
	GBytes *data = error ? NULL : g_bytes_new(value->data, value->len);

	if (error)
		log_warn("part_not_read", "key=%s error=%s", call->key,
			 error_name((error_code_t)error->code));
	else
		remember_part(dispatch, call->key, data);
	dispatcher_loaded(dispatch->dispatcher, call->job, call->first, data);
	if (data)
		g_bytes_unref(data);
	schedule_soon(dispatch);
	chunk_call_free(call);
}

static void on_cached_part(evutil_socket_t fd, short events, void *arg)
{
	chunk_call_t *call = arg;
	dispatch_t *dispatch = call->dispatch;
	part_t *part = find_part(dispatch, call->key);

	if (!part) {
		object_get(dispatch->entry->store, call->key, on_part, call);
		return;
	}
	part->used_ms = now_ms(dispatch);
	dispatcher_loaded(dispatch->dispatcher, call->job, call->first,
			  part->data);
	schedule_soon(dispatch);
	chunk_call_free(call);
}

static void op_load(const dispatch_chunk_t *chunk, void *user_data)
{
	dispatch_t *dispatch = user_data;
	chunk_call_t *call = chunk_call_new(dispatch, chunk->job, chunk->first);
	struct timeval now = { 0, 0 };

	call->key = g_strdup_printf("file/%s/%06u", chunk->input_file_id,
				    chunk->part);
	event_base_once(dispatch->entry->base, -1, EV_TIMEOUT, on_cached_part,
			call, &now);
}

/* Messages to coordinators */

static const char *coordinator_of(const dispatch_t *dispatch, const char *job)
{
	record_key_t key;
	const char *address;

	if (!batch_id_key(job, &key))
		return NULL;
	if (records_is_owner(dispatch->entry->records, &key))
		return own_address(dispatch);
	address = records_owner_address(dispatch->entry->records, &key);
	return address && *address ? address : NULL;
}

static void call_coordinator(dispatch_t *dispatch, const char *address,
			     rpc_call_options_t *options)
{
	options->address = address;
	options->program = CHUNK_PROGRAM;
	options->timeout_ms = CALL_TIMEOUT_MS;
	rpc_client_call(dispatch->entry->rpc_client, options);
}

static batch_suspects suspects_to_wire(const GArray *suspects)
{
	/* suspect_t has the layout of the wire type. */
	batch_suspects wire = {
		suspects ? MIN(suspects->len, BATCH_SUSPECTS_MAX) : 0,
		suspects ? (batch_suspect *)suspects->data : NULL
	};

	return wire;
}

static GArray *suspects_from_wire(const batch_suspects *wire)
{
	GArray *suspects = g_array_new(FALSE, FALSE, sizeof(suspect_t));

	if (wire->batch_suspects_len)
		g_array_append_vals(suspects, wire->batch_suspects_val,
				    wire->batch_suspects_len);
	return suspects;
}

static void on_renewed(const void *data, const GError *error, void *user_data)
{
	const chunk_renew_result *result = data;
	chunk_call_t *call = user_data;

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

static void op_renew(const dispatch_chunk_t *chunk, const GArray *suspects,
		     void *user_data)
{
	dispatch_t *dispatch = user_data;
	const char *address = coordinator_of(dispatch, chunk->job);
	chunk_call_t *call = chunk_call_new(dispatch, chunk->job, chunk->first);
	chunk_renew_args args = {
		.holder = (char *)own_address(dispatch),
		.job = chunk->job,
		.first = chunk->first,
		.suspects = suspects_to_wire(suspects),
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
		call_coordinator(dispatch, address, &options);
	else
		event_base_once(dispatch->entry->base, -1, EV_TIMEOUT,
				on_no_coordinator, call, &now);
}

static void on_done_told(const void *result, const GError *error,
			 void *user_data)
{
}

static void tell_done(dispatch_t *dispatch, const dispatch_chunk_t *chunk,
		      const coordinator_result_t *result,
		      const GArray *suspects)
{
	const char *address = coordinator_of(dispatch, chunk->job);
	chunk_done_args args = {
		.holder = (char *)own_address(dispatch),
		.job = chunk->job,
		.first = chunk->first,
		.count = result ? result->count : 0,
		.completed = result ? result->completed : 0,
		.failed = result ? result->failed : 0,
		.suspects = suspects_to_wire(suspects),
	};
	rpc_call_options_t options = {
		.procedure = CHUNK_DONE,
		.encode = (xdrproc_t)xdr_chunk_done_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_chunk_done_result,
		.result_size = sizeof(chunk_done_result),
		.done = on_done_told,
	};

	if (address)
		call_coordinator(dispatch, address, &options);
}

static void op_done(const dispatch_chunk_t *chunk,
		    const coordinator_result_t *result, void *user_data)
{
	tell_done(user_data, chunk, result, NULL);
}

static void op_hand_back(const dispatch_chunk_t *chunk, const GArray *suspects,
			 void *user_data)
{
	tell_done(user_data, chunk, NULL, suspects);
}

static void offer_free(void *data)
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
 * Coordinators take turns, so that each one's jobs get their share, but one
 * with a job that cannot wait (no slack) goes first every other time.
 */
static offer_t *choose_offer(dispatch_t *dispatch, const char *partner,
			     const char *deployment)
{
	bool urgent = ++dispatch->pulls % 2 == 0;
	offer_t *best = NULL;

	for (guint i = 0; i < dispatch->offers->len; i++) {
		offer_t *offer = dispatch->offers->pdata[i];
		bool before;

		if (offer->waiting == 0 ||
		    now_ms(dispatch) > offer->seen_ms + OFFER_TTL_MS ||
		    strcmp(offer->partner, partner) != 0 ||
		    strcmp(offer->deployment, deployment) != 0)
			continue;
		if (best && urgent &&
		    (offer->slack_ms < 0 || best->slack_ms < 0))
			before = offer->slack_ms < best->slack_ms;
		else
			before = best && offer->pulled < best->pulled;
		if (!best || before)
			best = offer;
	}
	if (best)
		best->pulled = dispatch->pulls;
	return best;
}

static void take_grant(chunk_call_t *call, const chunk_grant *wire)
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
		take_grant(call, &result->grants.grants_val[0]);
	else if (offer)
		offer->waiting = 0;
	dispatcher_pulled(call->dispatch->dispatcher, call->partner,
			  call->deployment, 0);
	schedule_soon(call->dispatch);
	chunk_call_free(call);
}

static void on_no_offer(evutil_socket_t fd, short events, void *arg)
{
	chunk_call_t *call = arg;

	dispatcher_pulled(call->dispatch->dispatcher, call->partner,
			  call->deployment, NO_OFFER_RETRY_MS);
	chunk_call_free(call);
}

static void op_pull(const char *partner, const char *deployment,
		    void *user_data)
{
	dispatch_t *dispatch = user_data;
	offer_t *offer = choose_offer(dispatch, partner, deployment);
	chunk_call_t *call = chunk_call_new(dispatch, NULL, 0);
	chunk_pull_args args = {
		.holder = (char *)own_address(dispatch),
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
	call_coordinator(dispatch, offer->coordinator, &options);
}

static void handle_offer(rpc_call_t *call, const void *data, void *user_data)
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
		offer->seen_ms = now_ms(dispatch);
		dispatcher_offered(dispatch->dispatcher, wire->partner,
				   wire->deployment);
	}
	schedule_soon(dispatch);
	rpc_reply(call, &result);
}

static void forget_offers(dispatch_t *dispatch)
{
	for (guint i = dispatch->offers->len; i-- > 0;) {
		const offer_t *offer = dispatch->offers->pdata[i];

		if (now_ms(dispatch) > offer->seen_ms + OFFER_TTL_MS)
			g_ptr_array_remove_index_fast(dispatch->offers, i);
	}
}

/* Results */

static void on_written(object_write_outcome_t outcome, void *user_data)
{
	chunk_call_t *call = user_data;

	log_debug("chunk_written", "job=%s first=%u outcome=%d", call->job,
		  call->first, (int)outcome);
	dispatcher_written(call->dispatch->dispatcher, call->job, call->first,
			   outcome);
	schedule_soon(call->dispatch);
	chunk_call_free(call);
}

static void op_write(const dispatch_chunk_t *chunk, GBytes *object,
		     void *user_data)
{
	dispatch_t *dispatch = user_data;
	char *key = result_key(chunk->job, chunk->first);

	object_writer_create(
		dispatch->entry->writer, key, object, 0, on_written,
		chunk_call_new(dispatch, chunk->job, chunk->first));
	g_free(key);
}

/* Online load */

static void pressure_free(void *data)
{
	pressure_t *pressure = data;

	g_free(pressure->runner);
	g_free(pressure->sender);
	g_free(pressure);
}

static uint32_t pressure_on(const dispatch_t *dispatch, const char *runner)
{
	uint32_t in_flight = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, dispatch->pressures);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const pressure_t *pressure = value;

		if (now_ms(dispatch) > pressure->seen_ms + PRESSURE_TTL_MS)
			g_hash_table_iter_remove(&iter);
		else if (strcmp(pressure->runner, runner) == 0)
			in_flight += pressure->in_flight;
	}
	return in_flight;
}

static own_load_t *find_own_load(const dispatch_t *dispatch, const char *runner)
{
	return g_hash_table_lookup(dispatch->own_loads, runner);
}

static void refresh_online(dispatch_t *dispatch, const char *runner)
{
	const own_load_t *own = find_own_load(dispatch, runner);

	dispatcher_set_online(dispatch->dispatcher, runner,
			      (own ? own->in_flight : 0) +
				      pressure_on(dispatch, runner));
}

static void refresh_all_online(dispatch_t *dispatch)
{
	GHashTableIter iter;
	void *runner;

	g_hash_table_iter_init(&iter, dispatcher_runners(dispatch->dispatcher));
	while (g_hash_table_iter_next(&iter, &runner, NULL))
		refresh_online(dispatch, runner);
}

static void handle_pressure(rpc_call_t *call, const void *data, void *user_data)
{
	const runner_pressure_args *args = data;
	dispatch_t *dispatch = user_data;
	char *key = g_strconcat(args->runner, " ", args->sender, NULL);
	const dispatch_runner_t *runner = g_hash_table_lookup(
		dispatcher_runners(dispatch->dispatcher), args->runner);
	runner_pressure_result result = { .ok = runner &&
						runner->pool->chunks->len > 0 };
	pressure_t *pressure = g_new0(pressure_t, 1);

	pressure->runner = g_strdup(args->runner);
	pressure->sender = g_strdup(args->sender);
	pressure->in_flight = args->in_flight;
	pressure->seen_ms = now_ms(dispatch);
	g_hash_table_replace(dispatch->pressures, key, pressure);
	refresh_online(dispatch, args->runner);
	schedule_soon(dispatch);
	rpc_reply(call, &result);
}

static void on_pressure_told(const void *data, const GError *error,
			     void *user_data)
{
	const runner_pressure_result *result = data;
	chunk_call_t *call = user_data;
	own_load_t *own = find_own_load(call->dispatch, call->key);

	/* No batch runs there: its dispatcher need not know at once. */
	if (own && (error || !result->ok))
		own->told_ms += PRESSURE_IDLE_MS;
	chunk_call_free(call);
}

static void send_pressure(dispatch_t *dispatch, own_load_t *own,
			  const char *node)
{
	chunk_call_t *call = chunk_call_new(dispatch, NULL, 0);
	runner_pressure_args args = {
		.sender = (char *)own_address(dispatch),
		.runner = own->runner,
		.in_flight = own->in_flight,
	};
	rpc_call_options_t options = {
		.address = node,
		.program = RUNNER_PROGRAM,
		.procedure = RUNNER_PRESSURE,
		.encode = (xdrproc_t)xdr_runner_pressure_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_runner_pressure_result,
		.result_size = sizeof(runner_pressure_result),
		.timeout_ms = CALL_TIMEOUT_MS,
		.done = on_pressure_told,
		.user_data = call,
	};

	call->key = g_strdup(own->runner);
	own->told = own->in_flight;
	own->told_ms = now_ms(dispatch);
	++*dispatch->pressures_sent;
	rpc_client_call(dispatch->entry->rpc_client, &options);
}

/* A change goes out after a short pause, and a count above 0 is repeated
 * before the receiver forgets it. */
static void tell_pressure(dispatch_t *dispatch, own_load_t *own,
			  const runner_t *runner)
{
	bool changed = own->in_flight != own->told;
	const char *node;

	if ((!changed && own->in_flight == 0) ||
	    now_ms(dispatch) < own->told_ms + (changed ? PRESSURE_MIN_MS :
							 PRESSURE_IDLE_MS))
		return;
	node = dispatch_node_of(dispatch->entry, runner);
	if (node && strcmp(node, own_address(dispatch)) != 0)
		send_pressure(dispatch, own, node);
}

static void tell_pressures(dispatch_t *dispatch)
{
	const GPtrArray *engines;

	if (g_hash_table_size(dispatch->own_loads) == 0)
		return;
	engines = runner_set_engines(dispatch->entry->runners);
	for (guint i = 0; i < engines->len; i++) {
		const runner_t *runner = engines->pdata[i];
		own_load_t *own = find_own_load(dispatch, runner->address);

		if (own)
			tell_pressure(dispatch, own, runner);
	}
}

static void own_load_free(void *data)
{
	own_load_t *own = data;

	g_free(own->runner);
	g_free(own);
}

static void on_own_load(const char *runner, uint32_t in_flight, void *user_data)
{
	dispatch_t *dispatch = user_data;
	own_load_t *own = find_own_load(dispatch, runner);
	struct timeval pause = { 0, PRESSURE_MIN_MS * 1000 };

	if (!own) {
		own = g_new0(own_load_t, 1);
		own->runner = g_strdup(runner);
		g_hash_table_insert(dispatch->own_loads, own->runner, own);
	}
	own->in_flight = in_flight;
	if (g_hash_table_contains(dispatcher_runners(dispatch->dispatcher),
				  runner)) {
		refresh_online(dispatch, runner);
		return;
	}
	if (now_ms(dispatch) >= own->told_ms + PRESSURE_MIN_MS)
		tell_pressures(dispatch);
	else if (!evtimer_pending(dispatch->pressure, NULL))
		evtimer_add(dispatch->pressure, &pause);
}

static void on_pressure_due(evutil_socket_t fd, short events, void *arg)
{
	tell_pressures(arg);
}

/* Runners */

static void on_load(const http_answer_t *answer, void *user_data)
{
	chunk_call_t *call = user_data;
	json_t *root = NULL;
	json_int_t slots;

	if (answer->outcome == HTTP_COMPLETE && answer->status == 200)
		root = json_loadb(answer->body, answer->body_len, 0, NULL);
	slots = json_integer_value(json_object_get(root, "slots"));
	if (slots > 0)
		dispatcher_report_slots(call->dispatch->dispatcher, call->key,
					(uint32_t)slots);
	json_decref(root);
	chunk_call_free(call);
}

static void ask_load(dispatch_t *dispatch, const dispatch_runner_t *runner)
{
	chunk_call_t *call = chunk_call_new(dispatch, NULL, 0);
	http_request_options_t options = {
		.method = "GET",
		.address = runner->address,
		.target = "/engine/load",
		.timeout_ms = PROBE_TIMEOUT_MS,
		.on_done = on_load,
		.user_data = call,
	};

	call->key = g_strdup(runner->address);
	http_call_start(dispatch->entry->http, &options);
}

static void ask_loads(dispatch_t *dispatch)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, dispatcher_runners(dispatch->dispatcher));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const dispatch_runner_t *runner = value;

		if (runner->slot.reported == 0 ||
		    dispatcher_chunks(dispatch->dispatcher) > 0)
			ask_load(dispatch, runner);
	}
}

static void refresh_runners(dispatch_t *dispatch)
{
	entry_t *entry = dispatch->entry;
	const GPtrArray *engines = runner_set_engines(entry->runners);
	GArray *own =
		g_array_new(FALSE, FALSE, sizeof(dispatcher_runner_info_t));

	for (guint i = 0; i < engines->len; i++) {
		const runner_t *runner = engines->pdata[i];
		const char *node = dispatch_node_of(entry, runner);
		dispatcher_runner_info_t info = { runner->address,
						  runner->partner,
						  runner->deployment };

		if (node && strcmp(node, own_address(dispatch)) == 0)
			g_array_append_val(own, info);
	}
	dispatcher_set_runners(dispatch->dispatcher,
			       (dispatcher_runner_info_t *)own->data, own->len);
	g_array_free(own, TRUE);
}

static void run(dispatch_t *dispatch)
{
	dispatcher_tick(dispatch->dispatcher);
	*dispatch->running = dispatcher_running(dispatch->dispatcher);
}

static void on_soon(evutil_socket_t fd, short events, void *arg)
{
	run(arg);
}

static void on_tick(evutil_socket_t fd, short events, void *arg)
{
	dispatch_t *dispatch = arg;
	bool busy = dispatcher_chunks(dispatch->dispatcher) > 0;
	struct timeval period = { 0,
				  (busy ? BUSY_TICK_MS : IDLE_TICK_MS) * 1000 };
	int64_t now = now_ms(dispatch);

	if (now >= dispatch->members_ms) {
		dispatch->members_ms = now + MEMBERS_MS;
		refresh_runners(dispatch);
		forget_offers(dispatch);
		refresh_all_online(dispatch);
	}
	if (now >= dispatch->load_ms) {
		dispatch->load_ms = now + LOAD_MS;
		ask_loads(dispatch);
	}
	tell_pressures(dispatch);
	run(dispatch);
	evtimer_add(dispatch->tick, &period);
}

static void register_procedures(dispatch_t *dispatch)
{
	const rpc_procedure_t procedures[] = {
		{ CHUNK_PROGRAM, CHUNK_OFFER, (xdrproc_t)xdr_chunk_offer_args,
		  sizeof(chunk_offer_args), (xdrproc_t)xdr_chunk_offer_result,
		  handle_offer, dispatch },
		{ RUNNER_PROGRAM, RUNNER_PRESSURE,
		  (xdrproc_t)xdr_runner_pressure_args,
		  sizeof(runner_pressure_args),
		  (xdrproc_t)xdr_runner_pressure_result, handle_pressure,
		  dispatch },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(procedures); i++)
		rpc_server_register(dispatch->entry->rpc_server,
				    &procedures[i]);
}

static void create_counters(dispatch_t *dispatch)
{
	counter_set_t *set = dispatch->entry->counters;

	dispatch->items_started = counter_get(
		set, COUNTER_MONOTONIC, "batch_items_started_total", NULL);
	dispatch->items_stopped = counter_get(
		set, COUNTER_MONOTONIC, "batch_items_stopped_total", NULL);
	dispatch->items_completed = counter_get(
		set, COUNTER_MONOTONIC, "batch_items_completed_total", NULL);
	dispatch->items_failed = counter_get(set, COUNTER_MONOTONIC,
					     "batch_item_errors_total", NULL);
	dispatch->pressures_sent = counter_get(
		set, COUNTER_MONOTONIC, "runner_pressure_sent_total", NULL);
	dispatch->running =
		counter_get(set, COUNTER_GAUGE, "batch_items_running", NULL);
}

dispatch_t *dispatch_new(entry_t *entry)
{
	dispatch_t *dispatch = g_new0(dispatch_t, 1);
	slot_options_t slots = {
		.fixed = (uint32_t)entry->options.batch_slots,
		.reserve = (uint32_t)entry->options.batch_reserve,
	};
	dispatcher_ops_t ops = {
		.start = op_start,
		.stop = op_stop,
		.probe = op_probe,
		.pull = op_pull,
		.load = op_load,
		.renew = op_renew,
		.write = op_write,
		.done = op_done,
		.hand_back = op_hand_back,
		.user_data = dispatch,
	};

	slot_parse_policy(entry->options.batch_policy, &slots.policy);
	dispatch->entry = entry;
	dispatch->dispatcher = dispatcher_new(&ops, entry->clock, &slots);
	dispatch->parts = g_ptr_array_new_with_free_func(part_free);
	dispatch->offers = g_ptr_array_new_with_free_func(offer_free);
	dispatch->pressures = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, pressure_free);
	dispatch->own_loads = g_hash_table_new_full(g_str_hash, g_str_equal,
						    NULL, own_load_free);
	dispatch->tick = evtimer_new(entry->base, on_tick, dispatch);
	dispatch->pressure =
		evtimer_new(entry->base, on_pressure_due, dispatch);
	dispatch->soon = event_new(entry->base, -1, 0, on_soon, dispatch);
	create_counters(dispatch);
	register_procedures(dispatch);
	pool_table_on_pressure(entry->pools, on_own_load, dispatch);
	on_tick(-1, 0, dispatch);
	return dispatch;
}

void dispatch_drain(dispatch_t *dispatch)
{
	dispatcher_drain(dispatch->dispatcher);
}

bool dispatch_is_idle(const dispatch_t *dispatch)
{
	return dispatcher_chunks(dispatch->dispatcher) == 0;
}
