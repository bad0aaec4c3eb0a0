#include "entry/vm_follow.h"

#include <inttypes.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "coord/vm_view.h"
#include "rpc/fleet_xdr.h"

#define FLEET_PROGRAM 0x20000776
#define FLEET_FETCH 1
#define FETCH_TIMEOUT_MS 1000
#define WATCHER_KEY "vm-list"
/* A watcher whose last answer of the platform is older passes nothing on: the other
 * nodes may reach the platform. */
#define READ_VALID_PERIODS 3

struct vm_follow {
	vm_follow_options_t options;
	struct event *timer;
	vm_view_t *local_view; /* read from the platform by this node */
	vm_view_t *watcher_view; /* fetched from the watcher */
	bool is_watcher;
	int64_t read_us; /* clock_elapsed_us() of the platform's last answer; 0: none */
	int64_t *store_reads;
	int64_t *peer_fetches;
};

/* A fetch result under construction; strings are borrowed from the view. */
typedef struct builder {
	GArray *vms; /* fleet_vm */
	GPtrArray *removed;
} builder_t;

static void add_changed(const platform_vm_t *vm, void *user_data)
{
	builder_t *builder = user_data;
	fleet_vm out = { vm->address, vm->role,	      vm->domain,
			 vm->partner, vm->deployment, vm->state };

	g_array_append_val(builder->vms, out);
}

static void add_removed(const char *address, void *user_data)
{
	builder_t *builder = user_data;

	g_ptr_array_add(builder->removed, (char *)address);
}

static bool has_recent_read(const vm_follow_t *follow)
{
	int64_t age_us =
		clock_elapsed_us(follow->options.clock) - follow->read_us;

	return follow->read_us && age_us <= READ_VALID_PERIODS * 1000LL *
						    follow->options.period_ms;
}

static void handle_fetch(rpc_call_t *call, const void *args, void *user_data)
{
	vm_follow_t *follow = user_data;
	const fleet_fetch_args *fetch = args;
	fleet_fetch_result result = { 0 };
	builder_t builder = { g_array_new(FALSE, FALSE, sizeof(fleet_vm)),
			      g_ptr_array_new() };

	result.available = has_recent_read(follow);
	if (result.available) {
		result.whole = !vm_view_since(follow->local_view, fetch->view,
					      fetch->sequence, add_changed,
					      add_removed, &builder) ||
			       fetch->sequence == 0;
		if (result.whole && builder.vms->len == 0)
			vm_view_since(follow->local_view, 0, 0, add_changed,
				      add_removed, &builder);
	}
	result.view = vm_view_id(follow->local_view);
	result.sequence = vm_view_sequence(follow->local_view);
	result.vms.vms_len = builder.vms->len;
	result.vms.vms_val = (fleet_vm *)(void *)builder.vms->data;
	result.removed.removed_len = builder.removed->len;
	result.removed.removed_val = (fleet_address *)builder.removed->pdata;
	rpc_reply(call, &result);
	g_array_free(builder.vms, TRUE);
	g_ptr_array_free(builder.removed, TRUE);
}

static void publish(vm_follow_t *follow, vm_view_t *view)
{
	const GArray *vms = vm_view_vms(view);

	log_info("vm_list_changed",
		 "view=%016" PRIx64 " sequence=%" PRIu64 " vms=%u watcher=%d",
		 vm_view_id(view), vm_view_sequence(view), vms->len,
		 follow->is_watcher);
	follow->options.changed(vms, follow->options.user_data);
}

static void on_list(const GArray *vms, const GError *error, void *user_data)
{
	vm_follow_t *follow = user_data;

	if (error) {
		log_warn("vm_list_failed", "error=%s",
			 error_name((error_code_t)error->code));
		return;
	}
	follow->read_us = clock_elapsed_us(follow->options.clock);
	if (vm_view_update(follow->local_view, vms))
		publish(follow, follow->local_view);
}

static void read_from_platform(vm_follow_t *follow)
{
	(*follow->store_reads)++;
	object_vms(follow->options.store, on_list, follow);
}

static void apply_result(vm_follow_t *follow, const fleet_fetch_result *result)
{
	vm_view_t *view = follow->watcher_view;

	if (result->whole)
		vm_view_reset(view, result->view);
	for (u_int i = 0; i < result->vms.vms_len; i++) {
		const fleet_vm *in = &result->vms.vms_val[i];
		platform_vm_t vm = { in->address, in->role,	  in->domain,
				     in->partner, in->deployment, in->state };

		vm_view_put(view, &vm);
	}
	for (u_int i = 0; i < result->removed.removed_len; i++)
		vm_view_remove(view, result->removed.removed_val[i]);
	vm_view_set_sequence(view, result->sequence);
	if (result->whole || result->vms.vms_len || result->removed.removed_len)
		publish(follow, view);
}

static void on_fetched(const void *data, const GError *error, void *user_data)
{
	vm_follow_t *follow = user_data;
	const fleet_fetch_result *result = data;

	if (error || !result->available) {
		read_from_platform(follow);
		return;
	}
	/* This node may have become the watcher while the call was in
	 * flight. */
	if (!follow->is_watcher)
		apply_result(follow, result);
}

static void fetch_from(vm_follow_t *follow, const char *address)
{
	fleet_fetch_args args = { vm_view_id(follow->watcher_view),
				  vm_view_sequence(follow->watcher_view) };
	rpc_call_options_t call = {
		.address = address,
		.program = FLEET_PROGRAM,
		.procedure = FLEET_FETCH,
		.encode = (xdrproc_t)xdr_fleet_fetch_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_fleet_fetch_result,
		.result_size = sizeof(fleet_fetch_result),
		.timeout_ms = FETCH_TIMEOUT_MS,
		.done = on_fetched,
		.user_data = follow,
	};

	(*follow->peer_fetches)++;
	rpc_client_call(follow->options.rpc_client, &call);
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	vm_follow_t *follow = arg;
	const member_t *self = member_self(follow->options.members);
	const member_t *watcher = member_owner(follow->options.members,
					       self->domain, WATCHER_KEY);
	/* Jitter keeps the nodes of a domain from calling concurrently. */
	double factor = g_rand_double_range(follow->options.random, 0.8, 1.2);
	int64_t delay_us = (int64_t)(follow->options.period_ms * 1000 * factor);
	struct timeval delay = { delay_us / 1000000, delay_us % 1000000 };

	follow->is_watcher = !watcher || watcher == self;
	if (follow->is_watcher)
		read_from_platform(follow);
	else
		fetch_from(follow, watcher->address);
	evtimer_add(follow->timer, &delay);
}

static uint64_t random_view_id(GRand *random)
{
	return (uint64_t)g_rand_int(random) << 32 | g_rand_int(random) | 1;
}

vm_follow_t *vm_follow_new(const vm_follow_options_t *options)
{
	vm_follow_t *follow = g_new0(vm_follow_t, 1);
	rpc_procedure_t procedure = {
		.program = FLEET_PROGRAM,
		.procedure = FLEET_FETCH,
		.decode = (xdrproc_t)xdr_fleet_fetch_args,
		.args_size = sizeof(fleet_fetch_args),
		.encode = (xdrproc_t)xdr_fleet_fetch_result,
		.handler = handle_fetch,
		.user_data = follow,
	};

	follow->options = *options;
	follow->local_view = vm_view_new(random_view_id(options->random));
	follow->watcher_view = vm_view_new(0);
	follow->store_reads = counter_get(options->counters, COUNTER_MONOTONIC,
					  "vm_list_store_reads_total", NULL);
	follow->peer_fetches = counter_get(options->counters, COUNTER_MONOTONIC,
					   "vm_list_peer_fetches_total", NULL);
	rpc_server_register(options->rpc_server, &procedure);
	follow->timer = evtimer_new(options->base, on_timer, follow);
	on_timer(-1, 0, follow);
	return follow;
}

void vm_follow_free(vm_follow_t *follow)
{
	if (!follow)
		return;
	event_free(follow->timer);
	vm_view_free(follow->local_view);
	vm_view_free(follow->watcher_view);
	g_free(follow);
}
