#include "entry/records_call.h"

#include <string.h>

#include "base/error.h"
#include "entry/records_location.h"

static void call_attempt(call_t *call);

void records_call_free(void *data)
{
	call_t *call = data;

	event_free(call->retry_timer);
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
		record = records_state_to_record(found);
	g_hash_table_steal(call->records->calls, call);
	if (done)
		done(found ? &record : NULL, error, user_data);
	records_call_free(call);
}

static void call_fail(call_t *call, error_code_t code, const char *message)
{
	GError *error = g_error_new_literal(WL_ERROR, (int)code, message);

	call_finish(call, NULL, error);
	g_error_free(error);
}

static void call_schedule_retry(call_t *call, int32_t delay_ms)
{
	struct timeval delay = { delay_ms / 1000, delay_ms % 1000 * 1000 };
	int64_t remaining_ms =
		call->deadline_ms - records_state_now_ms(call->records);

	if (remaining_ms > delay_ms) {
		evtimer_add(call->retry_timer, &delay);
		return;
	}
	if (call->uncertain && call->is_update)
		call_fail(call, WL_ERROR_TIMEOUT,
			  "the effect of the update is unknown");
	else
		call_fail(call, WL_ERROR_UNAVAILABLE,
			  "the owner of the record's shard is unavailable");
}

static void on_retry(evutil_socket_t fd, short events, void *arg)
{
	call_attempt(arg);
}

/* Handles an attempt that ended without a final result for the record. */
static void attempt_failed(call_t *call, error_code_t code, const char *hint)
{
	bool redirected = hint && *hint && g_strcmp0(hint, call->target) != 0;

	if (code != WL_ERROR_UNAVAILABLE && code != WL_ERROR_REFUSED)
		call->uncertain = true;
	records_location_set_hint(call->location, hint);
	if (!redirected && call->target)
		records_location_set_failed(call->location, call->target);
	call_schedule_retry(call, redirected ? 1 : RECORDS_RETRY_DELAY_MS);
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
	shard_t *shard = call->location->shard;

	if (call->is_update)
		shard_update(shard, call->record, call->token,
			     call->deadline_ms, on_local_done, call);
	else
		shard_get(shard, call->record->key, call->deadline_ms,
			  on_local_done, call);
	records_state_schedule_step(call->records);
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
	GError final_error = { WL_ERROR, 0, "the owner refused the operation" };

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
	final_error.code = (int)by_answer[result->answer].code;
	records_location_set_hint(call->location, call->target);
	records_location_set_failed(call->location, NULL);
	call_finish(call,
		    result->records.records_len ? result->records.records_val :
						  NULL,
		    result->answer == LEDGER_ANSWER_OK ? NULL : &final_error);
}

static void attempt_remotely(call_t *call)
{
	records_t *records = call->records;
	int64_t remaining_ms =
		call->deadline_ms - records_state_now_ms(records);
	int32_t timeout_ms =
		(int32_t)CLAMP(remaining_ms, 1, RECORDS_ATTEMPT_TIMEOUT_MS);
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
		call_fail(call, WL_ERROR_TOO_LARGE,
			  "the record exceeds the maximum data size");
		return;
	}
	target = records_location_target(call->location);
	g_free(call->target);
	call->target = g_strdup(target);
	if (call->target)
		attempt_remotely(call);
	else
		attempt_locally(call);
}

call_t *records_call_new(records_t *records, const ledger_record *record,
			 int32_t timeout_ms, record_done_t done,
			 void *user_data)
{
	call_t *call = g_new0(call_t, 1);

	call->records = records;
	call->record = ledger_record_copy(record);
	call->location = records_location_of(records, record->key);
	call->deadline_ms = records_state_now_ms(records) + timeout_ms;
	call->done = done;
	call->user_data = user_data;
	call->retry_timer = evtimer_new(records->options.base, on_retry, call);
	g_hash_table_add(records->calls, call);
	return call;
}

void records_call_start(call_t *call)
{
	event_active(call->retry_timer, EV_TIMEOUT, 0);
}
