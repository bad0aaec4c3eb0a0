#include <string.h>

#include "base/counter.h"
#include "gateway/run.h"
#include "unit.h"

#define MAX_CALLS 16

/* A protocol whose calls the test answers by hand. */
struct runner_call {
	runner_request_t request;
	char *instance;
	int64_t resume_after;
	bool cancelled;
	bool ended;
};

typedef struct world {
	struct event_base *base;
	clock_manual_t clock;
	GRand *random;
	counter_set_t *counters;
	fleet_t *fleet;
	runner_protocol_t protocol;
	run_context_t context;
	struct runner_call calls[MAX_CALLS];
	int count;
	GString *seen; /* what the sink got */
	int ends;
	run_end_t end;
} world_t;

static runner_call_t *start(void *context, const runner_request_t *request)
{
	world_t *world = context;
	runner_call_t *call = &world->calls[world->count++];

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
	world_t *world = user_data;

	g_string_append(world->seen, "start|");
}

static void on_event(const char *raw, size_t raw_len, const char *data,
		     size_t data_len, void *user_data)
{
	world_t *world = user_data;

	g_string_append_len(world->seen, data, (gssize)data_len);
	g_string_append_c(world->seen, '|');
}

static void on_whole(const runner_answer_t *answer, const char *body,
		     size_t len, void *user_data)
{
	world_t *world = user_data;

	g_string_append_printf(world->seen, "%d:%.*s|", answer->status,
			       (int)len, body);
}

static void on_end(run_end_t end, void *user_data)
{
	world_t *world = user_data;

	world->ends++;
	world->end = end;
}

static const run_sink_t sink = { on_start, on_event, on_whole, on_end };

static void add_runner(world_t *world, const char *id)
{
	const fleet_entry_t entry = { id, "10.0.0.1:1", "s", "d", 8, 1, false };

	fleet_update(world->fleet, &entry);
}

static world_t *world_new(void)
{
	world_t *world = g_new0(world_t, 1);
	fleet_options_t fleet = { .clock = &world->clock.base, .domain = "d" };

	world->base = event_base_new();
	clock_manual_init(&world->clock, 0);
	clock_manual_advance_ms(&world->clock, 1000);
	world->random = g_rand_new_with_seed(1);
	fleet.random = world->random;
	world->fleet = fleet_new(&fleet);
	world->counters = counter_set_new();
	world->protocol = (runner_protocol_t){ start, cancel, world };
	world->context.base = world->base;
	world->context.clock = &world->clock.base;
	world->context.fleet = world->fleet;
	world->context.protocol = &world->protocol;
	world->context.tries_total =
		counter_get(world->counters, COUNTER_MONOTONIC, "tries", NULL);
	world->context.resumes_total = counter_get(
		world->counters, COUNTER_MONOTONIC, "resumes", NULL);
	g_queue_init(&world->context.runs);
	world->seen = g_string_new(NULL);
	add_runner(world, "a");
	add_runner(world, "b");
	return world;
}

static void world_free(world_t *world)
{
	for (int i = 0; i < world->count; i++)
		g_free(world->calls[i].instance);
	g_string_free(world->seen, TRUE);
	counter_set_free(world->counters);
	fleet_free(world->fleet);
	g_rand_free(world->random);
	event_base_free(world->base);
	g_free(world);
}

static run_t *run_of(world_t *world, bool stream, bool idempotent,
		     bool resumable)
{
	GPtrArray *headers = g_ptr_array_new();
	GBytes *body = g_bytes_new("x", 1);
	const run_options_t options = {
		.id = "q1",
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
		.expires_us = clock_now_us(&world->clock.base) + 5000000,
		.resume_after = -1,
		.sink = &sink,
		.user_data = world,
	};
	run_t *run = run_start(&world->context, &options);

	g_ptr_array_unref(headers);
	g_bytes_unref(body);
	return run;
}

static void settle(world_t *world)
{
	event_base_loop(world->base, EVLOOP_NONBLOCK);
}

static void answer(world_t *world, int index, int status, bool not_run)
{
	runner_answer_t a = { .status = status, .not_run = not_run };

	a.headers = g_ptr_array_new();
	world->calls[index].request.answer(
		&a, world->calls[index].request.user_data);
	g_ptr_array_unref(a.headers);
}

static void data(world_t *world, int index, const char *text)
{
	world->calls[index].request.data(text, strlen(text),
					 world->calls[index].request.user_data);
}

static void done(world_t *world, int index, runner_end_t end)
{
	world->calls[index].request.done(end,
					 world->calls[index].request.user_data);
	settle(world);
}

/* Work that may run only once must not be sent again after it may have run. */
static void test_once_is_not_repeated(void)
{
	world_t *world = world_new();

	run_of(world, true, false, false);
	done(world, 0, RUNNER_CUT);
	CU_ASSERT_EQUAL(world->count, 1);
	CU_ASSERT_EQUAL(world->ends, 1);
	CU_ASSERT_EQUAL(world->end, RUN_UNKNOWN);
	world_free(world);
}

/* A refusal and a failed connect are no runs, and another runner is tried. */
static void test_refused_is_repeated(void)
{
	world_t *world = world_new();

	run_of(world, true, false, false);
	answer(world, 0, 503, true);
	done(world, 0, RUNNER_COMPLETE);
	CU_ASSERT_EQUAL(world->count, 2);
	CU_ASSERT_STRING_NOT_EQUAL(world->calls[0].instance,
				   world->calls[1].instance);
	done(world, 1, RUNNER_NOT_SENT);
	CU_ASSERT_EQUAL(world->count, 3);
	answer(world, 2, 200, false);
	data(world, 2, "id: 1\ndata: a\n\n");
	done(world, 2, RUNNER_COMPLETE);
	CU_ASSERT_STRING_EQUAL(world->seen->str, "start|a|");
	CU_ASSERT_EQUAL(world->end, RUN_DONE);
	world_free(world);
}

/* While all runners are avoided, a request must not go to the one that has just
 * refused it as long as there is another. */
static void test_refusal_at_avoided_runners(void)
{
	for (guint32 seed = 1; seed <= 50; seed++) {
		world_t *world = world_new();

		g_rand_set_seed(world->random, seed);
		fleet_failed(world->fleet,
			     fleet_find(world->fleet, fleet_key("a")));
		fleet_failed(world->fleet,
			     fleet_find(world->fleet, fleet_key("b")));
		run_of(world, true, false, false);
		answer(world, 0, 503, true);
		done(world, 0, RUNNER_COMPLETE);
		CU_ASSERT_STRING_NOT_EQUAL(world->calls[0].instance,
					   world->calls[1].instance);
		done(world, 1, RUNNER_CUT);
		world_free(world);
	}
}

/* When every runner refuses, the caller may be told that it has not run. */
static void test_all_refuse(void)
{
	world_t *world = world_new();

	run_of(world, true, false, false);
	for (int i = 0; i < world->count; i++) {
		answer(world, i, 503, true);
		done(world, i, RUNNER_COMPLETE);
	}
	CU_ASSERT_EQUAL(world->ends, 1);
	CU_ASSERT_EQUAL(world->end, RUN_NOT_RUN);
	world_free(world);
}

/* A resumed stream has no event missing and none twice. */
static void test_resumption(void)
{
	world_t *world = world_new();

	run_of(world, true, false, true);
	answer(world, 0, 200, false);
	data(world, 0, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
	done(world, 0, RUNNER_CUT);
	CU_ASSERT_EQUAL(world->calls[1].resume_after, 2);
	answer(world, 1, 200, false);
	data(world, 1, "id: 3\ndata: c\n\n");
	done(world, 1, RUNNER_COMPLETE);
	CU_ASSERT_STRING_EQUAL(world->seen->str, "start|a|b|c|");
	CU_ASSERT_EQUAL(world->end, RUN_DONE);
	world_free(world);
}

/* A stream that ends inside an event must not look complete. */
static void test_end_inside_event(void)
{
	world_t *world = world_new();

	run_of(world, true, false, false);
	answer(world, 0, 200, false);
	data(world, 0, "id: 1\ndata: a\n\nid: 2\nda");
	done(world, 0, RUNNER_COMPLETE);
	CU_ASSERT_EQUAL(world->end, RUN_CUT);
	world_free(world);
}

/* An event out of order ends the try, and nothing of it is handed on. */
static void test_event_out_of_order(void)
{
	world_t *world = world_new();

	run_of(world, true, false, false);
	answer(world, 0, 200, false);
	data(world, 0, "id: 1\ndata: a\n\nid: 3\ndata: c\n\n");
	settle(world);
	CU_ASSERT(world->calls[0].cancelled);
	CU_ASSERT_EQUAL(world->end, RUN_CUT);
	CU_ASSERT_STRING_EQUAL(world->seen->str, "start|a|");
	world_free(world);
}

/* A silent runner loses a stream that may go on elsewhere, and only that. */
static void test_stall(void)
{
	world_t *world = world_new();
	run_t *other;

	run_of(world, true, false, true);
	other = run_of(world, true, false, false);
	answer(world, 0, 200, false);
	answer(world, 1, 200, false);
	data(world, 0, "id: 1\ndata: a\n\n");
	clock_manual_advance_ms(&world->clock, 1500);
	run_sweep(&world->context);
	settle(world);
	CU_ASSERT(world->calls[0].cancelled);
	CU_ASSERT_FALSE(world->calls[1].cancelled);
	CU_ASSERT_EQUAL(world->count, 3);
	CU_ASSERT_EQUAL(world->calls[2].resume_after, 1);
	run_cancel(other);
	done(world, 2, RUNNER_NOT_SENT);
	world_free(world);
}

/* An error of a runner goes to the caller as it is; idempotent work is first
 * tried elsewhere. */
static void test_errors(void)
{
	world_t *world = world_new();

	run_of(world, false, false, false);
	answer(world, 0, 500, false);
	data(world, 0, "bad");
	done(world, 0, RUNNER_COMPLETE);
	CU_ASSERT_STRING_EQUAL(world->seen->str, "500:bad|");
	run_of(world, false, true, false);
	answer(world, 1, 500, false);
	done(world, 1, RUNNER_COMPLETE);
	answer(world, 2, 200, false);
	data(world, 2, "good");
	done(world, 2, RUNNER_COMPLETE);
	CU_ASSERT_STRING_EQUAL(world->seen->str, "500:bad|200:good|");
	CU_ASSERT_EQUAL(world->ends, 2);
	world_free(world);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "once is not repeated", test_once_is_not_repeated },
		{ "refused is repeated", test_refused_is_repeated },
		{ "refusal at avoided runners",
		  test_refusal_at_avoided_runners },
		{ "all refuse", test_all_refuse },
		{ "resumption", test_resumption },
		{ "end inside event", test_end_inside_event },
		{ "event out of order", test_event_out_of_order },
		{ "stall", test_stall },
		{ "errors", test_errors },
		{ NULL, NULL },
	};

	return unit_run("run", tests);
}
