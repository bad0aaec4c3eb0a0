#include "gateway/relay.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "backend/request_digest.h"
#include "base/log.h"
#include "gateway/admission_rule.h"
#include "gateway/take_up.h"

/* A stream with more pending bytes is ended, as its caller does not read. */
#define MAX_PENDING_BYTES (1024 * 1024)
/* Part of a hold over which the requests that it held back return. */
#define HOLD_SPREAD_DIVISOR 4

/* Why a request ended without a complete response of a runner: a reason of its
 * execution, or one of these. */
enum incomplete_reason {
	INCOMPLETE_DEADLINE = EXECUTION_REASONS,
	INCOMPLETE_SLOW_CALLER,
	INCOMPLETE_STOPPED, /* the grace period ended */
	INCOMPLETE_REASONS
};

struct relay {
	execution_context_t *executions;
	stream_origins_t *origins;
	path_table_t *const *paths;
	take_ups_t *take_ups;
	GRand *random;
	GQueue requests; /* relayed_t */
	/* Route name -> longest remaining time of its callers so far, in ms. */
	GHashTable *longest_deadlines;
	histogram_t latency;
	bool stopping;
	int64_t *accepted_total;
	int64_t *refused_total;
	int64_t *held_total;
	int64_t *completed_total;
	int64_t *failed_total;
	int64_t *incomplete_total[INCOMPLETE_REASONS];
	int64_t *abandoned_total;
	int64_t *take_ups_total;
	int64_t *take_ups_refused_total;
};

/* One request in flight. */
typedef struct relayed {
	relay_t *relay;
	path_table_t *paths;
	const path_route_t *route;
	http_exchange_t *exchange; /* NULL once answered or closed */
	execution_t *execution;
	char *id;
	char *runner; /* id of the runner that answered, else of the first attempt */
	int64_t received_us;
	int64_t expires_us; /* monotonic */
	int32_t deadline_ms; /* of the caller; 0: unknown */
	int32_t wait_ms; /* estimated wait for a slot */
	int32_t first_ms; /* until the response began; -1: not yet */
	prompt_parts_t parts;
	fleet_load_t load; /* of the first runner, including this request */
	bool is_retry; /* see admission_is_retry() */
	bool streaming;
	bool tells_origin; /* with its first event */
	GList link;
} relayed_t;

static void relayed_free(relayed_t *request)
{
	g_queue_unlink(&request->relay->requests, &request->link);
	path_table_unref(request->paths);
	g_free(request->id);
	g_free(request->runner);
	g_free(request);
}

static int32_t age_ms(const relayed_t *request)
{
	const clock_source_t *clock = request->relay->executions->clock;

	return (int32_t)((clock_now_us(clock) - request->received_us) / 1000);
}

static void add_headers(http_exchange_t *exchange, const GPtrArray *headers)
{
	for (guint i = 0; i + 1 < headers->len; i += 2)
		http_reply_header(exchange, headers->pdata[i],
				  headers->pdata[i + 1]);
}

void relay_refuse_as(http_exchange_t *exchange, int status,
		     int32_t retry_after_ms)
{
	char seconds[16];

	snprintf(seconds, sizeof(seconds), "%d.%03d", retry_after_ms / 1000,
		 retry_after_ms % 1000);
	http_reply_header(exchange, "Retry-After", seconds);
	http_reply(exchange, status, NULL, "", 0);
}

void relay_refuse(http_exchange_t *exchange, int32_t retry_after_ms)
{
	relay_refuse_as(exchange, 503, retry_after_ms);
}

/* Time after which to retry a request that has not run. Requests that are held
 * back return when that ends, not all at once. */
static int32_t retry_after_ms(const relay_t *relay, const prompt_parts_t *parts,
			      int32_t objective_ms, int32_t deadline_ms)
{
	int32_t hold_ms = execution_hold_ms(relay->executions, parts);

	if (hold_ms == 0)
		return admission_retry_after_ms(relay->random, objective_ms,
						deadline_ms);
	return hold_ms + g_rand_int_range(relay->random, 0,
					  hold_ms / HOLD_SPREAD_DIVISOR + 1);
}

static void note_runner(relayed_t *request)
{
	const fleet_runner_t *runner = execution_runner(request->execution);

	if (!runner)
		return;
	g_free(request->runner);
	request->runner = g_strdup(runner->id);
}

/* The part that most other requests of the caller share; 0: none. */
static uint64_t first_part(const prompt_parts_t *parts)
{
	return parts->count > 0 ? parts->ids[0] : 0;
}

static void log_end(const relayed_t *request, const char *outcome, int status)
{
	log_info("request_end",
		 "request=%s route=%s config=%" G_GUINT64_FORMAT
		 " runner=%s outcome=%s status=%d age_ms=%d first_ms=%d "
		 "wait_ms=%d returning=%d online=%u batch=%u part=%" PRIx64,
		 request->id, request->route->name, request->paths->version,
		 request->runner, outcome, status, age_ms(request),
		 request->first_ms, request->wait_ms, request->is_retry,
		 request->load.online, request->load.batch,
		 first_part(&request->parts));
}

/* For requests that were received before the stop. */
static void announce_close(const relayed_t *request)
{
	if (request->relay->stopping && !request->streaming)
		http_close_after(request->exchange);
}

static const char *incomplete_name(int reason)
{
	if (reason == INCOMPLETE_DEADLINE)
		return "deadline";
	if (reason == INCOMPLETE_SLOW_CALLER)
		return "slow_caller";
	if (reason == INCOMPLETE_STOPPED)
		return "stopped";
	return execution_reason_name((execution_reason_t)reason);
}

static int64_t config_age_ms(const relay_t *relay, const path_table_t *paths)
{
	return (clock_now_us(relay->executions->clock) - paths->adopted_us) /
	       1000;
}

/* Reports a request that ends without a complete response of a runner, other
 * than by its caller. */
static void note_incomplete(const relayed_t *request, const char *outcome,
			    int reason)
{
	relay_t *relay = request->relay;
	const path_table_t *latest = *relay->paths;
	int64_t left_ms = 0;

	if (request->expires_us)
		left_ms = (request->expires_us -
			   clock_now_us(relay->executions->clock)) /
			  1000;
	(*relay->incomplete_total[reason])++;
	log_info("request_incomplete",
		 "request=%s route=%s outcome=%s reason=%s runner=%s "
		 "age_ms=%d first_ms=%d left_ms=%" PRId64 " config=%" PRIu64
		 " config_age_ms=%" PRId64 " latest=%" PRIu64
		 " latest_age_ms=%" PRId64,
		 request->id, request->route->name, outcome,
		 incomplete_name(reason), request->runner, age_ms(request),
		 request->first_ms, left_ms, request->paths->version,
		 config_age_ms(relay, request->paths), latest->version,
		 config_age_ms(relay, latest));
}

static void on_start(const runner_answer_t *answer, void *user_data)
{
	relayed_t *request = user_data;

	announce_close(request);
	request->streaming = true;
	request->first_ms = age_ms(request);
	note_runner(request);
	histogram_add(&request->relay->latency,
		      (int64_t)age_ms(request) * 1000);
	add_headers(request->exchange, answer->headers);
	http_stream_start(request->exchange, answer->status, NULL);
}

/* Tells other nodes at which version the stream has begun, before the client has
 * its first event. */
static void tell_origin(relayed_t *request)
{
	relay_t *relay = request->relay;
	int64_t life_ms = STREAM_ORIGIN_LIFE_MAX_MS;

	if (request->expires_us)
		life_ms = (request->expires_us -
			   clock_now_us(relay->executions->clock)) /
			  1000;
	request->tells_origin = false;
	stream_origins_begin(relay->origins, stream_origin_key(request->id),
			     execution_version_key(request->execution),
			     life_ms);
}

static void on_event(const char *raw, size_t raw_len, const char *data,
		     size_t data_len, void *user_data)
{
	relayed_t *request = user_data;

	if (request->tells_origin)
		tell_origin(request);
	http_stream_write(request->exchange, raw, raw_len);
}

static void on_response(const runner_answer_t *answer, const char *body,
			size_t len, void *user_data)
{
	relayed_t *request = user_data;

	announce_close(request);
	request->first_ms = age_ms(request);
	note_runner(request);
	histogram_add(&request->relay->latency,
		      (int64_t)age_ms(request) * 1000);
	add_headers(request->exchange, answer->headers);
	http_reply(request->exchange, answer->status, NULL, body, len);
}

static void on_end(execution_outcome_t execution_outcome,
		   execution_reason_t reason, void *user_data)
{
	static const struct {
		const char *name;
		int status;
	} outcomes[] = {
		[EXECUTION_DONE] = { "done", 200 },
		[EXECUTION_NOT_RUN] = { "not_run", 503 },
		[EXECUTION_UNKNOWN] = { "unknown", 502 },
		[EXECUTION_TRUNCATED] = { "cut", 200 },
	};
	relayed_t *request = user_data;
	relay_t *relay = request->relay;
	http_exchange_t *exchange = request->exchange;

	request->execution = NULL;
	log_end(request, outcomes[execution_outcome].name,
		outcomes[execution_outcome].status);
	if (execution_outcome == EXECUTION_UNKNOWN ||
	    execution_outcome == EXECUTION_TRUNCATED)
		note_incomplete(request, outcomes[execution_outcome].name,
				reason);
	http_on_closed(exchange, NULL, NULL);
	if (execution_outcome == EXECUTION_NOT_RUN ||
	    execution_outcome == EXECUTION_UNKNOWN)
		announce_close(request);
	if (execution_outcome == EXECUTION_DONE)
		(*relay->completed_total)++;
	else
		(*relay->failed_total)++;
	if (execution_outcome == EXECUTION_DONE && request->streaming)
		http_stream_end(exchange);
	else if (execution_outcome == EXECUTION_TRUNCATED)
		http_stream_abort(exchange);
	else if (execution_outcome == EXECUTION_NOT_RUN)
		relay_refuse(exchange,
			     retry_after_ms(relay, &request->parts,
					    request->route->objective_ms,
					    request->deadline_ms));
	else if (execution_outcome == EXECUTION_UNKNOWN)
		http_reply(exchange, 502, NULL, "", 0);
	relayed_free(request);
}

static const execution_sink_t sink = {
	.start = on_start,
	.event = on_event,
	.response = on_response,
	.end = on_end,
};

static void on_closed(http_exchange_t *exchange, void *user_data)
{
	relayed_t *request = user_data;

	log_end(request, "caller_left", 0);
	(*request->relay->abandoned_total)++;
	execution_cancel(request->execution);
	relayed_free(request);
}

/* Time of expiry by the shorter of the caller's and the route's time limit;
 * 0: none. */
static int64_t deadline_us(const path_route_t *route,
			   const relay_request_t *request)
{
	int64_t limit_ms = route->timeout_ms;

	if (request->deadline_ms &&
	    (!limit_ms || request->deadline_ms < limit_ms))
		limit_ms = request->deadline_ms;
	return limit_ms ? request->received_us + limit_ms * 1000 : 0;
}

static bool is_resumable(const path_route_t *route)
{
	return route->kind == PATH_STREAM && route->resumable;
}

static bool is_likely_retry(relay_t *relay, const path_route_t *route,
			    int32_t deadline_ms)
{
	int32_t longest_ms = GPOINTER_TO_INT(
		g_hash_table_lookup(relay->longest_deadlines, route->name));

	if (deadline_ms > longest_ms)
		g_hash_table_insert(relay->longest_deadlines,
				    g_strdup(route->name),
				    GINT_TO_POINTER(deadline_ms));
	return admission_is_retry(longest_ms, deadline_ms);
}

static void refuse(relay_t *relay, const path_route_t *route,
		   http_exchange_t *exchange, const relay_request_t *request,
		   const char *service, const admission_input_t *input,
		   const prompt_parts_t *parts, bool is_retry)
{
	int32_t limit_wait_ms =
		service ?
			fleet_limit_wait_ms(relay->executions->fleet, service) :
			0;
	int32_t retry_after_ms =
		MAX(limit_wait_ms,
		    admission_retry_after_ms(relay->random, input->objective_ms,
					     input->deadline_ms));

	(*relay->refused_total)++;
	log_info("request_refused",
		 "request=%s route=%s wait_ms=%d objective_ms=%d "
		 "deadline_ms=%d returning=%d runners=%u limit_wait_ms=%d "
		 "retry_after_ms=%d part=%" PRIx64,
		 request->id, route->name, input->wait_ms, input->objective_ms,
		 input->deadline_ms, is_retry,
		 fleet_size(relay->executions->fleet), limit_wait_ms,
		 retry_after_ms, first_part(parts));
	relay_refuse(exchange, retry_after_ms);
}

static const char *header_of(const relay_request_t *request, const char *name)
{
	const GPtrArray *headers = request->headers;

	for (guint i = 0; i + 1 < headers->len; i += 2)
		if (g_ascii_strcasecmp(headers->pdata[i], name) == 0)
			return headers->pdata[i + 1];
	return NULL;
}

static uint64_t digest_of(const relay_request_t *request)
{
	request_content_t content = {
		.method = request->method,
		.host = request->host,
		.target = request->target,
		.caller = header_of(request, "Authorization"),
	};

	content.body = g_bytes_get_data(request->body, &content.body_len);
	return request_digest(&content);
}

/* Refuses a request that crashes runners. Returns false for others. */
static bool refuse_held(relay_t *relay, const path_route_t *route,
			http_exchange_t *exchange,
			const relay_request_t *request, uint64_t digest,
			const prompt_parts_t *parts)
{
	int32_t hold_ms = execution_hold_ms(relay->executions, parts);
	char text[PROMPT_PARTS_TEXT_MAX];

	if (hold_ms == 0)
		return false;
	prompt_parts_print(parts, text, sizeof(text));
	(*relay->held_total)++;
	log_info("request_held",
		 "request=%s route=%s hold_ms=%d digest=%" PRIx64 " parts=%s",
		 request->id, route->name, hold_ms, digest, text);
	relay_refuse(exchange, retry_after_ms(relay, parts, route->objective_ms,
					      request->deadline_ms));
	return true;
}

/* Admits a request that is not held back. version_key: of the software at which
 * it may run; 0: any. */
static void admit(relay_t *relay, path_table_t *paths,
		  const path_route_t *route, http_exchange_t *exchange,
		  const relay_request_t *request, uint64_t version_key)
{
	fleet_t *fleet = relay->executions->fleet;
	const char *service =
		version_key ?
			fleet_service_of_version(fleet, version_key) :
			path_route_service(route, g_rand_double(relay->random));
	const admission_input_t input = {
		.wait_ms = service ?
				   fleet_wait_ms(fleet, service, version_key) :
				   INT32_MAX,
		.objective_ms = route->objective_ms,
		.deadline_ms = request->deadline_ms,
		.is_take_up = version_key != 0,
	};
	const bool is_retry =
		is_likely_retry(relay, route, request->deadline_ms);
	execution_options_t options = {
		.id = request->id,
		.method = request->method,
		.target = request->target,
		.host = request->host,
		.service = service,
		.headers = request->headers,
		.body = request->body,
		.digest = digest_of(request),
		.stream = route->kind == PATH_STREAM,
		.idempotent = route->kind == PATH_IDEMPOTENT,
		.resumable = is_resumable(route),
		.max_runners = route->max_runners,
		.expires_us = deadline_us(route, request),
		.resume_after = request->resume_after,
		.version_key = version_key,
		.sink = &sink,
	};
	prompt_parts_t parts;
	relayed_t *relayed;

	execution_parts(relay->executions, request->headers, options.digest,
			&parts);
	if (refuse_held(relay, route, exchange, request, options.digest,
			&parts))
		return;
	if (!admission_accepts(&input)) {
		refuse(relay, route, exchange, request, service, &input, &parts,
		       is_retry);
		return;
	}
	relayed = g_new0(relayed_t, 1);
	options.user_data = relayed;
	relayed->relay = relay;
	relayed->paths = path_table_ref(paths);
	relayed->route = route;
	relayed->exchange = exchange;
	relayed->id = g_strdup(request->id);
	relayed->received_us = request->received_us;
	relayed->expires_us = options.expires_us;
	relayed->wait_ms = input.wait_ms;
	relayed->is_retry = is_retry;
	relayed->deadline_ms = request->deadline_ms;
	relayed->first_ms = -1;
	relayed->parts = parts;
	relayed->tells_origin = options.resumable && request->resume_after < 0;
	relayed->link.data = relayed;
	g_queue_push_tail_link(&relay->requests, &relayed->link);
	relayed->execution = execution_start(relay->executions, &options);
	if (!relayed->execution) {
		relayed_free(relayed);
		refuse(relay, route, exchange, request, service, &input, &parts,
		       is_retry);
		return;
	}
	relayed->load = fleet_runner_load(execution_runner(relayed->execution));
	note_runner(relayed);
	(*relay->accepted_total)++;
	http_on_closed(exchange, on_closed, relayed);
	http_release_request(exchange);
}

/* Goes on with a stream at the version that began it, or refuses. */
static void on_take_up_resolved(const take_up_t *take_up, uint64_t version,
				void *user_data)
{
	relay_t *relay = user_data;
	const fleet_t *fleet = relay->executions->fleet;
	const path_route_t *route = take_up->route;
	const char *service;
	const char *reason = NULL;

	/* When all runners have had one version for as long as a stream may be
	 * taken up, it began there. */
	if (!version)
		version = fleet_sole_version(
			fleet,
			path_route_service(route, g_rand_double(relay->random)),
			STREAM_ORIGIN_LIFE_MAX_MS * 1000LL);
	service = version ? fleet_service_of_version(fleet, version) : NULL;
	if (!version)
		reason = "unknown";
	else if (!service)
		reason = "no_runner";
	else if (!path_route_has_service(route, service))
		reason = "other_route";
	if (!reason) {
		admit(relay, take_up->paths, route, take_up->exchange,
		      &take_up->request, version);
		return;
	}
	(*relay->take_ups_refused_total)++;
	log_info("take_up_refused", "request=%s route=%s resumes=%s reason=%s",
		 take_up->request.id, route->name,
		 log_quote(take_up->request.resumes), reason);
	relay_refuse(take_up->exchange,
		     admission_retry_after_ms(relay->random,
					      route->objective_ms,
					      take_up->request.deadline_ms));
}

static void init_incomplete_totals(relay_t *relay, counter_set_t *counters)
{
	for (int i = EXECUTION_COMPLETED + 1; i < INCOMPLETE_REASONS; i++) {
		char *label =
			g_strdup_printf("reason=\"%s\"", incomplete_name(i));

		relay->incomplete_total[i] =
			counter_get(counters, COUNTER_MONOTONIC,
				    "requests_incomplete_total", label);
		g_free(label);
	}
}

relay_t *relay_new(const relay_options_t *options)
{
	relay_t *relay = g_new0(relay_t, 1);
	counter_set_t *counters = options->counters;
	const take_ups_options_t take_ups = {
		.clock = options->executions->clock,
		.origins = options->origins,
		.resolved = on_take_up_resolved,
		.user_data = relay,
	};

	relay->executions = options->executions;
	relay->origins = options->origins;
	relay->paths = options->paths;
	relay->take_ups = take_ups_new(&take_ups);
	relay->random = options->random;
	g_queue_init(&relay->requests);
	relay->longest_deadlines =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	relay->accepted_total = counter_get(counters, COUNTER_MONOTONIC,
					    "requests_accepted_total", NULL);
	relay->refused_total = counter_get(counters, COUNTER_MONOTONIC,
					   "requests_refused_total", NULL);
	relay->held_total = counter_get(counters, COUNTER_MONOTONIC,
					"requests_held_total", NULL);
	relay->completed_total = counter_get(counters, COUNTER_MONOTONIC,
					     "requests_completed_total", NULL);
	relay->failed_total = counter_get(counters, COUNTER_MONOTONIC,
					  "requests_failed_total", NULL);
	init_incomplete_totals(relay, counters);
	relay->abandoned_total = counter_get(counters, COUNTER_MONOTONIC,
					     "requests_abandoned_total", NULL);
	relay->take_ups_total = counter_get(counters, COUNTER_MONOTONIC,
					    "take_ups_total", NULL);
	relay->take_ups_refused_total = counter_get(
		counters, COUNTER_MONOTONIC, "take_ups_refused_total", NULL);
	return relay;
}

static void handle_take_up(relay_t *relay, path_table_t *paths,
			   const path_route_t *route, http_exchange_t *exchange,
			   const relay_request_t *request)
{
	const take_up_t take_up = { paths, route, exchange, *request };
	uint64_t stream =
		request->resumes ? stream_origin_key(request->resumes) : 0;
	uint64_t version = stream_origins_find(relay->origins, stream);

	(*relay->take_ups_total)++;
	log_info("stream_taken_up",
		 "request=%s route=%s resumes=%s last_event=%" PRId64
		 " known=%d",
		 request->id, route->name, log_quote(request->resumes),
		 request->resume_after, version != 0);
	if (version || !request->resumes)
		on_take_up_resolved(&take_up, version, relay);
	else
		take_ups_add(relay->take_ups, &take_up, stream);
}

void relay_origin_answered(relay_t *relay, uint64_t stream, uint64_t node,
			   uint64_t version)
{
	take_ups_answered(relay->take_ups, stream, node, version);
}

void relay_handle(relay_t *relay, path_table_t *paths,
		  const path_route_t *route, http_exchange_t *exchange,
		  const relay_request_t *request)
{
	if (relay->stopping)
		http_close_after(exchange);
	if (route->kind == PATH_STREAM && request->resume_after >= 0)
		handle_take_up(relay, paths, route, exchange, request);
	else
		admit(relay, paths, route, exchange, request, 0);
}

/* Ends a request that has no complete response. */
static void give_up(relayed_t *request, const char *outcome,
		    int32_t retry_after_ms, int reason)
{
	http_exchange_t *exchange = request->exchange;
	bool may_have_run = execution_may_have_run(request->execution);

	log_end(request, outcome, may_have_run ? 504 : 503);
	if (request->streaming || may_have_run)
		note_incomplete(request, outcome, reason);
	(*request->relay->failed_total)++;
	http_on_closed(exchange, NULL, NULL);
	execution_cancel(request->execution);
	announce_close(request);
	if (request->streaming)
		http_stream_abort(exchange);
	else if (may_have_run)
		http_reply(exchange, 504, NULL, "", 0);
	else
		relay_refuse(exchange, retry_after_ms);
	relayed_free(request);
}

static void expire(relayed_t *request, int reason)
{
	give_up(request, "expired", request->route->objective_ms, reason);
}

void relay_sweep(relay_t *relay)
{
	int64_t now_us = clock_now_us(relay->executions->clock);
	GList *link = relay->requests.head;

	take_ups_tick(relay->take_ups);
	while (link) {
		relayed_t *request = link->data;

		link = link->next;
		if (request->expires_us && now_us >= request->expires_us)
			expire(request, INCOMPLETE_DEADLINE);
		else if (request->streaming &&
			 http_stream_pending(request->exchange) >
				 MAX_PENDING_BYTES)
			expire(request, INCOMPLETE_SLOW_CALLER);
	}
}

void relay_end(relay_t *relay, int32_t retry_after_ms)
{
	GList *link = relay->requests.head;

	while (link) {
		relayed_t *request = link->data;

		link = link->next;
		give_up(request, "stopped", retry_after_ms, INCOMPLETE_STOPPED);
	}
}

uint32_t relay_active(const relay_t *relay)
{
	return relay->requests.length + take_ups_count(relay->take_ups);
}

void relay_stop(relay_t *relay)
{
	relay->stopping = true;
}

const histogram_t *relay_latency(const relay_t *relay)
{
	return &relay->latency;
}
