#include "entry/reconciler.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "base/log.h"
#include "coord/order.h"
#include "entry/records.h"

#define TICK_PERIOD_MS 250
#define CALL_TIMEOUT_MS 2000
#define MAX_ACTIONS 64
#define LEASE_MS 6000
#define ORDER_IN_FLIGHT_MS CALL_TIMEOUT_MS
#define READ_PERIOD_MS 5000
#define MAX_LOADING 4

typedef struct managed {
	reconciler_t *reconciler;
	char *partner;
	char *deployment;
	record_key_t key;
	order_plan_t *plan;
	GHashTable *runners; /* set of the addresses that are in the plan */
	int64_t min_serving;
	uint64_t epoch;
	bool fencing;
} managed_t;

struct reconciler {
	entry_t *entry;
	struct event *timer;
	GHashTable *managed; /* "partner/deployment" -> managed_t */
	GHashTable *calls; /* set of engine_call_t in flight */
	double loads_per_minute;
	int64_t *orders;
	int64_t *refused;
	int64_t *reads;
};

typedef struct engine_call {
	reconciler_t *reconciler;
	http_call_t *call;
	char *name; /* key in managed */
	char *address;
	uint64_t epoch;
	order_action_kind_t kind;
} engine_call_t;

static void managed_free(void *data)
{
	managed_t *managed = data;

	order_plan_free(managed->plan);
	g_hash_table_destroy(managed->runners);
	g_free(managed->partner);
	g_free(managed->deployment);
	g_free(managed);
}

static void engine_call_free(void *data)
{
	engine_call_t *call = data;

	g_free(call->name);
	g_free(call->address);
	g_free(call);
}

static const char *get_string(json_t *object, const char *name)
{
	const char *value = json_string_value(json_object_get(object, name));

	return value ? value : "";
}

static void read_observation(json_t *root, order_observation_t *observation)
{
	json_t *model = json_array_get(json_object_get(root, "models"), 0);

	if (!json_is_object(model))
		return;
	observation->state =
		strcmp(get_string(model, "state"), "serving") == 0 ?
			ORDER_ENGINE_SERVING :
			ORDER_ENGINE_LOADING;
	observation->model.model = get_string(model, "model");
	observation->model.adapter = get_string(model, "adapter");
	observation->model.version = get_string(model, "version");
	observation->fence =
		(uint64_t)json_integer_value(json_object_get(root, "fence"));
}

static void finish_read(managed_t *managed, const engine_call_t *call,
			const http_response_t *answer)
{
	order_observation_t observation = { .state = ORDER_ENGINE_UNKNOWN };
	json_t *root = NULL;

	if (answer->outcome == HTTP_COMPLETE && answer->status == 200) {
		root = json_loadb(answer->body, answer->body_len, 0, NULL);
		read_observation(root, &observation);
	}
	order_observe(managed->plan, call->address, &observation);
	json_decref(root);
}

static void finish_order(reconciler_t *reconciler, const engine_call_t *call,
			 const http_response_t *answer)
{
	if (answer->outcome == HTTP_COMPLETE && answer->status == 409) {
		(*reconciler->refused)++;
		log_warn("order_refused",
			 "deployment=%s runner=%s epoch=%" PRIu64, call->name,
			 call->address, call->epoch);
		return;
	}
	log_info("order_sent",
		 "deployment=%s runner=%s epoch=%" PRIu64 " status=%d",
		 call->name, call->address, call->epoch, answer->status);
}

static void on_engine_response(const http_response_t *answer, void *user_data)
{
	engine_call_t *call = user_data;
	reconciler_t *reconciler = call->reconciler;
	managed_t *managed =
		g_hash_table_lookup(reconciler->managed, call->name);

	/* Ignore responses to calls of an earlier epoch: they describe the
	 * engine before the change of ownership. */
	if (managed && managed->epoch == call->epoch) {
		if (call->kind == ORDER_READ)
			finish_read(managed, call, answer);
		else
			finish_order(reconciler, call, answer);
	}
	g_hash_table_remove(reconciler->calls, call);
}

static char *order_body(const order_action_t *action)
{
	json_t *root =
		json_pack("{s:I, s:[{s:s, s:s, s:s}], s:s}", "fence",
			  (json_int_t)action->fence, "models", "model",
			  action->model.model, "adapter", action->model.adapter,
			  "version", action->model.version, "role", "serving");
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}

static void execute_action(managed_t *managed, const char *name,
			   const order_action_t *action)
{
	reconciler_t *reconciler = managed->reconciler;
	engine_call_t *call = g_new0(engine_call_t, 1);
	char *body = action->kind == ORDER_SEND ? order_body(action) : NULL;
	http_request_options_t options = {
		.method = body ? "POST" : "GET",
		.address = action->address,
		.target = body ? "/engine/order" : "/engine/state",
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.timeout_ms = CALL_TIMEOUT_MS,
		.on_done = on_engine_response,
		.user_data = call,
	};

	(*(body ? reconciler->orders : reconciler->reads))++;
	call->reconciler = reconciler;
	call->name = g_strdup(name);
	call->address = g_strdup(action->address);
	call->epoch = managed->epoch;
	call->kind = action->kind;
	g_hash_table_add(reconciler->calls, call);
	call->call = http_call_start(reconciler->entry->http, &options);
	free(body);
}

static bool is_listed(const GPtrArray *runners, const char *address)
{
	for (guint i = 0; i < runners->len; i++) {
		const runner_t *runner = runners->pdata[i];

		if (strcmp(runner->address, address) == 0)
			return true;
	}
	return false;
}

static void update_runners(managed_t *managed)
{
	const GPtrArray *found =
		runner_set_find(managed->reconciler->entry->runners,
				managed->partner, managed->deployment, false);
	GHashTableIter iter;
	void *key;

	for (guint i = 0; i < found->len; i++) {
		const runner_t *runner = found->pdata[i];

		if (g_hash_table_add(managed->runners,
				     g_strdup(runner->address)))
			order_add_runner(managed->plan, runner->address);
	}
	g_hash_table_iter_init(&iter, managed->runners);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (is_listed(found, key))
			continue;
		order_remove_runner(managed->plan, key);
		g_hash_table_iter_remove(&iter);
	}
}

static managed_t *managed_new(reconciler_t *reconciler, const char *partner,
			      const document_deployment_t *deployment,
			      double loads_per_minute)
{
	managed_t *managed = g_new0(managed_t, 1);
	order_options_t options = {
		.clock = reconciler->entry->clock,
		.fencing = deployment->fencing,
		.min_serving = deployment->min_serving,
		.max_loading = MAX_LOADING,
		.loads_per_minute = loads_per_minute,
		.lease_ms = LEASE_MS,
		.order_flight_ms = ORDER_IN_FLIGHT_MS,
		.read_period_ms = READ_PERIOD_MS,
	};

	managed->reconciler = reconciler;
	managed->fencing = deployment->fencing;
	managed->min_serving = deployment->min_serving;
	managed->partner = g_strdup(partner);
	managed->deployment = g_strdup(deployment->name);
	managed->key =
		record_key_make("deployment", partner, deployment->name, NULL);
	managed->plan = order_plan_new(&options);
	managed->runners =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return managed;
}

static void step_deployment(reconciler_t *reconciler, const char *partner,
			    const document_deployment_t *deployment,
			    double loads_per_minute)
{
	char *name = g_strconcat(partner, "/", deployment->name, NULL);
	managed_t *managed = g_hash_table_lookup(reconciler->managed, name);
	records_t *records = reconciler->entry->records;
	order_model_t model = { deployment->model, deployment->adapter,
				deployment->version };
	order_action_t actions[MAX_ACTIONS];
	size_t count;

	if (!managed || managed->fencing != deployment->fencing ||
	    managed->min_serving != deployment->min_serving) {
		managed = managed_new(reconciler, partner, deployment,
				      loads_per_minute);
		g_hash_table_insert(reconciler->managed, g_strdup(name),
				    managed);
	}
	managed->epoch = records_is_owner(records, &managed->key) ?
				 records_epoch(records, &managed->key) :
				 0;
	update_runners(managed);
	order_set_epoch(managed->plan, managed->epoch);
	order_set_model(managed->plan, &model);
	count = order_step(managed->plan, actions, MAX_ACTIONS);
	for (size_t i = 0; i < count; i++)
		execute_action(managed, name, &actions[i]);
	g_free(name);
}

static guint deployment_count(const document_t *document)
{
	guint count = 0;

	for (guint i = 0; i < document->partners->len; i++) {
		const document_partner_t *partner =
			document->partners->pdata[i];

		count += partner->deployments->len;
	}
	return count;
}

static void on_tick(evutil_socket_t fd, short events, void *arg)
{
	reconciler_t *reconciler = arg;
	const document_t *document = reconciler->entry->document;
	struct timeval period = { 0, TICK_PERIOD_MS * 1000 };
	double share;

	evtimer_add(reconciler->timer, &period);
	if (!document || reconciler->entry->draining)
		return;
	/* Deployments may have different owners. Equal static shares keep the
	 * fleet within its limit without coordination between them. */
	share = reconciler->loads_per_minute /
		MAX(1, deployment_count(document));
	for (guint i = 0; i < document->partners->len; i++) {
		const document_partner_t *partner =
			document->partners->pdata[i];

		for (guint j = 0; j < partner->deployments->len; j++)
			step_deployment(reconciler, partner->name,
					partner->deployments->pdata[j], share);
	}
}

reconciler_t *reconciler_new(entry_t *entry, double loads_per_minute)
{
	reconciler_t *reconciler = g_new0(reconciler_t, 1);

	reconciler->entry = entry;
	reconciler->loads_per_minute = loads_per_minute;
	reconciler->managed = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, managed_free);
	reconciler->calls =
		g_hash_table_new_full(NULL, NULL, engine_call_free, NULL);
	reconciler->orders = counter_get(entry->counters, COUNTER_MONOTONIC,
					 "orders_sent_total", NULL);
	reconciler->refused = counter_get(entry->counters, COUNTER_MONOTONIC,
					  "orders_refused_total", NULL);
	reconciler->reads = counter_get(entry->counters, COUNTER_MONOTONIC,
					"engine_state_reads_total", NULL);
	reconciler->timer = evtimer_new(entry->base, on_tick, reconciler);
	on_tick(-1, 0, reconciler);
	return reconciler;
}

void reconciler_free(reconciler_t *reconciler)
{
	GHashTableIter iter;
	void *key;

	if (!reconciler)
		return;
	g_hash_table_iter_init(&iter, reconciler->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		http_call_cancel(((engine_call_t *)key)->call);
	g_hash_table_destroy(reconciler->calls);
	g_hash_table_destroy(reconciler->managed);
	event_free(reconciler->timer);
	g_free(reconciler);
}
