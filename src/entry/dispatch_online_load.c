#include "entry/dispatch_online_load.h"

#include <string.h>

#include "rpc/batch_xdr.h"

#define CALL_TIMEOUT_MS 1000
#define REPORT_MIN_PERIOD_MS 5
/* Period of repeated reports of an unchanged count, and the delay of the next
 * report to a dispatcher that has no chunks for the runner's pool and so does
 * not need it promptly. */
#define REPORT_IDLE_PERIOD_MS 1000
#define REPORT_TTL_MS 3000

void dispatch_online_load_remote_free(void *data)
{
	remote_load_t *remote = data;

	g_free(remote->runner);
	g_free(remote->sender);
	g_free(remote);
}

static uint32_t remote_in_flight(const dispatch_t *dispatch, const char *runner)
{
	uint32_t in_flight = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, dispatch->remote_loads);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const remote_load_t *remote = value;

		if (dispatch_now_ms(dispatch) >
		    remote->received_ms + REPORT_TTL_MS)
			g_hash_table_iter_remove(&iter);
		else if (strcmp(remote->runner, runner) == 0)
			in_flight += remote->in_flight;
	}
	return in_flight;
}

static local_load_t *find_local_load(const dispatch_t *dispatch,
				     const char *runner)
{
	return g_hash_table_lookup(dispatch->local_loads, runner);
}

static void refresh_online_count(dispatch_t *dispatch, const char *runner)
{
	const local_load_t *local = find_local_load(dispatch, runner);

	dispatcher_set_online(dispatch->dispatcher, runner,
			      (local ? local->in_flight : 0) +
				      remote_in_flight(dispatch, runner));
}

void dispatch_online_load_refresh(dispatch_t *dispatch)
{
	GHashTableIter iter;
	void *runner;

	g_hash_table_iter_init(&iter, dispatcher_runners(dispatch->dispatcher));
	while (g_hash_table_iter_next(&iter, &runner, NULL))
		refresh_online_count(dispatch, runner);
}

void dispatch_online_load_handle_report(rpc_call_t *call, const void *data,
					void *user_data)
{
	const runner_pressure_args *args = data;
	dispatch_t *dispatch = user_data;
	char *key = g_strconcat(args->runner, " ", args->sender, NULL);
	const dispatch_runner_t *runner = g_hash_table_lookup(
		dispatcher_runners(dispatch->dispatcher), args->runner);
	runner_pressure_result result = { .ok = runner &&
						runner->pool->chunks->len > 0 };
	remote_load_t *remote = g_new0(remote_load_t, 1);

	remote->runner = g_strdup(args->runner);
	remote->sender = g_strdup(args->sender);
	remote->in_flight = args->in_flight;
	remote->received_ms = dispatch_now_ms(dispatch);
	g_hash_table_replace(dispatch->remote_loads, key, remote);
	refresh_online_count(dispatch, args->runner);
	dispatch_schedule_tick(dispatch);
	rpc_reply(call, &result);
}

static void on_reported(const void *data, const GError *error, void *user_data)
{
	const runner_pressure_result *result = data;
	chunk_call_t *call = user_data;
	local_load_t *local = find_local_load(call->dispatch, call->key);

	/* The dispatcher has no chunks for the runner's pool, or did not
	 * answer: the next report may wait. */
	if (local && (error || !result->ok))
		local->reported_ms += REPORT_IDLE_PERIOD_MS;
	chunk_call_free(call);
}

static void send_report(dispatch_t *dispatch, local_load_t *local,
			const char *node)
{
	chunk_call_t *call = chunk_call_new(dispatch, NULL, 0);
	runner_pressure_args args = {
		.sender = (char *)dispatch_own_address(dispatch),
		.runner = local->runner,
		.in_flight = local->in_flight,
	};
	rpc_call_options_t options = {
		.address = node,
		.program = RUNNER_PROGRAM,
		.procedure = RUNNER_PRESSURE,
		.encode = (xdrproc_t)xdr_runner_pressure_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_runner_pressure_result,
		.result_size = sizeof(runner_pressure_result),
		.timeout_ms = CALL_TIMEOUT_MS,
		.done = on_reported,
		.user_data = call,
	};

	call->key = g_strdup(local->runner);
	local->reported_in_flight = local->in_flight;
	local->reported_ms = dispatch_now_ms(dispatch);
	++*dispatch->load_reports_sent;
	rpc_client_call(dispatch->entry->rpc_client, &options);
}

/* A change is reported after REPORT_MIN_PERIOD_MS. A count above 0 is repeated
 * before it expires at the receiver. */
static void report_if_due(dispatch_t *dispatch, local_load_t *local,
			  const runner_t *runner)
{
	bool changed = local->in_flight != local->reported_in_flight;
	const char *node;

	if ((!changed && local->in_flight == 0) ||
	    dispatch_now_ms(dispatch) <
		    local->reported_ms + (changed ? REPORT_MIN_PERIOD_MS :
						    REPORT_IDLE_PERIOD_MS))
		return;
	node = dispatch_node_of(dispatch->entry, runner);
	if (node && strcmp(node, dispatch_own_address(dispatch)) != 0)
		send_report(dispatch, local, node);
}

void dispatch_online_load_report(dispatch_t *dispatch)
{
	const GPtrArray *engines;

	if (g_hash_table_size(dispatch->local_loads) == 0)
		return;
	engines = runner_set_engines(dispatch->entry->runners);
	for (guint i = 0; i < engines->len; i++) {
		const runner_t *runner = engines->pdata[i];
		local_load_t *local =
			find_local_load(dispatch, runner->address);

		if (local)
			report_if_due(dispatch, local, runner);
	}
}

void dispatch_online_load_local_free(void *data)
{
	local_load_t *local = data;

	g_free(local->runner);
	g_free(local);
}

void dispatch_online_load_on_local_change(const char *runner,
					  uint32_t in_flight, void *user_data)
{
	dispatch_t *dispatch = user_data;
	local_load_t *local = find_local_load(dispatch, runner);
	struct timeval pause = { 0, REPORT_MIN_PERIOD_MS * 1000 };

	if (!local) {
		local = g_new0(local_load_t, 1);
		local->runner = g_strdup(runner);
		g_hash_table_insert(dispatch->local_loads, local->runner,
				    local);
	}
	local->in_flight = in_flight;
	if (g_hash_table_contains(dispatcher_runners(dispatch->dispatcher),
				  runner)) {
		refresh_online_count(dispatch, runner);
		return;
	}
	if (dispatch_now_ms(dispatch) >=
	    local->reported_ms + REPORT_MIN_PERIOD_MS)
		dispatch_online_load_report(dispatch);
	else if (!evtimer_pending(dispatch->report_timer, NULL))
		evtimer_add(dispatch->report_timer, &pause);
}

void dispatch_online_load_on_report_due(evutil_socket_t fd, short events,
					void *arg)
{
	dispatch_online_load_report(arg);
}
