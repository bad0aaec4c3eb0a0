#include "entry/config_follow.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "config/document_diff.h"
#include "config/document_change.h"
#include "config/document_pack.h"
#include "coord/follower.h"
#include "rpc/config_xdr.h"

/* A watch that the store does not answer looks like one without changes. This
 * bounds for how long, with the time for another listing, if no other node has
 * the change either. */
#define WATCH_TIMEOUT_MS 4000
#define FETCH_TIMEOUT_MS 3000
/* Versions kept as bases of differences; at most 1 MB each. */
#define MAX_HISTORY_VERSIONS 8
#define TRIAL_SERVING_PERIOD_MS 1000
#define CHANGE_RETRY_DELAY_MS 300
#define TRIAL_RETRY_DELAY_MS 2000

typedef struct version {
	uint64_t version;
	uint8_t digest[CONFIG_DIGEST_BYTES];
	GBytes *data;
	GArray *edits; /* difference to the newest version; NULL: not computed */
} version_t;

struct config_follow {
	config_follow_options_t options;
	follower_t *follower;
	struct event *tick_event;
	char *key;
	char *change_key;
	struct event *change_retry_timer;
	bool change_retried;
	GQueue history; /* version_t, the newest first */
	/* Empty: written, or not in the trial environment. */
	char trial_key[80];
	int64_t trial_record_ms;
	gboolean trial_write_in_flight;
	int64_t *version;
	int64_t *fetched_bytes;
	int64_t *served_bytes;
	int64_t *store_reads;
	int64_t *store_bytes;
	int64_t *refused;
};

static void version_free(void *data)
{
	version_t *version = data;

	g_bytes_unref(version->data);
	if (version->edits)
		g_array_free(version->edits, TRUE);
	g_free(version);
}

static const version_t *newest(const config_follow_t *follow)
{
	return follow->history.head ? follow->history.head->data : NULL;
}

static version_t *find_version(config_follow_t *follow, uint64_t number,
			       const void *digest)
{
	for (GList *link = follow->history.head; link; link = link->next) {
		version_t *version = link->data;

		if (version->version == number &&
		    memcmp(version->digest, digest, CONFIG_DIGEST_BYTES) == 0)
			return version;
	}
	return NULL;
}

static void add_version(config_follow_t *follow, uint64_t number,
			const uint8_t *digest, GBytes *data)
{
	version_t *version = g_new0(version_t, 1);

	for (GList *link = follow->history.head; link; link = link->next) {
		version_t *old = link->data;

		if (old->edits)
			g_array_free(old->edits, TRUE);
		old->edits = NULL;
	}
	version->version = number;
	version->data = g_bytes_ref(data);
	memcpy(version->digest, digest, CONFIG_DIGEST_BYTES);
	g_queue_push_head(&follow->history, version);
	if (g_queue_get_length(&follow->history) > MAX_HISTORY_VERSIONS)
		version_free(g_queue_pop_tail(&follow->history));
}

static follower_outcome_t outcome_of(const GError *error)
{
	if (!error)
		return FOLLOWER_OK;
	return error->code == WL_ERROR_NOT_FOUND ? FOLLOWER_NOT_FOUND :
						   FOLLOWER_FAILED;
}

static uint64_t listed_version(const config_follow_t *follow,
			       const object_listing_t *listing)
{
	uint64_t version = 0;

	for (guint i = 0; i < listing->entries->len; i++) {
		const object_entry_t *entry =
			&g_array_index(listing->entries, object_entry_t, i);

		/* The listing also returns longer keys with this prefix. */
		if (strcmp(entry->key, follow->key) == 0 && !entry->deleted)
			version = MAX(version, entry->version);
	}
	return version;
}

static void on_listed(const object_listing_t *listing, const GError *error,
		      void *user_data)
{
	config_follow_t *follow = user_data;

	follower_listed(follow->follower, outcome_of(error),
			listing ? listing->revision : 0,
			listing ? listed_version(follow, listing) : 0);
}

static void on_watched(const object_listing_t *listing, const GError *error,
		       void *user_data)
{
	config_follow_t *follow = user_data;
	follower_outcome_t outcome = outcome_of(error);

	/* The object client maps status 410 to WL_ERROR_NOT_FOUND. */
	if (outcome == FOLLOWER_NOT_FOUND)
		outcome = FOLLOWER_REVISION_TOO_OLD;
	follower_watched(follow->follower, outcome,
			 listing ? listing->revision : 0,
			 listing ? listed_version(follow, listing) : 0);
}

static void on_document(const object_value_t *value, const GError *error,
			void *user_data)
{
	config_follow_t *follow = user_data;
	GBytes *stored = value ? g_bytes_new(value->data, value->len) : NULL;
	GError *unpack_error = NULL;
	GBytes *data;

	if (!value) {
		follower_got(follow->follower, outcome_of(error), 0, NULL);
		return;
	}
	*follow->store_bytes += (int64_t)value->len;
	data = document_unpack(stored, &unpack_error);
	if (!data) {
		/* Pass the stored bytes on, so that do_apply() refuses this
		 * version. */
		log_error("document_damaged", "version=%" PRIu64 " message=%s",
			  value->version, log_quote(unpack_error->message));
		g_error_free(unpack_error);
		data = g_bytes_ref(stored);
	}
	follower_got(follow->follower, FOLLOWER_OK, value->version, data);
	g_bytes_unref(data);
	g_bytes_unref(stored);
}

static void do_list(void *user_data)
{
	config_follow_t *follow = user_data;

	++*follow->store_reads;
	object_list(follow->options.store, follow->key, NULL, 16, on_listed,
		    follow);
}

static void get_document(config_follow_t *follow)
{
	++*follow->store_reads;
	object_get(follow->options.store, follow->key, on_document, follow);
}

static void get_change(config_follow_t *follow);

static void on_change_retry(evutil_socket_t fd, short events, void *arg)
{
	get_change(arg);
}

static void on_change(const object_value_t *value, const GError *error,
		      void *user_data)
{
	config_follow_t *follow = user_data;
	uint64_t wanted = follower_known(follow->follower);
	const version_t *current = newest(follow);
	struct timeval pause = { 0, CHANGE_RETRY_DELAY_MS * 1000 };
	document_version_t base = { current->version, { 0 }, current->data };
	GBytes *data = NULL;

	if (wanted <= current->version) {
		/* The version was fetched from a peer in the meantime. */
		follower_got(follow->follower, FOLLOWER_FAILED, 0, NULL);
		return;
	}
	memcpy(base.digest, current->digest, sizeof(base.digest));
	if (value) {
		*follow->store_bytes += (int64_t)value->len;
		data = document_change_apply(value->data, value->len, &base,
					     wanted, NULL);
	}
	if (data) {
		follower_got(follow->follower, FOLLOWER_OK, wanted, data);
		g_bytes_unref(data);
	} else if (follow->change_retried ||
		   outcome_of(error) == FOLLOWER_FAILED) {
		get_document(follow);
	} else {
		/* The operator's command writes the change object after the
		 * document, so it may not exist yet. */
		follow->change_retried = true;
		evtimer_add(follow->change_retry_timer, &pause);
	}
}

static void get_change(config_follow_t *follow)
{
	++*follow->store_reads;
	object_get(follow->options.store, follow->change_key, on_change,
		   follow);
}

static void do_get(void *user_data)
{
	config_follow_t *follow = user_data;

	follow->change_retried = false;
	if (newest(follow))
		get_change(follow);
	else
		get_document(follow);
}

static void do_watch(uint64_t since, void *user_data)
{
	config_follow_t *follow = user_data;

	++*follow->store_reads;
	object_watch(follow->options.store, follow->key, since,
		     WATCH_TIMEOUT_MS, on_watched, follow);
}

static GBytes *apply_result(config_follow_t *follow,
			    const config_fetch_result *result)
{
	const version_t *base = newest(follow);
	u_int count = result->edits.edits_len;
	document_edit_t *edits = g_new0(document_edit_t, count);
	GBytes *data = NULL;
	gsize len = 0;
	const char *text = "";

	for (u_int i = 0; i < count; i++) {
		const config_edit *edit = &result->edits.edits_val[i];

		edits[i].offset = edit->offset;
		edits[i].length = edit->length;
		edits[i].insert = edit->insert.insert_val;
		edits[i].insert_len = edit->insert.insert_len;
		*follow->fetched_bytes += 12 + edits[i].insert_len;
	}
	if (!result->whole && base)
		text = g_bytes_get_data(base->data, &len);
	data = document_diff_apply(text, len, edits, count, DOCUMENT_MAX_BYTES,
				   NULL);
	g_free(edits);
	return data;
}

static void on_fetched(const void *reply, const GError *error, void *user_data)
{
	config_follow_t *follow = user_data;
	const config_fetch_result *result = reply;
	GBytes *data = NULL;

	if (error || result->document_version == 0) {
		follower_fetched(follow->follower,
				 error ? FOLLOWER_FAILED : FOLLOWER_NOT_FOUND,
				 0, NULL, NULL);
		return;
	}
	/* If the difference cannot be applied, empty data fails the check of
	 * the digest. */
	data = apply_result(follow, result);
	if (!data)
		data = g_bytes_new(NULL, 0);
	follower_fetched(follow->follower, FOLLOWER_OK,
			 result->document_version,
			 (const uint8_t *)result->digest, data);
	g_bytes_unref(data);
}

static void do_fetch(const char *address, uint64_t have_version,
		     void *user_data)
{
	config_follow_t *follow = user_data;
	const version_t *base = newest(follow);
	config_fetch_args args = { .have_version = have_version };
	rpc_call_options_t options = {
		.address = address,
		.program = CONFIG_PROGRAM,
		.procedure = CONFIG_FETCH,
		.encode = (xdrproc_t)xdr_config_fetch_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_config_fetch_result,
		.result_size = sizeof(config_fetch_result),
		.timeout_ms = FETCH_TIMEOUT_MS,
		.done = on_fetched,
		.user_data = follow,
	};

	if (base)
		memcpy(args.have_digest, base->digest, CONFIG_DIGEST_BYTES);
	rpc_client_call(follow->options.rpc_client, &options);
}

static GArray *compute_edits(config_follow_t *follow, version_t *base)
{
	gsize old_len, new_len;
	const char *old_text = g_bytes_get_data(base->data, &old_len);
	const char *new_text = g_bytes_get_data(newest(follow)->data, &new_len);

	if (!base->edits)
		base->edits = document_diff_edits(old_text, old_len, new_text,
						  new_len);
	return base->edits;
}

static void reply_edits(config_follow_t *follow, rpc_call_t *call,
			config_fetch_result *result, const GArray *edits)
{
	config_edit *out = g_new0(config_edit, edits->len);

	for (guint i = 0; i < edits->len; i++) {
		const document_edit_t *edit =
			&g_array_index(edits, document_edit_t, i);

		out[i].offset = edit->offset;
		out[i].length = edit->length;
		out[i].insert.insert_val = (char *)edit->insert;
		out[i].insert.insert_len = edit->insert_len;
		*follow->served_bytes += 12 + edit->insert_len;
	}
	result->edits.edits_val = out;
	result->edits.edits_len = edits->len;
	rpc_reply(call, result);
	g_free(out);
}

static void on_fetch(rpc_call_t *call, const void *arguments, void *user_data)
{
	config_follow_t *follow = user_data;
	const config_fetch_args *args = arguments;
	const version_t *current = newest(follow);
	config_fetch_result result = { 0 };
	version_t *base;
	GArray *full_document;

	if (!current) {
		rpc_reply(call, &result);
		return;
	}
	result.document_version = current->version;
	memcpy(result.digest, current->digest, CONFIG_DIGEST_BYTES);
	base = find_version(follow, args->have_version, args->have_digest);
	if (base) {
		reply_edits(follow, call, &result, compute_edits(follow, base));
		return;
	}
	full_document = g_array_new(FALSE, TRUE, sizeof(document_edit_t));
	g_array_set_size(full_document, 1);
	g_array_index(full_document, document_edit_t, 0).insert =
		g_bytes_get_data(current->data, NULL);
	g_array_index(full_document, document_edit_t, 0).insert_len =
		(uint32_t)g_bytes_get_size(current->data);
	result.whole = TRUE;
	reply_edits(follow, call, &result, full_document);
	g_array_free(full_document, TRUE);
}

static void schedule_trial_record(config_follow_t *follow,
				  const document_t *document)
{
	follow->trial_key[0] = '\0';
	if (strcmp(follow->options.environment, "trial") != 0)
		return;
	snprintf(follow->trial_key, sizeof(follow->trial_key), "trial/%s",
		 document->digest);
	follow->trial_record_ms =
		clock_now_ms(follow->options.clock) + TRIAL_SERVING_PERIOD_MS;
}

static gboolean do_apply(uint64_t version, const uint8_t *digest, GBytes *data,
			 void *user_data)
{
	config_follow_t *follow = user_data;
	GError *error = NULL;
	document_t *document = document_parse(g_bytes_get_data(data, NULL),
					      g_bytes_get_size(data), &error);

	if (!document) {
		++*follow->refused;
		log_error("document_invalid", "version=%" PRIu64 " message=%s",
			  version, log_quote(error->message));
		g_error_free(error);
		return FALSE;
	}
	add_version(follow, version, digest, data);
	*follow->version = (int64_t)version;
	log_info("document_adopted",
		 "version=%" PRIu64 " digest=%.12s bytes=%zu", version,
		 document->digest, g_bytes_get_size(data));
	follow->options.applied(document, version, follow->options.user_data);
	schedule_trial_record(follow, document);
	document_unref(document);
	membership_announce_config(follow->options.membership, version, digest);
	return TRUE;
}

static void on_trial_written(const object_value_t *value, const GError *error,
			     void *user_data)
{
	config_follow_t *follow = user_data;

	follow->trial_write_in_flight = FALSE;
	if (error && error->code != WL_ERROR_CONFLICT) {
		follow->trial_record_ms = clock_now_ms(follow->options.clock) +
					  TRIAL_RETRY_DELAY_MS;
		return;
	}
	log_info("trial_recorded", "key=%s", follow->trial_key);
	follow->trial_key[0] = '\0';
}

static gboolean is_owner(const config_follow_t *follow, const char *domain,
			 const char *key)
{
	return member_owner(follow->options.members, domain, key) ==
	       member_self(follow->options.members);
}

/* Only the key's owner writes the trial object. If it fails, the next owner
 * writes it. */
static void tick_trial(config_follow_t *follow)
{
	char *value;

	if (!follow->trial_key[0] || follow->trial_write_in_flight ||
	    clock_now_ms(follow->options.clock) < follow->trial_record_ms ||
	    !is_owner(follow, NULL, follow->trial_key))
		return;
	follow->trial_write_in_flight = TRUE;
	value = g_strdup_printf("{\"version\":%" PRIu64 ",\"node\":\"%s\"}",
				newest(follow)->version,
				follow->options.node_id);
	object_put(follow->options.store, follow->trial_key, value,
		   strlen(value), OBJECT_ABSENT, follow->options.node_id,
		   on_trial_written, follow);
	g_free(value);
}

static void report_announcements(config_follow_t *follow)
{
	const GPtrArray *all = member_all(follow->options.members);
	uint64_t own = follower_version(follow->follower);

	for (guint i = 1; i < all->len; i++) {
		const member_t *member = all->pdata[i];

		if (member->config_version > own &&
		    member->state != MEMBER_DEAD)
			follower_announced(follow->follower, member->address,
					   member->config_version,
					   member->config_digest);
	}
}

static void on_tick(evutil_socket_t fd, short events, void *arg)
{
	config_follow_t *follow = arg;
	const member_table_t *members = follow->options.members;
	const char *domain = member_self(members)->domain;

	report_announcements(follow);
	follower_tick(follow->follower,
		      is_owner(follow, domain, "watch/config"),
		      member_all(members)->len);
	tick_trial(follow);
}

static void find_counters(config_follow_t *follow, counter_set_t *counters)
{
	follow->version =
		counter_get(counters, COUNTER_GAUGE, "config_version", NULL);
	follow->fetched_bytes = counter_get(counters, COUNTER_MONOTONIC,
					    "config_fetched_bytes_total", NULL);
	follow->served_bytes = counter_get(counters, COUNTER_MONOTONIC,
					   "config_served_bytes_total", NULL);
	follow->store_reads = counter_get(counters, COUNTER_MONOTONIC,
					  "config_store_reads_total", NULL);
	follow->store_bytes = counter_get(counters, COUNTER_MONOTONIC,
					  "config_store_bytes_total", NULL);
	follow->refused = counter_get(counters, COUNTER_MONOTONIC,
				      "config_refused_total", NULL);
}

config_follow_t *config_follow_new(const config_follow_options_t *options)
{
	config_follow_t *follow = g_new0(config_follow_t, 1);
	struct timeval tick = { 0, FOLLOWER_TICK_MS * 1000 };
	follower_options_t follower_options = {
		.clock = options->clock,
		.random = options->random,
		.list = do_list,
		.get = do_get,
		.watch = do_watch,
		.fetch = do_fetch,
		.apply = do_apply,
		.user_data = follow,
	};
	rpc_procedure_t procedure = {
		.program = CONFIG_PROGRAM,
		.procedure = CONFIG_FETCH,
		.decode = (xdrproc_t)xdr_config_fetch_args,
		.args_size = sizeof(config_fetch_args),
		.encode = (xdrproc_t)xdr_config_fetch_result,
		.handler = on_fetch,
		.user_data = follow,
	};

	follow->options = *options;
	follow->key = g_strconcat("config/", options->environment, NULL);
	follow->change_key = document_change_key(options->environment);
	follow->change_retry_timer =
		evtimer_new(options->base, on_change_retry, follow);
	g_queue_init(&follow->history);
	find_counters(follow, options->counters);
	follow->follower = follower_new(&follower_options);
	rpc_server_register(options->rpc_server, &procedure);
	follow->tick_event =
		event_new(options->base, -1, EV_PERSIST, on_tick, follow);
	event_add(follow->tick_event, &tick);
	return follow;
}

void config_follow_free(config_follow_t *follow)
{
	if (!follow)
		return;
	event_free(follow->tick_event);
	event_free(follow->change_retry_timer);
	follower_free(follow->follower);
	g_queue_clear_full(&follow->history, version_free);
	g_free(follow->key);
	g_free(follow->change_key);
	g_free(follow);
}
