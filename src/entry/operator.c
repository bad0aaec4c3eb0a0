#include "entry/operator.h"

#include <jansson.h>
#include <string.h>

#include "base/timeline.h"
#include "entry/api_error.h"

static const char bearer[] = "Bearer ";

typedef struct line_filter {
	const entry_t *entry;
	const document_partner_t *partner;
	GString *text;
} line_filter_t;

static bool owns_name(const document_partner_t *partner, const char *name)
{
	return strcmp(partner->name, name) == 0 ||
	       document_find_workspace(partner, name) ||
	       document_find_deployment(partner, name) ||
	       document_find_service(partner, name);
}

static bool names_other_partner(const document_t *document,
				const document_partner_t *partner,
				const char *value)
{
	if (owns_name(partner, value))
		return false;
	for (guint i = 0; i < document->partners->len; i++)
		if (document->partners->pdata[i] != partner &&
		    owns_name(document->partners->pdata[i], value))
			return true;
	return false;
}

bool operator_line_names_other_partner(const document_t *document,
				       const document_partner_t *partner,
				       const char *line)
{
	/* Names contain none of these separators; see config/document_check. */
	char **words = g_strsplit_set(line, " =\"/,;()[]{}'", -1);
	bool foreign = false;

	for (char **word = words; !foreign && *word; word++)
		foreign = (*word)[0] &&
			  names_other_partner(document, partner, *word);
	g_strfreev(words);
	return foreign;
}

static void append_line(const char *line, void *user_data)
{
	line_filter_t *filter = user_data;

	if (operator_line_names_other_partner(filter->entry->document,
					      filter->partner, line))
		return;
	g_string_append(filter->text, line);
	g_string_append_c(filter->text, '\n');
}

static void handle_timeline(entry_t *entry, http_exchange_t *exchange,
			    const document_caller_t *caller)
{
	const char *since = http_query(exchange, "since");
	line_filter_t filter = { entry, NULL, NULL };

	if (!caller) {
		api_error_reply(exchange, API_UNAUTHORIZED, WORK_NOT_RUN, 0,
				"an operator's key is needed");
		return;
	}
	filter.partner = caller->partner;
	filter.text = g_string_new(NULL);
	timeline_foreach(entry->timeline,
			 since ? g_ascii_strtoll(since, NULL, 10) : 0,
			 append_line, &filter);
	http_reply(exchange, 200, "text/plain", filter.text->str,
		   filter.text->len);
	g_string_free(filter.text, TRUE);
}

static json_t *describe_members(const entry_t *entry)
{
	const GPtrArray *all = member_all(entry->members);
	json_t *array = json_array();

	for (guint i = 0; i < all->len; i++) {
		const member_t *member = all->pdata[i];

		json_array_append_new(
			array,
			json_pack("{s:s, s:s, s:s, s:I, s:I}", "address",
				  member->address, "domain", member->domain,
				  "state", member_state_name(member->state),
				  "incarnation",
				  (json_int_t)member->incarnation,
				  "config_version",
				  (json_int_t)member->config_version));
	}
	return array;
}

static void append_runners(const entry_t *entry, json_t *array,
			   const document_partner_t *partner, const char *name,
			   bool is_service)
{
	const GPtrArray *found = runner_set_find(entry->runners, partner->name,
						 name, is_service);

	for (guint i = 0; i < found->len; i++) {
		const runner_t *runner = found->pdata[i];

		json_array_append_new(
			array, json_pack("{s:s, s:s, s:s, s:i}", "address",
					 runner->address, "domain",
					 runner->domain, "deployment", name,
					 "in_flight", (int)runner->in_flight));
	}
}

static json_t *describe_runners(const entry_t *entry,
				const document_partner_t *partner)
{
	json_t *array = json_array();

	for (guint i = 0; i < partner->deployments->len; i++) {
		const document_deployment_t *deployment =
			partner->deployments->pdata[i];

		append_runners(entry, array, partner, deployment->name, false);
	}
	for (guint i = 0; i < partner->services->len; i++) {
		const document_service_t *service = partner->services->pdata[i];

		append_runners(entry, array, partner, service->name, true);
	}
	return array;
}

static void handle_status(entry_t *entry, http_exchange_t *exchange,
			  const document_caller_t *caller)
{
	const document_t *document = entry->document;
	json_t *root = json_pack("{s:s, s:s, s:b, s:b, s:{s:I, s:s}, s:o}",
				 "node", entry->options.node_id, "domain",
				 entry->options.domain, "ready",
				 document && !entry->draining, "draining",
				 entry->draining, "config", "version",
				 (json_int_t)entry->document_version, "digest",
				 document ? document->digest : "", "members",
				 describe_members(entry));
	char *text;

	if (caller) {
		json_object_set_new(root, "partner",
				    json_string(caller->partner->name));
		json_object_set_new(root, "runners",
				    describe_runners(entry, caller->partner));
	}
	text = json_dumps(root, JSON_COMPACT);
	http_reply(exchange, 200, "application/json", text, strlen(text));
	free(text);
	json_decref(root);
}

static const struct {
	const char *path;
	void (*handle)(entry_t *entry, http_exchange_t *exchange,
		       const document_caller_t *caller);
} routes[] = {
	{ "/status", handle_status },
	{ "/timeline", handle_timeline },
};

/* Rejects an invalid key also on paths that do not require one. */
static bool authenticate(const entry_t *entry, http_exchange_t *exchange,
			 const document_caller_t **caller)
{
	const char *value = http_header(exchange, "Authorization");

	*caller = NULL;
	if (!value)
		return true;
	if (!g_str_has_prefix(value, bearer) || !entry->document)
		return false;
	*caller =
		document_authenticate(entry->document, value + strlen(bearer));
	return *caller && (*caller)->is_operator;
}

bool operator_handle(entry_t *entry, http_exchange_t *exchange)
{
	const document_caller_t *caller;

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (strcmp(http_path(exchange), routes[i].path) != 0)
			continue;
		if (strcmp(http_method(exchange), "GET") != 0)
			api_error_reply(exchange, API_METHOD_NOT_ALLOWED,
					WORK_NOT_RUN, 0, "method not allowed");
		else if (!authenticate(entry, exchange, &caller))
			api_error_reply(exchange, API_UNAUTHORIZED,
					WORK_NOT_RUN, 0,
					"the operator's key is wrong");
		else
			routes[i].handle(entry, exchange, caller);
		return true;
	}
	return false;
}
