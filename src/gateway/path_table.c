#include "gateway/path_table.h"

#include <string.h>

/* Defaults of values that the configuration leaves out. */
#define DEFAULT_TIMEOUT_MS 30000
#define DEFAULT_OBJECTIVE_MS 1000
#define DEFAULT_IDLE_TIMEOUT_MS 15000

static void route_free(void *data)
{
	path_route_t *route = data;

	for (guint i = 0; i < route->targets->len; i++)
		g_free(g_array_index(route->targets, path_target_t, i).service);
	g_array_free(route->targets, TRUE);
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_free(route);
}

path_table_t *path_table_new(uint64_t version)
{
	path_table_t *table = g_new0(path_table_t, 1);

	table->version = version;
	table->idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS;
	table->routes = g_ptr_array_new_with_free_func(route_free);
	table->refs = 1;
	return table;
}

path_table_t *path_table_ref(path_table_t *table)
{
	table->refs++;
	return table;
}

void path_table_unref(path_table_t *table)
{
	if (!table || --table->refs > 0)
		return;
	g_ptr_array_free(table->routes, TRUE);
	g_free(table);
}

path_route_t *path_table_add(path_table_t *table, const char *host,
			     const char *prefix)
{
	path_route_t *route = g_new0(path_route_t, 1);

	route->name = g_strdup(prefix);
	route->host = g_strdup(host);
	route->prefix = g_strdup(prefix);
	route->timeout_ms = DEFAULT_TIMEOUT_MS;
	route->objective_ms = DEFAULT_OBJECTIVE_MS;
	route->max_runners = 1;
	route->targets = g_array_new(FALSE, TRUE, sizeof(path_target_t));
	g_ptr_array_add(table->routes, route);
	return route;
}

void path_route_add_target(path_route_t *route, const char *service,
			   uint32_t weight)
{
	path_target_t target = { g_strdup(service), weight };

	g_array_append_val(route->targets, target);
}

/* A port in the host header is ignored. */
static bool host_matches(const path_route_t *route, const char *host)
{
	size_t len = strcspn(host, ":");

	return strlen(route->host) == len &&
	       g_ascii_strncasecmp(route->host, host, len) == 0;
}

const path_route_t *path_table_find(const path_table_t *table, const char *host,
				    const char *path)
{
	const path_route_t *best = NULL;
	size_t best_len = 0;

	if (!host || !path)
		return NULL;
	for (guint i = 0; i < table->routes->len; i++) {
		const path_route_t *route = table->routes->pdata[i];
		size_t len = strlen(route->prefix);

		if (len > best_len && strncmp(path, route->prefix, len) == 0 &&
		    host_matches(route, host)) {
			best = route;
			best_len = len;
		}
	}
	return best;
}

bool path_route_has_service(const path_route_t *route, const char *service)
{
	for (guint i = 0; i < route->targets->len; i++)
		if (strcmp(g_array_index(route->targets, path_target_t, i)
				   .service,
			   service) == 0)
			return true;
	return false;
}

const char *path_route_service(const path_route_t *route, double draw)
{
	uint64_t total = 0;
	double at;

	for (guint i = 0; i < route->targets->len; i++)
		total += g_array_index(route->targets, path_target_t, i).weight;
	at = draw * (double)total;
	for (guint i = 0; i < route->targets->len; i++) {
		const path_target_t *target =
			&g_array_index(route->targets, path_target_t, i);

		if (at < target->weight)
			return target->service;
		at -= target->weight;
	}
	return NULL;
}
