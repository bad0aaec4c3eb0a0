#include "entry/dispatch_return.h"

#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "batch/job.h"
#include "entry/batch_id.h"
#include "entry/dispatch_coordinator.h"
#include "entry/records.h"

#define RETRY_MS 300
/* Covers the takeover of a shard (6 s) and its scan for jobs. */
#define GIVE_UP_MS 15000

typedef struct chunk_return {
	dispatch_t *dispatch;
	char *job;
	uint32_t first;
	GArray *suspects; /* suspect_t */
	struct event *retry;
	int64_t give_up_ms;
	bool calling;
	bool recalled;
} chunk_return_t;

static void return_free(chunk_return_t *ret)
{
	g_ptr_array_remove_fast(ret->dispatch->returns, ret);
	event_free(ret->retry);
	g_array_free(ret->suspects, TRUE);
	g_free(ret->job);
	g_free(ret);
}

static bool job_is_over(const record_t *record, const GError *error)
{
	job_t *job =
		record ? job_decode(record->data, record->len, NULL) : NULL;
	bool over = job ? job_state_is_final(job->state) :
			  g_error_matches(error, WL_ERROR, WL_ERROR_NOT_FOUND);

	job_free(job);
	return over;
}

/* Reading the record also finds the shard's new owner. */
static void on_job_read(const record_t *record, const GError *error,
			void *user_data)
{
	chunk_return_t *ret = user_data;
	struct timeval pause = { 0, RETRY_MS * 1000 };

	ret->calling = false;
	if (ret->recalled || job_is_over(record, error)) {
		return_free(ret);
		return;
	}
	if (dispatch_now_ms(ret->dispatch) >= ret->give_up_ms) {
		log_warn("chunk_return_failed", "job=%s first=%u suspects=%u",
			 ret->job, ret->first, ret->suspects->len);
		return_free(ret);
		return;
	}
	evtimer_add(ret->retry, &pause);
}

static void on_returned(const void *data, const GError *error, void *user_data)
{
	const chunk_done_result *result = data;
	chunk_return_t *ret = user_data;
	record_key_t key;

	if ((result && result->ok) || ret->recalled ||
	    !batch_id_key(ret->job, &key))
		return_free(ret);
	else
		records_get(ret->dispatch->entry->records, &key, on_job_read,
			    ret);
}

static void call_coordinator(evutil_socket_t fd, short events, void *arg)
{
	chunk_return_t *ret = arg;
	const char *address = dispatch_coordinator_of(ret->dispatch, ret->job);
	chunk_done_args args = {
		.holder = (char *)dispatch_own_address(ret->dispatch),
		.job = ret->job,
		.first = ret->first,
		.suspects = dispatch_suspects_to_wire(ret->suspects),
	};
	rpc_call_options_t options = {
		.procedure = CHUNK_DONE,
		.encode = (xdrproc_t)xdr_chunk_done_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_chunk_done_result,
		.result_size = sizeof(chunk_done_result),
		.done = on_returned,
		.user_data = ret,
	};

	ret->calling = true;
	if (!address) {
		on_returned(NULL, NULL, ret);
		return;
	}
	dispatch_coordinator_call(ret->dispatch, address, &options);
}

void dispatch_return_chunk(const dispatch_chunk_t *chunk,
			   const GArray *suspects, void *user_data)
{
	dispatch_t *dispatch = user_data;
	chunk_return_t *ret = g_new0(chunk_return_t, 1);

	ret->dispatch = dispatch;
	ret->job = g_strdup(chunk->job);
	ret->first = chunk->first;
	ret->suspects = g_array_new(FALSE, FALSE, sizeof(suspect_t));
	if (suspects && suspects->len > 0)
		g_array_append_vals(ret->suspects, suspects->data,
				    suspects->len);
	ret->give_up_ms = dispatch_now_ms(dispatch) + GIVE_UP_MS;
	ret->retry = evtimer_new(dispatch->entry->base, call_coordinator, ret);
	g_ptr_array_add(dispatch->returns, ret);
	call_coordinator(-1, 0, ret);
}

void dispatch_return_recall(dispatch_t *dispatch, const char *job,
			    uint32_t first, GArray *suspects)
{
	for (guint i = dispatch->returns->len; i-- > 0;) {
		chunk_return_t *ret = dispatch->returns->pdata[i];

		if (ret->first != first || ret->recalled ||
		    strcmp(ret->job, job) != 0)
			continue;
		g_array_append_vals(suspects, ret->suspects->data,
				    ret->suspects->len);
		ret->recalled = true;
		if (!ret->calling)
			return_free(ret);
	}
}
