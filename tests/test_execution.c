#include <string.h>

#include "base/counter.h"
#include "gateway/execution.h"
#include "unit.h"

#define MAX_CALLS 64

/* A protocol whose calls the test answers itself. */
struct runner_call {
	runner_request_t request;
	char *instance;
	int64_t resume_after;
	bool cancelled;
	bool ended;
};

typedef struct fixture {
	struct event_base *base;
	clock_manual_t clock;
	GRand *random;
	counter_set_t *counters;
	fleet_t *fleet;
	runner_protocol_t protocol;
	execution_context_t context;
	struct runner_call calls[MAX_CALLS];
	int count;
	GString *delivered; /* calls of the sink */
	int ends;
	execution_outcome_t end;
	execution_reason_t reason;
	bool may_relay; /* as the sink answers */
} fixture_t;

static runner_call_t *start(void *context, const runner_request_t *request)
{
	fixture_t *fixture = context;
	runner_call_t *call = &fixture->calls[fixture->count++];

	call->request = *request;
	call->instance = g_strdup(request->instance);
	call->resume_after = request->resume_after;
	return call;
}

static void cancel(runner_call_t *call)
{
	call->cancelled = true;
}

static void on_start(const runner_answer_t *answer, void *user_data)
{
	fixture_t *fixture = user_data;

	g_string_append(fixture->delivered, "start|");
}

static void on_event(const char *raw, size_t raw_len, const char *data,
		     size_t data_len, void *user_data)
{
	fixture_t *fixture = user_data;

	g_string_append_len(fixture->delivered, data, (gssize)data_len);
	g_string_append_c(fixture->delivered, '|');
}

static void on_response(const runner_answer_t *answer, const char *body,
			size_t len, void *user_data)
{
	fixture_t *fixture = user_data;

	g_string_append_printf(fixture->delivered, "%d:%.*s|", answer->status,
			       (int)len, body);
}

static void on_end(execution_outcome_t end, execution_reason_t reason,
		   void *user_data)
{
	fixture_t *fixture = user_data;

	fixture->ends++;
	fixture->end = end;
	fixture->reason = reason;
}

static bool may_relay(void *user_data)
{
	return ((fixture_t *)user_data)->may_relay;
}

static const execution_sink_t sink = { on_start, on_event, on_response, on_end,
				       may_relay };

static bool has_relay(const char *domain, void *user_data)
{
	return true;
}

static void add_runner_of(fixture_t *fixture, const char *id,
			  const char *version)
{
	const fleet_entry_t entry = { id, "10.0.0.1:1", "s",	"d", 8,
				      1,  false,	version };

	fleet_update(fixture->fleet, &entry);
}

static void add_runner(fixture_t *fixture, const char *id)
{
	add_runner_of(fixture, id, "1");
}

static fixture_t *fixture_new(void)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	fleet_options_t fleet = { .clock = &fixture->clock.base,
				  .domain = "d",
				  .has_relay = has_relay };

	fixture->base = event_base_new();
	clock_manual_init(&fixture->clock, 0);
	clock_manual_advance_ms(&fixture->clock, 1000);
	fixture->random = g_rand_new_with_seed(1);
	fleet.random = fixture->random;
	fixture->fleet = fleet_new(&fleet);
	fixture->counters = counter_set_new();
	fixture->protocol = (runner_protocol_t){ .start = start,
						 .cancel = cancel,
						 .context = fixture };
	fixture->context.base = fixture->base;
	fixture->context.clock = &fixture->clock.base;
	fixture->context.fleet = fixture->fleet;
	fixture->context.part_guard = part_guard_new(&(part_guard_options_t){
		.clock = &fixture->clock.base,
		.random = fixture->random,
		.counters = fixture->counters,
	});
	fixture->context.protocol = &fixture->protocol;
	fixture->context.tries_total = counter_get(
		fixture->counters, COUNTER_MONOTONIC, "tries", NULL);
	fixture->context.resumes_total = counter_get(
		fixture->counters, COUNTER_MONOTONIC, "resumes", NULL);
	g_queue_init(&fixture->context.active);
	fixture->delivered = g_string_new(NULL);
	fixture->may_relay = true;
	add_runner(fixture, "a");
	add_runner(fixture, "b");
	return fixture;
}

static void fixture_free(fixture_t *fixture)
{
	for (int i = 0; i < fixture->count; i++)
		g_free(fixture->calls[i].instance);
	g_string_free(fixture->delivered, TRUE);
	part_guard_free(fixture->context.part_guard);
	counter_set_free(fixture->counters);
	fleet_free(fixture->fleet);
	g_rand_free(fixture->random);
	event_base_free(fixture->base);
	g_free(fixture);
}

static execution_t *start_batch(fixture_t *fixture, int64_t tokens,
				uint32_t refusals)
{
	GPtrArray *headers = g_ptr_array_new();
	GBytes *body = g_bytes_new("x", 1);
	const execution_options_t options = {
		.id = "i1",
		.method = "POST",
		.target = "/p",
		.host = "h",
		.service = "s",
		.headers = headers,
		.body = body,
		.stream = true,
		.resumable = true,
		.batch = true,
		.tokens = tokens,
		.refusals = refusals,
		.max_runners = UINT32_MAX,
		.resume_after = -1,
		.sink = &sink,
		.user_data = fixture,
	};
	execution_t *execution = execution_start(&fixture->context, &options);

	g_ptr_array_unref(headers);
	g_bytes_unref(body);
	return execution;
}

static int64_t decode_large(const GPtrArray *headers)
{
	return 110000;
}

static execution_t *start_execution(fixture_t *fixture, bool stream,
				    bool idempotent, bool resumable)
{
	GPtrArray *headers = g_ptr_array_new();
	GBytes *body = g_bytes_new("x", 1);
	const execution_options_t options = {
		.id = "q1",
		.digest = 0x71,
		.method = "POST",
		.target = "/p",
		.host = "h",
		.service = "s",
		.headers = headers,
		.body = body,
		.stream = stream,
		.idempotent = idempotent,
		.resumable = resumable,
		.max_runners = 2,
		.expires_us = clock_now_us(&fixture->clock.base) + 5000000,
		.resume_after = -1,
		.sink = &sink,
		.user_data = fixture,
	};
	execution_t *execution = execution_start(&fixture->context, &options);

	g_ptr_array_unref(headers);
	g_bytes_unref(body);
	return execution;
}

static void run_event_loop(fixture_t *fixture)
{
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
}

static void answer_with(fixture_t *fixture, int index, runner_answer_t a)
{
	a.headers = g_ptr_array_new();
	fixture->calls[index].request.answer(
		&a, fixture->calls[index].request.user_data);
	g_ptr_array_unref(a.headers);
}

static void answer(fixture_t *fixture, int index, int status, bool not_run)
{
	const runner_answer_t a = { .status = status, .not_run = not_run };

	answer_with(fixture, index, a);
}

static void data(fixture_t *fixture, int index, const char *text)
{
	fixture->calls[index].request.data(
		text, strlen(text), fixture->calls[index].request.user_data);
}

/* Like a protocol, makes no callback after cancel. */
static void done(fixture_t *fixture, int index, runner_outcome_t end)
{
	const runner_request_t *request = &fixture->calls[index].request;

	if (!fixture->calls[index].cancelled)
		request->done(end, request->user_data);
	run_event_loop(fixture);
}

/* A request that is not idempotent must not be retried after it may have
 * run. */
static void test_not_idempotent_is_not_retried(void)
{
	fixture_t *fixture = fixture_new();

	start_execution(fixture, true, false, false);
	done(fixture, 0, RUNNER_TRUNCATED);
	CU_ASSERT_EQUAL(fixture->count, 1);
	CU_ASSERT_EQUAL(fixture->ends, 1);
	CU_ASSERT_EQUAL(fixture->end, EXECUTION_UNKNOWN);
	fixture_free(fixture);
}

/* A refused attempt or a failed connect did not run, so even a request that is
 * not idempotent must be retried at another runner. */
static void test_refused_is_retried(void)
{
	fixture_t *fixture = fixture_new();

	start_execution(fixture, true, false, false);
	answer(fixture, 0, 503, true);
	done(fixture, 0, RUNNER_COMPLETE);
	CU_ASSERT_EQUAL(fixture->count, 2);
	CU_ASSERT_STRING_NOT_EQUAL(fixture->calls[0].instance,
				   fixture->calls[1].instance);
	done(fixture, 1, RUNNER_NOT_SENT);
	CU_ASSERT_EQUAL(fixture->count, 3);
	answer(fixture, 2, 200, false);
	data(fixture, 2, "id: 1\ndata: a\n\n");
	done(fixture, 2, RUNNER_COMPLETE);
	CU_ASSERT_STRING_EQUAL(fixture->delivered->str, "start|a|");
	CU_ASSERT_EQUAL(fixture->end, EXECUTION_DONE);
	fixture_free(fixture);
}

/* While all runners are ejected, a request must not be sent again to the one
 * that has just refused it as long as there is another. */
static void test_refusal_at_ejected_runners(void)
{
	for (guint32 seed = 1; seed <= 50; seed++) {
		fixture_t *fixture = fixture_new();

		g_rand_set_seed(fixture->random, seed);
		fleet_failed(fixture->fleet,
			     fleet_find(fixture->fleet, fleet_key("a")));
		fleet_failed(fixture->fleet,
			     fleet_find(fixture->fleet, fleet_key("b")));
		start_execution(fixture, true, false, false);
		answer(fixture, 0, 503, true);
		done(fixture, 0, RUNNER_COMPLETE);
		CU_ASSERT_STRING_NOT_EQUAL(fixture->calls[0].instance,
					   fixture->calls[1].instance);
		done(fixture, 1, RUNNER_TRUNCATED);
		fixture_free(fixture);
	}
}

/* All runners refuse an online request, which is larger than their memory. Guards
 * against keeping batch items from them, for seconds: with such requests all the
 * time, no item was run. */
static void test_batch_after_large_request(void)
{
	fixture_t *fixture = fixture_new();
	execution_t *small;

	for (int round = 0; round < 5; round++) {
		int first = fixture->count;

		fixture->protocol.decode_tokens = decode_large;
		start_execution(fixture, true, false, true);
		for (int i = first; i < fixture->count; i++) {
			answer(fixture, i, 503, true);
			done(fixture, i, RUNNER_COMPLETE);
		}
		CU_ASSERT(fixture->count > first);
	}
	CU_ASSERT_EQUAL(fixture->end, EXECUTION_NOT_RUN);
	small = start_batch(fixture, 100, 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(small);
	CU_ASSERT_PTR_NULL(start_batch(fixture, 110000, 0));
	execution_cancel(small);
	fixture_free(fixture);
}

/* The refusals of an item of unknown size that runners have refused several times
 * say nothing about the runners. */
static void test_item_refused_again(void)
{
	for (uint32_t refusals = EXECUTION_OWN_REFUSALS - 1;
	     refusals <= EXECUTION_OWN_REFUSALS; refusals++) {
		fixture_t *fixture = fixture_new();
		execution_t *next;

		start_batch(fixture, 0, refusals);
		for (int i = 0; i < fixture->count; i++) {
			answer(fixture, i, 503, true);
			done(fixture, i, RUNNER_COMPLETE);
		}
		CU_ASSERT_EQUAL(fixture->end, EXECUTION_NOT_RUN);
		next = start_batch(fixture, 0, 0);
		CU_ASSERT_EQUAL(next != NULL,
				refusals == EXECUTION_OWN_REFUSALS);
		if (next)
			execution_cancel(next);
		fixture_free(fixture);
	}
}

/* When every runner refuses, the outcome must be that it has not run. */
static void test_all_refuse(void)
{
	fixture_t *fixture = fixture_new();

	start_execution(fixture, true, false, false);
	for (int i = 0; i < fixture->count; i++) {
		answer(fixture, i, 503, true);
		done(fixture, i, RUNNER_COMPLETE);
	}
	CU_ASSERT_EQUAL(fixture->ends, 1);
	CU_ASSERT_EQUAL(fixture->end, EXECUTION_NOT_RUN);
	fixture_free(fixture);
}

/* A resumed stream must neither miss nor repeat an event. */
static void test_resumption(void)
{
	fixture_t *fixture = fixture_new();

	start_execution(fixture, true, false, true);
	answer(fixture, 0, 200, false);
	data(fixture, 0, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
	done(fixture, 0, RUNNER_TRUNCATED);
	CU_ASSERT_EQUAL(fixture->calls[1].resume_after, 2);
	answer(fixture, 1, 200, false);
	data(fixture, 1, "id: 3\ndata: c\n\n");
	done(fixture, 1, RUNNER_COMPLETE);
	CU_ASSERT_STRING_EQUAL(fixture->delivered->str, "start|a|b|c|");
	CU_ASSERT_EQUAL(fixture->end, EXECUTION_DONE);
	fixture_free(fixture);
}

/* A stream that has events of one software version must be resumed at a runner
 * of that version only. */
static void test_resumption_keeps_version(void)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		fixture_t *fixture = fixture_new();
		char first;
		char last;

		g_rand_set_seed(fixture->random, seed);
		add_runner_of(fixture, "c", "2");
		add_runner_of(fixture, "d", "2");
		start_execution(fixture, true, false, true);
		answer(fixture, 0, 200, false);
		data(fixture, 0, "id: 1\ndata: a\n\n");
		done(fixture, 0, RUNNER_TRUNCATED);
		CU_ASSERT_EQUAL(fixture->count, 2);
		first = fixture->calls[0].instance[0];
		last = fixture->calls[1].instance[0];
		CU_ASSERT_EQUAL(first >= 'c', last >= 'c');
		CU_ASSERT_NOT_EQUAL(first, last);
		execution_cancel(g_queue_peek_head(&fixture->context.active));
		fixture_free(fixture);
	}
}

/* A stream without an event must go on at any version. */
static void test_empty_stream_changes_version(void)
{
	fixture_t *fixture = fixture_new();

	fleet_set_draining(fixture->fleet,
			   fleet_find(fixture->fleet, fleet_key("b")));
	add_runner_of(fixture, "c", "2");
	start_execution(fixture, true, false, true);
	answer(fixture, 0, 200, false);
	done(fixture, 0, RUNNER_TRUNCATED);
	CU_ASSERT_EQUAL(fixture->count, 2);
	CU_ASSERT_STRING_NOT_EQUAL(fixture->calls[0].instance,
				   fixture->calls[1].instance);
	execution_cancel(g_queue_peek_head(&fixture->context.active));
	fixture_free(fixture);
}

/* A stream that ends inside an event must not count as complete. */
static void test_truncated_event(void)
{
	fixture_t *fixture = fixture_new();

	start_execution(fixture, true, false, false);
	answer(fixture, 0, 200, false);
	data(fixture, 0, "id: 1\ndata: a\n\nid: 2\nda");
	done(fixture, 0, RUNNER_COMPLETE);
	CU_ASSERT_EQUAL(fixture->end, EXECUTION_TRUNCATED);
	fixture_free(fixture);
}

/* A resumed stream must not end as complete when the runner goes down before it
 * has sent an event. Only a framed response can be empty and complete. */
static void test_empty_resumption(void)
{
	for (int until_close = 0; until_close < 2; until_close++) {
		fixture_t *fixture = fixture_new();
		const runner_answer_t a = { .status = 200,
					    .until_close = until_close };

		start_execution(fixture, true, false, true);
		answer(fixture, 0, 200, false);
		data(fixture, 0, "id: 1\ndata: a\n\n");
		done(fixture, 0, RUNNER_TRUNCATED);
		answer_with(fixture, 1, a);
		done(fixture, 1, RUNNER_COMPLETE);
		CU_ASSERT_EQUAL(fixture->end, until_close ?
						      EXECUTION_TRUNCATED :
						      EXECUTION_DONE);
		fixture_free(fixture);
	}
}

/* An event out of order must end the attempt and must not be delivered. */
static void test_event_out_of_order(void)
{
	fixture_t *fixture = fixture_new();

	start_execution(fixture, true, false, false);
	answer(fixture, 0, 200, false);
	data(fixture, 0, "id: 1\ndata: a\n\nid: 3\ndata: c\n\n");
	run_event_loop(fixture);
	CU_ASSERT(fixture->calls[0].cancelled);
	CU_ASSERT_EQUAL(fixture->end, EXECUTION_TRUNCATED);
	CU_ASSERT_STRING_EQUAL(fixture->delivered->str, "start|a|");
	fixture_free(fixture);
}

/* A stalled stream must be resumed at another runner only if it is
 * resumable. */
static void test_stall(void)
{
	fixture_t *fixture = fixture_new();
	execution_t *other;

	start_execution(fixture, true, false, true);
	other = start_execution(fixture, true, false, false);
	answer(fixture, 0, 200, false);
	answer(fixture, 1, 200, false);
	data(fixture, 0, "id: 1\ndata: a\n\n");
	clock_manual_advance_ms(&fixture->clock, 1500);
	execution_check_timeouts(&fixture->context);
	run_event_loop(fixture);
	CU_ASSERT(fixture->calls[0].cancelled);
	CU_ASSERT_FALSE(fixture->calls[1].cancelled);
	CU_ASSERT_EQUAL(fixture->count, 3);
	CU_ASSERT_EQUAL(fixture->calls[2].resume_after, 1);
	execution_cancel(other);
	done(fixture, 2, RUNNER_NOT_SENT);
	fixture_free(fixture);
}

/* Lets time pass in steps while the runners are silent. */
static void wait_silently(fixture_t *fixture, int ms)
{
	for (int passed_ms = 0; passed_ms < ms; passed_ms += 50) {
		clock_manual_advance_ms(&fixture->clock, 50);
		execution_check_timeouts(&fixture->context);
		run_event_loop(fixture);
	}
}

/* A stream that no other runner can take must not end while its runner is
 * silent: the only one of its software version, or the only one at all. */
static void test_silence_without_other_runner(void)
{
	for (int only_one = 0; only_one <= 1; only_one++) {
		fixture_t *fixture = fixture_new();

		fleet_set_draining(fixture->fleet,
				   fleet_find(fixture->fleet, fleet_key("b")));
		if (!only_one) {
			add_runner_of(fixture, "c", "2");
			fleet_failed(
				fixture->fleet,
				fleet_find(fixture->fleet, fleet_key("c")));
		}
		start_execution(fixture, true, false, true);
		answer(fixture, 0, 200, false);
		data(fixture, 0, "id: 1\ndata: a\n\n");
		wait_silently(fixture, 1300);
		CU_ASSERT_FALSE_FATAL(fixture->calls[0].cancelled);
		data(fixture, 0, "id: 2\ndata: b\n\n");
		done(fixture, 0, RUNNER_COMPLETE);
		CU_ASSERT_STRING_EQUAL(fixture->delivered->str, "start|a|b|");
		CU_ASSERT_EQUAL(fixture->end, EXECUTION_DONE);
		fixture_free(fixture);
	}
}

/* A stream must not end, begun or not, while the last runner that may run it is
 * silent. */
static void test_silence_without_budget(void)
{
	for (int begun = 0; begun <= 1; begun++) {
		fixture_t *fixture = fixture_new();

		add_runner(fixture, "c");
		start_execution(fixture, true, false, true);
		done(fixture, 0, RUNNER_TRUNCATED);
		CU_ASSERT_EQUAL_FATAL(fixture->count, 2);
		if (begun)
			answer(fixture, 1, 200, false);
		wait_silently(fixture, 1300);
		CU_ASSERT_FALSE_FATAL(fixture->calls[1].cancelled);
		CU_ASSERT_EQUAL(fixture->ends, 0);
		if (!begun)
			answer(fixture, 1, 200, false);
		data(fixture, 1, "id: 1\ndata: a\n\n");
		done(fixture, 1, RUNNER_COMPLETE);
		CU_ASSERT_EQUAL(fixture->end, EXECUTION_DONE);
		fixture_free(fixture);
	}
}

/* A stalled stream must stay at its runner while the node is cut off from all
 * runners, and be resumed elsewhere when another one still sends events. */
static void test_stall_while_cut_off(void)
{
	for (int other_sends = 0; other_sends <= 1; other_sends++) {
		fixture_t *fixture = fixture_new();
		execution_t *other;

		add_runner(fixture, "c");
		start_execution(fixture, true, false, true);
		other = start_execution(fixture, true, false, false);
		for (int i = 0; i < 2; i++) {
			answer(fixture, i, 200, false);
			data(fixture, i, "id: 1\ndata: a\n\n");
		}
		clock_manual_advance_ms(&fixture->clock, 300);
		start_execution(fixture, true, false, false);
		done(fixture, 2, RUNNER_NOT_SENT);
		if (other_sends)
			data(fixture, 1, "id: 2\ndata: b\n\n");
		add_runner(fixture, "d");
		wait_silently(fixture, 700);
		CU_ASSERT_EQUAL(fixture->calls[0].cancelled, other_sends);
		execution_cancel(other);
		fixture_free(fixture);
	}
}

/* A stream that has begun must not end because no runner can be connected to for
 * some seconds. Attempts must pause meanwhile, and end with the deadline. */
static void test_resumption_waits_for_runner(void)
{
	for (int is_back = 0; is_back <= 1; is_back++) {
		fixture_t *fixture = fixture_new();
		int last = 0;

		start_execution(fixture, true, false, true);
		answer(fixture, 0, 200, false);
		data(fixture, 0, "id: 1\ndata: a\n\n");
		done(fixture, 0, RUNNER_TRUNCATED);
		/* A lost domain is tried once in a while only. */
		for (int i = 0; i < 40; i++) {
			if (is_back && fixture->count - 1 > MAX(last, 4))
				break;
			if (fixture->count - 1 > last)
				done(fixture, ++last, RUNNER_NOT_SENT);
			wait_silently(fixture, 250);
		}
		if (!is_back) {
			CU_ASSERT_EQUAL(fixture->reason, EXECUTION_NO_TIME);
		} else {
			CU_ASSERT_EQUAL_FATAL(fixture->ends, 0);
			last = fixture->count - 1;
			CU_ASSERT(last > 4);
			CU_ASSERT_EQUAL(fixture->calls[last].resume_after, 1);
			answer(fixture, last, 200, false);
			data(fixture, last, "id: 2\ndata: b\n\n");
			done(fixture, last, RUNNER_COMPLETE);
			CU_ASSERT_STRING_EQUAL(fixture->delivered->str,
					       "start|a|b|");
		}
		CU_ASSERT_EQUAL(fixture->ends, 1);
		fixture_free(fixture);
	}
}

/* A stream must end at once when no runner has its software version any more,
 * so that its client does not wait in vain. */
static void test_resumption_without_version(void)
{
	fixture_t *fixture = fixture_new();

	start_execution(fixture, true, false, true);
	answer(fixture, 0, 200, false);
	data(fixture, 0, "id: 1\ndata: a\n\n");
	add_runner_of(fixture, "c", "2");
	fleet_set_draining(fixture->fleet,
			   fleet_find(fixture->fleet, fleet_key("a")));
	fleet_set_draining(fixture->fleet,
			   fleet_find(fixture->fleet, fleet_key("b")));
	done(fixture, 0, RUNNER_TRUNCATED);
	CU_ASSERT_EQUAL(fixture->ends, 1);
	CU_ASSERT_EQUAL(fixture->reason, EXECUTION_NO_RUNNER);
	fixture_free(fixture);
}

/* Advances the clock in steps, each with the text from the first runner. */
static void send_slowly(fixture_t *fixture, int step_ms, int steps,
			const char *const *texts)
{
	for (int i = 0; i < steps; i++) {
		clock_manual_advance_ms(&fixture->clock, step_ms);
		if (!fixture->calls[0].cancelled)
			data(fixture, 0, texts[i]);
		execution_check_timeouts(&fixture->context);
		run_event_loop(fixture);
	}
}

/* A stalled stream that sends a byte now and then must be resumed elsewhere.
 * One whose events come slowly must not be cut. */
static void test_bytes_without_events(void)
{
	static const char *const bytes[] = { ":", "i", "d", ":", " ", "2" };
	static const char *const events[] = { "id: 2\ndata: b\n\n",
					      "id: 3\ndata: c\n\n",
					      "id: 4\ndata: d\n\n" };
	fixture_t *fixture = fixture_new();

	start_execution(fixture, true, false, true);
	answer(fixture, 0, 200, false);
	data(fixture, 0, "id: 1\ndata: a\n\n");
	send_slowly(fixture, 800, G_N_ELEMENTS(events), events);
	CU_ASSERT_FALSE(fixture->calls[0].cancelled);
	send_slowly(fixture, 300, G_N_ELEMENTS(bytes), bytes);
	CU_ASSERT(fixture->calls[0].cancelled);
	CU_ASSERT_EQUAL(fixture->count, 2);
	CU_ASSERT_EQUAL(fixture->calls[1].resume_after, 4);
	done(fixture, 1, RUNNER_NOT_SENT);
	fixture_free(fixture);
}

/* An error response without end must not fill the memory: the connection is
 * closed, also when no other runner may have the request. */
static void test_body_without_end(void)
{
	char *text = g_strnfill(64 * 1024, 'x');

	for (int resumable = 0; resumable < 2; resumable++) {
		fixture_t *fixture = fixture_new();

		start_execution(fixture, true, false, resumable);
		answer(fixture, 0, 500, false);
		for (int i = 0; i < 20 && !fixture->calls[0].cancelled; i++)
			data(fixture, 0, text);
		run_event_loop(fixture);
		CU_ASSERT(fixture->calls[0].cancelled);
		CU_ASSERT_EQUAL(fixture->count, resumable ? 2 : 1);
		CU_ASSERT_EQUAL(fixture->ends, resumable ? 0 : 1);
		CU_ASSERT_STRING_EQUAL(fixture->delivered->str, "");
		if (resumable) {
			CU_ASSERT_STRING_NOT_EQUAL(fixture->calls[0].instance,
						   fixture->calls[1].instance);
			done(fixture, 1, RUNNER_NOT_SENT);
		}
		fixture_free(fixture);
	}
	g_free(text);
}

/* A caller must not wait for the end of an error, which may never come, when
 * another runner can have the request. */
static void test_error_is_not_awaited(void)
{
	static const struct {
		int status;
		bool not_run, stream, idempotent, resumable;
	} cases[] = {
		{ 500, false, false, true, false },
		{ 503, true, false, false, false },
		{ 421, true, true, false, false },
		{ 200, true, true, false, false },
		{ 500, false, true, false, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t *fixture = fixture_new();

		start_execution(fixture, cases[i].stream, cases[i].idempotent,
				cases[i].resumable);
		answer(fixture, 0, cases[i].status, cases[i].not_run);
		run_event_loop(fixture);
		CU_ASSERT(fixture->calls[0].cancelled);
		CU_ASSERT_EQUAL(fixture->count, 2);
		CU_ASSERT_STRING_EQUAL(fixture->delivered->str, "");
		execution_cancel(g_queue_peek_head(&fixture->context.active));
		fixture_free(fixture);
	}
}

/* Callers take 408, 429 and 503 for the promise that the request has not run, which
 * a runner makes by Not-Run only. */
static void test_unproven_refusal(void)
{
	static const struct {
		int status;
		execution_outcome_t end;
	} cases[] = {
		{ 408, EXECUTION_UNKNOWN }, { 429, EXECUTION_UNKNOWN },
		{ 503, EXECUTION_UNKNOWN }, { 400, EXECUTION_DONE },
		{ 500, EXECUTION_DONE },    { 504, EXECUTION_DONE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		for (int stream = 0; stream <= 1; stream++) {
			fixture_t *fixture = fixture_new();

			start_execution(fixture, stream, false, false);
			answer(fixture, 0, cases[i].status, false);
			data(fixture, 0, "x");
			done(fixture, 0, RUNNER_COMPLETE);
			CU_ASSERT_EQUAL(fixture->count, 1);
			CU_ASSERT_EQUAL(fixture->ends, 1);
			CU_ASSERT_EQUAL(fixture->end, cases[i].end);
			fixture_free(fixture);
		}
}

/* The runner ends while it processes a request. */
static void crash(fixture_t *fixture, int index)
{
	clock_manual_advance_ms(&fixture->clock, 100);
	answer(fixture, index, 200, false);
	done(fixture, index, RUNNER_TRUNCATED);
}

/* A request that has crashed two runners must not be sent to a third one, and
 * its caller must not be told that it has not run. */
static void test_crashing_request_is_not_resumed(void)
{
	fixture_t *fixture = fixture_new();

	add_runner(fixture, "c");
	start_execution(fixture, true, false, true);
	crash(fixture, 0);
	CU_ASSERT_EQUAL(fixture->count, 2);
	crash(fixture, 1);
	CU_ASSERT_EQUAL(fixture->count, 2);
	CU_ASSERT_EQUAL(fixture->ends, 1);
	CU_ASSERT_EQUAL(fixture->end, EXECUTION_TRUNCATED);
	CU_ASSERT_PTR_NULL(start_execution(fixture, true, false, true));
	fixture_free(fixture);
}

static void decode_shared_part(const GPtrArray *headers, prompt_parts_t *parts)
{
	prompt_parts_add(parts, 7);
}

/* Sound requests with the body of one that crashes runners, but another prompt,
 * must be told from it. */
static void test_same_body_with_other_parts(void)
{
	fixture_t *fixture = fixture_new();
	prompt_parts_t plain;
	prompt_parts_t shared;
	prompt_parts_t again;
	GPtrArray *headers = g_ptr_array_new();

	execution_parts(&fixture->context, headers, 5, &plain);
	fixture->protocol.decode_parts = decode_shared_part;
	execution_parts(&fixture->context, headers, 5, &shared);
	execution_parts(&fixture->context, headers, 5, &again);
	CU_ASSERT_EQUAL(plain.count, 1);
	CU_ASSERT_EQUAL(shared.count, 2);
	CU_ASSERT_NOT_EQUAL(plain.ids[0], shared.ids[1]);
	CU_ASSERT_EQUAL(shared.ids[1], again.ids[1]);
	g_ptr_array_unref(headers);
	fixture_free(fixture);
}

/* Requests with a part that crashes runners must be withdrawn from the queues of
 * the runners; those that are being processed are left. */
static void test_queued_request_is_withdrawn(void)
{
	fixture_t *fixture = fixture_new();

	fixture->protocol.decode_parts = decode_shared_part;
	for (int i = 0; i < 5; i++)
		start_execution(fixture, true, false, false);
	answer(fixture, 4, 200, false);
	for (int i = 0; i < 3; i++) {
		part_guard_lost(fixture->context.part_guard, 100 + i,
				&(prompt_parts_t){ .ids = { 7 }, .count = 1 },
				PART_LOSS_RUNNING, 0);
		clock_manual_advance_ms(&fixture->clock, 100);
	}
	execution_check_timeouts(&fixture->context);
	run_event_loop(fixture);
	CU_ASSERT(fixture->calls[3].cancelled);
	CU_ASSERT_FALSE(fixture->calls[4].cancelled);
	CU_ASSERT_EQUAL(fixture->end, EXECUTION_UNKNOWN);
	CU_ASSERT_EQUAL(fixture->count, 5);
	done(fixture, 4, RUNNER_TRUNCATED);
	fixture_free(fixture);
}

/* An error response of a runner must be delivered unchanged; an idempotent
 * request must be retried at another runner first. */
static void test_errors(void)
{
	fixture_t *fixture = fixture_new();

	start_execution(fixture, false, false, false);
	answer(fixture, 0, 500, false);
	data(fixture, 0, "bad");
	done(fixture, 0, RUNNER_COMPLETE);
	CU_ASSERT_STRING_EQUAL(fixture->delivered->str, "500:bad|");
	start_execution(fixture, false, true, false);
	answer(fixture, 1, 500, false);
	done(fixture, 1, RUNNER_COMPLETE);
	answer(fixture, 2, 200, false);
	data(fixture, 2, "good");
	done(fixture, 2, RUNNER_COMPLETE);
	CU_ASSERT_STRING_EQUAL(fixture->delivered->str, "500:bad|200:good|");
	CU_ASSERT_EQUAL(fixture->ends, 2);
	fixture_free(fixture);
}

/* Guards against items of an ended job that another node passes on for an owner
 * that does not know of the end: the owner was cut off from the store as well. */
static void test_unconfirmed_is_not_relayed(void)
{
	fixture_t *fixture = fixture_new();

	fleet_unreachable(fixture->fleet,
			  fleet_find(fixture->fleet, fleet_key("a")));
	fleet_unreachable(fixture->fleet,
			  fleet_find(fixture->fleet, fleet_key("b")));
	fixture->may_relay = false;
	CU_ASSERT_PTR_NULL(start_execution(fixture, true, false, true));
	CU_ASSERT_EQUAL(fixture->count, 0);
	CU_ASSERT_EQUAL(
		fleet_find(fixture->fleet, fleet_key("a"))->own.online +
			fleet_find(fixture->fleet, fleet_key("b"))->own.online,
		0);
	fixture->may_relay = true;
	CU_ASSERT_PTR_NOT_NULL(start_execution(fixture, true, false, true));
	CU_ASSERT_EQUAL(fixture->count, 1);
	fixture_free(fixture);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "not idempotent is not retried",
		  test_not_idempotent_is_not_retried },
		{ "refused is retried", test_refused_is_retried },
		{ "refusal at ejected runners",
		  test_refusal_at_ejected_runners },
		{ "batch after large request", test_batch_after_large_request },
		{ "item refused again", test_item_refused_again },
		{ "all refuse", test_all_refuse },
		{ "resumption", test_resumption },
		{ "resumption keeps version", test_resumption_keeps_version },
		{ "empty stream changes version",
		  test_empty_stream_changes_version },
		{ "truncated event", test_truncated_event },
		{ "empty resumption", test_empty_resumption },
		{ "event out of order", test_event_out_of_order },
		{ "stall", test_stall },
		{ "silence without other runner",
		  test_silence_without_other_runner },
		{ "silence without budget", test_silence_without_budget },
		{ "stall while cut off", test_stall_while_cut_off },
		{ "resumption waits for runner",
		  test_resumption_waits_for_runner },
		{ "resumption without version",
		  test_resumption_without_version },
		{ "bytes without events", test_bytes_without_events },
		{ "body without end", test_body_without_end },
		{ "error is not awaited", test_error_is_not_awaited },
		{ "unproven refusal", test_unproven_refusal },
		{ "crashing request is not resumed",
		  test_crashing_request_is_not_resumed },
		{ "same body with other parts",
		  test_same_body_with_other_parts },
		{ "queued request is withdrawn",
		  test_queued_request_is_withdrawn },
		{ "errors", test_errors },
		{ "unconfirmed is not relayed",
		  test_unconfirmed_is_not_relayed },
		{ NULL, NULL },
	};

	return unit_run("execution", tests);
}
