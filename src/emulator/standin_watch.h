#ifndef WASABILINK_EMULATOR_STANDIN_WATCH_H
#define WASABILINK_EMULATOR_STANDIN_WATCH_H

#include <event2/event.h>

#include "emulator/standin_answer.h"
#include "emulator/standin_fault.h"
#include "http/http_server.h"
#include "object/object_table.h"

/*
 * standin_watch - waiting watches (long polls) of the platform stand-in.
 */
typedef struct standin_watches standin_watches_t;

typedef struct standin_watches_options {
	struct event_base *base;
	object_table_t *table;
	standin_fault_t *fault;
	standin_held_t *held;
} standin_watches_options_t;

standin_watches_t *
standin_watches_new(const standin_watches_options_t *options);
/* Answers now or later. port is the listen port that the call came by. */
void standin_watch_start(standin_watches_t *watches, http_exchange_t *exchange,
			 uint16_t port);
/* Answers the watches that a change of this key concerns. */
void standin_watches_notify(standin_watches_t *watches, const char *key);
/* Leaves the watches that wait without an answer, for good. */
void standin_watches_drop(standin_watches_t *watches);
/* After a change of faults: ends watches in an outage, holds blocked ones. */
void standin_watches_check(standin_watches_t *watches);
uint32_t standin_watches_count(const standin_watches_t *watches);

#endif
