#include "emulator/engine_load.h"

#include "base/clock.h"

struct engine_load {
	const generation_pool_t *pool;
	struct event *timer;
	int64_t lag_ms;
	int64_t sampled_ms;
	int64_t tokens; /* total at the sample */
	generation_stats_t stats;
	double tokens_per_s;
};

static void take_sample(engine_load_t *load)
{
	int64_t now = clock_now_ms(clock_system());
	int64_t past_ms = now - load->sampled_ms;

	generation_pool_stats(load->pool, &load->stats);
	if (past_ms > 0)
		load->tokens_per_s =
			(double)(load->stats.tokens - load->tokens) * 1000 /
			(double)past_ms;
	load->tokens = load->stats.tokens;
	load->sampled_ms = now;
}

static void on_sample_due(evutil_socket_t fd, short events, void *arg)
{
	take_sample(arg);
}

engine_load_t *engine_load_new(struct event_base *base,
			       const generation_pool_t *pool, int64_t lag_ms)
{
	engine_load_t *load = g_new0(engine_load_t, 1);
	struct timeval period = { lag_ms / 1000, lag_ms % 1000 * 1000 };

	load->pool = pool;
	load->lag_ms = lag_ms;
	load->sampled_ms = clock_now_ms(clock_system());
	generation_pool_stats(pool, &load->stats);
	load->timer = event_new(base, -1, EV_PERSIST, on_sample_due, load);
	if (lag_ms > 0)
		evtimer_add(load->timer, &period);
	return load;
}

void engine_load_free(engine_load_t *load)
{
	if (!load)
		return;
	event_free(load->timer);
	g_free(load);
}

json_t *engine_load_report(engine_load_t *load)
{
	if (load->lag_ms == 0)
		take_sample(load);
	return json_pack(
		"{s:I, s:I, s:I, s:f, s:I}", "running",
		(json_int_t)load->stats.running, "queued",
		(json_int_t)load->stats.queued, "slots",
		(json_int_t)load->stats.slots, "tokens_per_s",
		load->tokens_per_s, "age_ms",
		(json_int_t)(clock_now_ms(clock_system()) - load->sampled_ms));
}
