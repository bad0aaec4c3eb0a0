#include "coord/shard_takeover.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "coord/shard_head.h"
#include "coord/shard_op.h"
#include "coord/shard_store.h"

#define POLL_MS 1000
/* A standby reads the head continuously: two standbys for each of 48 shards
 * make 48 reads per second. */
#define STANDBY_POLL_MS 2000
/* Ids of segments and index objects contain the epoch in their upper bits and a
 * counter in their lower bits. */
#define ID_COUNTER_BITS 24

static void load_indexes(shard_t *shard);

static void abort_takeover(shard_t *shard)
{
	shard_state_drop_ledger(shard);
	shard->poll_ms = shard_state_now_ms(shard) + POLL_MS;
}

static void on_index(const object_value_t *value, const GError *error,
		     void *user_data)
{
	shard_t *shard = user_data;
	uint64_t id;

	if (!shard_state_call_returned(shard))
		return;
	shard->busy = false;
	id = ledger_missing_index(shard->ledger);
	if (error || !ledger_load_index(shard->ledger, id, value->data,
					value->len, NULL)) {
		/* A missing object is normal once per head version: the owner
		 * may have replaced it after the head was read. */
		if (!error || shard->unreadable_version == shard->version)
			shard_state_notify(shard, SHARD_BROKEN);
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
		shard_head_write(shard, true, false);
		return;
	}
	name = shard_store_object_name(shard, id, true);
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
		shard_state_notify(shard, SHARD_BROKEN);
		abort_takeover(shard);
		return;
	}
	shard->epoch = head.epoch + 1;
	shard->sequence = head.sequence;
	shard->last_id = shard->epoch << ID_COUNTER_BITS;
	xdr_free((xdrproc_t)xdr_ledger_head, (char *)&head);
	load_indexes(shard);
}

/* Whether an earlier process at this node's address wrote the head; that
 * process has ended. */
static bool written_by_earlier_process(const shard_t *shard, const char *writer)
{
	size_t len = strlen(shard->owner_address);
	char own_token[24];

	snprintf(own_token, sizeof(own_token), "/%" PRIx64 "/",
		 shard->options.incarnation);
	return strncmp(writer, shard->owner_address, len) == 0 &&
	       writer[len] == '/' && !g_str_has_prefix(writer + len, own_token);
}

/* Records the owner and the time since which the head has not changed. */
static void watch_head(shard_t *shard, const object_value_t *value)
{
	shard_state_set_owner_hint(shard, value->writer ? value->writer : "");
	if (value->version == shard->seen_version)
		return;
	shard->seen_version = value->version;
	shard->seen_since_ms = shard_state_now_ms(shard);
}

static bool may_take_over(shard_t *shard, const object_value_t *value)
{
	const char *writer = value->writer ? value->writer : "";
	int64_t remaining_ms;

	watch_head(shard, value);
	if (g_str_has_suffix(writer, "/released") ||
	    written_by_earlier_process(shard, writer))
		return true;
	remaining_ms = shard->seen_since_ms + shard->options.lease_ms -
		       shard_state_now_ms(shard);
	if (remaining_ms > 0)
		shard->poll_ms = MIN(shard->poll_ms,
				     shard_state_now_ms(shard) + remaining_ms);
	return remaining_ms <= 0;
}

static void on_poll(const object_value_t *value, const GError *error,
		    void *user_data)
{
	shard_t *shard = user_data;

	if (!shard_state_call_returned(shard))
		return;
	shard->busy = false;
	shard->poll_ms = shard_state_now_ms(shard) +
			 (shard->candidate ? POLL_MS : STANDBY_POLL_MS);
	if (shard->releasing)
		return;
	if (!shard->candidate) {
		if (!error)
			watch_head(shard, value);
		return;
	}
	if (g_error_matches(error, WL_ERROR, WL_ERROR_NOT_FOUND))
		start_takeover(shard, NULL);
	else if (!error && may_take_over(shard, value))
		start_takeover(shard, value);
}

void shard_takeover_step(shard_t *shard, int64_t now)
{
	if (!shard->candidate || shard->releasing)
		shard_op_refuse_all(shard, &shard->waiting,
				    "this node does not own the shard");
	if (shard->releasing || (!shard->candidate && !shard->standby) ||
	    now < shard->poll_ms)
		return;
	shard->busy = true;
	shard->pending++;
	object_get(shard->options.store, shard->key, on_poll, shard);
}
