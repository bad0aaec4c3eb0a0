#include "gateway/job_quota.h"

#include <inttypes.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"

/* Share of the quota up to which a view that is some seconds stale is
 * sufficient. */
#define STALE_VIEW_SHARE 0.4
#define LIST_PAGE_ENTRIES 500

typedef struct check {
	job_context_t *context;
	char *host;
	char *prefix;
	char *id;
	char *after;
	int64_t quota;
	int64_t tokens;
	int64_t waiting;
	bool already_stored; /* the store already has the job */
	job_quota_done_t done;
	void *user_data;
} quota_check_t;

static void finish(quota_check_t *check, bool fits)
{
	log_info("quota_checked",
		 "job=%s tokens=%" PRId64 " waiting=%" PRId64 " quota=%" PRId64
		 " fits=%d",
		 check->id, check->tokens, check->waiting, check->quota, fits);
	check->done(fits, check->user_data);
	g_free(check->host);
	g_free(check->prefix);
	g_free(check->id);
	g_free(check->after);
	g_free(check);
}

static void add_job(quota_check_t *check, const object_entry_t *entry)
{
	job_record_t *record =
		job_record_decode(entry->data, strlen(entry->data));

	if (!record)
		return;
	if (strcmp(entry->key + strlen(JOB_RECORD_PREFIX), check->id) == 0)
		check->already_stored = true;
	else if (!record->ended && strcmp(record->host, check->host) == 0 &&
		 g_str_has_prefix(record->path, check->prefix))
		check->waiting += record->waiting_tokens;
	job_record_free(record);
}

static void list_next_page(quota_check_t *check);

static void on_page_listed(const object_listing_t *listing, const GError *error,
			   void *user_data)
{
	quota_check_t *check = user_data;

	if (error) {
		/* The waiting tokens are unknown, so the job is not
		 * accepted. */
		log_warn("quota_unknown", "job=%s error=%s", check->id,
			 error_name(error->code));
		finish(check, false);
		return;
	}
	for (guint i = 0; i < listing->entries->len; i++)
		add_job(check,
			&g_array_index(listing->entries, object_entry_t, i));
	if (listing->more && listing->entries->len > 0) {
		g_free(check->after);
		check->after =
			g_strdup(g_array_index(listing->entries, object_entry_t,
					       listing->entries->len - 1)
					 .key);
		list_next_page(check);
		return;
	}
	finish(check, check->already_stored ||
			      check->waiting + check->tokens <= check->quota);
}

static void list_next_page(quota_check_t *check)
{
	object_list(check->context->store, JOB_RECORD_PREFIX, check->after,
		    LIST_PAGE_ENTRIES, on_page_listed, check);
}

void job_quota_check(job_context_t *context, job_table_t *table,
		     const path_route_t *route, const char *id, int64_t tokens,
		     job_quota_done_t done, void *user_data)
{
	int64_t quota = route->max_waiting_tokens;
	quota_check_t *check;

	if (quota == 0) {
		done(true, user_data);
		return;
	}
	if ((double)(job_table_waiting_tokens(table, route) + tokens) <=
	    (double)quota * STALE_VIEW_SHARE) {
		done(true, user_data);
		return;
	}
	check = g_new0(quota_check_t, 1);
	check->context = context;
	check->host = g_strdup(route->host);
	check->prefix = g_strdup(route->prefix);
	check->id = g_strdup(id);
	check->quota = quota;
	check->tokens = tokens;
	check->done = done;
	check->user_data = user_data;
	list_next_page(check);
}
