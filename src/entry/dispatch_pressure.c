#include "entry/dispatch_pressure.h"

#include <string.h>

#include "rpc/batch_xdr.h"

#define CALL_TIMEOUT_MS 1000
#define PRESSURE_MIN_MS 5
/* While no batch runs on the runner, its dispatcher need not know at once. */
#define PRESSURE_IDLE_MS 1000
#define PRESSURE_TTL_MS 3000

void dispatch_pressure_free(void *data)
{
	pressure_t *pressure = data;

	g_free(pressure->runner);
	g_free(pressure->sender);
	g_free(pressure);
}

static uint32_t pressure_on(const dispatch_t *dispatch, const char *runner)
{
	uint32_t in_flight = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, dispatch->pressures);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const pressure_t *pressure = value;

		if (dispatch_now_ms(dispatch) >
		    pressure->seen_ms + PRESSURE_TTL_MS)
			g_hash_table_iter_remove(&iter);
		else if (strcmp(pressure->runner, runner) == 0)
			in_flight += pressure->in_flight;
	}
	return in_flight;
}

static own_load_t *find_own_load(const dispatch_t *dispatch, const char *runner)
{
	return g_hash_table_lookup(dispatch->own_loads, runner);
}

static void refresh_online(dispatch_t *dispatch, const char *runner)
{
	const own_load_t *own = find_own_load(dispatch, runner);

	dispatcher_set_online(dispatch->dispatcher, runner,
			      (own ? own->in_flight : 0) +
				      pressure_on(dispatch, runner));
}

void dispatch_pressure_refresh(dispatch_t *dispatch)
{
	GHashTableIter iter;
	void *runner;

	g_hash_table_iter_init(&iter, dispatcher_runners(dispatch->dispatcher));
	while (g_hash_table_iter_next(&iter, &runner, NULL))
		refresh_online(dispatch, runner);
}

void dispatch_pressure_handle(rpc_call_t *call, const void *data,
			      void *user_data)
{
	const runner_pressure_args *args = data;
	dispatch_t *dispatch = user_data;
	char *key = g_strconcat(args->runner, " ", args->sender, NULL);
	const dispatch_runner_t *runner = g_hash_table_lookup(
		dispatcher_runners(dispatch->dispatcher), args->runner);
	runner_pressure_result result = { .ok = runner &&
						runner->pool->chunks->len > 0 };
	pressure_t *pressure = g_new0(pressure_t, 1);

	pressure->runner = g_strdup(args->runner);
	pressure->sender = g_strdup(args->sender);
	pressure->in_flight = args->in_flight;
	pressure->seen_ms = dispatch_now_ms(dispatch);
	g_hash_table_replace(dispatch->pressures, key, pressure);
	refresh_online(dispatch, args->runner);
	dispatch_schedule_soon(dispatch);
	rpc_reply(call, &result);
}

static void on_pressure_told(const void *data, const GError *error,
			     void *user_data)
{
	const runner_pressure_result *result = data;
	chunk_call_t *call = user_data;
	own_load_t *own = find_own_load(call->dispatch, call->key);

	/* No batch runs there: its dispatcher need not know at once. */
	if (own && (error || !result->ok))
		own->told_ms += PRESSURE_IDLE_MS;
	chunk_call_free(call);
}

static void send_pressure(dispatch_t *dispatch, own_load_t *own,
			  const char *node)
{
	chunk_call_t *call = chunk_call_new(dispatch, NULL, 0);
	runner_pressure_args args = {
		.sender = (char *)dispatch_own_address(dispatch),
		.runner = own->runner,
		.in_flight = own->in_flight,
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
		.done = on_pressure_told,
		.user_data = call,
	};

	call->key = g_strdup(own->runner);
	own->told = own->in_flight;
	own->told_ms = dispatch_now_ms(dispatch);
	++*dispatch->pressures_sent;
	rpc_client_call(dispatch->entry->rpc_client, &options);
}

/* A change goes out after a short pause, and a count above 0 is repeated
 * before the receiver forgets it. */
static void tell_pressure(dispatch_t *dispatch, own_load_t *own,
			  const runner_t *runner)
{
	bool changed = own->in_flight != own->told;
	const char *node;

	if ((!changed && own->in_flight == 0) ||
	    dispatch_now_ms(dispatch) <
		    own->told_ms +
			    (changed ? PRESSURE_MIN_MS : PRESSURE_IDLE_MS))
		return;
	node = dispatch_node_of(dispatch->entry, runner);
	if (node && strcmp(node, dispatch_own_address(dispatch)) != 0)
		send_pressure(dispatch, own, node);
}

void dispatch_pressure_tell(dispatch_t *dispatch)
{
	const GPtrArray *engines;

	if (g_hash_table_size(dispatch->own_loads) == 0)
		return;
	engines = runner_set_engines(dispatch->entry->runners);
	for (guint i = 0; i < engines->len; i++) {
		const runner_t *runner = engines->pdata[i];
		own_load_t *own = find_own_load(dispatch, runner->address);

		if (own)
			tell_pressure(dispatch, own, runner);
	}
}

void dispatch_pressure_own_free(void *data)
{
	own_load_t *own = data;

	g_free(own->runner);
	g_free(own);
}

void dispatch_pressure_on_own_load(const char *runner, uint32_t in_flight,
				   void *user_data)
{
	dispatch_t *dispatch = user_data;
	own_load_t *own = find_own_load(dispatch, runner);
	struct timeval pause = { 0, PRESSURE_MIN_MS * 1000 };

	if (!own) {
		own = g_new0(own_load_t, 1);
		own->runner = g_strdup(runner);
		g_hash_table_insert(dispatch->own_loads, own->runner, own);
	}
	own->in_flight = in_flight;
	if (g_hash_table_contains(dispatcher_runners(dispatch->dispatcher),
				  runner)) {
		refresh_online(dispatch, runner);
		return;
	}
	if (dispatch_now_ms(dispatch) >= own->told_ms + PRESSURE_MIN_MS)
		dispatch_pressure_tell(dispatch);
	else if (!evtimer_pending(dispatch->pressure, NULL))
		evtimer_add(dispatch->pressure, &pause);
}

void dispatch_pressure_on_due(evutil_socket_t fd, short events, void *arg)
{
	dispatch_pressure_tell(arg);
}
