#ifndef WASABILINK_ENTRY_RECORDS_FOLLOW_H
#define WASABILINK_ENTRY_RECORDS_FOLLOW_H

#include "entry/records_state.h"

/*
 * records_follow - tells followers the records of owned shards.
 *
 * The function that starts it is in records.h; the others observe the shards.
 */

void records_follow_changed(shard_t *shard, const ledger_record *record,
			    void *user_data);
void records_follow_event(shard_t *shard, shard_event_t event, void *user_data);

#endif
