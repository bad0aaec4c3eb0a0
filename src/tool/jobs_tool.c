#include "tool/jobs_tool.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "base/setting.h"
#include "tool/tool_client.h"

#define FORM_BOUNDARY "wasabilink-form-5d1c7a"
#define FORM_TYPE "multipart/form-data; boundary=" FORM_BOUNDARY
#define WAIT_PERIOD_US 500000

typedef struct jobs_options {
	char *entry;
	char *key;
	char *window;
	char *job_key;
	int64_t timeout_ms;
	tool_client_t *client;
} jobs_options_t;

typedef struct jobs_verb {
	const char *name;
	int (*run)(const jobs_options_t *options, const char *arg);
	int args;
	const char *args_doc;
	const char *help;
} jobs_verb_t;

static char *call(const jobs_options_t *options, const char *method,
		  const char *target, size_t *len, GError **error)
{
	const tool_request_t request = {
		.method = method,
		.address = options->entry,
		.target = target,
		.key = options->key,
	};

	return tool_client_call(options->client, &request, len, error);
}

static json_t *parse_object(char *text, GError **error)
{
	json_t *root;

	if (!text)
		return NULL;
	root = json_loads(text, 0, NULL);
	g_free(text);
	if (!json_is_object(root)) {
		json_decref(root);
		g_set_error(error, WL_ERROR, WL_ERROR_PROTOCOL,
			    "the answer is not a JSON object");
		return NULL;
	}
	return root;
}

static json_t *fetch_job(const jobs_options_t *options, const char *id,
			 GError **error)
{
	char *target = g_strconcat("/v1/batches/", id, NULL);
	size_t len;
	char *text = call(options, "GET", target, &len, error);

	g_free(target);
	return parse_object(text, error);
}

static const char *member(json_t *object, const char *name)
{
	const char *value = json_string_value(json_object_get(object, name));

	return value ? value : "-";
}

static void print_job(json_t *job)
{
	json_t *counts = json_object_get(job, "request_counts");
	int64_t expires =
		json_integer_value(json_object_get(job, "expires_at"));

	printf("job=%s status=%s total=%" PRId64 " completed=%" PRId64
	       " failed=%" PRId64 " at_risk=%s expires_at=%" PRId64 "\n",
	       member(job, "id"), member(job, "status"),
	       (int64_t)json_integer_value(json_object_get(counts, "total")),
	       (int64_t)json_integer_value(
		       json_object_get(counts, "completed")),
	       (int64_t)json_integer_value(json_object_get(counts, "failed")),
	       json_is_true(json_object_get(job, "at_risk")) ? "true" : "false",
	       expires);
}

static int print_answer(json_t *job, GError *error)
{
	if (!job)
		return tool_fail("jobs", error);
	print_job(job);
	json_decref(job);
	return 0;
}

static GString *form_of(const char *content, size_t len)
{
	GString *form = g_string_new("--" FORM_BOUNDARY "\r\n"
				     "Content-Disposition: form-data; "
				     "name=\"purpose\"\r\n\r\nbatch\r\n"
				     "--" FORM_BOUNDARY "\r\n"
				     "Content-Disposition: form-data; "
				     "name=\"file\"; filename=\"items.jsonl\""
				     "\r\n\r\n");

	g_string_append_len(form, content, (gssize)len);
	g_string_append(form, "\r\n--" FORM_BOUNDARY "--\r\n");
	return form;
}

static json_t *upload(const jobs_options_t *options, const char *path,
		      GError **error)
{
	tool_request_t request = {
		.method = "POST",
		.address = options->entry,
		.target = "/v1/files",
		.key = options->key,
		.content_type = FORM_TYPE,
	};
	GError *read_error = NULL;
	GString *form;
	json_t *file;
	gchar *content;
	gsize len;

	if (!g_file_get_contents(path, &content, &len, &read_error)) {
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID, "%s",
			    read_error->message);
		g_error_free(read_error);
		return NULL;
	}
	form = form_of(content, len);
	request.body = form->str;
	request.body_len = form->len;
	file = parse_object(
		tool_client_call(options->client, &request, &len, error),
		error);
	g_string_free(form, TRUE);
	g_free(content);
	return file;
}

static int run_submit(const jobs_options_t *options, const char *path)
{
	tool_request_t request = {
		.method = "POST",
		.address = options->entry,
		.target = "/v1/batches",
		.key = options->key,
		.content_type = "application/json",
		.idempotency_key =
			options->job_key[0] ? options->job_key : NULL,
	};
	GError *error = NULL;
	json_t *file = upload(options, path, &error);
	json_t *body;
	char *text;
	size_t len;

	if (!file)
		return tool_fail("jobs", error);
	body = json_pack("{s:s, s:s, s:s}", "input_file_id", member(file, "id"),
			 "endpoint", "/v1/chat/completions",
			 "completion_window", options->window);
	text = json_dumps(body, JSON_COMPACT);
	request.body = text;
	request.body_len = strlen(text);
	json_decref(body);
	json_decref(file);
	body = parse_object(
		tool_client_call(options->client, &request, &len, &error),
		&error);
	free(text);
	return print_answer(body, error);
}

static int run_list(const jobs_options_t *options, const char *unused)
{
	GError *error = NULL;
	size_t len, index;
	json_t *root = parse_object(
		call(options, "GET", "/v1/batches?limit=100", &len, &error),
		&error);
	json_t *job;

	if (!root)
		return tool_fail("jobs", error);
	json_array_foreach(json_object_get(root, "data"), index, job)
		print_job(job);
	json_decref(root);
	return 0;
}

static int run_show(const jobs_options_t *options, const char *id)
{
	GError *error = NULL;
	json_t *job = fetch_job(options, id, &error);

	return print_answer(job, error);
}

static bool has_ended(const char *status)
{
	static const char *const ended[] = { "completed", "failed", "expired",
					     "cancelled" };

	for (size_t i = 0; i < G_N_ELEMENTS(ended); i++)
		if (strcmp(ended[i], status) == 0)
			return true;
	return false;
}

static int run_wait(const jobs_options_t *options, const char *id)
{
	GError *error = NULL;
	json_t *job;

	while ((job = fetch_job(options, id, &error))) {
		if (has_ended(member(job, "status"))) {
			int status =
				strcmp(member(job, "status"), "completed") != 0;

			print_answer(job, NULL);
			return status;
		}
		json_decref(job);
		g_usleep(WAIT_PERIOD_US);
	}
	return tool_fail("jobs", error);
}

static int run_cancel(const jobs_options_t *options, const char *id)
{
	char *target = g_strconcat("/v1/batches/", id, "/cancel", NULL);
	GError *error = NULL;
	size_t len;
	json_t *job = parse_object(call(options, "POST", target, &len, &error),
				   &error);

	g_free(target);
	return print_answer(job, error);
}

static int print_file(const jobs_options_t *options, const char *id,
		      const char *file_member)
{
	GError *error = NULL;
	json_t *job = fetch_job(options, id, &error);
	const char *file = json_string_value(json_object_get(job, file_member));
	char *target, *text;
	size_t len;

	if (!job)
		return tool_fail("jobs", error);
	if (!file) {
		json_decref(job);
		return 0;
	}
	target = g_strconcat("/v1/files/", file, "/content", NULL);
	text = call(options, "GET", target, &len, &error);
	g_free(target);
	json_decref(job);
	if (!text)
		return tool_fail("jobs", error);
	fwrite(text, 1, len, stdout);
	g_free(text);
	return 0;
}

static int run_output(const jobs_options_t *options, const char *id)
{
	return print_file(options, id, "output_file_id");
}

static int run_errors(const jobs_options_t *options, const char *id)
{
	return print_file(options, id, "error_file_id");
}

static const jobs_verb_t verbs[] = {
	{ "submit", run_submit, 1, "FILE", "Uploads items and starts a job." },
	{ "list", run_list, 0, NULL, "Lists the workspace's jobs." },
	{ "show", run_show, 1, "JOB", "Shows one job." },
	{ "wait", run_wait, 1, "JOB", "Waits for the end of a job." },
	{ "cancel", run_cancel, 1, "JOB", "Cancels a job." },
	{ "output", run_output, 1, "JOB", "Prints the results so far." },
	{ "errors", run_errors, 1, "JOB", "Prints the items that failed." },
};

static const jobs_verb_t *find_verb(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++)
		if (strcmp(verbs[i].name, name) == 0)
			return &verbs[i];
	return NULL;
}

static int usage(FILE *out, int status)
{
	fprintf(out, "Usage: wasabilink jobs VERB [OPTION...] [ARG]\n\n");
	for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++)
		fprintf(out, "  %-7s %s\n", verbs[i].name, verbs[i].help);
	return status;
}

static int run_verb(const jobs_verb_t *verb, int argc, char **argv)
{
	jobs_options_t options = { 0 };
	char *name = g_strconcat("wasabilink jobs ", verb->name, NULL);
	const setting_t settings[] = {
		{ "entry", SETTING_STRING, &options.entry, "127.0.0.1:8080",
		  "IP:PORT", "entry node's port for callers", 0, 0, 0 },
		{ "key", SETTING_STRING, &options.key, NULL, "KEY",
		  "caller's key; better given by the environment", 0, 0, 0 },
		{ "window", SETTING_STRING, &options.window, "24h", "TIME",
		  "submit: time until the deadline, such as 24h or 30m", 0, 0,
		  0 },
		{ "job-key", SETTING_STRING, &options.job_key, "", "KEY",
		  "submit: idempotency key, so that a resend is the same job",
		  0, 0, 0 },
		{ "timeout-ms", SETTING_INT, &options.timeout_ms, "120000",
		  "MS", "longest wait for one answer", 10, 3600000, 0 },
		{ 0 },
	};
	const setting_program_t program = {
		.usage = name,
		.doc = verb->help,
		.args_doc = verb->args_doc,
		.min_args = verb->args,
		.max_args = verb->args,
	};
	GPtrArray *args = g_ptr_array_new_with_free_func(g_free);
	GError *error = NULL;
	int status;

	if (!setting_parse(&program, settings, argc, argv, args, &error)) {
		tool_fail("jobs", error);
		return TOOL_EXIT_USAGE;
	}
	options.client =
		tool_client_new("127.0.0.1:0", (int32_t)options.timeout_ms);
	status = verb->run(&options, verb->args ? args->pdata[0] : NULL);
	tool_client_free(options.client);
	g_ptr_array_free(args, TRUE);
	g_free(name);
	return status;
}

int jobs_tool_main(int argc, char **argv)
{
	const jobs_verb_t *verb;

	if (argc < 2)
		return usage(stderr, TOOL_EXIT_USAGE);
	if (strcmp(argv[1], "--help") == 0)
		return usage(stdout, 0);
	verb = find_verb(argv[1]);
	if (!verb) {
		fprintf(stderr, "wasabilink jobs: unknown verb '%s'\n",
			argv[1]);
		return usage(stderr, TOOL_EXIT_USAGE);
	}
	return run_verb(verb, argc - 1, argv + 1);
}
