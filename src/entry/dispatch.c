#include "entry/dispatch.h"

#include <string.h>

#include "entry/dispatch_grant.h"
#include "entry/dispatch_part.h"
#include "entry/dispatch_pressure.h"
#include "entry/dispatch_return.h"
#include "entry/dispatch_state.h"
#include "entry/dispatch_stream.h"
#include "rpc/batch_xdr.h"

#define IDLE_TICK_MS 100
#define BUSY_TICK_MS 10
#define MEMBERS_MS 250
#define LOAD_MS 1000
#define PROBE_TIMEOUT_MS 1000

static void on_load(const http_answer_t *answer, void *user_data)
{
	chunk_call_t *call = user_data;
	json_t *root = NULL;
	json_int_t slots;

	if (answer->outcome == HTTP_COMPLETE && answer->status == 200)
		root = json_loadb(answer->body, answer->body_len, 0, NULL);
	slots = json_integer_value(json_object_get(root, "slots"));
	if (slots > 0)
		dispatcher_report_slots(call->dispatch->dispatcher, call->key,
					(uint32_t)slots);
	json_decref(root);
	chunk_call_free(call);
}

static void ask_load(dispatch_t *dispatch, const dispatch_runner_t *runner)
{
	chunk_call_t *call = chunk_call_new(dispatch, NULL, 0);
	http_request_options_t options = {
		.method = "GET",
		.address = runner->address,
		.target = "/engine/load",
		.timeout_ms = PROBE_TIMEOUT_MS,
		.on_done = on_load,
		.user_data = call,
	};

	call->key = g_strdup(runner->address);
	http_call_start(dispatch->entry->http, &options);
}

static void ask_loads(dispatch_t *dispatch)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, dispatcher_runners(dispatch->dispatcher));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const dispatch_runner_t *runner = value;

		if (runner->slot.reported == 0 ||
		    dispatcher_chunks(dispatch->dispatcher) > 0)
			ask_load(dispatch, runner);
	}
}

static void refresh_runners(dispatch_t *dispatch)
{
	entry_t *entry = dispatch->entry;
	const GPtrArray *engines = runner_set_engines(entry->runners);
	GArray *own =
		g_array_new(FALSE, FALSE, sizeof(dispatcher_runner_info_t));

	for (guint i = 0; i < engines->len; i++) {
		const runner_t *runner = engines->pdata[i];
		const char *node = dispatch_node_of(entry, runner);
		dispatcher_runner_info_t info = { runner->address,
						  runner->partner,
						  runner->deployment };

		if (node && strcmp(node, dispatch_own_address(dispatch)) == 0)
			g_array_append_val(own, info);
	}
	dispatcher_set_runners(dispatch->dispatcher,
			       (dispatcher_runner_info_t *)own->data, own->len);
	g_array_free(own, TRUE);
}

static void run(dispatch_t *dispatch)
{
	dispatcher_tick(dispatch->dispatcher);
	*dispatch->running = dispatcher_running(dispatch->dispatcher);
}

static void on_soon(evutil_socket_t fd, short events, void *arg)
{
	run(arg);
}

static void on_tick(evutil_socket_t fd, short events, void *arg)
{
	dispatch_t *dispatch = arg;
	bool busy = dispatcher_chunks(dispatch->dispatcher) > 0;
	struct timeval period = { 0,
				  (busy ? BUSY_TICK_MS : IDLE_TICK_MS) * 1000 };
	int64_t now = dispatch_now_ms(dispatch);

	if (now >= dispatch->members_ms) {
		dispatch->members_ms = now + MEMBERS_MS;
		refresh_runners(dispatch);
		dispatch_grant_forget_offers(dispatch);
		dispatch_pressure_refresh(dispatch);
	}
	if (now >= dispatch->load_ms) {
		dispatch->load_ms = now + LOAD_MS;
		ask_loads(dispatch);
	}
	dispatch_pressure_tell(dispatch);
	run(dispatch);
	evtimer_add(dispatch->tick, &period);
}

static void register_procedures(dispatch_t *dispatch)
{
	const rpc_procedure_t procedures[] = {
		{ CHUNK_PROGRAM, CHUNK_OFFER, (xdrproc_t)xdr_chunk_offer_args,
		  sizeof(chunk_offer_args), (xdrproc_t)xdr_chunk_offer_result,
		  dispatch_grant_handle_offer, dispatch },
		{ RUNNER_PROGRAM, RUNNER_PRESSURE,
		  (xdrproc_t)xdr_runner_pressure_args,
		  sizeof(runner_pressure_args),
		  (xdrproc_t)xdr_runner_pressure_result,
		  dispatch_pressure_handle, dispatch },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(procedures); i++)
		rpc_server_register(dispatch->entry->rpc_server,
				    &procedures[i]);
}

static void create_counters(dispatch_t *dispatch)
{
	counter_set_t *set = dispatch->entry->counters;

	dispatch->items_started = counter_get(
		set, COUNTER_MONOTONIC, "batch_items_started_total", NULL);
	dispatch->items_stopped = counter_get(
		set, COUNTER_MONOTONIC, "batch_items_stopped_total", NULL);
	dispatch->items_completed = counter_get(
		set, COUNTER_MONOTONIC, "batch_items_completed_total", NULL);
	dispatch->items_failed = counter_get(set, COUNTER_MONOTONIC,
					     "batch_item_errors_total", NULL);
	dispatch->pressures_sent = counter_get(
		set, COUNTER_MONOTONIC, "runner_pressure_sent_total", NULL);
	dispatch->running =
		counter_get(set, COUNTER_GAUGE, "batch_items_running", NULL);
}

dispatch_t *dispatch_new(entry_t *entry)
{
	dispatch_t *dispatch = g_new0(dispatch_t, 1);
	slot_options_t slots = {
		.fixed = (uint32_t)entry->options.batch_slots,
		.reserve = (uint32_t)entry->options.batch_reserve,
	};
	dispatcher_ops_t ops = {
		.start = dispatch_stream_start,
		.stop = dispatch_stream_stop,
		.probe = dispatch_stream_probe,
		.pull = dispatch_grant_pull,
		.load = dispatch_part_load,
		.renew = dispatch_grant_renew,
		.write = dispatch_grant_write,
		.done = dispatch_grant_done,
		.hand_back = dispatch_return_chunk,
		.user_data = dispatch,
	};

	slot_parse_policy(entry->options.batch_policy, &slots.policy);
	dispatch->entry = entry;
	dispatch->dispatcher = dispatcher_new(&ops, entry->clock, &slots);
	dispatch->parts = g_ptr_array_new_with_free_func(dispatch_part_free);
	dispatch->offers =
		g_ptr_array_new_with_free_func(dispatch_grant_offer_free);
	dispatch->returns = g_ptr_array_new();
	dispatch->locating =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	dispatch->pressures = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, dispatch_pressure_free);
	dispatch->own_loads = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, dispatch_pressure_own_free);
	dispatch->tick = evtimer_new(entry->base, on_tick, dispatch);
	dispatch->pressure =
		evtimer_new(entry->base, dispatch_pressure_on_due, dispatch);
	dispatch->soon = event_new(entry->base, -1, 0, on_soon, dispatch);
	create_counters(dispatch);
	register_procedures(dispatch);
	pool_table_on_pressure(entry->pools, dispatch_pressure_on_own_load,
			       dispatch);
	on_tick(-1, 0, dispatch);
	return dispatch;
}

void dispatch_drain(dispatch_t *dispatch)
{
	dispatcher_drain(dispatch->dispatcher);
}

bool dispatch_is_idle(const dispatch_t *dispatch)
{
	return dispatcher_chunks(dispatch->dispatcher) == 0 &&
	       dispatch->returns->len == 0;
}
