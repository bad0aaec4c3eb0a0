#include "gateway/job_owner_item.h"

#include <inttypes.h>
#include <string.h>

#include "backend/event_reader.h"
#include "base/log.h"
#include "gateway/batch_rule.h"

#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 2000
/* An item with output waits this long for a slot at its software version while
 * there are free ones at others; then it begins anew. */
#define VERSION_WAIT_MS 2000
/* After losses without output. A runner may have crashed for another reason, so
 * the first delays are short; an item that ends runners is run seldom. */
#define LOSS_BACKOFF_MAX_MS 60000
/* An item that runners refuse may be too large for them now, or at all. */
#define REFUSAL_BACKOFF_MAX_MS 3200
/* Resumed attempts that end without an event, before the item begins anew. */
#define MAX_EMPTY_ENDS 2
#define STATUS_UNPROCESSABLE 422 /* no attempt can succeed */

static void forget_output(owned_item_t *owned);
static void set_backoff(owned_item_t *owned);

/* The output goes up to the limit of the process's memory; the item runs again
 * later. */
static void on_give_way(void *user_data)
{
	owned_item_t *owned = user_data;

	job_owner_item_cancel(owned);
	log_warn("item_output_dropped", "item=%s events=%" PRId64 " bytes=%zu",
		 owned->item->id, job_owner_item_events(owned),
		 owned->text_bytes);
	forget_output(owned);
	set_backoff(owned);
}

/* Runners go by the headers of the item. */
static int64_t tokens_of(const job_context_t *context, const job_item_t *item)
{
	const runner_protocol_t *protocol = context->executions->protocol;

	if (protocol->decode_tokens)
		return protocol->decode_tokens(item->headers);
	return item->tokens;
}

void job_owner_item_init(owned_item_t *owned, job_context_t *context,
			 const job_item_t *item, uint32_t index,
			 const job_item_callbacks_t *callbacks, void *user_data)
{
	owned->context = context;
	owned->item = item;
	owned->index = index;
	owned->tokens = tokens_of(context, item);
	owned->last_event = EVENT_READER_NONE;
	owned->saved_event = EVENT_READER_NONE;
	owned->callbacks = callbacks;
	owned->user_data = user_data;
	owned->max_failures = 1;
	owned->demand = JOB_ITEM_NO_DEMAND;
	memory_holder_init(&owned->memory, context->executions->memory,
			   "item_output", on_give_way, owned);
	/* An item is run until it has a result, whatever happens to the runners
	 * meanwhile; it is held back by the parts that it shares only. */
	execution_parts(context->executions, item->headers, 0, &owned->parts);
	owned->unsendable = !job_item_is_sendable(item);
	if (owned->unsendable)
		log_warn("item_unsendable", "item=%s path=%s", item->id,
			 log_quote(item->target));
}

void job_owner_item_clear(owned_item_t *owned)
{
	job_owner_item_cancel(owned);
	memory_holder_clear(&owned->memory);
	if (owned->text)
		g_string_free(owned->text, TRUE);
	owned->text = NULL;
}

static void count_text(owned_item_t *owned, const char *text, size_t len)
{
	owned->text_bytes += job_result_text_bytes(text, len);
	memory_holder_set(&owned->memory, owned->text->allocated_len);
}

void job_owner_item_resume(owned_item_t *owned, const job_progress_t *progress)
{
	owned->last_event = progress->last_event;
	owned->saved_event = progress->last_event;
	owned->version_key = progress->version;
	owned->failures = progress->failures;
	owned->saved_failures = progress->failures;
	owned->text = g_string_new(progress->text);
	count_text(owned, owned->text->str, owned->text->len);
	owned->resumed = true;
}

static void finish(owned_item_t *owned, job_result_state_t state)
{
	char *text = g_string_free(owned->text, FALSE);

	memory_holder_clear(&owned->memory);
	owned->text = NULL;
	owned->state = JOB_ITEM_FINISHED;
	if (state == JOB_RESULT_GIVEN_UP)
		text[0] = '\0';
	owned->callbacks->finished(owned->user_data, owned->index, state, text);
}

static void on_start(const runner_answer_t *answer, void *user_data)
{
}

static void on_event(const char *raw, size_t raw_len, const char *data,
		     size_t data_len, void *user_data)
{
	owned_item_t *owned = user_data;

	if (owned->too_long || !data)
		return;
	/* This also rejects zero bytes. */
	if (!g_utf8_validate(data, (gssize)data_len, NULL))
		owned->unreadable = true;
	if (owned->last_event != EVENT_READER_NONE)
		g_string_append_c(owned->text, '\n');
	g_string_append_len(owned->text, data, (gssize)data_len);
	count_text(owned, data, data_len);
	if (owned->text_bytes > JOB_ITEM_TEXT_MAX_BYTES) {
		owned->too_long = true;
		forget_output(owned);
		return;
	}
	owned->last_event = execution_last_event(owned->execution);
	owned->version_key = execution_version_key(owned->execution);
	owned->losses = 0;
	owned->refusals = 0;
	owned->too_large = false;
	owned->empty_ends = 0;
	owned->progressed = true;
}

static int64_t backoff_ms(uint32_t doublings, int64_t max_ms)
{
	int64_t backoff_ms = BACKOFF_MIN_MS;

	for (uint32_t i = 0; i < doublings && backoff_ms < max_ms; i++)
		backoff_ms *= 2;
	return MIN(backoff_ms, max_ms);
}

static void set_backoff(owned_item_t *owned)
{
	uint32_t lost_runs = MAX(owned->losses, owned->unreadable_runs);
	int64_t delay_ms = MAX(backoff_ms(owned->failures, BACKOFF_MAX_MS),
			       backoff_ms(lost_runs, LOSS_BACKOFF_MAX_MS));

	delay_ms = MAX(delay_ms,
		       backoff_ms(owned->refusals, REFUSAL_BACKOFF_MAX_MS));
	owned->not_before_us =
		clock_now_us(owned->context->clock) + delay_ms * 1000;
}

/* The runner may have been reading the prompt, so the item is not delayed like
 * one that ends runners; the next attempt may be silent for longer. */
static void note_stall(const owned_item_t *owned)
{
	(*counter_get(owned->context->counters, COUNTER_MONOTONIC,
		      "batch_item_stalls_total", NULL))++;
	log_info("item_stalled",
		 "item=%s stalls=%u patience_ms=%d last_event=%" PRId64,
		 owned->item->id, owned->patience.stalls,
		 stream_patience_ms(&owned->patience), owned->last_event);
}

static void note_loss(owned_item_t *owned)
{
	owned->losses++;
	(*counter_get(owned->context->counters, COUNTER_MONOTONIC,
		      "batch_item_losses_total", NULL))++;
	log_info("item_lost", "item=%s losses=%u last_event=%" PRId64,
		 owned->item->id, owned->losses, owned->last_event);
}

static void on_response(const runner_answer_t *answer, const char *body,
			size_t len, void *user_data)
{
	owned_item_t *owned = user_data;

	owned->failures++;
	log_info("item_failed", "item=%s status=%d failures=%u max=%u",
		 owned->item->id, answer->status, owned->failures,
		 owned->max_failures);
	if (answer->status == STATUS_UNPROCESSABLE ||
	    (answer->status == 500 && owned->failures >= owned->max_failures))
		finish(owned, JOB_RESULT_GIVEN_UP);
}

/* The next attempt starts from the first event. */
static void forget_output(owned_item_t *owned)
{
	owned->last_event = EVENT_READER_NONE;
	owned->saved_event = EVENT_READER_NONE;
	owned->version_key = 0;
	owned->text_bytes = 0;
	memory_holder_clear(&owned->memory);
	g_string_free(owned->text, TRUE);
	owned->text = g_string_new(NULL);
}

/*
 * Attempts that were resumed after the last event, and ended without another one,
 * may have been the whole rest of the output, or runners that ended. Only a run
 * from the start tells.
 */
static void note_empty_end(owned_item_t *owned)
{
	if (owned->last_event == EVENT_READER_NONE ||
	    ++owned->empty_ends < MAX_EMPTY_ENDS)
		return;
	stream_patience_restart(&owned->patience);
	log_info("item_restarted",
		 "item=%s last_event=%" PRId64 " empty_ends=%u patience_ms=%d",
		 owned->item->id, owned->last_event, owned->empty_ends,
		 stream_patience_ms(&owned->patience));
	owned->empty_ends = 0;
	forget_output(owned);
}

/* Begins anew, as the output cannot be stored. One that is too long will be so
 * again and counts as a failed attempt; bytes may have been spoiled by the
 * runner. */
static void restart_unreadable(owned_item_t *owned)
{
	if (owned->too_long)
		owned->failures++;
	else
		owned->unreadable_runs++;
	log_warn("item_output_unreadable",
		 "item=%s events=%" PRId64
		 " too_long=%d failures=%u max=%u unreadable=%u",
		 owned->item->id, job_owner_item_events(owned), owned->too_long,
		 owned->failures, owned->max_failures, owned->unreadable_runs);
	owned->unreadable = false;
	owned->too_long = false;
	forget_output(owned);
	if (owned->failures >= owned->max_failures)
		finish(owned, JOB_RESULT_GIVEN_UP);
	else
		set_backoff(owned);
}

static void on_end(execution_outcome_t end, execution_reason_t reason,
		   void *user_data)
{
	owned_item_t *owned = user_data;
	bool completed = end == EXECUTION_DONE &&
			 owned->failures == owned->failures_at_start;

	owned->execution = NULL;
	if (owned->state == JOB_ITEM_FINISHED)
		return;
	owned->state = JOB_ITEM_WAITING;
	if (reason == EXECUTION_STALLED)
		note_stall(owned);
	else if (!owned->progressed &&
		 owned->failures == owned->failures_at_start &&
		 (end == EXECUTION_UNKNOWN || end == EXECUTION_TRUNCATED))
		note_loss(owned);
	if (reason == EXECUTION_EMPTY)
		note_empty_end(owned);
	if (reason == EXECUTION_REFUSED)
		owned->refusals++;
	if (owned->unreadable || owned->too_long)
		restart_unreadable(owned);
	else if (completed)
		finish(owned, JOB_RESULT_COMPLETED);
	else
		set_backoff(owned);
}

/* A node that passes the item on may know that the job has ended or moved, so
 * this one must not lag behind. */
static bool may_relay(void *user_data)
{
	const owned_item_t *owned = user_data;

	return owned->callbacks->is_confirmed(owned->user_data);
}

static const execution_sink_t sink = {
	.start = on_start,
	.event = on_event,
	.response = on_response,
	.end = on_end,
	.may_relay = may_relay,
};

bool job_owner_item_wants_slot(const owned_item_t *owned)
{
	return owned->state == JOB_ITEM_WAITING && !owned->unsendable &&
	       clock_now_us(owned->context->clock) >= owned->not_before_us &&
	       !job_owner_item_is_held(owned);
}

bool job_owner_item_is_held(const owned_item_t *owned)
{
	return execution_hold_ms(owned->context->executions, &owned->parts) > 0;
}

void job_owner_item_give_up(owned_item_t *owned, const char *event)
{
	char parts[PROMPT_PARTS_TEXT_MAX];

	prompt_parts_print(&owned->parts, parts, sizeof(parts));
	log_warn(event, "item=%s parts=%s", owned->item->id, parts);
	if (!owned->text)
		owned->text = g_string_new(NULL);
	finish(owned, JOB_RESULT_GIVEN_UP);
}

int64_t job_owner_item_events(const owned_item_t *owned)
{
	return owned->last_event + 1;
}

void job_owner_item_update_urgency(owned_item_t *owned, int64_t deadline_us,
				   const item_estimate_t *estimate)
{
	int64_t remaining_us =
		deadline_us - clock_now_us(owned->context->clock);
	int64_t needed_ms =
		item_estimate_needed_ms(estimate, job_owner_item_events(owned));

	owned->urgency = batch_urgency(remaining_us / 1000, needed_ms);
	owned->was_infeasible |= owned->urgency == BATCH_INFEASIBLE;
}

/* While a version is being replaced, its last runners may stay full. */
static void note_no_slot(owned_item_t *owned)
{
	int64_t now_us = clock_now_us(owned->context->clock);

	if (!owned->version_key)
		return;
	if (!owned->no_slot_since_us)
		owned->no_slot_since_us = now_us;
	if (now_us - owned->no_slot_since_us < VERSION_WAIT_MS * 1000)
		return;
	log_info("item_restarted",
		 "item=%s last_event=%" PRId64 " waited_ms=%" PRId64,
		 owned->item->id, owned->last_event,
		 (now_us - owned->no_slot_since_us) / 1000);
	owned->no_slot_since_us = 0;
	forget_output(owned);
}

/* The service whose runners wrote the item's output, if it can go on there. */
static const char *service_of_output(const owned_item_t *owned,
				     const path_route_t *route)
{
	const job_context_t *context = owned->context;
	const char *service = NULL;

	if (owned->version_key)
		service = fleet_service_of_version(context->executions->fleet,
						   owned->version_key);
	return service && path_route_has_service(route, service) ? service :
								   NULL;
}

const char *job_owner_item_service(const owned_item_t *owned,
				   const path_route_t *route)
{
	const char *service = service_of_output(owned, route);

	if (service)
		return service;
	return path_route_service(route, g_rand_double(owned->context->random));
}

/* Forgets output at which no runner of the route can go on. */
static void forget_foreign_output(owned_item_t *owned,
				  const path_route_t *route)
{
	if (owned->last_event == EVENT_READER_NONE ||
	    service_of_output(owned, route))
		return;
	log_info("item_restarted",
		 "item=%s last_event=%" PRId64 " version_known=%d",
		 owned->item->id, owned->last_event, owned->version_key != 0);
	forget_output(owned);
}

bool job_owner_item_start(owned_item_t *owned, const path_route_t *route,
			  const job_item_place_t *place)
{
	job_context_t *context = owned->context;
	execution_options_t options = {
		.id = owned->item->id,
		.method = "POST",
		.target = owned->item->target,
		.headers = owned->item->headers,
		.body = owned->item->body,
		.stream = true,
		.resumable = true,
		.batch = true,
		.service = place->service,
		.domain = place->domain,
		.preferred_runner = place->runner,
		.tokens = owned->tokens,
		.require_healthy = owned->failures > 0,
		.max_runners = UINT32_MAX,
		.patience = &owned->patience,
		.sink = &sink,
		.user_data = owned,
	};

	if (!route)
		return false;
	options.host = route->host;
	if (!owned->text)
		owned->text = g_string_new(NULL);
	forget_foreign_output(owned, route);
	options.version_key = owned->version_key;
	options.resume_after = owned->last_event;
	options.refusals = owned->refusals;
	owned->max_failures = route->max_runners;
	owned->failures_at_start = owned->failures;
	owned->progressed = false;
	owned->execution = execution_start(context->executions, &options);
	if (!owned->execution) {
		note_no_slot(owned);
		return false;
	}
	owned->no_slot_since_us = 0;
	owned->service_key = fleet_key(place->service);
	owned->state = JOB_ITEM_RUNNING;
	if (!owned->started_us)
		owned->started_us = clock_now_us(context->clock);
	return true;
}

void job_owner_item_check(owned_item_t *owned)
{
	if (!owned->too_long || owned->state != JOB_ITEM_RUNNING)
		return;
	job_owner_item_cancel(owned);
	restart_unreadable(owned);
}

void job_owner_item_cancel(owned_item_t *owned)
{
	if (owned->state != JOB_ITEM_RUNNING)
		return;
	execution_cancel(owned->execution);
	owned->execution = NULL;
	owned->state = JOB_ITEM_WAITING;
}

void job_owner_item_preempt(owned_item_t *owned)
{
	job_owner_item_cancel(owned);
	owned->not_before_us =
		clock_now_us(owned->context->clock) +
		batch_preemption_backoff_ms(owned->context->random) * 1000LL;
}

const fleet_runner_t *job_owner_item_runner(const owned_item_t *owned)
{
	return owned->state == JOB_ITEM_RUNNING ?
		       execution_runner(owned->execution) :
		       NULL;
}
