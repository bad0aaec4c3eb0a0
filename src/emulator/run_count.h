#ifndef WASABILINK_EMULATOR_RUN_COUNT_H
#define WASABILINK_EMULATOR_RUN_COUNT_H

#include <jansson.h>

#include "http/http_server.h"

/*
 * run_count - how often an emulator ran a piece of work, by several ids.
 *
 * Tests compare what was answered with what was run. The id kinds are the
 * request id (X-Request-Id), the key (Idempotency-Key, else X-Item-Id) and the
 * work itself (a prompt or a path).
 */
typedef enum run_count_kind {
	RUN_COUNT_REQUEST,
	RUN_COUNT_KEY,
	RUN_COUNT_WORK,
	RUN_COUNT_KINDS
} run_count_kind_t;

typedef struct run_count {
	json_t *by[RUN_COUNT_KINDS]; /* id -> number */
} run_count_t;

void run_count_init(run_count_t *count);
void run_count_clear(run_count_t *count);
/* Counts one run by each id that is not NULL; returns the runs by key or id. */
int64_t run_count_add(run_count_t *count, const http_exchange_t *exchange,
		      const char *work);
/* Answers a query: ?by=request (default), key or work. */
void run_count_reply(const run_count_t *count, http_exchange_t *exchange);

#endif
