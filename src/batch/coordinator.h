#ifndef WASABILINK_BATCH_COORDINATOR_H
#define WASABILINK_BATCH_COORDINATOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "batch/job.h"
#include "batch/item_failures.h"

/*
 * coordinator - assigns the chunks of the jobs whose records this node owns to
 * dispatchers, by leases. It does no I/O: it accesses records and result
 * objects through the operations, and leases use the injected monotonic clock.
 *
 * Leases are kept in memory only. A successor reads the finished chunks from
 * the result objects and completes no cancellation or expiry before the leases
 * that its predecessor may have granted have expired. The predecessor grants
 * none once it may have a successor, so it is enough to wait for the duration
 * of one lease after the start of the job.
 */
#define COORDINATOR_LEASE_MS 3000
#define COORDINATOR_NAME_BYTES 128

typedef struct coordinator coordinator_t;

typedef enum lease_status {
	LEASE_VALID, /* for COORDINATOR_LEASE_MS from the time of the call */
	LEASE_LOST, /* another holder has it, or the coordinator cannot
		     * tell yet */
	LEASE_ENDED, /* the job has ended or is ending, or the chunk is
		      * finished */
	LEASE_PAUSED /* the coordinator may have a successor that it does not
		      * know of yet: the holder keeps the chunk but runs
		      * no item of it */
} lease_status_t;

typedef struct coordinator_grant {
	const char *job;
	const char *input_file_id;
	uint32_t part; /* of the input file */
	uint32_t line; /* of the first item in the part */
	uint32_t first; /* item */
	uint32_t count;
	int64_t slack_ms; /* time to the deadline minus the expected run time */
	const GArray *suspects; /* item_failures_t; may be NULL */
} coordinator_grant_t;

/* Summary of a chunk's results, as read from or written to its object. */
typedef struct coordinator_result {
	uint32_t first;
	uint32_t count;
	uint32_t completed;
	uint32_t failed;
} coordinator_result_t;

/*
 * No operation may call back into the coordinator before it returns. start is
 * the number of the job's start here; its answer is ignored when the job has
 * been dropped and started again since.
 */
typedef struct coordinator_ops {
	/* Writes the record if it still has the version; answered by
	 * coordinator_updated(). */
	void (*update)(const job_t *job, uint64_t version, uint64_t start,
		       void *user_data);
	/* Lists the job's result objects, reports those for which
	 * coordinator_needs_result() holds by coordinator_result_found(), then calls
	 * coordinator_results_listed(). */
	void (*find_results)(const char *job, uint64_t start, void *user_data);
	/* Reads one result object; answered by coordinator_result_found() or
	 * coordinator_result_missing(). */
	void (*read_result)(const char *job, uint32_t first, void *user_data);
	/* Returns FALSE when another node may already own the job's record.
	 * NULL: this node always owns it. */
	gboolean (*has_record)(const char *job, void *user_data);
	/* Fair-queueing weight of a workspace; NULL: equal weights. */
	double (*weight)(const char *partner, const char *workspace,
			 void *user_data);
	void *user_data;
} coordinator_ops_t;

coordinator_t *coordinator_new(const coordinator_ops_t *ops,
			       const clock_source_t *clock);
void coordinator_free(coordinator_t *coordinator);

/* Applies the current record and starts the job if it is new. Takes ownership
 * of job. */
void coordinator_apply_record(coordinator_t *coordinator, job_t *job,
			      uint64_t version);
/* Removes the job: this node no longer owns its record. */
void coordinator_drop(coordinator_t *coordinator, const char *job);
typedef gboolean (*coordinator_keep_t)(const char *job, void *user_data);
void coordinator_drop_unless(coordinator_t *coordinator,
			     coordinator_keep_t keep, void *user_data);

void coordinator_updated(coordinator_t *coordinator, const char *job,
			 uint64_t start, gboolean ok, uint64_t version);
gboolean coordinator_needs_result(const coordinator_t *coordinator,
				  const char *job, uint32_t first);
void coordinator_result_found(coordinator_t *coordinator, const char *job,
			      const coordinator_result_t *result);
void coordinator_result_missing(coordinator_t *coordinator, const char *job,
				uint32_t first);
/* complete FALSE: the listing failed and is repeated. */
void coordinator_results_listed(coordinator_t *coordinator, const char *job,
				uint64_t start, gboolean complete);

/* Returns FALSE when no chunk of the deployment's jobs is waiting. The grant is
 * valid until the next call. */
gboolean coordinator_pull(coordinator_t *coordinator, const char *holder,
			  const char *partner, const char *deployment,
			  coordinator_grant_t *grant);
/* Renews the lease. A chunk without a holder is leased to the caller again. */
lease_status_t coordinator_renew(coordinator_t *coordinator, const char *holder,
				 const char *job, uint32_t first,
				 const GArray *suspects);
/* Reports that the chunk's result object exists. */
void coordinator_done(coordinator_t *coordinator, const char *holder,
		      const char *job, const coordinator_result_t *result);
void coordinator_release(coordinator_t *coordinator, const char *holder,
			 const char *job, uint32_t first,
			 const GArray *suspects);

/* Expires leases, advances job states and updates at_risk. To be called several
 * times per second. */
void coordinator_tick(coordinator_t *coordinator);

typedef struct coordinator_demand {
	const char *partner;
	const char *deployment;
	uint32_t waiting; /* chunks */
	int64_t slack_ms; /* least slack among the jobs */
} coordinator_demand_t;

/* Returns the deployments with waiting chunks: an array of coordinator_demand_t
 * whose strings are valid until the next call. */
GArray *coordinator_demands(const coordinator_t *coordinator);
uint32_t coordinator_jobs(const coordinator_t *coordinator);
const job_t *coordinator_find(const coordinator_t *coordinator,
			      const char *job);

#endif
