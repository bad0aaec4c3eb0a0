#include "base/setting.h"

#include <argp.h>
#include <errno.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

/* Keys below this value are argp's own or printable short options. */
#define KEY_BASE 1000

typedef struct parse_state {
	const setting_program_t *program;
	const setting_t *settings;
	int count;
	bool *given;
	GPtrArray *args;
	int arg_count;
	GError *error;
} parse_state_t;

static char *env_name(const char *flag)
{
	char *name = g_strconcat("WASABILINK_", flag, NULL);

	for (char *c = name; *c; c++)
		*c = *c == '-' ? '_' : g_ascii_toupper(*c);
	return name;
}

static bool parse_int(const char *text, int64_t min, int64_t max, int64_t *out)
{
	char *end;

	errno = 0;
	*out = strtoll(text, &end, 10);
	return errno == 0 && end != text && *end == '\0' && *out >= min &&
	       *out <= max;
}

static bool parse_bool(const char *text, bool *out)
{
	*out = strcmp(text, "true") == 0 || strcmp(text, "1") == 0;
	return *out || strcmp(text, "false") == 0 || strcmp(text, "0") == 0;
}

static gboolean assign(const setting_t *setting, const char *text,
		       const char *source, GError **error)
{
	int64_t number = 0;
	double real;
	char *end;

	switch (setting->kind) {
	case SETTING_STRING:
		g_free(*(char **)setting->target);
		*(char **)setting->target = g_strdup(text);
		return TRUE;
	case SETTING_INT:
		if (!parse_int(text, setting->min, setting->max, &number))
			break;
		*(int64_t *)setting->target = number;
		return TRUE;
	case SETTING_PORT:
		if (!parse_int(text, 0, 65535, &number))
			break;
		*(uint16_t *)setting->target = (uint16_t)number;
		return TRUE;
	case SETTING_BOOL:
		if (!parse_bool(text, setting->target))
			break;
		return TRUE;
	case SETTING_DOUBLE:
		real = g_ascii_strtod(text, &end);
		if (end == text || *end != '\0' || real < setting->min ||
		    real > setting->max)
			break;
		*(double *)setting->target = real;
		return TRUE;
	}
	if (setting->kind == SETTING_INT || setting->kind == SETTING_DOUBLE)
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
			    "%s: '%s' is not a number from %" PRId64
			    " to %" PRId64,
			    source, text, setting->min, setting->max);
	else
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
			    "%s: bad value '%s'", source, text);
	return FALSE;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	parse_state_t *parse = state->input;

	if (key == ARGP_KEY_ARG) {
		if (!parse->args ||
		    parse->arg_count >= parse->program->max_args)
			argp_error(state, "unexpected argument '%s'", arg);
		parse->arg_count++;
		g_ptr_array_add(parse->args, g_strdup(arg));
		return 0;
	}
	if (key == ARGP_KEY_END) {
		if (parse->arg_count < parse->program->min_args)
			argp_error(state, "missing argument");
		return 0;
	}
	/* argp's special keys are far above the table's. */
	if (key < KEY_BASE || key >= KEY_BASE + parse->count)
		return ARGP_ERR_UNKNOWN;
	const setting_t *setting = &parse->settings[key - KEY_BASE];
	char *source = g_strconcat("--", setting->name, NULL);

	parse->given[key - KEY_BASE] = true;
	if (!parse->error)
		assign(setting, arg ? arg : "true", source, &parse->error);
	g_free(source);
	return 0;
}

static gboolean apply_environment(const setting_t *setting, GError **error)
{
	char *name = env_name(setting->name);
	const char *value = getenv(name);
	gboolean ok = TRUE;

	if (value)
		ok = assign(setting, value, name, error);
	else if (setting->default_value)
		ok = assign(setting, setting->default_value, name, error);
	else if (!setting->optional) {
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
			    "--%s (or %s) is required", setting->name, name);
		ok = FALSE;
	}
	g_free(name);
	return ok;
}

gboolean setting_parse(const setting_program_t *program,
		       const setting_t *settings, int argc, char **argv,
		       GPtrArray *args, GError **error)
{
	int count = 0;

	while (settings[count].name)
		count++;

	struct argp_option *options = g_new0(struct argp_option, count + 1);
	GPtrArray *docs = g_ptr_array_new_with_free_func(g_free);
	bool *given = g_new0(bool, count);
	parse_state_t parse = {
		program, settings, count, given, args, 0, NULL
	};

	for (int i = 0; i < count; i++) {
		char *name = env_name(settings[i].name);

		g_ptr_array_add(
			docs,
			g_strdup_printf(
				"%s [%s%s%s]", settings[i].help, name,
				settings[i].default_value ? ", default " : "",
				settings[i].default_value ?
					settings[i].default_value :
					""));
		g_free(name);
		options[i].name = settings[i].name;
		options[i].key = KEY_BASE + i;
		options[i].arg = settings[i].argument;
		options[i].doc = docs->pdata[i];
		if (settings[i].kind == SETTING_BOOL)
			options[i].flags = OPTION_ARG_OPTIONAL;
	}

	struct argp argp = { options,	   parse_option, program->args_doc,
			     program->doc, NULL,	 NULL,
			     NULL };
	char *saved_name = argv[0];

	argv[0] = (char *)program->usage;
	argp_err_exit_status = 64; /* EX_USAGE of sysexits(3) */
	argp_parse(&argp, argc, argv, 0, NULL, &parse);
	argv[0] = saved_name;

	gboolean ok = parse.error == NULL;

	for (int i = 0; ok && i < count; i++)
		if (!given[i])
			ok = apply_environment(&settings[i], &parse.error);
	if (!ok)
		g_propagate_error(error, parse.error);
	g_free(options);
	g_free(given);
	g_ptr_array_free(docs, TRUE);
	return ok;
}
