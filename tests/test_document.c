#include "config/document.h"

#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "unit.h"

#define HEX "0000000000000000000000000000000000000000000000000000000000000000"
#define HEX2 "1111111111111111111111111111111111111111111111111111111111111111"

/* printf template; %s is put into partner g after its workspaces. */
static const char template[] = "{\"partners\":\n"
			       " {\"g\":\n"
			       "  {\"workspaces\": {\"w\": {\"weight\": 2}},\n"
			       "   %s}}}\n";

static char *with(const char *members)
{
	return g_strdup_printf(template, members);
}

static void check_refused(const char *members, const char *message)
{
	char *text = with(members);
	GError *error = NULL;
	document_t *document = document_parse(text, strlen(text), &error);

	CU_ASSERT_PTR_NULL(document);
	CU_ASSERT_FATAL(error != NULL);
	CU_ASSERT(g_error_matches(error, WL_ERROR, WL_ERROR_INVALID));
	if (!strstr(error->message, message))
		printf("got '%s', want '%s'\n", error->message, message);
	CU_ASSERT_PTR_NOT_NULL(strstr(error->message, message));
	g_error_free(error);
	g_free(text);
}

/* Each mistake must be refused with the field's path and line. */
static void test_refusals(void)
{
	check_refused("\"x\": 1", "partners.g.x, line 4: unknown member");
	check_refused("\"limits\":\n{\"max_concurrent\": \"4\"}",
		      "partners.g.limits.max_concurrent, line 5: must be an "
		      "integer from 0");
	check_refused("\"limits\": {\"max_concurrent\": -1}",
		      "must be an integer from 0");
	check_refused("\"limits\": {\"tokens_per_minute\": 1.5}",
		      "must be an integer from 0");
	check_refused("\"callers\": {}", "partners.g.callers, line 4: must be "
					 "an array");
	check_refused("\"callers\": [{\"name\": \"c\", \"key_sha256\": \"" HEX
		      "\",\n\"workspace\": \"v\"}]",
		      "partners.g.callers[0].workspace, line 5: there is no "
		      "workspace 'v'");
	check_refused("\"callers\": [{\"name\": \"c\"}]",
		      "partners.g.callers[0], line 4: member 'key_sha256' is "
		      "missing");
	check_refused(
		"\"operators\": [\n{\"name\": \"c\", \"key_sha256\": \"" HEX
		"\"},\n{\"name\": \"c\", \"key_sha256\": \"" HEX2 "\"}]",
		"partners.g.operators[1], line 6: duplicate name 'c'");
	check_refused("\"operators\": [{\"name\": \"c\", \"key_sha256\": \"" HEX
		      "\"},\n{\"name\": \"d\", \"key_sha256\": \"" HEX "\"}]",
		      "partners.g.operators[1].key_sha256, line 5: another");
	check_refused("\"operators\": [{\"name\": \"c\", \"key_sha256\": "
		      "\"ABC\"}]",
		      "must be a SHA-256");
	check_refused("\"deployments\": {\"d\": {\"model\": \"m\"}}",
		      "partners.g.deployments.d, line 4: member 'version' is "
		      "missing");
	check_refused("\"deployments\": {\"d\": {\"model\": \"m\", "
		      "\"version\": \"1\", \"fencing\": 1}}",
		      "must be true or false");
	check_refused("\"deployments\": {\"d e\": {}}",
		      "partners.g.deployments, line 4: 'd e' is not a name");
	/* A slash would make keys of two tenants equal. */
	check_refused("\"deployments\": {\"d/e\": {}}", "'d/e' is not a name");
	check_refused("\"services\": {\"s\": {\"routes\": [{\"path\": \"p\", "
		      "\"repeatable\": true}]}}",
		      "partners.g.services.s.routes[0].path, line 4: must be a "
		      "string that starts");
	check_refused(
		"\"services\": {\"s\": {\"routes\": [{\"path\": \"/p\"}]}}",
		"member 'repeatable' is missing");
	check_refused("\"workspaces\": {}", "line 4: duplicate object key");
	check_refused("\"limits\": }", "line 4: unexpected token");
}

/* A name with escapes or look-alike members must not shift the line. */
static void test_lines_with_escapes(void)
{
	check_refused("\"limits\": {\"max_concurrent\": 1},\n"
		      "\"serv\\u0069ces\": {\"s\": {\"routes\": [\n"
		      "{\"path\": \"/{[\\\"\", \"repeatable\": true},\n"
		      "{\"path\": \"/q\", \"repeatable\": 3}]}}",
		      "routes[1].repeatable, line 7: must be true or false");
}

static void test_valid(void)
{
	char *text = with("\"callers\": [{\"name\": \"c\", \"workspace\": "
			  "\"w\", \"key_sha256\": "
			  "\"2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1d"
			  "c30e73f826b683\"}]");
	GError *error = NULL;
	document_t *document = document_parse(text, strlen(text), &error);
	const document_caller_t *caller;

	CU_ASSERT_FATAL(document != NULL);
	/* SHA-256 of "key". */
	caller = document_authenticate(document, "key");
	CU_ASSERT_FATAL(caller != NULL);
	CU_ASSERT_STRING_EQUAL(caller->name, "c");
	CU_ASSERT_DOUBLE_EQUAL(caller->workspace->weight, 2, 0);
	CU_ASSERT_PTR_NULL(document_authenticate(document, "other"));
	CU_ASSERT_PTR_EQUAL(document_find_workspace(caller->partner, "w"),
			    caller->workspace);
	document_unref(document);
	g_free(text);
}

/* Parsing must not be quadratic in the number of workspaces. */
static void test_large(void)
{
	GString *text = g_string_new("{\"partners\":{\"g\":{\"workspaces\":{");
	document_t *document;
	GError *error = NULL;

	for (int i = 0; i < 10000; i++)
		g_string_append_printf(text, "%s\"w%d\":{}", i ? "," : "", i);
	g_string_append(text, "},\"callers\":[");
	for (int i = 0; i < 5000; i++)
		g_string_append_printf(text,
				       "%s{\"name\":\"c%d\",\"workspace\":"
				       "\"w%d\",\"key_sha256\":\"%064x\"}",
				       i ? ",\n" : "", i, i * 2, i);
	g_string_append(text, "]}}}");
	document = document_parse(text->str, text->len, &error);
	CU_ASSERT_FATAL(document != NULL);
	CU_ASSERT_EQUAL(document_find_partner(document, "g")->workspaces->len,
			10000);
	CU_ASSERT_PTR_NOT_NULL(document_find_workspace(
		document_find_partner(document, "g"), "w9999"));
	document_unref(document);
	g_string_free(text, TRUE);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "refusals name field and line", test_refusals },
		{ "lines with escapes", test_lines_with_escapes },
		{ "valid document", test_valid },
		{ "10,000 workspaces", test_large },
		{ NULL, NULL },
	};

	return unit_run("document", tests);
}
