#include "entry/collection.h"

#include <string.h>

#include "entry/api_error.h"

void collection_handle(entry_t *entry, http_exchange_t *exchange,
		       const document_caller_t *caller, const char *root,
		       const collection_route_t *routes)
{
	char **segments =
		g_strsplit(http_path(exchange) + strlen(root), "/", 4);
	guint count = g_strv_length(segments);
	const char *id = count > 1 ? segments[1] : "";
	const char *subresource = count > 2 ? segments[2] : "";
	bool path_known = false;

	for (; count <= 3 && routes->method; routes++) {
		if (routes->has_id != (*id != '\0') ||
		    strcmp(routes->subresource, subresource) != 0)
			continue;
		path_known = true;
		if (strcmp(routes->method, http_method(exchange)) != 0)
			continue;
		routes->handler(entry, exchange, caller, id);
		g_strfreev(segments);
		return;
	}
	g_strfreev(segments);
	api_error_reply(exchange,
			path_known ? API_METHOD_NOT_ALLOWED : API_NOT_FOUND,
			WORK_NOT_RUN, 0,
			path_known ? "method not allowed" : "no such path");
}
