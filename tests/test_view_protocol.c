#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/error.h"
#include "base/log.h"
#include "gateway/gateway.h"
#include "model_run.h"
#include "model_store.h"

/*
 * Checks the views of the store with random histories: whole gateways run in one
 * process on a clock of their own, over a store that falls silent, refuses calls
 * or leaves watches unanswered for some of them. They freeze, crash, and are cut
 * off from each other, one way or both; datagrams are lost, late and doubled.
 * The operator changes the configuration, and runners come, change and go. Each
 * history follows from its seed alone. Arguments: model_run.h.
 */
#define STEP_MS 20
#define NODES_MIN 1
#define NODES_MAX 7
#define RUNNERS_MAX 4
#define EVENTS_MAX MODEL_EVENTS_MAX
#define START_MS 4000
#define LENGTH_MIN_MS 8000
#define LENGTH_MAX_MS 30000
#define FIXED_HISTORIES 60
/* A node that has run and reached the store for so long is held to the bound. */
#define CONTACT_MS 3000
/* By then it has an acknowledged change. */
#define BOUND_MS 1000
/* Of one node for itself. */
#define CALLS_MAX 16
/* For each other one: four views, whose calls last 5 s and are made anew each half
 * second at most. */
#define SERVED_CALLS_MAX 44
#define WATCH_WAIT_MS 25000
#define PEER_PORT 7000
#define ARGS_MAX_BYTES 65536
#define PROCEDURES_MAX 8
#define CONFIG_PREFIX "config/"
#define CONFIG_KEY CONFIG_PREFIX "main"
#define RUNNER_PREFIX "servers/"

typedef enum event_kind {
	EVENT_CONFIG,
	EVENT_RUNNER,
	EVENT_SILENT, /* the store, for some nodes */
	EVENT_SILENT_ALL,
	EVENT_WEATHER,
	EVENT_LOST_WATCHES, /* those that wait are never answered */
	EVENT_LOST_WATCHES_ALL,
	EVENT_FREEZE,
	EVENT_CRASH,
	EVENT_CUT, /* from other nodes */
	EVENT_DATAGRAMS_LOST,
	EVENT_DROP_HISTORY,
	EVENT_KINDS
} event_kind_t;

typedef struct event_type {
	const char *name;
	int weight;
} event_type_t;

static const event_type_t event_types[EVENT_KINDS] = {
	[EVENT_CONFIG] = { "config", 22 },
	[EVENT_RUNNER] = { "runner", 22 },
	[EVENT_SILENT] = { "silent", 14 },
	[EVENT_SILENT_ALL] = { "silent_all", 4 },
	[EVENT_WEATHER] = { "weather", 8 },
	[EVENT_LOST_WATCHES] = { "lost_watches", 7 },
	[EVENT_LOST_WATCHES_ALL] = { "lost_watches_all", 3 },
	[EVENT_FREEZE] = { "freeze", 6 },
	[EVENT_CRASH] = { "crash", 4 },
	[EVENT_CUT] = { "cut", 6 },
	[EVENT_DATAGRAMS_LOST] = { "datagrams_lost", 3 },
	[EVENT_DROP_HISTORY] = { "drop_history", 1 },
};

typedef struct model_event {
	event_kind_t kind;
	int64_t at_ms;
	int node;
	int argument;
	int32_t length_ms;
	bool skipped; /* left out to shorten the history */
} model_event_t;

typedef struct world world_t;
typedef struct process process_t;

typedef struct datagram {
	process_t *from;
	int to; /* node */
	int64_t due_us;
	size_t len;
	char data[];
} datagram_t;

typedef struct model_node {
	char name[8];
	char address[16];
	model_weather_t weather;
	int64_t weather_until_us;
	int64_t disturbed_us; /* last time without the store */
	uint32_t cut_from; /* bit set of nodes that it does not send to */
	int64_t cut_until_us;
	int64_t start_at_us; /* of the next process; 0: none */
	process_t *process; /* NULL: not running */
} model_node_t;

struct process {
	world_t *world;
	int node;
	clock_manual_t clock;
	struct event_base *base;
	model_client_t *client;
	model_client_t *stale_client;
	rpc_procedure_t procedures[PROCEDURES_MAX];
	int procedures_count;
	int receive_fd; /* a pipe that is readable while the inbox is not empty */
	int notify_fd;
	GQueue inbox; /* datagram_t */
	gateway_t *gateway;
	int64_t frozen_until_us;
	uint64_t version; /* of the configuration, as last seen */
	uint64_t runner_states[RUNNERS_MAX]; /* the same */
	bool dead;
};

/* A call from one process to another. */
struct rpc_call {
	process_t *from;
	process_t *to; /* NULL: does not answer */
	rpc_procedure_t procedure; /* at the receiver */
	uint32_t number;
	char *args;
	size_t args_len;
	char *result; /* NULL: not replied, or unavailable */
	size_t result_len;
	xdrproc_t decode;
	size_t result_size;
	rpc_done_t done;
	void *user_data;
	int64_t due_us;
	int64_t timeout_us;
	bool handled;
	bool replied;
	bool ended;
};

/* A change of an object by the operator or a runner. The states of an object are
 * numbered. */
typedef struct change {
	int64_t acknowledged_us;
	uint64_t state;
	bool present;
} change_t;

struct world {
	uint64_t seed;
	GRand *random;
	int64_t now_us;
	model_store_t *store;
	model_weather_t calm;
	model_client_t *operator;
	model_node_t nodes[NODES_MAX];
	int nodes_count;
	process_t *starting; /* the process that is being created */
	GPtrArray *processes;
	GPtrArray *datagrams;
	GPtrArray *calls; /* rpc_call_t */
	GArray *configs; /* change_t */
	GArray *runners[RUNNERS_MAX]; /* the same */
	int64_t datagrams_lost_until_us;
	int32_t length_ms;
	model_event_t events[EVENTS_MAX];
	int events_count;
	uint64_t steps;
	model_trace_t trace;
};

static int draw(world_t *world, int from, int to)
{
	return g_rand_int_range(world->random, from, to + 1);
}

static bool chance(world_t *world, int percent)
{
	return draw(world, 0, 99) < percent;
}

static bool runs(const process_t *process)
{
	return !process->dead &&
	       process->world->now_us >= process->frozen_until_us;
}

/* What follows happens in the process. */
static void enter(process_t *process)
{
	model_run_set_clock(&process->clock);
	if (process->world->trace.on)
		log_init(process->world->nodes[process->node].name,
			 LOG_LEVEL_INFO);
}

static bool is_cut(const world_t *world, int from, int to)
{
	const model_node_t *node = &world->nodes[from];

	return world->now_us < node->cut_until_us && node->cut_from >> to & 1;
}

/* Of an address IP or IP:port; -1: none. */
static int node_of(const world_t *world, const char *address)
{
	size_t len = strcspn(address, ":");

	for (int i = 0; i < world->nodes_count; i++)
		if (strlen(world->nodes[i].address) == len &&
		    strncmp(world->nodes[i].address, address, len) == 0)
			return i;
	return -1;
}

/* Calls of the gateways that leave the process; the linker puts these in the
 * place of the real ones. */

static world_t *current_world;

GRand *__wrap_g_rand_new(void);
int __wrap_socket(int domain, int type, int protocol);
int __wrap_bind(int fd, const struct sockaddr *address, socklen_t len);
ssize_t __wrap_sendto(int fd, const void *data, size_t len, int flags,
		      const struct sockaddr *to, socklen_t to_len);
ssize_t __wrap_recvfrom(int fd, void *data, size_t size, int flags,
			struct sockaddr *from, socklen_t *from_len);
/* What a build with checks of buffer sizes calls in its place. */
ssize_t __wrap___recvfrom_chk(int fd, void *data, size_t size,
			      size_t buffer_size, int flags,
			      struct sockaddr *from, socklen_t *from_len);
rpc_client_t *__wrap_rpc_client_new(struct event_base *base, peer_key_t *key);
rpc_server_t *__wrap_rpc_server_new(struct event_base *base,
				    const char *address, uint16_t port,
				    peer_key_t *key, GError **error);
void __wrap_rpc_server_register(rpc_server_t *server,
				const rpc_procedure_t *procedure);
void __wrap_rpc_client_call(rpc_client_t *client,
			    const rpc_call_options_t *options);
void __wrap_rpc_reply(rpc_call_t *call, const void *result);
void __wrap_rpc_reply_unavailable(rpc_call_t *call);

GRand *__wrap_g_rand_new(void)
{
	return g_rand_new_with_seed(g_rand_int(current_world->random));
}

int __wrap_socket(int domain, int type, int protocol)
{
	process_t *process = current_world->starting;
	int fds[2];

	if (pipe2(fds, O_NONBLOCK | O_CLOEXEC) != 0)
		return -1;
	process->receive_fd = fds[0];
	process->notify_fd = fds[1];
	return fds[0];
}

int __wrap_bind(int fd, const struct sockaddr *address, socklen_t len)
{
	return 0;
}

static process_t *process_with(int fd)
{
	for (int i = 0; i < current_world->nodes_count; i++) {
		process_t *process = current_world->nodes[i].process;

		if (process && process->receive_fd == fd)
			return process;
	}
	return NULL;
}

static void send_datagram(process_t *from, int to, const void *data, size_t len)
{
	world_t *world = from->world;
	datagram_t *datagram = g_malloc(sizeof(*datagram) + len);

	datagram->from = from;
	datagram->to = to;
	datagram->len = len;
	datagram->due_us =
		world->now_us +
		(chance(world, 3) ? draw(world, 20, 300) : draw(world, 1, 10)) *
			1000;
	memcpy(datagram->data, data, len);
	g_ptr_array_add(world->datagrams, datagram);
}

ssize_t __wrap_sendto(int fd, const void *data, size_t len, int flags,
		      const struct sockaddr *to, socklen_t to_len)
{
	world_t *world = current_world;
	process_t *from = process_with(fd);
	char address[INET_ADDRSTRLEN];
	int node;

	if (!from ||
	    !inet_ntop(AF_INET, &((const struct sockaddr_in *)to)->sin_addr,
		       address, sizeof(address)))
		return -1;
	node = node_of(world, address);
	if (node < 0 || is_cut(world, from->node, node) || chance(world, 1) ||
	    (world->now_us < world->datagrams_lost_until_us &&
	     chance(world, 70)))
		return (ssize_t)len;
	send_datagram(from, node, data, len);
	if (chance(world, 1))
		send_datagram(from, node, data, len);
	return (ssize_t)len;
}

ssize_t __wrap_recvfrom(int fd, void *data, size_t size, int flags,
			struct sockaddr *from, socklen_t *from_len)
{
	process_t *process = process_with(fd);
	datagram_t *datagram =
		process ? g_queue_pop_head(&process->inbox) : NULL;
	struct sockaddr_in *address = (struct sockaddr_in *)from;
	char byte;
	ssize_t len;

	if (!datagram) {
		errno = EAGAIN;
		return -1;
	}
	if (read(fd, &byte, 1) != 1)
		return -1;
	len = (ssize_t)MIN(size, datagram->len);
	memcpy(data, datagram->data, (size_t)len);
	address->sin_family = AF_INET;
	address->sin_port = htons(PEER_PORT);
	inet_pton(AF_INET, process->world->nodes[datagram->from->node].address,
		  &address->sin_addr);
	g_free(datagram);
	return len;
}

ssize_t __wrap___recvfrom_chk(int fd, void *data, size_t size,
			      size_t buffer_size, int flags,
			      struct sockaddr *from, socklen_t *from_len)
{
	return __wrap_recvfrom(fd, data, MIN(size, buffer_size), flags, from,
			       from_len);
}

rpc_client_t *__wrap_rpc_client_new(struct event_base *base, peer_key_t *key)
{
	return (rpc_client_t *)current_world->starting;
}

rpc_server_t *__wrap_rpc_server_new(struct event_base *base,
				    const char *address, uint16_t port,
				    peer_key_t *key, GError **error)
{
	return (rpc_server_t *)current_world->starting;
}

void __wrap_rpc_server_register(rpc_server_t *server,
				const rpc_procedure_t *procedure)
{
	process_t *process = (process_t *)server;

	process->procedures[process->procedures_count++] = *procedure;
}

static char *encode(xdrproc_t encoder, const void *value, size_t *len)
{
	char *data = g_malloc(ARGS_MAX_BYTES);
	XDR xdrs;

	xdrmem_create(&xdrs, data, ARGS_MAX_BYTES, XDR_ENCODE);
	*len = encoder(&xdrs, (void *)value) ? xdr_getpos(&xdrs) : 0;
	xdr_destroy(&xdrs);
	return data;
}

void __wrap_rpc_client_call(rpc_client_t *client,
			    const rpc_call_options_t *options)
{
	process_t *from = (process_t *)client;
	world_t *world = from->world;
	rpc_call_t *call = g_new0(rpc_call_t, 1);
	int node = node_of(world, options->address);

	call->from = from;
	if (node >= 0 && !is_cut(world, from->node, node) &&
	    !is_cut(world, node, from->node))
		call->to = world->nodes[node].process;
	call->number = options->procedure;
	call->args = encode(options->encode, options->args, &call->args_len);
	call->decode = options->decode;
	call->result_size = options->result_size;
	call->done = options->done;
	call->user_data = options->user_data;
	call->due_us = world->now_us + draw(world, 1, 20) * 1000;
	call->timeout_us = world->now_us + options->timeout_ms * 1000LL;
	g_ptr_array_add(world->calls, call);
}

static void reply(rpc_call_t *call)
{
	call->replied = true;
	call->due_us = call->from->world->now_us +
		       draw(call->from->world, 1, 20) * 1000;
}

void __wrap_rpc_reply(rpc_call_t *call, const void *result)
{
	call->result =
		encode(call->procedure.encode, result, &call->result_len);
	reply(call);
}

void __wrap_rpc_reply_unavailable(rpc_call_t *call)
{
	reply(call);
}

static void handle_call(rpc_call_t *call)
{
	process_t *to = call->to;
	void *args;
	XDR xdrs;

	call->handled = true;
	for (int i = 0; i < to->procedures_count; i++)
		if (to->procedures[i].procedure == call->number)
			call->procedure = to->procedures[i];
	if (!call->procedure.handler) {
		reply(call);
		return;
	}
	enter(to);
	args = g_malloc0(call->procedure.args_size);
	xdrmem_create(&xdrs, call->args, (u_int)call->args_len, XDR_DECODE);
	if (call->procedure.decode(&xdrs, args))
		call->procedure.handler(call, args, call->procedure.user_data);
	else
		reply(call);
	xdr_destroy(&xdrs);
	xdr_free(call->procedure.decode, args);
	g_free(args);
}

static void end_call(rpc_call_t *call, error_code_t code)
{
	GError *error = NULL;
	void *result = g_malloc0(call->result_size);
	bool decoded = false;
	XDR xdrs;

	call->ended = true;
	enter(call->from);
	if (code == WL_ERROR_COUNT) {
		xdrmem_create(&xdrs, call->result, (u_int)call->result_len,
			      XDR_DECODE);
		decoded = call->decode(&xdrs, result);
		xdr_destroy(&xdrs);
		code = WL_ERROR_PROTOCOL;
	}
	if (!decoded)
		error = g_error_new_literal(WL_ERROR, (int)code, "model");
	call->done(decoded ? result : NULL, error, call->user_data);
	g_clear_error(&error);
	xdr_free(call->decode, result);
	g_free(result);
}

static void step_call(rpc_call_t *call)
{
	world_t *world = call->from->world;

	if (call->to && call->to->dead && !call->replied && !call->ended) {
		/* The connection breaks. */
		call->to = NULL;
		call->timeout_us = MIN(call->timeout_us, world->now_us);
	}
	if (call->to && !call->handled && world->now_us >= call->due_us &&
	    runs(call->to))
		handle_call(call);
	if (call->ended || call->from->dead || !runs(call->from))
		return;
	if (call->replied && world->now_us >= call->due_us)
		end_call(call,
			 call->result ? WL_ERROR_COUNT : WL_ERROR_UNAVAILABLE);
	else if (world->now_us >= call->timeout_us)
		end_call(call, call->to || call->handled ? WL_ERROR_TIMEOUT :
							   WL_ERROR_TRUNCATED);
}

/* Objects that are not the gateways' own */

static path_table_t *decode_paths(const char *text, GError **error)
{
	path_table_t *paths;

	if (!g_ascii_isdigit(*text)) {
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID, "no number");
		return NULL;
	}
	paths = path_table_new(g_ascii_strtoull(text, NULL, 10));
	path_table_add(paths, "h", "/");
	return paths;
}

static bool decode_runner(const char *id, const char *text, fleet_t *fleet)
{
	const fleet_entry_t entry = {
		.id = id,
		.address = "10.9.0.1:1",
		.service = "s",
		.domain = "d",
		.slots = 8,
		.started_ms = 1,
		.version = text,
	};

	if (!g_ascii_isdigit(*text))
		return false;
	fleet_update(fleet, &entry);
	return true;
}

static void on_put(const object_value_t *value, const GError *error,
		   void *user_data)
{
}

static void write_object(world_t *world, const char *key, const char *text)
{
	const model_object_t *object = model_store_find(world->store, key);
	object_store_t *store = model_client_object(world->operator);

	if (text)
		object_put(store, key, text, strlen(text),
			   object ? object->version : OBJECT_ABSENT, "op",
			   on_put, NULL);
	else if (object)
		object_remove(store, key, object->version, on_put, NULL);
}

static GArray *changes_of(world_t *world, const char *key)
{
	if (strcmp(key, CONFIG_KEY) == 0)
		return world->configs;
	if (g_str_has_prefix(key, RUNNER_PREFIX))
		return world->runners[key[strlen(RUNNER_PREFIX) + 1] - '0'];
	return NULL;
}

static void on_written(void *user_data, const model_object_t *object,
		       const model_object_t *former)
{
	world_t *world = user_data;
	GArray *changes = changes_of(world, object->key);
	change_t change = { world->now_us, 1, !object->removed };

	if (!changes)
		return;
	if (changes->len > 0)
		change.state =
			g_array_index(changes, change_t, changes->len - 1)
				.state +
			1;
	if (!object->removed)
		change.state = g_ascii_strtoull(object->data, NULL, 10);
	model_note(&world->trace, "store: %s state %d %s revision %d",
		   object->key, (int)change.state,
		   change.present ? "present" : "removed",
		   (int)object->version);
	g_array_append_val(changes, change);
}

/* The state after the last one; that of an object which is being written when
 * this is drawn may be the same, and is then not written again. */
static uint64_t next_state(const GArray *changes)
{
	return changes->len == 0 ?
		       1 :
		       g_array_index(changes, change_t, changes->len - 1)
				       .state +
			       1;
}

static void change_object(world_t *world, const char *key, bool remove)
{
	char *text =
		g_strdup_printf("%" G_GUINT64_FORMAT,
				(guint64)next_state(changes_of(world, key)));

	write_object(world, key, remove ? NULL : text);
	g_free(text);
}

static void change_runner(world_t *world, int argument)
{
	char *key =
		g_strdup_printf(RUNNER_PREFIX "r%d", argument % RUNNERS_MAX);

	change_object(world, key, argument / RUNNERS_MAX % 3 == 0);
	g_free(key);
}

/* Processes */

static const gateway_codec_t codec = {
	.config_prefix = CONFIG_PREFIX,
	.config_key = CONFIG_KEY,
	.runner_prefix = RUNNER_PREFIX,
	.decode_paths = decode_paths,
	.decode_runner = decode_runner,
};

static void start_process(world_t *world, int node)
{
	static const runner_protocol_t protocol = { 0 };
	model_node_t *at = &world->nodes[node];
	process_t *process = g_new0(process_t, 1);
	gateway_options_t options = {
		.clock = &process->clock.base,
		.node = at->name,
		.domain = "d",
		.address = at->address,
		.peer_port = PEER_PORT,
		.grace_ms = 8000,
		.runner_hold_ms = 2000,
		.watch_wait_ms = WATCH_WAIT_MS,
		.codec = &codec,
		.protocol = &protocol,
	};

	process->world = world;
	process->node = node;
	g_queue_init(&process->inbox);
	clock_manual_init(&process->clock, world->now_us / 1000);
	process->clock.monotonic_us = world->now_us;
	process->client = model_client_new(world->store, &at->weather, false);
	process->stale_client =
		model_client_new(world->store, &at->weather, true);
	options.store = model_client_object(process->client);
	options.stale_store = model_client_object(process->stale_client);
	enter(process);
	process->base = event_base_new();
	options.base = process->base;
	world->starting = process;
	process->gateway = gateway_new(&options, NULL);
	world->starting = NULL;
	at->process = process;
	at->disturbed_us = world->now_us;
	g_ptr_array_add(world->processes, process);
	model_note(&world->trace, "process of %s starts", at->name);
}

static void kill_process(process_t *process)
{
	world_t *world = process->world;
	model_node_t *node = &world->nodes[process->node];

	process->dead = true;
	node->process = NULL;
	node->start_at_us = world->now_us + draw(world, 100, 3000) * 1000;
	model_client_close(process->client);
	model_client_close(process->stale_client);
	close(process->receive_fd);
	close(process->notify_fd);
}

static void step_process(process_t *process)
{
	process->clock.monotonic_us += STEP_MS * 1000;
	process->clock.wall_ms += STEP_MS;
	if (!runs(process))
		return;
	enter(process);
	model_client_deliver(process->stale_client);
	model_client_deliver(process->client);
	event_base_loop(process->base, EVLOOP_NONBLOCK);
}

static void step_datagrams(world_t *world)
{
	for (guint i = world->datagrams->len; i-- > 0;) {
		datagram_t *datagram = world->datagrams->pdata[i];
		process_t *to = world->nodes[datagram->to].process;

		if (world->now_us < datagram->due_us)
			continue;
		g_ptr_array_remove_index_fast(world->datagrams, i);
		if (to && write(to->notify_fd, "", 1) == 1)
			g_queue_push_tail(&to->inbox, datagram);
		else
			g_free(datagram);
	}
}

/* What must hold */

/* The state of a runner as the process knows it; 0: it knows none. */
static uint64_t runner_state(const process_t *process, int runner)
{
	char *id = g_strdup_printf("r%d", runner);
	const fleet_runner_t *found =
		fleet_find(process->gateway->fleet, fleet_key(id));

	g_free(id);
	return found && !found->remove_at_us ?
		       g_ascii_strtoull(found->version, NULL, 10) :
		       0;
}

/* The last change that was acknowledged at the time or before. */
static const change_t *change_at(const GArray *changes, int64_t time_us)
{
	for (guint i = changes->len; i-- > 0;) {
		const change_t *change = &g_array_index(changes, change_t, i);

		if (change->acknowledged_us <= time_us)
			return change;
	}
	return NULL;
}

static bool is_removed_since(const GArray *changes, uint64_t state)
{
	for (guint i = 0; i < changes->len; i++) {
		const change_t *change = &g_array_index(changes, change_t, i);

		if (!change->present && change->state >= state)
			return true;
	}
	return false;
}

static void check_bound(process_t *process)
{
	world_t *world = process->world;
	int64_t by_us = world->now_us - (BOUND_MS + STEP_MS) * 1000LL;
	const model_node_t *node = &world->nodes[process->node];
	const change_t *expected = change_at(world->configs, by_us);

	if (world->now_us - node->disturbed_us < CONTACT_MS * 1000LL)
		return;
	if (expected && process->version < expected->state)
		model_violate(
			&world->trace, "%s has version %d, not %d, after %d ms",
			node->name, (int)process->version, (int)expected->state,
			(int)(world->now_us - expected->acknowledged_us) /
				1000);
	for (int i = 0; i < RUNNERS_MAX; i++) {
		uint64_t state = process->runner_states[i];

		expected = change_at(world->runners[i], by_us);
		if (!expected || state >= expected->state ||
		    (state == 0 &&
		     is_removed_since(world->runners[i], expected->state)))
			continue;
		model_violate(&world->trace,
			      "%s has r%d in state %d, not %d, after %d ms",
			      node->name, i, (int)state, (int)expected->state,
			      (int)(world->now_us - expected->acknowledged_us) /
				      1000);
	}
}

/* Nothing older replaces something newer. */
static void check_order(process_t *process)
{
	world_t *world = process->world;
	const char *name = world->nodes[process->node].name;
	const path_table_t *paths = process->gateway->paths;
	uint64_t version = paths ? paths->version : 0;

	if (version < process->version)
		model_violate(&world->trace, "%s goes back to version %d", name,
			      (int)version);
	process->version = version;
	for (int i = 0; i < RUNNERS_MAX; i++) {
		uint64_t state = runner_state(process, i);

		if (state && state < process->runner_states[i])
			model_violate(&world->trace,
				      "%s goes back to state %d of r%d", name,
				      (int)state, i);
		if (state || is_removed_since(world->runners[i],
					      process->runner_states[i]))
			process->runner_states[i] = state;
		else if (process->runner_states[i])
			model_violate(&world->trace,
				      "%s has lost r%d, which exists", name, i);
	}
}

static void check_process(process_t *process)
{
	world_t *world = process->world;
	uint32_t calls = model_client_calls(process->client) +
			 model_client_calls(process->stale_client);

	if (!runs(process))
		return;
	check_order(process);
	check_bound(process);
	if (calls >
	    CALLS_MAX + SERVED_CALLS_MAX * ((uint32_t)world->nodes_count - 1))
		model_violate(&world->trace, "%s has %u calls in progress",
			      world->nodes[process->node].name, calls);
}

/* Events */

static void silence(world_t *world, int node, int32_t length_ms)
{
	model_node_t *at = &world->nodes[node];

	at->weather = world->calm;
	at->weather.silent = true;
	at->weather_until_us = world->now_us + length_ms * 1000LL;
	if (!at->process)
		return;
	model_client_silence(at->process->client, false);
	model_client_silence(at->process->stale_client, false);
}

static void lose_watches(world_t *world, int node)
{
	process_t *process = world->nodes[node].process;

	if (process)
		model_client_silence(process->client, true);
}

static void spoil_weather(world_t *world, const model_event_t *event)
{
	model_node_t *node = &world->nodes[event->node];
	const model_weather_t weathers[] = {
		{ .refused = 100, .delay_ms = 10 },
		{ .lost_answer = 40, .delay_ms = 40 },
		{ .delay_ms = 600 },
		{ .watch_silent = 100, .delay_ms = 10 },
		{ .watch_cut = 60, .delay_ms = 10 },
	};

	node->weather = weathers[event->argument % G_N_ELEMENTS(weathers)];
	node->weather.stale_ms = 500;
	node->weather_until_us = world->now_us + event->length_ms * 1000LL;
}

static void cut(world_t *world, const model_event_t *event)
{
	model_node_t *node = &world->nodes[event->node];

	node->cut_from = (uint32_t)event->argument | 1U << event->node;
	node->cut_until_us = world->now_us + event->length_ms * 1000LL;
	if (event->argument % 2 == 0)
		return;
	for (int i = 0; i < world->nodes_count; i++) {
		if (!(node->cut_from >> i & 1))
			continue;
		world->nodes[i].cut_from = 1U << event->node;
		world->nodes[i].cut_until_us = node->cut_until_us;
	}
}

static void apply(world_t *world, const model_event_t *event)
{
	model_node_t *node = &world->nodes[event->node];

	model_note(&world->trace, "event %s node=%s",
		   event_types[event->kind].name, node->name);
	switch (event->kind) {
	case EVENT_CONFIG:
		change_object(world, CONFIG_KEY, false);
		return;
	case EVENT_RUNNER:
		change_runner(world, event->argument);
		return;
	case EVENT_SILENT:
		for (int i = 0; i < world->nodes_count; i++)
			if (i == event->node || event->argument >> i & 1)
				silence(world, i, event->length_ms);
		return;
	case EVENT_SILENT_ALL:
		for (int i = 0; i < world->nodes_count; i++)
			silence(world, i, event->length_ms);
		return;
	case EVENT_WEATHER:
		spoil_weather(world, event);
		return;
	case EVENT_LOST_WATCHES:
		lose_watches(world, event->node);
		return;
	case EVENT_LOST_WATCHES_ALL:
		for (int i = 0; i < world->nodes_count; i++)
			lose_watches(world, i);
		return;
	case EVENT_FREEZE:
		if (node->process)
			node->process->frozen_until_us =
				world->now_us + event->length_ms * 1000LL;
		return;
	case EVENT_CRASH:
		if (node->process)
			kill_process(node->process);
		return;
	case EVENT_CUT:
		cut(world, event);
		return;
	case EVENT_DATAGRAMS_LOST:
		world->datagrams_lost_until_us =
			world->now_us + event->length_ms * 1000LL;
		return;
	case EVENT_DROP_HISTORY:
		model_store_drop_history(world->store);
		return;
	case EVENT_KINDS:
		return;
	}
}

/* A watch that is never answered is no disturbance. */
static bool disturbs(const model_weather_t *weather)
{
	return weather->silent || weather->refused || weather->lost_answer ||
	       weather->watch_cut || weather->delay_ms > 100;
}

static void step_node(world_t *world, int index)
{
	model_node_t *node = &world->nodes[index];
	const process_t *process = node->process;

	if (disturbs(&node->weather) || !process || !runs(process))
		node->disturbed_us = world->now_us;
	if (node->weather_until_us && world->now_us >= node->weather_until_us) {
		node->weather = world->calm;
		node->weather_until_us = 0;
	}
	if (node->start_at_us && world->now_us >= node->start_at_us) {
		node->start_at_us = 0;
		start_process(world, index);
	}
}

static void step(world_t *world)
{
	world->steps++;
	world->now_us += STEP_MS * 1000;
	for (int i = 0; i < world->nodes_count; i++)
		step_node(world, i);
	model_store_step(world->store);
	model_client_deliver(world->operator);
	step_datagrams(world);
	for (guint i = 0; i < world->calls->len; i++)
		step_call(world->calls->pdata[i]);
	for (int i = 0; i < world->nodes_count; i++)
		if (world->nodes[i].process)
			step_process(world->nodes[i].process);
	for (int i = 0; i < world->nodes_count; i++)
		if (world->nodes[i].process)
			check_process(world->nodes[i].process);
}

static void play(void *data)
{
	world_t *world = data;
	int next = 0;

	current_world = world;
	log_set_sink(model_trace_line, &world->trace);
	change_object(world, CONFIG_KEY, false);
	for (int i = 0; i < world->nodes_count; i++)
		start_process(world, i);
	while (world->now_us / 1000 < world->length_ms &&
	       !world->trace.violation) {
		step(world);
		for (; next < world->events_count &&
		       world->events[next].at_ms <= world->now_us / 1000;
		     next++)
			if (!world->events[next].skipped)
				apply(world, &world->events[next]);
	}
	model_run_set_clock(NULL);
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const model_event_t *x = a;
	const model_event_t *y = b;

	return x->at_ms < y->at_ms ? -1 : x->at_ms > y->at_ms;
}

static event_kind_t draw_kind(world_t *world)
{
	int rest = draw(world, 0, 99);

	for (int i = 0; i < EVENT_KINDS; i++) {
		if (rest < event_types[i].weight)
			return (event_kind_t)i;
		rest -= event_types[i].weight;
	}
	return EVENT_CONFIG;
}

static void draw_events(world_t *world)
{
	world->length_ms = draw(world, LENGTH_MIN_MS, LENGTH_MAX_MS);
	world->events_count = draw(world, 6, EVENTS_MAX);
	for (int i = 0; i < world->events_count; i++)
		world->events[i] = (model_event_t){
			.kind = draw_kind(world),
			.at_ms = draw(world, START_MS, world->length_ms),
			.node = draw(world, 0, world->nodes_count - 1),
			.argument = draw(world, 0, 1000),
			.length_ms = chance(world, 50) ?
					     draw(world, 100, 1500) :
					     draw(world, 1000, 9000),
		};
	qsort(world->events, (size_t)world->events_count, sizeof(model_event_t),
	      by_time);
}

static void *world_new(uint64_t seed)
{
	const guint32 seeds[] = { (guint32)seed, (guint32)(seed >> 32) };
	world_t *world = g_new0(world_t, 1);
	const model_store_options_t store = {
		.random = world->random = g_rand_new_with_seed_array(seeds, 2),
		.now_us = &world->now_us,
		.written = on_written,
		.user_data = world,
	};

	world->seed = seed;
	world->now_us = 1000000;
	world->store = model_store_new(&store);
	world->calm = (model_weather_t){ .delay_ms = draw(world, 3, 20),
					 .stale_ms = draw(world, 2, 2500) };
	world->operator= model_client_new(world->store, &world->calm, false);
	world->processes = g_ptr_array_new();
	world->datagrams = g_ptr_array_new();
	world->calls = g_ptr_array_new();
	world->configs = g_array_new(FALSE, FALSE, sizeof(change_t));
	for (int i = 0; i < RUNNERS_MAX; i++)
		world->runners[i] = g_array_new(FALSE, FALSE, sizeof(change_t));
	model_trace_init(&world->trace, &world->now_us);
	world->nodes_count = draw(world, NODES_MIN, NODES_MAX);
	for (int i = 0; i < world->nodes_count; i++) {
		model_node_t *node = &world->nodes[i];

		g_snprintf(node->name, sizeof(node->name), "n%d", i);
		g_snprintf(node->address, sizeof(node->address), "10.0.0.%d",
			   i + 1);
		node->weather = world->calm;
	}
	draw_events(world);
	return world;
}

/* The modules have no destructors; their memory goes with the process that runs
 * the history. */
static void world_free(void *data)
{
	world_t *world = data;

	for (guint i = 0; i < world->processes->len; i++) {
		process_t *process = world->processes->pdata[i];

		if (!process->dead)
			kill_process(process);
		event_base_free(process->base);
	}
	model_store_free(world->store);
	model_trace_clear(&world->trace);
}

static void skip_events(void *data, uint64_t events)
{
	world_t *world = data;

	for (int i = 0; i < world->events_count; i++)
		world->events[i].skipped = events >> i & 1;
}

static void print_events(const void *data)
{
	const world_t *world = data;

	printf("%d nodes, %d ms\n", world->nodes_count, world->length_ms);
	for (int i = 0; i < world->events_count; i++) {
		const model_event_t *event = &world->events[i];

		if (!event->skipped)
			printf("event %2d at %6d ms: %s node=%d argument=%d "
			       "length_ms=%d\n",
			       i, (int)event->at_ms,
			       event_types[event->kind].name, event->node,
			       event->argument, event->length_ms);
	}
}

static model_trace_t *trace_of(void *data)
{
	return &((world_t *)data)->trace;
}

static int count_events(const void *data)
{
	return ((const world_t *)data)->events_count;
}

static uint64_t count_steps(const void *data)
{
	return ((const world_t *)data)->steps;
}

int main(int argc, char **argv)
{
	static const uint64_t regressions[] = { 1009393 };
	static const model_run_t run = {
		.create = world_new,
		.skip = skip_events,
		.play = play,
		.destroy = world_free,
		.print_events = print_events,
		.trace = trace_of,
		.events = count_events,
		.steps = count_steps,
		.regressions = regressions,
		.regressions_count = G_N_ELEMENTS(regressions),
		.fixed = FIXED_HISTORIES,
	};

	return model_run_main(&run, argc, argv);
}
