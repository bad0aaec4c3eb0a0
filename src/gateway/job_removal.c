#include "gateway/job_removal.h"

#include <inttypes.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "gateway/job_progress.h"

/* As the results of `wasabilink entry` by default. */
#define KEEP_MS (24 * 3600 * 1000LL)
/* A record that a node sees for the first time may have been closed long ago or
 * just now. */
#define CLOSED_MIN_MS (15 * 60 * 1000)
/* Delays of the nodes for one record, so that mostly one of them removes it. */
#define SPREAD_MS (5 * 60 * 1000)
#define CHECK_INTERVAL_MS 10000
/* Between two calls of a node, times the number of nodes: together they make ten a
 * second. */
#define PACE_MS 100
#define RETRY_MS 5000
/* Mean time between two sweeps, over all nodes. */
#define SWEEP_INTERVAL_MS (3600 * 1000LL)
/* Longer than a submission, or an owner that keeps its lease, takes to name what
 * it has written. */
#define MARK_INTERVAL_MS (10 * 60 * 1000)
#define PAGE_LIMIT 100
/* Records that are added at a time. */
#define LEFTOVERS_MAX 1000

/* An object to remove. */
typedef struct leftover {
	char *key;
	uint64_t version;
	GPtrArray *jobs; /* ids that the key may belong to, to be looked up;
			  * NULL: none */
} leftover_t;

/* A point in the history of the store. */
typedef struct mark {
	int64_t time_us; /* 0: none */
	uint64_t revision;
} mark_t;

struct job_removal {
	job_context_t *context;
	job_table_t *table;
	int64_t closed_min_ms;
	uint64_t node_hash;
	GQueue leftovers; /* leftover_t */
	bool calling;
	bool stopped;
	int64_t next_call_us;
	int64_t checked_us;
	mark_t mark; /* the latest */
	mark_t old_mark; /* MARK_INTERVAL_MS before it at least */
	bool sweeping;
	uint32_t kind; /* of the sweep */
	uint64_t sweep_revision; /* objects of later versions are left */
	char *after; /* last key of the previous page */
	int64_t *records;
	int64_t *records_removed_total;
	int64_t *objects_removed_total;
	int64_t *sweeps_total;
};

/* Kinds of objects that belong to a job. */
typedef struct leftover_kind {
	const char *prefix;
	/* Numbers between the job's id and the end of the name, or the writer's
	 * name if there are two. */
	uint32_t numbers;
	bool needed_when_closed;
} leftover_kind_t;

static const leftover_kind_t kinds[] = {
	{ JOB_PAYLOAD_PREFIX, 1, false },
	{ JOB_PROGRESS_PREFIX, 2, false },
	{ JOB_SEGMENT_PREFIX, 2, true },
};

static int64_t now_us(const job_removal_t *removal)
{
	return clock_now_us(removal->context->clock);
}

static void leftover_free(leftover_t *leftover)
{
	if (leftover->jobs)
		g_ptr_array_unref(leftover->jobs);
	g_free(leftover->key);
	g_free(leftover);
}

job_removal_t *job_removal_new(const job_removal_options_t *options)
{
	job_removal_t *removal = g_new0(job_removal_t, 1);
	counter_set_t *counters = options->context->counters;

	removal->context = options->context;
	removal->table = options->table;
	removal->closed_min_ms = MAX(CLOSED_MIN_MS, options->readable_ms);
	removal->node_hash = fleet_key(options->context->node);
	removal->checked_us = now_us(removal);
	g_queue_init(&removal->leftovers);
	removal->records = counter_get(counters, COUNTER_GAUGE,
				       "batch_records_closed", NULL);
	removal->records_removed_total =
		counter_get(counters, COUNTER_MONOTONIC,
			    "batch_records_removed_total", NULL);
	removal->objects_removed_total =
		counter_get(counters, COUNTER_MONOTONIC,
			    "batch_objects_removed_total", NULL);
	removal->sweeps_total = counter_get(counters, COUNTER_MONOTONIC,
					    "batch_sweeps_total", NULL);
	return removal;
}

static uint32_t nodes(const job_removal_t *removal)
{
	const job_context_t *context = removal->context;

	return context->peers(context->user_data) + 1;
}

static void push(job_removal_t *removal, char *key, uint64_t version,
		 GPtrArray *jobs)
{
	leftover_t *leftover = g_new0(leftover_t, 1);

	leftover->key = key;
	leftover->version = version;
	leftover->jobs = jobs;
	g_queue_push_tail(&removal->leftovers, leftover);
}

static int64_t spread_ms(const job_removal_t *removal, const char *id)
{
	return (int64_t)((fleet_key(id) ^ removal->node_hash) % SPREAD_MS);
}

/* Whether this node may remove what belongs to the closed job. */
static bool may_remove(const job_removal_t *removal,
		       const job_table_closed_t *job)
{
	return job->unchanged_ms >=
	       removal->closed_min_ms + spread_ms(removal, job->id);
}

static gint by_age(gconstpointer a, gconstpointer b)
{
	const job_table_closed_t *x = a;
	const job_table_closed_t *y = b;

	return x->submitted_ms < y->submitted_ms ?
		       -1 :
		       x->submitted_ms > y->submitted_ms;
}

static void add_closed(const job_table_closed_t *job, void *user_data)
{
	g_array_append_vals(user_data, job, 1);
}

/* Adds the closed records that are due. */
static void check_records(job_removal_t *removal)
{
	GArray *closed = g_array_new(FALSE, FALSE, sizeof(job_table_closed_t));
	int64_t oldest_ms = clock_wall_ms(removal->context->clock) - KEEP_MS;

	job_table_each_closed(removal->table, add_closed, closed);
	g_array_sort(closed, by_age);
	*removal->records = closed->len;
	for (guint i = 0; i < closed->len; i++) {
		const job_table_closed_t *job =
			&g_array_index(closed, job_table_closed_t, i);

		if (job->submitted_ms > oldest_ms &&
		    closed->len - i <= JOB_REMOVAL_MAX_CLOSED)
			break;
		if (g_queue_get_length(&removal->leftovers) < LEFTOVERS_MAX &&
		    may_remove(removal, job))
			push(removal,
			     g_strconcat(JOB_RECORD_PREFIX, job->id, NULL),
			     job->version, NULL);
	}
	g_array_free(closed, TRUE);
}

static void update_marks(job_removal_t *removal)
{
	int64_t now = now_us(removal);

	if (removal->mark.time_us &&
	    now - removal->mark.time_us < MARK_INTERVAL_MS * 1000)
		return;
	removal->old_mark = removal->mark;
	removal->mark = (mark_t){ now, job_table_revision(removal->table) };
}

/* Begins a sweep at random times, so that nodes that are often replaced sweep as
 * often as others. */
static void consider_sweep(job_removal_t *removal)
{
	const job_context_t *context = removal->context;
	double share = (double)CHECK_INTERVAL_MS /
		       (SWEEP_INTERVAL_MS * (double)nodes(removal));

	if (removal->sweeping || !removal->old_mark.time_us ||
	    g_rand_double(context->random) >= share)
		return;
	removal->sweeping = true;
	removal->kind = 0;
	removal->sweep_revision = removal->old_mark.revision;
	(*removal->sweeps_total)++;
	log_info("sweep_started", "revision=%" PRIu64 " nodes=%u",
		 removal->sweep_revision, nodes(removal));
}

/* The part of a name behind a number and a dot; NULL when it has none. */
static const char *skip_number(const char *text)
{
	size_t digits = strspn(text, "0123456789");

	return digits > 0 && text[digits] == '.' ? text + digits + 1 : NULL;
}

static bool is_number(const char *text)
{
	return *text && text[strspn(text, "0123456789")] == '\0';
}

/* Whether the text behind the id of a job is that of the kind's names. */
static bool ends_name(const leftover_kind_t *kind, const char *rest)
{
	if (kind->numbers == 1)
		return is_number(rest);
	rest = skip_number(rest);
	rest = rest ? skip_number(rest) : NULL;
	return rest && *rest;
}

/* The ids of the jobs that a name may belong to: ids may have dots. */
static GPtrArray *jobs_of(const leftover_kind_t *kind, const char *name)
{
	GPtrArray *jobs = g_ptr_array_new_with_free_func(g_free);

	for (const char *dot = strchr(name, '.'); dot;
	     dot = strchr(dot + 1, '.'))
		if (dot > name && ends_name(kind, dot + 1))
			g_ptr_array_add(jobs,
					g_strndup(name, (gsize)(dot - name)));
	return jobs;
}

/* What this node knows of the jobs that an object may belong to. */
typedef enum job_state {
	JOB_STATE_UNKNOWN, /* of none of them */
	JOB_STATE_CLOSED, /* one is closed for long */
	JOB_STATE_KEPT
} job_state_t;

static job_state_t state_of(const job_removal_t *removal, const GPtrArray *jobs)
{
	job_state_t state = JOB_STATE_UNKNOWN;

	for (guint i = 0; i < jobs->len; i++) {
		const char *id = jobs->pdata[i];
		job_table_closed_t closed;

		if (!job_table_has(removal->table, id))
			continue;
		if (!job_table_find_closed(removal->table, id, &closed) ||
		    !may_remove(removal, &closed))
			return JOB_STATE_KEPT;
		state = JOB_STATE_CLOSED;
	}
	return state;
}

static void check_object(job_removal_t *removal, const leftover_kind_t *kind,
			 const object_entry_t *entry)
{
	GPtrArray *jobs = jobs_of(kind, entry->key + strlen(kind->prefix));
	job_state_t state = state_of(removal, jobs);

	if (entry->version > removal->sweep_revision || jobs->len == 0 ||
	    state == JOB_STATE_KEPT ||
	    (state == JOB_STATE_CLOSED && kind->needed_when_closed)) {
		g_ptr_array_unref(jobs);
		return;
	}
	if (state == JOB_STATE_CLOSED)
		g_ptr_array_set_size(jobs, 0);
	push(removal, g_strdup(entry->key), entry->version, jobs);
}

static void delay_call(job_removal_t *removal, int64_t delay_ms)
{
	removal->calling = false;
	removal->next_call_us = now_us(removal) + delay_ms * 1000;
}

static void end_call(job_removal_t *removal)
{
	delay_call(removal, PACE_MS * (int64_t)nodes(removal));
}

static void next_kind(job_removal_t *removal)
{
	g_clear_pointer(&removal->after, g_free);
	removal->kind++;
	removal->sweeping = removal->kind < G_N_ELEMENTS(kinds);
	if (!removal->sweeping)
		log_info("sweep_ended", "removed_total=%" PRId64,
			 *removal->objects_removed_total);
}

static void on_listed(const object_listing_t *listing, const GError *error,
		      void *user_data)
{
	job_removal_t *removal = user_data;
	const leftover_kind_t *kind = &kinds[removal->kind];

	if (error) {
		log_info("sweep_failed", "prefix=%s error=%s", kind->prefix,
			 error_name(error->code));
		delay_call(removal, RETRY_MS);
		return;
	}
	for (guint i = 0; i < listing->entries->len; i++)
		check_object(
			removal, kind,
			&g_array_index(listing->entries, object_entry_t, i));
	if (listing->more && listing->entries->len > 0) {
		g_free(removal->after);
		removal->after =
			g_strdup(g_array_index(listing->entries, object_entry_t,
					       listing->entries->len - 1)
					 .key);
	} else {
		next_kind(removal);
	}
	end_call(removal);
}

static void on_removed(const object_value_t *value, const GError *error,
		       void *user_data)
{
	job_removal_t *removal = user_data;
	leftover_t *leftover = g_queue_pop_head(&removal->leftovers);
	bool record = g_str_has_prefix(leftover->key, JOB_RECORD_PREFIX);

	log_info("leftover_removed", "key=%s version=%" PRIu64 " error=%s",
		 leftover->key, leftover->version,
		 error ? error_name(error->code) : "-");
	if (!error)
		(*(record ? removal->records_removed_total :
			    removal->objects_removed_total))++;
	leftover_free(leftover);
	end_call(removal);
}

/* Looks up the records of the jobs that an object may belong to: the table may
 * not have one that was just created, or that a later build has written. */
static void on_record(const object_value_t *value, const GError *error,
		      void *user_data)
{
	job_removal_t *removal = user_data;
	leftover_t *leftover = g_queue_peek_head(&removal->leftovers);

	if (error && error->code == WL_ERROR_NOT_FOUND) {
		g_ptr_array_remove_index(leftover->jobs, 0);
		removal->calling = false;
		return;
	}
	g_queue_pop_head(&removal->leftovers);
	leftover_free(leftover);
	end_call(removal);
}

static void process_leftover(job_removal_t *removal)
{
	const job_context_t *context = removal->context;
	leftover_t *leftover = g_queue_peek_head(&removal->leftovers);
	char *key;

	removal->calling = true;
	if (!leftover->jobs || leftover->jobs->len == 0) {
		object_remove(context->store, leftover->key, leftover->version,
			      on_removed, removal);
		return;
	}
	key = g_strconcat(JOB_RECORD_PREFIX, leftover->jobs->pdata[0], NULL);
	object_get(context->store, key, on_record, removal);
	g_free(key);
}

static void list_page(job_removal_t *removal)
{
	removal->calling = true;
	object_list(removal->context->stale_store, kinds[removal->kind].prefix,
		    removal->after, PAGE_LIMIT, on_listed, removal);
}

static void check(job_removal_t *removal)
{
	int64_t now = now_us(removal);

	if (now - removal->checked_us < CHECK_INTERVAL_MS * 1000)
		return;
	removal->checked_us = now;
	update_marks(removal);
	consider_sweep(removal);
	if (g_queue_is_empty(&removal->leftovers))
		check_records(removal);
}

void job_removal_tick(job_removal_t *removal)
{
	/* Without contact to the store the table may lack records. */
	if (removal->stopped || removal->calling ||
	    !job_table_is_steady(removal->table))
		return;
	check(removal);
	if (now_us(removal) < removal->next_call_us)
		return;
	if (!g_queue_is_empty(&removal->leftovers))
		process_leftover(removal);
	else if (removal->sweeping)
		list_page(removal);
}

void job_removal_stop(job_removal_t *removal)
{
	removal->stopped = true;
}
