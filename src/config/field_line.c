#include "config/field_line.h"

#include <jansson.h>
#include <string.h>

typedef struct scanner {
	const char *at;
	const char *end;
	int line;
} scanner_t;

static void skip_blanks(scanner_t *scanner)
{
	for (; scanner->at < scanner->end; scanner->at++) {
		if (*scanner->at == '\n')
			scanner->line++;
		else if (!strchr(" \t\r,:", *scanner->at))
			return;
	}
}

/* Leaves the scanner after the string; no newline can be inside. */
static void skip_string(scanner_t *scanner)
{
	for (scanner->at++; scanner->at < scanner->end; scanner->at++) {
		if (*scanner->at == '\\')
			scanner->at++;
		else if (*scanner->at == '"')
			break;
	}
	if (scanner->at < scanner->end)
		scanner->at++;
}

static void skip_scalar(scanner_t *scanner)
{
	if (*scanner->at == '"') {
		skip_string(scanner);
		return;
	}
	while (scanner->at < scanner->end &&
	       !strchr(",:{}[] \t\r\n", *scanner->at))
		scanner->at++;
}

static void skip_value(scanner_t *scanner)
{
	int depth = 0;

	do {
		skip_blanks(scanner);
		if (scanner->at >= scanner->end)
			return;
		if (strchr("{[", *scanner->at)) {
			depth++;
			scanner->at++;
		} else if (strchr("}]", *scanner->at)) {
			depth--;
			scanner->at++;
		} else {
			skip_scalar(scanner);
		}
	} while (depth > 0);
}

/* Compares a member's name; one with escapes is decoded first. */
static gboolean name_equals(const char *start, const char *end,
			    const char *name)
{
	size_t len = (size_t)(end - start);
	json_t *decoded;
	gboolean equal;

	if (!memchr(start, '\\', len))
		return len == strlen(name) + 2 &&
		       memcmp(start + 1, name, len - 2) == 0;
	decoded = json_loadb(start, len, JSON_DECODE_ANY, NULL);
	equal = g_strcmp0(json_string_value(decoded), name) == 0;
	json_decref(decoded);
	return equal;
}

static gboolean enter_member(scanner_t *scanner, const char *name)
{
	scanner->at++;
	for (skip_blanks(scanner);
	     scanner->at < scanner->end && *scanner->at == '"';
	     skip_blanks(scanner)) {
		const char *start = scanner->at;

		skip_string(scanner);
		if (name_equals(start, scanner->at, name)) {
			skip_blanks(scanner);
			return TRUE;
		}
		skip_value(scanner);
	}
	return FALSE;
}

static gboolean enter_element(scanner_t *scanner, guint64 index)
{
	scanner->at++;
	for (skip_blanks(scanner);
	     scanner->at < scanner->end && *scanner->at != ']';
	     skip_blanks(scanner)) {
		if (index-- == 0)
			return TRUE;
		skip_value(scanner);
	}
	return FALSE;
}

int field_line_find(const char *text, size_t len, const GPtrArray *path)
{
	scanner_t scanner = { text, text + len, 1 };
	int line;

	skip_blanks(&scanner);
	line = scanner.line;
	for (guint i = 0; i < path->len && scanner.at < scanner.end; i++) {
		const char *step = path->pdata[i];
		gboolean found = FALSE;

		if (*scanner.at == '{')
			found = enter_member(&scanner, step);
		else if (*scanner.at == '[')
			found = enter_element(&scanner,
					      g_ascii_strtoull(step, NULL, 10));
		if (!found)
			break;
		line = scanner.line;
	}
	return line;
}
