#include "entry/entry.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "base/os.h"
#include "entry/api_error.h"
#include "entry/chunks.h"
#include "entry/dispatch.h"
#include "entry/front.h"
#include "entry/reconciler.h"
#include "entry/removal.h"
#include "entry/store_probe.h"
#include "object/object_http.h"

#define VM_LIST_PERIOD_MS 1000
#define DRAIN_CHECK_PERIOD_MS 50
/* Time in which the answers to the requests that are ended reach the kernel; some
 * checks. */
#define LAST_ANSWER_MS 150
#define TICK_PERIOD_MS 1000
/* EX_USAGE of sysexits(3) */
#define EXIT_USAGE 64
#define TIMELINE_LINES 8192
#define TIMELINE_BYTES (1024 * 1024)

typedef struct entry_timers {
	entry_t *entry;
	struct event *tick;
	struct event *drain;
	int64_t drain_deadline_ms;
	bool previously_idle; /* result of the previous check */
	bool closing; /* takes no more connections */
} entry_timers_t;

static void on_vms_changed(const GArray *vms, void *user_data)
{
	entry_t *entry = user_data;

	uint32_t nodes = member_count(entry->members, MEMBER_ALIVE);

	runner_set_update(entry->runners, vms);
	pool_table_update(entry->pools, nodes);
	limiter_set_nodes(entry->limiter, nodes);
	membership_set_vms(entry->membership, vms);
}

static void on_document_applied(document_t *document, uint64_t version,
				void *user_data)
{
	entry_t *entry = user_data;

	document_unref(entry->document);
	entry->document = document_ref(document);
	entry->document_version = version;
}

/* Keeps the current keys when the file is invalid, so that a faulty file does
 * not disconnect the node from its peers. */
static void reload_peer_key(entry_t *entry)
{
	GError *error = NULL;

	if (!entry->peer_key)
		return;
	if (peer_key_reload(entry->peer_key, entry->options.peer_key_file,
			    &error))
		log_info("peer_key_changed", "file=%s",
			 entry->options.peer_key_file);
	if (error)
		log_warn("peer_key_invalid", "error=%s", error->message);
	g_clear_error(&error);
}

static void on_tick(evutil_socket_t fd, short events, void *arg)
{
	entry_timers_t *timers = arg;
	struct timeval period = { TICK_PERIOD_MS / 1000,
				  TICK_PERIOD_MS % 1000 * 1000 };

	claims_step(timers->entry->claims);
	reload_peer_key(timers->entry);
	evtimer_add(timers->tick, &period);
}

static void answer_ended(http_exchange_t *exchange, void *user_data)
{
	api_error_reply(exchange, API_DEADLINE_EXCEEDED, WORK_MAY_HAVE_RUN, 0,
			"the server is stopping");
}

/* Whether no request is arriving, in progress or unsent, and no chunk runs. */
static bool is_idle(const entry_t *entry)
{
	return http_server_is_drained(entry->callers) && entry->detached == 0 &&
	       dispatch_is_idle(entry->dispatch);
}

/* Takes the connections that the kernel has accepted, and no more. They would be
 * reset when the process exits. */
static void close_connections(entry_timers_t *timers)
{
	timers->closing = true;
	http_server_stop_listening(timers->entry->callers);
	http_server_close_idle(timers->entry->callers);
}

static void on_drain_check(evutil_socket_t fd, short events, void *arg)
{
	entry_timers_t *timers = arg;
	entry_t *entry = timers->entry;
	struct timeval period = { 0, DRAIN_CHECK_PERIOD_MS * 1000 };
	int64_t remaining_ms =
		timers->drain_deadline_ms - clock_now_ms(entry->clock);
	bool done;
	bool idle;

	if (remaining_ms <= LAST_ANSWER_MS)
		http_server_end_exchanges(entry->callers, answer_ended);
	idle = is_idle(entry);
	if (idle)
		records_release(entry->records);
	/* A request that the load balancer has sent may come a little later. */
	done = idle && timers->previously_idle &&
	       records_is_released(entry->records);
	timers->previously_idle = idle;
	if ((done && timers->closing) || remaining_ms <= 0) {
		event_base_loopbreak(entry->base);
		return;
	}
	if (done || remaining_ms <= LAST_ANSWER_MS)
		close_connections(timers);
	evtimer_add(timers->drain, &period);
}

static void on_terminate(evutil_socket_t fd, short events, void *arg)
{
	entry_timers_t *timers = arg;
	entry_t *entry = timers->entry;

	if (entry->draining) {
		event_base_loopbreak(entry->base);
		return;
	}
	entry->draining = true;
	timers->drain_deadline_ms =
		clock_now_ms(entry->clock) +
		MAX(entry->options.drain_ms, LAST_ANSWER_MS);
	http_server_announce_close(entry->callers);
	http_server_announce_close(entry->operators);
	membership_drain(entry->membership);
	dispatch_drain(entry->dispatch);
	log_info("draining", "active=%u", http_server_active(entry->callers));
	on_drain_check(-1, 0, timers);
}

static http_server_t *listen_http(entry_t *entry, uint16_t port,
				  http_handler_t handler, GError **error)
{
	http_server_options_t options = {
		.base = entry->base,
		.address = entry->options.address,
		.port = port,
		.max_body_bytes = (uint64_t)entry->options.max_body_bytes,
		.read_timeout_ms = (int32_t)entry->options.read_timeout_ms,
		.max_header_bytes = (uint32_t)entry->options.max_header_bytes,
		.max_connections = (uint32_t)entry->options.max_connections,
		.handler = handler,
		.reject = front_reject,
		.memory = entry->request_memory,
		.counters = entry->counters,
		.user_data = entry,
	};

	return http_server_new(&options, error);
}

static gboolean load_peer_key(entry_t *entry, GError **error)
{
	if (!entry->options.peer_key_file[0])
		return TRUE;
	entry->peer_key = peer_key_load(entry->options.peer_key_file, error);
	if (!entry->peer_key) {
		g_prefix_error(error, "--peer-key-file: ");
		return FALSE;
	}
	peer_key_count_in(entry->peer_key,
			  counter_get(entry->counters, COUNTER_MONOTONIC,
				      "peer_auth_failures_total", NULL));
	return TRUE;
}

static gboolean start_membership(entry_t *entry, GError **error)
{
	membership_options_t options = {
		.base = entry->base,
		.clock = entry->clock,
		.random = entry->random,
		.counters = entry->counters,
		.members = entry->members,
		.environment = entry->options.environment,
		.seeds = entry->options.seeds,
		.peer_key = entry->peer_key,
	};

	entry->membership = membership_new(&options, error);
	return entry->membership != NULL;
}

static uint64_t random_u64(entry_t *entry)
{
	return (uint64_t)g_rand_int(entry->random) << 32 |
	       g_rand_int(entry->random);
}

static void start_ledger(entry_t *entry)
{
	uint64_t process = random_u64(entry);
	records_options_t options = {
		.base = entry->base,
		.clock = entry->clock,
		.store = entry->store,
		.members = entry->members,
		.rpc_client = entry->rpc_client,
		.rpc_server = entry->rpc_server,
		.counters = entry->counters,
		.incarnation = process,
		.shards = (uint32_t)entry->options.shards,
		.writes_per_s = (double)entry->options.ledger_writes_per_s,
	};
	claims_options_t claims = {
		.members = entry->members,
		.clock = entry->clock,
		.counters = entry->counters,
		.process = process,
	};

	entry->records = records_new(&options);
	claims.records = entry->records;
	entry->claims = claims_new(&claims);
}

static void start_config(entry_t *entry)
{
	config_follow_options_t options = {
		.base = entry->base,
		.clock = entry->clock,
		.random = entry->random,
		.counters = entry->counters,
		.store = entry->store,
		.members = entry->members,
		.membership = entry->membership,
		.rpc_client = entry->rpc_client,
		.rpc_server = entry->rpc_server,
		.environment = entry->options.environment,
		.node_id = entry->options.node_id,
		.applied = on_document_applied,
		.user_data = entry,
	};

	entry->config = config_follow_new(&options);
}

static void start_online(entry_t *entry)
{
	const entry_options_t *o = &entry->options;
	/* A new bucket holds three attempts, so that failures are retried
	 * before the bucket has been filled by requests. */
	const retry_budget_options_t budget = {
		.share = 0.1, .initial = 3, .max = 20, .max_keys = 100000
	};
	const pool_options_t pools = {
		.base = entry->base,
		.clock = entry->clock,
		.random = entry->random,
		.http = entry->http,
		.runners = entry->runners,
		.counters = entry->counters,
		.node_id = o->node_id,
		.domain = o->domain,
		.policy = o->route_policy,
		.hedge_share = o->hedge_share,
		.max_queue = (uint32_t)o->max_queue,
		.first_come = strcmp(o->queue_policy, "first-come") == 0,
		.max_wait_ms = o->queue_ms,
	};

	entry->instance = g_strdup_printf("%s-%08x", o->node_id,
					  g_rand_int(entry->random));
	entry->engines =
		engine_client_new(entry->base, entry->http, entry->clock);
	entry->retry_budget = retry_budget_new(&budget);
	entry->limiter = limiter_new(entry->clock);
	entry->pools = pool_table_new(&pools);
}

/*
 * Requests frequently add and remove the same events. The change list drops
 * changes that cancel each other, which saves half of the epoll_ctl() calls.
 */
static struct event_base *new_event_base(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

static gboolean entry_start(entry_t *entry, GError **error)
{
	object_http_options_t store_options = {
		.address = entry->options.platform,
		.timeout_ms = (int32_t)entry->options.platform_timeout_ms,
	};
	char *own_address;

	entry->base = new_event_base();
	entry->clock = clock_system();
	entry->random = g_rand_new();
	entry->counters = counter_set_new();
	if (!load_peer_key(entry, error))
		return FALSE;
	entry->memory = memory_budget_new(
		entry->base, (size_t)entry->options.response_memory_bytes);
	memory_budget_count(entry->memory, entry->counters, NULL);
	entry->request_memory = memory_budget_new(
		entry->base, (size_t)entry->options.request_memory_bytes);
	memory_budget_count(entry->request_memory, entry->counters,
			    "kind=\"requests\"");
	entry->http = http_client_new(entry->base);
	http_client_set_memory(entry->http, entry->memory);
	http_client_count(entry->http, entry->counters);
	entry->rpc_client = rpc_client_new(entry->base, entry->peer_key);
	entry->runners = runner_set_new();
	start_online(entry);
	store_options.client = entry->http;
	entry->store = object_http_new(&store_options);
	entry->rpc_server = rpc_server_new(entry->base, entry->options.address,
					   entry->options.peer_port,
					   entry->peer_key, error);
	if (!entry->rpc_server)
		return FALSE;
	rpc_server_set_limits(entry->rpc_server, 0, entry->request_memory);
	rpc_server_count(entry->rpc_server, entry->counters);
	own_address = g_strdup_printf("%s:%u", entry->options.address,
				      rpc_server_port(entry->rpc_server));
	entry->members = member_table_new(own_address, entry->options.domain);
	g_free(own_address);
	if (!start_membership(entry, error))
		return FALSE;
	start_ledger(entry);
	store_probe_new(entry);
	start_config(entry);
	entry->reconciler =
		reconciler_new(entry, entry->options.weight_loads_per_minute);
	entry->writer = object_writer_new(entry->base, entry->store,
					  entry->clock, entry->instance);
	entry->callers = listen_http(entry, entry->options.port,
				     front_handle_caller, error);
	if (!entry->callers)
		return FALSE;
	entry->operators = listen_http(entry, entry->options.operator_port,
				       front_handle_operator, error);
	return entry->operators != NULL;
}

static void start_vm_follow(entry_t *entry)
{
	vm_follow_options_t options = {
		.base = entry->base,
		.clock = entry->clock,
		.store = entry->store,
		.members = entry->members,
		.rpc_client = entry->rpc_client,
		.rpc_server = entry->rpc_server,
		.counters = entry->counters,
		.random = entry->random,
		.period_ms = VM_LIST_PERIOD_MS,
		.changed = on_vms_changed,
		.user_data = entry,
	};

	entry->vm_follow = vm_follow_new(&options);
}

static void entry_run(entry_t *entry)
{
	entry_timers_t timers = { .entry = entry };

	start_vm_follow(entry);
	timers.tick = evtimer_new(entry->base, on_tick, &timers);
	on_tick(-1, 0, &timers);
	entry->dispatch = dispatch_new(entry);
	entry->chunks = chunks_new(entry);
	entry->removal = removal_new(entry);
	timers.drain = evtimer_new(entry->base, on_drain_check, &timers);
	event_add(evsignal_new(entry->base, SIGTERM, on_terminate, &timers),
		  NULL);
	event_add(evsignal_new(entry->base, SIGINT, on_terminate, &timers),
		  NULL);
	log_info("started", "domain=%s port=%u operator_port=%u peer_port=%u",
		 entry->options.domain, http_server_port(entry->callers),
		 http_server_port(entry->operators),
		 rpc_server_port(entry->rpc_server));
	event_base_dispatch(entry->base);
	membership_leave(entry->membership);
	log_info("stopped", "active=%u", http_server_active(entry->callers));
}

int entry_main(int argc, char **argv)
{
	entry_t entry = { 0 };
	GError *error = NULL;

	if (!entry_options_parse(&entry.options, argc, argv, &error)) {
		fprintf(stderr, "wasabilink entry: %s\n", error->message);
		return EXIT_USAGE;
	}
	os_raise_file_limit();
	os_return_large_blocks();
	log_init(entry.options.node_id, entry.options.log_level);
	entry.timeline = timeline_new(TIMELINE_LINES, TIMELINE_BYTES);
	log_set_sink(timeline_sink, entry.timeline);
	if (!entry_start(&entry, &error)) {
		log_error("start_failed", "message=%s",
			  log_quote(error->message));
		return g_error_matches(error, WL_ERROR, WL_ERROR_INVALID) ?
			       EXIT_USAGE :
			       1;
	}
	entry_run(&entry);
	return 0;
}
