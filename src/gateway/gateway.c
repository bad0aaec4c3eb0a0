#include "gateway/gateway.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"

/* The time between ticks, by which expired requests are noticed late at most.
 * It is random: nodes that tick together would start batch items in the same
 * free slots. */
#define TICK_MIN_MS 30
#define TICK_MAX_MS 50
/* The load balancer removes a node after two failed probes, one second
 * apart. */
#define BALANCER_REMOVAL_MS 2600
/* Time for the requests on the connections that were accepted last. Later
 * requests come on connections that were busy until then; with a wait for a
 * slot of a runner they might not complete before the process is killed. */
#define LAST_REQUEST_MS 300
/* Before the exit, time for most calls that are passed on for other nodes; more
 * for those that may run only once, as a call that is cut may have run. */
#define LAST_RELAYED_MS 1000
#define LAST_RELAYED_ONCE_MS 2500
/* Reserved for the exit of the process itself. */
#define EXIT_RESERVE_MS 400
/* Time in which the answers to the requests that are ended reach the kernel; some
 * ticks. */
#define LAST_ANSWER_MS 150
/* Another node can serve a request that is ended at once. */
#define ENDED_RETRY_MS 50
/* Runners register one after the other, and each watch that returns costs a
 * call to the store, so their changes are batched. A draining runner must be
 * known within two seconds. */
#define RUNNER_WATCH_DELAY_MS 500
/* Size of the result segments kept in memory; others are read from the store
 * again. */
#define SEGMENT_CACHE_BYTES (8 * 1024 * 1024)
/* Between lines about what runners with a limit get. */
#define LIMIT_LOG_INTERVAL_MS 4000
/* Between lines about domains whose runners are out of reach. */
#define CONTACT_LOG_INTERVAL_MS 1000

static void apply_config(gateway_t *gateway, const object_entry_t *entry)
{
	GError *error = NULL;
	path_table_t *paths = gateway->codec->decode_paths(entry->data, &error);

	if (!paths) {
		log_error("config_unreadable",
			  "revision=%" PRIu64 " message=%s", entry->version,
			  log_quote(error->message));
		g_error_free(error);
		(*gateway->config_unreadable_total)++;
		return;
	}
	if (gateway->paths && paths->version <= gateway->paths->version) {
		if (paths->version < gateway->paths->version)
			log_warn("config_older",
				 "version=%" PRIu64 " known=%" PRIu64,
				 paths->version, gateway->paths->version);
		path_table_unref(paths);
		return;
	}
	log_info("config_adopted",
		 "version=%" PRIu64 " revision=%" PRIu64 " routes=%u",
		 paths->version, entry->version, paths->routes->len);
	paths->adopted_us = clock_now_us(gateway->clock);
	path_table_unref(gateway->paths);
	gateway->paths = paths;
	if (gateway->callers)
		http_server_raise_limits(gateway->callers,
					 paths->max_header_bytes,
					 paths->max_body_bytes);
}

static void on_config_changed(const object_entry_t *entry, void *user_data)
{
	gateway_t *gateway = user_data;

	if (strcmp(entry->key, gateway->codec->config_key) == 0)
		apply_config(gateway, entry);
}

static void on_config_removed(const char *key, void *user_data)
{
	log_warn("config_removed", "key=%s", key);
}

static const char *runner_id(const gateway_t *gateway, const char *key)
{
	return key + strlen(gateway->codec->runner_prefix);
}

static void on_runner_changed(const object_entry_t *entry, void *user_data)
{
	gateway_t *gateway = user_data;
	const char *id = runner_id(gateway, entry->key);
	const fleet_runner_t *runner =
		fleet_find(gateway->fleet, fleet_key(id));
	int64_t former_start_ms = runner ? runner->started_ms : -1;

	if (!gateway->codec->decode_runner(id, entry->data, gateway->fleet)) {
		log_warn("runner_entry_unusable", "runner=%s revision=%" PRIu64,
			 id, entry->version);
		return;
	}
	runner = fleet_find(gateway->fleet, fleet_key(id));
	if (!runner)
		return;
	log_info("runner_entry",
		 "runner=%s revision=%" PRIu64 " runners=%u "
		 "software=%s draining=%d",
		 id, entry->version, fleet_size(gateway->fleet),
		 log_quote(runner->version), runner->draining);
	if (runner->started_ms > former_start_ms)
		part_guard_seen(gateway->part_guard, runner->key,
				part_guard_now_us(gateway->part_guard));
}

static void schedule_removal(gateway_t *gateway, const char *id)
{
	int64_t until_us =
		clock_now_us(gateway->clock) + gateway->runner_hold_ms * 1000;

	log_info("runner_gone", "runner=%s hold_ms=%" PRId64, id,
		 gateway->runner_hold_ms);
	fleet_schedule_removal(gateway->fleet, id, until_us);
}

static void on_runner_removed(const char *key, void *user_data)
{
	gateway_t *gateway = user_data;

	schedule_removal(gateway, runner_id(gateway, key));
}

typedef struct missing_check {
	gateway_t *gateway;
	GHashTable *keys;
	GPtrArray *missing; /* ids */
} missing_check_t;

static void collect_missing(fleet_runner_t *runner, void *user_data)
{
	missing_check_t *check = user_data;
	char *key = g_strconcat(check->gateway->codec->runner_prefix,
				runner->id, NULL);

	if (!g_hash_table_contains(check->keys, key) && !runner->remove_at_us)
		g_ptr_array_add(check->missing, g_strdup(runner->id));
	g_free(key);
}

static void on_runners_listed(GHashTable *keys, void *user_data)
{
	missing_check_t check = {
		.gateway = user_data,
		.keys = keys,
		.missing = g_ptr_array_new_with_free_func(g_free),
	};

	fleet_each(check.gateway->fleet, collect_missing, &check);
	for (guint i = 0; i < check.missing->len; i++)
		schedule_removal(check.gateway, check.missing->pdata[i]);
	g_ptr_array_free(check.missing, TRUE);
}

static int64_t stopping_ms(const gateway_t *gateway)
{
	if (!gateway->stopping_since_us)
		return 0;
	return (clock_now_us(gateway->clock) - gateway->stopping_since_us) /
	       1000;
}

/* Time after SIGTERM at which the last requests are ended. */
static int64_t last_answer_ms(const gateway_t *gateway)
{
	return gateway->grace_ms - EXIT_RESERVE_MS - LAST_ANSWER_MS;
}

static bool may_exit(const gateway_t *gateway)
{
	int64_t since_ms = stopping_ms(gateway);

	if (since_ms >= gateway->grace_ms - EXIT_RESERVE_MS)
		return true;
	return since_ms >= BALANCER_REMOVAL_MS + LAST_REQUEST_MS &&
	       relay_active(gateway->relay) == 0 &&
	       http_server_is_drained(gateway->callers) &&
	       job_owner_count(gateway->job_owner) == 0 &&
	       (!gateway->relay_server ||
		runner_relay_server_calls(gateway->relay_server) == 0);
}

bool gateway_is_full(const gateway_t *gateway)
{
	return gateway->max_requests && gateway->callers &&
	       http_server_active(gateway->callers) > gateway->max_requests;
}

bool gateway_is_closing(const gateway_t *gateway)
{
	return stopping_ms(gateway) >= BALANCER_REMOVAL_MS + LAST_REQUEST_MS;
}

bool gateway_is_too_late(const gateway_t *gateway, int32_t needed_ms)
{
	return gateway->stopping_since_us &&
	       stopping_ms(gateway) + needed_ms > last_answer_ms(gateway);
}

static void answer_ended(http_exchange_t *exchange, void *user_data)
{
	http_reply(exchange, 504, NULL, "", 0);
}

/* Answers what the grace period does not suffice for, so that its callers learn
 * at once that it may have run. */
static void end_requests(gateway_t *gateway)
{
	if (stopping_ms(gateway) < last_answer_ms(gateway))
		return;
	relay_end(gateway->relay, ENDED_RETRY_MS);
	http_server_end_exchanges(gateway->callers, answer_ended);
}

/* Until the end of the process, for the answer of the store. */
static void withdraw(gateway_t *gateway)
{
	if (stopping_ms(gateway) >= BALANCER_REMOVAL_MS)
		peer_load_withdraw(gateway->peer_load);
}

/*
 * Until new requests are refused, one on an idle connection is served, and its
 * response announces the close.
 */
static void close_connections(gateway_t *gateway)
{
	if (stopping_ms(gateway) >= BALANCER_REMOVAL_MS)
		http_server_stop_listening(gateway->callers);
	if (gateway_is_closing(gateway))
		http_server_close_idle(gateway->callers);
}

static void schedule_tick(gateway_t *gateway)
{
	const struct timeval pause = {
		0, g_rand_int_range(gateway->random, TICK_MIN_MS * 1000,
				    TICK_MAX_MS * 1000)
	};

	evtimer_add(gateway->tick, &pause);
}

static void log_limits(gateway_t *gateway)
{
	int64_t now_us = clock_now_us(gateway->clock);

	if (now_us - gateway->limits_logged_us < LIMIT_LOG_INTERVAL_MS * 1000)
		return;
	gateway->limits_logged_us = now_us;
	fleet_log_limits(gateway->fleet);
}

/* The views of the other nodes tell whether this node's links are down or the
 * runners. */
static void log_lost_domain(const char *name, void *user_data)
{
	const gateway_t *gateway = user_data;

	log_info("domain_out_of_reach", "domain=%s peers=%u peers_lost=%u",
		 name, peer_load_peers(gateway->peer_load),
		 peer_load_lost(gateway->peer_load, name));
}

static void log_contacts(gateway_t *gateway)
{
	int64_t now_us = clock_now_us(gateway->clock);

	if (now_us - gateway->contacts_logged_us <
	    CONTACT_LOG_INTERVAL_MS * 1000)
		return;
	gateway->contacts_logged_us = now_us;
	fleet_each_lost_domain(gateway->fleet, log_lost_domain, gateway);
}

static bool has_relay(const char *domain, void *user_data)
{
	const gateway_t *gateway = user_data;

	const runner_relay_need_t need = { .domain = domain,
					   .repeatable = true };

	return gateway->executions.relay &&
	       runner_relay_reaches(gateway->executions.relay, &need);
}

static void report_relay(gateway_t *gateway)
{
	const runner_relay_server_t *server = gateway->relay_server;
	peer_load_relay_t relay = { .draining = gateway->stopping_since_us };

	if (!server)
		return;
	relay.calls = runner_relay_server_calls(server);
	relay.repeatable_only = runner_relay_server_is_draining(server);
	if (runner_relay_server_accepts(server))
		relay.port = gateway->relay_port;
	peer_load_set_relay(gateway->peer_load, &relay);
}

/* The nodes that need this one may have no other. */
static void drain_relay(gateway_t *gateway)
{
	runner_relay_server_t *server = gateway->relay_server;
	int64_t left_ms =
		gateway->grace_ms - EXIT_RESERVE_MS - stopping_ms(gateway);

	if (server && left_ms < LAST_RELAYED_ONCE_MS)
		runner_relay_server_drain(server);
	if (server && left_ms < LAST_RELAYED_MS)
		runner_relay_server_stop(server);
}

static void on_tick(evutil_socket_t fd, short events, void *arg)
{
	gateway_t *gateway = arg;

	schedule_tick(gateway);
	fleet_remove_expired(gateway->fleet);
	log_limits(gateway);
	log_contacts(gateway);
	store_relay_tick(gateway->store_relay);
	peer_load_set_store(gateway->peer_load,
			    store_relay_is_direct(gateway->store_relay));
	report_relay(gateway);
	fleet_update_relays(gateway->fleet);
	contact_probe_tick(gateway->contact_probe);
	part_guard_tick(gateway->part_guard);
	link_loss_tick(&gateway->link_loss);
	stream_origins_expire(gateway->origins);
	peer_load_tick(gateway->peer_load);
	execution_check_timeouts(&gateway->executions);
	relay_sweep(gateway->relay);
	if (gateway->stopping_since_us) {
		withdraw(gateway);
		close_connections(gateway);
		drain_relay(gateway);
	}
	job_owner_tick(gateway->job_owner);
	job_table_tick(gateway->job_table);
	job_removal_tick(gateway->job_removal);
	if (gateway->stopping_since_us)
		end_requests(gateway);
	if (gateway->stopping_since_us && may_exit(gateway))
		event_base_loopbreak(gateway->base);
}

static void start_follows(gateway_t *gateway, int32_t wait_ms)
{
	follow_options_t options = {
		.base = gateway->base,
		.clock = gateway->clock,
		.store = gateway->store,
		.prefix = gateway->codec->config_prefix,
		.group = gateway->follows,
		.wait_ms = wait_ms,
		.random = gateway->random,
		.changed = on_config_changed,
		.removed = on_config_removed,
		.user_data = gateway,
	};

	gateway->config = follow_new(&options);
	options.prefix = gateway->codec->runner_prefix;
	options.change_pause_ms = RUNNER_WATCH_DELAY_MS;
	options.changed = on_runner_changed;
	options.removed = on_runner_removed;
	options.listed = on_runners_listed;
	gateway->runners = follow_new(&options);
}

static void init_executions(gateway_t *gateway,
			    const gateway_options_t *options)
{
	gateway->executions.base = gateway->base;
	gateway->executions.clock = gateway->clock;
	gateway->executions.fleet = gateway->fleet;
	gateway->executions.part_guard = gateway->part_guard;
	gateway->link_loss.guard = gateway->part_guard;
	gateway->link_loss.fleet = gateway->fleet;
	gateway->executions.link_loss = &gateway->link_loss;
	gateway->executions.protocol = options->protocol;
	gateway->executions.memory = options->memory;
	memory_budget_count(options->memory, gateway->counters, NULL);
	g_queue_init(&gateway->executions.active);
	gateway->executions.tries_total = counter_get(
		gateway->counters, COUNTER_MONOTONIC, "tries_total", NULL);
	gateway->executions.resumes_total = counter_get(
		gateway->counters, COUNTER_MONOTONIC, "resumes_total", NULL);
}

static void report_demands(void *user_data, const batch_demand_t *demands,
			   guint count)
{
	gateway_t *gateway = user_data;

	peer_load_report_demands(gateway->peer_load, demands, count);
}

static void sum_batch_waiting(void *user_data, uint64_t service,
			      batch_waiting_t *before, batch_waiting_t *after)
{
	gateway_t *gateway = user_data;

	peer_load_batch_waiting(gateway->peer_load, service, before, after);
}

static void list_batch_domains(void *user_data, const char *service,
			       GArray *domains)
{
	gateway_t *gateway = user_data;

	peer_load_domains(gateway->peer_load, service, domains);
}

static const char *choose_job_node(void *user_data, const char *service)
{
	gateway_t *gateway = user_data;
	GArray *domains = g_array_new(FALSE, FALSE, sizeof(batch_domain_t));
	const batch_domain_t *chosen;
	const char *node = NULL;

	list_batch_domains(gateway, service, domains);
	if (domains->len > 0) {
		chosen = &g_array_index(
			domains, batch_domain_t,
			batch_job_domain((const batch_domain_t *)domains->data,
					 domains->len,
					 g_rand_double(gateway->random)));
		if (!chosen->local)
			node = peer_load_node_in(gateway->peer_load,
						 chosen->name);
	}
	g_array_free(domains, TRUE);
	return node;
}

static uint32_t count_peers(void *user_data)
{
	const gateway_t *gateway = user_data;

	return peer_load_peers(gateway->peer_load);
}

static void on_job_forgotten(void *user_data, const char *id)
{
	const gateway_t *gateway = user_data;

	job_reader_forget(gateway->job_reader, id);
}

static bool find_store_peer(void *user_data, char *address, size_t size)
{
	const gateway_t *gateway = user_data;

	return gateway->peer_load &&
	       peer_load_store_peer(gateway->peer_load, address, size);
}

static bool find_node(void *user_data, const char *node, char *address,
		      size_t size)
{
	const gateway_t *gateway = user_data;

	return gateway->peer_load &&
	       peer_load_address(gateway->peer_load, node, address, size);
}

static gboolean start_store(gateway_t *gateway,
			    const gateway_options_t *options, GError **error)
{
	store_relay_options_t relay = {
		.clock = gateway->clock,
		.store = options->store,
		.stale_store = options->stale_store,
		.counters = gateway->counters,
		.probe_key = gateway->codec->config_key,
		.find_peer = find_store_peer,
		.user_data = gateway,
	};

	gateway->rpc_client = rpc_client_new(gateway->base, NULL);
	gateway->rpc_server = rpc_server_new(gateway->base, options->address,
					     options->peer_port, NULL, error);
	if (!gateway->rpc_server)
		return FALSE;
	if (options->max_peers || options->memory) {
		rpc_server_set_limits(gateway->rpc_server, options->max_peers,
				      options->memory);
		rpc_server_count(gateway->rpc_server, gateway->counters);
	}
	relay.client = gateway->rpc_client;
	relay.server = gateway->rpc_server;
	gateway->store_relay = store_relay_new(&relay);
	gateway->store = store_relay_store(gateway->store_relay);
	gateway->stale_store = store_relay_stale_store(gateway->store_relay);
	return TRUE;
}

static void start_jobs(gateway_t *gateway, const gateway_options_t *options)
{
	segment_cache_t *cache = segment_cache_new(SEGMENT_CACHE_BYTES);
	job_reader_options_t reader = {
		.context = &gateway->jobs,
		.cache = cache,
		.client = gateway->rpc_client,
		.server = gateway->rpc_server,
		.find_node = find_node,
		.user_data = gateway,
	};
	job_removal_options_t removal = {
		.context = &gateway->jobs,
		.readable_ms = options->results_readable_ms,
	};

	gateway->jobs = (job_context_t){
		.base = gateway->base,
		.clock = gateway->clock,
		.random = gateway->random,
		.store = gateway->store,
		.stale_store = gateway->stale_store,
		.follows = gateway->follows,
		.executions = &gateway->executions,
		.counters = gateway->counters,
		.max_item_bytes = options->max_item_bytes,
		.node = options->node,
		.writer = g_strdup_printf("%s-%08x", options->node,
					  g_rand_int(gateway->random)),
		.paths = &gateway->paths,
		.report_demands = report_demands,
		.batch_waiting = sum_batch_waiting,
		.batch_domains = list_batch_domains,
		.peers = count_peers,
		.job_node = choose_job_node,
		.job_forgotten = on_job_forgotten,
		.user_data = gateway,
	};
	gateway->job_owner = job_owner_new(&gateway->jobs, cache);
	gateway->job_table = job_table_new(&gateway->jobs, gateway->job_owner);
	reader.table = gateway->job_table;
	reader.owner = gateway->job_owner;
	gateway->job_reader = job_reader_new(&reader);
	removal.table = gateway->job_table;
	gateway->job_removal = job_removal_new(&removal);
}

static void on_load_changed(void *user_data)
{
	gateway_t *gateway = user_data;

	peer_load_changed(gateway->peer_load);
}

static void on_part_news(void *user_data)
{
	gateway_t *gateway = user_data;

	peer_load_part_news(gateway->peer_load);
}

static uint32_t send_origin(uint64_t stream, const char *data, size_t len,
			    void *user_data)
{
	const gateway_t *gateway = user_data;

	return peer_load_send_origin(gateway->peer_load, stream, data, len);
}

static void on_origin_answered(uint64_t stream, uint64_t node, uint64_t version,
			       void *user_data)
{
	gateway_t *gateway = user_data;

	relay_origin_answered(gateway->relay, stream, node, version);
}

static void on_load_received(void *user_data)
{
	gateway_t *gateway = user_data;

	job_owner_preempt(gateway->job_owner);
}

static bool find_relay_peer(void *user_data, const runner_relay_t *relay,
			    const runner_relay_need_t *need, char *address,
			    size_t size)
{
	const gateway_t *gateway = user_data;

	return gateway->peer_load &&
	       peer_load_relay_peer(gateway->peer_load, relay, need, address,
				    size);
}

static bool knows_node(void *user_data, const struct in_addr *address)
{
	const gateway_t *gateway = user_data;

	return peer_load_knows(gateway->peer_load, address);
}

static void on_relay_changed(void *user_data)
{
	report_relay(user_data);
}

static gboolean start_relay(gateway_t *gateway,
			    const gateway_options_t *options, GError **error)
{
	const contact_probe_options_t probe = { gateway->base, gateway->fleet,
						gateway->counters };
	const runner_relay_options_t relay = {
		.base = gateway->base,
		.clock = gateway->clock,
		.counters = gateway->counters,
		.address = options->address,
		.find_peer = find_relay_peer,
		.user_data = gateway,
	};
	const runner_relay_server_options_t server = {
		.base = gateway->base,
		.fleet = gateway->fleet,
		.protocol = options->protocol,
		.counters = gateway->counters,
		.memory = options->memory,
		.max_calls = options->max_relayed_calls,
		.address = options->address,
		.port = options->relay_port,
		.knows_node = knows_node,
		.load_changed = on_relay_changed,
		.user_data = gateway,
	};

	gateway->contact_probe = contact_probe_new(&probe);
	gateway->executions.relay = runner_relay_new(&relay);
	gateway->relay_port = options->relay_port;
	if (!options->relay_port)
		return TRUE;
	gateway->relay_server = runner_relay_server_new(&server, error);
	return gateway->relay_server != NULL;
}

static gboolean start_peer_load(gateway_t *gateway,
				const gateway_options_t *options,
				GError **error)
{
	const peer_load_options_t load = {
		.base = gateway->base,
		.clock = gateway->clock,
		.random = gateway->random,
		.fleet = gateway->fleet,
		.part_guard = gateway->part_guard,
		.store = gateway->store,
		.stale_store = gateway->stale_store,
		.follows = gateway->follows,
		.node = options->node,
		.domain = options->domain,
		.address = options->address,
		.port = options->peer_port,
		.writer = gateway->jobs.writer,
		.load_received = on_load_received,
		.origins = gateway->origins,
		.counters = gateway->counters,
		.user_data = gateway,
	};

	gateway->peer_load = peer_load_new(&load, error);
	return gateway->peer_load != NULL;
}

gateway_t *gateway_new(const gateway_options_t *options, GError **error)
{
	gateway_t *gateway = g_new0(gateway_t, 1);
	fleet_options_t fleet;
	part_guard_options_t guard;
	stream_origins_options_t origins;
	relay_options_t relay;

	gateway->base = options->base;
	gateway->clock = options->clock;
	gateway->max_requests = options->max_requests;
	gateway->counters = counter_set_new();
	gateway->requests_full_total =
		counter_get(gateway->counters, COUNTER_MONOTONIC,
			    "requests_full_total", NULL);
	gateway->random = g_rand_new();
	gateway->config_unreadable_total =
		counter_get(gateway->counters, COUNTER_MONOTONIC,
			    "config_unreadable_total", NULL);
	gateway->follows = follow_group_new();
	gateway->codec = options->codec;
	gateway->grace_ms = options->grace_ms;
	gateway->runner_hold_ms = options->runner_hold_ms;
	fleet = (fleet_options_t){
		.clock = gateway->clock,
		.random = gateway->random,
		.domain = options->domain,
		.load_changed = on_load_changed,
		.has_relay = has_relay,
		.user_data = gateway,
		.probed = true,
	};
	gateway->fleet = fleet_new(&fleet);
	guard = (part_guard_options_t){ gateway->clock, gateway->random,
					gateway->counters, on_part_news,
					gateway };
	gateway->part_guard = part_guard_new(&guard);
	init_executions(gateway, options);
	if (!start_store(gateway, options, error))
		return NULL;
	origins = (stream_origins_options_t){
		.clock = gateway->clock,
		.counters = gateway->counters,
		.send = send_origin,
		.answered = on_origin_answered,
		.user_data = gateway,
	};
	gateway->origins = stream_origins_new(&origins);
	relay = (relay_options_t){
		.executions = &gateway->executions,
		.origins = gateway->origins,
		.paths = &gateway->paths,
		.random = gateway->random,
		.counters = gateway->counters,
	};
	gateway->relay = relay_new(&relay);
	start_jobs(gateway, options);
	if (!start_peer_load(gateway, options, error) ||
	    !start_relay(gateway, options, error))
		return NULL;
	start_follows(gateway, options->watch_wait_ms);
	gateway->tick = evtimer_new(gateway->base, on_tick, gateway);
	schedule_tick(gateway);
	return gateway;
}

bool gateway_is_ready(const gateway_t *gateway)
{
	return gateway->paths && follow_is_synced(gateway->runners) &&
	       peer_load_is_introduced(gateway->peer_load) &&
	       !gateway->stopping_since_us;
}

void gateway_stop(gateway_t *gateway)
{
	if (gateway->stopping_since_us)
		return;
	log_info("stopping", "active=%u grace_ms=%" PRId64,
		 relay_active(gateway->relay), gateway->grace_ms);
	gateway->stopping_since_us = clock_now_us(gateway->clock);
	relay_stop(gateway->relay);
	job_table_stop(gateway->job_table);
	job_removal_stop(gateway->job_removal);
	job_owner_stop(gateway->job_owner);
}

void gateway_describe_config(const gateway_t *gateway, GString *out)
{
	const path_table_t *paths = gateway->paths;
	const char *source = store_relay_source(gateway->store_relay,
						gateway->codec->config_prefix);
	follow_state_t state;

	follow_get_state(gateway->config, &state);
	g_string_append_printf(
		out,
		"config=%" PRIu64 " adopted_ms=%" PRId64 " revision=%" PRIu64
		" heard_ms=%" PRId64 " confirmed_ms=%" PRId64
		" behind=%d waiting_ms=%" PRId64 " source=%s",
		paths ? paths->version : 0,
		paths ? (clock_now_us(gateway->clock) - paths->adopted_us) /
				1000 :
			-1,
		state.revision, state.heard_ms, state.confirmed_ms,
		state.behind, state.waiting_ms, source ? source : "store");
}

/* A metric of each view of the store. */
typedef struct view_metric {
	const char *name;
	const char *type;
	double (*value)(const gateway_t *gateway, const follow_state_t *state);
} view_metric_t;

static double view_age_s(const gateway_t *gateway, const follow_state_t *state)
{
	return (double)state->heard_ms / 1000;
}

static double view_waiting_s(const gateway_t *gateway,
			     const follow_state_t *state)
{
	return (double)MAX(state->waiting_ms, 0) / 1000;
}

static double view_confirmed_s(const gateway_t *gateway,
			       const follow_state_t *state)
{
	return (double)state->confirmed_ms / 1000;
}

static double view_revision(const gateway_t *gateway,
			    const follow_state_t *state)
{
	return (double)state->revision;
}

static double view_is_lost(const gateway_t *gateway,
			   const follow_state_t *state)
{
	return state->lost;
}

static double view_is_relayed(const gateway_t *gateway,
			      const follow_state_t *state)
{
	return store_relay_source(gateway->store_relay, state->prefix) != NULL;
}

static double view_checks(const gateway_t *gateway, const follow_state_t *state)
{
	return (double)state->checks;
}

static double view_missed(const gateway_t *gateway, const follow_state_t *state)
{
	return (double)state->missed;
}

static const view_metric_t view_metrics[] = {
	{ "view_age_seconds", "gauge", view_age_s },
	{ "view_waiting_seconds", "gauge", view_waiting_s },
	{ "view_confirmed_seconds", "gauge", view_confirmed_s },
	{ "view_revision", "gauge", view_revision },
	{ "view_lost", "gauge", view_is_lost },
	{ "view_relayed", "gauge", view_is_relayed },
	{ "view_checks_total", "counter", view_checks },
	{ "view_missed_total", "counter", view_missed },
};

typedef struct view_writer {
	const gateway_t *gateway;
	const view_metric_t *metric;
	GString *out;
} view_writer_t;

static void write_view(const follow_state_t *state, void *user_data)
{
	const view_writer_t *writer = user_data;

	g_string_append_printf(writer->out,
			       "wasabilink_%s{view=\"%s\"} %.15g\n",
			       writer->metric->name, state->prefix,
			       writer->metric->value(writer->gateway, state));
}

static void write_views(const gateway_t *gateway, GString *out)
{
	for (size_t i = 0; i < G_N_ELEMENTS(view_metrics); i++) {
		view_writer_t writer = { gateway, &view_metrics[i], out };

		g_string_append_printf(out, "# TYPE wasabilink_%s %s\n",
				       view_metrics[i].name,
				       view_metrics[i].type);
		follow_group_each(gateway->follows, write_view, &writer);
	}
}

void gateway_write_metrics(const gateway_t *gateway, GString *out)
{
	static const double quantiles[] = { 0.5, 0.9, 0.99, 0.999 };
	const histogram_t *latency = relay_latency(gateway->relay);

	counter_set_write(gateway->counters, out);
	g_string_append_printf(
		out,
		"# TYPE wasabilink_runners gauge\n"
		"wasabilink_runners %u\n"
		"# TYPE wasabilink_requests_active gauge\n"
		"wasabilink_requests_active %u\n"
		"# TYPE wasabilink_batch_jobs_owned gauge\n"
		"wasabilink_batch_jobs_owned %u\n"
		"# TYPE wasabilink_config_version gauge\n"
		"wasabilink_config_version %" PRIu64 "\n"
		"# TYPE wasabilink_log_lines_dropped_total "
		"counter\n"
		"wasabilink_log_lines_dropped_total %" PRIu64 "\n",
		fleet_size(gateway->fleet), relay_active(gateway->relay),
		job_owner_count(gateway->job_owner),
		gateway->paths ? gateway->paths->version : 0, log_dropped());
	write_views(gateway, out);
	g_string_append(out,
			"# TYPE wasabilink_first_answer_seconds summary\n");
	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++)
		g_string_append_printf(
			out,
			"wasabilink_first_answer_seconds{quantile=\"%g\"} %.6f\n",
			quantiles[i],
			(double)histogram_quantile(latency, quantiles[i]) /
				1e6);
	g_string_append_printf(
		out, "wasabilink_first_answer_seconds_count %" PRIu64 "\n",
		latency->total);
}
