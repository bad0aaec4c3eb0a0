#ifndef WASABILINK_GATEWAY_JOB_OWNER_ITEM_H
#define WASABILINK_GATEWAY_JOB_OWNER_ITEM_H

#include <stdbool.h>
#include <stdint.h>

#include "base/memory_budget.h"
#include "gateway/item_estimate.h"
#include "gateway/job_context.h"
#include "gateway/job_progress.h"
#include "gateway/job_record.h"

/*
 * job_owner_item - executes one item of an owned job until it has a result.
 *
 * The events that a stream has delivered are kept when it is truncated or the
 * item is preempted; the next attempt resumes after them at a runner of the same
 * software version. When no runner has it, the item begins anew.
 */
typedef struct owned_job owned_job_t;

typedef enum job_item_state {
	JOB_ITEM_WAITING,
	JOB_ITEM_RUNNING,
	JOB_ITEM_FINISHED
} job_item_state_t;

/* An item that does not wait for a slot. */
#define JOB_ITEM_NO_DEMAND UINT32_MAX

/* Most bytes of a result's text in the store, below its limit for a value. */
#define JOB_ITEM_TEXT_MAX_BYTES (900 * 1024)

/* Takes ownership of the text. */
typedef void (*job_item_finished_t)(void *user_data, uint32_t index,
				    job_result_state_t state, char *text);

/* What the owner of an item's job tells it and is told. */
typedef struct job_item_callbacks {
	job_item_finished_t finished;
	/* Whether the job is known to be this node's still. */
	bool (*is_confirmed)(void *user_data);
} job_item_callbacks_t;

typedef struct owned_item {
	job_context_t *context;
	const job_item_t *item;
	uint32_t index;
	int64_t tokens; /* that a runner needs memory for; 0: not known */
	job_item_state_t state;
	execution_t *execution;
	prompt_parts_t parts;
	GString *text; /* data of the events; NULL before the first start */
	size_t text_bytes; /* in the store */
	memory_holder_t memory; /* for the text */
	bool too_long; /* the text cannot be stored; it was dropped */
	int64_t last_event; /* -1: none */
	uint64_t version_key; /* of the software that wrote the events */
	int64_t no_slot_since_us; /* at runners of that software; 0: none yet */
	int64_t saved_event; /* the last one saved in the store; -1: none */
	uint32_t failures; /* attempts with an error or too long an output */
	uint32_t saved_failures; /* as last saved in the store */
	uint32_t losses; /* executions that ended without output, consecutive */
	uint32_t refusals; /* executions that runners refused, consecutive */
	uint32_t unreadable_runs; /* whose output was no text */
	uint32_t empty_ends; /* of these, since the last event */
	stream_patience_t patience;
	bool progressed; /* the current execution has had output */
	uint32_t failures_at_start; /* as the current attempt started */
	uint32_t max_failures;
	int64_t not_before_us;
	int64_t started_us; /* of the first attempt; 0: none yet */
	uint32_t urgency; /* see batch_rule; as last updated */
	uint32_t demand; /* index of its service's; JOB_ITEM_NO_DEMAND: none */
	uint64_t service_key; /* of the current or last attempt's service */
	bool unreadable; /* the text is not UTF-8, which JSON requires */
	bool resumed; /* started at another owner */
	bool unsendable; /* a build before has accepted it */
	bool recorded; /* the job's record has its result */
	bool too_large; /* no runner of its service took its size, as last
			 * counted */
	bool was_infeasible; /* at some time; its duration is not typical */
	const job_item_callbacks_t *callbacks;
	void *user_data;
} owned_item_t;

void job_owner_item_init(owned_item_t *owned, job_context_t *context,
			 const job_item_t *item, uint32_t index,
			 const job_item_callbacks_t *callbacks,
			 void *user_data);
void job_owner_item_clear(owned_item_t *owned);
/* Sets the output that another owner has received, and the attempts that failed
 * there; the item resumes after the last event. */
void job_owner_item_resume(owned_item_t *owned, const job_progress_t *progress);
/* Updates the urgency for the present time. */
void job_owner_item_update_urgency(owned_item_t *owned, int64_t deadline_us,
				   const item_estimate_t *estimate);
/* Number of events that the item has delivered. */
int64_t job_owner_item_events(const owned_item_t *owned);
/* Whether the item waits for a slot and its backoff is over. An item that is
 * held back, as it crashes runners, does not. */
bool job_owner_item_wants_slot(const owned_item_t *owned);
/* The service whose runners are to run the item: the one whose runners wrote its
 * output, else one of the route's, selected by weight. NULL: the route has none.
 * The pointer is valid as long as the route and the fleet do not change. */
const char *job_owner_item_service(const owned_item_t *owned,
				   const path_route_t *route);
/* Where to start an item. */
typedef struct job_item_place {
	const char *service;
	const char *domain; /* only runners there; NULL: the fleet selects */
	uint64_t runner; /* key of the preferred runner; 0: none */
} job_item_place_t;

/* Returns false when no runner has a slot for the item, so that the caller need
 * not try the next one. route is that of the job, NULL when it was removed. */
bool job_owner_item_start(owned_item_t *owned, const path_route_t *route,
			  const job_item_place_t *place);
/* Whether the item is held back, as it crashes runners. */
bool job_owner_item_is_held(const owned_item_t *owned);
/* Ends the item without a result of a runner, and logs this event. It must be
 * waiting. */
void job_owner_item_give_up(owned_item_t *owned, const char *event);
/* Cancels the current attempt, if any; the item waits for a slot again. */
void job_owner_item_cancel(owned_item_t *owned);
/* Cancels the current attempt to free its slot for an online request. The item
 * waits for a slot again after a backoff. */
void job_owner_item_preempt(owned_item_t *owned);
/* Ends an attempt whose output is too long. To be called several times per
 * second. */
void job_owner_item_check(owned_item_t *owned);
/* The runner of the current attempt, or NULL. */
const fleet_runner_t *job_owner_item_runner(const owned_item_t *owned);

#endif
