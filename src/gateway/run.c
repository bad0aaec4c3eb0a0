#include "gateway/run.h"

#include <string.h>

#include "backend/event_reader.h"
#include "base/log.h"

/* Tries in all, so that a fleet without places is not asked in a circle. */
#define MAX_TRIES 4
/* A stream without an event for this long goes on at another runner. Callers
 * give a silent stream up after two seconds. */
#define STALL_MS 900
/* A runner that has not begun to answer by then has lost the request, most
 * likely; its queue is not that long. */
#define NO_ANSWER_MS 2000
/* Least time that is worth another try. */
#define MIN_TRY_MS 50
/* Deadline of work that has none. */
#define NO_DEADLINE_MS 600000

struct run {
	run_context_t *context;
	const run_sink_t *sink;
	void *user_data;
	runner_call_t *call; /* NULL between tries */
	fleet_runner_t *runner; /* of the present try */
	struct event *again; /* starts the next try outside callbacks */
	char *id;
	char *method;
	char *target;
	char *host;
	char *service;
	char *domain; /* NULL: any */
	GPtrArray *headers;
	GBytes *body;
	runner_answer_t answer; /* headers are owned */
	GString *whole_body;
	event_reader_t events;
	int64_t expires_us;
	int64_t progress_us; /* last event or start of the try */
	uint64_t tried[MAX_TRIES]; /* key of each try's runner */
	uint32_t max_runners;
	uint32_t tries;
	uint32_t runs; /* tries that may have run */
	bool stream;
	bool idempotent;
	bool resumable;
	bool batch;
	bool careful;
	bool started; /* the sink has the start of the stream */
	bool answered; /* the present try has an answer */
	bool counted_lost; /* the present try, while it still waits */
	GList link;
};

static void run_free(run_t *run)
{
	g_queue_unlink(&run->context->runs, &run->link);
	event_free(run->again);
	event_reader_clear(&run->events);
	g_string_free(run->whole_body, TRUE);
	if (run->answer.headers)
		g_ptr_array_unref(run->answer.headers);
	g_ptr_array_unref(run->headers);
	g_bytes_unref(run->body);
	g_free(run->id);
	g_free(run->method);
	g_free(run->target);
	g_free(run->host);
	g_free(run->service);
	g_free(run->domain);
	g_free(run);
}

static void release_runner(run_t *run)
{
	if (run->runner)
		fleet_done(run->context->fleet, run->runner, run->batch);
	run->runner = NULL;
}

static void finish(run_t *run, run_end_t end)
{
	const run_sink_t *sink = run->sink;
	void *user_data = run->user_data;

	release_runner(run);
	run_free(run);
	sink->end(end, user_data);
}

static int32_t left_ms(const run_t *run)
{
	int64_t left_us;

	if (!run->expires_us)
		return NO_DEADLINE_MS;
	left_us = run->expires_us - clock_now_us(run->context->clock);
	return (int32_t)MAX(left_us / 1000, 0);
}

static void on_event(const char *raw, size_t raw_len, const char *data,
		     size_t data_len, void *user_data)
{
	run_t *run = user_data;

	run->sink->event(raw, raw_len, data, data_len, run->user_data);
}

static bool is_live_stream(const run_t *run)
{
	return run->stream && run->answer.status == 200;
}

static void on_answer(const runner_answer_t *answer, void *user_data)
{
	run_t *run = user_data;
	fleet_t *fleet = run->context->fleet;

	run->answered = true;
	fleet_answered(fleet, run->runner);
	run->progress_us = clock_now_us(run->context->clock);
	if (run->answer.headers)
		g_ptr_array_unref(run->answer.headers);
	run->answer = *answer;
	g_ptr_array_ref(run->answer.headers);
	g_string_truncate(run->whole_body, 0);
	if (answer->slowness_percent)
		fleet_report_slowness(fleet, run->runner,
				      answer->slowness_percent);
	if (answer->leaving || answer->other_instance)
		fleet_leaving(fleet, run->runner);
	if (is_live_stream(run) && !run->started) {
		run->started = true;
		run->sink->start(answer, run->user_data);
	}
}

static void next_try(run_t *run);

/* How a try ended without a whole answer. */
typedef enum try_end {
	TRY_UNREACHABLE, /* no connection to the runner */
	TRY_REFUSED, /* the runner says that it did not run it */
	TRY_BROKEN /* it may have run */
} try_end_t;

static void note_failure(run_t *run, try_end_t end)
{
	static const char *const names[] = { "unreachable", "refused",
					     "broken" };
	fleet_t *fleet = run->context->fleet;

	log_info("try_failed",
		 "request=%s runner=%s try=%u end=%s may_have_run=%d "
		 "status=%d last_event=%" G_GINT64_FORMAT " left_ms=%d",
		 run->id, run->runner->id, run->tries, names[end],
		 end == TRY_BROKEN, run->answered ? run->answer.status : 0,
		 run->events.last_id, left_ms(run));
	if (end == TRY_UNREACHABLE)
		fleet_unreachable(fleet, run->runner);
	else if (end == TRY_BROKEN && !run->batch)
		fleet_lost_request(fleet, run->runner);
	else /* A batch item that broke off may be at fault itself. */
		fleet_failed(fleet, run->runner);
}

static void try_failed(run_t *run, try_end_t end)
{
	bool again = end != TRY_BROKEN || run->idempotent ||
		     (run->stream && run->resumable);

	note_failure(run, end);
	if (end != TRY_BROKEN)
		run->runs--;
	if (again && run->tries < MAX_TRIES && run->runs < run->max_runners &&
	    left_ms(run) >= MIN_TRY_MS) {
		const struct timeval now = { 0, 0 };

		release_runner(run);
		evtimer_add(run->again, &now);
		return;
	}
	if (run->started)
		finish(run, RUN_CUT);
	else
		finish(run, run->runs > 0 ? RUN_UNKNOWN : RUN_NOT_RUN);
}

static void on_data(const char *data, size_t len, void *user_data)
{
	run_t *run = user_data;
	runner_call_t *call = run->call;

	run->progress_us = clock_now_us(run->context->clock);
	if (!is_live_stream(run)) {
		g_string_append_len(run->whole_body, data, (gssize)len);
		return;
	}
	if (event_reader_feed(&run->events, data, len, on_event, run))
		return;
	log_warn("bad_event",
		 "request=%s runner=%s last_event=%" G_GINT64_FORMAT, run->id,
		 run->runner->id, run->events.last_id);
	run->call = NULL;
	run->context->protocol->cancel(call);
	try_failed(run, TRY_BROKEN);
}

static void deliver_whole(run_t *run)
{
	run->sink->whole(&run->answer, run->whole_body->str,
			 run->whole_body->len, run->user_data);
	finish(run, RUN_DONE);
}

/* An error of the runner itself, after which another may do better. */
static bool is_worth_repeating(const run_t *run)
{
	return run->answer.status >= 500 &&
	       (run->idempotent || run->resumable) && !run->batch &&
	       run->runs < run->max_runners && run->tries < MAX_TRIES &&
	       left_ms(run) >= MIN_TRY_MS;
}

static void on_complete(run_t *run)
{
	if (run->answer.not_run || run->answer.other_instance) {
		try_failed(run, TRY_REFUSED);
		return;
	}
	if (is_live_stream(run)) {
		if (!event_reader_at_boundary(&run->events)) {
			try_failed(run, TRY_BROKEN);
			return;
		}
		fleet_succeeded(run->context->fleet, run->runner);
		finish(run, RUN_DONE);
		return;
	}
	if (is_worth_repeating(run)) {
		try_failed(run, TRY_BROKEN);
		return;
	}
	if (run->started) {
		/* A resumption was answered with an error. */
		try_failed(run, TRY_BROKEN);
		return;
	}
	if (run->answer.status < 500)
		fleet_succeeded(run->context->fleet, run->runner);
	else
		fleet_lost_request(run->context->fleet, run->runner);
	deliver_whole(run);
}

static void on_done(runner_end_t end, void *user_data)
{
	run_t *run = user_data;

	run->call = NULL;
	if (end == RUNNER_COMPLETE)
		on_complete(run);
	else
		try_failed(run,
			   end == RUNNER_CUT ? TRY_BROKEN : TRY_UNREACHABLE);
}

static bool start_try(run_t *run)
{
	const fleet_wish_t wish = {
		.service = run->service,
		.domain = run->domain,
		.tried = run->tried,
		.tried_count = run->tries,
		.batch = run->batch,
		.careful = run->careful,
	};
	size_t len;
	const void *body = g_bytes_get_data(run->body, &len);
	runner_request_t request = {
		.id = run->id,
		.method = run->method,
		.target = run->target,
		.host = run->host,
		.headers = run->headers,
		.body = body,
		.body_len = len,
		.deadline_ms = left_ms(run),
		.resume_after = run->events.last_id,
		.answer = on_answer,
		.data = on_data,
		.done = on_done,
		.user_data = run,
	};

	run->runner = fleet_take(run->context->fleet, &wish);
	if (!run->runner)
		return false;
	run->tried[run->tries++] = run->runner->key;
	run->runs++;
	run->answered = false;
	run->counted_lost = false;
	run->progress_us = clock_now_us(run->context->clock);
	event_reader_restart(&run->events);
	(*run->context->tries_total)++;
	if (run->started)
		(*run->context->resumes_total)++;
	request.address = run->runner->address;
	request.instance = run->runner->id;
	run->call = run->context->protocol->start(
		run->context->protocol->context, &request);
	return true;
}

static void next_try(run_t *run)
{
	if (start_try(run))
		return;
	if (run->started)
		finish(run, RUN_CUT);
	else
		finish(run, run->runs > 0 ? RUN_UNKNOWN : RUN_NOT_RUN);
}

static void on_again(evutil_socket_t fd, short events, void *arg)
{
	next_try(arg);
}

run_t *run_start(run_context_t *context, const run_options_t *options)
{
	run_t *run = g_new0(run_t, 1);

	run->context = context;
	run->sink = options->sink;
	run->user_data = options->user_data;
	run->id = g_strdup(options->id);
	run->method = g_strdup(options->method);
	run->target = g_strdup(options->target);
	run->host = g_strdup(options->host);
	run->service = g_strdup(options->service);
	run->domain = g_strdup(options->domain);
	run->headers = g_ptr_array_ref(options->headers);
	run->body = g_bytes_ref(options->body);
	run->whole_body = g_string_new(NULL);
	run->expires_us = options->expires_us;
	run->max_runners = MAX(options->max_runners, 1);
	run->stream = options->stream;
	run->idempotent = options->idempotent;
	run->resumable = options->resumable;
	run->batch = options->batch;
	run->careful = options->careful;
	event_reader_init(&run->events, options->resume_after);
	run->again = evtimer_new(context->base, on_again, run);
	run->link.data = run;
	g_queue_push_tail_link(&context->runs, &run->link);
	if (start_try(run))
		return run;
	run_free(run);
	return NULL;
}

void run_cancel(run_t *run)
{
	if (run->call)
		run->context->protocol->cancel(run->call);
	release_runner(run);
	run_free(run);
}

bool run_may_have_run(const run_t *run)
{
	return run->runs > 0;
}

const fleet_runner_t *run_runner(const run_t *run)
{
	return run->runner;
}

int64_t run_last_event(const run_t *run)
{
	return run->events.last_id;
}

/* Only what may go on elsewhere is taken from a silent runner. */
static bool is_stalled(const run_t *run, int64_t now_us)
{
	return run->call && run->stream && run->resumable &&
	       now_us - run->progress_us > STALL_MS * 1000;
}

/* Work that may run only once waits on, but others need not go there. */
static void count_unanswered(run_t *run, int64_t now_us)
{
	if (!run->call || run->batch || run->answered || run->counted_lost ||
	    now_us - run->progress_us <= NO_ANSWER_MS * 1000)
		return;
	run->counted_lost = true;
	fleet_lost_request(run->context->fleet, run->runner);
}

void run_sweep(run_context_t *context)
{
	int64_t now_us = clock_now_us(context->clock);
	GList *link = context->runs.head;

	while (link) {
		run_t *run = link->data;
		runner_call_t *call = run->call;

		link = link->next;
		count_unanswered(run, now_us);
		if (!is_stalled(run, now_us))
			continue;
		run->call = NULL;
		context->protocol->cancel(call);
		try_failed(run, TRY_BROKEN);
	}
}
