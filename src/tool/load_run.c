#include "tool/load_run.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "http/http_client.h"
#include "tool/load_answer.h"
#include "tool/load_stats.h"

/* Closed loop: requests opened per millisecond, below the listen backlog. */
#define RAMP_PER_MS 50
#define DEFAULT_RETRY_MS 1000
/* Closed loop: pause after a refused connection, which fails at once. */
#define REFUSED_PAUSE_MS 100

struct load_run {
	load_options_t options;
	struct event_base *base;
	http_client_t *http;
	struct event *arrival;
	struct event *drain;
	GRand *random;
	GPtrArray *prefixes; /* char * */
	GHashTable *open; /* set of load_request_t */
	int64_t start_us;
	int64_t next_arrival_us;
	int64_t end_us; /* of arrivals */
	int64_t finished_us;
	int64_t started; /* requests, warm-up included */
	uint64_t not_started; /* above max_in_flight */
	uint32_t paused; /* places of the closed loop */
	guint address_count;
	guint key_count;
	load_stats_t *all;
	load_stats_t *by_length[2]; /* short, long */
	load_stats_t **by_key;
	bool over;
};

typedef struct load_request {
	load_run_t *run;
	http_call_t *call;
	struct event *retry;
	char *body;
	char *prompt;
	char key[48];
	int64_t number;
	int64_t arrival_us;
	int64_t last_event_us; /* 0 before the first token */
	int64_t max_tokens;
	int64_t resends;
	guint key_index;
	load_answer_t answer;
	bool is_long;
	bool stream;
	bool counted; /* arrived after the warm-up */
} load_request_t;

static int64_t now_us(void)
{
	return clock_now_us(clock_system());
}

static void arrive(load_run_t *run, int64_t arrival_us);
static void send_request(load_request_t *request);
static void check_end(load_run_t *run);

static void add_to_groups(const load_request_t *request, load_stats_add_t add,
			  int64_t value)
{
	const load_run_t *run = request->run;

	add(run->all, value);
	add(run->by_length[request->is_long], value);
	add(run->by_key[request->key_index], value);
}

/* Counts for requests that arrived after the warm-up. */
static void each_group(const load_request_t *request, load_stats_add_t add,
		       int64_t value)
{
	if (request->counted)
		add_to_groups(request, add, value);
}

/* Counts what happens between the warm-up and the end of arrivals. */
static void add_in_time(const load_request_t *request, int64_t now,
			load_stats_add_t add, int64_t value)
{
	const load_run_t *run = request->run;

	if (now >= run->start_us + run->options.warmup_ms * 1000 &&
	    now < run->end_us)
		add_to_groups(request, add, value);
}

static void request_free(load_request_t *request)
{
	g_hash_table_remove(request->run->open, request);
	if (request->retry)
		event_free(request->retry);
	load_answer_clear(&request->answer);
	g_free(request->body);
	g_free(request->prompt);
	g_free(request);
}

static void on_pause_over(evutil_socket_t fd, short events, void *arg)
{
	load_run_t *run = arg;

	run->paused--;
	arrive(run, now_us());
	check_end(run);
}

/* Closed loop: a request that has ended makes room for another. */
static void replace_request(load_run_t *run, load_outcome_t outcome)
{
	struct timeval pause = { 0, REFUSED_PAUSE_MS * 1000 };

	if (outcome == LOAD_NOT_SENT) {
		run->paused++;
		event_base_once(run->base, -1, EV_TIMEOUT, on_pause_over, run,
				&pause);
	} else {
		arrive(run, now_us());
	}
}

static void finish(load_request_t *request, load_outcome_t outcome)
{
	load_run_t *run = request->run;
	int64_t now = now_us();

	each_group(request, load_stats_add_outcome, outcome);
	if (outcome == LOAD_OK) {
		add_in_time(request, now, load_stats_add_ok, 0);
		each_group(request, load_stats_add_whole,
			   now - request->arrival_us);
	}
	request_free(request);
	if (run->over)
		return;
	if (run->options.rate_per_s <= 0)
		replace_request(run, outcome);
	check_end(run);
}

static void on_data(http_call_t *call, const char *data, size_t len,
		    void *user_data)
{
	load_request_t *request = user_data;
	int64_t events = load_answer_feed(&request->answer, data, len);
	int64_t now;

	if (events == 0)
		return;
	now = now_us();
	add_in_time(request, now, load_stats_add_events, events);
	if (request->last_event_us == 0)
		each_group(request, load_stats_add_first,
			   now - request->arrival_us);
	else
		each_group(request, load_stats_add_between,
			   now - request->last_event_us);
	request->last_event_us = now;
}

static load_outcome_t outcome_of(const load_request_t *request,
				 const http_response_t *answer)
{
	switch (answer->outcome) {
	case HTTP_NOT_SENT:
		return LOAD_NOT_SENT;
	case HTTP_TIMED_OUT:
		return LOAD_TIMED_OUT;
	case HTTP_CONNECTION_LOST:
	case HTTP_TOO_MUCH_MEMORY:
		return LOAD_CUT;
	case HTTP_COMPLETE:
		break;
	}
	if (answer->status == 429 || answer->status == 503)
		return LOAD_REFUSED;
	if (answer->status != 200)
		return LOAD_ERROR;
	if (request->answer.wrong)
		return LOAD_WRONG;
	return load_answer_complete(&request->answer) ? LOAD_OK : LOAD_CUT;
}

static void on_retry(evutil_socket_t fd, short events, void *arg)
{
	load_request_t *request = arg;

	each_group(request, load_stats_add_resent, 0);
	/* The refusal's body must not count as the start of the answer. */
	load_answer_clear(&request->answer);
	load_answer_init(&request->answer, request->prompt, request->max_tokens,
			 request->run->options.expect_run);
	send_request(request);
}

static void resend_later(load_request_t *request, const char *retry_after)
{
	int64_t ms = retry_after ?
			     g_ascii_strtoll(retry_after, NULL, 10) * 1000 :
			     DEFAULT_RETRY_MS;
	struct timeval delay;

	/* Spread, as independent clients would be. */
	ms = (int64_t)((double)ms *
		       g_rand_double_range(request->run->random, 0.5, 1.5));
	delay = (struct timeval){ ms / 1000, ms % 1000 * 1000 };
	request->resends++;
	if (!request->retry)
		request->retry =
			evtimer_new(request->run->base, on_retry, request);
	evtimer_add(request->retry, &delay);
}

static void on_done(const http_response_t *answer, void *user_data)
{
	load_request_t *request = user_data;
	load_run_t *run = request->run;
	load_outcome_t outcome;

	request->call = NULL;
	if (!request->stream && answer->outcome == HTTP_COMPLETE &&
	    answer->status == 200) {
		load_answer_whole(&request->answer, answer->body,
				  answer->body_len);
		add_in_time(request, now_us(), load_stats_add_events,
			    request->answer.received);
	}
	outcome = outcome_of(request, answer);
	if (outcome == LOAD_REFUSED && !run->over &&
	    request->resends < run->options.max_resends) {
		resend_later(request,
			     http_response_header(answer->call, "Retry-After"));
		return;
	}
	finish(request, outcome);
}

static void send_request(load_request_t *request)
{
	load_run_t *run = request->run;
	const load_options_t *o = &run->options;
	char authorization[160];
	const char *headers[] = { "Authorization",
				  authorization,
				  "Content-Type",
				  "application/json",
				  o->keyed ? "Idempotency-Key" : NULL,
				  request->key,
				  NULL };
	const http_request_options_t options = {
		.method = "POST",
		.address = o->addresses[(request->number + request->resends) %
					run->address_count],
		.target = o->path,
		.headers = headers,
		.body = request->body,
		.body_len = strlen(request->body),
		.timeout_ms = (int32_t)o->timeout_ms,
		.on_data = request->stream ? on_data : NULL,
		.on_done = on_done,
		.user_data = request,
	};

	g_snprintf(authorization, sizeof(authorization), "Bearer %s",
		   o->keys[request->key_index]);
	request->call = http_call_start(run->http, &options);
}

static void build_body(load_request_t *request)
{
	load_run_t *run = request->run;
	const load_options_t *o = &run->options;
	const char *prefix =
		run->prefixes->len > 0 ?
			run->prefixes->pdata[g_rand_int_range(
				run->random, 0, (gint32)run->prefixes->len)] :
			"";
	char *content = g_strdup_printf(
		"%sload %" PRIu32 " request %" PRId64 "%s", prefix, o->seed,
		request->number,
		request->is_long && o->long_hidden ? " [long]" : "");

	request->max_tokens = o->max_tokens;
	if (request->is_long && !o->long_hidden)
		request->max_tokens *= o->long_factor;
	request->prompt = g_strdup_printf("user\n%s\n", content);
	request->body = g_strdup_printf(
		"{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%" PRId64
		",\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
		o->model, request->stream ? "true" : "false",
		request->max_tokens, content);
	g_free(content);
}

/* Opens one request that was planned for this time. */
static void arrive(load_run_t *run, int64_t arrival_us)
{
	const load_options_t *o = &run->options;
	load_request_t *request;

	if (run->over || arrival_us >= run->end_us ||
	    (o->requests && run->started >= o->requests))
		return;
	run->started++;
	if ((int64_t)g_hash_table_size(run->open) >= o->max_in_flight) {
		run->not_started++;
		return;
	}
	request = g_new0(load_request_t, 1);
	request->run = run;
	request->number = run->started;
	request->arrival_us = arrival_us;
	request->counted = arrival_us - run->start_us >= o->warmup_ms * 1000;
	request->is_long =
		o->long_share > 0 && g_rand_double(run->random) < o->long_share;
	request->stream = o->stream_share >= 1 ||
			  (o->stream_share > 0 &&
			   g_rand_double(run->random) < o->stream_share);
	if (run->key_count > 1)
		request->key_index = g_rand_int_range(run->random, 0,
						      (gint32)run->key_count);
	g_snprintf(request->key, sizeof(request->key), "load-%u-%" PRId64,
		   o->seed, request->number);
	build_body(request);
	load_answer_init(&request->answer, request->prompt, request->max_tokens,
			 o->expect_run);
	g_hash_table_add(run->open, request);
	each_group(request, load_stats_add_sent, 0);
	send_request(request);
}

static bool arrivals_over(const load_run_t *run)
{
	const load_options_t *o = &run->options;

	return now_us() >= run->end_us ||
	       (o->requests && run->started >= o->requests);
}

static void schedule_arrival(load_run_t *run, int64_t wait_us)
{
	struct timeval delay;

	wait_us = MAX(wait_us, 0);
	delay = (struct timeval){ wait_us / 1000000, wait_us % 1000000 };
	evtimer_add(run->arrival, &delay);
}

/* Bursts come at the end of their period, so that a run starts calm. */
static double rate_at(const load_run_t *run, int64_t at_us)
{
	const load_options_t *o = &run->options;
	int64_t phase_ms = (at_us - run->start_us) / 1000 % o->burst_every_ms;

	if (o->burst_per_s > 0 && phase_ms >= o->burst_every_ms - o->burst_ms)
		return o->burst_per_s;
	return o->rate_per_s;
}

static void open_arrivals(load_run_t *run)
{
	int64_t now = now_us();

	while (run->next_arrival_us <= now && !arrivals_over(run)) {
		arrive(run, run->next_arrival_us);
		/* Exponential gaps make a Poisson process. */
		run->next_arrival_us +=
			(int64_t)(-log(1 - g_rand_double(run->random)) * 1e6 /
				  rate_at(run, run->next_arrival_us));
	}
	if (!arrivals_over(run))
		schedule_arrival(run, run->next_arrival_us - now_us());
}

static void open_workers(load_run_t *run)
{
	for (int i = 0; i < RAMP_PER_MS; i++) {
		if (run->next_arrival_us >= run->options.concurrency)
			return;
		run->next_arrival_us++; /* counts the workers */
		arrive(run, now_us());
	}
	schedule_arrival(run, 1000);
}

static void on_arrival(evutil_socket_t fd, short events, void *arg)
{
	load_run_t *run = arg;

	if (run->options.rate_per_s > 0)
		open_arrivals(run);
	else
		open_workers(run);
	check_end(run);
}

static void end_run(load_run_t *run)
{
	if (run->over)
		return;
	run->over = true;
	run->finished_us = now_us();
	event_base_loopbreak(run->base);
}

static void check_end(load_run_t *run)
{
	if (arrivals_over(run) && g_hash_table_size(run->open) == 0 &&
	    run->paused == 0)
		end_run(run);
}

static void on_drain_over(evutil_socket_t fd, short events, void *arg)
{
	load_run_t *run = arg;
	GList *requests = g_hash_table_get_keys(run->open);

	end_run(run);
	for (const GList *l = requests; l; l = l->next) {
		load_request_t *request = l->data;

		http_call_cancel(request->call);
		finish(request, LOAD_UNFINISHED);
	}
	g_list_free(requests);
}

static void build_prefixes(load_run_t *run)
{
	run->prefixes = g_ptr_array_new_with_free_func(g_free);
	for (int64_t i = 0; i < run->options.prefixes; i++) {
		GString *text = g_string_new(NULL);

		while ((int64_t)text->len < run->options.prefix_bytes)
			g_string_append_printf(text, "prefix %" PRId64 " ", i);
		g_ptr_array_add(run->prefixes, g_string_free(text, FALSE));
	}
}

load_run_t *load_run_new(struct event_base *base, const load_options_t *options)
{
	load_run_t *run = g_new0(load_run_t, 1);

	run->options = *options;
	run->base = base;
	run->http = http_client_new(base);
	run->arrival = evtimer_new(base, on_arrival, run);
	run->drain = evtimer_new(base, on_drain_over, run);
	run->random = g_rand_new_with_seed(options->seed);
	run->open = g_hash_table_new(NULL, NULL);
	run->address_count = g_strv_length(options->addresses);
	run->key_count = g_strv_length(options->keys);
	run->all = g_new0(load_stats_t, 1);
	run->by_length[0] = g_new0(load_stats_t, 1);
	run->by_length[1] = g_new0(load_stats_t, 1);
	run->by_key = g_new0(load_stats_t *, run->key_count);
	for (guint i = 0; i < run->key_count; i++)
		run->by_key[i] = g_new0(load_stats_t, 1);
	build_prefixes(run);
	return run;
}

void load_run_start(load_run_t *run)
{
	const load_options_t *o = &run->options;
	int64_t limit_ms = o->duration_ms + o->drain_ms;
	struct timeval limit = { limit_ms / 1000, limit_ms % 1000 * 1000 };

	run->start_us = now_us();
	run->end_us = run->start_us + o->duration_ms * 1000;
	if (o->rate_per_s > 0)
		run->next_arrival_us = run->start_us;
	evtimer_add(run->drain, &limit);
	schedule_arrival(run, 0);
}

bool load_run_report(const load_run_t *run, FILE *out)
{
	int64_t last_us = MIN(run->finished_us, run->end_us);
	double seconds = (double)(last_us - run->start_us) / 1e6 -
			 (double)run->options.warmup_ms / 1000;

	seconds = MAX(seconds, 0.001);
	fprintf(out,
		"seconds=%.3f\nstarted=%" PRId64 "\nnot_started=%" PRIu64 "\n",
		seconds, run->started - (int64_t)run->not_started,
		run->not_started);
	load_stats_write(run->all, "", seconds, out);
	if (run->options.long_share > 0) {
		load_stats_write(run->by_length[0], "short_", seconds, out);
		load_stats_write(run->by_length[1], "long_", seconds, out);
	}
	for (guint i = 0; run->key_count > 1 && i < run->key_count; i++) {
		char prefix[16];

		g_snprintf(prefix, sizeof(prefix), "key%u_", i);
		load_stats_write(run->by_key[i], prefix, seconds, out);
	}
	return run->all->outcomes[LOAD_WRONG] == 0;
}

void load_run_free(load_run_t *run)
{
	http_client_free(run->http);
	event_free(run->arrival);
	event_free(run->drain);
	g_rand_free(run->random);
	g_ptr_array_free(run->prefixes, TRUE);
	g_hash_table_destroy(run->open);
	for (guint i = 0; i < run->key_count; i++)
		g_free(run->by_key[i]);
	g_free(run->by_key);
	g_free(run->by_length[0]);
	g_free(run->by_length[1]);
	g_free(run->all);
	g_free(run);
}
