#include "gateway/job_owner_item.h"

#include <inttypes.h>
#include <string.h>

#include "backend/event_reader.h"
#include "base/log.h"
#include "gateway/batch_rule.h"

#define RETRY_FIRST_MS 100
#define RETRY_MAX_MS 2000
#define STATUS_NEVER 422 /* the item can never be done */

void job_item_run_init(job_item_run_t *run, job_context_t *context,
		       const job_item_t *item, uint32_t index,
		       job_item_finished_t finished, void *user_data)
{
	run->context = context;
	run->item = item;
	run->index = index;
	run->last_event = EVENT_READER_NONE;
	run->saved_event = EVENT_READER_NONE;
	run->finished = finished;
	run->user_data = user_data;
	run->max_failures = 1;
}

void job_item_run_clear(job_item_run_t *run)
{
	job_item_run_cancel(run);
	if (run->text)
		g_string_free(run->text, TRUE);
	run->text = NULL;
}

void job_item_run_resume(job_item_run_t *run, int64_t last_event,
			 const char *text)
{
	run->last_event = last_event;
	run->saved_event = last_event;
	run->text = g_string_new(text);
	run->resumed = true;
}

static void finish(job_item_run_t *run, job_result_state_t state)
{
	char *text = g_string_free(run->text, FALSE);

	run->text = NULL;
	run->state = JOB_ITEM_FINISHED;
	if (state == JOB_RESULT_GIVEN_UP)
		text[0] = '\0';
	run->finished(run->user_data, run->index, state, text);
}

static void on_start(const runner_answer_t *answer, void *user_data)
{
}

static void on_event(const char *raw, size_t raw_len, const char *data,
		     size_t data_len, void *user_data)
{
	job_item_run_t *run = user_data;

	/* This also refuses zero bytes. */
	if (!g_utf8_validate(data, (gssize)data_len, NULL))
		run->unreadable = true;
	if (run->last_event != EVENT_READER_NONE)
		g_string_append_c(run->text, '\n');
	g_string_append_len(run->text, data, (gssize)data_len);
	run->last_event = run_last_event(run->run);
}

static void back_off(job_item_run_t *run)
{
	int64_t pause_ms = RETRY_FIRST_MS;

	for (uint32_t i = 0; i < run->failures && pause_ms < RETRY_MAX_MS; i++)
		pause_ms *= 2;
	run->not_before_us =
		clock_now_us(run->context->clock) + pause_ms * 1000;
}

static void on_whole(const runner_answer_t *answer, const char *body,
		     size_t len, void *user_data)
{
	job_item_run_t *run = user_data;

	run->failures++;
	log_info("item_failed", "item=%s status=%d failures=%u max=%u",
		 run->item->id, answer->status, run->failures,
		 run->max_failures);
	if (answer->status == STATUS_NEVER ||
	    (answer->status == 500 && run->failures >= run->max_failures))
		finish(run, JOB_RESULT_GIVEN_UP);
}

/* An output that cannot be stored counts as a failed run; the next one starts
 * from the first event. */
static void restart_unreadable(job_item_run_t *run)
{
	run->failures++;
	log_warn("item_output_unreadable",
		 "item=%s events=%" PRId64 " failures=%u max=%u", run->item->id,
		 job_item_run_events(run), run->failures, run->max_failures);
	run->unreadable = false;
	run->last_event = EVENT_READER_NONE;
	run->saved_event = EVENT_READER_NONE;
	g_string_truncate(run->text, 0);
	if (run->failures >= run->max_failures)
		finish(run, JOB_RESULT_GIVEN_UP);
	else
		back_off(run);
}

static void on_end(run_end_t end, void *user_data)
{
	job_item_run_t *run = user_data;
	bool streamed =
		end == RUN_DONE && run->failures == run->failures_at_start;

	run->run = NULL;
	if (run->state == JOB_ITEM_FINISHED)
		return;
	run->state = JOB_ITEM_WAITING;
	if (run->unreadable)
		restart_unreadable(run);
	else if (streamed)
		finish(run, JOB_RESULT_COMPLETED);
	else
		back_off(run);
}

static const run_sink_t sink = {
	.start = on_start,
	.event = on_event,
	.whole = on_whole,
	.end = on_end,
};

bool job_item_run_wants_place(const job_item_run_t *run)
{
	return run->state == JOB_ITEM_WAITING &&
	       clock_now_us(run->context->clock) >= run->not_before_us;
}

int64_t job_item_run_events(const job_item_run_t *run)
{
	return run->last_event + 1;
}

void job_item_run_rank(job_item_run_t *run, int64_t due_us,
		       const item_estimate_t *estimate)
{
	int64_t left_us = due_us - clock_now_us(run->context->clock);
	int64_t needed_ms =
		item_estimate_needed_ms(estimate, job_item_run_events(run));

	run->urgency = batch_urgency(left_us / 1000, needed_ms);
	run->was_hopeless |= run->urgency == BATCH_HOPELESS;
}

bool job_item_run_start(job_item_run_t *run, const path_route_t *route,
			const char *domain)
{
	job_context_t *context = run->context;
	batch_input_t input = { .urgency = run->urgency };
	run_options_t options = {
		.id = run->item->id,
		.method = "POST",
		.target = run->item->target,
		.headers = run->item->headers,
		.body = run->item->body,
		.stream = true,
		.resumable = true,
		.batch = true,
		.careful = run->failures > 0,
		.max_runners = UINT32_MAX,
		.resume_after = run->last_event,
		.sink = &sink,
		.user_data = run,
	};

	if (!route)
		return false;
	options.host = route->host;
	options.domain = domain;
	options.service =
		path_route_service(route, g_rand_double(context->random));
	if (!options.service)
		return false;
	input.free_places = fleet_free_places(context->runs->fleet,
					      options.service, &input.places);
	if (!domain && !batch_may_start(&input))
		return false;
	run->max_failures = route->max_runners;
	if (!run->text)
		run->text = g_string_new(NULL);
	run->failures_at_start = run->failures;
	run->run = run_start(context->runs, &options);
	if (!run->run)
		return false;
	run->state = JOB_ITEM_RUNNING;
	if (!run->started_us)
		run->started_us = clock_now_us(context->clock);
	return true;
}

void job_item_run_cancel(job_item_run_t *run)
{
	if (run->state != JOB_ITEM_RUNNING)
		return;
	run_cancel(run->run);
	run->run = NULL;
	run->state = JOB_ITEM_WAITING;
}

void job_item_run_yield(job_item_run_t *run)
{
	job_item_run_cancel(run);
	run->not_before_us =
		clock_now_us(run->context->clock) +
		batch_yield_pause_ms(run->context->random) * 1000LL;
}

const fleet_runner_t *job_item_run_runner(const job_item_run_t *run)
{
	return run->state == JOB_ITEM_RUNNING ? run_runner(run->run) : NULL;
}
