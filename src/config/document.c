#include "config/document.h"

#include <jansson.h>
#include <openssl/crypto.h>
#include <string.h>

#include "base/error.h"
#include "config/document_check.h"
#include "config/field_line.h"

static void workspace_free(void *data)
{
	document_workspace_t *workspace = data;

	g_free(workspace->name);
	g_free(workspace);
}

static void route_free(void *data)
{
	document_route_t *route = data;

	g_free(route->path);
	g_free(route);
}

static void service_free(void *data)
{
	document_service_t *service = data;

	g_free(service->name);
	g_ptr_array_free(service->routes, TRUE);
	g_free(service);
}

static void deployment_free(void *data)
{
	document_deployment_t *deployment = data;

	g_free(deployment->name);
	g_free(deployment->model);
	g_free(deployment->adapter);
	g_free(deployment->version);
	g_free(deployment);
}

static void caller_free(void *data)
{
	document_caller_t *caller = data;

	g_free(caller->name);
	g_free(caller);
}

static void partner_free(void *data)
{
	document_partner_t *partner = data;

	g_free(partner->name);
	g_hash_table_destroy(partner->workspaces_by_name);
	g_ptr_array_free(partner->workspaces, TRUE);
	g_ptr_array_free(partner->callers, TRUE);
	g_ptr_array_free(partner->deployments, TRUE);
	g_ptr_array_free(partner->services, TRUE);
	g_free(partner);
}

static char *dup_string(json_t *object, const char *name)
{
	const char *value = json_string_value(json_object_get(object, name));

	return g_strdup(value ? value : "");
}

static void parse_limits(json_t *object, document_limits_t *limits)
{
	json_t *json = json_object_get(object, "limits");

	limits->max_concurrent =
		json_integer_value(json_object_get(json, "max_concurrent"));
	limits->tokens_per_minute =
		json_integer_value(json_object_get(json, "tokens_per_minute"));
}

static void parse_caller(document_t *document, document_partner_t *partner,
			 json_t *json, bool is_operator)
{
	document_caller_t *caller = g_new0(document_caller_t, 1);
	const char *workspace =
		json_string_value(json_object_get(json, "workspace"));

	caller->name = dup_string(json, "name");
	caller->partner = partner;
	caller->is_operator = is_operator;
	parse_limits(json, &caller->limits);
	memcpy(caller->key_sha256,
	       json_string_value(json_object_get(json, "key_sha256")),
	       DOCUMENT_DIGEST_HEX + 1);
	if (workspace)
		caller->workspace = g_hash_table_lookup(
			partner->workspaces_by_name, workspace);
	g_ptr_array_add(partner->callers, caller);
	g_hash_table_insert(document->callers_by_key, caller->key_sha256,
			    caller);
}

static void parse_workspace(document_partner_t *partner, const char *name,
			    json_t *json)
{
	document_workspace_t *workspace = g_new0(document_workspace_t, 1);
	json_t *weight = json_object_get(json, "weight");

	workspace->name = g_strdup(name);
	workspace->weight = weight ? json_number_value(weight) : 1;
	g_ptr_array_add(partner->workspaces, workspace);
	g_hash_table_insert(partner->workspaces_by_name, workspace->name,
			    workspace);
}

static void parse_deployment(document_partner_t *partner, const char *name,
			     json_t *json)
{
	document_deployment_t *deployment = g_new0(document_deployment_t, 1);

	deployment->name = g_strdup(name);
	deployment->model = dup_string(json, "model");
	deployment->adapter = dup_string(json, "adapter");
	deployment->version = dup_string(json, "version");
	deployment->fencing = json_is_true(json_object_get(json, "fencing"));
	deployment->min_serving =
		json_integer_value(json_object_get(json, "min_serving"));
	parse_limits(json, &deployment->limits);
	g_ptr_array_add(partner->deployments, deployment);
}

static void parse_service(document_partner_t *partner, const char *name,
			  json_t *json)
{
	document_service_t *service = g_new0(document_service_t, 1);
	size_t index;
	json_t *item;

	service->name = g_strdup(name);
	service->routes = g_ptr_array_new_with_free_func(route_free);
	json_array_foreach(json_object_get(json, "routes"), index, item) {
		document_route_t *route = g_new0(document_route_t, 1);

		route->path = dup_string(item, "path");
		route->repeatable =
			json_is_true(json_object_get(item, "repeatable"));
		g_ptr_array_add(service->routes, route);
	}
	g_ptr_array_add(partner->services, service);
}

static void parse_partner(document_t *document, const char *name, json_t *json)
{
	document_partner_t *partner = g_new0(document_partner_t, 1);
	const char *key;
	json_t *value;
	size_t index;

	partner->name = g_strdup(name);
	partner->workspaces = g_ptr_array_new_with_free_func(workspace_free);
	partner->workspaces_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	partner->callers = g_ptr_array_new_with_free_func(caller_free);
	partner->deployments = g_ptr_array_new_with_free_func(deployment_free);
	partner->services = g_ptr_array_new_with_free_func(service_free);
	g_ptr_array_add(document->partners, partner);
	parse_limits(json, &partner->limits);
	json_object_foreach(json_object_get(json, "workspaces"), key, value)
		parse_workspace(partner, key, value);
	json_object_foreach(json_object_get(json, "deployments"), key, value)
		parse_deployment(partner, key, value);
	json_object_foreach(json_object_get(json, "services"), key, value)
		parse_service(partner, key, value);
	json_array_foreach(json_object_get(json, "operators"), index, value)
		parse_caller(document, partner, value, true);
	json_array_foreach(json_object_get(json, "callers"), index, value)
		parse_caller(document, partner, value, false);
}

/* "partners.guild.callers[3].name"; an array's step is an index. */
static char *format_path(json_t *root, const GPtrArray *path)
{
	GString *text = g_string_new(path->len ? NULL : "document");
	json_t *container = root;

	for (guint i = 0; i < path->len; i++) {
		const char *step = path->pdata[i];

		if (json_is_array(container)) {
			g_string_append_printf(text, "[%s]", step);
			container = json_array_get(
				container, g_ascii_strtoull(step, NULL, 10));
		} else {
			g_string_append_printf(text, "%s%s", i ? "." : "",
					       step);
			container = json_object_get(container, step);
		}
	}
	return g_string_free(text, FALSE);
}

static gboolean check(json_t *root, const char *text, size_t len,
		      GError **error)
{
	GPtrArray *path = g_ptr_array_new_with_free_func(g_free);
	char *message = NULL;
	gboolean ok = document_check(root, path, &message);

	if (!ok) {
		char *field = format_path(root, path);

		g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
			    "%s, line %d: %s", field,
			    field_line_find(text, len, path), message);
		g_free(field);
	}
	g_free(message);
	g_ptr_array_free(path, TRUE);
	return ok;
}

document_t *document_parse(const char *text, size_t len, GError **error)
{
	json_error_t json_error;
	json_t *root =
		json_loadb(text, len, JSON_REJECT_DUPLICATES, &json_error);
	document_t *document;
	const char *name;
	json_t *partner;
	char *digest;

	if (!root) {
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID, "line %d: %s",
			    json_error.line, json_error.text);
		return NULL;
	}
	if (!check(root, text, len, error)) {
		json_decref(root);
		return NULL;
	}
	document = g_new0(document_t, 1);
	document->references = 1;
	document->partners = g_ptr_array_new_with_free_func(partner_free);
	document->callers_by_key = g_hash_table_new(g_str_hash, g_str_equal);
	digest = g_compute_checksum_for_data(G_CHECKSUM_SHA256,
					     (const guchar *)text, len);
	memcpy(document->digest, digest, DOCUMENT_DIGEST_HEX + 1);
	g_free(digest);
	json_object_foreach(json_object_get(root, "partners"), name, partner)
		parse_partner(document, name, partner);
	json_decref(root);
	return document;
}

document_t *document_ref(document_t *document)
{
	document->references++;
	return document;
}

void document_unref(document_t *document)
{
	if (!document || --document->references > 0)
		return;
	g_hash_table_destroy(document->callers_by_key);
	g_ptr_array_free(document->partners, TRUE);
	g_free(document);
}

const document_partner_t *document_find_partner(const document_t *document,
						const char *name)
{
	for (guint i = 0; i < document->partners->len; i++) {
		const document_partner_t *partner =
			document->partners->pdata[i];

		if (strcmp(partner->name, name) == 0)
			return partner;
	}
	return NULL;
}

const document_workspace_t *
document_find_workspace(const document_partner_t *partner, const char *name)
{
	return g_hash_table_lookup(partner->workspaces_by_name, name);
}

const document_deployment_t *
document_find_deployment(const document_partner_t *partner, const char *name)
{
	for (guint i = 0; i < partner->deployments->len; i++) {
		const document_deployment_t *deployment =
			partner->deployments->pdata[i];

		if (strcmp(deployment->name, name) == 0)
			return deployment;
	}
	return NULL;
}

const document_service_t *
document_find_service(const document_partner_t *partner, const char *name)
{
	for (guint i = 0; i < partner->services->len; i++) {
		const document_service_t *service = partner->services->pdata[i];

		if (strcmp(service->name, name) == 0)
			return service;
	}
	return NULL;
}

const document_route_t *document_find_route(const document_service_t *service,
					    const char *path)
{
	for (guint i = 0; i < service->routes->len; i++) {
		const document_route_t *route = service->routes->pdata[i];

		if (strcmp(route->path, path) == 0)
			return route;
	}
	return NULL;
}

const document_caller_t *document_authenticate(const document_t *document,
					       const char *key)
{
	char *digest =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
	const document_caller_t *caller =
		g_hash_table_lookup(document->callers_by_key, digest);

	if (caller &&
	    CRYPTO_memcmp(caller->key_sha256, digest, DOCUMENT_DIGEST_HEX) != 0)
		caller = NULL;
	g_free(digest);
	return caller;
}
