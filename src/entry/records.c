#include "entry/records.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "coord/shard.h"

#define STEP_MS 50
/* Weights of all members are computed for each shard. */
#define CANDIDATE_MS 500
#define DEFAULT_TIMEOUT_MS 3000
/* One forwarded attempt; the same update is repeated with its token. */
#define ATTEMPT_MS 2000
#define RETRY_MS 100
#define SCAN_TIMEOUT_MS 60000
#define PAGE_BYTES (1024 * 1024)

typedef struct place {
	records_t *records;
	shard_t *shard;
	char *key; /* "shard/<n>" */
	char *hint; /* owner as told by a peer; NULL if unknown */
	bool candidate;
} place_t;

typedef struct follower {
	record_kind_t kind;
	record_each_t each;
	void *user_data;
} follower_t;

struct records {
	records_options_t options;
	uint32_t shard_count;
	place_t *places;
	shard_budget_t budget;
	shard_stats_t stats;
	int64_t **counters; /* in the order of the fields of shard_stats_t */
	int64_t *owned;
	int64_t *waiting;
	int64_t *forwarded;
	struct event *step_timer;
	struct event *kick;
	int64_t candidates_ms; /* last computed */
	uint64_t tokens;
	bool releasing;
	GHashTable *calls; /* set of call_t */
	GPtrArray *followers; /* follower_t */
	GPtrArray *scans; /* scan_t */
};

/* One operation with its retries. */
typedef struct call {
	records_t *records;
	place_t *place;
	bool is_update;
	ledger_record *record; /* the update, or only the key */
	char token[LEDGER_TOKEN_BYTES];
	int64_t deadline_ms;
	bool uncertain; /* an attempt may have had an effect */
	char *target; /* of the current attempt; NULL: local */
	struct event *retry;
	record_done_t done;
	void *user_data;
} call_t;

/* Reads a shard's records of a kind for one follower. */
typedef struct scan {
	records_t *records;
	place_t *place;
	follower_t *follower;
	uint64_t epoch;
	GHashTable *changed; /* keys that were told since the start */
} scan_t;

static const char *const stat_names[] = {
	"ledger_head_writes_total",	 "ledger_other_writes_total",
	"ledger_updates_total",		 "ledger_largest_batch",
	"ledger_conflicts_total",	 "ledger_repeats_total",
	"ledger_refused_total",		 "ledger_unknown_total",
	"ledger_takeovers_total",	 "ledger_losses_total",
	"ledger_uncertain_writes_total", "ledger_store_failures_total",
	"ledger_segment_reads_total",	 "ledger_head_bytes_total",
};

G_STATIC_ASSERT(sizeof(shard_stats_t) ==
		G_N_ELEMENTS(stat_names) * sizeof(int64_t));

static void call_attempt(call_t *call);
static void scan_start(records_t *records, place_t *place,
		       follower_t *follower);

record_key_t record_key_make(const char *part, ...)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 digest[32];
	gsize len = sizeof(digest);
	record_key_t key;
	va_list parts;

	va_start(parts, part);
	for (; part; part = va_arg(parts, const char *)) {
		uint64_t size = GUINT64_TO_BE((uint64_t)strlen(part));

		g_checksum_update(checksum, (const guchar *)&size,
				  sizeof(size));
		g_checksum_update(checksum, (const guchar *)part,
				  (gssize)strlen(part));
	}
	va_end(parts);
	g_checksum_get_digest(checksum, digest, &len);
	g_checksum_free(checksum);
	memcpy(key.bytes, digest, sizeof(key.bytes));
	return key;
}

static int64_t now_ms(const records_t *records)
{
	return clock_now_ms(records->options.clock);
}

/* The ledger's fingerprints use the first bytes of the key. */
static place_t *place_of(const records_t *records, const void *key)
{
	const uint8_t *b = (const uint8_t *)key + 12;
	uint32_t hash = (uint32_t)b[0] << 24 | (uint32_t)b[1] << 16 |
			(uint32_t)b[2] << 8 | b[3];

	return &records->places[hash % records->shard_count];
}

static record_t to_record(const ledger_record *from)
{
	record_t record = {
		.kind = (record_kind_t)from->kind,
		.version = from->revision,
		.expire_ms = from->expire_ms,
		.owner_tag = from->owner_tag,
		.data = from->data.data_val,
		.len = from->data.data_len,
	};

	memcpy(record.key.bytes, from->key, sizeof(record.key.bytes));
	return record;
}

static ledger_record from_record(const record_t *from)
{
	ledger_record record = {
		.kind = (u_int)from->kind,
		.revision = from->version,
		.expire_ms = from->expire_ms,
		.owner_tag = (char *)(from->owner_tag ? from->owner_tag : ""),
	};

	record.data.data_len = (u_int)from->len;
	record.data.data_val = (char *)from->data;
	memcpy(record.key, from->key.bytes, sizeof(record.key));
	return record;
}

static const char *own_address(const records_t *records)
{
	return member_self(records->options.members)->address;
}

static bool is_dead(const records_t *records, const char *address)
{
	const member_t *member = member_find(records->options.members, address);

	return member && member->state == MEMBER_DEAD;
}

static void set_hint(place_t *place, const char *hint)
{
	const char *own = own_address(place->records);

	g_free(place->hint);
	place->hint =
		hint && *hint && strcmp(hint, own) != 0 ? g_strdup(hint) : NULL;
}

static bool usable(const records_t *records, const char *address)
{
	return address && strcmp(address, own_address(records)) != 0 &&
	       !is_dead(records, address);
}

/* Where to send an operation: NULL for this node. */
static const char *choose_target(const place_t *place)
{
	const records_t *records = place->records;
	const member_t *candidate;

	if (shard_is_owner(place->shard))
		return NULL;
	if (usable(records, place->hint))
		return place->hint;
	if (usable(records, shard_owner(place->shard)))
		return shard_owner(place->shard);
	candidate = member_owner(records->options.members, NULL, place->key);
	if (candidate && usable(records, candidate->address))
		return candidate->address;
	return NULL;
}

static void kick(records_t *records)
{
	event_active(records->kick, EV_TIMEOUT, 0);
}

/* Operations */

static void call_free(void *data)
{
	call_t *call = data;

	event_free(call->retry);
	ledger_record_free(call->record);
	g_free(call->target);
	g_free(call);
}

static void call_finish(call_t *call, const ledger_record *found,
			const GError *error)
{
	record_done_t done = call->done;
	void *user_data = call->user_data;
	record_t record;

	if (found)
		record = to_record(found);
	g_hash_table_steal(call->records->calls, call);
	if (done)
		done(found ? &record : NULL, error, user_data);
	call_free(call);
}

static void call_fail(call_t *call, error_code_t code, const char *message)
{
	GError *error = g_error_new_literal(WL_ERROR, (int)code, message);

	call_finish(call, NULL, error);
	g_error_free(error);
}

static void call_retry(call_t *call, int32_t delay_ms)
{
	struct timeval delay = { delay_ms / 1000, delay_ms % 1000 * 1000 };
	int64_t left = call->deadline_ms - now_ms(call->records);

	if (left > delay_ms) {
		evtimer_add(call->retry, &delay);
		return;
	}
	if (call->uncertain && call->is_update)
		call_fail(call, WL_ERROR_TIMEOUT,
			  "the effect of the update is unknown");
	else
		call_fail(call, WL_ERROR_UNAVAILABLE,
			  "the owner of the record is not available");
}

static void on_retry(evutil_socket_t fd, short events, void *arg)
{
	call_attempt(arg);
}

/* An attempt ended without a verdict on the record. */
static void attempt_failed(call_t *call, error_code_t code, const char *hint)
{
	bool moved = hint && *hint && g_strcmp0(hint, call->target) != 0;

	if (code != WL_ERROR_UNAVAILABLE && code != WL_ERROR_REFUSED)
		call->uncertain = true;
	set_hint(call->place, hint);
	call_retry(call, moved ? 1 : RETRY_MS);
}

static void on_local_done(const ledger_record *record, const GError *error,
			  void *user_data)
{
	call_t *call = user_data;

	if (!error || error->code == WL_ERROR_CONFLICT ||
	    error->code == WL_ERROR_NOT_FOUND ||
	    error->code == WL_ERROR_TOO_LARGE)
		call_finish(call, record, error);
	else
		attempt_failed(call, (error_code_t)error->code, NULL);
}

static void attempt_locally(call_t *call)
{
	shard_t *shard = call->place->shard;

	if (call->is_update)
		shard_update(shard, call->record, call->token,
			     call->deadline_ms, on_local_done, call);
	else
		shard_get(shard, call->record->key, call->deadline_ms,
			  on_local_done, call);
	kick(call->records);
}

static void on_remote_done(const void *data, const GError *error,
			   void *user_data)
{
	static const struct {
		error_code_t code;
		bool final;
	} by_answer[] = {
		[LEDGER_ANSWER_OK] = { WL_ERROR_INTERNAL, true },
		[LEDGER_ANSWER_CONFLICT] = { WL_ERROR_CONFLICT, true },
		[LEDGER_ANSWER_NOT_FOUND] = { WL_ERROR_NOT_FOUND, true },
		[LEDGER_ANSWER_TOO_LARGE] = { WL_ERROR_TOO_LARGE, true },
		[LEDGER_ANSWER_UNAVAILABLE] = { WL_ERROR_UNAVAILABLE, false },
		[LEDGER_ANSWER_TIMEOUT] = { WL_ERROR_TIMEOUT, false },
		[LEDGER_ANSWER_NOT_OWNER] = { WL_ERROR_UNAVAILABLE, false },
	};
	const ledger_result *result = data;
	call_t *call = user_data;
	GError verdict = { WL_ERROR, 0, "the owner refused the operation" };

	if (error) {
		attempt_failed(call, (error_code_t)error->code, NULL);
		return;
	}
	if ((size_t)result->answer >= G_N_ELEMENTS(by_answer)) {
		attempt_failed(call, WL_ERROR_PROTOCOL, NULL);
		return;
	}
	if (!by_answer[result->answer].final) {
		attempt_failed(call, by_answer[result->answer].code,
			       result->hint);
		return;
	}
	verdict.code = (int)by_answer[result->answer].code;
	set_hint(call->place, call->target);
	call_finish(call,
		    result->records.records_len ? result->records.records_val :
						  NULL,
		    result->answer == LEDGER_ANSWER_OK ? NULL : &verdict);
}

static void attempt_remotely(call_t *call)
{
	records_t *records = call->records;
	int64_t left = call->deadline_ms - now_ms(records);
	int32_t timeout_ms = (int32_t)CLAMP(left, 1, ATTEMPT_MS);
	ledger_update_args update = { .shards = records->shard_count,
				      .timeout_ms = timeout_ms };
	ledger_read_args read = { .shards = records->shard_count,
				  .timeout_ms = timeout_ms };
	rpc_call_options_t options = {
		.address = call->target,
		.program = LEDGER_PROGRAM,
		.decode = (xdrproc_t)xdr_ledger_result,
		.result_size = sizeof(ledger_result),
		.timeout_ms = timeout_ms,
		.done = on_remote_done,
		.user_data = call,
	};

	if (call->is_update) {
		update.update = *call->record;
		memcpy(update.token, call->token, sizeof(update.token));
		options.procedure =
			call->record->revision ? LEDGER_RECORD : LEDGER_CLAIM;
		options.encode = (xdrproc_t)xdr_ledger_update_args;
		options.args = &update;
	} else {
		memcpy(read.key, call->record->key, sizeof(read.key));
		options.procedure = LEDGER_READ;
		options.encode = (xdrproc_t)xdr_ledger_read_args;
		options.args = &read;
	}
	++*records->forwarded;
	rpc_client_call(records->options.rpc_client, &options);
}

static void call_attempt(call_t *call)
{
	const char *target;

	if (call->record->data.data_len > RECORD_MAX_DATA_BYTES) {
		call_fail(call, WL_ERROR_TOO_LARGE, "the record is too large");
		return;
	}
	target = choose_target(call->place);
	g_free(call->target);
	call->target = g_strdup(target);
	if (call->target)
		attempt_remotely(call);
	else
		attempt_locally(call);
}

static call_t *call_new(records_t *records, const ledger_record *record,
			int32_t timeout_ms, record_done_t done, void *user_data)
{
	call_t *call = g_new0(call_t, 1);

	call->records = records;
	call->record = ledger_record_copy(record);
	call->place = place_of(records, record->key);
	call->deadline_ms = now_ms(records) + timeout_ms;
	call->done = done;
	call->user_data = user_data;
	call->retry = evtimer_new(records->options.base, on_retry, call);
	g_hash_table_add(records->calls, call);
	return call;
}

/* The first attempt is deferred: calls of one loop iteration go into one
 * write, and no completion runs before the caller returns. */
static void call_start(call_t *call)
{
	event_active(call->retry, EV_TIMEOUT, 0);
}

void records_get_within(records_t *records, const record_key_t *key,
			int32_t timeout_ms, record_done_t done, void *user_data)
{
	ledger_record wanted = { .owner_tag = (char *)"" };

	memcpy(wanted.key, key->bytes, sizeof(wanted.key));
	call_start(call_new(records, &wanted, timeout_ms, done, user_data));
}

void records_get(records_t *records, const record_key_t *key,
		 record_done_t done, void *user_data)
{
	records_get_within(records, key, records->options.timeout_ms, done,
			   user_data);
}

void records_update_within(records_t *records, const record_t *update,
			   int32_t timeout_ms, record_done_t done,
			   void *user_data)
{
	ledger_record record = from_record(update);
	call_t *call = call_new(records, &record, timeout_ms, done, user_data);
	uint64_t token[2] = { records->options.incarnation, ++records->tokens };

	call->is_update = true;
	memcpy(call->token, token, sizeof(call->token));
	call_start(call);
}

void records_update(records_t *records, const record_t *update,
		    record_done_t done, void *user_data)
{
	records_update_within(records, update, records->options.timeout_ms,
			      done, user_data);
}

/* Calls from peers */

static ledger_answer answer_of(const GError *error)
{
	static const struct {
		error_code_t code;
		ledger_answer answer;
	} by_code[] = {
		{ WL_ERROR_CONFLICT, LEDGER_ANSWER_CONFLICT },
		{ WL_ERROR_NOT_FOUND, LEDGER_ANSWER_NOT_FOUND },
		{ WL_ERROR_TOO_LARGE, LEDGER_ANSWER_TOO_LARGE },
		{ WL_ERROR_UNAVAILABLE, LEDGER_ANSWER_UNAVAILABLE },
	};

	if (!error)
		return LEDGER_ANSWER_OK;
	for (size_t i = 0; i < G_N_ELEMENTS(by_code); i++)
		if (error->code == (int)by_code[i].code)
			return by_code[i].answer;
	return LEDGER_ANSWER_TIMEOUT;
}

static void on_served(const ledger_record *record, const GError *error,
		      void *user_data)
{
	ledger_result result = { .answer = answer_of(error),
				 .hint = (char *)"" };

	result.records.records_len = record ? 1 : 0;
	result.records.records_val = (ledger_record *)record;
	rpc_reply(user_data, &result);
}

/* A candidate that does not own the shard yet lets operations wait, unless it
 * knows the owner. */
static bool serves(const place_t *place)
{
	if (shard_is_owner(place->shard))
		return true;
	return place->candidate &&
	       !usable(place->records, shard_owner(place->shard));
}

static char *hint_for_peer(const place_t *place)
{
	const char *target = choose_target(place);

	return (char *)(target ? target : "");
}

static place_t *place_for_peer(records_t *records, rpc_call_t *call,
			       uint32_t shards, const void *key)
{
	ledger_result result = { .answer = LEDGER_ANSWER_UNAVAILABLE,
				 .hint = (char *)"" };
	place_t *place = place_of(records, key);

	if (shards == records->shard_count && serves(place))
		return place;
	if (shards == records->shard_count) {
		result.answer = LEDGER_ANSWER_NOT_OWNER;
		result.hint = hint_for_peer(place);
	}
	rpc_reply(call, &result);
	return NULL;
}

static void handle_update(rpc_call_t *call, const void *data, void *user_data)
{
	const ledger_update_args *args = data;
	records_t *records = user_data;
	place_t *place =
		place_for_peer(records, call, args->shards, args->update.key);

	if (!place)
		return;
	shard_update(place->shard, &args->update, args->token,
		     now_ms(records) + CLAMP(args->timeout_ms, 0, 60000),
		     on_served, call);
	kick(records);
}

static void handle_read(rpc_call_t *call, const void *data, void *user_data)
{
	const ledger_read_args *args = data;
	records_t *records = user_data;
	place_t *place = place_for_peer(records, call, args->shards, args->key);

	if (!place)
		return;
	shard_get(place->shard, args->key,
		  now_ms(records) + CLAMP(args->timeout_ms, 0, 60000),
		  on_served, call);
	kick(records);
}

/* Lists */

typedef struct list {
	records_t *records;
	uint32_t kind;
	char *owner_tag;
	uint32_t open; /* shards without an outcome */
	bool complete;
	int64_t deadline_ms;
	GPtrArray *found; /* ledger_record */
	record_list_done_t done;
	void *user_data;
} list_t;

typedef struct list_part {
	list_t *list;
	place_t *place;
	char *target;
	char after[LEDGER_KEY_BYTES];
	bool from_start;
	struct event *retry;
} list_part_t;

static void list_part_start(list_part_t *part);

static void list_finish(list_t *list)
{
	GArray *array = g_array_new(FALSE, FALSE, sizeof(record_t));

	for (guint i = 0; i < list->found->len; i++) {
		record_t record = to_record(list->found->pdata[i]);

		g_array_append_val(array, record);
	}
	list->done(array, list->complete, list->user_data);
	g_array_free(array, TRUE);
	g_ptr_array_free(list->found, TRUE);
	g_free(list->owner_tag);
	g_free(list);
}

static void list_part_end(list_part_t *part, bool complete)
{
	list_t *list = part->list;

	if (!complete)
		list->complete = false;
	event_free(part->retry);
	g_free(part->target);
	g_free(part);
	if (--list->open == 0)
		list_finish(list);
}

static void list_part_retry(list_part_t *part, const char *hint)
{
	struct timeval delay = { 0, RETRY_MS * 1000 };

	set_hint(part->place, hint);
	if (!part->list->records->releasing &&
	    now_ms(part->list->records) + RETRY_MS < part->list->deadline_ms)
		evtimer_add(part->retry, &delay);
	else
		list_part_end(part, false);
}

static void on_list_retry(evutil_socket_t fd, short events, void *arg)
{
	list_part_start(arg);
}

static bool matches(const ledger_record *record, const char *owner_tag)
{
	return !owner_tag || strcmp(record->owner_tag, owner_tag) == 0;
}

static void on_local_list(const GPtrArray *records, const GError *error,
			  void *user_data)
{
	list_part_t *part = user_data;
	list_t *list = part->list;

	if (error) {
		list_part_retry(part, NULL);
		return;
	}
	for (guint i = 0; i < records->len; i++)
		if (matches(records->pdata[i], list->owner_tag))
			g_ptr_array_add(list->found,
					ledger_record_copy(records->pdata[i]));
	list_part_end(part, true);
}

static void on_remote_list(const void *data, const GError *error,
			   void *user_data)
{
	const ledger_list_result *result = data;
	list_part_t *part = user_data;
	u_int count;

	if (error || result->answer != LEDGER_ANSWER_OK) {
		list_part_retry(part, error ? NULL : result->hint);
		return;
	}
	count = result->records.records_len;
	for (u_int i = 0; i < count; i++)
		g_ptr_array_add(
			part->list->found,
			ledger_record_copy(&result->records.records_val[i]));
	if (!result->more || count == 0) {
		list_part_end(part, true);
		return;
	}
	memcpy(part->after, result->records.records_val[count - 1].key,
	       sizeof(part->after));
	part->from_start = false;
	list_part_start(part);
}

static void list_remotely(list_part_t *part)
{
	list_t *list = part->list;
	records_t *records = list->records;
	ledger_list_args args = {
		.shards = records->shard_count,
		.shard = shard_number(part->place->shard),
		.kind = list->kind,
		.owner_tag = list->owner_tag,
		.from_start = part->from_start,
	};
	rpc_call_options_t options = {
		.address = part->target,
		.program = LEDGER_PROGRAM,
		.procedure = LEDGER_LIST,
		.encode = (xdrproc_t)xdr_ledger_list_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_ledger_list_result,
		.result_size = sizeof(ledger_list_result),
		.timeout_ms = ATTEMPT_MS,
		.done = on_remote_list,
		.user_data = part,
	};

	memcpy(args.after, part->after, sizeof(args.after));
	rpc_client_call(records->options.rpc_client, &options);
}

static void list_part_start(list_part_t *part)
{
	const char *target = choose_target(part->place);

	g_free(part->target);
	part->target = g_strdup(target);
	if (part->target) {
		list_remotely(part);
		return;
	}
	shard_list(part->place->shard, part->list->kind,
		   part->list->deadline_ms, on_local_list, part);
	kick(part->list->records);
}

void records_list(records_t *records, record_kind_t kind, const char *owner_tag,
		  record_list_done_t done, void *user_data)
{
	list_t *list = g_new0(list_t, 1);

	g_assert(records->shard_count > 0);
	list->records = records;
	list->kind = (uint32_t)kind;
	list->owner_tag = g_strdup(owner_tag ? owner_tag : "");
	list->open = records->shard_count;
	list->complete = true;
	list->deadline_ms = now_ms(records) + records->options.timeout_ms;
	list->found = g_ptr_array_new_with_free_func(
		(GDestroyNotify)ledger_record_free);
	list->done = done;
	list->user_data = user_data;
	for (uint32_t i = 0; i < records->shard_count; i++) {
		list_part_t *part = g_new0(list_part_t, 1);

		part->list = list;
		part->place = &records->places[i];
		part->from_start = true;
		part->retry =
			evtimer_new(records->options.base, on_list_retry, part);
		event_active(part->retry, EV_TIMEOUT, 0);
	}
}

/* A page of a list for a peer. */
typedef struct list_request {
	rpc_call_t *call;
	char *owner_tag;
	char after[LEDGER_KEY_BYTES];
	bool from_start;
} list_request_t;

static int compare_listed(const void *a, const void *b)
{
	return memcmp(((const ledger_record *)a)->key,
		      ((const ledger_record *)b)->key, LEDGER_KEY_BYTES);
}

static bool in_page(const list_request_t *request, const ledger_record *record)
{
	return matches(record, request->owner_tag) &&
	       (request->from_start ||
		memcmp(record->key, request->after, LEDGER_KEY_BYTES) > 0);
}

static void on_list_served(const GPtrArray *records, const GError *error,
			   void *user_data)
{
	list_request_t *request = user_data;
	ledger_list_result result = { .answer = answer_of(error),
				      .hint = (char *)"" };
	GArray *page = g_array_new(FALSE, FALSE, sizeof(ledger_record));
	size_t bytes = 0;

	for (guint i = 0; !error && i < records->len; i++)
		if (in_page(request, records->pdata[i]))
			g_array_append_vals(page, records->pdata[i], 1);
	g_array_sort(page, compare_listed);
	for (guint i = 0; i < page->len && !result.more; i++) {
		bytes += ledger_record_bytes(
			&g_array_index(page, ledger_record, i));
		if (i > 0 && bytes > PAGE_BYTES)
			result.more = TRUE;
		else
			result.records.records_len = i + 1;
	}
	result.records.records_val = (ledger_record *)(void *)page->data;
	rpc_reply(request->call, &result);
	g_array_free(page, TRUE);
	g_free(request->owner_tag);
	g_free(request);
}

static void handle_list(rpc_call_t *call, const void *data, void *user_data)
{
	const ledger_list_args *args = data;
	records_t *records = user_data;
	ledger_list_result refusal = { .answer = LEDGER_ANSWER_UNAVAILABLE,
				       .hint = (char *)"" };
	list_request_t *request;
	place_t *place;

	if (args->shards != records->shard_count ||
	    args->shard >= records->shard_count) {
		rpc_reply(call, &refusal);
		return;
	}
	place = &records->places[args->shard];
	if (!serves(place)) {
		refusal.answer = LEDGER_ANSWER_NOT_OWNER;
		refusal.hint = hint_for_peer(place);
		rpc_reply(call, &refusal);
		return;
	}
	request = g_new0(list_request_t, 1);
	request->call = call;
	request->owner_tag = g_strdup(args->owner_tag);
	request->from_start = args->from_start;
	memcpy(request->after, args->after, sizeof(request->after));
	shard_list(place->shard, args->kind, now_ms(records) + ATTEMPT_MS,
		   on_list_served, request);
	kick(records);
}

/* Following */

static guint key_hash(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, LEDGER_KEY_BYTES) == 0;
}

static void scan_free(scan_t *scan)
{
	g_ptr_array_remove_fast(scan->records->scans, scan);
	g_hash_table_destroy(scan->changed);
	g_free(scan);
}

static void on_scanned(const GPtrArray *found, const GError *error,
		       void *user_data)
{
	scan_t *scan = user_data;
	bool still_owner = shard_is_owner(scan->place->shard) &&
			   shard_epoch(scan->place->shard) == scan->epoch;

	if (error && still_owner && !scan->records->releasing) {
		log_warn("ledger_scan_failed", "shard=%s error=%s",
			 scan->place->key,
			 error_name((error_code_t)error->code));
		scan_start(scan->records, scan->place, scan->follower);
	}
	for (guint i = 0; !error && still_owner && i < found->len; i++) {
		const ledger_record *record = found->pdata[i];
		record_t told = to_record(record);

		if (!g_hash_table_contains(scan->changed, record->key))
			scan->follower->each(&told, scan->follower->user_data);
	}
	scan_free(scan);
}

static void scan_start(records_t *records, place_t *place, follower_t *follower)
{
	scan_t *scan = g_new0(scan_t, 1);

	scan->records = records;
	scan->place = place;
	scan->follower = follower;
	scan->epoch = shard_epoch(place->shard);
	scan->changed =
		g_hash_table_new_full(key_hash, key_equal, g_free, NULL);
	g_ptr_array_add(records->scans, scan);
	shard_list(place->shard, (uint32_t)follower->kind,
		   now_ms(records) + SCAN_TIMEOUT_MS, on_scanned, scan);
	kick(records);
}

void records_follow(records_t *records, record_kind_t kind, record_each_t each,
		    void *user_data)
{
	follower_t *follower = g_new0(follower_t, 1);

	follower->kind = kind;
	follower->each = each;
	follower->user_data = user_data;
	g_ptr_array_add(records->followers, follower);
	for (uint32_t i = 0; i < records->shard_count; i++)
		if (shard_is_owner(records->places[i].shard))
			scan_start(records, &records->places[i], follower);
}

static void on_changed(shard_t *shard, const ledger_record *record,
		       void *user_data)
{
	place_t *place = user_data;
	records_t *records = place->records;
	record_t told = to_record(record);

	for (guint i = 0; i < records->scans->len; i++) {
		scan_t *scan = records->scans->pdata[i];

		if (scan->place == place)
			g_hash_table_add(
				scan->changed,
				g_memdup2(record->key, LEDGER_KEY_BYTES));
	}
	for (guint i = 0; i < records->followers->len; i++) {
		follower_t *follower = records->followers->pdata[i];

		if ((uint32_t)follower->kind == record->kind)
			follower->each(&told, follower->user_data);
	}
}

static void on_event(shard_t *shard, shard_event_t event, void *user_data)
{
	place_t *place = user_data;
	records_t *records = place->records;
	bool gained = event == SHARD_ACQUIRED;
	bool lost = event == SHARD_LOST || event == SHARD_RELEASED;

	log_write(event == SHARD_BROKEN ? LOG_LEVEL_ERROR : LOG_LEVEL_INFO,
		  shard_event_name(event),
		  "shard=%u epoch=%" PRIu64 " owner=%s", shard_number(shard),
		  shard_epoch(shard),
		  shard_owner(shard) ? shard_owner(shard) : "-");
	for (guint i = 0; i < records->followers->len; i++) {
		follower_t *follower = records->followers->pdata[i];

		if (gained)
			scan_start(records, place, follower);
		else if (lost)
			follower->each(NULL, follower->user_data);
	}
}

/* Ownership */

uint32_t records_shard(const records_t *records, const record_key_t *key)
{
	return shard_number(place_of(records, key->bytes)->shard);
}

gboolean records_is_owner(const records_t *records, const record_key_t *key)
{
	return shard_is_owner(place_of(records, key->bytes)->shard);
}

const char *records_owner_address(const records_t *records,
				  const record_key_t *key)
{
	const char *target = choose_target(place_of(records, key->bytes));

	return target ? target : own_address(records);
}

uint64_t records_epoch(const records_t *records, const record_key_t *key)
{
	return shard_epoch(place_of(records, key->bytes)->shard);
}

static void choose_candidates(records_t *records)
{
	const member_t *self = member_self(records->options.members);

	records->candidates_ms = now_ms(records);
	for (uint32_t i = 0; i < records->shard_count; i++) {
		place_t *place = &records->places[i];

		place->candidate = !records->releasing &&
				   member_owner(records->options.members, NULL,
						place->key) == self;
		shard_set_candidate(place->shard, place->candidate);
	}
}

static void publish_counters(records_t *records)
{
	const int64_t *values = (const int64_t *)(const void *)&records->stats;

	for (size_t i = 0; i < G_N_ELEMENTS(stat_names); i++)
		*records->counters[i] = values[i];
	*records->owned = 0;
	*records->waiting = 0;
	for (uint32_t i = 0; i < records->shard_count; i++) {
		*records->owned += shard_is_owner(records->places[i].shard);
		*records->waiting += shard_waiting(records->places[i].shard);
	}
}

static void step(records_t *records)
{
	for (uint32_t i = 0; i < records->shard_count; i++)
		shard_step(records->places[i].shard);
}

static void on_kick(evutil_socket_t fd, short events, void *arg)
{
	step(arg);
}

static void on_step(evutil_socket_t fd, short events, void *arg)
{
	records_t *records = arg;
	struct timeval period = { 0, STEP_MS * 1000 };

	if (now_ms(records) - records->candidates_ms >= CANDIDATE_MS)
		choose_candidates(records);
	step(records);
	publish_counters(records);
	evtimer_add(records->step_timer, &period);
}

void records_release(records_t *records)
{
	records->releasing = true;
	for (uint32_t i = 0; i < records->shard_count; i++)
		shard_release(records->places[i].shard);
	kick(records);
}

bool records_is_released(const records_t *records)
{
	for (uint32_t i = 0; i < records->shard_count; i++)
		if (!shard_is_released(records->places[i].shard))
			return false;
	return true;
}

static void register_procedures(records_t *records)
{
	static const struct {
		uint32_t procedure;
		xdrproc_t decode;
		size_t args_size;
		xdrproc_t encode;
		rpc_handler_t handler;
	} procedures[] = {
		{ LEDGER_CLAIM, (xdrproc_t)xdr_ledger_update_args,
		  sizeof(ledger_update_args), (xdrproc_t)xdr_ledger_result,
		  handle_update },
		{ LEDGER_RECORD, (xdrproc_t)xdr_ledger_update_args,
		  sizeof(ledger_update_args), (xdrproc_t)xdr_ledger_result,
		  handle_update },
		{ LEDGER_READ, (xdrproc_t)xdr_ledger_read_args,
		  sizeof(ledger_read_args), (xdrproc_t)xdr_ledger_result,
		  handle_read },
		{ LEDGER_LIST, (xdrproc_t)xdr_ledger_list_args,
		  sizeof(ledger_list_args), (xdrproc_t)xdr_ledger_list_result,
		  handle_list },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(procedures); i++) {
		rpc_procedure_t procedure = {
			.program = LEDGER_PROGRAM,
			.procedure = procedures[i].procedure,
			.decode = procedures[i].decode,
			.args_size = procedures[i].args_size,
			.encode = procedures[i].encode,
			.handler = procedures[i].handler,
			.user_data = records,
		};

		rpc_server_register(records->options.rpc_server, &procedure);
	}
}

static void create_counters(records_t *records)
{
	counter_set_t *set = records->options.counters;

	records->counters = g_new0(int64_t *, G_N_ELEMENTS(stat_names));
	for (size_t i = 0; i < G_N_ELEMENTS(stat_names); i++)
		records->counters[i] =
			counter_get(set,
				    g_str_has_suffix(stat_names[i], "_total") ?
					    COUNTER_MONOTONIC :
					    COUNTER_GAUGE,
				    stat_names[i], NULL);
	records->owned =
		counter_get(set, COUNTER_GAUGE, "ledger_shards_owned", NULL);
	records->waiting = counter_get(set, COUNTER_GAUGE,
				       "ledger_operations_waiting", NULL);
	records->forwarded = counter_get(set, COUNTER_MONOTONIC,
					 "ledger_forwarded_total", NULL);
}

static void create_places(records_t *records)
{
	const records_options_t *options = &records->options;

	records->places = g_new0(place_t, records->shard_count);
	for (uint32_t i = 0; i < records->shard_count; i++) {
		place_t *place = &records->places[i];
		shard_options_t shard = {
			.store = options->store,
			.clock = options->clock,
			.number = i,
			.owner = own_address(records),
			.incarnation = options->incarnation,
			.budget = &records->budget,
			.stats = &records->stats,
			.observer = { on_event, on_changed, place },
		};

		place->records = records;
		place->key = g_strdup_printf("shard/%u", i);
		place->shard = shard_new(&shard);
	}
}

records_t *records_new(const records_options_t *options)
{
	records_t *records = g_new0(records_t, 1);

	records->options = *options;
	if (!records->options.timeout_ms)
		records->options.timeout_ms = DEFAULT_TIMEOUT_MS;
	records->shard_count = options->shards;
	records->budget.writes_per_s = options->writes_per_s;
	records->calls = g_hash_table_new_full(NULL, NULL, call_free, NULL);
	records->followers = g_ptr_array_new_with_free_func(g_free);
	records->scans = g_ptr_array_new();
	records->step_timer = evtimer_new(options->base, on_step, records);
	records->kick = evtimer_new(options->base, on_kick, records);
	create_counters(records);
	create_places(records);
	if (options->rpc_server)
		register_procedures(records);
	choose_candidates(records);
	event_active(records->step_timer, EV_TIMEOUT, 0);
	return records;
}

/* Ends the process's use: calls, lists and scans that still wait in shards
 * are ended by shard_free() as refused. */
void records_free(records_t *records)
{
	GHashTableIter iter;
	void *key;

	if (!records)
		return;
	records->releasing = true;
	g_hash_table_iter_init(&iter, records->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		call_t *call = key;

		call->done = NULL;
		call->deadline_ms = 0;
	}
	for (uint32_t i = 0; i < records->shard_count; i++) {
		shard_free(records->places[i].shard);
		g_free(records->places[i].key);
		g_free(records->places[i].hint);
	}
	event_free(records->step_timer);
	event_free(records->kick);
	g_hash_table_destroy(records->calls);
	g_ptr_array_free(records->followers, TRUE);
	g_ptr_array_free(records->scans, TRUE);
	g_free(records->counters);
	g_free(records->places);
	g_free(records);
}
