#include "batch/job.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"

#define MAX_WINDOW_MS (30LL * 24 * 3600 * 1000)
/* Time to remove results before the record expires, also after an outage. */
#define RESULT_REMOVAL_TIME_MS (7LL * 24 * 3600 * 1000)
/* Chunk sizes are chosen for at least this number of chunks per job. */
#define TARGET_CHUNKS 64

static const char *const state_names[JOB_STATE_COUNT] = {
	[JOB_VALIDATING] = "validating", [JOB_IN_PROGRESS] = "in_progress",
	[JOB_FINALIZING] = "finalizing", [JOB_COMPLETED] = "completed",
	[JOB_FAILED] = "failed",	 [JOB_EXPIRED] = "expired",
	[JOB_CANCELLING] = "cancelling", [JOB_CANCELLED] = "cancelled",
};

#define STATE_BIT(state) (1U << (state))

static const uint32_t allowed_transitions[JOB_STATE_COUNT] = {
	[JOB_VALIDATING] = STATE_BIT(JOB_IN_PROGRESS) | STATE_BIT(JOB_FAILED) |
			   STATE_BIT(JOB_EXPIRED) | STATE_BIT(JOB_CANCELLING),
	[JOB_IN_PROGRESS] = STATE_BIT(JOB_FINALIZING) | STATE_BIT(JOB_FAILED) |
			    STATE_BIT(JOB_EXPIRED) | STATE_BIT(JOB_CANCELLING),
	[JOB_FINALIZING] = STATE_BIT(JOB_COMPLETED) | STATE_BIT(JOB_FAILED),
	[JOB_CANCELLING] = STATE_BIT(JOB_CANCELLED),
};

job_t *job_new(void)
{
	job_t *job = g_new0(job_t, 1);

	job->part_items = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	job->splits = g_array_new(FALSE, FALSE, sizeof(job_split_t));
	job->finished = g_byte_array_new();
	return job;
}

void job_free(job_t *job)
{
	if (!job)
		return;
	g_free(job->id);
	g_free(job->partner);
	g_free(job->workspace);
	g_free(job->deployment);
	g_free(job->input_file_id);
	g_free(job->endpoint);
	g_free(job->window);
	g_free(job->metadata);
	g_free(job->digest);
	g_free(job->failure);
	g_array_free(job->part_items, TRUE);
	g_array_free(job->splits, TRUE);
	g_byte_array_free(job->finished, TRUE);
	g_free(job);
}

const char *job_state_name(job_state_t state)
{
	return state_names[state];
}

gboolean job_state_is_final(job_state_t state)
{
	return allowed_transitions[state] == 0;
}

gboolean job_transition(job_t *job, job_state_t state, int64_t now_ms)
{
	if (!(allowed_transitions[job->state] & STATE_BIT(state)))
		return FALSE;
	job->state = state;
	job->at_ms[state] = now_ms;
	return TRUE;
}

int64_t job_readable_until_ms(const job_t *job, int64_t retention_ms)
{
	int64_t end_ms = job_state_is_final(job->state) ?
				 job->at_ms[job->state] :
				 job->expires_ms;

	return end_ms + retention_ms;
}

uint64_t job_record_expire_ms(const job_t *job, int64_t retention_ms)
{
	return (uint64_t)(job_readable_until_ms(job, retention_ms) +
			  RESULT_REMOVAL_TIME_MS);
}

uint32_t job_chunk_items(uint32_t total)
{
	return CLAMP(total / TARGET_CHUNKS, JOB_MIN_CHUNK_ITEMS,
		     JOB_MAX_CHUNK_ITEMS);
}

gboolean job_parse_window(const char *text, int64_t *window_ms, GError **error)
{
	static const struct {
		char unit;
		int64_t ms;
	} units[] = {
		{ 's', 1000 },
		{ 'm', 60000 },
		{ 'h', 3600000 },
		{ 'd', 86400000 },
	};
	char *end;
	uint64_t number = g_ascii_strtoull(text, &end, 10);

	for (size_t i = 0; i < G_N_ELEMENTS(units); i++) {
		if (!g_ascii_isdigit(text[0]) || *end != units[i].unit ||
		    end[1])
			continue;
		if (number == 0 ||
		    number > (uint64_t)(MAX_WINDOW_MS / units[i].ms))
			break;
		*window_ms = (int64_t)number * units[i].ms;
		return TRUE;
	}
	g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
		    "'completion_window' is no time such as 24h, 30m or 90s, "
		    "of at most 30d");
	return FALSE;
}

static char *encode_bits(const GByteArray *bits)
{
	static const char digits[] = "0123456789abcdef";
	GString *text = g_string_sized_new(bits->len * 2);

	for (guint i = 0; i < bits->len; i++) {
		g_string_append_c(text, digits[bits->data[i] >> 4]);
		g_string_append_c(text, digits[bits->data[i] & 15]);
	}
	return g_string_free(text, FALSE);
}

static void decode_bits(const char *text, GByteArray *bits)
{
	while (text && g_ascii_isxdigit(text[0]) && g_ascii_isxdigit(text[1])) {
		uint8_t byte = (uint8_t)(g_ascii_xdigit_value(text[0]) << 4 |
					 g_ascii_xdigit_value(text[1]));

		g_byte_array_append(bits, &byte, 1);
		text += 2;
	}
}

char *job_encode(const job_t *job, size_t *len)
{
	char *bits = encode_bits(job->finished);
	json_t *at = json_array();
	json_t *parts = json_array();
	json_t *splits = json_array();
	json_t *root;
	char *text;

	for (int i = 0; i < JOB_STATE_COUNT; i++)
		json_array_append_new(at, json_integer(job->at_ms[i]));
	for (guint i = 0; i < job->part_items->len; i++)
		json_array_append_new(
			parts, json_integer(g_array_index(job->part_items,
							  uint32_t, i)));
	for (guint i = 0; i < job->splits->len; i++) {
		const job_split_t *split =
			&g_array_index(job->splits, job_split_t, i);

		json_array_append_new(splits, json_integer(split->first));
		json_array_append_new(splits, json_integer(split->count));
	}
	root = json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s?, s:i, s:o, "
		"s:I, s:I, s:I, s:I, s:I, s:b, s:b, s:o, s:s, s:o}",
		"id", job->id, "partner", job->partner, "workspace",
		job->workspace, "deployment", job->deployment, "input",
		job->input_file_id, "endpoint", job->endpoint, "window",
		job->window, "metadata", job->metadata, "digest", job->digest,
		"failure", job->failure, "state", (int)job->state, "at", at,
		"expires", (json_int_t)job->expires_ms, "total",
		(json_int_t)job->total, "completed", (json_int_t)job->completed,
		"failed", (json_int_t)job->failed, "chunk",
		(json_int_t)job->chunk_items, "risk", (int)job->at_risk,
		"removed", (int)job->results_removed, "parts", parts,
		"finished", bits, "splits", splits);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	g_free(bits);
	*len = strlen(text);
	return text;
}

static char *dup_member(json_t *root, const char *name)
{
	const char *value = json_string_value(json_object_get(root, name));

	return g_strdup(value ? value : "");
}

static uint32_t number_member(json_t *root, const char *name)
{
	return (uint32_t)json_integer_value(json_object_get(root, name));
}

static void decode_lists(json_t *root, job_t *job)
{
	json_t *at = json_object_get(root, "at");
	json_t *parts = json_object_get(root, "parts");
	json_t *splits = json_object_get(root, "splits");

	for (size_t i = 0; i < JOB_STATE_COUNT; i++)
		job->at_ms[i] = json_integer_value(json_array_get(at, i));
	for (size_t i = 0; i < json_array_size(parts); i++) {
		uint32_t items =
			(uint32_t)json_integer_value(json_array_get(parts, i));

		g_array_append_val(job->part_items, items);
	}
	for (size_t i = 0; i + 1 < json_array_size(splits); i += 2) {
		job_split_t split = {
			(uint32_t)json_integer_value(json_array_get(splits, i)),
			(uint32_t)json_integer_value(
				json_array_get(splits, i + 1)),
		};

		g_array_append_val(job->splits, split);
	}
}

job_t *job_decode(const char *data, size_t len, GError **error)
{
	json_t *root = json_loadb(data, len, 0, NULL);
	json_int_t state = json_integer_value(json_object_get(root, "state"));
	job_t *job;

	if (!json_is_object(root) || state < 0 || state >= JOB_STATE_COUNT) {
		json_decref(root);
		g_set_error_literal(error, WL_ERROR, WL_ERROR_PROTOCOL,
				    "the record does not contain a valid job");
		return NULL;
	}
	job = job_new();
	job->id = dup_member(root, "id");
	job->partner = dup_member(root, "partner");
	job->workspace = dup_member(root, "workspace");
	job->deployment = dup_member(root, "deployment");
	job->input_file_id = dup_member(root, "input");
	job->endpoint = dup_member(root, "endpoint");
	job->window = dup_member(root, "window");
	job->metadata = dup_member(root, "metadata");
	job->digest = dup_member(root, "digest");
	if (json_is_string(json_object_get(root, "failure")))
		job->failure = dup_member(root, "failure");
	job->state = (job_state_t)state;
	job->expires_ms = json_integer_value(json_object_get(root, "expires"));
	job->total = number_member(root, "total");
	job->completed = number_member(root, "completed");
	job->failed = number_member(root, "failed");
	job->chunk_items = MAX(number_member(root, "chunk"), 1);
	job->at_risk = json_is_true(json_object_get(root, "risk"));
	job->results_removed = json_is_true(json_object_get(root, "removed"));
	decode_bits(json_string_value(json_object_get(root, "finished")),
		    job->finished);
	decode_lists(root, job);
	json_decref(root);
	return job;
}

static json_t *seconds_or_null(int64_t ms)
{
	return ms ? json_integer(ms / 1000) : json_null();
}

json_t *job_to_json(const job_t *job, const char *output_file_id,
		    const char *error_file_id)
{
	static const struct {
		const char *name;
		job_state_t state;
	} times[] = {
		{ "in_progress_at", JOB_IN_PROGRESS },
		{ "finalizing_at", JOB_FINALIZING },
		{ "completed_at", JOB_COMPLETED },
		{ "failed_at", JOB_FAILED },
		{ "expired_at", JOB_EXPIRED },
		{ "cancelling_at", JOB_CANCELLING },
		{ "cancelled_at", JOB_CANCELLED },
	};
	char *id = g_strconcat("batch_", job->id, NULL);
	json_t *root = json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:s, s:s?, s:s?, s:I, s:I, s:b, "
		"s:{s:I, s:I, s:I}}",
		"id", id, "object", "batch", "endpoint", job->endpoint,
		"input_file_id", job->input_file_id, "completion_window",
		job->window, "status", job_state_name(job->state),
		"output_file_id", output_file_id, "error_file_id",
		error_file_id, "created_at",
		(json_int_t)(job->at_ms[JOB_VALIDATING] / 1000), "expires_at",
		(json_int_t)(job->expires_ms / 1000), "at_risk",
		(int)job->at_risk, "request_counts", "total",
		(json_int_t)job->total, "completed", (json_int_t)job->completed,
		"failed", (json_int_t)job->failed);

	for (size_t i = 0; i < G_N_ELEMENTS(times); i++)
		json_object_set_new(
			root, times[i].name,
			seconds_or_null(job->at_ms[times[i].state]));
	json_object_set_new(root, "metadata",
			    json_loads(job->metadata, 0, NULL));
	json_object_set_new(root, "errors",
			    job->failure ?
				    json_pack("{s:s, s:[{s:s, s:s}]}", "object",
					      "list", "data", "code", "failed",
					      "message", job->failure) :
				    json_null());
	g_free(id);
	return root;
}
