#ifndef WASABILINK_BATCH_COORDINATOR_H
#define WASABILINK_BATCH_COORDINATOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "batch/job.h"
#include "batch/suspect.h"

/*
 * coordinator - decides for the jobs whose records this node owns which chunk
 * runs where. No I/O of its own: records and result objects are reached
 * through the operations, leases run on the injected monotonic clock.
 *
 * What it knows of leases is lost with it. A successor learns finished chunks
 * from the result objects and lets no cancel or expiry end before the leases
 * that its predecessor may have given have run out: the predecessor gives none
 * once there may be a successor, so one lease from the adoption is enough.
 */
#define COORDINATOR_LEASE_MS 3000
#define COORDINATOR_NAME_BYTES 128

typedef struct coordinator coordinator_t;

typedef enum lease_status {
	LEASE_VALID, /* for COORDINATOR_LEASE_MS from the time of the call */
	LEASE_LOST, /* another holder has it, or it is not known yet */
	LEASE_ENDED, /* the job ended, is to end, or the chunk is finished */
	LEASE_PAUSED /* the coordinator may have a successor that it does not
		      * know yet; nothing runs, and the chunk is kept */
} lease_status_t;

typedef struct coordinator_grant {
	const char *job;
	const char *input_file_id;
	uint32_t part; /* of the input file */
	uint32_t line; /* of the first item in the part */
	uint32_t first; /* item */
	uint32_t count;
	int64_t slack_ms; /* time to the deadline less the expected work */
	const GArray *suspects; /* suspect_t; may be NULL */
} coordinator_grant_t;

/* A chunk's results, as read from or written to its object. */
typedef struct coordinator_result {
	uint32_t first;
	uint32_t count;
	uint32_t completed;
	uint32_t failed;
} coordinator_result_t;

/* None may call back into the coordinator before it returns. */
typedef struct coordinator_ops {
	/* Writes the record if it still has the version; answer by
	 * coordinator_updated(). */
	void (*update)(const job_t *job, uint64_t version, void *user_data);
	/* Lists the job's result objects, tells those that
	 * coordinator_needs() by coordinator_learned(), then calls
	 * coordinator_ready(). */
	void (*learn)(const char *job, void *user_data);
	/* Reads one result object; answer by coordinator_learned() or
	 * coordinator_absent(). */
	void (*check)(const char *job, uint32_t first, void *user_data);
	/* FALSE when another node may own the job's record already; NULL:
	 * never. */
	gboolean (*has_record)(const char *job, void *user_data);
	/* Weight of a workspace; NULL: all the same. */
	double (*weight)(const char *partner, const char *workspace,
			 void *user_data);
	void *user_data;
} coordinator_ops_t;

coordinator_t *coordinator_new(const coordinator_ops_t *ops,
			       const clock_source_t *clock);
void coordinator_free(coordinator_t *coordinator);

/* The record as it is now; takes over the job. */
void coordinator_follow(coordinator_t *coordinator, job_t *job,
			uint64_t version);
/* The record is not this node's any more. */
void coordinator_drop(coordinator_t *coordinator, const char *job);
typedef gboolean (*coordinator_keep_t)(const char *job, void *user_data);
void coordinator_drop_unless(coordinator_t *coordinator,
			     coordinator_keep_t keep, void *user_data);

void coordinator_updated(coordinator_t *coordinator, const char *job,
			 gboolean ok, uint64_t version);
gboolean coordinator_needs(const coordinator_t *coordinator, const char *job,
			   uint32_t first);
void coordinator_learned(coordinator_t *coordinator, const char *job,
			 const coordinator_result_t *result);
void coordinator_absent(coordinator_t *coordinator, const char *job,
			uint32_t first);
/* all FALSE: the listing failed and is to be repeated. */
void coordinator_ready(coordinator_t *coordinator, const char *job,
		       gboolean all);

/* FALSE when no chunk of the deployment's jobs waits. The grant is valid until
 * the next call. */
gboolean coordinator_pull(coordinator_t *coordinator, const char *holder,
			  const char *partner, const char *deployment,
			  coordinator_grant_t *grant);
/* Also gives the lease of a chunk that nobody holds back to its holder. */
lease_status_t coordinator_renew(coordinator_t *coordinator, const char *holder,
				 const char *job, uint32_t first,
				 const GArray *suspects);
/* The chunk's result object exists. */
void coordinator_done(coordinator_t *coordinator, const char *holder,
		      const char *job, const coordinator_result_t *result);
void coordinator_hand_back(coordinator_t *coordinator, const char *holder,
			   const char *job, uint32_t first,
			   const GArray *suspects);

/* Expires leases, moves jobs on, estimates risks. A few times a second. */
void coordinator_tick(coordinator_t *coordinator);

typedef struct coordinator_demand {
	const char *partner;
	const char *deployment;
	uint32_t waiting; /* chunks */
	int64_t slack_ms; /* of the most urgent job */
} coordinator_demand_t;

/* Deployments with waiting chunks: an array of coordinator_demand_t whose
 * strings are valid until the next call. */
GArray *coordinator_demands(const coordinator_t *coordinator);
uint32_t coordinator_jobs(const coordinator_t *coordinator);
const job_t *coordinator_find(const coordinator_t *coordinator,
			      const char *job);

#endif
