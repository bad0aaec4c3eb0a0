#include "tool/load.h"

#include <event2/event.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include "base/error.h"
#include "base/log.h"
#include "base/setting.h"
#include "tool/load_run.h"

#define MAX_URLS 256

/* Every open stream takes a descriptor. */
static void raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static char **addresses_of(const GPtrArray *urls)
{
	static const char scheme[] = "http://";
	char **addresses = g_new0(char *, urls->len + 1);

	for (guint i = 0; i < urls->len; i++) {
		const char *url = urls->pdata[i];

		if (g_str_has_prefix(url, scheme))
			url += strlen(scheme);
		addresses[i] = g_strndup(url, strcspn(url, "/"));
	}
	return addresses;
}

static int run_load(const load_options_t *options)
{
	struct event_config *config = event_config_new();
	struct event_base *base;
	load_run_t *run;
	bool right;

	/* Without it, timers and so arrivals are rounded to milliseconds. */
	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = event_base_new_with_config(config);
	event_config_free(config);
	raise_descriptor_limit();
	run = load_run_new(base, options);
	load_run_start(run);
	event_base_dispatch(base);
	right = load_run_report(run, stdout);
	load_run_free(run);
	event_base_free(base);
	return right ? 0 : 1;
}

int load_main(int argc, char **argv)
{
	load_options_t o = { 0 };
	char *keys = NULL;
	int64_t seed;
	const setting_t settings[] = {
		{ "key", SETTING_STRING, &keys, "none", "KEY,...",
		  "bearer keys, drawn for each request", 0, 0, 0 },
		{ "model", SETTING_STRING, &o.model, "lantern-muse", "NAME",
		  "model that requests name", 0, 0, 0 },
		{ "path", SETTING_STRING, &o.path, "/v1/chat/completions",
		  "PATH", "path that requests go to", 0, 0, 0 },
		{ "rate", SETTING_DOUBLE, &o.rate_per_s, "0", "N",
		  "requests a second (open loop); 0 for a closed loop", 0,
		  1000000, 0 },
		{ "burst-rate", SETTING_DOUBLE, &o.burst_per_s, "0", "N",
		  "requests a second of the open loop during bursts", 0,
		  1000000, 0 },
		{ "burst-ms", SETTING_INT, &o.burst_ms, "0", "MS",
		  "length of a burst, 0 for none", 0, 86400000, 0 },
		{ "burst-every-ms", SETTING_INT, &o.burst_every_ms, "4000",
		  "MS", "from one burst's start to the next", 1, 86400000, 0 },
		{ "concurrency", SETTING_INT, &o.concurrency, "16", "N",
		  "open requests of the closed loop", 1, 1000000, 0 },
		{ "max-in-flight", SETTING_INT, &o.max_in_flight, "20000", "N",
		  "open requests above which the open loop starts none", 1,
		  1000000, 0 },
		{ "duration-ms", SETTING_INT, &o.duration_ms, "5000", "MS",
		  "time in which requests start", 1, 86400000, 0 },
		{ "warmup-ms", SETTING_INT, &o.warmup_ms, "0", "MS",
		  "requests that start before are not counted", 0, 86400000,
		  0 },
		{ "drain-ms", SETTING_INT, &o.drain_ms, "10000", "MS",
		  "wait for open requests at the end", 0, 86400000, 0 },
		{ "requests", SETTING_INT, &o.requests, "0", "N",
		  "highest number of requests, 0 for no bound", 0, INT32_MAX,
		  0 },
		{ "timeout-ms", SETTING_INT, &o.timeout_ms, "60000", "MS",
		  "longest wait for an answer", 1, 3600000, 0 },
		{ "resend", SETTING_INT, &o.max_resends, "0", "N",
		  "resends of a refused request", 0, 1000, 0 },
		{ "tokens", SETTING_INT, &o.max_tokens, "16", "N",
		  "length of a short answer", 1, 1000000, 0 },
		{ "long-share", SETTING_DOUBLE, &o.long_share, "0", "P",
		  "share of long requests", 0, 1, 0 },
		{ "long-factor", SETTING_INT, &o.long_factor, "50", "N",
		  "how many times longer a long answer is", 1, 10000, 0 },
		{ "long-hidden", SETTING_BOOL, &o.long_hidden, "false", "BOOL",
		  "long requests do not say so in max_tokens", 0, 0, 0 },
		{ "prefixes", SETTING_INT, &o.prefixes, "0", "N",
		  "number of shared prompt starts", 0, 100000, 0 },
		{ "prefix-bytes", SETTING_INT, &o.prefix_bytes, "1024", "N",
		  "length of a shared prompt start", 0, 1000000, 0 },
		{ "stream", SETTING_DOUBLE, &o.stream_share, "0", "P",
		  "share of streamed requests", 0, 1, 0 },
		{ "keyed", SETTING_BOOL, &o.keyed, "false", "BOOL",
		  "send an Idempotency-Key", 0, 0, 0 },
		{ "expect-run", SETTING_BOOL, &o.expect_run, "false", "BOOL",
		  "check that each answer is whole and its own request's", 0, 0,
		  0 },
		{ "seed", SETTING_INT, &seed, "1", "N",
		  "seed of arrivals and choices", 0, INT32_MAX, 0 },
		{ 0 },
	};
	const setting_program_t program = {
		.usage = "wasabilink load",
		.doc = "Sends load and prints the outcome as name=value lines.",
		.args_doc = "URL...",
		.min_args = 1,
		.max_args = MAX_URLS,
	};
	GPtrArray *urls = g_ptr_array_new_with_free_func(g_free);
	GError *error = NULL;
	int status;

	if (!setting_parse(&program, settings, argc, argv, urls, &error)) {
		fprintf(stderr, "wasabilink load: %s\n", error->message);
		g_error_free(error);
		return 64;
	}
	log_init("load", LOG_LEVEL_INFO);
	o.seed = (uint32_t)seed;
	o.addresses = addresses_of(urls);
	o.keys = g_strsplit(keys, ",", -1);
	status = run_load(&o);
	g_strfreev(o.addresses);
	g_strfreev(o.keys);
	g_ptr_array_free(urls, TRUE);
	return status;
}
