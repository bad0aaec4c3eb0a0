#ifndef WASABILINK_ENTRY_RECORDS_CALL_H
#define WASABILINK_ENTRY_RECORDS_CALL_H

#include "entry/records_state.h"

/*
 * records_call - one operation on a record, with its attempts in process or by
 * RPC until its deadline.
 */

/* One operation with its retries. */
typedef struct call {
	records_t *records;
	location_t *location;
	bool is_update;
	ledger_record *record; /* the update, or only the key */
	char token[LEDGER_TOKEN_BYTES];
	int64_t deadline_ms;
	bool uncertain; /* an attempt may have had an effect */
	char *target; /* of the current attempt; NULL: local */
	struct event *retry_timer;
	record_done_t done;
	void *user_data;
} call_t;

void records_call_free(void *data);
call_t *records_call_new(records_t *records, const ledger_record *record,
			 int32_t timeout_ms, record_done_t done,
			 void *user_data);
/* The first attempt is deferred: calls of one loop iteration go into one
 * write, and no completion runs before the caller returns. */
void records_call_start(call_t *call);

#endif
