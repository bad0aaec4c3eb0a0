#include "coord/shard_state.h"

#include <string.h>

#include "coord/shard_orphan.h"

/* Reads are served for 5/6 of the lease after the start of the last head write.
 * Another node waits for the whole lease, so its clock may run faster by a
 * sixth. */
#define READ_LEASE_NUM 5
#define READ_LEASE_DEN 6

int64_t shard_state_now_ms(const shard_t *shard)
{
	return clock_now_ms(shard->options.clock);
}

uint64_t shard_state_wall_ms(const shard_t *shard)
{
	return (uint64_t)clock_wall_ms(shard->options.clock);
}

void shard_state_notify(shard_t *shard, shard_event_t event)
{
	const shard_observer_t *observer = &shard->options.observer;

	if (observer->event && !shard->freed)
		observer->event(shard, event, observer->user_data);
}

bool shard_state_call_returned(shard_t *shard)
{
	shard->pending--;
	if (!shard->freed)
		return true;
	shard_state_free_if_idle(shard);
	return false;
}

void shard_state_set_owner_hint(shard_t *shard, const char *writer)
{
	const char *slash = writer ? strchr(writer, '/') : NULL;

	g_free(shard->owner_hint);
	shard->owner_hint = NULL;
	if (slash && !g_str_has_suffix(writer, "/released"))
		shard->owner_hint = g_strndup(writer, (gsize)(slash - writer));
}

void shard_state_clear_write(shard_t *shard)
{
	head_write_t *write = &shard->write;

	g_bytes_unref(write->bytes);
	g_free(write->writer);
	*write = (head_write_t){ 0 };
}

void shard_state_drop_ledger(shard_t *shard)
{
	ledger_free(shard->ledger);
	shard->ledger = NULL;
	ledger_write_free(shard->object_write);
	shard->object_write = NULL;
	shard->ahead = false;
}

void shard_state_drop_ownership(shard_t *shard)
{
	shard->owner = false;
	shard->epoch = 0;
	shard->needed_segment = 0;
	shard_state_drop_ledger(shard);
	g_array_set_size(shard->pending_garbage, 0);
	g_array_set_size(shard->garbage, 0);
	shard_orphan_reset(shard);
	shard->seen_version = 0;
	shard->poll_ms = shard_state_now_ms(shard);
}

bool shard_state_reads_valid(const shard_t *shard, int64_t now)
{
	return now - shard->written_ms < (int64_t)shard->options.lease_ms *
						 READ_LEASE_NUM /
						 READ_LEASE_DEN;
}

void shard_state_free_if_idle(shard_t *shard)
{
	if (shard->pending)
		return;
	shard_state_clear_write(shard);
	shard_state_drop_ledger(shard);
	g_ptr_array_free(shard->batch, TRUE);
	g_array_free(shard->garbage, TRUE);
	g_array_free(shard->pending_garbage, TRUE);
	g_free(shard->orphans.after_key);
	g_free(shard->owner_address);
	g_free(shard->owner_hint);
	g_free(shard->key);
	g_free(shard);
}
