#ifndef WASABILINK_ENTRY_DISPATCH_STATE_H
#define WASABILINK_ENTRY_DISPATCH_STATE_H

#include <event2/event.h>
#include <glib.h>

#include "batch/dispatcher.h"
#include "entry/dispatch.h"
#include "entry/entry.h"

/*
 * dispatch_state - the dispatcher's state, shared by dispatch and its parts.
 */

typedef struct part {
	char *key;
	GBytes *data;
	int64_t used_ms;
} part_t;

typedef struct offer {
	char *coordinator;
	char *partner;
	char *deployment;
	uint32_t waiting;
	int64_t slack_ms;
	int64_t seen_ms;
	int64_t pulled; /* sequence of the last pull */
} offer_t;

typedef struct pressure {
	char *runner;
	char *sender;
	uint32_t in_flight;
	int64_t seen_ms;
} pressure_t;

/* This node's online requests on a runner, and what its dispatcher knows. */
typedef struct own_load {
	char *runner;
	uint32_t in_flight;
	uint32_t told;
	int64_t told_ms;
} own_load_t;

struct dispatch {
	entry_t *entry;
	dispatcher_t *dispatcher;
	struct event *tick;
	struct event *pressure; /* a change waits for its pause to end */
	struct event *soon; /* a tick right after the current event */
	GPtrArray *parts; /* part_t */
	GPtrArray *offers; /* offer_t */
	GPtrArray *returns; /* chunks that the coordinator must still take */
	GHashTable *locating; /* jobs whose coordinator is being looked up */
	GHashTable *pressures; /* "runner sender" -> pressure_t */
	GHashTable *own_loads; /* runner -> own_load_t */
	int64_t members_ms;
	int64_t load_ms;
	int64_t pulls;
	int64_t attempts;
	int64_t *items_started;
	int64_t *items_stopped;
	int64_t *items_completed;
	int64_t *items_failed;
	int64_t *running;
	int64_t *pressures_sent;
};

/* A message about a chunk, which may be gone when the answer comes. */
typedef struct chunk_call {
	dispatch_t *dispatch;
	char *job;
	char *key; /* of a part */
	char *partner;
	char *deployment;
	char *coordinator;
	uint32_t first;
	int64_t sent_ms;
} chunk_call_t;

int64_t dispatch_now_ms(const dispatch_t *dispatch);
const char *dispatch_own_address(const dispatch_t *dispatch);
/* Runs a tick right after the current event. */
void dispatch_schedule_soon(dispatch_t *dispatch);
chunk_call_t *chunk_call_new(dispatch_t *dispatch, const char *job,
			     uint32_t first);
void chunk_call_free(chunk_call_t *call);

#endif
