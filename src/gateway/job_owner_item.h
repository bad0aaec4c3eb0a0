#ifndef WASABILINK_GATEWAY_JOB_OWNER_ITEM_H
#define WASABILINK_GATEWAY_JOB_OWNER_ITEM_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/item_estimate.h"
#include "gateway/job_context.h"
#include "gateway/job_record.h"

/*
 * job_owner_item - one item of an owned job on its way to a result.
 *
 * What a stream has delivered is kept when it breaks off or gives way, and the
 * item goes on from there at any runner.
 */
typedef struct owned_job owned_job_t;

typedef enum job_item_state {
	JOB_ITEM_WAITING,
	JOB_ITEM_RUNNING,
	JOB_ITEM_FINISHED
} job_item_state_t;

/* Takes the text over. */
typedef void (*job_item_finished_t)(void *user_data, uint32_t index,
				    job_result_state_t state, char *text);

typedef struct job_item_run {
	job_context_t *context;
	const job_item_t *item;
	uint32_t index;
	job_item_state_t state;
	run_t *run;
	GString *text; /* of the events so far; NULL before the first start */
	int64_t last_event; /* -1: none */
	int64_t saved_event; /* the last one that the store has; -1: none */
	uint32_t failures; /* that the runner answered */
	uint32_t failures_at_start; /* of the present run */
	uint32_t max_failures;
	int64_t not_before_us;
	int64_t started_us; /* of its first run; 0: none yet */
	uint32_t urgency; /* see batch_rule; as of the last look */
	bool unreadable; /* the text is not UTF-8, as JSON needs it */
	bool resumed; /* began at another owner */
	bool was_hopeless; /* its time says nothing about usual items */
	job_item_finished_t finished;
	void *user_data;
} job_item_run_t;

void job_item_run_init(job_item_run_t *run, job_context_t *context,
		       const job_item_t *item, uint32_t index,
		       job_item_finished_t finished, void *user_data);
void job_item_run_clear(job_item_run_t *run);
/* Goes on after an event that another owner has seen. */
void job_item_run_resume(job_item_run_t *run, int64_t last_event,
			 const char *text);
/* Looks at the urgency of the item anew. */
void job_item_run_rank(job_item_run_t *run, int64_t due_us,
		       const item_estimate_t *estimate);
/* Events that the item has delivered. */
int64_t job_item_run_events(const job_item_run_t *run);
/* Whether the item looks for a place now. */
bool job_item_run_wants_place(const job_item_run_t *run);
/* Returns false when no runner has a place for it, so that trying the next
 * item is of no use. route is that of the job, NULL when it was removed; domain
 * is where to run it, NULL: wherever the fleet chooses. */
bool job_item_run_start(job_item_run_t *run, const path_route_t *route,
			const char *domain);
/* Stops a run that is under way; the item waits again. */
void job_item_run_cancel(job_item_run_t *run);
/* The same, to make room for online requests. */
void job_item_run_yield(job_item_run_t *run);
/* The runner that works on the item, or NULL. */
const fleet_runner_t *job_item_run_runner(const job_item_run_t *run);

#endif
