#include "tool/timeline_tool.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "base/setting.h"
#include "base/timeline.h"
#include "tool/job_timeline.h"
#include "tool/tool_client.h"

typedef struct timeline_options {
	char *nodes;
	char *key;
	char *match;
	char *job;
	int64_t since_ms;
	int64_t timeout_ms;
	GPtrArray *files;
} timeline_options_t;

typedef struct entry {
	int64_t stamp;
	guint order;
	char *line;
} entry_t;

static void entry_clear(void *data)
{
	g_free(((entry_t *)data)->line);
}

static void add_lines(GArray *entries, const char *text, int64_t since_ms,
		      const char *match)
{
	char **lines = g_strsplit(text, "\n", -1);
	int64_t stamp = 0;

	for (char **line = lines; *line; line++) {
		int64_t own = timeline_stamp(*line);
		entry_t entry = { 0 };

		stamp = own >= 0 ? own : stamp;
		if (!(*line)[0] || stamp < since_ms || !strstr(*line, match))
			continue;
		entry.stamp = stamp;
		entry.order = entries->len;
		entry.line = g_strdup(*line);
		g_array_append_val(entries, entry);
	}
	g_strfreev(lines);
}

static int compare_entries(const void *a, const void *b)
{
	const entry_t *left = a;
	const entry_t *right = b;

	if (left->stamp != right->stamp)
		return left->stamp < right->stamp ? -1 : 1;
	return left->order < right->order ? -1 : left->order > right->order;
}

static int add_file(const timeline_options_t *options, GArray *entries,
		    const char *path)
{
	GError *error = NULL;
	char *text;

	if (!g_file_get_contents(path, &text, NULL, &error))
		return tool_fail("timeline", error);
	add_lines(entries, text, options->since_ms, options->match);
	g_free(text);
	return 0;
}

static int add_node(const timeline_options_t *options, GArray *entries,
		    tool_client_t *client, const char *address)
{
	char *target =
		g_strdup_printf("/timeline?since=%" PRId64, options->since_ms);
	GError *error = NULL;
	char *text = tool_client_fetch(client, address, target, options->key,
				       &error);

	g_free(target);
	if (!text)
		return tool_fail("timeline", error);
	add_lines(entries, text, options->since_ms, options->match);
	g_free(text);
	return 0;
}

static void print_lines(const GArray *entries)
{
	for (guint i = 0; i < entries->len; i++)
		puts(g_array_index(entries, entry_t, i).line);
}

static void print_job(const GArray *entries, const char *job)
{
	job_timeline_t *timeline = job_timeline_new(job);
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < entries->len; i++)
		job_timeline_add(timeline,
				 g_array_index(entries, entry_t, i).line, text);
	job_timeline_end(timeline, text);
	fputs(text->str, stdout);
	g_string_free(text, TRUE);
	job_timeline_free(timeline);
}

static int run(const timeline_options_t *options)
{
	GArray *entries = g_array_new(FALSE, FALSE, sizeof(entry_t));
	tool_client_t *client =
		tool_client_new("127.0.0.1:0", (int32_t)options->timeout_ms);
	char **nodes = g_strsplit(options->nodes, ",", -1);
	int status = 0;

	g_array_set_clear_func(entries, entry_clear);
	for (guint i = 0; i < options->files->len; i++) {
		int rc = add_file(options, entries, options->files->pdata[i]);

		status = status ? status : rc;
	}
	for (char **node = nodes; *node; node++) {
		int rc = (*node)[0] ?
				 add_node(options, entries, client, *node) :
				 0;

		status = status ? status : rc;
	}
	g_array_sort(entries, compare_entries);
	if (options->job[0])
		print_job(entries, options->job);
	else
		print_lines(entries);
	g_strfreev(nodes);
	tool_client_free(client);
	g_array_free(entries, TRUE);
	return status;
}

int timeline_tool_main(int argc, char **argv)
{
	timeline_options_t options = { 0 };
	const setting_t settings[] = {
		{ "node", SETTING_STRING, &options.nodes, "", "IP:PORT,...",
		  "operator ports of entry nodes", 0, 0, 0 },
		{ "key", SETTING_STRING, &options.key, "", "KEY",
		  "operator's key; better given by the environment", 0, 0, 0 },
		{ "match", SETTING_STRING, &options.match, "", "TEXT",
		  "only lines that hold this text, such as request=r-17", 0, 0,
		  0 },
		{ "job", SETTING_STRING, &options.job, "", "ID",
		  "the life of a batch job of a gateway, with its gaps", 0, 0,
		  0 },
		{ "since", SETTING_INT, &options.since_ms, "0", "MS",
		  "only lines from this time on, ms since the epoch", 0,
		  INT64_MAX, 0 },
		{ "timeout-ms", SETTING_INT, &options.timeout_ms, "5000", "MS",
		  "longest wait for a node", 10, 60000, 0 },
		{ 0 },
	};
	const setting_program_t program = {
		.usage = "wasabilink timeline",
		.doc = "Merges the log lines of several processes by time.",
		.args_doc = "[FILE...]",
		.max_args = 10000,
	};
	GError *error = NULL;

	options.files = g_ptr_array_new_with_free_func(g_free);
	if (!setting_parse(&program, settings, argc, argv, options.files,
			   &error)) {
		tool_fail("timeline", error);
		return TOOL_EXIT_USAGE;
	}
	if (options.files->len == 0 && !options.nodes[0]) {
		fprintf(stderr, "wasabilink timeline: name files or --node\n");
		return TOOL_EXIT_USAGE;
	}
	return run(&options);
}
