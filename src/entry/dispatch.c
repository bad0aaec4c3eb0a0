#include "entry/dispatch.h"

#include <string.h>

#include "entry/dispatch_grant.h"
#include "entry/dispatch_input.h"
#include "entry/dispatch_online_load.h"
#include "entry/dispatch_release.h"
#include "entry/dispatch_state.h"
#include "entry/dispatch_stream.h"
#include "rpc/batch_xdr.h"

#define IDLE_TICK_PERIOD_MS 100
#define BUSY_TICK_PERIOD_MS 10
#define REFRESH_PERIOD_MS 250
#define SLOTS_QUERY_PERIOD_MS 1000
#define PROBE_TIMEOUT_MS 1000

static void on_slots(const http_response_t *answer, void *user_data)
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

static void query_slots(dispatch_t *dispatch, const dispatch_runner_t *runner)
{
	chunk_call_t *call = chunk_call_new(dispatch, NULL, 0);
	http_request_options_t options = {
		.method = "GET",
		.address = runner->address,
		.target = "/engine/load",
		.timeout_ms = PROBE_TIMEOUT_MS,
		.on_done = on_slots,
		.user_data = call,
	};

	call->key = g_strdup(runner->address);
	http_call_start(dispatch->entry->http, &options);
}

static void query_all_slots(dispatch_t *dispatch)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, dispatcher_runners(dispatch->dispatcher));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const dispatch_runner_t *runner = value;

		if (runner->slot.reported == 0 ||
		    dispatcher_chunks(dispatch->dispatcher) > 0)
			query_slots(dispatch, runner);
	}
}

static void refresh_runners(dispatch_t *dispatch)
{
	entry_t *entry = dispatch->entry;
	const GPtrArray *engines = runner_set_engines(entry->runners);
	GArray *infos =
		g_array_new(FALSE, FALSE, sizeof(dispatcher_runner_info_t));

	for (guint i = 0; i < engines->len; i++) {
		const runner_t *runner = engines->pdata[i];
		const char *node = dispatch_node_of(entry, runner);
		dispatcher_runner_info_t info = { runner->address,
						  runner->partner,
						  runner->deployment };

		if (node && strcmp(node, dispatch_own_address(dispatch)) == 0)
			g_array_append_val(infos, info);
	}
	dispatcher_set_runners(dispatch->dispatcher,
			       (dispatcher_runner_info_t *)infos->data,
			       infos->len);
	g_array_free(infos, TRUE);
}

static void run_tick(dispatch_t *dispatch)
{
	dispatcher_tick(dispatch->dispatcher);
	*dispatch->running = dispatcher_running(dispatch->dispatcher);
}

static void on_immediate_tick(evutil_socket_t fd, short events, void *arg)
{
	run_tick(arg);
}

static void on_tick(evutil_socket_t fd, short events, void *arg)
{
	dispatch_t *dispatch = arg;
	bool busy = dispatcher_chunks(dispatch->dispatcher) > 0;
	struct timeval period = {
		0, (busy ? BUSY_TICK_PERIOD_MS : IDLE_TICK_PERIOD_MS) * 1000
	};
	int64_t now = dispatch_now_ms(dispatch);

	if (now >= dispatch->next_refresh_ms) {
		dispatch->next_refresh_ms = now + REFRESH_PERIOD_MS;
		refresh_runners(dispatch);
		dispatch_grant_remove_expired_offers(dispatch);
		dispatch_online_load_refresh(dispatch);
	}
	if (now >= dispatch->next_slots_query_ms) {
		dispatch->next_slots_query_ms = now + SLOTS_QUERY_PERIOD_MS;
		query_all_slots(dispatch);
	}
	dispatch_online_load_report(dispatch);
	run_tick(dispatch);
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
		  dispatch_online_load_handle_report, dispatch },
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
	dispatch->load_reports_sent = counter_get(
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
		.load = dispatch_input_load,
		.renew = dispatch_grant_renew,
		.write = dispatch_grant_write,
		.done = dispatch_grant_done,
		.release = dispatch_release_chunk,
		.user_data = dispatch,
	};

	slot_parse_policy(entry->options.batch_policy, &slots.policy);
	dispatch->entry = entry;
	dispatch->dispatcher = dispatcher_new(&ops, entry->clock, &slots);
	dispatch->input_parts =
		g_ptr_array_new_with_free_func(dispatch_input_part_free);
	dispatch->offers =
		g_ptr_array_new_with_free_func(dispatch_grant_offer_free);
	dispatch->releases = g_ptr_array_new();
	dispatch->locating =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	dispatch->remote_loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      dispatch_online_load_remote_free);
	dispatch->local_loads = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, dispatch_online_load_local_free);
	dispatch->tick = evtimer_new(entry->base, on_tick, dispatch);
	dispatch->report_timer = evtimer_new(
		entry->base, dispatch_online_load_on_report_due, dispatch);
	dispatch->immediate_tick =
		event_new(entry->base, -1, 0, on_immediate_tick, dispatch);
	create_counters(dispatch);
	register_procedures(dispatch);
	pool_table_on_pressure(entry->pools,
			       dispatch_online_load_on_local_change, dispatch);
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
	       dispatch->releases->len == 0;
}
