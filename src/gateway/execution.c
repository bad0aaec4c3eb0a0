#include "gateway/execution.h"

#include <inttypes.h>
#include <string.h>

#include "backend/event_reader.h"
#include "base/log.h"
#include "coord/rendezvous.h"

/* Limit of all attempts of a request, also of refused ones, so that a fleet
 * without free slots is not asked over and over. */
#define MAX_ATTEMPTS 4
/* Between further attempts of a stream that has begun. */
#define RETRY_PAUSE_MS 200
/* A runner that has not begun to answer by then has most likely lost the
 * request, as queueing does not take that long. */
#define ANSWER_TIMEOUT_MS 2000
/* Error responses to streams are short; a runner in trouble may send bytes
 * without end. */
#define ERROR_BODY_MAX_BYTES (1024 * 1024)
/* Silence of a sound runner before the end of an answer without a length. */
#define END_PATIENCE_MS 2500
/* No retry is started with less time remaining. */
#define MIN_ATTEMPT_MS 50
/* Deadline sent to the runner for a request without one. */
#define DEFAULT_DEADLINE_MS 600000
#define STATUS_BAD_REQUEST 400
#define STATUS_MISDIRECTED 421

struct execution {
	execution_context_t *context;
	const execution_sink_t *sink;
	void *user_data;
	runner_call_t *call; /* NULL between attempts */
	const runner_protocol_t *protocol; /* of the call */
	fleet_runner_t *runner; /* of the current attempt */
	struct event *retry; /* starts the next attempt outside of callbacks */
	char *id;
	char *method;
	char *target;
	char *host;
	char *service;
	char *domain; /* NULL: any */
	GPtrArray *headers;
	GBytes *body;
	runner_answer_t answer; /* headers are owned */
	GString *response_body;
	memory_holder_t memory; /* for it */
	event_reader_t events;
	uint64_t digest;
	int64_t expires_us;
	/* Time of the attempt's start, of the response's head, or of the last
	 * event. Bytes that complete no event are no progress. */
	int64_t progress_us;
	int64_t started_us; /* of the current attempt */
	int64_t started_elapsed_us; /* the same, by the part guard's clock */
	int64_t retry_at_us; /* of a stream that waits for a runner; 0: none */
	uint64_t tried[MAX_ATTEMPTS]; /* keys of the last attempts' runners */
	uint64_t preferred_runner; /* of the first attempt; 0: none */
	uint32_t max_runners;
	uint32_t attempts;
	uint32_t runs; /* attempts that may have run */
	bool stream;
	bool idempotent;
	bool resumable;
	bool batch;
	bool require_healthy;
	/* Of the runners' software that has written the events; NULL: none has
	 * come, or another node had them. */
	char *version;
	uint64_t version_key; /* hash of it; 0: the stream may go on at any */
	bool resumes; /* after events of an earlier execution */
	bool stream_started; /* the sink's start callback was called */
	bool answered; /* the current attempt has an answer */
	bool counted_unanswered; /* the current attempt was reported as lost */
	bool begun; /* the current attempt has delivered an event */
	bool relayed; /* the current attempt goes through another node */
	bool was_unreachable; /* an attempt found no connection to its runner */
	bool was_refused; /* a runner has refused an attempt */
	uint32_t refusals; /* executions before that ended so, in a row */
	int64_t tokens; /* 0: not known */
	stream_patience_t *patience;
	stream_patience_t own_patience; /* unless the caller keeps one */
	prompt_parts_t parts;
	GList link;
};

static void execution_free(execution_t *execution)
{
	g_queue_unlink(&execution->context->active, &execution->link);
	event_free(execution->retry);
	event_reader_clear(&execution->events);
	memory_holder_clear(&execution->memory);
	g_string_free(execution->response_body, TRUE);
	if (execution->answer.headers)
		g_ptr_array_unref(execution->answer.headers);
	g_ptr_array_unref(execution->headers);
	g_bytes_unref(execution->body);
	g_free(execution->id);
	g_free(execution->method);
	g_free(execution->target);
	g_free(execution->host);
	g_free(execution->service);
	g_free(execution->domain);
	g_free(execution->version);
	g_free(execution);
}

static void release_runner(execution_t *execution)
{
	if (execution->runner)
		fleet_release(execution->context->fleet, execution->runner,
			      execution->batch);
	execution->runner = NULL;
}

static void finish(execution_t *execution, execution_outcome_t outcome,
		   execution_reason_t reason)
{
	const execution_sink_t *sink = execution->sink;
	void *user_data = execution->user_data;

	release_runner(execution);
	execution_free(execution);
	sink->end(outcome, reason, user_data);
}

/* Ends the execution without a complete response. */
static void give_up(execution_t *execution, execution_reason_t reason)
{
	execution_outcome_t outcome = EXECUTION_NOT_RUN;

	if (execution->stream_started)
		outcome = EXECUTION_TRUNCATED;
	else if (execution->runs > 0)
		outcome = EXECUTION_UNKNOWN;
	else if (execution->batch && execution->was_refused)
		reason = EXECUTION_REFUSED;
	finish(execution, outcome, reason);
}

static int32_t remaining_ms(const execution_t *execution)
{
	int64_t remaining_us;

	if (!execution->expires_us)
		return DEFAULT_DEADLINE_MS;
	remaining_us =
		execution->expires_us - clock_now_us(execution->context->clock);
	return (int32_t)MAX(remaining_us / 1000, 0);
}

/* Output of the runner shows that it has not crashed, and that it can answer a
 * request with these parts. */
static void note_output(execution_t *execution)
{
	part_guard_t *guard = execution->context->part_guard;
	const int64_t lost_us = part_guard_output(
		guard, execution->runner->key, execution->started_elapsed_us);

	if (execution->relayed && execution->context->link_loss)
		link_loss_answered(execution->context->link_loss,
				   execution->runner, lost_us);
	if (execution->begun)
		return;
	execution->begun = true;
	part_guard_seen(guard, execution->runner->key,
			execution->started_elapsed_us);
	part_guard_begun(guard, &execution->parts);
}

/* Time since the current attempt began, its response did, or the last event
 * came. */
static int32_t silent_ms(const execution_t *execution)
{
	return (int32_t)((clock_now_us(execution->context->clock) -
			  execution->progress_us) /
			 1000);
}

static void on_event(const char *raw, size_t raw_len, const char *data,
		     size_t data_len, void *user_data)
{
	execution_t *execution = user_data;

	if (!data) {
		execution->sink->event(raw, raw_len, NULL, 0,
				       execution->user_data);
		return;
	}
	stream_patience_event(execution->patience, silent_ms(execution));
	execution->progress_us = clock_now_us(execution->context->clock);
	if (!execution->relayed)
		fleet_heard(execution->context->fleet);
	note_output(execution);
	if (!execution->version) {
		execution->version = g_strdup(execution->runner->version);
		execution->version_key = execution->runner->version_key;
	}
	execution->sink->event(raw, raw_len, data, data_len,
			       execution->user_data);
}

static void free_body(execution_t *execution)
{
	if (execution->response_body->len > 0) {
		g_string_free(execution->response_body, TRUE);
		execution->response_body = g_string_new(NULL);
	}
	memory_holder_clear(&execution->memory);
}

static bool is_live_stream(const execution_t *execution)
{
	return execution->stream && execution->answer.status == 200;
}

static bool is_failed_by_head(const execution_t *execution);
static void on_complete(execution_t *execution);

static void on_answer(const runner_answer_t *answer, void *user_data)
{
	execution_t *execution = user_data;
	fleet_t *fleet = execution->context->fleet;

	execution->answered = true;
	if (!execution->relayed)
		fleet_answered(fleet, execution->runner);
	execution->progress_us = clock_now_us(execution->context->clock);
	if (execution->answer.headers)
		g_ptr_array_unref(execution->answer.headers);
	execution->answer = *answer;
	g_ptr_array_ref(execution->answer.headers);
	free_body(execution);
	if (answer->slowness_percent)
		fleet_report_slowness(fleet, execution->runner,
				      answer->slowness_percent);
	fleet_report_rate(fleet, execution->runner, &answer->rate);
	if (answer->status < STATUS_BAD_REQUEST && !answer->not_run)
		fleet_served(execution->runner, execution->tokens);
	if (answer->other_instance)
		fleet_set_draining(fleet, execution->runner);
	if (answer->leaving)
		fleet_set_leaving(fleet, execution->runner);
	if (is_failed_by_head(execution)) {
		runner_call_t *call = execution->call;

		execution->call = NULL;
		execution->protocol->cancel(call);
		on_complete(execution);
		return;
	}
	if (is_live_stream(execution) && !execution->stream_started) {
		execution->stream_started = true;
		execution->sink->start(answer, execution->user_data);
	}
}

static void next_attempt(execution_t *execution);

/* How an attempt ended without a complete response. */
typedef enum attempt_outcome {
	ATTEMPT_UNREACHABLE, /* no connection to the runner */
	ATTEMPT_REFUSED, /* the runner reports that it did not run it */
	ATTEMPT_BROKEN, /* it may have run */
	ATTEMPT_STALLED, /* it was silent for too long; it may have run */
	ATTEMPT_EMPTY, /* it has ended or broken off without an event */
	ATTEMPT_WITHDRAWN, /* as it would crash the runner; it may have run */
	/* The node that passes the request on failed, before it started the
	 * request or after. */
	ATTEMPT_PEER_NOT_SENT,
	ATTEMPT_PEER_LOST
} attempt_outcome_t;

static bool may_have_run(attempt_outcome_t outcome)
{
	return outcome == ATTEMPT_BROKEN || outcome == ATTEMPT_STALLED ||
	       outcome == ATTEMPT_EMPTY || outcome == ATTEMPT_WITHDRAWN ||
	       outcome == ATTEMPT_PEER_LOST;
}

static int32_t attempt_age_ms(const execution_t *execution)
{
	return (int32_t)((clock_now_us(execution->context->clock) -
			  execution->started_us) /
			 1000);
}

/* Whether the runner refused what this request expects, and serves others. */
static bool is_refused_expectation(const execution_t *execution)
{
	return execution->answered && execution->answer.not_run &&
	       execution->answer.status == STATUS_MISDIRECTED &&
	       !execution->answer.other_instance;
}

static void report_refusal(const execution_t *execution)
{
	const fleet_refusal_t refusal = {
		.tokens = execution->tokens,
		.batch = execution->batch,
		.repeated = execution->refusals >= EXECUTION_OWN_REFUSALS,
	};

	if (!is_refused_expectation(execution))
		fleet_refused(execution->context->fleet, execution->runner,
			      &refusal);
}

static void report_failure(execution_t *execution, attempt_outcome_t outcome)
{
	static const char *const names[] = { "unreachable",   "refused",
					     "broken",	      "stalled",
					     "empty",	      "withdrawn",
					     "not_passed_on", "peer_lost" };
	fleet_t *fleet = execution->context->fleet;
	char parts[PROMPT_PARTS_TEXT_MAX];

	prompt_parts_print(&execution->parts, parts, sizeof(parts));
	log_info("try_failed",
		 "request=%s runner=%s try=%u end=%s may_have_run=%d "
		 "status=%d begun=%d last_event=%" G_GINT64_FORMAT
		 " left_ms=%d age_ms=%d silent_ms=%d patience_ms=%d relayed=%d "
		 "digest=%" PRIx64 " parts=%s",
		 execution->id, execution->runner->id, execution->attempts,
		 names[outcome], may_have_run(outcome),
		 execution->answered ? execution->answer.status : 0,
		 execution->begun, execution->events.last_id,
		 remaining_ms(execution), attempt_age_ms(execution),
		 silent_ms(execution), stream_patience_ms(execution->patience),
		 execution->relayed, execution->digest, parts);
	if (outcome == ATTEMPT_WITHDRAWN || outcome == ATTEMPT_PEER_NOT_SENT ||
	    outcome == ATTEMPT_PEER_LOST)
		return;
	if (outcome == ATTEMPT_REFUSED) {
		report_refusal(execution);
		return;
	}
	if (outcome == ATTEMPT_UNREACHABLE && !execution->relayed)
		fleet_unreachable(fleet, execution->runner);
	else if ((outcome == ATTEMPT_BROKEN || outcome == ATTEMPT_STALLED ||
		  outcome == ATTEMPT_EMPTY) &&
		 !execution->batch)
		fleet_lost_request(fleet, execution->runner);
	else /* A broken batch item may be at fault itself. */
		fleet_failed(fleet, execution->runner);
}

/* Why no other attempt may follow; EXECUTION_COMPLETED: one may. */
static execution_reason_t attempts_end(const execution_t *execution)
{
	if (execution_hold_ms(execution->context, &execution->parts) > 0)
		return EXECUTION_HELD;
	if (execution->runs >= execution->max_runners)
		return EXECUTION_RUNNERS_USED;
	if (remaining_ms(execution) < MIN_ATTEMPT_MS)
		return EXECUTION_NO_TIME;
	if (execution->attempts >= MAX_ATTEMPTS)
		return EXECUTION_ATTEMPTS_USED;
	return EXECUTION_COMPLETED;
}

/* Schedules another attempt of a stream that has begun, for which no runner can
 * be had at the moment. Other requests can still be refused, and the owner of a
 * batch item waits itself. */
static bool wait_for_runner(execution_t *execution, execution_reason_t reason)
{
	const execution_context_t *context = execution->context;

	if (execution->batch || !execution->stream_started ||
	    (reason != EXECUTION_ATTEMPTS_USED &&
	     reason != EXECUTION_NO_RUNNER))
		return false;
	if (execution->version_key &&
	    !fleet_service_of_version(context->fleet, execution->version_key))
		return false;
	release_runner(execution);
	execution->retry_at_us =
		clock_now_us(context->clock) + RETRY_PAUSE_MS * 1000;
	return true;
}

static void attempt_failed(execution_t *execution, attempt_outcome_t outcome)
{
	/* The owner of a batch item delays it after a loss without output. */
	bool delayed = execution->batch && !execution->begun;
	bool repeatable =
		!may_have_run(outcome) || execution->idempotent ||
		(execution->stream && execution->resumable && !delayed);
	execution_reason_t reason;

	report_failure(execution, outcome);
	free_body(execution);
	execution->was_unreachable |= outcome == ATTEMPT_UNREACHABLE;
	execution->was_refused |= outcome == ATTEMPT_REFUSED;
	if (!may_have_run(outcome))
		execution->runs--;
	reason = repeatable		    ? attempts_end(execution) :
		 outcome == ATTEMPT_STALLED ? EXECUTION_STALLED :
		 outcome == ATTEMPT_EMPTY   ? EXECUTION_EMPTY :
					      EXECUTION_NOT_REPEATABLE;
	if (reason == EXECUTION_COMPLETED) {
		const struct timeval now = { 0, 0 };

		release_runner(execution);
		evtimer_add(execution->retry, &now);
		return;
	}
	if (!wait_for_runner(execution, reason))
		give_up(execution, reason);
}

/* Cancels the call and ends the attempt, as its response is invalid. */
static void break_attempt(execution_t *execution, const char *reason)
{
	runner_call_t *call = execution->call;

	log_warn("bad_response",
		 "request=%s runner=%s reason=%s last_event=%" G_GINT64_FORMAT,
		 execution->id, execution->runner->id, reason,
		 execution->events.last_id);
	execution->call = NULL;
	execution->protocol->cancel(call);
	attempt_failed(execution, ATTEMPT_BROKEN);
}

/* A runner in trouble may send bytes without end. */
static void on_give_way(void *user_data)
{
	execution_t *execution = user_data;

	if (execution->call)
		break_attempt(execution, "too_much_memory");
	else
		free_body(execution);
}

static void on_data(const char *data, size_t len, void *user_data)
{
	execution_t *execution = user_data;

	if (is_live_stream(execution)) {
		if (!event_reader_feed(&execution->events, data, len, on_event,
				       execution))
			break_attempt(execution, "event");
		return;
	}
	if (execution->stream &&
	    execution->response_body->len + len > ERROR_BODY_MAX_BYTES) {
		break_attempt(execution, "too_long");
		return;
	}
	g_string_append_len(execution->response_body, data, (gssize)len);
	memory_holder_set(&execution->memory,
			  execution->response_body->allocated_len);
}

/* Whether callers take the status for the promise that the request has not run and
 * never will. */
static bool is_promise(int status)
{
	static const int promises[] = { 408, STATUS_MISDIRECTED, 429, 503 };

	for (size_t i = 0; i < G_N_ELEMENTS(promises); i++)
		if (status == promises[i])
			return true;
	return false;
}

static void deliver_response(execution_t *execution)
{
	/* The runner would have said Not-Run. */
	if (!execution->batch && is_promise(execution->answer.status)) {
		log_warn("refusal_unproven", "request=%s runner=%s status=%d",
			 execution->id, execution->runner->id,
			 execution->answer.status);
		give_up(execution, EXECUTION_NOT_REPEATABLE);
		return;
	}
	execution->sink->response(
		&execution->answer, execution->response_body->str,
		execution->response_body->len, execution->user_data);
	finish(execution, EXECUTION_DONE, EXECUTION_COMPLETED);
}

/* A server error that another runner may not return. */
static bool is_retryable_error(const execution_t *execution)
{
	return execution->answer.status >= 500 &&
	       (execution->idempotent || execution->resumable) &&
	       !execution->batch && execution->runs < execution->max_runners &&
	       execution->attempts < MAX_ATTEMPTS &&
	       remaining_ms(execution) >= MIN_ATTEMPT_MS;
}

/* Whether the attempt has failed whatever the body is. The body of an error is
 * not waited for, as it may come slowly or have no end. */
static bool is_failed_by_head(const execution_t *execution)
{
	return execution->answer.not_run || execution->answer.other_instance ||
	       is_retryable_error(execution) ||
	       (execution->stream_started && !is_live_stream(execution));
}

/* Reports that the runner ended the connection. */
static void note_loss(const execution_t *execution)
{
	const part_attempt_t attempt = {
		.sent_us = execution->started_elapsed_us,
		.answered = execution->answered,
		.relayed = execution->relayed,
	};
	part_loss_t loss = PART_LOSS_WAITING;

	if (!execution->relayed)
		fleet_connection_broke(execution->context->fleet,
				       execution->runner);
	if (execution->begun)
		loss = PART_LOSS_ANSWERING;
	/* The head of a stream comes when the runner begins to process the
	 * request, that of another response when it is done. */
	else if (execution->answered || !execution->stream)
		loss = PART_LOSS_RUNNING;
	part_guard_lost(execution->context->part_guard, execution->runner->key,
			&execution->parts, loss, &attempt);
}

/* Reports that the runner has answered the request. A body that ends with the
 * connection may also have ended with the runner. */
static void note_completion(const execution_t *execution)
{
	if (!execution->answer.until_close)
		part_guard_completed(execution->context->part_guard,
				     &execution->parts);
}

/* Whether the end of the connection cannot be told from that of the runner, as
 * the attempt has sent no event. */
static bool is_empty_until_close(const execution_t *execution)
{
	return is_live_stream(execution) && execution->answer.until_close &&
	       !execution->begun;
}

static void on_complete(execution_t *execution)
{
	if (execution->answer.not_run || execution->answer.other_instance) {
		attempt_failed(execution, ATTEMPT_REFUSED);
		return;
	}
	if (is_empty_until_close(execution)) {
		note_loss(execution);
		attempt_failed(execution, ATTEMPT_EMPTY);
		return;
	}
	if (!is_live_stream(execution)) {
		note_output(execution);
		note_completion(execution);
	}
	if (is_live_stream(execution)) {
		if (!event_reader_at_boundary(&execution->events)) {
			attempt_failed(execution, ATTEMPT_BROKEN);
			return;
		}
		note_completion(execution);
		fleet_succeeded(execution->context->fleet, execution->runner);
		finish(execution, EXECUTION_DONE, EXECUTION_COMPLETED);
		return;
	}
	if (is_retryable_error(execution)) {
		attempt_failed(execution, ATTEMPT_BROKEN);
		return;
	}
	if (execution->stream_started) {
		/* The runner answered the resumption with an error. */
		attempt_failed(execution, ATTEMPT_BROKEN);
		return;
	}
	if (execution->answer.status < 500)
		fleet_succeeded(execution->context->fleet, execution->runner);
	else
		fleet_lost_request(execution->context->fleet,
				   execution->runner);
	deliver_response(execution);
}

static attempt_outcome_t attempt_outcome_of(runner_outcome_t outcome)
{
	switch (outcome) {
	case RUNNER_NOT_SENT:
		return ATTEMPT_UNREACHABLE;
	case RUNNER_PEER_NOT_SENT:
		return ATTEMPT_PEER_NOT_SENT;
	case RUNNER_PEER_LOST:
		return ATTEMPT_PEER_LOST;
	default:
		return ATTEMPT_BROKEN;
	}
}

static void on_done(runner_outcome_t outcome, void *user_data)
{
	execution_t *execution = user_data;

	execution->call = NULL;
	if (outcome == RUNNER_TRUNCATED)
		note_loss(execution);
	if (outcome == RUNNER_COMPLETE)
		on_complete(execution);
	else
		attempt_failed(execution, attempt_outcome_of(outcome));
}

static void log_resumption(const execution_t *execution)
{
	if (execution->events.last_id == EVENT_READER_NONE)
		return;
	log_info("stream_resumed",
		 "request=%s runner=%s software=%s began=%s "
		 "last_event=%" PRId64 " try=%u digest=%" PRIx64,
		 execution->id, execution->runner->id,
		 log_quote(execution->runner->version),
		 execution->version ? log_quote(execution->version) : "-",
		 execution->events.last_id, execution->attempts,
		 execution->digest);
}

static bool may_relay(const execution_t *execution)
{
	return !execution->sink->may_relay ||
	       execution->sink->may_relay(execution->user_data);
}

/* Whether the attempt goes through another node: when the runner's domain is out
 * of reach, and as a precaution after a failed connect, whose cause is not known
 * yet. */
static bool is_to_relay(const execution_t *execution)
{
	const fleet_runner_t *runner = execution->runner;
	const runner_relay_need_t need = { runner->domain, runner->key,
					   execution->idempotent ||
						   execution->resumable };

	return execution->context->relay &&
	       (execution->was_unreachable || fleet_is_cut_off(runner)) &&
	       runner_relay_reaches(execution->context->relay, &need) &&
	       may_relay(execution);
}

static fleet_pick_options_t pick_options(const execution_t *execution)
{
	return (fleet_pick_options_t){
		.service = execution->service,
		.domain = execution->domain,
		.tried = execution->tried,
		.tried_count = MIN(execution->attempts, MAX_ATTEMPTS),
		.batch = execution->batch,
		.require_healthy = execution->require_healthy,
		.repeated = execution->resumes,
		.preferred = execution->preferred_runner,
		.version_key = execution->version_key,
		.tokens = execution->tokens,
	};
}

static bool start_attempt(execution_t *execution)
{
	const fleet_pick_options_t pick = pick_options(execution);
	size_t len;
	const void *body = g_bytes_get_data(execution->body, &len);
	runner_request_t request = {
		.id = execution->id,
		.method = execution->method,
		.target = execution->target,
		.host = execution->host,
		.headers = execution->headers,
		.body = body,
		.body_len = len,
		.body_owner = execution->body,
		.deadline_ms = remaining_ms(execution),
		.resume_after = execution->events.last_id,
		.answer = on_answer,
		.data = on_data,
		.done = on_done,
		.user_data = execution,
	};

	if (execution_hold_ms(execution->context, &execution->parts) > 0)
		return false;
	execution->runner = fleet_acquire(execution->context->fleet, &pick);
	if (!execution->runner)
		return false;
	if (fleet_is_cut_off(execution->runner) && !may_relay(execution)) {
		release_runner(execution);
		return false;
	}
	part_guard_sent(execution->context->part_guard, &execution->parts);
	execution->preferred_runner = 0;
	execution->tried[execution->attempts++ % MAX_ATTEMPTS] =
		execution->runner->key;
	execution->runs++;
	execution->answered = false;
	execution->counted_unanswered = false;
	execution->begun = false;
	execution->started_us = clock_now_us(execution->context->clock);
	execution->progress_us = execution->started_us;
	execution->started_elapsed_us =
		part_guard_now_us(execution->context->part_guard);
	event_reader_restart(&execution->events);
	log_resumption(execution);
	(*execution->context->tries_total)++;
	if (execution->stream_started)
		(*execution->context->resumes_total)++;
	request.runner = execution->runner->key;
	request.repeatable = execution->idempotent || execution->resumable;
	request.domain = execution->runner->domain;
	request.address = execution->runner->address;
	request.instance = execution->runner->id;
	execution->relayed = is_to_relay(execution);
	execution->protocol =
		execution->relayed ?
			runner_relay_protocol(execution->context->relay) :
			execution->context->protocol;
	execution->call = execution->protocol->start(
		execution->protocol->context, &request);
	return true;
}

static void next_attempt(execution_t *execution)
{
	execution_reason_t reason = attempts_end(execution);

	execution->retry_at_us = 0;
	if (reason == EXECUTION_COMPLETED ||
	    reason == EXECUTION_ATTEMPTS_USED) {
		if (start_attempt(execution))
			return;
		reason = EXECUTION_NO_RUNNER;
	}
	if (!wait_for_runner(execution, reason))
		give_up(execution, reason);
}

static void on_retry(evutil_socket_t fd, short events, void *arg)
{
	next_attempt(arg);
}

void execution_parts(const execution_context_t *context,
		     const GPtrArray *headers, uint64_t digest,
		     prompt_parts_t *parts)
{
	*parts = (prompt_parts_t){ 0 };
	if (context->protocol->decode_parts)
		context->protocol->decode_parts(headers, parts);
	/* Requests with the same body may differ in the prompt that they name. */
	if (digest)
		prompt_parts_add_request(
			parts,
			rendezvous_hash(parts->ids,
					parts->count * sizeof(parts->ids[0]),
					digest));
}

int32_t execution_hold_ms(const execution_context_t *context,
			  const prompt_parts_t *parts)
{
	return part_guard_hold_ms(context->part_guard, parts);
}

execution_t *execution_start(execution_context_t *context,
			     const execution_options_t *options)
{
	execution_t *execution = g_new0(execution_t, 1);

	execution->context = context;
	execution->sink = options->sink;
	execution->user_data = options->user_data;
	execution->id = g_strdup(options->id);
	execution->method = g_strdup(options->method);
	execution->target = g_strdup(options->target);
	execution->host = g_strdup(options->host);
	execution->service = g_strdup(options->service);
	execution->domain = g_strdup(options->domain);
	execution->headers = g_ptr_array_ref(options->headers);
	execution->body = g_bytes_ref(options->body);
	execution->digest = options->digest;
	execution->response_body = g_string_new(NULL);
	memory_holder_init(&execution->memory, context->memory, "answer",
			   on_give_way, execution);
	execution->expires_us = options->expires_us;
	execution->preferred_runner = options->preferred_runner;
	execution->max_runners = MAX(options->max_runners, 1);
	execution->stream = options->stream;
	execution->idempotent = options->idempotent;
	execution->resumable = options->resumable;
	execution->batch = options->batch;
	execution->refusals = options->refusals;
	execution->tokens = options->tokens;
	if (!options->tokens && context->protocol->decode_tokens)
		execution->tokens =
			context->protocol->decode_tokens(options->headers);
	execution->require_healthy = options->require_healthy;
	execution->version_key = options->version_key;
	execution->patience = options->patience ? options->patience :
						  &execution->own_patience;
	execution->resumes = options->resume_after != EVENT_READER_NONE;
	event_reader_init(&execution->events, options->resume_after);
	execution_parts(context, execution->headers, execution->digest,
			&execution->parts);
	execution->retry = evtimer_new(context->base, on_retry, execution);
	execution->link.data = execution;
	g_queue_push_tail_link(&context->active, &execution->link);
	if (start_attempt(execution))
		return execution;
	execution_free(execution);
	return NULL;
}

void execution_cancel(execution_t *execution)
{
	if (execution->call)
		execution->protocol->cancel(execution->call);
	release_runner(execution);
	execution_free(execution);
}

bool execution_may_have_run(const execution_t *execution)
{
	return execution->runs > 0;
}

const char *execution_reason_name(execution_reason_t reason)
{
	static const char *const names[EXECUTION_REASONS] = {
		[EXECUTION_COMPLETED] = "completed",
		[EXECUTION_NOT_REPEATABLE] = "not_repeatable",
		[EXECUTION_HELD] = "held",
		[EXECUTION_RUNNERS_USED] = "runners_used",
		[EXECUTION_ATTEMPTS_USED] = "attempts_used",
		[EXECUTION_NO_TIME] = "no_time",
		[EXECUTION_NO_RUNNER] = "no_runner",
		[EXECUTION_STALLED] = "stalled",
		[EXECUTION_EMPTY] = "empty",
		[EXECUTION_REFUSED] = "refused",
	};

	return names[reason];
}

const fleet_runner_t *execution_runner(const execution_t *execution)
{
	return execution->runner;
}

uint64_t execution_version_key(const execution_t *execution)
{
	return execution->version_key;
}

int64_t execution_last_event(const execution_t *execution)
{
	return execution->events.last_id;
}

static bool is_retry_due(const execution_t *execution, int64_t now_us)
{
	return execution->retry_at_us && now_us >= execution->retry_at_us;
}

/*
 * How long the runner may be silent. After the last event of an answer that ends
 * with its connection, the next attempt could not tell that none follows, so that
 * a batch item waits for longer than a sound runner is silent.
 */
static int32_t patience_ms(const execution_t *execution)
{
	int32_t ms = stream_patience_ms(execution->patience);

	if (execution->batch && execution->begun &&
	    execution->answer.until_close)
		ms = MAX(ms, END_PATIENCE_MS);
	return ms;
}

/* Only resumable streams are cancelled at a runner that sends nothing. */
static bool is_stalled(const execution_t *execution, int64_t now_us)
{
	return execution->call && execution->stream && execution->resumable &&
	       now_us - execution->progress_us >
		       patience_ms(execution) * 1000LL;
}

/* Reports the runner of a stalled stream that stays there, so that other
 * requests avoid it. */
static void report_stalled(execution_t *execution, execution_reason_t reason)
{
	if (execution->counted_unanswered)
		return;
	execution->counted_unanswered = true;
	log_info("stream_stalled",
		 "request=%s runner=%s try=%u reason=%s silent_ms=%d "
		 "last_event=%" PRId64 " left_ms=%d",
		 execution->id, execution->runner->id, execution->attempts,
		 execution_reason_name(reason), silent_ms(execution),
		 execution->events.last_id, remaining_ms(execution));
	fleet_lost_request(execution->context->fleet, execution->runner);
}

static bool has_relay(const execution_t *execution)
{
	const runner_relay_need_t need = { .domain = execution->runner->domain,
					   .repeatable = true };

	return execution->context->relay &&
	       runner_relay_reaches(execution->context->relay, &need);
}

/* Whether a stalled stream stays at its runner, which may be silent for a moment
 * only: without another one the stream would end early. The owner of a batch
 * item can wait instead of the item, which then may be silent for longer. */
static bool stays(execution_t *execution)
{
	const fleet_pick_options_t pick = pick_options(execution);
	execution_reason_t reason = attempts_end(execution);
	fleet_t *fleet = execution->context->fleet;

	if (execution->batch)
		return false;
	if (reason == EXECUTION_COMPLETED &&
	    (!fleet_has_healthy(fleet, &pick) ||
	     (fleet_is_silent(fleet) && !has_relay(execution))))
		reason = EXECUTION_NO_RUNNER;
	if (reason == EXECUTION_COMPLETED)
		return false;
	report_stalled(execution, reason);
	return true;
}

/* Whether the request waits at a runner that it would crash. */
static bool is_to_withdraw(const execution_t *execution)
{
	return execution->call && !execution->answered &&
	       part_guard_is_certain(execution->context->part_guard,
				     &execution->parts);
}

/* Reports a runner that has not begun to answer, so that other requests avoid
 * it. The attempt itself continues, as the request may have to run only once. */
static void report_unanswered(execution_t *execution, int64_t now_us)
{
	if (!execution->call || execution->batch || execution->answered ||
	    execution->counted_unanswered ||
	    now_us - execution->progress_us <= ANSWER_TIMEOUT_MS * 1000)
		return;
	execution->counted_unanswered = true;
	fleet_lost_request(execution->context->fleet, execution->runner);
}

void execution_check_timeouts(execution_context_t *context)
{
	int64_t now_us = clock_now_us(context->clock);
	GList *link = context->active.head;

	while (link) {
		execution_t *execution = link->data;
		runner_call_t *call = execution->call;
		attempt_outcome_t outcome = ATTEMPT_STALLED;

		link = link->next;
		if (is_retry_due(execution, now_us)) {
			next_attempt(execution);
			continue;
		}
		report_unanswered(execution, now_us);
		if (is_to_withdraw(execution))
			outcome = ATTEMPT_WITHDRAWN;
		else if (!is_stalled(execution, now_us) || stays(execution))
			continue;
		execution->call = NULL;
		execution->protocol->cancel(call);
		if (outcome == ATTEMPT_STALLED)
			stream_patience_stalled(execution->patience);
		attempt_failed(execution, outcome);
	}
}
