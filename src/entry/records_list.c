#include "entry/records_list.h"

#include <string.h>

#include "entry/records_location.h"

typedef struct list {
	records_t *records;
	uint32_t kind;
	char *owner_tag;
	uint32_t pending_parts; /* shards whose listing has not finished */
	bool complete;
	int64_t deadline_ms;
	GPtrArray *found; /* ledger_record */
	record_list_done_t done;
	void *user_data;
} list_t;

typedef struct list_part {
	list_t *list;
	location_t *location;
	char *target;
	char after[LEDGER_KEY_BYTES];
	bool from_start;
	struct event *retry_timer;
} list_part_t;

static void list_part_start(list_part_t *part);

static void list_finish(list_t *list)
{
	GArray *array = g_array_new(FALSE, FALSE, sizeof(record_t));

	for (guint i = 0; i < list->found->len; i++) {
		record_t record =
			records_state_to_record(list->found->pdata[i]);

		g_array_append_val(array, record);
	}
	list->done(array, list->complete, list->user_data);
	g_array_free(array, TRUE);
	g_ptr_array_free(list->found, TRUE);
	g_free(list->owner_tag);
	g_free(list);
}

static void list_part_finish(list_part_t *part, bool complete)
{
	list_t *list = part->list;

	if (!complete)
		list->complete = false;
	event_free(part->retry_timer);
	g_free(part->target);
	g_free(part);
	if (--list->pending_parts == 0)
		list_finish(list);
}

static void list_part_retry(list_part_t *part, const char *hint)
{
	struct timeval delay = { 0, RECORDS_RETRY_DELAY_MS * 1000 };

	records_location_set_hint(part->location, hint);
	if (!part->list->records->releasing &&
	    records_state_now_ms(part->list->records) + RECORDS_RETRY_DELAY_MS <
		    part->list->deadline_ms)
		evtimer_add(part->retry_timer, &delay);
	else
		list_part_finish(part, false);
}

static void on_list_retry(evutil_socket_t fd, short events, void *arg)
{
	list_part_start(arg);
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
		if (records_state_matches(records->pdata[i], list->owner_tag))
			g_ptr_array_add(list->found,
					ledger_record_copy(records->pdata[i]));
	list_part_finish(part, true);
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
		list_part_finish(part, true);
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
		.shard = shard_number(part->location->shard),
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
		.timeout_ms = RECORDS_ATTEMPT_TIMEOUT_MS,
		.done = on_remote_list,
		.user_data = part,
	};

	memcpy(args.after, part->after, sizeof(args.after));
	rpc_client_call(records->options.rpc_client, &options);
}

static void list_part_start(list_part_t *part)
{
	const char *target = records_location_target(part->location);

	g_free(part->target);
	part->target = g_strdup(target);
	if (part->target) {
		list_remotely(part);
		return;
	}
	shard_list(part->location->shard, part->list->kind,
		   part->list->deadline_ms, on_local_list, part);
	records_state_schedule_step(part->list->records);
}

void records_list(records_t *records, record_kind_t kind, const char *owner_tag,
		  record_list_done_t done, void *user_data)
{
	list_t *list = g_new0(list_t, 1);

	g_assert(records->shard_count > 0);
	list->records = records;
	list->kind = (uint32_t)kind;
	list->owner_tag = g_strdup(owner_tag ? owner_tag : "");
	list->pending_parts = records->shard_count;
	list->complete = true;
	list->deadline_ms =
		records_state_now_ms(records) + records->options.timeout_ms;
	list->found = g_ptr_array_new_with_free_func(
		(GDestroyNotify)ledger_record_free);
	list->done = done;
	list->user_data = user_data;
	for (uint32_t i = 0; i < records->shard_count; i++) {
		list_part_t *part = g_new0(list_part_t, 1);

		part->list = list;
		part->location = &records->locations[i];
		part->from_start = true;
		part->retry_timer =
			evtimer_new(records->options.base, on_list_retry, part);
		event_active(part->retry_timer, EV_TIMEOUT, 0);
	}
}
