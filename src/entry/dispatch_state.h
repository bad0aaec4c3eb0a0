#ifndef WASABILINK_ENTRY_DISPATCH_STATE_H
#define WASABILINK_ENTRY_DISPATCH_STATE_H

#include <event2/event.h>
#include <glib.h>

#include "batch/dispatcher.h"
#include "entry/dispatch.h"
#include "entry/entry.h"

/*
 * dispatch_state - state of the dispatcher's I/O, shared by dispatch and the
 * dispatch_* modules.
 */

typedef struct input_part {
	char *key;
	GBytes *data;
	int64_t last_used_ms;
} input_part_t;

typedef struct offer {
	char *coordinator;
	char *partner;
	char *deployment;
	uint32_t waiting;
	int64_t slack_ms;
	int64_t received_ms;
	int64_t last_pull; /* value of pull_count at the last pull */
} offer_t;

/* Online requests of another node on a runner, as last received. */
typedef struct remote_load {
	char *runner;
	char *sender;
	uint32_t in_flight;
	int64_t received_ms;
} remote_load_t;

/* This node's online requests on a runner, and the count that was last reported
 * to the runner's dispatcher. */
typedef struct local_load {
	char *runner;
	uint32_t in_flight;
	uint32_t reported_in_flight;
	int64_t reported_ms;
} local_load_t;

struct dispatch {
	entry_t *entry;
	dispatcher_t *dispatcher;
	struct event *tick;
	struct event *report_timer; /* sends a delayed report */
	struct event *immediate_tick; /* fires after the current event */
	GPtrArray *input_parts; /* input_part_t */
	GPtrArray *offers; /* offer_t */
	GPtrArray *releases; /* chunk_release_t; not acknowledged yet */
	GHashTable *locating; /* jobs whose coordinator is being looked up */
	GHashTable *remote_loads; /* "runner sender" -> remote_load_t */
	GHashTable *local_loads; /* runner -> local_load_t */
	int64_t next_refresh_ms;
	int64_t next_slots_query_ms;
	int64_t pull_count;
	int64_t attempts;
	int64_t *items_started;
	int64_t *items_stopped;
	int64_t *items_completed;
	int64_t *items_failed;
	int64_t *running;
	int64_t *load_reports_sent;
};

/* A call in progress. It identifies its chunk by job and first item, as the
 * chunk may have been freed when the reply arrives. */
typedef struct chunk_call {
	dispatch_t *dispatch;
	char *job;
	char *key; /* of an input part, or a runner's address */
	char *partner;
	char *deployment;
	char *coordinator;
	uint32_t first;
	int64_t sent_ms;
} chunk_call_t;

int64_t dispatch_now_ms(const dispatch_t *dispatch);
const char *dispatch_own_address(const dispatch_t *dispatch);
/* Runs a tick right after the current event. */
void dispatch_schedule_tick(dispatch_t *dispatch);
chunk_call_t *chunk_call_new(dispatch_t *dispatch, const char *job,
			     uint32_t first);
void chunk_call_free(chunk_call_t *call);

#endif
