#include "entry/batch_id.h"

#include <string.h>

#define SCOPE_DIGITS 16
/* Milliseconds since the epoch in hexadecimal, enough for 8,900 years. */
#define CREATED_DIGITS 12
#define CREATED_MASK 0xffffffffffffLL
#define KEY_DIGITS (2 * RECORD_KEY_BYTES)

static const char file_prefix[] = "file-";
static const char job_prefix[] = "batch_";
static const char *const result_marks[] = {
	[BATCH_ID_FILE] = "",
	[BATCH_ID_OUTPUT] = "out",
	[BATCH_ID_ERRORS] = "err",
};

static char *to_hex(const uint8_t *bytes, size_t len)
{
	GString *text = g_string_sized_new(2 * len);

	for (size_t i = 0; i < len; i++)
		g_string_append_printf(text, "%02x", bytes[i]);
	return g_string_free(text, FALSE);
}

static gboolean is_hex(const char *text, size_t digits)
{
	for (size_t i = 0; i < digits; i++)
		if (!g_ascii_isdigit(text[i]) &&
		    (text[i] < 'a' || text[i] > 'f'))
			return FALSE;
	return text[digits] == '\0';
}

char *batch_id_scope(const char *partner, const char *workspace)
{
	record_key_t key = record_key_make(partner, workspace, "scope", NULL);

	return to_hex(key.bytes, SCOPE_DIGITS / 2);
}

static char *caller_scope(const document_caller_t *caller)
{
	return batch_id_scope(caller->partner->name,
			      caller->workspace ? caller->workspace->name : "");
}

char *batch_id_owner_tag(const document_caller_t *caller)
{
	return g_strconcat(caller->partner->name, "/",
			   caller->workspace ? caller->workspace->name : "",
			   NULL);
}

char *batch_id_new_file(const document_caller_t *caller, int64_t created_ms)
{
	char *scope = caller_scope(caller);
	char *uuid = g_uuid_string_random();
	record_key_t key = record_key_make(scope, uuid, NULL);
	char *nonce = to_hex(key.bytes, RECORD_KEY_BYTES);
	char *id = g_strdup_printf("%s%s%0*" G_GINT64_MODIFIER "x%s",
				   file_prefix, scope, CREATED_DIGITS,
				   (gint64)(created_ms & CREATED_MASK),
				   nonce + CREATED_DIGITS);

	g_free(nonce);
	g_free(uuid);
	g_free(scope);
	return id;
}

int64_t batch_id_file_created_ms(const char *id)
{
	const char *rest = id + strlen(file_prefix) + SCOPE_DIGITS;
	char digits[CREATED_DIGITS + 1];

	if (!g_str_has_prefix(id, file_prefix) ||
	    !is_hex(id + strlen(file_prefix), SCOPE_DIGITS + KEY_DIGITS))
		return -1;
	g_strlcpy(digits, rest, sizeof(digits));
	return g_ascii_strtoll(digits, NULL, 16);
}

char *batch_id_job(const char *scope, const record_key_t *key)
{
	char *hex = to_hex(key->bytes, RECORD_KEY_BYTES);
	char *job = g_strconcat(scope, hex, NULL);

	g_free(hex);
	return job;
}

char *batch_id_results(const char *job, batch_id_kind_t kind)
{
	return g_strdup_printf("%s%.*s%s%s", file_prefix, SCOPE_DIGITS, job,
			       result_marks[kind], job + SCOPE_DIGITS);
}

/* The rest of the id after prefix and scope; NULL when either does not match. */
static const char *suffix_after_scope(const document_caller_t *caller,
				      const char *id, const char *prefix)
{
	char *scope = caller_scope(caller);
	const char *rest = NULL;

	if (g_str_has_prefix(id, prefix) &&
	    g_str_has_prefix(id + strlen(prefix), scope))
		rest = id + strlen(prefix) + SCOPE_DIGITS;
	g_free(scope);
	return rest;
}

gboolean batch_id_parse_file(const document_caller_t *caller, const char *id,
			     batch_id_kind_t *kind, char **job)
{
	const char *rest = suffix_after_scope(caller, id, file_prefix);

	*job = NULL;
	for (int i = BATCH_ID_ERRORS; rest && i >= BATCH_ID_FILE; i--) {
		if (!g_str_has_prefix(rest, result_marks[i]) ||
		    !is_hex(rest + strlen(result_marks[i]), KEY_DIGITS))
			continue;
		*kind = (batch_id_kind_t)i;
		if (i != BATCH_ID_FILE)
			*job = g_strdup_printf("%.*s%s", SCOPE_DIGITS,
					       id + strlen(file_prefix),
					       rest + strlen(result_marks[i]));
		return TRUE;
	}
	return FALSE;
}

char *batch_id_parse_job(const document_caller_t *caller, const char *id)
{
	const char *rest = suffix_after_scope(caller, id, job_prefix);

	return rest && is_hex(rest, KEY_DIGITS) ?
		       g_strdup(id + strlen(job_prefix)) :
		       NULL;
}

gboolean batch_id_key(const char *job, record_key_t *key)
{
	if (strlen(job) != SCOPE_DIGITS + KEY_DIGITS ||
	    !is_hex(job, SCOPE_DIGITS + KEY_DIGITS))
		return FALSE;
	job += SCOPE_DIGITS;
	for (int i = 0; i < RECORD_KEY_BYTES; i++)
		key->bytes[i] =
			(uint8_t)(g_ascii_xdigit_value(job[2 * i]) << 4 |
				  g_ascii_xdigit_value(job[2 * i + 1]));
	return TRUE;
}
