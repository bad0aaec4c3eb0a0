#ifndef WASABILINK_BATCH_JOB_H
#define WASABILINK_BATCH_JOB_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * job - a batch job as stored in its ledger record: a state machine without
 * I/O. Times are wall clock, in ms since the epoch.
 */
#define JOB_MIN_CHUNK_ITEMS 8
#define JOB_MAX_CHUNK_ITEMS 256
#define JOB_MAX_METADATA_BYTES 16384

typedef enum job_state {
	JOB_VALIDATING, /* recorded; not started by its coordinator yet */
	JOB_IN_PROGRESS,
	JOB_FINALIZING,
	JOB_COMPLETED,
	JOB_FAILED,
	JOB_EXPIRED,
	JOB_CANCELLING,
	JOB_CANCELLED,
	JOB_STATE_COUNT
} job_state_t;

/* A finished chunk that is not a complete chunk of the plan. */
typedef struct job_split {
	uint32_t first;
	uint32_t count;
} job_split_t;

typedef struct job {
	char *id; /* as in the object store: scope and record key, hex */
	char *partner;
	char *workspace;
	char *deployment;
	char *input_file_id;
	char *endpoint;
	char *window;
	char *metadata; /* JSON object */
	char *digest; /* SHA-256 of the creation request */
	char *failure; /* message of JOB_FAILED */
	job_state_t state;
	int64_t at_ms[JOB_STATE_COUNT]; /* when each state began; 0: never */
	int64_t expires_ms;
	uint32_t total; /* items */
	uint32_t completed;
	uint32_t failed;
	uint32_t chunk_items;
	bool at_risk;
	bool results_removed; /* or about to be; no longer readable */
	GArray *part_items; /* uint32_t: number of items of each input part */
	/*
	 * Finished chunks: bit n is the nth chunk of the plan; splits lists the
	 * finished ones that are not a complete chunk of the plan. Chunks
	 * finished after the last write are read from the result objects.
	 */
	GByteArray *finished;
	GArray *splits; /* job_split_t */
} job_t;

job_t *job_new(void);
void job_free(job_t *job);

const char *job_state_name(job_state_t state);
gboolean job_state_is_final(job_state_t state);
/* Changes the state if the transition is allowed, else returns FALSE. */
gboolean job_transition(job_t *job, job_state_t state, int64_t now_ms);

/* Returns the wall clock time until which the results are readable:
 * retention_ms after the job's end, or after its deadline while it has not
 * ended. */
int64_t job_readable_until_ms(const job_t *job, int64_t retention_ms);
/* Returns the expiry of the record. Results are removed before the record, so
 * it outlasts them by more than the longest outage that is provided for. */
uint64_t job_record_expire_ms(const job_t *job, int64_t retention_ms);

/* Returns the chunk size of a job, such that small jobs also spread over the
 * runners. */
uint32_t job_chunk_items(uint32_t total);

/* Parses 90s, 30m, 24h or 7d. Errors: WL_ERROR_INVALID. */
gboolean job_parse_window(const char *text, int64_t *window_ms, GError **error);

/* Encodes the job as stored in its record. */
char *job_encode(const job_t *job, size_t *len);
/* Errors: WL_ERROR_PROTOCOL. */
job_t *job_decode(const char *data, size_t len, GError **error);

/* Returns the batch object of the public API. */
json_t *job_to_json(const job_t *job, const char *output_file_id,
		    const char *error_file_id);

#endif
