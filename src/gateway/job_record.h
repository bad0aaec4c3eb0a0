#ifndef WASABILINK_GATEWAY_JOB_RECORD_H
#define WASABILINK_GATEWAY_JOB_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * job_record - what the store keeps of a batch job, as JSON.
 *
 * Three kinds of objects: payload parts, written before the job is accepted;
 * the record, whose creation accepts the job and which is only changed under
 * its version; and segments of results, written before the record names them.
 * A result's position is its place in the order of the record's segments, so
 * it never changes once the record has been written.
 *
 *   batch-payloads/JOB.N   items, in parts below the store's value limit
 *   batch-jobs/JOB         the record
 *   batch-results/JOB.E.N  segment N that the owner of epoch E wrote
 */
#define JOB_RECORD_PREFIX "batch-jobs/"
#define JOB_PAYLOAD_PREFIX "batch-payloads/"
#define JOB_SEGMENT_PREFIX "batch-results/"

typedef enum job_result_state {
	JOB_RESULT_COMPLETED,
	JOB_RESULT_GIVEN_UP /* can never be done, or failed too often */
} job_result_state_t;

typedef struct job_item {
	char *id;
	char *target; /* path with query */
	GPtrArray *headers; /* name, value, ... */
	GBytes *body;
	int64_t tokens;
} job_item_t;

typedef struct job_result {
	uint32_t item; /* index in the job */
	char *id; /* of the item */
	job_result_state_t state;
	char *text; /* data of all events, joined by line feeds */
} job_result_t;

/* The results that one write added. */
typedef struct job_segment {
	char *key; /* of its object */
	GArray *items; /* uint32_t, indexes in the job */
} job_segment_t;

typedef struct job_record {
	char *host;
	char *path; /* that the job was submitted to; selects the route */
	char *owner; /* node that runs the items; empty: nobody */
	char *instance; /* process of the owner */
	uint32_t epoch; /* of ownership */
	uint32_t beat; /* changed by each renewal */
	uint32_t items;
	uint32_t payload_parts;
	int64_t submitted_ms; /* wall clock of the node that accepted it */
	int64_t waiting_tokens; /* of items without a result */
	bool ended; /* by its caller; no further item is to start */
	char *progress; /* key of the last job_progress object; empty: none */
	GPtrArray *segments; /* job_segment_t */
} job_record_t;

job_record_t *job_record_new(void);
job_record_t *job_record_copy(const job_record_t *record);
void job_record_free(job_record_t *record);
/* Freed by g_free(). */
char *job_record_encode(const job_record_t *record);
/* NULL for a text that is no record; text may be NULL. */
job_record_t *job_record_decode(const char *text, size_t len);

void job_record_add_segment(job_record_t *record, const char *key,
			    const uint32_t *items, uint32_t count);
/* Number of results, which is the first free position. */
uint32_t job_record_results(const job_record_t *record);
bool job_record_has_item(const job_record_t *record, uint32_t item);
/* Nothing is left to run. */
bool job_record_is_closed(const job_record_t *record);

/* Items of one payload part, or of a submission; bodies are in base64. */
char *job_items_encode(const GPtrArray *items, guint first, guint count);
/* An array of job_item_t to which the items are added; false: unreadable. */
bool job_items_decode(const char *text, size_t len, GPtrArray *items);
job_item_t *job_item_new(void);
void job_item_free(void *item);

char *job_results_encode(const GPtrArray *results);
/* An array of job_result_t, or NULL. */
GPtrArray *job_results_decode(const char *text, size_t len);
void job_result_free(void *result);

#endif
