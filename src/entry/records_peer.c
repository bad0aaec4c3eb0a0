#include "entry/records_peer.h"

#include <string.h>

#include "base/error.h"
#include "entry/records_location.h"

#define LIST_PAGE_MAX_BYTES (1024 * 1024)

/* A peer's request for one page of a list. */
typedef struct list_request {
	rpc_call_t *call;
	char *owner_tag;
	char after[LEDGER_KEY_BYTES];
	bool from_start;
} list_request_t;

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

static void on_operation_done(const ledger_record *record, const GError *error,
			      void *user_data)
{
	ledger_result result = { .answer = answer_of(error),
				 .hint = (char *)"" };

	result.records.records_len = record ? 1 : 0;
	result.records.records_val = (ledger_record *)record;
	rpc_reply(user_data, &result);
}

static char *hint_for_peer(const location_t *location)
{
	const char *target = records_location_target(location);

	return (char *)(target ? target : "");
}

static location_t *location_for_peer(records_t *records, rpc_call_t *call,
				     uint32_t shards, const void *key)
{
	ledger_result result = { .answer = LEDGER_ANSWER_UNAVAILABLE,
				 .hint = (char *)"" };
	location_t *location = records_location_of(records, key);

	if (shards == records->shard_count &&
	    records_location_accepts(location))
		return location;
	if (shards == records->shard_count) {
		result.answer = LEDGER_ANSWER_NOT_OWNER;
		result.hint = hint_for_peer(location);
	}
	rpc_reply(call, &result);
	return NULL;
}

static void handle_update(rpc_call_t *call, const void *data, void *user_data)
{
	const ledger_update_args *args = data;
	records_t *records = user_data;
	location_t *location = location_for_peer(records, call, args->shards,
						 args->update.key);

	if (!location)
		return;
	shard_update(location->shard, &args->update, args->token,
		     records_state_now_ms(records) +
			     CLAMP(args->timeout_ms, 0, 60000),
		     on_operation_done, call);
	records_state_schedule_step(records);
}

static void handle_read(rpc_call_t *call, const void *data, void *user_data)
{
	const ledger_read_args *args = data;
	records_t *records = user_data;
	location_t *location =
		location_for_peer(records, call, args->shards, args->key);

	if (!location)
		return;
	shard_get(location->shard, args->key,
		  records_state_now_ms(records) +
			  CLAMP(args->timeout_ms, 0, 60000),
		  on_operation_done, call);
	records_state_schedule_step(records);
}

static int compare_keys(const void *a, const void *b)
{
	return memcmp(((const ledger_record *)a)->key,
		      ((const ledger_record *)b)->key, LEDGER_KEY_BYTES);
}

static bool is_in_page(const list_request_t *request,
		       const ledger_record *record)
{
	return records_state_matches(record, request->owner_tag) &&
	       (request->from_start ||
		memcmp(record->key, request->after, LEDGER_KEY_BYTES) > 0);
}

static void on_list_done(const GPtrArray *records, const GError *error,
			 void *user_data)
{
	list_request_t *request = user_data;
	ledger_list_result result = { .answer = answer_of(error),
				      .hint = (char *)"" };
	GArray *page = g_array_new(FALSE, FALSE, sizeof(ledger_record));
	size_t bytes = 0;

	for (guint i = 0; !error && i < records->len; i++)
		if (is_in_page(request, records->pdata[i]))
			g_array_append_vals(page, records->pdata[i], 1);
	g_array_sort(page, compare_keys);
	for (guint i = 0; i < page->len && !result.more; i++) {
		bytes += ledger_record_bytes(
			&g_array_index(page, ledger_record, i));
		if (i > 0 && bytes > LIST_PAGE_MAX_BYTES)
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
	location_t *location;

	if (args->shards != records->shard_count ||
	    args->shard >= records->shard_count) {
		rpc_reply(call, &refusal);
		return;
	}
	location = &records->locations[args->shard];
	if (!records_location_accepts(location)) {
		refusal.answer = LEDGER_ANSWER_NOT_OWNER;
		refusal.hint = hint_for_peer(location);
		rpc_reply(call, &refusal);
		return;
	}
	request = g_new0(list_request_t, 1);
	request->call = call;
	request->owner_tag = g_strdup(args->owner_tag);
	request->from_start = args->from_start;
	memcpy(request->after, args->after, sizeof(request->after));
	shard_list(location->shard, args->kind,
		   records_state_now_ms(records) + RECORDS_ATTEMPT_TIMEOUT_MS,
		   on_list_done, request);
	records_state_schedule_step(records);
}

void records_peer_register(records_t *records)
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
