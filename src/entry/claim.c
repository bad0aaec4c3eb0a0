#include "entry/claim.h"

#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "rpc/claim_xdr.h"

#define DEFAULT_RETENTION_MS (24 * 3600 * 1000LL)
#define DEFAULT_MAX_BUFFERED 1000
#define BEGIN_TIMEOUT_MS 2500
/* Applies while the last claim on the shard found the ledger unavailable:
 * idempotent work must not wait for a ledger that is known to be
 * unavailable. */
#define DEGRADED_BEGIN_TIMEOUT_MS 300
#define FINISH_TIMEOUT_MS 2500
/* Applies when the ledger was unavailable at the start of the request: the
 * response to the caller should not wait for it. */
#define UNRECORDED_FINISH_TIMEOUT_MS 300
#define RESEND_TIMEOUT_MS 10000
/* Claims that one claims_step() sends. */
#define RESEND_BATCH_CLAIMS 200
/* Beyond max_buffered, results are dropped, but their claims are still settled
 * as unknown. Beyond this multiple of it, the claims are dropped as well. */
#define MAX_CLAIMS_FACTOR 10
/* A member's incarnation starts at its wall clock in ms and grows by one per
 * refuted suspicion. A larger step shows that another process uses the
 * address. */
#define RESTART_INCARNATION_STEP 1000
/* A claimer that the member table does not contain (yet) counts as alive for
 * this time after its last change of the claim. */
#define UNKNOWN_MEMBER_GRACE_MS 30000

struct claims {
	claims_options_t options;
	uint64_t attempts;
	GQueue buffered; /* claim_t to be settled by claims_step() */
	uint32_t settling; /* claim_t whose final update is in flight */
	GHashTable *degraded; /* shards whose last claim was unavailable */
	GHashTable *pending; /* set of claim_t with an update in flight */
	int64_t *responses[CLAIM_RESPONSE_COUNT];
	int64_t *buffered_gauge;
	int64_t *dropped;
};

struct claim {
	claims_t *claims;
	record_key_t key;
	char *owner_tag;
	char *digest;
	bool idempotent;
	uint8_t attempt[CLAIM_ATTEMPT_BYTES];
	uint64_t version; /* expected version of the next update */
	bool unrecorded; /* begun while the ledger was unavailable */
	bool absent; /* the claim certainly has no record */
	claim_begun_t begun;
	claim_finished_t finished;
	void *user_data;
	/* The final state and result to be recorded. */
	claim_state target_state;
	claim_result_t result; /* owns its strings */
};

static void begin(claim_t *claim);

const char *claim_response_name(claim_response_t response)
{
	static const char *const names[CLAIM_RESPONSE_COUNT] = {
		[CLAIM_GRANTED] = "granted",
		[CLAIM_RUNNING] = "running",
		[CLAIM_DONE] = "done",
		[CLAIM_CONFLICT] = "conflict",
		[CLAIM_UNKNOWN] = "unknown",
		[CLAIM_UNAVAILABLE] = "unavailable",
	};

	return names[response];
}

static void result_clear(claim_result_t *result)
{
	g_free((char *)result->content_type);
	g_free((void *)result->body);
	*result = (claim_result_t){ 0 };
}

static void claim_free(claim_t *claim)
{
	result_clear(&claim->result);
	g_free(claim->owner_tag);
	g_free(claim->digest);
	g_free(claim);
}

static void free_claim(void *data)
{
	claim_free(data);
}

static GBytes *encode(const claim_data *data)
{
	size_t len = xdr_sizeof((xdrproc_t)xdr_claim_data, (void *)data);
	char *bytes = g_malloc(len);
	XDR xdrs;

	xdrmem_create(&xdrs, bytes, (u_int)len, XDR_ENCODE);
	g_assert(xdr_claim_data(&xdrs, (claim_data *)data));
	xdr_destroy(&xdrs);
	return g_bytes_new_take(bytes, len);
}

static bool decode(const record_t *record, claim_data *data)
{
	bool ok;
	XDR xdrs;

	memset(data, 0, sizeof(*data));
	xdrmem_create(&xdrs, (char *)record->data, (u_int)record->len,
		      XDR_DECODE);
	ok = record->kind == RECORD_CLAIM && xdr_claim_data(&xdrs, data);
	xdr_destroy(&xdrs);
	if (!ok)
		xdr_free((xdrproc_t)xdr_claim_data, (char *)data);
	return ok;
}

/* Writes the claim with this state if its record still has the expected
 * version. */
static void put(claim_t *claim, claim_state state, int32_t timeout_ms,
		record_done_t done)
{
	claims_t *claims = claim->claims;
	const member_t *self = member_self(claims->options.members);
	const claim_result_t *result = &claim->result;
	uint64_t now = (uint64_t)clock_wall_ms(claims->options.clock);
	claim_data data = {
		.state = state,
		.idempotent = claim->idempotent,
		.digest = claim->digest,
		.claimer = self->address,
		.incarnation = self->incarnation,
		.process = claims->options.process,
		.changed_ms = now,
		.content_type = (char *)"",
	};
	record_t record = {
		.key = claim->key,
		.kind = RECORD_CLAIM,
		.version = claim->version,
		.expire_ms = now + (uint64_t)claims->options.retention_ms,
		.owner_tag = claim->owner_tag,
	};
	GBytes *bytes;

	memcpy(data.attempt, claim->attempt, sizeof(data.attempt));
	if (state == CLAIM_STATE_DONE) {
		data.status = result->status;
		data.content_type = (char *)result->content_type;
		data.body.body_val = (char *)result->body;
		data.body.body_len = (u_int)result->body_len;
		data.body_omitted = result->body_omitted;
	}
	g_hash_table_add(claims->pending, claim);
	bytes = encode(&data);
	record.data = g_bytes_get_data(bytes, &record.len);
	records_update_within(claims->options.records, &record, timeout_ms,
			      done, claim);
	g_bytes_unref(bytes);
}

static claim_result_t result_of(const claim_data *data)
{
	claim_result_t result = {
		.status = data->status,
		.content_type = data->content_type,
		.body = data->body.body_val,
		.body_len = data->body.body_len,
		.body_omitted = data->body_omitted,
	};

	return result;
}

static bool is_own_attempt(const claim_t *claim, const claim_data *data)
{
	return memcmp(claim->attempt, data->attempt, sizeof(claim->attempt)) ==
	       0;
}

static bool is_claimer_dead(const claims_t *claims, const claim_data *data)
{
	const member_table_t *members = claims->options.members;
	const member_t *member = member_find(members, data->claimer);
	uint64_t now = (uint64_t)clock_wall_ms(claims->options.clock);

	if (!member)
		return now > data->changed_ms + UNKNOWN_MEMBER_GRACE_MS;
	if (member == member_self(members))
		return data->process != claims->options.process;
	return member->state == MEMBER_DEAD ||
	       member->incarnation >=
		       data->incarnation + RESTART_INCARNATION_STEP;
}

/* Settling: writing a claim's final state. */

static void buffer(claim_t *claim)
{
	claims_t *claims = claim->claims;
	uint32_t retained = claims->buffered.length + claims->settling;

	if (retained >= claims->options.max_buffered &&
	    claim->target_state == CLAIM_STATE_DONE) {
		++*claims->dropped;
		claim->target_state = CLAIM_STATE_UNKNOWN;
		result_clear(&claim->result);
	}
	if (retained >= claims->options.max_buffered * MAX_CLAIMS_FACTOR) {
		claim_free(claim);
		return;
	}
	g_queue_push_tail(&claims->buffered, claim);
	*claims->buffered_gauge = claims->buffered.length;
}

static void notify_finished(claim_t *claim, bool recorded,
			    const claim_result_t *result)
{
	claim_finished_t finished = claim->finished;

	claim->finished = NULL;
	if (finished)
		finished(recorded, result, claim->user_data);
}

static void settle(claim_t *claim, int32_t timeout_ms);

/* Returns whether the existing record makes the update unnecessary or
 * impossible. */
static bool is_settled(claim_t *claim, const claim_data *data)
{
	claim_result_t first;

	if (data->state == CLAIM_STATE_DONE) {
		first = result_of(data);
		notify_finished(claim, true,
				claim->target_state == CLAIM_STATE_DONE &&
						!is_own_attempt(claim, data) ?
					&first :
					NULL);
		return true;
	}
	if (strcmp(data->digest, claim->digest) != 0) {
		notify_finished(claim, false, NULL);
		return true;
	}
	return claim->target_state != CLAIM_STATE_DONE &&
	       (!is_own_attempt(claim, data) ||
		data->state == claim->target_state);
}

static void on_settle_conflict(claim_t *claim, const record_t *record)
{
	claim_data data;
	bool settled;

	if (!decode(record, &data)) {
		notify_finished(claim, false, NULL);
		claim_free(claim);
		return;
	}
	settled = is_settled(claim, &data);
	claim->version = record->version;
	xdr_free((xdrproc_t)xdr_claim_data, (char *)&data);
	if (settled)
		claim_free(claim);
	else
		settle(claim, FINISH_TIMEOUT_MS);
}

static void on_settled(const record_t *record, const GError *error,
		       void *user_data)
{
	claim_t *claim = user_data;

	g_hash_table_steal(claim->claims->pending, claim);
	claim->claims->settling--;
	if (!error) {
		notify_finished(claim, true, NULL);
		claim_free(claim);
	} else if (error->code == WL_ERROR_CONFLICT) {
		on_settle_conflict(claim, record);
	} else if (error->code == WL_ERROR_NOT_FOUND) {
		claim->version = RECORD_ABSENT;
		settle(claim, FINISH_TIMEOUT_MS);
	} else if (error->code == WL_ERROR_TOO_LARGE) {
		log_error("claim_result_too_large", "bytes=%zu",
			  claim->result.body_len);
		notify_finished(claim, false, NULL);
		claim_free(claim);
	} else {
		notify_finished(claim, false, NULL);
		buffer(claim);
	}
}

static void settle(claim_t *claim, int32_t timeout_ms)
{
	claim->claims->settling++;
	put(claim, claim->target_state, timeout_ms, on_settled);
}

void claims_step(claims_t *claims)
{
	uint32_t count = MIN(claims->buffered.length, RESEND_BATCH_CLAIMS);

	/* The updates of a previous step are still in flight. */
	if (claims->settling >= RESEND_BATCH_CLAIMS)
		return;
	for (; count > 0; count--)
		settle(g_queue_pop_head(&claims->buffered), RESEND_TIMEOUT_MS);
	*claims->buffered_gauge = claims->buffered.length;
}

void claim_finish(claim_t *claim, const claim_result_t *result,
		  claim_finished_t done, void *user_data)
{
	bool omit =
		result->body_omitted || result->body_len > CLAIM_MAX_BODY_BYTES;

	claim->finished = done;
	claim->user_data = user_data;
	claim->target_state = CLAIM_STATE_DONE;
	claim->result.status = result->status;
	claim->result.content_type =
		g_strdup(result->content_type ? result->content_type : "");
	claim->result.body_omitted = omit;
	if (!omit) {
		claim->result.body = g_memdup2(result->body, result->body_len);
		claim->result.body_len = result->body_len;
	}
	settle(claim, claim->unrecorded ? UNRECORDED_FINISH_TIMEOUT_MS :
					  FINISH_TIMEOUT_MS);
}

static void close_without_result(claim_t *claim, claim_state target_state)
{
	claim->target_state = target_state;
	if (claim->absent)
		claim_free(claim);
	else
		settle(claim, FINISH_TIMEOUT_MS);
}

void claim_abandon(claim_t *claim)
{
	close_without_result(claim, CLAIM_STATE_ABANDONED);
}

void claim_mark_unknown(claim_t *claim)
{
	close_without_result(claim, CLAIM_STATE_UNKNOWN);
}

/* Beginning */

static void complete_begin(claim_t *claim, claim_response_t outcome,
			   claim_t *granted, const claim_result_t *result)
{
	claim_begun_t begun = claim->begun;
	void *user_data = claim->user_data;

	++*claim->claims->responses[outcome];
	begun(outcome, granted, result, user_data);
}

static void refuse(claim_t *claim, claim_response_t outcome,
		   const claim_result_t *result)
{
	complete_begin(claim, outcome, NULL, result);
	claim_free(claim);
}

static void *shard_id(const claim_t *claim)
{
	uint32_t shard =
		records_shard(claim->claims->options.records, &claim->key);

	return GUINT_TO_POINTER(shard + 1);
}

static int32_t begin_timeout(const claim_t *claim)
{
	return g_hash_table_contains(claim->claims->degraded, shard_id(claim)) ?
		       DEGRADED_BEGIN_TIMEOUT_MS :
		       BEGIN_TIMEOUT_MS;
}

static void on_marked_unknown(const record_t *record, const GError *error,
			      void *user_data)
{
	claim_t *claim = user_data;

	g_hash_table_steal(claim->claims->pending, claim);
	if (error && error->code == WL_ERROR_CONFLICT) {
		/* Another claimer wrote first: evaluate its record. */
		begin(claim);
		return;
	}
	refuse(claim, CLAIM_UNKNOWN, NULL);
}

static void on_claimed(const record_t *record, const GError *error,
		       void *user_data);

/* Decides about a new claim whose key already has a record. */
static void evaluate_existing(claim_t *claim, const record_t *record,
			      const claim_data *data)
{
	claim_result_t result;
	bool may_grant = data->state == CLAIM_STATE_ABANDONED;

	if (strcmp(data->digest, claim->digest) != 0 && !may_grant) {
		refuse(claim, CLAIM_CONFLICT, NULL);
		return;
	}
	if (data->state == CLAIM_STATE_DONE) {
		result = result_of(data);
		refuse(claim, CLAIM_DONE, &result);
		return;
	}
	claim->version = record->version;
	if (data->state == CLAIM_STATE_CLAIMED &&
	    !is_claimer_dead(claim->claims, data)) {
		refuse(claim, CLAIM_RUNNING, NULL);
		return;
	}
	may_grant = may_grant || (data->idempotent && claim->idempotent);
	if (may_grant)
		put(claim, CLAIM_STATE_CLAIMED, begin_timeout(claim),
		    on_claimed);
	else if (data->state == CLAIM_STATE_UNKNOWN)
		refuse(claim, CLAIM_UNKNOWN, NULL);
	else
		put(claim, CLAIM_STATE_UNKNOWN, begin_timeout(claim),
		    on_marked_unknown);
}

static void on_begin_conflict(claim_t *claim, const record_t *record)
{
	claim_data data;

	if (!decode(record, &data)) {
		refuse(claim, CLAIM_CONFLICT, NULL);
		return;
	}
	evaluate_existing(claim, record, &data);
	xdr_free((xdrproc_t)xdr_claim_data, (char *)&data);
}

/* An update whose outcome is unknown may leave a record that no claimer would
 * ever finish. Such a claim is closed in the background. */
static void on_begin_failed(claim_t *claim, const GError *error)
{
	claim->absent = error->code == WL_ERROR_UNAVAILABLE;
	if (claim->idempotent) {
		claim->unrecorded = true;
		complete_begin(claim, CLAIM_UNAVAILABLE, claim, NULL);
		return;
	}
	complete_begin(claim, CLAIM_UNAVAILABLE, NULL, NULL);
	claim->target_state = CLAIM_STATE_ABANDONED;
	if (claim->absent)
		claim_free(claim);
	else
		buffer(claim);
}

static void on_claimed(const record_t *record, const GError *error,
		       void *user_data)
{
	claim_t *claim = user_data;
	GHashTable *degraded = claim->claims->degraded;

	g_hash_table_steal(claim->claims->pending, claim);
	if (!error || error->code == WL_ERROR_CONFLICT)
		g_hash_table_remove(degraded, shard_id(claim));
	else if (error->code != WL_ERROR_NOT_FOUND)
		g_hash_table_add(degraded, shard_id(claim));
	if (!error) {
		claim->version = record->version;
		complete_begin(claim, CLAIM_GRANTED, claim, NULL);
	} else if (error->code == WL_ERROR_CONFLICT) {
		on_begin_conflict(claim, record);
	} else if (error->code == WL_ERROR_NOT_FOUND) {
		/* The record expired in the meantime. */
		begin(claim);
	} else {
		on_begin_failed(claim, error);
	}
}

static void begin(claim_t *claim)
{
	claim->version = RECORD_ABSENT;
	put(claim, CLAIM_STATE_CLAIMED, begin_timeout(claim), on_claimed);
}

void claim_begin(claims_t *claims, const claim_options_t *options,
		 claim_begun_t done, void *user_data)
{
	claim_t *claim = g_new0(claim_t, 1);
	uint64_t attempt[2] = { claims->options.process, ++claims->attempts };

	claim->claims = claims;
	claim->key = record_key_make("claim", options->partner,
				     options->workspace, options->key, NULL);
	claim->owner_tag =
		g_strdup_printf("%s/%s", options->partner, options->workspace);
	claim->digest = g_strdup(options->request_digest);
	claim->idempotent = options->idempotent;
	claim->begun = done;
	claim->user_data = user_data;
	memcpy(claim->attempt, attempt, sizeof(claim->attempt));
	begin(claim);
}

claims_t *claims_new(const claims_options_t *options)
{
	claims_t *claims = g_new0(claims_t, 1);
	counter_set_t *set = options->counters;

	claims->options = *options;
	if (!claims->options.retention_ms)
		claims->options.retention_ms = DEFAULT_RETENTION_MS;
	if (!claims->options.max_buffered)
		claims->options.max_buffered = DEFAULT_MAX_BUFFERED;
	claims->degraded = g_hash_table_new(NULL, NULL);
	claims->pending = g_hash_table_new_full(NULL, NULL, free_claim, NULL);
	g_queue_init(&claims->buffered);
	for (int i = 0; i < CLAIM_RESPONSE_COUNT; i++) {
		char *labels = g_strdup_printf(
			"answer=\"%s\"",
			claim_response_name((claim_response_t)i));

		claims->responses[i] = counter_get(set, COUNTER_MONOTONIC,
						   "claims_total", labels);
		g_free(labels);
	}
	claims->buffered_gauge =
		counter_get(set, COUNTER_GAUGE, "claims_buffered", NULL);
	claims->dropped = counter_get(set, COUNTER_MONOTONIC,
				      "claim_results_dropped_total", NULL);
	return claims;
}

void claims_free(claims_t *claims)
{
	if (!claims)
		return;
	g_queue_clear_full(&claims->buffered, free_claim);
	g_hash_table_destroy(claims->degraded);
	g_hash_table_destroy(claims->pending);
	g_free(claims);
}
