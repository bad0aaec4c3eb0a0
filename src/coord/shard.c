#include "coord/shard.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "coord/ring.h"

#define DEFAULT_MAX_WAITING 10000
#define DEFAULT_MAX_WAITING_BYTES (8 * 1024 * 1024)
#define DEFAULT_LEASE_MS 6000
#define DEFAULT_RENEW_MS 2000
#define DEFAULT_CARRY_AFTER_MS (24 * 3600 * 1000LL)
/* Records of one head write; with the live records and the index the head
 * stays below the store's 1 MiB. */
#define MAX_BATCH_BYTES (256 * 1024)
#define MAX_BATCH_UPDATES 2000
#define POLL_MS 1000
/* An owner waits this long for membership to settle before it hands over. */
#define HANDOVER_MS 3000
/* Reads are served this long after the start of the last write; a successor
 * waits for the whole lease, so its clock may run faster by a sixth. */
#define READ_LEASE_NUM 5
#define READ_LEASE_DEN 6
#define FIRST_RETRY_MS 50
#define MAX_RETRY_MS 2000
/* Ids of segments and index objects: epoch, then a count. */
#define ID_COUNT_BITS 24

typedef enum op_kind { OP_GET, OP_UPDATE, OP_LIST } op_kind_t;

typedef struct op {
	op_kind_t kind;
	char key[LEDGER_KEY_BYTES];
	char token[LEDGER_TOKEN_BYTES];
	ledger_record *update;
	size_t bytes;
	int64_t deadline_ms;
	shard_done_t done;
	shard_list_done_t list_done;
	void *user_data;
	/* Outcome, to be told once it is durable. */
	ledger_status_t status;
	ledger_lookup_t lookup;
	ledger_record *answer;
	ledger_undo_t *undo;
	/* List. */
	uint32_t list_kind;
	GArray *segments; /* uint64_t; NULL until the live records are read */
	guint position;
	GHashTable *seen; /* keys of records */
	GPtrArray *records;
} op_t;

typedef struct head_write {
	GBytes *bytes; /* NULL: none pending */
	char *writer;
	uint64_t if_version;
	int64_t started_ms;
	bool acquiring;
	bool releasing;
	bool uncertain; /* some attempt got no answer */
} head_write_t;

struct shard {
	shard_options_t options;
	char *key;
	char *owner_address;
	char *hint;
	bool owner;
	bool candidate;
	bool releasing;
	bool freed;
	int64_t candidate_since_ms; /* of the last change */
	uint32_t pending; /* store calls */
	bool busy; /* a head, index or segment write or a poll is pending */
	bool reading_segment;
	bool removing;
	ledger_t *ledger; /* when owner or acquiring */
	uint64_t epoch;
	uint64_t sequence;
	uint64_t writes; /* for writer tokens */
	uint64_t ids;
	uint64_t version; /* of the head that the ledger is based on */
	int64_t written_ms; /* start of the last successful head write */
	int64_t retry_ms;
	uint32_t failures;
	/* Follower. */
	int64_t poll_ms;
	uint64_t seen_version;
	int64_t seen_since_ms;
	uint64_t unreadable_version; /* of a head that lacks an index */
	/* Owner. */
	head_write_t write;
	ledger_write_t *other_write;
	GPtrArray *batch; /* op_t in the pending head write */
	GArray *dropped; /* ledger_garbage_t, until the next durable head */
	GArray *garbage; /* ledger_garbage_t to remove */
	uint64_t wanted_segment;
	GQueue waiting; /* op_t */
	size_t waiting_bytes;
	GQueue refused; /* op_t */
};

static void check_freed(shard_t *shard);
static void owner_step(shard_t *shard, int64_t now);

static int64_t now_ms(const shard_t *shard)
{
	return clock_now_ms(shard->options.clock);
}

static uint64_t wall_ms(const shard_t *shard)
{
	return (uint64_t)clock_wall_ms(shard->options.clock);
}

static void notify(shard_t *shard, shard_event_t event)
{
	const shard_observer_t *observer = &shard->options.observer;

	if (observer->event && !shard->freed)
		observer->event(shard, event, observer->user_data);
}

/* Operations */

static void op_free(void *data)
{
	op_t *op = data;

	ledger_record_free(op->update);
	ledger_record_free(op->answer);
	ledger_undo_free(op->undo);
	if (op->segments)
		g_array_free(op->segments, TRUE);
	if (op->seen)
		g_hash_table_destroy(op->seen);
	if (op->records)
		g_ptr_array_free(op->records, TRUE);
	g_free(op);
}

/* Tells the outcome at most once. */
static void op_answer(op_t *op, const GError *error)
{
	shard_done_t done = op->done;
	shard_list_done_t list_done = op->list_done;
	bool has_record =
		!error || g_error_matches(error, WL_ERROR, WL_ERROR_CONFLICT);

	op->done = NULL;
	op->list_done = NULL;
	if (done)
		done(has_record ? op->answer : NULL, error, op->user_data);
	if (list_done)
		list_done(error ? NULL : op->records, error, op->user_data);
}

static void op_fail(shard_t *shard, op_t *op, error_code_t code,
		    const char *message)
{
	GError *error;

	if (!op->done && !op->list_done)
		return;
	error = g_error_new_literal(WL_ERROR, (int)code, message);
	if (code == WL_ERROR_UNAVAILABLE)
		shard->options.stats->refused++;
	else if (code == WL_ERROR_TIMEOUT)
		shard->options.stats->unknown++;
	op_answer(op, error);
	g_error_free(error);
}

static void op_refuse(shard_t *shard, op_t *op, const char *message)
{
	op_fail(shard, op, WL_ERROR_UNAVAILABLE, message);
	op_free(op);
}

/* Of an operation that may be part of a write. */
static void op_interrupt(shard_t *shard, op_t *op, bool maybe_written)
{
	if (maybe_written && op->undo)
		op_fail(shard, op, WL_ERROR_TIMEOUT,
			"the write's outcome is unknown");
	else
		op_fail(shard, op, WL_ERROR_UNAVAILABLE,
			"the update was not written");
}

static void op_succeed(shard_t *shard, op_t *op)
{
	GError *error = NULL;
	shard_stats_t *stats = shard->options.stats;

	switch (op->status) {
	case LEDGER_APPLIED:
		stats->updates++;
		break;
	case LEDGER_REPEATED:
		stats->repeats++;
		break;
	case LEDGER_CONFLICT:
		stats->conflicts++;
		error = g_error_new_literal(WL_ERROR, WL_ERROR_CONFLICT,
					    "the record has another version");
		break;
	case LEDGER_ABSENT:
		error = g_error_new_literal(WL_ERROR, WL_ERROR_NOT_FOUND,
					    "no such record");
		break;
	case LEDGER_FOUND:
	case LEDGER_NEED_SEGMENT:
		break;
	}
	op_answer(op, error);
	g_clear_error(&error);
}

static void enqueue(shard_t *shard, op_t *op)
{
	const shard_options_t *options = &shard->options;

	if (shard->waiting.length >= options->max_waiting ||
	    shard->waiting_bytes + op->bytes > options->max_waiting_bytes) {
		g_queue_push_tail(&shard->refused, op);
		return;
	}
	shard->waiting_bytes += op->bytes;
	g_queue_push_tail(&shard->waiting, op);
}

static op_t *op_new(op_kind_t kind, int64_t deadline_ms, void *user_data)
{
	op_t *op = g_new0(op_t, 1);

	op->kind = kind;
	op->deadline_ms = deadline_ms;
	op->user_data = user_data;
	return op;
}

void shard_get(shard_t *shard, const void *key, int64_t deadline_ms,
	       shard_done_t done, void *user_data)
{
	op_t *op = op_new(OP_GET, deadline_ms, user_data);

	memcpy(op->key, key, sizeof(op->key));
	op->done = done;
	enqueue(shard, op);
}

void shard_update(shard_t *shard, const ledger_record *update,
		  const void *token, int64_t deadline_ms, shard_done_t done,
		  void *user_data)
{
	op_t *op = op_new(OP_UPDATE, deadline_ms, user_data);

	memcpy(op->key, update->key, sizeof(op->key));
	memcpy(op->token, token, sizeof(op->token));
	op->update = ledger_record_copy(update);
	op->bytes = ledger_record_bytes(op->update);
	op->done = done;
	enqueue(shard, op);
}

void shard_list(shard_t *shard, uint32_t kind, int64_t deadline_ms,
		shard_list_done_t done, void *user_data)
{
	op_t *op = op_new(OP_LIST, deadline_ms, user_data);

	op->list_kind = kind;
	op->list_done = done;
	op->records = g_ptr_array_new_with_free_func(
		(GDestroyNotify)ledger_record_free);
	enqueue(shard, op);
}

static void refuse_all(shard_t *shard, GQueue *queue, const char *message)
{
	GQueue taken = *queue;
	op_t *op;

	g_queue_init(queue);
	if (queue == &shard->waiting)
		shard->waiting_bytes = 0;
	while ((op = g_queue_pop_head(&taken)) != NULL)
		op_refuse(shard, op, message);
}

static void refuse_overdue(shard_t *shard, int64_t now)
{
	GQueue overdue = G_QUEUE_INIT;
	GList *link = shard->waiting.head;

	while (link) {
		GList *next = link->next;
		op_t *op = link->data;

		if (op->deadline_ms <= now) {
			shard->waiting_bytes -= op->bytes;
			g_queue_unlink(&shard->waiting, link);
			g_queue_push_tail_link(&overdue, link);
		}
		link = next;
	}
	refuse_all(shard, &overdue, "not written in time");
	for (guint i = 0; i < shard->batch->len; i++) {
		op_t *op = shard->batch->pdata[i];

		if (op->deadline_ms <= now)
			op_interrupt(shard, op, true);
	}
}

/* Store calls */

static bool certainly_without_effect(const GError *error)
{
	return g_error_matches(error, WL_ERROR, WL_ERROR_UNAVAILABLE) ||
	       g_error_matches(error, WL_ERROR, WL_ERROR_RATE_LIMITED) ||
	       g_error_matches(error, WL_ERROR, WL_ERROR_REFUSED) ||
	       g_error_matches(error, WL_ERROR, WL_ERROR_TOO_LARGE);
}

static bool budget_ready(shard_t *shard)
{
	shard_budget_t *budget = shard->options.budget;
	int64_t now_us = clock_now_us(shard->options.clock);

	if (!budget || budget->writes_per_s <= 0)
		return true;
	budget->tokens += (double)(now_us - budget->refilled_us) *
			  budget->writes_per_s / 1e6;
	budget->refilled_us = now_us;
	/* A fifth of a second of burst: an outage's end causes no peak. */
	budget->tokens = MIN(budget->tokens, MAX(1, budget->writes_per_s / 5));
	return budget->tokens >= 1;
}

static void budget_take(shard_t *shard)
{
	if (shard->options.budget)
		shard->options.budget->tokens -= 1;
}

static void back_off(shard_t *shard)
{
	uint32_t shift = MIN(shard->failures, 6);
	int64_t delay = MIN(FIRST_RETRY_MS << shift, MAX_RETRY_MS);
	uint64_t salt =
		ring_hash(shard->owner_address, strlen(shard->owner_address),
			  shard->options.number + shard->writes);

	if (shard->failures++ == 0)
		notify(shard, SHARD_STORE_FAILED);
	shard->options.stats->store_failures++;
	shard->retry_ms = now_ms(shard) + delay + (int64_t)(salt % delay) / 2;
}

static void store_answered(shard_t *shard)
{
	if (shard->failures > 0)
		notify(shard, SHARD_STORE_BACK);
	shard->failures = 0;
	shard->retry_ms = 0;
}

static char *object_name(const shard_t *shard, uint64_t id, bool is_index)
{
	return g_strdup_printf("%s/%u/%016" PRIx64,
			       is_index ? "index" : "segment",
			       shard->options.number, id);
}

static char *next_writer(shard_t *shard, bool releasing)
{
	return g_strdup_printf("%s/%" PRIx64 "/%" PRIu64 "%s",
			       shard->owner_address, shard->options.incarnation,
			       ++shard->writes, releasing ? "/released" : "");
}

/* The pattern that every completion starts with. FALSE after shard_free(). */
static bool call_returned(shard_t *shard)
{
	shard->pending--;
	if (!shard->freed)
		return true;
	check_freed(shard);
	return false;
}

static void set_hint(shard_t *shard, const char *writer)
{
	const char *slash = writer ? strchr(writer, '/') : NULL;

	g_free(shard->hint);
	shard->hint = NULL;
	if (slash && !g_str_has_suffix(writer, "/released"))
		shard->hint = g_strndup(writer, (gsize)(slash - writer));
}

/* Head write */

static void write_clear(shard_t *shard)
{
	head_write_t *write = &shard->write;

	g_bytes_unref(write->bytes);
	g_free(write->writer);
	*write = (head_write_t){ 0 };
}

static void drop_ledger(shard_t *shard)
{
	ledger_free(shard->ledger);
	shard->ledger = NULL;
	ledger_write_free(shard->other_write);
	shard->other_write = NULL;
}

static GPtrArray *take_batch(shard_t *shard)
{
	GPtrArray *batch = shard->batch;

	shard->batch = g_ptr_array_new();
	return batch;
}

static void drop_state(shard_t *shard)
{
	shard->owner = false;
	shard->epoch = 0;
	shard->wanted_segment = 0;
	drop_ledger(shard);
	g_array_set_size(shard->dropped, 0);
	g_array_set_size(shard->garbage, 0);
	shard->seen_version = 0;
	shard->poll_ms = now_ms(shard);
}

static void fail_batch(shard_t *shard, bool maybe_written)
{
	GPtrArray *batch = take_batch(shard);

	for (guint i = 0; i < batch->len; i++) {
		op_interrupt(shard, batch->pdata[i], maybe_written);
		op_free(batch->pdata[i]);
	}
	g_ptr_array_free(batch, TRUE);
}

static void write_lost(shard_t *shard, const char *writer)
{
	bool was_owner = shard->owner;
	bool uncertain = shard->write.uncertain;

	set_hint(shard, writer);
	write_clear(shard);
	drop_state(shard);
	if (was_owner) {
		shard->options.stats->losses++;
		notify(shard, SHARD_LOST);
	}
	fail_batch(shard, uncertain);
	refuse_all(shard, &shard->waiting, "the shard has another owner");
}

/* Drops what a list has read so far. */
static void list_restart(op_t *op)
{
	if (!op->segments)
		return;
	g_array_free(op->segments, TRUE);
	g_hash_table_destroy(op->seen);
	g_ptr_array_set_size(op->records, 0);
	op->segments = NULL;
	op->seen = NULL;
	op->position = 0;
}

/* The write had no effect: its operations wait again, in their order. */
static void write_refused(shard_t *shard)
{
	GPtrArray *batch = take_batch(shard);

	write_clear(shard);
	for (guint i = batch->len; i-- > 0;) {
		op_t *op = batch->pdata[i];

		if (op->undo) {
			ledger_undo(shard->ledger, op->undo);
			op->undo = NULL;
		}
		ledger_record_free(op->answer);
		op->answer = NULL;
		if (op->done || op->list_done) {
			shard->waiting_bytes += op->bytes;
			g_queue_push_head(&shard->waiting, op);
		} else {
			op_free(op);
		}
	}
	g_ptr_array_free(batch, TRUE);
	/* Lists may have read what is now undone. */
	for (GList *l = shard->waiting.head; l; l = l->next)
		list_restart(l->data);
}

static void report_change(shard_t *shard, const op_t *op)
{
	const shard_observer_t *observer = &shard->options.observer;

	if (op->undo && observer->changed)
		observer->changed(shard, op->answer, observer->user_data);
}

static void commit_batch(shard_t *shard)
{
	GPtrArray *batch = take_batch(shard);
	int64_t updates = 0;

	for (guint i = 0; i < batch->len; i++) {
		op_t *op = batch->pdata[i];

		updates += op->undo != NULL;
		report_change(shard, op);
		op_succeed(shard, op);
		op_free(op);
	}
	if (updates > shard->options.stats->largest_batch)
		shard->options.stats->largest_batch = updates;
	g_ptr_array_free(batch, TRUE);
}

static void write_succeeded(shard_t *shard, uint64_t version)
{
	bool acquiring = shard->write.acquiring;
	bool releasing = shard->write.releasing;

	shard->version = version;
	shard->written_ms = shard->write.started_ms;
	shard->options.stats->head_writes++;
	shard->options.stats->head_bytes +=
		(int64_t)g_bytes_get_size(shard->write.bytes);
	g_array_append_vals(shard->garbage, shard->dropped->data,
			    shard->dropped->len);
	g_array_set_size(shard->dropped, 0);
	write_clear(shard);
	store_answered(shard);
	if (acquiring) {
		shard->owner = true;
		shard->options.stats->takeovers++;
		notify(shard, SHARD_ACQUIRED);
		return;
	}
	commit_batch(shard);
	if (!releasing)
		return;
	g_clear_pointer(&shard->hint, g_free);
	drop_state(shard);
	notify(shard, SHARD_RELEASED);
	refuse_all(shard, &shard->waiting, "the shard was released");
}

static void on_head_put(const object_value_t *value, const GError *error,
			void *user_data)
{
	shard_t *shard = user_data;
	bool too_large;

	if (!call_returned(shard))
		return;
	shard->busy = false;
	if (!error) {
		write_succeeded(shard, value->version);
	} else if (g_error_matches(error, WL_ERROR, WL_ERROR_CONFLICT)) {
		if (g_strcmp0(value->writer, shard->write.writer) == 0)
			write_succeeded(shard, value->version);
		else
			write_lost(shard, value->writer);
	} else if (!certainly_without_effect(error)) {
		if (!shard->write.uncertain)
			notify(shard, SHARD_UNCERTAIN);
		else
			back_off(shard);
		shard->options.stats->uncertain++;
		shard->write.uncertain = true;
	} else if (!shard->write.uncertain && !shard->write.acquiring) {
		too_large =
			g_error_matches(error, WL_ERROR, WL_ERROR_TOO_LARGE);
		write_refused(shard);
		if (too_large)
			refuse_all(shard, &shard->waiting,
				   "the shard's head is too large");
		back_off(shard);
	} else {
		back_off(shard);
	}
	shard_step(shard);
}

static void put_head(shard_t *shard)
{
	gsize len;
	const void *data = g_bytes_get_data(shard->write.bytes, &len);

	budget_take(shard);
	shard->busy = true;
	shard->pending++;
	object_put(shard->options.store, shard->key, data, len,
		   shard->write.if_version, shard->write.writer, on_head_put,
		   shard);
}

static void start_head_write(shard_t *shard, bool acquiring, bool releasing)
{
	ledger_head head = { 0 };
	head_write_t *write = &shard->write;

	ledger_collect(shard->ledger, wall_ms(shard), shard->dropped);
	head.owner = shard->owner_address;
	head.epoch = shard->epoch;
	head.sequence = ++shard->sequence;
	head.released = releasing;
	write->bytes = ledger_encode_head(shard->ledger, &head, wall_ms(shard));
	write->writer = next_writer(shard, releasing);
	write->if_version = shard->version;
	write->started_ms = now_ms(shard);
	write->acquiring = acquiring;
	write->releasing = releasing;
	put_head(shard);
}

/* Read-back after a lost answer. An unchanged head may still be overtaken by
 * the write in flight; so the same write is sent again, with the same token.
 * Whichever comes second is refused and shows the token. */
static void on_read_back(const object_value_t *value, const GError *error,
			 void *user_data)
{
	shard_t *shard = user_data;
	bool absent = g_error_matches(error, WL_ERROR, WL_ERROR_NOT_FOUND);

	if (!call_returned(shard))
		return;
	shard->busy = false;
	if (error && !absent) {
		back_off(shard);
	} else if ((absent ? 0 : value->version) == shard->write.if_version) {
		if (budget_ready(shard))
			put_head(shard);
		else
			shard->retry_ms = now_ms(shard) + FIRST_RETRY_MS;
	} else if (value &&
		   g_strcmp0(value->writer, shard->write.writer) == 0) {
		write_succeeded(shard, value->version);
	} else {
		write_lost(shard, value ? value->writer : NULL);
	}
	shard_step(shard);
}

static void read_back(shard_t *shard)
{
	shard->busy = true;
	shard->pending++;
	object_get(shard->options.store, shard->key, on_read_back, shard);
}

/* Takeover */

static void abort_takeover(shard_t *shard)
{
	drop_ledger(shard);
	shard->poll_ms = now_ms(shard) + POLL_MS;
}

static void load_indexes(shard_t *shard);

static void on_index(const object_value_t *value, const GError *error,
		     void *user_data)
{
	shard_t *shard = user_data;
	uint64_t id;

	if (!call_returned(shard))
		return;
	shard->busy = false;
	id = ledger_missing_index(shard->ledger);
	if (error || !ledger_load_index(shard->ledger, id, value->data,
					value->len, NULL)) {
		/* Once, it may have been replaced after the head was read. */
		if (!error || shard->unreadable_version == shard->version)
			notify(shard, SHARD_BROKEN);
		if (g_error_matches(error, WL_ERROR, WL_ERROR_NOT_FOUND))
			shard->unreadable_version = shard->version;
		abort_takeover(shard);
		return;
	}
	load_indexes(shard);
}

static void load_indexes(shard_t *shard)
{
	uint64_t id = ledger_missing_index(shard->ledger);
	char *name;

	if (!id) {
		start_head_write(shard, true, false);
		return;
	}
	name = object_name(shard, id, true);
	shard->busy = true;
	shard->pending++;
	object_get(shard->options.store, name, on_index, shard);
	g_free(name);
}

static void start_takeover(shard_t *shard, const object_value_t *value)
{
	ledger_head head = { 0 };

	shard->ledger = ledger_new(&shard->options.ledger);
	shard->version = value ? value->version : OBJECT_ABSENT;
	if (value && !ledger_replay(shard->ledger, value->data, value->len,
				    &head, NULL)) {
		notify(shard, SHARD_BROKEN);
		abort_takeover(shard);
		return;
	}
	shard->epoch = head.epoch + 1;
	shard->sequence = head.sequence;
	shard->ids = shard->epoch << ID_COUNT_BITS;
	xdr_free((xdrproc_t)xdr_ledger_head, (char *)&head);
	load_indexes(shard);
}

/* Written by an earlier process at the own address, which is gone. */
static bool written_by_predecessor(const shard_t *shard, const char *writer)
{
	size_t len = strlen(shard->owner_address);
	char own[24];

	snprintf(own, sizeof(own), "/%" PRIx64 "/", shard->options.incarnation);
	return strncmp(writer, shard->owner_address, len) == 0 &&
	       writer[len] == '/' && !g_str_has_prefix(writer + len, own);
}

static bool may_take_over(shard_t *shard, const object_value_t *value)
{
	const char *writer = value->writer ? value->writer : "";
	int64_t now = now_ms(shard);

	set_hint(shard, writer);
	if (g_str_has_suffix(writer, "/released") ||
	    written_by_predecessor(shard, writer))
		return true;
	if (value->version != shard->seen_version) {
		shard->seen_version = value->version;
		shard->seen_since_ms = now;
		return false;
	}
	return now - shard->seen_since_ms >= shard->options.lease_ms;
}

static void on_poll(const object_value_t *value, const GError *error,
		    void *user_data)
{
	shard_t *shard = user_data;

	if (!call_returned(shard))
		return;
	shard->busy = false;
	shard->poll_ms = now_ms(shard) + POLL_MS;
	if (shard->releasing || !shard->candidate)
		return;
	if (g_error_matches(error, WL_ERROR, WL_ERROR_NOT_FOUND))
		start_takeover(shard, NULL);
	else if (!error && may_take_over(shard, value))
		start_takeover(shard, value);
}

static void follower_step(shard_t *shard, int64_t now)
{
	if (!shard->candidate || shard->releasing) {
		refuse_all(shard, &shard->waiting,
			   "this node is not the owner");
		return;
	}
	if (now < shard->poll_ms)
		return;
	shard->busy = true;
	shard->pending++;
	object_get(shard->options.store, shard->key, on_poll, shard);
}

/* Segments */

static bool reads_valid(const shard_t *shard, int64_t now)
{
	return now - shard->written_ms < (int64_t)shard->options.lease_ms *
						 READ_LEASE_NUM /
						 READ_LEASE_DEN;
}

static void on_segment(const object_value_t *value, const GError *error,
		       void *user_data)
{
	shard_t *shard = user_data;
	uint64_t id;

	if (!call_returned(shard))
		return;
	shard->reading_segment = false;
	id = shard->wanted_segment;
	shard->wanted_segment = 0;
	if (!shard->owner || !id)
		return;
	if (!error && ledger_load_segment(shard->ledger, id, value->data,
					  value->len, NULL)) {
		shard->options.stats->segment_reads++;
		shard_step(shard);
		return;
	}
	/* Compaction may have removed it since, or that of a successor. */
	if (reads_valid(shard, now_ms(shard)) &&
	    ledger_knows_segment(shard->ledger, id) &&
	    (!error || g_error_matches(error, WL_ERROR, WL_ERROR_NOT_FOUND)))
		notify(shard, SHARD_BROKEN);
	shard->retry_ms = now_ms(shard) + FIRST_RETRY_MS;
}

static void read_segment(shard_t *shard, uint64_t id)
{
	char *name;

	if (shard->reading_segment)
		return;
	name = object_name(shard, id, false);
	shard->wanted_segment = id;
	shard->reading_segment = true;
	shard->pending++;
	object_get(shard->options.store, name, on_segment, shard);
	g_free(name);
}

static void on_other_put(const object_value_t *value, const GError *error,
			 void *user_data)
{
	shard_t *shard = user_data;

	if (!call_returned(shard))
		return;
	shard->busy = false;
	/* Ids are unique, so an existing object is the own earlier write. */
	if (error && !g_error_matches(error, WL_ERROR, WL_ERROR_CONFLICT)) {
		back_off(shard);
	} else if (shard->other_write) {
		shard->options.stats->other_writes++;
		ledger_write_done(shard->ledger, shard->other_write);
		shard->other_write = NULL;
		store_answered(shard);
		notify(shard, SHARD_SEALED);
	}
	shard_step(shard);
}

static void put_other(shard_t *shard)
{
	const ledger_write_t *write = shard->other_write;
	char *name = object_name(shard, write->id, write->is_index);
	char *writer = next_writer(shard, false);
	gsize len;
	const void *data = g_bytes_get_data(write->data, &len);

	budget_take(shard);
	shard->busy = true;
	shard->pending++;
	object_put(shard->options.store, name, data, len, OBJECT_ABSENT, writer,
		   on_other_put, shard);
	g_free(writer);
	g_free(name);
}

/* Garbage: an object's version must be known to remove it. What a failure
 * leaves behind stays in the store without being referred to. */

static void on_removed(const object_value_t *value, const GError *error,
		       void *user_data)
{
	shard_t *shard = user_data;

	if (!call_returned(shard))
		return;
	shard->removing = false;
	if (!error)
		shard->options.stats->other_writes++;
}

static void on_garbage_listed(const object_listing_t *listing,
			      const GError *error, void *user_data)
{
	shard_t *shard = user_data;
	const object_entry_t *entry;

	if (!call_returned(shard))
		return;
	shard->removing = false;
	if (error || listing->entries->len == 0)
		return;
	entry = &g_array_index(listing->entries, object_entry_t, 0);
	shard->removing = true;
	shard->pending++;
	budget_take(shard);
	object_remove(shard->options.store, entry->key, entry->version,
		      on_removed, shard);
}

static void remove_garbage(shard_t *shard)
{
	ledger_garbage_t garbage;
	char *name;

	if (shard->removing || !shard->garbage->len || !budget_ready(shard))
		return;
	garbage = g_array_index(shard->garbage, ledger_garbage_t, 0);
	g_array_remove_index(shard->garbage, 0);
	name = object_name(shard, garbage.id, garbage.is_index);
	shard->removing = true;
	shard->pending++;
	object_list(shard->options.store, name, NULL, 1, on_garbage_listed,
		    shard);
	g_free(name);
}

/* Owner */

static void collect_listed(const ledger_record *record, void *user_data)
{
	op_t *op = user_data;
	ledger_record *copy;

	if (g_hash_table_contains(op->seen, record->key))
		return;
	copy = ledger_record_copy(record);
	g_ptr_array_add(op->records, copy);
	g_hash_table_add(op->seen, copy->key);
}

static guint listed_hash(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

static gboolean listed_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, LEDGER_KEY_BYTES) == 0;
}

/* Newest first, so that the first record of a key is the current one. Starts
 * anew when compaction has moved records meanwhile. Returns false with the
 * segment that must be read. */
static bool advance_list(shard_t *shard, op_t *op, uint64_t *segment)
{
	if (op->segments && op->position < op->segments->len &&
	    !ledger_knows_segment(
		    shard->ledger,
		    g_array_index(op->segments, uint64_t, op->position)))
		list_restart(op);
	if (!op->segments) {
		op->seen = g_hash_table_new(listed_hash, listed_equal);
		op->segments = ledger_segments(shard->ledger, op->list_kind);
		ledger_each(shard->ledger, op->list_kind, 0, wall_ms(shard),
			    collect_listed, op);
	}
	while (op->position < op->segments->len) {
		*segment = g_array_index(op->segments, uint64_t, op->position);
		if (!ledger_has_segment(shard->ledger, *segment))
			return false;
		ledger_each(shard->ledger, op->list_kind, *segment,
			    wall_ms(shard), collect_listed, op);
		op->position++;
	}
	return true;
}

/* False when the operation must wait for a segment. */
static bool execute(shard_t *shard, op_t *op, uint64_t *segment)
{
	ledger_lookup_t *found = &op->lookup;

	if (op->kind == OP_LIST) {
		op->status = LEDGER_FOUND;
		return advance_list(shard, op, segment);
	}
	if (op->kind == OP_GET)
		op->status = ledger_find(shard->ledger, op->key, wall_ms(shard),
					 found);
	else
		op->status = ledger_update(shard->ledger, op->update, op->token,
					   wall_ms(shard), found, &op->undo);
	*segment = found->segment;
	if (op->status == LEDGER_NEED_SEGMENT)
		return false;
	if (found->record)
		op->answer = ledger_record_copy(found->record);
	return true;
}

/* Executes what waits; returns the bytes of applied updates. */
static size_t execute_waiting(shard_t *shard, bool with_updates)
{
	GList *link = shard->waiting.head;
	size_t bytes = 0;
	uint64_t wanted = 0;

	while (link && bytes < MAX_BATCH_BYTES &&
	       shard->batch->len < MAX_BATCH_UPDATES) {
		GList *next = link->next;
		op_t *op = link->data;
		uint64_t segment = 0;

		if (op->kind == OP_UPDATE && !with_updates) {
			link = next;
			continue;
		}
		if (execute(shard, op, &segment)) {
			g_queue_delete_link(&shard->waiting, link);
			shard->waiting_bytes -= op->bytes;
			g_ptr_array_add(shard->batch, op);
			if (op->undo)
				bytes += op->bytes;
		} else if (!wanted) {
			wanted = segment;
		}
		link = next;
	}
	if (wanted)
		read_segment(shard, wanted);
	return bytes;
}

/* While no write can start, only reads are answered. */
static void serve_reads(shard_t *shard, int64_t now)
{
	if (!reads_valid(shard, now) || shard->batch->len)
		return;
	execute_waiting(shard, false);
	commit_batch(shard);
}

static bool wants_release(const shard_t *shard, int64_t now)
{
	return shard->releasing ||
	       (!shard->candidate &&
		now - shard->candidate_since_ms >= HANDOVER_MS);
}

static bool start_other_write(shard_t *shard)
{
	if (!shard->other_write) {
		shard->other_write = ledger_write_next(
			shard->ledger, shard->ids + 1, wall_ms(shard));
		if (shard->other_write)
			shard->ids++;
	}
	if (!shard->other_write)
		return false;
	put_other(shard);
	return true;
}

static void carry(shard_t *shard)
{
	uint64_t wall = wall_ms(shard);
	uint64_t age = (uint64_t)shard->options.carry_after_ms;
	uint64_t needed;

	if (wall < age || shard->reading_segment)
		return;
	needed = ledger_carry(shard->ledger, wall - age, wall);
	if (needed)
		read_segment(shard, needed);
}

static void write_batch(shard_t *shard, int64_t now)
{
	bool renew = now - shard->written_ms >= shard->options.renew_ms;
	bool release = wants_release(shard, now);
	size_t bytes;

	if (!renew && !release && start_other_write(shard))
		return;
	carry(shard);
	bytes = execute_waiting(shard, true);
	if (bytes > 0 || renew || release)
		start_head_write(shard, false, release);
	else
		commit_batch(shard);
}

static void owner_step(shard_t *shard, int64_t now)
{
	if (shard->write.bytes) {
		if (now >= shard->retry_ms)
			read_back(shard);
		return;
	}
	if (now < shard->retry_ms || !budget_ready(shard)) {
		serve_reads(shard, now);
		return;
	}
	write_batch(shard, now);
	remove_garbage(shard);
}

void shard_step(shard_t *shard)
{
	int64_t now = now_ms(shard);

	refuse_all(shard, &shard->refused, "too many operations wait");
	refuse_overdue(shard, now);
	if (shard->busy)
		return;
	if (shard->owner || shard->write.bytes)
		owner_step(shard, now);
	else
		follower_step(shard, now);
}

/* Life cycle */

shard_t *shard_new(const shard_options_t *options)
{
	shard_t *shard = g_new0(shard_t, 1);

	shard->options = *options;
	if (!shard->options.max_waiting)
		shard->options.max_waiting = DEFAULT_MAX_WAITING;
	if (!shard->options.max_waiting_bytes)
		shard->options.max_waiting_bytes = DEFAULT_MAX_WAITING_BYTES;
	if (!shard->options.lease_ms)
		shard->options.lease_ms = DEFAULT_LEASE_MS;
	if (!shard->options.renew_ms)
		shard->options.renew_ms = DEFAULT_RENEW_MS;
	if (!shard->options.carry_after_ms)
		shard->options.carry_after_ms = DEFAULT_CARRY_AFTER_MS;
	shard->owner_address = g_strdup(options->owner);
	shard->key = g_strdup_printf("shard/%u", options->number);
	shard->batch = g_ptr_array_new();
	shard->garbage = g_array_new(FALSE, FALSE, sizeof(ledger_garbage_t));
	shard->dropped = g_array_new(FALSE, FALSE, sizeof(ledger_garbage_t));
	g_queue_init(&shard->waiting);
	g_queue_init(&shard->refused);
	return shard;
}

static void check_freed(shard_t *shard)
{
	if (shard->pending)
		return;
	write_clear(shard);
	drop_ledger(shard);
	g_ptr_array_free(shard->batch, TRUE);
	g_array_free(shard->garbage, TRUE);
	g_array_free(shard->dropped, TRUE);
	g_free(shard->owner_address);
	g_free(shard->hint);
	g_free(shard->key);
	g_free(shard);
}

void shard_free(shard_t *shard)
{
	if (!shard)
		return;
	fail_batch(shard, true);
	refuse_all(shard, &shard->waiting, "the node stops");
	refuse_all(shard, &shard->refused, "the node stops");
	shard->freed = true;
	check_freed(shard);
}

uint32_t shard_number(const shard_t *shard)
{
	return shard->options.number;
}

void shard_set_candidate(shard_t *shard, bool candidate)
{
	if (shard->candidate == candidate)
		return;
	shard->candidate = candidate;
	shard->candidate_since_ms = now_ms(shard);
	shard->poll_ms = shard->candidate_since_ms;
	shard->seen_version = 0;
}

void shard_release(shard_t *shard)
{
	shard->releasing = true;
}

bool shard_is_released(const shard_t *shard)
{
	return shard->releasing && !shard->owner && !shard->write.bytes;
}

bool shard_is_owner(const shard_t *shard)
{
	return shard->owner;
}

const char *shard_owner(const shard_t *shard)
{
	return shard->owner ? shard->owner_address : shard->hint;
}

uint64_t shard_epoch(const shard_t *shard)
{
	return shard->owner ? shard->epoch : 0;
}

const ledger_t *shard_ledger(const shard_t *shard)
{
	return shard->ledger;
}

uint32_t shard_waiting(const shard_t *shard)
{
	return shard->waiting.length + shard->batch->len;
}

const char *shard_event_name(shard_event_t event)
{
	static const char *const names[SHARD_EVENT_COUNT] = {
		[SHARD_ACQUIRED] = "shard_acquired",
		[SHARD_LOST] = "shard_lost",
		[SHARD_RELEASED] = "shard_released",
		[SHARD_UNCERTAIN] = "shard_write_uncertain",
		[SHARD_STORE_FAILED] = "shard_store_failed",
		[SHARD_STORE_BACK] = "shard_store_back",
		[SHARD_SEALED] = "shard_sealed",
		[SHARD_BROKEN] = "shard_broken",
	};

	return names[event];
}
