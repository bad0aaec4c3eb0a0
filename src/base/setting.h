#ifndef WASABILINK_BASE_SETTING_H
#define WASABILINK_BASE_SETTING_H

#include <glib.h>
#include <stdint.h>

/*
 * setting - command-line flags and environment variables by one table.
 *
 * A table describes each setting once: flag name, default, type and target.
 * Order of precedence: flag, then WASABILINK_<NAME> (upper case, '-' becomes
 * '_'), then the default. Errors name the flag or the variable.
 */
typedef enum setting_kind {
	SETTING_STRING, /* char **, set to a newly allocated string */
	SETTING_INT, /* int64_t *, within min..max */
	SETTING_PORT, /* uint16_t *, 0..65535 */
	SETTING_BOOL, /* bool *, true/false/1/0; the flag alone means true */
	SETTING_DOUBLE /* double *, within min..max */
} setting_kind_t;

typedef struct setting {
	const char *name;
	setting_kind_t kind;
	void *target;
	const char *default_value; /* NULL: required unless optional */
	const char *argument; /* name of the argument in --help */
	const char *help;
	int64_t min;
	int64_t max;
	int optional;
} setting_t;

typedef struct setting_program {
	const char *usage; /* e.g. "wasabilink entry" */
	const char *doc;
	const char *args_doc; /* positional arguments, or NULL */
	int min_args;
	int max_args;
} setting_program_t;

/*
 * Parses argv (argv[0] is the subcommand) and the environment into the
 * targets. The table ends with a NULL name. Positional arguments are added to
 * args when it is given. --help and --version print and exit 0. Returns FALSE
 * with WL_ERROR_INVALID for an unknown flag, a bad or missing value.
 */
gboolean setting_parse(const setting_program_t *program,
		       const setting_t *settings, int argc, char **argv,
		       GPtrArray *args, GError **error);

#endif
