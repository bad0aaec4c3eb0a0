#include "tool/status_tool.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

#include "base/error.h"
#include "base/setting.h"
#include "tool/tool_client.h"

typedef struct status_options {
	char *node;
	char *key;
	bool json;
	int64_t timeout_ms;
} status_options_t;

/* A scalar as it appears in a key=value line. */
static void print_value(const char *name, const json_t *value)
{
	if (json_is_string(value))
		printf(" %s=%s", name, json_string_value(value));
	else if (json_is_integer(value))
		printf(" %s=%" PRId64, name,
		       (int64_t)json_integer_value(value));
	else if (json_is_boolean(value))
		printf(" %s=%s", name, json_is_true(value) ? "true" : "false");
}

static void print_line(const char *kind, json_t *object)
{
	const char *name;
	json_t *value;

	printf("%s", kind);
	json_object_foreach(object, name, value)
		print_value(name, value);
	putchar('\n');
}

/* One line for the node, then one for each object of each member. */
static void print_status(json_t *root)
{
	const char *name;
	json_t *value, *item;
	size_t index;

	print_line("node", root);
	json_object_foreach(root, name, value) {
		if (json_is_object(value))
			print_line(name, value);
		json_array_foreach(value, index, item)
			print_line(name, item);
	}
}

static int run(const status_options_t *options)
{
	tool_client_t *client =
		tool_client_new("127.0.0.1:0", (int32_t)options->timeout_ms);
	GError *error = NULL;
	char *text = tool_client_fetch(client, options->node, "/status",
				       options->key, &error);
	json_t *root;

	tool_client_free(client);
	if (!text)
		return tool_fail("status", error);
	root = json_loads(text, 0, NULL);
	if (!json_is_object(root)) {
		error = g_error_new(WL_ERROR, WL_ERROR_PROTOCOL,
				    "%s: not a status", options->node);
		json_decref(root);
		g_free(text);
		return tool_fail("status", error);
	}
	if (options->json)
		puts(text);
	else
		print_status(root);
	json_decref(root);
	g_free(text);
	return 0;
}

int status_tool_main(int argc, char **argv)
{
	status_options_t options = { 0 };
	const setting_t settings[] = {
		{ "node", SETTING_STRING, &options.node, "127.0.0.1:8081",
		  "IP:PORT", "operator port of an entry node", 0, 0, 0 },
		{ "key", SETTING_STRING, &options.key, "", "KEY",
		  "operator's key; better given by the environment", 0, 0, 0 },
		{ "json", SETTING_BOOL, &options.json, "false", NULL,
		  "print the answer as JSON", 0, 0, 0 },
		{ "timeout-ms", SETTING_INT, &options.timeout_ms, "5000", "MS",
		  "longest wait for the answer", 10, 60000, 0 },
		{ 0 },
	};
	const setting_program_t program = {
		.usage = "wasabilink status",
		.doc = "Shows what an entry node knows of the fleet.",
	};
	GError *error = NULL;

	if (!setting_parse(&program, settings, argc, argv, NULL, &error)) {
		tool_fail("status", error);
		return TOOL_EXIT_USAGE;
	}
	return run(&options);
}
