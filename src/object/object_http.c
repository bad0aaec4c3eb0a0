#include "object/object_http.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "object/object_answer.h"

/* Slack on top of a watch's own time for the answer to arrive. */
#define WATCH_GRACE_MS 2000

typedef struct object_http {
	object_store_t base; /* first member */
	http_client_t *client;
	char *address;
	int32_t timeout_ms;
} object_http_t;

typedef struct pending {
	char *key;
	object_done_t done;
	object_list_done_t list_done;
	object_vms_done_t vms_done;
	void *user_data;
} pending_t;

static void pending_free(pending_t *pending)
{
	g_free(pending->key);
	g_free(pending);
}

static uint64_t version_header(const http_response_t *answer)
{
	const char *text =
		http_response_header(answer->call, "X-Object-Version");

	return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

static void on_object_done(const http_response_t *answer, void *user_data)
{
	pending_t *pending = user_data;
	GError *error = object_answer_error(answer);
	object_value_t value = { .key = pending->key };
	gboolean has_value =
		!error || g_error_matches(error, WL_ERROR, WL_ERROR_CONFLICT);

	if (has_value) {
		value.version = version_header(answer);
		value.writer =
			http_response_header(answer->call, "X-Object-Writer");
		value.data = answer->body;
		value.len = answer->body_len;
	}
	pending->done(has_value ? &value : NULL, error, pending->user_data);
	g_clear_error(&error);
	pending_free(pending);
}

static void on_list_done(const http_response_t *answer, void *user_data)
{
	pending_t *pending = user_data;
	GError *error = object_answer_error(answer);
	object_listing_t listing = { 0 };

	if (!error && object_answer_listing(answer->body, answer->body_len,
					    &listing, &error)) {
		pending->list_done(&listing, NULL, pending->user_data);
		object_entries_free(listing.entries);
	} else {
		pending->list_done(NULL, error, pending->user_data);
		g_error_free(error);
	}
	pending_free(pending);
}

static void on_vms_done(const http_response_t *answer, void *user_data)
{
	pending_t *pending = user_data;
	GError *error = object_answer_error(answer);
	GArray *vms = error ? NULL :
			      object_answer_vms(answer->body, answer->body_len,
						&error);

	pending->vms_done(vms, error, pending->user_data);
	if (vms)
		object_vms_free(vms);
	g_clear_error(&error);
	pending_free(pending);
}

static void start(object_http_t *store, http_request_options_t *options)
{
	options->address = store->address;
	if (!options->timeout_ms)
		options->timeout_ms = store->timeout_ms;
	http_call_start(store->client, options);
}

static pending_t *pending_new(const char *key, void *user_data)
{
	pending_t *pending = g_new0(pending_t, 1);

	pending->key = g_strdup(key);
	pending->user_data = user_data;
	return pending;
}

static void object_request(object_store_t *base, const char *method,
			   const char *key, const char *const *headers,
			   const void *data, size_t len, object_done_t done,
			   void *user_data)
{
	pending_t *pending = pending_new(key, user_data);
	char *escaped = g_uri_escape_string(key, "/", FALSE);
	char *target = g_strconcat("/v1/objects/", escaped, NULL);
	http_request_options_t options = {
		.method = method,
		.target = target,
		.headers = headers,
		.body = data,
		.body_len = len,
		.on_done = on_object_done,
		.user_data = pending,
	};

	pending->done = done;
	start((object_http_t *)base, &options);
	g_free(target);
	g_free(escaped);
}

static void http_get(object_store_t *base, const char *key, object_done_t done,
		     void *user_data)
{
	object_request(base, "GET", key, NULL, NULL, 0, done, user_data);
}

static void http_put(object_store_t *base, const char *key, const void *data,
		     size_t len, uint64_t if_version, const char *writer,
		     object_done_t done, void *user_data)
{
	char version[24];
	const char *headers[] = { "If-Match",
				  version,
				  "X-Object-Writer",
				  writer ? writer : "-",
				  "Content-Type",
				  "application/octet-stream",
				  NULL };

	snprintf(version, sizeof(version), "%" PRIu64, if_version);
	object_request(base, "PUT", key, headers, data, len, done, user_data);
}

static void http_remove(object_store_t *base, const char *key,
			uint64_t if_version, object_done_t done,
			void *user_data)
{
	char version[24];
	const char *headers[] = { "If-Match", version, NULL };

	snprintf(version, sizeof(version), "%" PRIu64, if_version);
	object_request(base, "DELETE", key, headers, NULL, 0, done, user_data);
}

static void list_request(object_store_t *base, char *target, int32_t timeout_ms,
			 object_list_done_t done, void *user_data)
{
	pending_t *pending = pending_new("", user_data);
	http_request_options_t options = {
		.method = "GET",
		.target = target,
		.timeout_ms = timeout_ms,
		.on_done = on_list_done,
		.user_data = pending,
	};

	pending->list_done = done;
	start((object_http_t *)base, &options);
	g_free(target);
}

static void http_list(object_store_t *base, const char *prefix,
		      const char *after, uint32_t limit,
		      object_list_done_t done, void *user_data)
{
	char *p = g_uri_escape_string(prefix, NULL, FALSE);
	char *a = g_uri_escape_string(after ? after : "", NULL, FALSE);

	list_request(base,
		     g_strdup_printf("/v1/objects?prefix=%s&after=%s&limit=%u",
				     p, a, limit),
		     0, done, user_data);
	g_free(p);
	g_free(a);
}

static void http_watch(object_store_t *base, const char *prefix, uint64_t since,
		       int32_t timeout_ms, object_list_done_t done,
		       void *user_data)
{
	char *p = g_uri_escape_string(prefix, NULL, FALSE);

	list_request(base,
		     g_strdup_printf("/v1/watch?prefix=%s&since=%" PRIu64
				     "&timeout_ms=%d",
				     p, since, timeout_ms),
		     timeout_ms + WATCH_GRACE_MS, done, user_data);
	g_free(p);
}

static void http_vms(object_store_t *base, object_vms_done_t done,
		     void *user_data)
{
	pending_t *pending = pending_new("", user_data);
	http_request_options_t options = {
		.method = "GET",
		.target = "/v1/vms",
		.on_done = on_vms_done,
		.user_data = pending,
	};

	pending->vms_done = done;
	start((object_http_t *)base, &options);
}

static void http_destroy(object_store_t *base)
{
	object_http_t *store = (object_http_t *)base;

	g_free(store->address);
	g_free(store);
}

static const object_store_ops_t http_ops = {
	.get = http_get,
	.put = http_put,
	.remove = http_remove,
	.list = http_list,
	.watch = http_watch,
	.vms = http_vms,
	.destroy = http_destroy,
};

object_store_t *object_http_new(const object_http_options_t *options)
{
	object_http_t *store = g_new0(object_http_t, 1);

	store->base.ops = &http_ops;
	store->client = options->client;
	store->address = g_strdup(options->address);
	store->timeout_ms = options->timeout_ms;
	return &store->base;
}
