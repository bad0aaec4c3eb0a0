#include "entry/records_state.h"

#include <string.h>

int64_t records_state_now_ms(const records_t *records)
{
	return clock_now_ms(records->options.clock);
}

record_t records_state_to_record(const ledger_record *from)
{
	record_t record = {
		.kind = (record_kind_t)from->kind,
		.version = from->revision,
		.expire_ms = from->expire_ms,
		.owner_tag = from->owner_tag,
		.data = from->data.data_val,
		.len = from->data.data_len,
	};

	memcpy(record.key.bytes, from->key, sizeof(record.key.bytes));
	return record;
}

ledger_record records_state_from_record(const record_t *from)
{
	ledger_record record = {
		.kind = (u_int)from->kind,
		.revision = from->version,
		.expire_ms = from->expire_ms,
		.owner_tag = (char *)(from->owner_tag ? from->owner_tag : ""),
	};

	record.data.data_len = (u_int)from->len;
	record.data.data_val = (char *)from->data;
	memcpy(record.key, from->key.bytes, sizeof(record.key));
	return record;
}

const char *records_state_own_address(const records_t *records)
{
	return member_self(records->options.members)->address;
}

void records_state_schedule_step(records_t *records)
{
	event_active(records->step_event, EV_TIMEOUT, 0);
}

bool records_state_matches(const ledger_record *record, const char *owner_tag)
{
	return !owner_tag || !*owner_tag ||
	       strcmp(record->owner_tag, owner_tag) == 0;
}
