#include "config/document_check.h"

#include <inttypes.h>
#include <stdarg.h>
#include <string.h>

#define NAME_MAX_BYTES 128
#define MAX_COUNT 1000000000000
#define MAX_WEIGHT 1000000.0
#define SHA256_HEX 64
#define NAME_EXTRA "-_.:@"
#define MODEL_EXTRA NAME_EXTRA "/"

typedef struct checker {
	GPtrArray *path; /* char *, from the root to the value being checked */
	char **message;
	GHashTable *keys; /* digests of keys, unique in the document */
} checker_t;

typedef gboolean (*check_t)(checker_t *checker, json_t *value);

typedef struct field {
	const char *name;
	check_t check;
	gboolean required;
} field_t;

static gboolean fail(checker_t *checker, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static gboolean fail(checker_t *checker, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	*checker->message = g_strdup_vprintf(format, args);
	va_end(args);
	return FALSE;
}

/* The path keeps its last step on failure, so that it names the value. */
static gboolean check_step(checker_t *checker, char *step, json_t *value,
			   check_t check)
{
	g_ptr_array_add(checker->path, step);
	if (!check(checker, value))
		return FALSE;
	g_ptr_array_set_size(checker->path, (gint)checker->path->len - 1);
	return TRUE;
}

static const field_t *find_field(const field_t *fields, const char *name)
{
	for (; fields->name; fields++)
		if (strcmp(fields->name, name) == 0)
			return fields;
	return NULL;
}

static gboolean unknown_member(checker_t *checker, json_t *value)
{
	return fail(checker, "unknown member");
}

static gboolean check_fields(checker_t *checker, json_t *object,
			     const field_t *fields)
{
	const char *name;
	json_t *value;

	if (!json_is_object(object))
		return fail(checker, "must be an object");
	json_object_foreach(object, name, value) {
		const field_t *field = find_field(fields, name);

		if (!check_step(checker, g_strdup(name), value,
				field ? field->check : unknown_member))
			return FALSE;
	}
	for (; fields->name; fields++)
		if (fields->required && !json_object_get(object, fields->name))
			return fail(checker, "member '%s' is missing",
				    fields->name);
	return TRUE;
}

/* Names go into log lines, headers and keys such as "partner/workspace", so
 * they are plain, and only names of models may have a slash. */
static gboolean is_plain_name(const char *name, const char *extra)
{
	size_t len = strlen(name);

	if (len == 0 || len > NAME_MAX_BYTES)
		return FALSE;
	for (; *name; name++)
		if (!g_ascii_isalnum(*name) && !strchr(extra, *name))
			return FALSE;
	return TRUE;
}

static gboolean check_map(checker_t *checker, json_t *object, check_t check)
{
	const char *name;
	json_t *value;

	if (!json_is_object(object))
		return fail(checker, "must be an object");
	json_object_foreach(object, name, value) {
		if (!is_plain_name(name, NAME_EXTRA))
			return fail(checker,
				    "'%s' is not a name of letters, digits "
				    "and " NAME_EXTRA,
				    name);
		if (!check_step(checker, g_strdup(name), value, check))
			return FALSE;
	}
	return TRUE;
}

/* Elements are unique by this member. */
static gboolean check_list(checker_t *checker, json_t *array, const char *by,
			   check_t check)
{
	GHashTable *seen;
	gboolean ok = TRUE;
	size_t index;
	json_t *value;

	if (!json_is_array(array))
		return fail(checker, "must be an array");
	seen = g_hash_table_new(g_str_hash, g_str_equal);
	json_array_foreach(array, index, value) {
		const char *id;

		ok = check_step(checker, g_strdup_printf("%zu", index), value,
				check);
		if (!ok)
			break;
		id = json_string_value(json_object_get(value, by));
		ok = g_hash_table_add(seen, (char *)id);
		if (!ok) {
			g_ptr_array_add(checker->path,
					g_strdup_printf("%zu", index));
			fail(checker, "duplicate %s '%s'", by, id);
			break;
		}
	}
	g_hash_table_destroy(seen);
	return ok;
}

static gboolean check_plain(checker_t *checker, json_t *value,
			    const char *extra)
{
	if (!json_is_string(value))
		return fail(checker, "must be a string");
	if (!is_plain_name(json_string_value(value), extra))
		return fail(checker, "must be 1 to %d letters, digits and %s",
			    NAME_MAX_BYTES, extra);
	return TRUE;
}

static gboolean check_name(checker_t *checker, json_t *value)
{
	return check_plain(checker, value, NAME_EXTRA);
}

static gboolean check_model(checker_t *checker, json_t *value)
{
	return check_plain(checker, value, MODEL_EXTRA);
}

static gboolean check_adapter(checker_t *checker, json_t *value)
{
	if (json_is_string(value) && !json_string_value(value)[0])
		return TRUE;
	return check_model(checker, value);
}

static gboolean check_path(checker_t *checker, json_t *value)
{
	if (!json_is_string(value) || json_string_value(value)[0] != '/')
		return fail(checker, "must be a string that starts with '/'");
	return TRUE;
}

static gboolean check_bool(checker_t *checker, json_t *value)
{
	return json_is_boolean(value) ? TRUE :
					fail(checker, "must be true or false");
}

static gboolean check_count(checker_t *checker, json_t *value)
{
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < 0 || number > MAX_COUNT)
		return fail(checker, "must be an integer from 0 to %" PRId64,
			    (int64_t)MAX_COUNT);
	return TRUE;
}

static gboolean check_weight(checker_t *checker, json_t *value)
{
	double number = json_number_value(value);

	if (!json_is_number(value) || !(number > 0) || number > MAX_WEIGHT)
		return fail(checker, "must be a number above 0, up to %.0f",
			    MAX_WEIGHT);
	return TRUE;
}

static gboolean check_key(checker_t *checker, json_t *value)
{
	const char *text = json_string_value(value);
	size_t len = text ? strlen(text) : 0;

	if (len != SHA256_HEX || strspn(text, "0123456789abcdef") != len)
		return fail(checker,
			    "must be a SHA-256 in 64 lower-case hex digits");
	if (!g_hash_table_add(checker->keys, (char *)text))
		return fail(checker, "another caller or operator has this key");
	return TRUE;
}

static gboolean check_limits(checker_t *checker, json_t *value)
{
	static const field_t fields[] = {
		{ "max_concurrent", check_count, FALSE },
		{ "tokens_per_minute", check_count, FALSE },
		{ NULL, NULL, FALSE },
	};

	return check_fields(checker, value, fields);
}

static gboolean check_workspace(checker_t *checker, json_t *value)
{
	static const field_t fields[] = {
		{ "weight", check_weight, FALSE },
		{ NULL, NULL, FALSE },
	};

	return check_fields(checker, value, fields);
}

static gboolean check_operator(checker_t *checker, json_t *value)
{
	static const field_t fields[] = {
		{ "name", check_name, TRUE },
		{ "key_sha256", check_key, TRUE },
		{ NULL, NULL, FALSE },
	};

	return check_fields(checker, value, fields);
}

static gboolean check_caller(checker_t *checker, json_t *value)
{
	static const field_t fields[] = {
		{ "name", check_name, TRUE },
		{ "key_sha256", check_key, TRUE },
		{ "workspace", check_name, TRUE },
		{ "limits", check_limits, FALSE },
		{ NULL, NULL, FALSE },
	};

	return check_fields(checker, value, fields);
}

static gboolean check_deployment(checker_t *checker, json_t *value)
{
	static const field_t fields[] = {
		{ "model", check_model, TRUE },
		{ "adapter", check_adapter, FALSE },
		{ "version", check_model, TRUE },
		{ "fencing", check_bool, FALSE },
		{ "min_serving", check_count, FALSE },
		{ "limits", check_limits, FALSE },
		{ NULL, NULL, FALSE },
	};

	return check_fields(checker, value, fields);
}

static gboolean check_route(checker_t *checker, json_t *value)
{
	static const field_t fields[] = {
		{ "path", check_path, TRUE },
		{ "repeatable", check_bool, TRUE },
		{ NULL, NULL, FALSE },
	};

	return check_fields(checker, value, fields);
}

static gboolean check_routes(checker_t *checker, json_t *value)
{
	return check_list(checker, value, "path", check_route);
}

static gboolean check_service(checker_t *checker, json_t *value)
{
	static const field_t fields[] = {
		{ "routes", check_routes, TRUE },
		{ NULL, NULL, FALSE },
	};

	return check_fields(checker, value, fields);
}

static gboolean check_operators(checker_t *checker, json_t *value)
{
	return check_list(checker, value, "name", check_operator);
}

static gboolean check_callers(checker_t *checker, json_t *value)
{
	return check_list(checker, value, "name", check_caller);
}

static gboolean check_workspaces(checker_t *checker, json_t *value)
{
	return check_map(checker, value, check_workspace);
}

static gboolean check_deployments(checker_t *checker, json_t *value)
{
	return check_map(checker, value, check_deployment);
}

static gboolean check_services(checker_t *checker, json_t *value)
{
	return check_map(checker, value, check_service);
}

static gboolean check_references(checker_t *checker, json_t *partner)
{
	json_t *workspaces = json_object_get(partner, "workspaces");
	size_t index;
	json_t *caller;

	json_array_foreach(json_object_get(partner, "callers"), index, caller) {
		const char *name =
			json_string_value(json_object_get(caller, "workspace"));

		if (json_object_get(workspaces, name))
			continue;
		g_ptr_array_add(checker->path, g_strdup("callers"));
		g_ptr_array_add(checker->path, g_strdup_printf("%zu", index));
		g_ptr_array_add(checker->path, g_strdup("workspace"));
		return fail(checker, "there is no workspace '%s'", name);
	}
	return TRUE;
}

static gboolean check_partner(checker_t *checker, json_t *value)
{
	static const field_t fields[] = {
		{ "operators", check_operators, FALSE },
		{ "limits", check_limits, FALSE },
		{ "workspaces", check_workspaces, FALSE },
		{ "callers", check_callers, FALSE },
		{ "deployments", check_deployments, FALSE },
		{ "services", check_services, FALSE },
		{ NULL, NULL, FALSE },
	};

	return check_fields(checker, value, fields) &&
	       check_references(checker, value);
}

static gboolean check_partners(checker_t *checker, json_t *value)
{
	return check_map(checker, value, check_partner);
}

gboolean document_check(json_t *root, GPtrArray *path, char **message)
{
	static const field_t fields[] = {
		{ "partners", check_partners, TRUE },
		{ NULL, NULL, FALSE },
	};
	checker_t checker = {
		.path = path,
		.message = message,
		.keys = g_hash_table_new(g_str_hash, g_str_equal),
	};
	gboolean ok = check_fields(&checker, root, fields);

	g_hash_table_destroy(checker.keys);
	return ok;
}
