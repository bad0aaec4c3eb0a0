#include "emulator/engine_order.h"

#include <inttypes.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"

typedef struct served_model {
	char *model;
	char *adapter;
	char *version;
	struct event *timer; /* end of loading */
	bool serving;
} served_model_t;

struct engine_order {
	struct event_base *base;
	GPtrArray *models; /* served_model_t */
	char *role;
	int64_t load_ms;
	int64_t fence;
	bool check_fence;
};

static void model_free(void *data)
{
	served_model_t *model = data;

	event_free(model->timer);
	g_free(model->model);
	g_free(model->adapter);
	g_free(model->version);
	g_free(model);
}

static void on_loaded(evutil_socket_t fd, short events, void *arg)
{
	served_model_t *model = arg;

	model->serving = true;
	log_info("model_loaded", "model=%s adapter=%s version=%s",
		 log_quote(model->model), log_quote(model->adapter),
		 log_quote(model->version));
}

static served_model_t *model_new(struct event_base *base, const char *name,
				 const char *adapter, const char *version)
{
	served_model_t *model = g_new0(served_model_t, 1);

	model->model = g_strdup(name);
	model->adapter = g_strdup(adapter);
	model->version = g_strdup(version);
	model->timer = evtimer_new(base, on_loaded, model);
	return model;
}

engine_order_t *engine_order_new(const engine_order_options_t *options)
{
	engine_order_t *order = g_new0(engine_order_t, 1);
	served_model_t *model;

	order->base = options->base;
	order->load_ms = options->load_ms;
	order->check_fence = options->check_fence;
	order->role = g_strdup(options->role);
	order->models = g_ptr_array_new_with_free_func(model_free);
	model = model_new(order->base, options->model, options->adapter,
			  options->version);
	model->serving = true;
	g_ptr_array_add(order->models, model);
	return order;
}

void engine_order_free(engine_order_t *order)
{
	if (!order)
		return;
	g_ptr_array_free(order->models, TRUE);
	g_free(order->role);
	g_free(order);
}

static guint find(const GPtrArray *models, const char *name,
		  const char *adapter, const char *version)
{
	guint i;

	for (i = 0; i < models->len; i++) {
		const served_model_t *model = models->pdata[i];

		if (strcmp(model->model, name) == 0 &&
		    strcmp(model->adapter, adapter) == 0 &&
		    strcmp(model->version, version) == 0)
			break;
	}
	return i;
}

static void start_loading(engine_order_t *order, served_model_t *model)
{
	struct timeval delay = { order->load_ms / 1000,
				 order->load_ms % 1000 * 1000 };

	evtimer_add(model->timer, &delay);
}

/* Moves a model that is already there to the new list, or loads it. */
static gboolean take_model(engine_order_t *order, const json_t *wanted,
			   GPtrArray *models)
{
	const char *name = json_string_value(json_object_get(wanted, "model"));
	const char *adapter =
		json_string_value(json_object_get(wanted, "adapter"));
	const char *version =
		json_string_value(json_object_get(wanted, "version"));
	served_model_t *model;
	guint at;

	if (!name || !version)
		return FALSE;
	adapter = adapter ? adapter : "";
	if (find(models, name, adapter, version) < models->len)
		return TRUE;
	at = find(order->models, name, adapter, version);
	if (at < order->models->len) {
		model = g_ptr_array_steal_index(order->models, at);
	} else {
		model = model_new(order->base, name, adapter, version);
		start_loading(order, model);
	}
	g_ptr_array_add(models, model);
	return TRUE;
}

static gboolean is_valid(const json_t *models)
{
	size_t i;
	const json_t *wanted;

	if (!json_is_array(models))
		return FALSE;
	json_array_foreach(models, i, wanted) {
		if (!json_is_string(json_object_get(wanted, "model")) ||
		    !json_is_string(json_object_get(wanted, "version")))
			return FALSE;
	}
	return TRUE;
}

gboolean engine_order_apply(engine_order_t *order, const json_t *root,
			    GError **error)
{
	const json_t *wanted = json_object_get(root, "models");
	const json_t *fence = json_object_get(root, "fence");
	const char *role = json_string_value(json_object_get(root, "role"));
	GPtrArray *models;
	size_t i;
	const json_t *item;

	if (!json_is_integer(fence) || !is_valid(wanted)) {
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
			    "an order needs fence and models");
		return FALSE;
	}
	if (order->check_fence && json_integer_value(fence) < order->fence) {
		g_set_error(error, WL_ERROR, WL_ERROR_CONFLICT,
			    "fence %" PRId64 " is older than %" PRId64,
			    (int64_t)json_integer_value(fence), order->fence);
		return FALSE;
	}
	models = g_ptr_array_new_with_free_func(model_free);
	json_array_foreach(wanted, i, item) {
		take_model(order, item, models);
	}
	g_ptr_array_free(order->models, TRUE);
	order->models = models;
	order->fence = json_integer_value(fence);
	if (role) {
		g_free(order->role);
		order->role = g_strdup(role);
	}
	log_info("order_applied", "fence=%" PRId64 " models=%u role=%s",
		 order->fence, models->len, log_quote(order->role));
	return TRUE;
}

bool engine_order_serves(const engine_order_t *order, const char *version)
{
	for (guint i = 0; i < order->models->len; i++) {
		const served_model_t *model = order->models->pdata[i];

		if (model->serving &&
		    (!version || strcmp(model->version, version) == 0))
			return true;
	}
	return false;
}

json_t *engine_order_state(const engine_order_t *order)
{
	json_t *models = json_array();

	for (guint i = 0; i < order->models->len; i++) {
		const served_model_t *model = order->models->pdata[i];

		json_array_append_new(
			models,
			json_pack("{s:s, s:s, s:s, s:s}", "model", model->model,
				  "adapter", model->adapter, "version",
				  model->version, "state",
				  model->serving ? "serving" : "loading"));
	}
	return json_pack("{s:o, s:s, s:I}", "models", models, "role",
			 order->role, "fence", (json_int_t)order->fence);
}
