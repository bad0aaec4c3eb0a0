#include "object/object_answer.h"

#include <jansson.h>

#include "base/error.h"

static json_t *parse_body(const char *body, size_t len, GError **error)
{
	json_t *root = json_loadb(body, len, 0, NULL);

	if (json_is_object(root))
		return root;
	json_decref(root);
	g_set_error(error, WL_ERROR, WL_ERROR_PROTOCOL,
		    "the platform's answer is not JSON");
	return NULL;
}

static char *string_member(json_t *object, const char *name)
{
	const char *value = json_string_value(json_object_get(object, name));

	return g_strdup(value ? value : "");
}

static uint64_t number_member(json_t *object, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(object, name));
}

gboolean object_answer_listing(const char *body, size_t len,
			       object_listing_t *listing, GError **error)
{
	json_t *root = parse_body(body, len, error);
	json_t *array;
	size_t index;
	json_t *item;

	if (!root)
		return FALSE;
	array = json_object_get(root, "objects");
	if (!array)
		array = json_object_get(root, "events");
	listing->revision = number_member(root, "revision");
	listing->entries = g_array_new(FALSE, TRUE, sizeof(object_entry_t));
	json_array_foreach(array, index, item) {
		object_entry_t entry = {
			.key = string_member(item, "key"),
			.version = number_member(item, "version"),
			.deleted =
				json_is_true(json_object_get(item, "deleted")),
		};

		g_array_append_val(listing->entries, entry);
	}
	json_decref(root);
	return TRUE;
}

GError *object_answer_error(const http_response_t *answer)
{
	static const struct {
		int status;
		error_code_t code;
	} by_status[] = {
		{ 404, WL_ERROR_NOT_FOUND },   { 410, WL_ERROR_NOT_FOUND },
		{ 409, WL_ERROR_CONFLICT },    { 412, WL_ERROR_CONFLICT },
		{ 413, WL_ERROR_TOO_LARGE },   { 429, WL_ERROR_RATE_LIMITED },
		{ 503, WL_ERROR_UNAVAILABLE },
	};

	switch (answer->outcome) {
	case HTTP_NOT_SENT:
		return g_error_new(WL_ERROR, WL_ERROR_REFUSED,
				   "the platform is not reachable");
	case HTTP_TIMED_OUT:
		return g_error_new(WL_ERROR, WL_ERROR_TIMEOUT,
				   "the platform did not answer in time");
	case HTTP_CONNECTION_LOST:
	case HTTP_TOO_MUCH_MEMORY:
		return g_error_new(WL_ERROR, WL_ERROR_TRUNCATED,
				   "the platform's answer was cut off");
	case HTTP_COMPLETE:
		break;
	}
	if (answer->status == 200 || answer->status == 201)
		return NULL;
	for (size_t i = 0; i < G_N_ELEMENTS(by_status); i++)
		if (by_status[i].status == answer->status)
			return g_error_new(WL_ERROR, by_status[i].code,
					   "the platform answered %d",
					   answer->status);
	return g_error_new(WL_ERROR, WL_ERROR_PROTOCOL,
			   "unexpected status %d from the platform",
			   answer->status);
}

void object_entries_free(GArray *entries)
{
	for (guint i = 0; i < entries->len; i++) {
		g_free(g_array_index(entries, object_entry_t, i).key);
		g_free(g_array_index(entries, object_entry_t, i).data);
	}
	g_array_free(entries, TRUE);
}

GArray *object_answer_vms(const char *body, size_t len, GError **error)
{
	json_t *root = parse_body(body, len, error);
	GArray *vms;
	size_t index;
	json_t *item;

	if (!root)
		return NULL;
	vms = g_array_new(FALSE, TRUE, sizeof(platform_vm_t));
	json_array_foreach(json_object_get(root, "vms"), index, item) {
		platform_vm_t vm = {
			.address = string_member(item, "address"),
			.role = string_member(item, "role"),
			.domain = string_member(item, "domain"),
			.partner = string_member(item, "partner"),
			.deployment = string_member(item, "deployment"),
			.state = string_member(item, "state"),
		};

		g_array_append_val(vms, vm);
	}
	json_decref(root);
	return vms;
}

void object_vms_free(GArray *vms)
{
	for (guint i = 0; i < vms->len; i++) {
		platform_vm_t *vm = &g_array_index(vms, platform_vm_t, i);

		g_free(vm->address);
		g_free(vm->role);
		g_free(vm->domain);
		g_free(vm->partner);
		g_free(vm->deployment);
		g_free(vm->state);
	}
	g_array_free(vms, TRUE);
}
