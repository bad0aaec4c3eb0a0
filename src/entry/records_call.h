#ifndef WASABILINK_ENTRY_RECORDS_CALL_H
#define WASABILINK_ENTRY_RECORDS_CALL_H

#include "entry/records_state.h"

/*
 * records_call - executes one operation on a record, in process or by RPC, and
 * retries it until its deadline.
 */

typedef struct call {
	records_t *records;
	location_t *location;
	bool is_update;
	ledger_record *record; /* the update, or only the key */
	char token[LEDGER_TOKEN_BYTES];
	int64_t deadline_ms;
	bool uncertain; /* an attempt may have taken effect */
	char *target; /* address of the current attempt; NULL: this node */
	struct event *retry_timer;
	record_done_t done;
	void *user_data;
} call_t;

void records_call_free(void *data);
call_t *records_call_new(records_t *records, const ledger_record *record,
			 int32_t timeout_ms, record_done_t done,
			 void *user_data);
/* Defers the first attempt to the event loop, so that calls of one loop
 * iteration share one write and no completion runs before the caller
 * returns. */
void records_call_start(call_t *call);

#endif
