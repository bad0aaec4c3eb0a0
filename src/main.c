#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "emulator/engine.h"
#include "emulator/platform_standin.h"
#include "emulator/service.h"
#include "entry/entry.h"
#include "platform/platform.h"
#include "tool/config_tool.h"
#include "tool/jobs_tool.h"
#include "tool/load.h"
#include "tool/status_tool.h"
#include "tool/timeline_tool.h"

#define VERSION "0.1.0"

typedef struct subcommand {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
} subcommand_t;

static const subcommand_t subcommands[] = {
	{ "entry", entry_main, "serve callers and coordinate the fleet" },
	{ "gateway", platform_main, "serve callers by routes on a platform" },
	{ "platform", platform_standin_main, "stand-in for the object API" },
	{ "engine", engine_main, "model engine emulator" },
	{ "service", service_main, "plain service emulator" },
	{ "load", load_main, "send load and measure" },
	{ "config", config_tool_main, "check, show, diff, apply or promote" },
	{ "jobs", jobs_tool_main,
	  "submit, list, show, wait, cancel, output or errors" },
	{ "status", status_tool_main, "show what an entry node knows" },
	{ "timeline", timeline_tool_main, "merge log lines by time" },
	{ NULL, NULL, NULL },
};

/* argp prints this for --version. */
const char *argp_program_version = "wasabilink " VERSION;

static int usage(FILE *out, int status)
{
	fprintf(out, "Usage: wasabilink COMMAND [OPTION...]\n\nCommands:\n");
	for (const subcommand_t *c = subcommands; c->name; c++)
		fprintf(out, "  %-10s %s\n", c->name, c->help);
	fprintf(out, "\n'wasabilink COMMAND --help' lists the options.\n");
	return status;
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	if (argc < 2)
		return usage(stderr, 64);
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "help") == 0)
		return usage(stdout, 0);
	if (strcmp(argv[1], "--version") == 0) {
		puts(argp_program_version);
		return 0;
	}
	for (const subcommand_t *c = subcommands; c->name; c++)
		if (strcmp(argv[1], c->name) == 0)
			return c->run(argc - 1, argv + 1);
	fprintf(stderr, "wasabilink: unknown command '%s'\n", argv[1]);
	return usage(stderr, 64);
}
