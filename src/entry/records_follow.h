#ifndef WASABILINK_ENTRY_RECORDS_FOLLOW_H
#define WASABILINK_ENTRY_RECORDS_FOLLOW_H

#include "entry/records_state.h"

/*
 * records_follow - reports the records of owned shards to followers.
 *
 * records_follow() is declared in records.h. The functions below are the
 * callbacks of the shards' observer.
 */

void records_follow_changed(shard_t *shard, const ledger_record *record,
			    void *user_data);
void records_follow_event(shard_t *shard, shard_event_t event, void *user_data);

#endif
