#ifndef WASABILINK_EMULATOR_ENGINE_ORDER_H
#define WASABILINK_EMULATOR_ENGINE_ORDER_H

#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * engine_order - the models that an engine serves, changed by orders.
 *
 * An order states the desired models and role. A model that is not there yet
 * loads for the loading time before it serves; one that the order leaves out
 * is dropped at once, while its running streams end normally.
 */
typedef struct engine_order engine_order_t;

typedef struct engine_order_options {
	struct event_base *base;
	const char *model; /* served from the start */
	const char *adapter;
	const char *version;
	const char *role;
	int64_t load_ms;
	bool check_fence; /* refuse an order with a lower fence */
} engine_order_options_t;

engine_order_t *engine_order_new(const engine_order_options_t *options);
void engine_order_free(engine_order_t *order);
/* Errors: WL_ERROR_INVALID, or WL_ERROR_CONFLICT for an old fence. */
gboolean engine_order_apply(engine_order_t *order, const json_t *root,
			    GError **error);
/* version NULL asks for any version. */
bool engine_order_serves(const engine_order_t *order, const char *version);
/* The answer to GET /engine/state; a new reference. */
json_t *engine_order_state(const engine_order_t *order);

#endif
