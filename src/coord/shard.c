#include "coord/shard.h"

#include <string.h>

#include "coord/shard_batch.h"
#include "coord/shard_garbage.h"
#include "coord/shard_head.h"
#include "coord/shard_op.h"
#include "coord/shard_orphan.h"
#include "coord/shard_segment.h"
#include "coord/shard_store.h"
#include "coord/shard_takeover.h"

#define DEFAULT_MAX_WAITING 10000
#define DEFAULT_MAX_WAITING_BYTES (8 * 1024 * 1024)
#define DEFAULT_LEASE_MS 6000
#define DEFAULT_RENEW_MS 2000
#define DEFAULT_COMPACT_AFTER_MS (24 * 3600 * 1000LL)
#define DEFAULT_SWEEP_MS (3600 * 1000LL)
/* An owner that stops being the candidate waits this long for membership to
 * converge before it releases the shard. */
#define RELEASE_DELAY_MS 3000

void shard_get(shard_t *shard, const void *key, int64_t deadline_ms,
	       shard_done_t done, void *user_data)
{
	op_t *op = shard_op_new(OP_GET, deadline_ms, user_data);

	memcpy(op->key, key, sizeof(op->key));
	op->done = done;
	shard_op_enqueue(shard, op);
}

void shard_update(shard_t *shard, const ledger_record *update,
		  const void *token, int64_t deadline_ms, shard_done_t done,
		  void *user_data)
{
	op_t *op = shard_op_new(OP_UPDATE, deadline_ms, user_data);

	memcpy(op->key, update->key, sizeof(op->key));
	memcpy(op->token, token, sizeof(op->token));
	op->update = ledger_record_copy(update);
	op->bytes = ledger_record_bytes(op->update);
	op->done = done;
	shard_op_enqueue(shard, op);
}

void shard_list(shard_t *shard, uint32_t kind, int64_t deadline_ms,
		shard_list_done_t done, void *user_data)
{
	op_t *op = shard_op_new(OP_LIST, deadline_ms, user_data);

	op->list_kind = kind;
	op->list_done = done;
	op->records = g_ptr_array_new_with_free_func(
		(GDestroyNotify)ledger_record_free);
	shard_op_enqueue(shard, op);
}

/* Executes reads while no write can start and the lease is valid. */
static void serve_reads(shard_t *shard, int64_t now)
{
	if (!shard_state_reads_valid(shard, now) || shard->batch->len)
		return;
	shard_batch_execute(shard, false);
	shard_batch_commit(shard);
}

static bool wants_release(const shard_t *shard, int64_t now)
{
	return shard->releasing ||
	       (!shard->candidate &&
		now - shard->candidate_since_ms >= RELEASE_DELAY_MS);
}

static void write_batch(shard_t *shard, int64_t now)
{
	bool renew = now - shard->written_ms >= shard->options.renew_ms;
	bool release = wants_release(shard, now);
	size_t bytes;

	if (!renew && !release && shard_segment_write(shard))
		return;
	shard_segment_compact(shard);
	bytes = shard_batch_execute(shard, true);
	if (bytes > 0 && !renew && !release && shard_segment_write_ahead(shard))
		return;
	if (bytes > 0 || renew || release)
		shard_head_write(shard, false, release);
	else
		shard_batch_commit(shard);
}

static void owner_step(shard_t *shard, int64_t now)
{
	if (shard->write.bytes) {
		if (now >= shard->retry_ms)
			shard_head_read_back(shard);
		return;
	}
	if (now < shard->retry_ms || !shard_store_budget_ready(shard)) {
		serve_reads(shard, now);
		return;
	}
	write_batch(shard, now);
	shard_garbage_remove(shard);
	shard_orphan_step(shard, now);
}

void shard_step(shard_t *shard)
{
	int64_t now = shard_state_now_ms(shard);

	shard_op_refuse_all(shard, &shard->refused,
			    "too many operations are waiting");
	shard_op_refuse_expired(shard, now);
	if (shard->busy)
		return;
	if (shard->owner || shard->write.bytes)
		owner_step(shard, now);
	else
		shard_takeover_step(shard, now);
}

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
	if (!shard->options.compact_after_ms)
		shard->options.compact_after_ms = DEFAULT_COMPACT_AFTER_MS;
	if (!shard->options.sweep_ms)
		shard->options.sweep_ms = DEFAULT_SWEEP_MS;
	shard->owner_address = g_strdup(options->owner);
	shard->key = g_strdup_printf("shard/%u", options->number);
	shard->batch = g_ptr_array_new();
	shard->garbage = g_array_new(FALSE, FALSE, sizeof(ledger_garbage_t));
	shard->pending_garbage =
		g_array_new(FALSE, FALSE, sizeof(ledger_garbage_t));
	g_queue_init(&shard->waiting);
	g_queue_init(&shard->refused);
	return shard;
}

void shard_free(shard_t *shard)
{
	if (!shard)
		return;
	shard_batch_fail(shard, true);
	shard_op_refuse_all(shard, &shard->waiting,
			    "the node is shutting down");
	shard_op_refuse_all(shard, &shard->refused,
			    "the node is shutting down");
	shard->freed = true;
	shard_state_free_if_idle(shard);
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
	shard->candidate_since_ms = shard_state_now_ms(shard);
	shard->poll_ms = shard->candidate_since_ms;
	if (!shard->standby)
		shard->seen_version = 0;
}

void shard_set_standby(shard_t *shard, bool standby)
{
	if (shard->standby == standby)
		return;
	shard->standby = standby;
	shard->poll_ms = shard_state_now_ms(shard);
	if (!shard->candidate)
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
	return shard->owner ? shard->owner_address : shard->owner_hint;
}

uint64_t shard_epoch(const shard_t *shard)
{
	return shard->owner ? shard->epoch : 0;
}

bool shard_has_lease(const shard_t *shard)
{
	return shard->owner && !shard->write.releasing &&
	       shard_state_reads_valid(shard, shard_state_now_ms(shard));
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
		[SHARD_ORPHANS] = "shard_orphans_found",
		[SHARD_BROKEN] = "shard_broken",
	};

	return names[event];
}
