#include "tool/config_tool.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/setting.h"
#include "config/document.h"
#include "config/document_change.h"
#include "config/document_diff.h"
#include "config/document_pack.h"
#include "object/object_store.h"
#include "tool/tool_client.h"

#define NO_VERSION (-1)
#define CHANGE_WAIT_MS 1000

typedef struct config_tool {
	char *platform;
	char *environment;
	char *from;
	char *digest;
	char *writer;
	int64_t if_version;
	int64_t timeout_ms;
	int64_t wait_ms;
	GPtrArray *args; /* files */
	tool_client_t *client;
	char *token; /* unique for this change */
} config_tool_t;

typedef struct verb {
	const char *name;
	gboolean (*run)(config_tool_t *tool, GError **error);
	const char *args_doc;
	int min_args;
	int max_args;
	gboolean needs_version;
	const char *doc;
} verb_t;

static char *config_key(const char *environment)
{
	return g_strconcat("config/", environment, NULL);
}

static gboolean read_file(const char *path, char **text, size_t *len,
			  GError **error)
{
	GError *own = NULL;

	if (!g_file_get_contents(path, text, len, &own)) {
		g_set_error(error, WL_ERROR, WL_ERROR_NOT_FOUND, "%s",
			    own->message);
		g_error_free(own);
		return FALSE;
	}
	if (*len <= DOCUMENT_MAX_BYTES)
		return TRUE;
	g_set_error(error, WL_ERROR, WL_ERROR_TOO_LARGE,
		    "%s: %zu bytes are above the limit of %d", path, *len,
		    DOCUMENT_MAX_BYTES);
	g_free(*text);
	*text = NULL;
	return FALSE;
}

static document_t *read_document(const char *path, char **text, size_t *len,
				 GError **error)
{
	document_t *document;

	if (!read_file(path, text, len, error))
		return NULL;
	document = document_parse(*text, *len, error);
	if (!document) {
		g_prefix_error(error, "%s: ", path);
		g_free(*text);
	}
	return document;
}

static gboolean unpack(tool_object_t *object, GError **error)
{
	GBytes *text = document_unpack(object->data, error);

	if (!text)
		return FALSE;
	g_bytes_unref(object->data);
	object->data = text;
	return TRUE;
}

static gboolean get_config(config_tool_t *tool, const char *environment,
			   tool_object_t *object, GError **error)
{
	char *key = config_key(environment);
	GError *own = NULL;
	gboolean ok = tool_client_get(tool->client, key, object, &own) &&
		      unpack(object, &own);

	if (!ok)
		g_set_error(error, own->domain, own->code, "%s: %s", key,
			    own->code == WL_ERROR_NOT_FOUND ?
				    "there is no document" :
				    own->message);
	g_clear_error(&own);
	g_free(key);
	return ok;
}

static char *digest_of(const tool_object_t *object)
{
	return g_compute_checksum_for_bytes(G_CHECKSUM_SHA256, object->data);
}

static gboolean run_check(config_tool_t *tool, GError **error)
{
	char *text;
	size_t len;
	document_t *document =
		read_document(tool->args->pdata[0], &text, &len, error);

	if (!document)
		return FALSE;
	printf("ok digest=%s bytes=%zu\n", document->digest, len);
	document_unref(document);
	g_free(text);
	return TRUE;
}

/* The document goes to standard output, byte by byte as it is stored. */
static gboolean run_show(config_tool_t *tool, GError **error)
{
	tool_object_t object = { 0 };
	char *digest;

	if (!get_config(tool, tool->environment, &object, error))
		return FALSE;
	digest = digest_of(&object);
	fwrite(g_bytes_get_data(object.data, NULL), 1,
	       g_bytes_get_size(object.data), stdout);
	fprintf(stderr,
		"environment=%s version=%" PRIu64 " writer=%s "
		"digest=%s\n",
		tool->environment, object.version, object.writer, digest);
	g_free(digest);
	tool_object_clear(&object);
	return TRUE;
}

static gboolean print_diff(const char *old_text, size_t old_len,
			   const char *new_text, size_t new_len, GError **error)
{
	GPtrArray *lines = document_diff_lines(old_text, old_len, new_text,
					       new_len, error);

	if (!lines)
		return FALSE;
	for (guint i = 0; i < lines->len; i++)
		puts(lines->pdata[i]);
	g_ptr_array_free(lines, TRUE);
	return TRUE;
}

/* One file is compared with the stored document, two with one another. */
static gboolean run_diff(config_tool_t *tool, GError **error)
{
	gboolean two = tool->args->len == 2;
	tool_object_t object = { 0 };
	char *old_text = NULL, *new_text;
	size_t old_len = 0, new_len;
	gboolean ok;

	if (!read_file(tool->args->pdata[two ? 1 : 0], &new_text, &new_len,
		       error))
		return FALSE;
	if (two) {
		ok = read_file(tool->args->pdata[0], &old_text, &old_len,
			       error);
	} else {
		ok = get_config(tool, tool->environment, &object, error);
		if (ok) {
			fprintf(stderr, "version=%" PRIu64 " writer=%s\n",
				object.version, object.writer);
			old_len = g_bytes_get_size(object.data);
			old_text = g_strndup(
				g_bytes_get_data(object.data, NULL), old_len);
		}
	}
	if (ok)
		ok = print_diff(old_text, old_len, new_text, new_len, error);
	tool_object_clear(&object);
	g_free(old_text);
	g_free(new_text);
	return ok;
}

/* What a change needs to be known of the time before it. */
typedef struct config_before {
	tool_object_t document;
	uint64_t change_version; /* of the change object, 0: there is none */
	gboolean known;
} config_before_t;

static void read_before(config_tool_t *tool, config_before_t *before)
{
	char *key = document_change_key(tool->environment);
	tool_object_t change = { 0 };
	GError *error = NULL;

	if (tool->if_version > 0 &&
	    get_config(tool, tool->environment, &before->document, NULL) &&
	    before->document.version == (uint64_t)tool->if_version) {
		before->known =
			tool_client_get(tool->client, key, &change, &error) ||
			g_error_matches(error, WL_ERROR, WL_ERROR_NOT_FOUND);
		before->change_version = change.version;
	}
	g_clear_error(&error);
	tool_object_clear(&change);
	g_free(key);
}

/* Without it the watchers read the whole document, so failures are ignored. */
static void write_change(config_tool_t *tool, const config_before_t *before,
			 GBytes *data, uint64_t version)
{
	document_version_t base = { .version = before->document.version,
				    .data = before->document.data };
	document_version_t to = { .version = version, .data = data };
	char *key = document_change_key(tool->environment);
	tool_object_t written = { 0 };
	GBytes *object = NULL;

	if (before->known) {
		document_version_digest(&base);
		document_version_digest(&to);
		object = document_change_encode(&base, &to);
	}
	if (object) {
		tool_client_put(tool->client, key, object,
				before->change_version, tool->token,
				CHANGE_WAIT_MS, &written, NULL);
		g_bytes_unref(object);
	}
	tool_object_clear(&written);
	g_free(key);
}

static gboolean write_config(config_tool_t *tool, GBytes *data, GError **error)
{
	char *key = config_key(tool->environment);
	char *digest = g_compute_checksum_for_bytes(G_CHECKSUM_SHA256, data);
	config_before_t before = { 0 };
	tool_object_t object = { 0 };
	GError *own = NULL;
	GBytes *stored = document_pack(data, &own);
	gboolean ok = FALSE;

	if (stored) {
		read_before(tool, &before);
		ok = tool_client_put(tool->client, key, stored,
				     (uint64_t)tool->if_version, tool->token,
				     (int32_t)tool->wait_ms, &object, &own);
		g_bytes_unref(stored);
	}
	if (ok)
		write_change(tool, &before, data, object.version);
	if (ok)
		printf("accepted environment=%s version=%" PRIu64
		       " writer=%s digest=%s\n",
		       tool->environment, object.version, tool->token, digest);
	else if (g_error_matches(own, WL_ERROR, WL_ERROR_CONFLICT))
		g_set_error(error, WL_ERROR, WL_ERROR_CONFLICT,
			    "conflict: expected version %" PRId64
			    ", but version %" PRIu64 " by writer %s is in "
			    "force; nothing was changed",
			    tool->if_version, object.version,
			    object.writer ? object.writer : "-");
	else
		g_set_error(error, own->domain, own->code, "%s: %s", key,
			    own->message);
	g_clear_error(&own);
	tool_object_clear(&before.document);
	tool_object_clear(&object);
	g_free(digest);
	g_free(key);
	return ok;
}

static gboolean run_apply(config_tool_t *tool, GError **error)
{
	char *text;
	size_t len;
	document_t *document =
		read_document(tool->args->pdata[0], &text, &len, error);
	GBytes *data;
	gboolean ok;

	if (!document)
		return FALSE;
	document_unref(document);
	data = g_bytes_new_take(text, len);
	ok = write_config(tool, data, error);
	g_bytes_unref(data);
	return ok;
}

/* The digest must be the wanted one and must have been served in trial. */
static gboolean check_trial(config_tool_t *tool, const char *digest,
			    GError **error)
{
	tool_object_t record = { 0 };
	char *key;
	gboolean ok;
	GError *own = NULL;

	if (tool->digest[0] && strcmp(tool->digest, digest) != 0) {
		g_set_error(error, WL_ERROR, WL_ERROR_CONFLICT,
			    "config/%s now has digest %s, not %s", tool->from,
			    digest, tool->digest);
		return FALSE;
	}
	key = g_strconcat("trial/", digest, NULL);
	ok = tool_client_get(tool->client, key, &record, &own);
	if (!ok && g_error_matches(own, WL_ERROR, WL_ERROR_NOT_FOUND))
		g_set_error(error, WL_ERROR, WL_ERROR_PERMISSION,
			    "refused: %s is missing, so no node has served "
			    "with this document in trial",
			    key);
	else if (!ok)
		g_set_error(error, own->domain, own->code, "%s: %s", key,
			    own->message);
	g_clear_error(&own);
	tool_object_clear(&record);
	g_free(key);
	return ok;
}

static gboolean run_promote(config_tool_t *tool, GError **error)
{
	tool_object_t trial = { 0 };
	char *digest;
	gboolean ok;

	if (!get_config(tool, tool->from, &trial, error))
		return FALSE;
	digest = digest_of(&trial);
	ok = check_trial(tool, digest, error) &&
	     write_config(tool, trial.data, error);
	g_free(digest);
	tool_object_clear(&trial);
	return ok;
}

static const verb_t verbs[] = {
	{ "check", run_check, "FILE", 1, 1, FALSE,
	  "Validates a document file." },
	{ "show", run_show, NULL, 0, 0, FALSE,
	  "Prints the stored document; its version goes to standard error." },
	{ "diff", run_diff, "[OLD-FILE] FILE", 1, 2, FALSE,
	  "Prints what differs from the stored document or from OLD-FILE." },
	{ "apply", run_apply, "FILE", 1, 1, TRUE,
	  "Stores a document if the version is still the one that was read." },
	{ "promote", run_promote, NULL, 0, 0, TRUE,
	  "Copies the document that was served in trial, byte by byte." },
};

static int usage(FILE *out, int status)
{
	fprintf(out, "Usage: wasabilink config VERB [OPTION...]\n\n");
	for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++)
		fprintf(out, "  %-8s %s\n", verbs[i].name, verbs[i].doc);
	return status;
}

static gboolean parse(config_tool_t *tool, const verb_t *verb, int argc,
		      char **argv, GError **error)
{
	const setting_t settings[] = {
		{ "platform", SETTING_STRING, &tool->platform, "127.0.0.1:7000",
		  "IP:PORT", "object API of the platform", 0, 0, 0 },
		{ "environment", SETTING_STRING, &tool->environment,
		  "production", "NAME", "environment to show or change", 0, 0,
		  0 },
		{ "from", SETTING_STRING, &tool->from, "trial", "NAME",
		  "environment to promote from", 0, 0, 0 },
		{ "digest", SETTING_STRING, &tool->digest, "", "SHA256",
		  "refuse to promote another document than this", 0, 0, 0 },
		{ "if-version", SETTING_INT, &tool->if_version, "-1", "N",
		  "version that was read, 0 for the first document", NO_VERSION,
		  INT64_MAX, 0 },
		{ "writer", SETTING_STRING, &tool->writer, "operator", "NAME",
		  "name of the operator, shown to others", 0, 0, 0 },
		{ "timeout-ms", SETTING_INT, &tool->timeout_ms, "2000", "MS",
		  "longest wait for one answer", 10, 60000, 0 },
		{ "wait-ms", SETTING_INT, &tool->wait_ms, "10000", "MS",
		  "how long to retry a write", 0, 600000, 0 },
		{ 0 },
	};
	char *name = g_strconcat("wasabilink config ", verb->name, NULL);
	const setting_program_t program = { name, verb->doc, verb->args_doc,
					    verb->min_args, verb->max_args };
	gboolean ok = setting_parse(&program, settings, argc, argv, tool->args,
				    error);

	if (ok && verb->needs_version && tool->if_version == NO_VERSION) {
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
			    "--if-version is required: the version that "
			    "'config show' told");
		ok = FALSE;
	}
	g_free(name);
	return ok;
}

static int run_verb(const verb_t *verb, int argc, char **argv)
{
	config_tool_t tool = { 0 };
	GError *error = NULL;

	tool.args = g_ptr_array_new_with_free_func(g_free);
	if (!parse(&tool, verb, argc, argv, &error)) {
		tool_fail("config", error);
		return TOOL_EXIT_USAGE;
	}
	tool.client = tool_client_new(tool.platform, (int32_t)tool.timeout_ms);
	tool.token =
		g_strdup_printf("%s/%" PRId64 "/%08x", tool.writer,
				clock_wall_ms(clock_system()), g_random_int());
	if (!verb->run(&tool, &error))
		return tool_fail("config", error);
	return 0;
}

int config_tool_main(int argc, char **argv)
{
	for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(verbs); i++)
		if (strcmp(argv[1], verbs[i].name) == 0)
			return run_verb(&verbs[i], argc - 1, argv + 1);
	if (argc > 1 && strcmp(argv[1], "--help") == 0)
		return usage(stdout, 0);
	if (argc > 1)
		fprintf(stderr, "wasabilink config: unknown verb '%s'\n",
			argv[1]);
	return usage(stderr, TOOL_EXIT_USAGE);
}
