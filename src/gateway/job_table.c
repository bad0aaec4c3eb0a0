#include "gateway/job_table.h"

#include <inttypes.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "gateway/follow.h"
#include "gateway/job_load.h"

/* Stale reads are cheap, and a view that is one second old is recent enough for
 * takeovers. */
#define WATCH_WAIT_MS 2500
#define WATCH_PAUSE_MS 1000
/* An owner renews every 1.5 s. Stale reads are safe: a takeover only succeeds
 * if the version that this node saw is still current after the lease time. */
#define LEASE_MS 4000
/* Mean time until the first node attempts to take an orphan over. Other nodes
 * see the takeover only when they next read the jobs, one or two seconds
 * later. */
#define FIRST_TAKEOVER_MS 250
#define TAKEOVER_RETRY_MS 1000
/* Half of the lease time, which other nodes count from when they first see the
 * takeover. */
#define TAKEOVER_MAX_AGE_MS 2000
/* Longer ago than any call. */
#define NOT_CONFIRMED_US (INT64_MIN / 2)

/* What a takeover reads after its write. */
typedef enum takeover_load {
	LOAD_NONE, /* the write has no answer yet */
	LOAD_RUNNING,
	LOAD_DONE,
	LOAD_FAILED
} takeover_load_t;

typedef struct table_entry {
	job_table_t *table;
	char *id;
	job_record_t *record;
	uint64_t version;
	int64_t first_seen_us; /* when this node first saw the version */
	int64_t takeover_at_us; /* 0: no takeover is planned */
	bool outdated; /* the store has a later record, which is not known */
	bool removed; /* the store has none; to be freed after the takeover */
	bool takeover_running;
	takeover_load_t load; /* of the running takeover */
	bool confirming; /* a write that renews it is in flight */
	/* That the takeover has written; 0: the job has started. */
	uint32_t takeover_epoch;
	int64_t call_started_us; /* start of its last call, elapsed time */
	int64_t confirmed_us; /* start of the last call that confirmed it */
	GPtrArray *items; /* read during a takeover */
	GPtrArray *progress; /* the same */
} table_entry_t;

struct job_table {
	job_context_t *context;
	job_owner_t *owner;
	follow_t *follow;
	GHashTable *jobs; /* id -> seen_job_t */
	bool stopping;
	int64_t *takeovers_total;
	int64_t *takeovers_abandoned_total;
};

static void entry_free(void *data)
{
	table_entry_t *job = data;

	job_record_free(job->record);
	g_free(job->id);
	g_free(job);
}

static int64_t now_us(const job_table_t *table)
{
	return clock_now_us(table->context->clock);
}

static void update_entry(job_table_t *table, const char *id,
			 job_record_t *record, uint64_t version)
{
	table_entry_t *job = g_hash_table_lookup(table->jobs, id);

	if (job && job->version >= version) {
		job_record_free(record);
		return;
	}
	if (!job) {
		job = g_new0(table_entry_t, 1);
		job->table = table;
		job->id = g_strdup(id);
		g_hash_table_insert(table->jobs, job->id, job);
	}
	job_record_free(job->record);
	job->record = record;
	job->version = version;
	job->outdated = false;
	job->removed = false;
	job->first_seen_us = now_us(table);
	job->takeover_at_us = 0;
	if (strcmp(record->owner, table->context->node) != 0 || record->ended)
		job_owner_refresh(table->owner, id);
}

/* A later build may have written it; the known record is no longer current. */
static void note_unreadable(job_table_t *table, const object_entry_t *entry)
{
	table_entry_t *job = g_hash_table_lookup(
		table->jobs, entry->key + strlen(JOB_RECORD_PREFIX));

	log_error("job_unreadable", "key=%s version=%" PRIu64, entry->key,
		  entry->version);
	if (job && job->version < entry->version)
		job->outdated = true;
}

static void on_changed(const object_entry_t *entry, void *user_data)
{
	job_record_t *record =
		job_record_decode(entry->data, strlen(entry->data));

	if (!record) {
		note_unreadable(user_data, entry);
		return;
	}
	update_entry(user_data, entry->key + strlen(JOB_RECORD_PREFIX), record,
		     entry->version);
}

static void forget(job_table_t *table, table_entry_t *job)
{
	const job_context_t *context = table->context;

	if (context->job_forgotten)
		context->job_forgotten(context->user_data, job->id);
	g_hash_table_remove(table->jobs, job->id);
}

static void on_removed(const char *key, void *user_data)
{
	job_table_t *table = user_data;
	table_entry_t *job = g_hash_table_lookup(
		table->jobs, key + strlen(JOB_RECORD_PREFIX));

	if (job)
		job->removed = true;
	if (job && !job->takeover_running)
		forget(table, job);
}

/* Records that were removed while the store was not watched. */
static void on_listed(GHashTable *keys, void *user_data)
{
	job_table_t *table = user_data;
	GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	void *id;

	g_hash_table_iter_init(&iter, table->jobs);
	while (g_hash_table_iter_next(&iter, &id, NULL)) {
		char *key = g_strconcat(JOB_RECORD_PREFIX, id, NULL);

		if (g_hash_table_contains(keys, key))
			g_free(key);
		else
			g_ptr_array_add(gone, key);
	}
	for (guint i = 0; i < gone->len; i++)
		on_removed(gone->pdata[i], table);
	g_ptr_array_free(gone, TRUE);
}

job_table_t *job_table_new(job_context_t *context, job_owner_t *owner)
{
	job_table_t *table = g_new0(job_table_t, 1);
	const follow_options_t options = {
		.base = context->base,
		.clock = context->clock,
		.store = context->stale_store,
		.prefix = JOB_RECORD_PREFIX,
		.group = context->follows,
		.wait_ms = WATCH_WAIT_MS,
		.pause_ms = WATCH_PAUSE_MS,
		.changed = on_changed,
		.removed = on_removed,
		.listed = on_listed,
		.user_data = table,
	};

	table->context = context;
	table->owner = owner;
	table->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    entry_free);
	table->takeovers_total =
		counter_get(context->counters, COUNTER_MONOTONIC,
			    "batch_takeovers_total", NULL);
	table->takeovers_abandoned_total =
		counter_get(context->counters, COUNTER_MONOTONIC,
			    "batch_takeovers_abandoned_total", NULL);
	table->follow = follow_new(&options);
	return table;
}

/* Whether this node has been in contact with the store for the whole lease
 * time. Otherwise a record may seem unchanged because it could not be read. */
static bool has_steady_contact(const job_table_t *table)
{
	int64_t since_us = follow_steady_since_us(table->follow);

	return since_us && now_us(table) - since_us >= LEASE_MS * 1000;
}

bool job_table_names_process(const job_record_t *record, const char *node,
			     const char *instance)
{
	return strcmp(record->owner, node) == 0 &&
	       strcmp(record->instance, instance) == 0;
}

/* Whether the owner is this node but not this process. */
static bool names_this_node(const job_table_t *table,
			    const job_record_t *record)
{
	return strcmp(record->owner, table->context->node) == 0 &&
	       strcmp(record->instance, table->context->writer) != 0;
}

/* Whether this process took the job over but could not start it. */
static bool is_unstarted_takeover(const job_table_t *table,
				  const table_entry_t *job)
{
	return job->takeover_epoch > 0 &&
	       job->record->epoch == job->takeover_epoch &&
	       job_table_names_process(job->record, table->context->node,
				       table->context->writer);
}

static bool is_orphan(const job_table_t *table, const table_entry_t *job)
{
	if (job->outdated || job_record_is_closed(job->record) ||
	    job_owner_record(table->owner, job->id))
		return false;
	/* Released, assigned to this node, or owned by a former process of this
	 * node. */
	if (!*job->record->owner || names_this_node(table, job->record) ||
	    is_unstarted_takeover(table, job))
		return true;
	return has_steady_contact(table) &&
	       now_us(table) - job->first_seen_us >= LEASE_MS * 1000;
}

/* Whether the latest record that this node has seen is still that of the running
 * takeover. */
static bool holds_takeover(const table_entry_t *job)
{
	const job_context_t *context = job->table->context;

	return !job->outdated &&
	       job_table_names_process(job->record, context->node,
				       context->writer) &&
	       job->record->epoch == job->takeover_epoch &&
	       !job_record_is_closed(job->record);
}

static void end_takeover(table_entry_t *job)
{
	job->takeover_running = false;
	if (job->items)
		g_ptr_array_unref(job->items);
	if (job->progress)
		g_ptr_array_unref(job->progress);
	job->items = NULL;
	job->progress = NULL;
}

static void retry_takeover(table_entry_t *job)
{
	end_takeover(job);
	job->takeover_at_us = now_us(job->table) + TAKEOVER_RETRY_MS * 1000;
}

/* Another node has acquired the job, or its caller has ended it. */
static void abandon_takeover(table_entry_t *job)
{
	(*job->table->takeovers_abandoned_total)++;
	log_info("takeover_abandoned",
		 "job=%s epoch=%u version=%" PRIu64
		 " owner=%s record_epoch=%u ended=%d",
		 job->id, job->takeover_epoch, job->version, job->record->owner,
		 job->record->epoch, job->record->ended);
	retry_takeover(job);
}

/* Writes the record if it still has the version that this node has seen. */
static void put_record(table_entry_t *job, const job_record_t *record,
		       object_done_t done)
{
	const job_context_t *context = job->table->context;
	char *key = g_strconcat(JOB_RECORD_PREFIX, job->id, NULL);
	char *text = job_record_encode(record);

	job->call_started_us = clock_elapsed_us(context->clock);
	object_put(context->store, key, text, strlen(text), job->version,
		   context->writer, done, job);
	g_free(text);
	g_free(key);
}

static void continue_takeover(table_entry_t *job);

static void on_takeover_confirmed(const object_value_t *value,
				  const GError *error, void *user_data)
{
	table_entry_t *job = user_data;
	job_record_t *record =
		value ? job_record_decode(value->data, value->len) : NULL;

	job->confirming = false;
	if (!record) {
		log_warn("takeover_unconfirmed", "job=%s error=%s", job->id,
			 error ? error_name(error->code) : "unreadable");
		if (job->load != LOAD_RUNNING)
			retry_takeover(job);
		return;
	}
	update_entry(job->table, job->id, record, value->version);
	if (!error)
		job->confirmed_us = job->call_started_us;
	continue_takeover(job);
}

/* Renews the lease of the running takeover by a write: others count it from the
 * version that they see, so a read would confirm nothing to them. */
static void confirm_takeover(table_entry_t *job)
{
	job_record_t *record = job_record_copy(job->record);

	record->beat++;
	job->confirming = true;
	put_record(job, record, on_takeover_confirmed);
	job_record_free(record);
}

static bool needs_confirmation(const table_entry_t *job)
{
	return clock_elapsed_us(job->table->context->clock) -
		       job->confirmed_us >
	       TAKEOVER_MAX_AGE_MS * 1000;
}

/* Keeps the lease of a takeover whose reads take long, so that nodes do not take
 * the job over from each other in turn. */
static void renew_takeover(table_entry_t *job)
{
	int64_t now = clock_elapsed_us(job->table->context->clock);

	if (job->load == LOAD_RUNNING && !job->confirming &&
	    holds_takeover(job) && needs_confirmation(job) &&
	    now - job->call_started_us >= TAKEOVER_RETRY_MS * 1000)
		confirm_takeover(job);
}

/* Starts the job, once its items are read, if this node still owns it. Others
 * may take it over once the lease is over, so a takeover that took long is
 * confirmed first. */
static void continue_takeover(table_entry_t *job)
{
	job_table_t *table = job->table;
	job_start_t start = { .id = job->id,
			      .version = job->version,
			      .confirmed_us = job->confirmed_us,
			      .progress = job->progress };

	if (job->confirming || job->load == LOAD_RUNNING)
		return;
	if (job->load == LOAD_FAILED) {
		retry_takeover(job);
		return;
	}
	if (!holds_takeover(job)) {
		abandon_takeover(job);
		return;
	}
	if (needs_confirmation(job)) {
		confirm_takeover(job);
		return;
	}
	(*table->takeovers_total)++;
	start.record = job_record_copy(job->record);
	start.items = g_steal_pointer(&job->items);
	job_owner_start_job(table->owner, &start);
	job->takeover_epoch = 0;
	end_takeover(job);
}

static void on_progress_loaded(GPtrArray *progress, void *user_data)
{
	table_entry_t *job = user_data;

	job->progress = progress;
	job->load = LOAD_DONE;
	continue_takeover(job);
}

static void on_items_loaded(GPtrArray *items, void *user_data)
{
	table_entry_t *job = user_data;

	if (!items) {
		job->load = LOAD_FAILED;
		continue_takeover(job);
		return;
	}
	job->items = items;
	job_load_progress(job->table->context, job->record->progress,
			  on_progress_loaded, job);
}

static void on_takeover_written(const object_value_t *value,
				const GError *error, void *user_data)
{
	table_entry_t *job = user_data;
	job_table_t *table = job->table;
	job_record_t *record =
		value ? job_record_decode(value->data, value->len) : NULL;
	bool owned =
		record && job_table_names_process(record, table->context->node,
						  table->context->writer);

	log_info("job_takeover",
		 "job=%s seen_version=%" PRIu64 " version=%" PRIu64
		 " owner=%s error=%s",
		 job->id, job->version, value ? value->version : 0,
		 record ? record->owner : "-",
		 error ? error_name(error->code) : "-");
	if (record) {
		job->takeover_epoch = record->epoch;
		update_entry(table, job->id, record, value->version);
	}
	if (value && value->version > job->version)
		job->outdated = true;
	if (!owned || job_record_is_closed(job->record)) {
		retry_takeover(job);
		return;
	}
	/* An earlier attempt may have written the record at any time. */
	job->confirmed_us = error ? NOT_CONFIRMED_US : job->call_started_us;
	job->load = LOAD_RUNNING;
	job_load_items(table->context, job->id, job->record->payload_parts,
		       on_items_loaded, job);
}

int32_t job_table_takeover_delay_ms(GRand *random, uint32_t nodes, bool named)
{
	if (named)
		return 0;
	return g_rand_int_range(random, 0,
				FIRST_TAKEOVER_MS * ((int32_t)nodes + 1));
}

static void start_takeover(table_entry_t *job)
{
	const job_context_t *context = job->table->context;
	job_record_t *record = job_record_copy(job->record);

	job->takeover_running = true;
	job->load = LOAD_NONE;
	g_free(record->owner);
	record->owner = g_strdup(context->node);
	g_free(record->instance);
	record->instance = g_strdup(context->writer);
	record->epoch++;
	put_record(job, record, on_takeover_written);
	job_record_free(record);
}

/* Whether this process may keep the items of another job. */
static bool has_room(const job_table_t *table)
{
	const job_context_t *context = table->context;

	return !context->max_item_bytes ||
	       context->item_bytes < context->max_item_bytes;
}

static gboolean is_removed(void *id, void *value, void *user_data)
{
	const table_entry_t *job = value;

	return job->removed && !job->takeover_running;
}

/* Records that were removed while a takeover of their job was in progress. */
static void forget_removed(job_table_t *table)
{
	g_hash_table_foreach_remove(table->jobs, is_removed, NULL);
}

void job_table_tick(job_table_t *table)
{
	const job_context_t *context = table->context;
	GHashTableIter iter;
	void *value;
	int64_t now = now_us(table);

	if (table->stopping)
		return;
	forget_removed(table);
	g_hash_table_iter_init(&iter, table->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		table_entry_t *job = value;

		if (job->takeover_running)
			renew_takeover(job);
		if (job->takeover_running || !is_orphan(table, job))
			continue;
		if (!job->takeover_at_us)
			job->takeover_at_us =
				now +
				job_table_takeover_delay_ms(
					context->random,
					context->peers(context->user_data),
					names_this_node(table, job->record)) *
					1000LL;
		if (now >= job->takeover_at_us && has_room(table))
			start_takeover(job);
	}
}

int64_t job_table_waiting_tokens(const job_table_t *table,
				 const path_route_t *route)
{
	GHashTableIter iter;
	void *value;
	int64_t tokens = 0;

	g_hash_table_iter_init(&iter, table->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const job_record_t *record = ((table_entry_t *)value)->record;

		if (!record->ended && strcmp(record->host, route->host) == 0 &&
		    g_str_has_prefix(record->path, route->prefix))
			tokens += record->waiting_tokens;
	}
	return tokens;
}

const char *job_table_owner(const job_table_t *table, const char *id)
{
	const table_entry_t *job = g_hash_table_lookup(table->jobs, id);

	if (!job || job_record_is_closed(job->record) || !*job->record->owner)
		return NULL;
	return job->record->owner;
}

const job_record_t *job_table_closed_record(const job_table_t *table,
					    const char *id)
{
	const table_entry_t *job = g_hash_table_lookup(table->jobs, id);

	return job && job_record_is_closed(job->record) ? job->record : NULL;
}

bool job_table_has(const job_table_t *table, const char *id)
{
	return g_hash_table_contains(table->jobs, id);
}

static bool describe_closed(const job_table_t *table, const table_entry_t *job,
			    job_table_closed_t *closed)
{
	if (job->outdated || !job_record_is_closed(job->record))
		return false;
	*closed = (job_table_closed_t){
		.id = job->id,
		.version = job->version,
		.unchanged_ms = (now_us(table) - job->first_seen_us) / 1000,
		.submitted_ms = job->record->submitted_ms,
	};
	return true;
}

bool job_table_find_closed(const job_table_t *table, const char *id,
			   job_table_closed_t *closed)
{
	const table_entry_t *job = g_hash_table_lookup(table->jobs, id);

	return job && describe_closed(table, job, closed);
}

void job_table_each_closed(const job_table_t *table,
			   job_table_each_closed_t each, void *user_data)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, table->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job_table_closed_t closed;

		if (describe_closed(table, value, &closed))
			each(&closed, user_data);
	}
}

bool job_table_is_steady(const job_table_t *table)
{
	return follow_is_synced(table->follow) && has_steady_contact(table);
}

uint64_t job_table_revision(const job_table_t *table)
{
	follow_state_t state;

	follow_get_state(table->follow, &state);
	return state.revision;
}

void job_table_stop(job_table_t *table)
{
	table->stopping = true;
}
