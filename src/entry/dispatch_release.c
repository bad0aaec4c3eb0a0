#include "entry/dispatch_release.h"

#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "batch/job.h"
#include "entry/batch_id.h"
#include "entry/dispatch_coordinator.h"
#include "entry/records.h"

#define RELEASE_RETRY_MS 300
/* Covers the takeover of a shard (6 s) and the scan of its jobs. */
#define RELEASE_TIMEOUT_MS 15000

typedef struct chunk_release {
	dispatch_t *dispatch;
	char *job;
	uint32_t first;
	GArray *suspects; /* item_failures_t */
	struct event *retry;
	int64_t deadline_ms;
	bool in_flight;
	bool cancelled;
} chunk_release_t;

static void release_free(chunk_release_t *release)
{
	g_ptr_array_remove_fast(release->dispatch->releases, release);
	event_free(release->retry);
	g_array_free(release->suspects, TRUE);
	g_free(release->job);
	g_free(release);
}

static bool job_is_final(const record_t *record, const GError *error)
{
	job_t *job =
		record ? job_decode(record->data, record->len, NULL) : NULL;
	bool final = job ? job_state_is_final(job->state) :
			   g_error_matches(error, WL_ERROR, WL_ERROR_NOT_FOUND);

	job_free(job);
	return final;
}

/* Reading the record has also located the shard's current owner. */
static void on_job_read(const record_t *record, const GError *error,
			void *user_data)
{
	chunk_release_t *release = user_data;
	struct timeval pause = { 0, RELEASE_RETRY_MS * 1000 };

	release->in_flight = false;
	if (release->cancelled || job_is_final(record, error)) {
		release_free(release);
		return;
	}
	if (dispatch_now_ms(release->dispatch) >= release->deadline_ms) {
		log_warn("chunk_release_failed", "job=%s first=%u suspects=%u",
			 release->job, release->first, release->suspects->len);
		release_free(release);
		return;
	}
	evtimer_add(release->retry, &pause);
}

static void on_released(const void *data, const GError *error, void *user_data)
{
	const chunk_done_result *result = data;
	chunk_release_t *release = user_data;
	record_key_t key;

	if ((result && result->ok) || release->cancelled ||
	    !batch_id_key(release->job, &key))
		release_free(release);
	else
		records_get(release->dispatch->entry->records, &key,
			    on_job_read, release);
}

static void call_coordinator(evutil_socket_t fd, short events, void *arg)
{
	chunk_release_t *release = arg;
	const char *address =
		dispatch_coordinator_of(release->dispatch, release->job);
	chunk_done_args args = {
		.holder = (char *)dispatch_own_address(release->dispatch),
		.job = release->job,
		.first = release->first,
		.suspects = dispatch_suspects_to_wire(release->suspects),
	};
	rpc_call_options_t options = {
		.procedure = CHUNK_DONE,
		.encode = (xdrproc_t)xdr_chunk_done_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_chunk_done_result,
		.result_size = sizeof(chunk_done_result),
		.done = on_released,
		.user_data = release,
	};

	release->in_flight = true;
	if (!address) {
		on_released(NULL, NULL, release);
		return;
	}
	dispatch_coordinator_call(release->dispatch, address, &options);
}

void dispatch_release_chunk(const dispatch_chunk_t *chunk,
			    const GArray *suspects, void *user_data)
{
	dispatch_t *dispatch = user_data;
	chunk_release_t *release = g_new0(chunk_release_t, 1);

	release->dispatch = dispatch;
	release->job = g_strdup(chunk->job);
	release->first = chunk->first;
	release->suspects = g_array_new(FALSE, FALSE, sizeof(item_failures_t));
	if (suspects && suspects->len > 0)
		g_array_append_vals(release->suspects, suspects->data,
				    suspects->len);
	release->deadline_ms = dispatch_now_ms(dispatch) + RELEASE_TIMEOUT_MS;
	release->retry =
		evtimer_new(dispatch->entry->base, call_coordinator, release);
	g_ptr_array_add(dispatch->releases, release);
	call_coordinator(-1, 0, release);
}

void dispatch_release_cancel(dispatch_t *dispatch, const char *job,
			     uint32_t first, GArray *suspects)
{
	for (guint i = dispatch->releases->len; i-- > 0;) {
		chunk_release_t *release = dispatch->releases->pdata[i];

		if (release->first != first || release->cancelled ||
		    strcmp(release->job, job) != 0)
			continue;
		g_array_append_vals(suspects, release->suspects->data,
				    release->suspects->len);
		release->cancelled = true;
		if (!release->in_flight)
			release_free(release);
	}
}
